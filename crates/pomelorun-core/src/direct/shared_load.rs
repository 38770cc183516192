//! Load of upstreams as all hosts see it, from the summaries of the zones.
//!
//! Answers the load of a shortage: a host sees only the requests that pass it, a small part of an
//! upstream's, and can tell a full upstream from an idle one only by what all hosts see together.
//! Each zone's sum replaces the one before, so that nothing is counted twice, and counts only while
//! it is recent.

use pomelorun_wire::{ServiceAddr, ZoneId};
use smallvec::SmallVec;

use crate::{
    direct::{
        load_report::{
            ByteBudget, IN_PROGRESS_UNIT, LoadReport, LoadSummary, MAX_ROUTE_BYTES, MAX_ROW_BYTES,
            ROUTES_TTL, RouteReport, UpstreamSum, fit_routes,
        },
        token::Token,
    },
    time::Millis,
};

/// Least time for which a zone's sum, or a host's report, counts.
const MIN_RECENT: Millis = Millis(2_000);
/// Intervals for which a zone's sum, or a host's report, counts.
const RECENT_INTERVALS: u64 = 3;
/// Time for which requests in progress count that are not confirmed.
const IN_PROGRESS_TTL: Millis = Millis(10_000);
/// Time for which a speed counts that is not confirmed.
const SPEED_TTL: Millis = Millis(120_000);
/// Time for which speeds count of a zone that is silent: longer than a collector's successor takes
/// to tell them again.
const SILENT_ZONE_TTL: Millis = Millis(10_000);
/// Speed of an upstream of which nothing is known, in percent.
pub(crate) const USUAL_SPEED_PERCENT: u16 = 100;

/// Returns the time for which sums and reports count that are sent once per `interval`.
pub(crate) fn recent_for(interval: Millis) -> Millis {
    Millis(MIN_RECENT.0.max(interval.0 * RECENT_INTERVALS))
}

/// What became of a summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SummaryEffect {
    /// It is older than the one known.
    Outdated,
    /// It was applied.
    Applied,
}

/// Last known values of one upstream.
#[derive(Debug, Clone, Copy)]
struct UpstreamEntry {
    sum: UpstreamSum,
    confirmed_at: Millis,
}

impl UpstreamEntry {
    fn in_progress(&self, now: Millis) -> f64 {
        let is_confirmed = now.since(self.confirmed_at) < IN_PROGRESS_TTL;
        if is_confirmed { f64::from(self.sum.in_progress) * IN_PROGRESS_UNIT } else { 0.0 }
    }

    /// Returns the speed, if it is known and not the usual one.
    fn speed(&self, now: Millis) -> Option<f64> {
        let is_known = self.sum.speed_percent != USUAL_SPEED_PERCENT
            && now.since(self.confirmed_at) < SPEED_TTL;
        is_known.then(|| f64::from(self.sum.speed_percent) / 100.0)
    }
}

/// Sum of one zone.
#[derive(Debug)]
struct ZoneLoad {
    zone: ZoneId,
    incarnation: u64,
    seq: u32,
    received_at: Millis,
    /// How long the sum counts after it was received.
    recent_for: Millis,
    hosts: u16,
    age_ms: u32,
    /// Sorted by token.
    upstreams: Vec<UpstreamEntry>,
    /// With the time when each was told, sorted by address.
    routes: Vec<(RouteReport, Millis)>,
}

