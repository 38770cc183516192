//! Outcomes of flows and requests, by the address that callers use.
//!
//! The outcomes are derived from callers' packets. A request counts as answered once the caller
//! acknowledges the first byte of a response, even if that response is an error.

use pomelorun_wire::ServiceAddr;

use crate::{
    direct::routing::{DirectRoute, Routing},
    service_counts::Outcomes,
    time::Millis,
};

/// Outcome counters, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct OutcomesByRoute(Vec<(ServiceAddr, Outcomes)>);

impl OutcomesByRoute {
    /// Returns the counters of an address, or `None` if the address has no route, so that callers
    /// cannot fill the table.
    pub(crate) fn counters(
        &mut self,
        routing: &Routing,
        addr: ServiceAddr,
    ) -> Option<&mut Outcomes> {
        routing.route(addr)?;
        let at = match self.0.binary_search_by_key(&addr, |it| it.0) {
            Ok(at) => at,
            Err(at) => {
                self.0.insert(at, (addr, Outcomes::default()));
                at
            }
        };
        Some(&mut self.0[at].1)
    }

    /// Removes the addresses without a route in the active revision.
    pub(crate) fn retain(&mut self, routing: &Routing) {
        self.0.retain(|it| routing.route(it.0).is_some());
    }

    /// Returns the sums per service, sorted by name. A route with several targets counts towards
    /// the first one.
    pub(crate) fn by_service(&self, routing: &Routing) -> Vec<ServiceOutcomes> {
        let mut found: Vec<ServiceOutcomes> = Vec::new();
        for route in routing.routes() {
            let Some(target) = route.targets.first() else { continue };
            let counted = self.0.binary_search_by_key(&route.addr, |it| it.0);
            let outcomes = counted.map_or(Outcomes::default(), |at| self.0[at].1);
            match found.binary_search_by(|it| it.service.as_str().cmp(&target.service)) {
                Ok(at) => found[at].add(route, outcomes),
                Err(at) => found.insert(
                    at,
                    ServiceOutcomes {
                        service: target.service.clone(),
                        addr: route.addr,
                        answer_within: route.answer_within,
                        outcomes,
                    },
                ),
            }
        }
        found
    }
}

/// Outcomes of one service since the start of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceOutcomes {
    /// Name of the service.
    pub service: String,
    /// Lowest address that is routed to the service.
    pub addr: ServiceAddr,
    /// Shortest response-time goal of the service's routes.
    pub answer_within: Millis,
    /// Outcome counters.
    pub outcomes: Outcomes,
}

impl ServiceOutcomes {
    fn add(&mut self, route: &DirectRoute, more: Outcomes) {
        self.answer_within = self.answer_within.min(route.answer_within);
        let sums = self.outcomes.to_array().into_iter().zip(more.to_array());
        let mut array = [0; Outcomes::LEN];
        array.iter_mut().zip(sums).for_each(|(it, (a, b))| *it = a + b);
        self.outcomes = Outcomes::from_array(array);
    }
}
