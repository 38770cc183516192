//! Load of upstreams as all hosts see it, from the summaries of the zones.

use pomelorun_wire::ServiceAddr;

use crate::{direct::token::Token, time::Millis};

/// Load and speed of upstreams and rates of addresses, summed over the zones whose summaries are
/// recent.
#[derive(Debug, Default)]
pub(crate) struct SharedLoad {}

impl SharedLoad {
    /// Returns the mean number of requests in progress at an upstream over all hosts, or `None` while
    /// no recent summary tells.
    pub(crate) fn in_progress(&self, _now: Millis, _token: Token) -> Option<f64> {
        None
    }

    /// Returns the speed of an upstream relative to its service, 1 if nothing is known.
    pub(crate) fn speed(&self, _token: Token) -> f64 {
        1.0
    }

    /// Returns the requests per second to an address over all hosts, or `None` while no recent summary
    /// tells.
    pub(crate) fn requests_per_s(&self, _now: Millis, _addr: ServiceAddr) -> Option<f64> {
        None
    }

    /// Returns the usual time to an answer at an upstream without a queue, in milliseconds.
    pub(crate) fn service_time_ms(&self, _addr: ServiceAddr) -> Option<f64> {
        None
    }

    /// Returns the number of hosts whose reports are included, at least this one.
    pub(crate) fn hosts(&self, _now: Millis) -> usize {
        1
    }
}
