//! What this host has seen of the load of upstreams and addresses since its last report.

use pomelorun_wire::ServiceAddr;

use crate::{
    direct::{
        load_report::{
            ByteBudget, IN_PROGRESS_UNIT, LoadReport, MAX_ROUTE_BYTES, MAX_ROW_BYTES,
            MAX_SPEED_SAMPLES, ROUTES_EVERY, RouteReport, UpstreamReport, fit_routes,
        },
        registry::UpstreamIx,
        token::Token,
        upstream_speed::SpeedSamples,
    },
    time::Millis,
};

/// Longest time that one sample stands for; ticks are later only after a pause.
const MAX_SAMPLE: Millis = Millis(500);
/// Mean number of requests in progress over an interval below which an upstream is left out of the
/// report; what was seen is carried over to the next one.
const MIN_IN_PROGRESS: f64 = 0.25;
/// Number of speed samples below which an upstream is left out of the report.
const MIN_SPEED_SAMPLES: u16 = 4;
/// Number of reports that an upstream may be left out of before it is reported anyway.
const MAX_LEFT_OUT: u8 = 3;

/// Most messages in which one report is sent.
const MAX_PARTS: usize = 3;

/// Observations of one upstream.
#[derive(Debug, Clone, Copy)]
struct UpstreamSample {
    ix: UpstreamIx,
    /// Requests in progress times milliseconds.
    request_ms: u64,
    speed: SpeedSamples,
    /// Number of reports that left the upstream out.
    left_out: u8,
}

/// Requests to one address since it was last reported.
#[derive(Debug, Clone, Copy)]
struct RequestCount {
    addr: ServiceAddr,
    count: u32,
    /// When it was last reported.
    since: Option<Millis>,
}

/// Observations of this host; only upstreams and addresses with any take room.
#[derive(Debug, Default)]
pub(crate) struct LoadSampler {
    last_sample: Option<Millis>,
    /// Sorted by position.
    upstreams: Vec<UpstreamSample>,
    /// Sorted by address.
    requests: Vec<RequestCount>,
    /// Since when the requests to an address count that has not been reported yet.
    counted_since: Option<Millis>,
    reports: u32,
}

impl LoadSampler {
    /// Records a forwarded request.
    pub(crate) fn count_request(&mut self, ix: UpstreamIx, addr: ServiceAddr) {
        self.upstream(ix);
        match self.requests.binary_search_by_key(&addr, |it| it.addr) {
            Ok(at) => self.requests[at].count = self.requests[at].count.saturating_add(1),
            Err(at) => self.requests.insert(at, RequestCount { addr, count: 1, since: None }),
        }
    }

    /// Records an answer that shows how fast an upstream is.
    pub(crate) fn record_speed(&mut self, ix: UpstreamIx, slowness_milli: i32) {
        let speed = &mut self.upstream(ix).speed;
        if speed.count < MAX_SPEED_SAMPLES {
            speed.count += 1;
            speed.slowness_milli = speed.slowness_milli.saturating_add(slowness_milli);
        }
    }

    /// Records the requests in progress at a tick.
    pub(crate) fn sample(&mut self, now: Millis, in_progress: impl Fn(UpstreamIx) -> u32) {
        let took = now.since(self.last_sample.unwrap_or(now)).0.min(MAX_SAMPLE.0);
        self.last_sample = Some(now);
        self.counted_since.get_or_insert(now);
        self.upstreams.retain_mut(|it| {
            let in_progress = in_progress(it.ix);
            it.request_ms += u64::from(in_progress) * took;
            in_progress > 0 || it.request_ms > 0 || it.speed.count > 0
        });
    }

    /// Takes the report of an interval, in as many parts as it needs.
    pub(crate) fn take_report(
        &mut self,
        now: Millis,
        interval: Millis,
        token_of: impl Fn(UpstreamIx) -> Option<Token>,
        service_time_ms: impl Fn(ServiceAddr) -> Option<f64>,
    ) -> Vec<LoadReport> {
        self.reports = self.reports.wrapping_add(1);
        let routes = if self.reports.is_multiple_of(ROUTES_EVERY) {
            self.take_routes(now, service_time_ms)
        } else {
            Vec::new()
        };
        let used = if routes.is_empty() { 0 } else { MAX_ROUTE_BYTES };
        let mut room = [ByteBudget(MAX_ROW_BYTES); MAX_PARTS];
        room[0].0 -= used;
        let parts = self.take_upstreams(interval, room, token_of);
        let interval_ms = u32::try_from(interval.0).unwrap_or(u32::MAX);
        let mut reports: Vec<LoadReport> = parts
            .into_iter()
            .map(|upstreams| LoadReport { upstreams, ..LoadReport::default() })
            .collect();
        reports[0].interval_ms = interval_ms;
        reports[0].routes = routes;
        let used = reports.iter().rposition(|it| !it.upstreams.is_empty()).unwrap_or(0);
        reports.truncate(used + 1);
        reports
    }

