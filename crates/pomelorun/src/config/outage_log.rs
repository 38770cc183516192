//! Limits how often an outage of a source is logged: once when it starts, then at growing
//! intervals.

use std::time::{Duration, Instant};

/// Age of an outage at the first reminder; each further reminder comes at
/// [`REMINDER_FACTOR`] times the age of the previous one.
const FIRST_REMINDER: Duration = Duration::from_secs(60);
const REMINDER_FACTOR: u32 = 4;

/// What is to be logged after an attempt to read a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageNotice {
    /// Nothing is to be logged.
    None,
    /// The outage started: this is the first failure after a success.
    Started,
    /// The outage is ongoing and has lasted this long.
    Ongoing(Duration),
    /// The source has recovered after an outage of this length.
    Recovered(Duration),
}

/// Tracks the outages of one source.
#[derive(Debug, Default)]
pub struct OutageLog {
    since: Option<Instant>,
    next_reminder: Duration,
}

impl OutageLog {
    /// Records a success.
    pub fn record_success(&mut self, now: Instant) -> OutageNotice {
        match self.since.take() {
            Some(since) => OutageNotice::Recovered(now.saturating_duration_since(since)),
            None => OutageNotice::None,
        }
    }

    /// Records a failure.
    pub fn record_failure(&mut self, now: Instant) -> OutageNotice {
        let Some(since) = self.since else {
            self.since = Some(now);
            self.next_reminder = FIRST_REMINDER;
            return OutageNotice::Started;
        };
        let age = now.saturating_duration_since(since);
        if age < self.next_reminder {
            return OutageNotice::None;
        }
        while self.next_reminder <= age {
            self.next_reminder *= REMINDER_FACTOR;
        }
        OutageNotice::Ongoing(age)
    }
}
