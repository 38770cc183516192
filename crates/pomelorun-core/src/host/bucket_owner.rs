//! Decisions of a bucket owner: which upstream serves a flow.
//!
//! A bucket owner that does not know a flow looks it up: it probes other hosts, then tries the
//! upstreams that the flow's hash selects.

use std::sync::Arc;

use pomelorun_wire::{
    Code, FlowKey, FlowLocation, HostId, MemberState, Packet, PacketKind, PeerMsg, Relay,
    RelayStage, UpstreamId,
};
use smallvec::SmallVec;

use crate::{
    action::{Action, Actions},
    host::entry::RouteDecision,
    host::{HostCore, LEAVING_PROBE_WINDOW, MAX_HOPS},
    selection::candidates,
    snapshot::{ServiceView, Snapshot},
    time::Millis,
};

/// Time after a bucket changed its owner during which the new owner probes other hosts before it
/// opens a flow, since the previous owner may have opened it already.
const PROBE_BEFORE_OPEN_WINDOW: Millis = Millis(3_000);

impl HostCore {
    /// Sends the next flows of a leaving host to their new bucket owners.
    pub(super) fn send_some_handovers(&mut self, out: &mut Actions) {
        let count = self.pending_handovers.len().min(self.cfg.handover_flows_per_tick);
        let mut by_owner: Vec<(HostId, Vec<FlowLocation>)> = Vec::new();
        for entry in self.pending_handovers.drain(..count) {
            let Some(to) = self.routing.bucket_owner(self.flows.bucket_of(&entry.flow)) else {
                continue;
            };
            match by_owner.iter_mut().find(|it| it.0 == to) {
                Some(it) => it.1.push(entry),
                None => by_owner.push((to, vec![entry])),
            }
        }
        for (to, entries) in by_owner {
            out.push(Action::Peer { to, msg: PeerMsg::FlowLocations { entries } });
        }
    }

    /// Decides what to do with a packet as the owner of its flow's bucket.
    pub(super) fn route_as_bucket_owner(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
    ) -> RouteDecision {
        let flow = packet.flow();
        if let Some(upstream) = self.flows.touch(now, &flow) {
            if packet.kind() == PacketKind::Open && self.routing.primary(upstream).is_none() {
                // The caller got no reply yet, so the flow may still be opened at another upstream.
                self.forget_flow(&flow);
                return self.open(now, &flow);
            }
            if packet.kind() == PacketKind::Close {
                self.forget_flow(&flow);
            }
            return self.route_known_flow(&flow, upstream);
        }
        if packet.kind() == PacketKind::Open {
            self.open_or_probe(now, &flow)
        } else {
            self.advance_lookup(now, &flow)
        }
    }

    /// Opens a flow, or first probes another host if an earlier bucket owner may have opened it.
    fn open_or_probe(&mut self, now: Millis, flow: &FlowKey) -> RouteDecision {
        if let Some(host) = self.host_to_probe_before_open(now, flow) {
            self.lookups.record_probe(now, flow, host);
            return RouteDecision::Probe(host);
        }
        self.open(now, flow)
    }

    /// Returns the host to probe before a flow is opened.
    ///
    /// `None` unless this host became the owner of the flow's bucket recently.
    pub(super) fn host_to_probe_before_open(&self, now: Millis, flow: &FlowKey) -> Option<HostId> {
        let bucket = self.flows.bucket_of(flow) as usize;
        let recently = self
            .bucket_acquired_at
            .get(bucket)
            .is_some_and(|it| now.since(*it) < PROBE_BEFORE_OPEN_WINDOW);
        if recently { self.next_host_to_probe(now, flow) } else { None }
    }

    fn advance_lookup(&mut self, now: Millis, flow: &FlowKey) -> RouteDecision {
        let decision = self.lookup_step(now, flow);
        if let RouteDecision::Probe(host) = decision {
            self.lookups.record_probe(now, flow, host);
        }
        decision
    }

