//! From where a host learns what is published, and when it asks.
//!
//! The directory's calls are few and shared by all hosts, so in each zone only some hosts read it:
//! one listing, then one watch after the other. The others follow one of them over a stream. A host
//! reads the directory itself while it starts, and whenever no reader of its zone can be followed.
//! Each answer has a time limit, since a connection may fall silent without a word.

use pomelorun_wire::HostId;

use crate::time::Millis;

/// How long a watch waits for an event. With the time that an answer may take, the longest time for
/// which a silent connection goes unnoticed. A host that reads only for itself is the only one that
/// suffers from it.
const WATCH_WAIT: Millis = Millis(3_000);
/// The same for a host that others follow. They must hear of a change within three seconds although
/// the host that they follow is cut off from the directory: it notices, they turn to another host,
/// and then to the directory itself.
const FOLLOWED_WATCH_WAIT: Millis = Millis(1_000);
/// Time that an answer may take beyond the wait: over a hundred times the usual.
const RESPONSE_TIMEOUT: Millis = Millis(600);
/// Time that a listing may take, of several pages.
const LIST_TIMEOUT: Millis = Millis(1_000);
/// Pause after an event, which gathers those that come close together into one call.
const EVENT_BATCH_DELAY: Millis = Millis(250);
/// First pause after a failure, doubled with each further one.
const RETRY_BACKOFF_MIN: Millis = Millis(100);
/// Longest pause after failures. Far below the time in which a change must be in force.
const RETRY_BACKOFF_MAX: Millis = Millis(800);
/// Pause after a host could not be followed: long against a connection, short against the time in
/// which a change must be in force.
const FOLLOW_RETRY_DELAY: Millis = Millis(100);
/// Pause of a host that has listed everything and does not know yet who reads in its zone.
const SYNC_POLL_INTERVAL: Millis = Millis(300);
/// Time for which a reader goes on after it was ranked lower, so that its followers need not move
/// while the view of the zone's hosts changes to and fro.
const READER_LINGER: Millis = Millis(5_000);
/// Readers that are tried before a host reads the directory itself.
const MAX_FOLLOW_ATTEMPTS: u32 = 2;

/// How reading ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncOutcome {
    /// The pause is over.
    Waited,
    /// Everything was listed, as of this revision of the directory.
    Listed(u64),
    /// Events came, or none did in time, as of this revision of the directory.
    Watched {
        /// Where the next watch continues.
        revision: u64,
        /// Something was published.
        events: bool,
    },
    /// The directory no longer knows what followed the last answer.
    HistoryExpired,
    /// It did not answer, or with an error.
    Failed,
    /// A followed host fell silent or ended the stream, after having said everything or not.
    FollowEnded {
        /// It had said everything, as of this revision of the directory.
        revision: Option<u64>,
    },
}

/// What the zone's hosts look like to this one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Readers {
    /// The zone's readers, best first; this host may be among them.
    pub ranked: Vec<HostId>,
    /// This host is one of them.
    pub is_reader: bool,
    /// The view of the zone's hosts is old enough to go by it.
    pub synced: bool,
    /// Hosts of any zone that may know what is published, for one that knows nothing.
    pub bootstrap_hosts: Vec<HostId>,
}

/// Whether other hosts follow this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HasFollowers {
    /// At least one does.
    Yes,
    /// None does.
    No,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncStep {
    /// List everything after a pause.
    List {
        /// The pause.
        pause: Millis,
        /// Time that the answer may take.
        limit: Millis,
    },
    /// Watch after a pause.
    Watch {
        /// The pause.
        pause: Millis,
        /// Revision after which to watch.
        after: u64,
        /// How long the directory may wait for an event.
        wait: Millis,
        /// Time that the answer may take.
        limit: Millis,
    },
    /// Wait, and ask again.
    Pause(Millis),
    /// Follow another host after a pause.
    Follow {
        /// The pause.
        pause: Millis,
        /// Which host.
        host: HostId,
    },
}

/// State of one host's sourcing.
#[derive(Debug, Clone, Default)]
pub struct DirectorySync {
    /// Revision of the directory up to which everything is known.
    known_revision: Option<u64>,
    /// The directory still has the history after `known`.
    can_resume: bool,
    /// Failures of the directory in a row.
    failures: u32,
    /// Readers that were tried in vain in a row.
    follow_attempts: u32,
    /// The host that was followed last.
    last_followed: Option<HostId>,
    /// When this host was last ranked as a reader.
    last_ranked: Option<Millis>,
}

