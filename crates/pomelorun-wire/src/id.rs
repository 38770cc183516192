//! Identifiers shared by all processes.

use std::{fmt, net::Ipv4Addr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hashes bytes to the same number on every host and in every release.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Identifies an entry host by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub u64);

impl HostId {
    /// Derives the identifier from the name in the host list.
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

/// Identifies an upstream by the hash of `pool/endpoint`; the configuration check refuses a set in
/// which two names share one identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamId(pub u32);

impl UpstreamId {
    /// Derives the identifier from the names of the pool and of the endpoint in it.
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

/// Address and port on which a service is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceAddr {
    /// IPv4 address in host byte order.
    pub ip: u32,
    /// Port.
    pub port: u16,
}

impl fmt::Display for ServiceAddr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", Ipv4Addr::from(self.ip), self.port)
    }
}

/// Names a flow: the caller's address and the service's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// The caller's IPv4 address in host byte order.
    pub caller_ip: u32,
    /// The caller's port.
    pub caller_port: u16,
    /// The service that the caller speaks to.
    pub service: ServiceAddr,
}

impl FlowKey {
    /// Hashes the flow to the same number on every host.
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
