//! `losses`: what hosts logged of flows that were late or lost, by cause, zone, upstream and second.

use std::path::PathBuf;

use gumdrop::Options;
use pomelorun_wire::Code;
use serde::Serialize;

use crate::{
    answer::{Answer, Format, to_json},
    log_lines::{Line, Unread, read_log},
};

/// Codes of the lines that stand for one flow that was late or lost, or nearly so.
const LOSSES: [Code; 10] = [
    Code::FLOW_COPIED,
    Code::FLOW_RESET_UNREACHABLE,
    Code::FLOW_RESET_ENDED,
    Code::FLOW_RESET_NO_ROUTE,
    Code::PACKET_NO_ROUTE,
    Code::PACKET_NO_UPSTREAM,
    Code::PACKET_UNKNOWN_TOKEN,
    Code::FLOW_RESET_NO_UPSTREAM,
    Code::FLOW_RESET_REPORTED_ENDED,
    Code::FLOW_RETRIED,
];
/// Maximum number of rows of one table; what comes after them is counted without a row of its own.
const MAX_ROWS: usize = 100_000;
/// Rows of each table that the text shows.
const SHOWN_ROWS: usize = 10;

#[derive(Debug, Options)]
pub(crate) struct LossesArgs {
    /// print this help
    help: bool,
    /// log files; a line may have words before its JSON, the last of which is the host
    #[options(free)]
    files: Vec<PathBuf>,
    /// `text` or `json`
    #[options(no_short, meta = "FORMAT")]
    format: Format,
}

/// Counts by key, sorted by key.
#[derive(Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
struct Counts {
    rows: Vec<(String, u64)>,
    /// Counted without a row, because there were too many.
    without_row: u64,
}

impl Counts {
    fn add(&mut self, key: &str) {
        match self.rows.binary_search_by(|it| it.0.as_str().cmp(key)) {
            Ok(at) => self.rows[at].1 += 1,
            Err(at) if self.rows.len() < MAX_ROWS => self.rows.insert(at, (key.to_owned(), 1)),
            Err(_) => self.without_row += 1,
        }
    }

    /// Returns the rows with the largest counts, largest first.
    fn largest(&self) -> Vec<&(String, u64)> {
        let mut rows: Vec<&(String, u64)> = self.rows.iter().collect();
        rows.sort_by_key(|it| std::cmp::Reverse(it.1));
        rows.truncate(SHOWN_ROWS);
        rows
    }
}

/// Start of a host. Until its first line, the host served nobody.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct Start {
    host: String,
    zone: String,
    timestamp: u64,
    /// Time since the host's line before, in milliseconds; `None` for its first start.
    silent_ms: Option<u64>,
}

/// What the logs say of flows that were late or lost.
#[derive(Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
struct Losses {
    /// Flows that were opened, including those whose lines were suppressed.
    opened: u64,
    by_code: Counts,
    by_zone: Counts,
    by_upstream: Counts,
    /// By Unix time in seconds.
    by_second: Counts,
    starts: Vec<Start>,
    unread: Unread,
}

/// A host seen in the logs.
#[derive(Debug)]
struct Host {
    name: String,
    zone: String,
    last_line: u64,
}

pub(crate) fn losses(args: &LossesArgs) -> Answer {
    if args.files.is_empty() {
        return Answer::usage("a log file is required".to_owned());
    }
    let mut losses = Losses::default();
    let mut unread = Unread::default();
    let mut hosts = Vec::new();
    for file in &args.files {
        let res = read_log(file, &mut unread, |it| losses.count(&mut hosts, &it));
        if let Err(e) = res {
            return Answer::usage(format!("{}: {e}", file.display()));
        }
    }
    losses.unread = unread;
    Answer::ok(match args.format {
        Format::Json => to_json(&losses),
        Format::Text | Format::Html => losses.render(),
    })
}

impl Losses {
    fn count(&mut self, hosts: &mut Vec<Host>, line: &Line) {
        let at = match hosts.binary_search_by(|it| it.name.cmp(&line.host)) {
            Ok(at) => at,
            Err(at) => {
                let (name, zone) = (line.host.clone(), "unknown".to_owned());
                hosts.insert(at, Host { name, zone, last_line: 0 });
                at
            }
        };
        let host = &mut hosts[at];
        let is = |code: Code| line.code == code.to_string();
        if is(Code::STARTED) {
            host.zone = line.field("zone").to_owned();
            self.starts.push(Start {
                host: host.name.clone(),
                zone: host.zone.clone(),
                timestamp: line.timestamp,
                silent_ms: (host.last_line > 0)
                    .then(|| line.timestamp.saturating_sub(host.last_line)),
            });
        } else if is(Code::FLOW_OPENED) {
            self.opened += 1;
        } else if is(Code::LOG_LINES_SUPPRESSED) {
            self.opened += line.number("opened");
        } else if LOSSES.iter().any(|it| is(*it)) {
            self.by_code.add(&line.code);
            self.by_zone.add(&host.zone);
            self.by_second.add(&(line.timestamp / 1_000).to_string());
            if !line.field("upstream").is_empty() {
                self.by_upstream.add(line.field("upstream"));
            }
        }
        host.last_line = host.last_line.max(line.timestamp);
    }

    fn render(&self) -> String {
        let mut out = format!("{} flows opened\n", self.opened);
        out += "\nlate, lost or nearly so\n";
        for (code, count) in self.by_code.largest() {
            let row = LOSSES.iter().find(|it| it.to_string() == *code).and_then(|it| it.row());
            out += &format!("{count:>8}  {code}  {}\n", row.map_or("", |it| it.meaning));
        }
        for (title, counts) in [
            ("zone of the host", &self.by_zone),
            ("upstream of the line", &self.by_upstream),
            ("second", &self.by_second),
        ] {
            out += &format!("\nby {title}\n");
            for (key, count) in counts.largest() {
                out += &format!("{count:>8}  {key}\n");
            }
            if counts.without_row > 0 {
                out += &format!("{:>8}  others\n", counts.without_row);
            }
        }
        out += "\nhosts that started, and how long they were silent before\n";
        for it in &self.starts {
            let silent = it.silent_ms.map_or("first start".to_owned(), |it| format!("{it} ms"));
            out += &format!("{:>16}  {}  {}  {silent}\n", it.timestamp, it.host, it.zone);
        }
        if let Some(first) = &self.unread.first {
            out +=
                &format!("\n{} lines are no log lines, the first is {first}\n", self.unread.count);
        }
        out
    }
}
