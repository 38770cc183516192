//! The service `config`: brings the newest revision in force, from other hosts or from the
//! configuration service.
//!
//! A few hosts of each zone watch the service. All others hear of a newer revision on the control
//! messages between hosts and ask one that has it in force, and look at the service now and then.

pub(crate) mod outage_log;
pub(crate) mod peers;
mod source;
pub(crate) mod store;

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::Recipient;
use pomelorun_config::{Manifest, compile, join_chunks};
use pomelorun_core::{ConfigReadRole, RevisionCheck, Snapshot, check_revision};
use pomelorun_wire::{Code, ConfigQuery};
use rand::RngExt;
use spdlog::prelude::*;
use tokio::task::JoinHandle;

use crate::{
    config::{
        outage_log::{OutageLog, OutageNotice},
        peers::PeerStream,
        source::{ConfigService, ReadError, Source},
        store::{SharedStore, Store},
    },
    core_state::{CoreState, CoreStateRx},
    kernel::{Registry, Service, StartError, StopFuture, join_aborted},
    packets::PACKETS,
    service_message::ServiceMessage,
    settings::Settings,
};

const CONFIG: &str = "config";
/// Longest time that one watch waits at the service.
const WATCH: Duration = Duration::from_secs(10);
/// Shortest and longest pause after a failure, milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..2_000;
/// Longest time that a host which starts waits for what other hosts have in force.
const START_WAIT: Duration = Duration::from_secs(2);
/// Longest time for which a host that starts prefers a newer revision that it cannot get from
/// other hosts to an older one at the service.
const PREFER_NEWER: Duration = Duration::from_secs(5);

/// The service.
pub(crate) struct ConfigReader {
    base: String,
    store: SharedStore,
    core_state: CoreStateRx,
    task: Option<JoinHandle<()>>,
}

impl ConfigReader {
    pub(crate) fn new(
        settings: &Settings,
        store: SharedStore,
        core_state: CoreStateRx,
    ) -> ConfigReader {
        ConfigReader { base: settings.config_service.clone(), store, core_state, task: None }
    }
}

impl Service for ConfigReader {
    fn name(&self) -> &'static str {
        CONFIG
    }

    fn start(
        &mut self,
        registry: &Registry,
    ) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        let packets = registry.require(PACKETS, CONFIG)?;
        let service = ConfigService { base: self.base.clone(), client: awc::Client::default() };
        let reader = Reader {
            service,
            packets,
            store: Rc::clone(&self.store),
            core_state: self.core_state.clone(),
            outage: OutageLog::default(),
            refused: None,
            started: Instant::now(),
            answered: Instant::now(),
            looked: None,
            check: false,
        };
        self.task = Some(actix_rt::spawn(reader.run()));
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        join_aborted(self.task.take())
    }
}

/// What to do next.
enum Next {
    /// Ask a host that has a newer revision.
    Peer,
    /// Ask the service, from this revision on, and wait there for so long.
    Service { after: u64, wait: Duration },
    /// Wait for the core to want something else, at most so long.
    Wait(Duration),
}

struct Reader {
    service: ConfigService,
    packets: Recipient<ServiceMessage>,
    store: SharedStore,
    core_state: CoreStateRx,
    outage: OutageLog,
    /// The revision and code that were refused last, so that each is logged once.
    refused: Option<(u64, Code)>,
    started: Instant,
    /// When the service last answered.
    answered: Instant,
    /// When a spare reader last looked at the service.
    looked: Option<Instant>,
    /// The next watch is to show the manifest even if its revision is the one in force.
    check: bool,
}

