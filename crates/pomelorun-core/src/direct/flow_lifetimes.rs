//! How long the flows of each service live, which decides how much an opened flow counts as load.
//!
//! Answers two loads. A caller that keeps its flow open for many requests sends the next one within
//! seconds, so its flow is load for as long although no request waits. A caller that opens a flow for
//! each request adds no load once it has its answer. Counting its flow any longer would spread flows
//! over zones with no gain, and expose them to the loss of a path.

use crate::{direct::load::OPENS_HALF_LIFE_MS, time::Millis};

/// Weight of a new lifetime in the mean.
const MEAN_GAIN: f64 = 1.0 / 16.0;

/// Mean lifetimes of flows by service.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowLifetimes {
    /// Mean in milliseconds, sorted by service.
    services: Vec<(String, f64)>,
}

impl FlowLifetimes {
    /// Records the lifetime of a flow that its caller has closed.
    pub(crate) fn record(&mut self, service: &str, lived: Millis) {
        // A flow counts for no longer than its opening does.
        let lived_ms = (lived.0 as f64).min(OPENS_HALF_LIFE_MS);
        let at = match self.position(service) {
            Ok(at) => at,
            Err(at) => {
                // Starts from a long life, so that one short flow does not stand for all.
                self.services.insert(at, (service.to_owned(), OPENS_HALF_LIFE_MS));
                at
            }
        };
        let mean_ms = &mut self.services[at].1;
        *mean_ms += MEAN_GAIN * (lived_ms - *mean_ms);
    }

    /// Returns for which part of the time that an opening counts its flow is load, from 0 to 1.
    pub(crate) fn load_share(&self, service: &str) -> f64 {
        self.position(service).map_or(1.0, |at| self.services[at].1 / OPENS_HALF_LIFE_MS)
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|it| it.0.as_str().cmp(service))
    }
}
