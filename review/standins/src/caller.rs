//! Callers of one zone: open flows, send requests, retransmit, and see what comes back.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    clock::now_ms,
    fabric::Fabric,
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
};

/// How callers use flows.
#[derive(Clone, Copy)]
pub enum Habit {
    /// So many flows stay open, each with a request every so many milliseconds.
    Long { flows: usize, every_ms: u64 },
    /// So many requests a second, a flow each.
    Fresh { per_s: f64 },
    /// So many ports, each with one flow at a time: a request, then the endpoint closes the flow and the
    /// caller does, then a pause before the next flow from the same port.
    SamePorts { ports: u16, pause_ms: u64 },
    /// The same with flows that carry 4 to 11 requests each, one every so many milliseconds.
    SamePortsLong { ports: u16, every_ms: u64, pause_ms: u64 },
}

#[derive(Clone)]
pub struct CallerSpec {
    pub zone: String,
    pub ip: Ipv4Addr,
    pub port: u16,
    pub route: (Ipv4Addr, u16),
    pub habit: Habit,
    pub deadline_ms: u64,
}

/// What callers have seen.
#[derive(Default)]
pub struct Seen {
    pub sent: u64,
    pub answered: u64,
    pub refused: u64,
    pub not_opened: u64,
    pub late: u64,
    /// Resets of the system on open flows.
    pub system_resets: Vec<SystemReset>,
    /// How many of these flows had a request at work.
    pub broken_requests: u64,
    pub endpoint_resets: u64,
    /// Resets of the system on open flows whose sequence number is out of the window.
    pub stray_resets: u64,
    pub altered: u64,
    /// When each copy of an opening packet was sent, by caller and initial sequence number.
    pub opening_sent: HashMap<(u32, u16, u32), Vec<u64>>,
    /// Initial sequence number of the endpoint of each flow.
    pub opened_at: HashMap<(u32, u16), u32>,
}

/// A reset of the system on an open flow.
#[derive(Clone)]
pub struct SystemReset {
    pub at_ms: u64,
    pub caller: (u32, u16),
    /// Initial sequence number of the flow's endpoint.
    pub first: u32,
    /// Daemon that sent it.
    pub from: IpAddr,
    /// `true` if a request was at work.
    pub at_work: bool,
}

#[derive(PartialEq)]
enum Phase {
    Opening,
    Waiting,
    Pausing(u64),
    /// The last request is answered, and the endpoint's FIN is awaited.
    Closing,
    /// Both ends have sent a FIN, or the attempt has ended; the port opens the next flow at this time.
    Closed(u64),
}

struct Flow {
    phase: Phase,
    since: u64,
    copies: usize,
    seq: u32,
    ack: u32,
    first: u32,
    echo: u32,
    requests: u32,
}

impl Flow {
    /// Returns how many requests the flow carries.
    fn most(&self, habit: Habit) -> u32 {
        match habit {
            Habit::Long { .. } => 400,
            Habit::Fresh { .. } | Habit::SamePorts { .. } => 1,
            // Differently for each flow.
            Habit::SamePortsLong { .. } => 4 + self.first % 8,
        }
    }

    /// Returns the next request. The last one of a flow from a port that is used again asks the endpoint to
    /// close the flow after its response, as `Connection: close` does.
    fn request(&self, habit: Habit) -> Vec<u8> {
        let keeps_port = matches!(habit, Habit::SamePorts { .. } | Habit::SamePortsLong { .. });
        let is_last = keeps_port && self.requests + 1 >= self.most(habit);
        vec![if is_last { CLOSE } else { b'q' }; 120]
    }

    fn opening(seq: u32, now: u64) -> Flow {
        Flow {
            phase: Phase::Opening,
            since: now,
            copies: 0,
            seq,
            ack: 0,
            first: 0,
            echo: 0,
            requests: 0,
        }
    }
}

/// What a request consists of that asks the endpoint to close the flow after its response.
pub const CLOSE: u8 = b'c';
const OPEN_COPIES_MS: [u64; 3] = [0, 200, 600];
const DATA_COPIES_MS: [u64; 5] = [0, 200, 600, 1_400, 3_000];

