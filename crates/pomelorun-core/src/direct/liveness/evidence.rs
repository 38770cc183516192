//! Evidence against an upstream whose probe stays without a response, and what to do until there is
//! enough.

use pomelorun_wire::FlowKey;

use crate::{
    direct::liveness::{Liveness, ProbeEffect, ProbeInFlight, Unanswered},
    time::Millis,
};

/// Minimum time for which a request must have waited for a silent probe to count: a retransmission
/// interval of callers and most of a probe.
const MIN_REQUEST_AGE: Millis = Millis(300);
/// Minimum time for which requests must have waited to show that this host's own path is cut.
const MIN_CUT_AGE: Millis = Millis(1_000);
/// Time through a full queue that a silence is measured by if too few answers were observed.
const UNKNOWN_QUEUE_TIME: Millis = Millis(1_000);
/// Time before a probe was sent within which another host's response counts: a probe's time-out.
/// Requests that were answered earlier may have been the last ones before the upstream failed.
const PEER_RESPONSE_WINDOW: Millis = Millis(150);
/// Time for which the replies of other hosts are awaited at least.
const PEER_REPLY_TIME: Millis = Millis(40);
/// Time-out of a probe that connects.
const PROBE_TIMEOUT: Millis = Millis(150);
/// Silent probes in a row, without a response to any host in between, after which callers that open
/// flows are told at once that the upstream is unreachable.
const MIN_SILENT_PROBES: u32 = 2;
/// Minimum time without a response to any host after which idle flows are reset too.
const MIN_SILENCE: Millis = Millis(1_000);
/// The same, in times within which almost all requests are answered, queues included.
const MIN_SILENCE_ANSWERS: u64 = 3;
/// Number of silent probes after which requests that wait at this host alone count.
const MIN_CUT_PROBES: u32 = 3;
/// Number of such requests, each of another flow, that show that this host's path is cut.
const MIN_CUT_REQUESTS: usize = 2;
/// Maximum delay before a silent probe is repeated.
const REPEAT_BACKOFF_MAX: Millis = Millis(2_000);
/// Delay before a probe is repeated whose connection the upstream reset.
const REPEAT_AT_LIMIT: Millis = Millis(500);
/// Delay before a silent probe is repeated, doubled after each further one.
const REPEAT_BACKOFF_MIN: Millis = Millis(150);

/// A time without a response to any host of the zone, as far as known.
#[derive(Debug, Clone, Copy)]
pub(super) struct Silence {
    /// When the first silent probe was sent.
    pub(super) since: Millis,
    /// Number of silent probes.
    probes: u32,
    /// Number of hosts asked, counted anew for each query.
    pub(super) hosts_asked: usize,
    /// `true` if the last silent probe ended with the replies of other hosts, or there are none.
    is_confirmed: bool,
}

/// What the evidence for a verdict is measured by.
#[derive(Clone, Copy)]
pub(crate) struct EvidenceRule<'a> {
    /// Time that a full queue may take to answer a request of a flow, as far as observed.
    pub(crate) usual_wait: &'a dyn Fn(&FlowKey) -> Option<Millis>,
    /// Number of other hosts of the zone.
    pub(crate) peers: usize,
    /// `true` if at least half of the hosts asked last have replied.
    pub(crate) peers_replied: bool,
}

/// Why an upstream was kept although its probe timed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum KeepReason {
    /// Only opening packets are unanswered, which a full upstream may drop.
    OpeningsOnly,
    /// This host has seen too few answers to tell how long a full queue takes.
    NoBaseline,
    /// A full queue may take longer than the requests have waited.
    TooEarly,
    /// A response was seen after the probe was sent.
    AnsweredSince,
    /// Other hosts of the zone have not told yet whether the upstream responds to them.
    PeersPending,
    /// The upstream has responded to another host of the zone.
    AnsweredPeer,
    /// A process listens at its address and resets connections, as at its limit of connections.
    AtLimit,
}

impl Liveness {
    /// Returns `true` if several probes stayed without a response and no host of the zone has had
    /// one meanwhile, so that the upstream gets no flows. Its open flows are not affected.
    pub(crate) fn is_silent(&self) -> bool {
        self.silence.is_some_and(|it| it.is_confirmed && it.probes >= MIN_SILENT_PROBES)
    }

