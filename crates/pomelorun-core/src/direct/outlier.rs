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
pub(crate) const JUDGE_AFTER: Millis = Millis(500);
/// Bytes up to which an answer counts as short: a status line and usual headers without content.
const SHORT_MOST: u32 = 512;
/// Share of a route's answers that fail in some way from which on that says nothing of an upstream.
const USUAL: f64 = 1.0 / 3.0;
/// Answers of a route that must be known before one of them can count.
const ROUTE_LEAST: f64 = 5.0;
/// Time after which an answer counts half, for its upstream. Failures shorter than this are over
/// before callers gain from an ejection.
const UPSTREAM_HALF_LIFE: f64 = 3_000.0;
/// The same for its route, on which a host may see one request a second.
const ROUTE_HALF_LIFE: f64 = 15_000.0;
/// Failed flows below which nothing follows: two may be chance.
const FAILED_LEAST: f64 = 3.0;
/// The same while an upstream is coming back.
const FAILED_AGAIN: f64 = 2.0;
/// Share of failed requests below which an upstream serves callers better than a fuller one.
const SHARE_LEAST: f64 = 0.15;
/// How many times more must fail than at an upstream like the others, and how many standard
/// deviations of that number on top: many upstreams are judged many times, and none by chance.
const OVER_USUAL: f64 = 2.0;
const DEVIATIONS: f64 = 3.0;
/// First ejection, doubled each time up to the longest. Faults that last some seconds are common; a
/// wrong ejection costs little for that time.
const EJECT_FIRST: Millis = Millis(6_000);
const EJECT_MOST: Millis = Millis(60_000);
/// Time without an ejection after which the next one is a first one again.
const FORGIVE: Millis = Millis(60_000);
/// Time in which the share of an upstream grows back.
const RAMP: Millis = Millis(4_000);
/// Load that an ejected upstream seems to have on top, in waiting requests a slot: upstreams hold
/// some five before they refuse, so it is used when the others are nearly full.
const PENALTY: f64 = 4.0;
/// Time between two reports, and failures of how many upstreams one may name. With 50 bytes each
/// that is at most a kilobyte and a half a second.
pub(crate) const REPORT_EVERY: Millis = Millis(250);
pub(crate) const REPORTED_MOST: usize = 8;

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
pub(crate) enum Sign {
    /// Nothing: its route is too little known, or most of its answers are like that.
    None,
    /// It is as it should be, or not.
    Judged {
        /// It failed.
        failed: bool,
        /// Share of the route's answers that fail.
        usual: f64,
    },
}

/// Answers by route, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct Routes(Vec<(ServiceAddr, RouteAnswers)>);

impl Routes {
    /// Forgets addresses that the revision in force has no route for.
    pub(crate) fn retain(&mut self, routing: &Routing) {
        self.0.retain(|it| routing.route(it.0).is_some());
    }

    /// Notes an answer and tells what it says.
    pub(crate) fn judge(&mut self, now: Millis, route: ServiceAddr, answer: Answer) -> Sign {
        let at = match self.0.binary_search_by_key(&route, |it| it.0) {
            Ok(at) => at,
            Err(at) => {
                self.0.insert(at, (route, RouteAnswers::default()));
                at
            }
        };
        let it = &mut self.0[at].1;
        let short = matches!(answer, Answer::Bytes(bytes) if bytes <= SHORT_MOST);
        let missing = answer == Answer::Missing;
        it.total.add(now, ROUTE_HALF_LIFE, 1.0);
        it.short.add(now, ROUTE_HALF_LIFE, f64::from(u8::from(short)));
        it.missing.add(now, ROUTE_HALF_LIFE, f64::from(u8::from(missing)));
        let total = it.total.value_at(now, ROUTE_HALF_LIFE);
        if total < ROUTE_LEAST {
            return Sign::None;
        }
        let (shorts, missings) = (
            it.short.value_at(now, ROUTE_HALF_LIFE) / total,
            it.missing.value_at(now, ROUTE_HALF_LIFE) / total,
        );
        if short && shorts >= USUAL || missing && missings >= USUAL {
            return Sign::None;
        }
        let usual = [shorts, missings].into_iter().filter(|it| *it < USUAL).sum();
        Sign::Judged { failed: short || missing, usual }
    }
}

