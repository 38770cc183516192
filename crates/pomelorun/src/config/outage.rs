//! Saying once that a source fails, and again only as its outage grows old.

use std::time::{Duration, Instant};

/// Age at which an outage is mentioned again; each further mention comes at four times the last.
const FIRST_REMINDER: Duration = Duration::from_secs(60);
const REMINDER_FACTOR: u32 = 4;

/// What to write to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// Nothing new.
    Silence,
    /// The first failure after a success.
    Failing,
    /// It still fails, since this long.
    StillFailing(Duration),
    /// It works again, after this long.
    Recovered(Duration),
}

/// Follows the failures of one source.
#[derive(Debug, Default)]
pub struct Outage {
    since: Option<Instant>,
    next: Duration,
}

impl Outage {
    /// Notes a success.
    pub fn succeeded(&mut self, now: Instant) -> Notice {
        match self.since.take() {
            Some(since) => Notice::Recovered(now.saturating_duration_since(since)),
            None => Notice::Silence,
        }
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Instant) -> Notice {
        let Some(since) = self.since else {
            self.since = Some(now);
            self.next = FIRST_REMINDER;
            return Notice::Failing;
        };
        let age = now.saturating_duration_since(since);
        if age < self.next {
            return Notice::Silence;
        }
        while self.next <= age {
            self.next *= REMINDER_FACTOR;
        }
        Notice::StillFailing(age)
    }
}
