//! Drives the decision core: datagrams in, actions out.

use std::{
    cell::RefCell,
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    time::Instant,
};

use pomelorun_core::{Action, Actions, Event, HostCore, Millis};
use pomelorun_wire::{Envelope, HostId, Packet, PeerMsg, Relay, decode, encode};
use spdlog::prelude::*;
use tokio::net::UdpSocket;

use crate::{control::HostEntry, report::SharedReport};

/// First bytes of a control message; the rest is CBOR.
pub(crate) const PEER_MAGIC: [u8; 2] = *b"PM";

/// The core with its socket and the addresses of its peers.
pub(crate) struct Engine {
    core: HostCore,
    socket: Rc<UdpSocket>,
    fabric: SocketAddr,
    incarnation: u64,
    /// Sorted by host.
    peers: Vec<(HostId, SocketAddr)>,
    started: Instant,
    out_buf: Vec<u8>,
    control_bytes: u64,
    malformed: u64,
}

/// The engine as the services of one thread share it.
pub(crate) type SharedEngine = Rc<RefCell<Engine>>;

impl Engine {
    pub(crate) fn new(
        core: HostCore,
        socket: Rc<UdpSocket>,
        fabric: SocketAddrV4,
        incarnation: u64,
    ) -> Engine {
        Engine {
            core,
            socket,
            fabric: fabric.into(),
            incarnation,
            peers: Vec::new(),
            started: Instant::now(),
            out_buf: Vec::with_capacity(pomelorun_wire::MAX_DATAGRAM),
            control_bytes: 0,
            malformed: 0,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        Millis(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Handles one datagram.
    pub(crate) fn datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let handled = if Relay::is_relay(bytes) {
            Relay::parse(bytes).map(|it| {
                let packet = it.packet.bytes();
                self.handle(Event::Relayed(it), packet);
            })
        } else if bytes.starts_with(&PEER_MAGIC) {
            self.peer(&bytes[PEER_MAGIC.len()..]);
            Ok(())
        } else {
            Packet::parse(bytes).map(|it| {
                let event = match from {
                    SocketAddr::V4(from) if !it.kind().is_from_caller() => {
                        Event::Upstream { from, packet: it }
                    }
                    _ => Event::Fabric(it),
                };
                self.handle(event, bytes);
            })
        };
        if let Err(e) = handled {
            self.malformed += 1;
            debug!("datagram dropped", kv: { error = e.to_string() });
        }
    }

    fn peer(&mut self, bytes: &[u8]) {
        match decode::<Envelope>(bytes) {
            Ok(it) => self.handle(Event::Peer(&it), &[]),
            Err(e) => {
                self.malformed += 1;
                debug!("control message dropped", kv: { error = e.to_string() });
            }
        }
    }

    /// Takes in the host list; the addresses of hosts that have left it stay known, since the
    /// list lags.
    pub(crate) fn host_list(&mut self, hosts: &[HostEntry]) {
        for it in hosts {
            let peer = (it.listed.host, it.packets.into());
            match self.peers.binary_search_by_key(&peer.0, |known| known.0) {
                Ok(at) => self.peers[at] = peer,
                Err(at) => self.peers.insert(at, peer),
            }
        }
        let listed: Vec<_> = hosts.iter().map(|it| it.listed).collect();
        self.handle(Event::HostList(&listed), &[]);
    }

    /// Handles one event; `bytes` is the packet that the event's actions refer to.
    pub(crate) fn handle(&mut self, event: Event<'_>, bytes: &[u8]) {
        let actions = self.core.handle(self.now(), event);
        self.carry_out(actions, bytes);
    }

    fn carry_out(&mut self, actions: Actions, bytes: &[u8]) {
        for action in actions {
            match action {
                Action::Relay { to, header } => {
                    let Some(to) = self.address(to) else { continue };
                    self.out_buf.clear();
                    self.out_buf.extend_from_slice(header.as_bytes());
                    self.out_buf.extend_from_slice(bytes);
                    self.send(to, &self.out_buf);
                }
                Action::ToUpstream(to) => self.send(to.into(), bytes),
                Action::ToCaller => self.send(self.fabric, bytes),
                Action::HeldToUpstream(to, held) => self.send(to.into(), &held),
                Action::HeldToCaller(held) => self.send(self.fabric, &held),
                Action::Reply(header) => self.send(self.fabric, header.as_bytes()),
                Action::Peer { to, msg } => self.send_peer(to, msg),
                Action::Count(_) => {}
            }
        }
    }

    fn send_peer(&mut self, to: HostId, msg: PeerMsg) {
        let Some(to) = self.address(to) else { return };
        let envelope = Envelope { from: self.core.host(), incarnation: self.incarnation, msg };
        match encode(&envelope) {
            Ok(body) => {
                self.out_buf.clear();
                self.out_buf.extend_from_slice(&PEER_MAGIC);
                self.out_buf.extend_from_slice(&body);
                self.control_bytes += self.out_buf.len() as u64;
                self.send(to, &self.out_buf);
            }
            Err(e) => error!("control message not sent", kv: { error = e.to_string() }),
        }
    }

    fn address(&self, host: HostId) -> Option<SocketAddr> {
        let at = self.peers.binary_search_by_key(&host, |it| it.0).ok()?;
        Some(self.peers[at].1)
    }

    /// Sends a datagram; one that the kernel cannot take is lost as any datagram may be.
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(e) = self.socket.try_send_to(bytes, to) {
            debug!("datagram not sent", kv: { to = to.to_string(), error = e.to_string() });
        }
    }

    /// Renews the report.
    pub(crate) fn report(&self, shared: &SharedReport) {
        let mut report = shared.lock();
        crate::report::describe_core(&self.core, self.now(), &mut report);
        report.control_bytes = self.control_bytes;
    }
}
