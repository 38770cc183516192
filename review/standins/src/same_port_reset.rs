//! Callers that open one flow after the other from a port of their own each, beside a rolling restart of
//! one daemon. Later two endpoints crash.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use crate::{
    Outcome,
    caller::Habit,
    clock::now_ms,
    endpoint::EndpointSpec,
    world::{HEARTBEAT_MS, Route, World, ZONES},
};

const ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 18, 0, 1), 8_443);
/// Time that everything runs undisturbed first.
const CALM_MS: u64 = 12_000;
/// Time after which a process that ended is started again.
const RESTART_MS: u64 = 300;
/// Time from the return of the restarted daemon to the crash. The daemons and endpoints that are judged
/// have not been disturbed at all.
const BACK_MS: u64 = 800;
/// Time for which everything runs after the crash.
const AFTER_MS: u64 = 4_000;

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
    // As many endpoints in the zones as the small site has.
    let zones = [0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 2, 2, 2, 2];
    for (at, zone) in (0u64..).zip(zones) {
        let addr = w.next_endpoint_addr();
        w.start_endpoint(EndpointSpec {
            id: 0x7f3a_9100 + at,
            service: "mesa".to_owned(),
            zone: ZONES[zone].to_owned(),
            addr,
            slots: 32,
            work_ms: 200,
            cold_ms: 0,
            caller_port: port,
            heartbeat_ms: HEARTBEAT_MS,
            answer_bytes: 600,
            clock_ahead_ms: 0,
        });
    }
    if let Err(e) = w.start_hosts() {
        return Outcome::NotRun(e);
    }
    let habit = Habit::SamePortsLong { ports: 600, every_ms: 400, pause_ms: 3_300 };
    w.start_callers(ZONES[0], ROUTE, habit, 2_000);
    w.start_callers(ZONES[0], ROUTE, habit, 2_000);
    for zone in &ZONES[1..] {
        let habit = Habit::SamePortsLong { ports: 20, every_ms: 400, pause_ms: 3_300 };
        w.start_callers(zone, ROUTE, habit, 2_000);
    }
    w.sleep(CALM_MS);
    w.tell();
    let at = w.hosts.iter().position(|it| it.spec.zone == ZONES[0]).expect("a daemon");
    let spec = w.hosts[at].spec.clone();
    w.record.say(&format!("{} is stopped (SIGTERM) and started again", spec.name));
    w.hosts[at].signal("TERM");
    w.hosts[at].wait(Duration::from_secs(6));
    w.sleep(RESTART_MS);
    w.hosts[at] = w.deployment.start(&spec, &w.record);
    let fabric = w.fabric.clone().expect("routers");
    let end = now_ms() + 15_000;
    while !fabric.all_in_rotation() {
        if now_ms() > end {
            return Outcome::NotRun("the restarted daemon did not become ready".to_owned());
        }
        w.sleep(10);
    }
    w.sleep(BACK_MS);
    w.tell();
    let crashed = now_ms();
    if trouble {
        w.record.say("endpoints 7f3a9100 and 7f3a9101 crash");
        w.endpoints[..2].iter().for_each(|it| it.crash());
    }
    w.sleep(AFTER_MS);
    w.tell();
    for line in w.finish() {
        w.record.say(&line);
    }
    let seen = w.seen.lock().unwrap();
    // Which endpoint opened the flow with this initial sequence number of its own.
    let mut owners: HashMap<((u32, u16), u32), u64> = HashMap::new();
    for e in &w.endpoints {
        for o in e.opened.lock().unwrap().iter() {
            owners.insert((o.caller, o.first), e.spec.id);
        }
    }
    let (mut of_crashed, mut of_live, mut at_work, mut other, mut before) = (0, 0, 0, 0, 0);
    for it in &seen.system_resets {
        if it.at_ms < crashed {
            before += 1;
            continue;
        }
        match owners.get(&(it.caller, it.first)) {
            Some(0x7f3a_9100 | 0x7f3a_9101) => of_crashed += 1,
            // The restarted daemon is not in touch yet.
            Some(id) if it.from != IpAddr::V4(spec.ip) => {
                of_live += 1;
                at_work += u64::from(it.at_work);
                w.record.line(&format!(
                    "caller {}:{} got a reset from {} {} ms after the crash on its open flow at {id:08x}, \
                     which lives; request at work: {}",
                    Ipv4Addr::from(it.caller.0),
                    it.caller.1,
                    it.from,
                    it.at_ms - crashed,
                    it.at_work
                ));
            }
            Some(_) | None => other += 1,
        }
    }
    w.record.say(&format!(
        "resets of the system on open flows: {before} before the crash; after it {of_crashed} at the \
         crashed endpoints, {of_live} at live ones by daemons that nothing has disturbed ({at_work} with a \
         request at work), {other} others"
    ));
    if before > 0 {
        return Outcome::NotRun("flows were reset before the crash".to_owned());
    }
    if of_live == 0 { Outcome::Held } else { Outcome::Broken }
}
