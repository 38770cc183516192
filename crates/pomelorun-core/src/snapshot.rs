//! A revision of the configuration, compiled for fast lookups per packet.

use std::net::SocketAddrV4;

use pomelorun_wire::{ServiceAddr, UpstreamId, ZoneId};

use crate::time::Millis;

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneView {
    /// Identifier.
    pub id: ZoneId,
    /// Name, for reports.
    pub name: String,
    /// `true` if operators withdrew the zone from service.
    pub withdrawn: bool,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceView {
    /// Address that callers send to.
    pub addr: ServiceAddr,
    /// Name, for reports.
    pub name: String,
    /// Index of the service's pool in [`Snapshot::pools`].
    pub pool: usize,
    /// Latency target of the service's objectives: the time within which a request is to be
    /// answered, milliseconds.
    pub answer_within: Millis,
}

/// An upstream pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolView {
    /// Name, for reports.
    pub name: String,
    /// Indices of the pool's upstreams in [`Snapshot::upstreams`].
    pub upstreams: Vec<usize>,
    /// Maximum deadline of a request, milliseconds.
    pub max_deadline: Millis,
    /// Latency of an answer above which the upstream counts as slow, milliseconds.
    pub slow_after: Millis,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamView {
    /// Identifier.
    pub id: UpstreamId,
    /// Names of pool and endpoint as `POOL/ENDPOINT`, for reports.
    pub name: String,
    /// Index of the upstream's pool in [`Snapshot::pools`].
    pub pool: usize,
    /// Availability zone.
    pub zone: ZoneId,
    /// Socket address.
    pub addr: SocketAddrV4,
    /// Number of requests that a warm upstream runs concurrently.
    pub slots: u16,
    /// Number of requests that a cold upstream runs concurrently.
    pub cold_slots: u16,
    /// `true` if the upstream is drained and gets no new flows.
    pub draining: bool,
}

/// A revision of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Number of the revision; each publication increases it.
    pub revision: u64,
    /// Number of hash buckets of the flows.
    pub buckets: u32,
    /// Sorted by identifier.
    pub zones: Vec<ZoneView>,
    /// Sorted by address.
    pub services: Vec<ServiceView>,
    /// Sorted by name.
    pub pools: Vec<PoolView>,
    /// Sorted by identifier.
    pub upstreams: Vec<UpstreamView>,
}

impl Snapshot {
    /// Returns the service with this address.
    pub fn service(&self, addr: ServiceAddr) -> Option<&ServiceView> {
        let at = self.services.binary_search_by_key(&addr, |it| it.addr).ok()?;
        Some(&self.services[at])
    }

    /// Returns the upstream with this identifier.
    pub fn upstream(&self, id: UpstreamId) -> Option<&UpstreamView> {
        let at = self.upstreams.binary_search_by_key(&id, |it| it.id).ok()?;
        Some(&self.upstreams[at])
    }

    /// Returns the zone with this identifier.
    pub fn zone(&self, id: ZoneId) -> Option<&ZoneView> {
        let at = self.zones.binary_search_by_key(&id, |it| it.id).ok()?;
        Some(&self.zones[at])
    }

    /// Returns `true` if operators withdrew the zone; an unknown zone counts as withdrawn.
    pub fn is_zone_withdrawn(&self, id: ZoneId) -> bool {
        self.zone(id).is_none_or(|it| it.withdrawn)
    }

    /// Returns the pool that an upstream belongs to.
    pub fn pool_of(&self, upstream: &UpstreamView) -> &PoolView {
        &self.pools[upstream.pool]
    }
}
