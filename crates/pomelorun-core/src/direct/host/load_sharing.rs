//! Sharing of load between hosts: reports to the zone's collector, and summaries from it.
//!
//! Answers the load of a shortage, in which a host must know of an upstream more than the small
//! part of its requests that pass here. The collector of a zone is the live host that ranks first by
//! rendezvous hashing, so that hosts agree on it without messages.

use pomelorun_wire::{HostId, ZoneId};

use crate::{
    direct::{
        event::{DirectEvent, ImplausibleLoad},
        host::DirectHost,
        load_collector::{LoadCollector, SummaryScope, UpstreamHint},
        load_report::{IN_PROGRESS_UNIT, LoadReport, LoadSummary, MAX_SPEED_SAMPLES},
        load_sampler::LoadSampler,
        mechanism::Mechanism,
        overdue_requests::OverdueRequests,
        registry::{Upstream, UpstreamIx},
        segment::Segment,
        shared_load::{
            LoadPicture, SharedLoad, SummaryEffect, UpstreamLoad, recent_for, split_summary,
        },
        token::Token,
        upstream_speed::AnswerSample,
    },
    selection::rendezvous_score,
    time::Millis,
};

/// Shortest time between two reports.
const MIN_INTERVAL: Millis = Millis(500);
/// Longest time between two reports.
const MAX_INTERVAL: Millis = Millis(3_000);
/// Time between two reports per host of a zone, so that its collector gets at most 100 a second.
const INTERVAL_PER_HOST: Millis = Millis(10);
/// Time after which a host that ranks first and knows no other one serves as the collector.
const TAKE_OVER_DELAY: Millis = Millis(2_000);
/// Salt that makes the ranking of collectors independent of other rankings.
const COLLECTOR_SALT: u64 = 0x6c6f_6164;
/// Most requests in progress per slot of an upstream that one host can have seen.
const MAX_IN_PROGRESS_PER_SLOT: f64 = 64.0;
/// Most hosts of a zone; not those that this host knows, which may be few while it joins.
const MAX_ZONE_HOSTS: usize = 4_096;
/// Highest rate of one address, in tenths of a request per second.
const MAX_RATE_TENTHS: u32 = 100_000_000;
/// Least and largest mean logarithm of a relative time, in thousandths: those of one answer.
const SLOWNESS_BOUNDS_MILLI: (i64, i64) = (-1_800, 2_500);
/// Least and largest speed, in percent.
const SPEED_BOUNDS_PERCENT: (u16, u16) = (10, 400);
/// Longest interval and age in a message, in milliseconds.
const MAX_AGE_MS: u32 = 60_000;
/// Least time between two events about messages that were not believed.
const REJECTION_EVENT_INTERVAL: Millis = Millis(1_000);
/// A message about load to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadMessage {
    /// To the collector of this zone.
    Report(LoadReport),
    /// To a host of this zone or to the collector of another one.
    Summary(LoadSummary),
}

/// State of the sharing of load.
#[derive(Debug, Default)]
pub(super) struct LoadSharing {
    /// All live hosts, sorted; empty until they are known.
    hosts: Vec<(ZoneId, HostId)>,
    /// Collector of each zone, sorted by zone.
    collectors: Vec<(ZoneId, HostId)>,
    /// When the load was last recorded.
    last_tick: Option<Millis>,
    /// Since when this host ranks first in its zone and has not paused.
    ranks_first_since: Option<Millis>,
    /// `true` once the first report and summary are scheduled.
    has_started: bool,
    sampler: LoadSampler,
    overdue: OverdueRequests,
    collector: LoadCollector,
    /// `true` while this host sends the summaries of its zone.
    is_serving: bool,
    /// Hosts of this zone that have joined since the last summary.
    joined: Vec<HostId>,
    next_report: Millis,
    next_summary: Millis,
    out: Vec<(HostId, LoadMessage)>,
    last_rejection_event: Option<Millis>,
}

impl LoadSharing {
    fn collector_of(&self, zone: ZoneId) -> Option<HostId> {
        let at = self.collectors.binary_search_by_key(&zone, |it| it.0).ok()?;
        Some(self.collectors[at].1)
    }

