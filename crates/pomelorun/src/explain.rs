//! Explanation of a flow's routing on one host, for operators.

use std::{net::SocketAddrV4, str::FromStr};

use pomelorun_core::{HostCore, Millis, Route, Snapshot};
use pomelorun_wire::{Code, FlowKey, HostId, ServiceAddr, UpstreamId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::report::{UpstreamReport, ZoneReport, describe_upstream, describe_zone};

/// What a host knows about a flow and how it would route the flow's packets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "snake_case")]
pub struct ExplainReport {
    /// Name of the reporting host.
    pub host: String,
    /// Availability zone of the reporting host.
    pub zone: String,
    /// Revision that is active on the reporting host.
    pub revision: u64,
    /// Flow in the form `CALLER>SERVICE`.
    pub flow: String,
    /// Name of the service, `None` if the active revision has no service at the address.
    pub service: Option<String>,
    /// Name of the service's pool.
    pub pool: Option<String>,
    /// Hash bucket of the flow.
    pub bucket: u32,
    /// Hexadecimal identifiers of the hosts by rendezvous score for the bucket, its owner first.
    pub ranking: Vec<String>,
    /// Name of the upstream that the flow is assigned to, as far as this host knows.
    pub home: Option<String>,
    /// Name of the upstream that a new flow with this key would be opened at.
    pub choice: Option<String>,
    /// Availability zone of `home`, or of `choice` if no home is known.
    pub upstream_zone: Option<ZoneReport>,
    /// `true` if that upstream is draining and takes no new flows.
    pub upstream_draining: bool,
    /// Identifier of that upstream's primary.
    #[serde(rename = "steward")]
    pub primary: Option<String>,
    /// Identifier of the backup, which would become the next primary.
    pub backup: Option<String>,
    /// State of that upstream, if this host holds it.
    pub upstream: Option<UpstreamReport>,
    /// Route of an opening packet that this host would receive from the fabric.
    pub open: RouteReport,
    /// Route of a request packet that this host would receive from the fabric.
    pub request: RouteReport,
}

/// Route that a host would choose for a packet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "to", rename_all = "snake_case")]
pub enum RouteReport {
    /// The host has no information about the flow.
    #[default]
    Unknown,
    /// Send it to the upstream, within the upstream's concurrency limit.
    Upstream {
        /// Name of the upstream.
        upstream: String,
    },
    /// Relay it to the upstream's primary.
    #[serde(rename = "steward")]
    Primary {
        /// Name of the upstream.
        upstream: String,
        /// Hexadecimal identifier of the host.
        host: String,
    },
    /// Relay it to the bucket owner.
    #[serde(rename = "keeper")]
    BucketOwner {
        /// Hexadecimal identifier of the host.
        host: String,
    },
    /// Query a host that may know the flow.
    #[serde(rename = "ask")]
    Probe {
        /// Hexadecimal identifier of the host.
        host: String,
    },
    /// Reply to the caller that the flow is abandoned.
    #[serde(rename = "given_up")]
    Abandoned {
        /// Numbered code.
        code: String,
        /// Meaning of the code.
        meaning: String,
    },
    /// Reply to the caller with a retry-after.
    #[serde(rename = "come_back")]
    RetryLater {
        /// Numbered code.
        code: String,
        /// Meaning of the code.
        meaning: String,
    },
}

/// Describes what the core knows about a flow.
pub(crate) fn explain(core: &HostCore, now: Millis, flow: &FlowKey) -> ExplainReport {
    let it = core.explain(now, flow);
    let empty = Snapshot::default();
    let snapshot = core.active_snapshot().map_or(&empty, AsRef::as_ref);
    let service = snapshot.service(flow.service);
    let name = |id: UpstreamId| snapshot.upstream(id).map(|it| it.name.clone());
    let subject =
        it.assigned_upstream.or(it.selected_upstream).and_then(|id| snapshot.upstream(id));
    let zone = subject.and_then(|it| snapshot.zone(it.zone));
    ExplainReport {
        host: String::new(),
        zone: String::new(),
        revision: core.revision(),
        flow: flow.to_string(),
        service: service.map(|it| it.name.clone()),
        pool: service.map(|it| snapshot.pools[it.pool].name.clone()),
        bucket: it.bucket,
        ranking: it.ranking.iter().map(HostId::to_string).collect(),
        home: it.assigned_upstream.and_then(name),
        choice: it.selected_upstream.and_then(name),
        upstream_zone: zone.map(|it| describe_zone(core, now, it)),
        upstream_draining: subject.is_some_and(|it| it.draining),
        primary: it.primary.map(|it| it.to_string()),
        backup: it.backup.map(|it| it.to_string()),
        upstream: it.status.as_ref().map(|it| describe_upstream(snapshot, it)),
        open: describe_route(it.open, &name),
        request: describe_route(it.request, &name),
    }
}

fn describe_route(route: Route, name: &dyn Fn(UpstreamId) -> Option<String>) -> RouteReport {
    let name = |id| name(id).unwrap_or_default();
    let meaning = |code: Code| code.row().map_or("", |it| it.meaning).to_owned();
    match route {
        Route::Upstream(id) => RouteReport::Upstream { upstream: name(id) },
        Route::Primary(id, host) => {
            RouteReport::Primary { upstream: name(id), host: host.to_string() }
        }
        Route::BucketOwner(host) => RouteReport::BucketOwner { host: host.to_string() },
        Route::Probe(host) => RouteReport::Probe { host: host.to_string() },
        Route::Abandon(it) => RouteReport::Abandoned { code: it.to_string(), meaning: meaning(it) },
        Route::RetryLater(it) => {
            RouteReport::RetryLater { code: it.to_string(), meaning: meaning(it) }
        }
    }
}

/// Error of parsing a flow from text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected `CALLER>SERVICE`, such as `10.0.0.7:40000>10.20.0.1:443`")]
pub struct ParseFlowError;

/// Parses a flow from `CALLER>SERVICE`, where each side is an IPv4 address with a port.
///
/// # Errors
/// Returns an error if the text has any other form.
pub fn parse_flow(text: &str) -> Result<FlowKey, ParseFlowError> {
    let (caller, service) = text.split_once('>').ok_or(ParseFlowError)?;
    let read = |it: &str| SocketAddrV4::from_str(it.trim()).map_err(|_| ParseFlowError);
    let (caller, service) = (read(caller)?, read(service)?);
    Ok(FlowKey {
        caller_ip: u32::from(*caller.ip()),
        caller_port: caller.port(),
        service: ServiceAddr { ip: u32::from(*service.ip()), port: service.port() },
    })
}
