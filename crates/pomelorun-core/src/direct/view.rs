//! What a host believes, in the form in which operators are told.

use std::net::SocketAddrV4;

use pomelorun_wire::ZoneId;
use serde::{Deserialize, Serialize};

use crate::direct::placement::Choice;

/// Why an upstream gets no new flow from a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IneligibleReason {
    /// Its zone is taken out.
    ZoneOut,
    /// An older start has its token.
    TokenTaken,
    /// It leaves.
    Draining,
    /// Its identifier or address belongs to a later start.
    Ended,
    /// It is no longer announced, for too long.
    Lapsed,
    /// It is cold, and another host gives it its flows.
    ColdElsewhere,
    /// It is cold and has had its flows of this second.
    ColdFull,
}

/// Whether an upstream answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReachabilityView {
    /// It answers, or nothing says otherwise.
    Answering,
    /// Callers repeat packets; a probe is on its way.
    Suspect,
    /// Neither callers nor a probe were answered.
    Unreachable,
}

/// What a host believes of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamView {
    /// Identifier, hexadecimal.
    pub upstream: String,
    /// Token of its flows, hexadecimal.
    pub token: String,
    /// Name of its service.
    pub service: String,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it takes datagrams.
    pub address: SocketAddrV4,
    /// Whether it answers.
    #[serde(rename = "standing")]
    pub reachability: ReachabilityView,
    /// Time since its last sign of life here, milliseconds.
    pub answered_ago_ms: u64,
    /// It is ejected for failing requests.
    pub ejected: bool,
    /// How much longer it stays cold, milliseconds.
    pub cold_left_ms: u64,
    /// Time since it is no longer announced, milliseconds.
    pub lapsed_ms: Option<u64>,
    /// Requests through this host that wait for an answer.
    pub waiting: u32,
    /// How well it can take a new flow.
    pub choice: Option<Choice>,
    /// Why it gets none.
    #[serde(rename = "barred")]
    pub ineligible: Option<IneligibleReason>,
    /// Load for which it is compared with others, in waiting requests a slot; less is better.
    pub score: f64,
}

/// What a host believes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DirectView {
    /// Revision in force.
    pub revision: u64,
    /// Number of its routes.
    pub routes: usize,
    /// The directory answers, itself or by way of another host.
    pub directory_answers: bool,
    /// Time since it last did, milliseconds.
    pub directory_ago_ms: Option<u64>,
    /// Flows noted.
    pub flows: usize,
    /// Live hosts, this one included.
    pub hosts: usize,
    /// Live hosts of this zone, this one included.
    #[serde(rename = "near_hosts")]
    pub zone_hosts: usize,
    /// Zones that are out.
    pub zones_out: Vec<ZoneId>,
    /// The upstreams, in the order in which they became known.
    pub upstreams: Vec<UpstreamView>,
}

/// Where a flow goes from a host, and reason.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FlowView {
    /// Revision in force.
    pub revision: u64,
    /// Service that its address leads to; none without a route.
    pub service: Option<String>,
    /// Upstream at which it is noted, or that its token names.
    pub lives_at: Option<String>,
    /// What that is known from.
    pub known_from: Option<KnownFrom>,
    /// Upstream that it would go to if it opened now.
    pub would_go_to: Option<String>,
    /// All upstreams of the service, the best first.
    pub upstreams: Vec<UpstreamView>,
}

/// What a flow's upstream is known from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KnownFrom {
    /// Packets of the flow that passed here.
    Packets,
    /// The token asked about.
    Token,
}
