//! Callers that open a flow for each request, each from a port of its own, while an endpoint drains, a
//! route is dropped or a zone is evacuated.

use std::net::Ipv4Addr;

use crate::{
    Outcome,
    caller::Habit,
    clock::now_ms,
    endpoint::{Endpoint, EndpointSpec, Opened},
    world::{HEARTBEAT_MS, Route, World, ZONES},
};

const ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 18, 0, 1), 8_443);
const OTHER: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 18, 0, 2), 8_443);
/// Time that everything runs undisturbed first: longer than `contact_ms`.
const CALM_MS: u64 = 7_000;
/// Time for which everything runs after the change; a draining endpoint exits then.
const AFTER_MS: u64 = 8_000;
/// Time for which it runs on.
const END_MS: u64 = 3_000;

/// What the endpoint or the operator does.
#[derive(Clone, Copy, PartialEq)]
pub enum Change {
    /// An endpoint drains; allowed are `drain_ms`.
    Drain,
    /// A new version drops a route; allowed are `config_apply_ms`.
    DropRoute,
    /// A zone is evacuated; allowed are `evacuate_ms`.
    Evacuate,
}

pub fn run(mut w: World, trouble: bool, change: Change) -> Outcome {
    w.serve_store();
    let route = |addr, kind| Route { addr, service: "mesa", kind, timeout_ms: 2_000, aim_ms: 120 };
    let services = [("mesa", 2.0, 10.0)];
    w.configure(7, &[route(ROUTE, "non_idempotent"), route(OTHER, "idempotent")], &services);
    let port = w.deployment.ports.data;
    for at in 0..6u64 {
        let addr = w.next_endpoint_addr();
        w.start_endpoint(EndpointSpec {
            id: 0x7f3a_9100 + at,
            service: "mesa".to_owned(),
            zone: ZONES[at as usize % 3].to_owned(),
            addr,
            slots: 8,
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
    for zone in ZONES {
        // New ports for comparison, and sixteen callers with a port each.
        w.start_callers(zone, ROUTE, Habit::Fresh { per_s: 10.0 }, 2_000);
        w.start_callers(zone, ROUTE, Habit::SamePorts { ports: 16, pause_ms: 400 }, 2_000);
        w.start_callers(zone, OTHER, Habit::Fresh { per_s: 5.0 }, 1_500);
    }
    w.sleep(CALM_MS);
    w.tell();
    let allowed = match change {
        Change::Drain | Change::DropRoute => 3_000,
        Change::Evacuate => 5_000,
    };
    if trouble {
        match change {
            Change::Drain => {
                w.endpoints[0].drain();
                w.record.say("endpoint 7f3a9100 reports `draining`");
            }
            Change::DropRoute => {
                w.configure(9, &[route(OTHER, "idempotent")], &services);
                w.record.say(&format!("version 9 drops the route {}:{}", ROUTE.0, ROUTE.1));
            }
            Change::Evacuate => {
                w.store.put(&format!("op/evacuate/{}", ZONES[0]), b"{}");
                w.record.say(&format!("{} is evacuated", ZONES[0]));
            }
        }
    }
    let changed = now_ms();
    w.sleep(AFTER_MS);
    w.tell();
    let unanswered = |w: &World| {
        let s = w.seen.lock().unwrap();
        s.late + s.broken_requests
    };
    let unanswered_before = unanswered(&w);
    if trouble && change == Change::Drain {
        let it = &w.endpoints[0];
        it.crash();
        w.store.remove(&it.key());
        w.record.say("the endpoint exits, and its entry is removed");
    }
    w.sleep(END_MS);
    w.tell();
    let lost = unanswered(&w) - unanswered_before;
    w.record.say(&format!("requests on open flows that were not answered since: {lost}"));
    for line in w.finish() {
        w.record.say(&line);
    }
    let judged = |e: &Endpoint, o: &Opened| match change {
        Change::Drain => e.spec.id == 0x7f3a_9100,
        Change::DropRoute => o.sent_to == (u32::from(ROUTE.0), ROUTE.1),
        Change::Evacuate => e.spec.zone == ZONES[0],
    };
    let seen = w.seen.lock().unwrap();
    let (mut before, mut same, mut fresh, mut last) = (0, 0, 0, 0);
    for e in &w.endpoints {
        let opened = e.opened.lock().unwrap();
        for o in opened.iter().filter(|o| judged(e, o)) {
            let copies = seen.opening_sent.get(&(o.caller.0, o.caller.1, o.seq));
            let Some(sent) = copies.and_then(|it| it.get(o.copy as usize)) else { continue };
            // The opening packet was sent, and arrived, later than allowed.
            if *sent <= changed + allowed {
                before += 1;
                continue;
            }
            let is_same = Ipv4Addr::from(o.caller.0).octets()[3] % 3 == 2;
            same += usize::from(is_same);
            fresh += usize::from(!is_same);
            last = last.max(o.arrived_ms - changed);
            w.record.line(&format!(
                "endpoint {:08x} takes a flow of {}:{} through {}, sent {} ms after the change",
                e.spec.id,
                Ipv4Addr::from(o.caller.0),
                o.caller.1,
                o.via,
                sent - changed
            ));
        }
    }
    w.record.say(&format!(
        "flows taken whose opening packet was sent later than {allowed} ms after the store's \
         confirmation: {same} from ports used before, {fresh} from new ports, the last {last} ms after \
         it; up to then {before}"
    ));
    if before == 0 {
        return Outcome::NotRun("no flow was taken before".to_owned());
    }
    if !trouble {
        // Nothing was changed, so any flow may be taken; resets on open flows are none in a calm run.
        let calm = seen.system_resets.is_empty() && seen.not_opened == 0;
        return if calm {
            Outcome::Held
        } else {
            Outcome::NotRun("the run was not calm".to_owned())
        };
    }
    if same + fresh == 0 { Outcome::Held } else { Outcome::Broken }
}
