//! Stand-in for callers: opens flows, keeps them open, sends requests and judges the answers.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use hdrhistogram::Histogram;
use pomelorun_wire::{Code, FlowKey, Header, MAX_DATAGRAM_BYTES, Packet, PacketKind, ServiceAddr};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::Instant};

use crate::{
    line::{Lines, Polled, say},
    upstreams::TAG_LEN,
};

/// Time after which an unanswered opening is sent again.
const OPEN_AGAIN: Duration = Duration::from_millis(400);
/// Time after which an unanswered request is sent again, with the same number.
const REQUEST_AGAIN: Duration = Duration::from_millis(150);
/// Time after its deadline at which a request without a final answer counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Time between two sweeps over what is outstanding.
const SWEEP: Duration = Duration::from_millis(50);
/// Time between two looks for commands.
const COMMAND_LOOK: Duration = Duration::from_millis(20);
/// Time between two reports of progress.
const PROGRESS: Duration = Duration::from_millis(500);
/// Callers' addresses start here: 100.64.0.0.
const FIRST_IP: u32 = 0x6440_0000;
/// Ports used at each address.
const PORTS: u32 = 16_384;
const FIRST_PORT: u32 = 1_024;

/// Load of one service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServicePlan {
    /// Address of the service.
    pub service: ServiceAddr,
    /// Flows held open.
    pub flows: u32,
    /// Requests a second across all flows.
    pub requests_per_second: u32,
    /// Share of requests that must run at most once, percent.
    pub non_idempotent_percent: u32,
    /// Deadline of a request, milliseconds.
    pub deadline_ms: u16,
}

/// Shape of the first input line.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallersPlan {
    /// Where packets of callers go.
    pub fabric: SocketAddrV4,
    /// Where callers listen.
    pub listen: SocketAddrV4,
    /// Flows opened a second, all services together.
    pub opens_per_second: u32,
    /// Load by service.
    pub services: Vec<ServicePlan>,
    /// Seed of all choices.
    pub seed: u64,
}

/// A command to the callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallersCommand {
    /// Send no more requests, wait for what is outstanding, and end with a report.
    Stop,
}

/// What callers saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallersReport {
    /// Flows opened.
    pub flows: u64,
    /// Flows never opened.
    pub unopened: u64,
    /// Requests sent.
    pub requests: u64,
    /// Packets of requests that were sent again.
    pub sent_again: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests whose outcome was said to be unknown.
    pub outcome_unknown: u64,
    /// Requests without a final answer.
    pub lost: u64,
    /// Flows that ended without the caller or an operator wanting it.
    pub broken_flows: u64,
    /// Flows given up because operators took their zone out.
    pub given_up: u64,
    /// Answers to somebody else's request.
    pub misrouted: u64,
    /// Refusals by numbered code.
    pub codes: Vec<(String, u64)>,
    /// Latency of whole answers, microseconds: p50, p99, p99.9.
    pub latency_us: [u64; 3],
    /// Requests that were refused as not run, by hash of the flow and number.
    pub not_run: Vec<(u64, u32)>,
}

/// One line that the callers write.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallersLine {
    /// How far they have come.
    Progress {
        /// Flows that are open.
        open: u64,
        /// Requests answered.
        answered: u64,
    },
    /// The end.
    Report(CallersReport),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowState {
    New,
    Opening(Instant),
    Open,
}

struct Flow {
    key: FlowKey,
    hash: u64,
    state: FlowState,
    next_req: u32,
    was_open: bool,
}

struct Outstanding {
    header: Header,
    sent: Instant,
    last_sent: Instant,
    deadline: Instant,
    parts: Vec<bool>,
    left: u16,
}

struct Callers {
    plan: CallersPlan,
    socket: UdpSocket,
    flows: Vec<Flow>,
    /// First flow of each service.
    first: Vec<usize>,
    outstanding: HashMap<(usize, u32), Outstanding>,
    rng: ChaCha8Rng,
    report: CallersReport,
    codes: HashMap<u16, u64>,
    latency: Histogram<u64>,
    opened_until: usize,
    started: Instant,
    sent_by_service: Vec<u64>,
    first_open: Option<Instant>,
}

/// Runs until told to stop.
///
/// # Errors
/// An address that cannot be bound.
pub async fn run_callers() -> std::io::Result<()> {
    let Some(text) = std::io::stdin().lines().next().transpose()? else { return Ok(()) };
    let plan: CallersPlan = serde_json::from_str(&text)?;
    let socket = crate::network::bind(plan.listen)?;
    socket.set_nonblocking(true)?;
    let mut callers = Callers::new(plan, UdpSocket::from_std(socket)?);
    say(&"ready");
    callers.run().await;
    say(&CallersLine::Report(callers.finish()));
    Ok(())
}

