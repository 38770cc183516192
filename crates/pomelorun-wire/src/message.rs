//! Control messages between hosts.

use serde::{Deserialize, Serialize};

use crate::id::{FlowKey, HostId, ServiceAddr, UpstreamId, ZoneId};

/// The membership state of a host.
///
/// The states are ordered: within one incarnation, a later state overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The host answers probes.
    Live,
    /// The host failed to answer a probe and is not yet considered dead.
    Suspect,
    /// The host is shutting down and accepts no new work.
    Leaving,
    /// The host is considered dead.
    Dead,
}

/// The state of one host in a membership message.
///
/// It is encoded as an array of four numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "MemberRow", try_from = "MemberRow")]
pub struct MemberInfo {
    /// The host.
    pub host: HostId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// Start time of the host's process, in milliseconds since the epoch.
    ///
    /// A newer incarnation overrides an older one.
    pub incarnation: u64,
    /// The state of the host.
    pub state: MemberState,
}

/// The encoded form of [`MemberInfo`]: host, availability zone, incarnation and state.
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
            other => return Err(format!("unknown member state {other}")),
        };
        Ok(MemberInfo { host, zone, incarnation, state })
    }
}

/// Identifies a request by its flow and its number within the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RecordKey {
    /// The flow.
    pub flow: FlowKey,
    /// The request number within the flow.
    pub req: u32,
}

/// The progress of a recorded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// The request was forwarded or is about to be.
    Started,
    /// The upstream has answered.
    Answered,
    /// The request has not run: the upstream shed it or a primary refused it.
    NotRun,
}

/// A recorded request.
///
/// It is encoded as an array without field names, because every non-idempotent request sends one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedEntry", into = "PackedEntry")]
pub struct RecordEntry {
    /// The request.
    pub key: RecordKey,
    /// The progress of the request.
    pub state: RecordState,
    /// `true` if the request may run more than once.
    ///
    /// Records of idempotent requests are replicated only if the state is `NotRun`.
    pub idempotent: bool,
    /// Time until the record may be deleted, in milliseconds.
    pub ttl_ms: u32,
}

/// The encoded form of [`RecordEntry`].
///
/// The fields are the address and port of the caller, the address and port of the service, the
/// request number, the state bits and the time to live.
type PackedEntry = (u32, u16, u32, u16, u32, u8, u32);

const STATE_STARTED: u8 = 0;
const STATE_ANSWERED: u8 = 1;
const STATE_NOT_RUN: u8 = 2;
/// Flag bit in the state byte; the other bits are one of the `STATE_` values.
const FLAG_IDEMPOTENT: u8 = 4;

impl From<PackedEntry> for RecordEntry {
    fn from((caller_ip, caller_port, ip, port, req, state, ttl_ms): PackedEntry) -> RecordEntry {
        let flow = FlowKey { caller_ip, caller_port, service: ServiceAddr { ip, port } };
        RecordEntry {
            key: RecordKey { flow, req },
            state: match state & !FLAG_IDEMPOTENT {
                STATE_ANSWERED => RecordState::Answered,
                STATE_NOT_RUN => RecordState::NotRun,
                // An unknown state is read as started, because a started request is never repeated.
                _ => RecordState::Started,
            },
            idempotent: state & FLAG_IDEMPOTENT != 0,
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
        let state = state | if it.idempotent { FLAG_IDEMPOTENT } else { 0 };
        let flow = it.key.flow;
        let service = flow.service;
        let (caller, req) = ((flow.caller_ip, flow.caller_port), it.key.req);
        (caller.0, caller.1, service.ip, service.port, req, state, it.ttl_ms)
    }
}

/// A record that a primary sends to its backup; it is encoded as an array without field names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedRecord", into = "PackedRecord")]
pub struct RecordMsg {
    /// The upstream of the request.
    pub upstream: UpstreamId,
    /// The replication session that the record belongs to.
    pub session: u32,
    /// Sequence number, echoed by the acknowledgment.
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

/// How a backup responded to a record or a part of the state that the primary sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ack {
    /// The backup has stored the record or the part.
    #[serde(rename = "kept")]
    Stored,
    /// The acknowledging host has no complete replica of this replication session.
    NoReplica,
    /// Rejects the record or part, because its sender is not the primary.
    ///
    /// The acknowledging host considers itself or a third host to be the primary.
    #[serde(rename = "acting")]
    SenderNotPrimary,
}

/// The acknowledgment of a record; it is encoded as an array without field names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedAck", into = "PackedAck")]
pub struct RecordAck {
    /// The upstream, from the record.
    pub upstream: UpstreamId,
    /// The replication session, from the record.
    pub session: u32,
    /// The sequence number, from the record.
    pub seq: u32,
    /// What the backup did with the record.
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

/// The upstream that a flow is assigned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FlowLocation {
    /// The flow.
    pub flow: FlowKey,
    /// The upstream of the flow.
    pub upstream: UpstreamId,
}

/// A part of the state that a host holds for an upstream.
///
/// The state is split because it may not fit into one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StatePart {
    /// The current concurrency limit, in requests.
    pub limit: u16,
    /// Time until the deadline of each request in progress, in milliseconds.
    pub in_flight_ms: Vec<u32>,
    /// Index of the first record of this part among all records.
    pub first: u32,
    /// Number of records in all parts together.
    pub total: u32,
    /// The records of this part.
    pub records: Vec<RecordEntry>,
}

