//! Routing of packets while hosts, upstreams and revisions change.

use std::collections::BTreeSet;

use pomelorun_core::{RoutingHost, RoutingTable};
use pomelorun_wire::{Code, HostId, ZoneId};
use rand::RngExt;

use crate::mesh::{Mesh, Outcome, Shape, snapshot};

/// Returns a deployment of six hosts in four zones, two of which have a single host.
fn four_zones() -> Shape {
    Shape {
        zones: vec!["regina-a", "regina-b", "saskatoon", "winnipeg"],
        hosts: vec![2, 2, 1, 1],
        upstreams: 15,
        slots: 3,
        service_ms: 4,
    }
}

/// Sends `each_ms` requests on random flows in every millisecond.
fn send_random_requests(mesh: &mut Mesh, flows: u32, ms: u64, each_ms: u32) {
    for _ in 0..ms {
        for _ in 0..each_ms {
            let flow = mesh.rng.random_range(0..flows);
            let non_idempotent = mesh.rng.random_range(0..100) < 3;
            mesh.request(flow, !non_idempotent);
        }
        mesh.run_for(1);
    }
}

/// Sends requests on every flow, so that each lost flow is detected.
fn send_requests_on_all_flows(mesh: &mut Mesh, flows: u32) {
    for _ in 0..2 {
        for flow in 0..flows {
            mesh.request(flow, true);
            if flow % 2 == 0 {
                mesh.run_for(1);
            }
        }
        mesh.run_for(1_000);
    }
}

/// Drains an upstream, adds a host and removes another while requests continue.
///
/// `unread_ms` is the time until the other hosts have read the address of the new host.
fn replace_a_host(seed: u64, flows: u32, unread_ms: u64) -> Mesh {
    let shape = four_zones();
    let mut mesh = Mesh::new(&shape, seed);
    mesh.open_flows(0, flows);
    send_random_requests(&mut mesh, flows, 1_000, 1);
    mesh.publish(snapshot(2, &shape, |upstreams, _| upstreams[0].draining = true));
    send_random_requests(&mut mesh, flows, 500, 1);
    let new = mesh.hosts.len();
    mesh.strangers = (0..new).map(|it| (it, new)).collect();
    mesh.join("regina-a-new", "regina-a");
    send_random_requests(&mut mesh, flows, unread_ms, 4);
    mesh.strangers = vec![(2, new), (4, new)];
    send_random_requests(&mut mesh, flows, unread_ms / 2, 4);
    mesh.strangers.clear();
    mesh.spray = Some((1..mesh.hosts.len()).collect());
    send_random_requests(&mut mesh, flows, 500, 4);
    mesh.leave(0);
    send_random_requests(&mut mesh, flows, 100, 8);
    send_random_requests(&mut mesh, flows, 1_400, 1);
    mesh.crash(0);
    mesh.list();
    mesh.spray = Some((1..mesh.hosts.len()).collect());
    send_requests_on_all_flows(&mut mesh, flows);
    mesh
}

#[test]
fn no_flow_breaks_while_a_host_is_replaced_and_an_upstream_drains() {
    for seed in 1..=4 {
        let mesh = replace_a_host(seed, 4_000, 300);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken with seed {seed}");
    }
}

#[test]
fn no_flow_breaks_while_a_new_host_considers_live_hosts_dead() {
    for seed in 1..=4 {
        let mesh = replace_a_host(seed, 8_000, 2_000);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken with seed {seed}");
    }
}

fn crash(shape: &Shape, seed: u64, flows: u32, crashed: &[usize]) -> Mesh {
    let mut mesh = Mesh::new(shape, seed);
    mesh.open_flows(0, flows);
    send_random_requests(&mut mesh, flows, 500, 1);
    crashed.iter().for_each(|&it| mesh.crash(it));
    send_random_requests(&mut mesh, flows, 3_000, 1);
    send_requests_on_all_flows(&mut mesh, flows);
    mesh
}

