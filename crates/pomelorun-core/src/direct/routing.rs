//! Which services the addresses of the platform lead to.

use pomelorun_wire::{FlowKey, ServiceAddr};
use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// One service that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Its share of new flows, relative to the other targets.
    pub weight: u32,
}

/// One address that callers open flows to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectRoute {
    /// The address.
    pub addr: ServiceAddr,
    /// Where new flows go, at least one.
    pub targets: Vec<RouteTarget>,
    /// Time within which requests should be answered.
    pub answer_within: Millis,
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
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routing {
    /// The revision, zero before the first.
    pub revision: u64,
    /// Routes sorted by address.
    routes: Vec<DirectRoute>,
    /// Limits sorted by service.
    limits: Vec<ServiceLimits>,
    /// Time without a packet after which a flow may be forgotten.
    pub idle_timeout: Millis,
}

impl Routing {
    /// Makes a revision; of two routes with one address the first holds.
    pub fn new(
        revision: u64,
        mut routes: Vec<DirectRoute>,
        mut limits: Vec<ServiceLimits>,
        idle_timeout: Millis,
    ) -> Routing {
        routes.sort_by_key(|it| it.addr);
        routes.dedup_by_key(|it| it.addr);
        limits.sort_by(|a, b| a.service.cmp(&b.service));
        Routing { revision, routes, limits, idle_timeout }
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

/// What changed from one revision to another. Hosts give each other changes: a revision of a
/// thousand routes, sent to every host of a zone, would fill the link of a small host for a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingChange {
    /// The revision that it applies to; zero for one that replaces everything.
    pub from: u64,
    /// The revision that it leads to.
    pub to: u64,
    idle_ms: u64,
    limits: Vec<ServiceLimits>,
    /// Services that rows name by position.
    services: Vec<String>,
    /// Routes that are new or changed.
    set: Vec<RouteRow>,
    /// Addresses that no longer have a route.
    unset: Vec<(u32, u16)>,
}

/// Address, services by position with their weights, and the time aimed at in milliseconds.
type RouteRow = (u32, u16, Vec<(u32, u32)>, u32);

impl RoutingChange {
    /// What leads from `old` to `new`.
    pub fn between(old: &Routing, new: &Routing) -> RoutingChange {
        let mut change = RoutingChange {
            from: old.revision,
            to: new.revision,
            idle_ms: new.idle_timeout.0,
            limits: new.limits.clone(),
            services: Vec::new(),
            set: Vec::new(),
            unset: Vec::new(),
        };
        for it in new.routes.iter().filter(|it| old.route(it.addr) != Some(it)) {
            change.push(it);
        }
        let gone = old.routes.iter().filter(|it| new.route(it.addr).is_none());
        change.unset.extend(gone.map(|it| (it.addr.ip, it.addr.port)));
        change
    }

    /// Applies the change; none if it does not follow on `old`.
    pub fn apply(&self, old: &Routing) -> Option<Routing> {
        let replaces = self.from == 0;
        if !replaces && self.from != old.revision {
            return None;
        }
        let mut routes: Vec<DirectRoute> = if replaces { Vec::new() } else { old.routes.clone() };
        for it in &self.set {
            let route = self.route(it)?;
            match routes.binary_search_by_key(&route.addr, |it| it.addr) {
                Ok(at) => routes[at] = route,
                Err(at) => routes.insert(at, route),
            }
        }
        routes.retain(|it| !self.unset.contains(&(it.addr.ip, it.addr.port)));
        Some(Routing::new(self.to, routes, self.limits.clone(), Millis(self.idle_ms)))
    }

    fn push(&mut self, route: &DirectRoute) {
        let mut targets = Vec::with_capacity(route.targets.len());
        for it in &route.targets {
            let known = self.services.iter().position(|name| *name == it.service);
            let at = known.unwrap_or_else(|| {
                self.services.push(it.service.clone());
                self.services.len() - 1
            });
            targets.push((at as u32, it.weight));
        }
        let within = u32::try_from(route.answer_within.0).unwrap_or(u32::MAX);
        self.set.push((route.addr.ip, route.addr.port, targets, within));
    }

    fn route(&self, row: &RouteRow) -> Option<DirectRoute> {
        let mut targets = Vec::with_capacity(row.2.len());
        for &(at, weight) in &row.2 {
            let service = self.services.get(at as usize)?.clone();
            targets.push(RouteTarget { service, weight });
        }
        let addr = ServiceAddr { ip: row.0, port: row.1 };
        Some(DirectRoute { addr, targets, answer_within: Millis(u64::from(row.3)) })
    }
}
