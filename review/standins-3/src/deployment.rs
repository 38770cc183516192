//! A small deployment: one zone with three daemons, a store, endpoints and consumers.

use std::{
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    sync::{Arc, atomic::AtomicBool},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    client::{Attempt, Client, ClientSpec, End, Habit, Router},
    daemon::{Daemon, Spec as DaemonSpec},
    endpoint::{Endpoint, Spec},
    proxy,
    record::Record,
    store::Store,
};

pub const ZONE: &str = "z-a";
pub const SERVICE: &str = "desk";
pub const ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 100, 0, 1), 443);
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DAEMONS: u8 = 3;
/// Offset of the port between daemons, and of that of the daemon behind the proxy.
const PEER: u16 = 3;
const PROXIED_PEER: u16 = 19;

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub endpoints: Vec<Endpoint>,
    pub clients: Vec<Client>,
    pub router: Router,
    pub port: u16,
    /// Set while the first daemon is cut off from the other daemons and from the store.
    pub cut: Arc<AtomicBool>,
    dir: PathBuf,
}

/// How the daemons reach each other.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Direct,
    /// What goes between the first daemon and the others passes through a proxy, which can drop it.
    FirstByProxy,
}

/// What an operator's configuration says of the cold start.
#[derive(Clone, Copy)]
pub struct Cold {
    pub start_s: f64,
    pub per_s: f64,
}

