//! When to send an opening packet to another upstream: how long an answer may take, and how many
//! packets may be sent twice.
//!
//! Answers the load of callers that open a flow for each request while some upstreams are gone, cut
//! off or full, or packets are lost. A caller retransmits its opening packet after 200 ms, by which
//! time its request is late. An answer that is overdue by what this host has observed is therefore
//! not waited for.

use std::collections::VecDeque;

use pomelorun_wire::ZoneId;

use crate::{
    direct::{decaying_sum::DecayingSum, segment::Segment},
    time::Millis,
};

/// Gain of the mean, from RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Gain of the mean deviation, from RFC 6298.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Deviations above the mean after which an answer is overdue, from RFC 6298.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Minimum time above the mean after which an answer is overdue, in milliseconds: hosts and callers
/// are scheduled with delays that a few samples do not show.
const MIN_MARGIN_MS: f64 = 20.0;
/// Responses that must have been observed before one can be overdue.
const MIN_SAMPLES: u32 = 8;

/// Time after which an answer is overdue for a host that has not observed any: half of the callers'
/// retransmission interval.
const INITIAL_TIMEOUT: Millis = Millis(100);

/// Half-life of the openings and retries that the budget compares, in milliseconds.
const BUDGET_HALF_LIFE_MS: f64 = 5_000.0;
/// Retries allowed for each opening that was answered recently. If more are overdue, the upstreams
/// are overloaded rather than gone, and retries would add to the load.
const BUDGET_SHARE: f64 = 0.2;
/// Retries allowed without any recent opening, so that a host with few flows can retry.
const BUDGET_MIN: f64 = 3.0;

/// Maximum number of unanswered openings that are tracked; further ones are not retried.
const MAX_PENDING: usize = 1_024;

/// Time from a packet to its response, as for the retransmission timeout of RFC 6298.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ResponseTimes {
    samples: u32,
    mean_ms: f64,
    deviation_ms: f64,
}

impl ResponseTimes {
    /// Records the time that a response took.
    pub(crate) fn record(&mut self, took: Millis) {
        let took_ms = took.0 as f64;
        if self.samples == 0 {
            self.mean_ms = took_ms;
            self.deviation_ms = took_ms / 2.0;
        } else {
            let deviation_ms = (took_ms - self.mean_ms).abs();
            self.deviation_ms += DEVIATION_GAIN * (deviation_ms - self.deviation_ms);
            self.mean_ms += MEAN_GAIN * (took_ms - self.mean_ms);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the mean time in milliseconds.
    pub(crate) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns the time after which an answer is overdue, or `None` if too few were observed.
    pub(crate) fn timeout(&self) -> Option<Millis> {
        let margin_ms = (OVERDUE_DEVIATIONS * self.deviation_ms).max(MIN_MARGIN_MS);
        (self.samples >= MIN_SAMPLES).then_some(Millis((self.mean_ms + margin_ms) as u64))
    }
}

/// Times of the openings in each zone.
#[derive(Debug, Clone, Default)]
pub(crate) struct ZoneOpeningTimes {
    /// Sorted by zone.
    zones: Vec<(ZoneId, ResponseTimes)>,
}

impl ZoneOpeningTimes {
    /// Records the time that an opening took at an upstream in `zone`.
    pub(crate) fn record(&mut self, zone: ZoneId, took: Millis) {
        let at = match self.zones.binary_search_by_key(&zone, |it| it.0) {
            Ok(at) => at,
            Err(at) => {
                self.zones.insert(at, (zone, ResponseTimes::default()));
                at
            }
        };
        self.zones[at].1.record(took);
    }

    /// Returns `true` if enough openings were observed, in whichever zone, for an overdue answer to
    /// show something about the upstream.
    pub(crate) fn has_observations(&self) -> bool {
        self.zones.iter().any(|it| it.1.timeout().is_some())
    }

    /// Returns the mean time of an opening in `zone`, or `None` if too few were observed.
    pub(crate) fn mean(&self, zone: ZoneId) -> Option<Millis> {
        let at = self.zones.binary_search_by_key(&zone, |it| it.0).ok()?;
        let times = &self.zones[at].1;
        (times.samples >= MIN_SAMPLES).then_some(Millis(times.mean_ms.round() as u64))
    }

    /// Returns the time after which the answer of an upstream in `zone` is overdue.
    ///
    /// A zone that has not answered yet may be cut off. The slowest of the others then stands in for
    /// it, with another margin because its distance is unknown.
    pub(crate) fn timeout(&self, zone: ZoneId) -> Millis {
        let own = self.zones.binary_search_by_key(&zone, |it| it.0);
        if let Some(timeout) = own.ok().and_then(|at| self.zones[at].1.timeout()) {
            return timeout;
        }
        let slowest = self.zones.iter().filter_map(|it| it.1.timeout()).max();
        slowest.map_or(INITIAL_TIMEOUT, |it| it + Millis(MIN_MARGIN_MS as u64))
    }
}

/// Bounds the retries to a share of the openings that were answered recently.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RetryBudget {
    answered: DecayingSum,
    retries: DecayingSum,
}

impl RetryBudget {
    pub(crate) fn record_answered(&mut self, now: Millis) {
        self.answered.add(now, BUDGET_HALF_LIFE_MS, 1.0);
    }

    /// Takes one retry from the budget. Returns `false` if it is used up.
    pub(crate) fn take(&mut self, now: Millis) -> bool {
        let allowed = BUDGET_MIN + BUDGET_SHARE * self.answered.value_at(now, BUDGET_HALF_LIFE_MS);
        let has_room = self.retries.value_at(now, BUDGET_HALF_LIFE_MS) + 1.0 <= allowed;
        if has_room {
            self.retries.add(now, BUDGET_HALF_LIFE_MS, 1.0);
        }
        has_room
    }
}

/// An opening packet whose answer is awaited.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingOpening {
    /// When the answer is overdue.
    pub(crate) due: Millis,
    /// The packet.
    pub(crate) segment: Segment,
    /// Upstreams that the packet has been sent to.
    pub(crate) attempts: usize,
}

/// Opening packets whose answers are awaited, sorted by the time when they are overdue.
#[derive(Debug, Default)]
pub(crate) struct PendingOpenings(VecDeque<PendingOpening>);

impl PendingOpenings {
    /// Adds a packet. Returns `false` if too many are awaited.
    pub(crate) fn push(&mut self, it: PendingOpening) -> bool {
        if self.0.len() >= MAX_PENDING {
            return false;
        }
        let at = self.0.partition_point(|other| other.due <= it.due);
        self.0.insert(at, it);
        true
    }

    /// Returns the packet that is overdue first.
    pub(crate) fn first(&self) -> Option<&PendingOpening> {
        self.0.front()
    }

    /// Removes the packet that is overdue first.
    pub(crate) fn pop(&mut self) -> Option<PendingOpening> {
        self.0.pop_front()
    }
}
