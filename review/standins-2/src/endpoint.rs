//! Endpoints: they take packets in the form `echo`, answer consumers directly, answer status checks
//! and register themselves in the store.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    packet::{ACK, FIN, FlowId, Packet, RST, SYN, Way},
    record::Record,
    store::{Store, read_request},
};

#[derive(Debug, Clone)]
pub struct Spec {
    pub id: u32,
    pub service: &'static str,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub slots: u32,
    /// Time that a request takes.
    pub work: Duration,
    pub heartbeat: Duration,
    /// Time until the first heartbeat after the first announcement.
    pub first_heartbeat: Duration,
    pub cold: Duration,
}

struct Flow {
    echo: u32,
    /// Next byte of this end.
    next: u32,
    /// Next byte expected of the consumer.
    expected: u32,
    open: bool,
    /// The last answer, for copies of its request.
    answer: Option<Packet>,
}

struct State {
    draining: bool,
    cold_until: Instant,
    seq: u64,
    written: String,
    flows: HashMap<FlowId, Flow>,
}

/// A request that waits for a slot.
struct Job {
    flow: FlowId,
    id: String,
}

pub struct Endpoint {
    pub spec: Spec,
    pub addr: SocketAddrV4,
    consumer_port: u16,
    born: u64,
    state: Mutex<State>,
    socket: UdpSocket,
    store: Arc<Store>,
    record: Arc<Record>,
    gone: AtomicBool,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Endpoint {
    /// Starts an endpoint, which registers itself at once.
    pub fn start(
        spec: Spec,
        port: u16,
        consumer_port: u16,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Endpoint>> {
        let addr = SocketAddrV4::new(spec.ip, port);
        let socket = UdpSocket::bind(addr)?;
        socket.set_read_timeout(Some(Duration::from_millis(200)))?;
        let listener = TcpListener::bind(addr)?;
        let state = State {
            draining: false,
            cold_until: Instant::now() + spec.cold,
            seq: 0,
            written: String::new(),
            flows: HashMap::new(),
        };
        let it = Arc::new(Endpoint {
            addr,
            consumer_port,
            born: unix_ms(),
            state: Mutex::new(state),
            socket,
            store: Arc::clone(store),
            record: Arc::clone(record),
            gone: AtomicBool::new(false),
            spec,
        });
        record.line(&format!("endpoint {} starts at {addr}, born {}", it.name(), it.born));
        it.announce();
        let (tx, rx) = channel();
        let rx = Arc::new(Mutex::new(rx));
        for _ in 0..it.spec.slots {
            let (it, rx) = (Arc::clone(&it), Arc::clone(&rx));
            thread::spawn(move || it.work(&rx));
        }
        let receiver = Arc::clone(&it);
        thread::spawn(move || receiver.receive(&tx));
        let checked = Arc::clone(&it);
        thread::spawn(move || checked.answer_checks(&listener));
        let beating = Arc::clone(&it);
        thread::spawn(move || {
            thread::sleep(beating.spec.first_heartbeat);
            while !beating.gone.load(Ordering::Relaxed) {
                beating.announce();
                thread::sleep(beating.spec.heartbeat);
            }
        });
        Ok(it)
    }

    pub fn name(&self) -> String {
        format!("i-{:08x}", self.spec.id)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.name())
    }

    /// Writes the entry if more than `seq` has changed.
    fn announce(&self) {
        let mut it = self.state.lock().unwrap();
        if self.gone.load(Ordering::Relaxed) {
            return;
        }
        let Spec { service, zone, slots, .. } = &self.spec;
        let state = if it.draining { "draining" } else { "ready" };
        let cold_left = it.cold_until.saturating_duration_since(Instant::now()).as_millis();
        it.seq += 1;
        let rest = format!(
            "\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":{cold_left},\"born\":{}",
            self.addr, self.born
        );
        if rest != it.written {
            self.store.put(&self.key(), &format!("{{{rest},\"seq\":{}}}", it.seq));
            self.record
                .line(&format!("store: {} is {state}, cold_left_ms {cold_left}", self.key()));
            it.written = rest;
        }
    }

    /// Becomes cold; the next heartbeat says so.
    pub fn become_cold(&self, time: Duration) {
        self.state.lock().unwrap().cold_until = Instant::now() + time;
        self.record.line(&format!("endpoint {} is cold for {} ms", self.name(), time.as_millis()));
    }

    pub fn cold_until(&self) -> Instant {
        self.state.lock().unwrap().cold_until
    }

    /// Reports `draining` at once.
    pub fn drain(&self) {
        self.state.lock().unwrap().draining = true;
        self.announce();
    }

    /// Leaves: removes the entry and stops.
    pub fn leave(&self) {
        self.gone.store(true, Ordering::Relaxed);
        self.store.remove(&self.key());
        self.record.line(&format!("endpoint {} has left", self.name()));
    }

    fn receive(&self, jobs: &Sender<Job>) {
        let mut buf = [0u8; 2048];
        while !self.gone.load(Ordering::Relaxed) {
            let Ok((len, _)) = self.socket.recv_from(&mut buf) else { continue };
            if len < 8 {
                continue;
            }
            let to = u64::from_be_bytes(buf[..8].try_into().unwrap());
            if to != u64::from(self.spec.id) && to != 0 {
                continue;
            }
            let Some(read) = Packet::read(&buf[8..len], Way::ToEndpoint) else { continue };
            if !read.genuine {
                self.record.line(&format!("endpoint {} gets a forged packet", self.name()));
                continue;
            }
            self.handle(&read.packet, jobs);
        }
    }

    fn handle(&self, packet: &Packet, jobs: &Sender<Job>) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let flow = packet.flow;
        if packet.flags & SYN != 0 {
            let next = (u32::from(flow.consumer_port) * 77_003) ^ self.spec.id;
            let is_new = !state.flows.contains_key(&flow);
            let it = state.flows.entry(flow).or_insert(Flow {
                echo: packet.echo,
                next: next.wrapping_add(1),
                expected: packet.seq.wrapping_add(1),
                open: false,
                answer: None,
            });
            it.echo = packet.echo;
            let answer = Packet {
                flow,
                way: Way::ToConsumer,
                flags: SYN | ACK,
                echo: it.echo,
                seq: it.next.wrapping_sub(1),
                ack: it.expected,
                data: Vec::new(),
            };
            if !it.open {
                self.send(&answer);
            }
            if is_new {
                self.record.opening_taken(self.spec.id, flow, packet.ack);
                self.record.line(&format!(
                    "endpoint {} takes the opening packet of {} port {}, copy {}",
                    self.name(),
                    flow.consumer,
                    flow.consumer_port,
                    packet.ack
                ));
            }
            return;
        }
        if packet.flags & RST != 0 {
            state.flows.remove(&flow);
            return;
        }
        let known = state.flows.get_mut(&flow).filter(|it| it.open || packet.ack == it.next);
        let Some(it) = known else {
            if packet.flags & FIN == 0 {
                self.record.line(&format!(
                    "endpoint {} gets a packet of a flow that it doesn't hold: {} port {}",
                    self.name(),
                    flow.consumer,
                    flow.consumer_port
                ));
                self.send(&Packet {
                    flow,
                    way: Way::ToConsumer,
                    flags: RST,
                    echo: packet.echo,
                    seq: packet.ack,
                    ack: packet.seq,
                    data: Vec::new(),
                });
            }
            return;
        };
        it.echo = packet.echo;
        if !it.open {
            it.open = true;
            self.record.flow_opened(self.spec.id, flow);
        }
        if !packet.data.is_empty() {
            if packet.seq == it.expected {
                it.expected = it.expected.wrapping_add(packet.data.len() as u32);
                it.answer = None;
                let id = header(&packet.data, "Request-Id").unwrap_or_default();
                let _ = jobs.send(Job { flow, id });
            } else if let Some(answer) = &it.answer {
                self.send(answer);
            }
        }
        if packet.flags & FIN != 0 {
            let answer = Packet {
                flow,
                way: Way::ToConsumer,
                flags: FIN | ACK,
                echo: it.echo,
                seq: it.next,
                ack: it.expected.wrapping_add(1),
                data: Vec::new(),
            };
            self.send(&answer);
            state.flows.remove(&flow);
            self.record.flow_closed(flow);
        }
    }

