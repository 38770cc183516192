//! Joining, leaving, crashing, sleeping and being cut off, as other hosts see it.

use pomelorun_core::{Event, HostCore, Millis};
use pomelorun_wire::{Code, HostId, MemberState, ZoneId};

use crate::{
    fleet::Fleet,
    mesh::{Mesh, Outcome, Shape},
};

/// Time after which a crash must be known everywhere, milliseconds.
const DETECTED_MS: u64 = 3_000;
/// Control traffic that a host may spend, bytes a second.
const BYTES_PER_S: f64 = 4_096.0;

#[test]
fn a_crash_is_known_everywhere_within_three_seconds() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(7, 3, seed);
        fleet.run_for(2_000 + seed * 37);
        let victim = seed as usize % 7;
        fleet.crash(victim);
        let took =
            fleet.run_until(DETECTED_MS, |it| it.disagreeing(victim, MemberState::Dead) == 0);
        assert!(
            took.is_some(),
            "seed {seed}: {} disagree",
            fleet.disagreeing(victim, MemberState::Dead)
        );
    }
}

#[test]
fn a_crash_is_known_everywhere_in_a_larger_fleet() {
    let mut fleet = Fleet::new(120, 6, 5);
    fleet.run_for(2_000);
    fleet.crash(60);
    let took = fleet.run_until(DETECTED_MS, |it| it.disagreeing(60, MemberState::Dead) == 0);
    assert!(took.is_some(), "{} disagree", fleet.disagreeing(60, MemberState::Dead));
}

#[test]
fn an_idle_host_stays_below_its_bytes_whatever_the_number_of_hosts() {
    for hosts in [7, 120] {
        let mut fleet = Fleet::new(hosts, 3, 6);
        fleet.run_for(2_000);
        let before: u64 = fleet.hosts.iter().map(|it| it.bytes).sum();
        fleet.run_for(5_000);
        let after: u64 = fleet.hosts.iter().map(|it| it.bytes).sum();
        let rate = (after - before) as f64 / 5.0 / hosts as f64;
        assert!(rate < BYTES_PER_S, "{hosts} hosts: {rate} bytes a second");
    }
}

#[test]
fn a_host_that_slept_blames_no_other_host_on_waking() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(7, 3, seed);
        fleet.run_for(2_000 + seed * 13);
        // It falls asleep right after a probe, whose answer it will not read.
        let bytes = fleet.hosts[2].bytes;
        while fleet.hosts[2].bytes == bytes {
            fleet.run_for(1);
        }
        fleet.hosts[2].frozen = true;
        fleet.run_for(6_000);
        assert_eq!(fleet.disagreeing(2, MemberState::Dead), 0);
        // What waits in the socket is lost, so that nothing but its own memory speaks.
        fleet.hosts[2].frozen = false;
        for _ in 0..150 {
            fleet.run_for(20);
            for (at, host) in fleet.hosts.iter().enumerate() {
                assert_eq!(fleet.not_live_but(at, 2), 0, "seed {seed}: {:?} was blamed", host.id);
            }
        }
        assert_eq!(fleet.disagreeing(2, MemberState::Live), 0, "seed {seed}");
    }
}

#[test]
fn a_host_that_slept_learns_of_a_death_it_missed_before_it_settles() {
    let mut fleet = Fleet::new(7, 3, 3);
    fleet.run_for(2_000);
    fleet.hosts[2].frozen = true;
    fleet.crash(4);
    fleet.run_for(60_000);
    fleet.hosts[2].frozen = false;
    fleet.run_for(20);
    let dead = fleet.hosts[4].id;
    let took = fleet.run_until(1_000, |it| it.hosts[2].core.members().is_synced());
    assert!(took.is_some());
    let seen = fleet.hosts[2].core.members().get(dead).map(|it| it.state);
    assert_eq!(seen, Some(MemberState::Dead));
}

#[test]
fn a_host_settles_alone_when_no_other_answers() {
    let mut fleet = Fleet::new(3, 3, 4);
    fleet.crash(1);
    fleet.crash(2);
    fleet.run_for(400);
    assert!(!fleet.hosts[0].core.members().is_synced());
    fleet.run_for(300);
    assert!(fleet.hosts[0].core.members().is_synced());
}

#[test]
fn a_joining_host_knows_the_dead_before_it_settles() {
    let mut fleet = Fleet::new(7, 3, 8);
    fleet.run_for(2_000);
    let listed = fleet.listed();
    fleet.crash(5);
    fleet.run_for(4_000);
    fleet.add(7, 3, 8);
    fleet.handle(7, Event::HostList(&listed));
    let took = fleet.run_until(400, |it| it.hosts[7].core.members().is_synced());
    assert!(took.is_some());
    let dead = fleet.hosts[5].id;
    assert_eq!(fleet.hosts[7].core.members().get(dead).unwrap().state, MemberState::Dead);
}

