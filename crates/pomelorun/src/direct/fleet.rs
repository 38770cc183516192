//! The service `fleet`: membership and other datagrams between hosts.

use std::{
    cell::RefCell,
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    time::Duration,
};

use actix::Recipient;
use pomelorun_core::{
    Millis,
    direct::{
        Fleet, FleetMsg, LivenessMessage, LoadMessage, OutboundMessages, PeerScope, PeerUpdate,
        Readers, address_of, host_at,
    },
};
use pomelorun_wire::{Code, HostId, PeerMsg, decode, encode};
use spdlog::prelude::*;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::MissedTickBehavior,
};

use crate::{
    datagram_batch::bind_udp,
    direct::edge::{SharedEdge, now},
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    service_message::ServiceMessage,
};

const FLEET: &str = "fleet";
/// Interval of the timer events of membership.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Gap between two timer events after which the process counts as paused: many events missed, and
/// longer than a busy core delays them.
const PAUSE_THRESHOLD: Millis = Millis(1_500);
/// Size of the receive buffer; a membership message about 40 hosts takes a third of it.
const MAX_DATAGRAM_BYTES: usize = 4_096;

/// Membership state and its socket.
pub(crate) struct FleetTransport {
    fleet: Fleet,
    socket: Rc<UdpSocket>,
    port: u16,
    edge: SharedEdge,
    readers: watch::Sender<Readers>,
    last_tick: Millis,
}

/// The transport, shared by the services of one thread.
pub(crate) type SharedFleet = Rc<RefCell<FleetTransport>>;

impl FleetTransport {
    /// Notifies the other hosts that this one is leaving.
    pub(crate) fn leave(&mut self) {
        let out = self.fleet.leave();
        self.send(out);
        self.publish_membership();
    }

    /// Adds seed hosts, through which the other hosts are found.
    pub(crate) fn add_seeds(&mut self, seeds: &[HostId]) {
        self.fleet.add_seeds(now(), seeds);
    }

    fn tick(&mut self) {
        let now = now();
        if now.since(self.last_tick) >= PAUSE_THRESHOLD {
            warn!("process resumed after a pause", kv: {
                code = Code::PROCESS_PAUSED.to_string(), gap_ms = now.since(self.last_tick).0
            });
            self.fleet.on_resume(now);
        }
        self.last_tick = now;
        self.fleet.set_revision(self.edge.borrow().revision());
        let queries = self.edge.borrow_mut().take_token_queries();
        self.send(queries.into_iter().map(|(to, it)| (to, FleetMsg::TokenQuery(it))).collect());
        let reports = self.edge.borrow_mut().take_reports();
        self.send(reports.into_iter().map(|(to, it)| (to, FleetMsg::Reports(it))).collect());
        self.send_load();
        let out = self.fleet.tick(now);
        self.send(out);
        self.publish_membership();
    }

    fn receive(&mut self, from: HostId, bytes: &[u8]) {
        let msg = match decode::<FleetMsg>(bytes) {
            Ok(it) => it,
            Err(e) => {
                self.edge.borrow_mut().record_unreadable(from, &e);
                return;
            }
        };
        match msg {
            FleetMsg::Member(msg) => {
                if matches!(msg, PeerMsg::ViewRequest) {
                    self.tell_restored_zones(from);
                }
                let out = self.fleet.handle_message(now(), from, &msg);
                self.send(out);
                self.publish_membership();
            }
            FleetMsg::PeerUpdate(update) => self.edge.borrow_mut().apply_peer_update(&update),
            FleetMsg::TokenQuery(tokens) => {
                let owners = self.edge.borrow_mut().answer_token_query(&tokens);
                if !owners.is_empty() {
                    self.send(vec![(from, FleetMsg::TokenOwners(owners))]);
                }
            }
            FleetMsg::TokenOwners(owners) => self.edge.borrow_mut().apply_token_owners(&owners),
            FleetMsg::Reports(reports) => self.edge.borrow_mut().apply_reports(&reports),
            FleetMsg::LivenessQuery(query) => {
                let reply = self.edge.borrow_mut().answer_liveness_query(&query);
                self.send(vec![(from, FleetMsg::LivenessReply(reply))]);
            }
            FleetMsg::LivenessReply(reply) => {
                self.edge.borrow_mut().apply_liveness_reply(from, &reply);
            }
            FleetMsg::RestoredZones(zones) => {
                self.edge.borrow_mut().apply_restored_zones(&zones);
            }
            FleetMsg::Load(report) => self.edge.borrow_mut().apply_load_report(from, &report),
            FleetMsg::LoadSum(summary) => {
                self.edge.borrow_mut().apply_load_summary(from, &summary);
            }
        }
    }

    /// Tells a host that has just started, or was paused, which zones were restored lately.
    fn tell_restored_zones(&mut self, to: HostId) {
        let zones = self.edge.borrow().restored_zones();
        if !zones.is_empty() {
            self.send(vec![(to, FleetMsg::RestoredZones(zones))]);
        }
    }

    fn send_peer_update(&mut self, scope: PeerScope, update: &PeerUpdate) {
        let out = match scope {
            PeerScope::Zone => self.fleet.zone_peers(),
            PeerScope::OtherZones => self.fleet.other_zones_hosts(),
        };
        let out = out.into_iter().map(|to| (to, FleetMsg::PeerUpdate(update.clone()))).collect();
        self.send(out);
    }

