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
const WATCH: Millis = Millis(3_000);
/// The same for a host that others follow. They must hear of a change within three seconds although
/// the host that they follow is cut off from the directory: it notices, they turn to another host,
/// and then to the directory itself.
const WATCH_FOLLOWED: Millis = Millis(1_000);
/// Time that an answer may take beyond the wait: over a hundred times the usual.
const ANSWER: Millis = Millis(600);
/// Time that a listing may take, of several pages.
const LISTING: Millis = Millis(1_000);
/// Pause after an event, which gathers those that come close together into one call.
const GATHER: Millis = Millis(250);
/// First pause after a failure, doubled with each further one.
const RETRY_FIRST: Millis = Millis(100);
/// Longest pause after failures. Far below the time in which a change must be in force.
const RETRY_MOST: Millis = Millis(800);
/// Pause after a host could not be followed: long against a connection, short against the time in
/// which a change must be in force.
const IN_VAIN: Millis = Millis(100);
/// Pause of a host that has listed everything and does not know yet who reads in its zone.
const SETTLE: Millis = Millis(300);
/// Time for which a reader goes on after it was ranked lower, so that its followers need not move
/// while the view of the zone's hosts changes to and fro.
const READ_ON: Millis = Millis(5_000);
/// Readers that are tried before a host reads the directory itself.
const TRIES: u32 = 2;

/// How reading ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The pause is over.
    Paused,
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
    HistoryGone,
    /// It did not answer, or with an error.
    Failed,
    /// A followed host fell silent or ended the stream, after having said everything or not.
    Unfollowed {
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
    pub reads: bool,
    /// The view of the zone's hosts is old enough to go by it.
    pub settled: bool,
    /// Hosts of any zone that may know what is published, for one that knows nothing.
    pub anyone: Vec<HostId>,
}

/// Whether other hosts follow this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Followed {
    /// At least one does.
    Yes,
    /// None does.
    No,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
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
pub struct Sourcing {
    /// Revision of the directory up to which everything is known.
    known: Option<u64>,
    /// The directory still has the history after `known`.
    resumable: bool,
    /// Failures of the directory in a row.
    failures: u32,
    /// Readers that were tried in vain in a row.
    tries: u32,
    /// The host that was followed last.
    last: Option<HostId>,
    /// When this host was last ranked as a reader.
    ranked: Option<Millis>,
}

impl Sourcing {
    /// The first step, or the next one after an outcome. `spread` in 0..1 differs from host to host.
    pub fn next(
        &mut self,
        now: Millis,
        outcome: Option<Outcome>,
        readers: &Readers,
        followed: Followed,
        spread: f64,
    ) -> Next {
        let pause = outcome.map_or(Millis(0), |it| self.note(it, spread));
        if readers.reads {
            self.ranked = Some(now);
        }
        if let Some(host) = self.reader_to_follow(now, readers, spread) {
            self.last = Some(host);
            return Next::Follow { pause, host };
        }
        // The directory gets its turn, then the readers again.
        self.tries = 0;
        match self.known {
            Some(_) if !readers.settled => Next::Pause(SETTLE),
            Some(after) if self.resumable => {
                let wait = match followed {
                    Followed::Yes => WATCH_FOLLOWED,
                    Followed::No => WATCH,
                };
                Next::Watch { pause, after, wait, limit: wait + ANSWER }
            }
            None | Some(_) => Next::List { pause, limit: LISTING },
        }
    }

    /// Revision of the directory up to which everything is known.
    pub fn known(&self) -> Option<u64> {
        self.known
    }

    /// Tells whether this host is to read the directory for others.
    pub fn reads(&self, now: Millis) -> bool {
        self.ranked.is_some_and(|it| now.since(it) < READ_ON)
    }

    fn note(&mut self, outcome: Outcome, spread: f64) -> Millis {
        match outcome {
            Outcome::Paused => Millis(0),
            Outcome::Listed(revision) => {
                self.known = Some(revision);
                self.resumable = true;
                self.failures = 0;
                Millis(0)
            }
            Outcome::Watched { revision, events } => {
                self.known = Some(revision);
                self.failures = 0;
                if events { GATHER } else { Millis(0) }
            }
            Outcome::HistoryGone => {
                self.resumable = false;
                self.failures = 0;
                Millis(0)
            }
            Outcome::Failed => {
                let pause = self.backoff(spread);
                self.failures += 1;
                pause
            }
            Outcome::Unfollowed { revision } => {
                self.tries = if revision.is_some() { 1 } else { self.tries + 1 };
                self.resumable |= revision.is_some();
                self.known = revision.max(self.known);
                if revision.is_some() { Millis(0) } else { IN_VAIN }
            }
        }
    }

    /// A host that knows nothing asks the directory first, which is there more often than not, and
    /// then whoever may know, by turns with the directory.
    fn reader_to_follow(&self, now: Millis, readers: &Readers, spread: f64) -> Option<HostId> {
        if self.known.is_none() {
            let asked = self.failures == 0 || self.tries >= TRIES;
            return if asked { None } else { pick(&readers.anyone, spread) };
        }
        if readers.reads || self.reads(now) || self.tries >= TRIES {
            return None;
        }
        // Another one than the last, which fell silent or has lost the directory.
        let others = |it: &&HostId| self.tries == 0 || Some(**it) != self.last;
        let usable: Vec<HostId> = readers.ranked.iter().filter(others).copied().collect();
        pick(&usable, spread)
    }

    fn backoff(&self, spread: f64) -> Millis {
        let doubled = RETRY_FIRST.0 << self.failures.min(8);
        let most = doubled.min(RETRY_MOST.0) as f64;
        Millis((most * (0.5 + spread / 2.0)) as u64)
    }
}

fn pick(hosts: &[HostId], spread: f64) -> Option<HostId> {
    hosts.get((spread * hosts.len() as f64) as usize).copied()
}
