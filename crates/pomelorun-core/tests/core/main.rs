//! Tests of the decision core.

#![allow(dead_code, missing_docs, reason = "the mesh is shared by several tests")]

mod counts;
mod direct;
mod explain;
mod fleet;
mod handover;
mod limits;
mod load;
mod members;
mod mesh;
mod one_host;
mod path;
mod requests;
mod revisions;
mod routing;
mod takeover;
mod zones;