impl ZoneLoad {
    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.received_at) < self.recent_for
    }

    fn upstream(&self, token: Token) -> Option<&UpstreamEntry> {
        let at = self.upstreams.binary_search_by_key(&token, |it| it.sum.token).ok()?;
        Some(&self.upstreams[at])
    }

    fn is_silent(&self, now: Millis) -> bool {
        now.since(self.received_at) >= SILENT_ZONE_TTL
    }

    fn route(&self, now: Millis, addr: ServiceAddr) -> Option<&RouteReport> {
        let at = self.routes.binary_search_by_key(&addr, |it| it.0.addr).ok()?;
        let (route, told_at) = &self.routes[at];
        (now.since(*told_at) < ROUTES_TTL && !self.is_silent(now)).then_some(route)
    }

    fn apply(&mut self, now: Millis, summary: &LoadSummary, recent_for: Millis) {
        if summary.incarnation != self.incarnation {
            // A term starts with all that its collector knows.
            self.upstreams.clear();
        }
        (self.incarnation, self.seq) = (summary.incarnation, summary.seq);
        (self.received_at, self.recent_for) = (now, recent_for);
        (self.hosts, self.age_ms) = (summary.hosts, summary.age_ms);
        for &sum in &summary.upstreams {
            let entry = UpstreamEntry { sum, confirmed_at: now };
            match self.upstreams.binary_search_by_key(&sum.token, |it| it.sum.token) {
                Ok(at) => self.upstreams[at] = entry,
                Err(at) => self.upstreams.insert(at, entry),
            }
        }
        let is_kept = |it: &UpstreamEntry| {
            let has_speed = it.sum.speed_percent != USUAL_SPEED_PERCENT;
            (it.sum.in_progress > 0 && now.since(it.confirmed_at) < IN_PROGRESS_TTL)
                || (has_speed && now.since(it.confirmed_at) < SPEED_TTL)
        };
        self.upstreams.retain(is_kept);
        merge_routes(&mut self.routes, now, &summary.routes);
    }
}

/// Requests in progress by upstream in a report of this host, in [`IN_PROGRESS_UNIT`], sorted.
type OwnReport = Vec<(Token, u16)>;

/// Load and speed of upstreams and rates of addresses, summed over the zones whose summaries are
/// recent.
#[derive(Debug, Default)]
pub(crate) struct SharedLoad {
    /// Zone of this host, once known.
    own_zone: Option<ZoneId>,
    /// Sorted by zone.
    zones: Vec<ZoneLoad>,
    /// Number of live hosts of each zone, sorted.
    zone_hosts: Vec<(ZoneId, usize)>,
    /// What this host has reported last.
    reported: OwnReport,
    /// What it had reported when the last summary of its zone came, which includes that.
    included: OwnReport,
}

