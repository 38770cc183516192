//! Reading JSON with the place of each fault and a suggestion for unknown fields.

use pomelorun_wire::Code;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Least similarity of a name for it to be suggested.
const SUGGEST_AT_LEAST: f64 = 0.7;

/// Why a text is not a value of the expected shape.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{path}: {message}")]
pub struct StrictError {
    /// Path within the text.
    pub path: String,
    /// What is wrong, with a suggestion where a name looks misspelt.
    pub message: String,
    /// Numbered code.
    pub code: Code,
}

/// Reads a value from JSON text.
///
/// # Errors
/// The first fault, with its path.
pub fn from_json_strict<T: DeserializeOwned>(text: &str) -> Result<T, StrictError> {
    let mut de = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let path = e.path().to_string();
        describe(path, &e.into_inner().to_string())
    })?;
    de.end().map_err(|e| describe(".".to_owned(), &e.to_string()))?;
    Ok(value)
}

fn describe(path: String, message: &str) -> StrictError {
    let Some(suggestion) = suggest(message) else {
        let unknown = message.starts_with("unknown field");
        let code = if unknown { Code::CONFIG_UNKNOWN_FIELD } else { Code::CONFIG_JSON };
        return StrictError { path, message: message.to_owned(), code };
    };
    let message = format!("{message}; did you mean `{suggestion}`?");
    StrictError { path, message, code: Code::CONFIG_UNKNOWN_FIELD }
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
