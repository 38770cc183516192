//! Endpoints come back cold, and the daemon that opens flows at one of them is stopped and started
//! again in a rolling restart.

use std::{collections::HashMap, net::Ipv4Addr, time::Duration};

use crate::{
    Outcome,
    caller::Habit,
    clock::now_ms,
    endpoint::{Endpoint, EndpointSpec},
    world::{HEARTBEAT_MS, Route, World, ZONES},
};

const ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 18, 0, 2), 8_443);
const COLD_START_S: f64 = 2.0;
const COLD_PER_S: f64 = 4.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Time that everything runs undisturbed first: longer than `contact_ms`.
const CALM_MS: u64 = 6_000;
/// Time for which the endpoints are down.
const DOWN_MS: u64 = 4_500;
/// Time from their return to the stop of the daemon.
const STOP_AFTER_MS: u64 = 600;
/// Time after which a process that ended is started again.
const RESTART_MS: u64 = 300;

#[derive(Clone, Copy, PartialEq)]
pub enum Stop {
    /// The daemon that opens flows at the cold endpoint gets SIGTERM.
    Term,
    /// It is killed.
    Kill,
    /// All daemons are killed at the same moment.
    KillAll,
    /// No daemon stops; the seeds of one are stale from its start on.
    StaleSeeds,
}