/// Returns the number of flows whose last request failed because no host could find or reach the
/// upstream.
fn unreachable_flows(mesh: &Mesh, flows: u32) -> usize {
    let codes = [Code::FLOW_ZONE_UNREACHABLE.0, Code::FLOW_UNKNOWN.0, Code::HOP_LIMIT_REACHED.0];
    let last = |flow| {
        let key = Mesh::flow(flow);
        mesh.callers.asked.range((key, 0)..=(key, u32::MAX)).next_back()
    };
    let last_requests = (0..flows).filter_map(last);
    last_requests
        .filter(|it| it.1.outcome == Outcome::Pending || codes.contains(&it.1.code))
        .count()
}

#[test]
fn every_flow_is_found_after_one_of_several_hosts_of_a_zone_crashed() {
    for at in 0..7 {
        let mesh = crash(&Shape::consorcio(), 70 + at as u64, 2_000, &[at]);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken after the crash of host {at}");
        assert_eq!(
            unreachable_flows(&mesh, 2_000),
            0,
            "flows unreachable after the crash of host {at}"
        );
    }
}

#[test]
fn no_flow_breaks_after_any_single_host_crashed() {
    for at in 0..6 {
        let mesh = crash(&four_zones(), 10 + at as u64, 3_000, &[at]);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken after the crash of host {at}");
    }
}

#[test]
fn no_flow_breaks_after_hosts_of_two_zones_crashed() {
    for seed in 20..23 {
        let mesh = crash(&four_zones(), seed, 3_000, &[0, 2]);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken with seed {seed}");
    }
}

/// Opens a flow and retransmits until it is accepted.
fn open_until_answered(mesh: &mut Mesh, flow: u32) {
    for _ in 0..20 {
        if mesh.callers.opened.contains(&Mesh::flow(flow)) {
            return;
        }
        mesh.open_flows(flow, flow + 1);
        mesh.run_for(200);
    }
    panic!("flow {flow} was not opened");
}

/// Sends requests on the flow until one is answered.
fn request_until_answered(mesh: &mut Mesh, flow: u32) {
    for _ in 0..20 {
        let req = mesh.request(flow, true);
        mesh.run_for(420);
        if mesh.callers.asked[&(Mesh::flow(flow), req)].outcome == Outcome::Answered {
            return;
        }
    }
    panic!("flow {flow} was not answered");
}

