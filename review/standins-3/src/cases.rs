//! The cases.

use std::{path::Path, sync::atomic::Ordering, time::Duration};

use crate::{
    Verdict,
    client::{Attempt, End, Habit},
    daemon::{SIGKILL, SIGTERM},
    deployment::{Cold, Deployment, Link, sleep_ms},
    endpoint::{Endpoint, Opening},
    record::Record,
    store::Mood,
};

const WARM: Duration = Duration::ZERO;

pub fn run(case: &str, program: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    match case {
        "agents-and-restart" => agents_and_restart(program, record, trouble),
        "agents-and-roll" => agents_and_roll(program, record, trouble),
        "agents-and-drain" => agents_and_drain(program, record, trouble),
        "clock-and-drain" => clock_and_drain(program, record, trouble),
        "cut-and-cold" => cut_and_cold(program, record, trouble),
        "same-id-cold" => same_id_cold(program, record, trouble),
        _ => Err(format!("no case {case}")),
    }
}

fn ordinary() -> Cold {
    Cold { start_s: 2.0, per_s: 0.0 }
}

/// Starts daemons and warm endpoints.
fn start(program: &Path, record: &Record, endpoints: u8) -> Result<Deployment, String> {
    let mut it = Deployment::start(program, record, ordinary(), Link::Direct)?;
    for number in 1..=endpoints {
        it.add_endpoint(it.endpoint_spec(number, WARM))?;
    }
    it.wait_ready(Duration::from_secs(10))?;
    sleep_ms(3_000);
    Ok(it)
}

/// RECOVER: agents with entries of their own beside the endpoints', then all daemons are killed.
fn agents_and_restart(program: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    const RECOVERY_MS: u64 = 12_000;
    let mut it = start(program, record, 4)?;
    for endpoint in &it.endpoints {
        it.add_agent(&endpoint.spec);
    }
    it.add_client(Habit::Fresh { per_s: 25.0 }, Duration::from_millis(1_500))?;
    let before = record.now();
    sleep_ms(8_000);
    let fault = record.now();
    if trouble {
        for daemon in &mut it.daemons {
            daemon.signal(SIGKILL);
        }
        for daemon in &mut it.daemons {
            daemon.wait();
        }
        sleep_ms(700);
        for daemon in &mut it.daemons {
            daemon.start().map_err(|e| e.to_string())?;
        }
    }
    let back = record.now();
    sleep_ms(RECOVERY_MS + 10_000);
    let end = record.now();
    sleep_ms(3_000);
    it.stop_clients()?;
    let (sent_before, served_before) = it.served(before, fault);
    let (sent, served) = it.served(back + RECOVERY_MS, end);
    record.result(format!("before the fault: {served_before} of {sent_before} requests served"));
    record.result(format!(
        "sent later than 12 s after the daemons are back: {served} of {sent} served"
    ));
    if sent_before == 0 || served_before * 4 < sent_before || sent == 0 {
        return Err("not served before the fault".to_owned());
    }
    Ok(if served * 4 < sent { Verdict::Broken } else { Verdict::Held })
}

/// FLOW: agents with entries of their own beside the endpoints', then one daemon is stopped and started.
fn agents_and_roll(program: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut it = start(program, record, 4)?;
    for endpoint in &it.endpoints {
        it.add_agent(&endpoint.spec);
    }
    let habit = Habit::Pool { flows: 30, pause: Duration::from_millis(300) };
    it.add_client(habit, Duration::from_millis(1_500))?;
    sleep_ms(6_000);
    if trouble {
        let daemon = &mut it.daemons[0];
        daemon.signal(SIGTERM);
        daemon.wait();
        sleep_ms(300);
        daemon.start().map_err(|e| e.to_string())?;
    }
    sleep_ms(10_000);
    it.stop_clients()?;
    let attempts = it.attempts();
    let served = attempts.iter().filter(|it| it.end == End::Served).count();
    let reset = attempts.iter().filter(|it| it.end == End::ResetBySystem).count();
    let idle: usize =
        it.clients.iter().map(|it| it.outcome.lock().unwrap().idle_resets.len()).sum();
    record.result(format!(
        "{} requests, {served} served; open flows that the system reset: {reset} with a request, {idle} idle",
        attempts.len()
    ));
    let runs = it.runs();
    let has_run = |it: &&Attempt| it.end == End::ResetBySystem && runs.contains(&it.request);
    let run = attempts.iter().filter(has_run).count();
    record.result(format!("of the requests that were reset, endpoints have run {run}"));
    if served == 0 {
        return Err("nothing was served".to_owned());
    }
    Ok(if reset + idle > 0 { Verdict::Broken } else { Verdict::Held })
}

