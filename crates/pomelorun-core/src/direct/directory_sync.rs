//! Synchronization of a host with the directory, directly or through another host.
//!
//! All hosts share a small budget of calls to the directory, so only some hosts of each zone read
//! it: they list it once and then watch it continuously. The other hosts follow one of these
//! readers over a stream. A host reads the directory itself while it starts, and whenever it can
//! follow no reader of its zone. Each call has a timeout, because a connection can stall without an
//! error.
//!
//! What a host does next depends on the age of its copy of the directory, which each message between
//! hosts carries: a host that another one keeps from learning of changes reads the directory itself,
//! whatever that other host sends and however often it is replaced.

use std::cmp::Ordering;

use pomelorun_wire::HostId;
use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// How long a watch waits for an event, for a reader without followers. Together with
/// [`RESPONSE_TIMEOUT`], this is the time after which a stalled connection is detected; without
/// followers, no other host is affected by it.
const WATCH_WAIT: Millis = Millis(3_000);
/// How long a watch waits for an event, for a reader with followers. Followers must learn of a
/// change within three seconds even if their reader is cut off from the directory. In this time the
/// reader must detect the fault, and the followers must try another reader and then list the
/// directory.
const FOLLOWED_WATCH_WAIT: Millis = Millis(1_000);
/// Age of a copy after a response with events up to which the next watch is not shortened.
const MAX_EVENT_AGE: Millis = Millis(500);
/// Time for a response on top of the wait: more than a hundred times the usual response time.
const RESPONSE_TIMEOUT: Millis = Millis(600);
/// Timeout of one page of a listing. The whole listing has none, because it grows with the directory
/// and all hosts may list it at once.
const PAGE_TIMEOUT: Millis = Millis(1_000);
/// Timeout of a page for a host without a listing that may follow another host instead, doubled after
/// each failure: a path that is cut must not cost it the time within which callers give up.
const FIRST_PAGE_TIMEOUT: Millis = Millis(400);
/// Delay after an event, so that events in quick succession are read in one call.
const EVENT_BATCH_DELAY: Millis = Millis(250);
/// Delay after the first failure, doubled after each further one.
const RETRY_BACKOFF_MIN: Millis = Millis(100);
/// Maximum delay after failures, far below the time within which a change must be active.
const RETRY_BACKOFF_MAX: Millis = Millis(800);
/// Delay after a host could not be followed: long compared with setting up a connection, short
/// compared with the time within which a change must be active.
const FOLLOW_RETRY_DELAY: Millis = Millis(100);
/// Delay before a host that has listed the directory checks again whether its view of the zone's
/// hosts is synced.
const SYNC_POLL_INTERVAL: Millis = Millis(300);
/// Time for which a host stays a reader after it was last ranked as one, so that its followers need
/// not move while the view of the zone's hosts fluctuates.
const READER_LINGER: Millis = Millis(5_000);
/// Maximum age of a follower's copy, at which it leaves the host that it follows. A change must be
/// active three seconds after it was published, and the rest is for reading the directory.
const MAX_FOLLOWER_AGE: Millis = Millis(2_600);
/// Maximum age of a copy with which a host follows another one, unless the directory has just failed. An
/// attempt to follow a host that does not respond fits into the time until [`MAX_FOLLOWER_AGE`].
const MAX_FAILOVER_AGE: Millis = Millis(1_500);
/// Time within which a followed host must confirm the copy of a host that has an older one, because
/// the directory does not respond to it.
const FIRST_CONFIRMATION_TIMEOUT: Millis = Millis(1_000);
/// Number of attempts to follow a host before the directory is read directly.
const MAX_FOLLOW_ATTEMPTS: u32 = 2;

/// A position in the history of the directory, ordered by era and then by revision.
///
/// The directory starts a new era when it is restored from an older copy. Its revisions then fall
/// back and are assigned again, so revisions are comparable only within one era. A directory that
/// does not report eras is in era 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DirectoryPosition {
    /// Number of the era, which increases each time the directory is restored.
    pub era: u64,
    /// Revision of the directory within the era.
    pub revision: u64,
}

