//! Simulates a deployment in virtual time: hosts, upstreams, and callers that open flows, send
//! requests, retransmit unanswered packets and time out.

mod hard_load;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddrV4,
};

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, DirectEvent, DirectHost, DirectRoute, DirectoryState, DirectoryUpdate,
        Disabled, LivenessMessage, ProbeKind, ProbeResult, ResetPacket, Segment, SegmentKind,
        Token, Verdict,
    },
};
use pomelorun_wire::{FlowKey, HostId, ZoneId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) use crate::direct::simulation::hard_load::{Burst, KindCounts, RequestKind};
use crate::direct::{
    fixtures::{SERVICE, addr, announcement, key, open_segment, route, routing, settings},
    simulation::hard_load::{HardLoad, PendingRequest, TryEnd},
};

/// Time after which a request that opens a flow is late, in milliseconds, whatever comes then.
pub(crate) const LATE_OPENING_MS: u64 = 100;
/// Retransmission times of an opening packet, in milliseconds after the first packet.
const OPEN_RETRANSMIT_MS: [u64; 2] = [200, 600];
/// Time after which opening a flow times out at the caller, in milliseconds.
const OPEN_TIMEOUT_MS: u64 = 1_400;
/// Retransmission times of a data packet, in milliseconds after the first packet.
const DATA_RETRANSMIT_MS: [u64; 4] = [200, 600, 1_400, 3_000];
/// Time after which a request times out at the caller, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 1_500;
/// One-way delay within a zone, in milliseconds.
const SAME_ZONE_DELAY_MS: u64 = 1;
/// One-way delay between zones, in milliseconds.
const CROSS_ZONE_DELAY_MS: u64 = 2;
/// Time after which a connection attempt to an unresponsive upstream fails, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 150;
/// Number of requests that an upstream runs or queues before it refuses further ones.
const MAX_IN_FLIGHT: u32 = 10;
/// Size of a request, in bytes.
const REQUEST_BYTES: u32 = 120;
/// Size of a request that every upstream answers with an error, in bytes.
const BAD_REQUEST_BYTES: u16 = 121;
/// Size of a successful response, in bytes.
const RESPONSE_BYTES: u32 = 2_000;
/// Size of an error response, in bytes.
const ERROR_RESPONSE_BYTES: u32 = 160;
/// Maximum payload of a packet, in bytes.
const MAX_PACKET_BYTES: u32 = 1_200;

/// State of an upstream, which decides how it handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    Healthy,
    /// Takes this many times longer for a request.
    Slow(u64),
    /// Neither responds nor refuses connections.
    Unresponsive,
    /// Has crashed: its address refuses connections, and requests get no response.
    Refusing,
    /// Accepts connections and serves open flows, but does not answer opening packets.
    Full,
    /// Serves open flows, but its accept queue is full: answers neither opening packets nor probes.
    Saturated,
    /// Responds to this percentage of the requests with an error.
    ErrorPercent(u32),
    /// Does not respond to this percentage of the requests.
    NoResponsePercent(u32),
}

impl Health {
    fn is_dead(self) -> bool {
        matches!(self, Health::Unresponsive | Health::Refusing)
    }

    fn accepts_connections(self) -> bool {
        !self.is_dead() && self != Health::Saturated
    }
}

/// Scope in which hosts evaluate the responses of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutlierScope {
    /// Each host evaluates the responses that it observes.
    PerHost,
    /// One host of each zone evaluates the reports of all hosts of the zone.
    PerZone,
}

/// Size and workload of the simulated deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SimulationConfig {
    pub(crate) zones: u32,
    pub(crate) hosts_per_zone: u32,
    pub(crate) upstreams_per_zone: u64,
    pub(crate) callers_per_zone: u32,
    /// Maximum think time of a caller between two requests, in milliseconds.
    pub(crate) max_think_ms: u64,
    /// Maximum service time of a request, in milliseconds.
    pub(crate) max_work_ms: u64,
    /// One packet in this many is lost; zero disables packet loss.
    pub(crate) loss_one_in: u32,
    pub(crate) outlier_scope: OutlierScope,
    /// Number of requests that a caller sends on one flow.
    pub(crate) flow_requests: u32,
    /// Maximum time after the last request of a flow until a caller opens the next one, in
    /// milliseconds.
    pub(crate) max_pause_ms: u64,
}

