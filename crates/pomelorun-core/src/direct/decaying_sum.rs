//! Exponentially decaying sums.

use crate::time::Millis;

/// A sum whose value halves once per half-life.
///
/// The half-life is passed to each call and must be the same for all calls on one sum.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    value: f64,
    updated_at: Millis,
}

impl DecayingSum {
    /// Returns the decayed value at `now`.
    pub(crate) fn value_at(&self, now: Millis, half_life_ms: f64) -> f64 {
        self.value * (-(now.since(self.updated_at).0 as f64) / half_life_ms).exp2()
    }

    /// Adds `amount` to the decayed value.
    pub(crate) fn add(&mut self, now: Millis, half_life_ms: f64, amount: f64) {
        self.value = self.value_at(now, half_life_ms) + amount;
        self.updated_at = now;
    }
}
