//! Relative speed of upstreams, from the times of answers that no queue has delayed.
//!
//! Answers the load of a service whose upstreams have different speeds that nobody announces, and of
//! upstreams that turn slow: with equal shares of the flows the slow ones queue while the fast ones
//! idle. Each host compares answers with the usual time on their route, because routes differ in
//! work, and the collector of a zone pools the comparisons, because one host sees few answers of one
//! upstream. Logarithms and bounds keep single long requests from deciding.

use pomelorun_wire::ServiceAddr;

use crate::{direct::routing::Routing, time::Millis};

/// An answer and what it shows about its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerSample {
    /// Address that the caller uses.
    pub route: ServiceAddr,
    /// Time from the request to the acknowledgement of the answer's first byte.
    pub took: Millis,
    /// Usual time for a packet's way to the upstream and back.
    pub round_trip: Millis,
    /// `true` if a queue or a cold start of the upstream may have delayed the answer.
    pub is_delayed: bool,
}

/// What this host has seen of the speed of one upstream since its last report.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedSamples {
    /// Number of answers.
    pub count: u16,
    /// Sum of the logarithms of their relative times, in thousandths.
    pub slowness_milli: i32,
}

/// Answers on a route that must have been seen before one is compared with them.
const MIN_ROUTE_ANSWERS: usize = 20;
/// Answers that the usual time of a route is averaged over.
const USUAL_TIME_ANSWERS: usize = 64;
/// Maximum distance of one answer from the usual time in its mean, as a logarithm.
const MAX_USUAL_DEVIATION: f64 = 1.0;
/// Number of answers below [`MIN_SLOWNESS`], less [`USUAL_WEIGHT`] for each other one, and time since
/// the first of them, from which on the route itself has become fast: callers that retry get no
/// such majority of rejections for so long.
const FAST_ROUTE_ANSWERS: u32 = 200;
const FAST_ROUTE_TIME: Millis = Millis(60_000);
/// Number of fast answers that one other answer outweighs.
const USUAL_WEIGHT: u32 = 9;
/// Logarithm of the relative time below which an answer is a rejection or from a cache. An upstream
/// with a full queue answers at once and must not count as fast.
const MIN_SLOWNESS: f64 = -1.8;
/// Maximum logarithm of the relative time of one answer.
const MAX_SLOWNESS: f64 = 2.5;
/// Smallest share of the time to an answer that is not the packets' way, which is only estimated.
const MIN_SERVICE_SHARE: f64 = 0.25;
/// Shortest time of a request at an upstream that the clock resolves, in milliseconds.
const MIN_SERVICE_MS: f64 = 0.5;

/// Usual time of one route, as the mean of logarithms of milliseconds. It starts from the median of
/// the first answers, of which some may be rejections.
#[derive(Debug, Clone, Copy, Default)]
struct UsualTime {
    first: [f64; MIN_ROUTE_ANSWERS],
    answers: usize,
    ln_ms: f64,
    /// Majority of fast answers, and since when.
    fast: u32,
    fast_since: Millis,
}

impl UsualTime {
    fn is_known(&self) -> bool {
        self.answers >= MIN_ROUTE_ANSWERS
    }

    fn add_first(&mut self, ln_ms: f64) {
        self.first[self.answers] = ln_ms;
        self.answers += 1;
        if self.is_known() {
            self.first.sort_unstable_by(f64::total_cmp);
            let middle = MIN_ROUTE_ANSWERS / 2;
            self.ln_ms = (self.first[middle - 1] + self.first[middle]) / 2.0;
        }
    }

    /// Adds the logarithm of the relative time of an answer.
    fn add(&mut self, now: Millis, slowness: f64) {
        if slowness < MIN_SLOWNESS {
            self.add_fast(now);
            return;
        }
        self.fast = self.fast.saturating_sub(USUAL_WEIGHT);
        self.answers = (self.answers + 1).min(USUAL_TIME_ANSWERS);
        self.ln_ms +=
            slowness.clamp(-MAX_USUAL_DEVIATION, MAX_USUAL_DEVIATION) / self.answers as f64;
    }

    /// Counts an answer that is faster than an upstream can be, and forgets the usual time if it is
    /// no longer that of the route.
    fn add_fast(&mut self, now: Millis) {
        if self.fast == 0 {
            self.fast_since = now;
        }
        self.fast += 1;
        if self.fast >= FAST_ROUTE_ANSWERS && now.since(self.fast_since) >= FAST_ROUTE_TIME {
            *self = UsualTime::default();
        }
    }
}

/// Usual time to an answer for each address, without queueing and without the packets' way, at an
/// average upstream.
#[derive(Debug, Default)]
pub struct ServiceTimes(Vec<(ServiceAddr, UsualTime)>);

impl ServiceTimes {
    /// Removes the addresses without a route in the active revision.
    pub(crate) fn retain(&mut self, routing: &Routing) {
        self.0.retain(|it| routing.route(it.0).is_some());
    }

    /// Records an answer and returns the logarithm of its relative time in thousandths, or `None` if
    /// it shows nothing about the upstream.
    pub fn record(&mut self, now: Millis, sample: &AnswerSample) -> Option<i32> {
        if sample.is_delayed {
            return None;
        }
        let (took_ms, way_ms) = (sample.took.0 as f64, sample.round_trip.0 as f64);
        let service_ms = (took_ms - way_ms).max(took_ms * MIN_SERVICE_SHARE).max(MIN_SERVICE_MS);
        let at = match self.0.binary_search_by_key(&sample.route, |it| it.0) {
            Ok(at) => at,
            Err(at) => {
                self.0.insert(at, (sample.route, UsualTime::default()));
                at
            }
        };
        let usual = &mut self.0[at].1;
        if !usual.is_known() {
            usual.add_first(service_ms.ln());
            return None;
        }
        let slowness = service_ms.ln() - usual.ln_ms;
        usual.add(now, slowness);
        (slowness >= MIN_SLOWNESS).then(|| (slowness.min(MAX_SLOWNESS) * 1_000.0) as i32)
    }