/// Runs callers until `stop`.
pub fn run(
    spec: CallerSpec,
    fabric: Arc<Fabric>,
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    record: Record,
) {
    let udp = UdpSocket::bind((spec.ip, spec.port)).expect("bind callers");
    udp.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    std::thread::spawn(move || {
        let src = u32::from(spec.ip);
        let dst = u32::from(spec.route.0);
        let mut flows: HashMap<u16, Flow> = HashMap::new();
        let mut next_port: u16 = 20_000;
        let mut started = now_ms();
        let mut owed = 0.0;
        let mut buf = [0; 2048];
        let (keeps_port, pause_ms) = match spec.habit {
            Habit::SamePorts { pause_ms, .. } | Habit::SamePortsLong { pause_ms, .. } => {
                (true, pause_ms)
            }
            Habit::Long { .. } | Habit::Fresh { .. } => (false, 0),
        };
        let send = |port: u16, f: &Flow, flags: u8, ack: u32, data: Vec<u8>| {
            let p = Packet {
                flags,
                src,
                sport: port,
                dst,
                dport: spec.route.1,
                echo: f.echo,
                seq: f.seq,
                ack,
                data,
                ..Packet::default()
            };
            let to = fabric.route(&spec.zone, (src, port, dst, spec.route.1));
            let _ = udp.send_to(&p.encode(), to);
        };
        while !stop.load(Ordering::SeqCst) {
            let now = now_ms();
            let mut to_open = 0;
            match spec.habit {
                // Opened gradually at the start.
                Habit::Long { flows: most, .. } => {
                    if flows.len() < most && now >= started + 10 {
                        started = now;
                        to_open = 1;
                    }
                }
                Habit::SamePorts { ports, .. } | Habit::SamePortsLong { ports, .. } => {
                    // Opened gradually at the start, over five seconds.
                    let due = ((now - started) as usize * usize::from(ports) / 5_000)
                        .min(usize::from(ports));
                    to_open = due.saturating_sub(flows.len());
                }
                Habit::Fresh { per_s } => {
                    owed += (now - started) as f64 * per_s / 1_000.0;
                    started = now;
                    to_open = owed as usize;
                    owed -= to_open as f64;
                }
            }
            for _ in 0..to_open {
                next_port = if next_port >= 60_000 { 20_000 } else { next_port + 1 };
                let seq = u32::from(next_port).wrapping_mul(77_777);
                flows.insert(next_port, Flow::opening(seq, now));
            }
            let mut ended = Vec::new();
            for (&port, f) in &mut flows {
                let waited = now - f.since;
                match f.phase {
                    Phase::Closed(until) => {
                        if now >= until {
                            let seq = f.seq.wrapping_add(1_000_003);
                            *f = Flow::opening(seq, now);
                        }
                    }
                    Phase::Closing => {
                        if DATA_COPIES_MS.get(f.copies).is_some_and(|it| waited >= *it) {
                            send(port, f, FIN | ACK, f.ack, Vec::new());
                            f.copies += 1;
                        } else if waited >= 5_000 {
                            f.phase = Phase::Closed(now + pause_ms);
                        }
                    }
                    Phase::Opening if waited >= 1_400 => {
                        seen.lock().unwrap().not_opened += 1;
                        if keeps_port {
                            f.phase = Phase::Closed(now + pause_ms);
                        } else {
                            ended.push(port);
                        }
                    }
                    Phase::Opening => {
                        if OPEN_COPIES_MS.get(f.copies).is_some_and(|it| waited >= *it) {
                            let mut s = seen.lock().unwrap();
                            s.opening_sent.entry((src, port, f.seq)).or_default().push(now_ms());
                            s.sent += u64::from(f.copies == 0);
                            drop(s);
                            send(port, f, SYN, f.copies as u32, Vec::new());
                            f.copies += 1;
                        }
                    }
                    Phase::Waiting if waited >= spec.deadline_ms => {
                        seen.lock().unwrap().late += 1;
                        send(port, f, RST, f.ack, Vec::new());
                        if keeps_port {
                            f.phase = Phase::Closed(now + pause_ms);
                        } else {
                            ended.push(port);
                        }
                    }
                    Phase::Waiting => {
                        if DATA_COPIES_MS.get(f.copies).is_some_and(|it| waited >= *it) {
                            send(port, f, ACK, f.ack, f.request(spec.habit));
                            f.copies += 1;
                        }
                    }
                    Phase::Pausing(until) if now >= until => {
                        if f.requests >= 400 {
                            send(port, f, FIN | ACK, f.ack, Vec::new());
                            ended.push(port);
                            continue;
                        }
                        (f.phase, f.since, f.copies) = (Phase::Waiting, now, 1);
                        seen.lock().unwrap().sent += 1;
                        send(port, f, ACK, f.ack, f.request(spec.habit));
                    }
                    Phase::Pausing(_) => {}
                }
            }
            ended.drain(..).for_each(|it| {
                flows.remove(&it);
            });
            while let Ok((len, from)) = udp.recv_from(&mut buf) {
                let Some(p) = Packet::decode(&buf[..len]) else {
                    seen.lock().unwrap().altered += 1;
                    continue;
                };
                let is_system = p.sum == 0 && p.has(RST);
                if !is_system && p.keyed_sum() != p.sum {
                    seen.lock().unwrap().altered += 1;
                    continue;
                }
                let Some(f) = flows.get_mut(&p.dport) else { continue };
                if p.src != dst || p.sport != spec.route.1 {
                    continue;
                }
                if p.has(RST) {
                    let mut s = seen.lock().unwrap();
                    let in_window =
                        p.seq.wrapping_sub(f.ack) <= 76_800 || f.ack.wrapping_sub(p.seq) <= 76_800;
                    if matches!(f.phase, Phase::Closed(_)) {
                        continue;
                    }
                    match (is_system, f.phase == Phase::Opening) {
                        (true, true) => s.refused += 1,
                        (true, false) if !in_window => {
                            s.stray_resets += 1;
                            continue;
                        }
                        (true, false) => {
                            s.system_resets.push(SystemReset {
                                at_ms: now_ms(),
                                caller: (src, p.dport),
                                first: f.first,
                                from: from.ip(),
                                at_work: f.phase == Phase::Waiting,
                            });
                            s.broken_requests += u64::from(f.phase == Phase::Waiting);
                            record.line(&format!(
                                "caller {}:{} gets a reset of the system from {} on an open flow",
                                spec.ip,
                                p.dport,
                                from.ip()
                            ));
                        }
                        (false, _) => s.endpoint_resets += 1,
                    }
                    drop(s);
                    if keeps_port {
                        f.phase = Phase::Closed(now_ms() + pause_ms);
                    } else {
                        flows.remove(&p.dport);
                    }
                    continue;
                }
                if p.has(SYN) {
                    if f.phase != Phase::Opening || p.ack != f.seq.wrapping_add(1) {
                        continue;
                    }
                    f.echo = p.echo;
                    f.seq = p.ack;
                    f.first = p.seq;
                    f.ack = p.seq.wrapping_add(1);
                    (f.phase, f.since, f.copies) = (Phase::Waiting, now_ms(), 1);
                    seen.lock().unwrap().opened_at.insert((src, p.dport), f.first);
                    send(p.dport, f, ACK, f.ack, f.request(spec.habit));
                    continue;
                }
                if matches!(f.phase, Phase::Closed(_) | Phase::Opening) {
                    continue;
                }
                f.echo = p.echo;
                if p.has(FIN) && keeps_port {
                    send(p.dport, f, FIN | ACK, p.seq.wrapping_add(1), Vec::new());
                    f.phase = Phase::Closed(now_ms() + pause_ms);
                    continue;
                }
                if p.has(FIN) {
                    send(p.dport, f, FIN | ACK, p.seq.wrapping_add(1), Vec::new());
                    flows.remove(&p.dport);
                    continue;
                }
                if f.phase != Phase::Waiting || p.data.is_empty() || p.seq != f.ack {
                    continue;
                }
                f.ack = f.ack.wrapping_add(p.data.len() as u32);
                f.seq = f.seq.wrapping_add(120);
                f.requests += 1;
                seen.lock().unwrap().answered += 1;
                if keeps_port && f.requests >= f.most(spec.habit) {
                    send(p.dport, f, ACK, f.ack, Vec::new());
                    (f.phase, f.since, f.copies) = (Phase::Closing, now_ms(), 1);
                    continue;
                }
                match spec.habit {
                    Habit::Long { every_ms, .. } | Habit::SamePortsLong { every_ms, .. } => {
                        send(p.dport, f, ACK, f.ack, Vec::new());
                        f.phase = Phase::Pausing(now_ms() + every_ms);
                    }
                    Habit::Fresh { .. } => {
                        send(p.dport, f, FIN | ACK, f.ack, Vec::new());
                        flows.remove(&p.dport);
                    }
                    Habit::SamePorts { .. } => {}
                }
            }
        }
    });
}
