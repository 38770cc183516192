//! Membership when hosts join, leave, crash, are paused or are partitioned.

use pomelorun_core::{Event, HostCore, Millis};
use pomelorun_wire::{Code, HostId, MemberState, ZoneId};

use crate::{
    fleet::Fleet,
    mesh::{Mesh, Outcome, Shape},
};

/// Maximum time until every host knows of a crash, in milliseconds.
const MAX_DETECTION_MS: u64 = 3_000;
/// Limit on the control traffic of an idle host, in bytes per second.
const MAX_CONTROL_BYTES_PER_S: f64 = 4_096.0;

#[test]
fn crash_is_detected_by_all_hosts_within_three_seconds() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(7, 3, seed);
        fleet.run_for(2_000 + seed * 37);
        let victim = seed as usize % 7;
        fleet.crash(victim);
        let elapsed = fleet
            .run_until(MAX_DETECTION_MS, |it| it.hosts_disagreeing(victim, MemberState::Dead) == 0);
        assert!(
            elapsed.is_some(),
            "seed {seed}: {} disagree",
            fleet.hosts_disagreeing(victim, MemberState::Dead)
        );
    }
}

#[test]
fn crash_is_detected_by_all_hosts_of_a_larger_fleet() {
    let mut fleet = Fleet::new(120, 6, 5);
    fleet.run_for(2_000);
    fleet.crash(60);
    let elapsed =
        fleet.run_until(MAX_DETECTION_MS, |it| it.hosts_disagreeing(60, MemberState::Dead) == 0);
    assert!(elapsed.is_some(), "{} disagree", fleet.hosts_disagreeing(60, MemberState::Dead));
}

#[test]
fn idle_control_traffic_stays_within_limit_at_any_fleet_size() {
    for hosts in [7, 120] {
        let mut fleet = Fleet::new(hosts, 3, 6);
        fleet.run_for(2_000);
        let before: u64 = fleet.hosts.iter().map(|it| it.bytes).sum();
        fleet.run_for(5_000);
        let after: u64 = fleet.hosts.iter().map(|it| it.bytes).sum();
        let rate = (after - before) as f64 / 5.0 / hosts as f64;
        assert!(rate < MAX_CONTROL_BYTES_PER_S, "{hosts} hosts: {rate} bytes per second");
    }
}

#[test]
fn resumed_host_suspects_no_other_host() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(7, 3, seed);
        fleet.run_for(2_000 + seed * 13);
        // The host is paused right after it sent a probe, so that it misses the response.
        let bytes = fleet.hosts[2].bytes;
        while fleet.hosts[2].bytes == bytes {
            fleet.run_for(1);
        }
        fleet.hosts[2].paused = true;
        fleet.run_for(6_000);
        assert_eq!(fleet.hosts_disagreeing(2, MemberState::Dead), 0);
        // The datagrams queued in its socket stay unread, so that it relies on its old state only.
        fleet.hosts[2].paused = false;
        for _ in 0..150 {
            fleet.run_for(20);
            for (at, host) in fleet.hosts.iter().enumerate() {
                assert_eq!(
                    fleet.non_live_members_except(at, 2),
                    0,
                    "seed {seed}: {:?} was suspected",
                    host.id
                );
            }
        }
        assert_eq!(fleet.hosts_disagreeing(2, MemberState::Live), 0, "seed {seed}");
    }
}

#[test]
fn resumed_host_learns_of_a_missed_crash_before_its_view_is_synced() {
    let mut fleet = Fleet::new(7, 3, 3);
    fleet.run_for(2_000);
    fleet.hosts[2].paused = true;
    fleet.crash(4);
    fleet.run_for(60_000);
    fleet.hosts[2].paused = false;
    fleet.run_for(20);
    let dead = fleet.hosts[4].id;
    let elapsed = fleet.run_until(1_000, |it| it.hosts[2].core.members().is_synced());
    assert!(elapsed.is_some());
    let state = fleet.hosts[2].core.members().get(dead).map(|it| it.state);
    assert_eq!(state, Some(MemberState::Dead));
}

