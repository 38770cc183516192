//! Drives the decision core: datagrams in, actions out.

use std::{cell::RefCell, net::SocketAddrV4, rc::Rc, time::Instant};

use pomelorun_core::{Action, Actions, Event, HostCore, Millis};
use pomelorun_wire::{Envelope, FlowKey, HostId, Packet, PeerMsg, Relay, decode, encode};
use spdlog::prelude::*;
use tokio::net::UdpSocket;

use crate::{
    batch::{Incoming, Outgoing},
    control::HostEntry,
    explain::ExplainReport,
    report::SharedReport,
};

/// First bytes of a control message; the rest is CBOR.
pub(crate) const PEER_MAGIC: [u8; 2] = *b"PM";

/// The core with its socket and the addresses of its peers.
pub(crate) struct Engine {
    core: HostCore,
    socket: Rc<UdpSocket>,
    fabric: SocketAddrV4,
    incarnation: u64,
    /// Sorted by host.
    peers: Vec<(HostId, SocketAddrV4)>,
    started: Instant,
    out: Outgoing,
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
            fabric,
            incarnation,
            peers: Vec::new(),
            started: Instant::now(),
            out: Outgoing::new(),
            control_bytes: 0,
            malformed: 0,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        Millis(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Handles a batch of datagrams.
    pub(crate) fn datagrams(&mut self, incoming: &Incoming) {
        for (from, bytes) in incoming.datagrams() {
            self.datagram(from, bytes);
        }
        self.out.flush(&self.socket);
    }

    fn datagram(&mut self, from: SocketAddrV4, bytes: &[u8]) {
        let handled = if Relay::is_relay(bytes) {
            Relay::parse(bytes).map(|it| {
                let packet = it.packet.bytes();
                self.decide(Event::Relayed(it), packet);
            })
        } else if bytes.starts_with(&PEER_MAGIC) {
            self.peer(&bytes[PEER_MAGIC.len()..]);
            Ok(())
        } else {
            Packet::parse(bytes).map(|it| {
                let event = if it.kind().is_from_caller() {
                    Event::Fabric(it)
                } else {
                    Event::Upstream { from, packet: it }
                };
                self.decide(event, bytes);
            })
        };
        if let Err(e) = handled {
            self.malformed += 1;
            debug!("datagram dropped", kv: { error = e.to_string() });
        }
    }

    fn peer(&mut self, bytes: &[u8]) {
        match decode::<Envelope>(bytes) {
            Ok(it) => self.decide(Event::Peer(&it), &[]),
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
            let peer = (it.listed.host, it.packets);
            match self.peers.binary_search_by_key(&peer.0, |known| known.0) {
                Ok(at) => self.peers[at] = peer,
                Err(at) => self.peers.insert(at, peer),
            }
        }
        let listed: Vec<_> = hosts.iter().map(|it| it.listed).collect();
        self.handle(Event::HostList(&listed));
    }

    /// Handles an event that carries no packet.
    pub(crate) fn handle(&mut self, event: Event<'_>) {
        self.decide(event, &[]);
        self.out.flush(&self.socket);
    }

    /// Handles one event; `bytes` is the packet that the event's actions refer to.
    fn decide(&mut self, event: Event<'_>, bytes: &[u8]) {
        let actions = self.core.handle(self.now(), event);
        self.carry_out(actions, bytes);
    }

    fn carry_out(&mut self, actions: Actions, bytes: &[u8]) {
        for action in actions {
            match action {
                Action::Relay { to, header } => {
                    let Some(to) = self.address(to) else { continue };
                    self.out.push(to, header.as_bytes(), bytes);
                }
                Action::ToUpstream(to) => self.out.push(to, bytes, &[]),
                Action::ToCaller => self.out.push(self.fabric, bytes, &[]),
                Action::HeldRelay { to, header, bytes } => {
                    let Some(to) = self.address(to) else { continue };
                    self.out.push(to, header.as_bytes(), &bytes);
                }
                Action::HeldToUpstream(to, held) => self.out.push(to, &held, &[]),
                Action::HeldToCaller(held) => self.out.push(self.fabric, &held, &[]),
                Action::Reply(header) => self.out.push(self.fabric, header.as_bytes(), &[]),
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
                self.control_bytes += (PEER_MAGIC.len() + body.len()) as u64;
                self.out.push(to, &PEER_MAGIC, &body);
            }
            Err(e) => error!("control message not sent", kv: { error = e.to_string() }),
        }
    }

    fn address(&self, host: HostId) -> Option<SocketAddrV4> {
        let at = self.peers.binary_search_by_key(&host, |it| it.0).ok()?;
        Some(self.peers[at].1)
    }

    /// Explains where a flow goes.
    pub(crate) fn explain(&self, flow: &FlowKey) -> ExplainReport {
        crate::explain::explain(&self.core, self.now(), flow)
    }

    /// Renews the report.
    pub(crate) fn report(&self, shared: &SharedReport) {
        let mut report = shared.lock();
        crate::report::describe_core(&self.core, self.now(), &mut report);
        report.control_bytes = self.control_bytes;
        report.dropped_datagrams = self.out.dropped();
        report.malformed_datagrams = self.malformed;
    }
}
