//! Affinity tokens.

use std::fmt;

use pomelorun_wire::stable_hash;
use serde::{Deserialize, Serialize};

use crate::direct::registry::UpstreamKey;

/// Names one start of an upstream in 32 bits; never zero.
///
/// Every host derives the same token from what the upstream says of itself, so no host has to tell
/// another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u32);

impl Token {
    /// What a packet carries before a host has written a token.
    pub const NONE: Token = Token(0);

    /// Derives the token of an upstream.
    pub fn of(key: UpstreamKey) -> Token {
        let mut buf = [0u8; 16];
        buf[..8].copy_from_slice(&key.id.to_be_bytes());
        buf[8..].copy_from_slice(&key.started_at.to_be_bytes());
        Token(((stable_hash(&buf) >> 32) as u32).max(1))
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
