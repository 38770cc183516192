//! Endpoints: hold flows, answer callers directly, register themselves in the store.

use std::{
    collections::{HashMap, HashSet},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    caller::CLOSE,
    clock::{now_ms, unix_ms},
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
    store::Store,
};

/// What an endpoint is started with.
#[derive(Clone)]
pub struct EndpointSpec {
    pub id: u64,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddrV4,
    pub slots: u32,
    /// Time that a request takes.
    pub work_ms: u64,
    /// Time for which the endpoint is cold after its start.
    pub cold_ms: u64,
    /// Port at which callers receive datagrams.
    pub caller_port: u16,
    pub heartbeat_ms: u64,
    pub answer_bytes: usize,
    /// How far the time of day of its machine is ahead.
    pub clock_ahead_ms: u64,
}

/// A flow that opened at an endpoint.
#[derive(Debug, Clone)]
pub struct Opened {
    pub caller: (u32, u16),
    /// Initial sequence number of the caller.
    pub seq: u32,
    /// Address and port that the caller sent it to.
    pub sent_to: (u32, u16),
    /// Initial sequence number of the endpoint.
    pub first: u32,
    /// Which copy of the opening packet the endpoint took, and when it arrived.
    pub copy: u32,
    pub arrived_ms: u64,
    /// Host that sent the opening packet.
    pub via: Ipv4Addr,
}

/// A request that ran.
#[derive(Debug, Clone, Copy)]
pub struct Ran {
    pub at_ms: u64,
    pub caller: (u32, u16),
    pub sent_to: (u32, u16),
    /// Endpoint that the datagram named; 0 for any.
    pub named: u64,
}

/// An endpoint that runs.
pub struct Endpoint {
    pub spec: EndpointSpec,
    pub started_ms: u64,
    pub opened: Arc<Mutex<Vec<Opened>>>,
    /// Requests that ran: when they began, their caller and the address that they were sent to.
    pub ran: Arc<Mutex<Vec<Ran>>>,
    pub altered: Arc<AtomicU64>,
    pub draining: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    store: Store,
    born: u64,
}

struct Held {
    /// Sequence number of the opening packet.
    opened_by: u32,
    first: u32,
    next: u32,
    sent: u32,
    copy: u32,
    arrived_ms: u64,
    via: Ipv4Addr,
    open: bool,
    echo: u32,
    /// The answer that is not acknowledged yet, when it is due again, and how often it was sent.
    unacked: Option<(Packet, Instant, u32)>,
    due: Option<Instant>,
    /// `true` if the caller has asked for the flow to be closed after the response.
    close: bool,
    fin_sent: bool,
}

impl Endpoint {
    pub fn start(spec: EndpointSpec, store: &Store, record: &Record) -> Endpoint {
        let udp = UdpSocket::bind(spec.addr).expect("bind an endpoint");
        udp.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let tcp = TcpListener::bind(spec.addr).expect("bind a status check");
        tcp.set_nonblocking(true).unwrap();
        let it = Endpoint {
            started_ms: now_ms(),
            opened: Arc::default(),
            ran: Arc::default(),
            altered: Arc::default(),
            draining: Arc::default(),
            stop: Arc::default(),
            store: store.clone(),
            born: unix_ms() + spec.clock_ahead_ms,
            spec,
        };
        record.line(&format!(
            "endpoint {:08x} of {} in {} starts at {} cold for {} ms",
            it.spec.id, it.spec.service, it.spec.zone, it.spec.addr, it.spec.cold_ms
        ));
        it.serve_health(tcp);
        it.serve_flows(udp, record.clone());
        it.register();
        it
    }

