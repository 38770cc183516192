//! Faults of a configuration, with numbered codes.

use std::fmt;

use pomelorun_wire::Code;
use serde::Serialize;

/// One fault: where it is, what it is, and what to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Fault {
    /// File that the fault is in, empty where it lies between files.
    pub file: String,
    /// Path within the file, such as `pools[0].slots`.
    pub path: String,
    /// Numbered code.
    #[serde(serialize_with = "code_as_text")]
    pub code: Code,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub action: String,
}

impl Fault {
    /// Describes a fault; the action is the one in the table of codes.
    pub fn new(code: Code, file: &str, path: &str, message: String) -> Fault {
        let action = code.row().map_or("", |row| row.action).to_owned();
        Fault { file: file.to_owned(), path: path.to_owned(), code, message, action }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { file, path, code, message, action } = self;
        let place = match (file.is_empty(), path.is_empty()) {
            (true, _) => path.clone(),
            (false, true) => file.clone(),
            (false, false) => format!("{file}: {path}"),
        };
        write!(f, "{code} {place}: {message}; {action}")
    }
}

fn code_as_text<S: serde::Serializer>(code: &Code, out: S) -> Result<S::Ok, S::Error> {
    out.collect_str(code)
}

/// All faults of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault.
    pub fn push(&mut self, fault: Fault) {
        self.0.push(fault);
    }

    /// Turns an empty list into the value and any other into the error.
    ///
    /// # Errors
    /// The faults, where there are any.
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
