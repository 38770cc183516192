//! What the core wants of the services that read the platform.

use std::net::SocketAddrV4;

use pomelorun_core::ConfigReadRole;
use pomelorun_wire::HostId;
use tokio::sync::watch;

/// What the core wants, as of its last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CoreState {
    /// The view of the other hosts was checked.
    pub(crate) synced: bool,
    /// How this host takes part in reading the configuration service.
    pub(crate) read_role: ConfigReadRole,
    /// Highest revision that other hosts have in force, zero where none is newer.
    pub(crate) newer_revision: u64,
    /// Hosts that have it, with the addresses at which they give it.
    pub(crate) sources: Vec<(HostId, SocketAddrV4)>,
    /// Rises when the host list should be read early.
    pub(crate) host_list_requests: u64,
}

impl Default for CoreState {
    fn default() -> CoreState {
        CoreState {
            synced: false,
            read_role: ConfigReadRole::Reader,
            newer_revision: 0,
            sources: Vec::new(),
            host_list_requests: 0,
        }
    }
}

/// The sending side, held by the engine.
pub(crate) type CoreStateTx = watch::Sender<CoreState>;
/// The receiving side.
pub(crate) type CoreStateRx = watch::Receiver<CoreState>;