    /// Returns why a silent probe is not sufficient evidence, or `None` if it is.
    pub(super) fn reason_to_keep(
        &self,
        now: Millis,
        probe: Option<ProbeInFlight>,
        rule: &EvidenceRule<'_>,
    ) -> Option<KeepReason> {
        let sent = probe.map_or(now, |it| it.sent);
        if probe.is_some() && self.last_response > sent {
            return Some(KeepReason::AnsweredSince);
        }
        if self.zone_silent_since.is_none() {
            let mut requests =
                self.unanswered.iter().filter(|it| it.is_waiting_request(now)).peekable();
            if requests.peek().is_none() {
                let is_gone = self.is_silent_long(now, rule) && self.is_heard(now, probe, rule);
                return (!is_gone).then_some(KeepReason::OpeningsOnly);
            }
            match requests.filter_map(|it| ripe_at(it, rule)).min() {
                None => return Some(KeepReason::NoBaseline),
                Some(at) if at > now => return Some(KeepReason::TooEarly),
                Some(_) => {}
            }
        }
        if self.peer_response > sent - PEER_RESPONSE_WINDOW {
            return Some(KeepReason::AnsweredPeer);
        }
        (!self.is_heard(now, probe, rule)).then_some(KeepReason::PeersPending)
    }

    /// Returns `true` if other hosts have replied, or had time to do so.
    fn is_heard(&self, now: Millis, probe: Option<ProbeInFlight>, rule: &EvidenceRule<'_>) -> bool {
        let asked = probe.and_then(|it| it.asked);
        let asked_in_time = asked.is_some_and(|it| now.since(it) >= PEER_REPLY_TIME);
        // Hosts that have not replied by the second probe may be gone.
        rule.peers == 0 || asked_in_time && (rule.peers_replied || self.peers_late)
    }

    /// Returns `true` if the upstream has been silent for so long that idle flows are reset. A full
    /// one answers some host meanwhile. A host without others to ask sees too little for that.
    fn is_silent_long(&self, now: Millis, rule: &EvidenceRule<'_>) -> bool {
        let Some(it) = self.silence.filter(|_| self.is_silent()) else { return false };
        let usual = self.unanswered.first().and_then(|it| (rule.usual_wait)(&it.flow));
        let usual = usual.unwrap_or(UNKNOWN_QUEUE_TIME);
        let required = Millis(usual.0 * MIN_SILENCE_ANSWERS).max(MIN_SILENCE);
        rule.peers > 0 && it.hosts_asked >= rule.peers && now.since(it.since) >= required
    }

    /// Returns `true` if requests wait at this host for so long that its own path is cut, although
    /// other hosts have responses. A queue is no slower to one host than to others.
    pub(super) fn is_cut_off(&self, now: Millis, rule: Option<EvidenceRule<'_>>) -> bool {
        let waits_long = |it: &&Unanswered| {
            let usual = rule.and_then(|rule| (rule.usual_wait)(&it.flow));
            let is_open = it.is_waiting_request(now) && !it.is_given_up;
            is_open && usual.is_some_and(|usual| now.since(it.sent) >= MIN_CUT_AGE.max(usual))
        };
        self.silent_probes + 1 >= MIN_CUT_PROBES
            && self.unanswered.iter().filter(waits_long).count() >= MIN_CUT_REQUESTS
    }

    /// Counts a silent probe.
    fn add_silence(
        &mut self,
        now: Millis,
        probe: Option<ProbeInFlight>,
        rule: Option<EvidenceRule<'_>>,
    ) {
        let is_confirmed = rule.is_some_and(|it| self.is_heard(now, probe, &it));
        let since = probe.map_or(now, |it| it.sent);
        let first = Silence { since, probes: 0, hosts_asked: 0, is_confirmed };
        let it = self.silence.get_or_insert(first);
        it.probes = it.probes.saturating_add(1);
        it.is_confirmed = is_confirmed;
    }

    /// Keeps an upstream that is at its limit of connections. It lives, and gets no new flows until it
    /// accepts one or a probe.
    pub(super) fn keep_at_limit(&mut self, now: Millis, is_suspect: bool) -> ProbeEffect {
        self.zone_silent_since = None;
        self.silence = None;
        if !is_suspect && self.silent_probes == 0 {
            return ProbeEffect::Unchanged;
        }
        // The silent probes before this one were no silence in a row.
        self.silent_probes = 1;
        self.probe_allowed_at = now + REPEAT_AT_LIMIT;
        self.repeat_at = Some(self.probe_allowed_at);
        ProbeEffect::Kept(KeepReason::AtLimit)
    }