    fn hosts_in(&self, zone: ZoneId) -> &[(ZoneId, HostId)] {
        let start = self.hosts.partition_point(|it| it.0 < zone);
        let len = self.hosts[start..].iter().take_while(|it| it.0 == zone).count();
        &self.hosts[start..start + len]
    }

    /// Returns the number of hosts of each zone, sorted.
    fn zone_hosts(&self) -> Vec<(ZoneId, usize)> {
        self.collectors.iter().map(|it| (it.0, self.hosts_in(it.0).len())).collect()
    }

    fn is_in(&self, zone: ZoneId, host: HostId) -> bool {
        self.hosts.binary_search(&(zone, host)).is_ok()
    }

    fn interval(&self, zone: ZoneId) -> Millis {
        let hosts = self.hosts_in(zone).len() as u64;
        Millis((INTERVAL_PER_HOST.0 * hosts).clamp(MIN_INTERVAL.0, MAX_INTERVAL.0))
    }
}

impl DirectHost {
    /// Sets all live hosts with their zones, among which the collectors are chosen.
    pub fn set_hosts_by_zone(&mut self, mut hosts: Vec<(ZoneId, HostId)>) {
        hosts.push((self.cfg.zone, self.cfg.host));
        hosts.sort_unstable();
        hosts.dedup();
        let me = self.cfg.host;
        let sharing = &mut self.load_sharing;
        if sharing.is_serving {
            let own = hosts.iter().filter(|it| it.0 == self.cfg.zone && it.1 != me);
            let joined = own.filter(|it| sharing.hosts.binary_search(it).is_err());
            sharing.joined.extend(joined.map(|it| it.1));
        }
        let rank = |it: &&(ZoneId, HostId)| (rendezvous_score(it.1.0, COLLECTOR_SALT), it.1);
        let zones = hosts.chunk_by(|a, b| a.0 == b.0);
        sharing.collectors =
            zones.filter_map(|zone| zone.iter().max_by_key(rank).copied()).collect();
        sharing.hosts = hosts;
        self.shared_load.set_zones(sharing.zone_hosts());
        self.shared_load.set_own_zone(self.cfg.zone);
    }

    /// Returns the number of hosts whose load is known, zero without a recent summary of this zone.
    pub fn load_hosts(&self, now: Millis) -> usize {
        if self.shared_load.age(now).is_some() { self.shared_load.hosts(now) } else { 0 }
    }

    /// Takes the messages about load to send, each with its recipient.
    pub fn take_load_messages(&mut self) -> Vec<(HostId, LoadMessage)> {
        std::mem::take(&mut self.load_sharing.out)
    }

    /// Applies the load report of another host of this zone.
    pub fn apply_load_report(&mut self, now: Millis, from: HostId, report: &LoadReport) {
        // A host that this one does not know yet reports again.
        if !self.shares_load() || !self.load_sharing.is_in(self.cfg.zone, from) {
            return;
        }
        match self.check_report(report) {
            Ok(()) => {
                let is_known = |token| self.registry.by_token(token).is_some();
                self.load_sharing.collector.apply(now, from, report, is_known);
            }
            Err(why) => self.reject_load(now, from, why),
        }
    }

    /// Applies the load summary of a zone's collector.
    pub fn apply_load_summary(&mut self, now: Millis, from: HostId, summary: &LoadSummary) {
        let zone = self.cfg.zone;
        let sharing = &self.load_sharing;
        let from_collector = sharing.is_in(summary.zone, from);
        if !self.shares_load() || !(from_collector || sharing.is_in(zone, from)) {
            return;
        }
        if let Err(why) = self.check_summary(summary) {
            self.reject_load(now, from, why);
            return;
        }
        let recent = recent_for(sharing.interval(summary.zone));
        if Millis(u64::from(summary.age_ms)) >= recent + MIN_INTERVAL
            || self.shared_load.apply(now, summary, recent) == SummaryEffect::Outdated
        {
            return;
        }
        if from_collector && summary.zone != zone && self.load_sharing.is_serving {
            self.send_to_zone(summary);
        }
    }

