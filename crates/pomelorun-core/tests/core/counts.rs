//! Per-service counters agree with the outcomes that callers see.

use std::sync::Arc;

use pomelorun_core::{Outcomes, Snapshot};

use crate::mesh::{MESA, Mesh, Outcome, Shape, snapshot};

fn total_counted(mesh: &Mesh) -> Outcomes {
    let mut sum = [0; Outcomes::LEN];
    for host in &mesh.hosts {
        let counters = host.core.services().get(MESA).to_array();
        sum.iter_mut().zip(counters).for_each(|(sum, it)| *sum += it);
    }
    Outcomes::from_array(sum)
}

fn seen_by_callers(mesh: &Mesh, outcome: Outcome) -> u64 {
    mesh.callers.count(outcome) as u64
}

#[test]
fn each_outcome_is_counted_exactly_once_across_hosts() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 61);
    mesh.open_flows(0, 300);
    mesh.run_for(200);
    for flow in 0..300 {
        mesh.request(flow, flow % 3 != 0);
    }
    mesh.run_for(2_000);
    let counted = total_counted(&mesh);
    assert_eq!(seen_by_callers(&mesh, Outcome::Pending), 0);
    assert_eq!(counted.opened, mesh.callers.opened.len() as u64);
    assert_eq!(counted.answered, seen_by_callers(&mesh, Outcome::Answered));
    assert_eq!(counted.refused, seen_by_callers(&mesh, Outcome::NotRun));
    assert_eq!(counted.unknown, seen_by_callers(&mesh, Outcome::Unknown));
    assert!(counted.answered > 0 && counted.refused + counted.unknown > 0, "{counted:?}");
    assert_eq!((counted.broken, counted.given_up), (0, 0));
}

#[test]
fn late_responses_count_as_answered_but_not_in_time() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 62);
    mesh.open_flows(0, 5);
    mesh.run_for(100);
    mesh.request(0, true);
    mesh.run_for(200);
    let in_time = total_counted(&mesh);
    assert_eq!((in_time.answered, in_time.in_time), (1, 1));
    mesh.set_service_ms(shape.service_ms * 20);
    mesh.request(1, true);
    mesh.run_for(600);
    let late = total_counted(&mesh);
    assert_eq!((late.answered, late.in_time), (2, 1));
}

#[test]
fn queueing_time_counts_towards_the_in_time_bound() {
    let mut shape = Shape::consorcio();
    shape.upstreams = 1;
    shape.slots = 1;
    let mut mesh = Mesh::new(&shape, 63);
    mesh.open_flows(0, 8);
    mesh.run_for(100);
    for flow in 0..8 {
        mesh.request(flow, true);
    }
    mesh.run_for(1_000);
    let counted = total_counted(&mesh);
    assert_eq!(counted.answered, 8);
    assert!((1..8).contains(&counted.in_time), "{counted:?}");
}

#[test]
fn flows_of_a_withdrawn_zone_count_as_given_up_not_broken() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 64);
    mesh.open_flows(0, 200);
    mesh.run_for(200);
    mesh.publish(snapshot(2, &shape, |_, zones| zones[0].withdrawn = true));
    mesh.run_for(200);
    let counted = total_counted(&mesh);
    assert_eq!(counted.given_up, mesh.callers.ended.len() as u64);
    assert!(counted.given_up > 0);
    assert_eq!(counted.broken, 0);
}

#[test]
fn only_services_of_the_active_revision_are_counted() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 65);
    mesh.open_flows(0, 10);
    mesh.run_for(100);
    assert!(total_counted(&mesh).opened > 0);
    let without = Snapshot { services: Vec::new(), ..(*snapshot(2, &shape, |_, _| {})).clone() };
    mesh.publish(Arc::new(without));
    mesh.request(0, true);
    mesh.run_for(200);
    assert!(mesh.hosts.iter().all(|it| it.core.services().entries().is_empty()));
}

#[test]
fn flows_lost_by_their_upstreams_count_as_broken() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 66);
    mesh.open_flows(0, 50);
    mesh.run_for(200);
    for upstream in mesh.upstreams.values_mut() {
        upstream.sessions.clear();
    }
    for flow in 0..50 {
        mesh.request(flow, true);
        mesh.run_for(5);
    }
    mesh.run_for(1_000);
    let counted = total_counted(&mesh);
    assert!(!mesh.callers.ended.is_empty());
    assert_eq!(counted.broken, mesh.callers.ended.len() as u64);
    assert_eq!(counted.given_up, 0);
}
