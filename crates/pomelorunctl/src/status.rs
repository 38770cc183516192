//! `status`: the state of the hosts, taken together.

use gumdrop::Options;
use pomelorun::{HostReport, UpstreamReport};
use pomelorun_wire::{HostId, MemberState};
use serde::Serialize;
use serde_json::Value;

use crate::{
    answer::{Answer, Format, to_json},
    direct::{DirectStatus, is_direct},
    hosts::{ask, parse_hosts, read_all},
};

/// Age above which a configuration counts as stale, milliseconds: a watch and its answer take at
/// most this long while the service answers.
const STALE_MS: u64 = 15_000;

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
    /// Revisions with the hosts on which each is in force, the highest first.
    revisions: Vec<RevisionHosts>,
    /// Hosts by the worst state that any host sees them in.
    members: Vec<SeenHost>,
    /// Availability zones that any host knows as out.
    zones_out: Vec<ZoneOut>,
    /// Upstreams that may run fewer requests than they have slots.
    limited: Vec<Limited>,
    /// Hosts whose configuration service has not answered for long.
    stale: Vec<Stale>,
    /// What each host answered.
    hosts: Vec<HostReport>,
    unreachable: Vec<String>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct RevisionHosts {
    revision: u64,
    /// Hash of the content; two of one revision are a conflict.
    content: String,
    hosts: Vec<String>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct SeenHost {
    /// Name, or the identifier of a host that did not answer.
    host: String,
    state: MemberState,
    /// Hosts that see it so.
    seen_by: Vec<String>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct ZoneOut {
    zone: String,
    /// Hosts that know it as out, of those that answered.
    known_by: usize,
    /// Time since any host that answered sent a packet to an upstream there, milliseconds.
    last_packet_ago_ms: Option<u64>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct Limited {
    upstream: String,
    zone: String,
    limit: u16,
    slots: u16,
    reason: String,
    in_flight: usize,
    queued: usize,
    #[serde(rename = "steward")]
    primary: String,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct Stale {
    host: String,
    revision: u64,
    age_ms: u64,
}

pub(crate) async fn status(args: &StatusArgs) -> Answer {
    let addresses = match parse_hosts(&args.hosts) {
        Ok(it) => it,
        Err(e) => return Answer::usage(e),
    };
    let (answers, failed) = ask::<Value>(&addresses, "/v1/status").await;
    let mut unreachable: Vec<String> = failed.iter().map(ToString::to_string).collect();
    let direct = answers.iter().any(is_direct);
    let out = if direct {
        let status = DirectStatus::gather(read_all(answers, &mut unreachable), unreachable.clone());
        match args.format {
            Format::Json => to_json(&status),
            Format::Text | Format::Html => status.render(),
        }
    } else {
        let status = gather(read_all(answers, &mut unreachable), unreachable.clone());
        match args.format {
            Format::Json => to_json(&status),
            Format::Text | Format::Html => render(&status),
        }
    };
    if unreachable.is_empty() {
        Answer::ok(out)
    } else {
        Answer::unreachable(out, unreachable.join("\n"))
    }
}

fn gather(hosts: Vec<HostReport>, unreachable: Vec<String>) -> Status {
    let revisions = hosts.iter().map(|it| it.revision);
    Status {
        revision_least: revisions.clone().min().unwrap_or(0),
        revision_most: revisions.max().unwrap_or(0),
        revisions: by_revision(&hosts),
        members: members(&hosts),
        zones_out: zones_out(&hosts),
        limited: limited(&hosts),
        stale: hosts
            .iter()
            .filter(|it| it.config_age_ms >= STALE_MS)
            .map(|it| Stale {
                host: it.host.clone(),
                revision: it.revision,
                age_ms: it.config_age_ms,
            })
            .collect(),
        hosts,
        unreachable,
    }
}

fn by_revision(hosts: &[HostReport]) -> Vec<RevisionHosts> {
    let mut found: Vec<RevisionHosts> = Vec::new();
    for it in hosts {
        match found.iter_mut().find(|r| r.revision == it.revision && r.content == it.content) {
            Some(found) => found.hosts.push(it.host.clone()),
            None => found.push(RevisionHosts {
                revision: it.revision,
                content: it.content.clone(),
                hosts: vec![it.host.clone()],
            }),
        }
    }
    found.sort_by_key(|it| std::cmp::Reverse(it.revision));
    found
}

/// The worst state of each host that any other sees, and its own word that it leaves.
fn members(hosts: &[HostReport]) -> Vec<SeenHost> {
    let name_of = |id: &str| {
        let named = hosts.iter().find(|it| HostId::from_name(&it.host).to_string() == id);
        named.map_or(id.to_owned(), |it| it.host.clone())
    };
    let mut views: Vec<(String, MemberState, String)> = Vec::new();
    for host in hosts {
        let own = if host.leaving { MemberState::Leaving } else { MemberState::Live };
        views.push((host.host.clone(), own, host.host.clone()));
        let seen = host.members.iter().filter(|it| it.listed || it.state != MemberState::Dead);
        views.extend(seen.map(|it| (name_of(&it.host), it.state, host.host.clone())));
    }
    views.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)).then_with(|| a.2.cmp(&b.2)));
    let mut found: Vec<SeenHost> = Vec::new();
    for (host, state, by) in views {
        match found.last_mut().filter(|it| it.host == host) {
            Some(it) if it.state == state => it.seen_by.push(by),
            Some(_) => {}
            None => found.push(SeenHost { host, state, seen_by: vec![by] }),
        }
    }
    found
}

fn zones_out(hosts: &[HostReport]) -> Vec<ZoneOut> {
    let mut found: Vec<ZoneOut> = Vec::new();
    for it in hosts.iter().flat_map(|it| &it.zones).filter(|it| it.withdrawn) {
        match found.iter_mut().find(|z| z.zone == it.name) {
            Some(found) => found.known_by += 1,
            None => {
                found.push(ZoneOut {
                    zone: it.name.clone(),
                    known_by: 1,
                    last_packet_ago_ms: None,
                });
            }
        }
    }
    for zone in &mut found {
        // Also from hosts that do not know yet that the zone is out.
        let ago = hosts.iter().flat_map(|it| &it.zones).filter(|it| it.name == zone.zone);
        zone.last_packet_ago_ms = ago.filter_map(|it| it.last_packet_ago_ms).min();
    }
    found.sort_by(|a, b| a.zone.cmp(&b.zone));
    found
}

fn limited(hosts: &[HostReport]) -> Vec<Limited> {
    let is_limited =
        |it: &UpstreamReport| it.active && (it.reason != "warm" || it.limit < it.slots);
    let mut found = Vec::new();
    for host in hosts {
        for it in host.upstreams.iter().filter(|it| is_limited(it)) {
            found.push(Limited {
                upstream: it.name.clone(),
                zone: it.zone.clone(),
                limit: it.limit,
                slots: it.slots,
                reason: it.reason.clone(),
                in_flight: it.in_flight,
                queued: it.queued,
                primary: host.host.clone(),
            });
        }
    }
    found.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    found
}

fn render(status: &Status) -> String {
    let mut lines = vec![format!(
        "revisions in force: {} to {} on {} hosts",
        status.revision_least,
        status.revision_most,
        status.hosts.len()
    )];
    if status.revisions.len() > 1 {
        for it in &status.revisions {
            let hash = it.content.get(..12).unwrap_or(&it.content);
            lines.push(format!("  {} ({hash}): {}", it.revision, it.hosts.join(", ")));
        }
    }
    lines.push(render_members(&status.members));
    for it in status.members.iter().filter(|it| it.state != MemberState::Live) {
        let by = it.seen_by.join(", ");
        lines.push(format!("  {} {}, as seen by {by}", it.host, state_name(it.state)));
    }
    for it in &status.zones_out {
        let last = it.last_packet_ago_ms.map_or("no packet sent there".to_owned(), |it| {
            format!("last packet there {} ago", seconds(it))
        });
        let (known, all) = (it.known_by, status.hosts.len());
        lines.push(format!("zone {} is out on {known} of {all} hosts; {last}", it.zone));
    }
    for it in &status.limited {
        lines.push(format!(
            "upstream {} in {}: limit {} of {} slots, {}; {} in progress, {} waiting; steward {}",
            it.upstream,
            it.zone,
            it.limit,
            it.slots,
            reason(&it.reason),
            it.in_flight,
            it.queued,
            it.primary
        ));
    }
    for it in &status.stale {
        let (host, age) = (&it.host, seconds(it.age_ms));
        lines.push(format!(
            "PR0303 {host}: no answer of the config service for {age}; revision {} stays in force",
            it.revision
        ));
    }
    for it in &status.hosts {
        let leaving = if it.leaving { ", leaving" } else { "" };
        lines.push(format!(
            "{} in {}: revision {}, {} flows, config answered {} ago{leaving}",
            it.host,
            it.zone,
            it.revision,
            it.flows,
            seconds(it.config_age_ms)
        ));
    }
    lines.join("\n")
}

fn render_members(members: &[SeenHost]) -> String {
    let count = |state| members.iter().filter(|it| it.state == state).count();
    format!(
        "hosts: {} live, {} suspected, {} leaving, {} dead",
        count(MemberState::Live),
        count(MemberState::Suspect),
        count(MemberState::Leaving),
        count(MemberState::Dead)
    )
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Live => "live",
        MemberState::Suspect => "suspected",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

fn reason(name: &str) -> &str {
    match name {
        "new" => "cold: nothing is known of it yet",
        "warm" => "growing after answers in time",
        "shed" => "it shed a request",
        "timed_out" => "a request ran into its deadline",
        "slow" => "it answered late",
        other => other,
    }
}

fn seconds(ms: u64) -> String {
    format!("{:.1} s", ms as f64 / 1_000.0)
}
