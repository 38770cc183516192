//! Detection: what packets and probes show of upstreams, and what follows for their flows.

use pomelorun_wire::FlowKey;
use smallvec::SmallVec;

use crate::{
    direct::{
        event::{DirectEvent, LifecycleChange, ResetReason},
        flows::Flow,
        host::{DirectHost, Probe, ResetPacket, leave},
        liveness::{ProbeFound, ProbeKind, Probed, Standing},
        outlier::Eject,
        peers::News,
        registry::{UpstreamIx, UpstreamKey},
        segment::{Segment, seq_after},
    },
    time::Millis,
};

/// Suspects in this host's zone at which it may be the host itself that does not get through.
const SELF_FAULT_LEAST: usize = 3;
/// Time within which an upstream must have been used to count as in use.
const IN_USE: Millis = Millis(3_000);

impl DirectHost {
    /// Takes in what a probe found.
    pub fn apply_probe_result(&mut self, now: Millis, key: UpstreamKey, found: ProbeFound) {
        let Some(ix) = self.registry.by_key(key) else { return };
        let liveness = &mut self.seen[ix.0 as usize].liveness;
        let waited = liveness.silent_for(now);
        let since = match liveness.standing() {
            Standing::Unreachable { since } => since,
            Standing::Answering | Standing::Suspect => now,
        };
        match liveness.probed(now, found) {
            Probed::Nothing => {}
            Probed::AnswersAgain => self.answers_again(now, key, since),
            Probed::Unreachable if self.is_own_fault(now) => {
                self.stats.local_faults += 1;
                self.emit(DirectEvent::LocalFault { upstream: key, waited });
            }
            Probed::Unreachable => {
                let waited_ms = u32::try_from(waited.0).unwrap_or(u32::MAX);
                self.news.unreachable.push((key.id, key.born, waited_ms));
                self.give_up(now, ix, waited, false);
                self.doubt_zone(now, ix, waited);
            }
            Probed::Ended => {
                self.registry.end(ix);
                self.give_up_ended(now);
            }
        }
    }

    /// Takes in what another host of this zone has found.
    pub fn apply_peer_update(&mut self, now: Millis, news: &News) {
        for &(id, born, waited) in &news.unreachable {
            let Some(ix) = self.registry.by_key(UpstreamKey { id, born }) else { continue };
            let waited = Millis(u64::from(waited));
            let liveness = &self.seen[ix.0 as usize].liveness;
            let answered_since = now.since(liveness.answered()) < waited;
            if !answered_since && !matches!(liveness.standing(), Standing::Unreachable { .. }) {
                self.give_up(now, ix, waited, true);
            }
        }
        for &(id, born, lasts) in &news.ejected {
            let Some(ix) = self.registry.by_key(UpstreamKey { id, born }) else { continue };
            let lasts = Millis(u64::from(lasts));
            self.seen[ix.0 as usize].outlier.eject(now, lasts);
            self.emit_ejected(ix, Eject { lasts, failed: 0.0, total: 0.0 }, true);
        }
    }

    /// Resets the flows of upstreams that a newer announcement shows to have ended.
    pub(super) fn give_up_ended(&mut self, now: Millis) {
        for ix in self.registry.take_ended() {
            let Some(key) = self.registry.get(ix).map(|it| it.said.key) else { continue };
            let reset = self.reset_flows(now, ix, ResetReason::Ended);
            if reset > 0 {
                self.emit(DirectEvent::Lifecycle {
                    upstream: key,
                    change: LifecycleChange::Ended,
                    cold_left: Millis(0),
                });
            }
        }
    }

    /// Reads from a packet of an open flow whether its upstream answers.
    pub(super) fn observe(&mut self, now: Millis, ix: UpstreamIx, seg: &Segment) {
        let Some(flow) = self.flows.get_mut(&seg.flow).filter(|it| it.open) else {
            self.adopt(now, ix, seg);
            return;
        };
        flow.seen = now;
        if seq_after(seg.ack, flow.ack) {
            flow.ack = seg.ack;
            if let Some(asked) = flow.asked.take() {
                let waited = now.since(asked);
                self.stats.response_latency.record(waited.0);
                let route = self.routing.route(seg.flow.service);
                let in_time = route.is_some_and(|it| waited <= it.answer_within);
                if let Some(it) = self.outcomes.of(&self.routing, seg.flow.service) {
                    it.answered += 1;
                    it.in_time += u64::from(in_time);
                }
                let load = &mut self.seen[ix.0 as usize].load;
                load.waiting = load.waiting.saturating_sub(1);
            }
            self.alive(now, ix);
        }
        let Some(flow) = self.flows.get_mut(&seg.flow) else { return };
        if seg.len == 0 {
            return;
        }
        match flow.asked {
            None => {
                flow.asked = Some(now);
                flow.asked_seq = seg.seq;
                self.seen[ix.0 as usize].load.waiting += 1;
                self.next_request(now, ix, seg);
            }
            Some(sent) if seg.seq == flow.asked_seq => {
                self.unanswered(now, ix, seg.flow, sent);
            }
            Some(_) => {}
        }
    }

