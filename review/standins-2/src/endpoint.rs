//! Endpoints: they take packets in the form `echo`, answer consumers directly, answer status checks
//! and register themselves in the store.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
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
    /// Requests that wait for a slot, before further ones are rejected.
    pub queue: usize,
    /// Length of the queue of new connections. If given, they wait there until a slot is free.
    pub backlog: Option<i32>,
    /// Address at which the daemons of other zones reach it, if that path is one of its own.
    pub far: Option<Ipv4Addr>,
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
    cold_until: Instant,
    seq: u64,
    written: String,
    flows: HashMap<FlowId, Flow>,
}

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// What waits for a slot.
enum Job {
    Request { flow: FlowId, id: String },
    Check(TcpStream),
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
    cut: AtomicBool,
    /// Requests that run or wait.
    present: AtomicUsize,
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
        if let Some(backlog) = spec.backlog {
            // SAFETY: the descriptor is that of a listening socket, which is open.
            if unsafe { listen(listener.as_raw_fd(), backlog) } != 0 {
                return Err(std::io::Error::last_os_error());
            }
            listener.set_nonblocking(true)?;
        }
        let state = State {
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
            cut: AtomicBool::new(false),
            present: AtomicUsize::new(0),
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
        let (receiver, jobs) = (Arc::clone(&it), tx.clone());
        thread::spawn(move || receiver.receive(&jobs));
        if let Some(ip) = it.spec.far {
            let socket = UdpSocket::bind(SocketAddrV4::new(ip, port))?;
            socket.set_read_timeout(Some(Duration::from_millis(1)))?;
            let (far, jobs) = (Arc::clone(&it), tx.clone());
            thread::spawn(move || far.serve_far(ip, &socket, &jobs));
        }
        let checked = Arc::clone(&it);
        thread::spawn(move || checked.take_checks(&listener, &tx));
        let beating = Arc::clone(&it);
        thread::spawn(move || {
            thread::sleep(beating.spec.first_heartbeat);
            loop {
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
        let Spec { service, zone, slots, .. } = &self.spec;
        let cold_left = it.cold_until.saturating_duration_since(Instant::now()).as_millis();
        it.seq += 1;
        let rest = format!(
            "\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":{cold_left},\"born\":{}",
            self.addr, self.born
        );
        if rest != it.written {
            self.store.put(&self.key(), &format!("{{{rest},\"seq\":{}}}", it.seq));
            self.record.line(&format!("store: {} is ready, cold_left_ms {cold_left}", self.key()));
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

    fn receive(&self, jobs: &Sender<Job>) {
        let mut buf = [0u8; 2048];
        loop {
            let Ok((len, _)) = self.socket.recv_from(&mut buf) else { continue };
            self.take_datagram(&buf[..len], jobs);
        }
    }

    /// Takes a datagram in the form `echo`.
    fn take_datagram(&self, datagram: &[u8], jobs: &Sender<Job>) {
        let Some((to, packet)) = datagram.split_first_chunk::<8>() else { return };
        let to = u64::from_be_bytes(*to);
        if to != u64::from(self.spec.id) && to != 0 {
            return;
        }
        let Some(read) = Packet::read(packet, Way::ToEndpoint) else { return };
        if !read.genuine {
            self.record.line(&format!("endpoint {} gets a forged packet", self.name()));
            return;
        }
        self.handle(&read.packet, jobs);
    }

    fn handle(&self, packet: &Packet, jobs: &Sender<Job>) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let flow = packet.flow;
        if packet.flags & SYN != 0 {
            let next = (u32::from(flow.consumer_port) * 77_003) ^ self.spec.id;
            let is_new = !state.flows.contains_key(&flow);
            if is_new && self.is_full() {
                return;
            }
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
                if self.is_full() {
                    let data = format!(
                        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    );
                    self.record.line(&format!("endpoint {} rejects request {id}", self.name()));
                    let answer = it.answer(flow, data.into_bytes());
                    self.send(&answer);
                } else {
                    self.present.fetch_add(1, Ordering::SeqCst);
                    let _ = jobs.send(Job::Request { flow, id });
                }
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
        loop {
            let job = jobs.lock().unwrap().recv_timeout(Duration::from_millis(200));
            let (flow, id) = match job {
                Ok(Job::Request { flow, id }) => (flow, id),
                Ok(Job::Check(stream)) => {
                    self.answer_check(stream);
                    continue;
                }
                Err(_) => continue,
            };
            let runs = self.record.ran(&id);
            self.record.line(&format!("endpoint {} runs request {id} (run {runs})", self.name()));
            thread::sleep(self.spec.work);
            self.present.fetch_sub(1, Ordering::SeqCst);
            let mut state = self.state.lock().unwrap();
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
            let answer = it.answer(flow, data.into_bytes());
            self.send(&answer);
        }
    }

    /// Returns `true` if all slots and places to wait are taken.
    fn is_full(&self) -> bool {
        self.present.load(Ordering::SeqCst) >= self.spec.slots as usize + self.spec.queue
    }

    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(packet.flow.consumer, self.consumer_port);
        let _ = self.socket.send_to(&packet.write(), to);
    }

    /// Takes status checks, each of which occupies a slot.
    fn take_checks(&self, listener: &TcpListener, jobs: &Sender<Job>) {
        while self.spec.backlog.is_some() {
            if self.present.load(Ordering::SeqCst) < self.spec.slots as usize
                && let Ok((stream, _)) = listener.accept()
            {
                let _ = jobs.send(Job::Check(stream));
            }
            thread::sleep(Duration::from_millis(2));
        }
        for stream in listener.incoming().flatten() {
            let _ = jobs.send(Job::Check(stream));
        }
    }

    /// Serves the path of the daemons of other zones, which refuses connections while it is cut.
    fn serve_far(&self, ip: Ipv4Addr, socket: &UdpSocket, jobs: &Sender<Job>) {
        let mut listener: Option<TcpListener> = None;
        let mut buf = [0u8; 2048];
        loop {
            if self.cut.load(Ordering::Relaxed) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(SocketAddrV4::new(ip, self.addr.port())).ok();
                if let Some(it) = &listener {
                    let _ = it.set_nonblocking(true);
                }
            }
            while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                let _ = jobs.send(Job::Check(stream));
            }
            if let Ok((len, _)) = socket.recv_from(&mut buf)
                && !self.cut.load(Ordering::Relaxed)
            {
                self.take_datagram(&buf[..len], jobs);
            }
        }
    }

    /// Cuts the path of the daemons of other zones, or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
        let what = if cut { "cut" } else { "healed" };
        self.record.line(&format!("the path of other zones to endpoint {} is {what}", self.name()));
    }

    fn answer_check(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        read_request(&mut BufReader::new(stream.try_clone().ok()?))?;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            self.name()
        );
        stream.write_all(answer.as_bytes()).ok()
    }
}

impl Flow {
    /// Returns the answer to the request that was read last, and keeps it for copies of the request.
    fn answer(&mut self, flow: FlowId, data: Vec<u8>) -> Packet {
        let answer = Packet {
            flow,
            way: Way::ToConsumer,
            flags: ACK,
            echo: self.echo,
            seq: self.next,
            ack: self.expected,
            data,
        };
        self.next = self.next.wrapping_add(answer.data.len() as u32);
        self.answer = Some(answer.clone());
        answer
    }
}

/// Returns a header of a request or an answer.
pub fn header(message: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(message);
    let mut lines = text.split("\r\n").take_while(|it| !it.is_empty());
    lines.find_map(|it| Some(it.strip_prefix(name)?.strip_prefix(':')?.trim().to_owned()))
}
