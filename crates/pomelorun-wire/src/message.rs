//! Control messages between hosts.

use serde::{Deserialize, Serialize};

use crate::id::{FlowKey, HostId, ServiceAddr, UpstreamId, ZoneId};

/// What a host says of itself or has heard of another.
///
/// States are ordered: at the same incarnation a later one supersedes an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Live,
    /// Did not answer lately; not yet believed dead.
    Suspect,
    /// Is shutting down and takes no new work.
    Leaving,
    /// Believed dead.
    Dead,
}

/// One host in a membership message; an array of four numbers on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "MemberRow", try_from = "MemberRow")]
pub struct MemberInfo {
    /// Which host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Start time of its process, milliseconds since the epoch; a newer one supersedes.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

/// Host, availability zone, incarnation and state.
type MemberRow = (HostId, ZoneId, u64, u8);

impl From<MemberInfo> for MemberRow {
    fn from(it: MemberInfo) -> MemberRow {
        (it.host, it.zone, it.incarnation, it.state as u8)
    }
}

impl TryFrom<MemberRow> for MemberInfo {
    type Error = String;

    fn try_from((host, zone, incarnation, state): MemberRow) -> Result<MemberInfo, String> {
        let state = match state {
            0 => MemberState::Live,
            1 => MemberState::Suspect,
            2 => MemberState::Leaving,
            3 => MemberState::Dead,
            other => return Err(format!("{other} is no member state")),
        };
        Ok(MemberInfo { host, zone, incarnation, state })
    }
}

/// Names a request: its flow and its number within the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RecordKey {
    /// The flow.
    pub flow: FlowKey,
    /// Number of the request within the flow.
    pub req: u32,
}

/// How far a recorded non-idempotent request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// Recorded, and forwarded or about to be.
    Started,
    /// The upstream has answered.
    Answered,
    /// The upstream said that it has not run.
    NotRun,
}

/// A recorded request.
///
/// Travels as an array without field names, since each non-idempotent request costs one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedEntry", into = "PackedEntry")]
pub struct RecordEntry {
    /// Which request.
    pub key: RecordKey,
    /// How far it has come.
    pub state: RecordState,
    /// It may run more than once; only its refusal is of interest.
    pub idempotent: bool,
    /// Time after which the record may be forgotten, milliseconds from now.
    pub ttl_ms: u32,
}

/// Caller's address and port, service's address and port, request, state, time to keep.
type PackedEntry = (u32, u16, u32, u16, u32, u8, u32);

const STATE_STARTED: u8 = 0;
const STATE_ANSWERED: u8 = 1;
const STATE_NOT_RUN: u8 = 2;
const STATE_IDEMPOTENT: u8 = 4;

impl From<PackedEntry> for RecordEntry {
    fn from((caller_ip, caller_port, ip, port, req, state, ttl_ms): PackedEntry) -> RecordEntry {
        let flow = FlowKey { caller_ip, caller_port, service: ServiceAddr { ip, port } };
        RecordEntry {
            key: RecordKey { flow, req },
            state: match state & !STATE_IDEMPOTENT {
                STATE_ANSWERED => RecordState::Answered,
                STATE_NOT_RUN => RecordState::NotRun,
                // Anything unknown counts as started, which never runs again.
                _ => RecordState::Started,
            },
            idempotent: state & STATE_IDEMPOTENT != 0,
            ttl_ms,
        }
    }
}

impl From<RecordEntry> for PackedEntry {
    fn from(it: RecordEntry) -> PackedEntry {
        let state = match it.state {
            RecordState::Started => STATE_STARTED,
            RecordState::Answered => STATE_ANSWERED,
            RecordState::NotRun => STATE_NOT_RUN,
        };
        let state = state | if it.idempotent { STATE_IDEMPOTENT } else { 0 };
        let flow = it.key.flow;
        let service = flow.service;
        let (caller, req) = ((flow.caller_ip, flow.caller_port), it.key.req);
        (caller.0, caller.1, service.ip, service.port, req, state, it.ttl_ms)
    }
}

