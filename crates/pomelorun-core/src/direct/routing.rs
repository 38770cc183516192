//! Which services the addresses of the platform lead to.

use pomelorun_wire::{FlowKey, ServiceAddr};
use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// One service that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Its share of new flows, relative to the other targets.
    pub weight: u32,
}

/// One address that callers open flows to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectRoute {
    /// Name of the route.
    pub name: String,
    /// The address.
    pub addr: ServiceAddr,
    /// Where new flows go, at least one.
    pub targets: Vec<RouteTarget>,
}

impl DirectRoute {
    /// Service of a new flow, the same on every host and for every copy of its opening packet.
    pub fn service_of(&self, flow: &FlowKey) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut left = flow.stable_hash() % total;
        for it in &self.targets {
            let weight = u64::from(it.weight);
            if left < weight {
                return Some(&it.service);
            }
            left -= weight;
        }
        None
    }
}

/// What a service says of its upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Name of the service.
    pub service: String,
    /// Requests a second that a cold upstream bears.
    pub cold_per_s: f64,
    /// How long an upstream stays cold after its start.
    pub cold: Millis,
    /// Path at which an upstream says who it is.
    pub health_path: String,
}

/// One revision of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// The revision, zero before the first.
    pub revision: u64,
    /// Routes sorted by address.
    routes: Vec<DirectRoute>,
    /// Limits sorted by service.
    limits: Vec<ServiceLimits>,
    /// Time without a packet after which a flow may be forgotten.
    pub idle: Millis,
}

impl Routing {
    /// Makes a revision; of two routes with one address the first holds.
    pub fn new(
        revision: u64,
        mut routes: Vec<DirectRoute>,
        mut limits: Vec<ServiceLimits>,
        idle: Millis,
    ) -> Routing {
        routes.sort_by_key(|it| it.addr);
        routes.dedup_by_key(|it| it.addr);
        limits.sort_by(|a, b| a.service.cmp(&b.service));
        Routing { revision, routes, limits, idle }
    }

    /// Finds the route of an address.
    pub fn route(&self, addr: ServiceAddr) -> Option<&DirectRoute> {
        let at = self.routes.binary_search_by_key(&addr, |it| it.addr).ok()?;
        Some(&self.routes[at])
    }

    /// Finds the limits of a service.
    pub fn limits(&self, service: &str) -> Option<&ServiceLimits> {
        let at = self.limits.binary_search_by(|it| it.service.as_str().cmp(service)).ok()?;
        Some(&self.limits[at])
    }

    /// All routes, sorted by address.
    pub fn routes(&self) -> &[DirectRoute] {
        &self.routes
    }
}
