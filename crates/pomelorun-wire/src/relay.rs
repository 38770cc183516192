//! The short header before a packet that one host hands to another.

use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    byteorder::network_endian::{U16, U32, U64},
};

use crate::{
    id::UpstreamId,
    packet::{Packet, PacketError},
};

/// Length of the relay header, bytes.
pub const RELAY_HEADER_LEN: usize = size_of::<RelayHeader>();

const MAGIC: u16 = 0x504c;

/// Which role the receiving host is asked to play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum RelayStage {
    /// The owner of the flow's bucket.
    BucketOwner = 1,
    /// The primary of the upstream that the flow is known to live at.
    Primary = 2,
    /// The primary of an upstream at which the flow may live; it returns the packet if not.
    Probe = 3,
    /// The bucket owner again, after a probe found nothing.
    ProbeMiss = 4,
    /// The bucket owner again, after a probe found that the flow lives at the upstream named.
    ProbeHit = 5,
    /// The bucket owner again, after the upstream named said that it does not know the flow.
    FlowNotFound = 6,
}

impl RelayStage {
    fn from_byte(byte: u8) -> Option<RelayStage> {
        const ALL: [RelayStage; 6] = [
            RelayStage::BucketOwner,
            RelayStage::Primary,
            RelayStage::Probe,
            RelayStage::ProbeMiss,
            RelayStage::ProbeHit,
            RelayStage::FlowNotFound,
        ];
        ALL.into_iter().find(|it| *it as u8 == byte)
    }
}

/// Fixed relay header.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct RelayHeader {
    magic: U16,
    stage: u8,
    hops_left: u8,
    upstream: U32,
    revision: U64,
    from: U64,
    rank: U16,
    reserved: [u8; 6],
}

impl RelayHeader {
    /// Starts a relay header.
    ///
    /// `from` is the sender's host identifier, `revision` the configuration it has in force.
    pub fn new(
        stage: RelayStage,
        hops_left: u8,
        from: crate::HostId,
        revision: u64,
    ) -> RelayHeader {
        RelayHeader {
            magic: MAGIC.into(),
            stage: stage as u8,
            hops_left,
            upstream: 0.into(),
            revision: revision.into(),
            from: from.0.into(),
            rank: 0.into(),
            reserved: [0; 6],
        }
    }

    /// Names the upstream that the sender believes the flow lives at.
    pub fn upstream(mut self, upstream: UpstreamId) -> RelayHeader {
        self.upstream = upstream.0.into();
        self
    }

    /// Says how many candidates were probed before this one.
    pub fn rank(mut self, rank: u16) -> RelayHeader {
        self.rank = rank.into();
        self
    }

    /// Returns the header's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        IntoBytes::as_bytes(self)
    }
}

/// Borrowed view of a relayed packet.
#[derive(Debug, Clone, Copy)]
pub struct Relay<'a> {
    header: &'a RelayHeader,
    stage: RelayStage,
    /// The packet that is handed on.
    pub packet: Packet<'a>,
}

impl<'a> Relay<'a> {
    /// Tells whether a datagram starts as a relayed packet does.
    pub fn is_relay(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC.to_be_bytes())
    }

    /// Reads a datagram as a relayed packet without copying it.
    ///
    /// # Errors
    /// A datagram that is too short, of an unknown stage, or without a well-formed packet.
    pub fn parse(bytes: &'a [u8]) -> Result<Relay<'a>, PacketError> {
        let (header, rest) =
            RelayHeader::ref_from_prefix(bytes).map_err(|_| PacketError::TooShort)?;
        if header.magic.get() != MAGIC {
            return Err(PacketError::WrongMagic);
        }
        let stage =
            RelayStage::from_byte(header.stage).ok_or(PacketError::UnknownKind(header.stage))?;
        Ok(Relay { header, stage, packet: Packet::parse(rest)? })
    }

    /// Which role the receiver is asked to play.
    pub fn stage(&self) -> RelayStage {
        self.stage
    }

    /// How often the packet may still be handed on.
    pub fn hops_left(&self) -> u8 {
        self.header.hops_left
    }

    /// The upstream that the sender believes the flow lives at.
    pub fn upstream(&self) -> UpstreamId {
        UpstreamId(self.header.upstream.get())
    }

    /// Revision that the sender has in force.
    pub fn revision(&self) -> u64 {
        self.header.revision.get()
    }

    /// The host that handed the packet on.
    pub fn from(&self) -> crate::HostId {
        crate::HostId(self.header.from.get())
    }

    /// How many candidates were probed before this one.
    pub fn rank(&self) -> u16 {
        self.header.rank.get()
    }
}
