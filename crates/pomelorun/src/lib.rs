//! The daemon of a pomelorun host as a library.
//!
//! A small kernel starts named services on one thread: `packets` owns the decision core and the
//! socket, `config` and `host_list` read the platform, `admin` answers operators. Services find
//! each other by name and talk through [`ServiceMessage`] messages; packets never pass a mailbox.

mod admin;
mod burn;
mod config;
mod core_state;
mod daemon;
mod datagram_batch;
pub mod direct;
mod engine;
mod explain;
mod host_list;
mod kernel;
mod log;
mod metrics;
mod packets;
mod report;
mod service_message;
mod settings;

pub use crate::{
    burn::{
        BurnDetail, BurnHistory, BurnReport, CELL_ENTRY_BYTES, ServiceBurn, WINDOWS_MINUTES,
        WindowOutcomes, burn_by_service,
    },
    config::outage_log::{OutageLog, OutageNotice},
    daemon::{DaemonError, ShutdownSummary, run},
    explain::{ExplainReport, ParseFlowError, RouteReport, parse_flow},
    metrics::{Metrics, MetricsError},
    report::{
        CodeCount, HostReport, MemberReport, ServiceTotals, SharedReport, UpstreamReport,
        ZoneReport,
    },
    service_message::ServiceMessage,
    settings::{LogFormat, LogSettings, Settings, SettingsError},
};