    /// Returns the next step of a flow's lookup.
    ///
    /// The step is to probe the next host that may know the flow. When all of them were probed, it
    /// is to try the next upstream by the flow's hash.
    pub(super) fn lookup_step(&self, now: Millis, flow: &FlowKey) -> RouteDecision {
        if let Some(host) = self.next_host_to_probe(now, flow) {
            return RouteDecision::Probe(host);
        }
        let history = self.snapshots.iter().map(Arc::as_ref);
        let found = candidates(history, flow, self.cfg.max_probed_upstreams);
        let is_untried = |it: &&UpstreamId| !self.lookups.is_without_flow(flow, **it);
        let mut unreachable = false;
        for &id in found.iter().filter(is_untried) {
            if self.routing.primary(id).is_some() {
                return RouteDecision::Primary(id);
            }
            unreachable |= self.is_in_service(id);
        }
        if unreachable {
            RouteDecision::RetryLater(Code::FLOW_ZONE_UNREACHABLE)
        } else {
            RouteDecision::Abandon(Code::FLOW_UNKNOWN)
        }
    }

    /// Returns `true` if an upstream is in the active revision and its zone is not withdrawn.
    fn is_in_service(&self, id: UpstreamId) -> bool {
        let Some(snapshot) = self.snapshots.first() else { return false };
        snapshot.upstream(id).is_some_and(|it| !snapshot.is_zone_withdrawn(it.zone))
    }

    /// Handles the reply of a probed host that knows the flow's upstream.
    pub(super) fn handle_probe_hit(&mut self, now: Millis, relay: &Relay<'_>, out: &mut Actions) {
        let packet = &relay.packet;
        let (flow, id) = (packet.flow(), relay.upstream());
        if self.lookups.is_without_flow(&flow, id) || !self.is_in_service(id) {
            let recorded = self.lookups.record_host_without_flow(now, &flow, relay.from());
            self.continue_lookup(now, packet, recorded, out);
            return;
        }
        if self.flows.get(&flow).is_none() {
            self.learn_upstream(now, &flow, id);
        }
        self.route_to_bucket_owner(now, packet, MAX_HOPS, out);
    }

    /// Continues the lookup of a packet's flow.
    ///
    /// `recorded` is `false` if too many lookups run to record the last result. The lookup would
    /// not advance, so the caller gets a retry-after instead.
    pub(super) fn continue_lookup(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        recorded: bool,
        out: &mut Actions,
    ) {
        if recorded {
            self.route_to_bucket_owner(now, packet, MAX_HOPS, out);
        } else {
            self.reply_retry_later(packet, Code::HOP_LIMIT_REACHED, out);
        }
    }

    /// Handles the reply of a primary whose upstream does not know the flow.
    pub(super) fn handle_flow_not_found(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        id: UpstreamId,
        out: &mut Actions,
    ) {
        let flow = packet.flow();
        if self.flows.get(&flow) == Some(id) {
            self.forget_flow(&flow);
        }
        let recorded = self.lookups.record_upstream_without_flow(now, &flow, id);
        self.continue_lookup(now, packet, recorded, out);
    }

    fn learn_upstream(&mut self, now: Millis, flow: &FlowKey, id: UpstreamId) {
        self.lookups.remove(flow);
        if self.flows.insert(now, flow, id).is_none() {
            self.selector.add_flow(id);
        }
    }

    /// Decides what to do with a packet whose flow's upstream is known.
    pub(super) fn route_known_flow(
        &mut self,
        flow: &FlowKey,
        upstream: UpstreamId,
    ) -> RouteDecision {
        let Some(snapshot) = self.snapshots.first() else {
            return RouteDecision::RetryLater(Code::NOT_READY);
        };
        let withdrawn =
            snapshot.upstream(upstream).is_none_or(|it| snapshot.is_zone_withdrawn(it.zone));
        if withdrawn {
            self.forget_flow(flow);
            return RouteDecision::Abandon(Code::FLOW_ZONE_WITHDRAWN);
        }
        match self.routing.primary(upstream) {
            Some(_) => RouteDecision::Primary(upstream),
            None => RouteDecision::RetryLater(Code::FLOW_ZONE_UNREACHABLE),
        }
    }

