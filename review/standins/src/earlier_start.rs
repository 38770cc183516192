//! An endpoint starts while its machine's time of day is ahead, crashes, and starts again under its id
//! once the time of day is right again. Later it drains.

use std::{net::Ipv4Addr, sync::atomic::Ordering};

use crate::{
    Outcome,
    caller::Habit,
    clock::now_ms,
    endpoint::EndpointSpec,
    world::{HEARTBEAT_MS, Route, World, ZONES},
};

const ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 18, 0, 1), 8_443);
const DRAIN_MS: u64 = 3_000;
/// How far the time of day is ahead at the first start.
const AHEAD_MS: u64 = 2_000;
/// Time from the first start to the crash, and time until the second start.
const UP_MS: u64 = 800;
const DOWN_MS: u64 = 400;
/// Time from the second start to the report that the endpoint drains: longer than `contact_ms`.
const CALM_MS: u64 = 7_000;
/// Time for which a draining endpoint still serves.
const STAY_MS: u64 = 7_000;

pub fn run(mut w: World, trouble: bool) -> Outcome {
    w.serve_store();
    let route = Route {
        addr: ROUTE,
        service: "mesa",
        kind: "non_idempotent",
        timeout_ms: 2_000,
        aim_ms: 120,
    };
    w.configure(7, &[route], &[("mesa", 2.0, 10.0)]);
    let port = w.deployment.ports.data;
    let spec = |at: u64, addr| EndpointSpec {
        id: 0x7f3a_9100 + at,
        service: "mesa".to_owned(),
        zone: ZONES[at as usize % 3].to_owned(),
        addr,
        slots: 2,
        work_ms: 100,
        cold_ms: 0,
        caller_port: port,
        heartbeat_ms: HEARTBEAT_MS,
        answer_bytes: 600,
        clock_ahead_ms: 0,
    };
    for at in 0..6u64 {
        let addr = w.next_endpoint_addr();
        w.start_endpoint(spec(at, addr));
    }
    if let Err(e) = w.start_hosts() {
        return Outcome::NotRun(e);
    }
    for zone in ZONES {
        w.start_callers(zone, ROUTE, Habit::Fresh { per_s: 25.0 }, 2_000);
    }
    w.sleep(3_000);
    let addr = w.next_endpoint_addr();
    let ahead = if trouble { AHEAD_MS } else { 0 };
    w.record.say(&format!("an endpoint starts, its time of day {ahead} ms ahead"));
    w.start_endpoint(EndpointSpec { clock_ahead_ms: ahead, ..spec(6, addr) });
    w.sleep(UP_MS);
    w.endpoints.pop().expect("the endpoint").crash();
    w.sleep(DOWN_MS);
    w.record.say("it has crashed, and starts again under its id with the right time of day");
    w.start_endpoint(spec(6, addr));
    w.sleep(CALM_MS);
    w.tell();
    let it = w.endpoints.last().expect("the endpoint");
    let before = it.opened.lock().unwrap().len();
    it.drain();
    let drained = now_ms();
    w.record.say(&format!("it reports `draining`; it has taken {before} flows so far"));
    w.sleep(STAY_MS);
    w.tell();
    w.record.say("it exits, and its entry is removed");
    let (answered, sent) = {
        let s = w.seen.lock().unwrap();
        (s.answered, s.sent)
    };
    let it = w.endpoints.last().expect("the endpoint");
    it.crash();
    w.store.remove(&it.key());
    w.record.line(&format!("before: sent {sent}, answered {answered}"));
    w.sleep(3_000);
    w.tell();
    for line in w.finish() {
        w.record.say(&line);
    }
    let it = w.endpoints.last().expect("the endpoint");
    assert!(it.draining.load(Ordering::SeqCst));
    let opened = it.opened.lock().unwrap();
    let late: Vec<u64> = opened
        .iter()
        .filter(|o| o.arrived_ms > drained + DRAIN_MS)
        .map(|o| o.arrived_ms - drained)
        .collect();
    w.record.say(&format!(
        "flows opened there later than {DRAIN_MS} ms after the store's confirmation: {}, the last {} ms \
         after it",
        late.len(),
        late.iter().max().unwrap_or(&0)
    ));
    if before == 0 {
        return Outcome::NotRun("the endpoint took no flow before it drained".to_owned());
    }
    if late.is_empty() { Outcome::Held } else { Outcome::Broken }
}
