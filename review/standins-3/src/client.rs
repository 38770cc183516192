//! Stand-ins of the consumers and of the platform's router.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    packet::{ACK, FIN, FlowId, Packet, RST, SYN},
    record::{Record, Rng},
};

const SYN_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const SYN_LIMIT: Duration = Duration::from_millis(1_400);
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const LAST_RETRANSMISSION: Duration = Duration::from_millis(1_600);
const MAX_RESET_DISTANCE: u32 = 76_800;

/// Daemons of a zone that are in rotation.
#[derive(Clone)]
pub struct Router {
    /// Data addresses, and whether each is in rotation.
    rotation: Arc<Mutex<Vec<(SocketAddrV4, bool)>>>,
}

impl Router {
    /// Asks each daemon twice a second whether it is ready; two misses take it out of rotation.
    pub fn start(daemons: &[(SocketAddrV4, SocketAddrV4)], record: &Record) -> Router {
        let rotation = daemons.iter().map(|it| (it.0, false)).collect();
        let router = Router { rotation: Arc::new(Mutex::new(rotation)) };
        for (at, (_, ready)) in daemons.iter().copied().enumerate() {
            let (router, record) = (router.clone(), record.clone());
            std::thread::spawn(move || {
                let mut misses = 2;
                loop {
                    let started = Instant::now();
                    misses = if is_ready(ready) { 0 } else { misses + 1 };
                    let mut rotation = router.rotation.lock().unwrap();
                    let is_in = misses == 0 || misses < 2 && rotation[at].1;
                    if rotation[at].1 != is_in {
                        rotation[at].1 = is_in;
                        record.line(format!("router: {ready} in rotation: {is_in}"));
                    }
                    drop(rotation);
                    std::thread::sleep(
                        Duration::from_millis(500).saturating_sub(started.elapsed()),
                    );
                }
            });
        }
        router
    }

    pub fn in_rotation(&self) -> usize {
        self.rotation.lock().unwrap().iter().filter(|it| it.1).count()
    }

    /// The daemon for a packet of a flow, by the hash `mod`.
    fn daemon(&self, flow: FlowId) -> Option<SocketAddrV4> {
        let rotation = self.rotation.lock().unwrap();
        let ready: Vec<SocketAddrV4> = rotation.iter().filter(|it| it.1).map(|it| it.0).collect();
        let used = if ready.len() * 2 < rotation.len() {
            rotation.iter().map(|it| it.0).collect()
        } else {
            ready
        };
        (!used.is_empty()).then(|| used[(flow.hash() % used.len() as u64) as usize])
    }
}

fn is_ready(address: SocketAddrV4) -> bool {
    let limit = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), limit) else { return false };
    let _ = stream.set_read_timeout(Some(limit));
    let request = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut head = [0; 12];
    stream.read_exact(&mut head).is_ok() && &head[9..12] == b"200"
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum End {
    Served,
    /// A reset that the system sent, before the flow was open.
    Refused,
    /// A reset that the system sent on the open flow.
    ResetBySystem,
    /// A reset that the endpoint sent.
    ResetByEndpoint,
    NeverOpened,
    TimedOut,
}

/// One request of a consumer.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub request: u64,
    pub sent: u64,
    pub end: End,
}

#[derive(Default)]
pub struct Outcome {
    pub attempts: Vec<Attempt>,
    /// When each flow's opening packet was first sent.
    pub opened_at: HashMap<FlowId, u64>,
    /// Open flows without a request waiting that the system has reset, and when.
    pub idle_resets: Vec<(FlowId, u64)>,
    /// Packets or answers that are not those of the flow's endpoint.
    pub foreign: u64,
}

#[derive(Clone, Copy)]
pub enum Habit {
    /// A flow for each request, so many a second.
    Fresh { per_s: f64 },
    /// So many flows that stay open, each with a pause between its requests.
    Pool { flows: usize, pause: Duration },
}