/// Era of a response of the directory, compared with the one that this host has read last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEra {
    /// The same era, or this host has read none yet.
    Current,
    /// A later era: the directory was restored.
    Newer,
    /// An earlier era: the response was delayed and is obsolete.
    Older,
}

/// Outcome of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncOutcome {
    /// The pause has elapsed.
    Waited,
    /// The directory was listed completely, as of this position.
    Listed(DirectoryPosition),
    /// The watch returned events, or ended without any.
    Watched {
        /// Position from which the next watch continues.
        position: DirectoryPosition,
        /// `true` if the watch returned events.
        events: bool,
    },
    /// The directory no longer holds the events since the last response, or was restored from an
    /// older copy since then.
    HistoryExpired,
    /// The directory has another address, so positions in the previous one are void.
    DirectoryReplaced,
    /// The directory responded, but the response was too long to be received in time.
    Incomplete,
    /// The directory did not respond, returned an error or an obsolete response.
    Failed,
    /// The followed host stopped sending or closed the stream.
    FollowEnded {
        /// Position that the stream reached, or `None` if it ended before the full listing.
        position: Option<DirectoryPosition>,
    },
}

/// Hosts that this host may synchronize with.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Readers {
    /// The other readers of this host's zone, by descending rendezvous score.
    pub ranked: Vec<HostId>,
    /// `true` if this host is a reader.
    pub is_reader: bool,
    /// `true` if the view of the zone's hosts is synced, so that the readers are reliable.
    pub synced: bool,
    /// Hosts that a host without a listing may follow.
    pub bootstrap: BootstrapHosts,
}

/// Hosts that a host without a listing may follow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BootstrapHosts {
    /// Hosts of this host's zone, which a cut of the zone leaves within reach.
    pub same_zone: Vec<HostId>,
    /// Hosts of other zones.
    pub other_zones: Vec<HostId>,
}

/// Whether other hosts follow this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HasFollowers {
    /// At least one does.
    Yes,
    /// None does.
    No,
}

/// Next step of the synchronization.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncStep {
    /// List the directory after a pause.
    List {
        /// Pause before the first call.
        pause: Millis,
        /// Timeout of the call for each page.
        limit: Millis,
    },
    /// Watch the directory after a pause.
    Watch {
        /// Pause before the call.
        pause: Millis,
        /// Position after which events are returned.
        after: DirectoryPosition,
        /// How long the directory may wait for an event.
        wait: Millis,
        /// Timeout of the call.
        limit: Millis,
    },
    /// Wait before the next step.
    Pause(Millis),
    /// Follow another host after a pause.
    Follow {
        /// Pause before the connection.
        pause: Millis,
        /// Host to follow.
        host: HostId,
    },
}

/// State of one host's synchronization with the directory.
#[derive(Debug, Clone, Default)]
pub struct DirectorySync {
    /// Position up to which this host is up to date; `None` before the first listing.
    known_position: Option<DirectoryPosition>,
    /// Time up to which this host's copy of the directory is known to be complete.
    confirmed_at: Option<Millis>,
    /// `true` while the directory should still hold the events since `known_position`.
    can_resume: bool,
    /// Consecutive failures of the directory.
    failures: u32,
    /// When the directory last failed.
    failed_at: Option<Millis>,
    /// Consecutive attempts to follow a host since this host last read the directory itself. A
    /// stream that delivered the full listing before it ended sets the count to one.
    follow_attempts: u32,
    /// Host that was last followed.
    last_followed: Option<HostId>,
    /// When this host was last ranked as a reader.
    last_ranked: Option<Millis>,
}

