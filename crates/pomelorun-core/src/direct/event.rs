//! What a host decided and reason, for its log.

use pomelorun_wire::{FlowKey, ZoneId};

use crate::{
    direct::{placement::Choice, registry::UpstreamKey, token::Token},
    time::Millis,
};

/// Why an upstream was chosen for a flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OpenReason {
    /// Kind of choice.
    pub choice: Choice,
    /// Upstreams that could be chosen.
    pub candidates: usize,
    /// Requests known to wait there.
    pub waiting: f64,
    /// Copies of the opening packet that went elsewhere before.
    pub previous_attempts: usize,
}

/// Why a flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResetReason {
    /// Its upstream does not answer.
    Unreachable,
    /// Its upstream has ended.
    Ended,
    /// No route leads from its address.
    NoRoute,
    /// No upstream of its service answers, or none is left.
    NoUpstream,
    /// Its upstream has ended, as another host knows.
    Gone,
}

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// No route leads from its address, and the revision may be old.
    NoRoute,
    /// No upstream of its service is known yet.
    NoUpstream,
    /// No upstream has the token that it carries.
    UnknownToken,
}

/// What became of an upstream's announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleChange {
    /// Announced for the first time.
    Announced,
    /// Announced again, or says something else.
    Changed,
    /// Leaves.
    Draining,
    /// No longer announced.
    Lapsed,
    /// Known by another host, which was asked for its token.
    Adopted,
    /// Ended for certain.
    Ended,
    /// Forgotten.
    Forgotten,
}

/// One decision.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectEvent {
    /// A flow's opening packet was sent to an upstream.
    Opened {
        /// The flow.
        flow: FlowKey,
        /// The upstream.
        upstream: UpstreamKey,
        /// What decided it.
        reason: OpenReason,
        /// Revision in force.
        revision: u64,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Its upstream, if it has one.
        upstream: Option<UpstreamKey>,
        /// What decided it.
        reason: ResetReason,
        /// Time since the upstream's last sign of life.
        since_last_response: Millis,
    },
    /// A packet was dropped.
    Dropped {
        /// Its flow.
        flow: FlowKey,
        /// What decided it.
        reason: DropReason,
        /// The token that it carries.
        token: Token,
    },
    /// Callers wait for an upstream in vain; it is probed.
    Suspected {
        /// The upstream.
        upstream: UpstreamKey,
        /// The first flow that showed it.
        flow: FlowKey,
        /// Time that the flow has waited.
        waited: Millis,
    },
    /// An upstream does not answer.
    Unreachable {
        /// The upstream.
        upstream: UpstreamKey,
        /// Flows that were reset for it.
        flows: usize,
        /// Longest time that a flow had waited.
        waited: Millis,
        /// Another host of the zone found it.
        from_peer: bool,
    },
    /// An upstream is not given up, since most of this host's zone looks silent.
    LocalFault {
        /// The upstream.
        upstream: UpstreamKey,
        /// Longest time that a flow had waited.
        waited: Millis,
    },
    /// An upstream answers again.
    Answering {
        /// The upstream.
        upstream: UpstreamKey,
        /// Time for which it was held unreachable.
        unreachable_for: Millis,
    },
    /// An upstream fails more requests than others and gets fewer new flows.
    Ejected {
        /// The upstream.
        upstream: UpstreamKey,
        /// For how long.
        duration: Millis,
        /// Requests that failed lately, as the zone's hosts saw it; zero where another host decided.
        failed: f64,
        /// Requests that were answered or failed lately.
        total: f64,
        /// Another host of the zone decided.
        from_peer: bool,
    },
    /// What became of an upstream.
    Lifecycle {
        /// The upstream.
        upstream: UpstreamKey,
        /// What became of it.
        change: LifecycleChange,
        /// How long it stays cold.
        cold_left: Millis,
    },
    /// A revision is in force.
    Revision {
        /// The revision.
        revision: u64,
        /// Number of its routes.
        routes: usize,
    },
    /// A zone was taken out or back.
    Zone {
        /// The zone.
        zone: ZoneId,
        /// It is out.
        withdrawn: bool,
    },
}
