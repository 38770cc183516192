//! State of the decision core that the services `config` and `host_list` follow.

use std::net::SocketAddrV4;

use pomelorun_core::ConfigReadRole;
use pomelorun_wire::HostId;
use tokio::sync::watch;

/// State of the decision core, as last published by the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CoreState {
    /// `true` once the view of the members is synchronized with peers.
    pub(crate) synced: bool,
    /// How this host takes part in reading the configuration service.
    pub(crate) read_role: ConfigReadRole,
    /// Highest revision that is active on other hosts, 0 if none is newer than this host's.
    pub(crate) newer_revision: u64,
    /// Hosts that have the newer revision, with the addresses of their configuration streams.
    pub(crate) sources: Vec<(HostId, SocketAddrV4)>,
    /// Counter that increases whenever the host list should be read early.
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

/// Sender of the core state, held by the engine.
pub(crate) type CoreStateTx = watch::Sender<CoreState>;
/// Receiver of the core state.
pub(crate) type CoreStateRx = watch::Receiver<CoreState>;
