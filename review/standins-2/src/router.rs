//! The platform's routers: they hand packets to the daemons in rotation by a hash.

use std::{
    io::{Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{packet::FlowId, record::Record};

struct Daemon {
    zone: &'static str,
    data: SocketAddrV4,
    misses: u32,
    in_rotation: bool,
}

pub struct Router {
    daemons: Mutex<Vec<Daemon>>,
}

impl Router {
    pub fn new() -> Arc<Router> {
        Arc::new(Router { daemons: Mutex::default() })
    }

    /// Adds a daemon, which is in rotation once it is ready.
    pub fn add(
        self: &Arc<Router>,
        zone: &'static str,
        data: SocketAddrV4,
        ready: SocketAddrV4,
        record: &Arc<Record>,
    ) {
        let at = {
            let mut it = self.daemons.lock().unwrap();
            it.push(Daemon { zone, data, misses: 2, in_rotation: false });
            it.len() - 1
        };
        let (router, record) = (Arc::clone(self), Arc::clone(record));
        thread::spawn(move || {
            loop {
                let ok = is_ready(ready);
                {
                    let mut it = router.daemons.lock().unwrap();
                    let it = &mut it[at];
                    it.misses = if ok { 0 } else { it.misses + 1 };
                    let in_rotation = ok || it.in_rotation && it.misses < 2;
                    if in_rotation != it.in_rotation {
                        record.line(&format!(
                            "router: daemon {} is {} rotation",
                            it.data.ip(),
                            if in_rotation { "in" } else { "out of" }
                        ));
                    }
                    it.in_rotation = in_rotation;
                }
                thread::sleep(Duration::from_millis(500));
            }
        });
    }

    /// Returns the number of daemons in rotation.
    pub fn in_rotation(&self) -> usize {
        self.daemons.lock().unwrap().iter().filter(|it| it.in_rotation).count()
    }

    /// Returns the daemon for a packet: of the zone, or of another one if none of it is in rotation.
    pub fn pick(&self, flow: &FlowId, zone: &str) -> Option<SocketAddrV4> {
        let daemons = self.daemons.lock().unwrap();
        let own: Vec<&Daemon> = daemons.iter().filter(|it| it.zone == zone).collect();
        let usable: Vec<&Daemon> = own.iter().copied().filter(|it| it.in_rotation).collect();
        let used = if usable.is_empty() {
            let others: Vec<&Daemon> = daemons.iter().filter(|it| it.in_rotation).collect();
            if others.is_empty() { own } else { others }
        } else if usable.len() * 2 < own.len() {
            own
        } else {
            usable
        };
        if used.is_empty() {
            return None;
        }
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        let mut bytes = Vec::with_capacity(12);
        bytes.extend_from_slice(&flow.consumer.octets());
        bytes.extend_from_slice(&flow.consumer_port.to_be_bytes());
        bytes.extend_from_slice(&flow.route.octets());
        bytes.extend_from_slice(&flow.route_port.to_be_bytes());
        for byte in bytes {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        Some(used[((hash >> 24) % used.len() as u64) as usize].data)
    }
}

fn is_ready(address: SocketAddrV4) -> bool {
    let time = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(address), time) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(time));
    let request = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut head = [0u8; 12];
    stream.read_exact(&mut head).is_ok() && head == *b"HTTP/1.1 200"
}
