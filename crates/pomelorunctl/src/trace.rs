//! `trace`: one flow's lines of several hosts' logs, in order, with what was believed around them.

use std::{fs, path::PathBuf};

use gumdrop::Options;
use serde::Serialize;
use serde_json::Value;

use crate::answer::{Answer, Format, to_json};

/// Time before and after a flow's own lines in which lines about its upstreams and hosts are shown,
/// milliseconds: the longest that a caller waits for an opening, and some more.
const AROUND_MS: u64 = 3_000;
/// Codes of lines about upstreams and about what a host believes.
const BELIEFS: [&str; 4] = ["PR041", "PR042", "PR043", "PR030"];

#[derive(Debug, Options)]
pub(crate) struct TraceArgs {
    /// print this help
    help: bool,
    /// the flow, as `CALLER>SERVICE`, such as `10.0.0.7:40000>10.20.0.1:443`
    #[options(free, required)]
    flow: String,
    /// log files; a line may have words before its JSON, the last of which is the host
    #[options(free)]
    files: Vec<PathBuf>,
    /// `text` or `json`
    #[options(no_short, meta = "FORMAT")]
    format: Format,
}

/// One line of a log.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
struct Line {
    timestamp: u64,
    host: String,
    code: String,
    text: String,
    fields: Value,
}

impl Line {
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }
}

/// What was found of a flow.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct Trace {
    flow: String,
    lines: Vec<Line>,
    /// Lines of the files that are no log lines.
    unread: usize,
}

pub(crate) fn trace(args: &TraceArgs) -> Answer {
    if args.files.is_empty() {
        return Answer::usage("a log file is required".to_owned());
    }
    let mut lines = Vec::new();
    let mut unread = 0;
    for file in &args.files {
        let text = match fs::read_to_string(file) {
            Ok(it) => it,
            Err(e) => return Answer::usage(format!("{}: {e}", file.display())),
        };
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        for line in text.lines().filter(|it| !it.trim().is_empty()) {
            match parse(line, &name) {
                Some(it) => lines.push(it),
                None => unread += 1,
            }
        }
    }
    lines.sort_by_key(|it| it.timestamp);
    let trace = Trace { flow: args.flow.clone(), lines: select(&args.flow, &lines), unread };
    if trace.lines.is_empty() {
        let message =
            format!("no line names the flow `{}`; was it left out by sampling?", args.flow);
        return Answer::usage(message);
    }
    Answer::ok(match args.format {
        Format::Json => to_json(&trace),
        Format::Text | Format::Html => render(&trace),
    })
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

/// The flow's own lines, and what its hosts believed of its upstreams and of themselves meanwhile.
fn select(flow: &str, lines: &[Line]) -> Vec<Line> {
    let own: Vec<&Line> = lines.iter().filter(|it| it.field("flow") == flow).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let from = first.timestamp.saturating_sub(AROUND_MS);
    let to = last.timestamp + AROUND_MS;
    let mut upstreams: Vec<&str> = own.iter().map(|it| it.field("upstream")).collect();
    let mut hosts: Vec<&str> = own.iter().map(|it| it.host.as_str()).collect();
    upstreams.retain(|it| !it.is_empty());
    for list in [&mut upstreams, &mut hosts] {
        list.sort_unstable();
        list.dedup();
    }
    let belongs = |it: &Line| {
        if it.field("flow") == flow {
            return true;
        }
        let near = (from..=to).contains(&it.timestamp);
        let belief = BELIEFS.iter().any(|code| it.code.starts_with(code));
        let upstream = it.field("upstream");
        let concerns = if upstream.is_empty() {
            it.field("flow").is_empty()
        } else {
            upstreams.binary_search(&upstream).is_ok()
        };
        near && belief && concerns && hosts.binary_search(&it.host.as_str()).is_ok()
    };
    lines.iter().filter(|it| belongs(it)).cloned().collect()
}

fn render(trace: &Trace) -> String {
    let first = trace.lines.first().map_or(0, |it| it.timestamp);
    let mut out = format!("flow {}\n", trace.flow);
    for it in &trace.lines {
        let own = if it.field("flow") == trace.flow { '*' } else { ' ' };
        let after = it.timestamp - first;
        out += &format!("{own} +{after:>6} ms  {}  {}  {}", it.host, it.code, it.text);
        if let Some(fields) = it.fields.as_object() {
            for (name, value) in
                fields.iter().filter(|it| !["code", "flow"].contains(&it.0.as_str()))
            {
                out += &format!(
                    "  {name}={}",
                    value.as_str().map_or(value.to_string(), str::to_owned)
                );
            }
        }
        out.push('\n');
    }
    out
}