    fn take_upstreams(
        &mut self,
        interval: Millis,
        mut room: [ByteBudget; MAX_PARTS],
        token_of: impl Fn(UpstreamIx) -> Option<Token>,
    ) -> [Vec<UpstreamReport>; MAX_PARTS] {
        let interval_ms = interval.0 as f64;
        let mean = |it: &UpstreamSample| it.request_ms as f64 / interval_ms;
        for it in &mut self.upstreams {
            it.left_out += 1;
        }
        let is_due = |it: &UpstreamSample| {
            mean(it) >= MIN_IN_PROGRESS
                || it.speed.count >= MIN_SPEED_SAMPLES
                || it.left_out > MAX_LEFT_OUT
        };
        let mut due: Vec<usize> =
            (0..self.upstreams.len()).filter(|&at| is_due(&self.upstreams[at])).collect();
        due.sort_by_key(|&at| std::cmp::Reverse(self.upstreams[at].request_ms));
        let mut parts = [const { Vec::new() }; MAX_PARTS];
        for at in due {
            let it = &mut self.upstreams[at];
            let in_progress = mean(it) / IN_PROGRESS_UNIT;
            if let Some(token) = token_of(it.ix) {
                let row = UpstreamReport {
                    token,
                    in_progress: in_progress.round().min(f64::from(u16::MAX)) as u16,
                    speed_samples: it.speed.count,
                    slowness_milli: it.speed.slowness_milli,
                };
                let is_empty = row.in_progress == 0 && row.speed_samples == 0;
                if !is_empty {
                    let Some(part) = room.iter_mut().position(|it| row.take_room(it)) else {
                        // Reported the next time.
                        it.left_out = it.left_out.min(MAX_LEFT_OUT);
                        continue;
                    };
                    parts[part].push(row);
                }
            }
            *it = UpstreamSample::new(it.ix);
        }
        parts
    }

    /// Takes the addresses that were reported the longest time ago. One without requests is reported
    /// once more, and then left out.
    fn take_routes(
        &mut self,
        now: Millis,
        service_time_ms: impl Fn(ServiceAddr) -> Option<f64>,
    ) -> Vec<RouteReport> {
        let first = self.counted_since.replace(now).unwrap_or(now);
        let since = |it: &RequestCount| it.since.unwrap_or(first);
        let mut due = self.requests.clone();
        due.sort_by_key(|it| (since(it), std::cmp::Reverse(it.count)));
        let rows = due.iter().map(|it| {
            let seconds = now.since(since(it)).0.max(1) as f64 / 1_000.0;
            let micros = service_time_ms(it.addr).unwrap_or(0.0) * 1_000.0;
            RouteReport {
                addr: it.addr,
                requests_per_s_tenths: (f64::from(it.count) * 10.0 / seconds).round() as u32,
                service_time_us: micros.round() as u32,
            }
        });
        let rows = fit_routes(rows.collect(), ByteBudget(MAX_ROUTE_BYTES));
        self.requests.retain_mut(|it| {
            let is_taken = rows.binary_search_by_key(&it.addr, |it| it.addr).is_ok();
            let is_over = is_taken && it.count == 0;
            if is_taken {
                (it.count, it.since) = (0, Some(now));
            } else {
                it.since.get_or_insert(first);
            }
            !is_over
        });
        rows
    }

    fn upstream(&mut self, ix: UpstreamIx) -> &mut UpstreamSample {
        let at = match self.upstreams.binary_search_by_key(&ix, |it| it.ix) {
            Ok(at) => at,
            Err(at) => {
                self.upstreams.insert(at, UpstreamSample::new(ix));
                at
            }
        };
        &mut self.upstreams[at]
    }
}

impl UpstreamSample {
    fn new(ix: UpstreamIx) -> UpstreamSample {
        UpstreamSample { ix, request_ms: 0, speed: SpeedSamples::default(), left_out: 0 }
    }
}
