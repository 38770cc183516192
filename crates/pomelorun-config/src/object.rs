//! Configuration objects.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// A service: the address that callers use, and its upstream pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Service {
    /// Name, unique among the objects of this kind.
    pub name: String,
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// Name of the upstream pool.
    pub pool: String,
    /// Service level objectives against which `pomelorunctl burn` reports the use of the error
    /// budget.
    #[serde(default)]
    pub objectives: Objectives,
}

/// Service level objectives, as fractions to be met over the window of the error budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct Objectives {
    /// Minimum fraction of flows that are not broken.
    pub flows_kept: f64,
    /// Minimum fraction of requests that are answered within `answer_within_ms`.
    pub answered_in_time: f64,
    /// Latency objective of an answer, in milliseconds.
    pub answer_within_ms: u64,
    /// Minimum fraction of requests that are not refused.
    pub not_refused: f64,
    /// Window of the error budget, in hours.
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
    /// Name, unique among the objects of this kind.
    pub name: String,
    /// Region that the zone belongs to.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub region: String,
    /// `true` if the zone is withdrawn: its upstreams receive no packets, and its flows are
    /// abandoned.
    #[serde(default, rename = "out")]
    pub withdrawn: bool,
}

/// A pool of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct UpstreamPool {
    /// Name, unique among the objects of this kind.
    pub name: String,
    /// Number of requests that a warm endpoint runs concurrently.
    pub slots: u16,
    /// Number of requests that a cold endpoint runs concurrently, during slow start.
    #[serde(default = "default_cold_slots")]
    pub cold_slots: u16,
    /// Maximum deadline of a request, in milliseconds.
    #[serde(default = "default_max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// Latency above which an endpoint is considered slow, in milliseconds.
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
    /// Name, unique within the pool.
    pub name: String,
    /// Name of the endpoint's availability zone.
    pub zone: String,
    /// Socket address of the endpoint.
    pub address: SocketAddrV4,
    /// `true` if the endpoint is draining: it accepts no new flows.
    #[serde(default)]
    pub draining: bool,
}

/// An object of any kind, tagged by `kind`.
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
    /// Kind of the object, as written in files.
    const KIND: &'static str;

    /// Returns the name of the object.
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

/// A set of objects, in which each kind is sorted by name.
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
    /// Adds an object at its position in the sorted order.
    pub fn add(&mut self, object: Object) {
        match object {
            Object::Service(it) => insert_sorted(&mut self.services, it),
            Object::AvailabilityZone(it) => insert_sorted(&mut self.zones, it),
            Object::UpstreamPool(it) => insert_sorted(&mut self.pools, it),
        }
    }

    /// Returns `true` if the set contains no objects.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty() && self.pools.is_empty() && self.services.is_empty()
    }

    /// Returns the zone with the given name.
    pub fn zone(&self, name: &str) -> Option<&AvailabilityZone> {
        find(&self.zones, name)
    }

    /// Returns the pool with the given name.
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
