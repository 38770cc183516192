//! The service `feed`: gives what is published to the hosts that follow this one.
//!
//! CBOR in WebSocket messages, one way: everything first, then each change, and a word now and then
//! by which a follower knows that the stream lives.

use std::{cell::RefCell, net::SocketAddrV4, rc::Rc, time::Duration};

use actix::Recipient;
use futures_util::{SinkExt, StreamExt};
use pomelorun_core::direct::{DirectoryState, HasFollowers, ReplicatedUpdate};
use pomelorun_wire::{decode, encode};
use serde::{Deserialize, Serialize};
use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::broadcast,
    task::{JoinHandle, JoinSet},
    time::{MissedTickBehavior, timeout},
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Bytes, Message, protocol::WebSocketConfig},
};

use crate::{
    direct::edge::SharedEdge,
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    service_message::ServiceMessage,
};

const FEED: &str = "feed";
/// Time between two words on a quiet stream.
const IDLE_EVERY: Duration = Duration::from_millis(700);
/// Silence after which a follower gives a stream up: a word and a half lost, and some delay.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Time allowed to opening a stream, and to sending one message.
const STEP_TIME: Duration = Duration::from_millis(700);
/// Changes that a slow follower may be behind before its stream is closed.
const BACKLOG: usize = 256;
/// Followers at a time: twice the hosts of a zone at the target size.
const MOST_FOLLOWERS: usize = 256;
/// Largest message: a configuration of many thousand routes and as many upstreams.
const MOST_BYTES: usize = 16 << 20;

/// First message of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Hello {
    /// Revision of the configuration that it has in force.
    has: u64,
}

/// One message of a feed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FeedMsg {
    /// Everything that is published.
    All { revision: u64, away: bool, items: Vec<ReplicatedUpdate> },
    /// What is new.
    Events { revision: u64, items: Vec<ReplicatedUpdate> },
    /// Nothing is new.
    Idle { revision: u64, away: bool },
}

/// What goes to each follower's stream.
#[derive(Debug, Clone)]
enum Push {
    Send(Bytes),
    Close,
}

/// The feed as the services of one thread share it.
pub(crate) type SharedFeed = Rc<RefCell<Feed>>;

/// What followers are given.
pub(crate) struct Feed {
    tx: broadcast::Sender<Push>,
    /// This host reads the directory itself.
    serving: bool,
    view: DirectoryState,
    revision: u64,
}

impl Feed {
    pub(crate) fn new() -> Feed {
        let (tx, _) = broadcast::channel(BACKLOG);
        Feed { tx, serving: false, view: DirectoryState::Unavailable, revision: 0 }
    }

    /// Says whether this host reads the directory; if not, its followers must find another.
    pub(crate) fn serve(&mut self, serving: bool) {
        if self.serving && !serving {
            // Without a receiver there is no follower.
            let _ = self.tx.send(Push::Close);
        }
        self.serving = serving;
    }

    /// Says how the directory is reached; followers hear of a change at once.
    pub(crate) fn view(&mut self, view: DirectoryState) {
        if self.view != view {
            self.view = view;
            self.idle();
        }
    }

    /// Tells whether other hosts follow this one.
    pub(crate) fn followed(&self) -> HasFollowers {
        if self.tx.receiver_count() > 0 { HasFollowers::Yes } else { HasFollowers::No }
    }

    /// Notes a listing. Followers are closed, since only changes can be passed on; they begin anew.
    pub(crate) fn listed(&mut self, revision: u64) {
        self.revision = revision;
        let _ = self.tx.send(Push::Close);
    }

    /// Passes on what is new.
    pub(crate) fn events(&mut self, revision: u64, items: Vec<ReplicatedUpdate>) {
        self.revision = revision;
        self.push(&FeedMsg::Events { revision, items });
    }

    fn idle(&self) {
        self.push(&FeedMsg::Idle { revision: self.revision, away: self.is_away() });
    }

    fn is_away(&self) -> bool {
        self.view == DirectoryState::Unavailable
    }

    fn push(&self, msg: &FeedMsg) {
        if self.tx.receiver_count() == 0 {
            return;
        }
        match encode(msg) {
            Ok(body) => {
                // A receiver that has gone meanwhile needs nothing.
                let _ = self.tx.send(Push::Send(body.into()));
            }
            Err(e) => error!("feed not written", kv: { error = e.to_string() }),
        }
    }
}

