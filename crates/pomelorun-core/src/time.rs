//! Time as it is handed to the core.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time or a span, milliseconds on a monotonic clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Time from `earlier` until `self`, zero where `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the span as a header field, at most 65,535 milliseconds.
    pub fn as_u16(self) -> u16 {
        u16::try_from(self.0).unwrap_or(u16::MAX)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}
