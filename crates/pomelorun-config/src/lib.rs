//! Configuration objects, their validation and the published bundle.
//!
//! [`load_dir`] reads a directory of JSON files into an [`ObjectSet`], [`check`] lists every fault
//! of the set, [`Bundle`] is published to the configuration service, and [`compile`] turns a valid
//! set into the [`Snapshot`](pomelorun_core::Snapshot) that hosts use for routing.

mod bundle;
mod check;
mod compile;
mod diff;
mod fault;
mod load;
mod object;
mod strict;
mod unique;

pub use crate::{
    bundle::{Bundle, BundleError, ChunkRef, MAX_VALUE_BYTES, Manifest, chunk_hash, join_chunks},
    check::check,
    compile::compile,
    diff::{Change, ChangeKind, diff},
    fault::{Fault, Faults},
    load::{MAX_FILE_BYTES, load_and_check, load_dir, load_files, parse_objects},
    object::{
        AvailabilityZone, Endpoint, Named, Object, ObjectSet, Objectives, Service, UpstreamPool,
    },
    strict::{StrictError, from_json_strict, from_value_strict},
};
