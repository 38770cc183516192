//! A deployment under virtual time: hosts, upstreams and callers that open flows, ask, repeat what
//! is not answered, and give up.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddrV4,
};

use pomelorun_core::{
    Millis,
    direct::{
        DirectEvent, DirectHost, DirectoryState, DirectoryUpdate, ProbeKind, ProbeResult,
        ResetPacket, Segment, SegmentKind, Token, Verdict,
    },
};
use pomelorun_wire::{FlowKey, HostId, ZoneId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::direct::kit::{SERVICE, addr, key, route, routing, said, settings};

/// Repetitions of an opening packet, after the first one.
const OPEN_COPIES: [u64; 2] = [200, 600];
/// Time after which a caller gives an opening up.
const OPEN_LIMIT: u64 = 1_400;
/// Repetitions of data, after the first packet.
const DATA_COPIES: [u64; 4] = [200, 600, 1_400, 3_000];
/// Time after which a caller gives a request up.
const DEADLINE: u64 = 1_500;
/// One way to a host or an upstream of the own zone, and further to another zone.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 2;
/// Time that a connection to nobody takes to fail.
const PROBE_LIMIT: u64 = 150;
/// Bytes of a question, and of an answer.
const QUESTION: u32 = 120;
const BAD_QUESTION: u16 = 121;
const ANSWER: u32 = 2_000;
const ERROR: u32 = 160;
/// Most bytes of a packet.
const PACKET: u32 = 1_200;

/// What an upstream does with what it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    Well,
    /// Works this many times slower.
    Slow(u64),
    /// Neither answers nor refuses.
    Dark,
    /// Answers so many of a hundred requests with an error.
    Failing(u32),
    /// Leaves so many of a hundred requests without an answer.
    Mute(u32),
}

/// Who judges the answers of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Judging {
    /// Each host for itself, by what it sees.
    Alone,
    /// One host of each zone, by what all of them see.
    Together,
}

/// Shape of a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) zones: u32,
    pub(crate) hosts_per_zone: u32,
    pub(crate) upstreams_per_zone: u64,
    pub(crate) callers_per_zone: u32,
    /// Time that a caller thinks between two requests, milliseconds at most.
    pub(crate) think: u64,
    /// Time that an upstream works on a request, milliseconds at most.
    pub(crate) work: u64,
    /// One packet in this many is lost, zero for none.
    pub(crate) loss: u32,
    pub(crate) judging: Judging,
    /// Requests that a caller makes on one flow.
    pub(crate) flow_requests: u32,
}

struct Upstream {
    zone: ZoneId,
    health: Health,
    /// When each of its slots is free.
    slots: [u64; 2],
    /// Requests by flow that were begun, with the byte they began at.
    begun: BTreeMap<FlowKey, u32>,
    /// Requests that are not answered yet.
    open: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Opening,
    Thinking,
    Asking,
}

struct Caller {
    zone: ZoneId,
    flow: FlowKey,
    phase: Phase,
    token: Token,
    upstream: u64,
    seq: u32,
    ack: u32,
    since: u64,
    /// Names the present step; events of earlier ones are void.
    step: u64,
    /// Asks what every upstream answers with an error.
    bad: bool,
    /// Requests of its flow that were answered.
    answered: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    /// A caller sends a packet for the n-th time.
    Send {
        caller: usize,
        step: u64,
        copy: usize,
    },
    /// An upstream has accepted a flow.
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
    Expire {
        caller: usize,
        step: u64,
    },
    Probed {
        host: usize,
        upstream: u64,
        found: u8,
    },
}

/// What was counted.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) answered: u64,
    pub(crate) in_time: u64,
    pub(crate) expired: u64,
    /// Requests that were answered with an error.
    pub(crate) failed: u64,
    /// Upstreams that hosts ejected although they were well.
    pub(crate) false_ejections: u64,
    pub(crate) ejections: u64,
    /// Flows that were reset although their upstream lived and could be reached.
    pub(crate) false_resets: u64,
    pub(crate) resets: u64,
    /// Most requests at one upstream at a time.
    pub(crate) most_waiting: u32,
}

