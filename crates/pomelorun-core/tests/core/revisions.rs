//! Which hosts read the configuration service, and which revisions a host accepts.

use pomelorun_core::{ConfigReadRole, Event, Millis, RevisionCheck, check_revision};
use pomelorun_wire::{MemberState, ZoneId};

use crate::{
    fleet::Fleet,
    mesh::{Shape, snapshot},
};

/// Reads per second that the configuration service can serve across all hosts.
const MAX_SERVICE_READS_PER_S: f64 = 2_000.0;
/// Maximum duration of one watch request at the service, in seconds.
const MAX_WATCH_S: f64 = 10.0;

fn count_readers(fleet: &Fleet, zone: ZoneId) -> usize {
    let hosts = fleet.hosts.iter().filter(|it| it.up && it.zone == zone);
    hosts.filter(|it| it.core.config_read_role() == ConfigReadRole::Reader).count()
}

#[test]
fn check_revision_tells_newer_unchanged_older_and_conflicting_apart() {
    assert_eq!(check_revision(None, (1, "a")), RevisionCheck::Newer);
    assert_eq!(check_revision(Some((7, "a")), (8, "b")), RevisionCheck::Newer);
    assert_eq!(check_revision(Some((7, "a")), (7, "a")), RevisionCheck::Unchanged);
    assert_eq!(check_revision(Some((7, "a")), (6, "a")), RevisionCheck::Older);
    assert_eq!(check_revision(Some((7, "a")), (7, "b")), RevisionCheck::Conflict);
}

#[test]
fn standby_hosts_replace_crashed_configuration_readers() {
    let mut fleet = Fleet::new(30, 3, 1);
    fleet.run_for(2_000);
    let zone = fleet.hosts[0].zone;
    assert_eq!(count_readers(&fleet, zone), 2);
    let is_reader = |fleet: &Fleet, at: usize| {
        fleet.hosts[at].core.config_read_role() == ConfigReadRole::Reader
    };
    let crashed: Vec<usize> =
        (0..30).filter(|&at| fleet.hosts[at].zone == zone && is_reader(&fleet, at)).collect();
    for &at in &crashed {
        fleet.crash(at);
    }
    fleet.run_for(4_000);
    assert!(crashed.iter().all(|&at| fleet.hosts_disagreeing(at, MemberState::Dead) == 0));
    assert_eq!(count_readers(&fleet, zone), 2);
}

#[test]
fn configuration_reads_stay_within_service_capacity_at_target_size() {
    let fleet = Fleet::new(1_800, 17, 1);
    let mut reads = 0.0;
    for at in 0..fleet.hosts.len() {
        reads += match fleet.hosts[at].core.config_read_role() {
            ConfigReadRole::Reader => 2.0 / MAX_WATCH_S,
            ConfigReadRole::Standby { poll_interval } => 1_000.0 / poll_interval.0 as f64,
        };
    }
    assert!(reads < MAX_SERVICE_READS_PER_S / 2.0, "{reads} reads per second");
}

#[test]
fn newer_revision_reaches_every_host_within_nine_seconds() {
    let mut fleet = Fleet::new(60, 3, 2);
    fleet.run_for(2_000);
    fleet.handle(0, Event::Snapshot(snapshot(5, &Shape::consorcio(), |_, _| {})));
    let hosts_behind = |fleet: &Fleet| {
        (1..60).filter(|&at| fleet.hosts[at].core.newer_advertised_revision().is_some()).count()
    };
    let start = fleet.now;
    // A host that learns of the newer revision receives it at the next step, as if over the
    // stream between hosts.
    while hosts_behind(&fleet) > 0 || fleet.hosts.iter().any(|it| it.core.revision() < 5) {
        fleet.run_for(20);
        for at in 1..60 {
            if fleet.hosts[at].core.newer_advertised_revision().is_some() {
                fleet.handle(at, Event::Snapshot(snapshot(5, &Shape::consorcio(), |_, _| {})));
            }
        }
        assert!(
            fleet.now.since(start) < Millis(9_000),
            "revision did not reach every host within 9 s"
        );
    }
}

#[test]
fn restarted_host_learns_active_revision_before_its_view_is_synced() {
    let mut fleet = Fleet::new(7, 3, 3);
    fleet.run_for(2_000);
    for at in 0..7 {
        fleet.handle(at, Event::Snapshot(snapshot(9, &Shape::consorcio(), |_, _| {})));
    }
    fleet.run_for(500);
    fleet.crash(4);
    fleet.restart(4, 2_000_000);
    let synced = fleet.run_until(400, |it| it.hosts[4].core.members().is_synced());
    assert!(synced.is_some());
    assert_eq!(fleet.hosts[4].core.newer_advertised_revision().map(|it| it.0), Some(9));
}

#[test]
fn core_ignores_an_older_revision() {
    let mut fleet = Fleet::new(3, 3, 4);
    for revision in [4, 3] {
        fleet.handle(0, Event::Snapshot(snapshot(revision, &Shape::consorcio(), |_, _| {})));
    }
    assert_eq!(fleet.hosts[0].core.revision(), 4);
}
