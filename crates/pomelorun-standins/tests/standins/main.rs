//! Tests that run real processes on loopback.

#![allow(missing_docs, reason = "tests")]

mod demo;
mod failures;
