//! Real processes that are killed, frozen, restarted and served badly by the platform.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddrV4, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::Stdio,
    time::{Duration, Instant},
};

use pomelorun_config::{Bundle, ObjectSet};
use pomelorun_standins::{
    Child, Fault, HostRow, Layout, PlatformPlan, build_daemon, load_deployment,
};
use pomelorun_wire::{FlowKey, Header, Packet, PacketKind, ServiceAddr};
use serde::Serialize;
use serde_json::{Value, json};

/// Time in which a revision must be in force on every host that can be reached.
const IN_FORCE: Duration = Duration::from_secs(9);
/// Time in which a crash must be known.
const DETECTED: Duration = Duration::from_secs(3);
/// Time for a process to start or to come to rest.
const PATIENCE: Duration = Duration::from_secs(15);
const LOOK: Duration = Duration::from_millis(30);
/// Longest deadline of a request to slow upstreams, milliseconds.
const DEADLINE_MS: u16 = 3_000;
const ZONES: [&str; 3] = ["bog-a", "bog-b", "mde-a"];

struct Rig {
    layout: Layout,
    work: PathBuf,
    daemon: PathBuf,
    set: ObjectSet,
    /// Dropped after the hosts.
    hosts: Vec<Option<Child>>,
    _platform: Child,
}

impl Rig {
    /// Starts the platform with a first revision, and hosts in turn in each zone.
    fn start(number: u32, hosts: usize, extra: &Value) -> Rig {
        let layout = Layout::new(std::process::id().wrapping_add(number * 20_000));
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/co-centro");
        let (_, mut set) = load_deployment(&example).unwrap();
        layout.place(&mut set);
        let work =
            std::env::temp_dir().join(format!("pomelorun-rig-{}-{number}", std::process::id()));
        fs::create_dir_all(&work).unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_pomelorun-standins"));
        let mut platform =
            Child::start("platform", program, &["platform"], Stdio::inherit()).unwrap();
        platform.tell(&PlatformPlan { address: layout.platform() });
        platform.hear::<String>(PATIENCE).unwrap();
        let daemon = build_daemon().unwrap();
        let mut rig = Rig { layout, work, daemon, set, hosts: Vec::new(), _platform: platform };
        rig.list(hosts);
        let bundle = rig.bundle(1);
        rig.publish(&bundle);
        for at in 0..hosts {
            rig.hosts.push(None);
            rig.start_host(at, extra);
        }
        rig
    }

