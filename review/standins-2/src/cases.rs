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
    endpoint::{Endpoint, Spec, unix_ms},
    platform::{COLD_OVER, COLD_SLACK, Daemon, FLOW_LIFETIME, HEARTBEAT, Platform},
    record::{Record, ResetBy, Taken},
    store::Store,
};

/// The services, and the ports of their routes.
const MESA: &str = "mesa";
const ARCHIVO: &str = "archivo";
const MESA_PORT: u16 = 8_443;
const ARCHIVO_PORT: u16 = 8_080;
/// Time between the start of the daemons and that of the traffic.
const LEAD: Duration = Duration::from_secs(5);

/// Last byte of the address of both routes.
const ROUTE: u8 = 2;
/// Cold times of a small deployment.
const USUAL_COLD: Cold = Cold { start_s: 2.0, per_s: 40.0 };

/// Time for which an endpoint serves on after it has reported `draining`.
const DRAIN: Duration = Duration::from_secs(3);

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
                match flow.request("POST", ms(2_000)) {
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

/// Returns the resets of the system on flows that are open at an endpoint.
fn resets_of_open_flows(record: &Record) -> usize {
    let mut count = 0;
    for it in record.resets().iter().filter(|it| it.by == ResetBy::System) {
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

/// An entry of another writer has the address of an endpoint and a service that isn't named.
pub fn foreign_entry(platform: &Arc<Platform>, trouble: Trouble) -> Result<Verdict, String> {
    let record = &platform.record;
    let store = start_store(platform, &config(platform, "non_idempotent", USUAL_COLD))?;
    let mut endpoints = Vec::new();
    for (id, zone, last) in [
        (0x7f3a_91c2, "bog-a", 101),
        (0x21c0_55d4, "bog-a", 102),
        (0x5e11_08aa, "bog-b", 103),
        (0x90b7_4c13, "mde-a", 104),
    ] {
        let work = ms(300);
        endpoints.push(start(platform, &store, Spec { work, ..spec(platform, id, zone, last) })?);
    }
    add_daemons(platform)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let mut consumers = Vec::new();
    for (zone, last) in [("bog-a", 201), ("bog-a", 202), ("bog-b", 203), ("mde-a", 204)] {
        let it = consumer(platform, zone, last)?;
        for at in 0..3 {
            callers.push(keep_flows(platform, &it, ms(400 + 70 * at), &stop));
        }
        consumers.push(it);
    }
    sleep(Duration::from_secs(8));
    if trouble == Trouble::Yes {
        // Another writer registers the machine of the first endpoint, under a service of its own.
        let address = endpoints[0].addr;
        let entry = format!(
            "{{\"service\":\"inventory-agent\",\"address\":\"{address}\",\"zone\":\"bog-a\",\"version\":\"4\",\"slots\":1,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":{},\"seq\":1}}",
            unix_ms()
        );
        record.line(&format!("store: another writer puts servers/agent-3b60d1e9: {entry}"));
        store.put("servers/agent-3b60d1e9", &entry);
    }
    sleep(Duration::from_secs(10));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| drop(it.join()));
    consumers.iter().for_each(|it| it.stop());
    let broken = resets_of_open_flows(record);
    let (ran, answered, again) = record.totals();
    record.line(&format!(
        "{broken} open flows were reset by the system; {ran} requests ran, {answered} were answered, {again} ran twice"
    ));
    if answered == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
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

/// The daemons are stopped and started in turn while the endpoints of a service are cold after a release.
pub fn two_cold_owners(platform: &Arc<Platform>, trouble: Trouble) -> Result<Verdict, String> {
    const COLD_PER_S: f64 = 10.0;
    const COLD: Duration = Duration::from_secs(12);
    let record = &platform.record;
    let store = start_store(
        platform,
        &config(platform, "download", Cold { start_s: 12.0, per_s: COLD_PER_S }),
    )?;
    let mut old = Vec::new();
    for (id, last) in [(0x7f3a_91c2, 101), (0x21c0_55d4, 102)] {
        old.push(start(platform, &store, spec(platform, id, "bog-a", last))?);
    }
    let mut daemons = Vec::new();
    for (name, last) in [("edge-bog-a-1", 11), ("edge-bog-a-2", 12), ("edge-bog-a-3", 13)] {
        daemons.push(platform.add(name, "bog-a", last, &[11, 12, 13]).map_err(error)?);
    }
    wait_for_traffic(platform)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for last in [201, 202, 203] {
        let it = consumer(platform, "bog-a", last)?;
        callers.push(open_flows(platform, &it, 20, &stop));
    }
    sleep(Duration::from_secs(4));
    // The release: the new endpoints start first, and the old ones drain.
    let mut new = Vec::new();
    for (id, last) in [(0x5e11_08aa, 103), (0x90b7_4c13, 104)] {
        let cold_from = Instant::now();
        let it = start(platform, &store, Spec { cold: COLD, ..spec(platform, id, "bog-a", last) })?;
        new.push((it, cold_from));
    }
    for it in old {
        it.drain();
        thread::spawn(move || {
            sleep(DRAIN + ms(500));
            it.leave();
        });
    }
    sleep(ms(2_000));
    if trouble == Trouble::Yes {
        for it in &daemons {
            platform.signal(it, "TERM");
            if !platform.wait_exit(it, Duration::from_secs(6)) {
                platform.signal(it, "KILL");
                platform.wait_exit(it, Duration::from_secs(2));
            }
            sleep(ms(300));
            platform.start(it).map_err(error)?;
        }
    } else {
        sleep(ms(9_000));
    }
    sleep(ms(2_000));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| drop(it.join()));
    sleep(ms(2_000));
    let limit = cold_limit(COLD_PER_S);
    let mut broken = false;
    let mut used = 0;
    for (it, from) in &new {
        let most = most_in_a_second(record, it.spec.id, (*from, it.cold_until()));
        used += most;
        broken |= most as f64 > limit;
    }
    record.line(&format!("a cold endpoint may get {limit} requests in a second"));
    if used == 0 {
        return Err("the cold endpoints got no request".to_owned());
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
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

/// An entry of another writer lacks fields, and its name ends in 0: it gives an address that an endpoint
/// of another service has now.
pub fn wrong_service(platform: &Arc<Platform>, trouble: Trouble) -> Result<Verdict, String> {
    let record = &platform.record;
    let store = start_store(platform, &config(platform, "idempotent", USUAL_COLD))?;
    for (id, zone, last) in [(0x7f3a_91c2, "bog-a", 101), (0x21c0_55d4, "bog-b", 102)] {
        start(platform, &store, spec(platform, id, zone, last))?;
    }
    let mut archive = Vec::new();
    for (id, zone, last) in [(0x5e11_08aa, "bog-a", 103), (0x90b7_4c13, "bog-b", 104)] {
        let service = ARCHIVO;
        archive.push(start(platform, &store, Spec { service, ..spec(platform, id, zone, last) })?);
    }
    add_daemons(platform)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let mut consumers = Vec::new();
    for (zone, last) in [("bog-a", 201), ("bog-b", 202), ("mde-a", 203)] {
        let it = consumer(platform, zone, last)?;
        callers.push(open_flows(platform, &it, 10, &stop));
        consumers.push(it);
    }
    sleep(Duration::from_secs(6));
    if trouble == Trouble::Yes {
        // What another writer once wrote of an address that an endpoint of `archivo` has now.
        let entry = format!(
            "{{\"service\":\"{MESA}\",\"address\":\"{}\",\"zone\":\"bog-a\",\"slots\":2,\
             \"state\":\"ready\",\"cold_left_ms\":0}}",
            archive[0].addr
        );
        record.line(&format!("store: another writer puts servers/mesa-0: {entry}"));
        store.put("servers/mesa-0", &entry);
    }
    sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| drop(it.join()));
    sleep(ms(2_500));
    consumers.iter().for_each(|it| it.stop());
    let service_of = |port: u16| if port == MESA_PORT { MESA } else { ARCHIVO };
    let runs = record.runs();
    let wrong: Vec<_> =
        runs.iter().filter(|it| service_of(it.flow.route_port) != it.service).collect();
    for it in &wrong {
        record.line(&format!(
            "ROUTE: at {:.3} request {} to port {} was run by service {}",
            record.seconds(it.at),
            it.id,
            it.flow.route_port,
            it.service
        ));
    }
    record.line(&format!(
        "{} of {} requests were run by the wrong service",
        wrong.len(),
        runs.len()
    ));
    if runs.is_empty() {
        return Err("no request ran".to_owned());
    }
    Ok(if wrong.is_empty() { Verdict::Held } else { Verdict::Broken })
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
