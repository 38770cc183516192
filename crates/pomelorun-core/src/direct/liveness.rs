//! Tracks whether an upstream responds, from callers' packets and probes.
//!
//! A caller that proceeds in a flow has received a response. A caller that retransmits a packet has
//! not, nor has one whose opening packet is overdue. The packet counts as unanswered if it was first
//! sent after the last response.
//! Unanswered packets alone never make an upstream unreachable, because packets get lost and
//! responses are slow. They make it suspect, so that it gets no new flows, and trigger a probe. An
//! upstream is considered unreachable only if the probe fails too. This holds for this host and its
//! zone alone: the path may be cut while the upstream is alive.
//!
//! The first probe only connects, because a busy upstream accepts a connection as fast as an idle
//! one. A connection does not show which process accepted it. An upstream that accepts connections
//! but leaves callers without a response, or that was unreachable, is therefore asked for its
//! identifier.

use pomelorun_wire::FlowKey;
use smallvec::SmallVec;

use crate::time::Millis;

/// Minimum time between a packet and its retransmission for the packet to count as unanswered.
/// Callers retransmit after 200 ms; a shorter gap means that both packets were delayed and arrived
/// together.
pub(crate) const MIN_RETRANSMIT_GAP: Millis = Millis(150);
/// Maximum number of flows for which an unanswered packet is held.
const MAX_UNANSWERED: usize = 4;
/// Age at which an unanswered packet no longer counts: the longest time between two transmissions
/// of a packet.
const UNANSWERED_MAX_AGE: Millis = Millis(2_000);
/// Delay before an unreachable upstream is probed again, doubled after each probe.
const PROBE_BACKOFF_MIN: Millis = Millis(500);
/// Minimum time between two probes while callers have no other upstream.
const EXPEDITED_PROBE_INTERVAL: Millis = Millis(300);
/// Maximum delay between two probes of an unreachable upstream.
const PROBE_BACKOFF_MAX: Millis = Millis(4_000);

/// A packet without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnansweredPacket {
    /// Flow of the packet.
    pub flow: FlowKey,
    /// When the packet was first forwarded.
    pub sent: Millis,
}

/// Kind of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeKind {
    /// Opens a connection and closes it.
    Connect,
    /// Requests the identifier of the process at the address.
    Identify,
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream responded, or at least a process at its address did.
    Answered,
    /// No response in time, or the connection failed.
    NoResponse,
    /// Another upstream responded at the address, so the probed one has ended.
    OtherUpstream,
    /// The probe shows nothing about the upstream.
    Inconclusive,
}

/// Result of an attempt to connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectAttempt {
    /// The connection was accepted.
    Accepted,
    /// The address responded, but no process listens there.
    Refused,
    /// The attempt timed out, or the network or host is unreachable.
    NoResponse,
    /// The attempt failed on this host, for example for lack of file descriptors.
    LocalError,
}

/// Returns what two attempts to connect to an upstream show, compared with an attempt to connect to a
/// reference upstream in the same time.
///
/// The reference tells a fault of the upstream from one of this host's own link. There are two
/// attempts because a full link drops single packets.
pub fn conclude_attempts(
    attempts: [ConnectAttempt; 2],
    reference: Option<ConnectAttempt>,
) -> ProbeResult {
    if attempts.contains(&ConnectAttempt::Accepted) {
        return ProbeResult::Answered;
    }
    if attempts.contains(&ConnectAttempt::Refused) {
        return ProbeResult::NoResponse;
    }
    if attempts.contains(&ConnectAttempt::LocalError) {
        return ProbeResult::Inconclusive;
    }
    match reference {
        None | Some(ConnectAttempt::Accepted | ConnectAttempt::Refused) => ProbeResult::NoResponse,
        Some(ConnectAttempt::NoResponse | ConnectAttempt::LocalError) => ProbeResult::Inconclusive,
    }
}

/// Reachability of an upstream from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// The upstream responds, or nothing indicates otherwise.
    Answering,
    /// Packets are unanswered; new flows go to other upstreams.
    Suspect,
    /// The upstream does not respond; its flows are reset.
    Unreachable {
        /// When the upstream was marked unreachable.
        since: Millis,
    },
}

/// Liveness of one upstream.
#[derive(Debug, Clone, Default)]
pub struct Liveness {
    last_response: Millis,
    unanswered: SmallVec<[UnansweredPacket; MAX_UNANSWERED]>,
    unreachable: Option<ProbeBackoff>,
    /// `true` while a probe is in flight.
    probing: bool,
    /// Since when the whole zone has not responded, if a probe was sent for that reason. A failed
    /// probe then suffices to mark the upstream unreachable.
    zone_silent_since: Option<Millis>,
    /// When a probe last succeeded; `None` once a caller has got a response since.
    probe_succeeded_at: Option<Millis>,
}

/// Effect of a probe's result on the reachability of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeEffect {
    /// The reachability is unchanged.
    Unchanged,
    /// The upstream was unreachable and responds again.
    Recovered,
    /// The upstream is to be marked unreachable.
    Unreachable,
    /// The upstream has ended.
    Ended,
}

/// Exponential backoff between the probes of an unreachable upstream.
#[derive(Debug, Clone, Copy)]
struct ProbeBackoff {
    unreachable_since: Millis,
    last_probe: Millis,
    next_probe: Millis,
    delay: Millis,
}

