//! A number that halves with time.

use crate::time::Millis;

/// A number that halves with time; the half-life, in milliseconds, is the user's.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    value: f64,
    at: Millis,
}

impl DecayingSum {
    /// What is left of it.
    pub(crate) fn value_at(&self, now: Millis, half_life: f64) -> f64 {
        self.value * (-(now.since(self.at).0 as f64) / half_life).exp2()
    }

    /// Adds to what is left.
    pub(crate) fn add(&mut self, now: Millis, half_life: f64, more: f64) {
        self.value = self.value_at(now, half_life) + more;
        self.at = now;
    }
}
