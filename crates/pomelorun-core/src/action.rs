//! What goes into the core and what comes out.

use std::{net::SocketAddrV4, sync::Arc};

use pomelorun_wire::{Code, Envelope, Header, HostId, Packet, PeerMsg, Relay, RelayHeader, ZoneId};
use smallvec::SmallVec;

use crate::snapshot::Snapshot;

/// One host in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedHost {
    /// Which host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Listed as leaving.
    pub leaving: bool,
}

/// Something that happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// The fabric handed over a packet of a caller.
    Fabric(Packet<'a>),
    /// Another host handed a packet on.
    Relayed(Relay<'a>),
    /// An upstream answered.
    Upstream {
        /// Address that the datagram came from.
        from: SocketAddrV4,
        /// The answer.
        packet: Packet<'a>,
    },
    /// Another host sent a control message.
    Peer(&'a Envelope),
    /// Time has passed; to be sent every 20 ms or so.
    Tick,
    /// A checked revision of the configuration is complete.
    Snapshot(Arc<Snapshot>),
    /// The platform's host list was read.
    HostList(&'a [ListedHost]),
    /// The process is asked to shut down.
    Leave,
}

/// Something that the driver must carry out.
///
/// Actions that name no bytes of their own refer to the packet of the event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Hand the event's packet to another host, behind this header.
    Relay {
        /// The receiver.
        to: HostId,
        /// The header to put in front.
        header: RelayHeader,
    },
    /// Hand a packet that waited here to another host, behind this header.
    HeldRelay {
        /// The receiver.
        to: HostId,
        /// The header to put in front.
        header: RelayHeader,
        /// The packet.
        bytes: Box<[u8]>,
    },
    /// Send the event's packet to an upstream.
    ToUpstream(SocketAddrV4),
    /// Send the event's packet to the caller.
    ToCaller,
    /// Send a packet that waited here to an upstream.
    HeldToUpstream(SocketAddrV4, Box<[u8]>),
    /// Send a packet that waited here to a caller.
    HeldToCaller(Box<[u8]>),
    /// Answer a caller with a header alone.
    Reply(Header),
    /// Send a control message.
    Peer {
        /// The receiver.
        to: HostId,
        /// The message.
        msg: PeerMsg,
    },
    /// Count an occurrence of a numbered code.
    Count(Code),
}

/// The actions of one event, in order.
pub type Actions = SmallVec<[Action; 4]>;
