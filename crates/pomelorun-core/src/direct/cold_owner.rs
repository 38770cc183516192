//! Which host may open flows at a cold upstream, and how many.
//!
//! The limit on a cold upstream's new flows holds over all hosts, so one host, its owner, counts them. There
//! is no agreement on who that is: each host chooses among the hosts that it knows. A host therefore spends
//! nothing that another one might be spending: not while its view of the hosts may be incomplete, not
//! within [`HANDOVER_TIME`] of the departure of the owner before it, and not unless it knows more than half of the
//! hosts of the last [`KNOWN_TIME`] to be live. The others may be cut off from it rather than dead, and have an
//! owner of their own; at most one of the parts has that many.
//!
//! A part that has not, such as a zone that is cut off, is not to go without its cold upstreams altogether. Some of
//! the limit is therefore divided into slots of one flow, which the hosts of the highest rank hold for an
//! upstream. A host that holds one may use it without the others, and the owner leaves free the slots of
//! those that are missing.

use pomelorun_wire::HostId;

use crate::{direct::registry::UpstreamKey, selection::rendezvous_score, time::Millis};

/// Time after the departure of an owner in which its last flows count against the limit: the limit's
/// window of a second, and half of it for packets that are delayed.
const HANDOVER_TIME: Millis = Millis(1_500);
/// Time for which a host that is missing counts as one that may be cut off: the longest cut in which the limit
/// holds.
const KNOWN_TIME: Millis = Millis(60_000);
/// Number of flows of the limit of which one is a slot.
const FLOWS_PER_SLOT: u32 = 2;

/// Whether a host's view of the other hosts can be relied on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ViewState {
    /// This host has just started or resumed, has met no other host or hears none, or is leaving.
    Incomplete,
    /// The view is synchronized with the other hosts.
    #[default]
    Complete,
}

/// Part of the hosts that the live ones are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// More than half of the hosts that were live lately.
    Majority,
    /// Half of them or less.
    Minority,
}

/// Hosts among which the owners of cold upstreams are chosen.
#[derive(Debug, Clone, Default)]
pub struct ColdOwners {
    /// Live hosts, sorted.
    live: Vec<HostId>,
    /// Hosts that are missing, and since when; sorted.
    missing: Vec<(HostId, Millis)>,
    /// When the live hosts became the majority again.
    regained_at: Option<Millis>,
    view: ViewState,
}

impl ColdOwners {
    /// Replaces the live hosts.
    pub fn set_live(&mut self, now: Millis, mut hosts: Vec<HostId>) {
        hosts.sort_unstable();
        hosts.dedup();
        let part = self.part(now);
        let old = std::mem::replace(&mut self.live, hosts);
        let is_live = |it: &HostId| self.live.binary_search(it).is_ok();
        self.missing.retain(|it| !is_live(&it.0) && now.since(it.1) < KNOWN_TIME);
        for host in old.into_iter().filter(|it| !is_live(it)) {
            if let Err(at) = self.missing.binary_search_by_key(&host, |it| it.0) {
                self.missing.insert(at, (host, now));
            }
        }
        if part == Part::Minority && self.part(now) == Part::Majority {
            self.regained_at = Some(now);
        }
    }

    /// Sets whether the live hosts are all.
    pub fn set_view(&mut self, view: ViewState) {
        self.view = view;
    }

    /// Returns the live hosts, sorted.
    pub fn live(&self) -> &[HostId] {
        &self.live
    }

    /// Returns how many flows `host` may open now at a cold upstream in the window of its limit, which is
    /// `limit` over all hosts.
    pub fn budget(&self, now: Millis, host: HostId, upstream: UpstreamKey, limit: u32) -> u32 {
        let changed_lately = |at: Millis| now.since(at) < HANDOVER_TIME;
        let is_live = self.live.binary_search(&host).is_ok();
        match self.part(now) {
            _ if self.view == ViewState::Incomplete || !is_live => 0,
            Part::Minority if self.missing.iter().any(|it| changed_lately(it.1)) => 0,
            Part::Minority => u32::from(self.slots(now, upstream, limit).contains(&host)),
            Part::Majority if self.regained_at.is_some_and(changed_lately) => 0,
            Part::Majority if !self.is_owner(now, host, upstream) => 0,
            Part::Majority if self.missing.is_empty() => limit,
            Part::Majority => {
                let is_missing = |it: &&HostId| self.live.binary_search(it).is_err();
                let slots = self.slots(now, upstream, limit);
                limit - slots.iter().filter(is_missing).count() as u32
            }
        }
    }

    fn is_owner(&self, now: Millis, host: HostId, upstream: UpstreamKey) -> bool {
        let departed = self.missing.iter();
        let departed = departed.filter(|it| it.0 != host && now.since(it.1) < HANDOVER_TIME);
        let candidates = self.live.iter().chain(departed.map(|it| &it.0));
        candidates.max_by_key(|it| score(**it, upstream)) == Some(&host)
    }

    /// Returns the hosts that hold a slot of an upstream's limit.
    fn slots(&self, now: Millis, upstream: UpstreamKey, limit: u32) -> Vec<HostId> {
        let mut ranked: Vec<HostId> = self.live.clone();
        ranked.extend(self.missing_hosts(now));
        ranked.sort_by_key(|it| std::cmp::Reverse(score(*it, upstream)));
        ranked.truncate((limit / FLOWS_PER_SLOT) as usize);
        ranked
    }

    fn part(&self, now: Millis) -> Part {
        let missing = self.missing_hosts(now).count();
        // Without live hosts there is no view yet.
        if self.live.is_empty() || self.live.len() > missing {
            Part::Majority
        } else {
            Part::Minority
        }
    }

    fn missing_hosts(&self, now: Millis) -> impl Iterator<Item = HostId> {
        self.missing.iter().filter(move |it| now.since(it.1) < KNOWN_TIME).map(|it| it.0)
    }
}

fn score(host: HostId, upstream: UpstreamKey) -> u64 {
    rendezvous_score(host.0, upstream.id ^ upstream.started_at)
}
