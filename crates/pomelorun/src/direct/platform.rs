//! Traits that adapt the daemon to a platform.

use std::{net::SocketAddrV4, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use pomelorun_core::direct::{DirectoryPosition, DirectoryUpdate, ResetPacket, Segment, Token};
use thiserror::Error;

/// The reason why a datagram is not a valid packet of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum MalformedPacket {
    /// The datagram is shorter than a header, or than the length in its header.
    #[error("short")]
    TooShort,
    /// The datagram is longer than the length in its header, or than a packet may be.
    #[error("long")]
    TooLong,
    /// Only upstreams send packets of this kind.
    #[error("not a caller's packet")]
    NotFromCaller,
}

/// Decodes callers' packets and encodes datagrams.
pub trait PacketCodec {
    /// Decodes a caller's packet.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a valid packet of a caller.
    fn read(&self, bytes: &[u8]) -> Result<Segment, MalformedPacket>;

    /// Appends the datagram that forwards a packet to the upstream with identifier `id`.
    fn write_forward(&self, packet: &[u8], id: u64, token: Token, buf: &mut Vec<u8>);

    /// Appends the datagram that resets a flow and returns its destination.
    fn write_reset(&self, reset: &ResetPacket, buf: &mut Vec<u8>) -> SocketAddrV4;
}

/// An error of a request to the directory, or to an upstream for its identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// The request timed out.
    #[error("request timed out")]
    Timeout,
    /// The response to a watch began but was not complete in time, or is too long.
    #[error("response not complete in time")]
    Incomplete,
    /// The connection was refused: nothing listens at the address.
    #[error("connection refused")]
    Refused,
    /// The request failed, or the connection did.
    #[error("{0}")]
    Failed(String),
    /// The directory no longer has the revision after which the watch was to continue.
    #[error("the directory no longer has the requested revision; a new listing is needed")]
    HistoryExpired,
    /// The directory's address has changed, so that earlier positions are void.
    #[error("the directory's address has changed; a new listing is needed")]
    AddressChanged,
}

/// One page of a full listing of the directory.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ListingPage {
    /// Updates that describe this part of the directory's content. The configuration and withdrawn
    /// zones are in the first page.
    pub items: Vec<DirectoryUpdate>,
    /// Position of the directory when the page was read.
    pub position: DirectoryPosition,
    /// Descriptions of the entries that could not be parsed, each with the reason.
    pub unreadable: Vec<String>,
    /// Key after which the next page begins; `None` for the last page.
    pub next: Option<String>,
}

/// Changes of the directory after a revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Events {
    /// The updates, in order.
    pub items: Vec<DirectoryUpdate>,
    /// Position after which the next watch continues.
    pub position: DirectoryPosition,
    /// Descriptions of the entries that could not be parsed, each with the reason.
    pub unreadable: Vec<String>,
}

/// The directory, in which configuration and upstreams are published.
pub trait Directory {
    /// Sets the address used for further requests.
    fn set_address(&self, address: SocketAddrV4);

    /// Lists the part of the directory that begins after a key; the first part after an empty one.
    ///
    /// The pages are not a snapshot, so a watch must start at the position of the first page. It may
    /// repeat changes that later pages already contain.
    ///
    /// `timeout` is the maximum time without any data: a page may take longer on a slow link, and
    /// there is nothing shorter to read instead. After that the request fails with
    /// [`DirectoryError::Timeout`].
    fn list_page<'a>(
        &'a self,
        after: &'a str,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<ListingPage, DirectoryError>>;

    /// Returns the changes after a position, waiting for one for at most `wait`.
    ///
    /// The response must begin within `timeout` and be complete `timeout - wait` later; otherwise the
    /// request fails with [`DirectoryError::Timeout`] or [`DirectoryError::Incomplete`]. If the era of
    /// the returned position is another one, the changes do not continue the history up to `after`.
    fn watch(
        &self,
        after: DirectoryPosition,
        wait: Duration,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<Events, DirectoryError>>;
}

/// Identifies the upstream at an address.
pub trait Prober {
    /// Requests the identifier of the upstream at `addr` from its health check at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response has no identifier.
    fn identify(
        &self,
        addr: SocketAddrV4,
        path: &str,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<u64, DirectoryError>>;
}

/// The implementations for one platform.
pub struct Platform {
    /// Codec of the platform's packets.
    pub codec: Box<dyn PacketCodec>,
    /// The platform's directory.
    pub directory: Rc<dyn Directory>,
    /// Identifies upstreams.
    pub prober: Rc<dyn Prober>,
}
