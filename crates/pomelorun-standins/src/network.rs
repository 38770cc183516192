//! Stand-in for the fabric and for the links between availability zones.
//!
//! Packets of callers are sprayed over the hosts. Each zone reaches each host through a link of
//! its own, which delays datagrams and can be cut.

use std::{
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::line::{Lines, say};

/// A link from a zone to a host.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LinkPlan {
    /// Zone that uses the link.
    pub zone: String,
    /// Host at its end.
    pub host: String,
    /// Zone of that host.
    pub host_zone: String,
    /// Address that the zone sends to.
    pub listen: SocketAddrV4,
    /// Address of the host.
    pub to: SocketAddrV4,
}

/// Shape of the network's first input line.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct NetworkPlan {
    /// Where callers send to.
    pub from_callers: SocketAddrV4,
    /// Where hosts send packets for callers to.
    pub from_hosts: SocketAddrV4,
    /// Where callers listen.
    pub callers: SocketAddrV4,
    /// Latency between callers and hosts, one way, microseconds.
    pub client_latency_us: u64,
    /// Latency between zones, one way, microseconds.
    pub zone_latency_us: u64,
    /// Links between zones and hosts.
    pub links: Vec<LinkPlan>,
    /// Hosts that the fabric sprays over at first.
    pub spray: Vec<SocketAddrV4>,
    /// Seed of the spraying.
    pub seed: u64,
}

/// A command to the network.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NetworkCommand {
    /// Spray over these hosts from now on.
    Spray(Vec<SocketAddrV4>),
    /// Cut these zones off from all others.
    Cut(Vec<String>),
    /// End with a report.
    Stop,
}

/// What the network saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct NetworkReport {
    /// Control messages between hosts, bytes.
    pub control_bytes: u64,
    /// Packets relayed between hosts.
    pub relayed: u64,
    /// Packets of callers.
    pub from_callers: u64,
    /// Packets to callers.
    pub to_callers: u64,
}

#[derive(Default)]
struct Shared {
    spray: Mutex<Vec<SocketAddrV4>>,
    cut: Mutex<Vec<String>>,
    control_bytes: AtomicU64,
    relayed: AtomicU64,
    from_callers: AtomicU64,
    to_callers: AtomicU64,
}

fn lock<T>(it: &Mutex<T>) -> MutexGuard<'_, T> {
    it.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Delayed {
    due: Instant,
    to: SocketAddrV4,
    bytes: Box<[u8]>,
}

const DATAGRAM: usize = 64 << 10;
const SOCKET_BUFFER: usize = 4 << 20;
const CONTROL_MAGIC: &[u8] = b"PM";

/// Runs until told to stop.
///
/// # Errors
/// An address that cannot be bound.
pub fn run_network() -> std::io::Result<()> {
    let Some(text) = std::io::stdin().lines().next().transpose()? else { return Ok(()) };
    let plan: NetworkPlan = serde_json::from_str(&text)?;
    let shared = Arc::new(Shared::default());
    lock(&shared.spray).clone_from(&plan.spray);
    let client = Duration::from_micros(plan.client_latency_us);
    let from_callers = bind(plan.from_callers)?;
    let from_hosts = bind(plan.from_hosts)?;
    let to_hosts = delay_line(from_hosts.try_clone()?, client);
    let to_callers = delay_line(from_hosts.try_clone()?, client);
    spray(from_callers, to_hosts, Arc::clone(&shared), plan.seed);
    deliver(from_hosts, to_callers, plan.callers, Arc::clone(&shared));
    for link in plan.links {
        let socket = bind(link.listen)?;
        let latency = if link.zone == link.host_zone { 0 } else { plan.zone_latency_us };
        carry(socket, link, Duration::from_micros(latency), Arc::clone(&shared))?;
    }
    say(&"ready");
    let lines = Lines::from_stdin();
    while let Some(command) = lines.wait() {
        match command {
            NetworkCommand::Spray(hosts) => *lock(&shared.spray) = hosts,
            NetworkCommand::Cut(zones) => *lock(&shared.cut) = zones,
            NetworkCommand::Stop => break,
        }
    }
    say(&NetworkReport {
        control_bytes: shared.control_bytes.load(Ordering::Relaxed),
        relayed: shared.relayed.load(Ordering::Relaxed),
        from_callers: shared.from_callers.load(Ordering::Relaxed),
        to_callers: shared.to_callers.load(Ordering::Relaxed),
    });
    Ok(())
}

pub(crate) fn bind(addr: SocketAddrV4) -> std::io::Result<UdpSocket> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER)?;
    socket.set_send_buffer_size(SOCKET_BUFFER)?;
    let named = |e: std::io::Error| std::io::Error::new(e.kind(), format!("{addr}: {e}"));
    socket.bind(&std::net::SocketAddr::from(addr).into()).map_err(named)?;
    Ok(socket.into())
}

/// Sends datagrams on after a constant delay, in order.
fn delay_line(socket: UdpSocket, delay: Duration) -> impl Fn(SocketAddrV4, &[u8]) + Send {
    let (tx, rx): (Sender<Delayed>, Receiver<Delayed>) = channel();
    thread::spawn(move || {
        for it in rx {
            let now = Instant::now();
            if it.due > now {
                thread::sleep(it.due - now);
            }
            // A datagram to a closed port is lost, as on any network.
            let _ = socket.send_to(&it.bytes, it.to);
        }
    });
    move |to, bytes| {
        let _ = tx.send(Delayed { due: Instant::now() + delay, to, bytes: bytes.into() });
    }
}

fn spray(
    socket: UdpSocket,
    send: impl Fn(SocketAddrV4, &[u8]) + Send + 'static,
    shared: Arc<Shared>,
    seed: u64,
) {
    thread::spawn(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut buf = vec![0; DATAGRAM];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buf) else { continue };
            shared.from_callers.fetch_add(1, Ordering::Relaxed);
            let hosts = lock(&shared.spray);
            if hosts.is_empty() {
                continue;
            }
            let to = hosts[rng.random_range(0..hosts.len())];
            drop(hosts);
            send(to, &buf[..len]);
        }
    });
}

fn deliver(
    socket: UdpSocket,
    send: impl Fn(SocketAddrV4, &[u8]) + Send + 'static,
    callers: SocketAddrV4,
    shared: Arc<Shared>,
) {
    thread::spawn(move || {
        let mut buf = vec![0; DATAGRAM];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buf) else { continue };
            shared.to_callers.fetch_add(1, Ordering::Relaxed);
            send(callers, &buf[..len]);
        }
    });
}

fn carry(
    socket: UdpSocket,
    link: LinkPlan,
    latency: Duration,
    shared: Arc<Shared>,
) -> std::io::Result<()> {
    let send = delay_line(socket.try_clone()?, latency);
    thread::spawn(move || {
        let mut buf = vec![0; DATAGRAM];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buf) else { continue };
            if buf.starts_with(CONTROL_MAGIC) {
                shared.control_bytes.fetch_add(len as u64, Ordering::Relaxed);
            } else {
                shared.relayed.fetch_add(1, Ordering::Relaxed);
            }
            if link.zone != link.host_zone {
                let cut = lock(&shared.cut);
                if cut.contains(&link.zone) || cut.contains(&link.host_zone) {
                    continue;
                }
            }
            send(link.to, &buf[..len]);
        }
    });
    Ok(())
}
