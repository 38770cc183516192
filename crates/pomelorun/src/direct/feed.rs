//! The service `feed`: replicates the directory's updates to the hosts that follow this one.
//!
//! A follower opens a WebSocket stream and receives CBOR messages: first what it lacks or a
//! snapshot, then each change, and heartbeats by which it notices a dead stream.

use std::{cell::RefCell, net::SocketAddrV4, rc::Rc, time::Duration};

use actix::Recipient;
use futures_util::{SinkExt, StreamExt};
use pomelorun_core::{
    Millis,
    direct::{
        DirectoryPosition, DirectoryState, HasFollowers, ListingNews, ListingState,
        ReplicatedUpdate, UpdateLog,
    },
};
use pomelorun_wire::{decode, encode};
use serde::{Deserialize, Serialize};
use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::broadcast,
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep_until, timeout, timeout_at},
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Bytes, Message, protocol::WebSocketConfig},
};

use crate::{
    direct::edge::{Edge, SharedEdge, now},
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    service_message::ServiceMessage,
};

const FEED: &str = "feed";
/// Maximum time without a message to the followers, as long as a watch of the directory takes at most
/// if there are followers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without a message after which a follower closes a stream: a heartbeat and a second of delay.
const FEED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout for connecting to a host. A connection that is accepted at all is accepted within
/// milliseconds; a host without power does not respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for each further step of opening a stream and for sending one message.
const IO_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum time that a message may wait for a slow follower before its stream is closed, so that the
/// age in it is still about right.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(700);
/// Number of messages that a slow follower may lag behind before its stream is closed.
const MAX_BACKLOG: usize = 256;
/// Maximum number of concurrent followers: twice the hosts of a zone at the target size
/// given in CONTRIBUTING.md.
const MAX_FOLLOWERS: usize = 256;
/// Fits a configuration of many thousand routes and as many upstreams.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// First message of a stream, sent by the follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Hello {
    /// Active revision of the follower's configuration.
    #[serde(rename = "has")]
    pub(crate) active_revision: u64,
    /// Position from which the follower can continue, if it has a settled listing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) position: Option<DirectoryPosition>,
    /// Position of the latest listing that its copy contains, as far as known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) listed: Option<DirectoryPosition>,
}

/// A message to a follower. Each carries the position in the directory's history that it reflects:
/// the revision, and the era unless the sender is of a version that does not know eras. It also carries
/// the age of the sender's copy of the directory in milliseconds, unless the sender is of a version
/// that does not know ages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FeedMsg {
    /// All updates known to the sender.
    #[serde(rename = "all")]
    Snapshot {
        revision: u64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        era: Option<u64>,
        /// `true` if the directory was restored from an older copy and has not settled.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        unsettled: bool,
        #[serde(rename = "away")]
        directory_unavailable: bool,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
        /// Position of the latest listing that the sender's copy contains, as far as known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        listed: Option<DirectoryPosition>,
        items: Vec<ReplicatedUpdate>,
    },
    /// New updates, or at the start of a stream all updates since the follower's position.
    Events {
        revision: u64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        era: Option<u64>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
        items: Vec<ReplicatedUpdate>,
    },
    /// Sent when a watch ended without events, in any case periodically, and when the directory's
    /// availability changes.
    #[serde(rename = "idle")]
    Heartbeat {
        revision: u64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        era: Option<u64>,
        #[serde(rename = "away")]
        directory_unavailable: bool,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
    },
}

impl FeedMsg {
    /// Returns the time up to which the sender's copy of the directory was complete, if the message
    /// arrived at `now`; `None` if the sender does not tell and has lost the directory.
    ///
    /// A sender of a version that does not know ages is taken to have just read the directory.
    pub(crate) fn confirmed_at(&self, now: Millis) -> Option<Millis> {
        let (age_ms, unavailable) = match self {
            FeedMsg::Snapshot { age_ms, directory_unavailable, .. }
            | FeedMsg::Heartbeat { age_ms, directory_unavailable, .. } => {
                (age_ms, *directory_unavailable)
            }
            FeedMsg::Events { age_ms, .. } => (age_ms, false),
        };
        match age_ms {
            Some(it) => Some(now - Millis(*it)),
            None => (!unavailable).then_some(now),
        }
    }
}

