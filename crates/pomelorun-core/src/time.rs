//! Monotonic time in milliseconds.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time on a monotonic clock or a duration, milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the duration as the 16-bit value of a header field, capped at 65,535 milliseconds.
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