    /// Ends the endpoint like a crash: it sends nothing more and its entry stays until it expires.
    pub fn crash(&self) {
        self.stop.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(30));
    }

    pub fn is_cold(&self, at_ms: u64) -> bool {
        at_ms >= self.started_ms && at_ms < self.started_ms + self.spec.cold_ms
    }

    pub fn key(&self) -> String {
        format!("servers/i-{:08x}", self.spec.id)
    }

    /// Reports to the store that the endpoint drains.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.store.put(&self.key(), self.entry(1_000_000).as_bytes());
    }

    fn entry(&self, seq: u64) -> String {
        entry(&self.spec, self.started_ms, self.born, self.draining.load(Ordering::SeqCst), seq)
    }

    fn register(&self) {
        let (spec, store, key) = (self.spec.clone(), self.store.clone(), self.key());
        let (stop, draining) = (Arc::clone(&self.stop), Arc::clone(&self.draining));
        let (started, born) = (self.started_ms, self.born);
        let beat = Duration::from_millis(self.spec.heartbeat_ms);
        store.put(&key, self.entry(1).as_bytes());
        std::thread::spawn(move || {
            let (mut seq, mut last) = (1, Instant::now());
            while !stop.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(10));
                if last.elapsed() >= beat {
                    seq += 1;
                    last = Instant::now();
                    let draining = draining.load(Ordering::SeqCst);
                    store.put(&key, entry(&spec, started, born, draining, seq).as_bytes());
                }
            }
        });
    }

    fn serve_health(&self, tcp: TcpListener) {
        let (stop, id, draining) =
            (Arc::clone(&self.stop), self.spec.id, Arc::clone(&self.draining));
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok((mut stream, _)) = tcp.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let draining = draining.load(Ordering::SeqCst);
                std::thread::spawn(move || {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                    let mut buf = [0; 1024];
                    if stream.read(&mut buf).unwrap_or(0) > 0 {
                        let status = if draining { "503 X" } else { "200 OK" };
                        let text = format!(
                            "HTTP/1.1 {status}\r\nInstance-Id: i-{id:08x}\r\nContent-Length: 0\r\n\
                             Connection: close\r\n\r\n"
                        );
                        let _ = stream.write_all(text.as_bytes());
                    }
                });
            }
        });
    }

    fn serve_flows(&self, udp: UdpSocket, record: Record) {
        let spec = self.spec.clone();
        let (stop, opened, altered) =
            (Arc::clone(&self.stop), Arc::clone(&self.opened), Arc::clone(&self.altered));
        let ran = Arc::clone(&self.ran);
        let draining = Arc::clone(&self.draining);
        std::thread::spawn(move || {
            let mut flows: HashMap<(u32, u16, u32, u16), Held> = HashMap::new();
            let mut ended: HashSet<(u32, u16, u32, u16)> = HashSet::new();
            let mut next_seq: u32 = (spec.id as u32).wrapping_mul(2_654_435_761);
            let mut slots = vec![Instant::now(); spec.slots as usize];
            let mut buf = [0; 2048];
            let send = |it: &Packet| {
                let to = SocketAddrV4::new(Ipv4Addr::from(it.dst), spec.caller_port);
                let _ = udp.send_to(&it.encode(), to);
            };
            while !stop.load(Ordering::SeqCst) {
                if let Ok((len, from)) = udp.recv_from(&mut buf) {
                    let via = match from.ip() {
                        std::net::IpAddr::V4(it) => it,
                        std::net::IpAddr::V6(_) => continue,
                    };
                    let intended = buf.first_chunk::<8>().map(|it| u64::from_be_bytes(*it));
                    if intended != Some(spec.id) && intended != Some(0) {
                        continue;
                    }
                    let Some(p) = Packet::decode(&buf[8..len]) else {
                        altered.fetch_add(1, Ordering::SeqCst);
                        continue;
                    };
                    if p.keyed_sum() != p.sum {
                        altered.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("endpoint {:08x} got an altered packet", spec.id));
                        continue;
                    }
                    let key = (p.src, p.sport, p.dst, p.dport);
                    let reply = |flags: u8, seq: u32, ack: u32, echo: u32| Packet {
                        flags,
                        src: p.dst,
                        sport: p.dport,
                        dst: p.src,
                        dport: p.sport,
                        echo,
                        seq,
                        ack,
                        ..Packet::default()
                    };
                    if p.has(SYN) {
                        let held = flows.entry(key).or_insert_with(|| {
                            next_seq = next_seq.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                            Held {
                                opened_by: p.seq,
                                first: next_seq,
                                next: p.seq.wrapping_add(1),
                                sent: next_seq.wrapping_add(1),
                                copy: p.ack,
                                arrived_ms: now_ms(),
                                via,
                                open: false,
                                echo: p.echo,
                                unacked: None,
                                due: None,
                                close: false,
                                fin_sent: false,
                            }
                        });
                        held.echo = p.echo;
                        send(&reply(SYN | ACK, held.first, held.next, p.echo));
                        continue;
                    }
                    let known = flows.get(&key).is_some_and(|it| {
                        it.open || p.ack == it.first.wrapping_add(1) || p.has(RST)
                    });
                    if !known && ended.contains(&key) && p.data.is_empty() {
                        if p.has(FIN) {
                            send(&reply(ACK, p.ack, p.seq.wrapping_add(1), p.echo));
                        }
                        continue;
                    }
                    if !known {
                        if !p.has(RST) {
                            send(&reply(RST, p.ack, 0, p.echo));
                        }
                        continue;
                    }
                    if p.has(RST) {
                        flows.remove(&key);
                        continue;
                    }
                    let Some(held) = flows.get_mut(&key) else { continue };
                    held.echo = p.echo;
                    if !held.open {
                        held.open = true;
                        opened.lock().unwrap().push(Opened {
                            caller: (p.src, p.sport),
                            seq: held.opened_by,
                            first: held.first,
                            sent_to: (p.dst, p.dport),
                            copy: held.copy,
                            arrived_ms: held.arrived_ms,
                            via: held.via,
                        });
                    }
                    if p.ack == held.sent {
                        held.unacked = None;
                    }
                    if !p.data.is_empty() && p.seq == held.next && held.due.is_none() {
                        held.next = held.next.wrapping_add(p.data.len() as u32);
                        let slot = slots.iter_mut().min().unwrap();
                        *slot = (*slot).max(Instant::now()) + Duration::from_millis(spec.work_ms);
                        held.due = Some(*slot);
                        held.close = p.data[0] == CLOSE;
                        ran.lock().unwrap().push(Ran {
                            at_ms: now_ms(),
                            caller: (p.src, p.sport),
                            sent_to: (p.dst, p.dport),
                            named: intended.unwrap_or(0),
                        });
                    }
                    if p.has(FIN) {
                        let flags = if held.fin_sent { ACK } else { FIN | ACK };
                        send(&reply(flags, held.sent, p.seq.wrapping_add(1), p.echo));
                        flows.remove(&key);
                        ended.insert(key);
                    }
                }
                let now = Instant::now();
                for (key, held) in &mut flows {
                    if held.due.is_some_and(|it| it <= now) {
                        held.due = None;
                        let data = vec![b'r'; spec.answer_bytes];
                        let it = Packet {
                            flags: ACK,
                            src: key.2,
                            sport: key.3,
                            dst: key.0,
                            dport: key.1,
                            echo: held.echo,
                            seq: held.sent,
                            ack: held.next,
                            data,
                            ..Packet::default()
                        };
                        held.sent = held.sent.wrapping_add(spec.answer_bytes as u32);
                        send(&it);
                        // A draining endpoint closes each flow after its next response.
                        if draining.load(Ordering::SeqCst) || held.close {
                            held.fin_sent = true;
                            let fin = Packet {
                                flags: FIN | ACK,
                                seq: held.sent,
                                data: Vec::new(),
                                ..it.clone()
                            };
                            send(&fin);
                        }
                        held.unacked = Some((it, now + Duration::from_millis(200), 1));
                    }
                    if let Some((it, at, times)) = &mut held.unacked
                        && *at <= now
                        && *times <= 8
                    {
                        send(it);
                        *at = now + Duration::from_millis((200 << (*times).min(3)).min(1_600));
                        *times += 1;
                    }
                }
            }
        });
    }
}

/// Returns an endpoint's entry.
fn entry(spec: &EndpointSpec, started: u64, born: u64, draining: bool, seq: u64) -> String {
    let left = (started + spec.cold_ms).saturating_sub(now_ms());
    let state = if draining { "draining" } else { "ready" };
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
         \"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":{left},\"seq\":{seq},\
         \"born\":{born}}}",
        spec.service, spec.addr, spec.zone, spec.slots
    )
}