    /// Selects and records an upstream for a new flow.
    pub(super) fn open(&mut self, now: Millis, flow: &FlowKey) -> RouteDecision {
        let Some(snapshot) = self.snapshots.first() else {
            return RouteDecision::RetryLater(Code::NOT_READY);
        };
        let Some(service) = snapshot.service(flow.service) else {
            return RouteDecision::RetryLater(Code::SERVICE_UNKNOWN);
        };
        let Some(id) = self.select_upstream(snapshot, service, flow) else {
            return RouteDecision::RetryLater(Code::NO_UPSTREAM);
        };
        self.flows.insert(now, flow, id);
        self.selector.add_flow(id);
        RouteDecision::Primary(id)
    }

    /// Selects an upstream for a new flow.
    pub(super) fn select_upstream(
        &self,
        snapshot: &Snapshot,
        service: &ServiceView,
        flow: &FlowKey,
    ) -> Option<UpstreamId> {
        let is_eligible = |at: usize| {
            let it = &snapshot.upstreams[at];
            !it.draining
                && !snapshot.is_zone_withdrawn(it.zone)
                && self.routing.primary(it.id).is_some()
        };
        let pool = &snapshot.pools[service.pool];
        self.selector.select(snapshot, pool, flow, self.cfg.load_bound_percent, &is_eligible)
    }

    /// Returns the next host to probe for a flow's upstream.
    ///
    /// The order is: hosts that started to leave recently, hosts by rank for the flow's bucket,
    /// primaries of the upstreams that the flow's hash selects, all other hosts.
    fn next_host_to_probe(&self, now: Millis, flow: &FlowKey) -> Option<HostId> {
        let bucket = self.flows.bucket_of(flow);
        let history = self.snapshots.iter().map(Arc::as_ref);
        let upstreams = candidates(history, flow, self.cfg.max_probed_hosts);
        let primaries = upstreams.iter().filter_map(|&it| self.routing.primary(it));
        let ranks = self.routing.bucket_ranks(bucket).iter().copied();
        let others = self.routing.hosts().iter().map(|it| it.host);
        let mut probed: SmallVec<[HostId; 16]> = SmallVec::new();
        for host in self.recently_leaving_hosts(now).chain(ranks).chain(primaries).chain(others) {
            if probed.len() == self.cfg.max_probed_hosts {
                return None;
            }
            if host == self.me || probed.contains(&host) {
                continue;
            }
            if self.lookups.may_probe(now, flow, host) {
                return Some(host);
            }
            probed.push(host);
        }
        None
    }

    /// Iterates over leaving hosts whose announcement is so recent that they may still reply.
    pub(super) fn recently_leaving_hosts(&self, now: Millis) -> impl Iterator<Item = HostId> + '_ {
        let others = self.members.others().iter();
        others
            .filter(move |it| {
                it.state == MemberState::Leaving && now.since(it.since) < LEAVING_PROBE_WINDOW
            })
            .map(|it| it.host)
    }

    /// Replies to another host's probe for the upstream of a flow.
    pub(super) fn answer_probe(&mut self, relay: &Relay<'_>, hops: u8, out: &mut Actions) {
        let packet = &relay.packet;
        if let Some(upstream) = self.flows.get(&packet.flow()) {
            self.relay(
                relay.from(),
                RelayStage::ProbeHit,
                hops,
                |it| it.upstream(upstream),
                packet,
                out,
            );
            return;
        }
        self.relay(relay.from(), RelayStage::ProbeMiss, hops, |it| it, packet, out);
    }

    pub(super) fn forget_flow(&mut self, flow: &FlowKey) {
        if let Some(id) = self.flows.remove(flow) {
            self.selector.remove_flow(id);
        }
    }

    /// Returns the known flows whose upstream is not the first by rendezvous rank.
    ///
    /// A new bucket owner cannot find these by their hash. Flows of buckets that other hosts own
    /// are included, since a host that recently became the owner may not have probed for them yet.
    pub(super) fn flows_not_at_first_rank(&self) -> Vec<FlowLocation> {
        let mut found = Vec::new();
        for (flow, upstream) in self.flows.iter() {
            let newest = self.snapshots.iter().take(1).map(Arc::as_ref);
            if candidates(newest, &flow, 1).first() != Some(&upstream) {
                found.push(FlowLocation { flow, upstream });
            }
        }
        found
    }
}
