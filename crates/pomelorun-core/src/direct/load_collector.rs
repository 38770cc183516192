//! The collector of a zone: adds up the reports of its hosts.
//!
//! Answers two loads. In calm, when no upstream is near its limit, a summary says next to nothing:
//! only values that have changed by more than a quantum are sent. In a shortage, when all change all
//! the time, it sends the largest changes that fit into a bounded message.

use std::cmp::Reverse;

use pomelorun_wire::{HostId, ServiceAddr, ZoneId};

use crate::{
    direct::{
        load_report::{
            ByteBudget, IN_PROGRESS_UNIT, LoadReport, LoadSummary, MAX_ROUTE_BYTES, MAX_ROW_BYTES,
            ROUTES_EVERY, ROUTES_TTL, RouteReport, UpstreamSum, fit_routes,
        },
        shared_load::{USUAL_SPEED_PERCENT, mean_service_time_us, merge_routes},
        token::Token,
        upstream_speed::{SpeedEstimate, SpeedSamples},
    },
    time::Millis,
};

/// Bytes per second that all zones' summaries may take at one receiver.
const SUMMARY_BYTES_PER_S: u64 = 7_000;
/// Part of a summary that values may take which have not changed.
const REFRESH_SHARE: usize = 3;
/// Time after which a value of an upstream that is loaded, or no longer has requests in progress, is
/// sent again although it has not changed by a quantum.
const REFRESH_INTERVAL: Millis = Millis(3_000);
/// The same for other upstreams; less than the time for which hosts count requests in progress.
const CALM_REFRESH_INTERVAL: Millis = Millis(8_000);
/// The same for an upstream of which only the speed is sent.
const SPEED_REFRESH_INTERVAL: Millis = Millis(30_000);
/// Change of a speed that is sent, in percent.
const SPEED_QUANTUM_PERCENT: u16 = 8;
/// Time after which a speed is sent again that has changed a little.
const MIN_SPEED_INTERVAL: Millis = Millis(10_000);
/// Change of a speed that is sent at once, in quanta.
const URGENT_SPEED_QUANTA: f64 = 4.0;
/// Change of the requests in progress per slot that is sent.
const QUANTUM_PER_SLOT: f64 = 0.5;
/// Requests in progress per slot from which each zone sends its part of the quantum, so that the
/// sum over all zones is as exact.
const LOADED_PER_SLOT: f64 = 0.75;
/// Most upstreams that count of one host's report, in all its parts.
const MAX_HOST_ROWS: usize = 512;
/// Number of answers that the speed counts as which a predecessor has told.
const KNOWN_SPEED_ANSWERS: u16 = 64;
/// Time after which an upstream without samples is forgotten.
const SPEED_TTL: Millis = Millis(120_000);

/// Latest report of one host.
#[derive(Debug)]
struct HostReport {
    host: HostId,
    received_at: Millis,
    /// Requests in progress by upstream, sorted.
    in_progress: Vec<(Token, u16)>,
    /// With the time when each was told, sorted by address.
    routes: Vec<(RouteReport, Millis)>,
}

/// Values that were sent last, of an upstream for which they are not the usual ones.
#[derive(Debug, Clone, Copy)]
struct SentSum {
    sum: UpstreamSum,
    at: Millis,
}

/// What a collector knows of an upstream beside the reports.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamHint {
    /// Number of requests that it runs at a time.
    pub(crate) slots: u32,
    /// Requests in progress over all zones.
    pub(crate) in_progress: f64,
}

/// What a summary is made for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SummaryScope {
    /// Zone of the collector.
    pub(crate) zone: ZoneId,
    /// Number of zones.
    pub(crate) zones: usize,
    /// Time between two summaries.
    pub(crate) interval: Millis,
    /// How long a report counts.
    pub(crate) recent_for: Millis,
}

/// Reports of the hosts of a zone, and what was made of them.
#[derive(Debug, Default)]
pub(crate) struct LoadCollector {
    /// Latest report of each host, sorted by host.
    reports: Vec<HostReport>,
    /// Speeds by upstream, with the time of the last sample, sorted by token.
    speeds: Vec<(Token, SpeedEstimate, Millis)>,
    /// Sorted by token.
    sent: Vec<SentSum>,
    /// When the rates of addresses were sent last, sorted by address.
    sent_routes: Vec<(ServiceAddr, Millis)>,
    incarnation: u64,
    seq: u32,
}

