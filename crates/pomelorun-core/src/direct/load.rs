//! How much an upstream has to do, as far as this host can tell.

use crate::{direct::decaying_sum::DecayingSum, time::Millis};

/// Time after which an opened flow counts half. Flows of callers that keep them open bring their
/// next request after about this time.
const HALF_LIFE: f64 = 2_000.0;

/// Load of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Flows that were opened, each halved every half-life.
    opens: DecayingSum,
    /// Requests that wait for an answer.
    pub waiting: u32,
}

impl Load {
    /// Counts a flow that is opened.
    pub fn record_open(&mut self, now: Millis) {
        self.opens.add(now, HALF_LIFE, 1.0);
    }

    /// Opened flows, the older ones counted less.
    pub fn recent_opens(&self, now: Millis) -> f64 {
        self.opens.value_at(now, HALF_LIFE)
    }
}
