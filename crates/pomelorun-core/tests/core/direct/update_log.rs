//! The log of recent updates, from which followers continue.

use pomelorun_core::{
    Millis,
    direct::{DirectoryPosition, ListingNews, ReplicatedUpdate, UpdateLog},
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

// Guards against a follower that keeps an instance that its reader's listing has shown to be replaced: it had
// reached the position of the listing through updates (review/13).
#[test]
fn follower_at_the_position_of_a_listing_gets_it_unless_it_has_it() {
    let mut log = UpdateLog::default();
    log.restart(at(20));
    log.record_listing(at(20), ListingNews::Settled);
    assert_eq!(log.updates_for(at(20), Some(at(16))), None, "it lacks the listing");
    assert_eq!(log.updates_for(at(20), None), None, "it does not tell");
    assert_eq!(log.updates_for(at(20), Some(at(20))), Some(Vec::new()));
    assert_eq!(log.updates_for(at(20), Some(at(22))), Some(Vec::new()), "it has a later one");
    log.push(at(23), &removed(0..1));
    assert_eq!(log.updates_for(at(23), Some(at(16))), None, "no later update contains it");
    assert_eq!(log.updates_for(at(20), Some(at(20))), Some(removed(0..1)));
    // The listing stays part of the copy of a host that stops reading and begins again.
    log.restart(at(25));
    assert_eq!(log.updates_for(at(25), Some(at(16))), None);
    assert_eq!(log.updates_for(at(25), None), Some(Vec::new()));
}

#[test]
fn initial_listing_is_sent_to_followers_that_tell_of_an_earlier_one_alone() {
    let mut log = UpdateLog::default();
    log.record_listing(at(20), ListingNews::Initial);
    log.restart(at(20));
    assert_eq!(log.updates_for(at(20), None), Some(Vec::new()));
    assert_eq!(log.updates_for(at(20), Some(at(16))), None);
    log.record_listing(at(30), ListingNews::AsUpdates);
    assert_eq!(log.updates_for(at(30), Some(at(20))), Some(Vec::new()));
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
