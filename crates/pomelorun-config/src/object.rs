//! The named objects.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// A service: the address that callers use and the pool behind it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// Name of the upstream pool.
    pub pool: String,
    /// Objectives that the burn report measures against.
    #[serde(default)]
    pub objectives: Objectives,
}

/// Objectives of a service, as fractions that must be met over the budget window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct Objectives {
    /// Least fraction of flows that are not broken.
    pub flows_kept: f64,
    /// Least fraction of requests that are answered within `answer_within_ms`.
    pub answered_in_time: f64,
    /// Latency bound of an answer, milliseconds.
    pub answer_within_ms: u64,
    /// Least fraction of requests that are not refused.
    pub not_refused: f64,
    /// Window of the budget, hours.
    pub window_hours: u32,
}

impl Default for Objectives {
    fn default() -> Objectives {
        Objectives {
            flows_kept: 0.999_9,
            answered_in_time: 0.99,
            answer_within_ms: 250,
            not_refused: 0.99,
            window_hours: 720,
        }
    }
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AvailabilityZone {
    /// Unique name.
    pub name: String,
    /// Region that the zone belongs to.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub region: String,
    /// `true` if the zone is withdrawn: it receives no packets.
    #[serde(default, rename = "out")]
    pub withdrawn: bool,
}

/// A pool of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct UpstreamPool {
    /// Unique name.
    pub name: String,
    /// Requests that an endpoint runs at a time when warm.
    pub slots: u16,
    /// Requests that an endpoint runs at a time when cold.
    #[serde(default = "default_cold_slots")]
    pub cold_slots: u16,
    /// Longest deadline of a request, milliseconds.
    #[serde(default = "default_max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// Latency above which an endpoint counts as slow, milliseconds.
    #[serde(default = "default_slow_after_ms")]
    pub slow_after_ms: u64,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

fn default_cold_slots() -> u16 {
    1
}

fn default_max_deadline_ms() -> u64 {
    1_000
}

fn default_slow_after_ms() -> u64 {
    100
}

/// An upstream in a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Endpoint {
    /// Name, unique in the pool.
    pub name: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Address of its socket.
    pub address: SocketAddrV4,
    /// Takes no new flows.
    #[serde(default)]
    pub draining: bool,
}

/// Any named object, tagged by its kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind")]
pub enum Object {
    /// A service.
    Service(Service),
    /// An availability zone.
    AvailabilityZone(AvailabilityZone),
    /// A pool of upstreams.
    UpstreamPool(UpstreamPool),
}

/// An object with a name.
pub trait Named {
    /// The object's kind, as in files.
    const KIND: &'static str;

    /// The object's name.
    fn name(&self) -> &str;
}

impl Named for Service {
    const KIND: &'static str = "Service";

    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for AvailabilityZone {
    const KIND: &'static str = "AvailabilityZone";

    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for UpstreamPool {
    const KIND: &'static str = "UpstreamPool";

    fn name(&self) -> &str {
        &self.name
    }
}

/// A set of objects, each kind sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ObjectSet {
    /// The availability zones.
    pub zones: Vec<AvailabilityZone>,
    /// The upstream pools.
    pub pools: Vec<UpstreamPool>,
    /// The services.
    pub services: Vec<Service>,
}

impl ObjectSet {
    /// Adds an object, keeping the order.
    pub fn add(&mut self, object: Object) {
        match object {
            Object::Service(it) => insert_sorted(&mut self.services, it),
            Object::AvailabilityZone(it) => insert_sorted(&mut self.zones, it),
            Object::UpstreamPool(it) => insert_sorted(&mut self.pools, it),
        }
    }

    /// Tells whether there is no object.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty() && self.pools.is_empty() && self.services.is_empty()
    }

    /// Finds a zone by name.
    pub fn zone(&self, name: &str) -> Option<&AvailabilityZone> {
        find(&self.zones, name)
    }

    /// Finds a pool by name.
    pub fn pool(&self, name: &str) -> Option<&UpstreamPool> {
        find(&self.pools, name)
    }
}

fn insert_sorted<T: Named>(items: &mut Vec<T>, item: T) {
    let at = items.partition_point(|it| it.name() <= item.name());
    items.insert(at, item);
}

pub(crate) fn find<'a, T: Named>(items: &'a [T], name: &str) -> Option<&'a T> {
    let at = items.binary_search_by(|it| it.name().cmp(name)).ok()?;
    Some(&items[at])
}
