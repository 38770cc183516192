//! Messages in which hosts tell each other how loaded upstreams are.
//!
//! Every host reports what it has seen since its last report to the collector of its zone. The
//! collector adds the reports up and sends the sum to the hosts of its zone and to the collectors of
//! the other zones. Numbers are cumulative for one interval only, so a lost message loses an interval
//! and is never counted twice.

use pomelorun_wire::{ServiceAddr, ZoneId};
use serde::{Deserialize, Serialize};

use crate::direct::token::Token;

/// Fixed-point unit of a number of requests in progress.
pub const IN_PROGRESS_UNIT: f64 = 1.0 / 16.0;

/// What one host has seen of one upstream since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "UpstreamReportRow", into = "UpstreamReportRow")]
pub struct UpstreamReport {
    /// Token of the upstream instance.
    pub token: Token,
    /// Mean number of requests in progress through the sender, in [`IN_PROGRESS_UNIT`].
    pub in_progress: u16,
    /// Number of answers that show how fast the upstream is.
    pub speed_samples: u16,
    /// Sum over these answers of the natural logarithm of the time to the answer relative to the
    /// usual one, in thousandths.
    pub slowness_milli: i32,
}

type UpstreamReportRow = (Token, u16, u16, i32);

impl From<UpstreamReportRow> for UpstreamReport {
    fn from((token, in_progress, speed_samples, slowness_milli): UpstreamReportRow) -> Self {
        UpstreamReport { token, in_progress, speed_samples, slowness_milli }
    }
}

impl From<UpstreamReport> for UpstreamReportRow {
    fn from(it: UpstreamReport) -> Self {
        (it.token, it.in_progress, it.speed_samples, it.slowness_milli)
    }
}

/// What one host, or all hosts of a zone, have seen of the requests to one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RouteReportRow", into = "RouteReportRow")]
pub struct RouteReport {
    /// Address that callers use.
    pub addr: ServiceAddr,
    /// Requests forwarded per second, in tenths.
    pub requests_per_s_tenths: u32,
    /// Time to the first byte of an answer at an upstream without a queue, in microseconds; zero if
    /// unknown.
    pub service_time_us: u32,
}

type RouteReportRow = (u32, u16, u32, u32);

impl From<RouteReportRow> for RouteReport {
    fn from((ip, port, requests_per_s_tenths, service_time_us): RouteReportRow) -> Self {
        let addr = ServiceAddr { ip, port };
        RouteReport { addr, requests_per_s_tenths, service_time_us }
    }
}

impl From<RouteReport> for RouteReportRow {
    fn from(it: RouteReport) -> Self {
        (it.addr.ip, it.addr.port, it.requests_per_s_tenths, it.service_time_us)
    }
}

/// A host's report to the collector of its zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadReport {
    /// Length of the interval that the report covers, in milliseconds.
    pub interval_ms: u32,
    /// Upstreams with requests in progress or answers, the most loaded first.
    pub upstreams: Vec<UpstreamReport>,
    /// Addresses with requests, sorted.
    pub routes: Vec<RouteReport>,
}

/// Load and speed of one upstream as the hosts of one zone see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "UpstreamSumRow", into = "UpstreamSumRow")]
pub struct UpstreamSum {
    /// Token of the upstream instance.
    pub token: Token,
    /// Mean number of requests in progress through the hosts of the zone, in [`IN_PROGRESS_UNIT`].
    pub in_progress: u16,
    /// Speed relative to the service's other upstreams, in percent; 100 if nothing is known.
    pub speed_percent: u16,
}

type UpstreamSumRow = (Token, u16, u16);

impl From<UpstreamSumRow> for UpstreamSum {
    fn from((token, in_progress, speed_percent): UpstreamSumRow) -> Self {
        UpstreamSum { token, in_progress, speed_percent }
    }
}

impl From<UpstreamSum> for UpstreamSumRow {
    fn from(it: UpstreamSum) -> Self {
        (it.token, it.in_progress, it.speed_percent)
    }
}

/// Sum of the reports of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadSummary {
    /// Zone whose hosts have reported.
    pub zone: ZoneId,
    /// Start of the collector's process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the summary, rising by one; an older one is dropped.
    pub seq: u32,
    /// Number of hosts whose reports are included.
    pub hosts: u16,
    /// Age of the oldest report that is included, in milliseconds.
    pub age_ms: u32,
    /// Changed upstreams; those that are not listed are as before.
    pub upstreams: Vec<UpstreamSum>,
    /// All addresses with requests, sorted.
    pub routes: Vec<RouteReport>,
}
