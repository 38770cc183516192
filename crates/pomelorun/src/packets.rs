//! The `packets` service: receives packets, drives the timer and runs the decision core.

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
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    report::SharedReport,
    service_message::ServiceMessage,
    settings::Settings,
};

/// Name of the service.
pub(crate) const PACKETS: &str = "packets";

/// Interval of the core's timer events.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of timer events per update of the report and the published core state.
const TICKS_PER_REPORT: u32 = 10;
/// Maximum size of a received datagram; control messages are larger than packets.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// The service that owns the packet socket and the engine.
pub(crate) struct PacketService {
    settings: Settings,
    incarnation: u64,
    report: SharedReport,
    core_state: Option<CoreStateTx>,
    tasks: Vec<JoinHandle<()>>,
}

impl PacketService {
    pub(crate) fn new(
        settings: &Settings,
        incarnation: u64,
        report: SharedReport,
        core_state: CoreStateTx,
    ) -> PacketService {
        let settings = settings.clone();
        PacketService {
            settings,
            incarnation,
            report,
            core_state: Some(core_state),
            tasks: Vec::new(),
        }
    }
}

impl Service for PacketService {
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
        self.tasks.push(actix_rt::spawn(run_receive_loop(Rc::clone(&engine), socket)));
        self.tasks.push(actix_rt::spawn(run_timer(
            Rc::clone(&engine),
            self.report.clone(),
            core_state,
        )));
        let actor = PacketServiceActor { engine, report: self.report.clone() }.start();
        Ok(Some(actor.recipient()))
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(std::mem::take(&mut self.tasks))
    }
}

async fn run_receive_loop(engine: SharedEngine, socket: Rc<UdpSocket>) {
    receive_loop(&socket, MAX_DATAGRAM_BYTES, |it| engine.borrow_mut().handle_batch(it)).await;
}

async fn run_timer(engine: SharedEngine, report: SharedReport, core_state: CoreStateTx) {
    let mut timer = tokio::time::interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0u32;
    loop {
        timer.tick().await;
        let mut engine = engine.borrow_mut();
        engine.handle(Event::Tick);
        count = count.wrapping_add(1);
        if count.is_multiple_of(TICKS_PER_REPORT) {
            engine.update_report(&report);
            engine.publish_core_state(&core_state);
        }
    }
}

/// Handles messages from other services.
struct PacketServiceActor {
    engine: SharedEngine,
    report: SharedReport,
}

impl Actor for PacketServiceActor {
    type Context = Context<PacketServiceActor>;
}

impl Handler<ServiceMessage> for PacketServiceActor {
    type Result = ();

    fn handle(&mut self, msg: ServiceMessage, _: &mut Context<PacketServiceActor>) {
        let mut engine = self.engine.borrow_mut();
        match msg {
            ServiceMessage::Snapshot { snapshot, content, bytes } => {
                info!("activated configuration revision", kv: { revision = snapshot.revision });
                engine.handle(Event::Snapshot(snapshot));
                let mut report = self.report.lock();
                report.content = content;
                report.config_bytes += bytes;
            }
            ServiceMessage::ConfigAge(age) => self.report.lock().config_age_ms = age,
            ServiceMessage::CountCode(code) => engine.count_code(code),
            ServiceMessage::ForgetAdvertisedRevision(host) => {
                engine.forget_advertised_revision(host);
            }
            ServiceMessage::HostList(hosts) => engine.update_host_list(&hosts),
            ServiceMessage::Explain { flow, reply } => {
                // Sending fails only if the requester has timed out and dropped the receiver.
                let _ = reply.try_send(engine.explain(&flow));
            }
            ServiceMessage::Leave => {
                engine.handle(Event::Leave);
                self.report.lock().leaving = true;
            }
        }
        engine.update_report(&self.report);
    }
}