impl Reader {
    async fn run(mut self) {
        self.wait_settled().await;
        loop {
            let core = self.core_state.borrow_and_update().clone();
            match self.next(&core) {
                Next::Peer => self.ask_peer(&core).await,
                Next::Service { after, wait } => self.ask_service(&core, after, wait).await,
                // A sender that is gone means that the daemon stops.
                Next::Wait(time) => {
                    let _ = tokio::time::timeout(time, self.core_state.changed()).await;
                }
            }
            let age = u64::try_from(self.answered.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.packets.do_send(ServiceMessage::ConfigAge(age));
        }
    }

    /// Waits until other hosts have said what they have in force.
    async fn wait_settled(&mut self) {
        let settled = self.core_state.wait_for(|it| it.synced);
        let _ = tokio::time::timeout(START_WAIT, settled).await;
    }

    fn revision(&self) -> u64 {
        self.store.borrow().in_force.as_ref().map_or(0, |it| it.0)
    }

    fn next(&mut self, core: &CoreState) -> Next {
        let revision = self.revision();
        if core.newer_revision > revision && !core.sources.is_empty() {
            return Next::Peer;
        }
        let ConfigReadRole::Standby { poll_interval } = core.read_role else {
            // Every other watch shows whether the revision in force still has its content.
            self.check = !self.check && revision > 0;
            let after = if self.check { revision - 1 } else { revision };
            let wait = if self.check { Duration::ZERO } else { WATCH };
            return Next::Service { after, wait };
        };
        let poll_interval = Duration::from_millis(poll_interval.0);
        let since = self.looked.map_or(Duration::MAX, |it| it.elapsed());
        if since < poll_interval {
            return Next::Wait(poll_interval - since);
        }
        self.looked = Some(Instant::now());
        Next::Service { after: revision, wait: Duration::ZERO }
    }

    async fn ask_peer(&mut self, core: &CoreState) {
        let at = rand::rng().random_range(0..core.sources.len());
        let (host, address) = core.sources[at];
        if let Err(e) = self.read_peer(address).await {
            debug!("host gives no newer revision", kv: { host = host.to_string(), error = e.to_string() });
            self.packets.do_send(ServiceMessage::ForgetAdvertisedRevision(host));
            self.note_refusal(&e, core.newer_revision);
            self.pause().await;
        }
    }

    async fn read_peer(&mut self, address: std::net::SocketAddrV4) -> Result<(), ReadError> {
        let mut stream = PeerStream::connect(address).await.map_err(ReadError::Source)?;
        let text = stream.ask(&ConfigQuery::Manifest).await.map_err(ReadError::Source)?;
        let text = text.ok_or_else(|| ReadError::Source("nothing is in force there".to_owned()))?;
        self.offered(&text, Source::Peer(Box::new(stream))).await
    }

    async fn ask_service(&mut self, core: &CoreState, after: u64, wait: Duration) {
        let asked = Instant::now();
        let read = {
            let read = self.service.manifest(after, wait);
            tokio::select! {
                read = read => read,
                // A newer revision is known at other hosts: the watch is given up.
                Ok(_) = self.core_state.wait_for(|it| it.newer_revision > after && !it.sources.is_empty()) => {
                    return;
                }
            }
        };
        match read {
            Ok(text) => {
                self.answered = Instant::now();
                if let OutageNotice::Recovered(after) = self.outage.record_success(self.answered) {
                    info!("configuration service answers again", kv: { outage_s = after.as_secs() });
                }
                let revision = self.revision();
                if let Some(text) = &text
                    && let Err(e) = self.service_offered(core, text).await
                {
                    self.note_refusal(&e, revision_of(text));
                }
                // A service that answers at once with nothing new must not be asked in a loop.
                if self.revision() == revision && asked.elapsed() * 2 < wait {
                    self.pause().await;
                }
            }
            Err(e) => {
                self.note_outage(&e);
                self.pause().await;
            }
        }
    }

    async fn service_offered(&mut self, core: &CoreState, text: &str) -> Result<(), ReadError> {
        let prefers_newer = self.started.elapsed() < PREFER_NEWER;
        if self.revision() == 0 && prefers_newer && revision_of(text) < core.newer_revision {
            return Err(ReadError::Content {
                code: Code::CONFIG_REGRESSION,
                detail: format!("other hosts have revision {}", core.newer_revision),
            });
        }
        let service =
            ConfigService { base: self.service.base.clone(), client: self.service.client.clone() };
        self.offered(text, Source::Service(&service)).await
    }

    /// Takes up an offer: the whole of it or nothing.
    async fn offered(&mut self, text: &str, mut source: Source<'_>) -> Result<(), ReadError> {
        let manifest: Manifest = serde_json::from_str(text)
            .map_err(|e| ReadError::Content { code: Code::CONFIG_JSON, detail: e.to_string() })?;
        let content = manifest.content_hash();
        let revision = manifest.revision;
        let in_force = self.store.borrow().in_force.clone();
        let in_force = in_force.as_ref().map(|it| (it.0, it.1.as_str()));
        let refuse = |code, detail| Err(ReadError::Content { code, detail });
        match check_revision(in_force, (revision, &content)) {
            RevisionCheck::Unchanged => return Ok(()),
            RevisionCheck::Older => {
                let detail = format!("revision {revision} is older than the one in force");
                return refuse(Code::CONFIG_REGRESSION, detail);
            }
            RevisionCheck::Conflict => {
                let detail = format!("revision {revision} has another content than in force");
                return refuse(Code::CONFIG_CONFLICT, detail);
            }
            RevisionCheck::Newer => {}
        }
        let mut bytes = text.len() as u64;
        let mut chunks: Vec<(String, Arc<str>)> = Vec::with_capacity(manifest.chunks.len());
        for chunk in &manifest.chunks {
            let known = self.store.borrow().chunk(&chunk.sha256);
            let text = match known {
                Some(it) => it,
                None => {
                    let text = source.chunk(&chunk.sha256).await?;
                    bytes += text.len() as u64;
                    text.into()
                }
            };
            chunks.push((chunk.sha256.clone(), text));
        }
        let snapshot = Arc::new(assemble(&manifest, &chunks)?);
        chunks.sort_unstable();
        let in_force = Some((revision, content.clone()));
        *self.store.borrow_mut() = Store { in_force, manifest: text.into(), chunks };
        self.refused = None;
        self.packets.do_send(ServiceMessage::Snapshot { snapshot, content, bytes });
        Ok(())
    }

    /// Logs a refused offer once, and counts it.
    fn note_refusal(&mut self, e: &ReadError, revision: u64) {
        let ReadError::Content { code, detail } = e else { return };
        if self.refused == Some((revision, *code)) {
            return;
        }
        self.refused = Some((revision, *code));
        self.packets.do_send(ServiceMessage::CountCode(*code));
        let code = code.to_string();
        error!("revision refused", kv: { revision, code, detail = detail.as_str() });
    }

    fn note_outage(&mut self, e: &ReadError) {
        let code = Code::CONFIG_STALE.to_string();
        match self.outage.record_failure(Instant::now()) {
            OutageNotice::Started => {
                self.packets.do_send(ServiceMessage::CountCode(Code::CONFIG_STALE));
                warn!("configuration service fails", kv: { code, error = e.to_string() });
            }
            OutageNotice::Ongoing(age) => {
                let age_s = age.as_secs();
                warn!("configuration service still fails", kv: { code, age_s, error = e.to_string() });
            }
            OutageNotice::None | OutageNotice::Recovered(_) => {}
        }
    }

    /// Waits a random time, or until other hosts have something newer.
    async fn pause(&mut self) {
        let pause = Duration::from_millis(rand::rng().random_range(PAUSE_MS));
        let _ = tokio::time::timeout(pause, self.core_state.changed()).await;
    }
}

/// Revision of a manifest, zero where it cannot be read.
fn revision_of(text: &str) -> u64 {
    serde_json::from_str::<Manifest>(text).map_or(0, |it| it.revision)
}

/// All or nothing: every chunk is verified and the whole set is checked.
fn assemble(manifest: &Manifest, chunks: &[(String, Arc<str>)]) -> Result<Snapshot, ReadError> {
    let texts: Vec<&str> = chunks.iter().map(|it| it.1.as_ref()).collect();
    let set = join_chunks(manifest, &texts)
        .map_err(|e| ReadError::Content { code: e.code(), detail: e.to_string() })?;
    compile(manifest.revision, &set).map_err(|e| ReadError::Content {
        code: e.0.first().map_or(Code::CONFIG_VALUE, |it| it.code),
        detail: e.to_string(),
    })
}