/// A command for all followers' streams.
#[derive(Debug, Clone)]
enum FeedCommand {
    Send { body: Bytes, queued_at: Instant },
    Close,
}

/// The feed, shared by the services of one thread.
pub(crate) type SharedFeed = Rc<RefCell<Feed>>;

/// State of the feed and the channel to the followers' streams.
pub(crate) struct Feed {
    tx: broadcast::Sender<FeedCommand>,
    /// `true` while this host reads the directory itself.
    serving: bool,
    directory_state: DirectoryState,
    position: DirectoryPosition,
    /// Time up to which this host's copy of the directory is known to be complete.
    confirmed_at: Option<Millis>,
    /// When a message was last sent to the followers.
    last_sent: Instant,
    log: UpdateLog,
}

impl Feed {
    pub(crate) fn new() -> Feed {
        let (tx, _) = broadcast::channel(MAX_BACKLOG);
        let position = DirectoryPosition::default();
        let log = UpdateLog::default();
        Feed {
            tx,
            serving: false,
            directory_state: DirectoryState::Unavailable,
            position,
            confirmed_at: None,
            last_sent: Instant::now(),
            log,
        }
    }

    /// Sets whether this host reads the directory; if it stops, its followers are disconnected and
    /// find another host.
    pub(crate) fn set_serving(&mut self, serving: bool) {
        if self.serving && !serving {
            // Sending fails only if there are no followers.
            let _ = self.tx.send(FeedCommand::Close);
        }
        if serving && !self.serving {
            self.log.restart(self.position);
        }
        self.serving = serving;
    }

    /// Sets the availability of the directory and notifies the followers of a change immediately.
    pub(crate) fn set_directory_state(&mut self, state: DirectoryState) {
        if self.directory_state != state {
            self.directory_state = state;
            self.send_heartbeat();
        }
    }

    /// Sets the position that this host has reached, directly or through another host.
    pub(crate) fn set_position(&mut self, position: DirectoryPosition) {
        self.position = position;
    }

    /// Records that this host's copy of the directory was complete at a time.
    pub(crate) fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the age of this host's copy of the directory, in milliseconds.
    fn age_ms(&self) -> u64 {
        self.confirmed_at.map_or(u64::MAX, |it| now().since(it).0)
    }

    /// Returns whether other hosts follow this one.
    pub(crate) fn has_followers(&self) -> HasFollowers {
        if self.tx.receiver_count() > 0 { HasFollowers::Yes } else { HasFollowers::No }
    }

    /// Records a listing and disconnects all followers, which reconnect for a new snapshot, because
    /// only changes can be passed on.
    ///
    /// Followers that have reached its position need the snapshot too if it told more than the updates.
    pub(crate) fn reset_followers(&mut self, position: DirectoryPosition, news: ListingNews) {
        self.set_position(position);
        self.log.record_listing(position, news);
        self.log.restart(position);
        let _ = self.tx.send(FeedCommand::Close);
    }

    /// Records the latest listing that a followed host's snapshot contains.
    pub(crate) fn record_listing(&mut self, position: DirectoryPosition) {
        self.log.record_listing(position, ListingNews::Initial);
    }

    /// Returns the position of the latest listing that this host's copy contains, as far as known.
    pub(crate) fn listed(&self) -> Option<DirectoryPosition> {
        self.log.listed()
    }

    /// Sends new updates to all followers.
    pub(crate) fn publish(&mut self, position: DirectoryPosition, items: Vec<ReplicatedUpdate>) {
        self.position = position;
        let DirectoryPosition { era, revision } = position;
        self.log.push(position, &items);
        let age_ms = Some(self.age_ms());
        self.broadcast(&FeedMsg::Events { revision, era: Some(era), age_ms, items });
    }