impl LoadCollector {
    /// Applies a host's report, which replaces its previous one, or a further part of it, of which the
    /// rows replace those of the same upstreams. Rows of upstreams that are not `known` are skipped:
    /// nobody could place flows by them.
    pub(crate) fn apply(
        &mut self,
        now: Millis,
        from: HostId,
        report: &LoadReport,
        known: impl Fn(Token) -> bool,
    ) {
        let at = match self.reports.binary_search_by_key(&from, |it| it.host) {
            Ok(at) => at,
            Err(at) => {
                let (in_progress, routes) = (Vec::new(), Vec::new());
                let new = HostReport { host: from, received_at: now, in_progress, routes };
                self.reports.insert(at, new);
                at
            }
        };
        let it = &mut self.reports[at];
        it.received_at = now;
        if report.interval_ms > 0 {
            it.in_progress.clear();
        }
        let rows = || report.upstreams.iter().filter(|it| known(it.token));
        for row in rows() {
            match it.in_progress.binary_search_by_key(&row.token, |it| it.0) {
                Ok(at) => it.in_progress[at].1 = row.in_progress,
                Err(_) if it.in_progress.len() >= MAX_HOST_ROWS => {}
                Err(at) => it.in_progress.insert(at, (row.token, row.in_progress)),
            }
        }
        merge_routes(&mut it.routes, now, &report.routes);
        for it in rows().filter(|it| it.speed_samples > 0) {
            let samples =
                SpeedSamples { count: it.speed_samples, slowness_milli: it.slowness_milli };
            self.add_speed(now, it.token, samples);
        }
    }

    fn add_speed(&mut self, now: Millis, token: Token, samples: SpeedSamples) {
        let at = match self.speeds.binary_search_by_key(&token, |it| it.0) {
            Ok(at) => at,
            Err(at) => {
                self.speeds.insert(at, (token, SpeedEstimate::default(), now));
                at
            }
        };
        self.speeds[at].1.add(now, samples);
        self.speeds[at].2 = now;
    }

    /// Returns the number of hosts whose reports count.
    pub(crate) fn recent_hosts(&self, now: Millis, recent_for: Millis) -> usize {
        self.reports.iter().filter(|it| now.since(it.received_at) < recent_for).count()
    }

    /// Starts to send summaries, in a term above that of the predecessor.
    ///
    /// What the predecessor has told this host counts as sent, and its speeds as answers to this
    /// host's zone, which fade like others.
    pub(crate) fn start_term(&mut self, now: Millis, incarnation: u64, known: &[UpstreamSum]) {
        self.incarnation = incarnation;
        self.seq = 0;
        self.sent = known.iter().map(|&sum| SentSum { sum, at: now }).collect();
        for it in known.iter().filter(|it| it.speed_percent != USUAL_SPEED_PERCENT) {
            if self.speeds.binary_search_by_key(&it.token, |it| it.0).is_err() {
                let slowness = -(f64::from(it.speed_percent) / 100.0).ln();
                let slowness_milli = (slowness * 1_000.0 * f64::from(KNOWN_SPEED_ANSWERS)) as i32;
                let samples = SpeedSamples { count: KNOWN_SPEED_ANSWERS, slowness_milli };
                self.add_speed(now, it.token, samples);
            }
        }
    }

    /// Forgets the reports and what was made of them, as another host is the collector.
    pub(crate) fn clear(&mut self) {
        *self = LoadCollector { incarnation: self.incarnation, ..LoadCollector::default() };
    }

    /// Returns the term.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Forgets what is too old to count.
    pub(crate) fn expire(&mut self, now: Millis, recent_for: Millis) {
        self.reports.retain(|it| now.since(it.received_at) < recent_for);
        self.speeds.retain(|it| now.since(it.2) < SPEED_TTL);
        self.sent_routes.retain(|it| now.since(it.1) < ROUTES_TTL);
    }