    /// Returns the usual time to an answer for an address, in milliseconds.
    pub fn get(&self, route: ServiceAddr) -> Option<f64> {
        let at = self.0.binary_search_by_key(&route, |it| it.0).ok()?;
        let usual = &self.0[at].1;
        usual.is_known().then(|| usual.ln_ms.exp())
    }
}

/// Half-life of an answer in the lasting mean of its upstream, in milliseconds.
const LASTING_HALF_LIFE_MS: f64 = 12_000.0;
/// Half-life of an answer in the recent mean of its upstream, in milliseconds: within a few seconds
/// an upstream that has turned slow must lose its new flows.
const RECENT_HALF_LIFE_MS: f64 = 2_000.0;
/// Half-life while no answer shows the speed, in milliseconds. All of a service's answers may be
/// queued for a long time, and its speeds matter most then; but an upstream that gets no flows
/// because it was slow must be tried again.
const UNSEEN_HALF_LIFE_MS: f64 = 20_000.0;
/// Time without an answer after which the upstream counts as unseen.
const MAX_SEEN_GAP: Millis = Millis(1_000);
/// Number of answers at the usual time that the mean of an upstream starts from.
const PRIOR_ANSWERS: f64 = 8.0;
/// Distance of the recent mean from the lasting one, times the root of the number of its answers,
/// from which on the speed has changed.
const CHANGE_DISTANCE: f64 = 3.0;
/// Mean slowness up to which an upstream counts as an average one: a difference that is not worth
/// other decisions.
const DEAD_BAND: f64 = 0.2;
/// Standard deviation of the logarithms of answers' relative times: routes with log-normal work and
/// some requests that take several times as long.
const SPREAD: f64 = 0.6;
/// Standard errors of the mean slowness from which on a speed differs, and down to which it then
/// does: among hundreds of equal upstreams, chance alone seldom gives the first.
const DIFFERENCE: (f64, f64) = (4.0, 2.0);
/// Least number of answers of which some may be long requests.
const MIN_ANSWERS: f64 = 3.0;
/// Step of a speed.
const SPEED_STEP: f64 = 0.05;
/// Minimum and maximum speed.
pub(crate) const SPEED_BOUNDS: (f64, f64) = (0.1, 4.0);

/// Mean slowness with forgetting.
#[derive(Debug, Clone, Copy, Default)]
struct SlownessMean {
    answers: f64,
    sum: f64,
}

impl SlownessMean {
    fn decayed(self, seen_gap: Millis, half_life_ms: f64) -> SlownessMean {
        let seen = seen_gap.0.min(MAX_SEEN_GAP.0) as f64 / half_life_ms;
        let unseen = seen_gap.since(MAX_SEEN_GAP).0 as f64 / UNSEEN_HALF_LIFE_MS;
        let kept = (-(seen + unseen)).exp2();
        SlownessMean { answers: self.answers * kept, sum: self.sum * kept }
    }

    fn add(&mut self, it: SpeedSamples) {
        self.answers += f64::from(it.count);
        self.sum += f64::from(it.slowness_milli) / 1_000.0;
    }

    fn value(self, prior: f64) -> f64 {
        self.sum / (self.answers + prior).max(f64::MIN_POSITIVE)
    }

    /// Returns the distance of the mean from that of an average upstream, in standard errors.
    fn difference(self) -> f64 {
        self.value(0.0).abs() * self.answers.sqrt() / SPREAD
    }
}

/// Speed of one upstream, kept by the collector of a zone.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedEstimate {
    lasting: SlownessMean,
    recent: SlownessMean,
    updated_at: Millis,
    /// `true` once the speed differs by more than chance gives.
    differs: bool,
}

impl SpeedEstimate {
    /// Adds the samples of a report.
    pub fn add(&mut self, now: Millis, samples: SpeedSamples) {
        let bounds = (MIN_SLOWNESS * 1_000.0, MAX_SLOWNESS * 1_000.0);
        let mean_milli = f64::from(samples.slowness_milli) / f64::from(samples.count.max(1));
        if samples.count == 0 || !(bounds.0..=bounds.1).contains(&mean_milli) {
            return;
        }
        let gap = now.since(self.updated_at);
        self.lasting = self.lasting.decayed(gap, LASTING_HALF_LIFE_MS);
        self.recent = self.recent.decayed(gap, RECENT_HALF_LIFE_MS);
        self.updated_at = now;
        self.lasting.add(samples);
        self.recent.add(samples);
        let distance = (self.recent.value(0.0) - self.lasting.value(0.0)).abs();
        if distance * self.recent.answers.sqrt() > CHANGE_DISTANCE {
            self.lasting = self.recent;
        }
        let has_enough = self.lasting.answers >= MIN_ANSWERS;
        self.differs = match self.differs {
            false => has_enough && self.lasting.difference() >= DIFFERENCE.0,
            true => self.lasting.difference() >= DIFFERENCE.1,
        };
    }

    /// Returns the speed relative to the service, 1 if too little is known or the difference may be
    /// chance.
    pub fn speed(&self, now: Millis) -> f64 {
        let gap = now.since(self.updated_at);
        let slowness = self.lasting.decayed(gap, LASTING_HALF_LIFE_MS).value(PRIOR_ANSWERS);
        if !self.differs || slowness.abs() <= DEAD_BAND {
            return 1.0;
        }
        let speed = ((-slowness).exp() / SPEED_STEP).round() * SPEED_STEP;
        speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
    }
}
