//! Switches of the host's mechanisms.

/// A mechanism that can be switched off to show what it contributes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Sending an opening packet to another upstream when its answer is overdue.
    OpeningRetry,
}

/// Mechanisms that are switched off; none by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Disabled(Vec<Mechanism>);

impl Disabled {
    /// Switches these mechanisms off.
    pub fn new(mut mechanisms: Vec<Mechanism>) -> Disabled {
        mechanisms.sort_unstable();
        mechanisms.dedup();
        Disabled(mechanisms)
    }

    pub(crate) fn contains(&self, mechanism: Mechanism) -> bool {
        self.0.binary_search(&mechanism).is_ok()
    }
}
