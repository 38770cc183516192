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
//! Answers the load of several times as many flows and requests as upstreams have room for. An
//! upstream whose accept queue is full leaves opening packets and probes without a response while it
//! serves its open flows, late. A silent probe therefore resets flows only together with a request of
//! an open flow that has waited longer than a full queue takes, and only if neither this host has seen
//! a response since the probe was sent nor another host of the zone one shortly before. Until then
//! the upstream stays suspect, and the probe is repeated. A response to a request does not end this,
//! because it does not show that the upstream has room for new flows. An upstream at its limit of
//! connections may also reset a probe's connection. Only a process that listens does that, so this is no
//! evidence against it, unlike a refusal.
//!
//! The first probe only connects, because a busy upstream accepts a connection as fast as an idle
//! one. A connection does not show which process accepted it. An upstream that accepts connections
//! but leaves callers without a response, or that was unreachable, is therefore asked for its
//! identifier.
//!
//! The identifier does not show that the process is the same one either, because an upstream may start again
//! under the identifier that it had. After a refusal it is another one: nothing listened at the address in
//! between. An upstream that responds again after that is reported as restarted.

mod evidence;
mod probe;

use pomelorun_wire::FlowKey;
use smallvec::SmallVec;

pub(crate) use crate::direct::liveness::evidence::EvidenceRule;
pub use crate::direct::liveness::{
    evidence::KeepReason,
    probe::{ConnectAttempt, ProbeKind, ProbeResult, conclude_attempts, conclude_connect},
};
use crate::{direct::liveness::evidence::Silence, time::Millis};

/// Minimum time between a packet and its retransmission for the packet to count as unanswered.
/// Callers retransmit after 200 ms; a shorter gap means that both packets were delayed and arrived
/// together.
pub(crate) const MIN_RETRANSMIT_GAP: Millis = Millis(150);
/// Maximum number of flows for which an unanswered packet is held.
const MAX_UNANSWERED: usize = 4;
/// Age at which an unanswered packet no longer counts, and longest time between two transmissions of one.
const UNANSWERED_MAX_AGE: Millis = Millis(2_000);
/// Age at which a verdict resets no more flows: packets that still come are not those of callers that were
/// reset, which send again sooner. They may be of flows that other hosts have served since.
const VERDICT_MAX_AGE: Millis = UNANSWERED_MAX_AGE;
/// Time by which a caller's retransmission may be late at this host.
const RETRANSMIT_SLACK: Millis = Millis(150);
/// Delay before an unreachable upstream is probed again, doubled after each probe.
const PROBE_BACKOFF_MIN: Millis = Millis(500);
/// Minimum time between two probes while callers have no other upstream.
const EXPEDITED_PROBE_INTERVAL: Millis = Millis(300);
/// Maximum delay between two probes of an unreachable upstream.
const PROBE_BACKOFF_MAX: Millis = Millis(4_000);

/// Time in flight after which a probe is likely to stay without a response, so that other hosts are
/// asked.
const ASK_PEERS_AFTER: Millis = Millis(40);
/// Delay of a postponed judgement after which this host was stalled: responses may wait unread.
const STALLED_JUDGEMENT: Millis = Millis(100);
/// Time after which the result of a probe is no longer awaited.
const PROBE_LOST: Millis = Millis(2_000);

/// A packet without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnansweredPacket {
    /// Flow of the packet.
    pub flow: FlowKey,
    /// `true` if the flow is open, `false` if the packet opens it.
    pub established: bool,
    /// When the packet was first forwarded.
    pub sent: Millis,
}

/// An unanswered packet as it is held.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    flow: FlowKey,
    established: bool,
    /// When the packet was first forwarded.
    sent: Millis,
    /// When it last counted as unanswered.
    last_seen: Millis,
    /// Time between its last two transmissions.
    interval: Millis,
    /// `true` if its caller has closed the flow.
    is_given_up: bool,
}

impl Unanswered {
    /// Returns when its next transmission is overdue: callers double the time between two of them. A
    /// later one goes through another host, which alone sees the answer, or there is none any more.
    fn expected_by(&self) -> Millis {
        let next = self.interval + self.interval + RETRANSMIT_SLACK;
        self.last_seen + next.min(UNANSWERED_MAX_AGE)
    }