impl Deployment {
    /// Starts the store and the daemons.
    pub fn start(
        program: &Path,
        record: &Record,
        cold: Cold,
        link: Link,
    ) -> Result<Deployment, String> {
        let dir = std::env::temp_dir().join(format!("review-standins-3-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let port = free_port()?;
        let store_address = SocketAddrV4::new(Ipv4Addr::new(127, 60, 0, 1), port);
        let store = Store::start(store_address, record.clone()).map_err(|e| e.to_string())?;
        let config = config(1, cold);
        store.put("op/config", &config, &config, None);
        let cut = Arc::new(AtomicBool::new(false));
        let proxied_store = SocketAddrV4::new(Ipv4Addr::new(127, 60, 0, 1), port + 1);
        if link == Link::FirstByProxy {
            store.listen(proxied_store, &cut).map_err(|e| e.to_string())?;
            let ips = [daemon_ip(1), daemon_ip(2), daemon_ip(3)];
            proxy::start(ips, port + PEER, port + PROXIED_PEER, &cut).map_err(|e| e.to_string())?;
        }
        let ips: Vec<Ipv4Addr> = (1..=DAEMONS).map(daemon_ip).collect();
        let mut daemons: Vec<Daemon> = Vec::new();
        let is_proxied = |at: u8| at == 1 && link == Link::FirstByProxy;
        for at in 1..=DAEMONS {
            let spec = DaemonSpec {
                name: format!("edge-{at}"),
                zone: ZONE.to_owned(),
                ip: daemon_ip(at),
                port,
                peer_port: port + if is_proxied(at) { PROXIED_PEER } else { PEER },
                seeds: ips.clone(),
                store: if is_proxied(at) { proxied_store } else { store_address },
            };
            daemons.push(Daemon::new(spec, program, &dir, record));
        }
        let addresses: Vec<_> =
            daemons.iter().map(|it| (it.spec.data(), it.spec.ready())).collect();
        for it in &mut daemons {
            it.start().map_err(|e| e.to_string())?;
        }
        let router = Router::start(&addresses, record);
        Ok(Deployment {
            record: record.clone(),
            store,
            daemons,
            endpoints: Vec::new(),
            clients: Vec::new(),
            router,
            port,
            cut,
            dir,
        })
    }

    pub fn endpoint_spec(&self, number: u8, cold: Duration) -> Spec {
        Spec {
            name: format!("i-7f3a91{number:02x}"),
            address: SocketAddrV4::new(Ipv4Addr::new(127, 70, 0, number), self.port),
            service: SERVICE.to_owned(),
            zone: ZONE.to_owned(),
            slots: 2,
            work: Duration::from_millis(20),
            cold,
            heartbeat: HEARTBEAT,
            clock_ahead: Duration::ZERO,
            consumer_port: self.port,
        }
    }

    pub fn add_endpoint(&mut self, spec: Spec) -> Result<(), String> {
        let it = Endpoint::start(spec, &self.store, &self.record).map_err(|e| e.to_string())?;
        self.endpoints.push(it);
        Ok(())
    }

    pub fn add_client(&mut self, habit: Habit, time_limit: Duration) -> Result<(), String> {
        let number = self.clients.len() as u8 + 1;
        let spec = ClientSpec {
            address: SocketAddrV4::new(Ipv4Addr::new(127, 64, 0, number), self.port),
            service: ROUTE,
            habit,
            time_limit,
            seed: u64::from(number),
        };
        let it = Client::start(spec, &self.router, &self.record).map_err(|e| e.to_string())?;
        self.clients.push(it);
        Ok(())
    }

    /// Another writer's entry: an agent on an endpoint's machine, of a service that no configuration
    /// names. It checks in as endpoints do.
    pub fn add_agent(&self, of: &Spec) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let digits = of.name.rsplit('-').next().unwrap().to_owned();
        let address = SocketAddrV4::new(*of.address.ip(), of.address.port() + 9);
        let store = self.store.clone();
        let key = format!("servers/agent-{digits}");
        let meaning = format!(
            "\"service\":\"agent\",\"address\":\"{address}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\
             \"slots\":1,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":{born}"
        );
        std::thread::spawn(move || {
            for seq in 1u64.. {
                store.put(&key, &format!("{{{meaning},\"seq\":{seq}}}"), &meaning, Some(HEARTBEAT));
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Waits until all daemons are in rotation.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let end = self.record.now() + limit.as_millis() as u64;
        while self.router.in_rotation() < self.daemons.len() {
            if self.record.now() > end {
                return Err("the daemons are not ready".to_owned());
            }
            sleep_ms(50);
        }
        Ok(())
    }

    pub fn attempts(&self) -> Vec<Attempt> {
        let all = self.clients.iter().flat_map(|it| it.outcome.lock().unwrap().attempts.clone());
        let mut all: Vec<Attempt> = all.collect();
        all.sort_by_key(|it| it.sent);
        all
    }

    /// Requests that the endpoints began to work on.
    pub fn runs(&self) -> Vec<u64> {
        self.endpoints.iter().flat_map(|it| it.seen.lock().unwrap().runs.clone()).collect()
    }

    /// Requests sent from `from` to `to`, and how many of them were served.
    pub fn served(&self, from: u64, to: u64) -> (usize, usize) {
        let sent: Vec<Attempt> =
            self.attempts().into_iter().filter(|it| it.sent >= from && it.sent < to).collect();
        (sent.len(), sent.iter().filter(|it| it.end == End::Served).count())
    }

    /// Stops the consumers, and returns an error if something else went wrong.
    pub fn stop_clients(&mut self) -> Result<(), String> {
        for it in &mut self.clients {
            it.stop();
        }
        let foreign: u64 = self.clients.iter().map(|it| it.outcome.lock().unwrap().foreign).sum();
        let forged: u64 = self.endpoints.iter().map(|it| it.seen.lock().unwrap().forged).sum();
        self.record.line(format!("foreign packets at consumers {foreign}, at endpoints {forged}"));
        let mut runs = self.runs();
        let count = runs.len();
        runs.sort_unstable();
        runs.dedup();
        self.record.line(format!("requests run {count}, twice {}", count - runs.len()));
        if self.daemons.iter_mut().any(Daemon::has_ended) {
            self.record.line("a daemon has ended by itself");
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.clear();
        // `KEEP` leaves the logs of the daemons.
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

pub fn daemon_ip(at: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 50, 0, at)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn config(version: u64, cold: Cold) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{}\",\"prefix\":\"/{}/\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":{:.1},\"cold_per_s\":{:.1}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        ROUTE.0, ROUTE.1, cold.start_s, cold.per_s
    )
}

/// Returns the first of a range of ports that is free on all addresses of the deployment.
fn free_port() -> Result<u16, String> {
    let seed = std::process::id();
    for round in 0..200u32 {
        let port = 20_000 + ((seed.wrapping_mul(40) + round * 40) % 10_000) as u16;
        let ips = (1..=DAEMONS)
            .map(daemon_ip)
            .chain((1..=8).map(|it| Ipv4Addr::new(127, 70, 0, it)))
            .chain((1..=4).map(|it| Ipv4Addr::new(127, 64, 0, it)))
            .chain([Ipv4Addr::new(127, 60, 0, 1)]);
        let is_free = |ip: Ipv4Addr| {
            (port..port + 32).all(|port| {
                let address = SocketAddrV4::new(ip, port);
                UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok()
            })
        };
        if ips.clone().all(is_free) {
            return Ok(port);
        }
    }
    Err("no free ports".to_owned())
}
