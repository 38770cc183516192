//! Messages between the services of a daemon.

use std::{net::SocketAddrV4, sync::Arc};

use actix::Message;
use pomelorun_core::{ListedHost, Snapshot};
use pomelorun_wire::{Code, FlowKey, HostId};
use tokio::sync::mpsc;

use crate::explain::ExplainReport;

/// One host of the host list with its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostEntry {
    /// The host as the core sees it.
    pub listed: ListedHost,
    /// Address of its packet socket.
    pub packets: SocketAddrV4,
    /// Address at which it gives its configuration to other hosts, if it is listed.
    pub peers: Option<SocketAddrV4>,
}

/// A message from one service to another.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub enum ServiceMessage {
    /// A revision is complete and checked.
    Snapshot {
        /// The compiled set.
        snapshot: Arc<Snapshot>,
        /// Hash of its content.
        content: String,
        /// Bytes read from the configuration service for it.
        bytes: u64,
    },
    /// The configuration service has answered, or not, since this long, milliseconds.
    ConfigAge(u64),
    /// Counts an occurrence of a numbered code.
    CountCode(Code),
    /// A host does not give the newer revision that it said it has.
    ForgetAdvertisedRevision(HostId),
    /// The host list was read.
    HostList(Vec<HostEntry>),
    /// An operator asks where a flow goes; the answer is sent back at once.
    Explain {
        /// Which flow.
        flow: FlowKey,
        /// Takes the one answer.
        reply: mpsc::Sender<ExplainReport>,
    },
    /// The process shuts down.
    Leave,
}