struct Upstream {
    zone: ZoneId,
    health: Health,
    /// Time at which each request slot becomes free.
    slots: [u64; 2],
    /// Sequence number of the last request that was started on each flow.
    started_requests: BTreeMap<FlowKey, u32>,
    /// Number of requests in flight.
    in_flight: u32,
    /// Requests are served in the reciprocal of this times the usual time.
    speed: f64,
}

impl Upstream {
    fn new(zone: ZoneId) -> Upstream {
        Upstream {
            zone,
            health: Health::Healthy,
            slots: [0; 2],
            started_requests: BTreeMap::new(),
            in_flight: 0,
            speed: 1.0,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Opening,
    Thinking,
    Requesting,
}

struct Caller {
    zone: ZoneId,
    flow: FlowKey,
    phase: Phase,
    token: Token,
    upstream: u64,
    seq: u32,
    ack: u32,
    step_started_at: u64,
    /// Number of the current step; events of earlier steps are ignored.
    step: u64,
    /// Whether the caller sends requests that every upstream answers with an error.
    sends_bad_requests: bool,
    /// Number of answered requests on the current flow.
    answered: u32,
    /// The request that a caller of a request kind last sent.
    request: Option<PendingRequest>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    /// A host's next retry of an opening packet is due.
    RetryOpenings(usize),
    /// A caller transmits a packet; `copy` counts its retransmissions.
    Send {
        caller: usize,
        step: u64,
        copy: usize,
    },
    /// An upstream accepted a flow.
    Accepted {
        caller: usize,
        step: u64,
        upstream: u64,
        token: u32,
    },
    Answered {
        caller: usize,
        step: u64,
        upstream: u64,
        bytes: u32,
    },
    Think {
        caller: usize,
        step: u64,
    },
    Reopen {
        caller: usize,
        step: u64,
    },
    Expire {
        caller: usize,
        step: u64,
    },
    Probed {
        host: usize,
        upstream: u64,
        result: u8,
    },
    /// An upstream refused a request because its queue was full.
    Shed {
        caller: usize,
        step: u64,
    },
    /// The next request of a kind is due in a zone.
    Arrive {
        source: usize,
    },
    /// A message about load arrives at a host.
    LoadMessage {
        host: usize,
        id: u64,
    },
}

/// Counters of a simulation run.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) answered: u64,
    pub(crate) in_time: u64,
    pub(crate) expired: u64,
    /// Requests that received an error response.
    pub(crate) failed: u64,
    /// Flows that were opened.
    pub(crate) opened: u64,
    /// Flows that took longer than [`LATE_OPENING_MS`] to open, or were given up.
    pub(crate) late_openings: u64,
    /// Flows that were opened at an upstream of another zone.
    pub(crate) remote_flows: u64,
    /// Opening packets that hosts sent to another upstream.
    pub(crate) retries: u64,
    /// Ejections of healthy upstreams.
    pub(crate) false_ejections: u64,
    pub(crate) ejections: u64,
    /// Resets of flows whose upstream was alive and reachable.
    pub(crate) false_resets: u64,
    pub(crate) resets: u64,
    /// Maximum number of requests in flight at one upstream.
    pub(crate) max_in_flight: u32,
    /// Requests that reached an upstream whose slots and queue were full.
    pub(crate) overloads: u64,
}

/// A simulated deployment.
pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) counts: Counts,
    /// Time of the last reset of an open flow.
    pub(crate) last_reset: u64,
    cfg: SimulationConfig,
    hosts: Vec<(ZoneId, DirectHost)>,
    upstreams: BTreeMap<u64, Upstream>,
    callers: Vec<Caller>,
    /// Caller of each current flow.
    caller_by_flow: BTreeMap<FlowKey, usize>,
    partitioned_zone: Option<ZoneId>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_event_id: u64,
    /// Scheduled retries of opening packets: time and host.
    scheduled_retries: BTreeSet<(u64, usize)>,
    rng: ChaCha8Rng,
    opened_flows: u32,
    /// Maximum latency of a response that counts as in time, in milliseconds.
    target_latency_ms: u64,
    hard_load: HardLoad,
}

