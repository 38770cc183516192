//! Resets of the flows of upstreams that have ended or do not respond.

use pomelorun_wire::FlowKey;

use crate::{
    direct::{
        event::{DirectEvent, LifecycleChange, ResetReason},
        host::{DirectHost, ResetPacket, release_load},
        mechanism::Mechanism,
        observed_flows::Flow,
        registry::UpstreamIx,
    },
    time::Millis,
};

impl DirectHost {
    /// Resets the flows of upstream instances that have ended.
    pub(super) fn reset_flows_of_ended(&mut self, now: Millis) {
        for ix in self.registry.take_ended() {
            let Some(key) = self.registry.get(ix).map(|it| it.announcement.key) else { continue };
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

    /// Resets all established flows of an upstream and returns their number.
    ///
    /// Idle flows are reset too, so that callers open new ones before their next request.
    pub(super) fn reset_flows(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        reason: ResetReason,
    ) -> usize {
        let mut count = 0;
        for flow in self.flows.take_by_upstream(ix) {
            let is_kept =
                flow.unanswered_since.is_none() && !self.is_enabled(Mechanism::IdleFlowReset);
            if !flow.established || is_kept {
                // Not established: retransmitted opening packets go to another upstream.
                self.flows.insert(flow);
                continue;
            }
            release_load(&mut self.upstream_states, &flow);
            if flow.is_finished() {
                continue;
            }
            self.count_broken_flow(&flow.key, Some(&flow));
            count += 1;
            let reset = self.make_reset(now, Some(ix), flow.key, flow.ack, reason);
            self.resets.push(reset);
        }
        count
    }

    /// Counts a broken flow, and its waiting request as one of unknown outcome.
    pub(super) fn count_broken_flow(&mut self, key: &FlowKey, flow: Option<&Flow>) {
        if let Some(it) = self.outcomes.counters(&self.routing, key.service) {
            it.broken += 1;
            it.unknown +=
                u64::from(flow.is_some_and(|it| it.established && it.unanswered_since.is_some()));
        }
    }

    /// Creates a reset packet, counts it and emits its event.
    pub(super) fn make_reset(
        &mut self,
        now: Millis,
        ix: Option<UpstreamIx>,
        flow: FlowKey,
        seq: u32,
        reason: ResetReason,
    ) -> ResetPacket {
        self.stats.resets += 1;
        let upstream = ix.and_then(|it| self.registry.get(it)).map(|it| it.announcement.key);
        let last_response =
            ix.map(|it| self.upstream_states[it.0 as usize].liveness.last_response());
        self.emit(DirectEvent::Reset {
            flow,
            upstream,
            reason,
            since_last_response: last_response.filter(|it| *it > Millis(0)).map(|it| now.since(it)),
        });
        ResetPacket { flow, seq }
    }
}