    /// Keeps the upstream and schedules the next probe.
    pub(super) fn keep(
        &mut self,
        now: Millis,
        reason: KeepReason,
        probe: Option<ProbeInFlight>,
        rule: Option<EvidenceRule<'_>>,
    ) -> ProbeEffect {
        if matches!(reason, KeepReason::AnsweredSince | KeepReason::AnsweredPeer) {
            self.probe_allowed_at = now + REPEAT_BACKOFF_MIN;
        }
        if reason == KeepReason::AnsweredSince {
            self.zone_silent_since = None;
            let accepted = probe.is_some_and(|it| self.accepted_at > it.sent);
            self.silent_probes = self.silent_probes.saturating_add(u32::from(!accepted));
            let requests = self.unanswered.iter().any(|it| it.established);
            let delay = if requests { REPEAT_BACKOFF_MIN } else { self.repeat_delay() };
            let waits = !self.unanswered.is_empty();
            self.repeat_at = (waits || !accepted).then_some(now + delay);
            return ProbeEffect::Kept(reason);
        }
        if let Some(at) = self.postponed_verdict(now, reason, probe, rule) {
            self.probe = probe;
            self.judge_at = Some(at);
            return ProbeEffect::Unchanged;
        }
        if reason == KeepReason::AnsweredPeer {
            self.silence = None;
        } else {
            self.add_silence(now, probe, rule);
        }
        let asked = probe.is_some_and(|it| it.asked.is_some());
        let late = match reason {
            KeepReason::OpeningsOnly => asked && self.silence.is_some_and(|it| !it.is_confirmed),
            reason => reason == KeepReason::PeersPending,
        };
        let were_late = std::mem::replace(&mut self.peers_late, late);
        self.silent_probes = self.silent_probes.saturating_add(1);
        let backoff = now + self.repeat_delay();
        self.repeat_at = Some(match (reason, self.ripe_at(rule)) {
            // The next probe ends when the requests have waited long enough.
            (KeepReason::TooEarly, Some(at)) => (at - PROBE_TIMEOUT).min(backoff),
            (KeepReason::PeersPending, _) if !were_late => now,
            (KeepReason::AnsweredPeer | KeepReason::OpeningsOnly, _) if self.silent_probes == 1 => {
                now
            }
            _ => backoff,
        });
        ProbeEffect::Kept(reason)
    }

    /// Returns when the probe is to be judged, if that is sooner than the end of another one.
    fn postponed_verdict(
        &self,
        now: Millis,
        reason: KeepReason,
        probe: Option<ProbeInFlight>,
        rule: Option<EvidenceRule<'_>>,
    ) -> Option<Millis> {
        match reason {
            KeepReason::TooEarly => self.ripe_at(rule).filter(|it| *it <= now + PROBE_TIMEOUT),
            KeepReason::PeersPending => {
                let it = probe.filter(|it| now.since(it.sent) < PROBE_TIMEOUT + PROBE_TIMEOUT)?;
                let asked_lately = it.asked.is_none_or(|it| now.since(it) < PEER_REPLY_TIME);
                asked_lately.then_some(now + PEER_REPLY_TIME)
            }
            _ => None,
        }
    }

    /// Returns when the first request will have waited long enough.
    fn ripe_at(&self, rule: Option<EvidenceRule<'_>>) -> Option<Millis> {
        let rule = rule?;
        let requests = self.unanswered.iter().filter(|it| it.established);
        requests.filter_map(|it| ripe_at(it, &rule)).min()
    }

    pub(super) fn repeat_delay(&self) -> Millis {
        let doublings = self.silent_probes.saturating_sub(1).min(8);
        Millis((REPEAT_BACKOFF_MIN.0 << doublings).min(REPEAT_BACKOFF_MAX.0))
    }
}

/// Returns when a request will have waited long enough to show more than a full queue does, or `None`
/// if this host does not know how long that takes.
fn ripe_at(it: &Unanswered, rule: &EvidenceRule<'_>) -> Option<Millis> {
    let usual = (rule.usual_wait)(&it.flow)?;
    Some(it.sent + usual.max(MIN_REQUEST_AGE))
}
