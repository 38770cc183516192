//! Consumers: they open flows through the routers and send requests on them.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    endpoint::header,
    packet::{ACK, FIN, FlowId, Packet, RST, SYN, Way},
    record::{Record, ResetBy},
    router::Router,
};

/// Times of the copies of an opening packet, and when the attempt ends.
const COPIES: [u64; 4] = [0, 200, 600, 1_400];

pub struct Consumer {
    ip: Ipv4Addr,
    zone: &'static str,
    socket: UdpSocket,
    router: Arc<Router>,
    record: Arc<Record>,
    flows: Mutex<HashMap<u16, Sender<Packet>>>,
    next_port: AtomicU32,
    stopped: AtomicBool,
}

/// How an attempt of a consumer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    /// The endpoint has closed the flow with its answer.
    AnsweredAndClosed,
    Reset,
    TimedOut,
}

pub struct Flow {
    consumer: Arc<Consumer>,
    pub id: FlowId,
    rx: Receiver<Packet>,
    echo: u32,
    next: u32,
    expected: u32,
}

static NEXT_REQUEST: AtomicU32 = AtomicU32::new(1);

impl Consumer {
    pub fn start(
        ip: Ipv4Addr,
        port: u16,
        zone: &'static str,
        router: &Arc<Router>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Consumer>> {
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, port))?;
        socket.set_read_timeout(Some(Duration::from_millis(200)))?;
        let it = Arc::new(Consumer {
            ip,
            zone,
            socket,
            router: Arc::clone(router),
            record: Arc::clone(record),
            flows: Mutex::default(),
            next_port: AtomicU32::new(40_000),
            stopped: AtomicBool::new(false),
        });
        let receiver = Arc::clone(&it);
        thread::spawn(move || receiver.receive());
        Ok(it)
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn receive(&self) {
        let mut buf = [0u8; 2048];
        while !self.stopped.load(Ordering::Relaxed) {
            let Ok((len, _)) = self.socket.recv_from(&mut buf) else { continue };
            let Some(read) = Packet::read(&buf[..len], Way::ToConsumer) else { continue };
            let packet = read.packet;
            let own_reset = packet.flags == RST && read.sum == 0 && packet.data.is_empty();
            if !read.genuine && !own_reset {
                self.record.line("a consumer gets a forged packet");
                continue;
            }
            if packet.flags & RST != 0 {
                let by = if own_reset { ResetBy::System } else { ResetBy::Endpoint };
                self.record.reset(packet.flow, by);
            }
            if let Some(tx) = self.flows.lock().unwrap().get(&packet.flow.consumer_port) {
                let _ = tx.send(packet);
            }
        }
    }

    fn send(&self, packet: &Packet) {
        let Some(to) = self.router.pick(&packet.flow, self.zone) else { return };
        let _ = self.socket.send_to(&packet.write(), to);
    }

    /// Opens a flow from a new port, or returns `None` if the attempt ended.
    pub fn open(self: &Arc<Consumer>, route: SocketAddrV4) -> Option<Flow> {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed) as u16;
        let id = FlowId {
            consumer: self.ip,
            consumer_port: port,
            route: *route.ip(),
            route_port: route.port(),
        };
        let (tx, rx) = channel();
        self.flows.lock().unwrap().insert(port, tx);
        let seq = 0x1122_0000 ^ (u32::from(port) * 40_503);
        let started = Instant::now();
        for (copy, until) in (0u32..).zip(&COPIES[1..]) {
            let packet = Packet {
                flow: id,
                way: Way::ToEndpoint,
                flags: SYN,
                echo: 0,
                seq,
                ack: copy,
                data: Vec::new(),
            };
            self.record.opening_sent(id, copy);
            self.send(&packet);
            let end = started + Duration::from_millis(*until);
            loop {
                match rx.recv_timeout(end.saturating_duration_since(Instant::now())) {
                    Ok(it) if it.flags & RST != 0 => {
                        self.forget(port);
                        return None;
                    }
                    Ok(it) if it.flags == SYN | ACK && it.ack == seq.wrapping_add(1) => {
                        return Some(Flow {
                            consumer: Arc::clone(self),
                            id,
                            rx,
                            echo: it.echo,
                            next: seq.wrapping_add(1),
                            expected: it.seq.wrapping_add(1),
                        });
                    }
                    Ok(_) => {}
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => return None,
                }
            }
        }
        self.forget(port);
        None
    }

    fn forget(&self, port: u16) {
        self.flows.lock().unwrap().remove(&port);
    }
}

impl Flow {
    fn packet(&self, flags: u8, data: Vec<u8>) -> Packet {
        Packet {
            flow: self.id,
            way: Way::ToEndpoint,
            flags,
            echo: self.echo,
            seq: self.next,
            ack: self.expected,
            data,
        }
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self, method: &str, deadline: Duration) -> Outcome {
        let id = format!("{:08x}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
        let record = Arc::clone(&self.consumer.record);
        let FlowId { consumer, consumer_port, .. } = self.id;
        let body = "x".repeat(400);
        let data = format!(
            "{method} /{id} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id.route,
            body.len()
        );
        let packet = self.packet(ACK, data.into_bytes());
        record.line(&format!("{consumer} port {consumer_port} sends request {id}"));
        let end = Instant::now() + deadline;
        let mut delay = Duration::from_millis(200);
        self.consumer.send(&packet);
        let mut again = Instant::now() + delay;
        let outcome = loop {
            let until = again.min(end).saturating_duration_since(Instant::now());
            match self.rx.recv_timeout(until) {
                Ok(it) if it.flags & RST != 0 => break Outcome::Reset,
                Ok(it) if it.flags & SYN == 0 && !it.data.is_empty() && it.seq == self.expected => {
                    self.echo = it.echo;
                    self.next = self.next.wrapping_add(packet.data.len() as u32);
                    self.expected = self.expected.wrapping_add(it.data.len() as u32);
                    let answered = header(&it.data, "Request-Id").as_deref() == Some(id.as_str());
                    if !answered {
                        record.line(&format!("request {id} gets a foreign answer"));
                    }
                    record.answered(&id);
                    let closed = it.flags & FIN != 0;
                    let flags = if closed { ACK | FIN } else { ACK };
                    self.consumer.send(&self.packet(flags, Vec::new()));
                    break if closed { Outcome::AnsweredAndClosed } else { Outcome::Answered };
                }
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => break Outcome::TimedOut,
                Err(RecvTimeoutError::Timeout) if Instant::now() >= end => break Outcome::TimedOut,
                Err(RecvTimeoutError::Timeout) => {
                    self.consumer.send(&packet);
                    delay = (delay * 2).min(Duration::from_millis(1_600));
                    again = Instant::now() + delay;
                }
            }
        };
        record.line(&format!("request {id}: {outcome:?}"));
        outcome
    }

    /// Closes the flow.
    pub fn close(self) {
        self.consumer.send(&self.packet(ACK | FIN, Vec::new()));
        self.consumer.record.flow_closed(self.id);
        let (consumer, port) = (Arc::clone(&self.consumer), self.id.consumer_port);
        consumer.forget(port);
    }
}
