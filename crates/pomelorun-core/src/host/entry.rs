//! Dispatch of packets from the network fabric and from other hosts.

use pomelorun_wire::{
    Code, HostId, Packet, PacketKind, Relay, RelayHeader, RelayStage, UpstreamId,
};

use crate::{
    action::{Action, Actions},
    host::{HostCore, MAX_HOPS},
    time::Millis,
};

/// Decision of a bucket owner on a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RouteDecision {
    /// Route the packet to the primary of this upstream, which serves the flow.
    Primary(UpstreamId),
    /// Send the packet to this host as a probe for the flow's upstream.
    Probe(HostId),
    /// Tell the caller that the flow is abandoned.
    Abandon(Code),
    /// Reply to the caller with an error and a retry-after.
    RetryLater(Code),
}

impl HostCore {
    /// Handles a packet from the network fabric.
    pub(super) fn handle_fabric_packet(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        self.stats.fabric_packets += 1;
        if !packet.kind().is_from_caller() {
            out.push(Action::Count(Code::PACKET_MALFORMED));
            return;
        }
        let Some(snapshot) = self.snapshots.first() else {
            self.reply_retry_later(packet, Code::NOT_READY, out);
            return;
        };
        if snapshot.service(packet.flow().service).is_none() {
            self.reply_retry_later(packet, Code::SERVICE_UNKNOWN, out);
            return;
        }
        if let Some(upstream) = self.flows.get(&packet.flow())
            && self.routing.primary(upstream) == Some(self.me)
        {
            self.route_to_primary(now, packet, upstream, MAX_HOPS, out);
            return;
        }
        self.route_to_bucket_owner(now, packet, MAX_HOPS, out);
    }

    /// Handles a packet that another host relayed.
    pub(super) fn handle_relayed_packet(
        &mut self,
        now: Millis,
        relay: &Relay<'_>,
        out: &mut Actions,
    ) {
        let packet = &relay.packet;
        let Some(hops) = relay.hops_left().checked_sub(1) else {
            self.reply_retry_later(packet, Code::HOP_LIMIT_REACHED, out);
            return;
        };
        match relay.stage() {
            RelayStage::BucketOwner => self.route_to_bucket_owner(now, packet, hops, out),
            RelayStage::Primary => self.route_to_primary(now, packet, relay.upstream(), hops, out),
            RelayStage::Probe => self.answer_probe(relay, hops, out),
            RelayStage::ProbeMiss => {
                let recorded =
                    self.lookups.record_host_without_flow(now, &packet.flow(), relay.from());
                self.continue_lookup(now, packet, recorded, out);
            }
            RelayStage::ProbeHit => self.handle_probe_hit(now, relay, out),
            RelayStage::FlowNotFound => {
                self.handle_flow_not_found(now, packet, relay.upstream(), out);
            }
        }
    }

    /// Relays a packet to any live host, for a host that is not ready.
    pub(super) fn relay_to_any_host(&mut self, packet: &Packet<'_>, out: &mut Actions) {
        match self.members.random_live(&mut self.rng) {
            Some(to) => self.relay(to, RelayStage::BucketOwner, MAX_HOPS, |it| it, packet, out),
            None => self.reply_retry_later(packet, Code::NOT_READY, out),
        }
    }

    /// Relays a packet to the owner of its flow's bucket, or decides as that owner.
    pub(super) fn route_to_bucket_owner(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        hops: u8,
        out: &mut Actions,
    ) {
        let flow = packet.flow();
        match self.routing.bucket_owner(self.flows.bucket_of(&flow)) {
            Some(owner) if owner == self.me => {
                let decision = self.route_as_bucket_owner(now, packet);
                self.apply_decision(now, packet, decision, hops, out);
            }
            Some(owner) => self.relay(owner, RelayStage::BucketOwner, hops, |it| it, packet, out),
            None => self.reply_retry_later(packet, Code::NO_UPSTREAM, out),
        }
    }

    pub(super) fn apply_decision(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        decision: RouteDecision,
        hops: u8,
        out: &mut Actions,
    ) {
        match decision {
            RouteDecision::Primary(id) => self.route_to_primary(now, packet, id, hops, out),
            RouteDecision::Probe(host) => {
                self.relay(host, RelayStage::Probe, MAX_HOPS, |it| it, packet, out);
            }
            RouteDecision::Abandon(code) => {
                let header = packet.header().kind(PacketKind::FlowAbandoned).code(code.0);
                out.push(Action::Reply(header));
            }
            RouteDecision::RetryLater(code) => self.reply_retry_later(packet, code, out),
        }
    }

    /// Relays a packet to the primary of its upstream, or acts as that primary.
    pub(super) fn route_to_primary(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        id: UpstreamId,
        hops: u8,
        out: &mut Actions,
    ) {
        match self.routing.primary(id) {
            Some(primary) if primary == self.me => self.act_as_primary(now, packet, id, out),
            Some(primary) => {
                self.relay(primary, RelayStage::Primary, hops, |it| it.upstream(id), packet, out);
            }
            None if self.is_withdrawn(id) => {
                let header = packet
                    .header()
                    .kind(PacketKind::FlowAbandoned)
                    .code(Code::FLOW_ZONE_WITHDRAWN.0);
                out.push(Action::Reply(header));
            }
            None => self.reply_retry_later(packet, Code::FLOW_ZONE_UNREACHABLE, out),
        }
    }

    /// Relays a packet to another host.
    ///
    /// `tag` completes the relay header. `hops` is the number of relays left; without any, the
    /// caller gets a retry-after.
    pub(super) fn relay(
        &mut self,
        to: HostId,
        stage: RelayStage,
        hops: u8,
        tag: impl Fn(RelayHeader) -> RelayHeader,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        if hops == 0 {
            self.reply_retry_later(packet, Code::HOP_LIMIT_REACHED, out);
            return;
        }
        let header = tag(RelayHeader::new(stage, hops, self.me, self.revision()));
        out.push(Action::Relay { to, header });
    }

    /// Drops a packet and replies to its caller with an error and a retry-after.
    ///
    /// An earlier copy of a request may have run, so the outcome of a request is unknown. Packets
    /// that callers expect no reply to are only counted.
    pub(super) fn reply_retry_later(&self, packet: &Packet<'_>, code: Code, out: &mut Actions) {
        let kind = match packet.kind() {
            PacketKind::Open => PacketKind::NotRun,
            PacketKind::Request => PacketKind::OutcomeUnknown,
            _ => {
                out.push(Action::Count(code));
                return;
            }
        };
        let after = self.cfg.retry_after_ms.as_u16();
        let header = packet.header().kind(kind).code(code.0).retry_after_ms(after);
        out.push(Action::Reply(header));
    }
}