    /// Runs requests in one slot.
    fn work(&self, jobs: &Arc<Mutex<Receiver<Job>>>) {
        while !self.gone.load(Ordering::Relaxed) {
            let job = jobs.lock().unwrap().recv_timeout(Duration::from_millis(200));
            let Ok(Job { flow, id }) = job else { continue };
            let runs = self.record.ran(&id, flow, self.spec.service);
            self.record.line(&format!("endpoint {} runs request {id} (run {runs})", self.name()));
            thread::sleep(self.spec.work);
            let mut state = self.state.lock().unwrap();
            let draining = state.draining;
            let Some(it) = state.flows.get_mut(&flow) else {
                self.record.line(&format!("request {id} has run and its flow is gone"));
                continue;
            };
            let body = format!("run of {id}");
            let data = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {:x}\r\nContent-Length: {}\r\n\r\n{body}",
                self.spec.id,
                body.len()
            );
            let answer = Packet {
                flow,
                way: Way::ToConsumer,
                flags: if draining { ACK | FIN } else { ACK },
                echo: it.echo,
                seq: it.next,
                ack: it.expected,
                data: data.into_bytes(),
            };
            it.next = it.next.wrapping_add(answer.data.len() as u32);
            it.answer = Some(answer.clone());
            self.send(&answer);
            if draining {
                state.flows.remove(&flow);
                self.record.flow_closed(flow);
            }
        }
    }

    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(packet.flow.consumer, self.consumer_port);
        let _ = self.socket.send_to(&packet.write(), to);
    }

    fn answer_checks(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.gone.load(Ordering::Relaxed) {
                return;
            }
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let Ok(clone) = stream.try_clone() else { continue };
            if read_request(&mut BufReader::new(clone)).is_none() {
                continue;
            }
            let draining = self.state.lock().unwrap().draining;
            let status = if draining { "503 Service Unavailable" } else { "200 OK" };
            let mut stream = stream;
            let _ = stream.write_all(
                format!(
                    "HTTP/1.1 {status}\r\nInstance-Id: {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                    self.name()
                )
                .as_bytes(),
            );
        }
    }
}

/// Returns a header of a request or an answer.
pub fn header(message: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(message);
    let mut lines = text.split("\r\n").take_while(|it| !it.is_empty());
    lines.find_map(|it| Some(it.strip_prefix(name)?.strip_prefix(':')?.trim().to_owned()))
}
