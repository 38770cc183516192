//! Sources of configuration texts: the configuration service and other hosts.

use std::time::Duration;

use pomelorun_wire::{Code, ConfigQuery};
use thiserror::Error;

use crate::config::peers::PeerStream;

/// Key of the manifest in the configuration service.
const MANIFEST_KEY: &str = "manifest";
/// Timeout of a response, in addition to the time that a watch may wait at the service.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of reading a configuration.
#[derive(Debug, Error)]
pub(super) enum ReadError {
    /// The source could not be read.
    #[error("{0}")]
    Source(String),
    /// The content that was read is refused.
    #[error("{code}: {detail}")]
    Content { code: Code, detail: String },
}

/// Client of the configuration service.
pub(super) struct ConfigClient {
    pub(super) base_url: String,
    pub(super) client: awc::Client,
}

impl ConfigClient {
    /// Reads the manifest if its revision is above `after`, waiting for up to `wait` for one.
    pub(super) async fn manifest(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<String>, ReadError> {
        let wait_ms = wait.as_millis();
        let url =
            format!("{}/v1/values/{MANIFEST_KEY}?after={after}&wait_ms={wait_ms}", self.base_url);
        self.get(&url, wait + RESPONSE_TIMEOUT).await
    }

    /// Reads a value; returns `None` if it is missing or unchanged.
    async fn get(&self, url: &str, wait: Duration) -> Result<Option<String>, ReadError> {
        let http = |e: &dyn std::fmt::Display| ReadError::Source(e.to_string());
        let mut res = self.client.get(url).timeout(wait).send().await.map_err(|e| http(&e))?;
        match res.status().as_u16() {
            200 => {}
            304 | 404 => return Ok(None),
            status => return Err(ReadError::Source(format!("unexpected HTTP status {status}"))),
        }
        let limit = 2 * pomelorun_config::MAX_VALUE_BYTES;
        let body = res.body().limit(limit).await.map_err(|e| http(&e))?;
        String::from_utf8(body.to_vec()).map(Some).map_err(|e| http(&e))
    }
}

/// Source of the chunks of a manifest.
pub(super) enum ChunkSource<'a> {
    Service(&'a ConfigClient),
    Peer(Box<PeerStream>),
}

impl ChunkSource<'_> {
    /// Reads the chunk with this hash.
    pub(super) async fn chunk(&mut self, sha256: &str) -> Result<String, ReadError> {
        let text = match self {
            ChunkSource::Service(it) => {
                let url = format!("{}/v1/values/{sha256}", it.base_url);
                it.get(&url, RESPONSE_TIMEOUT).await?
            }
            ChunkSource::Peer(it) => {
                let query = ConfigQuery::Chunk { sha256: sha256.to_owned() };
                it.query(&query).await.map_err(ReadError::Source)?
            }
        };
        text.ok_or_else(|| ReadError::Content {
            code: Code::CONFIG_CORRUPT,
            detail: format!("chunk {sha256} is missing"),
        })
    }
}
