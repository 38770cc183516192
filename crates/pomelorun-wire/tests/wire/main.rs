//! Tests of packets, messages and result codes.

#![allow(missing_docs, reason = "tests")]

mod codes;
mod golden;
mod packets;