impl SharedLoad {
    /// Returns what is known of the load of upstreams now.
    pub(crate) fn picture(&self, now: Millis) -> LoadPicture<'_> {
        let zone = |it| PictureZone {
            load: it,
            is_own: Some(it.zone) == self.own_zone,
            is_recent: self.counts(now, it),
            is_silent: it.is_silent(now),
        };
        LoadPicture { now, zones: self.zones.iter().map(zone).collect(), included: &self.included }
    }

    /// Returns the requests per second to an address over all hosts, or `None` while no recent summary
    /// tells of it.
    pub(crate) fn requests_per_s(&self, now: Millis, addr: ServiceAddr) -> Option<f64> {
        self.own_recent(now)?;
        let rates = self.recent(now).filter_map(|it| it.route(now, addr));
        rates.map(|it| f64::from(it.requests_per_s_tenths) / 10.0).reduce(|sum, it| sum + it)
    }

    /// Returns the usual time to an answer at an upstream without a queue, in milliseconds.
    pub(crate) fn service_time_ms(&self, now: Millis, addr: ServiceAddr) -> Option<f64> {
        let routes = self.zones.iter().filter_map(|it| it.route(now, addr));
        let us = mean_service_time_us(routes);
        (us > 0).then(|| f64::from(us) / 1_000.0)
    }

    /// Returns the number of hosts whose reports are included, at least this one.
    pub(crate) fn hosts(&self, now: Millis) -> usize {
        self.recent(now).map(|it| usize::from(it.hosts)).sum::<usize>().max(1)
    }

    /// Returns how old the reports are that the sum of this host's zone includes, or `None` while
    /// there is no recent one.
    pub(crate) fn age(&self, now: Millis) -> Option<Millis> {
        let own = self.own_recent(now)?;
        Some(now.since(own.received_at) + Millis(u64::from(own.age_ms)))
    }

    /// Sets the zone of this host.
    pub(crate) fn set_own_zone(&mut self, zone: ZoneId) {
        self.own_zone = Some(zone);
    }

    /// Returns the highest term of a collector of this zone that is known.
    pub(crate) fn incarnation(&self, zone: ZoneId) -> Option<u64> {
        self.zones.iter().find(|it| it.zone == zone).map(|it| it.incarnation)
    }

    /// Returns the last known values of a zone that is not silent.
    pub(crate) fn zone_upstreams(&self, now: Millis, zone: ZoneId) -> Vec<UpstreamSum> {
        let zone = self.zones.iter().find(|it| it.zone == zone && !it.is_silent(now));
        zone.map_or_else(Vec::new, |it| it.upstreams.iter().map(|it| it.sum).collect())
    }

    /// Returns the addresses whose rates are known, sorted.
    pub(crate) fn addresses(&self) -> Vec<ServiceAddr> {
        let routes = self.zones.iter().flat_map(|it| it.routes.iter().map(|it| it.0.addr));
        let mut addrs: Vec<ServiceAddr> = routes.collect();
        addrs.sort_unstable();
        addrs.dedup();
        addrs
    }

    /// Applies a summary that counts for `recent_for`.
    pub(crate) fn apply(
        &mut self,
        now: Millis,
        summary: &LoadSummary,
        recent_for: Millis,
    ) -> SummaryEffect {
        let at = match self.zones.binary_search_by_key(&summary.zone, |it| it.zone) {
            Ok(at) => {
                let known = &self.zones[at];
                // Once a sum no longer counts, that of a collector that has started again does.
                let is_older = (summary.incarnation, summary.seq) < (known.incarnation, known.seq);
                if is_older && known.is_recent(now) {
                    return SummaryEffect::Outdated;
                }
                at
            }
            Err(at) => {
                self.zones.insert(
                    at,
                    ZoneLoad {
                        zone: summary.zone,
                        incarnation: summary.incarnation,
                        seq: summary.seq,
                        received_at: now,
                        recent_for,
                        hosts: 0,
                        age_ms: 0,
                        upstreams: Vec::new(),
                        routes: Vec::new(),
                    },
                );
                at
            }
        };
        self.zones[at].apply(now, summary, recent_for);
        if self.own_zone == Some(summary.zone) {
            self.included.clone_from(&self.reported);
        }
        SummaryEffect::Applied
    }

    /// Records the report that this host sends to its collector.
    pub(crate) fn record_report(&mut self, parts: &[LoadReport]) {
        let rows = parts.iter().flat_map(|it| &it.upstreams);
        self.reported = rows.map(|it| (it.token, it.in_progress)).collect();
        self.reported.sort_unstable();
    }

    /// Sets the zones with their numbers of live hosts, sorted, and drops the sums of others.
    pub(crate) fn set_zones(&mut self, zones: Vec<(ZoneId, usize)>) {
        self.zones.retain(|it| zones.binary_search_by_key(&it.zone, |it| it.0).is_ok());
        self.zone_hosts = zones;
    }

    /// Returns all that is known of the other zones, in messages for a host that joins.
    pub(crate) fn other_zones(&self, now: Millis) -> Vec<LoadSummary> {
        let others = self.recent(now).filter(|it| Some(it.zone) != self.own_zone);
        others.flat_map(|it| split_summary(&it.summary(now))).collect()
    }

    fn own_recent(&self, now: Millis) -> Option<&ZoneLoad> {
        let own = self.own_zone?;
        self.recent(now).find(|it| it.zone == own)
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = &ZoneLoad> {
        self.zones.iter().filter(move |it| self.counts(now, it))
    }

    /// Returns `true` if the sum of a zone counts.
    fn counts(&self, now: Millis, it: &ZoneLoad) -> bool {
        it.is_recent(now) && self.is_of_most_hosts(it)
    }

    /// Returns `true` unless a sum is that of fewer than half of the hosts of its zone.
    fn is_of_most_hosts(&self, it: &ZoneLoad) -> bool {
        let known = self.zone_hosts.binary_search_by_key(&it.zone, |it| it.0);
        known.is_ok_and(|at| usize::from(it.hosts) * 2 >= self.zone_hosts[at].1)
    }
}

/// What is known of the load of upstreams at one time.
///
/// An opening looks up all upstreams of a service, so what is the same for all of them is found once.
#[derive(Debug)]
pub(crate) struct LoadPicture<'a> {
    now: Millis,
    zones: SmallVec<[PictureZone<'a>; 5]>,
    /// What the sum of this host's zone includes of its own requests.
    included: &'a [(Token, u16)],
}

/// One zone of a picture.
#[derive(Debug)]
struct PictureZone<'a> {
    load: &'a ZoneLoad,
    /// `true` for the zone of this host.
    is_own: bool,
    /// `true` if its requests in progress count.
    is_recent: bool,
    /// `true` if its speeds no longer count.
    is_silent: bool,
}

