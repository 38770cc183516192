//! Selection of an upstream for a new flow.
//!
//! Rendezvous hashing with bounded load: the upstreams of a pool are ranked for a flow, and the
//! first one that accepts new flows and is below its load bound is selected. Hosts with the same
//! knowledge select the same upstream, and a change of the pool changes few selections.

use pomelorun_wire::{FlowKey, UpstreamId};
use smallvec::SmallVec;

use crate::snapshot::{PoolView, Snapshot};

/// Upstreams that may serve a flow, by rank.
pub type Candidates = SmallVec<[UpstreamId; 16]>;

/// Returns the score of a pair in rendezvous hashing.
///
/// The pair with the highest score wins. The score mixes both values with the finalizer of
/// SplitMix64, so that pairs with similar values have unrelated scores.
pub fn rendezvous_score(left: u64, right: u64) -> u64 {
    let mut it = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    it ^ (it >> 31)
}

/// Selects upstreams for new flows and counts the flows of each upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamSelector {
    /// Number of flows by upstream that this host knows, sorted by upstream.
    flow_counts: Vec<(UpstreamId, u32)>,
}

impl UpstreamSelector {
    /// Selects an upstream of a pool for a new flow.
    ///
    /// `is_eligible` says whether the upstream at an index of [`Snapshot::upstreams`] accepts new
    /// flows. `load_bound_percent` is the maximum number of flows of one upstream, in percent of
    /// the mean of the eligible upstreams. If all eligible upstreams are above this bound,
    /// the one with the highest score is selected. Returns `None` if no upstream is eligible.
    pub fn select(
        &self,
        snapshot: &Snapshot,
        pool: &PoolView,
        flow: &FlowKey,
        load_bound_percent: u32,
        is_eligible: &dyn Fn(usize) -> bool,
    ) -> Option<UpstreamId> {
        let hash = flow.stable_hash();
        let mut ranked: SmallVec<[(u64, usize); 32]> = SmallVec::new();
        let mut total = 0u64;
        for &at in pool.upstreams.iter().filter(|&&at| is_eligible(at)) {
            let id = snapshot.upstreams[at].id;
            ranked.push((rendezvous_score(hash, u64::from(id.0)), at));
            total += u64::from(self.flow_count(id));
        }
        let bound = (total + 1) * u64::from(load_bound_percent);
        let count = ranked.len() as u64;
        let fits = |at: usize| {
            let flows = u64::from(self.flow_count(snapshot.upstreams[at].id));
            flows * 100 * count <= bound
        };
        let best = ranked.iter().filter(|it| fits(it.1)).max();
        best.or_else(|| ranked.iter().max()).map(|it| snapshot.upstreams[it.1].id)
    }

    /// Returns the number of open flows of an upstream that this host knows.
    pub fn flow_count(&self, id: UpstreamId) -> u32 {
        self.flow_counts.binary_search_by_key(&id, |it| it.0).map_or(0, |at| self.flow_counts[at].1)
    }

    /// Counts a flow of an upstream.
    pub fn add_flow(&mut self, id: UpstreamId) {
        match self.flow_counts.binary_search_by_key(&id, |it| it.0) {
            Ok(at) => self.flow_counts[at].1 += 1,
            Err(at) => self.flow_counts.insert(at, (id, 1)),
        }
    }

    /// Removes an ended flow from the count of its upstream.
    pub fn remove_flow(&mut self, id: UpstreamId) {
        if let Ok(at) = self.flow_counts.binary_search_by_key(&id, |it| it.0) {
            self.flow_counts[at].1 = self.flow_counts[at].1.saturating_sub(1);
        }
    }
}

/// Returns the upstreams that may serve a flow, at most `max`.
///
/// `history` yields the remembered revisions, newest first. The upstreams are sorted by their best
/// rank in any remembered revision; at the same rank, the newer revision comes first.
pub(crate) fn candidates<'a>(
    history: impl Iterator<Item = &'a Snapshot>,
    flow: &FlowKey,
    max: usize,
) -> Candidates {
    let hash = flow.stable_hash();
    let ranked: SmallVec<[Ranking; 8]> =
        history.filter_map(|it| ranking(it, flow, hash, max)).collect();
    let mut found = Candidates::new();
    for rank in 0..max {
        for id in ranked.iter().filter_map(|it| it.get(rank)).map(|it| it.1) {
            if found.len() == max {
                return found;
            }
            if !found.contains(&id) {
                found.push(id);
            }
        }
    }
    found
}

/// First upstreams of a pool by rank for one flow, the highest score first.
type Ranking = SmallVec<[(u64, UpstreamId); 32]>;

fn ranking(snapshot: &Snapshot, flow: &FlowKey, hash: u64, max: usize) -> Option<Ranking> {
    let service = snapshot.service(flow.service)?;
    let mut ranked: Ranking = snapshot.pools[service.pool]
        .upstreams
        .iter()
        .map(|&at| &snapshot.upstreams[at])
        .filter(|it| !snapshot.is_zone_withdrawn(it.zone))
        .map(|it| (rendezvous_score(hash, u64::from(it.id.0)), it.id))
        .collect();
    if ranked.len() > max {
        ranked.select_nth_unstable_by(max, |a, b| b.cmp(a));
        ranked.truncate(max);
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    Some(ranked)
}
