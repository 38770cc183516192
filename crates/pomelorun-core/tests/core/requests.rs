//! Responses to callers and number of executions of requests. For every packet, the mesh asserts
//! that no non-idempotent request runs twice and that a request reported as not run neither ran
//! before nor runs later.

use pomelorun_core::Action;
use pomelorun_wire::{Code, PacketKind};

use crate::{
    mesh::{Mesh, Outcome, Shape},
    one_host::{OneHost, forwarded, hold},
};

/// Retransmits requests while the upstreams have capacity for only a part of them.
fn send_burst(seed: u64, duplicates: u32, jitter: u64) -> Mesh {
    let mut mesh = Mesh::new(&Shape::consorcio(), seed);
    mesh.open_flows(0, 600);
    mesh.run_for(200);
    mesh.duplicates = duplicates;
    mesh.jitter = jitter;
    for round in 0..4 {
        let sent_requests: Vec<(u32, u32)> =
            (0..600).map(|flow| (flow, mesh.request(flow, (flow + round) % 2 == 0))).collect();
        for _ in 0..3 {
            mesh.run_for(60);
            for &(flow, req) in &sent_requests {
                mesh.send_request(flow, req);
            }
        }
        mesh.run_for(1_000);
    }
    mesh
}

#[test]
fn refused_request_never_runs_even_when_retransmitted() {
    for (seed, duplicates, jitter) in [(11, 0, 0), (12, 20, 30), (13, 40, 120)] {
        let mesh = send_burst(seed, duplicates, jitter);
        assert_eq!(mesh.callers.count(Outcome::Pending), 0, "seed {seed}");
        let refused = mesh.callers.count(Outcome::NotRun);
        assert!(refused > 100, "seed {seed}: only {refused} refused, too few to be conclusive");
        let busy = mesh.callers.asked.values().filter(|it| it.code == Code::BUSY.0).count();
        assert!(busy > 100, "seed {seed}: only {busy} refused as busy");
    }
}

#[test]
fn retransmission_of_an_answered_request_gets_the_complete_response_again() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    it.ack_records(&sent);
    let mut answer = hold(1, 1).kind(PacketKind::Answer).part(0, 1).as_bytes().to_vec();
    answer.extend_from_slice(b"held for dealer 3");
    assert_eq!(it.upstream_says(&answer)[..], [Action::ToCaller]);
    let resent = it.relayed(&hold(1, 1));
    assert_eq!(resent[..], [Action::HeldToCaller(answer.into())]);
}

#[test]
fn response_parts_are_reassembled_or_dropped() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    it.ack_records(&sent);
    let part = |flow, part, parts| hold(flow, 1).kind(PacketKind::Answer).part(part, parts);
    let dropped = [Action::Count(Code::ANSWER_UNEXPECTED)];
    for (case, answer, accepted) in [
        ("out of order", part(1, 2, 3), true),
        ("twice", part(1, 2, 3), false),
        ("beyond the last", part(1, 3, 3), false),
        ("with another number of parts", part(1, 0, 1), false),
        ("of a flow without a request", part(2, 0, 3), false),
        ("first", part(1, 0, 3), true),
        ("last to arrive", part(1, 1, 3), true),
        ("after the complete response", part(1, 1, 3), false),
    ] {
        let actions = it.upstream_says(answer.as_bytes());
        let expected = if accepted { [Action::ToCaller] } else { dropped.clone() };
        assert_eq!(actions[..], expected, "{case}");
    }
}

#[test]
fn forwarded_deadline_is_the_remaining_time_capped_by_the_pool_maximum() {
    const MAX: u16 = 500;
    for (deadline_ms, waited, expected_ms) in
        [(400, 0, 400), (0, 0, MAX), (60_000, 0, MAX), (400, 20, 380)]
    {
        let mut it = OneHost::acting();
        let mut sent = it.relayed(&hold(1, 1).deadline_ms(deadline_ms));
        if waited > 0 {
            sent = it.tick();
        }
        let held = forwarded(&it.ack_records(&sent));
        assert_eq!(held.len(), 1);
        assert_eq!(
            held[0].remaining_ms(),
            expected_ms,
            "deadline {deadline_ms} ms, waited {waited} ms"
        );
    }
}

/// Sends one request at a time and returns the result codes and the latencies in milliseconds.
fn send_one_by_one(mesh: &mut Mesh, idempotent: bool, requests: u32) -> (Vec<u16>, Vec<u64>) {
    let mut sent_requests = Vec::new();
    for at in 0..requests {
        let flow = at % 100;
        sent_requests.push((Mesh::flow(flow), mesh.request(flow, idempotent)));
        mesh.run_for(40);
    }
    mesh.run_for(600);
    let ended_requests = sent_requests.iter().map(|it| &mesh.callers.asked[it]);
    let answered = ended_requests.clone().filter(|it| it.outcome == Outcome::Answered);
    (
        ended_requests.map(|it| it.code).collect(),
        answered.map(|it| it.ended.since(it.sent).0).collect(),
    )
}

#[test]
fn recording_a_request_adds_one_round_trip_within_the_zone() {
    const ROUND_TRIP_MS: u64 = 2;
    const REQUESTS: u32 = 400;
    let mut mesh = Mesh::new(&Shape::consorcio(), 14);
    mesh.warm_up(100);
    let mean = |all: &[u64]| all.iter().sum::<u64>() as f64 / all.len() as f64;
    let (_, unrecorded_ms) = send_one_by_one(&mut mesh, true, REQUESTS);
    let (_, recorded_ms) = send_one_by_one(&mut mesh, false, REQUESTS);
    assert_eq!((unrecorded_ms.len(), recorded_ms.len()), (REQUESTS as usize, REQUESTS as usize));
    let added_ms = mean(&recorded_ms) - mean(&unrecorded_ms);
    // The number of hops through fabric and relays varies, so the means differ slightly.
    assert!(added_ms < ROUND_TRIP_MS as f64 + 0.5, "{added_ms} ms");
}

#[test]
fn packet_loss_rarely_prevents_recording_a_request() {
    const REQUESTS: u32 = 1_000;
    let mut mesh = Mesh::new(&Shape::consorcio(), 15);
    mesh.warm_up(100);
    mesh.loss = 5;
    let (codes, latencies_ms) = send_one_by_one(&mut mesh, false, REQUESTS);
    let failed = codes.iter().filter(|it| **it == Code::NOT_RECORDED.0).count();
    assert!(failed <= 1, "{failed} of {REQUESTS} were not recorded");
    assert!(latencies_ms.len() > 700, "{} answered", latencies_ms.len());
}