impl DirectorySync {
    /// The first step, or the next one after an outcome. `spread` in 0..1 differs from host to
    /// host.
    pub fn next_step(
        &mut self,
        now: Millis,
        outcome: Option<SyncOutcome>,
        readers: &Readers,
        has_followers: HasFollowers,
        jitter: f64,
    ) -> SyncStep {
        let pause = outcome.map_or(Millis(0), |it| self.record_outcome(it, jitter));
        if readers.is_reader {
            self.last_ranked = Some(now);
        }
        if let Some(host) = self.host_to_follow(now, readers, jitter) {
            self.last_followed = Some(host);
            return SyncStep::Follow { pause, host };
        }
        // The directory gets its turn, then the readers again.
        self.follow_attempts = 0;
        match self.known_revision {
            Some(_) if !readers.synced => SyncStep::Pause(SYNC_POLL_INTERVAL),
            Some(after) if self.can_resume => {
                let wait = match has_followers {
                    HasFollowers::Yes => FOLLOWED_WATCH_WAIT,
                    HasFollowers::No => WATCH_WAIT,
                };
                SyncStep::Watch { pause, after, wait, limit: wait + RESPONSE_TIMEOUT }
            }
            None | Some(_) => SyncStep::List { pause, limit: LIST_TIMEOUT },
        }
    }

    /// Revision of the directory up to which everything is known.
    pub fn known_revision(&self) -> Option<u64> {
        self.known_revision
    }

    /// Tells whether this host is to read the directory for others.
    pub fn is_reader(&self, now: Millis) -> bool {
        self.last_ranked.is_some_and(|it| now.since(it) < READER_LINGER)
    }

    fn record_outcome(&mut self, outcome: SyncOutcome, jitter: f64) -> Millis {
        match outcome {
            SyncOutcome::Waited => Millis(0),
            SyncOutcome::Listed(revision) => {
                self.known_revision = Some(revision);
                self.can_resume = true;
                self.failures = 0;
                Millis(0)
            }
            SyncOutcome::Watched { revision, events } => {
                self.known_revision = Some(revision);
                self.failures = 0;
                if events { EVENT_BATCH_DELAY } else { Millis(0) }
            }
            SyncOutcome::HistoryExpired => {
                self.can_resume = false;
                self.failures = 0;
                Millis(0)
            }
            SyncOutcome::Failed => {
                let pause = self.backoff(jitter);
                self.failures += 1;
                pause
            }
            SyncOutcome::FollowEnded { revision } => {
                self.follow_attempts =
                    if revision.is_some() { 1 } else { self.follow_attempts + 1 };
                self.can_resume |= revision.is_some();
                self.known_revision = revision.max(self.known_revision);
                if revision.is_some() { Millis(0) } else { FOLLOW_RETRY_DELAY }
            }
        }
    }

    /// A host that knows nothing asks the directory first, which is there more often than not, and
    /// then whoever may know, by turns with the directory.
    fn host_to_follow(&self, now: Millis, readers: &Readers, jitter: f64) -> Option<HostId> {
        if self.known_revision.is_none() {
            let ask_directory = self.failures == 0 || self.follow_attempts >= MAX_FOLLOW_ATTEMPTS;
            return if ask_directory { None } else { pick(&readers.bootstrap_hosts, jitter) };
        }
        if readers.is_reader || self.is_reader(now) || self.follow_attempts >= MAX_FOLLOW_ATTEMPTS {
            return None;
        }
        // Another one than the last, which fell silent or has lost the directory.
        let others = |it: &&HostId| self.follow_attempts == 0 || Some(**it) != self.last_followed;
        let usable: Vec<HostId> = readers.ranked.iter().filter(others).copied().collect();
        pick(&usable, jitter)
    }

    fn backoff(&self, jitter: f64) -> Millis {
        let doubled = RETRY_BACKOFF_MIN.0 << self.failures.min(8);
        let ceiling = doubled.min(RETRY_BACKOFF_MAX.0) as f64;
        Millis((ceiling * (0.5 + jitter / 2.0)) as u64)
    }
}

fn pick(hosts: &[HostId], jitter: f64) -> Option<HostId> {
    hosts.get((jitter * hosts.len() as f64) as usize).copied()
}
