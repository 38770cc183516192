//! What hosts of one zone tell each other about upstreams.

use serde::{Deserialize, Serialize};

/// Upstreams that the sender has found unreachable, or ejected, since it last spoke.
///
/// Only hosts of the sender's zone go by it: another zone may reach what this one does not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerUpdate {
    /// Identifier and start of each, and how long it had been silent, milliseconds.
    pub unreachable: Vec<(u64, u64, u32)>,
    /// Identifier and start of each upstream that is ejected, and for how long, milliseconds.
    #[serde(default)]
    pub ejected: Vec<(u64, u64, u32)>,
}

impl PeerUpdate {
    /// Tells whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.unreachable.is_empty() && self.ejected.is_empty()
    }
}
