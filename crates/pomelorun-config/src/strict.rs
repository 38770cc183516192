//! JSON deserialization that reports the path of every fault.
//!
//! The message for an unknown field or enum value suggests the most similar known name.

use pomelorun_wire::Code;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};
use thiserror::Error;

use crate::unique::parse_without_duplicates;

/// Minimum Jaro-Winkler similarity at which a name is suggested.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.7;
/// Number of faults after which deserialization stops.
const MAX_FAULTS: usize = 100;

/// A fault in a JSON value that does not have the expected structure.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{path}: {message}")]
pub struct StrictError {
    /// Path within the value, or `.` for the whole value.
    pub path: String,
    /// A description of the fault, with a suggestion if a name appears to be misspelled.
    pub message: String,
    /// The result code.
    pub code: Code,
}

/// Deserializes a value from JSON text.
///
/// # Errors
/// Returns the faults of [`from_value_strict`], or the position at which the text is not valid
/// JSON.
pub fn from_json_strict<T: DeserializeOwned>(text: &str) -> Result<T, Vec<StrictError>> {
    let value = parse_without_duplicates(text).map_err(|e| {
        vec![StrictError { path: ".".to_owned(), message: e.to_string(), code: Code::CONFIG_JSON }]
    })?;
    from_value_strict(value)
}

/// Deserializes a JSON value.
///
/// A faulty field is recorded and removed, and deserialization is repeated, so that the fields
/// after it are checked as well.
///
/// # Errors
/// Returns every fault with its path.
pub fn from_value_strict<T: DeserializeOwned>(mut value: Value) -> Result<T, Vec<StrictError>> {
    let mut faults: Vec<StrictError> = Vec::new();
    while faults.len() < MAX_FAULTS {
        let e = match serde_path_to_error::deserialize(&value) {
            Ok(it) if faults.is_empty() => return Ok(it),
            Ok(_) => break,
            Err(e) => e,
        };
        let fault = describe(e.path(), &e.inner().to_string());
        // A missing field may be one that was removed as faulty.
        let is_consequence = is_missing_field(&fault) && !faults.is_empty();
        if !is_consequence {
            faults.push(fault);
        }
        if is_consequence || !remove_at(&mut value, e.path()) {
            break;
        }
    }
    Err(faults)
}

fn is_missing_field(fault: &StrictError) -> bool {
    fault.message.starts_with("missing field")
}

/// Removes the value at a path, and returns whether there was one.
fn remove_at(value: &mut Value, path: &Path) -> bool {
    let segments: Vec<&Segment> = path.iter().collect();
    let Some((last, parents)) = segments.split_last() else { return false };
    let mut at = value;
    for segment in parents {
        let next = match segment {
            Segment::Map { key } => at.get_mut(key),
            Segment::Seq { index } => at.get_mut(index),
            Segment::Enum { .. } | Segment::Unknown => None,
        };
        let Some(next) = next else { return false };
        at = next;
    }
    match (last, at) {
        (Segment::Map { key }, Value::Object(map)) => map.remove(key).is_some(),
        (Segment::Seq { index }, Value::Array(items)) if *index < items.len() => {
            items.remove(*index);
            true
        }
        _ => false,
    }
}

fn describe(path: &Path, message: &str) -> StrictError {
    let path = path.to_string();
    let unknown = message.starts_with("unknown field");
    let code = if unknown { Code::CONFIG_UNKNOWN_FIELD } else { Code::CONFIG_JSON };
    let message = match suggest(message) {
        Some(name) => format!("{message}; did you mean `{name}`?"),
        None => message.to_owned(),
    };
    StrictError { path, message, code }
}

/// Returns the expected name in serde's error message that is most similar to the unknown name.
fn suggest(message: &str) -> Option<String> {
    if !message.starts_with("unknown field") && !message.starts_with("unknown variant") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    let similarity = |name: &str| strsim::jaro_winkler(unknown, name);
    let best = quoted.max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(best) >= MIN_SUGGESTION_SIMILARITY).then(|| best.to_owned())
}
