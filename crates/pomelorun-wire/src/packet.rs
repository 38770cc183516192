//! Datagrams between callers and upstreams.
//!
//! A datagram is a fixed header of [`HEADER_LEN`] bytes in network byte order, followed by the
//! body. The network fabric encapsulates each caller packet: it writes the addresses of the caller
//! and the service into the header.

use thiserror::Error;
use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    byteorder::network_endian::{U16, U32},
};

use crate::{
    code::Code,
    id::{FlowKey, ServiceAddr},
};

/// Length of the packet header in bytes.
pub const HEADER_LEN: usize = size_of::<Header>();

/// Maximum length, in bytes, of a datagram that a process sends or accepts.
pub const MAX_DATAGRAM_BYTES: usize = 2048;

const MAGIC: u16 = 0x5052;
const VERSION: u8 = 1;

/// Flag of a request that must run at most once.
const FLAG_NON_IDEMPOTENT: u8 = 1;

/// The kind of a packet, which also determines its direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum PacketKind {
    /// Caller to upstream: opens the flow.
    Open = 1,
    /// Caller to upstream: sends a request within the flow.
    Request = 2,
    /// Caller to upstream: cancels a request.
    Cancel = 3,
    /// Caller to upstream: closes the flow.
    Close = 4,
    /// Upstream to caller: confirms that the flow is open.
    Opened = 16,
    /// Upstream to caller: carries one part of an answer.
    Answer = 17,
    /// Upstream to caller: the request was shed and has not run.
    Shed = 18,
    /// Upstream to caller: the upstream does not know the flow.
    Reset = 19,
    /// Host to caller: the request has certainly not run.
    NotRun = 32,
    /// Host to caller: the request may have run.
    OutcomeUnknown = 33,
    /// Host to caller: the hosts no longer forward this flow.
    ///
    /// The result code gives the reason. The caller must open a new flow.
    FlowAbandoned = 34,
}

impl PacketKind {
    fn from_byte(byte: u8) -> Option<PacketKind> {
        const ALL: [PacketKind; 11] = [
            PacketKind::Open,
            PacketKind::Request,
            PacketKind::Cancel,
            PacketKind::Close,
            PacketKind::Opened,
            PacketKind::Answer,
            PacketKind::Shed,
            PacketKind::Reset,
            PacketKind::NotRun,
            PacketKind::OutcomeUnknown,
            PacketKind::FlowAbandoned,
        ];
        ALL.into_iter().find(|it| *it as u8 == byte)
    }

    /// Returns `true` if callers send packets of this kind.
    pub fn is_from_caller(self) -> bool {
        matches!(
            self,
            PacketKind::Open | PacketKind::Request | PacketKind::Cancel | PacketKind::Close
        )
    }
}

/// The fixed header of a packet.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct Header {
    magic: U16,
    version: u8,
    kind: u8,
    caller_ip: U32,
    caller_port: U16,
    service_port: U16,
    service_ip: U32,
    req: U32,
    deadline_ms: U16,
    part: U16,
    parts: U16,
    code: U16,
    retry_after_ms: U16,
    flags: u8,
    reserved: u8,
}

impl Header {
    /// Creates a header of the given kind for a flow, with all other fields zero.
    pub fn new(kind: PacketKind, flow: &FlowKey) -> Header {
        Header {
            magic: MAGIC.into(),
            version: VERSION,
            kind: kind as u8,
            caller_ip: flow.caller_ip.into(),
            caller_port: flow.caller_port.into(),
            service_port: flow.service.port.into(),
            service_ip: flow.service.ip.into(),
            req: 0.into(),
            deadline_ms: 0.into(),
            part: 0.into(),
            parts: 0.into(),
            code: 0.into(),
            retry_after_ms: 0.into(),
            flags: 0,
            reserved: 0,
        }
    }

    /// Sets the kind, keeping the flow and the request.
    pub fn kind(mut self, kind: PacketKind) -> Header {
        self.kind = kind as u8;
        self
    }

    /// Sets the request number within the flow.
    pub fn req(mut self, req: u32) -> Header {
        self.req = req.into();
        self
    }

    /// Sets the time left until the request's deadline, in milliseconds.
    pub fn deadline_ms(mut self, left: u16) -> Header {
        self.deadline_ms = left.into();
        self
    }

    /// Sets the zero-based index of this part and the number of parts.
    pub fn part(mut self, part: u16, parts: u16) -> Header {
        self.part = part.into();
        self.parts = parts.into();
        self
    }

