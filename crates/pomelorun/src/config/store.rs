//! The texts of the revision in force, as they are given to other hosts.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use pomelorun_wire::{ConfigQuery, ConfigReply};

/// The revision in force with its texts.
#[derive(Debug, Default)]
pub(crate) struct Store {
    /// Revision and content hash, none before the first.
    pub(crate) in_force: Option<(u64, String)>,
    /// Text of the manifest.
    pub(crate) manifest: Arc<str>,
    /// Texts of the chunks, sorted by hash.
    pub(crate) chunks: Vec<(String, Arc<str>)>,
}

/// The store as the services of one thread share it.
pub(crate) type SharedStore = Rc<RefCell<Store>>;

impl Store {
    /// Finds a chunk by its hash.
    pub(crate) fn chunk(&self, sha256: &str) -> Option<Arc<str>> {
        let at = self.chunks.binary_search_by(|it| it.0.as_str().cmp(sha256)).ok()?;
        Some(Arc::clone(&self.chunks[at].1))
    }

    /// Answers another host.
    pub(crate) fn answer(&self, question: &ConfigQuery) -> ConfigReply {
        let found = match question {
            ConfigQuery::Manifest => self.in_force.as_ref().map(|_| Arc::clone(&self.manifest)),
            ConfigQuery::Chunk { sha256 } => self.chunk(sha256),
        };
        found.map_or(ConfigReply::Missing, |it| ConfigReply::Text(it.as_ref().to_owned()))
    }
}
