//! Opening packets without an eligible upstream.
//!
//! They are rejected with a reset, or dropped if a retransmission may succeed.

use pomelorun_wire::FlowKey;

use crate::{
    direct::{
        event::{DirectEvent, DropReason, ResetReason},
        host::{DirectHost, DirectoryState, Verdict},
        mechanism::Mechanism,
        placement::Candidate,
        registry::UpstreamIx,
        segment::Segment,
    },
    time::Millis,
};

impl DirectHost {
    /// Rejects an opening packet whose address has no route.
    ///
    /// The packet is dropped if the active revision may be outdated, since the route may be new.
    pub(super) fn reject_without_route(&mut self, now: Millis, seg: &Segment) -> Verdict {
        self.stats.no_route += 1;
        let is_current = self
            .directory_last_response
            .is_some_and(|it| now.since(it) < self.cfg.directory_max_age);
        if is_current && self.directory_state == DirectoryState::Available {
            return Verdict::Reset(self.make_reset(
                now,
                None,
                seg.flow,
                seg.ack,
                ResetReason::NoRoute,
            ));
        }
        self.emit(DirectEvent::Dropped {
            flow: seg.flow,
            reason: DropReason::NoRoute,
            token: seg.token,
        });
        Verdict::Drop
    }

    /// Rejects an opening packet for a service without an eligible upstream.
    ///
    /// The packet is dropped if a cold upstream may accept a retransmission, or if this host may not
    /// know all upstreams, because the directory is unavailable or was not listed completely yet.
    pub(super) fn reject_without_upstream(
        &mut self,
        now: Millis,
        service: &str,
        seg: &Segment,
    ) -> Verdict {
        self.stats.no_upstream += 1;
        self.count_rejected_flow(&seg.flow);
        let is_cold = |ix: &UpstreamIx| {
            self.registry.get(*ix).is_some_and(|it| it.is_eligible() && now < it.cold_until)
        };
        let has_cold_upstream = self.registry.by_service(service).iter().any(is_cold);
        let is_complete = self.has_listing && self.directory_state == DirectoryState::Available;
        if is_complete && !has_cold_upstream && self.is_enabled(Mechanism::ImmediateRejection) {
            return Verdict::Reset(self.make_reset(
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

    /// Rejects an opening packet because all upstreams of its service are unreachable, and
    /// expedites their next probes.
    pub(super) fn reject_unreachable(
        &mut self,
        now: Millis,
        candidates: &[Candidate],
        seg: &Segment,
    ) -> Verdict {
        self.stats.no_upstream += 1;
        self.count_rejected_flow(&seg.flow);
        for it in candidates {
            self.upstream_states[it.ix.0 as usize].liveness.expedite_probe(now);
        }
        if !self.is_enabled(Mechanism::ImmediateRejection) {
            return Verdict::Drop;
        }
        Verdict::Reset(self.make_reset(now, None, seg.flow, seg.ack, ResetReason::NoUpstream))
    }

    /// Rejects an opening packet because no upstream has room for requests of its priority.
    pub(super) fn reject_overload(&mut self, now: Millis, seg: &Segment) -> Verdict {
        self.count_rejected_flow(&seg.flow);
        Verdict::Reset(self.make_reset(now, None, seg.flow, seg.ack, ResetReason::Overload))
    }

    fn count_rejected_flow(&mut self, key: &FlowKey) {
        if let Some(it) = self.outcomes.counters(&self.routing, key.service) {
            it.refused += 1;
        }
    }
}