    /// Returns `true` if it is a request that its caller still sends through this host.
    fn is_waiting_request(&self, now: Millis) -> bool {
        self.established && now < self.expected_by()
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
    unanswered: SmallVec<[Unanswered; MAX_UNANSWERED]>,
    unreachable: Option<ProbeBackoff>,
    /// The probe in flight.
    probe: Option<ProbeInFlight>,
    /// Probes that timed out without a verdict since the upstream last accepted a flow or a probe.
    silent_probes: u32,
    /// The time since the first of them, while nothing has responded to any host.
    silence: Option<Silence>,
    /// When the last probe was sent.
    last_probe: Millis,
    /// When to judge the probe again that has timed out, if requests have waited too little yet.
    judge_at: Option<Millis>,
    /// When to send the next probe although no packet calls for it.
    repeat_at: Option<Millis>,
    /// When a packet may call for a probe again.
    probe_allowed_at: Millis,
    /// When the upstream last accepted a flow.
    accepted_at: Millis,
    /// `true` if too few hosts of the zone have replied by the end of the last silent probe.
    peers_late: bool,
    /// Time of the last response that another host of the zone has told of.
    peer_response: Millis,
    /// Since when the whole zone has not responded, if a probe was sent for that reason. A failed
    /// probe then suffices to mark the upstream unreachable.
    zone_silent_since: Option<Millis>,
    /// When a probe last succeeded; `None` once a caller has got a response since.
    probe_succeeded_at: Option<Millis>,
    /// `true` once nothing has listened at the upstream's address, until a process does again.
    is_gone: bool,
}

/// A probe whose result is awaited.
#[derive(Debug, Clone, Copy)]
struct ProbeInFlight {
    sent: Millis,
    /// When other hosts of the zone were asked about the upstream.
    asked: Option<Millis>,
}

/// What to do about a probe whose judgement was postponed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Judgement {
    /// Nothing now.
    NotDue,
    /// Judge the probe.
    Due,
    /// Repeat the probe, because its evidence is outdated.
    Outdated,
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
    /// The upstream is to be marked unreachable for this host alone, because others have responses.
    CutOff,
    /// The upstream has ended.
    Ended,
    /// The probe timed out, but the upstream is kept.
    Kept(KeepReason),
}

/// Exponential backoff between the probes of an unreachable upstream.
#[derive(Debug, Clone, Copy)]
struct ProbeBackoff {
    unreachable_since: Millis,
    /// When there was evidence that the upstream is gone; `None` once a process at its address accepted a
    /// connection.
    confirmed_at: Option<Millis>,
    last_probe: Millis,
    next_probe: Millis,
    delay: Millis,
}

impl Liveness {
    /// Returns the reachability of the upstream.
    pub fn reachability(&self) -> Reachability {
        match self.unreachable {
            Some(it) => Reachability::Unreachable { since: it.unreachable_since },
            None if self.unanswered.is_empty() && self.silent_probes == 0 => {
                Reachability::Answering
            }
            None => Reachability::Suspect,
        }
    }

    /// Returns `true` if the upstream does not respond, by evidence that is recent. Its flows are reset.
    ///
    /// Without recent evidence, an unreachable upstream only gets no new flows: the path to it may be
    /// there again, and a busy upstream leaves probes unanswered.
    pub fn has_verdict(&self, now: Millis) -> bool {
        let confirmed_at = self.unreachable.and_then(|it| it.confirmed_at);
        confirmed_at.is_some_and(|it| now.since(it) < VERDICT_MAX_AGE)
    }

    /// Returns `true` if nothing has listened at the upstream's address, and no process has been seen there
    /// since.
    pub(crate) fn is_gone(&self) -> bool {
        self.is_gone
    }

    /// Records that a process has been seen at the address that responds as the upstream. Returns `true` if
    /// the upstream was gone, so that the process has started since.
    pub(crate) fn take_restart(&mut self) -> bool {
        std::mem::take(&mut self.is_gone)
    }

