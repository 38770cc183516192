//! Opening packets that no upstream can take: refused at once, or met with silence while a copy may be
//! taken.

use pomelorun_wire::FlowKey;

use crate::{
    direct::{
        host::{DirectHost, StoreView, Verdict},
        note::{DropWhy, Note, ResetWhy},
        placement::Candidate,
        registry::UpstreamIx,
        segment::Segment,
    },
    time::Millis,
};

impl DirectHost {
    /// An address without a route is refused while the revision is known to be the newest, and met
    /// with silence otherwise: the route may be new.
    pub(super) fn no_route(&mut self, now: Millis, seg: &Segment) -> Verdict {
        self.stats.no_route += 1;
        let fresh = self.heard.is_some_and(|it| now.since(it) < self.cfg.fresh);
        if fresh && self.store == StoreView::Answering {
            return Verdict::Reset(self.reset(now, None, seg.flow, seg.ack, ResetWhy::NoRoute));
        }
        self.note(Note::Dropped { flow: seg.flow, why: DropWhy::NoRoute, token: seg.token });
        Verdict::Drop
    }

    /// An opening packet is met with silence while a cold upstream may take its copy, and refused
    /// while the service is known to have no upstream.
    pub(super) fn no_upstream(&mut self, now: Millis, service: &str, seg: &Segment) -> Verdict {
        self.stats.no_upstream += 1;
        self.count_refused(&seg.flow);
        let cold = |ix: &UpstreamIx| {
            self.registry.get(*ix).is_some_and(|it| it.is_eligible() && now < it.cold_until)
        };
        let hope = self.registry.by_service(service).iter().any(cold);
        if self.store == StoreView::Answering && !hope {
            return Verdict::Reset(self.reset(now, None, seg.flow, seg.ack, ResetWhy::NoUpstream));
        }
        self.note(Note::Dropped { flow: seg.flow, why: DropWhy::NoUpstream, token: seg.token });
        Verdict::Drop
    }

    /// No upstream of the service answered its last probe: the caller is refused at once, and they
    /// are probed again soon.
    pub(super) fn all_unreachable(
        &mut self,
        now: Millis,
        candidates: &[Candidate],
        seg: &Segment,
    ) -> Verdict {
        self.stats.no_upstream += 1;
        self.count_refused(&seg.flow);
        for it in candidates {
            self.seen[it.ix.0 as usize].liveness.expedite_probe(now);
        }
        Verdict::Reset(self.reset(now, None, seg.flow, seg.ack, ResetWhy::NoUpstream))
    }

    /// Counts a flow that was not opened.
    fn count_refused(&mut self, key: &FlowKey) {
        if let Some(it) = self.outcomes.counters(&self.routing, key.service) {
            it.refused += 1;
        }
    }
}
