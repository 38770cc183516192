//! Packets a second through one daemon beside a bare UDP forwarder, in one run.
//!
//! A generator keeps a window of packets under way to the device under test; a sink behind it
//! counts. The devices take turns, round by round, on sockets with the same settings.

use std::{
    fs,
    net::{SocketAddrV4, UdpSocket},
    process::Stdio,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use pomelorun_config::{
    AvailabilityZone, Bundle, Endpoint, Object, ObjectSet, Objectives, Service, UpstreamPool,
    compile,
};
use pomelorun_core::{CoreSettings, Event, FlowTable, HostCore, ListedHost, Millis};
use pomelorun_wire::{
    FlowKey, Header, HostId, MAX_DATAGRAM_BYTES, Packet, PacketKind, ServiceAddr, UpstreamId,
    ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::{
    child::Child,
    deployment::{HostPlan, Layout},
    harness::{self, HarnessError},
    line::{end_with_parent, say},
    network::bind,
    platform::{HostRow, PlatformPlan},
};

/// Flows that the packets belong to.
const FLOWS: u32 = 4_096;
/// Flows in the measurement of memory.
const TABLE_FLOWS: u32 = 300_000;
/// Packets under way at a time.
const WINDOW: u64 = 256;
/// Time without progress after which packets under way count as lost.
const STALLED: Duration = Duration::from_millis(50);
/// Time for a host to find its place.
const SETTLE: Duration = Duration::from_secs(4);
/// Decisions that are timed.
const DECISIONS: u32 = 2_000_000;
const SERVICE: ServiceAddr = ServiceAddr { ip: 0x0a14_0001, port: 443 };

/// Options of the measurement.
#[derive(Debug, Clone, Copy)]
pub struct ThroughputOptions {
    /// Turns of each device.
    pub rounds: u32,
    /// Packets in each turn.
    pub packets: u64,
}

/// Shape of the forwarder's input line.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ForwarderPlan {
    /// Where it listens.
    pub listen: SocketAddrV4,
    /// Where it sends to.
    pub to: SocketAddrV4,
}

/// What was measured.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ThroughputReport {
    /// Packets a second through the bare forwarder, by round.
    pub forwarder: Vec<f64>,
    /// Packets a second through the daemon, by round.
    pub daemon: Vec<f64>,
    /// Median of the daemon over median of the forwarder.
    pub ratio: f64,
    /// Packets lost on the way, both devices.
    pub lost: u64,
    /// Time of one decision, nanoseconds.
    pub decision_ns: f64,
    /// Time of one packet through the daemon, nanoseconds.
    pub packet_ns: f64,
    /// Share of the decision in the packet's time.
    pub decision_share: f64,
    /// Memory of the flow table, bytes a flow.
    pub bytes_per_flow: f64,
}

/// Forwards datagrams until the process is ended.
///
/// # Errors
/// An address that cannot be bound.
pub fn run_forwarder() -> std::io::Result<()> {
    let Some(text) = std::io::stdin().lines().next().transpose()? else { return Ok(()) };
    let plan: ForwarderPlan = serde_json::from_str(&text)?;
    let socket = bind(plan.listen)?;
    say(&"ready");
    end_with_parent();
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((len, _)) = socket.recv_from(&mut buf) {
            // A datagram that the kernel cannot take is lost, as on any network.
            let _ = socket.send_to(&buf[..len], plan.to);
        }
    }
}

/// Runs the measurement.
///
/// # Errors
/// A process that does not start.
pub async fn run_throughput(options: ThroughputOptions) -> Result<ThroughputReport, HarnessError> {
    let layout = Layout::new(std::process::id());
    let work = std::env::temp_dir().join(format!("pomelorun-bench-{}", std::process::id()));
    fs::create_dir_all(&work)?;
    let set = object_set(layout);
    let plan = HostPlan { name: "bench-1".to_owned(), zone: "bench".to_owned() };
    let _platform = harness::stand_in("platform", &PlatformPlan { address: layout.platform() })?;
    publish(layout, &set, &plan).await?;
    let daemon = harness::build_daemon()?;
    let settings = harness::host_settings(layout, &plan, 0);
    let mut host = harness::start_daemon(&daemon, &work, &plan, &settings, Stdio::null())?;
    harness::wait_ready(layout, &plan, 0).await?;
    actix_rt::time::sleep(SETTLE).await;
    let bare = ForwarderPlan { listen: layout.host(1), to: layout.upstream(0) };
    let _forwarder = harness::stand_in("forwarder", &bare)?;
    let mut report = measure(layout, options)?;
    stop(&mut host);
    fs::remove_dir_all(&work)?;
    report.decision_ns = decision_ns(&set)?;
    report.packet_ns = 1e9 / median(&report.daemon).max(1.0);
    report.decision_share = report.decision_ns / report.packet_ns;
    report.ratio = median(&report.daemon) / median(&report.forwarder).max(1.0);
    report.bytes_per_flow = bytes_per_flow();
    Ok(report)
}

fn stop(host: &mut Child) {
    const LEAVE: Duration = Duration::from_secs(15);
    host.signal(libc::SIGTERM);
    host.join(LEAVE);
}

fn object_set(layout: Layout) -> ObjectSet {
    let mut set = ObjectSet::default();
    set.add(Object::AvailabilityZone(AvailabilityZone {
        name: "bench".to_owned(),
        region: String::new(),
        withdrawn: false,
    }));
    let endpoint = Endpoint {
        name: "1".to_owned(),
        zone: "bench".to_owned(),
        address: layout.upstream(0),
        draining: false,
    };
    set.add(Object::UpstreamPool(UpstreamPool {
        name: "bench".to_owned(),
        slots: 1,
        cold_slots: 1,
        max_deadline_ms: 1_000,
        slow_after_ms: 100,
        endpoints: vec![endpoint],
    }));
    set.add(Object::Service(Service {
        name: "bench".to_owned(),
        address: SocketAddrV4::new(SERVICE.ip.into(), SERVICE.port),
        pool: "bench".to_owned(),
        objectives: Objectives::default(),
    }));
    set
}

