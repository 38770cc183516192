//! Whether callers of an address send one request on a flow, or several.
//!
//! Answers the load of demand that rises on open flows: a request on an open flow goes to the upstream
//! that holds it, however full that is. What is decided for new flows helps only the requests that
//! open one.

use pomelorun_wire::ServiceAddr;

use crate::direct::routing::Routing;

/// Number of answers at which both counts are halved, so that habits that change are followed.
const MAX_ANSWERS: u32 = 1_024;
/// Least number of answers that show a habit.
const MIN_ANSWERS: u32 = 8;

/// What was seen of the flows to one address.
#[derive(Debug, Clone, Copy)]
struct FlowCounts {
    addr: ServiceAddr,
    /// Answered requests.
    answers: u32,
    /// Flows that their callers have closed.
    closed: u32,
}

/// Answered requests and closed flows, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct FlowReuse(Vec<FlowCounts>);

impl FlowReuse {
    /// Records an answered request. Addresses without a route are not kept.
    pub(crate) fn record_answer(&mut self, routing: &Routing, addr: ServiceAddr) {
        let Some(it) = self.counts(routing, addr) else { return };
        it.answers += 1;
        if it.answers >= MAX_ANSWERS {
            (it.answers, it.closed) = (it.answers / 2, it.closed / 2);
        }
    }

    /// Records that a caller has closed its flow. Addresses without a route are not kept.
    pub(crate) fn record_close(&mut self, routing: &Routing, addr: ServiceAddr) {
        if let Some(it) = self.counts(routing, addr) {
            it.closed = it.closed.saturating_add(1);
        }
    }

    /// Returns `true` if most requests to an address open a flow, or if too few were seen to tell.
    pub(crate) fn opens_per_request(&self, addr: ServiceAddr) -> bool {
        let Ok(at) = self.0.binary_search_by_key(&addr, |it| it.addr) else { return true };
        let it = &self.0[at];
        it.answers < MIN_ANSWERS || it.closed > it.answers / 2
    }

    /// Removes the addresses without a route in the active revision.
    pub(crate) fn retain(&mut self, routing: &Routing) {
        self.0.retain(|it| routing.route(it.addr).is_some());
    }

    fn counts(&mut self, routing: &Routing, addr: ServiceAddr) -> Option<&mut FlowCounts> {
        routing.route(addr)?;
        let at = match self.0.binary_search_by_key(&addr, |it| it.addr) {
            Ok(at) => at,
            Err(at) => {
                self.0.insert(at, FlowCounts { addr, answers: 0, closed: 0 });
                at
            }
        };
        Some(&mut self.0[at])
    }
}
