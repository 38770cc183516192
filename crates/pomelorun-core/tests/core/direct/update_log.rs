//! The log of recent updates, from which followers continue.

use pomelorun_core::{
    Millis,
    direct::{DirectoryPosition, ReplicatedUpdate, UpdateLog},
};
use pomelorun_wire::ServiceAddr;

use crate::direct::fixtures::{LOCAL_ZONE, SERVICE, announcement, host, route, routing};

fn at(revision: u64) -> DirectoryPosition {
    DirectoryPosition { era: 1, revision }
}

fn removed(ids: std::ops::Range<u64>) -> Vec<ReplicatedUpdate> {
    ids.map(ReplicatedUpdate::UpstreamRemoved).collect()
}

#[test]
fn log_returns_the_updates_that_a_follower_lacks() {
    let mut log = UpdateLog::default();
    log.restart(at(10));
    log.push(at(12), &removed(0..2));
    log.push(at(15), &removed(2..3));
    assert_eq!(log.updates_after(at(9)), None, "older than the log");
    assert_eq!(log.updates_after(at(10)), Some(removed(0..3)));
    assert_eq!(log.updates_after(at(11)), Some(removed(0..3)), "within a batch");
    assert_eq!(log.updates_after(at(12)), Some(removed(2..3)));
    assert_eq!(log.updates_after(at(15)), Some(Vec::new()));
    let restored = DirectoryPosition { era: 2, revision: 12 };
    assert_eq!(log.updates_after(restored), None);
    log.restart(restored);
    assert_eq!(log.updates_after(at(15)), None, "of the era before");
    assert_eq!(log.updates_after(restored), Some(Vec::new()));
}

#[test]
fn log_is_bounded_and_forgets_the_oldest_updates_first() {
    let mut log = UpdateLog::default();
    log.restart(at(0));
    for revision in 1..=2_000 {
        log.push(at(revision), &removed(revision..revision + 1));
    }
    assert_eq!(log.updates_after(at(1)), None);
    let last = log.updates_after(at(1_990)).unwrap();
    assert_eq!(last, removed(1_991..2_001));
    assert!(log.updates_after(at(1_900)).is_some() && log.updates_after(at(1_400)).is_none());
    log.push(at(2_001), &removed(0..5_000));
    assert_eq!(log.updates_after(at(2_000)), None, "larger than the bound");
    assert_eq!(log.updates_after(at(2_001)), Some(Vec::new()));
}

#[test]
fn updates_that_a_host_has_already_lead_to_the_same_state() {
    let mut reader = host(&[announcement(1, LOCAL_ZONE)]);
    let mut follower = host(&[announcement(1, LOCAL_ZONE)]);
    let other = ServiceAddr { port: 444, ..SERVICE };
    let changes = [
        routing(2, vec![route(SERVICE, "feed"), route(other, "desk")]),
        routing(3, vec![route(SERVICE, "feed")]),
    ];
    let mut log = Vec::new();
    for it in &changes {
        log.push(reader.encode_for_peer(it));
        reader.apply_update(Millis(10), it);
    }
    follower.apply_update(Millis(5), &changes[0]);
    for it in log {
        let it = follower.decode_from_peer(it).expect("a revision that is not newer is accepted");
        follower.apply_update(Millis(20), &it);
    }
    assert_eq!(follower.revision(), 3);
    assert_eq!(follower.full_listing(Millis(20), 0), reader.full_listing(Millis(20), 0));
}
