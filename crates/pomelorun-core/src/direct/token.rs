//! Affinity tokens.

use std::fmt;

use pomelorun_wire::stable_hash;
use serde::{Deserialize, Serialize};

use crate::direct::registry::UpstreamKey;

/// Identifies one instance of an upstream in 32 bits; zero only in [`Token::NONE`].
///
/// Every host derives the same token from the upstream's announcement, so hosts need not exchange
/// tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u32);

impl Token {
    /// Token of a packet into which no host has written a token yet.
    pub const NONE: Token = Token(0);

    /// Derives the token of an upstream instance.
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