/// The service.
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
        let unbound = |e: std::io::Error| StartError {
            service: FEED,
            detail: format!("cannot bind {}: {e}", self.address),
        };
        let listener = std::net::TcpListener::bind(self.address).map_err(unbound)?;
        listener.set_nonblocking(true).map_err(unbound)?;
        let listener = TcpListener::from_std(listener).map_err(unbound)?;
        let (edge, feed) = (Rc::clone(&self.edge), Rc::clone(&self.feed));
        self.tasks.push(actix_rt::spawn(accept(listener, edge, Rc::clone(&feed))));
        self.tasks.push(actix_rt::spawn(keep_alive(feed)));
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(std::mem::take(&mut self.tasks))
    }
}

async fn keep_alive(feed: SharedFeed) {
    let mut timer = tokio::time::interval(IDLE_EVERY);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        feed.borrow().idle();
    }
}

async fn accept(listener: TcpListener, edge: SharedEdge, feed: SharedFeed) {
    // Dropping the set with this task ends all streams.
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if streams.len() < MOST_FOLLOWERS => {
                    streams.spawn_local(give(stream, Rc::clone(&edge), Rc::clone(&feed)));
                }
                // The follower asks another host.
                Ok(_) => {}
                Err(e) => {
                    debug!("follower not accepted", kv: { error = e.to_string() });
                    tokio::time::sleep(STEP_TIME).await;
                }
            },
            Some(_) = streams.join_next() => {}
        }
    }
}

/// Serves one follower until it goes or this host stops reading. One that does not read says what it
/// knows, which helps a host that knows nothing, and ends the stream.
async fn give(stream: TcpStream, edge: SharedEdge, feed: SharedFeed) {
    let accepted = accept_async_with_config(stream, Some(limits()));
    let Ok(Ok(mut socket)) = timeout(STEP_TIME, accepted).await else { return };
    let Ok(Some(Ok(Message::Binary(hello)))) = timeout(STEP_TIME, socket.next()).await else {
        return;
    };
    let Ok(Hello { has }) = decode(&hello) else { return };
    if !edge.borrow().is_informed() {
        return;
    }
    let (mut rx, serving, first) = {
        let feed = feed.borrow();
        let items = edge.borrow().everything(has);
        let away = feed.is_away() || !feed.serving;
        let all = FeedMsg::All { revision: feed.revision, away, items };
        (feed.tx.subscribe(), feed.serving, encode(&all))
    };
    let mut body: Bytes = match first {
        Ok(it) => it.into(),
        Err(e) => {
            error!("feed not written", kv: { error = e.to_string() });
            return;
        }
    };
    loop {
        match timeout(STEP_TIME, socket.send(Message::Binary(body))).await {
            Ok(Ok(())) => {}
            // The follower is gone, or too slow and starts anew.
            Ok(Err(_)) | Err(_) => return,
        }
        if !serving {
            return;
        }
        body = match rx.recv().await {
            Ok(Push::Send(it)) => it,
            Ok(Push::Close) | Err(_) => return,
        };
    }
}

/// A stream from a host that is followed.
pub(crate) struct FeedStream {
    socket: WebSocketStream<TcpStream>,
}

impl FeedStream {
    /// Connects to a host; `has` is the revision in force here.
    pub(crate) async fn connect(address: SocketAddrV4, has: u64) -> Result<FeedStream, String> {
        let late = |_| format!("{address} is silent");
        let stream = timeout(STEP_TIME, TcpStream::connect(address)).await.map_err(late)?;
        let stream = stream.map_err(|e| format!("{address}: {e}"))?;
        let opened = client_async_with_config(format!("ws://{address}/"), stream, Some(limits()));
        let opened = timeout(STEP_TIME, opened).await.map_err(late)?;
        let (mut socket, _) = opened.map_err(|e| format!("{address}: {e}"))?;
        let hello = encode(&Hello { has }).map_err(|e| e.to_string())?;
        socket.send(Message::Binary(hello.into())).await.map_err(|e| e.to_string())?;
        Ok(FeedStream { socket })
    }

    /// The next message.
    pub(crate) async fn next(&mut self) -> Result<FeedMsg, String> {
        match timeout(SILENCE, self.socket.next()).await {
            Err(_) => Err("the stream is silent".to_owned()),
            Ok(Some(Ok(Message::Binary(body)))) => decode(&body).map_err(|e| e.to_string()),
            Ok(Some(Ok(_)) | None) => Err("the stream was closed".to_owned()),
            Ok(Some(Err(e))) => Err(e.to_string()),
        }
    }
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(MOST_BYTES)).max_frame_size(Some(MOST_BYTES))
}
