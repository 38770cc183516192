//! The active configuration revision in text form, as it is served to other hosts.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use pomelorun_wire::{ConfigQuery, ConfigReply};

/// The active revision, with the texts of its manifest and chunks.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    /// Number and content hash of the revision, `None` before the first one.
    pub(crate) revision: Option<(u64, String)>,
    /// Text of the manifest.
    pub(crate) manifest: Arc<str>,
    /// Texts of the chunks with their hashes, sorted by hash.
    pub(crate) chunks: Vec<(String, Arc<str>)>,
}

/// The active configuration, shared between the services of one thread.
pub(crate) type SharedActiveConfig = Rc<RefCell<ActiveConfig>>;

impl ActiveConfig {
    /// Returns the text of the chunk with this hash.
    pub(crate) fn chunk(&self, sha256: &str) -> Option<Arc<str>> {
        let at = self.chunks.binary_search_by(|it| it.0.as_str().cmp(sha256)).ok()?;
        Some(Arc::clone(&self.chunks[at].1))
    }

    /// Returns the reply to a query of another host.
    pub(crate) fn reply(&self, query: &ConfigQuery) -> ConfigReply {
        let found = match query {
            ConfigQuery::Manifest => self.revision.as_ref().map(|_| Arc::clone(&self.manifest)),
            ConfigQuery::Chunk { sha256 } => self.chunk(sha256),
        };
        found.map_or(ConfigReply::Missing, |it| ConfigReply::Text(it.as_ref().to_owned()))
    }
}
