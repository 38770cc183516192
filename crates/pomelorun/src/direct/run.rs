//! Runs a daemon in direct server return from start to shutdown.

use std::{
    cell::RefCell,
    path::Path,
    rc::Rc,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, SystemTime},
};

use pomelorun_core::direct::{DirectHost, Readers};
use pomelorun_wire::{Code, HostId};
use spdlog::prelude::*;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};

use crate::{
    daemon::DaemonError,
    direct::{
        edge::{EdgeLinks, EdgeService, SharedEdge, now},
        feed::{Feed, FeedService},
        fleet::{FleetService, OutboundReceivers, SharedFleet},
        introspection::IntrospectionQuery,
        platform::{Directory, Platform},
        probes::ProbeService,
        reader::{ReaderContext, ReaderService},
        settings::DirectSettingsFile,
        web::{Status, WebService},
    },
    kernel::{Kernel, StartError},
    log,
};

/// Time for which a leaving host still forwards packets. The fabric polls readiness twice per
/// second and stops sending packets after two polls that report not ready; the rest is for packets
/// in transit.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Maximum time for which startup waits for the initial listing of the directory.
const INITIAL_LISTING_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum share of the grace period that the drain may take; the process is killed at the end of
/// that period.
const DRAIN_SHARE_OF_GRACE: f64 = 0.7;
/// Interval at which the settings file is checked for changes made without a signal. Changes are
/// rare, and a check is one system call.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a daemon until it receives a signal to stop.
///
/// # Errors
///
/// Returns an error if a service cannot be started.
pub fn run(path: &Path, file: &DirectSettingsFile, platform: Platform) -> Result<(), DaemonError> {
    let log_lines_dropped = Arc::new(AtomicU64::new(0));
    log::init(&file.log, log::Output::Stdout(Arc::clone(&log_lines_dropped)))
        .map_err(|e| DaemonError::Setup(e.to_string()))?;
    actix_rt::System::new().block_on(run_services(path, file, platform, log_lines_dropped))
}

/// Signals handled by the daemon.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

async fn run_services(
    path: &Path,
    file: &DirectSettingsFile,
    platform: Platform,
    log_lines_dropped: Arc<AtomicU64>,
) -> Result<(), DaemonError> {
    let setup_error = |e: std::io::Error| DaemonError::Setup(e.to_string());
    let mut signals = Signals::new().map_err(setup_error)?;
    let modified_at = modification_time(path);
    let directory = Rc::clone(&platform.directory);
    let mut kernel = Kernel::default();
    let status = Arc::new(Status::new(log_lines_dropped));
    let (queries, queries_rx) = mpsc::unbounded_channel();
    let started = start_data_plane(&mut kernel, file, platform, &status, queries_rx);
    let (edge, fleet) = match started {
        Ok(it) => it,
        Err(e) => {
            kernel.stop().await;
            return Err(e.into());
        }
    };
    info!("started", kv: {
        code = Code::STARTED.to_string(), host = file.host, zone = file.zone,
        version = env!("CARGO_PKG_VERSION")
    });
    let initial_listing = edge.borrow().initial_listing();
    // Callers may be waiting, so the host first reads the directory and only then starts the HTTP
    // server.
    let _ = tokio::time::timeout(INITIAL_LISTING_TIMEOUT, initial_listing.notified()).await;
    if let Err(e) = kernel.start(Box::new(WebService::new(file, status, queries))) {
        kernel.stop().await;
        return Err(e.into());
    }
    let (reloader_edge, reloader_fleet) = (Rc::clone(&edge), Rc::clone(&fleet));
    let mut reloader = SettingsReloader {
        path,
        file: file.clone(),
        modified_at,
        edge: reloader_edge,
        fleet: reloader_fleet,
        directory,
    };
    reloader.run_until_stopped(&mut signals).await;
    edge.borrow_mut().leave();
    fleet.borrow_mut().leave();
    let drain_time = DRAIN_TIME
        .min(Duration::from_secs_f64(reloader.file.bounds.grace_s * DRAIN_SHARE_OF_GRACE));
    info!("shutting down", kv: {
        code = Code::SHUTTING_DOWN.to_string(),
        forward_ms = u64::try_from(drain_time.as_millis()).unwrap_or(u64::MAX)
    });
    tokio::time::sleep(drain_time).await;
    kernel.stop().await;
    info!("stopped", kv: { code = Code::STOPPED.to_string() });
    spdlog::default_logger().flush();
    Ok(())
}