impl Liveness {
    /// Returns the reachability of the upstream.
    pub fn reachability(&self) -> Reachability {
        match self.unreachable {
            Some(it) => Reachability::Unreachable { since: it.unreachable_since },
            None if self.unanswered.is_empty() => Reachability::Answering,
            None => Reachability::Suspect,
        }
    }

    /// Returns the time of the last response.
    pub fn last_response(&self) -> Millis {
        self.last_response
    }

    /// Records a response to a caller and returns `true` if the upstream was unreachable.
    pub fn record_response(&mut self, now: Millis) -> bool {
        self.probe_succeeded_at = None;
        self.mark_responding(now)
    }

    /// Records that a packet first forwarded at `sent` has no answer although it is due, and returns
    /// the kind of probe to send, if any.
    pub fn record_unanswered(
        &mut self,
        now: Millis,
        flow: FlowKey,
        sent: Millis,
    ) -> Option<ProbeKind> {
        // `sent` can equal `last_response`, because one packet can carry a request and acknowledge
        // the previous response. The request is unanswered in that case.
        if self.unreachable.is_some() || sent < self.last_response {
            return None;
        }
        self.expire_unanswered(now);
        match self.unanswered.iter().position(|it| it.flow == flow) {
            Some(at) => self.unanswered[at].sent = self.unanswered[at].sent.min(sent),
            None if self.unanswered.len() < MAX_UNANSWERED => {
                self.unanswered.push(UnansweredPacket { flow, sent });
            }
            None => {}
        }
        if std::mem::replace(&mut self.probing, true) {
            return None;
        }
        Some(if self.probe_succeeded_at.is_some() {
            ProbeKind::Identify
        } else {
            ProbeKind::Connect
        })
    }

    /// Records that no upstream of the zone has responded since `silent_since`, and returns `true`
    /// if the upstream is to be probed.
    pub(crate) fn record_zone_silence(&mut self, silent_since: Millis) -> bool {
        if self.unreachable.is_some() || self.last_response > silent_since {
            return false;
        }
        self.zone_silent_since = Some(silent_since);
        !std::mem::replace(&mut self.probing, true)
    }

    /// Records the result of a probe and returns its effect.
    pub fn record_probe(&mut self, now: Millis, result: ProbeResult) -> ProbeEffect {
        self.probing = false;
        let zone_silent = self.zone_silent_since.take().is_some();
        match result {
            ProbeResult::Answered => {
                self.probe_succeeded_at = Some(now);
                if self.mark_responding(now) {
                    ProbeEffect::Recovered
                } else {
                    ProbeEffect::Unchanged
                }
            }
            ProbeResult::NoResponse if self.unreachable.is_some() => ProbeEffect::Unchanged,
            ProbeResult::NoResponse if zone_silent || !self.unanswered.is_empty() => {
                ProbeEffect::Unreachable
            }
            ProbeResult::OtherUpstream => ProbeEffect::Ended,
            ProbeResult::NoResponse | ProbeResult::Inconclusive => ProbeEffect::Unchanged,
        }
    }

    /// Records a response of either kind and returns `true` if the upstream was unreachable.
    fn mark_responding(&mut self, now: Millis) -> bool {
        self.last_response = now;
        self.unanswered.clear();
        self.probing = false;
        self.zone_silent_since = None;
        self.unreachable.take().is_some()
    }

    /// Returns the longest time that a flow, or the zone as a whole, has been without a response.
    pub fn silent_for(&self, now: Millis) -> Millis {
        let since = self.unanswered.iter().map(|it| it.sent).chain(self.zone_silent_since).min();
        since.map(|it| now.since(it)).unwrap_or_default()
    }

    /// Marks the upstream unreachable.
    pub fn mark_unreachable(&mut self, now: Millis) {
        self.unanswered.clear();
        self.probing = false;
        self.unreachable = Some(ProbeBackoff {
            unreachable_since: now,
            last_probe: now,
            next_probe: now + PROBE_BACKOFF_MIN,
            delay: PROBE_BACKOFF_MIN,
        });
    }

    /// Returns `true` if a probe of the unreachable upstream is due, and schedules the next one.
    pub fn take_due_probe(&mut self, now: Millis) -> bool {
        let Some(it) = &mut self.unreachable else { return false };
        if now < it.next_probe {
            return false;
        }
        it.delay = Millis((it.delay.0 * 2).min(PROBE_BACKOFF_MAX.0));
        it.last_probe = now;
        it.next_probe = now + it.delay;
        true
    }

    /// Brings the next probe of an unreachable upstream forward, because callers have no other
    /// upstream.
    pub(crate) fn expedite_probe(&mut self, now: Millis) {
        if let Some(it) = &mut self.unreachable {
            it.next_probe = it.next_probe.min(now.max(it.last_probe + EXPEDITED_PROBE_INTERVAL));
        }
    }

    /// Removes unanswered packets older than [`UNANSWERED_MAX_AGE`], so that a suspect upstream
    /// gets new flows again.
    pub(crate) fn expire_unanswered(&mut self, now: Millis) {
        self.unanswered.retain(|it| now.since(it.sent) < UNANSWERED_MAX_AGE);
    }
}