impl StatePart {
    /// Returns the index after the last record of this part.
    ///
    /// The state is complete when this equals `total`.
    pub fn end(&self) -> u32 {
        self.first.saturating_add(u32::try_from(self.records.len()).unwrap_or(u32::MAX))
    }
}

/// The reply to a [`PeerMsg::Takeover`] query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeoverReply {
    /// The sender was the primary and has stepped down; carries a part of its state.
    #[serde(rename = "yours")]
    Granted(StatePart),
    /// The sender was not the primary; carries a part of the state that the sender has.
    #[serde(rename = "nothing")]
    WasNotPrimary(StatePart),
    /// The sender remains the primary.
    ///
    /// It ranks higher than the querying host in the rendezvous hashing of the upstream.
    #[serde(rename = "mine")]
    Refused,
}

/// A control message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMsg {
    /// Probes whether the receiver is alive, and carries recent membership changes.
    Ping {
        /// Sequence number, echoed by the pong.
        seq: u64,
        /// Revision that is active at the sender.
        revision: u64,
        /// Membership changes, starting with the state of the sender.
        members: Vec<MemberInfo>,
    },
    /// Answers a `Ping`.
    Pong {
        /// Sequence number from the ping.
        seq: u64,
        /// Revision that is active at the sender.
        revision: u64,
        /// Membership changes, starting with the state of the sender.
        members: Vec<MemberInfo>,
    },
    /// Requests that the receiver ping a third host.
    PingReq {
        /// Sequence number, echoed by the pong.
        seq: u64,
        /// The host to ping.
        target: HostId,
    },
    /// Carries new membership changes; the receiver sends no answer.
    Gossip {
        /// Membership changes, starting with the state of the sender.
        members: Vec<MemberInfo>,
    },
    /// Requests the receiver's view of the hosts that are not live.
    #[serde(rename = "refresh")]
    ViewRequest,
    /// Answers a `ViewRequest`, in one or more messages.
    View {
        /// `true` if the sender has synchronized its own view with its peers.
        #[serde(rename = "settled")]
        synced: bool,
        /// Revision that is active at the sender.
        revision: u64,
        /// The state of the sender, followed by the hosts that are not live.
        members: Vec<MemberInfo>,
    },
    /// Primary to backup: replicates a record before the primary forwards the request.
    Record(RecordMsg),
    /// Acknowledges a `Record`.
    RecordAck(RecordAck),
    /// New primary to each host that may have been the primary: requests the handover.
    #[serde(rename = "take_over")]
    Takeover {
        /// The upstream.
        upstream: UpstreamId,
        /// Number of the query, echoed by the reply.
        #[serde(rename = "ask")]
        query_id: u32,
        /// Number of records that the sender has received in reply to this query.
        #[serde(rename = "have")]
        received: u32,
    },
    /// Answers a `Takeover`.
    #[serde(rename = "hand_over")]
    Handover {
        /// The upstream.
        upstream: UpstreamId,
        /// Number of the query that this answers.
        #[serde(rename = "ask")]
        query_id: u32,
        /// The reply to the query.
        #[serde(rename = "verdict")]
        reply: TakeoverReply,
    },
    /// Primary to backup: replicates the state that a takeover of the upstream requires.
    Replica {
        /// The upstream.
        upstream: UpstreamId,
        /// Number of the replication session; each `Record` of the session contains the number.
        session: u32,
        /// One part of the state; the next one is sent after its acknowledgment.
        part: StatePart,
    },
    /// Acknowledges a `Replica`, or a `DropReplica`, for which `session` is zero.
    ReplicaAck {
        /// The upstream.
        upstream: UpstreamId,
        /// The replication session, from the replica, or zero for a `DropReplica`.
        session: u32,
        /// Number of records that the backup has stored so far.
        #[serde(rename = "held")]
        stored: u32,
        /// What the backup did with the part.
        ack: Ack,
    },
    /// Primary to its former backup: requests that the backup discard its replica.
    ///
    /// The replica is no longer updated.
    #[serde(rename = "release")]
    DropReplica {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Reports the withdrawn zones to a receiver whose active revision is older.
    #[serde(rename = "zones_out")]
    WithdrawnZones {
        /// Revision that withdraws the zones.
        revision: u64,
        /// All zones that the revision withdraws.
        zones: Vec<ZoneId>,
    },
    /// Reports the upstreams of flows to a host that may become the owner of their bucket.
    #[serde(rename = "flows")]
    FlowLocations {
        /// The flows and their upstreams.
        entries: Vec<FlowLocation>,
    },
}

impl PeerMsg {
    /// Returns the revision that is active at the sender, if the message contains it.
    pub fn revision(&self) -> Option<u64> {
        match self {
            PeerMsg::Ping { revision, .. }
            | PeerMsg::Pong { revision, .. }
            | PeerMsg::View { revision, .. } => Some(*revision),
            _ => None,
        }
    }
}

/// A query on the stream over which hosts exchange configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigQuery {
    /// Requests the active manifest.
    Manifest,
    /// Requests a chunk of the manifest.
    Chunk {
        /// SHA-256 of the chunk, in hexadecimal.
        sha256: String,
    },
}

/// The reply to a [`ConfigQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigReply {
    /// The requested text.
    Text(String),
    /// The requested text is not part of the active configuration.
    Missing,
}

/// A control message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Envelope {
    /// The sending host.
    pub from: HostId,
    /// Start time of the sending process, in milliseconds since the epoch.
    pub incarnation: u64,
    /// The message.
    pub msg: PeerMsg,
}
