//! CBOR encoding of control messages.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// The error returned when a control message cannot be encoded or decoded.
#[derive(Debug, Error)]
#[error("cannot encode or decode control message: {detail}")]
pub struct CodecError {
    detail: String,
}

/// Encodes a value as CBOR.
///
/// # Errors
/// Returns an error if CBOR cannot represent the value.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::with_capacity(128);
    ciborium::into_writer(value, &mut buf).map_err(|e| CodecError { detail: e.to_string() })?;
    Ok(buf)
}

/// Decodes a value from CBOR.
///
/// # Errors
/// Returns an error if the bytes are not CBOR or do not encode a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(bytes).map_err(|e| CodecError { detail: e.to_string() })
}
