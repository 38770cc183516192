//! Placement of new flows on upstreams.

use std::sync::Arc;

use pomelorun_wire::{FlowKey, ZoneId};
use smallvec::SmallVec;

use crate::{
    direct::{
        admission::{Contender, credit_joining},
        event::{DirectEvent, OpenCause, OpenReason},
        host::{DirectHost, Verdict},
        liveness::Reachability,
        mechanism::Mechanism,
        observed_flows::{Attempts, Flow},
        overload::Admission,
        placement::{Candidate, Choice, choose},
        registry::{Upstream, UpstreamIx, UpstreamKey},
        segment::Segment,
        shared_load::LoadPicture,
        upstream_speed::SPEED_BOUNDS,
        view::IneligibleReason,
    },
    selection::rendezvous_score,
    time::Millis,
};

impl DirectHost {
    /// Chooses an upstream for a flow and forwards its opening packet there.
    pub(super) fn place_flow(&mut self, now: Millis, seg: &Segment, attempts: Attempts) -> Verdict {
        let routing = Arc::clone(&self.routing);
        let Some(route) = routing.route(seg.flow.service) else {
            return self.reject_without_route(now, seg);
        };
        let Some(service) = route.service_of(&seg.flow) else {
            return self.reject_without_route(now, seg);
        };
        let mut candidates = self.candidates(now, service, &seg.flow, &attempts.upstreams);
        let admission = self.admit_flow(now, route, service, seg, &attempts);
        if admission == Admission::Reject {
            return self.reject_overload(now, seg);
        }
        self.admit_joining(now, &mut candidates);
        self.restrict_candidates(service, admission, &mut candidates);
        let Some(best) = choose(&candidates) else {
            return self.reject_without_upstream(now, service, seg);
        };
        if best.choice == Choice::Unreachable {
            return self.reject_unreachable(now, &candidates, seg);
        }
        let cause = if attempts.upstreams.is_empty() {
            OpenCause::FirstPacket
        } else {
            OpenCause::Retransmission
        };
        self.open_at(now, seg, attempts, &best, candidates.len(), cause)
    }

    /// Forwards an opening packet to an upstream and tracks the flow.
    pub(super) fn open_at(
        &mut self,
        now: Millis,
        seg: &Segment,
        mut attempts: Attempts,
        best: &Candidate,
        candidates: usize,
        cause: OpenCause,
    ) -> Verdict {
        let is_cold = self.is_cold(now, best.ix);
        let state = &mut self.upstream_states[best.ix.0 as usize];
        state.load.record_open(now);
        if is_cold {
            state.cold.record_open(now);
        }
        let Some(it) = self.registry.get(best.ix) else { return Verdict::Drop };
        let (upstream, zone) = (it.announcement.key, it.announcement.zone);
        let reason = OpenReason {
            choice: best.choice,
            candidates,
            waiting: best.waiting,
            previous_attempts: attempts.upstreams.len(),
            cause,
        };
        self.emit(DirectEvent::Opened {
            flow: seg.flow,
            upstream,
            reason,
            revision: self.routing.revision,
        });
        match cause {
            OpenCause::FirstPacket => self.stats.opened += 1,
            OpenCause::Retransmission => self.stats.retried_opens += 1,
            OpenCause::Overdue => self.stats.overdue_opens += 1,
        }
        attempts.upstreams.push(best.ix);
        self.await_answer(now, seg, zone, attempts.upstreams.len());
        self.flows.insert(Flow {
            key: seg.flow,
            attempts,
            opening_seq: Some(seg.seq),
            established: false,
            is_closed: false,
            last_packet: now,
            ack: 0,
            unanswered_seq: seg.seq,
            unanswered_since: Some(now),
            seen_late: false,
            overdue: false,
            unassessed_request: None,
            failed: false,
        });
        self.forward(best.ix)
    }

    /// Records how long a flow has lived that its caller closes.
    pub(super) fn record_lifetime(&mut self, now: Millis, ix: UpstreamIx, key: &FlowKey) {
        let Some(flow) = self.flows.get_mut(key) else { return };
        // Only a flow that this host has opened, and once.
        let Some(opened_at) = flow.attempts.first_sent.take() else { return };
        if let Some(it) = self.registry.get(ix) {
            self.flow_lifetimes.record(&it.announcement.service, now.since(opened_at));
        }
    }

    /// Returns for which part of the time that an opening counts its flow is load.
    pub(super) fn load_share(&self, service: &str) -> f64 {
        if self.is_enabled(Mechanism::FlowLifetimes) {
            self.flow_lifetimes.load_share(service)
        } else {
            1.0
        }
    }

