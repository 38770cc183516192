//! Core of a pomelorun host.
//!
//! [`HostCore`] handles one [`Event`] at a time with the current time and returns the [`Action`]s
//! to carry out. It does no I/O, reads no clock and starts no thread, so the daemon, the tests and
//! custom drivers run the same code. The module [`direct`] has the core of hosts that use direct
//! server return.

mod action;
mod concurrency_limit;
pub mod direct;
mod flow_table;
mod host;
mod members;
mod primary;
mod record;
mod retry_budget;
mod revisions;
mod routing_table;
mod selection;
mod service_counts;
mod settings;
mod snapshot;
mod stats;
mod time;

pub use crate::{
    action::{Action, Actions, Event, ListedHost},
    concurrency_limit::{ConcurrencyLimit, LimitReason},
    flow_table::FlowTable,
    host::{Explanation, HostCore, Route},
    members::{Member, Members},
    primary::{Primary, PrimaryPhase, UpstreamStatus},
    record::{Record, Records},
    revisions::{ConfigReadRole, RevisionCheck, check_revision, config_read_role},
    routing_table::{RoutingHost, RoutingTable},
    selection::{Candidates, UpstreamSelector, rendezvous_score},
    service_counts::{Outcomes, ServiceCounts},
    settings::CoreSettings,
    snapshot::{PoolView, ServiceView, Snapshot, UpstreamView, ZoneView},
    stats::Stats,
    time::Millis,
};
