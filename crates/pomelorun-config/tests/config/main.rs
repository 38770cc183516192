//! Tests of objects, their check and the bundle.

#![allow(missing_docs, reason = "tests")]

mod bundles;
mod faults;