    fn start_host(&mut self, at: usize, extra: &Value) {
        let (name, zone) = (format!("host-{at}"), ZONES[at % ZONES.len()]);
        let platform = self.layout.platform();
        let mut settings = json!({
            "host": name, "zone": zone,
            "packets": self.layout.host(at), "peers": self.layout.peers(at),
            "admin": self.layout.admin(at), "fabric": self.layout.fabric(),
            "config_service": format!("http://{platform}/z/{zone}"),
            "host_list": format!("http://{platform}/z/{zone}/v1/hosts"),
        });
        settings.as_object_mut().unwrap().extend(extra.as_object().unwrap().clone());
        let path = self.work.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log_path(at)).unwrap();
        let path = path.display().to_string();
        let child = Child::start(&name, &self.daemon, &["--settings", &path], log.into()).unwrap();
        self.hosts[at] = Some(child);
    }

    fn log_path(&self, at: usize) -> PathBuf {
        self.work.join(format!("host-{at}.log"))
    }

    fn log(&self, at: usize) -> String {
        fs::read_to_string(self.log_path(at)).unwrap()
    }

    fn list(&self, hosts: usize) {
        let row = |at: usize| HostRow {
            name: format!("host-{at}"),
            zone: ZONES[at % ZONES.len()].to_owned(),
            packets: self.layout.host(at),
            peers: self.layout.peers(at),
            leaving: false,
        };
        let rows: Vec<HostRow> = (0..hosts).map(row).collect();
        for zone in ZONES {
            self.post(&format!("/control/hosts/{zone}"), &rows);
        }
    }

    /// The set as it would be published under a revision, which shows in a pool.
    fn bundle(&self, revision: u64) -> Bundle {
        let mut set = self.set.clone();
        set.pools[0].slow_after_ms = 20 + revision;
        Bundle::new(revision, &set).unwrap()
    }

    fn publish(&self, bundle: &Bundle) {
        self.post("/control/publish", bundle);
    }

    fn fault(&self, zone: &str, fault: Fault) {
        self.post(&format!("/control/fault/{zone}"), &fault);
    }

    fn post<T: Serialize>(&self, path: &str, body: &T) {
        let body = serde_json::to_string(body).unwrap();
        let platform = self.layout.platform();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {platform}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        let answer = call(platform, &(head + &body)).expect("the platform runs");
        assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
    }

    fn reads(&self) -> u64 {
        get(self.layout.platform(), "/control/reads").unwrap().as_u64().unwrap()
    }

    fn status(&self, at: usize) -> Option<Value> {
        get(self.layout.admin(at), "/v1/status")
    }

    fn revision(&self, at: usize) -> u64 {
        self.status(at).map_or(0, |it| it["revision"].as_u64().unwrap_or(0))
    }

    fn count(&self, at: usize, code: &str) -> u64 {
        let Some(status) = self.status(at) else { return 0 };
        let codes = status["codes"].as_array().unwrap();
        codes.iter().filter(|it| it["code"] == code).map(|it| it["count"].as_u64().unwrap()).sum()
    }

    fn members_in(&self, at: usize, state: &str) -> usize {
        let Some(status) = self.status(at) else { return 0 };
        status["members"].as_array().unwrap().iter().filter(|it| it["state"] == state).count()
    }

    /// Waits until a revision is in force on all hosts.
    fn wait_for(&self, revision: u64, within: Duration) -> Duration {
        wait(within, &format!("revision {revision} everywhere"), || {
            (0..self.hosts.len()).all(|at| self.revision(at) == revision)
        })
    }

    fn signal(&self, at: usize, signal: i32) {
        self.hosts[at].as_ref().unwrap().signal(signal);
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.hosts.clear();
        // A directory that stays behind is no reason to fail a test.
        let _ = fs::remove_dir_all(&self.work);
    }
}

fn call(address: SocketAddrV4, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address.into(), PATIENCE).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn get(address: SocketAddrV4, path: &str) -> Option<Value> {
    let text = format!("GET {path} HTTP/1.0\r\nhost: {address}\r\n\r\n");
    let answer = call(address, &text)?;
    serde_json::from_str(answer.split_once("\r\n\r\n")?.1).ok()
}

fn wait(within: Duration, what: &str, holds: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < within, "{what}: not within {within:?}");
        std::thread::sleep(LOOK);
    }
    start.elapsed()
}

#[test]
fn a_revision_comes_into_force_everywhere_whatever_the_service_does() {
    let mut rig = Rig::start(1, 7, &json!({}));
    rig.wait_for(1, PATIENCE);
    rig.publish(&rig.bundle(2));
    let took = rig.wait_for(2, IN_FORCE);
    eprintln!("published: {took:?}");

    // One zone's view of the service is stale: it gets the revision from other hosts.
    rig.fault(ZONES[0], Fault::Stale);
    rig.publish(&rig.bundle(3));
    let took = rig.wait_for(3, IN_FORCE);
    eprintln!("one zone stale: {took:?}");

    // A host of that zone restarts: what other hosts have wins over the stale service.
    rig.hosts[0] = None;
    rig.start_host(0, &json!({}));
    let start = Instant::now();
    while rig.revision(0) != 3 {
        let revision = rig.revision(0);
        assert!(revision == 0 || revision == 3, "reverted to {revision}");
        assert!(start.elapsed() < IN_FORCE);
        std::thread::sleep(LOOK);
    }
    rig.fault(ZONES[0], Fault::None);

    // The service is down everywhere while a revision is published, then heals.
    for zone in ZONES {
        rig.fault(zone, Fault::Down);
    }
    rig.publish(&rig.bundle(4));
    std::thread::sleep(Duration::from_secs(3));
    assert!((0..7).all(|at| rig.revision(at) == 3));
    for zone in ZONES {
        rig.fault(zone, Fault::None);
    }
    let took = rig.wait_for(4, IN_FORCE);
    eprintln!("service down and back: {took:?}");
    for at in 0..7 {
        let mentions = rig.log(at).matches("failed to read from the configuration service").count();
        assert!(mentions <= 1, "host {at} mentions one outage {mentions} times");
    }

    // Two hosts of a zone read, the others hear of it: the rate does not grow with the fleet.
    let before = rig.reads();
    std::thread::sleep(Duration::from_secs(2));
    let rate = (rig.reads() - before) as f64 / 2.0;
    eprintln!("{rate} reads a second, those of the host list among them");
    assert!(rate < 7.0 + 7.0, "{rate} reads a second");
}

