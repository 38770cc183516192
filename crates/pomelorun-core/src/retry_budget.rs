//! How often requests that upstreams shed may be sent again.

use std::cell::Cell;

use crate::time::Millis;

/// Budget of one retry, hundredths of a token.
const TOKEN: u32 = 100;
/// Most retries that a budget saves up.
const MOST_TOKENS: u32 = 10;
/// Time after which answers and sheds count half.
const HALF_LIFE: Millis = Millis(1_000);

/// Retries that one pool may still be given by this host.
///
/// Each answer adds a fraction of a retry. While the pool sheds more than it answers there are none.
#[derive(Debug, Clone, Default)]
pub(crate) struct RetryBudget {
    tokens: Cell<u32>,
    answered: Cell<u32>,
    shed: Cell<u32>,
    halved: Cell<Millis>,
}

impl RetryBudget {
    /// Notes an answer, which adds `percent` of a retry.
    pub(crate) fn answered(&self, now: Millis, percent: u32) {
        self.decay(now);
        self.answered.set(self.answered.get().saturating_add(1));
        self.tokens.set((self.tokens.get() + percent).min(MOST_TOKENS * TOKEN));
    }

    /// Notes that an upstream of the pool shed a request.
    pub(crate) fn shed(&self, now: Millis) {
        self.decay(now);
        self.shed.set(self.shed.get().saturating_add(1));
    }

    /// Takes one retry, if there is one.
    pub(crate) fn take(&self) -> bool {
        let left = self.tokens.get().checked_sub(TOKEN);
        match left {
            Some(left) if self.shed.get() <= self.answered.get() => {
                self.tokens.set(left);
                true
            }
            _ => false,
        }
    }

    fn decay(&self, now: Millis) {
        let halvings = now.since(self.halved.get()).0 / HALF_LIFE.0;
        if halvings > 0 {
            let shift = u32::try_from(halvings).unwrap_or(u32::MAX);
            self.answered.set(self.answered.get().checked_shr(shift).unwrap_or(0));
            self.shed.set(self.shed.get().checked_shr(shift).unwrap_or(0));
            self.halved.set(now);
        }
    }
}
