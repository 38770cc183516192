//! Failure detection: finds upstreams that do not respond, from callers' packets and from probes,
//! and resets their flows.

use std::sync::Arc;

use pomelorun_wire::{FlowKey, ServiceAddr};
use smallvec::SmallVec;

use crate::{
    direct::{
        event::{DirectEvent, LifecycleChange, ResetReason},
        host::{DirectHost, DirectoryState},
        liveness::{
            Judgement, KeepReason, Liveness, MIN_RETRANSMIT_GAP, ProbeEffect, ProbeKind,
            ProbeResult, Reachability, UnansweredPacket,
        },
        mechanism::Mechanism,
        observed_flows::{Attempts, Flow},
        outlier::EjectDecision,
        peer_update::PeerUpdate,
        registry::{UpstreamIx, UpstreamKey},
        segment::{Segment, seq_after},
        upstream_speed::AnswerSample,
    },
    time::Millis,
};

/// Minimum number of suspect upstreams in this host's zone for a local fault to be assumed.
const MIN_LOCAL_FAULT_SUSPECTS: usize = 3;
/// Time since its last response within which an upstream counts as recently active.
pub(super) const RECENT_ACTIVITY: Millis = Millis(3_000);

impl DirectHost {
    /// Applies the result of a probe.
    pub fn apply_probe_result(&mut self, now: Millis, key: UpstreamKey, result: ProbeResult) {
        let Some(ix) = self.registry.by_key(key) else { return };
        let (times, service_times) = (&self.answer_times, &self.service_times);
        let routing = Arc::clone(&self.routing);
        let usual_wait = |it: &FlowKey| {
            let route = routing.route(it.service).map(|it| it.addr);
            times.full_queue(it.service, route.and_then(|it| service_times.get(it)))
        };
        let rule = self.evidence_rule(ix, &usual_wait);
        let liveness = &mut self.upstream_states[ix.0 as usize].liveness;
        let waited = liveness.silent_for(now);
        let since = match liveness.reachability() {
            Reachability::Unreachable { since } => since,
            Reachability::Answering | Reachability::Suspect => now,
        };
        let was_silent = liveness.is_silent();
        let was_gone = liveness.is_gone();
        let effect = liveness.record_probe(now, result, rule);
        let fell_silent = !was_silent && liveness.is_silent();
        if !was_gone && liveness.is_gone() {
            liveness.record_gone(now);
            self.mark_unhealthy(ix);
            self.report_gone(key);
        }
        if result == ProbeResult::Answered {
            self.record_process(now, ix, since);
        }
        match effect {
            ProbeEffect::Unchanged => {}
            ProbeEffect::Recovered => self.record_recovery(now, key, since),
            ProbeEffect::Unreachable | ProbeEffect::CutOff
                if self.is_enabled(Mechanism::LocalFault) && self.is_local_fault(now) =>
            {
                self.stats.local_faults += 1;
                self.emit(DirectEvent::LocalFault { upstream: key, waited });
                self.upstream_states[ix.0 as usize].liveness.set_verdict_aside(now);
            }
            ProbeEffect::Kept(reason) => {
                self.stats.kept += 1;
                self.stats.kept_by_peers += u64::from(reason == KeepReason::AnsweredPeer);
                self.mark_unhealthy(ix);
                self.emit(DirectEvent::Kept { upstream: key, reason, waited });
                if fell_silent {
                    self.probe_silent_zone(now, ix, waited, Liveness::start_zone_probe);
                }
            }
            ProbeEffect::Unreachable => {
                let waited_ms = u32::try_from(waited.0).unwrap_or(u32::MAX);
                self.peer_update.unreachable.push((key.id, key.started_at, waited_ms));
                self.mark_unreachable(now, ix, waited, false);
                self.probe_silent_zone(now, ix, waited, Liveness::record_zone_silence);
            }
            ProbeEffect::CutOff => self.mark_unreachable(now, ix, waited, false),
            ProbeEffect::Ended => {
                self.registry.mark_ended(ix);
                self.reset_flows_of_ended(now);
            }
        }
    }

    /// Tells other hosts that nothing listens at the address of an upstream. Hosts of other zones may have no
    /// flow there that shows it, and learn of its next start from the directory, if that is available.
    fn report_gone(&mut self, key: UpstreamKey) {
        let gone = (key.id, key.started_at);
        self.peer_update.gone.push(gone);
        if self.directory_state == DirectoryState::Unavailable {
            self.other_zones_update.gone.push(gone);
        }
    }

