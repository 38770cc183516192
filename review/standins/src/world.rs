//! A small deployment: three zones, the store, endpoints and callers.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    caller::{self, CallerSpec, Habit, Seen},
    clock::now_ms,
    endpoint::{Endpoint, EndpointSpec},
    fabric::Fabric,
    hosts::{Deployment, Host, HostSpec, Ports},
    record::Record,
    store::Store,
};

pub const ZONES: [&str; 3] = ["bog-a", "bog-b", "mde-a"];
pub const HEARTBEAT_MS: u64 = 1_200;

pub struct World {
    pub record: Record,
    pub store: Store,
    pub deployment: Deployment,
    pub hosts: Vec<Host>,
    pub endpoints: Vec<Endpoint>,
    pub seen: Arc<Mutex<Seen>>,
    pub stop: Arc<AtomicBool>,
    pub fabric: Option<Arc<Fabric>>,
    callers: u8,
    endpoint_ips: u8,
}

/// A route of the configuration.
pub struct Route {
    pub addr: (Ipv4Addr, u16),
    pub service: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub aim_ms: u64,
}

impl World {
    /// Creates a deployment with seven daemons, as the small site has them: 3, 2 and 2 in a zone.
    pub fn new(root: &str, dir: &str, record: Record) -> World {
        let mut hosts = Vec::new();
        for (at, (zone, count)) in ZONES.iter().zip([3u8, 2, 2]).enumerate() {
            for n in 1..=count {
                hosts.push(HostSpec {
                    name: format!("edge-{zone}-{n}"),
                    zone: (*zone).to_owned(),
                    ip: Ipv4Addr::new(127, 31, at as u8 + 1, n),
                    store_ip: Ipv4Addr::new(127, 61, 0, 1),
                    seeds: None,
                });
            }
        }
        // The first host of each zone is a seed.
        hosts.sort_by_key(|it| it.ip.octets()[3]);
        let ports = Ports::free();
        let bounds = vec![
            ("bounds.cold_over", "1.5".to_owned()),
            ("bounds.cold_slack", "5".to_owned()),
            ("bounds.flow_lifetime_s", "60".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
        ];
        let deployment = Deployment {
            root: PathBuf::from(root),
            dir: PathBuf::from(dir),
            ports,
            hosts,
            heartbeat_ms: HEARTBEAT_MS,
            bounds,
        };
        let store = Store::new();
        World {
            record,
            store,
            deployment,
            hosts: Vec::new(),
            endpoints: Vec::new(),
            seen: Arc::default(),
            stop: Arc::default(),
            fabric: None,
            callers: 0,
            endpoint_ips: 0,
        }
    }

    pub fn serve_store(&self) {
        let ip = Ipv4Addr::new(127, 61, 0, 1);
        self.store.serve(SocketAddrV4::new(ip, self.deployment.ports.store));
    }

    /// Writes a configuration; `services` are names with `cold_start_s` and `cold_per_s`.
    pub fn configure(&self, version: u64, routes: &[Route], services: &[(&str, f64, f64)]) {
        let routes: Vec<String> = routes
            .iter()
            .enumerate()
            .map(|(at, it)| {
                format!(
                    "{{\"name\":\"r-{at}\",\"host\":\"{}\",\"prefix\":\"/{}/\",\"kind\":\"{}\",\
                     \"timeout_ms\":{},\"target_latency_ms\":{},\"priority\":1,\"service\":\"{}\",\
                     \"max_attempts\":2}}",
                    it.addr.0, it.addr.1, it.kind, it.timeout_ms, it.aim_ms, it.service
                )
            })
            .collect();
        let services: Vec<String> = services
            .iter()
            .map(|(name, cold_s, per_s)| {
                format!(
                    "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":2000,\
                     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":{cold_s:?},\
                     \"cold_per_s\":{per_s:?}}}"
                )
            })
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
             {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("op/config", text.as_bytes());
        self.record.line(&format!("operator: configuration {version}"));
    }

    /// Returns the address of a new endpoint.
    pub fn next_endpoint_addr(&mut self) -> SocketAddrV4 {
        self.endpoint_ips += 1;
        SocketAddrV4::new(Ipv4Addr::new(127, 51, 0, self.endpoint_ips), self.deployment.ports.data)
    }

    pub fn start_endpoint(&mut self, spec: EndpointSpec) {
        let it = Endpoint::start(spec, &self.store, &self.record);
        self.endpoints.push(it);
    }

    pub fn start_hosts(&mut self) -> Result<(), String> {
        for spec in self.deployment.hosts.clone() {
            self.hosts.push(self.deployment.start(&spec, &self.record));
        }
        let daemons: Vec<(String, Ipv4Addr)> =
            self.deployment.hosts.iter().map(|it| (it.zone.clone(), it.ip)).collect();
        let ports = self.deployment.ports;
        let fabric = Fabric::start(&daemons, ports.data, ports.ready, &self.record);
        let end = Instant::now() + Duration::from_secs(15);
        while !fabric.all_in_rotation() {
            if Instant::now() > end {
                return Err("the daemons did not become ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.fabric = Some(fabric);
        Ok(())
    }

    /// Starts callers in a zone.
    pub fn start_callers(
        &mut self,
        zone: &str,
        route: (Ipv4Addr, u16),
        habit: Habit,
        deadline_ms: u64,
    ) {
        self.callers += 1;
        let spec = CallerSpec {
            zone: zone.to_owned(),
            ip: Ipv4Addr::new(127, 41, 0, self.callers),
            port: self.deployment.ports.data,
            route,
            habit,
            deadline_ms,
        };
        let fabric = Arc::clone(self.fabric.as_ref().expect("hosts are started first"));
        let (seen, stop) = (Arc::clone(&self.seen), Arc::clone(&self.stop));
        caller::run(spec, fabric, seen, stop, self.record.clone());
    }

    pub fn sleep(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }

    /// Records what callers have seen so far.
    pub fn tell(&self) {
        let s = self.seen.lock().unwrap();
        self.record.say(&format!(
            "at {} ms: sent {}, answered {}, refused {}, not opened {}, late {}, resets of the system \
             on open flows {}, resets of endpoints {}, altered packets {}",
            now_ms(),
            s.sent,
            s.answered,
            s.refused,
            s.not_opened,
            s.late,
            s.system_resets.len(),
            s.endpoint_resets,
            s.altered
        ));
    }

    /// Ends callers and daemons, and tells if a daemon has ended by itself.
    pub fn finish(&mut self) -> Vec<String> {
        let ended: Vec<String> = self
            .hosts
            .iter_mut()
            .filter_map(|it| it.has_ended().map(|how| format!("{} ended: {how}", it.spec.name)))
            .collect();
        self.stop.store(true, Ordering::SeqCst);
        self.sleep(50);
        self.hosts.clear();
        self.endpoints.iter().for_each(Endpoint::crash);
        ended
    }
}
