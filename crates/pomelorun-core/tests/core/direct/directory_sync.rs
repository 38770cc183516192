//! Directory synchronization: reader and follower roles, failover between them, and backoff.

use pomelorun_core::{
    Millis,
    direct::{
        BootstrapHosts, DirectoryPosition, DirectorySync, HasFollowers, Readers, ResponseEra,
        SyncOutcome, SyncStep,
    },
};
use pomelorun_wire::HostId;

const A: HostId = HostId(10);
const B: HostId = HostId(11);

/// Returns the position of a revision in the directory's first era.
pub(super) fn at(revision: u64) -> DirectoryPosition {
    DirectoryPosition { era: 1, revision }
}

fn bootstrap(same_zone: &[HostId], other_zones: &[HostId]) -> BootstrapHosts {
    BootstrapHosts { same_zone: same_zone.to_vec(), other_zones: other_zones.to_vec() }
}

pub(super) fn follower() -> Readers {
    Readers {
        ranked: vec![A, B],
        is_reader: false,
        synced: true,
        bootstrap: bootstrap(&[A, B], &[]),
    }
}

fn reader() -> Readers {
    Readers { ranked: vec![B], is_reader: true, synced: true, bootstrap: bootstrap(&[B], &[]) }
}

pub(super) fn sync_after_listing(sync: &mut DirectorySync, readers: &Readers) -> SyncStep {
    let first = sync.next_step(Millis(0), None, readers, HasFollowers::No, 0.5);
    assert!(matches!(first, SyncStep::List { .. }), "{first:?}");
    sync.confirm(Millis(0));
    sync.next_step(Millis(10), Some(SyncOutcome::Listed(at(7))), readers, HasFollowers::No, 0.5)
}

#[test]
fn host_lists_first_and_then_follows_a_reader_of_its_zone() {
    let mut sync = DirectorySync::default();
    let next = sync_after_listing(&mut sync, &follower());
    assert!(matches!(next, SyncStep::Follow { host, .. } if host == A || host == B), "{next:?}");
}

#[test]
fn host_without_known_readers_pauses_after_one_listing() {
    let mut sync = DirectorySync::default();
    let next = sync_after_listing(&mut sync, &Readers::default());
    assert!(matches!(next, SyncStep::Pause(_)), "{next:?}");
}

#[test]
fn reader_resumes_watching_after_the_last_received_revision() {
    let mut sync = DirectorySync::default();
    let next = sync_after_listing(&mut sync, &reader());
    assert!(
        matches!(next, SyncStep::Watch { after: DirectoryPosition { era: 1, revision: 7 }, .. }),
        "{next:?}"
    );
    let outcome = SyncOutcome::Watched { position: at(9), events: true };
    let next = sync.next_step(Millis(20), Some(outcome), &reader(), HasFollowers::No, 0.5);
    assert!(
        matches!(next, SyncStep::Watch { after: DirectoryPosition { era: 1, revision: 9 }, .. }),
        "{next:?}"
    );
}

#[test]
fn reader_lists_again_after_the_watch_history_expired() {
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &reader());
    let next = sync.next_step(
        Millis(20),
        Some(SyncOutcome::HistoryExpired),
        &reader(),
        HasFollowers::No,
        0.5,
    );
    assert!(matches!(next, SyncStep::List { .. }), "{next:?}");
}

#[test]
fn watch_that_is_too_long_to_be_received_is_replaced_by_a_listing() {
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &reader());
    let incomplete = Some(SyncOutcome::Incomplete);
    let next = sync.next_step(Millis(20), incomplete, &reader(), HasFollowers::No, 0.5);
    assert!(matches!(next, SyncStep::List { pause: Millis(0), .. }), "{next:?}");
    // A listing that fails in the same way is retried at a bounded rate.
    let next = sync.next_step(Millis(30), incomplete, &reader(), HasFollowers::No, 0.5);
    assert!(matches!(next, SyncStep::List { pause, .. } if pause > Millis(0)), "{next:?}");
}

