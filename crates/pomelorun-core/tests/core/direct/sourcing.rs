//! Who reads the directory, whom the others follow, and how fast they notice.

use pomelorun_core::{
    Millis,
    direct::{DirectorySync, HasFollowers, Readers, SyncOutcome, SyncStep},
};
use pomelorun_wire::HostId;

const A: HostId = HostId(10);
const B: HostId = HostId(11);

fn follower() -> Readers {
    Readers { ranked: vec![A, B], is_reader: false, synced: true, bootstrap_hosts: vec![A, B] }
}

fn reader() -> Readers {
    Readers { ranked: vec![B], is_reader: true, synced: true, bootstrap_hosts: vec![B] }
}

fn listed(sync: &mut DirectorySync, readers: &Readers) -> SyncStep {
    let first = sync.next_step(Millis(0), None, readers, HasFollowers::No, 0.5);
    assert!(matches!(first, SyncStep::List { .. }), "{first:?}");
    sync.next_step(Millis(10), Some(SyncOutcome::Listed(7)), readers, HasFollowers::No, 0.5)
}

#[test]
fn a_host_lists_first_and_then_follows_a_reader_of_its_zone() {
    let mut sync = DirectorySync::default();
    let next = listed(&mut sync, &follower());
    assert!(matches!(next, SyncStep::Follow { host, .. } if host == A || host == B), "{next:?}");
}

#[test]
fn a_host_that_does_not_know_the_others_yet_reads_no_more_than_one_listing() {
    let mut sync = DirectorySync::default();
    let next = listed(&mut sync, &Readers::default());
    assert!(matches!(next, SyncStep::Pause(_)), "{next:?}");
}

#[test]
fn a_reader_watches_from_where_the_last_answer_ended() {
    let mut sync = DirectorySync::default();
    let next = listed(&mut sync, &reader());
    assert!(matches!(next, SyncStep::Watch { after: 7, .. }), "{next:?}");
    let outcome = SyncOutcome::Watched { revision: 9, events: true };
    let next = sync.next_step(Millis(20), Some(outcome), &reader(), HasFollowers::No, 0.5);
    assert!(matches!(next, SyncStep::Watch { after: 9, .. }), "{next:?}");
}

#[test]
fn a_reader_lists_anew_once_the_history_is_gone() {
    let mut sync = DirectorySync::default();
    listed(&mut sync, &reader());
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
fn failures_are_repeated_after_pauses_that_grow_within_a_bound() {
    let mut sync = DirectorySync::default();
    listed(&mut sync, &reader());
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
fn a_follower_turns_to_the_other_reader_and_then_to_the_directory() {
    for spread in [0.0, 0.3, 0.6, 0.99] {
        let mut sync = DirectorySync::default();
        let SyncStep::Follow { host: first, .. } = listed(&mut sync, &follower()) else { panic!() };
        let lost = Some(SyncOutcome::FollowEnded { revision: Some(8) });
        let next = sync.next_step(Millis(5_000), lost, &follower(), HasFollowers::No, spread);
        let SyncStep::Follow { host: second, .. } = next else { panic!("{next:?}") };
        assert_ne!(first, second);
        let lost = Some(SyncOutcome::FollowEnded { revision: None });
        let next = sync.next_step(Millis(5_100), lost, &follower(), HasFollowers::No, spread);
        assert!(matches!(next, SyncStep::Watch { after: 8, .. }), "{next:?}");
    }
}

#[test]
fn what_is_known_never_goes_back() {
    let mut sync = DirectorySync::default();
    listed(&mut sync, &follower());
    let older = Some(SyncOutcome::FollowEnded { revision: Some(3) });
    sync.next_step(Millis(20), older, &follower(), HasFollowers::No, 0.5);
    assert_eq!(sync.known_revision(), Some(7));
}

#[test]
fn a_cut_reader_is_noticed_early_enough_for_its_followers() {
    // A change must be in force three seconds after it was published. A follower needs the reader's
    // time limit, a stream to the other one (0.7 s) and a listing (1 s).
    let mut sync = DirectorySync::default();
    listed(&mut sync, &reader());
    let outcome = Some(SyncOutcome::Watched { revision: 8, events: false });
    let next = sync.next_step(Millis(20), outcome, &reader(), HasFollowers::Yes, 0.5);
    let SyncStep::Watch { limit, .. } = next else { panic!("{next:?}") };
    assert!(limit.0 + 100 + 1_000 <= 3_000, "{limit:?}");
}

#[test]
fn a_reader_that_is_ranked_lower_goes_on_for_a_while() {
    let mut sync = DirectorySync::default();
    listed(&mut sync, &reader());
    let outcome = Some(SyncOutcome::Watched { revision: 8, events: false });
    let next = sync.next_step(Millis(1_000), outcome, &follower(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::Watch { .. }), "{next:?}");
    let next = sync.next_step(Millis(9_000), outcome, &follower(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::Follow { .. }), "{next:?}");
    assert!(!sync.is_reader(Millis(9_000)));
}

#[test]
fn a_host_that_knows_nothing_asks_whoever_may_while_the_directory_is_away() {
    for readers in [follower(), reader()] {
        let mut sync = DirectorySync::default();
        sync.next_step(Millis(0), None, &readers, HasFollowers::No, 0.5);
        let failed = Some(SyncOutcome::Failed);
        let next = sync.next_step(Millis(1_000), failed, &readers, HasFollowers::No, 0.5);
        assert!(matches!(next, SyncStep::Follow { .. }), "{next:?}");
        let vain = Some(SyncOutcome::FollowEnded { revision: None });
        sync.next_step(Millis(1_100), vain, &readers, HasFollowers::No, 0.5);
        let next = sync.next_step(Millis(1_200), vain, &readers, HasFollowers::No, 0.5);
        assert!(matches!(next, SyncStep::List { .. }), "{next:?}");
    }
}

#[test]
fn a_reader_whose_history_is_gone_after_a_failure_lists_and_follows_nobody() {
    // Traced on the bench: all readers lost their connections, found the history gone, took
    // themselves for hosts that know nothing, and followed each other in a circle for ten seconds.
    let mut sync = DirectorySync::default();
    listed(&mut sync, &reader());
    sync.next_step(Millis(1_000), Some(SyncOutcome::Failed), &reader(), HasFollowers::Yes, 0.5);
    let gone = Some(SyncOutcome::HistoryExpired);
    let next = sync.next_step(Millis(1_100), gone, &reader(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::List { .. }), "{next:?}");
    let failed = Some(SyncOutcome::Failed);
    let next = sync.next_step(Millis(1_200), failed, &reader(), HasFollowers::Yes, 0.5);
    assert!(matches!(next, SyncStep::List { .. }), "{next:?}");
    assert_eq!(sync.known_revision(), Some(7));
}

#[test]
fn a_host_that_finds_nobody_asks_at_a_bounded_rate() {
    // Traced on the bench: while the directory was down for all, followers went round some hundred
    // times a second.
    for readers in [follower(), reader()] {
        let mut sync = DirectorySync::default();
        let mut next = listed(&mut sync, &readers);
        let (mut now, mut steps) = (20, 0);
        while now < 10_020 {
            let (pause, outcome) = match next {
                SyncStep::Follow { pause, .. } => {
                    (pause, SyncOutcome::FollowEnded { revision: None })
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
