//! Measures what the decision core of direct return spends on a packet of an open flow, on an opening
//! packet, and on a timer event while nothing happens.
//!
//! `cargo bench -p pomelorun-core --bench direct`. Nothing is sent: the network and the encoding of
//! messages are not part of the figures.

#![allow(clippy::print_stdout, reason = "the table is the result")]

use std::{net::SocketAddrV4, sync::Arc, time::Instant};

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, ColdLimit, DirectHost, DirectRoute, DirectSettings, DirectoryState,
        DirectoryUpdate, Disabled, LoadSummary, RequestClass, RouteReport, RouteTarget, Routing,
        Segment, SegmentKind, ServiceLimits, Token, UpstreamKey, UpstreamSum, Verdict,
    },
};
use pomelorun_wire::{FlowKey, HostId, ServiceAddr, ZoneId};

const ZONES: u32 = 3;
const HOSTS_PER_ZONE: u64 = 24;
const SERVICE: &str = "floor";
/// Addresses of an urgent and of a less urgent route to the service.
const ROUTES: [ServiceAddr; 2] =
    [ServiceAddr { ip: 0xc612_0001, port: 443 }, ServiceAddr { ip: 0xc612_0002, port: 443 }];
/// Numbers of upstreams.
const SIZES: [u64; 3] = [14, 120, 300];
const ROUNDS: u64 = 20_000;
const TICK_MS: u64 = 50;

/// What the host knows of the load that all hosts see.
#[derive(Debug, Clone, Copy)]
enum Picture {
    None,
    /// Every third upstream queues, so that flows are placed by room.
    Queues,
}

fn key(id: u64) -> UpstreamKey {
    UpstreamKey { id, started_at: 1_000 + id }
}

fn flow(number: u64, service: ServiceAddr) -> FlowKey {
    let caller_port = 1_024 + (number % 60_000) as u16;
    FlowKey { caller_ip: 0x6440_0000 + (number / 60_000) as u32, caller_port, service }
}

fn routing() -> Routing {
    let route = |(priority, addr)| DirectRoute {
        addr,
        targets: vec![RouteTarget { service: SERVICE.to_owned(), weight: 1 }],
        answer_within: Millis(300),
        class: RequestClass { priority, idempotent: true, timeout: Millis(3_000) },
    };
    let limits = ServiceLimits {
        service: SERVICE.to_owned(),
        cold_per_s: 10.0,
        cold: Millis(2_000),
        health_path: "/health".to_owned(),
    };
    let routes = (1u8..).zip(ROUTES).map(route).collect();
    Routing::new(1, routes, vec![limits], Millis(12_000))
}

fn host(upstreams: u64, picture: Picture) -> DirectHost {
    let mut host = DirectHost::new(DirectSettings {
        host: HostId(1),
        zone: ZoneId(1),
        max_flows: 100_000,
        cold: ColdLimit { rate_factor: 1.5, slack: 5.0 },
        announce_interval: Millis(1_200),
        lapse_grace: Millis(2_000),
        flow_lifetime: Millis(60_000),
        directory_max_age: Millis(1_000_000),
        disabled: Disabled::default(),
    });
    host.set_directory_state(Millis(0), DirectoryState::Available);
    let hosts: Vec<(ZoneId, HostId)> = (0..HOSTS_PER_ZONE * u64::from(ZONES))
        .map(|at| (ZoneId(1 + (at % u64::from(ZONES)) as u32), HostId(1 + at)))
        .collect();
    host.set_hosts(Millis(0), hosts.iter().map(|it| it.1).collect());
    host.set_hosts_by_zone(hosts.clone());
    let mut listing = vec![DirectoryUpdate::Routing(Arc::new(routing()))];
    listing.extend((1..=upstreams).map(|id| {
        DirectoryUpdate::Upstream(Announcement {
            key: key(id),
            service: SERVICE.to_owned(),
            addr: SocketAddrV4::new([10, 128, (id >> 8) as u8, id as u8].into(), 8_080),
            zone: ZoneId(1 + (id % u64::from(ZONES)) as u32),
            slots: 2,
            draining: false,
            cold_left: Millis(0),
        })
    }));
    host.apply_listing(Millis(0), &listing);
    if let Picture::Queues = picture {
        apply_picture(&mut host, &hosts, upstreams);
    }
    host
}

fn apply_picture(host: &mut DirectHost, hosts: &[(ZoneId, HostId)], upstreams: u64) {
    let in_progress = |id: u64| if id.is_multiple_of(3) { 40 } else { 8 };
    let sum = |id| UpstreamSum {
        token: Token::of(key(id)),
        in_progress: in_progress(id),
        speed_percent: 100,
    };
    let mut rows: Vec<UpstreamSum> = (1..=upstreams).map(sum).collect();
    rows.sort_by_key(|it| it.token);
    let route = |addr| RouteReport { addr, requests_per_s_tenths: 20_000, service_time_us: 33_000 };
    for zone in (1..=ZONES).map(ZoneId) {
        let Some(from) = hosts.iter().find(|it| it.0 == zone) else { continue };
        let summary = LoadSummary {
            zone,
            incarnation: 1,
            seq: 1,
            hosts: HOSTS_PER_ZONE as u16,
            age_ms: 0,
            upstreams: rows.clone(),
            routes: ROUTES.map(route).to_vec(),
        };
        host.apply_load_summary(Millis(0), from.1, &summary);
    }
}

/// Returns the mean time of `f` in nanoseconds.
fn nanoseconds(mut f: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    (0..ROUNDS).for_each(&mut f);
    start.elapsed().as_nanos() as f64 / ROUNDS as f64
}

fn measure(upstreams: u64, picture: Picture) {
    let mut host = host(upstreams, picture);
    // The picture counts for two seconds, so the clock stands still but for the timer events.
    let now = Millis(1_000);
    let mut tokens = Vec::new();
    let opening = nanoseconds(|it| {
        let flow = flow(it, ROUTES[(it % 2) as usize]);
        let open =
            Segment { flow, kind: SegmentKind::Open, token: Token::NONE, seq: 1, ack: 0, len: 0 };
        if let Verdict::Forward { token, .. } = host.handle_packet(now, &open) {
            tokens.push((flow, token));
        }
        host.take_events().clear();
    });
    let packet = nanoseconds(|it| {
        let (flow, token) = tokens[it as usize % tokens.len()];
        let ack = 100 + (it / tokens.len() as u64) as u32;
        let data = Segment { flow, kind: SegmentKind::Data, token, seq: ack, ack, len: 64 };
        host.handle_packet(now, &data);
        host.take_events().clear();
    });
    let tick = nanoseconds(|it| {
        host.tick(now + Millis(TICK_MS * (it + 1)));
        host.take_events().clear();
        host.take_load_messages().clear();
    });
    println!("| {upstreams} | {picture:?} | {opening:.0} | {packet:.0} | {tick:.0} |");
}

fn main() {
    println!("| Upstreams | Picture | Opening ns | Packet of an open flow ns | Timer event ns |");
    println!("|---|---|---|---|---|");
    for upstreams in SIZES {
        for picture in [Picture::None, Picture::Queues] {
            measure(upstreams, picture);
        }
    }
}