    /// Credits the candidates that were none for the previous flow with the flows that the others
    /// have got meanwhile.
    fn admit_joining(&mut self, now: Millis, candidates: &mut [Candidate]) {
        if !self.is_enabled(Mechanism::JoiningCredit) {
            return;
        }
        // Upstreams that get flows only if there is no other stay out until they are good again.
        let is_regular = |it: &Candidate| matches!(it.choice, Choice::Good | Choice::Tried);
        let regular: SmallVec<[usize; 32]> =
            (0..candidates.len()).filter(|&at| is_regular(&candidates[at])).collect();
        let contenders: SmallVec<[Contender; 32]> = regular
            .iter()
            .map(|&at| Contender {
                last_candidate: self.upstream_states[candidates[at].ix.0 as usize]
                    .load
                    .last_candidate,
                same_zone: candidates[at].same_zone,
                opens_per_slot: candidates[at].recent_opens / candidates[at].slot_count(),
            })
            .collect();
        let salt = |at: usize| self.upstream_salt(candidates[regular[at]].ix);
        for (at, credit) in credit_joining(&contenders, &salt) {
            let it = &mut candidates[regular[at]];
            it.recent_opens = credit * it.slot_count();
            let load = &mut self.upstream_states[it.ix.0 as usize].load;
            load.credit_opens(now, it.recent_opens);
        }
        for at in regular {
            let load = &mut self.upstream_states[candidates[at].ix.0 as usize].load;
            load.last_candidate = Some(now);
        }
    }

    /// Returns a hash of this host and an upstream.
    fn upstream_salt(&self, ix: UpstreamIx) -> u64 {
        self.registry
            .get(ix)
            .map_or(0, |it| rendezvous_score(self.cfg.host.0, it.announcement.key.id))
    }

    /// Returns the eligible upstreams of a service, for a flow whose opening packet was already
    /// sent to the upstreams in `tried`.
    pub(super) fn candidates(
        &self,
        now: Millis,
        service: &str,
        flow: &FlowKey,
        tried: &[UpstreamIx],
    ) -> SmallVec<[Candidate; 32]> {
        let mut found: SmallVec<[Candidate; 32]> = SmallVec::new();
        let flow_hash = flow.stable_hash();
        let unanswering_zones = self.unanswering_zones(tried);
        let load_share = self.load_share(service);
        let picture = self.shared_load.picture(now);
        for &ix in self.registry.by_service(service) {
            let Some(it) = self.registry.get(ix) else { continue };
            let Ok(choice) = self.classify(now, ix, it) else { continue };
            // A retransmitted opening packet goes to a tried upstream only if every other eligible
            // upstream is unreachable.
            let is_tried = tried.contains(&ix) && self.is_enabled(Mechanism::RetransmitElsewhere);
            let choice = if is_tried { choice.max(Choice::Tried) } else { choice };
            let tie_break = rendezvous_score(flow_hash, it.announcement.key.id);
            let in_unanswering_zone = unanswering_zones.contains(&it.announcement.zone);
            let it = Candidate { load_share, ..self.candidate(now, &picture, ix, it) };
            found.push(Candidate { choice, in_unanswering_zone, tie_break, ..it });
        }
        found
    }

    /// Returns the other zones with an upstream that did not answer the opening packet.
    fn unanswering_zones(&self, tried: &[UpstreamIx]) -> SmallVec<[ZoneId; 3]> {
        if !self.is_enabled(Mechanism::AvoidUnansweringZone) {
            return SmallVec::new();
        }
        let zones = tried.iter().filter_map(|ix| self.registry.get(*ix));
        zones.map(|it| it.announcement.zone).filter(|it| *it != self.cfg.zone).collect()
    }

    /// Returns an upstream as a candidate with its load, and with the rank [`Choice::Good`].
    pub(super) fn candidate(
        &self,
        now: Millis,
        picture: &LoadPicture<'_>,
        ix: UpstreamIx,
        it: &Upstream,
    ) -> Candidate {
        let state = &self.upstream_states[ix.0 as usize];
        let load = self.upstream_load(picture, ix, it);
        let speed = load.speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
        let knows_speed = self.is_enabled(Mechanism::UpstreamSpeed);
        let if_enabled =
            |mechanism, value: f64| if self.is_enabled(mechanism) { value } else { 0.0 };
        Candidate {
            ix,
            choice: Choice::Good,
            same_zone: it.announcement.zone == self.cfg.zone
                || !self.is_enabled(Mechanism::ZonePreference),
            in_unanswering_zone: false,
            waiting: if_enabled(Mechanism::WaitingRequests, f64::from(state.load.waiting)),
            recent_opens: if_enabled(Mechanism::RecentOpens, state.load.recent_opens(now)),
            load_share: 1.0,
            slots: it.announcement.slots,
            speed: if knows_speed { speed } else { 1.0 },
            shared_in_progress: load.in_progress,
            penalty: if_enabled(Mechanism::OutlierEjection, state.outlier.penalty(now)),
            tie_break: 0,
        }
    }

