//! Retry budget for requests that upstreams shed.

use std::cell::Cell;

use crate::time::Millis;

/// Units of a token; a retry costs one token.
const UNITS_PER_TOKEN: u32 = 100;
/// Maximum number of tokens that a budget accumulates.
const MAX_TOKENS: u32 = 10;
/// Half-life of the counts of answers and sheds.
const HALF_LIFE: Millis = Millis(1_000);

/// Retry budget of one pool at this host.
///
/// Each answer adds a fraction of a token. No retry is allowed while the pool sheds more requests
/// than it answers.
#[derive(Debug, Clone, Default)]
pub(crate) struct RetryBudget {
    units: Cell<u32>,
    answered: Cell<u32>,
    shed: Cell<u32>,
    last_decay: Cell<Millis>,
}

impl RetryBudget {
    /// Records an answer, which adds `percent` of a token.
    pub(crate) fn record_answer(&self, now: Millis, percent: u32) {
        self.decay(now);
        self.answered.set(self.answered.get().saturating_add(1));
        self.units.set((self.units.get() + percent).min(MAX_TOKENS * UNITS_PER_TOKEN));
    }

    /// Records that an upstream of the pool shed a request.
    pub(crate) fn record_shed(&self, now: Millis) {
        self.decay(now);
        self.shed.set(self.shed.get().saturating_add(1));
    }

    /// Takes a token for one retry; returns `false` if no retry is allowed.
    pub(crate) fn try_take(&self) -> bool {
        let left = self.units.get().checked_sub(UNITS_PER_TOKEN);
        match left {
            Some(left) if self.shed.get() <= self.answered.get() => {
                self.units.set(left);
                true
            }
            _ => false,
        }
    }

    fn decay(&self, now: Millis) {
        let halvings = now.since(self.last_decay.get()).0 / HALF_LIFE.0;
        if halvings > 0 {
            let shift = u32::try_from(halvings).unwrap_or(u32::MAX);
            self.answered.set(self.answered.get().checked_shr(shift).unwrap_or(0));
            self.shed.set(self.shed.get().checked_shr(shift).unwrap_or(0));
            self.last_decay.set(now);
        }
    }
}