impl Callers {
    fn new(plan: CallersPlan, socket: UdpSocket) -> Callers {
        let mut flows = Vec::new();
        let mut first = Vec::new();
        for service in &plan.services {
            first.push(flows.len());
            for _ in 0..service.flows {
                let number = flows.len() as u32;
                let key = FlowKey {
                    caller_ip: FIRST_IP + number / PORTS,
                    caller_port: (FIRST_PORT + number % PORTS) as u16,
                    service: service.service,
                };
                flows.push(Flow {
                    key,
                    hash: key.stable_hash(),
                    state: FlowState::New,
                    next_req: 1,
                    was_open: false,
                });
            }
        }
        Callers {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            sent_by_service: vec![0; plan.services.len()],
            plan,
            socket,
            flows,
            first,
            outstanding: HashMap::new(),
            report: CallersReport::default(),
            codes: HashMap::new(),
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds are valid"),
            opened_until: 0,
            started: Instant::now(),
            first_open: None,
        }
    }

    async fn run(&mut self) {
        let lines: Lines<CallersCommand> = Lines::from_stdin();
        let mut timer = tokio::time::interval(Duration::from_millis(1));
        let mut next_sweep = Instant::now();
        let mut next_look = Instant::now();
        let mut next_progress = Instant::now();
        let mut stopping = false;
        loop {
            tokio::select! {
                _ = timer.tick() => {}
                _ = self.socket.readable() => {}
            }
            self.receive();
            let now = Instant::now();
            if !stopping {
                self.open_due(now);
                self.request_due(now);
            }
            if now >= next_sweep {
                next_sweep = now + SWEEP;
                self.sweep(now, stopping);
            }
            if now >= next_progress {
                next_progress = now + PROGRESS;
                let open = self.flows.iter().filter(|it| it.state == FlowState::Open).count();
                let answered = self.report.answered;
                say(&CallersLine::Progress { open: open as u64, answered });
            }
            if now >= next_look {
                next_look = now + COMMAND_LOOK;
                stopping |= lines.poll() != Polled::Nothing;
            }
            if stopping && self.outstanding.is_empty() {
                return;
            }
        }
    }

    fn finish(&mut self) -> CallersReport {
        let mut report = std::mem::take(&mut self.report);
        report.unopened = self.flows.iter().filter(|it| !it.was_open).count() as u64;
        report.latency_us = [0.5, 0.99, 0.999].map(|it| self.latency.value_at_quantile(it));
        report.codes = self.codes.iter().map(|it| (Code(*it.0).to_string(), *it.1)).collect();
        report.codes.sort_unstable();
        report
    }

    fn send(&self, header: &Header) {
        // A datagram that the kernel cannot take is lost, as on any network.
        let _ = self.socket.try_send_to(header.as_bytes(), self.plan.fabric.into());
    }

