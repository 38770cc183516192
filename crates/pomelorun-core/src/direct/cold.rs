//! How many flows may be opened at a cold upstream.

use smallvec::SmallVec;

use crate::time::Millis;

/// Span in which openings are counted.
const SECOND: Millis = Millis(1_000);

/// What a cold upstream may be given, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Factor on the rate that the service names.
    pub rate_factor: f64,
    /// Requests that may come on top.
    pub slack: f64,
}

impl ColdLimit {
    /// Openings in any second.
    pub fn opens_per_second(&self, cold_per_s: f64) -> u32 {
        // One less than allowed: two openings may be nearer to each other at the upstream than here.
        let most = cold_per_s.max(0.0) * self.rate_factor + self.slack - 1.0;
        most.max(0.0) as u32
    }
}

/// Openings at one cold upstream.
#[derive(Debug, Clone, Default)]
pub struct ColdBudget {
    opened: SmallVec<[Millis; 8]>,
}

impl ColdBudget {
    /// Tells whether one more may be opened.
    pub fn has_room(&self, now: Millis, per_s: u32) -> bool {
        // Half a span more, since packets may be held up on their way.
        let within = Millis(SECOND.0 * 3 / 2);
        self.opened.iter().filter(|&&it| now.since(it) < within).count() < per_s as usize
    }

    /// Counts an opening.
    pub fn record_open(&mut self, now: Millis) {
        self.opened.retain(|it| now.since(*it) < SECOND + SECOND);
        self.opened.push(now);
    }
}
