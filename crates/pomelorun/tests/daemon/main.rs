//! Tests of the daemon library.

#![allow(missing_docs, reason = "tests")]

mod burn;
mod golden;
mod outage_log;
mod pages;
mod settings;
