//! Hosts, upstreams and packets to test with.

use std::{net::SocketAddrV4, sync::Arc};

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, ColdLimit, DirectHost, DirectRoute, DirectSettings, DirectoryState,
        DirectoryUpdate, RouteTarget, Routing, Segment, SegmentKind, ServiceLimits, Token,
        UpstreamKey, Verdict,
    },
};
use pomelorun_wire::{FlowKey, HostId, ServiceAddr, ZoneId};

pub(crate) const NEAR: ZoneId = ZoneId(1);
pub(crate) const FAR: ZoneId = ZoneId(2);
pub(crate) const SERVICE: ServiceAddr = ServiceAddr { ip: 0xc612_0001, port: 443 };
pub(crate) const ME: HostId = HostId(1);
pub(crate) const COLD_S: u64 = 2;

pub(crate) fn settings(zone: ZoneId) -> DirectSettings {
    DirectSettings {
        host: ME,
        zone,
        max_flows: 100_000,
        cold: ColdLimit { rate_factor: 1.5, slack: 5.0 },
        announce_interval: Millis(1_200),
        lapse_grace: Millis(2_000),
        flow_lifetime: Millis(60_000),
        directory_max_age: Millis(4_500),
    }
}

pub(crate) fn key(id: u64) -> UpstreamKey {
    UpstreamKey { id, started_at: 1_000 + id }
}

pub(crate) fn addr(id: u64) -> SocketAddrV4 {
    SocketAddrV4::new([10, 128, (id >> 8) as u8, id as u8].into(), 8_080)
}

pub(crate) fn said(id: u64, zone: ZoneId) -> Announcement {
    Announcement {
        key: key(id),
        service: "feed".to_owned(),
        addr: addr(id),
        zone,
        slots: 2,
        draining: false,
        cold_left: Millis(0),
    }
}

pub(crate) fn route(addr: ServiceAddr, service: &str) -> DirectRoute {
    let targets = vec![RouteTarget { service: service.to_owned(), weight: 1 }];
    DirectRoute { addr, targets, answer_within: Millis(100) }
}

pub(crate) fn routing(revision: u64, routes: Vec<DirectRoute>) -> DirectoryUpdate {
    let limits = vec![ServiceLimits {
        service: "feed".to_owned(),
        cold_per_s: 0.0,
        cold: Millis(COLD_S * 1_000),
        health_path: "/health".to_owned(),
    }];
    DirectoryUpdate::Routing(Arc::new(Routing::new(revision, routes, limits, Millis(15_000))))
}

/// A host that knows one route and these upstreams.
pub(crate) fn host(upstreams: &[Announcement]) -> DirectHost {
    let mut host = DirectHost::new(settings(NEAR));
    host.set_directory_state(Millis(0), DirectoryState::Available);
    host.set_hosts(vec![ME]);
    let mut all = vec![routing(1, vec![route(SERVICE, "feed")])];
    all.extend(upstreams.iter().cloned().map(DirectoryUpdate::Upstream));
    host.apply_listing(Millis(0), &all);
    host
}

pub(crate) fn flow(number: u32) -> FlowKey {
    let caller_port = 1_024 + (number % 60_000) as u16;
    FlowKey { caller_ip: 0x6440_0000 + number / 60_000, caller_port, service: SERVICE }
}

pub(crate) fn open(flow: FlowKey, copy: u32) -> Segment {
    Segment { flow, kind: SegmentKind::Open, token: Token::NONE, seq: 1, ack: copy, len: 0 }
}

pub(crate) fn data(flow: FlowKey, token: Token, seq: u32, ack: u32, len: u16) -> Segment {
    Segment { flow, kind: SegmentKind::Data, token, seq, ack, len }
}

/// Where a packet is sent, and with which token.
pub(crate) fn sent_to(verdict: Verdict) -> Option<(u64, Token)> {
    match verdict {
        Verdict::Forward { id, token, .. } => Some((id, token)),
        Verdict::Reset(_) | Verdict::Drop => None,
    }
}

/// Opens a flow and returns where it lives.
pub(crate) fn opened(host: &mut DirectHost, now: Millis, flow: FlowKey) -> (u64, Token) {
    let to = sent_to(host.handle_packet(now, &open(flow, 0)));
    let Some((id, token)) = to else { panic!("flow {flow} was not opened") };
    host.handle_packet(now + Millis(3), &data(flow, token, 1, 100, 0));
    (id, token)
}
