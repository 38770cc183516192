//! The service `packets`: the socket loop, the timer, and the core behind them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix::{Actor, Context, Handler, Recipient};
use pomelorun_core::{Event, HostCore};
use pomelorun_wire::{HostId, ZoneId};
use spdlog::prelude::*;
use tokio::{net::UdpSocket, task::JoinHandle, time::MissedTickBehavior};

use crate::{
    batch::{bind_datagrams, receive_all},
    control::Control,
    engine::{Engine, SharedEngine},
    kernel::{Registry, Service, StartError, Stopped, join_aborted},
    plan::PlanTx,
    report::SharedReport,
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
    plan: Option<PlanTx>,
    tasks: Vec<JoinHandle<()>>,
}

impl Packets {
    pub(crate) fn new(
        settings: &Settings,
        incarnation: u64,
        report: SharedReport,
        plan: PlanTx,
    ) -> Packets {
        let settings = settings.clone();
        Packets { settings, incarnation, report, plan: Some(plan), tasks: Vec::new() }
    }
}

impl Service for Packets {
    fn name(&self) -> &'static str {
        PACKETS
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<Control>>, StartError> {
        let unbound = |e: std::io::Error| StartError {
            service: PACKETS,
            detail: format!("cannot bind {}: {e}", self.settings.packets),
        };
        let socket = Rc::new(bind_datagrams(self.settings.packets).map_err(unbound)?);
        let host = HostId::from_name(&self.settings.host);
        let zone = ZoneId::from_name(&self.settings.zone);
        let seed = host.0 ^ self.incarnation;
        let core = HostCore::new(host, zone, self.incarnation, seed, self.settings.bounds.clone());
        let engine = Engine::new(core, Rc::clone(&socket), &self.settings, self.incarnation);
        let engine = Rc::new(RefCell::new(engine));
        let plan = self.plan.take().unwrap_or_default();
        self.tasks.push(actix_rt::spawn(receive(Rc::clone(&engine), socket)));
        self.tasks.push(actix_rt::spawn(tick(Rc::clone(&engine), self.report.clone(), plan)));
        let actor = PacketsActor { engine, report: self.report.clone() }.start();
        Ok(Some(actor.recipient()))
    }

    fn stop(&mut self) -> Stopped {
        join_aborted(std::mem::take(&mut self.tasks))
    }
}

async fn receive(engine: SharedEngine, socket: Rc<UdpSocket>) {
    receive_all(&socket, LONGEST, |it| engine.borrow_mut().datagrams(it)).await;
}

async fn tick(engine: SharedEngine, report: SharedReport, plan: PlanTx) {
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
            engine.renew_plan(&plan);
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

impl Handler<Control> for PacketsActor {
    type Result = ();

    fn handle(&mut self, msg: Control, _: &mut Context<PacketsActor>) {
        let mut engine = self.engine.borrow_mut();
        match msg {
            Control::Snapshot { snapshot, content, bytes } => {
                info!("revision in force", kv: { revision = snapshot.revision });
                engine.handle(Event::Snapshot(snapshot));
                let mut report = self.report.lock();
                report.content = content;
                report.config_bytes += bytes;
            }
            Control::ConfigAge(age) => self.report.lock().config_age_ms = age,
            Control::Count(code) => engine.count(code),
            Control::ForgetAdvertisedRevision(host) => engine.forget_advertised_revision(host),
            Control::HostList(hosts) => engine.host_list(&hosts),
            Control::Explain { flow, reply } => {
                // The asker has gone if the answer finds no receiver.
                let _ = reply.try_send(engine.explain(&flow));
            }
            Control::Leave => {
                engine.handle(Event::Leave);
                self.report.lock().leaving = true;
            }
        }
        engine.report(&self.report);
    }
}
