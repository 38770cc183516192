//! Kinds of requests that share the upstreams of a simulated deployment and ask for more than these
//! can serve: arrivals, bursts, tries, and what callers get.
//!
//! Requests arrive at a rate that does not depend on how earlier ones fare. Each is sent by an idle
//! caller of its kind and zone; callers are added when all are busy.

use std::collections::BTreeMap;

use pomelorun_core::{
    Millis,
    direct::{
        DirectRoute, Disabled, LoadMessage, RequestClass, RouteTarget, Segment, SegmentKind, Token,
    },
};
use pomelorun_wire::{HostId, ServiceAddr, ZoneId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::direct::{
    fixtures::SERVICE,
    simulation::{
        Event, Phase, REQUEST_TIMEOUT_MS, SAME_ZONE_DELAY_MS, Simulation, SimulationConfig,
    },
};

/// Maximum number of tries of a request.
const MAX_TRIES: u32 = 3;
/// Delay of a message between hosts, in milliseconds.
const MESSAGE_DELAY_MS: std::ops::Range<u64> = 2..6;
/// Time until an idle source looks again whether its rate has changed, in milliseconds.
const IDLE_SOURCE_MS: f64 = 10.0;

/// Requests of one priority, with a route of their own to the service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestKind {
    /// Priority of the route; zero is the most urgent.
    pub(crate) priority: u8,
    /// Response-time goal, in milliseconds.
    pub(crate) answer_within_ms: u64,
    /// Number of requests that a caller sends on one flow.
    pub(crate) flow_requests: u32,
    /// Number of callers at the start.
    pub(crate) callers_per_zone: usize,
    /// Requests per second of all zones outside bursts.
    pub(crate) requests_per_s: f64,
}

/// Time in which more or fewer requests of a kind arrive.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Burst {
    pub(crate) kind: usize,
    /// Zone of the callers; all zones if `None`.
    pub(crate) zone: Option<ZoneId>,
    pub(crate) from: u64,
    pub(crate) to: u64,
    /// Factor on the requests per second.
    pub(crate) factor: f64,
}

/// What became of requests, each counted at the time of its first try.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct KindCounts {
    pub(crate) in_time: u64,
    pub(crate) late: u64,
    pub(crate) failed: u64,
    /// Tries that an upstream refused.
    pub(crate) shed: u64,
    /// Openings that a host rejected.
    pub(crate) rejected: u64,
}

impl KindCounts {
    pub(crate) fn in_time_share(&self) -> f64 {
        self.in_time as f64 / (self.in_time + self.late + self.failed).max(1) as f64
    }
}

/// Request that a caller sends.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRequest {
    source: usize,
    started_at: u64,
    tries: u32,
    shed: u64,
    rejected: u64,
}

/// How a try of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TryEnd {
    Answered,
    /// The upstream refused the request.
    Shed,
    /// A host reset the opening packet.
    Rejected,
    /// A host reset the open flow.
    Reset,
    TimedOut,
}

/// Callers of one kind in one zone.
struct Source {
    kind: usize,
    zone: ZoneId,
    idle: Vec<usize>,
    /// Time of the next request, in milliseconds.
    next_at: f64,
}

/// A request that has ended.
struct Ended {
    kind: usize,
    started_at: u64,
    counts: KindCounts,
}

/// State of a simulation that is about hard load.
pub(super) struct HardLoad {
    /// Number of requests in flight at which an upstream refuses further ones.
    pub(super) max_in_flight: Option<u32>,
    /// Separate from the generator of the simulation, whose sequence does not depend on this one.
    rng: ChaCha8Rng,
    kinds: Vec<RequestKind>,
    bursts: Vec<Burst>,
    sources: Vec<Source>,
    ended: Vec<Ended>,
    lost_message_percent: u32,
    /// Messages between hosts that are on their way.
    in_transit: BTreeMap<u64, (HostId, LoadMessage)>,
    last_message_id: u64,
}

impl HardLoad {
    pub(super) fn new(seed: u64) -> HardLoad {
        HardLoad {
            max_in_flight: None,
            rng: ChaCha8Rng::seed_from_u64(!seed),
            kinds: Vec::new(),
            bursts: Vec::new(),
            sources: Vec::new(),
            ended: Vec::new(),
            lost_message_percent: 0,
            in_transit: BTreeMap::new(),
            last_message_id: 0,
        }
    }

    /// Returns the requests per second of a source.
    fn rate(&self, source: usize, zones: u32, now: u64) -> f64 {
        let Source { kind, zone, .. } = self.sources[source];
        let bursts = self.bursts.iter().filter(|it| {
            it.kind == kind
                && it.zone.is_none_or(|it| it == zone)
                && (it.from..it.to).contains(&now)
        });
        let factor: f64 = bursts.map(|it| it.factor).product();
        self.kinds[kind].requests_per_s / f64::from(zones) * factor
    }
}

