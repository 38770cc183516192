//! Input events and output actions of the core.

use std::{net::SocketAddrV4, sync::Arc};

use pomelorun_wire::{Code, Envelope, Header, HostId, Packet, PeerMsg, Relay, RelayHeader, ZoneId};
use smallvec::SmallVec;

use crate::snapshot::Snapshot;

/// Entry of the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedHost {
    /// Identifier.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// `true` if the list says that the host is leaving.
    pub leaving: bool,
}

/// Input of the core.
#[derive(Debug)]
pub enum Event<'a> {
    /// The network fabric delivered a caller's packet to this host.
    Fabric(Packet<'a>),
    /// Another host relayed a packet to this one.
    Relayed(Relay<'a>),
    /// An upstream sent a packet.
    Upstream {
        /// Source address of the datagram.
        from: SocketAddrV4,
        /// The packet.
        packet: Packet<'a>,
    },
    /// Another host sent a control message.
    Peer(&'a Envelope),
    /// Timer event, due about every 20 ms.
    Tick,
    /// A complete and validated revision of the configuration is available.
    Snapshot(Arc<Snapshot>),
    /// The platform's host list was read.
    HostList(&'a [ListedHost]),
    /// The process was asked to shut down, so the host leaves.
    Leave,
}

/// Output of the core that the driver carries out.
///
/// Actions without bytes of their own apply to the packet of the event. The `Held` actions carry
/// their own packet: one held back from an earlier event, a stored answer, or one that the core
/// created.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Relay the event's packet to another host.
    Relay {
        /// Receiving host.
        to: HostId,
        /// Relay header to prepend to the packet.
        header: RelayHeader,
    },
    /// Relay a held packet to another host.
    HeldRelay {
        /// Receiving host.
        to: HostId,
        /// Relay header to prepend to the packet.
        header: RelayHeader,
        /// The packet.
        bytes: Box<[u8]>,
    },
    /// Send the event's packet to an upstream.
    ToUpstream(SocketAddrV4),
    /// Send the event's packet to the caller.
    ToCaller,
    /// Send a held packet to an upstream.
    HeldToUpstream(SocketAddrV4, Box<[u8]>),
    /// Send a held packet to its caller.
    HeldToCaller(Box<[u8]>),
    /// Reply to a caller with a packet that is a header only.
    Reply(Header),
    /// Send a control message to another host.
    Peer {
        /// Receiving host.
        to: HostId,
        /// The message.
        msg: PeerMsg,
    },
    /// Count one occurrence of a result code.
    Count(Code),
}

/// The actions that result from one event, in order.
pub type Actions = SmallVec<[Action; 4]>;
