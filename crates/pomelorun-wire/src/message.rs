//! Control messages between hosts.

use serde::{Deserialize, Serialize};

use crate::id::{FlowKey, HostId, UpstreamId, ZoneId};

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

/// A recorded non-idempotent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RecordEntry {
    /// Which request.
    pub key: RecordKey,
    /// How far it has come.
    pub state: RecordState,
    /// Time after which the record may be forgotten, milliseconds from now.
    pub keep_ms: u32,
}

/// Where a flow lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FlowEntry {
    /// Which flow.
    pub flow: FlowKey,
    /// Its upstream.
    pub upstream: UpstreamId,
}

/// What the steward of an upstream hands to its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StewardState {
    /// Which upstream.
    pub upstream: UpstreamId,
    /// Limit in force, requests at a time.
    pub limit: u16,
    /// Time left until the last request in progress is over, milliseconds; empty when none is.
    pub in_flight_ms: Vec<u32>,
    /// Non-idempotent requests that were recorded.
    pub records: Vec<RecordEntry>,
}

/// Answer to the question who is the steward of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The sender was the steward and is no longer; this is what it knew.
    Yours(StewardState),
    /// The sender was not the steward.
    Nothing,
    /// The sender ranks higher and is the steward.
    Mine,
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
    Refresh,
    /// Answers `Refresh`, in one or several messages.
    View {
        /// The sender's own view was checked.
        settled: bool,
        /// Revision in force at the sender.
        revision: u64,
        /// Hosts that are not live, after the sender's own state.
        members: Vec<MemberInfo>,
    },
    /// Steward to the next host in rank: keep this record before I forward the request.
    Record {
        /// The upstream that the request is for.
        upstream: UpstreamId,
        /// The request.
        entry: RecordEntry,
    },
    /// Answers `Record`.
    RecordAck {
        /// From the record.
        upstream: UpstreamId,
        /// From the record.
        key: RecordKey,
        /// False when the sender does not regard the receiver as the steward.
        accepted: bool,
    },
    /// New steward to the one before it: hand the upstream over.
    TakeOver {
        /// Which upstream.
        upstream: UpstreamId,
    },
    /// Answers `TakeOver`.
    HandOver {
        /// Which upstream.
        upstream: UpstreamId,
        /// What became of the question.
        verdict: Verdict,
    },
    /// Steward to the next host in rank: what it must know to take the upstream over.
    Replica {
        /// The whole state, once, when the receiver becomes the next in rank.
        state: StewardState,
    },
    /// Answers `Replica`.
    ReplicaAck {
        /// Which upstream.
        upstream: UpstreamId,
        /// False when the sender does not regard the receiver as the steward.
        accepted: bool,
    },
    /// Tells the receiver where flows live for which it may become the keeper.
    Flows {
        /// The flows.
        entries: Vec<FlowEntry>,
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
pub enum ConfigQuestion {
    /// The manifest in force.
    Manifest,
    /// A chunk that it names.
    Chunk {
        /// SHA-256 of the chunk, hexadecimal.
        sha256: String,
    },
}

/// Answer to a [`ConfigQuestion`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigAnswer {
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
