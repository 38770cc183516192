//! The cases: what is started, what disturbs it, and the check of the rule.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle, sleep},
    time::{Duration, Instant},
};

use crate::{
    Trouble, Verdict,
    consumer::{Consumer, Outcome},
    endpoint::{Endpoint, Spec},
    platform::{COLD_OVER, COLD_SLACK, Daemon, FLOW_LIFETIME, HEARTBEAT, Platform},
    record::{Record, ResetBy, Taken},
    store::Store,
};

/// The services, and the ports of their routes.
const MESA: &str = "mesa";
const ARCHIVO: &str = "archivo";
const MESA_PORT: u16 = 8_443;
const ARCHIVO_PORT: u16 = 8_080;
/// Length of an endpoint's queue of new connections, where status checks wait for a free slot.
const BACKLOG: i32 = 8;
/// Time between the start of the daemons and that of the traffic.
const LEAD: Duration = Duration::from_secs(5);

/// Last byte of the address of both routes.
const ROUTE: u8 = 2;
/// Cold times of a small deployment.
const USUAL_COLD: Cold = Cold { start_s: 2.0, per_s: 40.0 };

fn ms(it: u64) -> Duration {
    Duration::from_millis(it)
}

fn error(e: std::io::Error) -> String {
    e.to_string()
}

/// How long an endpoint is cold after its start, and what it then bears.
#[derive(Debug, Clone, Copy)]
struct Cold {
    start_s: f64,
    per_s: f64,
}

/// Returns the configuration: a route to each service.
fn config(platform: &Platform, kind: &str, cold: Cold) -> String {
    let Cold { start_s, per_s } = cold;
    let route = |name: &str, port: u16, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{}\",\"prefix\":\"/{port}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":2000,\"target_latency_ms\":120,\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":2}}",
            platform.ip(ROUTE)
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":2000,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":{start_s:.1},\
             \"cold_per_s\":{per_s:.1}}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        route("r-1", MESA_PORT, MESA),
        route("r-2", ARCHIVO_PORT, ARCHIVO),
        service(MESA),
        service(ARCHIVO)
    )
}

fn route(platform: &Platform) -> SocketAddrV4 {
    SocketAddrV4::new(platform.ip(ROUTE), MESA_PORT)
}

fn spec(platform: &Platform, id: u32, zone: &'static str, last: u8) -> Spec {
    Spec {
        id,
        service: MESA,
        zone,
        ip: platform.ip(last),
        slots: 2,
        work: ms(20),
        heartbeat: HEARTBEAT,
        first_heartbeat: HEARTBEAT,
        cold: ms(0),
        queue: 12,
        backlog: None,
        far: None,
    }
}

fn start(platform: &Platform, store: &Arc<Store>, spec: Spec) -> Result<Arc<Endpoint>, String> {
    let ports = platform.ports;
    Endpoint::start(spec, ports.endpoint, ports.data, store, &platform.record).map_err(error)
}

/// Starts the store with a configuration.
fn start_store(platform: &Platform, config: &str) -> Result<Arc<Store>, String> {
    let store = Store::new();
    store.put("op/config", config);
    store.serve(platform.store_address()).map_err(error)?;
    Ok(store)
}

/// Starts a daemon in each zone, and another one in the first, and waits for the start of the traffic.
fn add_daemons(platform: &Arc<Platform>) -> Result<Vec<Arc<Daemon>>, String> {
    let machines = [
        ("edge-bog-a-1", "bog-a", 11),
        ("edge-bog-a-2", "bog-a", 12),
        ("edge-bog-b-1", "bog-b", 13),
        ("edge-mde-a-1", "mde-a", 14),
    ];
    let add = |(name, zone, last)| platform.add(name, zone, last, &[11, 13, 14]).map_err(error);
    let found = machines.into_iter().map(add).collect::<Result<Vec<_>, String>>()?;
    wait_for_traffic(platform)?;
    Ok(found)
}

