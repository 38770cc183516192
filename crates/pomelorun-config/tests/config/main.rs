//! Tests of objects, their validation and the bundle.

#![allow(missing_docs, reason = "tests")]

mod bundles;
mod faults;
