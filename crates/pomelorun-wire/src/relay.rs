//! The header that a host puts before a packet that it forwards to another host.

use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    byteorder::network_endian::{U16, U32, U64},
};

use crate::{
    id::UpstreamId,
    packet::{Packet, PacketError},
};

/// Length of the relay header in bytes.
pub const RELAY_HEADER_LEN: usize = size_of::<RelayHeader>();

const MAGIC: u16 = 0x504c;

/// The role in which the receiving host is to process a relayed packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum RelayStage {
    /// The owner of the flow's bucket.
    BucketOwner = 1,
    /// The primary of the upstream that the flow is assigned to.
    Primary = 2,
    /// A host that may know which upstream the flow is assigned to.
    ///
    /// The probed host returns the packet as `ProbeHit` or `ProbeMiss`.
    Probe = 3,
    /// The bucket owner again, after a probe did not find the flow.
    ProbeMiss = 4,
    /// The bucket owner again, after a probe found the flow at the upstream in the relay header.
    ProbeHit = 5,
    /// The bucket owner again, after the upstream in the relay header reported that it
    /// does not know the flow.
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

/// The fixed relay header.
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
    /// Creates a relay header with no upstream and a rank of zero.
    ///
    /// `from` is the sending host and `revision` the configuration revision that is active there.
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

    /// Sets the upstream that the sender considers the flow to be assigned to.
    pub fn upstream(mut self, upstream: UpstreamId) -> RelayHeader {
        self.upstream = upstream.0.into();
        self
    }

    /// Sets the number of hosts that were probed for the flow before the receiver.
    ///
    /// Hosts currently send zero.
    pub fn rank(mut self, rank: u16) -> RelayHeader {
        self.rank = rank.into();
        self
    }

    /// Returns the bytes of the header.
    pub fn as_bytes(&self) -> &[u8] {
        IntoBytes::as_bytes(self)
    }
}

/// A borrowed view of a relayed packet.
#[derive(Debug, Clone, Copy)]
pub struct Relay<'a> {
    header: &'a RelayHeader,
    stage: RelayStage,
    /// The packet that follows the relay header.
    pub packet: Packet<'a>,
}

impl<'a> Relay<'a> {
    /// Returns `true` if the datagram starts with the magic number of a relayed packet.
    pub fn is_relay(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC.to_be_bytes())
    }

    /// Parses a datagram as a relayed packet without copying it.
    ///
    /// # Errors
    /// Returns an error if the datagram is too short, has another magic number or an unknown stage,
    /// or contains no valid packet.
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

    /// Returns the role in which the receiver is to process the packet.
    pub fn stage(&self) -> RelayStage {
        self.stage
    }

    /// Returns the number of times that the packet may still be relayed.
    pub fn hops_left(&self) -> u8 {
        self.header.hops_left
    }

    /// Returns the upstream that the sender considers the flow to be assigned to.
    pub fn upstream(&self) -> UpstreamId {
        UpstreamId(self.header.upstream.get())
    }

    /// Returns the configuration revision that is active at the sender.
    pub fn revision(&self) -> u64 {
        self.header.revision.get()
    }

    /// Returns the host that relayed the packet.
    pub fn from(&self) -> crate::HostId {
        crate::HostId(self.header.from.get())
    }

    /// Returns the number of hosts that were probed for the flow before the receiver.
    ///
    /// Hosts currently send zero.
    pub fn rank(&self) -> u16 {
        self.header.rank.get()
    }
}