fn wait_for_traffic(platform: &Platform) -> Result<(), String> {
    if !platform.wait_ready(Duration::from_secs(20)) {
        return Err("the daemons aren't ready".to_owned());
    }
    sleep(LEAD);
    Ok(())
}

fn consumer(platform: &Platform, zone: &'static str, last: u8) -> Result<Arc<Consumer>, String> {
    let (ip, port) = (platform.ip(last), platform.ports.data);
    Consumer::start(ip, port, zone, &platform.router, &platform.record).map_err(error)
}

/// Consumers that keep a flow open and send requests with pauses between them.
fn keep_flows(
    platform: &Arc<Platform>,
    consumer: &Arc<Consumer>,
    pause: Duration,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (route, consumer, stop) = (route(platform), Arc::clone(consumer), Arc::clone(stop));
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let Some(mut flow) = consumer.open(route) else {
                sleep(ms(100));
                continue;
            };
            loop {
                if stop.load(Ordering::Relaxed) {
                    flow.close();
                    return;
                }
                match flow.request("POST", ms(8_000)) {
                    Outcome::Answered => sleep(pause),
                    Outcome::AnsweredAndClosed | Outcome::Reset | Outcome::TimedOut => break,
                }
            }
        }
    })
}

/// Consumers that open a flow for each request, `per_s` a second.
fn open_flows(
    platform: &Arc<Platform>,
    consumer: &Arc<Consumer>,
    per_s: u32,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (route, consumer, stop) = (route(platform), Arc::clone(consumer), Arc::clone(stop));
    thread::spawn(move || {
        let mut next = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let consumer = Arc::clone(&consumer);
            thread::spawn(move || {
                if let Some(mut flow) = consumer.open(route) {
                    flow.request("GET", ms(2_000));
                    flow.close();
                }
            });
            next += Duration::from_secs(1) / per_s;
            sleep(next.saturating_duration_since(Instant::now()));
        }
    })
}

/// Returns the resets of the system, from a time on, on flows that are open at an endpoint.
fn resets_of_open_flows(record: &Record, from: Instant) -> usize {
    let mut count = 0;
    for it in record.resets().iter().filter(|it| it.by == ResetBy::System && it.at >= from) {
        let Some((endpoint, opened)) = record.opened(&it.flow) else { continue };
        let is_over = record.closed(&it.flow).is_some_and(|closed| closed < it.at);
        if is_over || it.at.duration_since(opened) >= FLOW_LIFETIME {
            continue;
        }
        count += 1;
        record.line(&format!(
            "FLOW: at {:.3} the system has reset the flow of {} port {}, open at endpoint i-{endpoint:08x} since {:.3}",
            record.seconds(it.at),
            it.flow.consumer,
            it.flow.consumer_port,
            record.seconds(opened)
        ));
    }
    count
}

/// Returns the most requests that a cold endpoint got in one second: sent and arrived inside it, while it
/// was cold.
fn most_in_a_second(record: &Record, endpoint: u32, cold: (Instant, Instant)) -> usize {
    let all: Vec<Taken> = record.taken().into_iter().filter(|it| it.endpoint == endpoint).collect();
    let second = Duration::from_secs(1);
    let mut most = (0, cold.0);
    for from in all.iter().map(|it| it.sent) {
        if from < cold.0 || from + second > cold.1 {
            continue;
        }
        let inside = |it: &&Taken| it.sent >= from && it.arrived <= from + second;
        let count = all.iter().filter(inside).count();
        if count > most.0 {
            most = (count, from);
        }
    }
    record.line(&format!(
        "endpoint i-{endpoint:08x} got at most {} requests in a second while it was cold, from {:.3} on",
        most.0,
        record.seconds(most.1)
    ));
    most.0
}

/// Requests a second that a cold endpoint may get.
fn cold_limit(cold_per_s: f64) -> f64 {
    cold_per_s * COLD_OVER + COLD_SLACK
}

