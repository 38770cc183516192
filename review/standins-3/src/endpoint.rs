//! A stand-in of an endpoint: flows over datagrams, the health check over TCP, and check-ins at the store.

use std::{
    collections::{HashMap, VecDeque},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    packet::{ACK, FIN, FlowId, Packet, RST, SYN},
    record::{Record, Rng},
    store::Store,
};

const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const LAST_RETRANSMISSION: Duration = Duration::from_millis(1_600);
const MAX_RETRANSMISSIONS: u32 = 8;

/// An opening packet that an endpoint took.
#[derive(Debug, Clone, Copy)]
pub struct Opening {
    pub flow: FlowId,
    pub at: u64,
    /// Daemon that sent it on.
    pub by: Ipv4Addr,
    /// Milliseconds for which the endpoint was still cold.
    pub cold_left: u64,
}

#[derive(Default)]
pub struct Seen {
    pub openings: Vec<Opening>,
    /// Requests that the endpoint began to work on.
    pub runs: Vec<u64>,
    /// Packets that their sender did not write so.
    pub forged: u64,
}

#[derive(Clone)]
pub struct Spec {
    /// Name as in the store, such as `i-0000002a`.
    pub name: String,
    pub address: SocketAddrV4,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
    /// For how long it is cold after its start.
    pub cold: Duration,
    pub heartbeat: Duration,
    /// By how much the time of day of its machine is ahead when it starts.
    pub clock_ahead: Duration,
    /// Port at which consumers receive.
    pub consumer_port: u16,
}

impl Spec {
    pub fn id(&self) -> u64 {
        u64::from_str_radix(self.name.rsplit('-').next().unwrap_or(""), 16).unwrap()
    }
}

/// One lifetime of an endpoint.
pub struct Endpoint {
    pub spec: Spec,
    pub seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

struct Flow {
    /// Sequence number of the next byte to send.
    next_seq: u32,
    /// Sequence number of the next byte of the consumer.
    expected: u32,
    opening_seq: u32,
    echo: u32,
    unacked: Option<Unacked>,
    closing: bool,
}

struct Unacked {
    packet_seq: u32,
    data: Vec<u8>,
    flags: u8,
    due: Instant,
    interval: Duration,
    count: u32,
}

struct Job {
    flow: FlowId,
    request: u64,
}

impl Endpoint {
    pub fn start(spec: Spec, store: &Store, record: &Record) -> std::io::Result<Endpoint> {
        let time_of_day = SystemTime::now() + spec.clock_ahead;
        let born = time_of_day.duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let stop = Arc::new(AtomicBool::new(false));
        let draining = Arc::new(AtomicBool::new(false));
        let seen = Arc::new(Mutex::new(Seen::default()));
        let socket = UdpSocket::bind(spec.address)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let listener = TcpListener::bind(spec.address)?;
        listener.set_nonblocking(true)?;
        record.line(format!("endpoint {} starts at {}, born {born}", spec.name, spec.address));
        let mut threads = Vec::new();
        {
            let (stop, draining, name) = (stop.clone(), draining.clone(), spec.name.clone());
            threads
                .push(std::thread::spawn(move || serve_health(&listener, &stop, &draining, &name)));
        }
        let worker = Worker {
            spec: spec.clone(),
            socket,
            record: record.clone(),
            store: store.clone(),
            seen: seen.clone(),
            draining: draining.clone(),
            stop: stop.clone(),
            born,
            started: Instant::now(),
            flows: HashMap::new(),
            ended: HashMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            rng: Rng::new(born ^ spec.id()),
            check_ins: 0,
        };
        threads.push(std::thread::spawn(move || worker.run()));
        Ok(Endpoint { spec, seen, stop, draining, threads })
    }