fn start_data_plane(
    kernel: &mut Kernel,
    file: &DirectSettingsFile,
    platform: Platform,
    status: &Arc<Status>,
    queries: mpsc::UnboundedReceiver<IntrospectionQuery>,
) -> Result<(SharedEdge, SharedFleet), StartError> {
    let (probes, probes_rx) = mpsc::unbounded_channel();
    let (peer_updates, peer_updates_rx) = mpsc::unbounded_channel();
    let (liveness, liveness_rx) = mpsc::unbounded_channel();
    let (readers, readers_rx) = watch::channel(Readers::default());
    let host = DirectHost::new(file.direct_settings());
    let status = Arc::clone(status);
    let links = EdgeLinks { status, probes, peer_updates, liveness, queries };
    let service = EdgeService::bind(host, platform.codec, file.packets, links)?;
    let edge = service.shared();
    kernel.start(Box::new(service))?;
    let feed = Rc::new(RefCell::new(Feed::new()));
    let peer_address = file.peer_address();
    let fleet = file.new_fleet(now());
    let outbound = OutboundReceivers { peer_updates: peer_updates_rx, liveness: liveness_rx };
    let service = FleetService::bind(fleet, peer_address, Rc::clone(&edge), readers, outbound)?;
    let fleet = service.shared();
    let cx = ReaderContext {
        edge: Rc::clone(&edge),
        feed: Rc::clone(&feed),
        directory: platform.directory,
        readers: readers_rx,
        feed_port: peer_address.port(),
    };
    kernel.start(Box::new(ReaderService::new(cx)))?;
    kernel.start(Box::new(service))?;
    kernel.start(Box::new(FeedService::new(peer_address, Rc::clone(&edge), feed)))?;
    kernel.start(Box::new(ProbeService::new(Rc::clone(&edge), platform.prober, probes_rx)))?;
    Ok((edge, fleet))
}

/// Reloads the settings file and applies what can change at run time.
struct SettingsReloader<'a> {
    path: &'a Path,
    /// The active settings.
    file: DirectSettingsFile,
    /// Modification time of the file when it was last loaded, if known.
    modified_at: Option<SystemTime>,
    edge: SharedEdge,
    fleet: SharedFleet,
    directory: Rc<dyn Directory>,
}

impl SettingsReloader<'_> {
    /// Waits for a signal to stop, and reloads the settings file on each signal to reload and
    /// whenever the file has changed.
    async fn run_until_stopped(&mut self, signals: &mut Signals) {
        let mut poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => return,
                _ = signals.interrupt.recv() => return,
                _ = signals.reload.recv() => self.reload_settings(),
                _ = poll.tick() => {
                    if modification_time(self.path) != self.modified_at {
                        self.reload_settings();
                    }
                }
            }
        }
    }

    /// Loads the settings file and applies what can change at run time.
    ///
    /// Settings that need a restart are logged. A file with faults changes nothing.
    fn reload_settings(&mut self) {
        self.modified_at = modification_time(self.path);
        let new = match DirectSettingsFile::load(self.path) {
            Ok(it) => it,
            Err(e) => {
                error!("settings not reloaded", kv: {
                    code = Code::SETTINGS_INVALID.to_string(), error = e.to_string()
                });
                return;
            }
        };
        let restart_only = self.file.restart_only_changes(&new);
        let changed = new != self.file;
        self.edge.borrow_mut().update_settings(new.direct_settings());
        let known_seeds = self.file.seed_hosts();
        let seeds: Vec<HostId> =
            new.seed_hosts().into_iter().filter(|it| !known_seeds.contains(it)).collect();
        self.fleet.borrow_mut().add_seeds(&seeds);
        self.directory.set_address(new.directory);
        log::set_level(&new.log);
        self.file = self.file.with_reloadable(new);
        if restart_only.is_empty() {
            info!("settings reloaded", kv: { code = Code::RELOADED.to_string(), changed });
        } else {
            warn!("settings partly reloaded; restart the daemon to apply the rest", kv: {
                code = Code::RELOADED.to_string(), changed,
                restart_needed_for = restart_only.join(",")
            });
        }
    }
}

/// Returns the modification time of a file, or `None` if it cannot be read; the reload then reports
/// the error.
fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}