/// A daemon starts just after an evacuated zone was taken back, whose endpoint has become cold.
pub fn cold_unknown(platform: &Arc<Platform>, trouble: Trouble) -> Result<Verdict, String> {
    const COLD_PER_S: f64 = 4.0;
    const COLD: Duration = Duration::from_secs(8);
    let record = &platform.record;
    let store = start_store(
        platform,
        &config(platform, "download", Cold { start_s: 8.0, per_s: COLD_PER_S }),
    )?;
    let warm = spec(platform, 0x7f3a_91c2, "bog-a", 101);
    start(platform, &store, Spec { slots: 4, ..warm })?;
    let started = Instant::now();
    let late = start(platform, &store, spec(platform, 0x21c0_55d4, "bog-b", 102))?;
    let mut daemons = Vec::new();
    for (name, zone, last) in [
        ("edge-bog-a-1", "bog-a", 11),
        ("edge-bog-b-1", "bog-b", 12),
        ("edge-bog-b-2", "bog-b", 13),
    ] {
        daemons.push(platform.add(name, zone, last, &[11, 12, 13]).map_err(error)?);
    }
    wait_for_traffic(platform)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (zone, last) in [("bog-a", 201), ("bog-b", 202), ("bog-b", 203)] {
        let it = consumer(platform, zone, last)?;
        callers.push(open_flows(platform, &it, 25, &stop));
    }
    sleep(ms(3_000));
    store.put("op/evacuate/bog-b", "{}");
    record.line("store: op/evacuate/bog-b is put");
    sleep(ms(6_000));
    // Just after a heartbeat, so that the next one comes in 1.1 s.
    let phase = started.elapsed().as_millis() as u64 % HEARTBEAT.as_millis() as u64;
    sleep(ms(HEARTBEAT.as_millis() as u64 - phase + 100));
    let restarted = &daemons[1];
    if trouble == Trouble::Yes {
        platform.signal(restarted, "KILL");
        platform.wait_exit(restarted, Duration::from_secs(2));
    }
    let cold_from = Instant::now();
    late.become_cold(COLD);
    sleep(ms(100));
    store.remove("op/evacuate/bog-b");
    record.line("store: op/evacuate/bog-b is removed");
    sleep(ms(20));
    if trouble == Trouble::Yes {
        platform.start(restarted).map_err(error)?;
    }
    sleep(ms(6_000));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| drop(it.join()));
    sleep(ms(2_000));
    let most = most_in_a_second(record, late.spec.id, (cold_from, late.cold_until()));
    let limit = cold_limit(COLD_PER_S);
    record.line(&format!("a cold endpoint may get {limit} requests in a second"));
    Ok(if most as f64 > limit { Verdict::Broken } else { Verdict::Held })
}

/// The settings change, and with it a bound becomes a fraction; then the daemons are restarted in turn.
pub fn fraction(platform: &Arc<Platform>, trouble: Trouble) -> Result<Verdict, String> {
    let record = &platform.record;
    let store = start_store(platform, &config(platform, "idempotent", USUAL_COLD))?;
    for (id, zone, last) in [(0x7f3a_91c2, "bog-a", 101), (0x21c0_55d4, "bog-b", 102)] {
        start(platform, &store, spec(platform, id, zone, last))?;
    }
    let daemons = add_daemons(platform)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let mut consumers = Vec::new();
    for (zone, last) in [("bog-a", 201), ("bog-b", 202), ("mde-a", 203)] {
        let it = consumer(platform, zone, last)?;
        callers.push(open_flows(platform, &it, 10, &stop));
        consumers.push(it);
    }
    sleep(Duration::from_secs(3));
    let lifetime = if trouble == Trouble::Yes { "62.5" } else { "62" };
    for it in &daemons {
        platform.change_settings(it, lifetime).map_err(error)?;
    }
    record.line(&format!("the settings change: flow_lifetime_s is {lifetime}"));
    sleep(Duration::from_secs(3));
    let mut ended = 0;
    for it in &daemons {
        platform.signal(it, "TERM");
        if !platform.wait_exit(it, Duration::from_secs(6)) {
            return Err("a daemon doesn't stop".to_owned());
        }
        let mut ends = 0;
        for _ in 0..3 {
            sleep(ms(300));
            platform.start(it).map_err(error)?;
            if !platform.wait_exit(it, Duration::from_secs(2)) {
                break;
            }
            ends += 1;
            record.line(&format!("Fault: daemon {} has ended by itself", it.name));
        }
        ended += usize::from(ends == 3);
    }
    sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| drop(it.join()));
    sleep(ms(2_500));
    consumers.iter().for_each(|it| it.stop());
    record.line(&format!(
        "{ended} of {} daemons have ended by themselves three times and don't run; {} are in rotation",
        daemons.len(),
        platform.router.in_rotation()
    ));
    Ok(if ended > 0 { Verdict::Broken } else { Verdict::Held })
}

