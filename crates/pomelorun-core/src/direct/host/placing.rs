//! Placing new flows.

use std::sync::Arc;

use pomelorun_wire::{FlowKey, HostId};
use smallvec::SmallVec;

use crate::{
    choice::rendezvous_score,
    direct::{
        host::{DirectHost, Verdict},
        liveness::Reachability,
        note::{Note, OpenWhy},
        observed_flows::{Flow, Tried},
        placement::{Candidate, Choice, choose},
        registry::{Upstream, UpstreamIx, UpstreamKey},
        segment::Segment,
        view::Barred,
    },
    time::Millis,
};

impl DirectHost {
    pub(super) fn place(&mut self, now: Millis, seg: &Segment, mut tried: Tried) -> Verdict {
        let routing = Arc::clone(&self.routing);
        let Some(route) = routing.route(seg.flow.service) else { return self.no_route(now, seg) };
        let Some(service) = route.service_of(&seg.flow) else { return self.no_route(now, seg) };
        let candidates = self.candidates(now, service, &seg.flow, &tried);
        let Some(best) = choose(&candidates) else { return self.no_upstream(now, service, seg) };
        if best.choice == Choice::Unreachable {
            return self.all_unreachable(now, &candidates, seg);
        }
        let seen = &mut self.seen[best.ix.0 as usize];
        seen.load.record_open(now);
        if self.registry.get(best.ix).is_some_and(|it| now < it.cold_until) {
            seen.cold.record_open(now);
        }
        let Some(it) = self.registry.get(best.ix) else { return Verdict::Drop };
        let upstream = it.announcement.key;
        let why = OpenWhy {
            choice: best.choice,
            candidates: candidates.len(),
            waiting: best.waiting,
            copies: tried.len(),
        };
        self.note(Note::Opened { flow: seg.flow, upstream, why, revision: routing.revision });
        if tried.is_empty() {
            self.stats.opened += 1;
        } else {
            self.stats.copies += 1;
        }
        tried.push(best.ix);
        self.flows.insert(Flow {
            key: seg.flow,
            tried,
            established: false,
            last_packet: now,
            ack: 0,
            unanswered_seq: seg.seq,
            unanswered_since: Some(now),
            unjudged_request: None,
            failed: false,
        });
        self.forward(best.ix)
    }

    pub(super) fn candidates(
        &self,
        now: Millis,
        service: &str,
        flow: &FlowKey,
        tried: &[UpstreamIx],
    ) -> SmallVec<[Candidate; 32]> {
        let mut found: SmallVec<[Candidate; 32]> = SmallVec::new();
        let flow_hash = flow.stable_hash();
        for &ix in self.registry.by_service(service) {
            let Some(it) = self.registry.get(ix) else { continue };
            let Ok(choice) = self.choice(now, ix, it) else { continue };
            // A copy goes to one that was already tried only for want of another.
            let choice = if tried.contains(&ix) { choice.max(Choice::Tried) } else { choice };
            let tie_break = rendezvous_score(flow_hash, it.announcement.key.id);
            found.push(Candidate { choice, tie_break, ..self.candidate(now, ix, it) });
        }
        found
    }

    /// An upstream with its load, taken as good.
    pub(super) fn candidate(&self, now: Millis, ix: UpstreamIx, it: &Upstream) -> Candidate {
        let seen = &self.seen[ix.0 as usize];
        Candidate {
            ix,
            choice: Choice::Good,
            same_zone: it.announcement.zone == self.cfg.zone,
            waiting: f64::from(seen.load.waiting),
            recent_opens: seen.load.recent_opens(now),
            slots: it.announcement.slots,
            penalty: seen.outlier.penalty(now),
            tie_break: 0,
        }
    }

    pub(super) fn choice(
        &self,
        now: Millis,
        ix: UpstreamIx,
        it: &Upstream,
    ) -> Result<Choice, Barred> {
        if self.out.binary_search(&it.announcement.zone).is_ok() {
            return Err(Barred::ZoneOut);
        }
        if !self.registry.owns_token(ix) {
            return Err(Barred::TokenTaken);
        }
        if it.ended {
            return Err(Barred::Ended);
        }
        if it.announcement.draining {
            return Err(Barred::Draining);
        }
        let seen = &self.seen[ix.0 as usize];
        if now < it.cold_until {
            return self.cold_choice(now, ix, it);
        }
        let usable = match it.lapsed_at {
            None => Choice::Good,
            Some(at) if now.since(at) >= self.cfg.lapse_grace => return Err(Barred::Lapsed),
            Some(at) if self.was_away(at) => Choice::Good,
            Some(_) => Choice::Lapsed,
        };
        Ok(match seen.liveness.reachability() {
            Reachability::Answering => usable,
            Reachability::Suspect => Choice::Suspect,
            Reachability::Unreachable { .. } => Choice::Unreachable,
        })
    }

    fn cold_choice(&self, now: Millis, ix: UpstreamIx, it: &Upstream) -> Result<Choice, Barred> {
        if it.lapsed_at.is_some() {
            return Err(Barred::Lapsed);
        }
        if !self.is_primary(it.announcement.key) {
            return Err(Barred::ColdElsewhere);
        }
        let per_s = self.routing.limits(&it.announcement.service).map_or(0.0, |it| it.cold_per_s);
        if !self.seen[ix.0 as usize].cold.has_room(now, self.cfg.cold.opens_per_second(per_s)) {
            return Err(Barred::ColdFull);
        }
        Ok(Choice::Cold)
    }

    /// Tells whether the directory had been away shortly before `at`.
    pub(super) fn was_away(&self, at: Millis) -> bool {
        self.back.is_some_and(|back| at.since(back) < self.cfg.lapse_grace)
    }

    /// One host at a time gives a cold upstream its flows, so that they are counted in one place.
    pub(super) fn is_primary(&self, key: UpstreamKey) -> bool {
        let score = |it: &HostId| rendezvous_score(it.0, key.id ^ key.started_at);
        self.hosts.iter().max_by_key(|it| score(it)) == Some(&self.cfg.host)
    }
}
