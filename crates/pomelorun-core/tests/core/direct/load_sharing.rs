//! Sharing of load between hosts: sums over all hosts, failures of hosts and paths, and the bytes
//! that it takes.

use std::{collections::VecDeque, sync::Arc};

use pomelorun_core::{
    Millis,
    direct::{
        DirectEvent, DirectHost, DirectSettings, DirectoryState, DirectoryUpdate, Disabled,
        FleetMsg, ImplausibleLoad, LoadMessage, LoadReport, LoadSummary, Mechanism, RequestClass,
        RouteReport, Routing, Segment, SegmentKind, Token, UpstreamReport, UpstreamSum,
        UpstreamView,
    },
};
use pomelorun_wire::{FlowKey, HostId, ServiceAddr, ZoneId, encode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::direct::fixtures::{
    SERVICE, announcement, data_segment, flow, key, open_segment, route, settings,
};

const TICK: Millis = Millis(50);
/// Largest payload of a datagram between hosts.
const MAX_DATAGRAM: usize = 1_200;

type Lost = Box<dyn FnMut(HostId, HostId) -> bool>;

/// Hosts that exchange messages about load without a network.
struct Mesh {
    now: Millis,
    hosts: Vec<DirectHost>,
    /// Zone and identifier of each host.
    ids: Vec<(ZoneId, HostId)>,
    /// `false` for hosts that are stopped.
    up: Vec<bool>,
    lost: Lost,
    sent_bytes: usize,
    max_bytes: usize,
    summaries: Vec<(HostId, LoadSummary)>,
}

impl Mesh {
    /// Creates hosts spread over the zones, which all know the upstreams.
    fn new(hosts: usize, zones: usize, upstreams: u64) -> Mesh {
        let ids: Vec<(ZoneId, HostId)> = (0..hosts)
            .map(|at| (ZoneId((at % zones) as u32 + 1), HostId(0x0a00_0000 + at as u64)))
            .collect();
        let mut mesh = Mesh {
            now: Millis(1_000),
            hosts: ids.iter().map(|it| new_host(*it, zones, upstreams)).collect(),
            up: vec![true; ids.len()],
            ids,
            lost: Box::new(|_, _| false),
            sent_bytes: 0,
            max_bytes: 0,
            summaries: Vec::new(),
        };
        mesh.publish_hosts();
        mesh
    }

    /// Tells all hosts which ones are up.
    fn publish_hosts(&mut self) {
        let up = self.ids.iter().zip(&self.up).filter(|it| *it.1).map(|it| *it.0);
        let up: Vec<(ZoneId, HostId)> = up.collect();
        for it in &mut self.hosts {
            it.set_hosts_by_zone(up.clone());
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + Millis(ms);
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        let mut queue = VecDeque::new();
        for at in 0..self.hosts.len() {
            if self.up[at] {
                self.hosts[at].tick(self.now);
            }
            self.collect(at, &mut queue);
        }
        while let Some((from, to, msg)) = queue.pop_front() {
            if let LoadMessage::Summary(it) = &msg {
                self.summaries.push((self.ids[from].1, it.clone()));
            }
            let Some(at) = self.ids.iter().position(|it| it.1 == to) else { continue };
            if !self.up[at] || (self.lost)(self.ids[from].1, to) {
                continue;
            }
            let (from, it) = (self.ids[from].1, &mut self.hosts[at]);
            match msg {
                LoadMessage::Report(report) => it.apply_load_report(self.now, from, &report),
                LoadMessage::Summary(sum) => it.apply_load_summary(self.now, from, &sum),
            }
            self.collect(at, &mut queue);
        }
        self.summaries.drain(..self.summaries.len().saturating_sub(64));
    }

    fn collect(&mut self, at: usize, queue: &mut VecDeque<(usize, HostId, LoadMessage)>) {
        let mut last: Option<(LoadMessage, usize)> = None;
        for (to, msg) in self.hosts[at].take_load_messages() {
            let bytes = match &last {
                Some((same, bytes)) if *same == msg => *bytes,
                _ => encoded_len(&msg),
            };
            self.sent_bytes += bytes;
            self.max_bytes = self.max_bytes.max(bytes);
            last = Some((msg.clone(), bytes));
            queue.push_back((at, to, msg));
        }
    }

    /// Forwards a request of a new flow through a host to an upstream.
    fn request(&mut self, host: usize, upstream: u64, flow: FlowKey) {
        let segment = data_segment(flow, Token::of(key(upstream)), 1, 100, 10);
        self.hosts[host].handle_packet(self.now, &segment);
    }

    /// Acknowledges the answer to the request of a flow.
    fn answer(&mut self, host: usize, upstream: u64, flow: FlowKey) {
        let segment = data_segment(flow, Token::of(key(upstream)), 11, 200, 0);
        self.hosts[host].handle_packet(self.now, &segment);
    }

    fn view(&self, host: usize, upstream: u64) -> UpstreamView {
        let name = format!("{upstream:016x}");
        let view = self.hosts[host].view(self.now);
        view.upstreams.into_iter().find(|it| it.upstream == name).unwrap()
    }

    fn in_progress(&self, host: usize, upstream: u64) -> Option<f64> {
        self.view(host, upstream).shared_in_progress
    }

    /// Returns the position of the host that sends the summaries of a zone.
    fn collector(&self, zone: ZoneId) -> usize {
        let mut own = self.summaries.iter().rev().filter(|it| it.1.zone == zone);
        let it = own.find(|it| self.ids.contains(&(zone, it.0))).unwrap().0;
        self.ids.iter().position(|id| id.1 == it).unwrap()
    }
}

fn encoded_len(msg: &LoadMessage) -> usize {
    let msg = match msg.clone() {
        LoadMessage::Report(it) => FleetMsg::Load(it),
        LoadMessage::Summary(it) => FleetMsg::LoadSum(it),
    };
    encode(&msg).unwrap().len()
}

fn new_host((zone, host): (ZoneId, HostId), zones: usize, upstreams: u64) -> DirectHost {
    let mut it = DirectHost::new(DirectSettings { host, ..settings(zone) });
    it.set_directory_state(Millis(0), DirectoryState::Available);
    let mut all = vec![routing(1, RequestClass::default())];
    let zone_of = |id: u64| ZoneId((id as usize % zones) as u32 + 1);
    all.extend((1..=upstreams).map(|id| DirectoryUpdate::Upstream(announcement(id, zone_of(id)))));
    it.apply_listing(Millis(0), &all);
    it
}

fn routing(revision: u64, class: RequestClass) -> DirectoryUpdate {
    let mut route = route(SERVICE, "feed");
    route.class = class;
    DirectoryUpdate::Routing(Arc::new(Routing::new(revision, vec![route], vec![], Millis(60_000))))
}

fn assert_near(seen: Option<f64>, expected: f64, tolerance: f64) {
    let seen = seen.expect("the load is shared");
    assert!((seen - expected).abs() <= tolerance, "{seen} instead of {expected}");
}

/// Returns hosts in two zones through each of which two requests wait at upstream 1.
fn loaded_mesh() -> Mesh {
    let mut mesh = Mesh::new(6, 2, 4);
    for host in 0..6 {
        for number in 0..2 {
            mesh.request(host, 1, flow(number));
        }
    }
    mesh.run(5_000);
    mesh
}

#[test]
fn every_host_knows_the_requests_of_all_hosts() {
    let mesh = loaded_mesh();
    for host in 0..6 {
        assert_near(mesh.in_progress(host, 1), 12.0, 0.3);
        assert_near(mesh.in_progress(host, 2), 0.0, 0.0);
        let shared = mesh.hosts[host].view(mesh.now).shared_load.unwrap();
        assert_eq!(shared.hosts, 6);
        assert!(shared.age_ms < 2_000, "{shared:?}");
    }
}

#[test]
fn answered_requests_no_longer_count() {
    let mut mesh = loaded_mesh();
    for host in 0..6 {
        mesh.answer(host, 1, flow(0));
    }
    mesh.run(2_000);
    assert_near(mesh.in_progress(3, 1), 6.0, 1.0);
    mesh.run(4_000);
    assert_near(mesh.in_progress(3, 1), 6.0, 0.1);
    for host in 0..6 {
        mesh.answer(host, 1, flow(1));
    }
    mesh.run(6_000);
    assert_near(mesh.in_progress(3, 1), 0.0, 0.0);
}

#[test]
fn requests_count_no_longer_than_their_timeout() {
    let mut mesh = Mesh::new(4, 2, 4);
    let class = RequestClass { timeout: Millis(2_000), ..RequestClass::default() };
    for it in &mut mesh.hosts {
        it.apply_update(mesh.now, &routing(2, class));
    }
    mesh.run(3_000);
    mesh.request(0, 2, flow(7));
    mesh.request(0, 2, flow(8));
    mesh.run(1_900);
    assert_near(mesh.in_progress(1, 2), 2.0, 0.1);
    mesh.answer(0, 2, flow(8));
    mesh.request(0, 2, flow(9));
    mesh.run(1_800);
    assert_near(mesh.in_progress(1, 2), 1.0, 0.5);
    mesh.run(6_000);
    assert_near(mesh.in_progress(1, 2), 0.0, 0.0);
    assert_eq!(mesh.view(0, 2).waiting, 2);
    mesh.answer(0, 2, flow(7));
    mesh.answer(0, 2, flow(9));
    mesh.request(0, 2, flow(10));
    mesh.run(1_800);
    assert_near(mesh.in_progress(1, 2), 1.0, 0.5);
}

/// Lets `flows` become overdue at upstream 2 and end by `end`, while one request is always in progress
/// there. Returns the number in progress afterwards, as another host sees it.
fn seen_after_overdue(ms: u64, end: impl Fn(&mut Mesh, FlowKey)) -> f64 {
    let mut mesh = Mesh::new(4, 2, 4);
    let class = RequestClass { timeout: Millis(2_000), ..RequestClass::default() };
    for it in &mut mesh.hosts {
        it.apply_update(mesh.now, &routing(2, class));
    }
    for number in 0..4 {
        mesh.request(0, 2, flow(number));
    }
    let run_busy = |mesh: &mut Mesh, seconds: u64, first: u32| {
        mesh.request(0, 2, flow(first));
        for number in (first..).take(seconds as usize) {
            mesh.run(1_000);
            mesh.request(0, 2, flow(number + 1));
            mesh.answer(0, 2, flow(number));
        }
    };
    run_busy(&mut mesh, 3, 100);
    for number in 0..4 {
        end(&mut mesh, flow(number));
    }
    mesh.answer(0, 2, flow(103));
    run_busy(&mut mesh, ms / 1_000, 200);
    mesh.in_progress(1, 2).expect("the load is shared")
}

#[test]
fn overdue_requests_are_forgotten_however_they_end() {
    let aborted = seen_after_overdue(6_000, |mesh, flow| {
        let segment = Segment {
            kind: SegmentKind::Abort,
            ..data_segment(flow, Token::of(key(2)), 11, 100, 0)
        };
        mesh.hosts[0].handle_packet(mesh.now, &segment);
    });
    let opened_again = seen_after_overdue(6_000, |mesh, flow| {
        mesh.now = mesh.now + Millis(1_000);
        mesh.hosts[0].handle_packet(mesh.now, &open_segment(flow, 0));
    });
    let idle = seen_after_overdue(66_000, |_, _| {});
    for seen in [aborted, opened_again, idle] {
        assert_near(Some(seen), 1.0, 0.1);
    }
}

/// Returns the mean number of requests in progress at the only upstream as host 0 sees it, while a
/// flow with one request is opened through each of the `busy` hosts every 100 ms, which is answered
/// after a number of ticks.
fn mean_seen(busy: usize, ticks: usize) -> f64 {
    let mut mesh = Mesh::new(3, 1, 1);
    let mut running = VecDeque::new();
    let mut seen = Vec::new();
    for step in 0..400 {
        for host in (0..busy).filter(|_| step % 2 == 0) {
            let flow = flow((step * 3 + host) as u32);
            mesh.hosts[host].handle_packet(mesh.now, &open_segment(flow, 0));
            mesh.request(host, 1, flow);
            running.push_back((step + ticks, host, flow));
        }
        while let Some((_, host, flow)) = running.pop_front_if(|it| it.0 <= step) {
            mesh.answer(host, 1, flow);
        }
        mesh.step();
        if step >= 100 {
            seen.push(mesh.in_progress(0, 1).expect("the load is shared"));
        }
    }
    seen.iter().sum::<f64>() / seen.len() as f64
}

#[test]
fn flows_count_as_long_as_their_requests_in_calm() {
    assert!(mean_seen(1, 0) <= 0.25, "{} instead of none", mean_seen(1, 0));
    for (busy, ticks) in [(1, 2), (3, 2), (3, 6)] {
        let (seen, expected) = (mean_seen(busy, ticks), (busy * ticks) as f64 / 2.0);
        assert!((seen - expected).abs() <= 0.5, "{seen} instead of {expected}");
    }
}

#[test]
fn rates_of_addresses_are_added_up() {
    let mut mesh = Mesh::new(4, 2, 4);
    for number in 0..200 {
        for host in 0..4 {
            mesh.request(host, 1, flow(number));
            mesh.answer(host, 1, flow(number));
        }
        mesh.run(50);
    }
    let shared = mesh.hosts[0].view(mesh.now).shared_load.unwrap();
    assert_eq!(shared.routes.len(), 1);
    let rate = shared.routes[0].requests_per_s;
    assert!((60.0..=100.0).contains(&rate), "{rate} instead of 80 requests per second");
}

#[test]
fn routes_that_do_not_fit_are_told_in_turn() {
    const ROUTES: u16 = 60;
    let addr = |at: u16| ServiceAddr { port: SERVICE.port + at, ..SERVICE };
    let routes = (0..ROUTES).map(|at| route(addr(at), "feed")).collect();
    let all = Arc::new(Routing::new(2, routes, vec![], Millis(60_000)));
    let mut mesh = Mesh::new(4, 2, 1);
    for it in &mut mesh.hosts {
        it.apply_update(mesh.now, &DirectoryUpdate::Routing(Arc::clone(&all)));
    }
    let token = Token::of(key(1));
    for step in 0..600 {
        for at in (0..ROUTES).filter(|_| step % 4 == 0) {
            let flow = FlowKey { service: addr(at), ..flow(step) };
            let host = usize::from(at) % 4;
            mesh.hosts[host].handle_packet(mesh.now, &data_segment(flow, token, 1, 100, 10));
            mesh.hosts[host].handle_packet(mesh.now, &data_segment(flow, token, 11, 200, 0));
        }
        mesh.step();
    }
    let mut told = [0; ROUTES as usize];
    for _ in 0..600 {
        mesh.step();
        let shared = mesh.hosts[0].view(mesh.now).shared_load.unwrap();
        for it in &shared.routes {
            let at = usize::from(it.address.port() - SERVICE.port);
            told[at] += 1;
        }
    }
    assert!(told.iter().all(|it| *it > 0), "{told:?}");
}

#[test]
fn first_rates_are_those_since_the_start() {
    let mut mesh = Mesh::new(2, 1, 1);
    mesh.now = Millis(500_000_000);
    for number in 0..60 {
        mesh.request(0, 1, flow(number));
        mesh.answer(0, 1, flow(number));
        mesh.run(50);
        if let Some(shared) = mesh.hosts[1].view(mesh.now).shared_load
            && let Some(it) = shared.routes.first()
        {
            assert!((14.0..=26.0).contains(&it.requests_per_s), "{} of 20", it.requests_per_s);
            return;
        }
    }
    panic!("no rate was told");
}

#[test]
fn nothing_is_sent_or_believed_with_the_mechanism_off() {
    let mut mesh = loaded_mesh();
    let disabled = Disabled::new(vec![Mechanism::SharedLoad]);
    for (it, id) in mesh.hosts.iter_mut().zip(&mesh.ids) {
        let cfg = settings(id.0);
        it.update_settings(DirectSettings { disabled: disabled.clone(), ..cfg });
    }
    mesh.run(100);
    mesh.sent_bytes = 0;
    mesh.run(2_000);
    assert_eq!(mesh.sent_bytes, 0);
    assert_eq!(mesh.in_progress(0, 1), None);
}

#[test]
fn silent_host_is_forgotten_within_two_seconds() {
    let mut mesh = loaded_mesh();
    let silent = (0..6).find(|&at| at != mesh.collector(ZoneId(1)) && at % 2 == 0).unwrap();
    let id = mesh.ids[silent].1;
    mesh.lost = Box::new(move |from, _| from == id);
    mesh.run(2_600);
    let other = (silent + 2) % 6;
    assert_near(mesh.in_progress(other, 1), 10.0, 0.3);
    assert_eq!(mesh.hosts[other].view(mesh.now).shared_load.unwrap().hosts, 5);
}

#[test]
fn next_host_takes_over_from_a_dead_collector() {
    let mut mesh = loaded_mesh();
    let dead = mesh.collector(ZoneId(1));
    mesh.up[dead] = false;
    mesh.run(1_000);
    mesh.publish_hosts();
    for _ in 0..100 {
        mesh.step();
        for host in (0..6).filter(|it| *it != dead) {
            let seen = mesh.in_progress(host, 1).unwrap_or(0.0);
            assert!(seen <= 12.3, "{seen} requests, some counted twice");
        }
    }
    for host in (0..6).filter(|it| *it != dead) {
        assert_near(mesh.in_progress(host, 1), 10.0, 0.3);
    }
}

#[test]
fn restarted_collector_is_believed_again() {
    let mut mesh = loaded_mesh();
    let collector = mesh.collector(ZoneId(1));
    mesh.hosts[collector] = new_host(mesh.ids[collector], 2, 4);
    mesh.publish_hosts();
    for _ in 0..100 {
        mesh.step();
        let seen = mesh.in_progress((collector + 2) % 6, 1).unwrap_or(0.0);
        assert!(seen <= 12.3, "{seen} requests, some counted twice");
    }
    for host in 0..6 {
        assert_near(mesh.in_progress(host, 1), 10.0, 0.3);
    }
}

/// Asserts that hosts know nothing, the 6 requests through one zone or the 12 through both, and never
/// a part of a zone's. Returns how many times the load was known in zone 1.
fn known_without_partial_sums(mesh: &mut Mesh, ms: u64) -> usize {
    let end = mesh.now + Millis(ms);
    let mut known = 0;
    while mesh.now < end {
        mesh.step();
        for host in 0..6 {
            let Some(seen) = mesh.in_progress(host, 1) else { continue };
            let is_own = mesh.ids[host].0 == ZoneId(1);
            let is_whole = [6.0, 12.0].iter().any(|it| (seen - it).abs() <= 0.3);
            assert!(is_whole, "{seen} requests at host {host} at {:?}", mesh.now);
            known += usize::from(is_own);
        }
    }
    known
}

#[test]
fn paused_collector_is_not_believed_until_it_has_heard_most_hosts() {
    for pause in [1_900, 2_200, 5_000] {
        let mut mesh = loaded_mesh();
        let collector = mesh.collector(ZoneId(1));
        mesh.up[collector] = false;
        mesh.run(pause);
        mesh.up[collector] = true;
        known_without_partial_sums(&mut mesh, 2_000);
        assert!(known_without_partial_sums(&mut mesh, 500) > 0);
    }
}

#[test]
fn collector_that_hears_few_hosts_is_not_believed() {
    let mut mesh = loaded_mesh();
    let deaf = mesh.ids[mesh.collector(ZoneId(1))].1;
    mesh.lost = Box::new(move |from, to| from.0 % 2 == 0 && to == deaf);
    known_without_partial_sums(&mut mesh, 4_500);
    assert_eq!(known_without_partial_sums(&mut mesh, 2_000), 0);
}

#[test]
fn sum_of_few_hosts_is_not_believed() {
    let mut mesh = loaded_mesh();
    let (zone, from) = (ZoneId(1), mesh.ids[mesh.collector(ZoneId(1))].1);
    mesh.hosts[0].apply_load_summary(
        mesh.now,
        from,
        &LoadSummary {
            zone,
            incarnation: u64::MAX / 2,
            seq: 1,
            hosts: 1,
            age_ms: 0,
            upstreams: vec![],
            routes: vec![],
        },
    );
    assert_eq!(mesh.in_progress(0, 1), None);
}

#[test]
fn joining_host_gets_the_whole_picture_at_once() {
    let mut mesh = Mesh::new(8, 2, 300);
    let joining = (0..8).find(|&at| at != collector_of(&mut mesh, at)).unwrap();
    mesh.up[joining] = false;
    mesh.publish_hosts();
    let zone = mesh.ids[joining].0;
    let mates: Vec<usize> = (0..8).filter(|&at| at != joining).collect();
    for id in 1..=300 {
        for &host in &mates {
            mesh.request(host, id, flow(id as u32));
        }
    }
    mesh.run(20_000);
    mesh.hosts[joining] = new_host(mesh.ids[joining], 2, 300);
    mesh.up[joining] = true;
    mesh.publish_hosts();
    mesh.run(2_000);
    assert_ne!(mesh.collector(zone), joining);
    for id in 1..=300 {
        assert_near(mesh.in_progress(joining, id), 7.0, 0.6);
    }
    assert!(mesh.max_bytes <= MAX_DATAGRAM, "{} bytes", mesh.max_bytes);
}

/// Returns the collector of the zone of a host.
fn collector_of(mesh: &mut Mesh, host: usize) -> usize {
    if mesh.summaries.is_empty() {
        mesh.run(3_000);
    }
    mesh.collector(mesh.ids[host].0)
}

#[test]
fn half_of_the_messages_may_be_lost() {
    let mut mesh = loaded_mesh();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    mesh.lost = Box::new(move |_, _| rng.random_range(0..2) == 0);
    let (mut known, mut near) = (0, 0);
    for _ in 0..400 {
        mesh.step();
        let seen = mesh.in_progress(0, 1);
        assert!(seen.unwrap_or(0.0) <= 12.3, "{seen:?} requests, some counted twice");
        known += usize::from(seen.is_some());
        near += usize::from(seen.is_some_and(|it| it >= 9.0));
    }
    assert!(known >= 340, "the load was known at {known} of 400 times");
    assert!(near >= 240, "the load was about right at {near} of 400 times");
}

#[test]
fn zone_that_is_cut_off_keeps_its_own_sum() {
    let mut mesh = loaded_mesh();
    mesh.lost = Box::new(|from, to| (from.0 ^ to.0) % 2 == 1);
    mesh.run(2_600);
    for host in 0..6 {
        assert_near(mesh.in_progress(host, 1), 6.0, 0.3);
        assert_eq!(mesh.hosts[host].view(mesh.now).shared_load.unwrap().hosts, 3);
    }
}

/// Returns hosts that have been told a speed of upstream 2 by the collector of zone 1.
fn mesh_with_speed(speed_percent: u16) -> Mesh {
    let mut mesh = loaded_mesh();
    let from = mesh.collector(ZoneId(1));
    let summary = LoadSummary {
        zone: ZoneId(1),
        incarnation: u64::MAX / 2,
        seq: 1,
        hosts: 3,
        age_ms: 0,
        upstreams: vec![UpstreamSum { token: Token::of(key(2)), in_progress: 0, speed_percent }],
        routes: vec![],
    };
    for it in &mut mesh.hosts {
        it.apply_load_summary(mesh.now, mesh.ids[from].1, &summary);
    }
    mesh
}

#[test]
fn speeds_are_kept_by_the_next_collector_until_they_have_faded() {
    let mut mesh = mesh_with_speed(150);
    mesh.run(2_000);
    let from = mesh.collector(ZoneId(1));
    mesh.up[from] = false;
    mesh.publish_hosts();
    for _ in 0..100 {
        mesh.step();
        for host in (0..6).filter(|it| *it != from) {
            let speed = mesh.view(host, 2).speed.unwrap_or(1.0);
            assert!((1.3..=1.5).contains(&speed), "{speed} at host {host} at {:?}", mesh.now);
        }
    }
    assert_ne!(mesh.collector(ZoneId(1)), from);
    mesh.run(90_000);
    for host in (0..6).filter(|it| *it != from) {
        assert_eq!(mesh.view(host, 2).speed, None);
    }
}

#[test]
fn speed_does_not_outlast_the_messages_of_its_zone() {
    let mut mesh = mesh_with_speed(15);
    assert_eq!(mesh.view(0, 2).speed, Some(0.15));
    mesh.lost = Box::new(|_, _| true);
    let collector = mesh.collector(ZoneId(1));
    mesh.run(12_000);
    for host in (0..6).filter(|it| *it != collector) {
        assert_eq!(mesh.view(host, 2).speed, None);
    }
}

#[test]
fn collector_that_starts_with_nothing_replaces_all_that_was_told() {
    let mut mesh = mesh_with_speed(15);
    let collector = mesh.collector(ZoneId(1));
    mesh.hosts[collector] = new_host(mesh.ids[collector], 2, 4);
    mesh.publish_hosts();
    mesh.run(6_000);
    for host in 0..6 {
        assert_eq!(mesh.view(host, 2).speed, None);
    }
}

#[test]
fn repeated_parts_of_a_report_count_once() {
    let mut mesh = loaded_mesh();
    let collector = mesh.collector(ZoneId(1));
    let from = mesh.ids[(collector + 2) % 6].1;
    mesh.lost = Box::new(move |it, _| it == from);
    let row = |token: Token| UpstreamReport {
        token,
        in_progress: 32,
        speed_samples: 0,
        slowness_milli: 0,
    };
    let stranger = Token(0x5eed_5eed);
    let first =
        LoadReport { interval_ms: 500, upstreams: vec![row(Token::of(key(3)))], routes: vec![] };
    let further = LoadReport {
        interval_ms: 0,
        upstreams: vec![row(Token::of(key(2))), row(stranger)],
        routes: vec![],
    };
    let twice = LoadReport { upstreams: vec![row(Token::of(key(3))); 2], ..first.clone() };
    mesh.hosts[collector].apply_load_report(mesh.now, from, &first);
    for _ in 0..5 {
        // All other first parts are lost.
        mesh.hosts[collector].apply_load_report(mesh.now, from, &further);
        mesh.hosts[collector].apply_load_report(mesh.now, from, &further);
        mesh.hosts[collector].apply_load_report(mesh.now, from, &twice);
        mesh.run(500);
    }
    assert_eq!(mesh.hosts[collector].stats().load_rejected, 5);
    assert_near(mesh.in_progress(collector, 2), 2.0, 0.1);
    assert_near(mesh.in_progress(collector, 3), 2.0, 0.1);
    let told = mesh.summaries.iter().flat_map(|it| &it.1.upstreams);
    assert_eq!(told.filter(|it| it.token == stranger).count(), 0);
}

#[test]
fn report_that_cannot_be_true_is_not_believed() {
    let mut mesh = loaded_mesh();
    let collector = mesh.collector(ZoneId(1));
    let from = mesh.ids[(collector + 2) % 6].1;
    let row = UpstreamReport {
        token: Token::of(key(1)),
        in_progress: 60_000,
        speed_samples: 0,
        slowness_milli: 0,
    };
    let impossible = [
        LoadReport { interval_ms: 500, upstreams: vec![row], routes: vec![] },
        LoadReport { interval_ms: u32::MAX, upstreams: vec![], routes: vec![] },
        LoadReport {
            interval_ms: 500,
            upstreams: vec![UpstreamReport { in_progress: 1, slowness_milli: 9_000, ..row }],
            routes: vec![],
        },
        LoadReport {
            interval_ms: 500,
            upstreams: vec![UpstreamReport {
                in_progress: 1,
                speed_samples: 1,
                slowness_milli: 2_600,
                ..row
            }],
            routes: vec![],
        },
        LoadReport {
            interval_ms: 500,
            upstreams: vec![UpstreamReport { in_progress: 1, speed_samples: u16::MAX, ..row }],
            routes: vec![],
        },
        LoadReport {
            interval_ms: 500,
            upstreams: vec![],
            routes: vec![RouteReport {
                addr: SERVICE,
                requests_per_s_tenths: u32::MAX,
                service_time_us: 0,
            }],
        },
    ];
    mesh.hosts[collector].take_events();
    for it in &impossible {
        mesh.hosts[collector].apply_load_report(mesh.now, from, it);
    }
    assert_eq!(mesh.hosts[collector].stats().load_rejected, 6);
    let is_rejection = |it: &DirectEvent| matches!(it, DirectEvent::LoadRejected { .. });
    let events = mesh.hosts[collector].take_events();
    let rejections: Vec<&DirectEvent> = events.iter().filter(|it| is_rejection(it)).collect();
    let why = ImplausibleLoad::InProgress { token: row.token };
    assert_eq!(rejections, [&DirectEvent::LoadRejected { from, why }]);
    mesh.run(2_000);
    assert_near(mesh.in_progress(0, 1), 12.0, 0.3);
}

#[test]
fn summary_that_cannot_be_true_is_not_believed() {
    let mut mesh = loaded_mesh();
    let (zone, from) = mesh.ids[2];
    let upstreams =
        vec![UpstreamSum { token: Token::of(key(1)), in_progress: 60_000, speed_percent: 100 }];
    let with_speed =
        |speed_percent| UpstreamSum { token: Token::of(key(1)), in_progress: 0, speed_percent };
    let good = LoadSummary {
        zone,
        incarnation: u64::MAX,
        seq: 1,
        hosts: 3,
        age_ms: 100,
        upstreams: vec![],
        routes: vec![],
    };
    let impossible = [
        LoadSummary { upstreams, ..good.clone() },
        LoadSummary { hosts: 5_000, ..good.clone() },
        LoadSummary { age_ms: u32::MAX, ..good.clone() },
        LoadSummary { upstreams: vec![with_speed(9)], ..good.clone() },
        LoadSummary { upstreams: vec![with_speed(401)], ..good.clone() },
        LoadSummary { upstreams: vec![with_speed(100); 2], ..good.clone() },
    ];
    for it in &impossible {
        mesh.hosts[0].apply_load_summary(mesh.now, from, it);
    }
    assert_eq!(mesh.hosts[0].stats().load_rejected, 6);
    // Nobody else speaks for a zone, and no stranger does.
    mesh.hosts[0].apply_load_summary(mesh.now, HostId(99), &good);
    mesh.run(1_000);
    assert_near(mesh.in_progress(0, 1), 12.0, 0.3);
}

/// Requests at random through all hosts to all upstreams.
struct RandomLoad {
    mesh: Mesh,
    rng: ChaCha8Rng,
    running: Vec<(usize, u64, FlowKey)>,
    number: u32,
    /// Requests in progress at each upstream after each tick.
    history: Vec<Vec<u32>>,
}

impl RandomLoad {
    fn new(hosts: usize, zones: usize, upstreams: u64) -> RandomLoad {
        let (mesh, rng) = (Mesh::new(hosts, zones, upstreams), ChaCha8Rng::seed_from_u64(1));
        RandomLoad { mesh, rng, running: Vec::new(), number: 0, history: Vec::new() }
    }

    /// Runs for a number of ticks while `mean` requests are in progress at each upstream, of which one
    /// in `ends_one_in` ends at each tick; `slowness` multiplies that by upstream.
    fn run(&mut self, ticks: usize, mean: f64, ends_one_in: f64, slowness: fn(u64) -> f64) {
        let upstreams = self.mesh.hosts[0].view(self.mesh.now).upstreams.len() as u64;
        for _ in 0..ticks {
            let ends = |it: &(usize, u64, FlowKey), rng: &mut ChaCha8Rng| {
                rng.random_range(0.0..ends_one_in * slowness(it.1)) < 1.0
            };
            let rng = &mut self.rng;
            for (host, upstream, flow) in self.running.extract_if(.., |it| ends(it, rng)) {
                self.mesh.answer(host, upstream, flow);
            }
            let first = self.running.is_empty() && self.number == 0;
            let speeds = (1..=upstreams).map(|it| 1.0 / slowness(it)).sum::<f64>();
            let opened = mean * speeds / if first { 1.0 } else { ends_one_in };
            for _ in 0..opened.round() as usize {
                let host = self.rng.random_range(0..self.mesh.hosts.len());
                let mut upstream = self.rng.random_range(1..=upstreams);
                // Faster upstreams get more flows.
                while slowness(upstream) > 1.0
                    && self.rng.random_range(0.0..slowness(upstream)) >= 1.0
                {
                    upstream = self.rng.random_range(1..=upstreams);
                }
                self.number += 1;
                self.running.push((host, upstream, flow(self.number)));
                self.mesh.request(host, upstream, flow(self.number));
            }
            self.mesh.step();
            let mut in_progress = vec![0; upstreams as usize];
            self.running.iter().for_each(|it| in_progress[it.1 as usize - 1] += 1);
            self.history.push(in_progress);
        }
        assert!(self.mesh.max_bytes <= MAX_DATAGRAM, "{} bytes", self.mesh.max_bytes);
    }

    /// Returns the bytes that a host has sent per second since `mesh.sent_bytes` was zero.
    fn bytes_per_s(&self, ticks: usize) -> f64 {
        let seconds = ticks as f64 * TICK.0 as f64 / 1_000.0;
        self.mesh.sent_bytes as f64 / self.mesh.hosts.len() as f64 / seconds
    }

    /// Returns the mean distance of what a host knows from the mean of the last `ticks`.
    fn mean_error(&self, host: usize, ticks: usize) -> f64 {
        let last = &self.history[self.history.len() - ticks..];
        let upstreams = 1..=last[0].len() as u64;
        let view = self.mesh.hosts[host].view(self.mesh.now);
        let error = |id: u64| {
            let mean = last.iter().map(|it| f64::from(it[id as usize - 1])).sum::<f64>();
            let name = format!("{id:016x}");
            let seen = view.upstreams.iter().find(|it| it.upstream == name).unwrap();
            (seen.shared_in_progress.expect("the load is shared") - mean / ticks as f64).abs()
        };
        let count = last[0].len() as f64;
        upstreams.map(error).sum::<f64>() / count
    }
}

/// Returns the mean number of bytes that a host sends per second under a load as of
/// [`RandomLoad::run`].
fn bytes_per_s(hosts: usize, zones: usize, upstreams: u64, mean: f64, ends_one_in: f64) -> f64 {
    let mut load = RandomLoad::new(hosts, zones, upstreams);
    load.run(80, mean, ends_one_in, |_| 1.0);
    load.mesh.sent_bytes = 0;
    load.run(160, mean, ends_one_in, |_| 1.0);
    load.bytes_per_s(160)
}

#[test]
fn messages_with_speeds_take_few_bytes_in_calm_and_bounded_bytes_in_a_shortage() {
    let slowness = |upstream: u64| (1 + upstream % 3) as f64;
    for (hosts, zones, upstreams) in [(65, 3, 150), (300, 5, 300)] {
        let mut load = RandomLoad::new(hosts, zones, upstreams);
        load.run(400, 0.6, 1.3, slowness);
        load.mesh.sent_bytes = 0;
        load.run(160, 0.6, 1.3, slowness);
        let bytes = load.bytes_per_s(160);
        assert!(bytes <= 2_000.0, "{bytes} bytes per second with {hosts} hosts");
        let unequal = load.mesh.hosts[0].view(load.mesh.now).upstreams;
        let unequal = unequal.iter().filter(|it| it.speed.is_some()).count();
        assert!(unequal * 4 >= upstreams as usize, "{unequal} speeds of {upstreams} are known");
        load.run(80, 8.0, 3.0, slowness);
        load.mesh.sent_bytes = 0;
        load.run(160, 8.0, 3.0, slowness);
        let bytes = load.bytes_per_s(160);
        assert!(bytes <= 10_000.0, "{bytes} bytes per second with {hosts} hosts");
    }
}

/// A host may take an upstream for one with a queue that is longer or shorter by one request.
#[test]
fn load_is_known_to_one_request_per_slot_in_a_shortage() {
    for (hosts, zones, upstreams) in [(65, 3, 150), (300, 5, 300)] {
        let mut load = RandomLoad::new(hosts, zones, upstreams);
        load.run(160, 8.0, 3.0, |_| 1.0);
        let mut errors = Vec::new();
        for _ in 0..8 {
            load.run(10, 8.0, 3.0, |_| 1.0);
            errors.push(load.mean_error(load.number as usize % hosts, 30));
        }
        let error = errors.iter().sum::<f64>() / errors.len() as f64;
        assert!(error <= 2.0, "mean error {error} with {hosts} hosts");
    }
}

#[test]
fn messages_take_few_bytes_in_calm() {
    for (hosts, zones, upstreams) in [(65, 3, 150), (300, 5, 300)] {
        let bytes = bytes_per_s(hosts, zones, upstreams, 0.6, 1.3);
        assert!(bytes <= 2_000.0, "{bytes} bytes per second with {hosts} hosts");
    }
}

#[test]
fn messages_take_bounded_bytes_in_a_shortage() {
    for (hosts, zones, upstreams) in [(65, 3, 150), (300, 5, 300)] {
        let bytes = bytes_per_s(hosts, zones, upstreams, 8.0, 3.0);
        assert!(bytes <= 10_000.0, "{bytes} bytes per second with {hosts} hosts");
    }
}