#[test]
fn retry_backoff_grows_up_to_its_maximum() {
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &reader());
    let mut pauses = Vec::new();
    for at in 0..10 {
        let next =
            sync.next_step(Millis(at), Some(SyncOutcome::Failed), &reader(), HasFollowers::No, 1.0);
        let SyncStep::Watch { pause, .. } = next else { panic!("{next:?}") };
        pauses.push(pause.0);
    }
    assert!(pauses.is_sorted());
    assert!(pauses[0] >= 50 && pauses[9] <= 1_000, "{pauses:?}");
}

#[test]
fn follower_fails_over_to_the_other_reader_and_then_to_the_directory() {
    for spread in [0.0, 0.3, 0.6, 0.99] {
        let mut sync = DirectorySync::default();
        let SyncStep::Follow { host: first, .. } = sync_after_listing(&mut sync, &follower())
        else {
            panic!()
        };
        sync.confirm(Millis(4_990));
        let follow_ended = Some(SyncOutcome::FollowEnded { position: Some(at(8)) });
        let next =
            sync.next_step(Millis(5_000), follow_ended, &follower(), HasFollowers::No, spread);
        let SyncStep::Follow { host: second, .. } = next else { panic!("{next:?}") };
        assert_ne!(first, second);
        let follow_ended = Some(SyncOutcome::FollowEnded { position: None });
        let next =
            sync.next_step(Millis(5_100), follow_ended, &follower(), HasFollowers::No, spread);
        assert!(
            matches!(
                next,
                SyncStep::Watch { after: DirectoryPosition { era: 1, revision: 8 }, .. }
            ),
            "{next:?}"
        );
    }
}

#[test]
fn known_position_never_decreases() {
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &follower());
    let older = Some(SyncOutcome::FollowEnded { position: Some(at(3)) });
    sync.next_step(Millis(20), older, &follower(), HasFollowers::No, 0.5);
    assert_eq!(sync.known_position(), Some(at(7)));
}

#[test]
fn watch_limit_of_a_reader_leaves_followers_time_to_fail_over() {
    // A change must be active 3 s after it was published. In the worst case a follower waits for
    // the reader's watch limit, a stream to the other reader (0.7 s) and a listing (1 s).
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &reader());
    let outcome = Some(SyncOutcome::Watched { position: at(8), events: false });
    let next = sync.next_step(Millis(20), outcome, &reader(), HasFollowers::Yes, 0.5);
    let SyncStep::Watch { limit, .. } = next else { panic!("{next:?}") };
    assert!(limit.0 + 100 + 1_000 <= 3_000, "{limit:?}");
}

#[test]
fn demoted_reader_keeps_watching_for_a_grace_period() {
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &reader());
    let outcome = Some(SyncOutcome::Watched { position: at(8), events: false });
    let next = sync.next_step(Millis(1_000), outcome, &follower(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::Watch { .. }), "{next:?}");
    sync.confirm(Millis(8_990));
    let next = sync.next_step(Millis(9_000), outcome, &follower(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::Follow { .. }), "{next:?}");
    assert!(!sync.is_reader(Millis(9_000)));
}

#[test]
fn uninitialized_host_alternates_sources_while_the_directory_is_unavailable() {
    for readers in [follower(), reader()] {
        let mut sync = DirectorySync::default();
        sync.next_step(Millis(0), None, &readers, HasFollowers::No, 0.5);
        let failed = Some(SyncOutcome::Failed);
        let next = sync.next_step(Millis(1_000), failed, &readers, HasFollowers::No, 0.5);
        assert!(matches!(next, SyncStep::Follow { .. }), "{next:?}");
        let follow_ended = Some(SyncOutcome::FollowEnded { position: None });
        sync.next_step(Millis(1_100), follow_ended, &readers, HasFollowers::No, 0.5);
        let next = sync.next_step(Millis(1_200), follow_ended, &readers, HasFollowers::No, 0.5);
        assert!(matches!(next, SyncStep::List { .. }), "{next:?}");
    }
}