/// The deployment.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) counts: Counts,
    /// Time from each upstream's fall to the last reset of a flow of it.
    pub(crate) last_reset: u64,
    shape: Shape,
    hosts: Vec<(ZoneId, DirectHost)>,
    upstreams: BTreeMap<u64, Upstream>,
    callers: Vec<Caller>,
    cut: Option<ZoneId>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    serial: u64,
    rng: ChaCha8Rng,
    flows: u32,
    /// Time within which an answer counts as in time.
    aim: u64,
}

impl World {
    pub(crate) fn new(shape: Shape, seed: u64) -> World {
        let mut world = World {
            now: 0,
            counts: Counts::default(),
            last_reset: 0,
            shape,
            hosts: Vec::new(),
            upstreams: BTreeMap::new(),
            callers: Vec::new(),
            cut: None,
            events: BinaryHeap::new(),
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            flows: 0,
            aim: shape.work * 4 + 20,
        };
        let zones: Vec<ZoneId> = (1..=shape.zones).map(ZoneId).collect();
        let mut all = vec![routing(1, vec![route(SERVICE, "feed")])];
        let ids = (1u64..).zip(zones.iter().cycle());
        for (id, zone) in ids.take(zones.len() * shape.upstreams_per_zone as usize) {
            all.push(DirectoryUpdate::Upstream(said(id, *zone)));
            let upstream = Upstream {
                zone: *zone,
                health: Health::Well,
                slots: [0; 2],
                begun: BTreeMap::new(),
                open: 0,
            };
            world.upstreams.insert(id, upstream);
        }
        for (at, zone) in
            zones.iter().flat_map(|it| vec![it; shape.hosts_per_zone as usize]).enumerate()
        {
            let mut cfg = settings(*zone);
            cfg.host = HostId(at as u64 + 1);
            let mut host = DirectHost::new(cfg);
            host.set_directory_state(Millis(0), DirectoryState::Available);
            host.apply_listing(Millis(0), &all);
            let per_zone = shape.hosts_per_zone as usize;
            let first = at / per_zone * per_zone;
            let near = (first..first + per_zone).map(|it| HostId(it as u64 + 1)).collect();
            if shape.judging == Judging::Together {
                host.set_zone_peers(near);
            }
            world.hosts.push((*zone, host));
            world.at(at as u64, Event::Tick(at));
        }
        for zone in &zones {
            for _ in 0..shape.callers_per_zone {
                let at = world.callers.len();
                world.callers.push(Caller {
                    zone: *zone,
                    flow: crate::direct::kit::flow(0),
                    phase: Phase::Opening,
                    token: Token::NONE,
                    upstream: 0,
                    seq: 0,
                    ack: 0,
                    since: 0,
                    step: 0,
                    bad: false,
                    answered: 0,
                });
                let start = world.rng.random_range(0..1_000);
                world.now = start;
                world.reopen(at);
                world.now = 0;
            }
        }
        world
    }

    pub(crate) fn set_health(&mut self, upstream: u64, health: Health) {
        if let Some(it) = self.upstreams.get_mut(&upstream) {
            it.health = health;
        }
    }

    /// Lets a caller ask what every upstream answers with an error.
    pub(crate) fn spoil_caller(&mut self, caller: usize) {
        self.callers[caller].bad = true;
    }

    pub(crate) fn upstreams(&self) -> usize {
        self.upstreams.len()
    }

    /// Upstreams that some host of a zone holds ejected.
    pub(crate) fn ejected(&self) -> usize {
        let ejected = |id: &&u64| {
            let holds = |it: &(ZoneId, DirectHost)| {
                let ix = it.1.registry().by_id(**id);
                ix.is_some_and(|ix| it.1.is_ejected(Millis(self.now), ix))
            };
            self.hosts.iter().any(holds)
        };
        self.upstreams.keys().filter(ejected).count()
    }

