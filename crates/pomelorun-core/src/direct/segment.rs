//! The fields of a caller's packet that routing uses.

use pomelorun_wire::FlowKey;

use crate::direct::token::Token;

/// What a packet does to its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentKind {
    /// Opens the flow.
    Open,
    /// Carries data, an acknowledgement, or both.
    Data,
    /// Closes the caller's side of the flow.
    Finish,
    /// Aborts the flow.
    Abort,
}

/// A packet from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Flow that the packet belongs to.
    pub flow: FlowKey,
    /// What the packet does to its flow.
    pub kind: SegmentKind,
    /// Affinity token that the packet carries.
    pub token: Token,
    /// Sequence number of the packet's first data byte.
    pub seq: u32,
    /// Sequence number of the next byte that the caller expects. In an opening packet, the number
    /// of earlier transmissions of that packet.
    pub ack: u32,
    /// Number of data bytes.
    pub len: u16,
}

/// Returns `true` if sequence number `left` comes after `right`, with wraparound.
pub(crate) fn seq_after(left: u32, right: u32) -> bool {
    left != right && left.wrapping_sub(right) < 1 << 31
}
