//! The stream between hosts that carries manifests and chunks.
//!
//! CBOR in WebSocket messages: each [`ConfigQuery`] gets one [`ConfigReply`], in order.

use std::{net::SocketAddrV4, rc::Rc, time::Duration};

use actix::Recipient;
use futures_util::{SinkExt, StreamExt};
use pomelorun_config::MAX_VALUE_BYTES;
use pomelorun_wire::{ConfigQuery, ConfigReply, decode, encode};
use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
    time::timeout,
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};

use crate::{
    config::store::SharedStore,
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    service_message::ServiceMessage,
};

const PEERS: &str = "peers";
/// Streams that are served at a time.
const MOST_STREAMS: usize = 32;
/// Time allowed to one step of a stream.
const STEP_TIME: Duration = Duration::from_secs(2);
/// Largest message on a stream, bytes.
const MAX_MESSAGE: usize = MAX_VALUE_BYTES + 1_024;

fn limits() -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(MAX_MESSAGE)).max_frame_size(Some(MAX_MESSAGE))
}

/// The service that answers other hosts.
pub(crate) struct Peers {
    address: SocketAddrV4,
    store: SharedStore,
    task: Option<JoinHandle<()>>,
}

impl Peers {
    pub(crate) fn new(address: SocketAddrV4, store: SharedStore) -> Peers {
        Peers { address, store, task: None }
    }
}

impl Service for Peers {
    fn name(&self) -> &'static str {
        PEERS
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        let unbound = |e: std::io::Error| StartError {
            service: PEERS,
            detail: format!("cannot bind {}: {e}", self.address),
        };
        let listener = std::net::TcpListener::bind(self.address).map_err(unbound)?;
        listener.set_nonblocking(true).map_err(unbound)?;
        let listener = TcpListener::from_std(listener).map_err(unbound)?;
        self.task = Some(actix_rt::spawn(accept(listener, Rc::clone(&self.store))));
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(self.task.take())
    }
}

async fn accept(listener: TcpListener, store: SharedStore) {
    // Dropping the set with this task ends all streams.
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if streams.len() < MOST_STREAMS => {
                    streams.spawn_local(serve(stream, Rc::clone(&store)));
                }
                // One stream too many is closed; its host asks another one.
                Ok(_) => {}
                Err(e) => {
                    debug!("stream not accepted", kv: { error = e.to_string() });
                    tokio::time::sleep(STEP_TIME).await;
                }
            },
            Some(_) = streams.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, store: SharedStore) {
    let Ok(Ok(mut socket)) =
        timeout(STEP_TIME, accept_async_with_config(stream, Some(limits()))).await
    else {
        return;
    };
    while let Ok(Some(Ok(Message::Binary(bytes)))) = timeout(STEP_TIME, socket.next()).await {
        let Ok(question) = decode::<ConfigQuery>(&bytes) else { return };
        let answer = store.borrow().answer(&question);
        let Ok(body) = encode(&answer) else { return };
        match timeout(STEP_TIME, socket.send(Message::Binary(body.into()))).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}

/// A stream to another host.
pub(crate) struct PeerStream {
    socket: WebSocketStream<TcpStream>,
}

impl PeerStream {
    /// Connects to a host.
    pub(crate) async fn connect(address: SocketAddrV4) -> Result<PeerStream, String> {
        let late = |_| format!("{address} is silent");
        let stream = timeout(STEP_TIME, TcpStream::connect(address)).await.map_err(late)?;
        let stream = stream.map_err(|e| format!("{address}: {e}"))?;
        let url = format!("ws://{address}/");
        let opened = client_async_with_config(url, stream, Some(limits()));
        let opened = timeout(STEP_TIME, opened).await.map_err(late)?;
        let (socket, _) = opened.map_err(|e| format!("{address}: {e}"))?;
        Ok(PeerStream { socket })
    }

    /// Asks for a text; none where the host does not have it in force.
    pub(crate) async fn ask(&mut self, question: &ConfigQuery) -> Result<Option<String>, String> {
        let body = encode(question).map_err(|e| e.to_string())?;
        self.socket.send(Message::Binary(body.into())).await.map_err(|e| e.to_string())?;
        let answer = timeout(STEP_TIME, self.socket.next()).await;
        match answer.map_err(|_| "no answer in time".to_owned())? {
            Some(Ok(Message::Binary(bytes))) => match decode(&bytes).map_err(|e| e.to_string())? {
                ConfigReply::Text(it) => Ok(Some(it)),
                ConfigReply::Missing => Ok(None),
            },
            Some(Ok(_)) | None => Err("the stream was closed".to_owned()),
            Some(Err(e)) => Err(e.to_string()),
        }
    }
}
