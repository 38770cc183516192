//! Who keeps which bucket and who is the steward of which upstream, as this host sees it.

use pomelorun_wire::{HostId, UpstreamId, ZoneId};
use smallvec::SmallVec;

use crate::{choice::rendezvous_score, snapshot::Snapshot};

/// Mixed into the score of buckets so that keepers and stewards are spread independently.
const BUCKET_SALT: u64 = 0x6b65_6570_6572;

/// Hosts of a zone that are remembered by rank for each upstream.
const RANKS: usize = 3;

/// The first hosts of a zone by rank for one upstream.
pub(crate) type Ranked = SmallVec<[HostId; RANKS]>;

/// A host that takes part in routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ViewHost {
    /// Which host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Tables derived from the live hosts and the configuration.
#[derive(Debug, Clone, Default)]
pub struct View {
    hosts: Vec<ViewHost>,
    keepers: Vec<HostId>,
    /// The hosts of the upstream's zone by rank, in the order of the snapshot's upstreams.
    stewards: Vec<(UpstreamId, Ranked)>,
}

impl View {
    /// Derives the tables; `hosts` are those that take work, sorted by identifier.
    pub fn new(snapshot: &Snapshot, hosts: Vec<ViewHost>) -> View {
        let keepers = (0..snapshot.buckets).filter_map(|it| keeper(&hosts, it)).collect();
        let stewards =
            snapshot.upstreams.iter().map(|it| (it.id, stewards(&hosts, it.id, it.zone))).collect();
        View { hosts, keepers, stewards }
    }

    /// The hosts that take work, sorted by identifier.
    pub fn hosts(&self) -> &[ViewHost] {
        &self.hosts
    }

    /// The host that keeps a bucket, none where no host is live.
    pub fn keeper(&self, bucket: u32) -> Option<HostId> {
        self.keepers.get(bucket as usize).copied()
    }

    /// The steward of an upstream, none where its zone has no live host.
    pub fn steward(&self, upstream: UpstreamId) -> Option<HostId> {
        self.ranked(upstream).first().copied()
    }

    /// The host that would be the steward after the present one.
    pub fn backup(&self, upstream: UpstreamId) -> Option<HostId> {
        self.ranked(upstream).get(1).copied()
    }

    fn ranked(&self, upstream: UpstreamId) -> &[HostId] {
        match self.stewards.binary_search_by_key(&upstream, |it| it.0) {
            Ok(at) => &self.stewards[at].1,
            Err(_) => &[],
        }
    }
}

fn keeper(hosts: &[ViewHost], bucket: u32) -> Option<HostId> {
    let key = BUCKET_SALT ^ u64::from(bucket);
    hosts.iter().map(|it| it.host).max_by_key(|it| rendezvous_score(it.0, key))
}

/// The first hosts by score for a bucket, the keeper first.
pub(crate) fn bucket_ranking(hosts: &[ViewHost], bucket: u32, most: usize) -> Vec<HostId> {
    let key = BUCKET_SALT ^ u64::from(bucket);
    let mut ranked: Vec<HostId> = hosts.iter().map(|it| it.host).collect();
    ranked.sort_by_key(|it| std::cmp::Reverse(rendezvous_score(it.0, key)));
    ranked.truncate(most);
    ranked
}

/// Score of a host as the steward of an upstream.
pub(crate) fn steward_score(host: HostId, upstream: UpstreamId) -> u64 {
    rendezvous_score(host.0, u64::from(upstream.0))
}

fn stewards(hosts: &[ViewHost], upstream: UpstreamId, zone: ZoneId) -> Ranked {
    let mut ranked: SmallVec<[(u64, HostId); 8]> = hosts
        .iter()
        .filter(|it| it.zone == zone)
        .map(|it| (steward_score(it.host, upstream), it.host))
        .collect();
    if ranked.len() > RANKS {
        ranked.select_nth_unstable_by(RANKS - 1, |a, b| b.cmp(a));
        ranked.truncate(RANKS);
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.iter().map(|it| it.1).collect()
}
