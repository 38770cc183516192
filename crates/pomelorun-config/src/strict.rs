//! Reading JSON with the place of every fault and a suggestion for unknown fields.

use pomelorun_wire::Code;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};
use thiserror::Error;

use crate::unique::parse_unique;

/// Least similarity of a name for it to be suggested.
const SUGGEST_AT_LEAST: f64 = 0.7;
/// Faults that are listed before reading stops.
const MOST_FAULTS: usize = 100;

/// Why a value is not of the expected shape.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{path}: {message}")]
pub struct StrictError {
    /// Path within the value, `.` for the whole.
    pub path: String,
    /// What is wrong, with a suggestion where a name looks misspelt.
    pub message: String,
    /// Numbered code.
    pub code: Code,
}

/// Reads a value of the expected shape from JSON text.
///
/// # Errors
/// As [`from_value_strict`], or the place where the text stops being JSON.
pub fn from_json_strict<T: DeserializeOwned>(text: &str) -> Result<T, Vec<StrictError>> {
    let value = parse_unique(text).map_err(|e| {
        vec![StrictError { path: ".".to_owned(), message: e.to_string(), code: Code::CONFIG_JSON }]
    })?;
    from_value_strict(value)
}

/// Reads a value of the expected shape.
///
/// Each fault is noted and the field taken out, so that the fields after it are still read.
///
/// # Errors
/// Every fault, with its path.
pub fn from_value_strict<T: DeserializeOwned>(mut value: Value) -> Result<T, Vec<StrictError>> {
    let mut faults: Vec<StrictError> = Vec::new();
    while faults.len() < MOST_FAULTS {
        let e = match serde_path_to_error::deserialize(&value) {
            Ok(it) if faults.is_empty() => return Ok(it),
            Ok(_) => break,
            Err(e) => e,
        };
        let fault = describe(e.path(), &e.inner().to_string());
        let follows = is_missing(&fault) && !faults.is_empty();
        if !follows {
            faults.push(fault);
        }
        if follows || !take_out(&mut value, e.path()) {
            break;
        }
    }
    Err(faults)
}

fn is_missing(fault: &StrictError) -> bool {
    fault.message.starts_with("missing field")
}

/// Removes what the path leads to; tells whether there was anything.
fn take_out(value: &mut Value, path: &Path) -> bool {
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

/// Finds the expected name that is most like the unknown one in serde's message.
fn suggest(message: &str) -> Option<String> {
    if !message.starts_with("unknown field") && !message.starts_with("unknown variant") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let wrong = quoted.next()?;
    let score = |name: &str| strsim::jaro_winkler(wrong, name);
    let best = quoted.max_by(|a, b| score(a).total_cmp(&score(b)))?;
    (score(best) >= SUGGEST_AT_LEAST).then(|| best.to_owned())
}
