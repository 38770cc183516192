//! Running a daemon in direct return from start to shutdown.

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
        fleet::{FleetService, SharedFleet},
        introspection::IntrospectionQuery,
        platform::{Directory, Platform},
        probes::Probes,
        reader::{Reader, Sources},
        settings::DirectSettingsFile,
        web::{Status, Web},
    },
    kernel::{Kernel, StartError},
    log,
};

/// Time for which a leaving host forwards what still comes. The fabric asks twice a second and
/// needs two refusals; the rest is for packets on their way.
const FORWARD_ON: Duration = Duration::from_millis(2_500);
/// Longest time that the first reading of the directory may hold up the rest of the start.
const FIRST_READING: Duration = Duration::from_millis(300);
/// Part of the time until the process is ended by force that it uses at most.
const GRACE_SHARE: f64 = 0.7;
/// Time between two looks at the settings file, which may change without a signal. Changes are rare
/// and a look is one system call.
const LOOK: Duration = Duration::from_secs(2);

/// Runs a daemon until it is asked to stop.
///
/// # Errors
/// A service that does not start.
pub fn run(path: &Path, file: &DirectSettingsFile, platform: Platform) -> Result<(), DaemonError> {
    let lines_dropped = Arc::new(AtomicU64::new(0));
    log::init(&file.log, log::Output::Stdout(Arc::clone(&lines_dropped)))
        .map_err(|e| DaemonError::Setup(e.to_string()))?;
    actix_rt::System::new().block_on(run_services(path, file, platform, lines_dropped))
}

/// Signals that a daemon heeds.
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
    lines_dropped: Arc<AtomicU64>,
) -> Result<(), DaemonError> {
    let set_up = |e: std::io::Error| DaemonError::Setup(e.to_string());
    let mut signals = Signals::new().map_err(set_up)?;
    let changed = modified(path);
    let directory = Rc::clone(&platform.directory);
    let mut kernel = Kernel::default();
    let status = Arc::new(Status::new(lines_dropped));
    let (questions, questions_rx) = mpsc::unbounded_channel();
    let started = start_packets(&mut kernel, file, platform, &status, questions_rx);
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
    let informed = edge.borrow().informed();
    // Callers may be waiting: the directory is read before anything else is set up.
    let _ = tokio::time::timeout(FIRST_READING, informed.notified()).await;
    if let Err(e) = kernel.start(Box::new(Web::new(file, status, questions))) {
        kernel.stop().await;
        return Err(e.into());
    }
    let (edge_too, fleet_too) = (Rc::clone(&edge), Rc::clone(&fleet));
    let mut reload =
        Reload { path, file: file.clone(), changed, edge: edge_too, fleet: fleet_too, directory };
    reload.wait(&mut signals).await;
    edge.borrow_mut().leave();
    fleet.borrow_mut().leave();
    let on = FORWARD_ON.min(Duration::from_secs_f64(reload.file.bounds.grace_s * GRACE_SHARE));
    info!("leaving", kv: { code = Code::SHUTTING_DOWN.to_string(), forward_ms = u64::try_from(on.as_millis()).unwrap_or(u64::MAX) });
    tokio::time::sleep(on).await;
    kernel.stop().await;
    info!("stopped", kv: { code = Code::STOPPED.to_string() });
    spdlog::default_logger().flush();
    Ok(())
}

fn start_packets(
    kernel: &mut Kernel,
    file: &DirectSettingsFile,
    platform: Platform,
    status: &Arc<Status>,
    questions: mpsc::UnboundedReceiver<IntrospectionQuery>,
) -> Result<(SharedEdge, SharedFleet), StartError> {
    let (probes, probes_rx) = mpsc::unbounded_channel();
    let (news, news_rx) = mpsc::unbounded_channel();
    let (readers, readers_rx) = watch::channel(Readers::default());
    let host = DirectHost::new(file.decisions());
    let status = Arc::clone(status);
    let links = EdgeLinks { status, probes, news, questions };
    let service = EdgeService::bind(host, platform.codec, file.packets, links)?;
    let edge = service.shared();
    kernel.start(Box::new(service))?;
    let feed = Rc::new(RefCell::new(Feed::new()));
    let peers = file.peers();
    let fleet = file.fleet(now());
    let service = FleetService::bind(fleet, peers, Rc::clone(&edge), readers, news_rx)?;
    let fleet = service.shared();
    let sources = Sources {
        edge: Rc::clone(&edge),
        feed: Rc::clone(&feed),
        directory: platform.directory,
        readers: readers_rx,
        feed_port: peers.port(),
    };
    kernel.start(Box::new(Reader::new(sources)))?;
    kernel.start(Box::new(service))?;
    kernel.start(Box::new(FeedService::new(peers, Rc::clone(&edge), feed)))?;
    kernel.start(Box::new(Probes::new(Rc::clone(&edge), platform.prober, probes_rx)))?;
    Ok((edge, fleet))
}

/// What a reload may change.
struct Reload<'a> {
    path: &'a Path,
    /// The settings in force.
    file: DirectSettingsFile,
    /// When the file was last changed, as far as it is known.
    changed: Option<SystemTime>,
    edge: SharedEdge,
    fleet: SharedFleet,
    directory: Rc<dyn Directory>,
}

impl Reload<'_> {
    /// Waits for a signal to stop; takes in the settings file again on each signal to reload, and
    /// where it has changed without one.
    async fn wait(&mut self, signals: &mut Signals) {
        let mut look = tokio::time::interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => return,
                _ = signals.interrupt.recv() => return,
                _ = signals.reload.recv() => self.reread(),
                _ = look.tick() => {
                    if modified(self.path) != self.changed {
                        self.reread();
                    }
                }
            }
        }
    }

    /// Checks the settings file and takes in what a running process can change. The rest is named and
    /// waits for a restart; a file with faults changes nothing.
    fn reread(&mut self) {
        self.changed = modified(self.path);
        let new = match DirectSettingsFile::load(self.path) {
            Ok(it) => it,
            Err(e) => {
                error!("settings not reloaded", kv: { code = Code::SETTINGS_INVALID.to_string(), error = e.to_string() });
                return;
            }
        };
        let refused = self.file.fixed_changes(&new);
        let changed = new != self.file;
        self.edge.borrow_mut().set_bounds(new.decisions());
        let known = self.file.seed_hosts();
        let seeds: Vec<HostId> =
            new.seed_hosts().into_iter().filter(|it| !known.contains(it)).collect();
        self.fleet.borrow_mut().add_seeds(&seeds);
        self.directory.set_address(new.directory);
        log::set_level(&new.log);
        self.file = self.file.with_changes(new);
        if refused.is_empty() {
            info!("settings reloaded", kv: { code = Code::RELOADED.to_string(), changed });
        } else {
            warn!("settings reloaded in part, the rest needs a restart", kv: {
                code = Code::RELOADED.to_string(), changed, restart_needed_for = refused.join(",")
            });
        }
    }
}

/// When a file was last changed; none if it cannot be told, which a reload then says.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}
