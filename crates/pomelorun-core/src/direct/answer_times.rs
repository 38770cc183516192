//! How long requests to each address take until they are answered, queues included.
//!
//! Answers the load of full queues: a request that waits in one is late without a fault.

use pomelorun_wire::ServiceAddr;

use crate::{
    direct::{opening_retry::ResponseTimes, routing::Routing},
    time::Millis,
};

/// Times to the answers of requests, by address; sorted.
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes(Vec<(ServiceAddr, ResponseTimes)>);

impl AnswerTimes {
    /// Records how long the answer to a request took. Addresses without a route are not kept.
    pub(crate) fn record(&mut self, routing: &Routing, addr: ServiceAddr, took: Millis) {
        match self.0.binary_search_by_key(&addr, |it| it.0) {
            Ok(at) => self.0[at].1.record(took),
            Err(at) if routing.route(addr).is_some() => {
                let mut times = ResponseTimes::default();
                times.record(took);
                self.0.insert(at, (addr, times));
            }
            Err(_) => {}
        }
    }

    /// Returns the time within which almost all requests are answered, or `None` if too few were
    /// observed.
    pub(crate) fn timeout(&self, addr: ServiceAddr) -> Option<Millis> {
        let at = self.0.binary_search_by_key(&addr, |it| it.0).ok()?;
        self.0[at].1.timeout()
    }

    /// Returns the time within which almost all requests are answered. If too few were observed, that of
    /// the slowest other address stands in.
    pub(crate) fn timeout_or_slowest(&self, addr: ServiceAddr) -> Option<Millis> {
        let slowest = || self.0.iter().filter_map(|it| it.1.timeout()).max();
        self.timeout(addr).or_else(slowest)
    }

    /// Removes the addresses without a route in the active revision.
    pub(crate) fn retain(&mut self, routing: &Routing) {
        self.0.retain(|it| routing.route(it.0).is_some());
    }
}
