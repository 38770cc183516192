//! What the core wants of the services that read the platform.

use std::net::SocketAddrV4;

use pomelorun_core::ConfigReadRole;
use pomelorun_wire::HostId;
use tokio::sync::watch;

/// What the core wants, as of its last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Plan {
    /// The view of the other hosts was checked.
    pub(crate) settled: bool,
    /// How this host takes part in reading the configuration service.
    pub(crate) role: ConfigReadRole,
    /// Highest revision that other hosts have in force, zero where none is newer.
    pub(crate) newer: u64,
    /// Hosts that have it, with the addresses at which they give it.
    pub(crate) sources: Vec<(HostId, SocketAddrV4)>,
    /// Rises when the host list should be read early.
    pub(crate) list_wanted: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            settled: false,
            role: ConfigReadRole::Reader,
            newer: 0,
            sources: Vec::new(),
            list_wanted: 0,
        }
    }
}

/// The sending side, held by the engine.
pub(crate) type PlanTx = watch::Sender<Plan>;
/// The receiving side.
pub(crate) type PlanRx = watch::Receiver<Plan>;
