//! Who reads the configuration service, whom to ask, and what to accept.

use pomelorun_core::{ConfigReadRole, Event, Millis, RevisionCheck, check_revision};
use pomelorun_wire::{MemberState, ZoneId};

use crate::{
    fleet::Fleet,
    mesh::{Shape, snapshot},
};

/// Reads a second that the configuration service bears across all hosts.
const SERVICE_READS_PER_S: f64 = 2_000.0;
/// Longest time that one watch waits at the service, seconds.
const WATCH_S: f64 = 10.0;

fn readers(fleet: &Fleet, zone: ZoneId) -> usize {
    let hosts = fleet.hosts.iter().filter(|it| it.up && it.zone == zone);
    hosts.filter(|it| it.core.config_read_role() == ConfigReadRole::Reader).count()
}

#[test]
fn revisions_only_rise_and_one_revision_has_one_content() {
    assert_eq!(check_revision(None, (1, "a")), RevisionCheck::Newer);
    assert_eq!(check_revision(Some((7, "a")), (8, "b")), RevisionCheck::Newer);
    assert_eq!(check_revision(Some((7, "a")), (7, "a")), RevisionCheck::Unchanged);
    assert_eq!(check_revision(Some((7, "a")), (6, "a")), RevisionCheck::Older);
    assert_eq!(check_revision(Some((7, "a")), (7, "b")), RevisionCheck::Conflict);
}

#[test]
fn two_hosts_of_each_zone_read_and_others_step_in_when_they_die() {
    let mut fleet = Fleet::new(30, 3, 1);
    fleet.run_for(2_000);
    let zone = fleet.hosts[0].zone;
    assert_eq!(readers(&fleet, zone), 2);
    let is_reader = |fleet: &Fleet, at: usize| {
        fleet.hosts[at].core.config_read_role() == ConfigReadRole::Reader
    };
    let gone: Vec<usize> =
        (0..30).filter(|&at| fleet.hosts[at].zone == zone && is_reader(&fleet, at)).collect();
    for &at in &gone {
        fleet.crash(at);
    }
    fleet.run_for(4_000);
    assert!(gone.iter().all(|&at| fleet.disagreeing(at, MemberState::Dead) == 0));
    assert_eq!(readers(&fleet, zone), 2);
}

#[test]
fn all_reads_together_stay_within_the_rate_of_the_service_at_the_target_size() {
    let fleet = Fleet::new(1_800, 17, 1);
    let mut reads = 0.0;
    for at in 0..fleet.hosts.len() {
        reads += match fleet.hosts[at].core.config_read_role() {
            ConfigReadRole::Reader => 2.0 / WATCH_S,
            ConfigReadRole::Standby { poll_interval } => 1_000.0 / poll_interval.0 as f64,
        };
    }
    assert!(reads < SERVICE_READS_PER_S / 2.0, "{reads} reads a second");
}

#[test]
fn a_newer_revision_is_heard_of_by_every_host_within_seconds() {
    let mut fleet = Fleet::new(60, 3, 2);
    fleet.run_for(2_000);
    fleet.handle(0, Event::Snapshot(snapshot(5, &Shape::consorcio(), |_, _| {})));
    let heard = |fleet: &Fleet| {
        (1..60).filter(|&at| fleet.hosts[at].core.newer_advertised_revision().is_some()).count()
    };
    let start = fleet.now;
    // Each host that hears of it has it a moment later, as the stream between hosts gives it.
    while heard(&fleet) > 0 || fleet.hosts.iter().any(|it| it.core.revision() < 5) {
        fleet.run_for(20);
        for at in 1..60 {
            if fleet.hosts[at].core.newer_advertised_revision().is_some() {
                fleet.handle(at, Event::Snapshot(snapshot(5, &Shape::consorcio(), |_, _| {})));
            }
        }
        assert!(fleet.now.since(start) < Millis(9_000), "not everywhere in 9 s");
    }
}

#[test]
fn a_restarted_host_hears_of_the_revision_in_force_before_it_settles() {
    let mut fleet = Fleet::new(7, 3, 3);
    fleet.run_for(2_000);
    for at in 0..7 {
        fleet.handle(at, Event::Snapshot(snapshot(9, &Shape::consorcio(), |_, _| {})));
    }
    fleet.run_for(500);
    fleet.crash(4);
    fleet.restart(4, 2_000_000);
    let settled = fleet.run_until(400, |it| it.hosts[4].core.members().is_synced());
    assert!(settled.is_some());
    assert_eq!(fleet.hosts[4].core.newer_advertised_revision().map(|it| it.0), Some(9));
}

#[test]
fn an_older_revision_is_ignored_by_the_core_too() {
    let mut fleet = Fleet::new(3, 3, 4);
    for revision in [4, 3] {
        fleet.handle(0, Event::Snapshot(snapshot(revision, &Shape::consorcio(), |_, _| {})));
    }
    assert_eq!(fleet.hosts[0].core.revision(), 4);
}