    /// Cuts a zone off from the others; its callers still reach its hosts.
    pub(crate) fn cut(&mut self, zone: Option<ZoneId>) {
        self.cut = zone;
    }

    pub(crate) fn hosts(&self) -> impl Iterator<Item = &DirectHost> {
        self.hosts.iter().map(|it| &it.1)
    }

    /// Flows that callers hold open at an upstream.
    pub(crate) fn flows_at(&self, upstream: u64) -> usize {
        let open = |it: &&Caller| it.phase != Phase::Opening && it.upstream == upstream;
        self.callers.iter().filter(open).count()
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

    fn at(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((self.now + delay, self.serial, event)));
    }

    fn reaches(&self, a: ZoneId, b: ZoneId) -> bool {
        a == b || self.cut.is_none_or(|it| a != it && b != it)
    }

    fn delay(&self, a: ZoneId, b: ZoneId) -> u64 {
        if a == b { NEAR_MS } else { FAR_MS }
    }

    fn lost(&mut self) -> bool {
        self.shape.loss > 0 && self.rng.random_range(0..self.shape.loss) == 0
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(host) => {
                let now = Millis(self.now);
                self.hosts[host].1.tick(now);
                self.finish(host);
                self.at(50, Event::Tick(host));
            }
            Event::Send { caller, step, copy } => self.send(caller, step, copy),
            Event::Accepted { caller, step, upstream, token } => {
                self.accepted(caller, step, upstream, Token(token));
            }
            Event::Answered { caller, step, upstream, bytes } => {
                self.answered(caller, step, upstream, bytes);
            }
            Event::Think { caller, step } => {
                if self.callers[caller].step == step {
                    self.ask(caller);
                }
            }
            Event::Expire { caller, step } => {
                if self.callers[caller].step == step {
                    self.counts.expired += u64::from(self.callers[caller].phase == Phase::Asking);
                    self.reopen(caller);
                }
            }
            Event::Probed { host, upstream, found } => {
                let found = match found {
                    0 => ProbeResult::NoResponse,
                    1 => ProbeResult::Answered,
                    _ => ProbeResult::Inconclusive,
                };
                self.hosts[host].1.apply_probe_result(Millis(self.now), key(upstream), found);
                self.finish(host);
            }
        }
    }

    /// Opens a new flow.
    fn reopen(&mut self, caller: usize) {
        self.flows += 1;
        let flow = crate::direct::kit::flow(self.flows);
        let it = &mut self.callers[caller];
        it.flow = flow;
        it.phase = Phase::Opening;
        it.token = Token::NONE;
        it.step += 1;
        it.seq = 1;
        it.ack = 0;
        it.answered = 0;
        it.since = self.now;
        let step = it.step;
        self.at(0, Event::Send { caller, step, copy: 0 });
        for (at, delay) in OPEN_COPIES.iter().enumerate() {
            self.at(*delay, Event::Send { caller, step, copy: at + 1 });
        }
        self.at(OPEN_LIMIT, Event::Expire { caller, step });
    }

    fn ask(&mut self, caller: usize) {
        let it = &mut self.callers[caller];
        it.phase = Phase::Asking;
        it.step += 1;
        it.since = self.now;
        let step = it.step;
        self.at(0, Event::Send { caller, step, copy: 0 });
        for (at, delay) in DATA_COPIES.iter().enumerate() {
            self.at(*delay, Event::Send { caller, step, copy: at + 1 });
        }
        self.at(DEADLINE, Event::Expire { caller, step });
    }

    fn send(&mut self, caller: usize, step: u64, copy: usize) {
        let it = &self.callers[caller];
        if it.step != step || self.lost() {
            return;
        }
        let it = &self.callers[caller];
        let seg = match it.phase {
            Phase::Opening => Segment {
                flow: it.flow,
                kind: SegmentKind::Open,
                token: Token::NONE,
                seq: it.seq,
                ack: copy as u32,
                len: 0,
            },
            Phase::Asking => Segment {
                flow: it.flow,
                kind: SegmentKind::Data,
                token: it.token,
                seq: it.seq,
                ack: it.ack,
                len: if it.bad { BAD_QUESTION } else { QUESTION as u16 },
            },
            Phase::Thinking => return,
        };
        self.through_host(caller, seg);
    }

    fn through_host(&mut self, caller: usize, seg: Segment) {
        let zone = self.callers[caller].zone;
        let per_zone = self.shape.hosts_per_zone as u64;
        let first = u64::from(zone.0 - 1) * per_zone;
        let host = (first + seg.flow.stable_hash() % per_zone) as usize;
        let verdict = self.hosts[host].1.handle_packet(Millis(self.now + NEAR_MS), &seg);
        match verdict {
            Verdict::Forward { id, token, .. } => self.deliver(caller, host, &seg, id, token),
            Verdict::Reset(it) => self.reset(host, it),
            Verdict::Drop => {}
        }
        self.finish(host);
    }

    fn deliver(&mut self, caller: usize, host: usize, seg: &Segment, id: u64, token: Token) {
        let from = self.hosts[host].0;
        let Some(zone) = self.upstreams.get(&id).map(|it| it.zone) else { return };
        if !self.reaches(from, zone) || self.lost() {
            return;
        }
        let way = NEAR_MS + self.delay(from, zone);
        let back = self.delay(self.callers[caller].zone, zone);
        let now = self.now + way;
        let step = self.callers[caller].step;
        let Some(it) = self.upstreams.get_mut(&id) else { return };
        let slow = match it.health {
            Health::Slow(x) => x,
            Health::Dark => return,
            Health::Well | Health::Failing(_) | Health::Mute(_) => 1,
        };
        if seg.kind == SegmentKind::Open {
            let token = token.0;
            self.at(way + back, Event::Accepted { caller, step, upstream: id, token });
            return;
        }
        if seg.len == 0 || it.begun.get(&seg.flow) == Some(&seg.seq) {
            return;
        }
        it.begun.insert(seg.flow, seg.seq);
        let chance = self.rng.random_range(0..100);
        let bytes = match it.health {
            Health::Failing(share) if chance < share => ERROR,
            Health::Mute(share) if chance < share => return,
            _ if seg.len == BAD_QUESTION => ERROR,
            _ => ANSWER,
        };
        let work = self.rng.random_range(1..=self.shape.work) * slow;
        let free = if it.slots[0] <= it.slots[1] { 0 } else { 1 };
        let end = it.slots[free].max(now) + work;
        it.slots[free] = end;
        it.open += 1;
        self.counts.most_waiting = self.counts.most_waiting.max(it.open);
        self.at(end - self.now + back, Event::Answered { caller, step, upstream: id, bytes });
    }

    fn accepted(&mut self, caller: usize, step: u64, upstream: u64, token: Token) {
        let it = &mut self.callers[caller];
        if it.step != step || it.phase != Phase::Opening {
            return;
        }
        it.upstream = upstream;
        it.token = token;
        it.ack = 1;
        self.ask(caller);
    }

    fn answered(&mut self, caller: usize, step: u64, upstream: u64, bytes: u32) {
        let dark = match self.upstreams.get_mut(&upstream) {
            Some(it) => {
                it.open = it.open.saturating_sub(1);
                it.health == Health::Dark
            }
            None => true,
        };
        let it = &mut self.callers[caller];
        if dark || it.step != step || it.phase != Phase::Asking {
            return;
        }
        let failed = bytes == ERROR;
        self.counts.answered += u64::from(!failed);
        self.counts.failed += u64::from(failed);
        self.counts.in_time += u64::from(!failed && self.now - it.since <= self.aim);
        it.answered += 1;
        it.seq += QUESTION;
        it.ack += bytes;
        it.phase = Phase::Thinking;
        it.step += 1;
        let (flow, token, seq, ack, step) = (it.flow, it.token, it.seq, it.ack, it.step);
        // Each packet of the answer is acknowledged.
        for left in (0..bytes.div_ceil(PACKET)).rev() {
            if !self.lost() {
                let ack = ack - left * (bytes - PACKET.min(bytes));
                let kind = SegmentKind::Data;
                self.through_host(caller, Segment { flow, kind, token, seq, ack, len: 0 });
            }
        }
        let it = &self.callers[caller];
        if failed && !it.bad || it.answered >= self.shape.flow_requests {
            // The next try, or the next request, is a new flow.
            self.reopen(caller);
            return;
        }
        let think = self.rng.random_range(1..=self.shape.think);
        self.at(think, Event::Think { caller, step });
    }

    fn finish(&mut self, host: usize) {
        let from = self.hosts[host].0;
        for it in self.hosts[host].1.take_resets() {
            self.reset(host, it);
        }
        for it in self.hosts[host].1.take_probes() {
            let id = it.upstream.id;
            assert_eq!(it.addr, addr(id));
            let Some(upstream) = self.upstreams.get(&id) else { continue };
            let there = upstream.health != Health::Dark && self.reaches(from, upstream.zone);
            let way = 2 * self.delay(from, upstream.zone);
            let (delay, found) = match (it.kind, there) {
                (ProbeKind::Connect | ProbeKind::Identify, true) => (way, 1),
                // A cut zone's host that asks a witness beyond the cut learns nothing.
                (ProbeKind::Connect, false) if !self.answers(from, it.reference_addr) => {
                    (PROBE_LIMIT, 2)
                }
                (ProbeKind::Connect, false) => (PROBE_LIMIT, 0),
                (ProbeKind::Identify, false) => (500, 2),
            };
            self.at(delay, Event::Probed { host, upstream: id, found });
        }
        self.count_ejections(host);
        for (to, reports) in self.hosts[host].1.take_reports() {
            let Some(at) = self.host_at(to) else { continue };
            self.hosts[at].1.apply_reports(Millis(self.now + NEAR_MS), &reports);
            self.spread(at);
        }
        self.spread(host);
    }

    fn host_at(&self, id: HostId) -> Option<usize> {
        let at = usize::try_from(id.0).ok()?.checked_sub(1)?;
        (at < self.hosts.len()).then_some(at)
    }

    fn count_ejections(&mut self, host: usize) {
        for note in self.hosts[host].1.take_events() {
            if let DirectEvent::Ejected { upstream, from_peer: false, .. } = note {
                let well = self.upstreams[&upstream.id].health == Health::Well;
                self.counts.ejections += 1;
                self.counts.false_ejections += u64::from(well);
            }
        }
    }

    /// Gives a host's news to the others of its zone.
    fn spread(&mut self, host: usize) {
        let news = self.hosts[host].1.take_peer_update();
        if news.is_empty() {
            return;
        }
        let zone = self.hosts[host].0;
        for at in 0..self.hosts.len() {
            if at != host && self.hosts[at].0 == zone {
                self.hosts[at].1.apply_peer_update(Millis(self.now + NEAR_MS), &news);
                for it in self.hosts[at].1.take_resets() {
                    self.reset(at, it);
                }
            }
        }
    }

    /// Tells whether a probe's witness answers a host of this zone; none is asked where none is known.
    fn answers(&self, from: ZoneId, witness: Option<SocketAddrV4>) -> bool {
        let Some(witness) = witness else { return true };
        let found = self.upstreams.iter().find(|it| addr(*it.0) == witness);
        found.is_some_and(|it| it.1.health != Health::Dark && self.reaches(from, it.1.zone))
    }

    fn reset(&mut self, host: usize, it: ResetPacket) {
        let Some(caller) = self.callers.iter().position(|caller| caller.flow == it.flow) else {
            return;
        };
        let open = self.callers[caller].phase != Phase::Opening;
        let upstream = self.upstreams.get(&self.callers[caller].upstream);
        if open && let Some(upstream) = upstream {
            let lives = upstream.health != Health::Dark;
            self.counts.resets += 1;
            self.counts.false_resets +=
                u64::from(lives && self.reaches(self.hosts[host].0, upstream.zone));
            self.last_reset = self.now;
        }
        self.reopen(caller);
    }
}
