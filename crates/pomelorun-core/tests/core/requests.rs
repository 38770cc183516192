//! What callers are told of requests, and how often requests run. The mesh asserts as packets pass
//! that no non-idempotent request runs twice and that "not run" is true, before and after.

use pomelorun_core::Action;
use pomelorun_wire::{Code, PacketKind};

use crate::{
    mesh::{Mesh, Outcome, Shape},
    one_host::{OneHost, forwarded, hold},
};

/// Requests that are sent again and again while upstreams can bear only a part of them.
fn burst(seed: u64, duplicates: u32, jitter: u64) -> Mesh {
    let mut mesh = Mesh::new(&Shape::consorcio(), seed);
    mesh.open_flows(0, 600);
    mesh.run_for(200);
    mesh.duplicates = duplicates;
    mesh.jitter = jitter;
    for round in 0..4 {
        let asked: Vec<(u32, u32)> =
            (0..600).map(|flow| (flow, mesh.request(flow, (flow + round) % 2 == 0))).collect();
        for _ in 0..3 {
            mesh.run_for(60);
            for &(flow, req) in &asked {
                mesh.send_request(flow, req);
            }
        }
        mesh.run_for(1_000);
    }
    mesh
}

#[test]
fn a_refused_request_never_runs_though_copies_of_it_arrive_later() {
    for (seed, duplicates, jitter) in [(11, 0, 0), (12, 20, 30), (13, 40, 120)] {
        let mesh = burst(seed, duplicates, jitter);
        assert_eq!(mesh.callers.count(Outcome::Pending), 0, "seed {seed}");
        let refused = mesh.callers.count(Outcome::NotRun);
        assert!(refused > 100, "seed {seed}: only {refused} refused, nothing is shown");
        let busy = mesh.callers.asked.values().filter(|it| it.code == Code::BUSY.0).count();
        assert!(busy > 100, "seed {seed}: only {busy} refused as busy");
    }
}

#[test]
fn a_copy_of_an_answered_request_gets_the_whole_answer_again() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    it.ack_records(&sent);
    let mut answer = hold(1, 1).kind(PacketKind::Answer).part(0, 1).as_bytes().to_vec();
    answer.extend_from_slice(b"held for dealer 3");
    assert_eq!(it.upstream_says(&answer)[..], [Action::ToCaller]);
    let again = it.relayed(&hold(1, 1));
    assert_eq!(again[..], [Action::HeldToCaller(answer.into())]);
}

#[test]
fn parts_of_answers_are_put_in_place_or_dropped() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    it.ack_records(&sent);
    let part = |flow, part, parts| hold(flow, 1).kind(PacketKind::Answer).part(part, parts);
    let dropped = [Action::Count(Code::ANSWER_UNEXPECTED)];
    for (what, answer, passed) in [
        ("out of order", part(1, 2, 3), true),
        ("twice", part(1, 2, 3), false),
        ("beyond the last", part(1, 3, 3), false),
        ("of another number of parts", part(1, 0, 1), false),
        ("of a flow that asked nothing", part(2, 0, 3), false),
        ("first", part(1, 0, 3), true),
        ("last to arrive", part(1, 1, 3), true),
        ("after the whole", part(1, 1, 3), false),
    ] {
        let said = it.upstream_says(answer.as_bytes());
        let expected = if passed { [Action::ToCaller] } else { dropped.clone() };
        assert_eq!(said[..], expected, "{what}");
    }
}

#[test]
fn an_upstream_is_told_the_time_that_is_left_within_the_maximum_of_the_pool() {
    const MAX: u16 = 500;
    for (asked, waited, told) in [(400, 0, 400), (0, 0, MAX), (60_000, 0, MAX), (400, 20, 380)] {
        let mut it = OneHost::acting();
        let mut sent = it.relayed(&hold(1, 1).deadline_ms(asked));
        if waited > 0 {
            sent = it.tick();
        }
        let held = forwarded(&it.ack_records(&sent));
        assert_eq!(held.len(), 1);
        assert_eq!(held[0].remaining_ms(), told, "asked for {asked} ms, waited {waited}");
    }
}

/// Asks one request at a time; returns the codes and the latencies, milliseconds.
fn one_by_one(mesh: &mut Mesh, idempotent: bool, requests: u32) -> (Vec<u16>, Vec<u64>) {
    let mut asked = Vec::new();
    for at in 0..requests {
        let flow = at % 100;
        asked.push((Mesh::flow(flow), mesh.request(flow, idempotent)));
        mesh.run_for(40);
    }
    mesh.run_for(600);
    let ends = asked.iter().map(|it| &mesh.callers.asked[it]);
    let answered = ends.clone().filter(|it| it.outcome == Outcome::Answered);
    (ends.map(|it| it.code).collect(), answered.map(|it| it.ended.since(it.sent).0).collect())
}

#[test]
fn recording_a_request_costs_one_round_trip_within_the_zone() {
    const ROUND_TRIP_MS: u64 = 2;
    const REQUESTS: u32 = 400;
    let mut mesh = Mesh::new(&Shape::consorcio(), 14);
    mesh.warm_up(100);
    let mean = |all: &[u64]| all.iter().sum::<u64>() as f64 / all.len() as f64;
    let (_, plain) = one_by_one(&mut mesh, true, REQUESTS);
    let (_, recorded) = one_by_one(&mut mesh, false, REQUESTS);
    assert_eq!((plain.len(), recorded.len()), (REQUESTS as usize, REQUESTS as usize));
    let extra = mean(&recorded) - mean(&plain);
    // Fabric and relays take a varying number of hops, so the means differ a little.
    assert!(extra < ROUND_TRIP_MS as f64 + 0.5, "{extra} ms");
}

#[test]
fn lost_datagrams_seldom_keep_a_request_from_being_recorded() {
    const REQUESTS: u32 = 1_000;
    let mut mesh = Mesh::new(&Shape::consorcio(), 15);
    mesh.warm_up(100);
    mesh.loss = 5;
    let (codes, latency) = one_by_one(&mut mesh, false, REQUESTS);
    let failed = codes.iter().filter(|it| **it == Code::NOT_RECORDED.0).count();
    assert!(failed <= 1, "{failed} of {REQUESTS} were not recorded");
    assert!(latency.len() > 700, "{} answered", latency.len());
}
