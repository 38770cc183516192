//! The configuration stream between hosts, which carries manifests and chunks.
//!
//! Messages are CBOR in WebSocket frames: each [`ConfigQuery`] gets one [`ConfigReply`], in order.

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
    config::active::SharedActiveConfig,
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    service_message::ServiceMessage,
};

const PEERS: &str = "peers";
/// Maximum number of streams served concurrently.
const MAX_STREAMS: usize = 32;
/// Timeout of each connect, handshake and receive on a stream, and of each reply that is sent.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a message on a stream, in bytes.
const MAX_MESSAGE_BYTES: usize = MAX_VALUE_BYTES + 1_024;

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// The service that serves the active configuration to other hosts.
pub(crate) struct PeerService {
    address: SocketAddrV4,
    active: SharedActiveConfig,
    task: Option<JoinHandle<()>>,
}

impl PeerService {
    pub(crate) fn new(address: SocketAddrV4, active: SharedActiveConfig) -> PeerService {
        PeerService { address, active, task: None }
    }
}

impl Service for PeerService {
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
        self.task = Some(actix_rt::spawn(accept_streams(listener, Rc::clone(&self.active))));
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(self.task.take())
    }
}

async fn accept_streams(listener: TcpListener, active: SharedActiveConfig) {
    // Dropping the set, when this task is aborted, aborts all streams.
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if streams.len() < MAX_STREAMS => {
                    streams.spawn_local(serve(stream, Rc::clone(&active)));
                }
                // Closes a stream beyond the limit; its host then tries another host.
                Ok(_) => {}
                Err(e) => {
                    debug!("failed to accept a configuration stream", kv: {
                        error = e.to_string()
                    });
                    tokio::time::sleep(STEP_TIMEOUT).await;
                }
            },
            Some(_) = streams.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, active: SharedActiveConfig) {
    let Ok(Ok(mut socket)) =
        timeout(STEP_TIMEOUT, accept_async_with_config(stream, Some(websocket_config()))).await
    else {
        return;
    };
    while let Ok(Some(Ok(Message::Binary(bytes)))) = timeout(STEP_TIMEOUT, socket.next()).await {
        let Ok(query) = decode::<ConfigQuery>(&bytes) else { return };
        let reply = active.borrow().reply(&query);
        let Ok(body) = encode(&reply) else { return };
        match timeout(STEP_TIMEOUT, socket.send(Message::Binary(body.into()))).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}

/// A configuration stream to another host.
pub(crate) struct PeerStream {
    socket: WebSocketStream<TcpStream>,
}

impl PeerStream {
    /// Opens a stream to the host at `address`.
    pub(crate) async fn connect(address: SocketAddrV4) -> Result<PeerStream, String> {
        let timed_out = |_| format!("{address} did not respond in time");
        let stream = timeout(STEP_TIMEOUT, TcpStream::connect(address)).await.map_err(timed_out)?;
        let stream = stream.map_err(|e| format!("{address}: {e}"))?;
        let url = format!("ws://{address}/");
        let opened = client_async_with_config(url, stream, Some(websocket_config()));
        let opened = timeout(STEP_TIMEOUT, opened).await.map_err(timed_out)?;
        let (socket, _) = opened.map_err(|e| format!("{address}: {e}"))?;
        Ok(PeerStream { socket })
    }

    /// Sends a query; returns `None` if the text is not part of the host's active revision.
    pub(crate) async fn query(&mut self, query: &ConfigQuery) -> Result<Option<String>, String> {
        let body = encode(query).map_err(|e| e.to_string())?;
        self.socket.send(Message::Binary(body.into())).await.map_err(|e| e.to_string())?;
        let reply = timeout(STEP_TIMEOUT, self.socket.next()).await;
        match reply.map_err(|_| "no response in time".to_owned())? {
            Some(Ok(Message::Binary(bytes))) => match decode(&bytes).map_err(|e| e.to_string())? {
                ConfigReply::Text(it) => Ok(Some(it)),
                ConfigReply::Missing => Ok(None),
            },
            Some(Ok(_)) | None => Err("the peer closed the stream".to_owned()),
            Some(Err(e)) => Err(e.to_string()),
        }
    }
}