/// A record on its way to the backup; travels as an array without field names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedRecord", into = "PackedRecord")]
pub struct RecordMsg {
    /// The upstream that the request is for.
    pub upstream: UpstreamId,
    /// The replication that the record belongs to.
    pub session: u32,
    /// Echoed by the answer.
    pub seq: u32,
    /// The record.
    pub entry: RecordEntry,
}

type PackedRecord = (UpstreamId, u32, u32, RecordEntry);

impl From<PackedRecord> for RecordMsg {
    fn from((upstream, session, seq, entry): PackedRecord) -> RecordMsg {
        RecordMsg { upstream, session, seq, entry }
    }
}

impl From<RecordMsg> for PackedRecord {
    fn from(it: RecordMsg) -> PackedRecord {
        (it.upstream, it.session, it.seq, it.entry)
    }
}

/// What became of a record or of a part of the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ack {
    /// It is held.
    #[serde(rename = "kept")]
    Stored,
    /// The sender holds no whole replica of this replication.
    NoReplica,
    /// The sender regards itself or a third host as the primary.
    #[serde(rename = "acting")]
    NotPrimary,
}

/// Answer to a record; travels as an array without field names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedAck", into = "PackedAck")]
pub struct RecordAck {
    /// From the record.
    pub upstream: UpstreamId,
    /// From the record.
    pub session: u32,
    /// From the record.
    pub seq: u32,
    /// What became of it.
    pub ack: Ack,
}

type PackedAck = (UpstreamId, u32, u32, Ack);

impl From<PackedAck> for RecordAck {
    fn from((upstream, session, seq, ack): PackedAck) -> RecordAck {
        RecordAck { upstream, session, seq, ack }
    }
}

impl From<RecordAck> for PackedAck {
    fn from(it: RecordAck) -> PackedAck {
        (it.upstream, it.session, it.seq, it.ack)
    }
}

/// Where a flow lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FlowLocation {
    /// Which flow.
    pub flow: FlowKey,
    /// Its upstream.
    pub upstream: UpstreamId,
}

/// A part of what a host knows of an upstream; one datagram cannot carry it all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StatePart {
    /// Limit in force, requests at a time.
    pub limit: u16,
    /// Time left until the last request in progress is over, milliseconds; empty when none is.
    pub in_flight_ms: Vec<u32>,
    /// Position of the first record of this part among all.
    pub first: u32,
    /// Number of records in all parts.
    pub total: u32,
    /// Requests that were recorded.
    pub records: Vec<RecordEntry>,
}

impl StatePart {
    /// Position after the last record of this part; parts are complete when it is the total.
    pub fn end(&self) -> u32 {
        self.first.saturating_add(u32::try_from(self.records.len()).unwrap_or(u32::MAX))
    }
}

/// Answer to the question who is the primary of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeoverReply {
    /// The sender was the primary and is no longer; this is what it knew.
    #[serde(rename = "yours")]
    Granted(StatePart),
    /// The sender was not the primary; this is what it knows all the same.
    #[serde(rename = "nothing")]
    WasNotPrimary(StatePart),
    /// The sender ranks higher and is the primary.
    #[serde(rename = "mine")]
    Refused,
}