    /// Notes a flow at its first packet after the opening one, or when it comes from another host.
    pub(super) fn adopt(&mut self, now: Millis, ix: UpstreamIx, seg: &Segment) {
        if let Some(opening) = self.flows.remove(&seg.flow) {
            if let Some(asked) = opening.asked {
                self.stats.open_latency.record(now.since(asked).0);
            }
            if let Some(it) = self.outcomes.of(&self.routing, seg.flow.service) {
                it.opened += 1;
            }
            self.alive(now, ix);
        }
        let asks = seg.len > 0;
        let noted = self.flows.insert(Flow {
            key: seg.flow,
            tried: SmallVec::from_slice(&[ix]),
            open: true,
            seen: now,
            ack: seg.ack,
            asked_seq: seg.seq,
            asked: asks.then_some(now),
            request: None,
            failed: false,
        });
        if noted && asks {
            self.next_request(now, ix, seg);
        }
        if noted {
            let load = &mut self.seen[ix.0 as usize].load;
            load.waiting += u32::from(asks);
        }
    }

    pub(super) fn alive(&mut self, now: Millis, ix: UpstreamIx) {
        let Some(it) = self.registry.get(ix) else { return };
        let (key, zone) = (it.said.key, it.said.zone);
        match self.zones_answered.binary_search_by_key(&zone, |it| it.0) {
            Ok(at) => self.zones_answered[at].1 = now,
            Err(at) => self.zones_answered.insert(at, (zone, now)),
        }
        let liveness = &mut self.seen[ix.0 as usize].liveness;
        let standing = liveness.standing();
        if liveness.sign_of_life(now)
            && let Standing::Unreachable { since } = standing
        {
            self.answers_again(now, key, since);
        }
    }

    pub(super) fn answers_again(&mut self, now: Millis, upstream: UpstreamKey, since: Millis) {
        self.stats.recovered += 1;
        self.emit(DirectEvent::Answering { upstream, unreachable_for: now - since });
    }

    pub(super) fn unanswered(&mut self, now: Millis, ix: UpstreamIx, flow: FlowKey, sent: Millis) {
        let Some(seen) = self.seen.get_mut(ix.0 as usize) else { return };
        let kind = seen.liveness.unanswered(now, flow, sent);
        if seen.liveness.standing() != Standing::Answering {
            self.watch(ix);
        }
        let Some(kind) = kind else { return };
        let Some(it) = self.registry.get(ix) else { return };
        let upstream = it.said.key;
        self.emit(DirectEvent::Suspected { upstream, flow, waited: now - sent });
        self.send_probe(now, ix, kind);
    }

    pub(super) fn send_probe(&mut self, now: Millis, ix: UpstreamIx, kind: ProbeKind) {
        let last = match kind {
            ProbeKind::Connect => self.last_answered(now),
            ProbeKind::Identify => [None; 2],
        };
        self.send_probe_beside(ix, kind, last);
    }

    /// Sends a probe with one of `last` as its reference.
    fn send_probe_beside(
        &mut self,
        ix: UpstreamIx,
        kind: ProbeKind,
        last: [Option<UpstreamIx>; 2],
    ) {
        let Some(it) = self.registry.get(ix).filter(|it| !it.ended) else { return };
        let limits = self.routing.limits(&it.said.service);
        let path = limits.map(|it| it.health_path.clone()).unwrap_or_default();
        let (upstream, addr) = (it.said.key, it.said.addr);
        let reference = last.into_iter().flatten().find(|it| *it != ix);
        let reference_addr = reference.and_then(|it| self.registry.get(it)).map(|it| it.said.addr);
        self.stats.probes += 1;
        self.probes.push(Probe { upstream, addr, kind, path, reference_addr });
    }

    /// The two upstreams that answered last, the last one first, but for those that are suspected:
    /// one of them is another than the one that is probed.
    fn last_answered(&self, now: Millis) -> [Option<UpstreamIx>; 2] {
        let answered = |ix: UpstreamIx| self.seen[ix.0 as usize].liveness.answered();
        let after = |ix: UpstreamIx, than: Option<UpstreamIx>| {
            than.is_none_or(|it| answered(ix) >= answered(it))
        };
        let mut last = [None; 2];
        for (ix, it) in self.registry.iter() {
            let lately = now.since(answered(ix)) < IN_USE;
            if it.ended || !lately || self.reachability(ix) != Standing::Answering {
                continue;
            }
            if after(ix, last[0]) {
                last = [Some(ix), last[0]];
            } else if after(ix, last[1]) {
                last[1] = Some(ix);
            }
        }
        last
    }