    /// Records that a process responds as the upstream, which was unreachable since `since` if it was at all.
    /// One that has started since counts as cold until the directory announces it.
    fn record_process(&mut self, now: Millis, ix: UpstreamIx, since: Millis) {
        if matches!(self.reachability(ix), Reachability::Unreachable { .. }) {
            return;
        }
        let may_have_restarted = since < now && !self.is_directory_current(now);
        let has_restarted = self.upstream_states[ix.0 as usize].liveness.take_restart();
        if !has_restarted && !may_have_restarted {
            return;
        }
        let Some(it) = self.registry.get(ix) else { return };
        let upstream = it.announcement.key;
        let cold_left = self.cold_time(&it.announcement.service);
        self.registry.mark_restarted(ix, now + cold_left);
        let change = LifecycleChange::Restarted;
        self.emit(DirectEvent::Lifecycle { upstream, change, cold_left });
    }

    /// Returns `true` if the directory would have told of a later start of an upstream by now.
    fn is_directory_current(&self, now: Millis) -> bool {
        let longest = self.cfg.announce_interval + self.cfg.announce_interval;
        self.directory_state == DirectoryState::Available
            && self.directory_age(now).is_some_and(|it| it <= longest)
    }

    /// Judges a probe whose judgement was postponed and is due, or repeats it.
    pub(super) fn judge_postponed(&mut self, now: Millis, ix: UpstreamIx) {
        match self.upstream_states[ix.0 as usize].liveness.take_judgement(now) {
            Judgement::NotDue => {}
            Judgement::Due => {
                if let Some(it) = self.registry.get(ix) {
                    self.apply_probe_result(now, it.announcement.key, ProbeResult::NoResponse);
                }
            }
            Judgement::Outdated => self.send_probe(now, ix, ProbeKind::Connect),
        }
    }

    /// Applies an update from another host.
    pub fn apply_peer_update(&mut self, now: Millis, update: &PeerUpdate) {
        let shared = self.is_enabled(Mechanism::SharedFailures);
        for &(id, started_at, waited_ms) in update.unreachable.iter().filter(|_| shared) {
            let Some(ix) = self.registry.by_key(UpstreamKey { id, started_at }) else { continue };
            let waited = Millis(u64::from(waited_ms));
            let liveness = &self.upstream_states[ix.0 as usize].liveness;
            let responded_since = now.since(liveness.last_response()) < waited;
            if !responded_since && !liveness.has_verdict(now) {
                self.mark_unreachable(now, ix, waited, true);
            }
        }
        for &(id, started_at) in update.gone.iter().filter(|_| shared) {
            let Some(ix) = self.registry.by_key(UpstreamKey { id, started_at }) else { continue };
            self.upstream_states[ix.0 as usize].liveness.record_gone(now);
            self.mark_unhealthy(ix);
        }
        for &(id, started_at, duration_ms) in &update.ejected {
            let Some(ix) = self.registry.by_key(UpstreamKey { id, started_at }) else { continue };
            let duration = Millis(u64::from(duration_ms));
            self.upstream_states[ix.0 as usize].outlier.record_ejection(now, duration);
            self.record_ejection(ix, EjectDecision { duration, failed: 0.0, total: 0.0 }, true);
        }
    }

