//! Reading the log files of hosts.

use std::{
    fmt,
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use serde::Serialize;
use serde_json::Value;

/// One line of a log.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Line {
    pub(crate) timestamp: u64,
    pub(crate) host: String,
    pub(crate) code: String,
    pub(crate) text: String,
    pub(crate) fields: Value,
}

impl Line {
    pub(crate) fn field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    pub(crate) fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// A line that is no log line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct UnreadLine {
    file: String,
    /// Number of the line, from one.
    number: usize,
}

impl fmt::Display for UnreadLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.number)
    }
}

/// Lines of the files that are no log lines: how many, and the first one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Unread {
    pub(crate) count: usize,
    pub(crate) first: Option<UnreadLine>,
}

/// Passes the lines of a log file to `handle`, one at a time.
///
/// A line may have words before its JSON, the last of which is the host; without any, the host is
/// the file's name.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub(crate) fn read_log(
    path: &Path,
    unread: &mut Unread,
    mut handle: impl FnMut(Line),
) -> io::Result<()> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut reader = BufReader::new(File::open(path)?);
    let mut bytes = Vec::new();
    for number in 1.. {
        bytes.clear();
        if reader.read_until(b'\n', &mut bytes)? == 0 {
            break;
        }
        let text = String::from_utf8_lossy(&bytes);
        if text.trim().is_empty() {
            continue;
        }
        match parse(&text, &name) {
            Some(it) => handle(it),
            None => {
                unread.count += 1;
                let first = || UnreadLine { file: path.display().to_string(), number };
                unread.first.get_or_insert_with(first);
            }
        }
    }
    Ok(())
}

fn parse(line: &str, file: &str) -> Option<Line> {
    let start = line.find('{')?;
    let value: Value = serde_json::from_str(&line[start..]).ok()?;
    let fields = value.get("kv").cloned().unwrap_or_default();
    let host = line[..start].split_whitespace().last().unwrap_or(file).to_owned();
    Some(Line {
        timestamp: value.get("timestamp")?.as_u64()?,
        host,
        code: fields.get("code").and_then(Value::as_str).unwrap_or_default().to_owned(),
        text: value.get("payload")?.as_str()?.to_owned(),
        fields,
    })
}