    /// Returns the first message of a stream: what the follower lacks, or a snapshot if that is not
    /// known.
    fn first_message(&self, edge: &Edge, hello: Hello) -> FeedMsg {
        let age_ms = Some(self.age_ms());
        let DirectoryPosition { era, revision } = self.position;
        let can_resume = self.serving
            && !self.is_directory_unavailable()
            && edge.listing_state() == ListingState::Settled;
        let missing = hello.position.filter(|_| can_resume);
        if let Some(items) = missing.and_then(|it| self.log.updates_for(it, hello.listed)) {
            return FeedMsg::Events { revision, era: Some(era), age_ms, items };
        }
        FeedMsg::Snapshot {
            revision,
            era: edge.directory_era(),
            unsettled: edge.listing_state() == ListingState::Unsettled,
            directory_unavailable: self.is_directory_unavailable() || !self.serving,
            age_ms,
            listed: self.log.listed(),
            items: edge.full_listing(hello.active_revision),
        }
    }

    /// Tells the followers how old this host's copy of the directory is.
    pub(crate) fn send_heartbeat(&mut self) {
        let age_ms = Some(self.age_ms());
        self.broadcast(&FeedMsg::Heartbeat {
            revision: self.position.revision,
            era: Some(self.position.era),
            directory_unavailable: self.is_directory_unavailable(),
            age_ms,
        });
    }

    fn is_directory_unavailable(&self) -> bool {
        self.directory_state == DirectoryState::Unavailable
    }

    fn broadcast(&mut self, msg: &FeedMsg) {
        self.last_sent = Instant::now();
        if self.tx.receiver_count() == 0 {
            return;
        }
        match encode(msg) {
            Ok(body) => {
                // Sending fails only if the last follower has disconnected.
                let queued_at = self.last_sent;
                let _ = self.tx.send(FeedCommand::Send { body: body.into(), queued_at });
            }
            Err(e) => error!("cannot encode feed message", kv: { error = e.to_string() }),
        }
    }
}

/// The service `feed`.
pub(crate) struct FeedService {
    address: SocketAddrV4,
    edge: SharedEdge,
    feed: SharedFeed,
    tasks: Vec<JoinHandle<()>>,
}

impl FeedService {
    pub(crate) fn new(address: SocketAddrV4, edge: SharedEdge, feed: SharedFeed) -> FeedService {
        FeedService { address, edge, feed, tasks: Vec::new() }
    }
}

impl Service for FeedService {
    fn name(&self) -> &'static str {
        FEED
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        let bind_error = |e: std::io::Error| StartError {
            service: FEED,
            detail: format!("cannot bind {}: {e}", self.address),
        };
        let listener = std::net::TcpListener::bind(self.address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let listener = TcpListener::from_std(listener).map_err(bind_error)?;
        let (edge, feed) = (Rc::clone(&self.edge), Rc::clone(&self.feed));
        self.tasks.push(actix_rt::spawn(accept(listener, edge, Rc::clone(&feed))));
        self.tasks.push(actix_rt::spawn(send_heartbeats(feed)));
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(std::mem::take(&mut self.tasks))
    }
}

async fn send_heartbeats(feed: SharedFeed) {
    loop {
        let due = feed.borrow().last_sent + HEARTBEAT_INTERVAL;
        if due <= Instant::now() {
            feed.borrow_mut().send_heartbeat();
        } else {
            sleep_until(due).await;
        }
    }
}

