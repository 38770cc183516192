//! Library of the pomelorun daemon.
//!
//! A micro-kernel starts named services on one thread: `packets` owns the decision core and the
//! packet socket, `config` and `host_list` read configuration and host list from the platform,
//! `peers` serves the active configuration to other hosts, and `admin` serves operators over HTTP.
//! Services look each other up by name and exchange [`ServiceMessage`]s. Packets are handled where
//! they are received and never pass through an actor's mailbox.

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
