//! The platform's routers: which daemon a caller's packet goes to.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::record::Record;

struct Daemon {
    zone: String,
    ip: Ipv4Addr,
    in_rotation: Arc<AtomicBool>,
}

/// Daemons of all zones with their rotation.
pub struct Fabric {
    daemons: Vec<Daemon>,
    port: u16,
}

impl Fabric {
    /// Polls `/ready` of each daemon twice a second until the process ends.
    pub fn start(
        daemons: &[(String, Ipv4Addr)],
        port: u16,
        ready_port: u16,
        record: &Record,
    ) -> Arc<Fabric> {
        let daemons: Vec<Daemon> = daemons
            .iter()
            .map(|(zone, ip)| Daemon {
                zone: zone.clone(),
                ip: *ip,
                in_rotation: Arc::new(AtomicBool::new(false)),
            })
            .collect();
        for it in &daemons {
            let (ip, flag, record) = (it.ip, Arc::clone(&it.in_rotation), record.clone());
            std::thread::spawn(move || {
                let mut misses = 2;
                let mut next = Instant::now();
                loop {
                    let ready = poll(SocketAddrV4::new(ip, ready_port));
                    misses = if ready { 0 } else { misses + 1 };
                    let in_rotation = ready || misses < 2;
                    if flag.swap(in_rotation, Ordering::SeqCst) != in_rotation {
                        record.line(&format!("router: {ip} in rotation: {in_rotation}"));
                    }
                    next += Duration::from_millis(500);
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
        Arc::new(Fabric { daemons, port })
    }

    pub fn all_in_rotation(&self) -> bool {
        self.daemons.iter().all(|it| it.in_rotation.load(Ordering::SeqCst))
    }

    /// Returns the daemon for a packet, by `mod` over the daemons in rotation.
    pub fn route(&self, zone: &str, flow: (u32, u16, u32, u16)) -> SocketAddrV4 {
        let live = |it: &&Daemon| it.in_rotation.load(Ordering::SeqCst);
        let of_zone: Vec<&Daemon> = self.daemons.iter().filter(|it| it.zone == zone).collect();
        let mut used: Vec<&Daemon> = of_zone.iter().copied().filter(live).collect();
        if used.is_empty() {
            used = self.daemons.iter().filter(live).collect();
            if used.is_empty() {
                used = of_zone;
            }
        } else if used.len() * 2 < of_zone.len() {
            used = of_zone;
        }
        let hash = [u64::from(flow.0), u64::from(flow.1), u64::from(flow.2), u64::from(flow.3)]
            .iter()
            .fold(0xcbf2_9ce4_8422_2325u64, |h, it| {
                (h ^ it).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
            });
        SocketAddrV4::new(used[(hash >> 11) as usize % used.len()].ip, self.port)
    }
}

fn poll(addr: SocketAddrV4) -> bool {
    let timeout = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(addr), timeout) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(timeout));
    let text = format!("GET /ready HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    let mut buf = [0; 64];
    stream.write_all(text.as_bytes()).is_ok()
        && stream.read(&mut buf).is_ok_and(|len| buf[..len].starts_with(b"HTTP/1.1 200"))
}