fn address(kind: usize) -> ServiceAddr {
    ServiceAddr { ip: SERVICE.ip + kind as u32, ..SERVICE }
}

fn route(kind: usize, it: &RequestKind) -> DirectRoute {
    let class = RequestClass {
        priority: it.priority,
        idempotent: true,
        timeout: Millis(REQUEST_TIMEOUT_MS),
    };
    let targets = vec![RouteTarget { service: "feed".to_owned(), weight: 1 }];
    let answer_within = Millis(it.answer_within_ms);
    DirectRoute { addr: address(kind), targets, answer_within, class }
}

impl Simulation {
    /// Creates a simulation with callers of these kinds, whose hosts tell each other about load and
    /// whose upstreams refuse requests beyond `max_in_flight`.
    pub(crate) fn with_kinds(
        disabled: Disabled,
        cfg: SimulationConfig,
        seed: u64,
        kinds: Vec<RequestKind>,
        max_in_flight: u32,
    ) -> Simulation {
        let routes = kinds.iter().enumerate().map(|(kind, it)| route(kind, it)).collect();
        let mut simulation = Simulation::with_routes(disabled, cfg, seed, routes);
        let hosts: Vec<(ZoneId, HostId)> =
            (1u64..).zip(&simulation.hosts).map(|(id, it)| (it.0, HostId(id))).collect();
        for (_, it) in &mut simulation.hosts {
            it.set_hosts_by_zone(hosts.clone());
        }
        for (kind, it) in kinds.iter().enumerate() {
            for zone in (1..=cfg.zones).map(ZoneId) {
                let source = simulation.hard_load.sources.len();
                let callers = 0..it.callers_per_zone;
                let idle = callers.map(|_| simulation.add_caller_of(source, zone)).collect();
                simulation.hard_load.sources.push(Source { kind, zone, idle, next_at: 0.0 });
                simulation.schedule(0, Event::Arrive { source });
            }
        }
        simulation.hard_load.kinds = kinds;
        simulation.hard_load.max_in_flight = Some(max_in_flight);
        simulation
    }

    pub(crate) fn add_bursts(&mut self, bursts: impl IntoIterator<Item = Burst>) {
        self.hard_load.bursts.extend(bursts);
    }

    /// Lets this share of the messages between hosts get lost.
    pub(crate) fn lose_messages(&mut self, percent: u32) {
        self.hard_load.lost_message_percent = percent;
    }

    /// Gives the upstreams of each zone these speeds in turn.
    pub(crate) fn set_speeds(&mut self, speeds: &[f64]) {
        let zones = u64::from(self.cfg.zones);
        for (id, it) in &mut self.upstreams {
            it.speed = speeds[((id - 1) / zones) as usize % speeds.len()];
        }
    }

    /// Returns the number of requests per second that all upstreams together can serve.
    pub(crate) fn capacity_per_s(&self) -> f64 {
        let mean_work_ms = (1 + self.cfg.max_work_ms) as f64 / 2.0;
        self.upstreams.values().map(|it| it.slots.len() as f64 * it.speed).sum::<f64>() * 1_000.0
            / mean_work_ms
    }

    /// Returns what became of the requests of a kind that started in this time.
    pub(crate) fn kind_counts(&self, kind: usize, started: std::ops::Range<u64>) -> KindCounts {
        let mut sum = KindCounts::default();
        let ended = &self.hard_load.ended;
        for it in ended.iter().filter(|it| it.kind == kind && started.contains(&it.started_at)) {
            sum.in_time += it.counts.in_time;
            sum.late += it.counts.late;
            sum.failed += it.counts.failed;
            sum.shed += it.counts.shed;
            sum.rejected += it.counts.rejected;
        }
        sum
    }

    pub(super) fn service_of(&self, caller: usize) -> ServiceAddr {
        let source = self.callers[caller].request.map(|it| it.source);
        source.map_or(SERVICE, |it| address(self.hard_load.sources[it].kind))
    }

    fn add_caller_of(&mut self, source: usize, zone: ZoneId) -> usize {
        let request = PendingRequest { source, started_at: 0, tries: 0, shed: 0, rejected: 0 };
        let caller = self.add_caller(zone, Some(request));
        self.callers[caller].phase = Phase::Thinking;
        caller
    }

    pub(super) fn handle_arrival(&mut self, source: usize) {
        let zone = self.hard_load.sources[source].zone;
        let rate = self.hard_load.rate(source, self.cfg.zones, self.now);
        let hard_load = &mut self.hard_load;
        let it = &mut hard_load.sources[source];
        if rate > 0.0 {
            let caller = if it.idle.is_empty() {
                self.add_caller_of(source, zone)
            } else {
                it.idle.swap_remove(hard_load.rng.random_range(0..it.idle.len()))
            };
            let request =
                PendingRequest { source, started_at: self.now, tries: 1, shed: 0, rejected: 0 };
            self.callers[caller].request = Some(request);
            if self.callers[caller].token == Token::NONE {
                self.open_new_flow(caller);
            } else {
                self.start_request(caller);
            }
        }
        let random: f64 = self.hard_load.rng.random();
        let it = &mut self.hard_load.sources[source];
        it.next_at += if rate > 0.0 { -random.ln() * 1_000.0 / rate } else { IDLE_SOURCE_MS };
        let delay = (it.next_at as u64).saturating_sub(self.now);
        self.schedule(delay, Event::Arrive { source });
    }

