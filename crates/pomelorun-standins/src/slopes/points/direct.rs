//! A host in direct return: what it costs to know many upstreams.

use std::{net::SocketAddrV4, sync::Arc};

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, ColdLimit, DirectHost, DirectRoute, DirectSettings, DirectoryState,
        DirectoryUpdate, Disabled, RequestClass, RouteTarget, Routing, Segment, SegmentKind, Token,
        UpstreamKey,
    },
};
use pomelorun_wire::{FlowKey, HostId, ZoneId};

use crate::slopes::{
    Figure,
    points::{ENDPOINTS_PER_POOL, cpu, figure, flow_at, resident, service_at, zone_name},
};

/// Timer events that are timed.
const TICKS: u64 = 400;
/// Time between two of them, milliseconds.
const TICK_MS: u64 = 50;
/// Openings that are timed.
const OPENINGS: usize = 20_000;

/// Listing all upstreams, a timer event, an opening and a packet of an open flow.
pub(super) fn direct(upstreams: usize) -> Vec<Figure> {
    let before = resident();
    let mut host = DirectHost::new(settings());
    host.set_directory_state(Millis(1), DirectoryState::Available);
    host.set_hosts(Millis(0), vec![HostId(1)]);
    let services = upstreams.div_ceil(ENDPOINTS_PER_POOL);
    let all = everything(upstreams, services);
    let (listed, ()) = timed(|| host.apply_listing(Millis(1), &all));
    let (ticks, ()) = timed(|| {
        for at in 0..TICKS {
            host.tick(Millis(1 + at * TICK_MS));
        }
    });
    let now = Millis(1 + TICKS * TICK_MS);
    let mut open: Vec<Segment> = Vec::with_capacity(OPENINGS);
    let (opened, ()) = timed(|| {
        for at in 0..OPENINGS {
            let flow = flow_at(at, services);
            let verdict =
                host.handle_packet(now, &segment(flow, SegmentKind::Open, Token::NONE, 0));
            if let pomelorun_core::direct::Verdict::Forward { token, .. } = verdict {
                open.push(segment(flow, SegmentKind::Data, token, 64));
            }
        }
    });
    assert_eq!(open.len(), OPENINGS, "each flow has a route and an upstream");
    let (carried, ()) = timed(|| {
        for it in &open {
            host.handle_packet(now, it);
        }
    });
    let each = |ns: f64| ns / OPENINGS as f64;
    vec![
        figure("ms to take in the listing", listed / 1e6),
        figure("us a timer event", ticks / 1e3 / TICKS as f64),
        figure("ns to open a flow", each(opened)),
        figure("ns a packet of an open flow", each(carried)),
        figure("bytes of memory", resident() - before),
    ]
}

fn timed<T>(run: impl FnOnce() -> T) -> (f64, T) {
    let before = cpu();
    let it = run();
    ((cpu() - before).as_nanos() as f64, it)
}

fn settings() -> DirectSettings {
    DirectSettings {
        host: HostId(1),
        zone: ZoneId::from_name(&zone_name(0)),
        max_flows: 100_000,
        cold: ColdLimit { rate_factor: 1.5, slack: 5.0 },
        announce_interval: Millis(1_200),
        lapse_grace: Millis(2_000),
        flow_lifetime: Millis(60_000),
        directory_max_age: Millis(60_000),
        disabled: Disabled::default(),
    }
}

fn everything(upstreams: usize, services: usize) -> Vec<DirectoryUpdate> {
    let name = |at: usize| format!("service-{at:04}");
    let routes = (0..services).map(|at| DirectRoute {
        addr: service_at(at),
        targets: vec![RouteTarget { service: name(at), weight: 1 }],
        answer_within: Millis(100),
        class: RequestClass::default(),
    });
    let routing = Routing::new(1, routes.collect(), Vec::new(), Millis(60_000));
    let announced = (0..upstreams).map(|at| {
        DirectoryUpdate::Upstream(Announcement {
            key: UpstreamKey { id: at as u64 + 1, started_at: 1_000 + at as u64 },
            service: name(at % services),
            addr: SocketAddrV4::new((0x0a00_0000 + at as u32).into(), 8_080),
            zone: ZoneId::from_name(&zone_name(at)),
            slots: 2,
            draining: false,
            cold_left: Millis(0),
        })
    });
    std::iter::once(DirectoryUpdate::Routing(Arc::new(routing))).chain(announced).collect()
}

fn segment(flow: FlowKey, kind: SegmentKind, token: Token, len: u16) -> Segment {
    Segment { flow, kind, token, seq: 1, ack: 1, len }
}