    /// Updates the flow table and the upstream's liveness and load from a packet of an open flow.
    pub(super) fn observe_packet(&mut self, now: Millis, ix: UpstreamIx, seg: &Segment) {
        let Some(flow) = self.flows.get_mut(&seg.flow).filter(|it| it.established) else {
            self.record_established(now, ix, seg);
            return;
        };
        flow.last_packet = now;
        if seq_after(seg.ack, flow.ack) {
            flow.ack = seg.ack;
            if let Some(sent_at) = flow.unanswered_since.take() {
                if std::mem::take(&mut flow.overdue) {
                    let load = &mut self.upstream_states[ix.0 as usize].load;
                    load.overdue = load.overdue.saturating_sub(1);
                }
                let waited = now.since(sent_at);
                let is_whole = !std::mem::take(&mut flow.seen_late);
                self.stats.response_latency.record(waited.0);
                if is_whole {
                    self.answer_times.record(&self.routing, seg.flow.service, waited);
                }
                let route = self.routing.route(seg.flow.service);
                let in_time = route.is_some_and(|it| waited <= it.answer_within);
                if let Some(it) = self.outcomes.counters(&self.routing, seg.flow.service) {
                    it.answered += 1;
                    it.in_time += u64::from(in_time);
                }
                let route = route.map(|it| it.addr);
                self.record_answer(now, ix, route, sent_at);
            }
            self.record_response(now, ix, Liveness::record_response);
        }
        let Some(flow) = self.flows.get_mut(&seg.flow) else { return };
        if seg.len == 0 {
            return;
        }
        match flow.unanswered_since {
            None => {
                flow.unanswered_since = Some(now);
                flow.unanswered_seq = seg.seq;
                self.add_waiting(now, ix);
                self.record_request(now, ix, seg);
                self.count_request(now, ix, seg);
            }
            Some(sent) if seg.seq == flow.unanswered_seq => {
                self.record_retransmission(now, ix, seg.flow, sent);
            }
            Some(_) => {}
        }
    }

    /// Subtracts an answered request from the load of its upstream and records how long it took.
    fn record_answer(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        route: Option<ServiceAddr>,
        sent_at: Millis,
    ) {
        let Some(it) = self.registry.get(ix) else { return };
        let (zone, slots) = (it.announcement.zone, it.announcement.slots);
        let was_cold = sent_at < it.cold_until;
        let load = &mut self.upstream_states[ix.0 as usize].load;
        let has_queued = load.remove_waiting(now, sent_at, slots);
        let Some(route) = route else { return };
        let shared = self.upstream_load(&self.shared_load.picture(now), ix, it).in_progress;
        let sample = AnswerSample {
            route,
            took: now.since(sent_at),
            round_trip: self.opening_times.mean(zone).unwrap_or(Millis(0)),
            is_delayed: has_queued
                || was_cold
                || shared.is_some_and(|it| it >= f64::from(slots.max(1))),
        };
        self.record_answer_time(now, ix, &sample);
        self.record_answer_delay(now, ix, &sample);
    }

    fn add_waiting(&mut self, now: Millis, ix: UpstreamIx) {
        let slots = self.registry.get(ix).map_or(1, |it| it.announcement.slots);
        self.upstream_states[ix.0 as usize].load.add_waiting(now, slots);
    }

    /// Adds a flow to the flow table as established: at its first packet after the opening one, or
    /// when the flow was opened through another host.
    pub(super) fn record_established(&mut self, now: Millis, ix: UpstreamIx, seg: &Segment) {
        let (mut first_sent, mut opening_seq) = (None, None);
        let opening = self.flows.remove(&seg.flow);
        let is_opened_here = opening.is_some();
        if let Some(opening) = opening {
            first_sent = opening.attempts.first_sent;
            opening_seq = opening.opening_seq;
            self.record_opening_time(now, ix, &opening);
            if let Some(it) = self.outcomes.counters(&self.routing, seg.flow.service) {
                it.opened += 1;
            }
            self.record_accepted(now, ix);
        }
        let has_data = seg.len > 0;
        let inserted = self.flows.insert(Flow {
            key: seg.flow,
            attempts: Attempts { upstreams: SmallVec::from_slice(&[ix]), first_sent },
            opening_seq,
            established: true,
            is_closed: false,
            last_packet: now,
            ack: seg.ack,
            unanswered_seq: seg.seq,
            unanswered_since: has_data.then_some(now),
            seen_late: has_data && !is_opened_here,
            overdue: false,
            unassessed_request: None,
            failed: false,
        });
        if inserted && has_data {
            self.record_request(now, ix, seg);
            self.count_request(now, ix, seg);
            self.add_waiting(now, ix);
        }
    }

    /// Records a response of an upstream in its liveness by `record`, and that of its zone.
    fn record_response(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        record: fn(&mut Liveness, Millis) -> bool,
    ) {
        let Some(it) = self.registry.get(ix) else { return };
        let (key, zone) = (it.announcement.key, it.announcement.zone);
        match self.zone_responses.binary_search_by_key(&zone, |it| it.0) {
            Ok(at) => self.zone_responses[at].1 = now,
            Err(at) => self.zone_responses.insert(at, (zone, now)),
        }
        let liveness = &mut self.upstream_states[ix.0 as usize].liveness;
        let reachability = liveness.reachability();
        if record(liveness, now)
            && let Reachability::Unreachable { since } = reachability
        {
            self.record_recovery(now, key, since);
        }
    }