#[test]
fn reader_with_expired_history_after_a_failure_lists_instead_of_following() {
    // Guards against a follow cycle: after all readers lost their connections and their watch
    // history had expired, they treated themselves as uninitialized and followed each other for 10
    // s.
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &reader());
    sync.next_step(Millis(1_000), Some(SyncOutcome::Failed), &reader(), HasFollowers::Yes, 0.5);
    let history_expired = Some(SyncOutcome::HistoryExpired);
    let next = sync.next_step(Millis(1_100), history_expired, &reader(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::List { .. }), "{next:?}");
    let failed = Some(SyncOutcome::Failed);
    let next = sync.next_step(Millis(1_200), failed, &reader(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::List { .. }), "{next:?}");
    assert_eq!(sync.known_position(), Some(at(7)));
}

#[test]
fn host_without_a_source_retries_at_a_bounded_rate() {
    // Guards against a busy loop: while the directory was unavailable to every host, followers
    // retried some hundred times a second.
    for readers in [follower(), reader()] {
        let mut sync = DirectorySync::default();
        let mut next = sync_after_listing(&mut sync, &readers);
        let (mut now, mut steps) = (20, 0);
        while now < 10_020 {
            let (pause, outcome) = match next {
                SyncStep::Follow { pause, .. } => {
                    (pause, SyncOutcome::FollowEnded { position: None })
                }
                SyncStep::Watch { pause, .. } | SyncStep::List { pause, .. } => {
                    (pause, SyncOutcome::Failed)
                }
                SyncStep::Pause(pause) => (pause, SyncOutcome::Waited),
            };
            now += pause.0 + 1;
            steps += 1;
            next = sync.next_step(Millis(now), Some(outcome), &readers, HasFollowers::No, 0.5);
        }
        assert!(steps < 100, "{steps} steps in ten seconds");
    }
}

#[test]
fn positions_are_ordered_by_era_before_revision() {
    let restored = DirectoryPosition { era: 2, revision: 3 };
    assert!(restored > at(900));
    let mut sync = DirectorySync::default();
    assert_eq!(sync.response_era(restored), ResponseEra::Current, "nothing was read yet");
    sync_after_listing(&mut sync, &reader());
    assert_eq!(sync.response_era(at(3)), ResponseEra::Current);
    assert_eq!(sync.response_era(restored), ResponseEra::Newer);
    let outcome = Some(SyncOutcome::Listed(restored));
    let next = sync.next_step(Millis(20), outcome, &reader(), HasFollowers::No, 0.5);
    assert!(matches!(next, SyncStep::Watch { after, .. } if after == restored), "{next:?}");
    assert_eq!(sync.response_era(at(900)), ResponseEra::Older);
}

#[test]
fn follower_reaches_a_restored_position_through_its_reader_and_resumes_there() {
    let restored = DirectoryPosition { era: 2, revision: 3 };
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &follower());
    let ended = Some(SyncOutcome::FollowEnded { position: Some(restored) });
    let next = sync.next_step(Millis(20), ended, &reader(), HasFollowers::No, 0.5);
    assert!(matches!(next, SyncStep::Watch { after, .. } if after == restored), "{next:?}");
}

#[test]
fn requested_listing_replaces_the_next_watch() {
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &reader());
    sync.request_listing();
    let outcome = Some(SyncOutcome::Watched { position: at(8), events: false });
    let next = sync.next_step(Millis(20), outcome, &reader(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::List { .. }), "{next:?}");
    let next = sync.next_step(
        Millis(30),
        Some(SyncOutcome::Listed(at(8))),
        &reader(),
        HasFollowers::Yes,
        0.5,
    );
    assert!(matches!(next, SyncStep::Watch { .. }), "{next:?}");
}

#[test]
fn replaced_directory_is_listed_and_its_lower_era_accepted() {
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &reader());
    let other = DirectoryPosition { era: 0, revision: 2 };
    assert_eq!(sync.response_era(other), ResponseEra::Older);
    let outcome = Some(SyncOutcome::DirectoryReplaced);
    let next = sync.next_step(Millis(20), outcome, &reader(), HasFollowers::No, 0.5);
    assert!(matches!(next, SyncStep::List { .. }), "{next:?}");
    assert_eq!(sync.response_era(other), ResponseEra::Current);
}

