//! The age of a host's copy of the directory, which bounds how long it follows other hosts.

use pomelorun_core::{
    Millis,
    direct::{DirectoryPosition, DirectorySync, HasFollowers, Readers, SyncOutcome, SyncStep},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::direct::directory_sync::{at, follower, sync_after_listing};

#[test]
fn follower_with_an_old_copy_reads_the_directory_before_it_tries_another_host() {
    for position in [None, Some(at(8))] {
        let mut sync = DirectorySync::default();
        sync_after_listing(&mut sync, &follower());
        let ended = Some(SyncOutcome::FollowEnded { position });
        let next = sync.next_step(Millis(2_000), ended, &follower(), HasFollowers::No, 0.5);
        assert!(matches!(next, SyncStep::Watch { .. }), "{position:?}: {next:?}");
    }
}

#[test]
fn host_whose_view_is_not_synced_reads_the_directory_before_its_copy_is_too_old() {
    let mut sync = DirectorySync::default();
    let readers = Readers::default();
    sync_after_listing(&mut sync, &readers);
    let waited = Some(SyncOutcome::Waited);
    let next = sync.next_step(Millis(300), waited, &readers, HasFollowers::No, 0.5);
    assert!(matches!(next, SyncStep::Pause(_)), "{next:?}");
    let next = sync.next_step(Millis(2_700), waited, &readers, HasFollowers::No, 0.5);
    assert!(matches!(next, SyncStep::Watch { .. }), "{next:?}");
}

#[test]
fn host_without_a_listing_waits_for_any_copy() {
    let mut sync = DirectorySync::default();
    assert_eq!(sync.follow_deadline(Millis(100)), None);
    sync_after_listing(&mut sync, &follower());
    assert_eq!(sync.follow_deadline(Millis(100)), Some(Millis(2_600)));
}

/// What a followed host does until the stream ends.
#[derive(Debug, Clone, Copy)]
enum FollowedHost {
    /// Accepts no connection.
    Dark,
    /// Accepts the connection and sends nothing.
    Silent,
    /// Sends one message and closes the stream.
    Closing,
    /// Sends heartbeats, but reads the directory no more.
    Stale,
    /// Reads the directory for a second and then falls silent.
    Failing,
}

/// A follower whose view and readers change all the time, with the directory within reach.
struct FollowerModel {
    rng: ChaCha8Rng,
    sync: DirectorySync,
    now: Millis,
    /// Time up to which the copy has all changes.
    complete_at: Millis,
    max_age: Millis,
    steps: usize,
}

impl FollowerModel {
    const CONNECT_TIMEOUT: Millis = Millis(250);
    const SILENCE_TIMEOUT: Millis = Millis(2_000);
    const CALL: Millis = Millis(5);
    const MAX_TRANSFER: Millis = Millis(600);

    fn new(seed: u64) -> FollowerModel {
        FollowerModel {
            rng: ChaCha8Rng::seed_from_u64(seed),
            sync: DirectorySync::default(),
            now: Millis(0),
            complete_at: Millis(0),
            max_age: Millis(0),
            steps: 0,
        }
    }

    fn pass(&mut self, time: Millis) {
        self.now = self.now + time;
        self.max_age = self.max_age.max(self.now - self.complete_at);
    }

    /// Records what a message tells: the copy has all changes up to `complete_at`, and is known to have
    /// those up to `confirmed_at`.
    fn receive(&mut self, complete_at: Millis, confirmed_at: Millis) {
        self.complete_at = self.complete_at.max(complete_at);
        self.sync.confirm(confirmed_at);
    }

    fn follow_deadline(&self, since: Millis) -> Millis {
        self.sync.follow_deadline(since).expect("the host has a listing")
    }

    fn run_until(&mut self, end: Millis) {
        let mut outcome = None;
        while self.now < end {
            self.steps += 1;
            let readers = Readers { synced: self.rng.random_bool(0.8), ..follower() };
            let jitter = self.rng.random();
            let step = self.sync.next_step(self.now, outcome, &readers, HasFollowers::No, jitter);
            outcome = Some(self.take(step));
        }
    }

    fn take(&mut self, step: SyncStep) -> SyncOutcome {
        match step {
            SyncStep::Pause(pause) => {
                self.pass(pause);
                SyncOutcome::Waited
            }
            SyncStep::List { pause, .. } => {
                self.pass(pause + Self::CALL);
                let requested_at = self.now - Self::CALL;
                self.receive(requested_at, requested_at);
                SyncOutcome::Listed(at(7))
            }
            SyncStep::Watch { pause, after, wait, .. } => {
                self.pass(pause);
                let requested_at = self.now;
                let events = self.rng.random_bool(0.5);
                let waited = if events { Millis(self.rng.random_range(0..=wait.0)) } else { wait };
                // A change is returned at once, so the copy grows old only while the response is sent.
                self.now = requested_at + waited;
                self.complete_at = self.now;
                let transfer = Millis(self.rng.random_range(1..=Self::MAX_TRANSFER.0));
                self.pass(transfer);
                let sent_at = requested_at + waited;
                self.receive(sent_at, if events { requested_at } else { sent_at });
                SyncOutcome::Watched { position: after, events }
            }
            SyncStep::Follow { pause, .. } => {
                self.pass(pause);
                let hosts = [
                    FollowedHost::Dark,
                    FollowedHost::Silent,
                    FollowedHost::Closing,
                    FollowedHost::Stale,
                    FollowedHost::Failing,
                ];
                let host = hosts[self.rng.random_range(0..hosts.len())];
                SyncOutcome::FollowEnded { position: self.follow(host) }
            }
        }
    }

    /// Follows a host until the stream ends and returns the position that it reached.
    fn follow(&mut self, host: FollowedHost) -> Option<DirectoryPosition> {
        let since = self.now;
        match host {
            FollowedHost::Dark => {
                self.pass(Self::CONNECT_TIMEOUT);
                return None;
            }
            FollowedHost::Silent => {}
            FollowedHost::Closing => {
                self.pass(Self::CALL);
                let confirmed_at = self.now - Millis(self.rng.random_range(0..3_000));
                self.receive(confirmed_at, confirmed_at);
                return Some(at(7));
            }
            FollowedHost::Stale => {
                let confirmed_at = self.now - Millis(self.rng.random_range(0..3_000));
                while self.now < self.follow_deadline(since) {
                    self.receive(confirmed_at, confirmed_at);
                    self.pass(Millis(100));
                }
                return Some(at(7));
            }
            FollowedHost::Failing => {
                for _ in 0..10 {
                    self.pass(Millis(100));
                    self.receive(self.now - Self::CALL, self.now - Self::CALL);
                }
            }
        }
        let silent_until = self.now + Self::SILENCE_TIMEOUT;
        let end = silent_until.min(self.follow_deadline(since));
        self.pass(end - self.now);
        matches!(host, FollowedHost::Failing).then_some(at(7))
    }
}

#[test]
fn age_of_a_copy_is_bounded_whatever_the_followed_hosts_do() {
    // A change must be active three seconds after it was published.
    const MAX_AGE: Millis = Millis(3_000);
    for seed in 0..200 {
        let mut model = FollowerModel::new(seed);
        model.run_until(Millis(60_000));
        let FollowerModel { max_age, steps, .. } = model;
        assert!(max_age <= MAX_AGE, "seed {seed}: {max_age:?}");
        assert!(steps <= 600, "seed {seed}: {steps} steps in a minute");
    }
}
