//! `explain`: where a flow goes and why.

use gumdrop::Options;
use pomelorun::{ExplainReport, RouteReport, UpstreamReport, parse_flow};
use pomelorun_wire::HostId;
use serde::Serialize;
use serde_json::Value;

use crate::{
    answer::{Answer, Format, to_json},
    direct::{DirectExplained, is_direct},
    hosts::{ask, parse_hosts, read_all},
};

#[derive(Debug, Options)]
pub(crate) struct ExplainArgs {
    /// print this help
    help: bool,
    /// the flow, as `CALLER>SERVICE`, such as `10.0.0.7:40000>10.20.0.1:443`
    #[options(free, required)]
    flow: String,
    /// admin addresses of the hosts, separated by commas; in direct return their `ready` addresses
    #[options(no_short, required, meta = "ADDR,ADDR")]
    hosts: String,
    /// token of the flow's packets, hexadecimal; in direct return only
    #[options(no_short, meta = "TOKEN")]
    token: Option<String>,
    /// `text` or `json`
    #[options(no_short, meta = "FORMAT")]
    format: Format,
}

/// What all hosts that were asked know of a flow.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct Explained {
    flow: String,
    hosts: Vec<ExplainReport>,
    unreachable: Vec<String>,
}

pub(crate) async fn explain(args: &ExplainArgs) -> Answer {
    let flow = match parse_flow(&args.flow) {
        Ok(it) => it,
        Err(e) => return Answer::usage(format!("`{}`: {e}", args.flow)),
    };
    let addresses = match parse_hosts(&args.hosts) {
        Ok(it) => it,
        Err(e) => return Answer::usage(e),
    };
    let mut path = format!("/v1/explain?flow={}", flow.to_string().replace('>', "%3E"));
    if let Some(it) = &args.token {
        if u32::from_str_radix(it, 16).is_err() {
            return Answer::usage(format!("`{it}` is not a token such as `09c41f20`"));
        }
        path += &format!("&token={it}");
    }
    let (answers, failed) = ask::<Value>(&addresses, &path).await;
    let mut unreachable: Vec<String> = failed.iter().map(ToString::to_string).collect();
    let flow = flow.to_string();
    let out = if answers.iter().any(is_direct) {
        let hosts = read_all(answers, &mut unreachable);
        let explained = DirectExplained { flow, hosts, unreachable: unreachable.clone() };
        match args.format {
            Format::Json => to_json(&explained),
            Format::Text | Format::Html => explained.render(),
        }
    } else {
        let hosts = read_all(answers, &mut unreachable);
        let explained = Explained { flow, hosts, unreachable: unreachable.clone() };
        match args.format {
            Format::Json => to_json(&explained),
            Format::Text | Format::Html => render(&explained),
        }
    };
    let errors = unreachable.join("\n");
    if errors.is_empty() { Answer::ok(out) } else { Answer::unreachable(out, errors) }
}

/// Names of the hosts that answered; identifiers stand for the others.
struct Names(Vec<(String, String)>);

impl Names {
    fn of<'a>(&'a self, id: &'a str) -> &'a str {
        self.0.iter().find(|it| it.0 == id).map_or(id, |it| &it.1)
    }

    fn list(&self, ids: &[String]) -> String {
        ids.iter().map(|it| self.of(it)).collect::<Vec<_>>().join(", ")
    }
}