    /// Sets the result code.
    pub fn code(mut self, code: u16) -> Header {
        self.code = code.into();
        self
    }

    /// Sets the delay after which the caller may retry, in milliseconds.
    pub fn retry_after_ms(mut self, after: u16) -> Header {
        self.retry_after_ms = after.into();
        self
    }

    /// Marks the request as non-idempotent: it must run at most once.
    pub fn non_idempotent(mut self) -> Header {
        self.flags |= FLAG_NON_IDEMPOTENT;
        self
    }

    /// Returns the flow of the packet.
    pub fn flow(&self) -> FlowKey {
        FlowKey {
            caller_ip: self.caller_ip.get(),
            caller_port: self.caller_port.get(),
            service: ServiceAddr { ip: self.service_ip.get(), port: self.service_port.get() },
        }
    }

    /// Returns `true` if the packet reports that a request has not run.
    ///
    /// A `NotRun` packet with request number zero refuses an `Open` and is not about a request.
    pub fn reports_request_not_run(&self) -> bool {
        self.kind == PacketKind::NotRun as u8 && self.req.get() != 0
    }

    /// Returns `true` if the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.flags & FLAG_NON_IDEMPOTENT == 0
    }

    /// Returns the time left until the request's deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u16 {
        self.deadline_ms.get()
    }

    /// Returns the result code.
    pub fn result_code(&self) -> Code {
        Code(self.code.get())
    }

    /// Returns the bytes of the header.
    pub fn as_bytes(&self) -> &[u8] {
        IntoBytes::as_bytes(self)
    }
}

/// The error returned when a datagram is not a valid packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PacketError {
    /// The datagram is shorter than the header.
    #[error("datagram is shorter than the {HEADER_LEN}-byte header")]
    TooShort,
    /// The magic number or the version is not the expected one.
    #[error("unexpected magic number or version")]
    WrongMagic,
    /// The byte for the packet kind or the relay stage has an unknown value; carries the byte.
    #[error("unknown packet kind or relay stage {0}")]
    UnknownKind(u8),
}

/// A borrowed view of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet<'a> {
    header: &'a Header,
    kind: PacketKind,
    bytes: &'a [u8],
}

impl<'a> Packet<'a> {
    /// Parses a datagram as a packet without copying it.
    ///
    /// # Errors
    /// Returns an error if the datagram is too short, has another magic number or version, or is of
    /// an unknown kind.
    pub fn parse(bytes: &'a [u8]) -> Result<Packet<'a>, PacketError> {
        let (header, _) = Header::ref_from_prefix(bytes).map_err(|_| PacketError::TooShort)?;
        if header.magic.get() != MAGIC || header.version != VERSION {
            return Err(PacketError::WrongMagic);
        }
        let kind =
            PacketKind::from_byte(header.kind).ok_or(PacketError::UnknownKind(header.kind))?;
        Ok(Packet { header, kind, bytes })
    }

    /// Returns the kind of the packet.
    pub fn kind(&self) -> PacketKind {
        self.kind
    }

    /// Returns the flow of the packet.
    pub fn flow(&self) -> FlowKey {
        self.header.flow()
    }

    /// Returns the request number within the flow.
    pub fn req(&self) -> u32 {
        self.header.req.get()
    }

    /// Returns the time left until the request's deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u16 {
        self.header.deadline_ms.get()
    }

    /// Returns the zero-based index of this part of the answer.
    pub fn part(&self) -> u16 {
        self.header.part.get()
    }

    /// Returns the number of parts of the answer.
    pub fn parts(&self) -> u16 {
        self.header.parts.get()
    }

    /// Returns the number of the result code, or zero if there is none.
    pub fn code(&self) -> u16 {
        self.header.code.get()
    }

    /// Returns the delay after which the caller may retry, in milliseconds.
    pub fn retry_after_ms(&self) -> u16 {
        self.header.retry_after_ms.get()
    }

    /// Returns `true` if the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.header.is_idempotent()
    }

    /// Returns the body after the header.
    pub fn body(&self) -> &'a [u8] {
        &self.bytes[HEADER_LEN..]
    }

    /// Returns the header and the body as they were received.
    pub fn bytes(&self) -> &'a [u8] {
        self.bytes
    }

    /// Returns a copy of the header, from which an answer can be built.
    pub fn header(&self) -> Header {
        *self.header
    }
}
