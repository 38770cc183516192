//! Exponentially decaying sums.

use crate::time::Millis;

/// A sum whose value halves once per half-life.
///
/// The half-life, in milliseconds, is passed to each call and must be the same for all calls on one
/// sum.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    value: f64,
    at: Millis,
}

impl DecayingSum {
    /// Returns the decayed value at `now`.
    pub(crate) fn value_at(&self, now: Millis, half_life: f64) -> f64 {
        self.value * (-(now.since(self.at).0 as f64) / half_life).exp2()
    }

    /// Adds `more` to the decayed value.
    pub(crate) fn add(&mut self, now: Millis, half_life: f64, more: f64) {
        self.value = self.value_at(now, half_life) + more;
        self.at = now;
    }
}
