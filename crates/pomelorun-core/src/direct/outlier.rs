//! Outlier detection: upstreams that fail requests while they accept flows and look healthy.
//!
//! A host cannot read answers, but a caller's packets say how many bytes of one have come. An answer
//! too short to hold more than a status line and headers, or none in time, counts as failed where
//! most answers of the same route are not like that. One flow is never evidence: it counts as failed
//! once, so that a caller whose own requests are at fault brings no upstream down.
//!
//! Each host sees few requests of each upstream. The hosts of a zone therefore report failures to one
//! of them, by rendezvous, which compares what failed with what would have at an upstream like the
//! others. An ejected upstream keeps its flows and gets new ones only when the others are nearly full;
//! after the ejection its share grows back.

use pomelorun_wire::ServiceAddr;
use serde::{Deserialize, Serialize};

use crate::{
    direct::{decaying_sum::DecayingSum, routing::Routing},
    time::Millis,
};

/// Time after which a request without an answer counts as failed: a little more than the shortest
/// response-time goal on the users' sheets, 400 ms.
pub(crate) const ANSWER_TIMEOUT: Millis = Millis(500);
/// Bytes up to which an answer counts as short: a status line and usual headers without content.
const MAX_SHORT_ANSWER_BYTES: u32 = 512;
/// Share of a route's answers that fail in some way from which on that says nothing of an upstream.
const MAX_ROUTE_FAILURE_SHARE: f64 = 1.0 / 3.0;
/// Answers of a route that must be known before one of them can count.
const MIN_ROUTE_ANSWERS: f64 = 5.0;
/// Time after which an answer counts half, for its upstream. Failures shorter than this are over
/// before callers gain from an ejection.
const UPSTREAM_HALF_LIFE_MS: f64 = 3_000.0;
/// The same for its route, on which a host may see one request a second.
const ROUTE_HALF_LIFE_MS: f64 = 15_000.0;
/// Failed flows below which nothing follows: two may be chance.
const MIN_FAILED_FLOWS: f64 = 3.0;
/// The same while an upstream is coming back.
const MIN_FAILED_FLOWS_RECOVERING: f64 = 2.0;
/// Share of failed requests below which an upstream serves callers better than a fuller one.
const MIN_FAILED_SHARE: f64 = 0.15;
/// How many times more must fail than at an upstream like the others, and how many standard
/// deviations of that number on top: many upstreams are judged many times, and none by chance.
const MIN_FAILURE_RATIO: f64 = 2.0;
const MIN_DEVIATIONS: f64 = 3.0;
/// First ejection, doubled each time up to the longest. Faults that last some seconds are common; a
/// wrong ejection costs little for that time.
const EJECTION_BACKOFF_MIN: Millis = Millis(6_000);
const EJECTION_BACKOFF_MAX: Millis = Millis(60_000);
/// Time without an ejection after which the next one is a first one again.
const EJECTION_RESET_INTERVAL: Millis = Millis(60_000);
/// Time in which the share of an upstream grows back.
const RECOVERY_RAMP: Millis = Millis(4_000);
/// Load that an ejected upstream seems to have on top, in waiting requests a slot: upstreams hold
/// some five before they refuse, so it is used when the others are nearly full.
const EJECTION_PENALTY: f64 = 4.0;
/// Time between two reports, and failures of how many upstreams one may name. With 50 bytes each
/// that is at most a kilobyte and a half a second.
pub(crate) const REPORT_INTERVAL: Millis = Millis(250);
pub(crate) const MAX_REPORTED_UPSTREAMS: usize = 8;

/// How a request ended, as far as a caller's packets show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    /// So many bytes came.
    Bytes(u32),
    /// None came in time.
    Missing,
}

/// Answers on one route, at all upstreams.
#[derive(Debug, Clone, Copy, Default)]
struct RouteAnswers {
    total: DecayingSum,
    short: DecayingSum,
    missing: DecayingSum,
}

/// What an answer says of its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Assessment {
    /// Nothing: its route is too little known, or most of its answers are like that.
    Inconclusive,
    /// It is as it should be, or not.
    Judged {
        /// It failed.
        failed: bool,
        /// Share of the route's answers that fail.
        failure_share: f64,
    },
}

/// Answers by route, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct AnswersByRoute(Vec<(ServiceAddr, RouteAnswers)>);

impl AnswersByRoute {
    /// Forgets addresses that the revision in force has no route for.
    pub(crate) fn retain(&mut self, routing: &Routing) {
        self.0.retain(|it| routing.route(it.0).is_some());
    }

    /// Notes an answer and tells what it says.
    pub(crate) fn assess(&mut self, now: Millis, route: ServiceAddr, answer: Answer) -> Assessment {
        let at = match self.0.binary_search_by_key(&route, |it| it.0) {
            Ok(at) => at,
            Err(at) => {
                self.0.insert(at, (route, RouteAnswers::default()));
                at
            }
        };
        let it = &mut self.0[at].1;
        let short = matches!(answer, Answer::Bytes(bytes) if bytes <= MAX_SHORT_ANSWER_BYTES);
        let missing = answer == Answer::Missing;
        it.total.add(now, ROUTE_HALF_LIFE_MS, 1.0);
        it.short.add(now, ROUTE_HALF_LIFE_MS, f64::from(u8::from(short)));
        it.missing.add(now, ROUTE_HALF_LIFE_MS, f64::from(u8::from(missing)));
        let total = it.total.value_at(now, ROUTE_HALF_LIFE_MS);
        if total < MIN_ROUTE_ANSWERS {
            return Assessment::Inconclusive;
        }
        let (short_share, missing_share) = (
            it.short.value_at(now, ROUTE_HALF_LIFE_MS) / total,
            it.missing.value_at(now, ROUTE_HALF_LIFE_MS) / total,
        );
        if short && short_share >= MAX_ROUTE_FAILURE_SHARE
            || missing && missing_share >= MAX_ROUTE_FAILURE_SHARE
        {
            return Assessment::Inconclusive;
        }
        let failure_share = [short_share, missing_share]
            .into_iter()
            .filter(|it| *it < MAX_ROUTE_FAILURE_SHARE)
            .sum();
        Assessment::Judged { failed: short || missing, failure_share }
    }
}

