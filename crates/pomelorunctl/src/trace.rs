//! `trace`: one flow's lines of several hosts' logs, in order, with what was believed around them.

use std::path::PathBuf;

use gumdrop::Options;
use serde::Serialize;

use crate::{
    answer::{Answer, Format, to_json},
    log_lines::{Line, Unread, read_log},
};

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
    let mut unread = Unread::default();
    for file in &args.files {
        if let Err(e) = read_log(file, &mut unread, |it| lines.push(it)) {
            return Answer::usage(format!("{}: {e}", file.display()));
        }
    }
    lines.sort_by_key(|it| it.timestamp);
    let trace =
        Trace { flow: args.flow.clone(), lines: select(&args.flow, &lines), unread: unread.count };
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
