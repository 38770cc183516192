//! How long requests to each address take until they are answered, queues included.
//!
//! Answers the load of full queues: a request that waits in one is late without a fault.

use pomelorun_wire::ServiceAddr;

use crate::{
    direct::{opening_retry::ResponseTimes, routing::Routing},
    time::Millis,
};

/// Time that a request takes through a full queue, in usual times without a queue: upstreams hold about
/// five requests per slot.
const FULL_QUEUE_ANSWERS: f64 = 5.0;

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

    /// Returns the time that a full queue may take to answer a request, or `None` if too few answers were
    /// observed on any address. `service_ms` is the usual time of a request without a queue, in
    /// milliseconds; if it is unknown, the mean time to an answer stands in.
    ///
    /// If too few answers were observed on the address, the slowest other one stands in.
    pub(crate) fn full_queue(&self, addr: ServiceAddr, service_ms: Option<f64>) -> Option<Millis> {
        let own = self.0.binary_search_by_key(&addr, |it| it.0).ok().map(|at| &self.0[at].1);
        let slowest = || self.0.iter().map(|it| &it.1).max_by_key(|it| it.timeout());
        let times = own.filter(|it| it.timeout().is_some()).or_else(slowest)?;
        let queue_ms = service_ms.unwrap_or(times.mean_ms()) * FULL_QUEUE_ANSWERS;
        Some(times.timeout()?.max(Millis(queue_ms as u64)))
    }

    /// Removes the addresses without a route in the active revision.
    pub(crate) fn retain(&mut self, routing: &Routing) {
        self.0.retain(|it| routing.route(it.0).is_some());
    }
}