/// A control message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMsg {
    /// Asks whether the receiver is alive; carries the newest changes of membership.
    Ping {
        /// Echoed by the answer.
        seq: u64,
        /// Revision in force at the sender.
        revision: u64,
        /// Changes of membership, the sender's own state first.
        members: Vec<MemberInfo>,
    },
    /// Answers a ping.
    Pong {
        /// From the ping.
        seq: u64,
        /// Revision in force at the sender.
        revision: u64,
        /// Changes of membership, the sender's own state first.
        members: Vec<MemberInfo>,
    },
    /// Asks the receiver to ping a third host.
    PingReq {
        /// Echoed by the answer.
        seq: u64,
        /// Whom to ping.
        target: HostId,
    },
    /// Carries new changes of membership; not answered.
    Gossip {
        /// Changes of membership, the sender's own state first.
        members: Vec<MemberInfo>,
    },
    /// Asks for all that the receiver knows of hosts that are not live.
    #[serde(rename = "refresh")]
    ViewRequest,
    /// Answers `ViewRequest`, in one or several messages.
    View {
        /// The sender's own view was checked.
        #[serde(rename = "settled")]
        synced: bool,
        /// Revision in force at the sender.
        revision: u64,
        /// Hosts that are not live, after the sender's own state.
        members: Vec<MemberInfo>,
    },
    /// Primary to the next host in rank: keep this record before I forward the request.
    Record(RecordMsg),
    /// Answers `Record`.
    RecordAck(RecordAck),
    /// New primary to those that may have been it: hand the upstream over.
    #[serde(rename = "take_over")]
    Takeover {
        /// Which upstream.
        upstream: UpstreamId,
        /// Number of the question, echoed by the answer.
        #[serde(rename = "ask")]
        query_id: u32,
        /// Records that the asker has got in answer to this question.
        #[serde(rename = "have")]
        received: u32,
    },
    /// Answers `Takeover`.
    #[serde(rename = "hand_over")]
    Handover {
        /// Which upstream.
        upstream: UpstreamId,
        /// From the question.
        #[serde(rename = "ask")]
        query_id: u32,
        /// What became of the question.
        #[serde(rename = "verdict")]
        reply: TakeoverReply,
    },
    /// Primary to the next host in rank: what it must know to take the upstream over.
    Replica {
        /// Which upstream.
        upstream: UpstreamId,
        /// Number of this replication; records carry it.
        session: u32,
        /// One part of the state; the next follows once this is acknowledged.
        part: StatePart,
    },
    /// Answers `Replica`.
    ReplicaAck {
        /// Which upstream.
        upstream: UpstreamId,
        /// From the replica.
        session: u32,
        /// Records held so far.
        #[serde(rename = "held")]
        stored: u32,
        /// What became of the part.
        ack: Ack,
    },
    /// Primary to a host that is no longer the next in rank: its replica is no longer whole.
    #[serde(rename = "release")]
    DropReplica {
        /// Which upstream.
        upstream: UpstreamId,
    },
    /// Tells the receiver, which has an older revision in force, which zones are out.
    #[serde(rename = "zones_out")]
    WithdrawnZones {
        /// Revision that takes them out.
        revision: u64,
        /// All zones that are out by it.
        zones: Vec<ZoneId>,
    },
    /// Tells the receiver where flows live for which it may become the bucket owner.
    #[serde(rename = "flows")]
    FlowLocations {
        /// The flows.
        entries: Vec<FlowLocation>,
    },
}

impl PeerMsg {
    /// Revision in force at the sender, where the message names it.
    pub fn revision(&self) -> Option<u64> {
        match self {
            PeerMsg::Ping { revision, .. }
            | PeerMsg::Pong { revision, .. }
            | PeerMsg::View { revision, .. } => Some(*revision),
            _ => None,
        }
    }
}

/// A question on the stream between two hosts that carries configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigQuery {
    /// The manifest in force.
    Manifest,
    /// A chunk that it names.
    Chunk {
        /// SHA-256 of the chunk, hexadecimal.
        sha256: String,
    },
}

/// Answer to a [`ConfigQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigReply {
    /// The text asked for.
    Text(String),
    /// It is not in force here.
    Missing,
}

/// A control message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Envelope {
    /// The sending host.
    pub from: HostId,
    /// Start time of the sending process, milliseconds since the epoch.
    pub incarnation: u64,
    /// The message.
    pub msg: PeerMsg,
}