pub fn run(mut w: World, trouble: bool, stop: Stop) -> Outcome {
    w.serve_store();
    let other = (Ipv4Addr::new(127, 18, 0, 1), 8_443);
    let routes = [
        Route { addr: other, service: "mesa", kind: "idempotent", timeout_ms: 1_500, aim_ms: 100 },
        Route { addr: ROUTE, service: "archivo", kind: "download", timeout_ms: 8_000, aim_ms: 500 },
    ];
    let services = [("mesa", COLD_START_S, COLD_PER_S), ("archivo", COLD_START_S, COLD_PER_S)];
    w.configure(7, &routes, &services);
    let spec = |id: u64, service: &str, zone: &str, addr, port: u16| EndpointSpec {
        id,
        service: service.to_owned(),
        zone: zone.to_owned(),
        addr,
        slots: 2,
        work_ms: 5,
        cold_ms: 0,
        caller_port: port,
        heartbeat_ms: HEARTBEAT_MS,
        answer_bytes: 1_100,
        clock_ahead_ms: 0,
    };
    let port = w.deployment.ports.data;
    for at in 0..6u64 {
        let addr = w.next_endpoint_addr();
        w.start_endpoint(spec(0x7f3a_9100 + at, "mesa", ZONES[at as usize % 3], addr, port));
    }
    let addrs = [w.next_endpoint_addr(), w.next_endpoint_addr()];
    let warm: Vec<EndpointSpec> = addrs
        .iter()
        .enumerate()
        .map(|(at, addr)| spec(0x7f3a_9200 + at as u64, "archivo", ZONES[0], *addr, port))
        .collect();
    let warm: Vec<Endpoint> =
        warm.into_iter().map(|it| Endpoint::start(it, &w.store, &w.record)).collect();
    if trouble && stop == Stop::StaleSeeds {
        // Machines that are gone: nothing has these addresses.
        let gone = (1..=3).map(|it| Ipv4Addr::new(127, 31, 9, it)).collect();
        let last = w.deployment.hosts.last_mut().expect("a daemon");
        last.seeds = Some(gone);
        let name = last.name.clone();
        w.record.say(&format!("the seeds of {name} are stale: 127.31.9.1 to 127.31.9.3"));
    }
    if let Err(e) = w.start_hosts() {
        return Outcome::NotRun(e);
    }
    for zone in ZONES {
        w.start_callers(zone, other, Habit::Long { flows: 10, every_ms: 300 }, 1_500);
        w.start_callers(zone, ROUTE, Habit::Fresh { per_s: 50.0 }, 2_000);
    }
    w.sleep(CALM_MS);
    w.tell();
    w.record.say("the two endpoints of archivo go down");
    warm.iter().for_each(Endpoint::crash);
    // Entries expire after three check-in intervals of silence.
    w.sleep(3 * HEARTBEAT_MS);
    warm.iter().for_each(|it| w.store.remove(&it.key()));
    w.sleep(DOWN_MS - 3 * HEARTBEAT_MS);
    let back: Vec<Endpoint> = addrs
        .iter()
        .enumerate()
        .map(|(at, addr)| {
            let it = spec(0x7f3a_9300 + at as u64, "archivo", ZONES[0], *addr, port);
            let it = EndpointSpec { cold_ms: (COLD_START_S * 1_000.0) as u64, ..it };
            Endpoint::start(it, &w.store, &w.record)
        })
        .collect();
    w.record.say("they are back, cold");
    w.sleep(STOP_AFTER_MS);
    let mut vias: HashMap<Ipv4Addr, usize> = HashMap::new();
    back[0].opened.lock().unwrap().iter().for_each(|it| *vias.entry(it.via).or_default() += 1);
    let owner = vias.iter().max_by_key(|it| it.1).map(|it| *it.0);
    w.record.say(&format!("daemons that open flows at the first of them so far: {vias:?}"));
    let Some(owner) = owner else {
        return Outcome::NotRun("no daemon opened a flow at the cold endpoint".to_owned());
    };
    if trouble && stop == Stop::KillAll {
        w.record.say("all daemons are killed");
        w.hosts.iter_mut().for_each(crate::hosts::Host::kill);
        w.sleep(RESTART_MS);
        let specs = w.deployment.hosts.clone();
        w.hosts = specs.iter().map(|it| w.deployment.start(it, &w.record)).collect();
    } else if trouble && stop != Stop::StaleSeeds {
        let at = w.hosts.iter().position(|it| it.spec.ip == owner).expect("a daemon");
        let spec = w.hosts[at].spec.clone();
        w.record.say(&format!(
            "{} is stopped ({})",
            spec.name,
            if stop == Stop::Term { "SIGTERM" } else { "SIGKILL" }
        ));
        match stop {
            Stop::Term => {
                w.hosts[at].signal("TERM");
                w.hosts[at].wait(Duration::from_secs(6));
            }
            Stop::Kill | Stop::KillAll | Stop::StaleSeeds => w.hosts[at].kill(),
        }
        w.sleep(RESTART_MS);
        w.hosts[at] = w.deployment.start(&spec, &w.record);
    }
    let end = back[0].started_ms + 6_000;
    w.sleep(end.saturating_sub(now_ms()));
    w.tell();
    for it in w.finish() {
        w.record.say(&it);
    }
    back.iter().for_each(Endpoint::crash);
    let limit = (COLD_PER_S * COLD_OVER + COLD_SLACK) as usize;
    let mut broken = false;
    for it in &back {
        let opened = it.opened.lock().unwrap();
        let sent = w.seen.lock().unwrap();
        // When the opening packet that the endpoint took was sent and arrived, and through whom.
        let mut taken: Vec<(u64, u64, Ipv4Addr)> = opened
            .iter()
            .filter(|o| it.is_cold(o.arrived_ms))
            .filter_map(|o| {
                let sent = sent
                    .opening_sent
                    .get(&(o.caller.0, o.caller.1, o.seq))?
                    .get(o.copy as usize)?;
                Some((*sent, o.arrived_ms, o.via))
            })
            .collect();
        taken.sort_unstable();
        for o in &taken {
            w.record.line(&format!(
                "endpoint {:08x} {} ms after its start: takes a flow through {}, sent {} ms before",
                it.spec.id,
                o.1 - it.started_ms,
                o.2,
                o.1 - o.0
            ));
        }
        let mut worst = (0, 0, Vec::new());
        for first in &taken {
            let inside: Vec<_> =
                taken.iter().filter(|o| o.0 >= first.0 && o.1 < first.0 + 1_000).collect();
            if inside.len() > worst.0 {
                let mut by: Vec<(Ipv4Addr, usize)> = Vec::new();
                for o in &inside {
                    match by.iter_mut().find(|it| it.0 == o.2) {
                        Some(it) => it.1 += 1,
                        None => by.push((o.2, 1)),
                    }
                }
                worst = (inside.len(), first.0 - it.started_ms, by);
            }
        }
        w.record.say(&format!(
            "cold endpoint {:08x}: at most {} flows sent and taken in one second (from {} ms after its \
             start; allowed {limit}), through {:?}",
            it.spec.id, worst.0, worst.1, worst.2
        ));
        broken |= worst.0 > limit;
    }
    if broken { Outcome::Broken } else { Outcome::Held }
}