async fn accept(listener: TcpListener, edge: SharedEdge, feed: SharedFeed) {
    // Dropping the set aborts all streams.
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if streams.len() < MAX_FOLLOWERS => {
                    streams.spawn_local(serve_follower(stream, Rc::clone(&edge), Rc::clone(&feed)));
                }
                // Over the limit: the connection is closed and the follower tries another host.
                Ok(_) => {}
                Err(e) => {
                    debug!("cannot accept follower", kv: { error = e.to_string() });
                    tokio::time::sleep(IO_TIMEOUT).await;
                }
            },
            Some(_) = streams.join_next() => {}
        }
    }
}

/// Serves one follower until it disconnects or this host stops reading the directory.
///
/// A host that does not read the directory sends only a snapshot, which helps a host without any
/// state, and closes the stream.
async fn serve_follower(stream: TcpStream, edge: SharedEdge, feed: SharedFeed) {
    let accepted = accept_async_with_config(stream, Some(websocket_config()));
    let Ok(Ok(mut socket)) = timeout(IO_TIMEOUT, accepted).await else { return };
    let Ok(Some(Ok(Message::Binary(hello)))) = timeout(IO_TIMEOUT, socket.next()).await else {
        return;
    };
    let Ok(hello) = decode::<Hello>(&hello) else { return };
    if !edge.borrow().has_initial_listing() {
        return;
    }
    let (mut rx, serving, first) = {
        let feed = feed.borrow();
        let first = feed.first_message(&edge.borrow(), hello);
        (feed.tx.subscribe(), feed.serving, encode(&first))
    };
    let mut body: Bytes = match first {
        Ok(it) => it.into(),
        Err(e) => {
            error!("cannot encode feed snapshot", kv: { error = e.to_string() });
            return;
        }
    };
    loop {
        match timeout(IO_TIMEOUT, socket.send(Message::Binary(body))).await {
            Ok(Ok(())) => {}
            // The follower has disconnected, or is too slow and must reconnect.
            Ok(Err(_)) | Err(_) => return,
        }
        if !serving {
            return;
        }
        body = match rx.recv().await {
            Ok(FeedCommand::Send { body, queued_at }) if queued_at.elapsed() < MAX_QUEUE_TIME => {
                body
            }
            Ok(FeedCommand::Send { .. } | FeedCommand::Close) | Err(_) => return,
        };
    }
}

/// The follower's end of a stream.
pub(crate) struct FeedStream {
    socket: WebSocketStream<TcpStream>,
    /// Time by which the next message must arrive.
    deadline: Instant,
}

impl FeedStream {
    /// Connects to a host and sends it what this host has.
    pub(crate) async fn connect(address: SocketAddrV4, hello: Hello) -> Result<FeedStream, String> {
        let timeout_error = |_| format!("{address}: timed out");
        let stream =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.map_err(timeout_error)?;
        let stream = stream.map_err(|e| format!("{address}: {e}"))?;
        let opened =
            client_async_with_config(format!("ws://{address}/"), stream, Some(websocket_config()));
        let opened = timeout(IO_TIMEOUT, opened).await.map_err(timeout_error)?;
        let (mut socket, _) = opened.map_err(|e| format!("{address}: {e}"))?;
        let hello = encode(&hello).map_err(|e| e.to_string())?;
        socket.send(Message::Binary(hello.into())).await.map_err(|e| e.to_string())?;
        Ok(FeedStream { socket, deadline: Instant::now() + FEED_TIMEOUT })
    }

    /// Receives the next message.
    ///
    /// The timeout runs from the previous message, even if this call is cancelled and repeated.
    pub(crate) async fn next(&mut self) -> Result<FeedMsg, String> {
        let received = timeout_at(self.deadline, self.socket.next()).await;
        self.deadline = Instant::now() + FEED_TIMEOUT;
        match received {
            Err(_) => Err("no heartbeat in time".to_owned()),
            Ok(Some(Ok(Message::Binary(body)))) => decode(&body).map_err(|e| e.to_string()),
            Ok(Some(Ok(_)) | None) => Err("the stream was closed by the peer".to_owned()),
            Ok(Some(Err(e))) => Err(e.to_string()),
        }
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}
