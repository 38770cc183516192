//! Placing new flows.

use std::sync::Arc;

use pomelorun_wire::{FlowKey, HostId};
use smallvec::SmallVec;

use crate::{
    direct::{
        flows::{Flow, Tried},
        host::{DirectHost, Verdict},
        liveness::Standing,
        note::{Note, OpenWhy},
        placement::{Candidate, Choice, choose},
        registry::{Upstream, UpstreamIx, UpstreamKey},
        segment::Segment,
        view::Barred,
    },
    selection::rendezvous_score,
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
        seen.load.opened(now);
        if self.registry.get(best.ix).is_some_and(|it| now < it.cold_until) {
            seen.cold.take(now);
        }
        let Some(it) = self.registry.get(best.ix) else { return Verdict::Drop };
        let upstream = it.said.key;
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
            open: false,
            seen: now,
            ack: 0,
            asked_seq: seg.seq,
            asked: Some(now),
            request: None,
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
        let tie = flow.stable_hash();
        for &ix in self.registry.of_service(service) {
            let Some(it) = self.registry.get(ix) else { continue };
            let Ok(choice) = self.choice(now, ix, it) else { continue };
            // A copy goes to one that was already tried only for want of another.
            let choice = if tried.contains(&ix) { choice.max(Choice::Tried) } else { choice };
            let tie = rendezvous_score(tie, it.said.key.id);
            found.push(Candidate { choice, tie, ..self.candidate(now, ix, it) });
        }
        found
    }

    /// An upstream with its load, taken as good.
    pub(super) fn candidate(&self, now: Millis, ix: UpstreamIx, it: &Upstream) -> Candidate {
        let seen = &self.seen[ix.0 as usize];
        Candidate {
            ix,
            choice: Choice::Good,
            near: it.said.zone == self.cfg.zone,
            waiting: f64::from(seen.load.waiting),
            opens: seen.load.opens(now),
            slots: it.said.slots,
            penalty: seen.outlier.penalty(now),
            tie: 0,
        }
    }

    pub(super) fn choice(
        &self,
        now: Millis,
        ix: UpstreamIx,
        it: &Upstream,
    ) -> Result<Choice, Barred> {
        if self.out.binary_search(&it.said.zone).is_ok() {
            return Err(Barred::ZoneOut);
        }
        if !self.registry.owns_token(ix) {
            return Err(Barred::TokenTaken);
        }
        if it.ended {
            return Err(Barred::Ended);
        }
        if it.said.draining {
            return Err(Barred::Draining);
        }
        let seen = &self.seen[ix.0 as usize];
        if now < it.cold_until {
            return self.cold_choice(now, ix, it);
        }
        let usable = match it.lapsed {
            None => Choice::Good,
            Some(at) if now.since(at) >= self.cfg.lapse_grace => return Err(Barred::Lapsed),
            Some(at) if self.was_away(at) => Choice::Good,
            Some(_) => Choice::Lapsed,
        };
        Ok(match seen.liveness.standing() {
            Standing::Answering => usable,
            Standing::Suspect => Choice::Suspect,
            Standing::Unreachable { .. } => Choice::Unreachable,
        })
    }

    fn cold_choice(&self, now: Millis, ix: UpstreamIx, it: &Upstream) -> Result<Choice, Barred> {
        if it.lapsed.is_some() {
            return Err(Barred::Lapsed);
        }
        if !self.is_primary(it.said.key) {
            return Err(Barred::ColdElsewhere);
        }
        let per_s = self.routing.limits(&it.said.service).map_or(0.0, |it| it.cold_per_s);
        if !self.seen[ix.0 as usize].cold.has_room(now, self.cfg.cold.per_s(per_s)) {
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
        let score = |it: &HostId| rendezvous_score(it.0, key.id ^ key.born);
        self.hosts.iter().max_by_key(|it| score(it)) == Some(&self.cfg.host)
    }
}