    /// Records the load at each tick, and queues reports and summaries that are due.
    pub(super) fn share_load(&mut self, now: Millis) {
        if !self.is_enabled(Mechanism::SharedLoad) {
            self.stop_sharing();
            return;
        }
        if !self.shares_load() {
            return;
        }
        let (me, zone) = (self.cfg.host, self.cfg.zone);
        self.sample_load(now);
        let sharing = &mut self.load_sharing;
        let interval = sharing.interval(zone);
        let collector = sharing.collector_of(zone);
        let last_tick = sharing.last_tick.replace(now).unwrap_or(now);
        if now.since(last_tick) + interval >= recent_for(interval) {
            // Most reports are too old, and others may have taken over.
            sharing.is_serving = false;
            sharing.ranks_first_since = None;
        }
        if !std::mem::replace(&mut sharing.has_started, true) {
            // Hosts that start together do not report together.
            let phase = |salt: u64| Millis(rendezvous_score(me.0, salt) % interval.0);
            sharing.next_report = now + phase(COLLECTOR_SALT);
            sharing.next_summary = now + phase(!COLLECTOR_SALT);
        }
        if now >= sharing.next_report {
            sharing.next_report = next_due(now, sharing.next_report, interval);
            self.report_load(now, interval, collector);
        }
        if collector != Some(me) {
            self.load_sharing.is_serving = false;
            self.load_sharing.ranks_first_since = None;
            self.load_sharing.collector.clear();
            return;
        }
        let since = *self.load_sharing.ranks_first_since.get_or_insert(now);
        if now >= self.load_sharing.next_summary {
            self.load_sharing.next_summary =
                next_due(now, self.load_sharing.next_summary, interval);
            self.summarize_load(now, interval, since);
        }
    }

    /// Records that a request was forwarded to an upstream.
    pub(super) fn count_request(&mut self, now: Millis, ix: UpstreamIx, seg: &Segment) {
        if !self.shares_load() {
            return;
        }
        let addr = seg.flow.service;
        self.load_sharing.sampler.count_request(ix, addr);
        if let Some(it) = self.routing.route(addr) {
            self.load_sharing.overdue.watch(now, it.class.timeout, ix, seg.flow);
        }
    }

    /// Returns what is known of the load of an upstream, by a picture of all of them.
    pub(super) fn upstream_load(
        &self,
        picture: &LoadPicture<'_>,
        ix: UpstreamIx,
        it: &Upstream,
    ) -> UpstreamLoad {
        let load = picture.upstream(it.token, self.own_in_progress(ix));
        let in_progress = load.in_progress.filter(|_| self.is_enabled(Mechanism::SharedLoad));
        UpstreamLoad { in_progress, ..load }
    }

    /// Returns the number of requests in progress at an upstream through this host.
    fn own_in_progress(&self, ix: UpstreamIx) -> u32 {
        self.upstream_states.get(ix.0 as usize).map_or(0, |it| it.load.in_progress())
    }

    /// Records how long an upstream took to answer a request.
    pub(super) fn record_answer_time(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        sample: &AnswerSample,
    ) {
        let slowness = self.service_times.record(now, sample);
        if let Some(slowness) = slowness.filter(|_| self.shares_load()) {
            self.load_sharing.sampler.record_speed(ix, slowness);
        }
    }

    fn shares_load(&self) -> bool {
        !self.load_sharing.hosts.is_empty() && self.is_enabled(Mechanism::SharedLoad)
    }

    fn stop_sharing(&mut self) {
        let hosts = std::mem::take(&mut self.load_sharing.hosts);
        let collectors = std::mem::take(&mut self.load_sharing.collectors);
        self.load_sharing = LoadSharing { hosts, collectors, ..LoadSharing::default() };
        self.shared_load = SharedLoad::default();
        self.shared_load.set_own_zone(self.cfg.zone);
        self.shared_load.set_zones(self.load_sharing.zone_hosts());
    }

