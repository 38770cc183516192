//! Decisions of a pomelorun host.
//!
//! [`HostCore`] takes one [`Event`] at a time together with the current time and returns the
//! [`Action`]s to carry out. It does no I/O, reads no clock and starts no thread, so the daemon,
//! the tests and a foreign driver run the same code.

mod action;
mod choice;
mod concurrency_limit;
pub mod direct;
mod flow_table;
mod host;
mod members;
mod primary;
mod record;
mod retry_budget;
mod revisions;
mod service_counts;
mod settings;
mod snapshot;
mod stats;
mod time;
mod view;

pub use crate::{
    action::{Action, Actions, Event, ListedHost},
    choice::{Candidates, Chooser, rendezvous_score},
    concurrency_limit::{ConcurrencyLimit, LimitReason},
    flow_table::FlowTable,
    host::{Explanation, HostCore, Route},
    members::{Member, Members},
    primary::{Primary, PrimaryPhase, UpstreamStatus},
    record::{Record, Records},
    revisions::{Judgement, ReadRole, judge, read_role},
    service_counts::{Outcomes, ServiceCounts},
    settings::CoreSettings,
    snapshot::{PoolView, ServiceView, Snapshot, UpstreamView, ZoneView},
    stats::Stats,
    time::Millis,
    view::{View, ViewHost},
};
