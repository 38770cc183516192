//! The daemon in direct server return: the packet socket, synchronization with the directory and
//! the HTTP interface.
//!
//! Everything specific to one platform is behind the traits of [`platform`].

mod edge;
mod event_log;
mod feed;
mod fleet;
mod introspection;
mod metrics;
mod platform;
mod probes;
mod reader;
mod run;
mod settings;
mod web;

pub use crate::direct::{
    introspection::{DirectReport, FlowReport, ForwardingMode},
    platform::{
        Directory, DirectoryError, Events, ListingPage, MalformedPacket, PacketCodec, Platform,
        Prober,
    },
    run::run,
    settings::DirectSettingsFile,
};