    fn sample_load(&mut self, now: Millis) {
        let (flows, states) = (&mut self.flows, &mut self.upstream_states);
        let LoadSharing { sampler, overdue, .. } = &mut self.load_sharing;
        overdue.expire(now, |it| {
            let flow = flows.get_mut(&it.flow);
            let flow = flow.filter(|flow| flow.established && flow.upstream() == it.ix);
            let waiting = flow.filter(|flow| flow.unanswered_since == Some(it.sent_at));
            if let Some(flow) = waiting.filter(|flow| !flow.overdue) {
                flow.overdue = true;
                states[it.ix.0 as usize].load.overdue += 1;
            }
        });
        sampler.sample(now, |ix| states.get(ix.0 as usize).map_or(0, |it| it.load.in_progress()));
    }

    fn report_load(&mut self, now: Millis, interval: Millis, collector: Option<HostId>) {
        let (registry, service_times) = (&self.registry, &self.service_times);
        let parts = self.load_sharing.sampler.take_report(
            now,
            interval,
            |ix| registry.get(ix).map(|it| it.token),
            |addr| service_times.get(addr),
        );
        let Some(collector) = collector else { return };
        self.shared_load.record_report(&parts);
        for it in parts {
            if collector == self.cfg.host {
                self.load_sharing.collector.apply(now, collector, &it, |_| true);
            } else {
                self.load_sharing.out.push((collector, LoadMessage::Report(it)));
            }
        }
    }

    fn summarize_load(&mut self, now: Millis, interval: Millis, ranks_first_since: Millis) {
        let (zone, recent) = (self.cfg.zone, recent_for(interval));
        let sharing = &mut self.load_sharing;
        let zone_hosts = sharing.hosts_in(zone).len();
        let heard = sharing.collector.recent_hosts(now, recent);
        let is_due = match sharing.hosts.len() {
            // Has probably just started.
            1 => now.since(ranks_first_since) >= TAKE_OVER_DELAY,
            // All may report within an interval.
            _ => heard >= zone_hosts || now.since(ranks_first_since) >= interval,
        };
        if heard * 2 <= zone_hosts || !sharing.is_serving && !is_due {
            sharing.is_serving = false;
            return;
        }
        let known = self.shared_load.incarnation(zone);
        let term = sharing.collector.incarnation();
        let starts = !sharing.is_serving || known.is_some_and(|it| it > term);
        if starts {
            // Above that of any predecessor, so that its sum is replaced and not added to.
            let next = known.unwrap_or(0).max(term).saturating_add(1).max(now.0);
            sharing.collector.start_term(now, next, &self.shared_load.zone_upstreams(now, zone));
            sharing.is_serving = true;
            sharing.joined.clear();
        }
        let scope =
            SummaryScope { zone, zones: sharing.collectors.len(), interval, recent_for: recent };
        let (registry, picture) = (&self.registry, self.shared_load.picture(now));
        let summary = sharing.collector.summarize(now, scope, |token| {
            let upstream = registry.by_token(token).and_then(|it| registry.get(it));
            UpstreamHint {
                slots: upstream.map_or(1, |it| it.announcement.slots),
                in_progress: picture.upstream(token, 0).in_progress.unwrap_or(0.0),
            }
        });
        drop(picture);
        let messages = if starts {
            split_summary(&sharing.collector.full_summary(now, scope))
        } else {
            vec![summary]
        };
        self.send_to_joined(now, scope);
        for it in &messages {
            self.shared_load.apply(now, it, recent);
            self.send_to_zone(it);
            let sharing = &mut self.load_sharing;
            let others = sharing.collectors.iter().filter(|it| it.0 != zone);
            let messages = others.map(|to| (to.1, LoadMessage::Summary(it.clone())));
            sharing.out.extend(messages);
        }
    }

    fn send_to_zone(&mut self, summary: &LoadSummary) {
        let me = self.cfg.host;
        let peers: Vec<HostId> =
            self.load_sharing.hosts_in(self.cfg.zone).iter().map(|it| it.1).collect();
        let messages = peers.into_iter().filter(|it| *it != me);
        let messages = messages.map(|it| (it, LoadMessage::Summary(summary.clone())));
        self.load_sharing.out.extend(messages);
    }

    /// Sends the whole picture to the hosts that have joined.
    fn send_to_joined(&mut self, now: Millis, scope: SummaryScope) {
        let sharing = &mut self.load_sharing;
        for to in std::mem::take(&mut sharing.joined) {
            let own = split_summary(&sharing.collector.full_summary(now, scope));
            let parts = own.into_iter().chain(self.shared_load.other_zones(now));
            sharing.out.extend(parts.map(|it| (to, LoadMessage::Summary(it))));
        }
    }