    /// Reports `draining` from the next check-in on, which comes at once.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Ends at once: discards its flows and sends nothing.
    pub fn crash(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for it in self.threads.drain(..) {
            let _ = it.join();
        }
    }
}

fn serve_health(listener: &TcpListener, stop: &AtomicBool, draining: &AtomicBool, name: &str) {
    while !stop.load(Ordering::SeqCst) {
        let Ok((mut stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        let status =
            if draining.load(Ordering::SeqCst) { "503 Service Unavailable" } else { "200 OK" };
        let name = name.to_owned();
        std::thread::spawn(move || {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let mut head = Vec::new();
            let mut byte = [0; 1];
            while !head.ends_with(b"\r\n\r\n") && head.len() < 4_096 {
                match stream.read(&mut byte) {
                    Ok(1) => head.push(byte[0]),
                    _ => return,
                }
            }
            let answer = format!(
                "HTTP/1.1 {status}\r\nInstance-Id: {name}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            );
            let _ = stream.write_all(answer.as_bytes());
        });
    }
}

struct Worker {
    spec: Spec,
    socket: UdpSocket,
    record: Record,
    store: Store,
    seen: Arc<Mutex<Seen>>,
    draining: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    born: u64,
    started: Instant,
    flows: HashMap<FlowId, Flow>,
    /// Flows that have ended here, and when.
    ended: HashMap<FlowId, Instant>,
    queue: VecDeque<Job>,
    running: Vec<(Instant, Job)>,
    rng: Rng,
    check_ins: u64,
}

impl Worker {
    fn run(mut self) {
        let mut buf = [0; 2_048];
        let mut next_check_in = Instant::now();
        let mut reported_draining = false;
        while !self.stop.load(Ordering::SeqCst) {
            if let Ok((len, from)) = self.socket.recv_from(&mut buf)
                && let std::net::SocketAddr::V4(from) = from
            {
                self.receive(&buf[..len], *from.ip());
            }
            let now = Instant::now();
            self.work(now);
            self.retransmit(now);
            let draining = self.draining.load(Ordering::SeqCst);
            if now >= next_check_in || draining != reported_draining {
                if self.check_in(draining) {
                    reported_draining = draining;
                }
                next_check_in = now + self.spec.heartbeat;
            }
        }
        self.record.line(format!("endpoint {} ends", self.spec.name));
    }

    fn cold_left(&self) -> u64 {
        self.spec.cold.saturating_sub(self.started.elapsed()).as_millis() as u64
    }

    fn check_in(&mut self, draining: bool) -> bool {
        self.check_ins += 1;
        let Spec { name, address, service, zone, slots, heartbeat, .. } = &self.spec;
        let state = if draining { "draining" } else { "ready" };
        let meaning = format!(
            "\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":{},\"born\":{}",
            self.cold_left(),
            self.born
        );
        let value = format!("{{{meaning},\"seq\":{}}}", self.check_ins);
        self.store.put(&format!("servers/{name}"), &value, &meaning, Some(*heartbeat))
    }

    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(Ipv4Addr::from(packet.flow.dst), self.spec.consumer_port);
        let _ = self.socket.send_to(&packet.bytes(), to);
    }

    fn reset(&self, it: &Packet) {
        self.send(&Packet::new(RST, it.flow.reverse(), it.echo, it.ack, it.seq, &[]));
    }

    fn receive(&mut self, bytes: &[u8], by: Ipv4Addr) {
        let Some((id, packet)) = bytes.split_first_chunk::<8>() else { return };
        let id = u64::from_be_bytes(*id);
        if id != 0 && id != self.spec.id() {
            return;
        }
        let Some(it) = Packet::parse(packet) else {
            self.seen.lock().unwrap().forged += 1;
            return;
        };
        if !it.is_genuine() {
            self.seen.lock().unwrap().forged += 1;
            return;
        }
        if it.has(SYN) {
            self.open(&it, by);
        } else if it.has(RST) {
            self.flows.remove(&it.flow);
        } else if self.flows.contains_key(&it.flow) {
            self.take(&it);
        } else if let Some(at) = self.ended.get(&it.flow)
            && at.elapsed() < Duration::from_secs(5)
            && it.data.is_empty()
        {
            if it.has(FIN) {
                let ack = it.seq.wrapping_add(1);
                self.send(&Packet::new(ACK, it.flow.reverse(), it.echo, it.ack, ack, &[]));
            }
        } else {
            self.reset(&it);
        }
    }

    fn open(&mut self, it: &Packet, by: Ipv4Addr) {
        let is_known = self.flows.get(&it.flow).is_some_and(|flow| flow.opening_seq == it.seq);
        if !is_known {
            let (at, cold_left) = (self.record.now(), self.cold_left());
            self.seen.lock().unwrap().openings.push(Opening { flow: it.flow, at, by, cold_left });
            self.record.line(format!(
                "endpoint {} takes the opening of {:?} from {by}, cold for {cold_left} ms",
                self.spec.name, it.flow.sport
            ));
            let opening = self.rng.next() as u32;
            let flow = Flow {
                next_seq: opening.wrapping_add(1),
                expected: it.seq.wrapping_add(1),
                opening_seq: it.seq,
                echo: it.echo,
                unacked: None,
                closing: false,
            };
            self.flows.insert(it.flow, flow);
            self.ended.remove(&it.flow);
        }
        let flow = &self.flows[&it.flow];
        let seq = flow.next_seq.wrapping_sub(1);
        let answer = Packet::new(SYN | ACK, it.flow.reverse(), flow.echo, seq, flow.expected, &[]);
        self.send(&answer);
    }

    fn take(&mut self, it: &Packet) {
        let key = it.flow;
        let Some(flow) = self.flows.get_mut(&key) else { return };
        flow.echo = it.echo;
        if let Some(unacked) = &flow.unacked {
            let extra = u32::from(unacked.flags & FIN != 0);
            let end = unacked.packet_seq.wrapping_add(unacked.data.len() as u32 + extra);
            if it.ack.wrapping_sub(end) < 1 << 31 {
                flow.unacked = None;
            }
        }
        let is_next = it.seq == flow.expected;
        let mut request = None;
        if !it.data.is_empty() {
            if is_next {
                flow.expected = flow.expected.wrapping_add(it.data.len() as u32);
                request = Some(parse_request(&it.data));
            }
            let ack = Packet::new(ACK, key.reverse(), flow.echo, flow.next_seq, flow.expected, &[]);
            self.send(&ack);
        }
        if it.has(FIN) && is_next {
            let ack = it.seq.wrapping_add(it.data.len() as u32 + 1);
            let flow = &self.flows[&key];
            let last = Packet::new(FIN | ACK, key.reverse(), flow.echo, flow.next_seq, ack, &[]);
            self.send(&last);
            self.flows.remove(&key);
            self.ended.insert(key, Instant::now());
        }
        if let Some(request) = request {
            self.queue.push_back(Job { flow: key, request });
        }
    }

    fn work(&mut self, now: Instant) {
        let done: Vec<Job> = self.running.extract_if(.., |it| it.0 <= now).map(|it| it.1).collect();
        for job in done {
            self.answer(now, &job);
        }
        while self.running.len() < self.spec.slots
            && let Some(job) = self.queue.pop_front()
        {
            if !self.flows.contains_key(&job.flow) {
                continue;
            }
            self.seen.lock().unwrap().runs.push(job.request);
            self.record.line(format!("endpoint {} runs request {}", self.spec.name, job.request));
            self.running.push((now + self.spec.work, job));
        }
    }

    fn answer(&mut self, now: Instant, job: &Job) {
        let closing = self.draining.load(Ordering::SeqCst);
        let Some(flow) = self.flows.get_mut(&job.flow) else { return };
        let body = format!("done by {}", self.spec.name);
        let data = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nContent-Length: {}\r\n\r\n{body}",
            job.request,
            body.len()
        )
        .into_bytes();
        flow.closing |= closing;
        let flags = ACK | if flow.closing { FIN } else { 0 };
        let packet =
            Packet::new(flags, job.flow.reverse(), flow.echo, flow.next_seq, flow.expected, &data);
        flow.unacked = Some(Unacked {
            packet_seq: flow.next_seq,
            data: data.clone(),
            flags,
            due: now + FIRST_RETRANSMISSION,
            interval: FIRST_RETRANSMISSION,
            count: 0,
        });
        flow.next_seq = flow.next_seq.wrapping_add(data.len() as u32 + u32::from(flow.closing));
        self.send(&packet);
    }

    fn retransmit(&mut self, now: Instant) {
        let mut due = Vec::new();
        let mut given_up = Vec::new();
        for (key, flow) in &mut self.flows {
            let Some(it) = flow.unacked.as_mut().filter(|it| it.due <= now) else { continue };
            if it.count >= MAX_RETRANSMISSIONS {
                given_up.push(*key);
                continue;
            }
            it.count += 1;
            it.interval = (it.interval * 2).min(LAST_RETRANSMISSION);
            it.due = now + it.interval;
            due.push(Packet::new(
                it.flags,
                key.reverse(),
                flow.echo,
                it.packet_seq,
                flow.expected,
                &it.data,
            ));
        }
        due.iter().for_each(|it| self.send(it));
        for key in given_up {
            self.flows.remove(&key);
        }
    }
}

fn parse_request(data: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(data);
    let line = text.lines().find_map(|it| it.strip_prefix("Request-Id: "));
    line.and_then(|it| it.trim().parse().ok()).unwrap_or(0)
}
