//! What is published: one manifest that names its chunks by content hash.
//!
//! The configuration service holds values of up to a megabyte, so a large set is
//! split by a hash of names, which keeps a small change within one chunk. Nothing is
//! in force before every chunk named by the manifest was read and matches its hash.

use pomelorun_wire::{Code, stable_hash};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::object::{Object, ObjectSet, UpstreamPool};

/// Largest value that the configuration service holds, bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Length of a chunk, on average, bytes.
///
/// A change makes every host fetch the manifest and one chunk; their sum is least where they are
/// about equally long.
const CHUNK_BYTES: usize = 14 << 10;
/// Endpoints of a pool that are kept together, on average.
const ENDPOINTS_PER_PART: usize = 64;

/// Names one chunk by its content.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ChunkRef {
    /// SHA-256 of the chunk, hexadecimal; also its key in the configuration service.
    pub sha256: String,
    /// Length, bytes.
    pub bytes: u64,
}

/// One publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Manifest {
    /// Rises with each publication.
    pub revision: u64,
    /// The chunks, sorted by hash.
    pub chunks: Vec<ChunkRef>,
}

impl Manifest {
    /// Hash of the whole content; equal for equal sets.
    pub fn content_hash(&self) -> String {
        let mut hasher = Sha256::new();
        for chunk in &self.chunks {
            hasher.update(chunk.sha256.as_bytes());
        }
        hex(&hasher.finalize())
    }
}

/// A manifest together with its chunks, as `pomelorunctl bundle` writes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Bundle {
    /// The manifest.
    pub manifest: Manifest,
    /// Text of each chunk, in the order of the manifest.
    pub chunks: Vec<String>,
}

/// Why a bundle cannot be made or read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BundleError {
    /// A chunk is missing or does not match its hash.
    #[error("chunk {sha256} is missing or does not match its hash")]
    Corrupt {
        /// The chunk.
        sha256: String,
    },
    /// A chunk is not a list of objects.
    #[error("chunk {sha256}: {detail}")]
    Malformed {
        /// The chunk.
        sha256: String,
        /// What is wrong with it.
        detail: String,
    },
    /// A chunk is larger than a value may be.
    #[error("a chunk of {bytes} bytes is larger than {MAX_VALUE_BYTES}")]
    TooLarge {
        /// Its length, bytes.
        bytes: usize,
    },
}

impl BundleError {
    /// Numbered code.
    pub fn code(&self) -> Code {
        match self {
            BundleError::Corrupt { .. } => Code::CONFIG_CORRUPT,
            BundleError::Malformed { .. } => Code::CONFIG_JSON,
            BundleError::TooLarge { .. } => Code::CONFIG_TOO_LARGE,
        }
    }
}

impl Bundle {
    /// Splits a set into chunks and names them.
    ///
    /// # Errors
    /// A single object that does not fit one value.
    pub fn new(revision: u64, set: &ObjectSet) -> Result<Bundle, BundleError> {
        let mut named = Vec::new();
        for objects in split(set) {
            // Chunks keep the order of the set, so equal sets have equal chunks.
            let text = serde_json::to_string(&objects).expect("objects have string keys only");
            if text.len() > MAX_VALUE_BYTES {
                return Err(BundleError::TooLarge { bytes: text.len() });
            }
            let bytes = text.len() as u64;
            named.push((ChunkRef { sha256: chunk_hash(&text), bytes }, text));
        }
        named.sort();
        let (chunks, texts) = named.into_iter().unzip();
        Ok(Bundle { manifest: Manifest { revision, chunks }, chunks: texts })
    }
}

/// SHA-256 of a chunk's text, hexadecimal.
pub fn chunk_hash(text: &str) -> String {
    hex(&Sha256::digest(text.as_bytes()))
}

/// Joins chunks to the set that was published.
///
/// `texts` are in the order of the manifest.
///
/// # Errors
/// A chunk that is missing, does not match its hash, or is not a list of objects.
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
            join(&mut set, object);
        }
    }
    for pool in &mut set.pools {
        pool.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    }
    Ok(set)
}

/// Adds an object; the parts of one pool become one pool again.
fn join(set: &mut ObjectSet, object: Object) {
    if let Object::UpstreamPool(part) = &object
        && let Ok(at) = set.pools.binary_search_by(|it| it.name.cmp(&part.name))
    {
        set.pools[at].endpoints.extend_from_slice(&part.endpoints);
        return;
    }
    set.add(object);
}

/// Deals the objects out to chunks by a hash of their names.
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
    let count = bytes.div_ceil(CHUNK_BYTES).max(1).next_power_of_two();
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

/// Splits a pool that is larger than a chunk into parts of the same name.
fn split_pool(pool: &UpstreamPool) -> Vec<UpstreamPool> {
    let parts = pool.endpoints.len().div_ceil(ENDPOINTS_PER_PART).max(1).next_power_of_two();
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
