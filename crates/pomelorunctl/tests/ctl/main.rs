//! Tests of the operators' command line, run as a program.

#![allow(missing_docs, reason = "tests")]

mod burn;
mod direct;
mod losses;
mod objects;
mod run;
mod status;
mod trace;