#[test]
fn a_live_host_that_the_list_lacks_is_heard_of_and_the_list_wanted() {
    let mut fleet = Fleet::new(7, 3, 9);
    fleet.run_for(2_000);
    assert!(!fleet.hosts[0].core.take_host_list_refresh());
    fleet.add(7, 3, 9);
    let listed = fleet.listed();
    fleet.handle(7, Event::HostList(&listed));
    fleet.run_for(3_000);
    assert!(fleet.hosts[0].core.take_host_list_refresh());
    assert!(!fleet.hosts[0].core.members().get(fleet.hosts[7].id).unwrap().accepts_work());
    fleet.list();
    assert_eq!(fleet.disagreeing(7, MemberState::Live), 0);
}

#[test]
fn a_newer_process_under_the_same_name_supersedes_the_dead_one() {
    let mut fleet = Fleet::new(7, 3, 10);
    fleet.run_for(2_000);
    fleet.crash(3);
    fleet.run_for(DETECTED_MS);
    fleet.restart(3, 2_000_000);
    let took = fleet.run_until(3_000, |it| it.disagreeing(3, MemberState::Live) == 0);
    assert!(took.is_some());
}

#[test]
fn a_process_whose_clock_was_set_back_is_believed_again() {
    let mut fleet = Fleet::new(7, 3, 11);
    fleet.run_for(2_000);
    fleet.crash(3);
    fleet.run_for(DETECTED_MS);
    fleet.restart(3, 5);
    let took = fleet.run_until(4_000, |it| it.disagreeing(3, MemberState::Live) == 0);
    assert!(took.is_some());
}

#[test]
fn a_cut_zone_is_known_on_both_sides_and_comes_back_with_bounded_messages() {
    let mut fleet = Fleet::new(60, 3, 12);
    fleet.run_for(2_000);
    fleet.cut = Some(fleet.hosts[0].zone);
    fleet.run_for(8_000);
    for at in 0..60 {
        let expected = if at % 3 == 0 { 40 } else { 20 };
        assert_eq!(fleet.not_live(at), expected, "host {at}");
    }
    fleet.cut = None;
    let healed = |it: &Fleet| (0..60).all(|at| it.not_live(at) == 0);
    assert!(fleet.run_until(20_000, healed).is_some());
    let largest = fleet.hosts.iter().map(|it| it.largest).max().unwrap();
    assert!(largest < 1_400, "{largest} bytes do not fit one frame");
}

#[test]
fn a_host_that_leaves_the_list_dead_is_forgotten() {
    let mut fleet = Fleet::new(7, 3, 13);
    fleet.run_for(2_000);
    fleet.crash(6);
    fleet.run_for(DETECTED_MS);
    fleet.list();
    fleet.run_for(5_000);
    let gone = fleet.hosts[6].id;
    assert!(fleet.hosts[..6].iter().all(|it| it.core.members().get(gone).is_none()));
}

#[test]
fn a_woken_host_refuses_to_decide_before_its_view_is_checked() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 5);
    mesh.warm_up(100);
    mesh.freeze(0);
    mesh.run_for(5_000);
    mesh.spray = Some(vec![0]);
    let reqs: Vec<u32> = (0..100).map(|flow| mesh.request(flow, false)).collect();
    mesh.run_for(50);
    mesh.thaw(0);
    mesh.run_for(5);
    let unchecked = reqs.iter().enumerate().filter(|(flow, req)| {
        let asked = &mesh.callers.asked[&(Mesh::flow(*flow as u32), **req)];
        asked.code == Code::VIEW_NOT_SYNCED.0 && asked.outcome == Outcome::Unknown
    });
    assert_eq!(unchecked.count(), 100);
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
fn a_rolling_replacement_of_every_host_breaks_no_flow() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 6);
    mesh.warm_up(200);
    for at in 0..7 {
        let zone = Shape::consorcio().zones[[0, 0, 0, 1, 1, 2, 2][at]];
        mesh.join(&format!("new-{at}"), zone);
        load(&mut mesh, 1_500);
        mesh.leave(at);
        mesh.spray = Some((at + 1..mesh.hosts.len()).collect());
        load(&mut mesh, 1_600);
        assert!(mesh.hosts[at].core.is_drained(), "host {at} did not finish");
        mesh.crash(at);
        mesh.list();
        load(&mut mesh, 500);
    }
    mesh.run_for(1_000);
    assert_eq!(mesh.callers.ended.len(), 0, "flows broken");
    assert_eq!(mesh.callers.count(Outcome::Pending), 0);
}

/// Lets time pass with a request every 5 ms.
fn load(mesh: &mut Mesh, ms: u64) {
    for step in 0..ms / 5 {
        mesh.request((mesh.now.0 / 5 + step) as u32 % 200, step % 4 != 0);
        mesh.run_for(5);
    }
}

#[test]
fn a_joining_host_hands_on_what_the_fabric_gives_it() {
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
    assert_eq!(answered, 1_000, "others ended with {codes:?}");
}

#[test]
fn a_host_without_a_list_has_no_view() {
    let cfg = pomelorun_core::CoreSettings::default();
    let mut core = HostCore::new(HostId(1), ZoneId(1), 1, 1, cfg);
    core.handle(Millis(5_000), Event::Tick);
    assert!(!core.members().is_synced());
}
