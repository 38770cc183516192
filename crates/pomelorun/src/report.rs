//! State of a host, as reported to operators.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pomelorun_core::{HostCore, LimitReason, Millis, Outcomes, Snapshot, UpstreamStatus, ZoneView};
use pomelorun_wire::{Code, MemberState, ServiceAddr};
use serde::{Deserialize, Serialize};

/// State of a host, as reported at `/v1/status`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "snake_case")]
pub struct HostReport {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Active revision, 0 if there is none.
    pub revision: u64,
    /// Hash of the active revision's content.
    pub content: String,
    /// Time since the configuration service last responded, in milliseconds.
    pub config_age_ms: u64,
    /// `true` while the host is shutting down.
    pub leaving: bool,
    /// `true` if the host has a configuration and a view synchronized with peers.
    pub ready: bool,
    /// `true` if no request is in flight or queued, every flow is handed over and every role is
    /// taken over or has no successor.
    pub drained: bool,
    /// Flows that a leaving host has yet to hand over.
    pub flows_to_hand_over: usize,
    /// Flows in the flow table.
    pub flows: usize,
    /// Memory of the flow table, in bytes.
    pub flow_bytes: usize,
    /// The other hosts.
    pub members: Vec<MemberReport>,
    /// The availability zones.
    pub zones: Vec<ZoneReport>,
    /// The upstreams whose state this host holds.
    pub upstreams: Vec<UpstreamReport>,
    /// Packets received from the fabric.
    pub fabric_packets: u64,
    /// Packets relayed to other hosts.
    pub relayed_packets: u64,
    /// Packets sent to upstreams.
    pub upstream_packets: u64,
    /// Packets sent to callers.
    pub caller_packets: u64,
    /// Bytes of control messages sent to other hosts.
    pub control_bytes: u64,
    /// Datagrams that the operating system did not accept for sending.
    pub dropped_datagrams: u64,
    /// Received datagrams that are neither a valid packet nor a valid control message.
    pub malformed_datagrams: u64,
    /// Bytes of configurations read from the configuration service and other hosts.
    pub config_bytes: u64,
    /// Occurrences of each numbered code.
    pub codes: Vec<CodeCount>,
    /// Outcomes of each service, sorted by address; reported only as metrics and burn.
    #[serde(skip)]
    pub services: Vec<ServiceTotals>,
}

/// Outcomes of a service since the start of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTotals {
    /// Address of the service.
    pub addr: ServiceAddr,
    /// Name of the service.
    pub name: String,
    /// Response time up to which a request counts as answered in time, in milliseconds.
    pub answer_within_ms: u64,
    /// Counters of the outcomes.
    pub outcomes: Outcomes,
}

impl HostReport {
    /// Returns the number of requests in flight or queued.
    pub fn requests(&self) -> usize {
        self.upstreams.iter().map(|it| it.in_flight + it.queued).sum()
    }
}

/// Number of occurrences of a code.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "snake_case")]
pub struct CodeCount {
    /// Code, such as `PR0201`.
    pub code: String,
    /// Short name of the code.
    pub name: String,
    /// Number of occurrences.
    pub count: u64,
}

/// Another host, as seen by the reporting host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberReport {
    /// Hexadecimal identifier of the host.
    pub host: String,
    /// Membership state of the host.
    pub state: MemberState,
    /// `true` if the host is in the host list.
    pub listed: bool,
}

/// State of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ZoneReport {
    /// Name of the zone.
    pub name: String,
    /// `true` if the zone is withdrawn.
    #[serde(rename = "out")]
    pub withdrawn: bool,
    /// Time since this host last sent a packet to an upstream of the zone, in milliseconds.
    pub last_packet_ago_ms: Option<u64>,
}

/// State of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamReport {
    /// Name, made of the pool and the endpoint.
    pub name: String,
    /// Availability zone of the upstream.
    #[serde(default)]
    pub zone: String,
    /// Current concurrency limit.
    pub limit: u16,
    /// Concurrency limit when warm.
    #[serde(default)]
    pub slots: u16,
    /// Requests in flight.
    pub in_flight: usize,
    /// Queued requests.
    pub queued: usize,
    /// Reason for the current limit.
    pub reason: String,
    /// `true` if this host acts as the upstream's primary.
    pub active: bool,
}