    /// Passes a changed set of live hosts on to the edge and the reader.
    fn publish_membership(&mut self) {
        if !self.fleet.take_changed(now()) {
            return;
        }
        let live = self.fleet.live_hosts_by_zone();
        let readers = self.fleet.readers();
        info!("hosts changed", kv: {
            code = Code::HOSTS_CHANGED.to_string(), live = live.len(), reads = readers.is_reader
        });
        let (peers, view) = (self.fleet.zone_peers(), self.fleet.view_state());
        self.edge.borrow_mut().set_hosts(live, peers, readers.is_reader, view);
        self.readers.send_if_modified(|it| {
            let changed = *it != readers;
            *it = readers;
            changed
        });
    }

    /// Sends the messages about load. A summary to many hosts is encoded once.
    fn send_load(&mut self) {
        let out = self.edge.borrow_mut().take_load_messages();
        let mut bytes = 0;
        for same in out.chunk_by(|a, b| a.1 == b.1) {
            let Some(body) = encode_message(&load_message(same[0].1.clone())) else { continue };
            for (to, _) in same {
                self.send_datagram(*to, &body);
            }
            bytes += body.len() * same.len();
        }
        self.edge.borrow_mut().count_load_bytes(bytes);
    }

    fn send(&mut self, out: OutboundMessages) {
        for (to, msg) in out {
            if let Some(body) = encode_message(&msg) {
                self.send_datagram(to, &body);
            }
        }
    }

    fn send_datagram(&self, to: HostId, body: &[u8]) {
        let to = SocketAddr::from((address_of(to), self.port));
        // Not retransmitted: as after a loss on the network, a later message takes its place.
        if let Err(e) = self.socket.try_send_to(body, to) {
            debug!("peer message not sent", kv: { error = e.to_string() });
        }
    }
}

fn encode_message(msg: &FleetMsg) -> Option<Vec<u8>> {
    match encode(msg) {
        Ok(it) => Some(it),
        Err(e) => {
            error!("cannot encode peer message", kv: { error = e.to_string() });
            None
        }
    }
}

/// Returns the message between hosts that carries a message about liveness.
fn liveness_message(it: LivenessMessage) -> FleetMsg {
    match it {
        LivenessMessage::Query(it) => FleetMsg::LivenessQuery(it),
        LivenessMessage::Reply(it) => FleetMsg::LivenessReply(it),
    }
}

/// Returns the message between hosts that carries a message about load.
fn load_message(it: LoadMessage) -> FleetMsg {
    match it {
        LoadMessage::Report(it) => FleetMsg::Load(it),
        LoadMessage::Summary(it) => FleetMsg::LoadSum(it),
    }
}

/// Messages of the edge that other hosts are sent at once.
pub(crate) struct OutboundReceivers {
    /// Each for all hosts of its scope.
    pub(crate) peer_updates: mpsc::UnboundedReceiver<(PeerScope, PeerUpdate)>,
    /// Each with its receiver.
    pub(crate) liveness: mpsc::UnboundedReceiver<(HostId, LivenessMessage)>,
}

/// The service `fleet`.
pub(crate) struct FleetService {
    transport: SharedFleet,
    socket: Rc<UdpSocket>,
    outbound: Option<OutboundReceivers>,
    tasks: Vec<JoinHandle<()>>,
}

impl FleetService {
    /// Binds the socket for datagrams between hosts.
    pub(crate) fn bind(
        fleet: Fleet,
        address: SocketAddrV4,
        edge: SharedEdge,
        readers: watch::Sender<Readers>,
        outbound: OutboundReceivers,
    ) -> Result<FleetService, StartError> {
        let bind_error = |e: std::io::Error| StartError {
            service: FLEET,
            detail: format!("cannot bind {address}: {e}"),
        };
        let socket = Rc::new(bind_udp(address).map_err(bind_error)?);
        let transport = FleetTransport {
            fleet,
            socket: Rc::clone(&socket),
            port: address.port(),
            edge,
            readers,
            last_tick: now(),
        };
        let transport = Rc::new(RefCell::new(transport));
        Ok(FleetService { transport, socket, outbound: Some(outbound), tasks: Vec::new() })
    }

    /// Returns the transport for other services.
    pub(crate) fn shared(&self) -> SharedFleet {
        Rc::clone(&self.transport)
    }
}

impl Service for FleetService {
    fn name(&self) -> &'static str {
        FLEET
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        self.tasks.push(actix_rt::spawn(receive(self.shared(), Rc::clone(&self.socket))));
        self.tasks.push(actix_rt::spawn(tick(self.shared())));
        if let Some(rx) = self.outbound.take() {
            self.tasks.push(actix_rt::spawn(send_outbound(self.shared(), rx)));
        }
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(std::mem::take(&mut self.tasks))
    }
}

async fn receive(transport: SharedFleet, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, SocketAddr::V4(from))) => {
                transport.borrow_mut().receive(host_at(*from.ip()), &buf[..len]);
            }
            Ok(_) => {}
            // The kernel reports a peer's closed port as an error on this socket.
            Err(e) => debug!("receive failed", kv: { error = e.to_string() }),
        }
    }
}

async fn tick(transport: SharedFleet) {
    let mut timer = tokio::time::interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        transport.borrow_mut().tick();
    }
}

async fn send_outbound(transport: SharedFleet, mut rx: OutboundReceivers) {
    loop {
        tokio::select! {
            Some((scope, update)) = rx.peer_updates.recv() => {
                transport.borrow_mut().send_peer_update(scope, &update);
            }
            Some((to, it)) = rx.liveness.recv() => {
                transport.borrow_mut().send(vec![(to, liveness_message(it))]);
            }
            else => return,
        }
    }
}