impl Simulation {
    pub(crate) fn new(cfg: SimulationConfig, seed: u64) -> Simulation {
        Simulation::without(Disabled::default(), cfg, seed)
    }

    /// Creates a simulation whose hosts have some mechanisms switched off.
    pub(crate) fn without(disabled: Disabled, cfg: SimulationConfig, seed: u64) -> Simulation {
        Simulation::with_routes(disabled, cfg, seed, vec![route(SERVICE, "feed")])
    }

    fn with_routes(
        disabled: Disabled,
        cfg: SimulationConfig,
        seed: u64,
        routes: Vec<DirectRoute>,
    ) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            counts: Counts::default(),
            last_reset: 0,
            cfg,
            hosts: Vec::new(),
            upstreams: BTreeMap::new(),
            callers: Vec::new(),
            caller_by_flow: BTreeMap::new(),
            partitioned_zone: None,
            events: BinaryHeap::new(),
            last_event_id: 0,
            scheduled_retries: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            opened_flows: 0,
            target_latency_ms: cfg.max_work_ms * 4 + 20,
            hard_load: HardLoad::new(seed),
        };
        let zones: Vec<ZoneId> = (1..=cfg.zones).map(ZoneId).collect();
        let mut all = vec![routing(1, routes)];
        let ids = (1u64..).zip(zones.iter().cycle());
        for (id, zone) in ids.take(zones.len() * cfg.upstreams_per_zone as usize) {
            all.push(DirectoryUpdate::Upstream(announcement(id, *zone)));
            simulation.upstreams.insert(id, Upstream::new(*zone));
        }
        for (at, zone) in
            zones.iter().flat_map(|it| vec![it; cfg.hosts_per_zone as usize]).enumerate()
        {
            let mut host_cfg = settings(*zone);
            host_cfg.host = HostId(at as u64 + 1);
            host_cfg.disabled = disabled.clone();
            let mut host = DirectHost::new(host_cfg);
            host.set_directory_state(Millis(0), DirectoryState::Available);
            host.apply_listing(Millis(0), &all);
            let per_zone = cfg.hosts_per_zone as usize;
            let first = at / per_zone * per_zone;
            let peers = (first..first + per_zone).map(|it| HostId(it as u64 + 1)).collect();
            if cfg.outlier_scope == OutlierScope::PerZone {
                host.set_zone_peers(peers);
            }
            simulation.hosts.push((*zone, host));
            simulation.schedule(at as u64, Event::Tick(at));
        }
        for zone in &zones {
            for _ in 0..cfg.callers_per_zone {
                let at = simulation.add_caller(*zone, None);
                let start = simulation.rng.random_range(0..1_000);
                simulation.now = start;
                simulation.open_new_flow(at);
                simulation.now = 0;
            }
        }
        simulation
    }

    fn add_caller(&mut self, zone: ZoneId, request: Option<PendingRequest>) -> usize {
        self.callers.push(Caller {
            zone,
            flow: crate::direct::fixtures::flow(0),
            phase: Phase::Opening,
            token: Token::NONE,
            upstream: 0,
            seq: 0,
            ack: 0,
            step_started_at: 0,
            step: 0,
            sends_bad_requests: false,
            answered: 0,
            request,
        });
        self.callers.len() - 1
    }

    /// Adds an upstream and announces it to all hosts.
    pub(crate) fn add_upstream(&mut self, zone: ZoneId) -> u64 {
        let id = self.upstreams.keys().last().map_or(1, |it| it + 1);
        self.upstreams.insert(id, Upstream::new(zone));
        self.apply_update(&DirectoryUpdate::Upstream(announcement(id, zone)));
        id
    }

    /// Adds an upstream that is cold for `cold_ms`.
    pub(crate) fn add_cold_upstream(&mut self, id: u64, zone: ZoneId, cold_ms: u64) {
        self.upstreams.insert(id, Upstream::new(zone));
        let cold = Announcement { cold_left: Millis(cold_ms), ..announcement(id, zone) };
        self.apply_update(&DirectoryUpdate::Upstream(cold));
    }

    /// Returns the number of requests that an upstream has started.
    pub(crate) fn started_at(&self, upstream: u64) -> usize {
        self.upstreams.get(&upstream).map_or(0, |it| it.started_requests.len())
    }

    /// Returns the number of requests that all upstreams have started.
    pub(crate) fn started(&self) -> usize {
        self.upstreams.values().map(|it| it.started_requests.len()).sum()
    }

    /// Applies an update of the directory at all hosts.
    pub(crate) fn apply_update(&mut self, update: &DirectoryUpdate) {
        for (_, host) in &mut self.hosts {
            host.apply_update(Millis(self.now), update);
        }
    }

    pub(crate) fn set_health(&mut self, upstream: u64, health: Health) {
        if let Some(it) = self.upstreams.get_mut(&upstream) {
            it.health = health;
        }
    }

    /// Makes a caller send requests that every upstream answers with an error.
    pub(crate) fn send_bad_requests(&mut self, caller: usize) {
        self.callers[caller].sends_bad_requests = true;
    }

    pub(crate) fn upstreams(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the number of upstreams that at least one host has ejected.
    pub(crate) fn ejected(&self) -> usize {
        let ejected = |id: &&u64| {
            let is_ejected_at = |it: &(ZoneId, DirectHost)| {
                let ix = it.1.registry().by_id(**id);
                ix.is_some_and(|ix| it.1.is_ejected(Millis(self.now), ix))
            };
            self.hosts.iter().any(is_ejected_at)
        };
        self.upstreams.keys().filter(ejected).count()
    }

    /// Partitions a zone from the others; its callers can still reach its hosts.
    pub(crate) fn partition_zone(&mut self, zone: Option<ZoneId>) {
        self.partitioned_zone = zone;
    }

    pub(crate) fn hosts(&self) -> impl Iterator<Item = &DirectHost> {
        self.hosts.iter().map(|it| &it.1)
    }

    /// Returns the number of open flows at an upstream.
    pub(crate) fn flows_at(&self, upstream: u64) -> usize {
        let open = |it: &&Caller| it.phase != Phase::Opening && it.upstream == upstream;
        self.callers.iter().filter(open).count()
    }

    /// Returns the number of open flows whose upstream their caller's zone cannot reach.
    pub(crate) fn cut_flows(&self) -> usize {
        let cut = |it: &&Caller| {
            let upstream = self.upstreams.get(&it.upstream);
            it.phase != Phase::Opening
                && upstream.is_some_and(|up| !self.can_reach(it.zone, up.zone))
        };
        self.callers.iter().filter(cut).count()
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at < end
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.last_event_id += 1;
        self.events.push(Reverse((self.now + delay, self.last_event_id, event)));
    }

    fn can_reach(&self, a: ZoneId, b: ZoneId) -> bool {
        a == b || self.partitioned_zone.is_none_or(|it| a != it && b != it)
    }

    fn delay(&self, a: ZoneId, b: ZoneId) -> u64 {
        if a == b { SAME_ZONE_DELAY_MS } else { CROSS_ZONE_DELAY_MS }
    }

    fn is_lost(&mut self) -> bool {
        self.cfg.loss_one_in > 0 && self.rng.random_range(0..self.cfg.loss_one_in) == 0
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(host) => {
                let now = Millis(self.now);
                self.hosts[host].1.tick(now);
                self.process_outputs(host);
                self.send_load_messages(host);
                self.schedule(50, Event::Tick(host));
            }
            Event::RetryOpenings(host) => self.retry_openings(host),
            Event::Send { caller, step, copy } => self.send(caller, step, copy),
            Event::Accepted { caller, step, upstream, token } => {
                self.handle_accepted(caller, step, upstream, Token(token));
            }
            Event::Answered { caller, step, upstream, bytes } => {
                self.handle_answered(caller, step, upstream, bytes);
            }
            Event::Think { caller, step } => {
                if self.callers[caller].step == step {
                    self.start_request(caller);
                }
            }
            Event::Reopen { caller, step } => {
                if self.callers[caller].step == step {
                    self.open_new_flow(caller);
                }
            }
            Event::Expire { caller, step } => {
                if self.callers[caller].step == step {
                    let phase = self.callers[caller].phase;
                    self.counts.expired += u64::from(phase == Phase::Requesting);
                    self.counts.late_openings += u64::from(phase == Phase::Opening);
                    if self.callers[caller].request.is_some() {
                        return self.end_try(caller, TryEnd::TimedOut);
                    }
                    self.open_new_flow(caller);
                }
            }
            Event::Probed { host, upstream, result } => {
                let result = match result {
                    0 => ProbeResult::NoResponse,
                    1 => ProbeResult::Answered,
                    3 => ProbeResult::Refused,
                    _ => ProbeResult::Inconclusive,
                };
                self.hosts[host].1.apply_probe_result(Millis(self.now), key(upstream), result);
                self.process_outputs(host);
            }
            Event::Shed { caller, step } => {
                self.handle_response(caller, step, ERROR_RESPONSE_BYTES);
            }
            Event::Arrive { source } => self.handle_arrival(source),
            Event::LoadMessage { host, id } => self.handle_load_message(host, id),
        }
    }

    fn open_new_flow(&mut self, caller: usize) {
        self.opened_flows += 1;
        let service = self.service_of(caller);
        let flow = FlowKey { service, ..crate::direct::fixtures::flow(self.opened_flows) };
        let it = &mut self.callers[caller];
        self.caller_by_flow.remove(&it.flow);
        self.caller_by_flow.insert(flow, caller);
        it.flow = flow;
        it.phase = Phase::Opening;
        it.token = Token::NONE;
        it.step += 1;
        it.seq = 1;
        it.ack = 0;
        it.answered = 0;
        it.step_started_at = self.now;
        let step = it.step;
        self.schedule(0, Event::Send { caller, step, copy: 0 });
        for (at, delay) in OPEN_RETRANSMIT_MS.iter().enumerate() {
            self.schedule(*delay, Event::Send { caller, step, copy: at + 1 });
        }
        self.schedule(OPEN_TIMEOUT_MS, Event::Expire { caller, step });
    }

    fn start_request(&mut self, caller: usize) {
        let it = &mut self.callers[caller];
        it.phase = Phase::Requesting;
        it.step += 1;
        it.step_started_at = self.now;
        let step = it.step;
        self.schedule(0, Event::Send { caller, step, copy: 0 });
        for (at, delay) in DATA_RETRANSMIT_MS.iter().enumerate() {
            self.schedule(*delay, Event::Send { caller, step, copy: at + 1 });
        }
        self.schedule(REQUEST_TIMEOUT_MS, Event::Expire { caller, step });
    }

    fn send(&mut self, caller: usize, step: u64, copy: usize) {
        let it = &self.callers[caller];
        if it.step != step || self.is_lost() {
            return;
        }
        let it = &self.callers[caller];
        let segment = match it.phase {
            Phase::Opening => Segment {
                flow: it.flow,
                kind: SegmentKind::Open,
                token: Token::NONE,
                seq: it.seq,
                ack: copy as u32,
                len: 0,
            },
            Phase::Requesting => Segment {
                flow: it.flow,
                kind: SegmentKind::Data,
                token: it.token,
                seq: it.seq,
                ack: it.ack,
                len: if it.sends_bad_requests { BAD_REQUEST_BYTES } else { REQUEST_BYTES as u16 },
            },
            Phase::Thinking => return,
        };
        self.send_through_host(caller, segment);
    }

    fn send_through_host(&mut self, caller: usize, segment: Segment) {
        let zone = self.callers[caller].zone;
        let per_zone = self.cfg.hosts_per_zone as u64;
        let first = u64::from(zone.0 - 1) * per_zone;
        let host = (first + segment.flow.stable_hash() % per_zone) as usize;
        let verdict =
            self.hosts[host].1.handle_packet(Millis(self.now + SAME_ZONE_DELAY_MS), &segment);
        match verdict {
            Verdict::Forward { id, token, .. } => self.deliver(caller, host, &segment, id, token),
            Verdict::Reset(it) => self.reset(host, it),
            Verdict::Drop => {}
        }
        self.process_outputs(host);
    }

    fn deliver(&mut self, caller: usize, host: usize, segment: &Segment, id: u64, token: Token) {
        let from = self.hosts[host].0;
        let Some(zone) = self.upstreams.get(&id).map(|it| it.zone) else { return };
        if !self.can_reach(from, zone) || self.is_lost() {
            return;
        }
        let request_delay = SAME_ZONE_DELAY_MS + self.delay(from, zone);
        let response_delay = self.delay(self.callers[caller].zone, zone);
        let now = self.now + request_delay;
        let step = self.callers[caller].step;
        let Some(it) = self.upstreams.get_mut(&id) else { return };
        let slowdown = match it.health {
            Health::Slow(x) => x,
            Health::Unresponsive | Health::Refusing => return,
            Health::Full | Health::Saturated if segment.kind == SegmentKind::Open => return,
            Health::Full
            | Health::Saturated
            | Health::Healthy
            | Health::ErrorPercent(_)
            | Health::NoResponsePercent(_) => 1,
        };
        if segment.kind == SegmentKind::Open {
            let token = token.0;
            self.schedule(
                request_delay + response_delay,
                Event::Accepted { caller, step, upstream: id, token },
            );
            return;
        }
        if segment.len == 0 || it.started_requests.get(&segment.flow) == Some(&segment.seq) {
            return;
        }
        it.started_requests.insert(segment.flow, segment.seq);
        if self.hard_load.max_in_flight.is_some_and(|max| it.in_flight >= max) {
            self.schedule(request_delay + response_delay, Event::Shed { caller, step });
            return;
        }
        let percent_roll = self.rng.random_range(0..100);
        let bytes = match it.health {
            Health::ErrorPercent(percent) if percent_roll < percent => ERROR_RESPONSE_BYTES,
            Health::NoResponsePercent(percent) if percent_roll < percent => return,
            _ if segment.len == BAD_REQUEST_BYTES => ERROR_RESPONSE_BYTES,
            _ => RESPONSE_BYTES,
        };
        let work = self.rng.random_range(1..=self.cfg.max_work_ms) * slowdown;
        let work = (work as f64 / it.speed).ceil() as u64;
        let free = if it.slots[0] <= it.slots[1] { 0 } else { 1 };
        let end = it.slots[free].max(now) + work;
        it.slots[free] = end;
        it.in_flight += 1;
        self.counts.overloads += u64::from(it.in_flight > MAX_IN_FLIGHT);
        self.counts.max_in_flight = self.counts.max_in_flight.max(it.in_flight);
        self.schedule(
            end - self.now + response_delay,
            Event::Answered { caller, step, upstream: id, bytes },
        );
    }

    fn handle_accepted(&mut self, caller: usize, step: u64, upstream: u64, token: Token) {
        let it = &mut self.callers[caller];
        if it.step != step || it.phase != Phase::Opening {
            return;
        }
        self.counts.opened += 1;
        let upstream_zone = self.upstreams.get(&upstream).map(|it| it.zone);
        self.counts.remote_flows += u64::from(upstream_zone != Some(it.zone));
        self.counts.late_openings += u64::from(self.now - it.step_started_at > LATE_OPENING_MS);
        it.upstream = upstream;
        it.token = token;
        it.ack = 1;
        self.start_request(caller);
    }

    fn handle_answered(&mut self, caller: usize, step: u64, upstream: u64, bytes: u32) {
        let unresponsive = match self.upstreams.get_mut(&upstream) {
            Some(it) => {
                it.in_flight = it.in_flight.saturating_sub(1);
                it.health.is_dead()
            }
            None => true,
        };
        if !unresponsive {
            self.handle_response(caller, step, bytes);
        }
    }

    fn handle_response(&mut self, caller: usize, step: u64, bytes: u32) {
        let it = &mut self.callers[caller];
        if it.step != step || it.phase != Phase::Requesting {
            return;
        }
        let failed = bytes == ERROR_RESPONSE_BYTES;
        self.counts.answered += u64::from(!failed);
        self.counts.failed += u64::from(failed);
        self.counts.in_time +=
            u64::from(!failed && self.now - it.step_started_at <= self.target_latency_ms);
        it.answered += 1;
        it.seq += REQUEST_BYTES;
        it.ack += bytes;
        it.phase = Phase::Thinking;
        it.step += 1;
        let (flow, token, seq, ack, step) = (it.flow, it.token, it.seq, it.ack, it.step);
        // The caller acknowledges each packet of the response.
        for left in (0..bytes.div_ceil(MAX_PACKET_BYTES)).rev() {
            if !self.is_lost() {
                let ack = ack - left * (bytes - MAX_PACKET_BYTES.min(bytes));
                let kind = SegmentKind::Data;
                self.send_through_host(caller, Segment { flow, kind, token, seq, ack, len: 0 });
            }
        }
        let it = &self.callers[caller];
        if it.request.is_some() {
            return self.end_try(caller, if failed { TryEnd::Shed } else { TryEnd::Answered });
        }
        if failed && !it.sends_bad_requests || it.answered >= self.cfg.flow_requests {
            self.send_through_host(
                caller,
                Segment { flow, kind: SegmentKind::Finish, token, seq, ack, len: 0 },
            );
            // The retry, or the next request, opens a new flow.
            if self.cfg.max_pause_ms == 0 {
                self.open_new_flow(caller);
            } else {
                let pause = self.rng.random_range(1..=self.cfg.max_pause_ms);
                self.schedule(pause, Event::Reopen { caller, step });
            }
            return;
        }
        let think = self.rng.random_range(1..=self.cfg.max_think_ms);
        self.schedule(think, Event::Think { caller, step });
    }

    fn retry_openings(&mut self, host: usize) {
        self.scheduled_retries.remove(&(self.now, host));
        for it in self.hosts[host].1.retry_openings(Millis(self.now)) {
            self.counts.retries += 1;
            let Some(caller) = self.caller_by_flow.get(&it.flow).copied() else { continue };
            let segment = open_segment(it.flow, 0);
            self.deliver(caller, host, &segment, it.id, it.token);
        }
        self.process_outputs(host);
    }

    fn process_outputs(&mut self, host: usize) {
        let from = self.hosts[host].0;
        if let Some(due) = self.hosts[host].1.next_opening_retry() {
            let delay = due.0.saturating_sub(self.now);
            if self.scheduled_retries.insert((self.now + delay, host)) {
                self.schedule(delay, Event::RetryOpenings(host));
            }
        }
        for it in self.hosts[host].1.take_resets() {
            self.reset(host, it);
        }
        for it in self.hosts[host].1.take_probes() {
            let id = it.upstream.id;
            assert_eq!(it.addr, addr(id));
            let Some(upstream) = self.upstreams.get(&id) else { continue };
            let reachable = self.can_reach(from, upstream.zone);
            let responds = upstream.health.accepts_connections() && reachable;
            let refuses = upstream.health == Health::Refusing && reachable;
            let round_trip = 2 * self.delay(from, upstream.zone);
            let (delay, result) = match (it.kind, responds) {
                (ProbeKind::Connect, false) if refuses => (round_trip, 3),
                (ProbeKind::Connect | ProbeKind::Identify, true) => (round_trip, 1),
                // The probe is inconclusive if the reference upstream, for example beyond a
                // partition, does not respond either.
                (ProbeKind::Connect, false)
                    if !self.reference_responds(from, it.reference_addr) =>
                {
                    (PROBE_TIMEOUT_MS, 2)
                }
                (ProbeKind::Connect, false) => (PROBE_TIMEOUT_MS, 0),
                (ProbeKind::Identify, false) => (500, 2),
            };
            self.schedule(delay, Event::Probed { host, upstream: id, result });
        }
        self.count_ejections(host);
        for (to, reports) in self.hosts[host].1.take_reports() {
            let Some(at) = self.host_at(to) else { continue };
            self.hosts[at].1.apply_reports(Millis(self.now + SAME_ZONE_DELAY_MS), &reports);
            self.share_peer_update(at);
        }
        self.share_peer_update(host);
        self.deliver_liveness_messages(host);
    }

    /// Delivers a host's queries to other hosts, and their replies.
    fn deliver_liveness_messages(&mut self, host: usize) {
        let id = HostId(host as u64 + 1);
        for (to, message) in self.hosts[host].1.take_liveness_messages() {
            let (Some(at), LivenessMessage::Query(query)) = (self.host_at(to), message) else {
                continue;
            };
            let now = Millis(self.now + SAME_ZONE_DELAY_MS);
            let reply = self.hosts[at].1.answer_liveness_query(now, &query);
            assert_ne!(to, id);
            self.hosts[host].1.apply_liveness_reply(to, &reply);
        }
    }

    fn host_at(&self, id: HostId) -> Option<usize> {
        let at = usize::try_from(id.0).ok()?.checked_sub(1)?;
        (at < self.hosts.len()).then_some(at)
    }

    fn count_ejections(&mut self, host: usize) {
        for event in self.hosts[host].1.take_events() {
            if let DirectEvent::Ejected { upstream, from_peer: false, .. } = event {
                let healthy = self.upstreams[&upstream.id].health == Health::Healthy;
                self.counts.ejections += 1;
                self.counts.false_ejections += u64::from(healthy);
            }
        }
    }

    /// Delivers the peer update of a host to the other hosts of its zone.
    fn share_peer_update(&mut self, host: usize) {
        let update = self.hosts[host].1.take_peer_update();
        if update.is_empty() {
            return;
        }
        let zone = self.hosts[host].0;
        for at in 0..self.hosts.len() {
            if at != host && self.hosts[at].0 == zone {
                self.hosts[at].1.apply_peer_update(Millis(self.now + SAME_ZONE_DELAY_MS), &update);
                for it in self.hosts[at].1.take_resets() {
                    self.reset(at, it);
                }
            }
        }
    }

    /// Returns whether the reference upstream of a probe responds to a host of this zone; `true` if
    /// the probe has no reference.
    fn reference_responds(&self, from: ZoneId, reference_addr: Option<SocketAddrV4>) -> bool {
        let Some(reference_addr) = reference_addr else { return true };
        let result = self.upstreams.iter().find(|it| addr(*it.0) == reference_addr);
        result
            .is_some_and(|it| it.1.health.accepts_connections() && self.can_reach(from, it.1.zone))
    }

    fn reset(&mut self, host: usize, it: ResetPacket) {
        let Some(caller) = self.caller_by_flow.get(&it.flow).copied() else { return };
        let open = self.callers[caller].phase != Phase::Opening;
        let upstream = self.upstreams.get(&self.callers[caller].upstream);
        if open && let Some(upstream) = upstream {
            let alive = !upstream.health.is_dead();
            self.counts.resets += 1;
            self.counts.false_resets +=
                u64::from(alive && self.can_reach(self.hosts[host].0, upstream.zone));
            self.last_reset = self.now;
        }
        if self.callers[caller].request.is_some() {
            return self.end_try(caller, if open { TryEnd::Reset } else { TryEnd::Rejected });
        }
        self.open_new_flow(caller);
    }
}
