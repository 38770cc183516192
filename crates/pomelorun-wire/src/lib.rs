//! Packets and messages that travel between callers, hosts and upstreams.
//!
//! [`Packet`] is the datagram of callers and upstreams with its fixed header, [`Relay`] the short
//! header that a host puts before a packet it hands to another host, and [`PeerMsg`] the control
//! messages between hosts. `docs/FORMATS.md` describes each byte.

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
