//! The points: one role at one size, measured in this process.

mod direct;

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};
use pomelorun_config::{
    AvailabilityZone, Bundle, Endpoint, Object, ObjectSet, Objectives, Service, UpstreamPool,
    compile, join_chunks,
};
use pomelorun_core::{Action, CoreSettings, Event, HostCore, ListedHost, Millis, Snapshot};
use pomelorun_wire::{
    Envelope, FlowKey, Header, HostId, MemberInfo, MemberState, Packet, PacketKind, PeerMsg,
    ServiceAddr, ZoneId, decode, encode,
};

use crate::slopes::{Figure, Point, Role, TARGET_ENDPOINTS, TARGET_HOSTS, points::direct::direct};

/// Time at which a core that hears no other host has settled, milliseconds.
const SETTLED_MS: u64 = 800;
/// Time between two timer events, milliseconds.
const TICK_MS: u64 = 20;
/// Virtual time of a run with members, milliseconds.
const MEMBERS_RUN_MS: u64 = 120_000;
/// Members that fail or are restarted, a day, at [`TARGET_HOSTS`].
const CHANGES_A_DAY: f64 = 2_953.0;
const DAY_MS: f64 = 86_400_000.0;
const ZONES: usize = 17;
const ENDPOINTS_PER_POOL: usize = 21;
/// Time between two probes of the default settings, milliseconds.
const PROBE_PERIOD_MS: u64 = 250;

/// Measures one point in this process.
pub fn measure_point(role: Role, size: usize) -> Point {
    let figures = match role {
        Role::Members => members(size),
        Role::View => view(size),
        Role::Config => config(size),
        Role::Flows => flows(size),
        Role::Primaries => primaries(size),
        Role::Direct => direct(size),
    };
    Point { size, figures }
}

fn figure(name: &str, value: f64) -> Figure {
    Figure { name: name.to_owned(), value }
}

/// Processor time of this process so far.
fn cpu() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

/// Resident memory of this process, bytes.
fn resident() -> f64 {
    const PAGE: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE
}

fn zone_name(at: usize) -> String {
    format!("zone-{:02}", at % ZONES)
}

fn host_at(at: usize) -> ListedHost {
    ListedHost {
        host: HostId::from_name(&format!("host-{at}")),
        zone: ZoneId::from_name(&zone_name(at)),
        leaving: false,
    }
}

fn service_at(at: usize) -> ServiceAddr {
    ServiceAddr { ip: 0x0a14_0000 + at as u32, port: 443 }
}

fn flow_at(at: usize, services: usize) -> FlowKey {
    FlowKey {
        caller_ip: 0x6440_0000 + (at >> 14) as u32,
        caller_port: 1_024 + (at & 0x3fff) as u16,
        service: service_at(at % services),
    }
}

/// A set of this many endpoints in pools of the target's size.
fn object_set(endpoints: usize) -> ObjectSet {
    let mut set = ObjectSet::default();
    for at in 0..ZONES {
        set.add(Object::AvailabilityZone(AvailabilityZone {
            name: zone_name(at),
            region: String::new(),
            withdrawn: false,
        }));
    }
    for pool in 0..endpoints.div_ceil(ENDPOINTS_PER_POOL) {
        let name = format!("pool-{pool:04}");
        let first = pool * ENDPOINTS_PER_POOL;
        let last = (first + ENDPOINTS_PER_POOL).min(endpoints);
        set.add(Object::UpstreamPool(UpstreamPool {
            name: name.clone(),
            slots: 2,
            cold_slots: 1,
            max_deadline_ms: 1_000,
            slow_after_ms: 50,
            endpoints: (first..last)
                .map(|at| Endpoint {
                    name: format!("{name}-{at}"),
                    zone: zone_name(at),
                    address: SocketAddrV4::new(Ipv4Addr::from(0x0b00_0000 + at as u32), 6_000),
                    draining: false,
                })
                .collect(),
        }));
        let addr = service_at(pool);
        set.add(Object::Service(Service {
            name: format!("service-{pool:04}"),
            address: SocketAddrV4::new(addr.ip.into(), addr.port),
            pool: name,
            objectives: Objectives::default(),
        }));
    }
    set
}

fn compiled(revision: u64, set: &ObjectSet) -> Arc<Snapshot> {
    Arc::new(compile(revision, set).expect("the synthetic set checks"))
}

