//! What a command answers and how it is shown.

use std::{
    fmt,
    io::{self, Write as _},
    process::ExitCode,
    str::FromStr,
};

use pomelorun_config::Faults;
use serde::Serialize;

/// Exit status for faults in what was given.
const EXIT_FAULTS: u8 = 2;
/// Exit status for hosts that do not answer.
const EXIT_UNREACHABLE: u8 = 3;

/// Form of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
    /// One self-contained page.
    Html,
}

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Format, UnknownFormat> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            "html" => Ok(Format::Html),
            _ => Err(UnknownFormat),
        }
    }
}

/// A format that is not known.
#[derive(Debug)]
pub(crate) struct UnknownFormat;

impl fmt::Display for UnknownFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected `text`, `json` or `html`")
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Ok,
    Faults,
    Unreachable,
}

/// Whether a set of objects may be published.
#[derive(Debug, Serialize)]
pub(crate) struct Checked<'a> {
    pub(crate) ok: bool,
    pub(crate) faults: &'a Faults,
}

/// Answer of a command.
#[derive(Debug)]
pub(crate) struct Answer {
    outcome: Outcome,
    out: String,
    err: String,
}

impl Answer {
    /// All is well.
    pub(crate) fn ok(out: String) -> Answer {
        Answer { outcome: Outcome::Ok, out, err: String::new() }
    }

    /// What was given has faults, described in the answer itself.
    pub(crate) fn faults(out: String) -> Answer {
        Answer { outcome: Outcome::Faults, out, err: String::new() }
    }

    /// A set of objects has faults.
    pub(crate) fn faults_as(format: Format, faults: &Faults) -> Answer {
        match format {
            Format::Json => Answer::faults(to_json(&Checked { ok: false, faults })),
            Format::Text | Format::Html => Answer::faults(faults.to_string()),
        }
    }

    /// The call makes no sense.
    pub(crate) fn usage(err: String) -> Answer {
        Answer { outcome: Outcome::Faults, out: String::new(), err }
    }

    /// Hosts do not answer; `out` is what the others said.
    pub(crate) fn unreachable(out: String, err: String) -> Answer {
        Answer { outcome: Outcome::Unreachable, out, err }
    }

    /// Shows the answer and returns the exit status.
    pub(crate) fn give(&self) -> ExitCode {
        if !self.out.is_empty() {
            // A reader that has seen enough, such as `head`, closes the pipe.
            let _ = writeln!(io::stdout(), "{}", self.out.trim_end());
        }
        if !self.err.is_empty() {
            eprintln!("{}", self.err.trim_end());
        }
        match self.outcome {
            Outcome::Ok => ExitCode::SUCCESS,
            Outcome::Faults => ExitCode::from(EXIT_FAULTS),
            Outcome::Unreachable => ExitCode::from(EXIT_UNREACHABLE),
        }
    }
}

/// Writes a value as JSON.
pub(crate) fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("answers have string keys only")
}