/// Answers of one upstream that are not reported yet. Those that did not fail fade until a failure is
/// reported with them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    failed: u16,
    total: DecayingSum,
    expected: DecayingSum,
}

impl Tally {
    /// Counts a judged answer.
    pub(crate) fn add(&mut self, now: Millis, failed: bool, usual: f64) {
        self.total.add(now, UPSTREAM_HALF_LIFE, 1.0);
        self.failed = self.failed.saturating_add(u16::from(failed));
        self.expected.add(now, UPSTREAM_HALF_LIFE, usual);
    }

    /// Takes what is to be reported: nothing where nothing failed.
    pub(crate) fn take(&mut self, now: Millis, id: u64, started_at: u64) -> Option<Report> {
        if self.failed == 0 {
            return None;
        }
        let it = std::mem::take(self);
        let hundredths = |it: f64| (it * 100.0).min(f64::from(u32::MAX)) as u32;
        Some(Report {
            id,
            started_at,
            failed: it.failed,
            total_pct: hundredths(it.total.value_at(now, UPSTREAM_HALF_LIFE)),
            expected_pct: hundredths(it.expected.value_at(now, UPSTREAM_HALF_LIFE)),
        })
    }
}

/// What a host has seen of an upstream since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
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
    times: u32,
}

/// What one host knows of the failures of an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outlier {
    failed: DecayingSum,
    total: DecayingSum,
    expected: DecayingSum,
    ejection: Option<Ejection>,
}

/// An upstream is to be ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Eject {
    /// For how long.
    pub(crate) lasts: Millis,
    /// Requests that failed lately.
    pub(crate) failed: f64,
    /// Requests that were answered or failed lately.
    pub(crate) total: f64,
}

impl Outlier {
    /// Takes in a report; tells whether to eject the upstream.
    pub(crate) fn report(&mut self, now: Millis, it: &Report) -> Option<Eject> {
        self.failed.add(now, UPSTREAM_HALF_LIFE, f64::from(it.failed));
        self.total.add(now, UPSTREAM_HALF_LIFE, f64::from(it.total_pct) / 100.0);
        self.expected.add(now, UPSTREAM_HALF_LIFE, f64::from(it.expected_pct) / 100.0);
        let (failed, total) = (
            self.failed.value_at(now, UPSTREAM_HALF_LIFE),
            self.total.value_at(now, UPSTREAM_HALF_LIFE),
        );
        let (least, times) = match self.ejection {
            Some(it) if now < it.until => return None,
            Some(it) if now < it.until + RAMP => (FAILED_AGAIN, it.times),
            Some(it) if now < it.until + FORGIVE => (FAILED_LEAST, it.times),
            _ => (FAILED_LEAST, 0),
        };
        let expected = self.expected.value_at(now, UPSTREAM_HALF_LIFE);
        // The number of failures at an upstream like the others is near a Poisson one.
        let chance = expected * OVER_USUAL + expected.sqrt() * DEVIATIONS;
        if failed < least || failed < total * SHARE_LEAST || failed < chance {
            return None;
        }
        let lasts = Millis((EJECT_FIRST.0 << times.min(8)).min(EJECT_MOST.0));
        self.ejection = Some(Ejection { until: now + lasts, times: times + 1 });
        Some(Eject { lasts, failed, total })
    }

    /// Ejects the upstream, as another host has decided.
    pub(crate) fn eject(&mut self, now: Millis, lasts: Millis) {
        let times = self.ejection.map_or(0, |it| it.times);
        self.ejection = Some(Ejection { until: now + lasts, times });
    }

    /// Tells whether the upstream is ejected.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        self.ejection.is_some_and(|it| now < it.until)
    }

    /// Load that the upstream seems to have on top, in waiting requests a slot.
    pub(crate) fn penalty(&self, now: Millis) -> f64 {
        let Some(it) = self.ejection else { return 0.0 };
        if now < it.until {
            return PENALTY;
        }
        let back = now.since(it.until).0 as f64 / RAMP.0 as f64;
        PENALTY * (1.0 - back).max(0.0)
    }
}