#[test]
fn view_is_synced_after_a_timeout_when_no_peer_responds() {
    let mut fleet = Fleet::new(3, 3, 4);
    fleet.crash(1);
    fleet.crash(2);
    fleet.run_for(400);
    assert!(!fleet.hosts[0].core.members().is_synced());
    fleet.run_for(300);
    assert!(fleet.hosts[0].core.members().is_synced());
}

#[test]
fn joining_host_knows_dead_members_before_its_view_is_synced() {
    let mut fleet = Fleet::new(7, 3, 8);
    fleet.run_for(2_000);
    let listed = fleet.listed_hosts();
    fleet.crash(5);
    fleet.run_for(4_000);
    fleet.add(7, 3, 8);
    fleet.handle(7, Event::HostList(&listed));
    let elapsed = fleet.run_until(400, |it| it.hosts[7].core.members().is_synced());
    assert!(elapsed.is_some());
    let dead = fleet.hosts[5].id;
    assert_eq!(fleet.hosts[7].core.members().get(dead).unwrap().state, MemberState::Dead);
}

#[test]
fn unlisted_live_host_triggers_a_host_list_refresh() {
    let mut fleet = Fleet::new(7, 3, 9);
    fleet.run_for(2_000);
    assert!(!fleet.hosts[0].core.take_host_list_refresh());
    fleet.add(7, 3, 9);
    let listed = fleet.listed_hosts();
    fleet.handle(7, Event::HostList(&listed));
    fleet.run_for(3_000);
    assert!(fleet.hosts[0].core.take_host_list_refresh());
    assert!(!fleet.hosts[0].core.members().get(fleet.hosts[7].id).unwrap().accepts_work());
    fleet.publish_host_list();
    assert_eq!(fleet.hosts_disagreeing(7, MemberState::Live), 0);
}

#[test]
fn restarted_host_with_a_higher_incarnation_is_live_again() {
    let mut fleet = Fleet::new(7, 3, 10);
    fleet.run_for(2_000);
    fleet.crash(3);
    fleet.run_for(MAX_DETECTION_MS);
    fleet.restart(3, 2_000_000);
    let elapsed = fleet.run_until(3_000, |it| it.hosts_disagreeing(3, MemberState::Live) == 0);
    assert!(elapsed.is_some());
}

#[test]
fn restarted_host_with_a_lower_incarnation_is_live_again() {
    let mut fleet = Fleet::new(7, 3, 11);
    fleet.run_for(2_000);
    fleet.crash(3);
    fleet.run_for(MAX_DETECTION_MS);
    // The clock was set back, so that the new process has a lower incarnation than the old one.
    fleet.restart(3, 5);
    let elapsed = fleet.run_until(4_000, |it| it.hosts_disagreeing(3, MemberState::Live) == 0);
    assert!(elapsed.is_some());
}

#[test]
fn partition_is_detected_on_both_sides_and_heals_with_bounded_messages() {
    let mut fleet = Fleet::new(60, 3, 12);
    fleet.run_for(2_000);
    fleet.partitioned_zone = Some(fleet.hosts[0].zone);
    fleet.run_for(8_000);
    for at in 0..60 {
        let expected = if at % 3 == 0 { 40 } else { 20 };
        assert_eq!(fleet.non_live_members(at), expected, "host {at}");
    }
    fleet.partitioned_zone = None;
    let healed = |it: &Fleet| (0..60).all(|at| it.non_live_members(at) == 0);
    assert!(fleet.run_until(20_000, healed).is_some());
    let largest = fleet.hosts.iter().map(|it| it.largest_message).max().unwrap();
    assert!(largest < 1_400, "{largest} bytes do not fit one frame");
}

