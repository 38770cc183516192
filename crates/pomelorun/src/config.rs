//! The `config` service: reads the newest configuration revision and activates it.
//!
//! A few hosts of each zone, the readers, watch the configuration service. All other hosts learn of
//! a newer revision from control messages between hosts and read it from a host on which it is
//! active; they query the configuration service only at long intervals.

pub(crate) mod active;
pub(crate) mod outage_log;
pub(crate) mod peers;
mod source;

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
        active::{ActiveConfig, SharedActiveConfig},
        outage_log::{OutageLog, OutageNotice},
        peers::PeerStream,
        source::{ChunkSource, ConfigClient, ReadError},
    },
    core_state::{CoreState, CoreStateRx},
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    packets::PACKETS,
    service_message::ServiceMessage,
    settings::Settings,
};

const CONFIG: &str = "config";
/// Maximum time that a watch request waits at the configuration service.
const MAX_WATCH: Duration = Duration::from_secs(10);
/// Range of the random pause after a failure, in milliseconds.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 200..2_000;
/// Maximum time that a starting host waits until its view is synchronized with peers.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the start during which an older revision from the configuration service is refused
/// while other hosts announce a newer one, even if that one could not be read yet.
const PREFER_NEWER_FOR: Duration = Duration::from_secs(5);

/// The service that runs the task which reads configurations.
pub(crate) struct ConfigReader {
    base_url: String,
    active: SharedActiveConfig,
    core_state: CoreStateRx,
    task: Option<JoinHandle<()>>,
}

impl ConfigReader {
    pub(crate) fn new(
        settings: &Settings,
        active: SharedActiveConfig,
        core_state: CoreStateRx,
    ) -> ConfigReader {
        ConfigReader { base_url: settings.config_service.clone(), active, core_state, task: None }
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
        let service =
            ConfigClient { base_url: self.base_url.clone(), client: awc::Client::default() };
        let reader = ReaderTask {
            service,
            packets,
            active: Rc::clone(&self.active),
            core_state: self.core_state.clone(),
            outage: OutageLog::default(),
            last_refusal: None,
            started: Instant::now(),
            last_response: Instant::now(),
            last_standby_read: None,
            verify_active: false,
        };
        self.task = Some(actix_rt::spawn(reader.run()));
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(self.task.take())
    }
}

/// Next step of the reading task.
enum ReadStep {
    /// Read from a host that has a newer revision.
    Peer,
    /// Request a revision above `after` from the configuration service, waiting for up to `wait`.
    Service { after: u64, wait: Duration },
    /// Wait until the core's state changes, at most this long.
    Wait(Duration),
}

struct ReaderTask {
    service: ConfigClient,
    packets: Recipient<ServiceMessage>,
    active: SharedActiveConfig,
    core_state: CoreStateRx,
    outage: OutageLog,
    /// Revision and code of the last refusal, so that each refusal is logged once.
    last_refusal: Option<(u64, Code)>,
    started: Instant,
    /// Time of the configuration service's last response.
    last_response: Instant,
    /// Time of the last request to the configuration service as a standby reader.
    last_standby_read: Option<Instant>,
    /// The current request asks for the manifest even if its revision is the active one, to detect
    /// changed content.
    verify_active: bool,
}

