//! Which host may open flows at a cold upstream.
//!
//! The limit on a cold upstream's new flows holds over all hosts, so one host, its owner, counts them. There
//! is no agreement on who that is: each host chooses among the hosts that it knows. A host therefore spends
//! nothing that another one might be spending: not while its view of the hosts may be incomplete, and
//! not within [`HANDOVER_TIME`] of the departure of the owner before it. The upstream gets no new flows
//! meanwhile.

use pomelorun_wire::HostId;

use crate::{direct::registry::UpstreamKey, selection::rendezvous_score, time::Millis};

/// Time after the departure of an owner in which its last flows count against the limit: the limit's
/// window of a second, and half of it for packets that are delayed.
const HANDOVER_TIME: Millis = Millis(1_500);

/// Whether a host's view of the other hosts can be relied on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ViewState {
    /// This host has just started or resumed, has met no other host, or is leaving.
    Incomplete,
    /// The view is synchronized with the other hosts.
    #[default]
    Complete,
}

/// Hosts among which the owners of cold upstreams are chosen.
#[derive(Debug, Clone, Default)]
pub struct ColdOwners {
    /// Live hosts, sorted.
    live: Vec<HostId>,
    /// Hosts that have departed, and when; sorted.
    departed: Vec<(HostId, Millis)>,
    view: ViewState,
}

impl ColdOwners {
    /// Replaces the live hosts.
    pub fn set_live(&mut self, now: Millis, mut hosts: Vec<HostId>) {
        hosts.sort_unstable();
        hosts.dedup();
        let old = std::mem::replace(&mut self.live, hosts);
        let is_live = |it: &HostId| self.live.binary_search(it).is_ok();
        self.departed.retain(|it| !is_live(&it.0) && now.since(it.1) < HANDOVER_TIME);
        for host in old.into_iter().filter(|it| !is_live(it)) {
            if let Err(at) = self.departed.binary_search_by_key(&host, |it| it.0) {
                self.departed.insert(at, (host, now));
            }
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

    /// Returns `true` if `host` may open flows at a cold upstream now.
    pub fn is_owner(&self, now: Millis, host: HostId, upstream: UpstreamKey) -> bool {
        let score = |it: &HostId| rendezvous_score(it.0, upstream.id ^ upstream.started_at);
        let departed = self.departed.iter();
        let departed = departed.filter(|it| it.0 != host && now.since(it.1) < HANDOVER_TIME);
        let candidates = self.live.iter().chain(departed.map(|it| &it.0));
        self.view == ViewState::Complete && candidates.max_by_key(|it| score(it)) == Some(&host)
    }
}