/// DRAIN: agents with entries of their own beside the endpoints', then the store forgets its history, and
/// later an endpoint drains.
fn agents_and_drain(program: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    const DRAIN_MS: u64 = 3_000;
    /// `contact_ms`, and a little longer.
    const CONTACT_MS: u64 = 5_000;
    let mut it = start(program, record, 4)?;
    for endpoint in &it.endpoints {
        it.add_agent(&endpoint.spec);
    }
    it.add_client(Habit::Fresh { per_s: 25.0 }, Duration::from_millis(1_500))?;
    sleep_ms(4_000);
    if trouble {
        it.store.forget();
        record.line("the store forgets its history and cuts the watches");
    }
    sleep_ms(CONTACT_MS);
    it.endpoints[0].drain();
    let key = format!("servers/{}", it.endpoints[0].spec.name);
    while !it.store.says(&key, "\"state\":\"draining\"") {
        sleep_ms(1);
    }
    let confirmed = record.now();
    record.line(format!("the store has confirmed that {key} drains"));
    sleep_ms(DRAIN_MS + 7_000);
    it.stop_clients()?;
    let openings = it.endpoints[0].seen.lock().unwrap().openings.clone();
    let late = openings.iter().filter(|it| it.at > confirmed + DRAIN_MS).count();
    let before = openings.iter().filter(|it| it.at <= confirmed).count();
    record.result(format!(
        "openings at the endpoint: {before} before the confirmation, {late} later than 3 s after it"
    ));
    if before == 0 {
        return Err("the endpoint got nothing before".to_owned());
    }
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

/// DRAIN: an endpoint starts while its clock is ahead, crashes and starts again under its id with the true
/// time; much later it drains.
fn clock_and_drain(program: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    const DRAIN_MS: u64 = 3_000;
    const STEP: Duration = Duration::from_millis(2_400);
    const NUMBER: u8 = 5;
    let mut it = start(program, record, 4)?;
    it.add_client(Habit::Fresh { per_s: 40.0 }, Duration::from_millis(1_500))?;
    sleep_ms(3_000);
    let cold = Duration::from_secs(2);
    let mut first = it.endpoint_spec(NUMBER, cold);
    if trouble {
        first.clock_ahead = STEP;
    }
    it.add_endpoint(first)?;
    sleep_ms(1_000);
    it.endpoints[4].crash();
    sleep_ms(1_000);
    it.add_endpoint(it.endpoint_spec(NUMBER, cold))?;
    sleep_ms(10_000);
    let endpoint = &it.endpoints[5];
    endpoint.drain();
    let key = format!("servers/{}", endpoint.spec.name);
    while !it.store.says(&key, "\"state\":\"draining\"") {
        sleep_ms(1);
    }
    let confirmed = record.now();
    record.line(format!("the store has confirmed that {key} drains"));
    sleep_ms(DRAIN_MS + 7_000);
    it.stop_clients()?;
    let openings = it.endpoints[5].seen.lock().unwrap().openings.clone();
    for daemon in &it.daemons {
        let by = || openings.iter().filter(|it| it.by == daemon.spec.ip);
        record.result(format!(
            "openings at the endpoint from {}: {} before the confirmation, {} later than 3 s after it",
            daemon.spec.name,
            by().filter(|it| it.at <= confirmed).count(),
            by().filter(|it| it.at > confirmed + DRAIN_MS).count()
        ));
    }
    if !openings.iter().any(|it| it.at <= confirmed) {
        return Err("the endpoint got nothing before".to_owned());
    }
    let is_late = openings.iter().any(|it| it.at > confirmed + DRAIN_MS);
    Ok(if is_late { Verdict::Broken } else { Verdict::Held })
}

/// Returns the most requests that were sent and arrived inside one second while the endpoint was cold.
fn most_in_a_second(it: &Deployment, endpoint: &Endpoint) -> usize {
    let seen = endpoint.seen.lock().unwrap();
    let cold: Vec<&Opening> = seen.openings.iter().filter(|it| it.cold_left > 0).collect();
    let sent_at = |opening: &Opening| {
        let sent = it
            .clients
            .iter()
            .find_map(|it| it.outcome.lock().unwrap().opened_at.get(&opening.flow).copied());
        sent.unwrap_or(0)
    };
    let times: Vec<(u64, u64)> = cold.iter().map(|it| (sent_at(it), it.at)).collect();
    let inside = |from: u64| {
        times.iter().filter(|it| it.0 >= from && it.1 >= from && it.1 < from + 1_000).count()
    };
    times.iter().map(|it| inside(it.0)).max().unwrap_or(0)
}

/// Judges FAILBACK for cold endpoints.
fn judge_cold(it: &Deployment, cold: Cold, from: usize) -> Result<Verdict, String> {
    let limit = cold.per_s * 1.5 + 5.0;
    let mut is_broken = false;
    for endpoint in &it.endpoints[from..] {
        let most = most_in_a_second(it, endpoint);
        it.record.result(format!(
            "cold endpoint {}: at most {most} requests in a second, {limit} allowed",
            endpoint.spec.name
        ));
        is_broken |= most as f64 > limit;
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// FAILBACK: all endpoints come back cold, then a daemon is cut off from the others and from the store.
fn cut_and_cold(program: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let cold = Cold { start_s: 6.0, per_s: 0.0 };
    let mut it = Deployment::start(program, record, cold, Link::FirstByProxy)?;
    for number in 1..=2 {
        it.add_endpoint(it.endpoint_spec(number, WARM))?;
    }
    it.wait_ready(Duration::from_secs(10))?;
    sleep_ms(3_000);
    it.add_client(Habit::Fresh { per_s: 60.0 }, Duration::from_millis(1_500))?;
    sleep_ms(3_000);
    for endpoint in &mut it.endpoints {
        endpoint.crash();
    }
    sleep_ms(4_000);
    for number in 3..=4 {
        it.add_endpoint(it.endpoint_spec(number, Duration::from_secs_f64(cold.start_s)))?;
    }
    sleep_ms(400);
    if trouble {
        it.cut.store(true, Ordering::SeqCst);
        record.line("daemon edge-1 is cut off");
    }
    sleep_ms(12_000);
    it.cut.store(false, Ordering::SeqCst);
    sleep_ms(2_000);
    it.stop_clients()?;
    for endpoint in &it.endpoints[2..] {
        let seen = endpoint.seen.lock().unwrap();
        for daemon in &it.daemons {
            let by = seen.openings.iter().filter(|it| it.by == daemon.spec.ip && it.cold_left > 0);
            record.result(format!(
                "cold endpoint {} got {} openings from {}",
                endpoint.spec.name,
                by.count(),
                daemon.spec.name
            ));
        }
    }
    judge_cold(&it, cold, 2)
}

/// FAILBACK: an endpoint crashes and starts again under its id while the store is down.
fn same_id_cold(program: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    const ENDPOINTS: u8 = 7;
    let cold = ordinary();
    let mut it = Deployment::start(program, record, cold, Link::Direct)?;
    for number in 1..=ENDPOINTS {
        it.add_endpoint(it.endpoint_spec(number, WARM))?;
    }
    it.wait_ready(Duration::from_secs(10))?;
    sleep_ms(3_000);
    it.add_client(Habit::Fresh { per_s: 100.0 }, Duration::from_millis(1_500))?;
    sleep_ms(5_000);
    if trouble {
        it.store.set_mood(Mood::Busy);
        record.line("the store is down");
    }
    sleep_ms(500);
    let is_crash = trouble || std::env::var_os("CRASH").is_some();
    if is_crash {
        it.endpoints.last_mut().ok_or("no endpoint")?.crash();
        sleep_ms(1_500);
        it.add_endpoint(it.endpoint_spec(ENDPOINTS, Duration::from_secs_f64(cold.start_s)))?;
    } else {
        sleep_ms(1_500);
    }
    sleep_ms(2_300);
    it.store.set_mood(Mood::Well);
    record.line("the store is up");
    sleep_ms(3_000);
    it.stop_clients()?;
    judge_cold(&it, cold, if is_crash { usize::from(ENDPOINTS) } else { 0 })
}
