//! Outlier detection: ejects upstreams that fail requests while they accept flows and look healthy.
//!
//! A host does not see responses, but callers' packets acknowledge how many bytes of a response
//! have arrived. A response that is too short to hold more than a status line and headers, or that
//! does not arrive in time, counts as failed unless that is usual on its route. Each flow counts as
//! failed at most once, so that a caller with faulty requests cannot get an upstream ejected.
//!
//! Each host sees few requests of each upstream. The hosts of a zone therefore report failures to
//! one of them, selected per upstream by rendezvous hashing, which compares the number of failures
//! with the number expected at an average upstream. An ejected upstream keeps its flows and gets
//! new ones only when the other upstreams are nearly full. After the ejection, its share of new
//! flows grows back gradually.

use pomelorun_wire::ServiceAddr;
use serde::{Deserialize, Serialize};

use crate::{
    direct::{decaying_sum::DecayingSum, routing::Routing},
    time::Millis,
};

/// Time after which a request without a response counts as failed: slightly more than the shortest
/// response-time goal that users have, 400 ms.
pub(crate) const ANSWER_TIMEOUT: Millis = Millis(500);
/// Maximum length of a response that counts as short: a status line and usual headers, no content.
const MAX_SHORT_ANSWER_BYTES: u32 = 512;
/// Share of a route's responses that are short, or missing, from which on such responses are usual
/// for the route and do not count as failures of an upstream.
const MAX_ROUTE_FAILURE_SHARE: f64 = 1.0 / 3.0;
/// Minimum number of recent responses on a route for a response to be assessed.
const MIN_ROUTE_ANSWERS: f64 = 5.0;
/// Half-life of a response in the counts of its upstream. Faults shorter than this end before an
/// ejection would help callers.
const UPSTREAM_HALF_LIFE_MS: f64 = 3_000.0;
/// Half-life of a response in the counts of its route, on which a host may see one request a
/// second.
const ROUTE_HALF_LIFE_MS: f64 = 15_000.0;
/// Minimum number of failed flows for an ejection; two can be chance.
const MIN_FAILED_FLOWS: f64 = 3.0;
/// Minimum number of failed flows while an upstream's share grows back after an ejection.
const MIN_FAILED_FLOWS_RECOVERING: f64 = 2.0;
/// Minimum share of failed requests for an ejection. Below it, an upstream serves callers better
/// than a more heavily loaded one would.
const MIN_FAILED_SHARE: f64 = 0.15;
/// Minimum ratio of failures to the number expected at an average upstream.
const MIN_FAILURE_RATIO: f64 = 2.0;
/// Maximum probability that an average upstream has as many failures by chance. Many upstreams are
/// assessed many times, so likelier numbers occur.
const MAX_CHANCE: f64 = 1e-4;
/// Length of the first ejection; each further one is twice as long, up to the maximum. Faults of a
/// few seconds are common, and a false ejection of that length costs little.
const EJECTION_BACKOFF_MIN: Millis = Millis(6_000);
/// Maximum length of an ejection.
const EJECTION_BACKOFF_MAX: Millis = Millis(60_000);
/// Time after the end of an ejection at which the backoff starts over.
const EJECTION_BACKOFF_RESET: Millis = Millis(60_000);
/// Time within which an upstream's share of new flows grows back after an ejection.
const RECOVERY_RAMP: Millis = Millis(4_000);
/// Score penalty of an ejected upstream, in waiting requests per slot. Upstreams hold about five
/// per slot before they refuse requests, so an ejected one is used when the others are nearly full.
const EJECTION_PENALTY: f64 = 4.0;
/// Time between two rounds of reports.
pub(crate) const REPORT_INTERVAL: Millis = Millis(250);
/// Maximum number of upstreams reported per round. At 50 bytes each, the reports take at most 1.5
/// KB a second.
pub(crate) const MAX_REPORTED_UPSTREAMS: usize = 8;

/// Response to a request, as far as the caller's packets show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    /// Number of bytes that the caller acknowledged.
    Bytes(u32),
    /// No response in time.
    Missing,
}

/// Recent responses of all upstreams on one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteAnswers {
    total: DecayingSum,
    short: DecayingSum,
    missing: DecayingSum,
}

/// What a response shows about its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Assessment {
    /// Nothing, because the route has too few responses or such responses are usual on it.
    Inconclusive,
    /// The request succeeded or failed.
    Conclusive {
        /// `true` if the request failed.
        failed: bool,
        /// Share of the route's responses that count as failed.
        failure_share: f64,
    },
}