    /// Returns the rank of an upstream for new flows, or why it is not eligible.
    pub(super) fn classify(
        &self,
        now: Millis,
        ix: UpstreamIx,
        it: &Upstream,
    ) -> Result<Choice, IneligibleReason> {
        if self.withdrawn_zones.binary_search(&it.announcement.zone).is_ok() {
            return Err(IneligibleReason::ZoneOut);
        }
        if !self.registry.owns_token(ix) {
            return Err(IneligibleReason::TokenTaken);
        }
        if it.ended {
            return Err(IneligibleReason::Ended);
        }
        if it.announcement.draining {
            return Err(IneligibleReason::Draining);
        }
        let state = &self.upstream_states[ix.0 as usize];
        if self.is_cold(now, ix) {
            let choice = self.classify_cold(now, ix, it)?;
            return Ok(if state.liveness.is_gone() { Choice::Unreachable } else { choice });
        }
        let usable = match it.lapsed_at {
            None => Choice::Good,
            Some(at)
                if now.since(at) >= self.cfg.lapse_grace
                    || !self.is_enabled(Mechanism::LapseGrace) =>
            {
                return Err(IneligibleReason::Lapsed);
            }
            Some(at) if self.directory_recovered_shortly_before(at) => Choice::Good,
            Some(_) => Choice::Lapsed,
        };
        Ok(match state.liveness.reachability() {
            Reachability::Answering => usable,
            Reachability::Suspect if !self.is_enabled(Mechanism::Suspicion) => usable,
            Reachability::Suspect if state.liveness.is_silent() => Choice::Unreachable,
            Reachability::Suspect => Choice::Suspect,
            Reachability::Unreachable { .. } => Choice::Unreachable,
        })
    }

    /// Returns `true` if the upstream is cold, or will be because it is gone: the first flow that it accepts may
    /// be what shows that it has started again.
    fn is_cold(&self, now: Millis, ix: UpstreamIx) -> bool {
        let Some(it) = self.registry.get(ix) else { return false };
        let is_gone = self.upstream_states[ix.0 as usize].liveness.is_gone();
        now < it.cold_until || is_gone && self.cold_time(&it.announcement.service) > Millis(0)
    }

    /// Returns how long upstreams of a service are cold after they start.
    pub(super) fn cold_time(&self, service: &str) -> Millis {
        self.routing.limits(service).map_or(Millis(0), |it| it.cold)
    }

    fn classify_cold(
        &self,
        now: Millis,
        ix: UpstreamIx,
        it: &Upstream,
    ) -> Result<Choice, IneligibleReason> {
        if it.lapsed_at.is_some() {
            return Err(IneligibleReason::Lapsed);
        }
        let per_s = self.routing.limits(&it.announcement.service).map_or(0.0, |it| it.cold_per_s);
        let limit = self.cfg.cold.opens_per_second(per_s);
        let budget = self.cold_budget(now, it.announcement.key, limit);
        if budget == 0 && limit > 0 {
            return Err(IneligibleReason::ColdElsewhere);
        }
        if !self.upstream_states[ix.0 as usize].cold.has_room(now, budget) {
            return Err(IneligibleReason::ColdFull);
        }
        Ok(Choice::Cold)
    }

    /// Returns `true` if the directory became available again shortly before `at`.
    pub(super) fn directory_recovered_shortly_before(&self, at: Millis) -> bool {
        self.directory_recovered_at
            .is_some_and(|recovered| at.since(recovered) < self.cfg.lapse_grace)
    }

    /// Returns how many flows this host may open in the window of a cold upstream's limit.
    fn cold_budget(&self, now: Millis, key: UpstreamKey, limit: u32) -> u32 {
        if self.is_enabled(Mechanism::ColdStartOwner) {
            self.cold_owners.budget(now, self.cfg.host, key, limit)
        } else {
            limit
        }
    }
}
