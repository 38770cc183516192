//! One revision of the configuration, compiled for lookups on the packet path.

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
    /// Taken out by operators.
    pub withdrawn: bool,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceView {
    /// Address that callers use.
    pub addr: ServiceAddr,
    /// Name, for reports.
    pub name: String,
    /// Position of its pool in [`Snapshot::pools`].
    pub pool: usize,
    /// Latency bound of an answer by the service's objectives, milliseconds.
    pub answer_within: Millis,
}

/// An upstream pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolView {
    /// Name, for reports.
    pub name: String,
    /// Positions of its upstreams in [`Snapshot::upstreams`].
    pub upstreams: Vec<usize>,
    /// Longest deadline of a request, milliseconds.
    pub max_deadline: Millis,
    /// Latency above which an upstream counts as slow, milliseconds.
    pub slow_after: Millis,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamView {
    /// Identifier.
    pub id: UpstreamId,
    /// Name of pool and endpoint, for reports.
    pub name: String,
    /// Position of its pool in [`Snapshot::pools`].
    pub pool: usize,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address of its socket.
    pub addr: SocketAddrV4,
    /// Requests that it runs at a time when warm.
    pub slots: u16,
    /// Requests that it runs at a time when cold.
    pub cold_slots: u16,
    /// Takes no new flows.
    pub draining: bool,
}

/// One revision of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Rises with each publication.
    pub revision: u64,
    /// Buckets that flows are spread over.
    pub buckets: u32,
    /// Sorted by identifier.
    pub zones: Vec<ZoneView>,
    /// Sorted by address.
    pub services: Vec<ServiceView>,
    /// In order of name.
    pub pools: Vec<PoolView>,
    /// Sorted by identifier.
    pub upstreams: Vec<UpstreamView>,
}

impl Snapshot {
    /// Finds the service with this address.
    pub fn service(&self, addr: ServiceAddr) -> Option<&ServiceView> {
        let at = self.services.binary_search_by_key(&addr, |it| it.addr).ok()?;
        Some(&self.services[at])
    }

    /// Finds an upstream.
    pub fn upstream(&self, id: UpstreamId) -> Option<&UpstreamView> {
        let at = self.upstreams.binary_search_by_key(&id, |it| it.id).ok()?;
        Some(&self.upstreams[at])
    }

    /// Finds a zone.
    pub fn zone(&self, id: ZoneId) -> Option<&ZoneView> {
        let at = self.zones.binary_search_by_key(&id, |it| it.id).ok()?;
        Some(&self.zones[at])
    }

    /// Tells whether operators have taken the zone out; a zone that is not configured is out.
    pub fn is_zone_withdrawn(&self, id: ZoneId) -> bool {
        self.zone(id).is_none_or(|it| it.withdrawn)
    }

    /// The pool behind an upstream.
    pub fn pool_of(&self, upstream: &UpstreamView) -> &PoolView {
        &self.pools[upstream.pool]
    }
}
