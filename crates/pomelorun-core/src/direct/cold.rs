//! Slow start: limits how many flows are opened at a cold upstream.

use smallvec::SmallVec;

use crate::time::Millis;

/// Window of the rate limit.
const WINDOW: Millis = Millis(1_000);

/// Limit on the flows opened at a cold upstream, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Factor by which the service's configured rate is multiplied.
    pub rate_factor: f64,
    /// Flows allowed per window on top of the multiplied rate.
    pub slack: f64,
}

impl ColdLimit {
    /// Returns the number of flows that may be opened in any one second.
    pub fn opens_per_second(&self, cold_per_s: f64) -> u32 {
        // One less than allowed, because two opening packets can arrive at the upstream closer
        // together than they were sent.
        let allowed = cold_per_s.max(0.0) * self.rate_factor + self.slack - 1.0;
        allowed.max(0.0) as u32
    }
}

/// Recently opened flows of one cold upstream.
#[derive(Debug, Clone, Default)]
pub struct ColdBudget {
    opened_at: SmallVec<[Millis; 8]>,
}

impl ColdBudget {
    /// Returns `true` if another flow may be opened at `now`.
    pub fn has_room(&self, now: Millis, per_s: u32) -> bool {
        // Counts over one and a half windows, because packets can be delayed on the network.
        let window = Millis(WINDOW.0 * 3 / 2);
        self.opened_at.iter().filter(|&&it| now.since(it) < window).count() < per_s as usize
    }

    /// Records an opened flow.
    pub fn record_open(&mut self, now: Millis) {
        self.opened_at.retain(|it| now.since(*it) < WINDOW + WINDOW);
        self.opened_at.push(now);
    }
}
