//! The state of a host as operators see it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pomelorun_core::{HostCore, LimitReason, Millis, Outcomes, Snapshot, UpstreamStatus, ZoneView};
use pomelorun_wire::{Code, MemberState, ServiceAddr};
use serde::{Deserialize, Serialize};

/// State of a host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "snake_case")]
pub struct HostReport {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Revision in force, zero for none.
    pub revision: u64,
    /// Hash of the content in force.
    pub content: String,
    /// Time since the configuration service last answered, milliseconds.
    pub config_age_ms: u64,
    /// Is shutting down.
    pub leaving: bool,
    /// Has a configuration and a checked view of the other hosts.
    pub ready: bool,
    /// A leaving host has nothing in progress and every role is taken over.
    pub drained: bool,
    /// Flows that a leaving host has yet to tell other hosts of.
    pub flows_to_hand_over: usize,
    /// Flows known here.
    pub flows: usize,
    /// Bytes held by the flow table.
    pub flow_bytes: usize,
    /// Other hosts.
    pub members: Vec<MemberReport>,
    /// Availability zones.
    pub zones: Vec<ZoneReport>,
    /// Upstreams whose state is held here.
    pub upstreams: Vec<UpstreamReport>,
    /// Packets received from the fabric.
    pub fabric_packets: u64,
    /// Packets handed to other hosts.
    pub relayed_packets: u64,
    /// Packets sent to upstreams.
    pub upstream_packets: u64,
    /// Packets sent to callers.
    pub caller_packets: u64,
    /// Control messages sent to other hosts, bytes.
    pub control_bytes: u64,
    /// Datagrams that the kernel did not take.
    pub dropped_datagrams: u64,
    /// Datagrams received that are neither packet nor message.
    pub malformed_datagrams: u64,
    /// Bytes read from the configuration service.
    pub config_bytes: u64,
    /// Occurrences by numbered code, such as `PR0201`.
    pub codes: Vec<CodeCount>,
    /// Outcomes by service, sorted by address; served as metrics and burn only.
    #[serde(skip)]
    pub services: Vec<ServiceTotals>,
}

/// Outcomes of one service since the start of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTotals {
    /// Its address.
    pub addr: ServiceAddr,
    /// Its name.
    pub name: String,
    /// Bound by which answers in time are told, milliseconds.
    pub answer_within_ms: u64,
    /// The counters.
    pub outcomes: Outcomes,
}

impl HostReport {
    /// Requests in progress or waiting.
    pub fn requests(&self) -> usize {
        self.upstreams.iter().map(|it| it.in_flight + it.queued).sum()
    }
}

/// Occurrences of a code.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "snake_case")]
pub struct CodeCount {
    /// The code, such as `PR0201`.
    pub code: String,
    /// Its short name.
    pub name: String,
    /// How often.
    pub count: u64,
}

/// Another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberReport {
    /// Identifier of the host, hexadecimal.
    pub host: String,
    /// Its state.
    pub state: MemberState,
    /// Still in the host list.
    pub listed: bool,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ZoneReport {
    /// Name.
    pub name: String,
    /// Taken out.
    #[serde(rename = "out")]
    pub withdrawn: bool,
    /// Time since this host last sent a packet to an upstream there, milliseconds.
    pub last_packet_ago_ms: Option<u64>,
}

/// An upstream whose state is held here.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamReport {
    /// Name of pool and endpoint.
    pub name: String,
    /// Availability zone.
    #[serde(default)]
    pub zone: String,
    /// Requests that it may run now.
    pub limit: u16,
    /// Requests that it runs at a time when warm.
    #[serde(default)]
    pub slots: u16,
    /// Requests in progress.
    pub in_flight: usize,
    /// Requests that wait.
    pub queued: usize,
    /// Why the limit is what it is.
    pub reason: String,
    /// Whether this host acts as its primary.
    pub active: bool,
}

/// The newest report, shared between the services.
#[derive(Debug, Clone, Default)]
pub struct SharedReport(Arc<Mutex<HostReport>>);

impl SharedReport {
    /// Locks the report.
    pub fn lock(&self) -> MutexGuard<'_, HostReport> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Fills in what the core knows.
pub(crate) fn describe_core(core: &HostCore, now: Millis, report: &mut HostReport) {
    let stats = core.stats();
    describe_services(core, report);
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
        reason: reason_name(it.reason).to_owned(),
        active: it.active,
    }
}

/// Renews the counters; names are copied only when the revision has changed.
fn describe_services(core: &HostCore, report: &mut HostReport) {
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

/// Adds codes that were met outside the core.
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

fn reason_name(reason: LimitReason) -> &'static str {
    match reason {
        LimitReason::New => "new",
        LimitReason::Warm => "warm",
        LimitReason::Shed => "shed",
        LimitReason::TimedOut => "timed_out",
        LimitReason::Slow => "slow",
    }
}
