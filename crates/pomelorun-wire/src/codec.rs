//! Encoding of control messages as CBOR.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Why a control message cannot be read or written.
#[derive(Debug, Error)]
#[error("control message: {detail}")]
pub struct CodecError {
    detail: String,
}

/// Writes a value as CBOR.
///
/// # Errors
/// A value that CBOR cannot carry.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::with_capacity(128);
    ciborium::into_writer(value, &mut buf).map_err(|e| CodecError { detail: e.to_string() })?;
    Ok(buf)
}

/// Reads a value from CBOR.
///
/// # Errors
/// Bytes that are not CBOR or not of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(bytes).map_err(|e| CodecError { detail: e.to_string() })
}
