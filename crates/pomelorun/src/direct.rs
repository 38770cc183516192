//! The daemon in direct return: packets, the directory that is read, and what is served to the
//! platform. Everything that only one platform speaks is behind the traits of [`platform`].

mod edge;
mod feed;
mod fleet;
mod lines;
mod metrics;
mod platform;
mod probes;
mod questions;
mod reader;
mod run;
mod settings;
mod web;

pub use crate::direct::{
    platform::{Directory, Events, Listing, Malformed, PacketCodec, Platform, Prober, SourceError},
    questions::{DirectReport, FlowReport, Mode},
    run::run,
    settings::DirectFile,
};