    /// Records that nothing listens at the upstream's address, as this host or another one has found. The
    /// upstream is asked for its identifier from now on, and gets no new flows until it tells.
    pub(crate) fn record_gone(&mut self, now: Millis) {
        self.is_gone = true;
        self.unreachable.get_or_insert(ProbeBackoff {
            unreachable_since: now,
            confirmed_at: None,
            last_probe: now,
            next_probe: now + PROBE_BACKOFF_MIN,
            delay: PROBE_BACKOFF_MIN,
        });
    }

    /// Returns `true` if packets of callers are unanswered.
    pub(crate) fn has_unanswered(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Returns `true` while the upstream may need a probe without a packet that calls for it, or a
    /// question to other hosts.
    pub(crate) fn is_watched(&self) -> bool {
        self.reachability() != Reachability::Answering || self.zone_silent_since.is_some()
    }

    /// Returns the time of the last response.
    pub fn last_response(&self) -> Millis {
        self.last_response
    }

    /// Records a response to a request and returns `true` if the upstream was unreachable.
    ///
    /// It does not show that the upstream has room for new flows, nor that one that is gone has started
    /// again: the caller may have got the response before.
    pub fn record_response(&mut self, now: Millis) -> bool {
        if self.is_gone {
            return false;
        }
        self.probe_succeeded_at = None;
        self.mark_responding(now)
    }

    /// Records that the upstream accepted a flow and returns `true` if it was unreachable.
    pub fn record_accepted(&mut self, now: Millis) -> bool {
        self.accepted_at = now;
        self.silent_probes = 0;
        self.repeat_at = None;
        self.probe_succeeded_at = None;
        self.mark_responding(now)
    }

    /// Records that a packet has no answer although it is due, and returns the kind of probe to send,
    /// if any.
    pub fn record_unanswered(&mut self, now: Millis, it: UnansweredPacket) -> Option<ProbeKind> {
        // `sent` can equal `last_response`, because one packet can carry a request and acknowledge
        // the previous response. The request is unanswered in that case.
        if self.has_verdict(now) || it.sent < self.last_response {
            return None;
        }
        self.expire_unanswered(now);
        self.add_unanswered(now, it);
        let backs_off = !it.established && self.repeat_at.is_some_and(|it| it > now);
        if backs_off || now < self.probe_allowed_at || !self.start_probe(now) {
            return None;
        }
        Some(if self.probe_succeeded_at.is_some() {
            ProbeKind::Identify
        } else {
            ProbeKind::Connect
        })
    }

    /// Adds a packet. Requests of open flows, which are the better evidence, take the place of opening
    /// packets.
    fn add_unanswered(&mut self, now: Millis, it: UnansweredPacket) {
        let UnansweredPacket { flow, established, sent } = it;
        let interval = now.since(sent);
        let it =
            Unanswered { flow, established, sent, last_seen: now, interval, is_given_up: false };
        if let Some(other) = self.unanswered.iter_mut().find(|other| other.flow == flow) {
            let (sent, is_given_up) = (other.sent.min(sent), other.is_given_up);
            // Transmissions that were held up may arrive together.
            let interval = other.interval.max(now.since(other.last_seen));
            *other = Unanswered { sent, is_given_up, interval, ..it };
        } else if self.unanswered.len() < MAX_UNANSWERED {
            self.unanswered.push(it);
        } else if let Some(other) = self.unanswered.iter_mut().find(|other| !other.established)
            && established
        {
            *other = it;
        }
    }

    /// Records that the caller of a flow has closed it. Its request may be answered, and nobody tells.
    pub(crate) fn record_given_up(&mut self, flow: &FlowKey) {
        for it in self.unanswered.iter_mut().filter(|it| it.flow == *flow) {
            it.is_given_up = true;
        }
    }

    /// Notes that a probe is sent now. Returns `false` if one is in flight.
    fn start_probe(&mut self, now: Millis) -> bool {
        if self.probe.is_some_and(|it| now.since(it.sent) < PROBE_LOST) {
            return false;
        }
        self.probe = Some(ProbeInFlight { sent: now, asked: None });
        self.last_probe = now;
        self.repeat_at = None;
        true
    }

    /// Records that no upstream of the zone has responded since `silent_since`, and returns `true`
    /// if the upstream is to be probed.
    pub(crate) fn record_zone_silence(&mut self, now: Millis, silent_since: Millis) -> bool {
        if self.unreachable.is_some() || self.last_response > silent_since {
            return false;
        }
        self.zone_silent_since = Some(silent_since);
        self.start_probe(now)
    }

    /// Returns `true` if the upstream is to be probed because another one of its zone gets no flows,
    /// and notes that it is.
    pub(crate) fn start_zone_probe(&mut self, now: Millis, silent_since: Millis) -> bool {
        let is_known = self.unreachable.is_some() || self.silent_probes > 0;
        !is_known && self.last_response <= silent_since && self.start_probe(now)
    }

    /// Records the result of a probe and returns its effect. Without a `rule`, each silent probe of a
    /// suspect upstream is a verdict.
    pub(crate) fn record_probe(
        &mut self,
        now: Millis,
        result: ProbeResult,
        rule: Option<EvidenceRule<'_>>,
    ) -> ProbeEffect {
        let probe = self.probe.take();
        self.judge_at = None;
        self.is_gone |= result == ProbeResult::Refused;
        let is_suspect = self.zone_silent_since.is_some() || !self.unanswered.is_empty();
        match result {
            ProbeResult::Answered if self.unreachable.is_some() && probe.is_some() => {
                self.record_path(now);
                ProbeEffect::Unchanged
            }
            ProbeResult::Answered => {
                self.probe_succeeded_at = Some(now);
                self.silent_probes = 0;
                self.repeat_at = None;
                if self.mark_responding(now) {
                    ProbeEffect::Recovered
                } else {
                    ProbeEffect::Unchanged
                }
            }
            ProbeResult::OtherUpstream => ProbeEffect::Ended,
            ProbeResult::NoResponse | ProbeResult::Refused | ProbeResult::Reset
                if self.has_verdict(now) || self.unreachable.is_some() && probe.is_none() =>
            {
                ProbeEffect::Unchanged
            }
            ProbeResult::Reset => self.keep_at_limit(now, is_suspect),
            ProbeResult::NoResponse
                if is_suspect || self.silent_probes > 0 || rule.is_some() && probe.is_some() =>
            {
                match rule.and_then(|it| self.reason_to_keep(now, probe, &it)) {
                    Some(KeepReason::AnsweredPeer) if self.is_cut_off(now, rule) => {
                        ProbeEffect::CutOff
                    }
                    Some(reason) => self.keep(now, reason, probe, rule),
                    None => ProbeEffect::Unreachable,
                }
            }
            ProbeResult::Refused if is_suspect || self.silent_probes > 0 => {
                ProbeEffect::Unreachable
            }
            ProbeResult::NoResponse | ProbeResult::Refused | ProbeResult::Inconclusive => {
                self.zone_silent_since = None;
                if self.silent_probes > 0 {
                    self.repeat_at = Some(now + self.repeat_delay());
                }
                ProbeEffect::Unchanged
            }
        }
    }

    /// Returns `true` if a silent probe is to be repeated, or the result of its repetition is lost, and
    /// notes that it is sent.
    pub(crate) fn take_due_repeat(&mut self, now: Millis) -> bool {
        let is_lost = self.probe.is_some_and(|it| now.since(it.sent) >= PROBE_LOST);
        let due = match self.repeat_at {
            Some(at) => at <= now,
            None => self.silent_probes > 0 && self.judge_at.is_none() && is_lost,
        };
        due && !self.has_verdict(now) && self.start_probe(now)
    }

    /// Returns what to do about the probe that has timed out. If it is to be repeated, notes that it is
    /// sent.
    pub(crate) fn take_judgement(&mut self, now: Millis) -> Judgement {
        let Some(at) = self.judge_at.filter(|it| *it <= now) else { return Judgement::NotDue };
        if now.since(at) < STALLED_JUDGEMENT {
            return Judgement::Due;
        }
        self.judge_at = None;
        self.probe = None;
        self.start_probe(now);
        Judgement::Outdated
    }

    /// Returns `true` if other hosts of the zone are to be asked now whether the upstream responds to
    /// them: its probe is late, and will be a verdict if they know of no response.
    pub(crate) fn needs_peers(&self, now: Millis) -> bool {
        let late = self
            .probe
            .is_some_and(|it| it.asked.is_none() && now.since(it.sent) >= ASK_PEERS_AFTER);
        late && !self.has_verdict(now)
            && self.probe.is_some_and(|it| self.last_response <= it.sent)
            && (self.zone_silent_since.is_some()
                || self.silent_probes > 0
                || self.unanswered.iter().any(|it| it.established))
    }

    /// Returns when other hosts were asked about the probe in flight.
    pub(crate) fn peers_asked_at(&self) -> Option<Millis> {
        self.probe.and_then(|it| it.asked)
    }

    /// Sets a verdict aside because the fault is probably local.
    pub(crate) fn set_verdict_aside(&mut self, now: Millis) {
        self.zone_silent_since = None;
        if self.silent_probes > 0 {
            self.repeat_at = Some(now + self.repeat_delay());
        }
    }

    /// Notes that other hosts were asked.
    pub(crate) fn record_asked(&mut self, now: Millis, hosts: usize) {
        if let Some(it) = &mut self.probe {
            it.asked = Some(now);
        }
        if let Some(it) = &mut self.silence {
            it.hosts_asked += hosts;
        }
    }

    /// Records the time of a response to another host of the zone.
    pub(crate) fn record_peer_response(&mut self, at: Millis) {
        self.peer_response = self.peer_response.max(at);
        self.silence = self.silence.filter(|it| it.since >= at);
    }

    /// Records that a process accepts connections at the address of an unreachable upstream. It is asked
    /// for its identifier at once; until then the upstream gets no new flows.
    fn record_path(&mut self, now: Millis) {
        let unreachable = self.unreachable;
        self.mark_responding(now);
        self.silent_probes = 0;
        self.repeat_at = None;
        self.unreachable =
            unreachable.map(|it| ProbeBackoff { confirmed_at: None, next_probe: now, ..it });
    }

    /// Records a response of either kind and returns `true` if the upstream was unreachable.
    fn mark_responding(&mut self, now: Millis) -> bool {
        self.last_response = now;
        self.unanswered.clear();
        self.silence = None;
        self.peers_late = false;
        self.zone_silent_since = None;
        if self.silent_probes > 0 && self.repeat_at.is_none() {
            self.repeat_at = Some(now + self.repeat_delay());
        }
        if self.judge_at.take().is_some() {
            self.probe = None;
        }
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
        self.silent_probes = 0;
        self.silence = None;
        self.peers_late = false;
        self.repeat_at = None;
        self.zone_silent_since = None;
        if self.judge_at.take().is_some() {
            self.probe = None;
        }
        self.unreachable = Some(ProbeBackoff {
            unreachable_since: self.unreachable.map_or(now, |it| it.unreachable_since),
            confirmed_at: Some(now),
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

    /// Brings the next probe of an unreachable or silent upstream forward, because callers have no
    /// other upstream.
    pub(crate) fn expedite_probe(&mut self, now: Millis) {
        if let Some(at) = &mut self.repeat_at {
            *at = (*at).min(now.max(self.last_probe + EXPEDITED_PROBE_INTERVAL));
        }
        if let Some(it) = &mut self.unreachable {
            it.next_probe = it.next_probe.min(now.max(it.last_probe + EXPEDITED_PROBE_INTERVAL));
        }
    }

    /// Forgets the silent probes, because the rule for evidence has been switched off.
    pub(crate) fn discard_evidence(&mut self) {
        self.silent_probes = 0;
        self.silence = None;
        self.peers_late = false;
        self.repeat_at = None;
        self.probe_allowed_at = Millis(0);
        if self.judge_at.take().is_some() {
            self.probe = None;
        }
    }

    /// Removes unanswered packets older than [`UNANSWERED_MAX_AGE`], so that a suspect upstream
    /// gets new flows again.
    pub(crate) fn expire_unanswered(&mut self, now: Millis) {
        let is_evidence = |it: &Unanswered| it.established && self.silent_probes > 0;
        let expires = |it: &Unanswered| {
            if is_evidence(it) { it.expected_by() } else { it.sent + UNANSWERED_MAX_AGE }
        };
        self.unanswered.retain(|it| now < expires(it));
    }
}