    /// Records that an upstream has accepted a flow.
    fn record_accepted(&mut self, now: Millis, ix: UpstreamIx) {
        let since = match self.reachability(ix) {
            Reachability::Unreachable { since } => since,
            Reachability::Answering | Reachability::Suspect => now,
        };
        self.record_response(now, ix, Liveness::record_accepted);
        self.record_process(now, ix, since);
    }

    pub(super) fn record_recovery(&mut self, now: Millis, upstream: UpstreamKey, since: Millis) {
        self.stats.recovered += 1;
        self.emit(DirectEvent::Recovered { upstream, unreachable_for: now - since });
    }

    /// Records that a packet first forwarded at `sent` was retransmitted, and probes its upstream
    /// if that makes it suspect.
    pub(super) fn record_retransmission(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        flow: FlowKey,
        sent: Millis,
    ) {
        if now.since(sent) >= MIN_RETRANSMIT_GAP {
            self.record_unanswered(now, ix, flow, sent);
        }
    }

    /// Records that a packet forwarded at `sent` has no answer although it is due, and probes its
    /// upstream if that makes it suspect.
    pub(super) fn record_unanswered(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        flow: FlowKey,
        sent: Millis,
    ) {
        let Some(state) = self.upstream_states.get_mut(ix.0 as usize) else { return };
        let established = self.flows.get_mut(&flow).is_some_and(|it| it.established);
        let packet = UnansweredPacket { flow, established, sent };
        let kind = state.liveness.record_unanswered(now, packet);
        if state.liveness.reachability() != Reachability::Answering {
            self.mark_unhealthy(ix);
        }
        let Some(kind) = kind.filter(|_| self.is_enabled(Mechanism::FailureDetection)) else {
            return;
        };
        let Some(it) = self.registry.get(ix) else { return };
        let upstream = it.announcement.key;
        self.emit(DirectEvent::Suspected { upstream, flow, waited: now - sent });
        self.send_probe(now, ix, kind);
    }

    /// Returns `true` if most upstreams in use are suspect at the same time, both in this host's
    /// zone and over all zones.
    ///
    /// So many upstreams do not fail at once while this host stays up; its own link or CPU is
    /// probably overloaded.
    pub(super) fn is_local_fault(&self, now: Millis) -> bool {
        let (mut zone, mut all) = (SuspectShare::default(), SuspectShare::default());
        for (ix, it) in self.registry.iter() {
            let state = &self.upstream_states[ix.0 as usize];
            let recently_active = now.since(state.liveness.last_response()) < RECENT_ACTIVITY;
            if it.ended || state.load.waiting == 0 && !recently_active {
                continue;
            }
            let suspect = state.liveness.has_unanswered();
            all.add(suspect);
            if it.announcement.zone == self.cfg.zone {
                zone.add(suspect);
            }
        }
        zone.suspect >= MIN_LOCAL_FAULT_SUSPECTS && zone.is_majority() && all.is_majority()
    }

    /// Marks an upstream unreachable and resets its flows.
    pub(super) fn mark_unreachable(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        waited: Millis,
        from_peer: bool,
    ) {
        self.upstream_states[ix.0 as usize].liveness.mark_unreachable(now);
        self.mark_unhealthy(ix);
        self.stats.unreachable += 1;
        let flows = self.reset_flows(now, ix, ResetReason::Unreachable);
        let Some(it) = self.registry.get(ix) else { return };
        let upstream = it.announcement.key;
        self.emit(DirectEvent::Unreachable { upstream, flows, waited, from_peer });
    }
}

/// Number of upstreams in use, and how many of them are suspect.
#[derive(Debug, Clone, Copy, Default)]
struct SuspectShare {
    in_use: usize,
    suspect: usize,
}

impl SuspectShare {
    fn add(&mut self, suspect: bool) {
        self.in_use += 1;
        self.suspect += usize::from(suspect);
    }

    fn is_majority(self) -> bool {
        self.suspect * 2 > self.in_use
    }
}
