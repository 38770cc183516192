//! The service `fleet`: datagrams between hosts.

use std::{
    cell::RefCell,
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    time::Duration,
};

use actix::Recipient;
use pomelorun_core::{
    Millis,
    direct::{Fleet, FleetMsg, OutboundMessages, PeerUpdate, Readers, address_of, host_at},
};
use pomelorun_wire::{Code, HostId, decode, encode};
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
/// Time between two timer events of membership.
const TICK: Duration = Duration::from_millis(100);
/// Gap between two timer events after which the process counts as having slept: many events missed,
/// and longer than a busy core makes them late.
const SLEPT: Millis = Millis(1_500);
/// Longest message: a view of forty hosts is a third of it.
const LONGEST: usize = 4_096;

/// Membership with its socket.
pub(crate) struct FleetLink {
    fleet: Fleet,
    socket: Rc<UdpSocket>,
    port: u16,
    edge: SharedEdge,
    readers: watch::Sender<Readers>,
    last_tick: Millis,
}

/// The link as the services of one thread share it.
pub(crate) type SharedFleet = Rc<RefCell<FleetLink>>;

impl FleetLink {
    /// Tells all hosts that this one leaves.
    pub(crate) fn leave(&mut self) {
        let out = self.fleet.leave();
        self.send(out);
        self.renew();
    }

    /// Names more hosts of which one may know the others.
    pub(crate) fn add_seeds(&mut self, seeds: &[HostId]) {
        self.fleet.add_seeds(now(), seeds);
    }

    fn tick(&mut self) {
        let now = now();
        if now.since(self.last_tick) >= SLEPT {
            warn!("slept", kv: { code = Code::PROCESS_PAUSED.to_string(), gap_ms = now.since(self.last_tick).0 });
            self.fleet.on_resume(now);
        }
        self.last_tick = now;
        self.fleet.set_revision(self.edge.borrow().revision());
        let questions = self.edge.borrow_mut().take_questions();
        self.send(questions.into_iter().map(|(to, it)| (to, FleetMsg::TokenQuery(it))).collect());
        let reports = self.edge.borrow_mut().take_reports();
        self.send(reports.into_iter().map(|(to, it)| (to, FleetMsg::Reports(it))).collect());
        let out = self.fleet.tick(now);
        self.send(out);
        self.renew();
    }

    fn receive(&mut self, from: HostId, bytes: &[u8]) {
        let msg = match decode::<FleetMsg>(bytes) {
            Ok(it) => it,
            Err(e) => {
                debug!("message of a host dropped", kv: { error = e.to_string() });
                return;
            }
        };
        match msg {
            FleetMsg::Member(msg) => {
                let out = self.fleet.handle_message(now(), from, &msg);
                self.send(out);
                self.renew();
            }
            FleetMsg::PeerUpdate(news) => self.edge.borrow_mut().told(&news),
            FleetMsg::TokenQuery(tokens) => {
                let owners = self.edge.borrow_mut().owners_of(&tokens);
                if !owners.is_empty() {
                    self.send(vec![(from, FleetMsg::TokenOwners(owners))]);
                }
            }
            FleetMsg::TokenOwners(owners) => self.edge.borrow_mut().learn_owners(&owners),
            FleetMsg::Reports(reports) => self.edge.borrow_mut().reported(&reports),
        }
    }

    fn spread(&mut self, news: &PeerUpdate) {
        let out = self.fleet.zone_peers();
        let out = out.into_iter().map(|to| (to, FleetMsg::PeerUpdate(news.clone()))).collect();
        self.send(out);
    }

    /// Tells the services that depend on who lives.
    fn renew(&mut self) {
        if !self.fleet.take_changed(now()) {
            return;
        }
        let live = self.fleet.live_hosts();
        let readers = self.fleet.readers();
        info!("hosts changed", kv: { code = Code::HOSTS_CHANGED.to_string(), live = live.len(), reads = readers.is_reader });
        self.edge.borrow_mut().set_hosts(live, self.fleet.zone_peers(), readers.is_reader);
        self.readers.send_if_modified(|it| {
            let changed = *it != readers;
            *it = readers;
            changed
        });
    }

    fn send(&mut self, out: OutboundMessages) {
        for (to, msg) in out {
            let to = SocketAddr::from((address_of(to), self.port));
            match encode(&msg) {
                Ok(body) => {
                    // A datagram that cannot be sent is lost like any other; the next one follows.
                    if let Err(e) = self.socket.try_send_to(&body, to) {
                        debug!("message to a host lost", kv: { error = e.to_string() });
                    }
                }
                Err(e) => error!("message to a host not written", kv: { error = e.to_string() }),
            }
        }
    }
}

/// The service.
pub(crate) struct FleetService {
    link: SharedFleet,
    socket: Rc<UdpSocket>,
    news: Option<mpsc::UnboundedReceiver<PeerUpdate>>,
    tasks: Vec<JoinHandle<()>>,
}

impl FleetService {
    /// Binds the socket.
    pub(crate) fn bind(
        fleet: Fleet,
        address: SocketAddrV4,
        edge: SharedEdge,
        readers: watch::Sender<Readers>,
        news: mpsc::UnboundedReceiver<PeerUpdate>,
    ) -> Result<FleetService, StartError> {
        let unbound = |e: std::io::Error| StartError {
            service: FLEET,
            detail: format!("cannot bind {address}: {e}"),
        };
        let socket = Rc::new(bind_udp(address).map_err(unbound)?);
        let link = FleetLink {
            fleet,
            socket: Rc::clone(&socket),
            port: address.port(),
            edge,
            readers,
            last_tick: now(),
        };
        let link = Rc::new(RefCell::new(link));
        Ok(FleetService { link, socket, news: Some(news), tasks: Vec::new() })
    }

    /// The link for other services.
    pub(crate) fn shared(&self) -> SharedFleet {
        Rc::clone(&self.link)
    }
}

impl Service for FleetService {
    fn name(&self) -> &'static str {
        FLEET
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        self.tasks.push(actix_rt::spawn(receive(self.shared(), Rc::clone(&self.socket))));
        self.tasks.push(actix_rt::spawn(tick(self.shared())));
        if let Some(rx) = self.news.take() {
            self.tasks.push(actix_rt::spawn(spread(self.shared(), rx)));
        }
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(std::mem::take(&mut self.tasks))
    }
}

async fn receive(link: SharedFleet, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; LONGEST];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, SocketAddr::V4(from))) => {
                link.borrow_mut().receive(host_at(*from.ip()), &buf[..len]);
            }
            Ok(_) => {}
            // A host's closed port shows as an error on this socket; go on reading.
            Err(e) => debug!("receive failed", kv: { error = e.to_string() }),
        }
    }
}

async fn tick(link: SharedFleet) {
    let mut timer = tokio::time::interval(TICK);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        link.borrow_mut().tick();
    }
}

async fn spread(link: SharedFleet, mut rx: mpsc::UnboundedReceiver<PeerUpdate>) {
    while let Some(news) = rx.recv().await {
        link.borrow_mut().spread(&news);
    }
}
