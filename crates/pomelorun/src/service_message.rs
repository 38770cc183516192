//! Messages between the services of a daemon.

use std::{net::SocketAddrV4, sync::Arc};

use actix::Message;
use pomelorun_core::{ListedHost, Snapshot};
use pomelorun_wire::{Code, FlowKey, HostId};
use tokio::sync::mpsc;

use crate::explain::ExplainReport;

/// A host of the host list, with its addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostEntry {
    /// Host, zone and state as listed.
    pub listed: ListedHost,
    /// Address of its packet socket.
    pub packets: SocketAddrV4,
    /// Address of its configuration stream for other hosts, if listed.
    pub peers: Option<SocketAddrV4>,
}

/// A message from one service to another.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub enum ServiceMessage {
    /// A configuration revision was read completely and validated.
    Snapshot {
        /// The compiled configuration.
        snapshot: Arc<Snapshot>,
        /// Hash of the configuration's content.
        content: String,
        /// Bytes read for this revision from the configuration service or another host.
        bytes: u64,
    },
    /// Time since the configuration service last responded, in milliseconds.
    ConfigAge(u64),
    /// A numbered code occurred and is to be counted.
    CountCode(Code),
    /// A host announced a newer revision but did not provide it.
    ForgetAdvertisedRevision(HostId),
    /// The host list was read.
    HostList(Vec<HostEntry>),
    /// An operator requests an explanation of a flow's routing.
    Explain {
        /// The flow to explain.
        flow: FlowKey,
        /// Channel for the single reply.
        reply: mpsc::Sender<ExplainReport>,
    },
    /// The process is shutting down.
    Leave,
}