    fn open_due(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.started).as_secs_f64();
        let due = (elapsed * f64::from(self.plan.opens_per_second)) as usize;
        let due = due.min(self.flows.len());
        let stride = stride(self.flows.len());
        while self.opened_until < due {
            // Services fill up in proportion.
            let at = self.opened_until * stride % self.flows.len();
            self.open(at, now);
            self.opened_until += 1;
        }
    }

    fn open(&mut self, at: usize, now: Instant) {
        self.flows[at].state = FlowState::Opening(now);
        self.send(&Header::new(PacketKind::Open, &self.flows[at].key));
    }

    fn request_due(&mut self, now: Instant) {
        let Some(first_open) = self.first_open else { return };
        let elapsed = now.duration_since(first_open).as_secs_f64();
        for service in 0..self.plan.services.len() {
            let plan = &self.plan.services[service];
            let due = (elapsed * f64::from(plan.requests_per_second)) as u64;
            let (flows, deadline_ms) = (plan.flows as usize, plan.deadline_ms);
            let percent = plan.non_idempotent_percent;
            while self.sent_by_service[service] < due {
                self.sent_by_service[service] += 1;
                let at = self.first[service] + self.rng.random_range(0..flows);
                let once = self.rng.random_range(0..100) < percent;
                if self.flows[at].state == FlowState::Open {
                    self.request(at, once, deadline_ms, now);
                }
            }
        }
    }

    fn request(&mut self, at: usize, once: bool, deadline_ms: u16, now: Instant) {
        let flow = &mut self.flows[at];
        let req = flow.next_req;
        flow.next_req += 1;
        let mut header =
            Header::new(PacketKind::Request, &flow.key).req(req).deadline_ms(deadline_ms);
        if once {
            header = header.non_idempotent();
        }
        self.send(&header);
        self.report.requests += 1;
        self.outstanding.insert(
            (at, req),
            Outstanding {
                header,
                sent: now,
                last_sent: now,
                deadline: now + Duration::from_millis(deadline_ms.into()),
                parts: Vec::new(),
                left: 0,
            },
        );
    }

    fn sweep(&mut self, now: Instant, stopping: bool) {
        let before = self.outstanding.len();
        self.outstanding.retain(|_, it| now < it.deadline + LOST_AFTER);
        self.report.lost += (before - self.outstanding.len()) as u64;
        let mut again = Vec::new();
        for it in self.outstanding.values_mut() {
            if now < it.deadline && now.duration_since(it.last_sent) >= REQUEST_AGAIN {
                it.last_sent = now;
                let left = it.deadline.duration_since(now).as_millis();
                again.push(it.header.deadline_ms(u16::try_from(left).unwrap_or(u16::MAX)));
            }
        }
        self.report.sent_again += again.len() as u64;
        again.iter().for_each(|it| self.send(it));
        if stopping {
            return;
        }
        for at in 0..self.flows.len() {
            if let FlowState::Opening(sent) = self.flows[at].state
                && now.duration_since(sent) >= OPEN_AGAIN
            {
                self.open(at, now);
            }
        }
    }

    fn receive(&mut self) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        while let Ok((len, _)) = self.socket.try_recv_from(&mut buf) {
            if let Ok(packet) = Packet::parse(&buf[..len]) {
                self.packet(&packet);
            }
        }
    }

    fn flow_at(&self, key: &FlowKey) -> Option<usize> {
        let ip = key.caller_ip.checked_sub(FIRST_IP)?;
        let port = u32::from(key.caller_port).checked_sub(FIRST_PORT)?;
        let at = (ip * PORTS + port) as usize;
        self.flows.get(at).filter(|it| it.key == *key).map(|_| at)
    }

    fn packet(&mut self, packet: &Packet<'_>) {
        let Some(at) = self.flow_at(&packet.flow()) else {
            self.report.misrouted += 1;
            return;
        };
        match packet.kind() {
            PacketKind::Opened => self.opened(at),
            PacketKind::Answer => self.answer(at, packet),
            PacketKind::NotRun | PacketKind::OutcomeUnknown => self.refused(at, packet),
            PacketKind::Reset | PacketKind::FlowAbandoned => self.ended(at, packet),
            _ => {}
        }
    }

    fn opened(&mut self, at: usize) {
        let flow = &mut self.flows[at];
        if !flow.was_open {
            flow.was_open = true;
            self.report.flows += 1;
        }
        flow.state = FlowState::Open;
        self.first_open.get_or_insert_with(Instant::now);
    }

    fn answer(&mut self, at: usize, packet: &Packet<'_>) {
        let mut tag = [0; TAG_LEN];
        tag[..8].copy_from_slice(&self.flows[at].hash.to_be_bytes());
        tag[8..].copy_from_slice(&packet.req().to_be_bytes());
        if !packet.body().starts_with(&tag) {
            self.report.misrouted += 1;
            return;
        }
        let key = (at, packet.req());
        let Some(it) = self.outstanding.get_mut(&key) else { return };
        if it.parts.is_empty() {
            it.parts = vec![false; usize::from(packet.parts().max(1))];
            it.left = packet.parts().max(1);
        }
        let Some(part) = it.parts.get_mut(usize::from(packet.part())) else { return };
        if !std::mem::replace(part, true) {
            it.left -= 1;
        }
        if it.left > 0 {
            return;
        }
        let taken = it.sent.elapsed().as_micros();
        self.outstanding.remove(&key);
        self.report.answered += 1;
        self.latency.saturating_record(u64::try_from(taken).unwrap_or(u64::MAX));
    }

    fn refused(&mut self, at: usize, packet: &Packet<'_>) {
        *self.codes.entry(packet.code()).or_default() += 1;
        if packet.req() == 0 || self.outstanding.remove(&(at, packet.req())).is_none() {
            return;
        }
        if packet.kind() == PacketKind::NotRun {
            self.report.refused_not_run += 1;
            self.report.not_run.push((self.flows[at].hash, packet.req()));
        } else {
            self.report.outcome_unknown += 1;
        }
    }

    fn ended(&mut self, at: usize, packet: &Packet<'_>) {
        if packet.code() == Code::FLOW_ZONE_WITHDRAWN.0 {
            self.report.given_up += 1;
        } else {
            *self.codes.entry(packet.code()).or_default() += 1;
            self.report.broken_flows += 1;
        }
        if self.outstanding.remove(&(at, packet.req())).is_some() {
            self.report.outcome_unknown += 1;
        }
        self.open(at, Instant::now());
    }
}

/// A step through all flows that visits each once, with neighbours far apart.
fn stride(flows: usize) -> usize {
    let from = flows * 5 / 8 + 1;
    (from..).find(|it| gcd(*it, flows) == 1).expect("some number is coprime to any other")
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}
