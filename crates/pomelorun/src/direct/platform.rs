//! What a platform must provide.

use std::{net::SocketAddrV4, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use pomelorun_core::direct::{DirectoryUpdate, ResetPacket, Segment, Token};
use thiserror::Error;

/// Why bytes are no packet of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum MalformedPacket {
    /// Shorter than a header, or than the header says.
    #[error("short")]
    TooShort,
    /// Longer than the header says, or than a packet may be.
    #[error("long")]
    TooLong,
    /// A packet that only upstreams send.
    #[error("not a caller's packet")]
    NotFromCaller,
}

/// The form of packets.
pub trait PacketCodec {
    /// Reads a caller's packet.
    ///
    /// # Errors
    /// Bytes that are none.
    fn read(&self, bytes: &[u8]) -> Result<Segment, MalformedPacket>;

    /// Appends the datagram that takes a packet to an upstream.
    fn write_forward(&self, packet: &[u8], id: u64, token: Token, buf: &mut Vec<u8>);

    /// Appends the datagram that resets a flow and returns where it goes.
    fn write_reset(&self, reset: &ResetPacket, buf: &mut Vec<u8>) -> SocketAddrV4;
}

/// Why the directory was not read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// An error, or no connection.
    #[error("{0}")]
    Failed(String),
    /// The history that a watch was to continue from is gone.
    #[error("the history is gone")]
    HistoryGone,
}

/// Everything that is published.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Listing {
    /// What is published.
    pub items: Vec<DirectoryUpdate>,
    /// Revision of the directory from which a watch continues.
    pub revision: u64,
    /// Entries that cannot be used, with why.
    pub unreadable: Vec<String>,
}

/// What was published since a revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Events {
    /// What is new, in order.
    pub items: Vec<DirectoryUpdate>,
    /// Revision of the directory from which the next watch continues.
    pub revision: u64,
    /// Entries that cannot be used, with why.
    pub unreadable: Vec<String>,
}

/// Where configuration and upstreams are published.
pub trait Directory {
    /// Asks at another address from now on.
    fn set_address(&self, address: SocketAddrV4);

    /// Reads everything.
    fn list(&self, limit: Duration) -> LocalBoxFuture<'_, Result<Listing, DirectoryError>>;

    /// Waits for something published after a revision, at most `wait`.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
        limit: Duration,
    ) -> LocalBoxFuture<'_, Result<Events, DirectoryError>>;
}

/// Who answers at an upstream's address.
pub trait Prober {
    /// Asks the upstream at `addr` for its identifier.
    ///
    /// # Errors
    /// An answer without an identifier, or none.
    fn identify(
        &self,
        addr: SocketAddrV4,
        path: &str,
        limit: Duration,
    ) -> LocalBoxFuture<'_, Result<u64, DirectoryError>>;
}

/// One platform.
pub struct Platform {
    /// The form of packets.
    pub codec: Box<dyn PacketCodec>,
    /// Where configuration and upstreams are published.
    pub directory: Rc<dyn Directory>,
    /// Who answers at an upstream's address.
    pub prober: Rc<dyn Prober>,
}
