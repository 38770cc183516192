//! What hosts in direct return answer, for people.

use pomelorun::direct::{DirectReport, FlowReport};
use pomelorun_core::direct::{ReachabilityView, UpstreamView};
use pomelorun_wire::ZoneId;
use serde::Serialize;
use serde_json::Value;

/// Age above which what a host knows counts as stale, milliseconds: the watch of a reader waits 3 s,
/// and its successor has followed after as long again.
const STALE_MS: u64 = 6_000;

/// Tells whether a host answered in direct return.
pub(crate) fn is_direct(answer: &Value) -> bool {
    answer.get("mode").is_some_and(|it| it == "direct_return")
}

/// State of all hosts in direct return that were asked.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct DirectStatus {
    /// Lowest revision in force.
    revision_least: u64,
    /// Highest revision in force.
    revision_most: u64,
    /// Hosts that take no packets, with the reason.
    not_ready: Vec<String>,
    /// Hosts whose knowledge of the directory is old, with its age.
    stale: Vec<String>,
    /// Hosts that read the directory, by zone.
    readers: Vec<String>,
    /// Names of zones that any host holds out; identifiers where no host of one answered.
    zones_out: Vec<String>,
    /// Hosts that have not learned of the directory's newest era, with the era that they know.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    behind_era: Vec<String>,
    /// Newest era of the directory that any host knows.
    #[serde(skip_serializing_if = "Option::is_none")]
    era: Option<u64>,
    /// Upstreams of which any host believes something unusual.
    unusual: Vec<Unusual>,
    hosts: Vec<DirectReport>,
    unreachable: Vec<String>,
}

/// Something that hosts believe of an upstream.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
struct Unusual {
    upstream: String,
    service: String,
    belief: &'static str,
    /// Hosts that believe it.
    hosts: Vec<String>,
}

impl DirectStatus {
    pub(crate) fn gather(hosts: Vec<DirectReport>, unreachable: Vec<String>) -> DirectStatus {
        let revisions = hosts.iter().map(|it| it.view.revision);
        let named = |it: &DirectReport, what: &str| format!("{} ({what})", it.host);
        let mut readers: Vec<String> =
            hosts.iter().filter(|it| it.is_reader).map(|it| named(it, &it.zone)).collect();
        readers.sort_unstable();
        let mut zones: Vec<ZoneId> =
            hosts.iter().flat_map(|it| it.view.zones_out.iter().copied()).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut zones_out: Vec<String> =
            zones.into_iter().map(|it| zone_name(&hosts, it)).collect();
        zones_out.sort_unstable();
        let era = hosts.iter().filter_map(|it| it.view.directory_era).max();
        let is_behind = |it: &&DirectReport| it.view.directory_era.is_some_and(|it| Some(it) < era);
        let behind_era = hosts
            .iter()
            .filter(is_behind)
            .map(|it| named(it, &format!("era {}", it.view.directory_era.unwrap_or(0))))
            .collect();
        DirectStatus {
            era,
            behind_era,
            revision_least: revisions.clone().min().unwrap_or(0),
            revision_most: revisions.max().unwrap_or(0),
            not_ready: hosts
                .iter()
                .filter(|it| !it.ready)
                .map(|it| named(it, if it.leaving { "leaving" } else { "knows too little" }))
                .collect(),
            stale: hosts.iter().filter_map(stale).collect(),
            readers,
            zones_out,
            unusual: unusual(&hosts),
            hosts,
            unreachable,
        }
    }

    pub(crate) fn render(&self) -> String {
        let answered = self.hosts.len();
        let mut lines = vec![format!("{answered} hosts in direct return answered")];
        lines.push(if self.revision_least == self.revision_most {
            format!("revision {} is in force on all of them", self.revision_most)
        } else {
            format!("revisions {} to {} are in force", self.revision_least, self.revision_most)
        });
        if let Some(era) = self.era {
            lines.push(format!("the directory is in era {era}"));
        }
        for host in &self.hosts {
            if host.view.revision < self.revision_most {
                lines.push(format!("  {} has revision {}", host.host, host.view.revision));
            }
        }
        let lists = [
            ("read the directory", &self.readers),
            ("know the directory as of long ago", &self.stale),
            ("know the directory as of before it was restored", &self.behind_era),
            ("take no packets", &self.not_ready),
            ("zones out", &self.zones_out),
        ];
        for (what, names) in lists {
            if !names.is_empty() {
                lines.push(format!("{what}: {}", names.join(", ")));
            }
        }
        if self.unusual.is_empty() {
            lines.push("all upstreams are as they should be".to_owned());
        }
        for it in &self.unusual {
            let hosts = if it.hosts.len() == answered {
                "all hosts".to_owned()
            } else {
                it.hosts.join(", ")
            };
            let Unusual { upstream, service, belief, .. } = it;
            lines.push(format!("upstream {upstream} of {service}: {belief}, say {hosts}"));
        }
        lines.join("\n")
    }
}