#[test]
fn a_torn_or_conflicting_publication_changes_nothing() {
    let rig = Rig::start(2, 4, &json!({}));
    rig.wait_for(1, PATIENCE);
    let whole = rig.bundle(2);

    // The manifest is there before its chunks.
    rig.publish(&Bundle { chunks: Vec::new(), ..whole.clone() });
    std::thread::sleep(Duration::from_secs(1));
    assert!((0..4).all(|at| rig.revision(at) == 1));

    // A chunk is corrupt.
    let mut torn = whole.clone();
    for it in &mut torn.chunks {
        it.push(' ');
    }
    rig.publish(&torn);
    std::thread::sleep(Duration::from_secs(1));
    assert!((0..4).all(|at| rig.revision(at) == 1));
    assert!((0..4).any(|at| rig.count(at, "PR0011") > 0));

    rig.publish(&whole);
    rig.wait_for(2, IN_FORCE);

    // Another operator publishes another set under the same revision.
    let mut other = rig.bundle(9);
    other.manifest.revision = 2;
    let content = |at: usize| rig.status(at).unwrap()["content"].clone();
    let before: Vec<Value> = (0..4).map(content).collect();
    rig.publish(&other);
    wait(PATIENCE, "refused loudly", || (0..4).any(|at| rig.count(at, "PR0012") > 0));
    let after: Vec<Value> = (0..4).map(content).collect();
    assert_eq!(before, after);
    rig.publish(&rig.bundle(3));
    rig.wait_for(3, IN_FORCE);
}

#[test]
fn a_killed_host_is_known_in_time_and_a_frozen_one_checks_before_it_acts() {
    let mut rig = Rig::start(3, 5, &json!({}));
    rig.wait_for(1, PATIENCE);
    let others = [0, 1, 3, 4];
    wait(PATIENCE, "all live", || (0..5).all(|at| rig.members_in(at, "live") == 4));
    rig.signal(2, libc::SIGSTOP);
    wait(DETECTED, "frozen host known", || {
        others.iter().all(|&at| rig.members_in(at, "dead") == 1)
    });
    std::thread::sleep(Duration::from_secs(1));
    rig.signal(2, libc::SIGCONT);
    wait(PATIENCE, "all live again", || (0..5).all(|at| rig.members_in(at, "live") == 4));
    assert!(rig.count(2, "PR0302") > 0, "the frozen host did not notice");
    rig.signal(2, libc::SIGKILL);
    let took =
        wait(DETECTED, "crash known", || others.iter().all(|&at| rig.members_in(at, "dead") == 1));
    eprintln!("crash known after {took:?}");
    rig.start_host(2, &json!({}));
    wait(PATIENCE, "back", || (0..5).all(|at| rig.members_in(at, "live") == 4));
}

/// A caller with one flow, and its upstream.
struct Flow {
    key: FlowKey,
    host: SocketAddrV4,
    fabric: UdpSocket,
    upstreams: Vec<UdpSocket>,
}

