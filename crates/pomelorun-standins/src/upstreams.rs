//! Stand-in for upstreams: slots, cold start, shedding, drain, deadlines and cancellation.
//!
//! An upstream is cold until it has served [`WARM_AFTER`] requests. Cold, it is slower and bears
//! only its cold slots; a request beyond what it bears is shed, and counted as an overload.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    time::Duration,
};

use pomelorun_wire::{FlowKey, Header, MAX_DATAGRAM_BYTES, Packet, PacketKind, ServiceAddr};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::Instant};

use crate::line::{Lines, Polled, say};

/// Requests after which an upstream is warm.
pub const WARM_AFTER: u32 = 20;
/// How many times longer a cold upstream takes.
const COLD_FACTOR: u32 = 3;
/// Time between two looks for commands.
const COMMAND_LOOK: Duration = Duration::from_millis(20);
/// Longest wait of an upstream that runs nothing.
const IDLE_LOOK: Duration = Duration::from_secs(1);
/// Bytes at the start of an answer that name the request it answers.
pub(crate) const TAG_LEN: usize = 12;

/// One upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamPlan {
    /// Name of pool and endpoint.
    pub name: String,
    /// Address of its socket.
    pub address: SocketAddrV4,
    /// Service that it belongs to.
    pub service: ServiceAddr,
    /// Requests that it runs at a time when warm.
    pub slots: u16,
    /// Requests that it runs at a time when cold.
    pub cold_slots: u16,
    /// Time that a warm upstream takes for a request, microseconds.
    pub service_time_us: u64,
    /// Parts of an answer.
    pub answer_parts: u16,
    /// Bytes in each part.
    pub part_bytes: usize,
}

/// Shape of the first input line.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamsPlan {
    /// The upstreams.
    pub upstreams: Vec<UpstreamPlan>,
}

/// A command to the upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamCommand {
    /// The upstream with this name falls back into a cold start.
    FallCold(String),
    /// End with a report; count which of these requests ran, by hash of the flow and number.
    Stop(Vec<(u64, u32)>),
}

/// What one upstream saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamSeen {
    /// Name of pool and endpoint.
    pub name: String,
    /// Flows opened.
    pub flows: u64,
    /// Requests run.
    pub ran: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests that arrived while it was cold and bore no more.
    pub overloads: u64,
    /// Most requests at a time.
    pub most_at_once: usize,
}

/// What all upstreams saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamsReport {
    /// By upstream.
    pub upstreams: Vec<UpstreamSeen>,
    /// Packets for another service.
    pub misrouted: u64,
    /// Non-idempotent requests that ran more than once.
    pub duplicate_runs: u64,
    /// Requests of unknown flows.
    pub resets: u64,
    /// Requests that ran though the caller was told that they did not.
    pub false_not_run: u64,
}

struct Running {
    flow: FlowKey,
    req: u32,
    header: Header,
    to: SocketAddr,
    due: Instant,
    deadline: Instant,
}

struct Upstream {
    plan: UpstreamPlan,
    socket: Rc<UdpSocket>,
    sessions: HashSet<FlowKey>,
    running: Vec<Running>,
    served_since_cold: u32,
    seen: UpstreamSeen,
}

#[derive(Default)]
struct Ledger {
    /// Runs by flow hash and request number.
    runs: HashMap<(u64, u32), u32>,
    misrouted: u64,
    duplicate_runs: u64,
    resets: u64,
}

/// Runs until told to stop.
///
/// # Errors
/// An address that cannot be bound.
pub async fn run_upstreams() -> std::io::Result<()> {
    let Some(text) = std::io::stdin().lines().next().transpose()? else { return Ok(()) };
    let plan: UpstreamsPlan = serde_json::from_str(&text)?;
    let mut upstreams = Vec::with_capacity(plan.upstreams.len());
    for it in plan.upstreams {
        let socket = crate::network::bind(it.address)?;
        socket.set_nonblocking(true)?;
        upstreams.push(Upstream {
            seen: UpstreamSeen { name: it.name.clone(), ..UpstreamSeen::default() },
            plan: it,
            socket: Rc::new(UdpSocket::from_std(socket)?),
            sessions: HashSet::new(),
            running: Vec::new(),
            served_since_cold: 0,
        });
    }
    say(&"ready");
    let lines = Lines::from_stdin();
    let ledger = Rc::new(RefCell::new(Ledger::default()));
    let upstreams: Vec<_> = upstreams.into_iter().map(|it| Rc::new(RefCell::new(it))).collect();
    let tasks: Vec<_> = upstreams
        .iter()
        .map(|it| actix_rt::spawn(serve(Rc::clone(it), Rc::clone(&ledger))))
        .collect();
    let not_run = loop {
        tokio::time::sleep(COMMAND_LOOK).await;
        match lines.poll() {
            Polled::Command(UpstreamCommand::FallCold(name)) => {
                for it in upstreams.iter().filter(|it| it.borrow().plan.name == name) {
                    it.borrow_mut().served_since_cold = 0;
                }
            }
            Polled::Command(UpstreamCommand::Stop(not_run)) => break Some(not_run),
            Polled::Nothing => {}
            Polled::ParentGone => break None,
        }
    };
    for task in tasks {
        task.abort();
        // An aborted task ends with an error that says just that.
        let _ = task.await;
    }
    if let Some(not_run) = not_run {
        say(&report(&upstreams, &ledger.borrow(), &not_run));
    }
    Ok(())
}

