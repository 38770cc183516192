//! A caller's packet as far as routing reads it.

use pomelorun_wire::FlowKey;

use crate::direct::token::Token;

/// What a packet does to its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentKind {
    /// Opens the flow.
    Open,
    /// Carries data, an acknowledgement, or both.
    Data,
    /// Ends the caller's side.
    Finish,
    /// Gives the flow up.
    Abort,
}

/// A caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow it belongs to.
    pub flow: FlowKey,
    /// What it does.
    pub kind: SegmentKind,
    /// The token that it returns.
    pub token: Token,
    /// Number of its first byte.
    pub seq: u32,
    /// Next byte that the caller expects; for an opening packet, how many copies went before.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
}

/// Tells whether the byte number `left` comes after `right`, across a wrap.
pub(crate) fn seq_after(left: u32, right: u32) -> bool {
    left != right && left.wrapping_sub(right) < 1 << 31
}
