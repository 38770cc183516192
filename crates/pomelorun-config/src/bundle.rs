//! The published form of an object set: a manifest that lists its chunks by content hash.
//!
//! Values in the configuration service are limited to [`MAX_VALUE_BYTES`], so a large set is split
//! into chunks. Objects are assigned to chunks by a hash of their names, so that a small change
//! affects only one chunk. A revision becomes active only after every chunk in its manifest has
//! been read and matches its hash.

use pomelorun_wire::{Code, stable_hash};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::object::{Object, ObjectSet, UpstreamPool};

/// Maximum size, in bytes, of a value in the configuration service.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Target for the average size of a chunk, in bytes.
///
/// After a change, every host fetches the manifest and one chunk. Their total size is smallest when
/// both are about equally large.
const TARGET_CHUNK_BYTES: usize = 14 << 10;
/// Target for the average number of endpoints in one part of a pool.
const TARGET_ENDPOINTS_PER_PART: usize = 64;

/// A reference to a chunk by the hash of its content.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ChunkRef {
    /// SHA-256 of the chunk, in hexadecimal.
    ///
    /// It is also the key of the chunk in the configuration service.
    pub sha256: String,
    /// Size of the chunk in bytes.
    pub bytes: u64,
}

/// The list of chunks that make up one published revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Manifest {
    /// Revision number, which increases with every publication.
    pub revision: u64,
    /// The chunks, sorted by hash.
    pub chunks: Vec<ChunkRef>,
}

impl Manifest {
    /// Returns a hash of the whole content, which is the same for equal sets.
    pub fn content_hash(&self) -> String {
        let mut hasher = Sha256::new();
        for chunk in &self.chunks {
            hasher.update(chunk.sha256.as_bytes());
        }
        hex(&hasher.finalize())
    }
}

/// A manifest and its chunks, as written by `pomelorunctl bundle`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Bundle {
    /// The manifest.
    pub manifest: Manifest,
    /// The texts of the chunks, in the order of the manifest.
    pub chunks: Vec<String>,
}

/// The error returned when a bundle cannot be created or read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BundleError {
    /// A chunk is missing or does not match its hash.
    #[error("chunk {sha256} is missing or does not match its hash")]
    Corrupt {
        /// SHA-256 of the chunk.
        sha256: String,
    },
    /// A chunk is not a JSON list of objects.
    #[error("chunk {sha256}: {detail}")]
    Malformed {
        /// SHA-256 of the chunk.
        sha256: String,
        /// The error message of the JSON parser.
        detail: String,
    },
    /// A chunk is larger than the configuration service allows.
    #[error("chunk of {bytes} bytes exceeds the limit of {MAX_VALUE_BYTES} bytes")]
    TooLarge {
        /// Size of the chunk in bytes.
        bytes: usize,
    },
}

impl BundleError {
    /// Returns the result code of the error.
    pub fn code(&self) -> Code {
        match self {
            BundleError::Corrupt { .. } => Code::CONFIG_CORRUPT,
            BundleError::Malformed { .. } => Code::CONFIG_JSON,
            BundleError::TooLarge { .. } => Code::CONFIG_TOO_LARGE,
        }
    }
}

impl Bundle {
    /// Creates a bundle by splitting a set into chunks.
    ///
    /// # Errors
    /// Returns an error if a chunk exceeds [`MAX_VALUE_BYTES`].
    pub fn new(revision: u64, set: &ObjectSet) -> Result<Bundle, BundleError> {
        let mut hashed = Vec::new();
        for objects in split(set) {
            // Objects keep their order in the set, so equal sets produce equal chunks.
            let text = serde_json::to_string(&objects).expect("objects have string keys only");
            if text.len() > MAX_VALUE_BYTES {
                return Err(BundleError::TooLarge { bytes: text.len() });
            }
            let bytes = text.len() as u64;
            hashed.push((ChunkRef { sha256: chunk_hash(&text), bytes }, text));
        }
        hashed.sort();
        let (chunks, texts) = hashed.into_iter().unzip();
        Ok(Bundle { manifest: Manifest { revision, chunks }, chunks: texts })
    }
}

/// Returns the SHA-256 of a chunk's text, in hexadecimal.
pub fn chunk_hash(text: &str) -> String {
    hex(&Sha256::digest(text.as_bytes()))
}

/// Restores the published set from its chunks.
///
/// `texts` are in the order of the manifest.
///
/// # Errors
/// Returns an error if a chunk is missing, does not match its hash or is not a list of objects.
pub fn join_chunks(manifest: &Manifest, texts: &[&str]) -> Result<ObjectSet, BundleError> {
    let mut set = ObjectSet::default();
    for (at, chunk) in manifest.chunks.iter().enumerate() {
        let text = texts.get(at).copied().unwrap_or_default();
        if chunk_hash(text) != chunk.sha256 {
            return Err(BundleError::Corrupt { sha256: chunk.sha256.clone() });
        }
        let objects: Vec<Object> = serde_json::from_str(text).map_err(|e| {
            BundleError::Malformed { sha256: chunk.sha256.clone(), detail: e.to_string() }
        })?;
        for object in objects {
            merge_object(&mut set, object);
        }
    }
    for pool in &mut set.pools {
        pool.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    }
    Ok(set)
}

/// Adds an object to the set, joining the parts of a pool that was split.
fn merge_object(set: &mut ObjectSet, object: Object) {
    if let Object::UpstreamPool(part) = &object
        && let Ok(at) = set.pools.binary_search_by(|it| it.name.cmp(&part.name))
    {
        set.pools[at].endpoints.extend_from_slice(&part.endpoints);
        return;
    }
    set.add(object);
}

/// Assigns the objects to chunks by a hash of their names.
fn split(set: &ObjectSet) -> Vec<Vec<Object>> {
    let mut objects: Vec<(u64, Object)> = Vec::new();
    let hash = |kind: &str, name: &str| stable_hash(format!("{kind}/{name}").as_bytes());
    for it in &set.zones {
        objects.push((hash("zone", &it.name), Object::AvailabilityZone(it.clone())));
    }
    for it in &set.services {
        objects.push((hash("service", &it.name), Object::Service(it.clone())));
    }
    for pool in &set.pools {
        for (at, part) in split_pool(pool).into_iter().enumerate() {
            let name = format!("{}/{at}", pool.name);
            objects.push((hash("pool", &name), Object::UpstreamPool(part)));
        }
    }
    let bytes: usize = objects.iter().map(|it| json_len(&it.1)).sum();
    let count = bytes.div_ceil(TARGET_CHUNK_BYTES).max(1).next_power_of_two();
    let mut chunks = vec![Vec::new(); count];
    for (hash, object) in objects {
        chunks[hash as usize % count].push(object);
    }
    chunks.retain(|it| !it.is_empty());
    chunks
}

fn json_len(object: &Object) -> usize {
    serde_json::to_string(object).expect("objects have string keys only").len()
}

/// Splits a pool with many endpoints into parts with the same name and settings.
fn split_pool(pool: &UpstreamPool) -> Vec<UpstreamPool> {
    let parts = pool.endpoints.len().div_ceil(TARGET_ENDPOINTS_PER_PART).max(1).next_power_of_two();
    let mut out = vec![UpstreamPool { endpoints: Vec::new(), ..pool.clone() }; parts];
    for endpoint in &pool.endpoints {
        let part = stable_hash(endpoint.name.as_bytes()) as usize % parts;
        out[part].endpoints.push(endpoint.clone());
    }
    for part in &mut out {
        part.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    }
    out
}

fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut out = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        out.push(char::from(DIGITS[usize::from(byte >> 4)]));
        out.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    out
}
