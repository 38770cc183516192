//! The description of a deployment that the demonstration runs, and its place on loopback.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
};

use pomelorun_config::ObjectSet;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HostPlan {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
}

/// What callers ask of a service and what its upstreams do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Flows held open.
    pub flows: u32,
    /// Requests a second across all flows.
    pub requests_per_second: u32,
    /// Share of requests that must run at most once, percent.
    pub non_idempotent_percent: u32,
    /// Deadline of a request, milliseconds.
    pub deadline_ms: u16,
    /// Time that a warm upstream takes for a request, microseconds.
    pub service_time_us: u64,
    /// Parts of an answer.
    pub answer_parts: u16,
    /// Bytes in each part.
    pub part_bytes: usize,
}

/// A deployment: hosts, latencies and load. Its objects lie in `objects/` beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Deployment {
    /// Latency between availability zones, one way, microseconds.
    pub zone_latency_us: u64,
    /// Latency between callers and hosts, one way, microseconds.
    pub client_latency_us: u64,
    /// Entry hosts.
    pub hosts: Vec<HostPlan>,
    /// Load by service.
    pub load: Vec<ServiceLoad>,
}

/// Why a deployment cannot be read.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct DeploymentError(pub String);

/// Reads `demo.json` and `objects/` of a directory.
///
/// # Errors
/// Files that cannot be read or do not check.
pub fn load_deployment(dir: &Path) -> Result<(Deployment, ObjectSet), DeploymentError> {
    let path = dir.join("demo.json");
    let named = |e: &dyn std::fmt::Display| DeploymentError(format!("{}: {e}", path.display()));
    let text = fs::read_to_string(&path).map_err(|e| named(&e))?;
    let deployment = serde_json::from_str(&text).map_err(|e| named(&e))?;
    let set = pomelorun_config::load_dir(&dir.join("objects"))
        .map_err(|e| DeploymentError(e.to_string()))?;
    pomelorun_config::check(&set).into_result(()).map_err(|e| DeploymentError(e.to_string()))?;
    Ok((deployment, set))
}

/// Addresses of a deployment in a loopback network of its own.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    net: [u8; 3],
}

const HOST_PORT: u16 = 7_000;
const LINK_PORT: u16 = 7_100;
const PEERS_PORT: u16 = 7_090;
const ADMIN_PORT: u16 = 7_900;

impl Layout {
    /// Chooses a network by a number such as the process id.
    pub fn new(number: u32) -> Layout {
        let [_, _, high, low] = number.to_be_bytes();
        Layout { net: [127, high | 0x40, low] }
    }

    fn addr(self, last: u8, port: u16) -> SocketAddrV4 {
        let [a, b, c] = self.net;
        SocketAddrV4::new(Ipv4Addr::new(a, b, c, last), port)
    }

    /// Packet socket of the host with this number.
    pub fn host(self, host: usize) -> SocketAddrV4 {
        self.addr(host as u8 + 1, HOST_PORT)
    }

    /// Stream by which the host with this number gives its configuration to others.
    pub fn peers(self, host: usize) -> SocketAddrV4 {
        self.addr(host as u8 + 1, PEERS_PORT)
    }

    /// Admin service of the host with this number.
    pub fn admin(self, host: usize) -> SocketAddrV4 {
        self.addr(host as u8 + 1, ADMIN_PORT)
    }

    /// The link by which a zone reaches a host.
    pub fn link(self, zone: usize, host: usize) -> SocketAddrV4 {
        self.addr(host as u8 + 1, LINK_PORT + zone as u16)
    }

    /// Where the fabric takes packets of hosts for callers.
    pub fn fabric(self) -> SocketAddrV4 {
        self.addr(200, 7_200)
    }

    /// Where the fabric takes packets of callers.
    pub fn fabric_callers(self) -> SocketAddrV4 {
        self.addr(200, 7_201)
    }

    /// Where the callers take packets of the fabric.
    pub fn callers(self) -> SocketAddrV4 {
        self.addr(201, 7_202)
    }

    /// The platform's HTTP address.
    pub fn platform(self) -> SocketAddrV4 {
        self.addr(202, 7_300)
    }

    /// The upstream with this number.
    pub fn upstream(self, number: usize) -> SocketAddrV4 {
        self.addr(210, 6_000 + number as u16)
    }

    /// Moves all endpoints of a set into this network.
    pub fn place(self, set: &mut ObjectSet) {
        let endpoints = set.pools.iter_mut().flat_map(|it| it.endpoints.iter_mut());
        for (at, endpoint) in endpoints.enumerate() {
            endpoint.address = self.upstream(at);
        }
    }
}
