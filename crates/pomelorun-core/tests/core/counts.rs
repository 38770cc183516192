//! The counters by service agree with what callers saw.

use std::sync::Arc;

use pomelorun_core::{Outcomes, Snapshot};

use crate::mesh::{MESA, Mesh, Outcome, Shape, snapshot};

fn counted(mesh: &Mesh) -> Outcomes {
    let mut sum = [0; Outcomes::LEN];
    for host in &mesh.hosts {
        let of = host.core.services().get(MESA).to_array();
        sum.iter_mut().zip(of).for_each(|(sum, it)| *sum += it);
    }
    Outcomes::from_array(sum)
}

fn seen(mesh: &Mesh, outcome: Outcome) -> u64 {
    mesh.callers.count(outcome) as u64
}

#[test]
fn every_outcome_is_counted_once_over_all_hosts() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 61);
    mesh.open_flows(0, 300);
    mesh.run_for(200);
    for flow in 0..300 {
        mesh.request(flow, flow % 3 != 0);
    }
    mesh.run_for(2_000);
    let counted = counted(&mesh);
    assert_eq!(seen(&mesh, Outcome::Pending), 0);
    assert_eq!(counted.opened, mesh.callers.opened.len() as u64);
    assert_eq!(counted.answered, seen(&mesh, Outcome::Answered));
    assert_eq!(counted.refused, seen(&mesh, Outcome::NotRun));
    assert_eq!(counted.unknown, seen(&mesh, Outcome::Unknown));
    assert!(counted.answered > 0 && counted.refused + counted.unknown > 0, "{counted:?}");
    assert_eq!((counted.broken, counted.given_up), (0, 0));
}

#[test]
fn an_answer_after_the_bound_is_answered_but_not_in_time() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 62);
    mesh.open_flows(0, 5);
    mesh.run_for(100);
    mesh.request(0, true);
    mesh.run_for(200);
    let in_time = counted(&mesh);
    assert_eq!((in_time.answered, in_time.in_time), (1, 1));
    mesh.set_service_ms(shape.service_ms * 20);
    mesh.request(1, true);
    mesh.run_for(600);
    let late = counted(&mesh);
    assert_eq!((late.answered, late.in_time), (2, 1));
}

#[test]
fn the_time_in_the_queue_counts_towards_the_bound() {
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
    let counted = counted(&mesh);
    assert_eq!(counted.answered, 8);
    assert!((1..8).contains(&counted.in_time), "{counted:?}");
}

#[test]
fn flows_of_a_zone_taken_out_are_given_up_and_not_broken() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 64);
    mesh.open_flows(0, 200);
    mesh.run_for(200);
    mesh.publish(snapshot(2, &shape, |_, zones| zones[0].withdrawn = true));
    mesh.run_for(200);
    let counted = counted(&mesh);
    assert_eq!(counted.given_up, mesh.callers.ended.len() as u64);
    assert!(counted.given_up > 0);
    assert_eq!(counted.broken, 0);
}

#[test]
fn only_services_in_force_are_counted() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 65);
    mesh.open_flows(0, 10);
    mesh.run_for(100);
    assert!(counted(&mesh).opened > 0);
    let without = Snapshot { services: Vec::new(), ..(*snapshot(2, &shape, |_, _| {})).clone() };
    mesh.publish(Arc::new(without));
    mesh.request(0, true);
    mesh.run_for(200);
    assert!(mesh.hosts.iter().all(|it| it.core.services().entries().is_empty()));
}

#[test]
fn flows_that_their_upstreams_lost_are_broken() {
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
    let counted = counted(&mesh);
    assert!(!mesh.callers.ended.is_empty());
    assert_eq!(counted.broken, mesh.callers.ended.len() as u64);
    assert_eq!(counted.given_up, 0);
}
