//! What became of flows and requests, by the address that callers use.
//!
//! Counted from callers' packets: an answer counts when its first byte is acknowledged, whatever it
//! says. What an upstream answers with an error counts as answered.

use pomelorun_wire::ServiceAddr;

use crate::{
    direct::routing::{DirectRoute, Routing},
    service_counts::Outcomes,
    time::Millis,
};

/// Outcomes by address, sorted.
#[derive(Debug, Default)]
pub(crate) struct OutcomesByRoute(Vec<(ServiceAddr, Outcomes)>);

impl OutcomesByRoute {
    /// The counters of an address; none without a route, so that callers cannot fill the table.
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

    /// Forgets addresses that the revision in force has no route for.
    pub(crate) fn retain(&mut self, routing: &Routing) {
        self.0.retain(|it| routing.route(it.0).is_some());
    }

    /// Sums by service, sorted by name. A route with several targets counts for the first.
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

/// Outcomes of one service since the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceOutcomes {
    /// Its name.
    pub service: String,
    /// The lowest address that leads to it.
    pub addr: ServiceAddr,
    /// The shortest time that one of its routes aims at.
    pub answer_within: Millis,
    /// The counters.
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