impl ReaderTask {
    async fn run(mut self) {
        self.wait_synced().await;
        loop {
            let core = self.core_state.borrow_and_update().clone();
            match self.next_step(&core) {
                ReadStep::Peer => self.read_from_peer(&core).await,
                ReadStep::Service { after, wait } => {
                    self.read_from_service(&core, after, wait).await;
                }
                // An error means that the sender was dropped because the daemon is stopping.
                ReadStep::Wait(time) => {
                    let _ = tokio::time::timeout(time, self.core_state.changed()).await;
                }
            }
            let age = u64::try_from(self.last_response.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.packets.do_send(ServiceMessage::ConfigAge(age));
        }
    }

    /// Waits until the view is synchronized with peers, so that their revisions are known.
    async fn wait_synced(&mut self) {
        let synced = self.core_state.wait_for(|it| it.synced);
        let _ = tokio::time::timeout(SYNC_TIMEOUT, synced).await;
    }

    fn revision(&self) -> u64 {
        self.active.borrow().revision.as_ref().map_or(0, |it| it.0)
    }

    fn next_step(&mut self, core: &CoreState) -> ReadStep {
        let revision = self.revision();
        if core.newer_revision > revision && !core.sources.is_empty() {
            return ReadStep::Peer;
        }
        let ConfigReadRole::Standby { poll_interval } = core.read_role else {
            // Every other request checks that the content of the active revision is unchanged.
            self.verify_active = !self.verify_active && revision > 0;
            let after = if self.verify_active { revision - 1 } else { revision };
            let wait = if self.verify_active { Duration::ZERO } else { MAX_WATCH };
            return ReadStep::Service { after, wait };
        };
        let poll_interval = Duration::from_millis(poll_interval.0);
        let since = self.last_standby_read.map_or(Duration::MAX, |it| it.elapsed());
        if since < poll_interval {
            return ReadStep::Wait(poll_interval - since);
        }
        self.last_standby_read = Some(Instant::now());
        ReadStep::Service { after: revision, wait: Duration::ZERO }
    }

    async fn read_from_peer(&mut self, core: &CoreState) {
        let at = rand::rng().random_range(0..core.sources.len());
        let (host, address) = core.sources[at];
        if let Err(e) = self.try_peer(address).await {
            debug!("failed to read a newer revision from a host", kv: {
                host = host.to_string(), error = e.to_string()
            });
            self.packets.do_send(ServiceMessage::ForgetAdvertisedRevision(host));
            self.report_refusal(&e, core.newer_revision);
            self.pause().await;
        }
    }

    async fn try_peer(&mut self, address: std::net::SocketAddrV4) -> Result<(), ReadError> {
        let mut stream = PeerStream::connect(address).await.map_err(ReadError::Source)?;
        let text = stream.query(&ConfigQuery::Manifest).await.map_err(ReadError::Source)?;
        let text =
            text.ok_or_else(|| ReadError::Source("the host has no active revision".to_owned()))?;
        self.apply(&text, ChunkSource::Peer(Box::new(stream))).await
    }

    async fn read_from_service(&mut self, core: &CoreState, after: u64, wait: Duration) {
        let requested = Instant::now();
        let read = {
            let read = self.service.manifest(after, wait);
            tokio::select! {
                read = read => read,
                // Cancels the watch: other hosts have a newer revision.
                Ok(_) = self
                    .core_state
                    .wait_for(|it| it.newer_revision > after && !it.sources.is_empty()) =>
                {
                    return;
                }
            }
        };
        match read {
            Ok(text) => {
                self.last_response = Instant::now();
                if let OutageNotice::Recovered(after) =
                    self.outage.record_success(self.last_response)
                {
                    info!("configuration service has recovered", kv: {
                        outage_s = after.as_secs()
                    });
                }
                let revision = self.revision();
                if let Some(text) = &text
                    && let Err(e) = self.apply_from_service(core, text).await
                {
                    self.report_refusal(&e, revision_of(text));
                }
                // Avoids a busy loop if the service responds early without a new revision.
                if self.revision() == revision && requested.elapsed() * 2 < wait {
                    self.pause().await;
                }
            }
            Err(e) => {
                self.report_outage(&e);
                self.pause().await;
            }
        }
    }

    async fn apply_from_service(&mut self, core: &CoreState, text: &str) -> Result<(), ReadError> {
        let prefers_newer = self.started.elapsed() < PREFER_NEWER_FOR;
        if self.revision() == 0 && prefers_newer && revision_of(text) < core.newer_revision {
            return Err(ReadError::Content {
                code: Code::CONFIG_REGRESSION,
                detail: format!("other hosts have revision {}", core.newer_revision),
            });
        }
        let service = ConfigClient {
            base_url: self.service.base_url.clone(),
            client: self.service.client.clone(),
        };
        self.apply(text, ChunkSource::Service(&service)).await
    }

    /// Activates the revision that the manifest `text` describes, completely or not at all.
    async fn apply(&mut self, text: &str, mut source: ChunkSource<'_>) -> Result<(), ReadError> {
        let manifest: Manifest = serde_json::from_str(text)
            .map_err(|e| ReadError::Content { code: Code::CONFIG_JSON, detail: e.to_string() })?;
        let content = manifest.content_hash();
        let revision = manifest.revision;
        let active_revision = self.active.borrow().revision.clone();
        let active_revision = active_revision.as_ref().map(|it| (it.0, it.1.as_str()));
        let refuse = |code, detail| Err(ReadError::Content { code, detail });
        match check_revision(active_revision, (revision, &content)) {
            RevisionCheck::Unchanged => return Ok(()),
            RevisionCheck::Older => {
                let detail = format!("revision {revision} is older than the active one");
                return refuse(Code::CONFIG_REGRESSION, detail);
            }
            RevisionCheck::Conflict => {
                let detail =
                    format!("the content of revision {revision} differs from the active one");
                return refuse(Code::CONFIG_CONFLICT, detail);
            }
            RevisionCheck::Newer => {}
        }
        let mut bytes = text.len() as u64;
        let mut chunks: Vec<(String, Arc<str>)> = Vec::with_capacity(manifest.chunks.len());
        for chunk in &manifest.chunks {
            let known = self.active.borrow().chunk(&chunk.sha256);
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
        let active_revision = Some((revision, content.clone()));
        *self.active.borrow_mut() =
            ActiveConfig { revision: active_revision, manifest: text.into(), chunks };
        self.last_refusal = None;
        self.packets.do_send(ServiceMessage::Snapshot { snapshot, content, bytes });
        Ok(())
    }

    /// Counts and logs a refused revision, once for each revision and code.
    fn report_refusal(&mut self, e: &ReadError, revision: u64) {
        let ReadError::Content { code, detail } = e else { return };
        if self.last_refusal == Some((revision, *code)) {
            return;
        }
        self.last_refusal = Some((revision, *code));
        self.packets.do_send(ServiceMessage::CountCode(*code));
        let code = code.to_string();
        error!("configuration revision was refused", kv: {
            revision, code, detail = detail.as_str()
        });
    }

    fn report_outage(&mut self, e: &ReadError) {
        let code = Code::CONFIG_STALE.to_string();
        match self.outage.record_failure(Instant::now()) {
            OutageNotice::Started => {
                self.packets.do_send(ServiceMessage::CountCode(Code::CONFIG_STALE));
                warn!("failed to read from the configuration service", kv: {
                    code, error = e.to_string()
                });
            }
            OutageNotice::Ongoing(age) => {
                let age_s = age.as_secs();
                warn!("still failing to read from the configuration service", kv: {
                    code, age_s, error = e.to_string()
                });
            }
            OutageNotice::None | OutageNotice::Recovered(_) => {}
        }
    }

    /// Waits a random time, at most until the core's state changes.
    async fn pause(&mut self) {
        let pause = Duration::from_millis(rand::rng().random_range(RETRY_PAUSE_MS));
        let _ = tokio::time::timeout(pause, self.core_state.changed()).await;
    }
}

/// Returns the revision of a manifest, 0 if the manifest is invalid.
fn revision_of(text: &str) -> u64 {
    serde_json::from_str::<Manifest>(text).map_or(0, |it| it.revision)
}

/// Verifies every chunk, checks the whole configuration and compiles it.
fn assemble(manifest: &Manifest, chunks: &[(String, Arc<str>)]) -> Result<Snapshot, ReadError> {
    let texts: Vec<&str> = chunks.iter().map(|it| it.1.as_ref()).collect();
    let set = join_chunks(manifest, &texts)
        .map_err(|e| ReadError::Content { code: e.code(), detail: e.to_string() })?;
    compile(manifest.revision, &set).map_err(|e| ReadError::Content {
        code: e.0.first().map_or(Code::CONFIG_VALUE, |it| it.code),
        detail: e.to_string(),
    })
}