pub struct Client {
    pub outcome: Arc<Mutex<Outcome>>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

#[derive(Clone, Copy)]
pub struct ClientSpec {
    pub address: SocketAddrV4,
    /// The route.
    pub service: (Ipv4Addr, u16),
    pub habit: Habit,
    pub time_limit: Duration,
    pub seed: u64,
}

impl Client {
    pub fn start(spec: ClientSpec, router: &Router, record: &Record) -> std::io::Result<Client> {
        let socket = UdpSocket::bind(spec.address)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let outcome = Arc::new(Mutex::new(Outcome::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let worker = Worker {
            spec,
            socket,
            router: router.clone(),
            record: record.clone(),
            outcome: outcome.clone(),
            flows: HashMap::new(),
            next_port: 1_025,
            next_request: spec.seed << 32,
            rng: Rng::new(spec.seed + 77),
        };
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || worker.run(&stopped));
        Ok(Client { outcome, stop, thread: Some(thread) })
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(it) = self.thread.take() {
            let _ = it.join();
        }
    }
}

struct Flow {
    opened: bool,
    first_syn: Instant,
    copies: u32,
    opening_seq: u32,
    next_seq: u32,
    expected: u32,
    echo: u32,
    /// The request that waits for its answer: its id, when it was sent, and its bytes.
    request: Option<Waiting>,
    /// When a pooled flow sends its next request.
    next_at: Option<Instant>,
    /// When the last packet of a closed flow is forgotten.
    closed: Option<Instant>,
}

struct Waiting {
    id: u64,
    sent: u64,
    since: Instant,
    packet_seq: u32,
    data: Vec<u8>,
    acked: bool,
    due: Instant,
    interval: Duration,
}

struct Worker {
    spec: ClientSpec,
    socket: UdpSocket,
    router: Router,
    record: Record,
    outcome: Arc<Mutex<Outcome>>,
    flows: HashMap<FlowId, Flow>,
    next_port: u16,
    next_request: u64,
    rng: Rng,
}

impl Worker {
    fn run(mut self, stop: &AtomicBool) {
        let mut buf = [0; 2_048];
        let mut next_fresh = Instant::now();
        let mut next_pool = Instant::now();
        while !stop.load(Ordering::SeqCst) {
            while let Ok((len, _)) = self.socket.recv_from(&mut buf) {
                self.receive(&buf[..len]);
            }
            let now = Instant::now();
            match self.spec.habit {
                Habit::Fresh { per_s } => {
                    while next_fresh <= now {
                        self.open(now);
                        let gap = (0.5 + self.rng.unit()) / per_s;
                        next_fresh += Duration::from_secs_f64(gap);
                    }
                }
                Habit::Pool { flows, .. } => {
                    let live = self.flows.values().filter(|it| it.closed.is_none()).count();
                    if live < flows && next_pool <= now {
                        self.open(now);
                        next_pool = now + Duration::from_millis(25);
                    }
                }
            }
            self.tick(now);
        }
    }

    fn send(&self, it: &Packet) {
        if let Some(to) = self.router.daemon(it.flow) {
            let _ = self.socket.send_to(&it.bytes(), to);
        }
    }

    /// Opens a flow for a request.
    fn open(&mut self, now: Instant) {
        let key = FlowId {
            src: u32::from(*self.spec.address.ip()),
            sport: self.next_port,
            dst: u32::from(self.spec.service.0),
            dport: self.spec.service.1,
        };
        self.next_port = if self.next_port >= 60_000 { 1_025 } else { self.next_port + 1 };
        let opening_seq = self.rng.next() as u32;
        let sent = self.record.now();
        let next_seq = opening_seq.wrapping_add(1);
        let mut flow = Flow {
            opened: false,
            first_syn: now,
            copies: 0,
            opening_seq,
            next_seq,
            expected: 0,
            echo: 0,
            request: None,
            next_at: None,
            closed: None,
        };
        flow.request = Some(self.new_request(now, next_seq));
        self.outcome.lock().unwrap().opened_at.insert(key, sent);
        self.flows.insert(key, flow);
        self.send(&Packet::new(SYN, key, 0, opening_seq, 0, &[]));
    }

    fn new_request(&mut self, now: Instant, packet_seq: u32) -> Waiting {
        self.next_request += 1;
        let id = self.next_request;
        let data = format!("POST /work HTTP/1.1\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        Waiting {
            id,
            sent: self.record.now(),
            since: now,
            packet_seq,
            data: data.into_bytes(),
            acked: false,
            due: now,
            interval: FIRST_RETRANSMISSION / 2,
        }
    }