/// A zone was cut off and is back; its only daemon is then stopped and started, so that the daemons of
/// another zone get the packets of its consumers.
pub fn stale_verdict(platform: &Arc<Platform>, trouble: Trouble) -> Result<Verdict, String> {
    const CUT: Duration = Duration::from_millis(5_500);
    /// Time from the end of the cut to the planned restart, longer than `contact_ms` (4,000).
    const CALM: Duration = Duration::from_millis(7_000);
    let record = &platform.record;
    let store = start_store(platform, &config(platform, "non_idempotent", USUAL_COLD))?;
    let work = ms(900);
    for (id, last) in [(0x7f3a_91c2, 101), (0x21c0_55d4, 102)] {
        start(platform, &store, Spec { work, ..spec(platform, id, "regina-a", last) })?;
    }
    let mut cut_off = Vec::new();
    let mut paths = Vec::new();
    for (id, last) in [(0x5e11_08aa, 103), (0x90b7_4c13, 104)] {
        let far = platform.ip(last + 50);
        let it = Spec { work, far: Some(far), ..spec(platform, id, "winnipeg", last) };
        let it = start(platform, &store, it)?;
        paths.push((it.addr.to_string(), SocketAddrV4::new(far, it.addr.port()).to_string()));
        cut_off.push(it);
    }
    store.serve_paths(platform.far_store_address(), paths).map_err(error)?;
    let seeds = [11, 12, 13];
    for (name, last) in [("edge-regina-a-1", 11), ("edge-regina-a-2", 12)] {
        let address = platform.far_store_address();
        platform.add_at(name, "regina-a", last, &seeds, address).map_err(error)?;
    }
    let restarted = platform.add("edge-winnipeg-1", "winnipeg", 13, &seeds).map_err(error)?;
    wait_for_traffic(platform)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let mut consumers = Vec::new();
    // Eight users of `regina-a` with pauses, eighteen of `winnipeg` almost without.
    for (zone, last, users, pause) in [("regina-a", 201, 8, 600), ("winnipeg", 202, 18, 5)] {
        let it = consumer(platform, zone, last)?;
        for _ in 0..users {
            callers.push(keep_flows(platform, &it, ms(pause), &stop));
            sleep(ms(60));
        }
        consumers.push(it);
    }
    sleep(Duration::from_secs(6));
    if trouble == Trouble::Yes {
        cut_off.iter().for_each(|it| it.set_cut(true));
        sleep(CUT);
        cut_off.iter().for_each(|it| it.set_cut(false));
    } else {
        sleep(CUT);
    }
    sleep(CALM);
    let calm_from = Instant::now();
    platform.signal(&restarted, "TERM");
    platform.wait_exit(&restarted, Duration::from_secs(6));
    sleep(ms(300));
    platform.start(&restarted).map_err(error)?;
    sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| drop(it.join()));
    consumers.iter().for_each(|it| it.stop());
    let broken = resets_of_open_flows(record, calm_from);
    let (ran, answered, again) = record.totals();
    record.line(&format!(
        "{broken} open flows were reset by the system from the planned restart on; {ran} requests ran, {answered} were answered, {again} ran twice"
    ));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// The only daemon of a zone is stopped and started while all slots of the zone's endpoints are taken.
