//! Log events: what a host decided and why.

use pomelorun_wire::{FlowKey, HostId, ZoneId};

use crate::{
    direct::{
        liveness::KeepReason, overload::ShortageReport, placement::Choice, registry::UpstreamKey,
        token::Token,
    },
    time::Millis,
};

/// Why an opening packet was sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenCause {
    /// It is the caller's first transmission.
    FirstPacket,
    /// The caller retransmitted it.
    Retransmission,
    /// The answer of another upstream was overdue.
    Overdue,
}

/// Why an upstream was chosen for a flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OpenReason {
    /// Rank of the chosen upstream.
    pub choice: Choice,
    /// Number of upstreams that were eligible.
    pub candidates: usize,
    /// Requests through this host that were waiting at the upstream.
    pub waiting: f64,
    /// Copies of the opening packet that were sent to other upstreams before.
    pub previous_attempts: usize,
    /// Why the opening packet was sent.
    pub cause: OpenCause,
}

/// Why a flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResetReason {
    /// Its upstream is unreachable.
    Unreachable,
    /// Its upstream instance has ended.
    Ended,
    /// The service address that its caller uses has no route.
    NoRoute,
    /// Its service has no upstream, or none that is reachable.
    NoUpstream,
    /// Its upstream is unknown here, and a peer reported that the instance has ended.
    EndedAtPeer,
    /// No upstream of its service has room for another request of its priority.
    Overload,
}

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The service address that it is sent to has no route in the active revision, which may be
    /// outdated.
    NoRoute,
    /// Its service has no eligible upstream now, but a retransmission may succeed: an upstream is
    /// cold, or the directory is unavailable.
    NoUpstream,
    /// Its token names no known upstream.
    UnknownToken,
}

/// How the state of an upstream instance changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleChange {
    /// It was announced for the first time.
    Announced,
    /// It was announced for the first time, for a service that the active revision does not name.
    Unconfigured,
    /// It was announced with an earlier start than the known instance with its identifier. The directory
    /// is listed again.
    Contradictory,
    /// Its announcement changed, or it was announced again after a lapse.
    Changed,
    /// It started to drain.
    Draining,
    /// Its announcement lapsed.
    Lapsed,
    /// It was learned from a peer, in the reply to a token query.
    Adopted,
    /// It responds again after its process ended, or may have ended, and counts as cold.
    Restarted,
    /// It ended.
    Ended,
    /// It was removed from the registry.
    Forgotten,
}

/// Why a message about load was not believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ImplausibleLoad {
    /// It tells of more requests in progress than an upstream can have.
    InProgress {
        /// Token of the upstream.
        token: Token,
    },
    /// It tells of an impossible speed of an upstream.
    Speed {
        /// Token of the upstream.
        token: Token,
    },
    /// It tells of an upstream twice.
    Repeated {
        /// Token of the upstream.
        token: Token,
    },
    /// It tells of an impossible rate of requests.
    Rate,
    /// It tells of more hosts than there are.
    Hosts,
    /// Its interval or its age is impossible.
    Time,
}

/// A decision of a host, to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectEvent {
    /// A flow's opening packet was sent to an upstream.
    Opened {
        /// The flow.
        flow: FlowKey,
        /// The upstream.
        upstream: UpstreamKey,
        /// Why this upstream was chosen.
        reason: OpenReason,
        /// The active revision.
        revision: u64,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Its upstream, if known.
        upstream: Option<UpstreamKey>,
        /// Why it was reset.
        reason: ResetReason,
        /// Time since the upstream's last response; `None` if the upstream is unknown, or has not responded to this
        /// host.
        since_last_response: Option<Millis>,
    },
    /// A packet was dropped.
    Dropped {
        /// Its flow.
        flow: FlowKey,
        /// Why it was dropped.
        reason: DropReason,
        /// The token that it carries.
        token: Token,
    },
    /// A caller retransmitted a packet, or the answer to its opening packet is overdue; the upstream is
    /// probed.
    Suspected {
        /// The upstream.
        upstream: UpstreamKey,
        /// The flow of the packet.
        flow: FlowKey,
        /// Time since the packet was first sent.
        waited: Millis,
    },
    /// An upstream was marked unreachable.
    Unreachable {
        /// The upstream.
        upstream: UpstreamKey,
        /// Number of its flows that were reset.
        flows: usize,
        /// Longest time that one of its flows had waited for a response.
        waited: Millis,
        /// `true` if another host of the zone detected it.
        from_peer: bool,
    },
    /// An upstream's probe timed out, but load alone may explain that, so the upstream was kept.
    Kept {
        /// The upstream.
        upstream: UpstreamKey,
        /// Why it was kept.
        reason: KeepReason,
        /// Longest time that one of its flows had waited for a response.
        waited: Millis,
    },
    /// An upstream's probe failed, but the upstream was kept: most upstreams of this host's zone
    /// fail to respond, so the fault is probably local.
    LocalFault {
        /// The upstream.
        upstream: UpstreamKey,
        /// Longest time that one of its flows had waited for a response.
        waited: Millis,
    },
    /// An unreachable upstream responds again.
    Recovered {
        /// The upstream.
        upstream: UpstreamKey,
        /// How long it was unreachable.
        unreachable_for: Millis,
    },
    /// An upstream was ejected because it failed more requests than others; it gets fewer new
    /// flows.
    Ejected {
        /// The upstream.
        upstream: UpstreamKey,
        /// Duration of the ejection.
        duration: Millis,
        /// Recently failed requests, over all hosts of the zone; zero if a peer decided.
        failed: f64,
        /// Recent requests that were answered or failed; zero if a peer decided.
        total: f64,
        /// `true` if another host of the zone decided.
        from_peer: bool,
    },
    /// A message about load was not believed; at most one such event per second.
    LoadRejected {
        /// Host that sent it.
        from: HostId,
        /// What is wrong with it.
        why: ImplausibleLoad,
    },
    /// The state of an upstream instance changed.
    Lifecycle {
        /// The upstream.
        upstream: UpstreamKey,
        /// The change.
        change: LifecycleChange,
        /// How much longer the upstream stays cold.
        cold_left: Millis,
    },
    /// The room of a service's upstreams became short, or is short no more.
    Shortage {
        /// Name of the service.
        service: String,
        /// The numbers that decided.
        report: ShortageReport,
    },
    /// A revision became active.
    Revision {
        /// The revision.
        revision: u64,
        /// Number of its routes.
        routes: usize,
    },
    /// A zone was withdrawn or restored.
    Zone {
        /// The zone.
        zone: ZoneId,
        /// `true` if the zone is withdrawn.
        withdrawn: bool,
    },
}