/// Runs one upstream: packets as they come, answers as they fall due.
async fn serve(upstream: Rc<RefCell<Upstream>>, ledger: Rc<RefCell<Ledger>>) {
    let socket = Rc::clone(&upstream.borrow().socket);
    loop {
        upstream.borrow_mut().step(&mut ledger.borrow_mut());
        let due = upstream.borrow().next_due();
        tokio::select! {
            _ = socket.readable() => {}
            () = tokio::time::sleep_until(due) => {}
        }
    }
}

fn report(
    upstreams: &[Rc<RefCell<Upstream>>],
    ledger: &Ledger,
    not_run: &[(u64, u32)],
) -> UpstreamsReport {
    let false_not_run = not_run.iter().filter(|it| ledger.runs.contains_key(it)).count();
    UpstreamsReport {
        upstreams: upstreams.iter().map(|it| it.borrow().seen.clone()).collect(),
        misrouted: ledger.misrouted,
        duplicate_runs: ledger.duplicate_runs,
        resets: ledger.resets,
        false_not_run: false_not_run as u64,
    }
}

impl Upstream {
    fn step(&mut self, ledger: &mut Ledger) {
        self.finish();
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        while let Ok((len, from)) = self.socket.try_recv_from(&mut buf) {
            if let Ok(packet) = Packet::parse(&buf[..len]) {
                self.packet(&packet, from, ledger);
            }
        }
    }

    /// When the next answer falls due; far off where nothing runs.
    fn next_due(&self) -> Instant {
        let due = self.running.iter().map(|it| it.due.min(it.deadline)).min();
        due.unwrap_or_else(|| Instant::now() + IDLE_LOOK)
    }

    fn is_cold(&self) -> bool {
        self.served_since_cold < WARM_AFTER
    }

    fn packet(&mut self, packet: &Packet<'_>, from: SocketAddr, ledger: &mut Ledger) {
        let flow = packet.flow();
        if flow.service != self.plan.service {
            ledger.misrouted += 1;
            return;
        }
        match packet.kind() {
            PacketKind::Open => {
                if self.sessions.insert(flow) {
                    self.seen.flows += 1;
                }
                self.send(&packet.header().kind(PacketKind::Opened), &[], from);
            }
            PacketKind::Close => {
                self.sessions.remove(&flow);
            }
            PacketKind::Cancel => {
                self.running.retain(|it| it.flow != flow || it.req != packet.req());
            }
            PacketKind::Request if self.sessions.contains(&flow) => {
                self.request(packet, from, ledger);
            }
            PacketKind::Request => {
                ledger.resets += 1;
                self.send(&packet.header().kind(PacketKind::Reset), &[], from);
            }
            _ => {}
        }
    }

    fn request(&mut self, packet: &Packet<'_>, from: SocketAddr, ledger: &mut Ledger) {
        let bears = if self.is_cold() { self.plan.cold_slots } else { self.plan.slots };
        if self.running.len() >= usize::from(bears) {
            self.seen.shed += 1;
            self.seen.overloads += u64::from(self.is_cold());
            self.send(&packet.header().kind(PacketKind::Shed), &[], from);
            return;
        }
        let runs = ledger.runs.entry((packet.flow().stable_hash(), packet.req())).or_default();
        *runs += 1;
        ledger.duplicate_runs += u64::from(*runs > 1 && !packet.is_idempotent());
        let factor = if self.is_cold() { COLD_FACTOR } else { 1 };
        let now = Instant::now();
        self.running.push(Running {
            flow: packet.flow(),
            req: packet.req(),
            header: packet.header(),
            to: from,
            due: now + Duration::from_micros(self.plan.service_time_us) * factor,
            deadline: now + Duration::from_millis(packet.remaining_ms().into()),
        });
        self.seen.ran += 1;
        self.seen.most_at_once = self.seen.most_at_once.max(self.running.len());
    }

    /// Answers what is done and drops what is past its deadline.
    fn finish(&mut self) {
        let now = Instant::now();
        while let Some(at) = self.running.iter().position(|it| it.due <= now) {
            let it = self.running.swap_remove(at);
            self.served_since_cold += 1;
            let mut body = vec![0; self.plan.part_bytes.max(TAG_LEN)];
            body[..8].copy_from_slice(&it.flow.stable_hash().to_be_bytes());
            body[8..TAG_LEN].copy_from_slice(&it.req.to_be_bytes());
            for part in 0..self.plan.answer_parts {
                let header = it.header.kind(PacketKind::Answer).part(part, self.plan.answer_parts);
                self.send(&header, &body, it.to);
            }
        }
        self.running.retain(|it| it.deadline > now);
    }

    fn send(&self, header: &Header, body: &[u8], to: SocketAddr) {
        let mut bytes = Vec::with_capacity(header.as_bytes().len() + body.len());
        bytes.extend_from_slice(header.as_bytes());
        bytes.extend_from_slice(body);
        // A datagram that the kernel cannot take is lost, as on any network.
        let _ = self.socket.try_send_to(&bytes, to);
    }
}
