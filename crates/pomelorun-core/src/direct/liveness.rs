//! Whether upstreams answer, from what callers' packets show.
//!
//! A caller that goes on in a flow has been answered: a sign of life. A caller that sends a packet
//! again has not been: evidence, which counts only if it was first sent after the last sign of life.
//! Evidence alone is never enough, since packets are lost and answers are slow. It makes the
//! upstream a suspect, which gets no new flow, and calls for a probe. Only a suspect whose probe
//! fails too is held unreachable. That says nothing about other places: the path may be cut and the
//! upstream alive.
//!
//! The first probe only connects, which a busy upstream answers as fast as an idle one. A connection
//! does not show who accepted it: an upstream that connects and still leaves callers waiting, and
//! one that was unreachable, is asked for its identifier.

use pomelorun_wire::FlowKey;
use smallvec::SmallVec;

use crate::time::Millis;

/// Least time between a packet and its copy for the copy to be evidence. Callers repeat after 200 ms;
/// a shorter gap means that packets waited somewhere and came together.
pub(crate) const MIN_RETRANSMIT_GAP: Millis = Millis(150);
/// Flows of which evidence is kept.
const MAX_UNANSWERED: usize = 4;
/// Age at which evidence no longer counts: the longest time between two copies of a packet.
const UNANSWERED_MAX_AGE: Millis = Millis(2_000);
/// Time after which an unreachable upstream is probed again, doubled each time.
const PROBE_BACKOFF_MIN: Millis = Millis(500);
/// Least time between two probes while callers have no other upstream.
const EXPEDITED_PROBE_INTERVAL: Millis = Millis(300);
/// Longest time between two trials.
const PROBE_BACKOFF_MAX: Millis = Millis(4_000);

/// A packet without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnansweredPacket {
    /// Its flow.
    pub flow: FlowKey,
    /// When it was sent on first.
    pub sent: Millis,
}

/// What a probe does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeKind {
    /// Opens a connection and closes it.
    Connect,
    /// Asks who answers at the address.
    Identify,
}

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream, or at least a process at its address.
    Answered,
    /// Nobody, in time or at all.
    NoResponse,
    /// Another upstream: the one that had the address has ended.
    OtherUpstream,
    /// Nothing either way.
    Inconclusive,
}

/// What is believed of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It answers, or nothing says otherwise.
    Answering,
    /// Packets wait for an answer; new flows go elsewhere.
    Suspect,
    /// It does not answer; its flows are given up.
    Unreachable {
        /// Since when.
        since: Millis,
    },
}

/// What the packets of one upstream have shown.
#[derive(Debug, Clone, Default)]
pub struct Liveness {
    last_response: Millis,
    unanswered: SmallVec<[UnansweredPacket; MAX_UNANSWERED]>,
    unreachable: Option<ProbeBackoff>,
    /// A probe is on its way.
    probing: bool,
    /// Since when the whole zone looks silent, so that a failed probe is enough.
    zone_silent_since: Option<Millis>,
    /// The last connection that was accepted, until a caller is answered.
    connection_accepted: Option<Millis>,
}

/// What follows from a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeEffect {
    /// Nothing new.
    Unchanged,
    /// The upstream was unreachable and is no longer.
    Recovered,
    /// The upstream is to be held unreachable.
    Unreachable,
    /// The upstream has ended.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct ProbeBackoff {
    since: Millis,
    last_probe: Millis,
    next_probe: Millis,
    delay: Millis,
}

impl Liveness {
    /// What is believed now.
    pub fn reachability(&self) -> Reachability {
        match self.unreachable {
            Some(it) => Reachability::Unreachable { since: it.since },
            None if self.unanswered.is_empty() => Reachability::Answering,
            None => Reachability::Suspect,
        }
    }

    /// Last sign of life.
    pub fn last_response(&self) -> Millis {
        self.last_response
    }

    /// Notes a sign of life; tells whether the upstream was unreachable.
    pub fn record_response(&mut self, now: Millis) -> bool {
        self.connection_accepted = None;
        self.clear(now)
    }

    /// Notes a packet that was repeated; tells how to probe the upstream for it.
    pub fn record_retransmission(
        &mut self,
        now: Millis,
        flow: FlowKey,
        sent: Millis,
    ) -> Option<ProbeKind> {
        // A packet that asks may have acknowledged the answer before in the same moment.
        if self.unreachable.is_some()
            || sent < self.last_response
            || now.since(sent) < MIN_RETRANSMIT_GAP
        {
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
        Some(if self.connection_accepted.is_some() {
            ProbeKind::Identify
        } else {
            ProbeKind::Connect
        })
    }

    /// Doubts an upstream of a zone that looks silent as a whole; tells whether to probe it.
    pub(crate) fn record_zone_silence(&mut self, silent_since: Millis) -> bool {
        if self.unreachable.is_some() || self.last_response > silent_since {
            return false;
        }
        self.zone_silent_since = Some(silent_since);
        !std::mem::replace(&mut self.probing, true)
    }

    /// Takes in what a probe found; tells whether the upstream is to be held unreachable.
    pub fn record_probe(&mut self, now: Millis, found: ProbeResult) -> ProbeEffect {
        self.probing = false;
        let zone_silent = self.zone_silent_since.take().is_some();
        match found {
            ProbeResult::Answered => {
                self.connection_accepted = Some(now);
                if self.clear(now) { ProbeEffect::Recovered } else { ProbeEffect::Unchanged }
            }
            ProbeResult::NoResponse if self.unreachable.is_some() => ProbeEffect::Unchanged,
            ProbeResult::NoResponse if zone_silent || !self.unanswered.is_empty() => {
                ProbeEffect::Unreachable
            }
            ProbeResult::OtherUpstream => ProbeEffect::Ended,
            ProbeResult::NoResponse | ProbeResult::Inconclusive => ProbeEffect::Unchanged,
        }
    }

    fn clear(&mut self, now: Millis) -> bool {
        self.last_response = now;
        self.unanswered.clear();
        self.probing = false;
        self.zone_silent_since = None;
        self.unreachable.take().is_some()
    }

    /// Longest time that a flow, or the zone as a whole, has waited in vain.
    pub fn silent_for(&self, now: Millis) -> Millis {
        let since = self.unanswered.iter().map(|it| it.sent).chain(self.zone_silent_since).min();
        since.map(|it| now.since(it)).unwrap_or_default()
    }

    /// Holds the upstream unreachable.
    pub fn mark_unreachable(&mut self, now: Millis) {
        self.unanswered.clear();
        self.probing = false;
        self.unreachable = Some(ProbeBackoff {
            since: now,
            last_probe: now,
            next_probe: now + PROBE_BACKOFF_MIN,
            delay: PROBE_BACKOFF_MIN,
        });
    }

    /// Tells whether it is time to probe an unreachable upstream again, and notes that it is done.
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

    /// Asks for the next probe of an unreachable upstream early, since callers have no other one.
    pub(crate) fn expedite_probe(&mut self, now: Millis) {
        if let Some(it) = &mut self.unreachable {
            it.next_probe = it.next_probe.min(now.max(it.last_probe + EXPEDITED_PROBE_INTERVAL));
        }
    }

    /// Drops evidence that has grown old, so that a suspect is not avoided for good.
    pub(crate) fn expire_unanswered(&mut self, now: Millis) {
        self.unanswered.retain(|it| now.since(it.sent) < UNANSWERED_MAX_AGE);
    }
}
