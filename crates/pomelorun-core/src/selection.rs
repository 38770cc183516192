//! Which upstream a new flow goes to.
//!
//! Rendezvous hashing ranks the upstreams of a pool for a flow. The first one that may take new
//! flows and is not over its share of the load is chosen, so hosts that know the same choose alike
//! and a change of the pool moves few choices.

use pomelorun_wire::{FlowKey, UpstreamId};
use smallvec::SmallVec;

use crate::snapshot::{PoolView, Snapshot};

/// Candidates in order of rank.
pub type Candidates = SmallVec<[UpstreamId; 16]>;

/// Score of a pair in rendezvous hashing; the highest wins.
pub fn rendezvous_score(left: u64, right: u64) -> u64 {
    let mut it = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    it ^ (it >> 31)
}

/// Counts flows by upstream and chooses upstreams for new ones.
#[derive(Debug, Clone, Default)]
pub struct UpstreamSelector {
    /// Flows that this host has placed, sorted by upstream.
    placed: Vec<(UpstreamId, u32)>,
}

impl UpstreamSelector {
    /// Chooses an upstream for a new flow among those that `usable` admits.
    ///
    /// `bound_percent` bounds the share of one upstream, percent of the mean.
    pub fn select(
        &self,
        snapshot: &Snapshot,
        pool: &PoolView,
        flow: &FlowKey,
        bound_percent: u32,
        usable: &dyn Fn(usize) -> bool,
    ) -> Option<UpstreamId> {
        let hash = flow.stable_hash();
        let mut ranked: SmallVec<[(u64, usize); 32]> = SmallVec::new();
        let mut total = 0u64;
        for &at in pool.upstreams.iter().filter(|&&at| usable(at)) {
            let id = snapshot.upstreams[at].id;
            ranked.push((rendezvous_score(hash, u64::from(id.0)), at));
            total += u64::from(self.flow_count(id));
        }
        let mean_cap = (total + 1) * u64::from(bound_percent);
        let count = ranked.len() as u64;
        let fits = |at: usize| {
            let placed = u64::from(self.flow_count(snapshot.upstreams[at].id));
            placed * 100 * count <= mean_cap
        };
        let best = ranked.iter().filter(|it| fits(it.1)).max();
        best.or_else(|| ranked.iter().max()).map(|it| snapshot.upstreams[it.1].id)
    }

    /// Flows of this upstream that were placed by this host and still live.
    pub fn flow_count(&self, id: UpstreamId) -> u32 {
        self.placed.binary_search_by_key(&id, |it| it.0).map_or(0, |at| self.placed[at].1)
    }

    /// Counts a flow in.
    pub fn add_flow(&mut self, id: UpstreamId) {
        match self.placed.binary_search_by_key(&id, |it| it.0) {
            Ok(at) => self.placed[at].1 += 1,
            Err(at) => self.placed.insert(at, (id, 1)),
        }
    }

    /// Counts a flow out.
    pub fn remove_flow(&mut self, id: UpstreamId) {
        if let Ok(at) = self.placed.binary_search_by_key(&id, |it| it.0) {
            self.placed[at].1 = self.placed[at].1.saturating_sub(1);
        }
    }
}

/// Lists the upstreams at which a flow may live, by rank under each remembered configuration,
/// newest first.
pub(crate) fn candidates<'a>(
    history: impl Iterator<Item = &'a Snapshot>,
    flow: &FlowKey,
    most: usize,
) -> Candidates {
    let hash = flow.stable_hash();
    let ranked: SmallVec<[Ranking; 8]> =
        history.filter_map(|it| ranking(it, flow, hash, most)).collect();
    let mut found = Candidates::new();
    for rank in 0..most {
        for id in ranked.iter().filter_map(|it| it.get(rank)).map(|it| it.1) {
            if found.len() == most {
                return found;
            }
            if !found.contains(&id) {
                found.push(id);
            }
        }
    }
    found
}

/// The first upstreams of one configuration by rank, the highest score first.
type Ranking = SmallVec<[(u64, UpstreamId); 32]>;

fn ranking(snapshot: &Snapshot, flow: &FlowKey, hash: u64, most: usize) -> Option<Ranking> {
    let service = snapshot.service(flow.service)?;
    let mut ranked: Ranking = snapshot.pools[service.pool]
        .upstreams
        .iter()
        .map(|&at| &snapshot.upstreams[at])
        .filter(|it| !snapshot.is_zone_withdrawn(it.zone))
        .map(|it| (rendezvous_score(hash, u64::from(it.id.0)), it.id))
        .collect();
    if ranked.len() > most {
        ranked.select_nth_unstable_by(most, |a, b| b.cmp(a));
        ranked.truncate(most);
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    Some(ranked)
}
