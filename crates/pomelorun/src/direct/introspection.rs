//! What operators ask a running host, and its answers.

use pomelorun_core::direct::{DirectView, FlowView, Token};
use pomelorun_wire::FlowKey;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::report::ServiceTotals;

/// A question to the service `edge`, which alone holds the decisions.
pub(crate) enum IntrospectionQuery {
    /// What the host believes.
    Status(oneshot::Sender<StatusReply>),
    /// Outcomes by service since the start.
    Outcomes(oneshot::Sender<Vec<ServiceTotals>>),
    /// Where a flow goes.
    Explain { flow: FlowKey, token: Option<Token>, reply: oneshot::Sender<FlowView> },
}

/// Answer to [`IntrospectionQuery::Status`].
pub(crate) struct StatusReply {
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
    pub(crate) is_reader: bool,
    pub(crate) view: DirectView,
}

/// How a host forwards packets; tells its answers from those of a host that relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardingMode {
    /// Upstreams answer callers themselves.
    DirectReturn,
}

/// What a host in direct return believes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DirectReport {
    /// Always [`ForwardingMode::DirectReturn`].
    pub mode: ForwardingMode,
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Takes callers' packets.
    pub ready: bool,
    /// Is shutting down.
    pub leaving: bool,
    /// Reads the directory for other hosts of its zone.
    #[serde(rename = "reads")]
    pub is_reader: bool,
    /// Its beliefs.
    pub view: DirectView,
}

/// Where a flow goes from a host in direct return.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FlowReport {
    /// Always [`ForwardingMode::DirectReturn`].
    pub mode: ForwardingMode,
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Where, and why.
    pub view: FlowView,
}