    /// Ends the current try of a caller's request, and starts the next one if it has to.
    pub(super) fn end_try(&mut self, caller: usize, end: TryEnd) {
        let it = &mut self.callers[caller];
        let Some(mut request) = it.request else { return };
        let is_idle = it.phase == Phase::Thinking && end == TryEnd::Reset;
        let hard_load = &self.hard_load;
        let kind = &hard_load.kinds[hard_load.sources[request.source].kind];
        let keeps_flow = end == TryEnd::Answered && it.answered < kind.flow_requests;
        if !keeps_flow {
            self.close_flow(caller, end);
        }
        if is_idle {
            return;
        }
        request.shed += u64::from(end == TryEnd::Shed);
        request.rejected += u64::from(end == TryEnd::Rejected);
        let again = matches!(end, TryEnd::Shed | TryEnd::Rejected | TryEnd::Reset);
        if again && request.tries < MAX_TRIES {
            request.tries += 1;
            let it = &mut self.callers[caller];
            it.request = Some(request);
            if end == TryEnd::Shed {
                return self.open_new_flow(caller);
            }
            // The reset has to travel from the host to the caller.
            it.phase = Phase::Thinking;
            it.step += 1;
            let step = it.step;
            return self.schedule(2 * SAME_ZONE_DELAY_MS, Event::Reopen { caller, step });
        }
        self.end_request(caller, request, end == TryEnd::Answered);
    }

    fn end_request(&mut self, caller: usize, request: PendingRequest, answered: bool) {
        let it = &mut self.callers[caller];
        it.phase = Phase::Thinking;
        it.step += 1;
        let source = &mut self.hard_load.sources[request.source];
        source.idle.push(caller);
        let kind = source.kind;
        let goal = self.hard_load.kinds[kind].answer_within_ms;
        let in_time = answered && self.now - request.started_at <= goal;
        let counts = KindCounts {
            in_time: u64::from(in_time),
            late: u64::from(answered && !in_time),
            failed: u64::from(!answered),
            shed: request.shed,
            rejected: request.rejected,
        };
        self.hard_load.ended.push(Ended { kind, started_at: request.started_at, counts });
    }

    /// Closes the caller's flow and tells the upstream if it may not know.
    fn close_flow(&mut self, caller: usize, end: TryEnd) {
        let it = &mut self.callers[caller];
        let kind = match end {
            TryEnd::Answered | TryEnd::Shed => Some(SegmentKind::Finish),
            TryEnd::TimedOut => Some(SegmentKind::Abort),
            TryEnd::Rejected | TryEnd::Reset => None,
        };
        let (flow, token, seq, ack) = (it.flow, it.token, it.seq, it.ack);
        it.token = Token::NONE;
        self.caller_by_flow.remove(&flow);
        if let Some(kind) = kind
            && token != Token::NONE
        {
            self.send_through_host(caller, Segment { flow, kind, token, seq, ack, len: 0 });
        }
    }

    /// Sends what a host has to tell other hosts about load.
    pub(super) fn send_load_messages(&mut self, host: usize) {
        let from = HostId(host as u64 + 1);
        for (to, msg) in self.hosts[host].1.take_load_messages() {
            let Some(host) = self.host_at(to) else { continue };
            let hard_load = &mut self.hard_load;
            if hard_load.rng.random_range(0..100) < hard_load.lost_message_percent {
                continue;
            }
            hard_load.last_message_id += 1;
            let id = hard_load.last_message_id;
            hard_load.in_transit.insert(id, (from, msg));
            let delay = hard_load.rng.random_range(MESSAGE_DELAY_MS);
            self.schedule(delay, Event::LoadMessage { host, id });
        }
    }

    pub(super) fn handle_load_message(&mut self, host: usize, id: u64) {
        let Some((from, msg)) = self.hard_load.in_transit.remove(&id) else { return };
        let sender = self.host_at(from).map(|it| self.hosts[it].0);
        let to = self.hosts[host].0;
        if !sender.is_some_and(|it| self.can_reach(it, to)) {
            return;
        }
        let now = Millis(self.now);
        match msg {
            LoadMessage::Report(it) => self.hosts[host].1.apply_load_report(now, from, &it),
            LoadMessage::Summary(it) => self.hosts[host].1.apply_load_summary(now, from, &it),
        }
    }
}