    /// Returns the next summary: what has changed, and some of the rest.
    pub(crate) fn summarize(
        &mut self,
        now: Millis,
        scope: SummaryScope,
        hint: impl Fn(Token) -> UpstreamHint,
    ) -> LoadSummary {
        self.expire(now, scope.recent_for);
        self.seq = self.seq.wrapping_add(1);
        let sums = self.sums(now);
        let routes =
            if self.seq.is_multiple_of(ROUTES_EVERY) { self.sum_routes(now) } else { Vec::new() };
        let zones = scope.zones.max(1);
        let per_summary = SUMMARY_BYTES_PER_S * scope.interval.0 / 1_000 / zones as u64;
        let used = if routes.is_empty() { 0 } else { MAX_ROUTE_BYTES / zones };
        let room = MAX_ROW_BYTES.min(per_summary as usize).saturating_sub(used);
        let due = self.select(now, &sums, zones, room, hint);
        for it in &due {
            self.mark_sent(now, *it);
        }
        let routes = fit_routes(routes, ByteBudget(MAX_ROUTE_BYTES / zones));
        for it in &routes {
            match self.sent_routes.binary_search_by_key(&it.addr, |it| it.0) {
                Ok(at) => self.sent_routes[at].1 = now,
                Err(at) => self.sent_routes.insert(at, (it.addr, now)),
            }
        }
        LoadSummary { upstreams: due, routes, ..self.header(now, scope) }
    }

    /// Returns all values that were sent last, for a host that joins and for the start of a term.
    pub(crate) fn full_summary(&self, now: Millis, scope: SummaryScope) -> LoadSummary {
        let upstreams = self.sent.iter().map(|it| it.sum).collect();
        let routes = fit_routes(self.sum_routes(now), ByteBudget(MAX_ROUTE_BYTES));
        LoadSummary { upstreams, routes, ..self.header(now, scope) }
    }

    fn header(&self, now: Millis, scope: SummaryScope) -> LoadSummary {
        let oldest = self.reports.iter().map(|it| now.since(it.received_at).0).max();
        LoadSummary {
            zone: scope.zone,
            incarnation: self.incarnation,
            seq: self.seq,
            hosts: u16::try_from(self.reports.len()).unwrap_or(u16::MAX),
            age_ms: u32::try_from(oldest.unwrap_or(0)).unwrap_or(u32::MAX),
            upstreams: Vec::new(),
            routes: Vec::new(),
        }
    }

    /// Returns the current values of all upstreams that have any, or had when they were sent last;
    /// sorted by token.
    fn sums(&self, now: Millis) -> Vec<UpstreamSum> {
        let mut rows: Vec<(Token, u32)> = self
            .reports
            .iter()
            .flat_map(|it| it.in_progress.iter().map(|it| (it.0, u32::from(it.1))))
            .chain(self.speeds.iter().map(|it| (it.0, 0)))
            .chain(self.sent.iter().map(|it| (it.sum.token, 0)))
            .collect();
        rows.sort_unstable_by_key(|it| it.0);
        let sum = |rows: &[(Token, u32)]| UpstreamSum {
            token: rows[0].0,
            in_progress: rows.iter().map(|it| it.1).sum::<u32>().min(u32::from(u16::MAX)) as u16,
            speed_percent: self.speed_percent(now, rows[0].0),
        };
        rows.chunk_by(|a, b| a.0 == b.0).map(sum).collect()
    }

    fn speed_percent(&self, now: Millis, token: Token) -> u16 {
        let own = self.speeds.binary_search_by_key(&token, |it| it.0);
        let own = own.map_or(1.0, |at| self.speeds[at].1.speed(now));
        (own * 100.0).round().clamp(1.0, f64::from(u16::MAX)) as u16
    }

    fn last_sent(&self, token: Token) -> Option<&SentSum> {
        let at = self.sent.binary_search_by_key(&token, |it| it.sum.token).ok()?;
        Some(&self.sent[at])
    }

    /// Returns the values to send: some that were not sent for long, and the largest changes.
    fn select(
        &self,
        now: Millis,
        sums: &[UpstreamSum],
        zones: usize,
        room: usize,
        hint: impl Fn(Token) -> UpstreamHint,
    ) -> Vec<UpstreamSum> {
        let mut changed: Vec<(f64, UpstreamSum)> = Vec::new();
        let mut stale: Vec<(Millis, UpstreamSum)> = Vec::new();
        for &it in sums {
            let sent = self.last_sent(it.token);
            let hint = hint(it.token);
            if let Some(weight) = change_weight(now, sent, &it, zones, hint) {
                changed.push((weight, it));
            } else if let Some(sent) =
                sent.filter(|sent| sent.is_due(now, it.in_progress == 0 || is_loaded(&it, hint)))
            {
                stale.push((sent.at, it));
            }
        }
        changed.sort_by(|a, b| b.0.total_cmp(&a.0));
        stale.sort_by_key(|it| it.0);
        let mut for_stale = ByteBudget(room / REFRESH_SHARE);
        let mut due: Vec<UpstreamSum> = stale
            .into_iter()
            .map(|it| it.1)
            .take_while(|it| it.take_room(&mut for_stale))
            .collect();
        let mut left = ByteBudget(room - (room / REFRESH_SHARE - for_stale.0));
        due.extend(changed.into_iter().map(|it| it.1).take_while(|it| it.take_room(&mut left)));
        due
    }