impl Flow {
    fn open(rig: &Rig) -> Flow {
        let listen = |it: SocketAddrV4| {
            let socket = UdpSocket::bind(it).unwrap();
            socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
            socket
        };
        let service = rig.set.services[0].address;
        let count: usize = rig.set.pools.iter().map(|it| it.endpoints.len()).sum();
        let flow = Flow {
            key: FlowKey {
                caller_ip: 0x0a00_0001,
                caller_port: 1_024,
                service: ServiceAddr { ip: (*service.ip()).into(), port: service.port() },
            },
            host: rig.layout.host(0),
            fabric: listen(rig.layout.fabric()),
            upstreams: (0..count).map(|at| listen(rig.layout.upstream(at))).collect(),
        };
        flow.send(&Header::new(PacketKind::Open, &flow.key));
        let (at, from, header) = flow.upstream_gets(PacketKind::Open);
        flow.upstreams[at].send_to(header.kind(PacketKind::Opened).as_bytes(), from).unwrap();
        assert_eq!(flow.caller_gets(), PacketKind::Opened);
        flow
    }

    fn send(&self, header: &Header) {
        self.fabric.send_to(header.as_bytes(), self.host).unwrap();
    }

    fn upstream_gets(&self, kind: PacketKind) -> (usize, std::net::SocketAddr, Header) {
        let mut buf = [0; 2_048];
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            for (at, socket) in self.upstreams.iter().enumerate() {
                let Ok((len, from)) = socket.recv_from(&mut buf) else { continue };
                let packet = Packet::parse(&buf[..len]).unwrap();
                if packet.kind() == kind {
                    return (at, from, packet.header());
                }
            }
        }
        panic!("no {kind:?} reached an upstream");
    }

    fn caller_gets(&self) -> PacketKind {
        let mut buf = [0; 2_048];
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Ok((len, _)) = self.fabric.recv_from(&mut buf) {
                return Packet::parse(&buf[..len]).unwrap().kind();
            }
        }
        panic!("the caller got nothing");
    }
}

/// One host whose upstreams take long; their deadline is the longest allowed.
fn slow_rig(number: u32, shutdown_ms: u64) -> Rig {
    let extra = json!({ "shutdown_ms": shutdown_ms });
    let mut rig = Rig::start(number, 1, &extra);
    rig.set.pools.iter_mut().for_each(|it| it.max_deadline_ms = DEADLINE_MS.into());
    rig.publish(&rig.bundle(2));
    rig.wait_for(2, PATIENCE);
    // A new primary counts all slots as taken until nothing of another one can be in progress.
    std::thread::sleep(Duration::from_millis(u64::from(DEADLINE_MS) + 300));
    rig
}

#[test]
fn a_graceful_shutdown_waits_for_the_request_in_progress() {
    let mut rig = slow_rig(4, 10_000);
    let flow = Flow::open(&rig);
    flow.send(&Header::new(PacketKind::Request, &flow.key).req(1).deadline_ms(DEADLINE_MS));
    let (at, from, header) = flow.upstream_gets(PacketKind::Request);
    rig.signal(0, libc::SIGTERM);
    std::thread::sleep(Duration::from_millis(2_000));
    flow.upstreams[at]
        .send_to(header.kind(PacketKind::Answer).part(0, 1).as_bytes(), from)
        .unwrap();
    assert_eq!(flow.caller_gets(), PacketKind::Answer);
    let status = rig.hosts[0].as_mut().unwrap().join(PATIENCE).expect("it ends");
    assert!(status.success(), "{status}\n{}", rig.log(0));
    let log = rig.log(0);
    assert!(log.contains("\"finished\":1"), "{log}");
}

#[test]
fn a_host_that_cannot_finish_in_time_says_so() {
    let mut rig = slow_rig(5, 1_700);
    let flow = Flow::open(&rig);
    flow.send(&Header::new(PacketKind::Request, &flow.key).req(1).deadline_ms(DEADLINE_MS));
    flow.upstream_gets(PacketKind::Request);
    rig.signal(0, libc::SIGTERM);
    let status = rig.hosts[0].as_mut().unwrap().join(PATIENCE).expect("it ends");
    let log = rig.log(0);
    assert_eq!(status.code(), Some(3), "{log}");
    assert!(log.contains("stopped before all was finished"), "{log}");
    assert!(log.contains("\"requests_left\":1"), "{log}");
}