/// What is known of the load of one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct UpstreamLoad {
    /// Mean number of requests in progress over all hosts, or `None` while no recent summary tells.
    pub(crate) in_progress: Option<f64>,
    /// Speed relative to its service, 1 if nothing is known.
    pub(crate) speed: f64,
}

impl LoadPicture<'_> {
    /// Returns the load of an upstream.
    ///
    /// Of the `own` requests in progress through this host, those are added that the sums do not
    /// include yet.
    pub(crate) fn upstream(&self, token: Token, own: u32) -> UpstreamLoad {
        let (mut sum, mut own_zone_sum) = (0.0, None);
        let (mut speeds, mut speed_zones) = (0.0, 0.0);
        for zone in &self.zones {
            let entry = zone.load.upstream(token);
            if zone.is_recent {
                let in_progress = entry.map_or(0.0, |it| it.in_progress(self.now));
                sum += in_progress;
                if zone.is_own {
                    own_zone_sum = Some(in_progress);
                }
            }
            let speed = entry.filter(|_| !zone.is_silent).and_then(|it| it.speed(self.now));
            if let Some(it) = speed {
                speeds += it;
                speed_zones += 1.0;
            }
        }
        let in_progress = own_zone_sum.map(|own_zone_sum| {
            let included = self.included.binary_search_by_key(&token, |it| it.0);
            let included =
                included.map_or(0.0, |at| f64::from(self.included[at].1) * IN_PROGRESS_UNIT);
            sum + (f64::from(own) - included.min(own_zone_sum)).max(0.0)
        });
        let speed = if speed_zones > 0.0 { speeds / speed_zones } else { 1.0 };
        UpstreamLoad { in_progress, speed }
    }
}

impl ZoneLoad {
    fn summary(&self, now: Millis) -> LoadSummary {
        let waited = u32::try_from(now.since(self.received_at).0).unwrap_or(u32::MAX);
        LoadSummary {
            zone: self.zone,
            incarnation: self.incarnation,
            seq: self.seq,
            hosts: self.hosts,
            age_ms: self.age_ms.saturating_add(waited),
            upstreams: self.upstreams.iter().map(|it| it.sum).collect(),
            routes: fit_routes(
                self.routes.iter().map(|it| it.0).collect(),
                ByteBudget(MAX_ROUTE_BYTES),
            ),
        }
    }
}

/// Replaces the rates of the addresses that are told, and drops those that no longer count.
pub(crate) fn merge_routes(
    known: &mut Vec<(RouteReport, Millis)>,
    now: Millis,
    told: &[RouteReport],
) {
    for it in told {
        match known.binary_search_by_key(&it.addr, |it| it.0.addr) {
            Ok(at) => known[at] = (*it, now),
            Err(at) => known.insert(at, (*it, now)),
        }
    }
    known.retain(|it| now.since(it.1) < ROUTES_TTL);
}

/// Splits a summary into messages that fit into a datagram each; the first one has the routes.
pub(crate) fn split_summary(whole: &LoadSummary) -> Vec<LoadSummary> {
    let mut parts = Vec::new();
    let mut rest = whole.upstreams.as_slice();
    loop {
        let routes = if parts.is_empty() { whole.routes.clone() } else { Vec::new() };
        let used = if routes.is_empty() { 0 } else { MAX_ROUTE_BYTES };
        let mut left = ByteBudget(MAX_ROW_BYTES - used);
        let fitting = rest.iter().take_while(|it| it.take_room(&mut left)).count();
        let (upstreams, others) = rest.split_at(fitting);
        parts.push(LoadSummary { upstreams: upstreams.to_vec(), routes, ..*whole });
        rest = others;
        if rest.is_empty() {
            return parts;
        }
    }
}

/// Returns the mean time without a queue weighted by the rate, in microseconds; zero if unknown.
pub(crate) fn mean_service_time_us<'a>(routes: impl Iterator<Item = &'a RouteReport>) -> u32 {
    let known = routes.filter(|it| it.service_time_us > 0);
    let (sum, weight) = known.fold((0.0, 0.0), |(sum, weight), it| {
        let rate = f64::from(it.requests_per_s_tenths.max(1));
        (sum + rate * f64::from(it.service_time_us), weight + rate)
    });
    if weight > 0.0 { (sum / weight) as u32 } else { 0 }
}
