//! Opening packets that no upstream can take: refused at once, or met with silence while a copy may be
//! taken.

use pomelorun_wire::FlowKey;

use crate::{
    direct::{
        event::{DirectEvent, DropReason, ResetReason},
        host::{DirectHost, DirectoryState, Verdict},
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
        let fresh =
            self.directory_heard_at.is_some_and(|it| now.since(it) < self.cfg.directory_max_age);
        if fresh && self.directory_state == DirectoryState::Available {
            return Verdict::Reset(self.reset(now, None, seg.flow, seg.ack, ResetReason::NoRoute));
        }
        self.emit(DirectEvent::Dropped {
            flow: seg.flow,
            reason: DropReason::NoRoute,
            token: seg.token,
        });
        Verdict::Drop
    }

    /// An opening packet is met with silence while a cold upstream may take its copy, and refused
    /// while the service is known to have no upstream.
    pub(super) fn no_upstream(&mut self, now: Millis, service: &str, seg: &Segment) -> Verdict {
        self.stats.no_upstream += 1;
        self.count_refused(&seg.flow);
        let cold = |ix: &UpstreamIx| {
            self.registry.get(*ix).is_some_and(|it| it.is_offered() && now < it.cold_until)
        };
        let hope = self.registry.of_service(service).iter().any(cold);
        if self.directory_state == DirectoryState::Available && !hope {
            return Verdict::Reset(self.reset(
                now,
                None,
                seg.flow,
                seg.ack,
                ResetReason::NoUpstream,
            ));
        }
        self.emit(DirectEvent::Dropped {
            flow: seg.flow,
            reason: DropReason::NoUpstream,
            token: seg.token,
        });
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
            self.seen[it.ix.0 as usize].liveness.want_trial(now);
        }
        Verdict::Reset(self.reset(now, None, seg.flow, seg.ack, ResetReason::NoUpstream))
    }

    /// Counts a flow that was not opened.
    fn count_refused(&mut self, key: &FlowKey) {
        if let Some(it) = self.outcomes.of(&self.routing, key.service) {
            it.refused += 1;
        }
    }
}