impl DirectorySync {
    /// Returns the first step, or the one that follows from the outcome of the last step.
    ///
    /// `jitter` is a random number in `0..1`, so that hosts do not act in lockstep.
    pub fn next_step(
        &mut self,
        now: Millis,
        outcome: Option<SyncOutcome>,
        readers: &Readers,
        has_followers: HasFollowers,
        jitter: f64,
    ) -> SyncStep {
        let pause = outcome.map_or(Millis(0), |it| self.record_outcome(now, it, jitter));
        if readers.is_reader {
            self.last_ranked = Some(now);
        }
        if let Some(host) = self.host_to_follow(now, readers, jitter) {
            self.last_followed = Some(host);
            return SyncStep::Follow { pause, host };
        }
        // Read the directory now, and allow attempts to follow a host afterwards.
        self.follow_attempts = 0;
        match self.known_position {
            Some(_) if !readers.synced && !self.is_older_than(now, MAX_FOLLOWER_AGE) => {
                SyncStep::Pause(SYNC_POLL_INTERVAL)
            }
            Some(after) if self.can_resume => {
                let wait = self.watch_wait(now, readers, has_followers);
                SyncStep::Watch { pause, after, wait, limit: wait + RESPONSE_TIMEOUT }
            }
            None | Some(_) => {
                SyncStep::List { pause, limit: self.page_timeout(&readers.bootstrap) }
            }
        }
    }

    /// Returns the position up to which this host is up to date.
    pub fn known_position(&self) -> Option<DirectoryPosition> {
        self.known_position
    }

