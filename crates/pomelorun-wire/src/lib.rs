//! Packets and messages between callers, hosts and upstreams.
//!
//! [`Packet`] is a datagram between callers and upstreams: a fixed header and a body. [`Relay`] is
//! a packet that one host forwards to another, with a [`RelayHeader`] before it. [`PeerMsg`] is a
//! control message between hosts. `docs/FORMATS.md` specifies the formats byte by byte.

mod code;
mod codec;
mod id;
mod message;
mod packet;
mod relay;

pub use crate::{
    code::{Code, CodeRow},
    codec::{CodecError, decode, encode},
    id::{FlowKey, HostId, ServiceAddr, UpstreamId, ZoneId, stable_hash},
    message::{
        Ack, ConfigQuery, ConfigReply, Envelope, FlowLocation, MemberInfo, MemberState, PeerMsg,
        RecordAck, RecordEntry, RecordKey, RecordMsg, RecordState, StatePart, TakeoverReply,
    },
    packet::{HEADER_LEN, Header, MAX_DATAGRAM_BYTES, Packet, PacketError, PacketKind},
    relay::{RELAY_HEADER_LEN, Relay, RelayHeader, RelayStage},
};