    fn check_report(&self, report: &LoadReport) -> Result<(), ImplausibleLoad> {
        if report.interval_ms > MAX_AGE_MS {
            return Err(ImplausibleLoad::Time);
        }
        if let Some(token) = repeated(report.upstreams.iter().map(|it| it.token)) {
            return Err(ImplausibleLoad::Repeated { token });
        }
        for it in &report.upstreams {
            if f64::from(it.in_progress) * IN_PROGRESS_UNIT > self.max_in_progress(it.token) {
                return Err(ImplausibleLoad::InProgress { token: it.token });
            }
            let (slowness, count) = (i64::from(it.slowness_milli), i64::from(it.speed_samples));
            let (least, most) = SLOWNESS_BOUNDS_MILLI;
            let is_possible = (least * count..=most * count).contains(&slowness);
            if !is_possible || it.speed_samples > MAX_SPEED_SAMPLES {
                return Err(ImplausibleLoad::Speed { token: it.token });
            }
        }
        let is_possible = |rate: u32| rate <= MAX_RATE_TENTHS;
        let is_possible = report.routes.iter().all(|it| is_possible(it.requests_per_s_tenths));
        if is_possible { Ok(()) } else { Err(ImplausibleLoad::Rate) }
    }

    fn check_summary(&self, summary: &LoadSummary) -> Result<(), ImplausibleLoad> {
        let hosts = usize::from(summary.hosts);
        if hosts > MAX_ZONE_HOSTS {
            return Err(ImplausibleLoad::Hosts);
        }
        if summary.age_ms > MAX_AGE_MS {
            return Err(ImplausibleLoad::Time);
        }
        if let Some(token) = repeated(summary.upstreams.iter().map(|it| it.token)) {
            return Err(ImplausibleLoad::Repeated { token });
        }
        for it in &summary.upstreams {
            let most = self.max_in_progress(it.token) * hosts.max(1) as f64;
            if f64::from(it.in_progress) * IN_PROGRESS_UNIT > most {
                return Err(ImplausibleLoad::InProgress { token: it.token });
            }
            let (least, most) = SPEED_BOUNDS_PERCENT;
            if !(least..=most).contains(&it.speed_percent) {
                return Err(ImplausibleLoad::Speed { token: it.token });
            }
        }
        let most = u64::from(MAX_RATE_TENTHS) * hosts.max(1) as u64;
        let is_possible =
            summary.routes.iter().all(|it| u64::from(it.requests_per_s_tenths) <= most);
        if is_possible { Ok(()) } else { Err(ImplausibleLoad::Rate) }
    }

    /// Returns the most requests in progress that one host can have seen at an upstream; infinity if
    /// this host does not know the upstream yet.
    fn max_in_progress(&self, token: Token) -> f64 {
        let upstream = self.registry.by_token(token).and_then(|it| self.registry.get(it));
        upstream.map_or(f64::INFINITY, |it| {
            f64::from(it.announcement.slots.max(1)) * MAX_IN_PROGRESS_PER_SLOT
        })
    }

    fn reject_load(&mut self, now: Millis, from: HostId, why: ImplausibleLoad) {
        self.stats.load_rejected += 1;
        let last = &mut self.load_sharing.last_rejection_event;
        if last.is_none_or(|it| now.since(it) >= REJECTION_EVENT_INTERVAL) {
            *last = Some(now);
            self.emit(DirectEvent::LoadRejected { from, why });
        }
    }
}

/// Returns a token that occurs twice.
fn repeated(tokens: impl Iterator<Item = Token>) -> Option<Token> {
    let mut tokens: Vec<Token> = tokens.collect();
    tokens.sort_unstable();
    tokens.windows(2).find(|it| it[0] == it[1]).map(|it| it[0])
}

/// Returns when something that was due is due again; not several times at once after a pause.
fn next_due(now: Millis, due: Millis, interval: Millis) -> Millis {
    let next = due + interval;
    if next > now { next } else { now + interval }
}