    /// Records that this host's copy of the directory was complete at a time.
    pub fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the age of this host's copy of the directory: the time since it was last known to be
    /// complete; `None` before the first listing.
    pub fn copy_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|it| now.since(it))
    }

    /// Returns the time by which a host that is followed since `since` must have confirmed this host's
    /// copy of the directory again; `None` for a host without a listing, to which any copy is of use.
    pub fn follow_deadline(&self, since: Millis) -> Option<Millis> {
        self.known_position?;
        let first = since + FIRST_CONFIRMATION_TIMEOUT;
        Some(self.confirmed_at.map_or(first, |it| first.max(it + MAX_FOLLOWER_AGE)))
    }

    fn is_older_than(&self, now: Millis, max_age: Millis) -> bool {
        self.copy_age(now).is_none_or(|it| it > max_age)
    }

    /// Compares the era of a response of the directory with the one that this host has read last.
    ///
    /// A listing of a newer era is applied; a watch that was answered in one is not, because its
    /// events do not continue the history that this host has read. Obsolete responses are dropped.
    pub fn response_era(&self, response: DirectoryPosition) -> ResponseEra {
        let Some(known) = self.known_position else { return ResponseEra::Current };
        match response.era.cmp(&known.era) {
            Ordering::Less => ResponseEra::Older,
            Ordering::Equal => ResponseEra::Current,
            Ordering::Greater => ResponseEra::Newer,
        }
    }

    /// Requests a listing instead of the next watch.
    pub fn request_listing(&mut self) {
        self.can_resume = false;
    }

    /// Returns `true` if this host is a reader, or was ranked as one within the last
    /// [`READER_LINGER`].
    pub fn is_reader(&self, now: Millis) -> bool {
        self.last_ranked.is_some_and(|it| now.since(it) < READER_LINGER)
    }

    fn record_outcome(&mut self, now: Millis, outcome: SyncOutcome, jitter: f64) -> Millis {
        match outcome {
            SyncOutcome::Waited => Millis(0),
            SyncOutcome::Listed(position) => {
                self.known_position = Some(position);
                self.can_resume = true;
                self.failures = 0;
                Millis(0)
            }
            SyncOutcome::Watched { position, events } => {
                self.known_position = Some(position);
                self.failures = 0;
                if events { EVENT_BATCH_DELAY } else { Millis(0) }
            }
            SyncOutcome::HistoryExpired => {
                self.can_resume = false;
                self.failures = 0;
                Millis(0)
            }
            // The missed events only become more. A listing has each entry once.
            SyncOutcome::Incomplete if self.can_resume => {
                self.can_resume = false;
                self.failures = 0;
                Millis(0)
            }
            SyncOutcome::DirectoryReplaced => {
                self.known_position = self.known_position.map(|_| DirectoryPosition::default());
                self.confirmed_at = None;
                self.can_resume = false;
                self.failures = 0;
                Millis(0)
            }
            SyncOutcome::Incomplete | SyncOutcome::Failed => {
                let pause = self.backoff(jitter);
                self.failures += 1;
                self.failed_at = Some(now);
                pause
            }
            SyncOutcome::FollowEnded { position } => {
                let is_repeated = position.is_none() || self.follow_attempts > 0;
                self.follow_attempts =
                    if position.is_some() { 1 } else { self.follow_attempts + 1 };
                self.can_resume |= position.is_some();
                self.known_position = position.max(self.known_position);
                if is_repeated { FOLLOW_RETRY_DELAY } else { Millis(0) }
            }
        }
    }

    /// Returns the host to follow, or `None` if the directory is to be read.
    ///
    /// A host without a listing tries the directory first, because it is usually available. While
    /// the directory fails, it alternates between other hosts and the directory.
    fn host_to_follow(&self, now: Millis, readers: &Readers, jitter: f64) -> Option<HostId> {
        if self.known_position.is_none() {
            let ask_directory = self.failures == 0 || self.follow_attempts >= MAX_FOLLOW_ATTEMPTS;
            return if ask_directory {
                None
            } else {
                self.pick_bootstrap(&readers.bootstrap, jitter)
            };
        }
        let has_failed = self.failed_at > self.confirmed_at;
        if !has_failed && self.is_older_than(now, MAX_FAILOVER_AGE) {
            return None;
        }
        if readers.is_reader || self.is_reader(now) || self.follow_attempts >= MAX_FOLLOW_ATTEMPTS {
            return None;
        }
        self.pick(&readers.ranked, jitter)
    }

    /// Returns a host of the same zone at the first attempt, and preferably one of another zone at the
    /// second one.
    fn pick_bootstrap(&self, hosts: &BootstrapHosts, jitter: f64) -> Option<HostId> {
        let (first, second) = match self.follow_attempts {
            0 => (&hosts.same_zone, &hosts.other_zones),
            _ => (&hosts.other_zones, &hosts.same_zone),
        };
        self.pick(first, jitter).or_else(|| self.pick(second, jitter))
    }

    /// Returns how long the next watch may wait for an event. Events that arrive late in a watch
    /// shorten the next one, since they leave open how old the copy is.
    fn watch_wait(&self, now: Millis, readers: &Readers, has_followers: HasFollowers) -> Millis {
        if self.failures > 0 {
            // Asks at once whether the directory responds and in which era.
            return Millis(0);
        }
        let zone_has_followers = readers.bootstrap.same_zone.len() > readers.ranked.len();
        let is_followed =
            has_followers == HasFollowers::Yes || (readers.is_reader && zone_has_followers);
        let wait = if is_followed { FOLLOWED_WATCH_WAIT } else { WATCH_WAIT };
        let max_age = wait + MAX_EVENT_AGE;
        wait.min(max_age - self.copy_age(now).unwrap_or(max_age))
    }

    fn page_timeout(&self, hosts: &BootstrapHosts) -> Millis {
        let alone = hosts.same_zone.is_empty() && hosts.other_zones.is_empty();
        if self.known_position.is_some() || alone {
            return PAGE_TIMEOUT;
        }
        Millis(FIRST_PAGE_TIMEOUT.0 << self.failures.min(8)).min(PAGE_TIMEOUT)
    }

    /// Returns one of the hosts, but not the one that was last followed if that ended just now: it
    /// does not respond, stopped sending or lost the directory.
    fn pick(&self, hosts: &[HostId], jitter: f64) -> Option<HostId> {
        let is_other = |it: &&HostId| self.follow_attempts == 0 || Some(**it) != self.last_followed;
        let usable: Vec<HostId> = hosts.iter().filter(is_other).copied().collect();
        usable.get((jitter * usable.len() as f64) as usize).copied()
    }

    fn backoff(&self, jitter: f64) -> Millis {
        let doubled = RETRY_BACKOFF_MIN.0 << self.failures.min(8);
        let ceiling = doubled.min(RETRY_BACKOFF_MAX.0) as f64;
        Millis((ceiling * (0.5 + jitter / 2.0)) as u64)
    }
}
