//! Saying once that a source fails, and again only as its outage grows old.

use std::time::{Duration, Instant};

/// Age at which an outage is mentioned again; each further mention comes at four times the last.
const FIRST_REMINDER: Duration = Duration::from_secs(60);
const REMINDER_FACTOR: u32 = 4;

/// What to write to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageNotice {
    /// Nothing new.
    None,
    /// The first failure after a success.
    Started,
    /// It still fails, since this long.
    Ongoing(Duration),
    /// It works again, after this long.
    Recovered(Duration),
}

/// Follows the failures of one source.
#[derive(Debug, Default)]
pub struct OutageLog {
    since: Option<Instant>,
    next: Duration,
}

impl OutageLog {
    /// Notes a success.
    pub fn record_success(&mut self, now: Instant) -> OutageNotice {
        match self.since.take() {
            Some(since) => OutageNotice::Recovered(now.saturating_duration_since(since)),
            None => OutageNotice::None,
        }
    }

    /// Notes a failure.
    pub fn record_failure(&mut self, now: Instant) -> OutageNotice {
        let Some(since) = self.since else {
            self.since = Some(now);
            self.next = FIRST_REMINDER;
            return OutageNotice::Started;
        };
        let age = now.saturating_duration_since(since);
        if age < self.next {
            return OutageNotice::None;
        }
        while self.next <= age {
            self.next *= REMINDER_FACTOR;
        }
        OutageNotice::Ongoing(age)
    }
}
