//! Life cycle of a daemon, from the start to the graceful shutdown.

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
    admin::AdminService,
    config::{ConfigReader, active::SharedActiveConfig, peers::PeerService},
    core_state::CoreState,
    host_list::HostListService,
    kernel::{Kernel, StartError},
    log,
    packets::{PACKETS, PacketService},
    report::SharedReport,
    service_message::ServiceMessage,
    settings::Settings,
};

/// Interval at which a leaving host checks whether it has drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time that a leaving host stays available for queries about its flows.
const MIN_DRAIN: Duration = Duration::from_millis(1_500);

/// Error of a daemon that failed to start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A service failed to start.
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

/// Result of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ShutdownSummary {
    /// `true` if all requests were finished and all roles were taken over within `shutdown_ms`.
    pub drained: bool,
    /// Time from the signal to the end, in milliseconds.
    pub took_ms: u64,
    /// Requests in flight or queued at the signal.
    pub requests: usize,
    /// Requests still in flight or queued at the end.
    pub requests_left: usize,
    /// Flows that were handed over to their new bucket owners.
    pub handed_over: usize,
    /// Flows that were not handed over.
    pub not_handed_over: usize,
}

/// Runs a daemon until it receives a termination signal.
///
/// # Errors
/// Returns an error if the log, the signal handlers or a service cannot be started.
pub fn run(settings: &Settings) -> Result<ShutdownSummary, DaemonError> {
    log::init(&settings.log, log::Output::Stderr).map_err(|e| DaemonError::Setup(e.to_string()))?;
    actix_rt::System::new().block_on(run_services(settings))
}

async fn run_services(settings: &Settings) -> Result<ShutdownSummary, DaemonError> {
    let setup_error = |e: std::io::Error| DaemonError::Setup(e.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(setup_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(setup_error)?;
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
    log_shutdown(&finished);
    Ok(finished)
}

/// Returns the current time in milliseconds since the Unix epoch, as the process's incarnation.
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
    let active = SharedActiveConfig::default();
    kernel.start(Box::new(PacketService::new(
        settings,
        incarnation(),
        report.clone(),
        core_state_tx,
    )))?;
    kernel.start(Box::new(HostListService::new(settings, core_state_rx.clone())))?;
    kernel.start(Box::new(PeerService::new(settings.peers, Rc::clone(&active))))?;
    kernel.start(Box::new(ConfigReader::new(settings, active, core_state_rx)))?;
    kernel.start(Box::new(AdminService::new(settings, report.clone())))
}

/// Announces that the host is leaving and waits until it has drained, at most `shutdown_ms`.
async fn drain(kernel: &Kernel, settings: &Settings, report: &SharedReport) -> ShutdownSummary {
    let start = Instant::now();
    let max_drain = Duration::from_millis(settings.shutdown_ms);
    if let Some(it) = kernel.registry().find(PACKETS) {
        it.do_send(ServiceMessage::Leave);
    }
    // Gives the actor time to handle the message before the report is read.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    let (requests, flows) = {
        let report = report.lock();
        (report.requests(), report.flows_to_hand_over)
    };
    let mut drained = false;
    while !drained && start.elapsed() < max_drain {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        drained = start.elapsed() >= MIN_DRAIN && report.lock().drained;
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

fn log_shutdown(it: &ShutdownSummary) {
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
