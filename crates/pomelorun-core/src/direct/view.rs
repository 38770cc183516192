//! Serializable views of a host's state for operators.

use std::net::SocketAddrV4;

use pomelorun_wire::ZoneId;
use serde::{Deserialize, Serialize};

use crate::direct::placement::Choice;

/// Why an upstream gets no new flow from a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IneligibleReason {
    /// Its zone is withdrawn.
    ZoneOut,
    /// Its token belongs to an upstream instance that started earlier.
    TokenTaken,
    /// It is draining.
    Draining,
    /// The instance has ended: a later one has its identifier or address.
    Ended,
    /// Its announcement lapsed, and the grace period is over.
    Lapsed,
    /// It is cold, and another host is its cold-start owner, or may have been until a moment ago.
    ColdElsewhere,
    /// It is cold, and its budget of flows for this second is used up.
    ColdFull,
}

/// Whether an upstream responds, as a host sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReachabilityView {
    /// It responds, or there is no sign that it does not.
    Answering,
    /// Callers retransmit packets to it; a probe is in flight.
    Suspect,
    /// It responded neither to callers nor to a probe.
    Unreachable,
}

/// The state of one upstream, as a host sees it.
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
    /// Address at which it receives datagrams.
    pub address: SocketAddrV4,
    /// Whether it responds.
    #[serde(rename = "standing")]
    pub reachability: ReachabilityView,
    /// Time since its last response that this host observed, in milliseconds.
    pub answered_ago_ms: u64,
    /// `true` while it is ejected for failing requests.
    pub ejected: bool,
    /// How much longer it stays cold, in milliseconds.
    pub cold_left_ms: u64,
    /// Time since its announcement lapsed, in milliseconds.
    pub lapsed_ms: Option<u64>,
    /// Requests through this host that wait for an answer.
    pub waiting: u32,
    /// Requests in progress through all hosts, while a recent summary tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared_in_progress: Option<f64>,
    /// Speed relative to its service, if the hosts know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<f64>,
    /// Its rank for new flows, if it is eligible.
    pub choice: Option<Choice>,
    /// Why it is not eligible for new flows.
    #[serde(rename = "barred")]
    pub ineligible: Option<IneligibleReason>,
    /// Load score for the choice among upstreams, in waiting requests per slot; lower is better.
    pub score: f64,
}

/// The load as all hosts see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SharedLoadView {
    /// Age of the oldest report of this host's zone that is included, in milliseconds.
    pub age_ms: u64,
    /// Number of hosts whose reports are included.
    pub hosts: usize,
    /// Rates of the addresses with requests, sorted by address.
    pub routes: Vec<RouteLoadView>,
}

/// Load of one address as all hosts see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteLoadView {
    /// The address that callers use.
    pub address: SocketAddrV4,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Usual time to an answer without a queue, in milliseconds, if known.
    pub service_time_ms: Option<f64>,
}

/// The state of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DirectView {
    /// The active revision.
    pub revision: u64,
    /// Number of its routes.
    pub routes: usize,
    /// `true` while the directory is available, directly or through another host.
    pub directory_answers: bool,
    /// Time since this host's copy of the directory was last known to be complete, in milliseconds.
    pub directory_ago_ms: Option<u64>,
    /// Era of the directory that this host has listed last; hosts of older versions do not report
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory_era: Option<u64>,
    /// Number of flows in the flow table.
    pub flows: usize,
    /// Number of live hosts, including this one.
    pub hosts: usize,
    /// Number of live hosts in this host's zone, including this one.
    #[serde(rename = "near_hosts")]
    pub zone_hosts: usize,
    /// The load as all hosts see it, while a recent summary tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared_load: Option<SharedLoadView>,
    /// The withdrawn zones.
    pub zones_out: Vec<ZoneId>,
    /// The known upstreams, by position in the registry.
    pub upstreams: Vec<UpstreamView>,
}

/// Where a host sends a flow, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FlowView {
    /// The active revision.
    pub revision: u64,
    /// Service that the flow's address is routed to, if it has a route.
    pub service: Option<String>,
    /// The flow's upstream, from the flow table or from the given token.
    pub lives_at: Option<String>,
    /// Source of `lives_at`.
    pub known_from: Option<KnownFrom>,
    /// Upstream that would be chosen if the flow were opened now.
    pub would_go_to: Option<String>,
    /// All upstreams of the service, best rank first.
    pub upstreams: Vec<UpstreamView>,
}

/// How a host knows a flow's upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KnownFrom {
    /// From packets of the flow that this host forwarded.
    Packets,
    /// From the token in the operator's query.
    Token,
}
