//! Tests of the daemon's settings.

#![allow(missing_docs, reason = "tests")]

mod settings;