/// A core among this many hosts, with a configuration in force, at [`SETTLED_MS`].
fn core_among(hosts: usize, set: &ObjectSet) -> HostCore {
    let listed: Vec<ListedHost> = (0..hosts).map(host_at).collect();
    let me = listed[0];
    let mut core = HostCore::new(me.host, me.zone, 1, 1, CoreSettings::default());
    core.handle(Millis(1), Event::HostList(&listed));
    core.handle(Millis(1), Event::Snapshot(compiled(1, set)));
    for tick in 1..=SETTLED_MS / TICK_MS {
        core.handle(Millis(tick * TICK_MS), Event::Tick);
    }
    assert!(core.is_ready(), "the core has checked its view");
    core
}

/// One host among `size` that all answer, with failures and restarts at the target's rate.
fn members(size: usize) -> Vec<Figure> {
    let set = object_set(ENDPOINTS_PER_POOL);
    let before = resident();
    let mut core = core_among(size, &set);
    let memory = resident() - before;
    let mut wire = Wire::default();
    let (mut now, mut next_ping, mut changes) = (SETTLED_MS, 0, 0.0);
    let start = cpu();
    while now < SETTLED_MS + MEMBERS_RUN_MS {
        now += TICK_MS;
        let actions = core.handle(Millis(now), Event::Tick);
        wire.answer(&mut core, now, &actions);
        changes += TICK_MS as f64 * CHANGES_A_DAY / DAY_MS * size as f64 / TARGET_HOSTS;
        if now >= next_ping {
            next_ping = now + PROBE_PERIOD_MS;
            wire.ping(&mut core, now, size, &mut changes);
        }
    }
    let seconds = MEMBERS_RUN_MS as f64 / 1_000.0;
    let taken = (cpu() - start).as_secs_f64();
    vec![
        figure("percent of a core", 100.0 * taken / seconds),
        figure("bytes sent a second", wire.sent as f64 / seconds),
        figure("bytes received a second", wire.received as f64 / seconds),
        figure("bytes of memory", memory),
    ]
}

/// The peers of one core, and the bytes that pass between them.
#[derive(Default)]
struct Wire {
    sent: u64,
    received: u64,
    seq: u64,
    changed: usize,
}

impl Wire {
    /// Counts what the core sends and answers its probes.
    fn answer(&mut self, core: &mut HostCore, now: u64, actions: &[Action]) {
        let me = core.host();
        for action in actions {
            let Action::Peer { to, msg } = action else { continue };
            let envelope = Envelope { from: me, incarnation: 1, msg: msg.clone() };
            let bytes = encode(&envelope).expect("control messages can be encoded");
            self.sent += bytes.len() as u64;
            if let PeerMsg::Ping { seq, revision, .. } = msg {
                let pong = PeerMsg::Pong { seq: *seq, revision: *revision, members: Vec::new() };
                self.deliver(core, now, *to, pong);
            }
        }
    }

    /// Another host probes the core and tells it what has changed.
    fn ping(&mut self, core: &mut HostCore, now: u64, size: usize, changes: &mut f64) {
        self.seq += 1;
        let from = host_at(1 + self.seq as usize % (size - 1));
        let live = |it: ListedHost, incarnation| MemberInfo {
            host: it.host,
            zone: it.zone,
            incarnation,
            state: MemberState::Live,
        };
        let mut members = vec![live(from, 1)];
        while *changes >= 1.0 {
            *changes -= 1.0;
            self.changed += 1;
            let it = host_at(1 + self.changed % (size - 1));
            let incarnation = 2 + 2 * self.changed as u64;
            members.push(MemberInfo { state: MemberState::Dead, ..live(it, incarnation) });
            members.push(live(it, incarnation + 1));
        }
        let msg = PeerMsg::Ping { seq: self.seq, revision: 1, members };
        self.deliver(core, now, from.host, msg);
    }

    fn deliver(&mut self, core: &mut HostCore, now: u64, from: HostId, msg: PeerMsg) {
        let envelope = Envelope { from, incarnation: 1, msg };
        let bytes = encode(&envelope).expect("control messages can be encoded");
        self.received += bytes.len() as u64;
        let envelope: Envelope = decode(&bytes).expect("it was just encoded");
        let actions = core.handle(Millis(now), Event::Peer(&envelope));
        for action in &actions {
            if let Action::Peer { msg, .. } = action {
                let envelope = Envelope { from: core.host(), incarnation: 1, msg: msg.clone() };
                self.sent += encode(&envelope).map_or(0, |it| it.len() as u64);
            }
        }
    }
}

