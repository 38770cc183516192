//! Running a daemon from start to graceful shutdown.

use std::{
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::Serialize;
use spdlog::prelude::*;
use thiserror::Error;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::Instant,
};

use crate::{
    admin::Admin,
    config::{ConfigReader, peers::Peers, store::SharedStore},
    core_state::CoreState,
    host_list::HostList,
    kernel::{Kernel, StartError},
    log,
    packets::{PACKETS, Packets},
    report::SharedReport,
    service_message::ServiceMessage,
    settings::Settings,
};

/// Time between two looks at whether a leaving host has finished.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Time that a leaving host stays to be asked for flows.
const DRAIN_AT_LEAST: Duration = Duration::from_millis(1_500);

/// Why a daemon did not start or ended early.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A service did not start.
    #[error("{0}")]
    Start(String),
    /// The log or the signal handlers could not be set up.
    #[error("{0}")]
    Setup(String),
}

impl From<StartError> for DaemonError {
    fn from(e: StartError) -> DaemonError {
        DaemonError::Start(e.to_string())
    }
}

/// How a daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ShutdownSummary {
    /// All requests were finished and all roles taken over within the bound.
    pub drained: bool,
    /// Time from the signal to the end, milliseconds.
    pub took_ms: u64,
    /// Requests that were in progress at the signal.
    pub requests: usize,
    /// Requests that were still in progress at the end.
    pub requests_left: usize,
    /// Flows that new bucket owners were told of.
    pub handed_over: usize,
    /// Flows that new bucket owners were not told of.
    pub not_handed_over: usize,
}

/// Runs a daemon until it is asked to stop.
///
/// # Errors
/// A service that does not start.
pub fn run(settings: &Settings) -> Result<ShutdownSummary, DaemonError> {
    log::init(&settings.log, log::Output::Stderr).map_err(|e| DaemonError::Setup(e.to_string()))?;
    actix_rt::System::new().block_on(run_services(settings))
}

async fn run_services(settings: &Settings) -> Result<ShutdownSummary, DaemonError> {
    let set_up = |e: std::io::Error| DaemonError::Setup(e.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(set_up)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(set_up)?;
    let report = SharedReport::default();
    {
        let mut report = report.lock();
        report.host.clone_from(&settings.host);
        report.zone.clone_from(&settings.zone);
    }
    let mut kernel = Kernel::default();
    if let Err(e) = start_all(&mut kernel, settings, &report) {
        kernel.stop().await;
        return Err(e.into());
    }
    info!("started", kv: { host = settings.host, zone = settings.zone });
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let finished = drain(&kernel, settings, &report).await;
    kernel.stop().await;
    log_end(&finished);
    Ok(finished)
}

/// Start time of the process, milliseconds since the epoch.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn start_all(
    kernel: &mut Kernel,
    settings: &Settings,
    report: &SharedReport,
) -> Result<(), StartError> {
    let (core_state_tx, core_state_rx) = watch::channel(CoreState::default());
    let store = SharedStore::default();
    kernel.start(Box::new(Packets::new(settings, incarnation(), report.clone(), core_state_tx)))?;
    kernel.start(Box::new(HostList::new(settings, core_state_rx.clone())))?;
    kernel.start(Box::new(Peers::new(settings.peers, Rc::clone(&store))))?;
    kernel.start(Box::new(ConfigReader::new(settings, store, core_state_rx)))?;
    kernel.start(Box::new(Admin::new(settings, report.clone())))
}

/// Announces that the host leaves and waits until nothing is in progress.
async fn drain(kernel: &Kernel, settings: &Settings, report: &SharedReport) -> ShutdownSummary {
    let start = Instant::now();
    let bound = Duration::from_millis(settings.shutdown_ms);
    if let Some(it) = kernel.registry().find(PACKETS) {
        it.do_send(ServiceMessage::Leave);
    }
    // One look for the actor to take the message in.
    tokio::time::sleep(DRAIN_LOOK).await;
    let (requests, flows) = {
        let report = report.lock();
        (report.requests(), report.flows_to_hand_over)
    };
    let mut drained = false;
    while !drained && start.elapsed() < bound {
        tokio::time::sleep(DRAIN_LOOK).await;
        drained = start.elapsed() >= DRAIN_AT_LEAST && report.lock().drained;
    }
    let took_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    let report = report.lock();
    ShutdownSummary {
        drained,
        took_ms,
        requests,
        requests_left: report.requests(),
        handed_over: flows.saturating_sub(report.flows_to_hand_over),
        not_handed_over: report.flows_to_hand_over,
    }
}

fn log_end(it: &ShutdownSummary) {
    let finished = it.requests.saturating_sub(it.requests_left);
    if it.drained {
        info!("stopped", kv: {
            drained = true, took_ms = it.took_ms, finished, handed_over = it.handed_over
        });
    } else {
        warn!("stopped before all was finished", kv: {
            drained = false, took_ms = it.took_ms, finished, requests_left = it.requests_left,
            handed_over = it.handed_over, not_handed_over = it.not_handed_over
        });
    }
}