/// The newest report, shared between the services.
#[derive(Debug, Clone, Default)]
pub struct SharedReport(Arc<Mutex<HostReport>>);

impl SharedReport {
    /// Locks the report for reading and updating.
    pub fn lock(&self) -> MutexGuard<'_, HostReport> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Updates the fields that the decision core provides.
pub(crate) fn update_from_core(core: &HostCore, now: Millis, report: &mut HostReport) {
    let stats = core.stats();
    update_services(core, report);
    report.revision = core.revision();
    report.ready = core.is_ready();
    report.drained = core.is_drained();
    report.flows_to_hand_over = core.flows_to_hand_over();
    report.flows = core.flows().len();
    report.flow_bytes = core.flows().bytes();
    report.fabric_packets = stats.fabric_packets;
    report.relayed_packets = stats.relayed;
    report.upstream_packets = stats.to_upstream;
    report.caller_packets = stats.to_caller;
    report.codes = stats
        .codes
        .iter()
        .map(|(code, count)| CodeCount {
            code: code.to_string(),
            name: code.row().map_or("", |it| it.name).to_owned(),
            count: *count,
        })
        .collect();
    report.members = core
        .members()
        .others()
        .iter()
        .map(|it| MemberReport { host: it.host.to_string(), state: it.state, listed: it.listed })
        .collect();
    let Some(snapshot) = core.active_snapshot() else { return };
    report.zones = snapshot.zones.iter().map(|it| describe_zone(core, now, it)).collect();
    report.upstreams = core.upstreams().iter().map(|it| describe_upstream(snapshot, it)).collect();
}

pub(crate) fn describe_zone(core: &HostCore, now: Millis, zone: &ZoneView) -> ZoneReport {
    ZoneReport {
        name: zone.name.clone(),
        withdrawn: zone.withdrawn,
        last_packet_ago_ms: core.last_packet_to_zone(zone.id).map(|at| now.since(at).0),
    }
}

pub(crate) fn describe_upstream(snapshot: &Snapshot, it: &UpstreamStatus) -> UpstreamReport {
    let upstream = snapshot.upstream(it.upstream);
    let zone = upstream.and_then(|it| snapshot.zone(it.zone));
    UpstreamReport {
        name: upstream.map_or(String::new(), |it| it.name.clone()),
        zone: zone.map_or(String::new(), |it| it.name.clone()),
        limit: it.limit,
        slots: upstream.map_or(0, |it| it.slots),
        in_flight: it.in_flight,
        queued: it.queued,
        reason: limit_reason_name(it.reason).to_owned(),
        active: it.active,
    }
}

/// Updates the outcomes by service; copies the names only if the revision has changed.
fn update_services(core: &HostCore, report: &mut HostReport) {
    let entries = core.services().entries();
    let same = report.revision == core.revision() && report.services.len() == entries.len();
    if same {
        for (it, (_, outcomes)) in report.services.iter_mut().zip(entries) {
            it.outcomes = *outcomes;
        }
        return;
    }
    let Some(snapshot) = core.active_snapshot() else { return };
    report.services = snapshot
        .services
        .iter()
        .map(|it| ServiceTotals {
            addr: it.addr,
            name: it.name.clone(),
            answer_within_ms: it.answer_within.0,
            outcomes: core.services().get(it.addr),
        })
        .collect();
}

/// Adds the occurrences of codes outside the core.
pub(crate) fn add_codes(codes: &[(Code, u64)], report: &mut HostReport) {
    for (code, count) in codes {
        let shown = code.to_string();
        if let Some(it) = report.codes.iter_mut().find(|it| it.code == shown) {
            it.count += count;
            continue;
        }
        report.codes.push(CodeCount {
            code: shown,
            name: code.row().map_or("", |it| it.name).to_owned(),
            count: *count,
        });
    }
}

fn limit_reason_name(reason: LimitReason) -> &'static str {
    match reason {
        LimitReason::New => "new",
        LimitReason::Warm => "warm",
        LimitReason::Shed => "shed",
        LimitReason::TimedOut => "timed_out",
        LimitReason::Slow => "slow",
    }
}