fn render(it: &Explained) -> String {
    let id = |it: &ExplainReport| HostId::from_name(&it.host).to_string();
    let names = Names(it.hosts.iter().map(|it| (id(it), it.host.clone())).collect());
    let Some(first) = it.hosts.first() else { return format!("{}: no host answered", it.flow) };
    let owner = it.hosts.iter().find(|it| it.ranking.first() == Some(&id(it)));
    let main = owner.unwrap_or(first);
    let mut lines = vec![it.flow.clone(), service(main)];
    lines.push(format!(
        "bucket {}: kept by {}, the highest of {} by rendezvous score",
        main.bucket,
        main.ranking.first().map_or("nobody", |it| names.of(it)),
        names.list(&main.ranking)
    ));
    if owner.is_none() {
        lines.push(format!("the bucket owner did not answer; as {} sees it", main.host));
    }
    lines.push(home(it, main));
    lines.extend(upstream(it, main, &names));
    let mut revisions: Vec<u64> = it.hosts.iter().map(|it| it.revision).collect();
    revisions.sort_unstable();
    revisions.dedup();
    if revisions.len() > 1 {
        lines.push(format!("hosts disagree: revisions {revisions:?} are in force"));
    }
    lines.push("a packet handed to".to_owned());
    for host in &it.hosts {
        lines.push(format!(
            "  {}: open: {}; request: {}",
            host.host,
            route(&host.open, &names),
            route(&host.request, &names)
        ));
    }
    lines.join("\n")
}

fn service(it: &ExplainReport) -> String {
    match (&it.service, &it.pool) {
        (Some(service), Some(pool)) => {
            format!("service {service}, pool {pool}, revision {}", it.revision)
        }
        _ => format!("no service has this address in revision {}", it.revision),
    }
}

fn home(all: &Explained, main: &ExplainReport) -> String {
    let knowing = |home: &String| -> Vec<&str> {
        let same = all.hosts.iter().filter(|it| it.home.as_ref() == Some(home));
        same.map(|it| it.host.as_str()).collect()
    };
    let known = main.home.as_ref().or_else(|| all.hosts.iter().find_map(|it| it.home.as_ref()));
    match (known, &main.choice) {
        (Some(home), _) => {
            format!("lives at {home}, known from its packets to {}", knowing(home).join(", "))
        }
        (None, Some(choice)) => {
            format!("no host asked knows it; if it opened now it would go to {choice}")
        }
        (None, None) => "no host asked knows it, and no upstream takes it now".to_owned(),
    }
}

fn upstream(all: &Explained, main: &ExplainReport, names: &Names) -> Vec<String> {
    let mut lines = Vec::new();
    if let Some(zone) = &main.upstream_zone {
        let state = if zone.withdrawn { "taken out" } else { "in" };
        let drain = if main.upstream_draining { "; the upstream drains" } else { "" };
        lines.push(format!("availability zone {}, {state}{drain}", zone.name));
    }
    let named = |it: &Option<String>| it.as_ref().map_or("nobody", |it| names.of(it)).to_owned();
    if main.primary.is_some() || main.backup.is_some() {
        let (primary, backup) = (named(&main.primary), named(&main.backup));
        lines.push(format!("its requests are counted by {primary}, backup {backup}"));
    }
    let subject = main.home.as_ref().or(main.choice.as_ref());
    let held = all.hosts.iter().filter_map(|it| it.upstream.as_ref());
    if let Some(it) = held.filter(|it| it.active).find(|it| Some(&it.name) == subject) {
        lines.push(limit(it));
    }
    lines
}

fn limit(it: &UpstreamReport) -> String {
    format!(
        "limit {} of {} slots ({}), {} in progress, {} waiting",
        it.limit, it.slots, it.reason, it.in_flight, it.queued
    )
}

fn route(it: &RouteReport, names: &Names) -> String {
    match it {
        RouteReport::Unknown => "not known".to_owned(),
        RouteReport::Upstream { upstream } => format!("to upstream {upstream}, within its limit"),
        RouteReport::Primary { upstream, host } => {
            format!("to {}, steward of {upstream}", names.of(host))
        }
        RouteReport::BucketOwner { host } => format!("to its bucket owner {}", names.of(host)),
        RouteReport::Probe { host } => format!("asks {} for the flow", names.of(host)),
        RouteReport::Abandoned { code, meaning } => format!("given up, {code}: {meaning}"),
        RouteReport::RetryLater { code, meaning } => format!("come back, {code}: {meaning}"),
    }
}