#[test]
fn dead_host_removed_from_the_host_list_is_forgotten() {
    let mut fleet = Fleet::new(7, 3, 13);
    fleet.run_for(2_000);
    fleet.crash(6);
    fleet.run_for(MAX_DETECTION_MS);
    fleet.publish_host_list();
    fleet.run_for(5_000);
    let removed = fleet.hosts[6].id;
    assert!(fleet.hosts[..6].iter().all(|it| it.core.members().get(removed).is_none()));
}

#[test]
fn resumed_host_rejects_requests_until_its_view_is_synced() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 5);
    mesh.warm_up(100);
    mesh.freeze(0);
    mesh.run_for(5_000);
    mesh.spray = Some(vec![0]);
    let reqs: Vec<u32> = (0..100).map(|flow| mesh.request(flow, false)).collect();
    mesh.run_for(50);
    mesh.thaw(0);
    mesh.run_for(5);
    let rejected = reqs.iter().enumerate().filter(|(flow, req)| {
        let request = &mesh.callers.asked[&(Mesh::flow(*flow as u32), **req)];
        request.code == Code::VIEW_NOT_SYNCED.0 && request.outcome == Outcome::Unknown
    });
    assert_eq!(rejected.count(), 100);
    mesh.run_for(500);
    assert!(mesh.hosts[0].core.members().is_synced());
    mesh.spray = None;
    for flow in 0..100 {
        mesh.request(flow, true);
        mesh.run_for(2);
    }
    mesh.run_for(1_000);
    assert!(mesh.callers.ended.is_empty(), "{} flows broken", mesh.callers.ended.len());
    assert_eq!(mesh.callers.count(Outcome::Pending), 0);
}

#[test]
fn rolling_replacement_of_all_hosts_breaks_no_flow() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 6);
    mesh.warm_up(200);
    for at in 0..7 {
        let zone = Shape::consorcio().zones[[0, 0, 0, 1, 1, 2, 2][at]];
        mesh.join(&format!("new-{at}"), zone);
        run_with_requests(&mut mesh, 1_500);
        mesh.leave(at);
        mesh.spray = Some((at + 1..mesh.hosts.len()).collect());
        run_with_requests(&mut mesh, 1_600);
        assert!(mesh.hosts[at].core.is_drained(), "host {at} is not drained");
        mesh.crash(at);
        mesh.list();
        run_with_requests(&mut mesh, 500);
    }
    mesh.run_for(1_000);
    assert_eq!(mesh.callers.ended.len(), 0, "flows broken");
    assert_eq!(mesh.callers.count(Outcome::Pending), 0);
}

/// Runs the mesh for `ms` milliseconds with one request every 5 ms.
fn run_with_requests(mesh: &mut Mesh, ms: u64) {
    for step in 0..ms / 5 {
        mesh.request((mesh.now.0 / 5 + step) as u32 % 200, step % 4 != 0);
        mesh.run_for(5);
    }
}

#[test]
fn joining_host_relays_packets_from_the_fabric() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 7);
    mesh.warm_up(200);
    let before = mesh.callers.count(Outcome::Answered);
    let new = mesh.join("bog-a-new", "bog-a");
    mesh.spray = Some(vec![new]);
    let mut codes = Vec::new();
    for at in 0..1_000 {
        let req = mesh.request(at % 200, true);
        codes.push((Mesh::flow(at % 200), req));
        mesh.run_for(1);
    }
    mesh.run_for(500);
    let mut codes: Vec<u16> = codes.iter().map(|it| mesh.callers.asked[it].code).collect();
    codes.retain(|it| *it != 0);
    let answered = mesh.callers.count(Outcome::Answered) - before;
    assert_eq!(answered, 1_000, "the other requests ended with {codes:?}");
}

#[test]
fn view_is_not_synced_without_a_host_list() {
    let cfg = pomelorun_core::CoreSettings::default();
    let mut core = HostCore::new(HostId(1), ZoneId(1), 1, 1, cfg);
    core.handle(Millis(5_000), Event::Tick);
    assert!(!core.members().is_synced());
}
