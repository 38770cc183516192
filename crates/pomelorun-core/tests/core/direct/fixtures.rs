//! Fixtures: settings, announcements, routes, packets and a preconfigured host.

use std::{net::SocketAddrV4, sync::Arc};

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, ColdLimit, DirectHost, DirectRoute, DirectSettings, DirectoryState,
        DirectoryUpdate, Disabled, RequestClass, RouteTarget, Routing, Segment, SegmentKind,
        ServiceLimits, Token, UpstreamKey, Verdict,
    },
};
use pomelorun_wire::{FlowKey, HostId, ServiceAddr, ZoneId};

pub(crate) const LOCAL_ZONE: ZoneId = ZoneId(1);
pub(crate) const REMOTE_ZONE: ZoneId = ZoneId(2);
pub(crate) const SERVICE: ServiceAddr = ServiceAddr { ip: 0xc612_0001, port: 443 };
pub(crate) const LOCAL_HOST: HostId = HostId(1);
pub(crate) const COLD_START_S: u64 = 2;

pub(crate) fn settings(zone: ZoneId) -> DirectSettings {
    DirectSettings {
        host: LOCAL_HOST,
        zone,
        max_flows: 100_000,
        cold: ColdLimit { rate_factor: 1.5, slack: 5.0 },
        announce_interval: Millis(1_200),
        lapse_grace: Millis(2_000),
        flow_lifetime: Millis(60_000),
        directory_max_age: Millis(4_500),
        disabled: Disabled::default(),
    }
}

pub(crate) fn key(id: u64) -> UpstreamKey {
    UpstreamKey { id, started_at: 1_000 + id }
}

pub(crate) fn addr(id: u64) -> SocketAddrV4 {
    SocketAddrV4::new([10, 128, (id >> 8) as u8, id as u8].into(), 8_080)
}

pub(crate) fn announcement(id: u64, zone: ZoneId) -> Announcement {
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
    let class = RequestClass::default();
    DirectRoute { addr, targets, answer_within: Millis(100), class }
}

pub(crate) fn routing(revision: u64, routes: Vec<DirectRoute>) -> DirectoryUpdate {
    let limits = vec![ServiceLimits {
        service: "feed".to_owned(),
        cold_per_s: 0.0,
        cold: Millis(COLD_START_S * 1_000),
        health_path: "/health".to_owned(),
    }];
    DirectoryUpdate::Routing(Arc::new(Routing::new(revision, routes, limits, Millis(15_000))))
}

/// Returns a host with one route and the given upstreams.
pub(crate) fn host(upstreams: &[Announcement]) -> DirectHost {
    let mut host = DirectHost::new(settings(LOCAL_ZONE));
    host.set_directory_state(Millis(0), DirectoryState::Available);
    host.set_hosts(Millis(0), vec![LOCAL_HOST]);
    let mut all = vec![routing(1, vec![route(SERVICE, "feed")])];
    all.extend(upstreams.iter().cloned().map(DirectoryUpdate::Upstream));
    host.apply_listing(Millis(0), &all);
    host
}

/// Returns a host as [`host`] does that knows how long answers take, from flows that are closed again.
pub(crate) fn serving_host(upstreams: &[Announcement]) -> DirectHost {
    let mut host = host(upstreams);
    record_answers(&mut host, Millis(100));
    host.take_events();
    host
}

/// Has flows opened at `now`, each with a request that is answered after 6 ms, and closed again.
pub(crate) fn record_answers(host: &mut DirectHost, now: Millis) {
    for number in 59_000..59_008 {
        let (_, token) = open_flow(host, now, flow(number));
        host.handle_packet(now + Millis(4), &data_segment(flow(number), token, 1, 100, 50));
        let answered = data_segment(flow(number), token, 51, 200, 0);
        host.handle_packet(now + Millis(10), &answered);
        let closed = Segment { kind: SegmentKind::Abort, ..answered };
        host.handle_packet(now + Millis(11), &closed);
    }
}

pub(crate) fn flow(number: u32) -> FlowKey {
    let caller_port = 1_024 + (number % 60_000) as u16;
    FlowKey { caller_ip: 0x6440_0000 + number / 60_000, caller_port, service: SERVICE }
}

pub(crate) fn open_segment(flow: FlowKey, copy: u32) -> Segment {
    Segment { flow, kind: SegmentKind::Open, token: Token::NONE, seq: 1, ack: copy, len: 0 }
}

pub(crate) fn data_segment(flow: FlowKey, token: Token, seq: u32, ack: u32, len: u16) -> Segment {
    Segment { flow, kind: SegmentKind::Data, token, seq, ack, len }
}

/// Returns the upstream and the token that a packet is forwarded with, or `None` if it is not
/// forwarded.
pub(crate) fn forwarded_to(verdict: Verdict) -> Option<(u64, Token)> {
    match verdict {
        Verdict::Forward { id, token, .. } => Some((id, token)),
        Verdict::Reset(_) | Verdict::Drop => None,
    }
}

/// Opens a flow and returns its upstream and its affinity token.
pub(crate) fn open_flow(host: &mut DirectHost, now: Millis, flow: FlowKey) -> (u64, Token) {
    let target = forwarded_to(host.handle_packet(now, &open_segment(flow, 0)));
    let Some((id, token)) = target else { panic!("flow {flow} was not opened") };
    host.handle_packet(now + Millis(3), &data_segment(flow, token, 1, 100, 0));
    (id, token)
}
