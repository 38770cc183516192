//! Packets from the fabric and from other hosts, and who is to deal with them.

use pomelorun_wire::{
    Code, HostId, Packet, PacketKind, Relay, RelayHeader, RelayStage, UpstreamId,
};

use crate::{
    action::{Action, Actions},
    host::{HOPS, HostCore},
    time::Millis,
};

/// What to do with a packet that reaches its keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    /// The flow lives there.
    Primary(UpstreamId),
    /// Ask this host.
    Probe(HostId),
    /// Tell the caller that the flow is given up.
    GiveUp(Code),
    /// Tell the caller to come back.
    ComeBack(Code),
}

impl HostCore {
    pub(super) fn fabric(&mut self, now: Millis, packet: &Packet<'_>, out: &mut Actions) {
        self.stats.fabric_packets += 1;
        if !packet.kind().is_from_caller() {
            out.push(Action::Count(Code::PACKET_MALFORMED));
            return;
        }
        let Some(snapshot) = self.history.first() else {
            self.come_back(packet, Code::NOT_READY, out);
            return;
        };
        if snapshot.service(packet.flow().service).is_none() {
            self.come_back(packet, Code::SERVICE_UNKNOWN, out);
            return;
        }
        if let Some(upstream) = self.flows.get(&packet.flow())
            && self.view.primary(upstream) == Some(self.me)
        {
            self.route_to_primary(now, packet, upstream, HOPS, out);
            return;
        }
        self.route_to_keeper(now, packet, HOPS, out);
    }

    pub(super) fn relayed(&mut self, now: Millis, relay: &Relay<'_>, out: &mut Actions) {
        let packet = &relay.packet;
        let Some(hops) = relay.hops_left().checked_sub(1) else {
            self.come_back(packet, Code::HOP_LIMIT_REACHED, out);
            return;
        };
        match relay.stage() {
            RelayStage::Keeper => self.route_to_keeper(now, packet, hops, out),
            RelayStage::Primary => self.route_to_primary(now, packet, relay.upstream(), hops, out),
            RelayStage::Probe => self.probed(relay, hops, out),
            RelayStage::ProbeMiss => {
                let noted = self.lookups.miss(now, &packet.flow(), relay.from());
                self.search_on(now, packet, noted, out);
            }
            RelayStage::ProbeHit => self.found(now, relay, out),
            RelayStage::FlowNotFound => self.not_there(now, packet, relay.upstream(), out),
        }
    }

    /// Hands a packet to any other host while this one does not take part yet.
    pub(super) fn hand_on(&mut self, packet: &Packet<'_>, out: &mut Actions) {
        match self.members.random_live(&mut self.rng) {
            Some(to) => self.relay(to, RelayStage::Keeper, HOPS, |it| it, packet, out),
            None => self.come_back(packet, Code::NOT_READY, out),
        }
    }

    pub(super) fn route_to_keeper(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        hops: u8,
        out: &mut Actions,
    ) {
        let flow = packet.flow();
        match self.view.keeper(self.flows.bucket_of(&flow)) {
            Some(keeper) if keeper == self.me => {
                let next = self.keep(now, packet);
                self.carry_out(now, packet, next, hops, out);
            }
            Some(keeper) => self.relay(keeper, RelayStage::Keeper, hops, |it| it, packet, out),
            None => self.come_back(packet, Code::NO_UPSTREAM, out),
        }
    }

    pub(super) fn carry_out(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        next: Next,
        hops: u8,
        out: &mut Actions,
    ) {
        match next {
            Next::Primary(id) => self.route_to_primary(now, packet, id, hops, out),
            Next::Probe(host) => self.relay(host, RelayStage::Probe, HOPS, |it| it, packet, out),
            Next::GiveUp(code) => {
                let header = packet.header().kind(PacketKind::FlowAbandoned).code(code.0);
                out.push(Action::Reply(header));
            }
            Next::ComeBack(code) => self.come_back(packet, code, out),
        }
    }

    /// Hands the packet to the primary of its upstream, or acts as that primary.
    pub(super) fn route_to_primary(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        id: UpstreamId,
        hops: u8,
        out: &mut Actions,
    ) {
        match self.view.primary(id) {
            Some(primary) if primary == self.me => self.act_as_primary(now, packet, id, out),
            Some(primary) => {
                self.relay(primary, RelayStage::Primary, hops, |it| it.upstream(id), packet, out);
            }
            None if self.is_out(id) => {
                let header = packet
                    .header()
                    .kind(PacketKind::FlowAbandoned)
                    .code(Code::FLOW_ZONE_WITHDRAWN.0);
                out.push(Action::Reply(header));
            }
            None => self.come_back(packet, Code::FLOW_ZONE_UNREACHABLE, out),
        }
    }

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
            self.come_back(packet, Code::HOP_LIMIT_REACHED, out);
            return;
        }
        let header = tag(RelayHeader::new(stage, hops, self.me, self.revision()));
        out.push(Action::Relay { to, header });
    }

    /// Gives a packet up without knowing what became of earlier copies of it.
    pub(super) fn come_back(&self, packet: &Packet<'_>, code: Code, out: &mut Actions) {
        let kind = match packet.kind() {
            PacketKind::Open => PacketKind::NotRun,
            PacketKind::Request => PacketKind::OutcomeUnknown,
            _ => {
                out.push(Action::Count(code));
                return;
            }
        };
        let after = self.cfg.come_back_ms.as_u16();
        let header = packet.header().kind(kind).code(code.0).retry_after_ms(after);
        out.push(Action::Reply(header));
    }
}
