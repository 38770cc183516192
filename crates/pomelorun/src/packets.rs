//! The service `packets`: the socket loop, the timer, and the core behind them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix::{Actor, Context, Handler, Recipient};
use pomelorun_core::{Event, HostCore};
use pomelorun_wire::{HostId, ZoneId};
use spdlog::prelude::*;
use tokio::{net::UdpSocket, task::JoinHandle, time::MissedTickBehavior};

use crate::{
    core_state::CoreStateTx,
    datagram_batch::{bind_udp, receive_loop},
    engine::{Engine, SharedEngine},
    kernel::{Registry, Service, StartError, StopFuture, join_aborted},
    report::SharedReport,
    service_message::ServiceMessage,
    settings::Settings,
};

/// Name of the service.
pub(crate) const PACKETS: &str = "packets";

/// Time between two timer events of the core.
const TICK: Duration = Duration::from_millis(20);
/// Timer events between two renewals of the report.
const TICKS_PER_REPORT: u32 = 10;
/// Longest datagram that is received; control messages are longer than packets.
const LONGEST: usize = 64 << 10;

/// The service.
pub(crate) struct Packets {
    settings: Settings,
    incarnation: u64,
    report: SharedReport,
    core_state: Option<CoreStateTx>,
    tasks: Vec<JoinHandle<()>>,
}

impl Packets {
    pub(crate) fn new(
        settings: &Settings,
        incarnation: u64,
        report: SharedReport,
        core_state: CoreStateTx,
    ) -> Packets {
        let settings = settings.clone();
        Packets { settings, incarnation, report, core_state: Some(core_state), tasks: Vec::new() }
    }
}

impl Service for Packets {
    fn name(&self) -> &'static str {
        PACKETS
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        let unbound = |e: std::io::Error| StartError {
            service: PACKETS,
            detail: format!("cannot bind {}: {e}", self.settings.packets),
        };
        let socket = Rc::new(bind_udp(self.settings.packets).map_err(unbound)?);
        let host = HostId::from_name(&self.settings.host);
        let zone = ZoneId::from_name(&self.settings.zone);
        let seed = host.0 ^ self.incarnation;
        let core = HostCore::new(host, zone, self.incarnation, seed, self.settings.bounds.clone());
        let engine = Engine::new(core, Rc::clone(&socket), &self.settings, self.incarnation);
        let engine = Rc::new(RefCell::new(engine));
        let core_state = self.core_state.take().unwrap_or_default();
        self.tasks.push(actix_rt::spawn(receive(Rc::clone(&engine), socket)));
        self.tasks.push(actix_rt::spawn(tick(Rc::clone(&engine), self.report.clone(), core_state)));
        let actor = PacketsActor { engine, report: self.report.clone() }.start();
        Ok(Some(actor.recipient()))
    }

    fn stop(&mut self) -> StopFuture {
        join_aborted(std::mem::take(&mut self.tasks))
    }
}

async fn receive(engine: SharedEngine, socket: Rc<UdpSocket>) {
    receive_loop(&socket, LONGEST, |it| engine.borrow_mut().datagrams(it)).await;
}

async fn tick(engine: SharedEngine, report: SharedReport, core_state: CoreStateTx) {
    let mut timer = tokio::time::interval(TICK);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0u32;
    loop {
        timer.tick().await;
        let mut engine = engine.borrow_mut();
        engine.handle(Event::Tick);
        count = count.wrapping_add(1);
        if count.is_multiple_of(TICKS_PER_REPORT) {
            engine.report(&report);
            engine.publish_core_state(&core_state);
        }
    }
}

/// Takes the messages of other services.
struct PacketsActor {
    engine: SharedEngine,
    report: SharedReport,
}

impl Actor for PacketsActor {
    type Context = Context<PacketsActor>;
}

impl Handler<ServiceMessage> for PacketsActor {
    type Result = ();

    fn handle(&mut self, msg: ServiceMessage, _: &mut Context<PacketsActor>) {
        let mut engine = self.engine.borrow_mut();
        match msg {
            ServiceMessage::Snapshot { snapshot, content, bytes } => {
                info!("revision in force", kv: { revision = snapshot.revision });
                engine.handle(Event::Snapshot(snapshot));
                let mut report = self.report.lock();
                report.content = content;
                report.config_bytes += bytes;
            }
            ServiceMessage::ConfigAge(age) => self.report.lock().config_age_ms = age,
            ServiceMessage::CountCode(code) => engine.count(code),
            ServiceMessage::ForgetAdvertisedRevision(host) => {
                engine.forget_advertised_revision(host);
            }
            ServiceMessage::HostList(hosts) => engine.host_list(&hosts),
            ServiceMessage::Explain { flow, reply } => {
                // The asker has gone if the answer finds no receiver.
                let _ = reply.try_send(engine.explain(&flow));
            }
            ServiceMessage::Leave => {
                engine.handle(Event::Leave);
                self.report.lock().leaving = true;
            }
        }
        engine.report(&self.report);
    }
}
