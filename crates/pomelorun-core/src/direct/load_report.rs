//! Messages in which hosts tell each other how loaded upstreams are.
//!
//! Every host reports what it has seen since its last report to the collector of its zone. The
//! collector adds the reports up and sends the sum to the hosts of its zone and to the collectors of
//! the other zones. Numbers are cumulative for one interval only, so a lost message loses an interval
//! and is never counted twice.

use pomelorun_wire::{ServiceAddr, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{direct::token::Token, time::Millis};

/// Fixed-point unit of a number of requests in progress.
pub const IN_PROGRESS_UNIT: f64 = 1.0 / 16.0;
/// Most bytes that the rows of one message may take, so that it fits into a datagram of 1,200 bytes.
pub(crate) const MAX_ROW_BYTES: usize = 1_100;
/// Most bytes that the rows of routes may take of that.
pub(crate) const MAX_ROUTE_BYTES: usize = 400;
/// Time for which the rate of an address counts that is not confirmed: if they do not all fit, they
/// are told in turn.
pub(crate) const ROUTES_TTL: Millis = Millis(30_000);
/// Most answers of one upstream in a report.
pub(crate) const MAX_SPEED_SAMPLES: u16 = 4_096;
/// Number of messages of which one carries the routes.
pub(crate) const ROUTES_EVERY: u32 = 4;

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

/// A host's report to the collector of its zone; encoded as an array.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadReportRow", into = "LoadReportRow")]
pub struct LoadReport {
    /// Length of the interval that the report covers, in milliseconds; zero in a further part of the
    /// report before.
    pub interval_ms: u32,
    /// Upstreams with requests in progress or answers, the most loaded first.
    pub upstreams: Vec<UpstreamReport>,
    /// Addresses with requests, sorted; those that are not listed are as before.
    pub routes: Vec<RouteReport>,
}

type LoadReportRow = (u32, Vec<UpstreamReport>, Vec<RouteReport>);

impl From<LoadReportRow> for LoadReport {
    fn from((interval_ms, upstreams, routes): LoadReportRow) -> Self {
        LoadReport { interval_ms, upstreams, routes }
    }
}

impl From<LoadReport> for LoadReportRow {
    fn from(it: LoadReport) -> Self {
        (it.interval_ms, it.upstreams, it.routes)
    }
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

/// Sum of the reports of one zone; encoded as an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadSummaryRow", into = "LoadSummaryRow")]
pub struct LoadSummary {
    /// Zone whose hosts have reported.
    pub zone: ZoneId,
    /// Term of the collector, higher than that of its predecessor.
    pub incarnation: u64,
    /// Number of the summary, rising by one; an older one is dropped.
    pub seq: u32,
    /// Number of hosts whose reports are included.
    pub hosts: u16,
    /// Age of the oldest report that is included, in milliseconds.
    pub age_ms: u32,
    /// Changed upstreams; those that are not listed are as before.
    pub upstreams: Vec<UpstreamSum>,
    /// Addresses with requests, sorted; those that are not listed are as before.
    pub routes: Vec<RouteReport>,
}

type LoadSummaryRow = (ZoneId, u64, u32, u16, u32, Vec<UpstreamSum>, Vec<RouteReport>);

impl From<LoadSummaryRow> for LoadSummary {
    fn from(row: LoadSummaryRow) -> Self {
        let (zone, incarnation, seq, hosts, age_ms, upstreams, routes) = row;
        LoadSummary { zone, incarnation, seq, hosts, age_ms, upstreams, routes }
    }
}

impl From<LoadSummary> for LoadSummaryRow {
    fn from(it: LoadSummary) -> Self {
        let LoadSummary { zone, incarnation, seq, hosts, age_ms, upstreams, routes } = it;
        (zone, incarnation, seq, hosts, age_ms, upstreams, routes)
    }
}

/// Room left in a message, in bytes of its encoding.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ByteBudget(pub(crate) usize);

impl ByteBudget {
    /// Takes the room of a row of integers, and returns `false` if there is none.
    pub(crate) fn take_row(&mut self, row: &[u64]) -> bool {
        let bytes = 1 + row.iter().map(|it| integer_bytes(*it)).sum::<usize>();
        let fits = bytes <= self.0;
        self.0 = self.0.saturating_sub(if fits { bytes } else { 0 });
        fits
    }
}

/// Returns the length of an integer in CBOR.
fn integer_bytes(value: u64) -> usize {
    match value {
        0..=23 => 1,
        24..=0xff => 2,
        0x100..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}

impl UpstreamReport {
    /// Takes the room of this row.
    pub(crate) fn take_room(&self, left: &mut ByteBudget) -> bool {
        let slowness = u64::from(self.slowness_milli.unsigned_abs());
        let (in_progress, samples) = (u64::from(self.in_progress), u64::from(self.speed_samples));
        left.take_row(&[u64::from(self.token.0), in_progress, samples, slowness])
    }
}

impl UpstreamSum {
    /// Takes the room of this row.
    pub(crate) fn take_room(&self, left: &mut ByteBudget) -> bool {
        let (in_progress, speed) = (u64::from(self.in_progress), u64::from(self.speed_percent));
        left.take_row(&[u64::from(self.token.0), in_progress, speed])
    }
}

/// Keeps the first routes that fit, sorted by address.
pub(crate) fn fit_routes(mut routes: Vec<RouteReport>, mut left: ByteBudget) -> Vec<RouteReport> {
    routes.retain(|it| {
        let (ip, port) = (u64::from(it.addr.ip), u64::from(it.addr.port));
        let (rate, time) = (u64::from(it.requests_per_s_tenths), u64::from(it.service_time_us));
        left.take_row(&[ip, port, rate, time])
    });
    routes.sort_by_key(|it| it.addr);
    routes
}