    fn mark_sent(&mut self, now: Millis, sum: UpstreamSum) {
        let is_usual = sum.in_progress == 0 && sum.speed_percent == USUAL_SPEED_PERCENT;
        match (self.sent.binary_search_by_key(&sum.token, |it| it.sum.token), is_usual) {
            (Ok(at), true) => {
                self.sent.remove(at);
            }
            (Ok(at), false) => self.sent[at] = SentSum { sum, at: now },
            (Err(at), false) => self.sent.insert(at, SentSum { sum, at: now }),
            (Err(_), true) => {}
        }
    }

    /// Returns the rates of all addresses, those that were sent the longest time ago first.
    fn sum_routes(&self, now: Millis) -> Vec<RouteReport> {
        let routes = self.reports.iter().flat_map(|it| &it.routes);
        let recent = routes.filter(|it| now.since(it.1) < ROUTES_TTL);
        let mut rows: Vec<RouteReport> = recent.map(|it| it.0).collect();
        rows.sort_by_key(|it| it.addr);
        let sum = |rows: &[RouteReport]| {
            let addr: ServiceAddr = rows[0].addr;
            let rate = rows.iter().map(|it| u64::from(it.requests_per_s_tenths)).sum::<u64>();
            RouteReport {
                addr,
                requests_per_s_tenths: u32::try_from(rate).unwrap_or(u32::MAX),
                service_time_us: mean_service_time_us(rows.iter()),
            }
        };
        let mut sums: Vec<RouteReport> = rows.chunk_by(|a, b| a.addr == b.addr).map(sum).collect();
        let sent_at = |addr: ServiceAddr| {
            let at = self.sent_routes.binary_search_by_key(&addr, |it| it.0).ok()?;
            Some(self.sent_routes[at].1)
        };
        sums.sort_by_key(|it| (sent_at(it.addr), Reverse(it.requests_per_s_tenths)));
        sums
    }
}

impl SentSum {
    fn is_due(&self, now: Millis, is_urgent: bool) -> bool {
        let interval = match (self.sum.in_progress, is_urgent) {
            (0, _) => SPEED_REFRESH_INTERVAL,
            (_, true) => REFRESH_INTERVAL,
            (_, false) => CALM_REFRESH_INTERVAL,
        };
        now.since(self.at) >= interval
    }
}

fn is_loaded(sum: &UpstreamSum, hint: UpstreamHint) -> bool {
    let seen = f64::from(sum.in_progress) * IN_PROGRESS_UNIT;
    hint.in_progress.max(seen) >= f64::from(hint.slots.max(1)) * LOADED_PER_SLOT
}

/// Returns how much more than usual a value has changed since it was sent, or `None` if it was by
/// less than its quantum.
fn change_weight(
    now: Millis,
    sent: Option<&SentSum>,
    sum: &UpstreamSum,
    zones: usize,
    hint: UpstreamHint,
) -> Option<f64> {
    let (in_progress, speed) =
        sent.map_or((0, USUAL_SPEED_PERCENT), |it| (it.sum.in_progress, it.sum.speed_percent));
    let slots = f64::from(hint.slots.max(1));
    let parts = if is_loaded(sum, hint) { zones as f64 } else { 1.0 };
    let quantum = slots * QUANTUM_PER_SLOT / parts;
    let changed = f64::from(sum.in_progress.abs_diff(in_progress)) * IN_PROGRESS_UNIT / quantum;
    let speed_changed =
        f64::from(sum.speed_percent.abs_diff(speed)) / f64::from(SPEED_QUANTUM_PERCENT);
    // Most small changes are chance, and none is urgent.
    let is_due = sent.is_none_or(|it| now.since(it.at) >= MIN_SPEED_INTERVAL);
    let is_sent = is_due || speed_changed >= URGENT_SPEED_QUANTA;
    let weight = changed.max(if is_sent { speed_changed } else { 0.0 });
    (weight >= 1.0).then_some(weight)
}