/// Retransmits the first request of each flow that has no outcome yet, as callers do.
fn retransmit_pending(mesh: &mut Mesh) {
    for flow in 0..MATRIX_FLOWS {
        if mesh.callers.asked[&(Mesh::flow(flow), 1)].outcome == Outcome::Pending {
            mesh.send_request(flow, 1);
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Crash(usize),
    /// Restarts the only host of a zone, which is unreachable in the meantime.
    Restart(usize),
    Leave(usize),
    Join,
    Drain,
    Pause(usize),
    Loss,
}

impl Fault {
    fn inject(self, mesh: &mut Mesh) {
        match self {
            Fault::Crash(at) | Fault::Restart(at) => mesh.crash(at),
            Fault::Leave(at) => mesh.leave(at),
            Fault::Join => {
                mesh.join("regina-b-new", "regina-b");
            }
            Fault::Drain => mesh.publish(snapshot(2, &four_zones(), |upstreams, _| {
                upstreams.iter_mut().take(7).for_each(|it| it.draining = true);
            })),
            Fault::Pause(at) => mesh.freeze(at),
            Fault::Loss => mesh.loss = 20,
        }
    }

    fn end(self, mesh: &mut Mesh) {
        match self {
            Fault::Restart(at) => mesh.restart(at),
            Fault::Pause(at) => mesh.thaw(at),
            Fault::Loss => mesh.loss = 0,
            _ => {}
        }
    }
}

const FAULTS: [Fault; 9] = [
    Fault::Crash(0),
    Fault::Crash(3),
    Fault::Restart(5),
    Fault::Leave(0),
    Fault::Leave(2),
    Fault::Join,
    Fault::Drain,
    Fault::Pause(4),
    Fault::Loss,
];

/// Delays between the packets of a step and the fault, in milliseconds: on the way to the bucket
/// owner, to the primary, to the upstream and back.
const FAULT_DELAYS_MS: [u64; 4] = [0, 2, 4, 6];

const MATRIX_FLOWS: u32 = 30;

/// Injects a fault `after` milliseconds after `step`, ends it, and opens all flows that are not
/// open.
fn run_with_fault(fault: Fault, after: u64, step: impl Fn(&mut Mesh), opened: bool) -> Mesh {
    let mut mesh = Mesh::new(&four_zones(), 30);
    if opened {
        mesh.open_flows(0, MATRIX_FLOWS);
        mesh.run_for(50);
    }
    step(&mut mesh);
    mesh.run_for(after);
    fault.inject(&mut mesh);
    mesh.run_for(1_500);
    fault.end(&mut mesh);
    for flow in 0..MATRIX_FLOWS {
        open_until_answered(&mut mesh, flow);
    }
    mesh
}

#[test]
fn fault_while_flows_open_neither_splits_nor_breaks_a_flow() {
    for fault in FAULTS {
        for after in FAULT_DELAYS_MS {
            let mut mesh = run_with_fault(fault, after, |it| it.open_flows(0, MATRIX_FLOWS), false);
            for flow in 0..MATRIX_FLOWS {
                request_until_answered(&mut mesh, flow);
            }
            assert_eq!(mesh.split_flows(), 0, "{fault:?} {after} ms after opening");
            assert_eq!(mesh.callers.ended.len(), 0, "{fault:?} {after} ms after opening");
        }
    }
}

#[test]
fn fault_during_requests_neither_splits_nor_breaks_a_flow() {
    let step = |mesh: &mut Mesh| {
        for flow in 0..MATRIX_FLOWS {
            mesh.request(flow, flow % 2 == 0);
        }
    };
    for fault in FAULTS {
        for after in FAULT_DELAYS_MS {
            let mut mesh = run_with_fault(fault, after, step, true);
            for _ in 0..3 {
                retransmit_pending(&mut mesh);
                mesh.run_for(500);
            }
            for flow in 0..MATRIX_FLOWS {
                request_until_answered(&mut mesh, flow);
            }
            assert_eq!(mesh.split_flows(), 0, "{fault:?} {after} ms after the requests");
            assert_eq!(mesh.callers.ended.len(), 0, "{fault:?} {after} ms after the requests");
            assert_eq!(mesh.callers.count(Outcome::Pending), 0, "{fault:?} {after} ms");
        }
    }
}

#[test]
fn flows_closed_during_a_fault_can_be_reopened() {
    let step = |mesh: &mut Mesh| {
        (0..MATRIX_FLOWS).for_each(|it| mesh.close(it));
        mesh.callers.opened.clear();
    };
    for fault in FAULTS {
        for after in FAULT_DELAYS_MS {
            let mut mesh = run_with_fault(fault, after, step, true);
            for flow in 0..MATRIX_FLOWS {
                request_until_answered(&mut mesh, flow);
            }
            assert_eq!(mesh.callers.ended.len(), 0, "{fault:?} {after} ms after closing");
        }
    }
}

/// Crashes in a randomized run, in addition to planned changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Crashes {
    None,
    OneAtATime,
}

/// Runs joins, leaves, drains, new upstreams and new flows in random order, concurrently or seconds
/// apart.
fn churn(seed: u64, steps: u32, crashes: Crashes) -> Mesh {
    let mut shape = Shape { hosts: vec![2, 2, 2, 2], ..four_zones() };
    let mut mesh = Mesh::new(&shape, seed);
    let mut draining = BTreeSet::new();
    let (mut flows, mut revision) = (1_000, 1);
    mesh.open_flows(0, flows);
    for step in 0..steps {
        mesh.open_flows(flows, flows + 100);
        flows += 100;
        send_random_requests(&mut mesh, flows, 300, 2);
        let live_hosts: Vec<usize> =
            (0..mesh.hosts.len()).filter(|&it| mesh.hosts[it].up).collect();
        let zone = shape.zones[mesh.rng.random_range(0..shape.zones.len())];
        let random_host = live_hosts[mesh.rng.random_range(0..live_hosts.len())];
        if step % 4 != 3 {
            revision += 1;
            shape.upstreams += usize::from(step % 3 == 0 && shape.upstreams < 20);
            draining.insert(mesh.rng.random_range(0..shape.upstreams));
            if draining.len() > 5 {
                draining.pop_first();
            }
            mesh.publish(snapshot(revision, &shape, |upstreams, _| {
                draining.iter().for_each(|&it| upstreams[it].draining = true);
            }));
            mesh.set_service_ms(shape.service_ms);
        }
        match mesh.rng.random_range(0..3) {
            0 => {
                mesh.join(&format!("{zone}-new-{step}"), zone);
                send_random_requests(&mut mesh, flows, 1_000, 2);
            }
            1 if live_hosts.len() > 6 => {
                mesh.spray =
                    Some(live_hosts.iter().copied().filter(|&it| it != random_host).collect());
                mesh.leave(random_host);
                send_random_requests(&mut mesh, flows, 1_500, 2);
                mesh.crash(random_host);
                mesh.spray = None;
                mesh.list();
            }
            2 if live_hosts.len() > 6 && crashes == Crashes::OneAtATime => {
                mesh.crash(random_host);
                send_random_requests(&mut mesh, flows, 6_000, 2);
                mesh.list();
            }
            _ => {}
        }
    }
    mesh.run_for(2_000);
    send_requests_on_all_flows(&mut mesh, flows);
    assert_eq!(mesh.split_flows(), 0, "flows with two upstreams, seed {seed}");
    mesh
}

#[test]
fn no_flow_breaks_during_concurrent_planned_changes() {
    for seed in 40..44 {
        let mesh = churn(seed, 12, Crashes::None);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken with seed {seed}");
    }
}

#[test]
fn no_flow_breaks_during_planned_changes_with_single_crashes() {
    for seed in 50..54 {
        let mesh = churn(seed, 12, Crashes::OneAtATime);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken with seed {seed}");
    }
}

#[test]
fn at_most_one_flow_in_a_thousand_breaks_after_two_crashes_in_one_zone() {
    for seed in 60..63 {
        let mesh = crash(&Shape::consorcio(), seed, 4_000, &[0, 1]);
        let broken = mesh.callers.ended.len() + unreachable_flows(&mesh, 4_000);
        assert!(broken <= 4, "{broken} of 4000 flows broken with seed {seed}");
    }
}

/// Returns the hosts `from..to`, distributed over three zones.
fn routing_hosts(from: usize, to: usize) -> Vec<RoutingHost> {
    let zones = ["bog-a", "bog-b", "mde-a"];
    let host = |at: usize| RoutingHost {
        host: HostId::from_name(&format!("host-{at}")),
        zone: ZoneId::from_name(zones[at % zones.len()]),
    };
    let mut hosts: Vec<RoutingHost> = (from..to).map(host).collect();
    hosts.sort_unstable();
    hosts
}

#[test]
fn updated_routing_table_equals_a_newly_built_one() {
    let snapshot = snapshot(1, &Shape::consorcio(), |_, _| {});
    let mut table = RoutingTable::new(&snapshot, routing_hosts(0, 7));
    for (from, to) in [(0, 8), (1, 8), (1, 7), (0, 9), (4, 9), (4, 20), (18, 20), (0, 7), (0, 0)] {
        table = table.updated(&snapshot, routing_hosts(from, to));
        let rebuilt = RoutingTable::new(&snapshot, routing_hosts(from, to));
        for bucket in 0..snapshot.buckets {
            assert_eq!(
                table.bucket_ranks(bucket),
                rebuilt.bucket_ranks(bucket),
                "hosts {from}..{to}"
            );
        }
        for it in &snapshot.upstreams {
            assert_eq!(table.primary(it.id), rebuilt.primary(it.id), "hosts {from}..{to}");
            assert_eq!(table.backup(it.id), rebuilt.backup(it.id), "hosts {from}..{to}");
        }
    }
}
