//! When to read the directory of what is published, and how.
//!
//! One listing, then one watch after the other from where the last answer ended. Each answer has a
//! time limit, since a connection may fall silent without a word.

use crate::time::Millis;

/// How long a watch waits for an event. With the time that an answer may take, the longest time for
/// which a silent connection goes unnoticed.
const WATCH: Millis = Millis(3_000);
/// Time that an answer may take beyond the wait: some hundred times the usual.
const ANSWER: Millis = Millis(1_000);
/// Pause after an event, which gathers those that come close together into one call.
const GATHER: Millis = Millis(100);
/// First pause after a failure, doubled with each further one.
const RETRY_FIRST: Millis = Millis(100);
/// Longest pause after failures. Far below the time in which a change must be in force.
const RETRY_MOST: Millis = Millis(800);

/// How a reading ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
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
}

/// State of one reader.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// Revision that the next watch continues from.
    after: Option<u64>,
    failures: u32,
}

impl Reading {
    /// The first step, or the next one after an outcome. `spread` in 0..1 differs from host to host.
    pub fn next(&mut self, outcome: Option<Outcome>, spread: f64) -> Next {
        let mut pause = Millis(0);
        match outcome {
            None => {}
            Some(Outcome::Listed(revision)) => {
                self.after = Some(revision);
                self.failures = 0;
            }
            Some(Outcome::Watched { revision, events }) => {
                self.after = Some(revision);
                self.failures = 0;
                pause = if events { GATHER } else { Millis(0) };
            }
            Some(Outcome::HistoryGone) => self.after = None,
            Some(Outcome::Failed) => {
                pause = self.backoff(spread);
                self.failures += 1;
            }
        }
        match self.after {
            None => Next::List { pause, limit: ANSWER },
            Some(after) => Next::Watch { pause, after, wait: WATCH, limit: WATCH + ANSWER },
        }
    }

    fn backoff(&self, spread: f64) -> Millis {
        let doubled = RETRY_FIRST.0 << self.failures.min(8);
        let most = doubled.min(RETRY_MOST.0) as f64;
        Millis((most * (0.5 + spread / 2.0)) as u64)
    }
}