async fn publish(layout: Layout, set: &ObjectSet, plan: &HostPlan) -> Result<(), HarnessError> {
    let bundle = Bundle::new(1, set).map_err(|e| HarnessError::Daemon(e.to_string()))?;
    harness::post(&harness::platform_url(layout, "/control/publish"), &bundle).await?;
    let row = HostRow {
        name: plan.name.clone(),
        zone: plan.zone.clone(),
        packets: layout.host(0),
        peers: layout.peers(0),
        leaving: false,
    };
    let path = format!("/control/hosts/{}", plan.zone);
    harness::post(&harness::platform_url(layout, &path), &[row]).await
}

/// Lets the devices take turns.
fn measure(layout: Layout, options: ThroughputOptions) -> Result<ThroughputReport, HarnessError> {
    let generator = bind(layout.callers())?;
    let sink = bind(layout.upstream(0))?;
    let received = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let counter = count(sink, Arc::clone(&received), Arc::clone(&stop))?;
    let packets: Vec<Header> =
        (0..FLOWS).map(|it| Header::new(PacketKind::Open, &flow(it))).collect();
    let mut report = ThroughputReport::default();
    let turn = |to: SocketAddrV4, lost: &mut u64| {
        run_turn(&generator, to, &packets, &received, options.packets, lost)
    };
    // The first packets open the flows; they are not timed.
    turn(layout.host(0), &mut 0)?;
    turn(layout.host(1), &mut 0)?;
    for _ in 0..options.rounds {
        let rate = turn(layout.host(1), &mut report.lost)?;
        report.forwarder.push(rate);
        let rate = turn(layout.host(0), &mut report.lost)?;
        report.daemon.push(rate);
    }
    stop.store(true, Ordering::Relaxed);
    counter.join().expect("the counter does not panic");
    Ok(report)
}

/// Counts what arrives until told to stop.
fn count(
    sink: UdpSocket,
    received: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
) -> std::io::Result<thread::JoinHandle<()>> {
    sink.set_read_timeout(Some(STALLED))?;
    Ok(thread::spawn(move || {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        while !stop.load(Ordering::Relaxed) {
            if sink.recv_from(&mut buf).is_ok() {
                received.fetch_add(1, Ordering::Relaxed);
            }
        }
    }))
}

/// Sends packets through one device; returns packets a second.
fn run_turn(
    generator: &UdpSocket,
    to: SocketAddrV4,
    packets: &[Header],
    received: &AtomicU64,
    count: u64,
    lost: &mut u64,
) -> Result<f64, HarnessError> {
    let base = received.load(Ordering::Relaxed);
    let start = Instant::now();
    let (mut sent, mut gone, mut seen) = (0, 0, 0);
    let mut progress = Instant::now();
    while seen + gone < count {
        let now_seen = received.load(Ordering::Relaxed) - base;
        if now_seen > seen {
            (seen, progress) = (now_seen, Instant::now());
        }
        if sent < count && sent - seen - gone < WINDOW {
            let packet = &packets[(sent % u64::from(FLOWS)) as usize];
            generator.send_to(packet.as_bytes(), to)?;
            sent += 1;
        } else if progress.elapsed() > STALLED {
            gone = sent - seen;
            progress = Instant::now();
        } else {
            std::hint::spin_loop();
        }
    }
    *lost += gone;
    Ok(seen as f64 / start.elapsed().as_secs_f64())
}

fn flow(number: u32) -> FlowKey {
    FlowKey {
        caller_ip: 0x6440_0000 + (number >> 14),
        caller_port: 1_024 + (number & 0x3fff) as u16,
        service: SERVICE,
    }
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Times the core on the packets that the daemon gets.
fn decision_ns(set: &ObjectSet) -> Result<f64, HarnessError> {
    let snapshot = compile(1, set).map_err(|e| HarnessError::Daemon(e.to_string()))?;
    let (host, zone) = (HostId::from_name("bench-1"), ZoneId::from_name("bench"));
    let mut core = HostCore::new(host, zone, 1, 1, CoreSettings::default());
    let now = Millis(1);
    core.handle(now, Event::HostList(&[ListedHost { host, zone, leaving: false }]));
    core.handle(now, Event::Snapshot(Arc::new(snapshot)));
    let packets: Vec<Header> =
        (0..FLOWS).map(|it| Header::new(PacketKind::Open, &flow(it))).collect();
    let mut forwarded = 0usize;
    let mut pass = |rounds: u32| {
        for at in 0..rounds {
            let bytes = packets[(at % FLOWS) as usize].as_bytes();
            let packet = Packet::parse(bytes).expect("the header is well-formed");
            forwarded += core.handle(now, Event::Fabric(packet)).len();
        }
    };
    pass(FLOWS);
    let start = Instant::now();
    pass(DECISIONS);
    let taken = start.elapsed();
    if forwarded < (FLOWS + DECISIONS) as usize {
        return Err(HarnessError::Daemon("the core did not forward every packet".to_owned()));
    }
    Ok(taken.as_nanos() as f64 / f64::from(DECISIONS))
}

fn bytes_per_flow() -> f64 {
    const BUCKETS: u32 = 4_096;
    let mut table = FlowTable::new(BUCKETS);
    for number in 0..TABLE_FLOWS {
        table.insert(Millis(0), &flow(number), UpstreamId(number % 19));
    }
    table.bytes() as f64 / f64::from(TABLE_FLOWS)
}
