//! Another writer's entry lacks fields, and its name ends in `-0`; its address is that of an endpoint of
//! another service.

use std::net::Ipv4Addr;

use crate::{
    Outcome,
    caller::Habit,
    endpoint::{EndpointSpec, Ran},
    world::{HEARTBEAT_MS, Route, World, ZONES},
};

const MESA: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 18, 0, 1), 8_443);
const ARCHIVO: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 18, 0, 2), 8_443);
/// Time that everything runs undisturbed before: longer than `contact_ms`.
const CALM_MS: u64 = 7_000;
const AFTER_MS: u64 = 8_000;

pub fn run(mut w: World, trouble: bool) -> Outcome {
    w.serve_store();
    let route = |addr, service, kind| Route { addr, service, kind, timeout_ms: 2_000, aim_ms: 120 };
    let routes = [route(MESA, "mesa", "non_idempotent"), route(ARCHIVO, "archivo", "download")];
    w.configure(7, &routes, &[("mesa", 2.0, 10.0), ("archivo", 2.0, 10.0)]);
    for at in 0..9u64 {
        let addr = w.next_endpoint_addr();
        w.start_endpoint(EndpointSpec {
            id: 0x7f3a_9100 + at,
            service: if at < 6 { "mesa" } else { "archivo" }.to_owned(),
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
        w.start_callers(zone, MESA, Habit::Fresh { per_s: 25.0 }, 2_000);
        w.start_callers(zone, ARCHIVO, Habit::Fresh { per_s: 5.0 }, 2_000);
    }
    w.sleep(CALM_MS);
    w.tell();
    let victim = w.endpoints[6].spec.clone();
    if trouble {
        // Without `version`, `seq` and `born`.
        let entry = format!(
            "{{\"service\":\"mesa\",\"address\":\"{}\",\"zone\":\"{}\",\"slots\":2,\
             \"state\":\"ready\",\"cold_left_ms\":0}}",
            victim.addr, victim.zone
        );
        w.store.put("servers/agent-0", entry.as_bytes());
        w.record.say(&format!("another writer: servers/agent-0 {entry}"));
    }
    w.sleep(AFTER_MS);
    w.tell();
    for it in w.finish() {
        w.record.say(&it);
    }
    let service_of = |sent_to: (u32, u16)| match sent_to {
        it if it == (u32::from(MESA.0), MESA.1) => "mesa",
        it if it == (u32::from(ARCHIVO.0), ARCHIVO.1) => "archivo",
        _ => "none",
    };
    let mut wrong: Vec<(String, Ran)> = Vec::new();
    let mut all = 0;
    for it in &w.endpoints {
        let ran = it.ran.lock().unwrap();
        all += ran.len();
        let foreign = ran.iter().filter(|r| service_of(r.sent_to) != it.spec.service);
        wrong.extend(foreign.map(|r| (format!("{:08x} of {}", it.spec.id, it.spec.service), *r)));
    }
    for (name, it) in &wrong {
        w.record.line(&format!(
            "at {} ms endpoint {name} runs a request of caller {}:{} that was sent to {}:{}, in a \
             datagram that names endpoint {}",
            it.at_ms,
            Ipv4Addr::from(it.caller.0),
            it.caller.1,
            Ipv4Addr::from(it.sent_to.0),
            it.sent_to.1,
            it.named
        ));
    }
    w.record.say(&format!(
        "requests that ran: {all}; run by a service to which no configuration allows them to go: {}",
        wrong.len()
    ));
    if all < 300 {
        return Outcome::NotRun("too little traffic".to_owned());
    }
    if wrong.is_empty() { Outcome::Held } else { Outcome::Broken }
}
