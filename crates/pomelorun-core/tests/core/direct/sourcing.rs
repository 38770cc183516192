//! Who reads the directory, whom the others follow, and how fast they notice.

use pomelorun_core::{
    Millis,
    direct::{Followed, Next, Outcome, Readers, Sourcing},
};
use pomelorun_wire::HostId;

const A: HostId = HostId(10);
const B: HostId = HostId(11);

fn follower() -> Readers {
    Readers { ranked: vec![A, B], reads: false, settled: true, anyone: vec![A, B] }
}

fn reader() -> Readers {
    Readers { ranked: vec![B], reads: true, settled: true, anyone: vec![B] }
}

fn listed(sourcing: &mut Sourcing, readers: &Readers) -> Next {
    let first = sourcing.next(Millis(0), None, readers, Followed::No, 0.5);
    assert!(matches!(first, Next::List { .. }), "{first:?}");
    sourcing.next(Millis(10), Some(Outcome::Listed(7)), readers, Followed::No, 0.5)
}

#[test]
fn a_host_lists_first_and_then_follows_a_reader_of_its_zone() {
    let mut sourcing = Sourcing::default();
    let next = listed(&mut sourcing, &follower());
    assert!(matches!(next, Next::Follow { host, .. } if host == A || host == B), "{next:?}");
}

#[test]
fn a_host_that_does_not_know_the_others_yet_reads_no_more_than_one_listing() {
    let mut sourcing = Sourcing::default();
    let next = listed(&mut sourcing, &Readers::default());
    assert!(matches!(next, Next::Pause(_)), "{next:?}");
}

#[test]
fn a_reader_watches_from_where_the_last_answer_ended() {
    let mut sourcing = Sourcing::default();
    let next = listed(&mut sourcing, &reader());
    assert!(matches!(next, Next::Watch { after: 7, .. }), "{next:?}");
    let outcome = Outcome::Watched { revision: 9, events: true };
    let next = sourcing.next(Millis(20), Some(outcome), &reader(), Followed::No, 0.5);
    assert!(matches!(next, Next::Watch { after: 9, .. }), "{next:?}");
}

#[test]
fn a_reader_lists_anew_once_the_history_is_gone() {
    let mut sourcing = Sourcing::default();
    listed(&mut sourcing, &reader());
    let next = sourcing.next(Millis(20), Some(Outcome::HistoryGone), &reader(), Followed::No, 0.5);
    assert!(matches!(next, Next::List { .. }), "{next:?}");
}

#[test]
fn failures_are_repeated_after_pauses_that_grow_within_a_bound() {
    let mut sourcing = Sourcing::default();
    listed(&mut sourcing, &reader());
    let mut pauses = Vec::new();
    for at in 0..10 {
        let next = sourcing.next(Millis(at), Some(Outcome::Failed), &reader(), Followed::No, 1.0);
        let Next::Watch { pause, .. } = next else { panic!("{next:?}") };
        pauses.push(pause.0);
    }
    assert!(pauses.is_sorted());
    assert!(pauses[0] >= 50 && pauses[9] <= 1_000, "{pauses:?}");
}

#[test]
fn a_follower_turns_to_the_other_reader_and_then_to_the_directory() {
    for spread in [0.0, 0.3, 0.6, 0.99] {
        let mut sourcing = Sourcing::default();
        let Next::Follow { host: first, .. } = listed(&mut sourcing, &follower()) else { panic!() };
        let lost = Some(Outcome::Unfollowed { revision: Some(8) });
        let next = sourcing.next(Millis(5_000), lost, &follower(), Followed::No, spread);
        let Next::Follow { host: second, .. } = next else { panic!("{next:?}") };
        assert_ne!(first, second);
        let lost = Some(Outcome::Unfollowed { revision: None });
        let next = sourcing.next(Millis(5_100), lost, &follower(), Followed::No, spread);
        assert!(matches!(next, Next::Watch { after: 8, .. }), "{next:?}");
    }
}

#[test]
fn what_is_known_never_goes_back() {
    let mut sourcing = Sourcing::default();
    listed(&mut sourcing, &follower());
    let older = Some(Outcome::Unfollowed { revision: Some(3) });
    sourcing.next(Millis(20), older, &follower(), Followed::No, 0.5);
    assert_eq!(sourcing.known(), Some(7));
}