fn stale(it: &DirectReport) -> Option<String> {
    match it.view.directory_ago_ms {
        None => Some(format!("{} (never heard)", it.host)),
        Some(age) if age >= STALE_MS => {
            Some(format!("{} ({:.1} s)", it.host, age as f64 / 1_000.0))
        }
        Some(_) => None,
    }
}

fn zone_name(hosts: &[DirectReport], zone: ZoneId) -> String {
    let named = hosts.iter().find(|it| ZoneId::from_name(&it.zone) == zone);
    named.map_or_else(|| zone.0.to_string(), |it| it.zone.clone())
}

fn unusual(hosts: &[DirectReport]) -> Vec<Unusual> {
    let mut seen: Vec<(&str, &str, &'static str, &str)> = Vec::new();
    for host in hosts {
        for it in &host.view.upstreams {
            let say =
                |belief| (it.upstream.as_str(), it.service.as_str(), belief, host.host.as_str());
            seen.extend(beliefs(it).into_iter().map(say));
        }
    }
    seen.sort_unstable();
    let mut found: Vec<Unusual> = Vec::new();
    for (upstream, service, belief, host) in seen {
        match found.last_mut().filter(|it| it.upstream == upstream && it.belief == belief) {
            Some(it) => it.hosts.push(host.to_owned()),
            None => found.push(Unusual {
                upstream: upstream.to_owned(),
                service: service.to_owned(),
                belief,
                hosts: vec![host.to_owned()],
            }),
        }
    }
    found
}

fn beliefs(it: &UpstreamView) -> Vec<&'static str> {
    let standing = match it.reachability {
        ReachabilityView::Answering => None,
        ReachabilityView::Suspect => Some("suspected"),
        ReachabilityView::Unreachable => Some("unreachable"),
    };
    let mut found: Vec<&'static str> = standing.into_iter().collect();
    found.extend(it.ejected.then_some("ejected"));
    found.extend((it.cold_left_ms > 0).then_some("cold"));
    found.extend(it.lapsed_ms.map(|_| "no longer announced"));
    found
}

/// What all hosts in direct return that were asked know of a flow.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct DirectExplained {
    pub(crate) flow: String,
    pub(crate) hosts: Vec<FlowReport>,
    pub(crate) unreachable: Vec<String>,
}

impl DirectExplained {
    pub(crate) fn render(&self) -> String {
        let mut lines = vec![self.flow.clone()];
        for host in &self.hosts {
            lines.extend(explain(host));
        }
        if self.hosts.is_empty() {
            lines.push("no host answered".to_owned());
        }
        lines.join("\n")
    }
}

/// Upstreams that are shown of each host.
const SHOWN: usize = 8;

fn explain(host: &FlowReport) -> Vec<String> {
    let view = &host.view;
    let mut lines = vec![format!("{} ({}), revision {}", host.host, host.zone, view.revision)];
    let Some(service) = &view.service else {
        lines.push("  no route leads from its address".to_owned());
        return lines;
    };
    lines.push(match (&view.lives_at, &view.would_go_to) {
        (Some(it), _) => {
            let from = match view.known_from {
                Some(pomelorun_core::direct::KnownFrom::Token) => "by its token",
                _ => "by its packets",
            };
            format!("  {service}: lives at {it}, {from}")
        }
        (None, Some(it)) => format!("  {service}: not known here; would open at {it}"),
        (None, None) => format!("  {service}: not known here, and no upstream takes it now"),
    });
    lines.extend(view.upstreams.iter().take(SHOWN).map(upstream));
    let left = view.upstreams.len().saturating_sub(SHOWN);
    if left > 0 {
        lines.push(format!("  and {left} more"));
    }
    lines
}

fn upstream(it: &UpstreamView) -> String {
    let word = match (it.choice, it.ineligible) {
        (Some(choice), _) => lower(&format!("{choice:?}")),
        (None, Some(barred)) => format!("gets none: {}", lower(&format!("{barred:?}"))),
        (None, None) => "gets none".to_owned(),
    };
    let ejected = if it.ejected { ", ejected" } else { "" };
    let shared = it.shared_in_progress.map(|it| format!(" of {it:.1} in progress at all hosts"));
    format!(
        "  {}  {word}{ejected}, load {:.2}, {} waiting{}, last sign of life {} ms ago",
        it.upstream,
        it.score,
        it.waiting,
        shared.unwrap_or_default(),
        it.answered_ago_ms
    )
}

/// `ColdElsewhere` as `cold elsewhere`.
fn lower(name: &str) -> String {
    let mut text = String::with_capacity(name.len() + 4);
    for it in name.chars() {
        if it.is_uppercase() && !text.is_empty() {
            text.push(' ');
        }
        text.extend(it.to_lowercase());
    }
    text
}