#[test]
fn first_watch_after_a_failure_does_not_wait_for_events() {
    // The response shows whether the directory is available again and whether it was restored.
    let mut sync = DirectorySync::default();
    sync_after_listing(&mut sync, &reader());
    let failed = Some(SyncOutcome::Failed);
    let next = sync.next_step(Millis(20), failed, &reader(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::Watch { wait: Millis(0), .. }), "{next:?}");
    let outcome = Some(SyncOutcome::Watched { position: at(7), events: false });
    let next = sync.next_step(Millis(30), outcome, &reader(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::Watch { wait, .. } if wait > Millis(0)), "{next:?}");
}

#[test]
fn uninitialized_host_does_not_try_the_same_host_twice_in_a_row() {
    for jitter in [0.0, 0.3, 0.6, 0.99] {
        let mut sync = DirectorySync::default();
        let readers = follower();
        sync.next_step(Millis(0), None, &readers, HasFollowers::No, jitter);
        let failed = Some(SyncOutcome::Failed);
        let first = sync.next_step(Millis(10), failed, &readers, HasFollowers::No, jitter);
        let SyncStep::Follow { host: first, .. } = first else { panic!("{first:?}") };
        let ended = Some(SyncOutcome::FollowEnded { position: None });
        let second = sync.next_step(Millis(400), ended, &readers, HasFollowers::No, jitter);
        let SyncStep::Follow { host: second, .. } = second else { panic!("{second:?}") };
        assert_ne!(first, second);
    }
}

/// Time from its start until a host in a zone that is cut off has a listing, if `served_by` are the
/// hosts that it can reach and that have one.
fn time_until_listed(readers: &Readers, served_by: &[HostId], jitter: f64) -> Millis {
    const CONNECT_TIMEOUT: Millis = Millis(250);
    const CONNECT: Millis = Millis(5);
    let mut sync = DirectorySync::default();
    let (mut now, mut outcome) = (Millis(0), None);
    for _ in 0..20 {
        let step = sync.next_step(now, outcome, readers, HasFollowers::No, jitter);
        outcome = Some(match step {
            SyncStep::Pause(pause) => {
                now = now + pause;
                SyncOutcome::Waited
            }
            SyncStep::List { pause, limit } | SyncStep::Watch { pause, limit, .. } => {
                now = now + pause + limit;
                SyncOutcome::Failed
            }
            SyncStep::Follow { pause, host } if served_by.contains(&host) => {
                return now + pause + CONNECT;
            }
            SyncStep::Follow { pause, .. } => {
                now = now + pause + CONNECT_TIMEOUT;
                SyncOutcome::FollowEnded { position: None }
            }
        });
    }
    panic!("no host with a listing was followed by {now:?}");
}

#[test]
fn host_started_in_a_zone_that_is_cut_off_is_listed_before_its_callers_give_up() {
    // A caller that opens at the host's start retransmits for the last time after 600 ms.
    const LAST_RETRANSMISSION: Millis = Millis(600);
    let far: Vec<HostId> = (20..26).map(HostId).collect();
    let readers = Readers { bootstrap: bootstrap(&[A], &far), ..Readers::default() };
    for jitter in [0.0, 0.3, 0.6, 0.99] {
        let took = time_until_listed(&readers, &[A], jitter);
        assert!(took <= LAST_RETRANSMISSION, "jitter {jitter}: {took:?}");
    }
}

#[test]
fn host_whose_zone_has_no_listing_tries_another_zone_next() {
    let far: Vec<HostId> = (20..26).map(HostId).collect();
    let readers = Readers { bootstrap: bootstrap(&[A, B], &far), ..Readers::default() };
    for jitter in [0.0, 0.3, 0.6, 0.99] {
        let took = time_until_listed(&readers, &far, jitter);
        assert!(took <= Millis(1_000), "jitter {jitter}: {took:?}");
    }
}