#[test]
fn a_cut_reader_is_noticed_early_enough_for_its_followers() {
    // A change must be in force three seconds after it was published. A follower needs the reader's
    // time limit, a stream to the other one (0.7 s) and a listing (1 s).
    let mut sourcing = Sourcing::default();
    listed(&mut sourcing, &reader());
    let outcome = Some(Outcome::Watched { revision: 8, events: false });
    let next = sourcing.next(Millis(20), outcome, &reader(), Followed::Yes, 0.5);
    let Next::Watch { limit, .. } = next else { panic!("{next:?}") };
    assert!(limit.0 + 100 + 1_000 <= 3_000, "{limit:?}");
}

#[test]
fn a_reader_that_is_ranked_lower_goes_on_for_a_while() {
    let mut sourcing = Sourcing::default();
    listed(&mut sourcing, &reader());
    let outcome = Some(Outcome::Watched { revision: 8, events: false });
    let next = sourcing.next(Millis(1_000), outcome, &follower(), Followed::Yes, 0.5);
    assert!(matches!(next, Next::Watch { .. }), "{next:?}");
    let next = sourcing.next(Millis(9_000), outcome, &follower(), Followed::Yes, 0.5);
    assert!(matches!(next, Next::Follow { .. }), "{next:?}");
    assert!(!sourcing.reads(Millis(9_000)));
}

#[test]
fn a_host_that_knows_nothing_asks_whoever_may_while_the_directory_is_away() {
    for readers in [follower(), reader()] {
        let mut sourcing = Sourcing::default();
        sourcing.next(Millis(0), None, &readers, Followed::No, 0.5);
        let failed = Some(Outcome::Failed);
        let next = sourcing.next(Millis(1_000), failed, &readers, Followed::No, 0.5);
        assert!(matches!(next, Next::Follow { .. }), "{next:?}");
        let vain = Some(Outcome::Unfollowed { revision: None });
        sourcing.next(Millis(1_100), vain, &readers, Followed::No, 0.5);
        let next = sourcing.next(Millis(1_200), vain, &readers, Followed::No, 0.5);
        assert!(matches!(next, Next::List { .. }), "{next:?}");
    }
}

#[test]
fn a_reader_whose_history_is_gone_after_a_failure_lists_and_follows_nobody() {
    // Traced on the bench: all readers lost their connections, found the history gone, took
    // themselves for hosts that know nothing, and followed each other in a circle for ten seconds.
    let mut sourcing = Sourcing::default();
    listed(&mut sourcing, &reader());
    sourcing.next(Millis(1_000), Some(Outcome::Failed), &reader(), Followed::Yes, 0.5);
    let gone = Some(Outcome::HistoryGone);
    let next = sourcing.next(Millis(1_100), gone, &reader(), Followed::Yes, 0.5);
    assert!(matches!(next, Next::List { .. }), "{next:?}");
    let failed = Some(Outcome::Failed);
    let next = sourcing.next(Millis(1_200), failed, &reader(), Followed::Yes, 0.5);
    assert!(matches!(next, Next::List { .. }), "{next:?}");
    assert_eq!(sourcing.known(), Some(7));
}

#[test]
fn a_host_that_finds_nobody_asks_at_a_bounded_rate() {
    // Traced on the bench: while the directory was down for all, followers went round some hundred
    // times a second.
    for readers in [follower(), reader()] {
        let mut sourcing = Sourcing::default();
        let mut next = listed(&mut sourcing, &readers);
        let (mut now, mut steps) = (20, 0);
        while now < 10_020 {
            let (pause, outcome) = match next {
                Next::Follow { pause, .. } => (pause, Outcome::Unfollowed { revision: None }),
                Next::Watch { pause, .. } | Next::List { pause, .. } => (pause, Outcome::Failed),
                Next::Pause(pause) => (pause, Outcome::Paused),
            };
            now += pause.0 + 1;
            steps += 1;
            next = sourcing.next(Millis(now), Some(outcome), &readers, Followed::No, 0.5);
        }
        assert!(steps < 100, "{steps} steps in ten seconds");
    }
}
