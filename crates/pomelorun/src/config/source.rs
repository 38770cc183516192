//! Where texts are read: the configuration service or another host.

use std::time::Duration;

use pomelorun_wire::{Code, ConfigQuery};
use thiserror::Error;

use crate::config::peers::PeerStream;

/// Key of the manifest in the configuration service.
const MANIFEST_KEY: &str = "manifest";
/// Time allowed to an answer beyond the watch.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Why a reading brought nothing.
#[derive(Debug, Error)]
pub(super) enum ReadError {
    #[error("{0}")]
    Source(String),
    #[error("{code}: {detail}")]
    Content { code: Code, detail: String },
}

/// The configuration service.
pub(super) struct ConfigService {
    pub(super) base: String,
    pub(super) client: awc::Client,
}

impl ConfigService {
    /// Reads the manifest if its revision is above `after`, waiting for one if asked to.
    pub(super) async fn manifest(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<String>, ReadError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/v1/values/{MANIFEST_KEY}?after={after}&wait_ms={wait_ms}", self.base);
        self.get(&url, wait + ANSWER_TIME).await
    }

    /// Reads a value; none where it is missing or unchanged.
    async fn get(&self, url: &str, wait: Duration) -> Result<Option<String>, ReadError> {
        let http = |e: &dyn std::fmt::Display| ReadError::Source(e.to_string());
        let mut res = self.client.get(url).timeout(wait).send().await.map_err(|e| http(&e))?;
        match res.status().as_u16() {
            200 => {}
            304 | 404 => return Ok(None),
            status => return Err(ReadError::Source(format!("status {status}"))),
        }
        let limit = 2 * pomelorun_config::MAX_VALUE_BYTES;
        let body = res.body().limit(limit).await.map_err(|e| http(&e))?;
        String::from_utf8(body.to_vec()).map(Some).map_err(|e| http(&e))
    }
}

/// Where the chunks of a manifest are read.
pub(super) enum Source<'a> {
    Service(&'a ConfigService),
    Peer(Box<PeerStream>),
}

impl Source<'_> {
    /// Reads one chunk.
    pub(super) async fn chunk(&mut self, sha256: &str) -> Result<String, ReadError> {
        let text = match self {
            Source::Service(it) => {
                let url = format!("{}/v1/values/{sha256}", it.base);
                it.get(&url, ANSWER_TIME).await?
            }
            Source::Peer(it) => {
                let question = ConfigQuery::Chunk { sha256: sha256.to_owned() };
                it.ask(&question).await.map_err(ReadError::Source)?
            }
        };
        text.ok_or_else(|| ReadError::Content {
            code: Code::CONFIG_CORRUPT,
            detail: format!("chunk {sha256} is missing"),
        })
    }
}
