//! Running a daemon from start to graceful shutdown.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use spdlog::prelude::*;
use thiserror::Error;
use tokio::{
    signal::unix::{SignalKind, signal},
    time::Instant,
};

use crate::{
    admin::Admin,
    config::ConfigReader,
    control::Control,
    host_list::HostList,
    kernel::{Kernel, StartError},
    log,
    packets::{PACKETS, Packets},
    report::SharedReport,
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
    SetUp(String),
}

impl From<StartError> for DaemonError {
    fn from(e: StartError) -> DaemonError {
        DaemonError::Start(e.to_string())
    }
}

/// How a daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Finished {
    /// All requests were finished and all roles taken over within the bound.
    pub drained: bool,
    /// Time from the signal to the end, milliseconds.
    pub took_ms: u64,
}

/// Runs a daemon until it is asked to stop.
///
/// # Errors
/// A service that does not start.
pub fn run(settings: &Settings) -> Result<Finished, DaemonError> {
    log::set_up(&settings.log).map_err(|e| DaemonError::SetUp(e.to_string()))?;
    actix_rt::System::new().block_on(run_services(settings))
}

async fn run_services(settings: &Settings) -> Result<Finished, DaemonError> {
    let set_up = |e: std::io::Error| DaemonError::SetUp(e.to_string());
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
    info!("stopped", kv: { drained = finished.drained, took_ms = finished.took_ms });
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
    kernel.start(Box::new(Packets::new(settings, incarnation(), report.clone())))?;
    kernel.start(Box::new(HostList::new(settings)))?;
    kernel.start(Box::new(ConfigReader::new(settings)))?;
    kernel.start(Box::new(Admin::new(settings, report.clone())))
}

/// Announces that the host leaves and waits until nothing is in progress.
async fn drain(kernel: &Kernel, settings: &Settings, report: &SharedReport) -> Finished {
    let start = Instant::now();
    let bound = Duration::from_millis(settings.shutdown_ms);
    if let Some(it) = kernel.registry().find(PACKETS) {
        it.do_send(Control::Leave);
    }
    let mut drained = false;
    while !drained && start.elapsed() < bound {
        tokio::time::sleep(DRAIN_LOOK).await;
        drained = start.elapsed() >= DRAIN_AT_LEAST && report.lock().drained;
    }
    let took_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    Finished { drained, took_ms }
}