    /// Tells whether most of the upstreams in use wait at once, in this host's own zone and over all.
    /// They do not fail together while this host lives: its own link or core is too slow.
    pub(super) fn is_own_fault(&self, now: Millis) -> bool {
        let (mut near, mut all) = (Waits::default(), Waits::default());
        for (ix, it) in self.registry.iter() {
            let seen = &self.seen[ix.0 as usize];
            let answered_lately = now.since(seen.liveness.answered()) < IN_USE;
            if it.ended || seen.load.waiting == 0 && !answered_lately {
                continue;
            }
            let waits = seen.liveness.standing() == Standing::Suspect;
            all.count(waits);
            if it.said.zone == self.cfg.zone {
                near.count(waits);
            }
        }
        near.waiting >= SELF_FAULT_LEAST && near.is_most() && all.is_most()
    }

    /// If a zone has given no sign of life since the caller of one of its upstreams began to wait,
    /// the path to the whole zone may be cut: its other upstreams are probed at once instead of one
    /// after the other as callers run into them.
    pub(super) fn doubt_zone(&mut self, now: Millis, lost: UpstreamIx, waited: Millis) {
        let Some(zone) = self.registry.get(lost).map(|it| it.said.zone) else { return };
        let since = now - waited;
        let answered = self.zones_answered.binary_search_by_key(&zone, |it| it.0);
        let answered = answered.is_ok_and(|at| self.zones_answered[at].1 > since);
        if zone == self.cfg.zone || answered {
            return;
        }
        let rest: Vec<UpstreamIx> = self
            .registry
            .iter()
            .filter(|it| it.1.said.zone == zone && !it.1.ended)
            .map(|it| it.0)
            .collect();
        let last = self.last_answered(now);
        for ix in rest {
            if self.seen[ix.0 as usize].liveness.doubt(since) {
                self.send_probe_beside(ix, ProbeKind::Connect, last);
            }
        }
    }

    pub(super) fn give_up(&mut self, now: Millis, ix: UpstreamIx, waited: Millis, from_peer: bool) {
        self.seen[ix.0 as usize].liveness.give_up(now);
        self.watch(ix);
        self.stats.unreachable += 1;
        let flows = self.reset_flows(now, ix, ResetReason::Unreachable);
        let Some(it) = self.registry.get(ix) else { return };
        let upstream = it.said.key;
        self.emit(DirectEvent::Unreachable { upstream, flows, waited, from_peer });
    }

    /// Resets all open flows of an upstream, the idle ones included, so that callers open new ones
    /// before their next request; returns how many.
    pub(super) fn reset_flows(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        reason: ResetReason,
    ) -> usize {
        let mut count = 0;
        for flow in self.flows.take_of(ix) {
            if !flow.open {
                // Its copies go elsewhere.
                self.flows.insert(flow);
                continue;
            }
            leave(&mut self.seen, &flow);
            self.count_broken(&flow.key, Some(&flow));
            count += 1;
            let reset = self.reset(now, Some(ix), flow.key, flow.ack, reason);
            self.resets.push(reset);
        }
        count
    }

    /// Counts a flow that was lost, and the request that waits in it.
    pub(super) fn count_broken(&mut self, key: &FlowKey, flow: Option<&Flow>) {
        if let Some(it) = self.outcomes.of(&self.routing, key.service) {
            it.broken += 1;
            it.unknown += u64::from(flow.is_some_and(|it| it.open && it.asked.is_some()));
        }
    }

    pub(super) fn reset(
        &mut self,
        now: Millis,
        ix: Option<UpstreamIx>,
        flow: FlowKey,
        seq: u32,
        reason: ResetReason,
    ) -> ResetPacket {
        self.stats.resets += 1;
        let upstream = ix.and_then(|it| self.registry.get(it)).map(|it| it.said.key);
        let answered = ix.map_or(now, |it| self.seen[it.0 as usize].liveness.answered());
        self.emit(DirectEvent::Reset {
            flow,
            upstream,
            reason,
            since_last_response: now - answered,
        });
        ResetPacket { flow, seq }
    }
}

/// How many upstreams in use wait for a probe's result.
#[derive(Debug, Clone, Copy, Default)]
struct Waits {
    in_use: usize,
    waiting: usize,
}

impl Waits {
    fn count(&mut self, waits: bool) {
        self.in_use += 1;
        self.waiting += usize::from(waits);
    }

    fn is_most(self) -> bool {
        self.waiting * 2 > self.in_use
    }
}
