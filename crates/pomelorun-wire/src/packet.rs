//! The datagram of callers and upstreams.
//!
//! A fixed header of [`HEADER_LEN`] bytes in network byte order, then the body. The fabric writes
//! the caller's and the service's addresses into it, as an encapsulating fabric does.

use thiserror::Error;
use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    byteorder::network_endian::{U16, U32},
};

use crate::{
    code::Code,
    id::{FlowKey, ServiceAddr},
};

/// Length of the packet header, bytes.
pub const HEADER_LEN: usize = size_of::<Header>();

/// Longest datagram that any process sends or accepts, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 2048;

const MAGIC: u16 = 0x5052;
const VERSION: u8 = 1;

/// Set on a request that must run at most once.
const FLAG_NON_IDEMPOTENT: u8 = 1;

/// What a packet asks or says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum PacketKind {
    /// Caller to upstream: opens the flow.
    Open = 1,
    /// Caller to upstream: a request within the flow.
    Request = 2,
    /// Caller to upstream: gives the request up.
    Cancel = 3,
    /// Caller to upstream: ends the flow.
    Close = 4,
    /// Upstream to caller: the flow is open.
    Opened = 16,
    /// Upstream to caller: one part of an answer.
    Answer = 17,
    /// Upstream to caller: the request was shed and has not run.
    Shed = 18,
    /// Upstream to caller: the flow is not known there.
    Reset = 19,
    /// Host to caller: the request certainly has not run.
    NotRun = 32,
    /// Host to caller: the request may have run.
    OutcomeUnknown = 33,
    /// Host to caller: the flow is given up.
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

    /// Tells whether callers send this kind.
    pub fn is_from_caller(self) -> bool {
        matches!(
            self,
            PacketKind::Open | PacketKind::Request | PacketKind::Cancel | PacketKind::Close
        )
    }
}

/// Fixed header of a packet.
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
    /// Starts a header of a kind for a flow; all other fields are zero.
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

    /// Turns the header into one of another kind for the same flow and request.
    pub fn kind(mut self, kind: PacketKind) -> Header {
        self.kind = kind as u8;
        self
    }

    /// Sets the number of the request within its flow.
    pub fn req(mut self, req: u32) -> Header {
        self.req = req.into();
        self
    }

    /// Sets the time that is left for the request, milliseconds.
    pub fn deadline_ms(mut self, left: u16) -> Header {
        self.deadline_ms = left.into();
        self
    }

    /// Sets which part of how many parts this is, counted from zero.
    pub fn part(mut self, part: u16, parts: u16) -> Header {
        self.part = part.into();
        self.parts = parts.into();
        self
    }

    /// Sets the numbered result code.
    pub fn code(mut self, code: u16) -> Header {
        self.code = code.into();
        self
    }

    /// Sets after how many milliseconds the caller may come back.
    pub fn retry_after_ms(mut self, after: u16) -> Header {
        self.retry_after_ms = after.into();
        self
    }

    /// Marks the request as one that must run at most once.
    pub fn non_idempotent(mut self) -> Header {
        self.flags |= FLAG_NON_IDEMPOTENT;
        self
    }

    /// The flow that the packet belongs to.
    pub fn flow(&self) -> FlowKey {
        FlowKey {
            caller_ip: self.caller_ip.get(),
            caller_port: self.caller_port.get(),
            service: ServiceAddr { ip: self.service_ip.get(), port: self.service_port.get() },
        }
    }

    /// Tells whether this says of a request that it has not run.
    pub fn is_not_run_request(&self) -> bool {
        self.kind == PacketKind::NotRun as u8 && self.req.get() != 0
    }

    /// Tells whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.flags & FLAG_NON_IDEMPOTENT == 0
    }

    /// Returns the time that was left for the request, milliseconds.
    pub fn remaining_ms(&self) -> u16 {
        self.deadline_ms.get()
    }

    /// Returns the numbered result code.
    pub fn result_code(&self) -> Code {
        Code(self.code.get())
    }

    /// Returns the header's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        IntoBytes::as_bytes(self)
    }
}

/// Why a datagram is not a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PacketError {
    /// It is shorter than the header.
    #[error("shorter than the header of {HEADER_LEN} bytes")]
    TooShort,
    /// The magic number or the version differs.
    #[error("magic number or version differs")]
    WrongMagic,
    /// The kind is not known.
    #[error("unknown kind {0}")]
    UnknownKind(u8),
}

/// Borrowed view of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet<'a> {
    header: &'a Header,
    kind: PacketKind,
    bytes: &'a [u8],
}

impl<'a> Packet<'a> {
    /// Reads a datagram as a packet without copying it.
    ///
    /// # Errors
    /// A datagram that is too short, of another magic number or version, or of an unknown kind.
    pub fn parse(bytes: &'a [u8]) -> Result<Packet<'a>, PacketError> {
        let (header, _) = Header::ref_from_prefix(bytes).map_err(|_| PacketError::TooShort)?;
        if header.magic.get() != MAGIC || header.version != VERSION {
            return Err(PacketError::WrongMagic);
        }
        let kind =
            PacketKind::from_byte(header.kind).ok_or(PacketError::UnknownKind(header.kind))?;
        Ok(Packet { header, kind, bytes })
    }

    /// What the packet asks or says.
    pub fn kind(&self) -> PacketKind {
        self.kind
    }

    /// The flow that the packet belongs to.
    pub fn flow(&self) -> FlowKey {
        self.header.flow()
    }

    /// Number of the request within its flow.
    pub fn req(&self) -> u32 {
        self.header.req.get()
    }

    /// Time left for the request, milliseconds.
    pub fn deadline_ms(&self) -> u16 {
        self.header.deadline_ms.get()
    }

    /// Which part of an answer this is, counted from zero.
    pub fn part(&self) -> u16 {
        self.header.part.get()
    }

    /// How many parts the answer has.
    pub fn parts(&self) -> u16 {
        self.header.parts.get()
    }

    /// Numbered result code, zero for none.
    pub fn code(&self) -> u16 {
        self.header.code.get()
    }

    /// After how many milliseconds the caller may come back.
    pub fn retry_after_ms(&self) -> u16 {
        self.header.retry_after_ms.get()
    }

    /// Tells whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.header.is_idempotent()
    }

    /// The body after the header.
    pub fn body(&self) -> &'a [u8] {
        &self.bytes[HEADER_LEN..]
    }

    /// Header and body as they were received.
    pub fn bytes(&self) -> &'a [u8] {
        self.bytes
    }

    /// Copies the header, to build an answer from it.
    pub fn header(&self) -> Header {
        *self.header
    }
}
