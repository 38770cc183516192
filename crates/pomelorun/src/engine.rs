//! Driver of the decision core: turns datagrams into events and carries out the core's actions.

use std::{cell::RefCell, net::SocketAddrV4, rc::Rc, time::Instant};

use pomelorun_core::{Action, Actions, Event, HostCore, Millis};
use pomelorun_wire::{Code, Envelope, FlowKey, HostId, Packet, PeerMsg, Relay, decode, encode};
use spdlog::prelude::*;
use tokio::net::UdpSocket;

use crate::{
    core_state::{CoreState, CoreStateTx},
    datagram_batch::{ReceiveBatch, SendQueue},
    explain::ExplainReport,
    report::SharedReport,
    service_message::HostEntry,
    settings::Settings,
};

/// Magic bytes at the start of a control message; the rest is CBOR.
pub(crate) const PEER_MAGIC: [u8; 2] = *b"PM";

/// The decision core with its packet socket and the addresses of other hosts.
pub(crate) struct Engine {
    core: HostCore,
    socket: Rc<UdpSocket>,
    fabric: SocketAddrV4,
    /// Port of the configuration stream of hosts that list no address for it.
    default_peers_port: u16,
    incarnation: u64,
    /// Known hosts, sorted by host.
    peers: Vec<Peer>,
    started: Instant,
    out: SendQueue,
    control_bytes: u64,
    malformed: u64,
    host_list_requests: u64,
    /// Occurrences of numbered codes in other services, sorted by code.
    codes: Vec<(Code, u64)>,
}

/// Addresses of another host.
#[derive(Debug, Clone, Copy)]
struct Peer {
    host: HostId,
    packets: SocketAddrV4,
    /// Address of its configuration stream.
    stream: SocketAddrV4,
}

/// The engine, shared between the tasks of one thread.
pub(crate) type SharedEngine = Rc<RefCell<Engine>>;

impl Engine {
    pub(crate) fn new(
        core: HostCore,
        socket: Rc<UdpSocket>,
        settings: &Settings,
        incarnation: u64,
    ) -> Engine {
        Engine {
            core,
            socket,
            fabric: settings.fabric,
            default_peers_port: settings.peers.port(),
            incarnation,
            peers: Vec::new(),
            started: Instant::now(),
            out: SendQueue::new(),
            control_bytes: 0,
            malformed: 0,
            host_list_requests: 0,
            codes: Vec::new(),
        }
    }

