//! `status`: the state of the hosts.

use gumdrop::Options;
use pomelorun::HostReport;
use pomelorun_wire::MemberState;
use serde::Serialize;

use crate::{
    answer::{Answer, Format, to_json},
    hosts::{HostError, parse_hosts, read},
};

#[derive(Debug, Options)]
pub(crate) struct StatusArgs {
    /// print this help
    help: bool,
    /// admin addresses of the hosts, separated by commas
    #[options(no_short, required, meta = "ADDR,ADDR")]
    hosts: String,
    /// `text` or `json`
    #[options(no_short, meta = "FORMAT")]
    format: Format,
}

/// State of all hosts that were asked.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct Status {
    /// Lowest revision in force.
    revision_least: u64,
    /// Highest revision in force.
    revision_most: u64,
    hosts: Vec<HostReport>,
    unreachable: Vec<String>,
}

pub(crate) async fn status(args: &StatusArgs) -> Answer {
    let addresses = match parse_hosts(&args.hosts) {
        Ok(it) => it,
        Err(e) => return Answer::usage(e),
    };
    let mut hosts = Vec::new();
    let mut failed: Vec<HostError> = Vec::new();
    for it in addresses {
        match read(it, "/v1/status").await {
            Ok(text) => match serde_json::from_str::<HostReport>(&text) {
                Ok(report) => hosts.push(report),
                Err(e) => failed.push(HostError { host: it, detail: e.to_string() }),
            },
            Err(e) => failed.push(e),
        }
    }
    let revisions = hosts.iter().map(|it| it.revision);
    let status = Status {
        revision_least: revisions.clone().min().unwrap_or(0),
        revision_most: revisions.max().unwrap_or(0),
        unreachable: failed.iter().map(ToString::to_string).collect(),
        hosts,
    };
    let out = if args.format == Format::Json { to_json(&status) } else { render(&status) };
    if failed.is_empty() {
        Answer::ok(out)
    } else {
        Answer::unreachable(out, status.unreachable.join("\n"))
    }
}

fn render(status: &Status) -> String {
    let mut lines = vec![format!(
        "revisions in force: {} to {} on {} hosts",
        status.revision_least,
        status.revision_most,
        status.hosts.len()
    )];
    for it in &status.hosts {
        lines.push(render_host(it));
    }
    lines.join("\n")
}

fn render_host(it: &HostReport) -> String {
    let count = |state: MemberState| it.members.iter().filter(|m| m.state == state).count();
    let out: Vec<&str> = it.zones.iter().filter(|z| z.out).map(|z| z.name.as_str()).collect();
    let limited: Vec<String> = it
        .upstreams
        .iter()
        .filter(|u| u.active && u.reason != "warm")
        .map(|u| format!("{} ({}, limit {})", u.name, u.reason, u.limit))
        .collect();
    let mut line = format!(
        "{} in {}: revision {}, {} flows, sees {} live, {} suspected, {} leaving, {} dead",
        it.host,
        it.zone,
        it.revision,
        it.flows,
        count(MemberState::Live),
        count(MemberState::Suspect),
        count(MemberState::Leaving),
        count(MemberState::Dead),
    );
    if it.leaving {
        line.push_str("; leaving");
    }
    if !out.is_empty() {
        line.push_str(&format!("; zones out: {}", out.join(", ")));
    }
    if !limited.is_empty() {
        line.push_str(&format!("; limited: {}", limited.join(", ")));
    }
    line
}
