//! Tests of the decision core.

#![allow(dead_code, missing_docs, reason = "the mesh serves several topics")]

mod counts;
mod explain;
mod handover;
mod limits;
mod load;
mod mesh;
mod one_host;
mod path;
mod requests;
mod routing;
mod succession;
