//! Queries of operators to a running host, and the reports that it returns.

use pomelorun_core::direct::{DirectView, FlowView, Token};
use pomelorun_wire::FlowKey;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::report::ServiceTotals;

/// A query to the service `edge`, which owns the decision core.
pub(crate) enum IntrospectionQuery {
    /// State of the host and its upstreams.
    Status(oneshot::Sender<StatusReply>),
    /// Request outcomes by service since the start.
    Outcomes(oneshot::Sender<Vec<ServiceTotals>>),
    /// Routing of a flow.
    Explain { flow: FlowKey, token: Option<Token>, reply: oneshot::Sender<FlowView> },
}

/// Reply to [`IntrospectionQuery::Status`].
pub(crate) struct StatusReply {
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
    pub(crate) is_reader: bool,
    pub(crate) view: DirectView,
}

/// How a host forwards packets; distinguishes its reports from those of a relaying host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardingMode {
    /// Direct server return: upstreams send their answers directly to callers.
    DirectReturn,
}

/// State of a host in direct server return.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DirectReport {
    /// Always [`ForwardingMode::DirectReturn`].
    pub mode: ForwardingMode,
    /// Name of the host.
    pub host: String,
    /// Name of its availability zone.
    pub zone: String,
    /// `true` if the host accepts callers' packets.
    pub ready: bool,
    /// `true` if the host is shutting down.
    pub leaving: bool,
    /// `true` if the host reads the directory for other hosts of its zone.
    #[serde(rename = "reads")]
    pub is_reader: bool,
    /// View of the configuration and the upstreams.
    pub view: DirectView,
}

/// Routing of a flow by a host in direct server return.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FlowReport {
    /// Always [`ForwardingMode::DirectReturn`].
    pub mode: ForwardingMode,
    /// Name of the host.
    pub host: String,
    /// Name of its availability zone.
    pub zone: String,
    /// The upstream of the flow and the reason for it.
    pub view: FlowView,
}