    pub(crate) fn now(&self) -> Millis {
        Millis(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Handles a batch of received datagrams and sends the resulting ones.
    pub(crate) fn handle_batch(&mut self, incoming: &ReceiveBatch) {
        for (from, bytes) in incoming.datagrams() {
            self.handle_datagram(from, bytes);
        }
        self.out.flush(&self.socket);
    }

    fn handle_datagram(&mut self, from: SocketAddrV4, bytes: &[u8]) {
        let handled = if Relay::is_relay(bytes) {
            Relay::parse(bytes).map(|it| {
                let packet = it.packet.bytes();
                self.handle_event(Event::Relayed(it), packet);
            })
        } else if bytes.starts_with(&PEER_MAGIC) {
            self.handle_peer(&bytes[PEER_MAGIC.len()..]);
            Ok(())
        } else {
            Packet::parse(bytes).map(|it| {
                let event = if it.kind().is_from_caller() {
                    Event::Fabric(it)
                } else {
                    Event::Upstream { from, packet: it }
                };
                self.handle_event(event, bytes);
            })
        };
        if let Err(e) = handled {
            self.malformed += 1;
            debug!("datagram dropped", kv: { error = e.to_string() });
        }
    }

    fn handle_peer(&mut self, bytes: &[u8]) {
        match decode::<Envelope>(bytes) {
            Ok(it) => self.handle_event(Event::Peer(&it), &[]),
            Err(e) => {
                self.malformed += 1;
                debug!("control message dropped", kv: { error = e.to_string() });
            }
        }
    }

    /// Applies a new host list.
    ///
    /// The list lags behind the members that the core knows, so the address of a host that is no
    /// longer listed is kept until the core forgets the host.
    pub(crate) fn update_host_list(&mut self, hosts: &[HostEntry]) {
        for it in hosts {
            let default = SocketAddrV4::new(*it.packets.ip(), self.default_peers_port);
            let peer = Peer {
                host: it.listed.host,
                packets: it.packets,
                stream: it.peers.unwrap_or(default),
            };
            match self.peers.binary_search_by_key(&peer.host, |known| known.host) {
                Ok(at) => self.peers[at] = peer,
                Err(at) => self.peers.insert(at, peer),
            }
        }
        let listed: Vec<_> = hosts.iter().map(|it| it.listed).collect();
        self.handle(Event::HostList(&listed));
        let members = self.core.members();
        self.peers.retain(|it| members.get(it.host).is_some());
    }

    /// Handles an event that carries no packet and sends the resulting datagrams.
    pub(crate) fn handle(&mut self, event: Event<'_>) {
        self.handle_event(event, &[]);
        self.out.flush(&self.socket);
    }

    /// Handles one event; `bytes` is the packet that the resulting actions refer to.
    fn handle_event(&mut self, event: Event<'_>, bytes: &[u8]) {
        let actions = self.core.handle(self.now(), event);
        self.execute(actions, bytes);
    }

    fn execute(&mut self, actions: Actions, bytes: &[u8]) {
        for action in actions {
            match action {
                Action::Relay { to, header } => {
                    let Some(to) = self.packet_address(to) else { continue };
                    self.out.push(to, header.as_bytes(), bytes);
                }
                Action::ToUpstream(to) => self.out.push(to, bytes, &[]),
                Action::ToCaller => self.out.push(self.fabric, bytes, &[]),
                Action::HeldRelay { to, header, bytes } => {
                    let Some(to) = self.packet_address(to) else { continue };
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
        let Some(to) = self.packet_address(to) else { return };
        let envelope = Envelope { from: self.core.host(), incarnation: self.incarnation, msg };
        match encode(&envelope) {
            Ok(body) => {
                self.control_bytes += (PEER_MAGIC.len() + body.len()) as u64;
                self.out.push(to, &PEER_MAGIC, &body);
            }
            Err(e) => error!("control message not sent", kv: { error = e.to_string() }),
        }
    }

    fn packet_address(&self, host: HostId) -> Option<SocketAddrV4> {
        self.find_peer(host).map(|it| it.packets)
    }

    fn find_peer(&self, host: HostId) -> Option<&Peer> {
        let at = self.peers.binary_search_by_key(&host, |it| it.host).ok()?;
        Some(&self.peers[at])
    }

    /// Explains how this host would route a flow.
    pub(crate) fn explain(&self, flow: &FlowKey) -> ExplainReport {
        crate::explain::explain(&self.core, self.now(), flow)
    }

    /// Counts a numbered code that occurred in another service.
    pub(crate) fn count_code(&mut self, code: Code) {
        match self.codes.binary_search_by_key(&code, |it| it.0) {
            Ok(at) => self.codes[at].1 += 1,
            Err(at) => self.codes.insert(at, (code, 1)),
        }
    }

    pub(crate) fn forget_advertised_revision(&mut self, host: HostId) {
        self.core.forget_advertised_revision(host);
    }

    /// Publishes the core's state to the services `config` and `host_list`, if it has changed.
    pub(crate) fn publish_core_state(&mut self, tx: &CoreStateTx) {
        self.host_list_requests += u64::from(self.core.take_host_list_refresh());
        let (newer_revision, hosts) = self.core.newer_advertised_revision().unwrap_or_default();
        let stream = |it: HostId| self.find_peer(it).map(|peer| (it, peer.stream));
        let state = CoreState {
            synced: self.core.members().is_synced(),
            read_role: self.core.config_read_role(),
            newer_revision,
            sources: hosts.into_iter().filter_map(stream).collect(),
            host_list_requests: self.host_list_requests,
        };
        tx.send_if_modified(|it| {
            let changed = *it != state;
            *it = state;
            changed
        });
    }

    /// Updates the shared report.
    pub(crate) fn update_report(&self, shared: &SharedReport) {
        let mut report = shared.lock();
        crate::report::update_from_core(&self.core, self.now(), &mut report);
        report.control_bytes = self.control_bytes;
        report.dropped_datagrams = self.out.dropped();
        report.malformed_datagrams = self.malformed;
        crate::report::add_codes(&self.codes, &mut report);
    }
}
