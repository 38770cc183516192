//! The service `config`: reads and watches the configuration service.

use std::{sync::Arc, time::Duration};

use actix::Recipient;
use pomelorun_config::{Manifest, compile, join_chunks};
use pomelorun_core::Snapshot;
use pomelorun_wire::Code;
use rand::RngExt;
use spdlog::prelude::*;
use thiserror::Error;
use tokio::{task::JoinHandle, time::Instant};

use crate::{
    control::Control,
    kernel::{Registry, Service, StartError, Stopped},
    packets::PACKETS,
    settings::Settings,
};

const CONFIG: &str = "config";
/// Key of the manifest in the configuration service.
const MANIFEST_KEY: &str = "manifest";
/// Longest time that one watch waits at the service, milliseconds.
const WATCH_MS: u64 = 10_000;
/// Time allowed to an answer beyond the watch.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Shortest and longest pause after a failure, milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..2_000;

/// The service.
pub(crate) struct ConfigReader {
    base: String,
    task: Option<JoinHandle<()>>,
}

impl ConfigReader {
    pub(crate) fn new(settings: &Settings) -> ConfigReader {
        ConfigReader { base: settings.config_service.clone(), task: None }
    }
}

impl Service for ConfigReader {
    fn name(&self) -> &'static str {
        CONFIG
    }

    fn start(&mut self, registry: &Registry) -> Result<Option<Recipient<Control>>, StartError> {
        let packets = registry.need(PACKETS, CONFIG)?;
        let watch = Watch {
            base: self.base.clone(),
            client: awc::Client::default(),
            packets,
            chunks: Vec::new(),
            seen: None,
            answered: Instant::now(),
        };
        self.task = Some(actix_rt::spawn(watch.run()));
        Ok(None)
    }

    fn stop(&mut self) -> Stopped {
        let task = self.task.take();
        Box::pin(async move {
            if let Some(task) = task {
                task.abort();
                let _ = task.await;
            }
        })
    }
}

/// Why a reading of the configuration service brought nothing.
#[derive(Debug, Error)]
enum ReadError {
    #[error("{0}")]
    Http(String),
    #[error("{code}: {detail}")]
    Content { code: Code, detail: String },
}

/// What to do after a reading.
enum Next {
    /// Nothing newer is there.
    Unchanged,
    /// A newer manifest is there.
    Fetch(Manifest),
    /// It must not come into force.
    Refuse(Code, String),
}

struct Watch {
    base: String,
    client: awc::Client,
    packets: Recipient<Control>,
    /// Texts of the chunks in force, sorted by hash.
    chunks: Vec<(String, String)>,
    /// Revision and content hash in force.
    seen: Option<(u64, String)>,
    answered: Instant,
}

impl Watch {
    async fn run(mut self) {
        loop {
            match self.step().await {
                Ok(()) => self.answered = Instant::now(),
                Err(e) => {
                    warn!("configuration service", kv: { error = e.to_string() });
                    let pause = rand::rng().random_range(PAUSE_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }
            let age = u64::try_from(self.answered.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.packets.do_send(Control::ConfigAge(age));
        }
    }

    async fn step(&mut self) -> Result<(), ReadError> {
        let after = self.seen.as_ref().map_or(0, |it| it.0);
        let url =
            format!("{}/v1/values/{MANIFEST_KEY}?after={after}&wait_ms={WATCH_MS}", self.base);
        let Some(text) = self.get(&url).await? else { return Ok(()) };
        let manifest: Manifest = serde_json::from_str(&text)
            .map_err(|e| ReadError::Content { code: Code::CONFIG_JSON, detail: e.to_string() })?;
        match self.judge(manifest) {
            Next::Unchanged => Ok(()),
            Next::Refuse(code, detail) => Err(ReadError::Content { code, detail }),
            Next::Fetch(manifest) => self.fetch(&manifest, text.len()).await,
        }
    }

    /// Revisions only rise, and one revision has one content.
    fn judge(&self, manifest: Manifest) -> Next {
        let Some((revision, content)) = &self.seen else { return Next::Fetch(manifest) };
        match manifest.revision.cmp(revision) {
            std::cmp::Ordering::Greater => Next::Fetch(manifest),
            std::cmp::Ordering::Less => Next::Refuse(
                Code::CONFIG_REGRESSION,
                format!("revision {} is older than {revision} in force", manifest.revision),
            ),
            std::cmp::Ordering::Equal if manifest.content_hash() == *content => Next::Unchanged,
            std::cmp::Ordering::Equal => Next::Refuse(
                Code::CONFIG_CONFLICT,
                format!("revision {revision} has another content than the one in force"),
            ),
        }
    }

    async fn fetch(&mut self, manifest: &Manifest, manifest_bytes: usize) -> Result<(), ReadError> {
        let mut bytes = manifest_bytes as u64;
        let mut fetched = Vec::with_capacity(manifest.chunks.len());
        for chunk in &manifest.chunks {
            let text = match self.chunks.binary_search_by(|it| it.0.cmp(&chunk.sha256)) {
                Ok(at) => self.chunks[at].1.clone(),
                Err(_) => {
                    let url = format!("{}/v1/values/{}", self.base, chunk.sha256);
                    let missing = || ReadError::Http(format!("chunk {} is missing", chunk.sha256));
                    let text = self.get(&url).await?.ok_or_else(missing)?;
                    bytes += text.len() as u64;
                    text
                }
            };
            fetched.push((chunk.sha256.clone(), text));
        }
        let snapshot = assemble(manifest, &fetched)?;
        let content = manifest.content_hash();
        self.seen = Some((manifest.revision, content.clone()));
        fetched.sort_unstable();
        self.chunks = fetched;
        let snapshot = Arc::new(snapshot);
        self.packets.do_send(Control::Snapshot { snapshot, content, bytes });
        Ok(())
    }

    /// Reads a value; none where it is missing or unchanged.
    async fn get(&self, url: &str) -> Result<Option<String>, ReadError> {
        let http = |e: &dyn std::fmt::Display| ReadError::Http(e.to_string());
        let wait = Duration::from_millis(WATCH_MS) + ANSWER_TIME;
        let mut res = self.client.get(url).timeout(wait).send().await.map_err(|e| http(&e))?;
        match res.status().as_u16() {
            200 => {}
            304 | 404 => return Ok(None),
            status => return Err(ReadError::Http(format!("status {status}"))),
        }
        let limit = 2 * pomelorun_config::MAX_VALUE_BYTES;
        let body = res.body().limit(limit).await.map_err(|e| http(&e))?;
        String::from_utf8(body.to_vec()).map(Some).map_err(|e| http(&e))
    }
}

/// All or nothing: every chunk is verified and the whole set is checked.
fn assemble(manifest: &Manifest, fetched: &[(String, String)]) -> Result<Snapshot, ReadError> {
    let texts: Vec<&str> = fetched.iter().map(|it| it.1.as_str()).collect();
    let set = join_chunks(manifest, &texts)
        .map_err(|e| ReadError::Content { code: e.code(), detail: e.to_string() })?;
    compile(manifest.revision, &set).map_err(|e| ReadError::Content {
        code: e.0.first().map_or(Code::CONFIG_VALUE, |it| it.code),
        detail: e.to_string(),
    })
}
