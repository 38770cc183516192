//! Routes from the addresses that callers use to services.

use pomelorun_wire::{FlowKey, ServiceAddr};
use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// A service that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of new flows, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// What a route says about the requests that it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestClass {
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// `true` if a request may run more than once.
    pub idempotent: bool,
    /// Time after which a request is given up.
    pub timeout: Millis,
}

impl Default for RequestClass {
    /// Returns the class of a route that says nothing about its requests.
    fn default() -> RequestClass {
        RequestClass { priority: 0, idempotent: false, timeout: Millis(u64::from(u32::MAX)) }
    }
}

/// Route of one address that callers open flows to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectRoute {
    /// Address that callers use.
    pub addr: ServiceAddr,
    /// Targets of new flows; at least one.
    pub targets: Vec<RouteTarget>,
    /// Response-time goal of requests.
    pub answer_within: Millis,
    /// What else is known of the requests.
    pub class: RequestClass,
}

impl DirectRoute {
    /// Returns the part of the route's new flows that goes to a service, from 0 to 1.
    pub(crate) fn share_of(&self, service: &str) -> f64 {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let to_service = self.targets.iter().filter(|it| it.service == service);
        let weight: u64 = to_service.map(|it| u64::from(it.weight)).sum();
        if total == 0 { 0.0 } else { weight as f64 / total as f64 }
    }

    /// Returns the service of a new flow.
    ///
    /// The result is the same on every host and for every transmission of the opening packet.
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

/// Parameters that a service sets for its upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Name of the service.
    pub service: String,
    /// Requests per second that a cold upstream can handle.
    pub cold_per_s: f64,
    /// Time for which an upstream is cold after its start.
    pub cold: Millis,
    /// HTTP path at which an upstream returns its identifier.
    pub health_path: String,
}

/// One revision of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routing {
    /// Number of the revision, zero before the first one.
    pub revision: u64,
    /// Routes, sorted by address.
    routes: Vec<DirectRoute>,
    /// Parameters of services, sorted by service.
    limits: Vec<ServiceLimits>,
    /// Time without a packet after which the state of a flow may be removed.
    pub idle_timeout: Millis,
}

impl Routing {
    /// Creates a revision. If several routes have the same address, the first one applies.
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

    /// Returns the route of an address.
    pub fn route(&self, addr: ServiceAddr) -> Option<&DirectRoute> {
        let at = self.routes.binary_search_by_key(&addr, |it| it.addr).ok()?;
        Some(&self.routes[at])
    }

    /// Returns the parameters of a service.
    pub fn limits(&self, service: &str) -> Option<&ServiceLimits> {
        let at = self.limits.binary_search_by(|it| it.service.as_str().cmp(service)).ok()?;
        Some(&self.limits[at])
    }

    /// Returns `true` if the revision names a service.
    pub(crate) fn names_service(&self, service: &str) -> bool {
        let is_target =
            || self.routes.iter().flat_map(|it| &it.targets).any(|it| it.service == service);
        self.limits(service).is_some() || is_target()
    }

    /// Returns all routes, sorted by address.
    pub fn routes(&self) -> &[DirectRoute] {
        &self.routes
    }
}

/// Difference between two revisions of the configuration.
///
/// Hosts send each other differences, because a revision of a thousand routes, sent to every host
/// of a zone, would fill the link of a small host for a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingChange {
    /// Revision that the difference applies to; zero for a full revision that replaces any other.
    pub from: u64,
    /// Revision that results from it.
    pub to: u64,
    idle_ms: u64,
    limits: Vec<ServiceLimits>,
    /// Names of services, which the rows refer to by position.
    services: Vec<String>,
    /// New and changed routes.
    set: Vec<RouteRow>,
    /// Addresses whose routes were removed.
    unset: Vec<(u32, u16)>,
    /// Classes of the new and changed routes that say something about their requests; hosts of older
    /// versions do not send it, and ignore it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    classes: Vec<ClassRow>,
}

/// Address, port, positions of services with their weights, and response-time goal in milliseconds.
type RouteRow = (u32, u16, Vec<(u32, u32)>, u32);

/// Position of a route among the new and changed ones, priority, whether a request may run more than
/// once, and time-out in milliseconds.
type ClassRow = (u32, u8, bool, u32);

impl RoutingChange {
    /// Returns the difference from `old` to `new`.
    pub fn between(old: &Routing, new: &Routing) -> RoutingChange {
        let mut change = RoutingChange {
            from: old.revision,
            to: new.revision,
            idle_ms: new.idle_timeout.0,
            limits: new.limits.clone(),
            services: Vec::new(),
            set: Vec::new(),
            unset: Vec::new(),
            classes: Vec::new(),
        };
        for it in new.routes.iter().filter(|it| old.route(it.addr) != Some(it)) {
            change.push(it);
        }
        let removed = old.routes.iter().filter(|it| new.route(it.addr).is_none());
        change.unset.extend(removed.map(|it| (it.addr.ip, it.addr.port)));
        change
    }

    /// Applies the difference, or returns `None` if it does not apply to `old`.
    pub fn apply(&self, old: &Routing) -> Option<Routing> {
        let replaces = self.from == 0;
        if !replaces && self.from != old.revision {
            return None;
        }
        let mut routes: Vec<DirectRoute> = if replaces { Vec::new() } else { old.routes.clone() };
        for (at, it) in self.set.iter().enumerate() {
            let route = DirectRoute { class: self.class(at), ..self.route(it)? };
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
        if route.class != RequestClass::default() {
            let RequestClass { priority, idempotent, timeout } = route.class;
            let timeout = u32::try_from(timeout.0).unwrap_or(u32::MAX);
            self.classes.push((self.set.len() as u32, priority, idempotent, timeout));
        }
        let within = u32::try_from(route.answer_within.0).unwrap_or(u32::MAX);
        self.set.push((route.addr.ip, route.addr.port, targets, within));
    }

    /// Returns the class of the new or changed route at a position.
    fn class(&self, at: usize) -> RequestClass {
        let found = self.classes.binary_search_by_key(&at, |it| it.0 as usize);
        found.map_or_else(
            |_| RequestClass::default(),
            |found| {
                let (_, priority, idempotent, timeout) = self.classes[found];
                RequestClass { priority, idempotent, timeout: Millis(u64::from(timeout)) }
            },
        )
    }

    fn route(&self, row: &RouteRow) -> Option<DirectRoute> {
        let mut targets = Vec::with_capacity(row.2.len());
        for &(at, weight) in &row.2 {
            let service = self.services.get(at as usize)?.clone();
            targets.push(RouteTarget { service, weight });
        }
        let addr = ServiceAddr { ip: row.0, port: row.1 };
        let answer_within = Millis(u64::from(row.3));
        Some(DirectRoute { addr, targets, answer_within, class: RequestClass::default() })
    }
}
