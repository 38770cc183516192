//! Updates about upstreams that hosts send each other.

use serde::{Deserialize, Serialize};

/// Upstreams that the sender found unreachable or gone, or ejected, since its last update.
///
/// It is for hosts of the sender's zone, because an upstream that one zone cannot reach may be reachable from
/// another. While the directory is unavailable, the other zones are told which upstreams are gone.
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
    /// Identifier and start time of each upstream at whose address nothing listens.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<(u64, u64)>,
}

/// Hosts that an update is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerScope {
    /// The other hosts of the sender's zone.
    Zone,
    /// The hosts of all other zones.
    OtherZones,
}

impl PeerUpdate {
    /// Returns `true` if the update names no upstream.
    pub fn is_empty(&self) -> bool {
        self.unreachable.is_empty() && self.ejected.is_empty() && self.gone.is_empty()
    }
}
