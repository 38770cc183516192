//! Identifiers that all processes share.

use std::{fmt, net::Ipv4Addr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Returns a hash of the bytes that is the same on every host and in every release.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Identifies an entry host by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub u64);

impl HostId {
    /// Derives the identifier from the host's name in the host list.
    pub fn from_name(name: &str) -> HostId {
        HostId(stable_hash(name.as_bytes()))
    }
}

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies an availability zone by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ZoneId(pub u32);

impl ZoneId {
    /// Derives the identifier from the zone's name.
    pub fn from_name(name: &str) -> ZoneId {
        ZoneId(truncated_hash(name))
    }
}

/// Identifies an upstream by the hash of `pool/endpoint`.
///
/// The configuration check rejects a set in which two names have the same identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamId(pub u32);

impl UpstreamId {
    /// Derives the identifier from the names of the pool and the endpoint.
    pub fn from_names(pool: &str, endpoint: &str) -> UpstreamId {
        UpstreamId(truncated_hash(&format!("{pool}/{endpoint}")))
    }
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

fn truncated_hash(name: &str) -> u32 {
    (stable_hash(name.as_bytes()) >> 32) as u32
}

/// The address and port of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceAddr {
    /// IPv4 address in host byte order.
    pub ip: u32,
    /// The port.
    pub port: u16,
}

impl fmt::Display for ServiceAddr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", Ipv4Addr::from(self.ip), self.port)
    }
}

/// Identifies a flow by the addresses and ports of the caller and the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// The caller's IPv4 address in host byte order.
    pub caller_ip: u32,
    /// The caller's port.
    pub caller_port: u16,
    /// The address and port of the service.
    pub service: ServiceAddr,
}

impl FlowKey {
    /// Returns a hash of the flow that is the same on every host and in every release.
    pub fn stable_hash(&self) -> u64 {
        let mut buf = [0u8; 12];
        buf[0..4].copy_from_slice(&self.caller_ip.to_be_bytes());
        buf[4..6].copy_from_slice(&self.caller_port.to_be_bytes());
        buf[6..10].copy_from_slice(&self.service.ip.to_be_bytes());
        buf[10..12].copy_from_slice(&self.service.port.to_be_bytes());
        stable_hash(&buf)
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}>{}", Ipv4Addr::from(self.caller_ip), self.caller_port, self.service)
    }
}
