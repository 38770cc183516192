//! What a host knows of a flow, with names for operators.

use std::{net::SocketAddrV4, str::FromStr};

use pomelorun_core::{HostCore, Millis, Route, Snapshot};
use pomelorun_wire::{Code, FlowKey, HostId, ServiceAddr, UpstreamId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::report::{UpstreamReport, ZoneReport, describe_upstream, describe_zone};

/// What one host knows of a flow and would do with its packets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "snake_case")]
pub struct ExplainReport {
    /// Name of the host that answers.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Revision in force there.
    pub revision: u64,
    /// The flow, as `CALLER>SERVICE`.
    pub flow: String,
    /// Name of the service, none where its address is not in force.
    pub service: Option<String>,
    /// Name of the service's pool.
    pub pool: Option<String>,
    /// The flow's bucket.
    pub bucket: u32,
    /// Hosts by rendezvous score for the bucket, the bucket owner first; identifiers, hexadecimal.
    pub ranking: Vec<String>,
    /// The upstream that the flow lives at, as this host knows.
    pub home: Option<String>,
    /// The upstream that a new flow of this key would be opened at.
    pub choice: Option<String>,
    /// Availability zone of the home, or of the choice where no home is known.
    pub upstream_zone: Option<ZoneReport>,
    /// Takes no new flows.
    pub upstream_draining: bool,
    /// Primary of that upstream, identifier.
    #[serde(rename = "steward")]
    pub primary: Option<String>,
    /// Host that would be the primary after it, identifier.
    pub backup: Option<String>,
    /// State of that upstream, where this host holds it.
    pub upstream: Option<UpstreamReport>,
    /// What would happen to an opening packet that the fabric hands to this host.
    pub open: RouteReport,
    /// The same for a request.
    pub request: RouteReport,
}

/// What a host would do with a packet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "to", rename_all = "snake_case")]
pub enum RouteReport {
    /// Nothing is known.
    #[default]
    Unknown,
    /// Hand it to the upstream, within its limit.
    Upstream {
        /// Name of the upstream.
        upstream: String,
    },
    /// Hand it to the upstream's primary.
    #[serde(rename = "steward")]
    Primary {
        /// Name of the upstream.
        upstream: String,
        /// Identifier.
        host: String,
    },
    /// Hand it to the bucket owner.
    #[serde(rename = "keeper")]
    BucketOwner {
        /// Identifier.
        host: String,
    },
    /// Ask a host that may know the flow.
    #[serde(rename = "ask")]
    Probe {
        /// Identifier.
        host: String,
    },
    /// Tell the caller that the flow is given up.
    #[serde(rename = "given_up")]
    Abandoned {
        /// Numbered code.
        code: String,
        /// What it means.
        meaning: String,
    },
    /// Tell the caller to come back.
    #[serde(rename = "come_back")]
    RetryLater {
        /// Numbered code.
        code: String,
        /// What it means.
        meaning: String,
    },
}

/// Describes what the core knows of a flow.
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
        open: route(it.open, &name),
        request: route(it.request, &name),
    }
}

fn route(route: Route, name: &dyn Fn(UpstreamId) -> Option<String>) -> RouteReport {
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

/// A text that names no flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected `CALLER>SERVICE`, such as `10.0.0.7:40000>10.20.0.1:443`")]
pub struct ParseFlowError;

/// Reads a flow from `CALLER>SERVICE`, each an IPv4 address with its port.
///
/// # Errors
/// Any other text.
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
