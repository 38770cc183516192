//! Updates about upstreams that hosts of one zone send each other.

use serde::{Deserialize, Serialize};

/// Upstreams that the sender found unreachable, or ejected, since its last update.
///
/// Only hosts of the sender's zone apply it, because an upstream that one zone cannot reach may be
/// reachable from another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerUpdate {
    /// Identifier and start time of each unreachable upstream, and for how many milliseconds it had
    /// not responded.
    pub unreachable: Vec<(u64, u64, u32)>,
    /// Identifier and start time of each ejected upstream, and the length of the ejection in
    /// milliseconds.
    #[serde(default)]
    pub ejected: Vec<(u64, u64, u32)>,
}

impl PeerUpdate {
    /// Returns `true` if the update names no upstream.
    pub fn is_empty(&self) -> bool {
        self.unreachable.is_empty() && self.ejected.is_empty()
    }
}
