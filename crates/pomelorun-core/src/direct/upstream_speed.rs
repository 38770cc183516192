//! Relative speed of upstreams, from the times of answers that no queue has delayed.

use pomelorun_wire::ServiceAddr;

use crate::time::Millis;

/// An answer and what it shows about its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AnswerSample {
    /// Address that the caller uses.
    pub(crate) route: ServiceAddr,
    /// Time from the request to the acknowledgement of the answer's first byte.
    pub(crate) took: Millis,
    /// Usual time for a packet's way to the upstream and back.
    pub(crate) round_trip: Millis,
    /// `true` if the request may have waited for another one at the upstream.
    pub(crate) may_have_queued: bool,
}

/// What this host has seen of the speed of one upstream since its last report.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SpeedSamples {
    /// Number of answers.
    pub(crate) count: u16,
    /// Sum of the logarithms of their relative times, in thousandths.
    pub(crate) slowness_milli: i32,
}

/// Usual time to an answer for each address, without queueing.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {}

impl ServiceTimes {
    /// Records an answer and returns the logarithm of its relative time in thousandths, or `None` if
    /// it shows nothing about the upstream.
    pub(crate) fn record(&mut self, _now: Millis, _sample: &AnswerSample) -> Option<i32> {
        None
    }

    /// Returns the usual time to an answer for an address, in milliseconds.
    pub(crate) fn get(&self, _route: ServiceAddr) -> Option<f64> {
        None
    }
}

/// Speed of one upstream, kept by the collector of a zone.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SpeedEstimate {}

impl SpeedEstimate {
    /// Adds the samples of a report.
    pub(crate) fn add(&mut self, _now: Millis, _samples: SpeedSamples) {}

    /// Returns the speed relative to the service, 1 if too little is known.
    pub(crate) fn speed(&self, _now: Millis) -> f64 {
        1.0
    }
}