pub fn fresh_verdict(platform: &Arc<Platform>, trouble: Trouble) -> Result<Verdict, String> {
    let begin = Instant::now();
    let record = &platform.record;
    let store = start_store(platform, &config(platform, "non_idempotent", USUAL_COLD))?;
    let work = ms(300);
    for (id, last) in [(0x7f3a_91c2, 101), (0x21c0_55d4, 102)] {
        let backlog = Some(BACKLOG);
        start(platform, &store, Spec { work, backlog, ..spec(platform, id, "winnipeg", last) })?;
    }
    platform.add("edge-regina-a-1", "regina-a", 11, &[11, 12]).map_err(error)?;
    let restarted = platform.add("edge-winnipeg-1", "winnipeg", 12, &[11, 12]).map_err(error)?;
    wait_for_traffic(platform)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let it = consumer(platform, "winnipeg", 202)?;
    for at in 0..8 {
        callers.push(keep_flows(platform, &it, ms(5), &stop));
        // The first two users alone, so that the daemon sees how long an answer takes.
        sleep(if at == 1 { Duration::from_secs(6) } else { ms(150) });
    }
    sleep(Duration::from_secs(4));
    if trouble == Trouble::Yes {
        platform.signal(&restarted, "TERM");
        platform.wait_exit(&restarted, Duration::from_secs(6));
        sleep(ms(300));
        platform.start(&restarted).map_err(error)?;
    } else {
        sleep(ms(2_800));
    }
    sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| drop(it.join()));
    it.stop();
    let broken = resets_of_open_flows(record, begin);
    let (ran, answered, again) = record.totals();
    record.line(&format!(
        "{broken} open flows were reset by the system; {ran} requests ran, {answered} were answered, {again} ran twice"
    ));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// A zone is emptied, so that the endpoints of the other one have no free slot. Requests take longer than
/// a second.
pub fn slow_answers(platform: &Arc<Platform>, trouble: Trouble) -> Result<Verdict, String> {
    let begin = Instant::now();
    let record = &platform.record;
    let store = start_store(platform, &config(platform, "non_idempotent", USUAL_COLD))?;
    let work = ms(1_500);
    for (id, zone, last) in [
        (0x7f3a_91c2, "mde-a", 101),
        (0x21c0_55d4, "mde-a", 102),
        (0x5e11_08aa, "bog-a", 103),
        (0x90b7_4c13, "bog-a", 104),
    ] {
        let backlog = Some(BACKLOG);
        start(platform, &store, Spec { work, backlog, ..spec(platform, id, zone, last) })?;
    }
    let seeds = [11, 12, 13];
    platform.add("edge-mde-a-1", "mde-a", 11, &seeds).map_err(error)?;
    platform.add("edge-mde-a-2", "mde-a", 12, &seeds).map_err(error)?;
    platform.add("edge-bog-a-1", "bog-a", 13, &seeds).map_err(error)?;
    wait_for_traffic(platform)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let mut consumers = Vec::new();
    for (zone, last, users) in [("mde-a", 202, 3), ("bog-a", 203, 3)] {
        let it = consumer(platform, zone, last)?;
        for _ in 0..users {
            let (route, it, stop) = (route(platform), Arc::clone(&it), Arc::clone(&stop));
            let pause = ms(300);
            callers.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Some(mut flow) = it.open(route) {
                        flow.request("POST", ms(8_000));
                        flow.close();
                    }
                    sleep(pause);
                }
            }));
            sleep(ms(300));
        }
        consumers.push(it);
    }
    sleep(Duration::from_secs(6));
    if trouble == Trouble::Yes {
        store.put("op/evacuate/bog-a", "{}");
        record.line("store: op/evacuate/bog-a is put");
    }
    sleep(Duration::from_secs(10));
    store.remove("op/evacuate/bog-a");
    sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| drop(it.join()));
    consumers.iter().for_each(|it| it.stop());
    let broken = resets_of_open_flows(record, begin);
    let (ran, answered, again) = record.totals();
    record.line(&format!(
        "{broken} open flows were reset by the system; {ran} requests ran, {answered} were answered, {again} ran twice"
    ));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}
