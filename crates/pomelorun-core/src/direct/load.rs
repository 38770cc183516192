//! Estimated load of an upstream, from the flows and requests that pass this host.

use crate::{direct::decaying_sum::DecayingSum, time::Millis};

/// Half-life of an opened flow, in milliseconds: about the time until a caller that keeps its flow
/// open sends the next request.
pub(crate) const OPENS_HALF_LIFE_MS: f64 = 2_000.0;

/// Estimated load of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Recently opened flows.
    opens: DecayingSum,
    /// Number of requests that wait for a response.
    pub waiting: u32,
    /// Of these, those whose time-out has passed.
    pub(crate) overdue: u32,
    /// When the upstream was last a candidate for a new flow.
    pub(crate) last_candidate: Option<Millis>,
    /// When more requests last waited than the upstream runs concurrently.
    queued_at: Option<Millis>,
}

impl Load {
    /// Adds a request that waits for a response at an upstream that runs `slots` concurrently.
    pub(crate) fn add_waiting(&mut self, now: Millis, slots: u32) {
        self.waiting += 1;
        if self.waiting > slots.max(1) {
            self.queued_at = Some(now);
        }
    }

    /// Subtracts an answered request that was sent at `sent_at`. Returns `true` if requests through
    /// this host may have delayed it.
    pub(crate) fn remove_waiting(&mut self, now: Millis, sent_at: Millis, slots: u32) -> bool {
        if self.waiting > slots.max(1) {
            self.queued_at = Some(now);
        }
        self.waiting = self.waiting.saturating_sub(1);
        self.queued_at.is_some_and(|it| it >= sent_at)
    }

    /// Subtracts a request that ends without an answer.
    pub(crate) fn release(&mut self, overdue: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        self.overdue = self.overdue.saturating_sub(u32::from(overdue));
    }

    /// Returns the number of requests that wait for a response and are not overdue.
    pub(crate) fn in_progress(&self) -> u32 {
        self.waiting.saturating_sub(self.overdue)
    }

    /// Records an opened flow.
    pub fn record_open(&mut self, now: Millis) {
        self.opens.add(now, OPENS_HALF_LIFE_MS, 1.0);
    }

    /// Raises the number of recently opened flows to `opens`.
    pub(crate) fn credit_opens(&mut self, now: Millis, opens: f64) {
        let missing = opens - self.recent_opens(now);
        if missing > 0.0 {
            self.opens.add(now, OPENS_HALF_LIFE_MS, missing);
        }
    }

    /// Returns the exponentially decaying number of opened flows.
    pub fn recent_opens(&self, now: Millis) -> f64 {
        self.opens.value_at(now, OPENS_HALF_LIFE_MS)
    }
}