/// One host of `size` dies and comes back, before 20,000 endpoints.
fn view(size: usize) -> Vec<Figure> {
    const CHANGES: u64 = 20;
    let set = object_set(TARGET_ENDPOINTS as usize);
    let mut core = core_among(size, &set);
    let mut wire = Wire::default();
    let mut now = SETTLED_MS;
    let start = cpu();
    for _ in 0..CHANGES {
        now += 1;
        // One death and one return are two changes of the tables.
        wire.ping(&mut core, now, size, &mut 1.0);
    }
    let taken = (cpu() - start).as_secs_f64();
    vec![figure("milliseconds a change", 1_000.0 * taken / CHANGES as f64)]
}

/// A host fetches, verifies and puts in force a configuration of `size` endpoints, then a change.
fn config(size: usize) -> Vec<Figure> {
    let set = object_set(size);
    let bundle = Bundle::new(1, &set).expect("the synthetic set fits");
    let bytes: usize = bundle.chunks.iter().map(String::len).sum();
    let mut changed = set;
    changed.pools[0].endpoints[0].draining = true;
    let next = Bundle::new(2, &changed).expect("the synthetic set fits");
    let chunk_bytes = |it: &Bundle| -> usize {
        let known = &bundle.manifest.chunks;
        it.manifest.chunks.iter().filter(|it| !known.contains(it)).map(|it| it.bytes as usize).sum()
    };
    let manifest_bytes = serde_json::to_string(&next.manifest).map_or(0, |it| it.len());
    let delta = chunk_bytes(&next) + manifest_bytes;
    let before = resident();
    let start = cpu();
    let first = put_together(&bundle);
    let taken = cpu() - start;
    let mut core = core_among(7, &object_set(ENDPOINTS_PER_POOL));
    let start = cpu();
    core.handle(Millis(SETTLED_MS), Event::Snapshot(Arc::clone(&first)));
    let force = cpu() - start;
    let memory = resident() - before;
    vec![
        figure("bytes to fetch the whole", bytes as f64),
        figure("bytes to fetch one change", delta as f64),
        figure("milliseconds to verify and compile", 1_000.0 * taken.as_secs_f64()),
        figure("milliseconds to put in force", 1_000.0 * force.as_secs_f64()),
        figure("bytes of memory", memory),
    ]
}

fn put_together(bundle: &Bundle) -> Arc<Snapshot> {
    let texts: Vec<&str> = bundle.chunks.iter().map(String::as_str).collect();
    let set = join_chunks(&bundle.manifest, &texts).expect("the bundle is whole");
    // The core of this measurement has revision 1 in force already.
    compiled(bundle.manifest.revision + 1, &set)
}

/// A host opens `size` flows and then sees a packet of each.
fn flows(size: usize) -> Vec<Figure> {
    let services = 19;
    let set = object_set(services * ENDPOINTS_PER_POOL);
    let mut core = core_among(1, &set);
    // Seven hosts in one zone each would leave this one a seventh; alone, it gets every packet.
    let before = resident();
    let pass = |core: &mut HostCore| {
        let start = cpu();
        for at in 0..size {
            let header = Header::new(PacketKind::Open, &flow_at(at, services));
            let packet = Packet::parse(header.as_bytes()).expect("the header is well-formed");
            core.handle(Millis(SETTLED_MS), Event::Fabric(packet));
        }
        (cpu() - start).as_nanos() as f64 / size as f64
    };
    let open = pass(&mut core);
    let memory = resident() - before;
    assert_eq!(core.flows().len(), size, "every flow is known");
    let again = pass(&mut core);
    vec![
        figure("nanoseconds to open", open),
        figure("nanoseconds a packet", again),
        figure("bytes of memory", memory),
    ]
}

/// A host is the primary of `size` idle upstreams, alone in its zone.
fn primaries(size: usize) -> Vec<Figure> {
    const RUN_MS: u64 = 20_000;
    let before = resident();
    let mut core = core_among(1, &object_set(size * ZONES));
    let memory = resident() - before;
    let held = core.upstreams().len() as f64;
    let mut now = SETTLED_MS;
    let start = cpu();
    while now < SETTLED_MS + RUN_MS {
        now += TICK_MS;
        core.handle(Millis(now), Event::Tick);
    }
    let taken = (cpu() - start).as_secs_f64();
    vec![
        figure("upstreams held", held),
        figure("percent of a core", 100_000.0 * taken / RUN_MS as f64),
        figure("bytes of memory, configuration included", memory),
    ]
}
