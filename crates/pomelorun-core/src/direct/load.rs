//! How much an upstream has to do, as far as this host can tell.

use crate::time::Millis;

/// Time after which an opened flow counts half. Flows of callers that keep them open bring their
/// next request after about this time.
const HALF_LIFE: f64 = 2_000.0;

/// Load of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Flows that were opened, each halved every half-life.
    opens: f64,
    at: Millis,
    /// Requests that wait for an answer.
    pub waiting: u32,
}

impl Load {
    /// Counts a flow that is opened.
    pub fn opened(&mut self, now: Millis) {
        self.opens = self.opens(now) + 1.0;
        self.at = now;
    }

    /// Opened flows, the older ones counted less.
    pub fn opens(&self, now: Millis) -> f64 {
        self.opens * (-(now.since(self.at).0 as f64) / HALF_LIFE).exp2()
    }
}
