//! Faults in a configuration, with their result codes.

use std::fmt;

use pomelorun_wire::Code;
use serde::Serialize;

/// A fault in a configuration: its location, a message and the corrective action.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Fault {
    /// The file that contains the fault.
    ///
    /// It is empty if the file is unknown, as in faults that [`check`](crate::check) finds.
    pub file: String,
    /// Path of the faulty field, such as `[0].slots` or `UpstreamPool/mesa.slots`.
    pub path: String,
    /// The result code.
    #[serde(serialize_with = "code_as_text")]
    pub code: Code,
    /// A description of the fault.
    pub message: String,
    /// The corrective action.
    pub action: String,
}

impl Fault {
    /// Creates a fault, with the action from the table of result codes.
    pub fn new(code: Code, file: &str, path: &str, message: String) -> Fault {
        let action = code.row().map_or("", |row| row.action).to_owned();
        Fault { file: file.to_owned(), path: path.to_owned(), code, message, action }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { file, path, code, message, action } = self;
        let location = match (file.is_empty(), path.is_empty()) {
            (true, _) => path.clone(),
            (false, true) => file.clone(),
            (false, false) => format!("{file}: {path}"),
        };
        write!(f, "{code} {location}: {message}; {action}")
    }
}

fn code_as_text<S: serde::Serializer>(code: &Code, out: S) -> Result<S::Ok, S::Error> {
    out.collect_str(code)
}

/// The faults of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault.
    pub fn push(&mut self, fault: Fault) {
        self.0.push(fault);
    }

    /// Returns `value` if there are no faults.
    ///
    /// # Errors
    /// Returns the faults if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Faults> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