    fn end(&mut self, key: FlowId, end: End) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        if let Some(it) = flow.request.take() {
            let attempt = Attempt { request: it.id, sent: it.sent, end };
            self.outcome.lock().unwrap().attempts.push(attempt);
            self.record.line(format!(
                "consumer {}: request {} on port {} sent at {} ends: {end:?}",
                self.spec.address.ip(),
                it.id,
                key.sport,
                it.sent
            ));
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let Some(it) = Packet::parse(bytes) else {
            self.outcome.lock().unwrap().foreign += 1;
            return;
        };
        let key = it.flow.reverse();
        let Some(flow) = self.flows.get_mut(&key) else { return };
        if it.has(RST) {
            self.take_reset(key, &it);
            return;
        }
        if !it.is_genuine() {
            self.outcome.lock().unwrap().foreign += 1;
            return;
        }
        if flow.closed.is_some() {
            // The last packet was lost.
            if !it.data.is_empty() {
                let flags = ACK | FIN;
                let last = Packet::new(flags, key, flow.echo, flow.next_seq, flow.expected, &[]);
                self.send(&last);
            }
            return;
        }
        if it.has(SYN) {
            if !flow.opened && it.ack == flow.next_seq {
                flow.opened = true;
                flow.echo = it.echo;
                flow.expected = it.seq.wrapping_add(1);
                self.send_request(key, Instant::now());
            }
            return;
        }
        if !flow.opened {
            return;
        }
        flow.echo = it.echo;
        if let Some(waiting) = &mut flow.request {
            let end = waiting.packet_seq.wrapping_add(waiting.data.len() as u32);
            waiting.acked |= it.ack.wrapping_sub(end) < 1 << 31;
        }
        let mut served = None;
        if !it.data.is_empty() && it.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(it.data.len() as u32);
            served = Some(parse_answer(&it.data));
        }
        let is_last = it.has(FIN) && it.seq.wrapping_add(it.data.len() as u32) == flow.expected;
        if is_last {
            flow.expected = flow.expected.wrapping_add(1);
        }
        let is_fresh = matches!(self.spec.habit, Habit::Fresh { .. });
        let is_done = served.is_some() && is_fresh || is_last;
        if !it.data.is_empty() || it.has(FIN) {
            let flags = ACK | if is_done { FIN } else { 0 };
            let answer = Packet::new(flags, key, flow.echo, flow.next_seq, flow.expected, &[]);
            if is_done {
                flow.closed = Some(Instant::now());
            }
            self.send(&answer);
        }
        if let Some(request) = served {
            let flow = self.flows.get_mut(&key).unwrap();
            if flow.request.as_ref().is_some_and(|it| it.id == request) {
                if let Habit::Pool { pause, .. } = self.spec.habit {
                    flow.next_at = Some(Instant::now() + pause);
                }
                self.end(key, End::Served);
            } else {
                self.outcome.lock().unwrap().foreign += 1;
            }
        }
    }

    fn take_reset(&mut self, key: FlowId, it: &Packet) {
        let Some(flow) = self.flows.get(&key) else { return };
        if flow.closed.is_some() {
            return;
        }
        let is_system = it.sum == 0;
        if !is_system && !it.is_genuine() {
            self.outcome.lock().unwrap().foreign += 1;
            return;
        }
        let distance = it.seq.wrapping_sub(flow.expected);
        let is_near = distance.min(distance.wrapping_neg()) <= MAX_RESET_DISTANCE;
        if flow.opened && is_system && !is_near {
            return;
        }
        let end = match (is_system, flow.opened) {
            (true, false) => End::Refused,
            (true, true) => End::ResetBySystem,
            (false, _) => End::ResetByEndpoint,
        };
        if flow.opened && flow.request.is_none() && is_system {
            let at = self.record.now();
            self.outcome.lock().unwrap().idle_resets.push((key, at));
            self.record
                .line(format!("consumer: idle flow on port {} reset by the system", key.sport));
        }
        self.end(key, end);
        self.flows.remove(&key);
    }

    /// Sends the request of a flow, for the first time or again.
    fn send_request(&mut self, key: FlowId, now: Instant) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        let Some(it) = &mut flow.request else { return };
        it.interval = (it.interval * 2).min(LAST_RETRANSMISSION);
        it.due = now + it.interval;
        let packet = Packet::new(ACK, key, flow.echo, it.packet_seq, flow.expected, &it.data);
        let end = it.packet_seq.wrapping_add(it.data.len() as u32);
        flow.next_seq = end;
        self.send(&packet);
    }

    fn tick(&mut self, now: Instant) {
        let keys: Vec<FlowId> = self.flows.keys().copied().collect();
        for key in keys {
            let flow = self.flows.get_mut(&key).unwrap();
            if let Some(at) = flow.closed {
                if now - at > Duration::from_secs(2) {
                    self.flows.remove(&key);
                }
                continue;
            }
            if !flow.opened {
                let waited = now - flow.first_syn;
                if waited >= SYN_LIMIT {
                    self.end(key, End::NeverOpened);
                    self.flows.remove(&key);
                } else if SYN_COPIES.get(flow.copies as usize).is_some_and(|it| waited >= *it) {
                    flow.copies += 1;
                    let syn = Packet::new(SYN, key, 0, flow.opening_seq, flow.copies, &[]);
                    self.send(&syn);
                }
                continue;
            }
            if let Some(it) = &flow.request {
                if now - it.since >= self.spec.time_limit {
                    let (echo, seq, ack) = (flow.echo, flow.next_seq, flow.expected);
                    self.end(key, End::TimedOut);
                    self.flows.remove(&key);
                    self.send(&Packet::new(RST, key, echo, seq, ack, &[]));
                } else if !it.acked && it.due <= now {
                    self.send_request(key, now);
                }
            } else if flow.next_at.is_some_and(|it| it <= now) {
                flow.next_at = None;
                let seq = flow.next_seq;
                let request = self.new_request(now, seq);
                self.flows.get_mut(&key).unwrap().request = Some(request);
                self.send_request(key, now);
            }
        }
    }
}

fn parse_answer(data: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(data);
    let id = text.lines().find_map(|it| it.strip_prefix("Request-Id: "));
    id.and_then(|it| it.trim().parse().ok()).unwrap_or(0)
}