/// Recent responses per route, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct AnswersByRoute(Vec<(ServiceAddr, RouteAnswers)>);

impl AnswersByRoute {
    /// Removes the addresses without a route in the active revision.
    pub(crate) fn retain(&mut self, routing: &Routing) {
        self.0.retain(|it| routing.route(it.0).is_some());
    }

    /// Records a response and returns what it shows about its upstream.
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
        Assessment::Conclusive { failed: short || missing, failure_share }
    }
}

/// Responses of one upstream since its last report. Successful ones decay until a failure is
/// reported with them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PendingReport {
    failed: u16,
    total: DecayingSum,
    expected: DecayingSum,
}

impl PendingReport {
    /// Adds an assessed response.
    pub(crate) fn add(&mut self, now: Millis, failed: bool, failure_share: f64) {
        self.total.add(now, UPSTREAM_HALF_LIFE_MS, 1.0);
        self.failed = self.failed.saturating_add(u16::from(failed));
        self.expected.add(now, UPSTREAM_HALF_LIFE_MS, failure_share);
    }

    /// Takes the report, or `None` if no request failed.
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

/// Responses of one upstream that a host has seen since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FailureReport {
    /// Identifier of the upstream.
    pub id: u64,
    /// Start time of the upstream instance, by its own clock.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Number of failed requests.
    pub failed: u16,
    /// Exponentially decaying number of assessed requests, in hundredths.
    pub total_pct: u32,
    /// Number of requests expected to fail at an average upstream, in hundredths.
    pub expected_pct: u32,
}

/// The last ejection of an upstream.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Millis,
    count: u32,
}

/// Reported failures and ejections of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OutlierState {
    failed: DecayingSum,
    total: DecayingSum,
    expected: DecayingSum,
    ejection: Option<Ejection>,
}

/// Decision to eject an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EjectDecision {
    /// Length of the ejection.
    pub(crate) duration: Millis,
    /// Exponentially decaying number of failed requests.
    pub(crate) failed: f64,
    /// Exponentially decaying number of assessed requests.
    pub(crate) total: f64,
}

impl OutlierState {
    /// Records a report and returns the ejection that follows from it, if any.
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
            Some(it) if now < it.until + EJECTION_BACKOFF_RESET => (MIN_FAILED_FLOWS, it.count),
            _ => (MIN_FAILED_FLOWS, 0),
        };
        let expected = self.expected.value_at(now, UPSTREAM_HALF_LIFE_MS);
        if failed < min_failed
            || failed < total * MIN_FAILED_SHARE
            || failed < expected * MIN_FAILURE_RATIO
            || chance_of_at_least(failed, expected) > MAX_CHANCE
        {
            return None;
        }
        let duration = Millis((EJECTION_BACKOFF_MIN.0 << count.min(8)).min(EJECTION_BACKOFF_MAX.0));
        self.ejection = Some(Ejection { until: now + duration, count: count + 1 });
        Some(EjectDecision { duration, failed, total })
    }

    /// Records an ejection that another host decided on.
    pub(crate) fn record_ejection(&mut self, now: Millis, duration: Millis) {
        let count = self.ejection.map_or(0, |it| it.count);
        self.ejection = Some(Ejection { until: now + duration, count });
    }

    /// Returns `true` if the upstream is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        self.ejection.is_some_and(|it| now < it.until)
    }

    /// Returns the score penalty of the upstream, in waiting requests per slot.
    pub(crate) fn penalty(&self, now: Millis) -> f64 {
        let Some(it) = self.ejection else { return 0.0 };
        if now < it.until {
            return EJECTION_PENALTY;
        }
        let recovered = now.since(it.until).0 as f64 / RECOVERY_RAMP.0 as f64;
        EJECTION_PENALTY * (1.0 - recovered).max(0.0)
    }
}

/// Returns the probability of at least `count` failures if `expected` are usual and each occurs
/// independently of the others, by the Poisson distribution.
fn chance_of_at_least(count: f64, expected: f64) -> f64 {
    let mut term = (-expected).exp();
    let mut fewer = 0.0;
    for at in 0..count as u32 {
        fewer += term;
        term *= expected / f64::from(at + 1);
    }
    (1.0 - fewer).max(0.0)
}
