//! The daemon of a pomelorun host as a library.
//!
//! A small kernel starts named services on one thread: `packets` owns the decision core and the
//! socket, `config` and `host_list` read the platform, `admin` answers operators. Services find
//! each other by name and talk through [`Control`] messages; packets never pass a mailbox.

mod admin;
mod batch;
mod burn;
mod config;
mod control;
mod daemon;
pub mod direct;
mod engine;
mod explain;
mod host_list;
mod kernel;
mod log;
mod metrics;
mod packets;
mod plan;
mod report;
mod settings;

pub use crate::{
    burn::{
        BurnHistory, BurnReport, CELL_BYTES, Cells, ServiceBurn, WINDOWS, WindowOutcomes,
        describe_burn,
    },
    config::outage::{Notice, Outage},
    control::Control,
    daemon::{DaemonError, Finished, run},
    explain::{ExplainReport, FlowTextError, RouteReport, parse_flow},
    metrics::{Metrics, MetricsError},
    report::{
        CodeCount, HostReport, MemberReport, ServiceTotals, SharedReport, UpstreamReport,
        ZoneReport,
    },
    settings::{LogFormat, LogSettings, Settings, SettingsError},
};
