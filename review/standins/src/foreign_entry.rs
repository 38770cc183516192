//! Another writer's entry, of a service that the configuration does not name, gives the address of a
//! live endpoint.

use std::net::Ipv4Addr;

use crate::{
    Outcome,
    caller::Habit,
    clock::{now_ms, unix_ms},
    endpoint::EndpointSpec,
    world::{HEARTBEAT_MS, Route, World, ZONES},
};

const ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 18, 0, 1), 8_443);
/// Time that everything runs undisturbed before: longer than `contact_ms`.
const CALM_MS: u64 = 8_000;
const AFTER_MS: u64 = 10_000;

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
    for at in 0..6u64 {
        let addr = w.next_endpoint_addr();
        w.start_endpoint(EndpointSpec {
            id: 0x7f3a_9100 + at,
            service: "mesa".to_owned(),
            zone: ZONES[at as usize % 3].to_owned(),
            addr,
            slots: 2,
            work_ms: 20,
            cold_ms: 0,
            caller_port: w.deployment.ports.data,
            heartbeat_ms: HEARTBEAT_MS,
            answer_bytes: 600,
            clock_ahead_ms: 0,
        });
    }
    if let Err(e) = w.start_hosts() {
        return Outcome::NotRun(e);
    }
    for zone in ZONES {
        w.start_callers(zone, ROUTE, Habit::Long { flows: 20, every_ms: 120 }, 2_000);
    }
    w.sleep(CALM_MS);
    w.tell();
    let before = w.seen.lock().unwrap().system_resets.len();
    if before > 0 || w.seen.lock().unwrap().answered < 500 {
        return Outcome::NotRun(format!(
            "{before} resets before the trouble, or too little traffic"
        ));
    }
    let victim = w.endpoints[0].spec.clone();
    if trouble {
        let entry = format!(
            "{{\"service\":\"metrics-agent\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":1,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{}}}",
            victim.addr,
            victim.zone,
            unix_ms()
        );
        w.store.put("servers/i-0e0e0e01", entry.as_bytes());
        w.record.say(&format!("another writer: servers/i-0e0e0e01 {entry}"));
    }
    let at = now_ms();
    let opened_before = w.endpoints[0].opened.lock().unwrap().len();
    w.sleep(AFTER_MS);
    w.tell();
    let opened_after = w.endpoints[0].opened.lock().unwrap().len() - opened_before;
    let resets = {
        let s = w.seen.lock().unwrap();
        let resets: Vec<_> = s.system_resets.iter().filter(|it| it.at_ms >= at).cloned().collect();
        resets
    };
    let of_victim = {
        let opened = w.endpoints[0].opened.lock().unwrap();
        resets.iter().filter(|it| opened.iter().any(|o| o.caller == it.caller)).count()
    };
    for it in w.finish() {
        w.record.say(&it);
    }
    let broken = w.seen.lock().unwrap().broken_requests;
    w.record.say(&format!("requests at work on these flows, never answered: {broken}"));
    w.record.say(&format!(
        "resets of the system on open flows while all endpoints live: {}, of them {of_victim} on flows \
         of endpoint {:08x}; flows opened there in the {} s since: {opened_after}",
        resets.len(),
        victim.id,
        AFTER_MS / 1_000
    ));
    if resets.is_empty() { Outcome::Held } else { Outcome::Broken }
}