/// Answers of one upstream that are not reported yet. Those that did not fail fade until a failure is
/// reported with them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PendingReport {
    failed: u16,
    total: DecayingSum,
    expected: DecayingSum,
}

impl PendingReport {
    /// Counts a judged answer.
    pub(crate) fn add(&mut self, now: Millis, failed: bool, failure_share: f64) {
        self.total.add(now, UPSTREAM_HALF_LIFE_MS, 1.0);
        self.failed = self.failed.saturating_add(u16::from(failed));
        self.expected.add(now, UPSTREAM_HALF_LIFE_MS, failure_share);
    }

    /// Takes what is to be reported: nothing where nothing failed.
    pub(crate) fn take(&mut self, now: Millis, id: u64, started_at: u64) -> Option<FailureReport> {
        if self.failed == 0 {
            return None;
        }
        let it = std::mem::take(self);
        let hundredths = |it: f64| (it * 100.0).min(f64::from(u32::MAX)) as u32;
        Some(FailureReport {
            id,
            started_at,
            failed: it.failed,
            total_pct: hundredths(it.total.value_at(now, UPSTREAM_HALF_LIFE_MS)),
            expected_pct: hundredths(it.expected.value_at(now, UPSTREAM_HALF_LIFE_MS)),
        })
    }
}

/// What a host has seen of an upstream since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FailureReport {
    /// The upstream's identifier.
    pub id: u64,
    /// Its start, as it says itself.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Requests that failed.
    pub failed: u16,
    /// Requests that were answered or failed, in hundredths; the older ones count less.
    pub total_pct: u32,
    /// Requests that would have failed at an upstream like the others, in hundredths.
    pub expected_pct: u32,
}

/// An ejection.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Millis,
    count: u32,
}

/// What one host knows of the failures of an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OutlierState {
    failed: DecayingSum,
    total: DecayingSum,
    expected: DecayingSum,
    ejection: Option<Ejection>,
}

/// An upstream is to be ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EjectDecision {
    /// For how long.
    pub(crate) duration: Millis,
    /// Requests that failed lately.
    pub(crate) failed: f64,
    /// Requests that were answered or failed lately.
    pub(crate) total: f64,
}

impl OutlierState {
    /// Takes in a report; tells whether to eject the upstream.
    pub(crate) fn record_report(
        &mut self,
        now: Millis,
        it: &FailureReport,
    ) -> Option<EjectDecision> {
        self.failed.add(now, UPSTREAM_HALF_LIFE_MS, f64::from(it.failed));
        self.total.add(now, UPSTREAM_HALF_LIFE_MS, f64::from(it.total_pct) / 100.0);
        self.expected.add(now, UPSTREAM_HALF_LIFE_MS, f64::from(it.expected_pct) / 100.0);
        let (failed, total) = (
            self.failed.value_at(now, UPSTREAM_HALF_LIFE_MS),
            self.total.value_at(now, UPSTREAM_HALF_LIFE_MS),
        );
        let (min_failed, count) = match self.ejection {
            Some(it) if now < it.until => return None,
            Some(it) if now < it.until + RECOVERY_RAMP => (MIN_FAILED_FLOWS_RECOVERING, it.count),
            Some(it) if now < it.until + EJECTION_RESET_INTERVAL => (MIN_FAILED_FLOWS, it.count),
            _ => (MIN_FAILED_FLOWS, 0),
        };
        let expected = self.expected.value_at(now, UPSTREAM_HALF_LIFE_MS);
        // The number of failures at an upstream like the others is near a Poisson one.
        let threshold = expected * MIN_FAILURE_RATIO + expected.sqrt() * MIN_DEVIATIONS;
        if failed < min_failed || failed < total * MIN_FAILED_SHARE || failed < threshold {
            return None;
        }
        let duration = Millis((EJECTION_BACKOFF_MIN.0 << count.min(8)).min(EJECTION_BACKOFF_MAX.0));
        self.ejection = Some(Ejection { until: now + duration, count: count + 1 });
        Some(EjectDecision { duration, failed, total })
    }

    /// Ejects the upstream, as another host has decided.
    pub(crate) fn record_ejection(&mut self, now: Millis, duration: Millis) {
        let count = self.ejection.map_or(0, |it| it.count);
        self.ejection = Some(Ejection { until: now + duration, count });
    }

    /// Tells whether the upstream is ejected.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        self.ejection.is_some_and(|it| now < it.until)
    }

    /// Load that the upstream seems to have on top, in waiting requests a slot.
    pub(crate) fn penalty(&self, now: Millis) -> f64 {
        let Some(it) = self.ejection else { return 0.0 };
        if now < it.until {
            return EJECTION_PENALTY;
        }
        let recovered = now.since(it.until).0 as f64 / RECOVERY_RAMP.0 as f64;
        EJECTION_PENALTY * (1.0 - recovered).max(0.0)
    }
}
