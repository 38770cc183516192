//! Which host owns which bucket and who is the steward of which upstream, as this host sees it.

use pomelorun_wire::{HostId, UpstreamId, ZoneId};
use smallvec::SmallVec;

use crate::{selection::rendezvous_score, snapshot::Snapshot};

/// Mixed into the score of buckets so that bucket owners and stewards are spread independently.
const BUCKET_SALT: u64 = 0x6b65_6570_6572;

/// Hosts of a zone that are remembered by rank for each upstream.
const RANKS: usize = 3;

/// The first hosts of a zone by rank for one upstream.
pub(crate) type Ranked = SmallVec<[HostId; RANKS]>;

/// A host that takes part in routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoutingHost {
    /// Which host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Tables derived from the live hosts and the configuration.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    hosts: Vec<RoutingHost>,
    /// The first hosts by rank for each bucket.
    bucket_ranks: Vec<Ranked>,
    /// The hosts of the upstream's zone by rank, in the order of the snapshot's upstreams.
    stewards: Vec<(UpstreamId, Ranked)>,
}

impl RoutingTable {
    /// Derives the tables from those before; only what a changed host ranks for is ranked again.
    pub fn updated(&self, snapshot: &Snapshot, hosts: Vec<RoutingHost>) -> RoutingTable {
        if self.bucket_ranks.len() != snapshot.buckets as usize || self.hosts.is_empty() {
            return RoutingTable::new(snapshot, hosts);
        }
        let is_in = |all: &[RoutingHost], it: &RoutingHost| all.binary_search(it).is_ok();
        let joined: Vec<RoutingHost> =
            hosts.iter().filter(|it| !is_in(&self.hosts, it)).copied().collect();
        let gone: Vec<RoutingHost> =
            self.hosts.iter().filter(|it| !is_in(&hosts, it)).copied().collect();
        let bucket_ranks = (0..snapshot.buckets)
            .zip(&self.bucket_ranks)
            .map(|(bucket, ranked)| {
                let key = BUCKET_SALT ^ u64::from(bucket);
                let score = |it: HostId| rendezvous_score(it.0, key);
                again(ranked, &joined, &gone, score)
                    .unwrap_or_else(|| rank_for_bucket(&hosts, bucket))
            })
            .collect();
        let stewards = snapshot
            .upstreams
            .iter()
            .map(|it| {
                let score = |host: HostId| steward_score(host, it.id);
                let near = |all: &[RoutingHost]| -> SmallVec<[RoutingHost; 4]> {
                    all.iter().filter(|host| host.zone == it.zone).copied().collect()
                };
                let ranked = self
                    .ranked_if_known(it.id)
                    .and_then(|ranked| again(ranked, &near(&joined), &near(&gone), score));
                (it.id, ranked.unwrap_or_else(|| stewards(&hosts, it.id, it.zone)))
            })
            .collect();
        RoutingTable { hosts, bucket_ranks, stewards }
    }

    /// Derives the tables; `hosts` are those that take work, sorted by identifier.
    pub fn new(snapshot: &Snapshot, hosts: Vec<RoutingHost>) -> RoutingTable {
        let bucket_ranks = (0..snapshot.buckets).map(|it| rank_for_bucket(&hosts, it)).collect();
        let stewards =
            snapshot.upstreams.iter().map(|it| (it.id, stewards(&hosts, it.id, it.zone))).collect();
        RoutingTable { hosts, bucket_ranks, stewards }
    }

    /// The hosts that take work, sorted by identifier.
    pub fn hosts(&self) -> &[RoutingHost] {
        &self.hosts
    }

    /// Number of buckets.
    pub(crate) fn buckets(&self) -> usize {
        self.bucket_ranks.len()
    }

    /// The host that owns a bucket, none where no host is live.
    pub fn bucket_owner(&self, bucket: u32) -> Option<HostId> {
        self.bucket_ranks(bucket).first().copied()
    }

    /// The first hosts by rank for a bucket; the first owns it.
    pub fn bucket_ranks(&self, bucket: u32) -> &[HostId] {
        self.bucket_ranks.get(bucket as usize).map_or(&[], |it| it.as_slice())
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
        self.ranked_if_known(upstream).map_or(&[], |it| it.as_slice())
    }

    fn ranked_if_known(&self, upstream: UpstreamId) -> Option<&Ranked> {
        let at = self.stewards.binary_search_by_key(&upstream, |it| it.0).ok()?;
        Some(&self.stewards[at].1)
    }
}

/// Ranks again where that can be done from the ranks before, none where all hosts must be looked at.
fn again(
    ranked: &Ranked,
    joined: &[RoutingHost],
    gone: &[RoutingHost],
    score: impl Fn(HostId) -> u64,
) -> Option<Ranked> {
    if gone.iter().any(|it| ranked.contains(&it.host)) {
        return None;
    }
    let mut ranked = ranked.clone();
    for it in joined {
        let of = score(it.host);
        let at = ranked.iter().position(|&other| (score(other), other) < (of, it.host));
        ranked.insert(at.unwrap_or(ranked.len()), it.host);
        ranked.truncate(RANKS);
    }
    Some(ranked)
}

fn rank_for_bucket(hosts: &[RoutingHost], bucket: u32) -> Ranked {
    let key = BUCKET_SALT ^ u64::from(bucket);
    first_ranks(hosts.iter().map(|it| (rendezvous_score(it.host.0, key), it.host)))
}

/// The first hosts by score for a bucket, the bucket owner first.
pub(crate) fn bucket_ranking(hosts: &[RoutingHost], bucket: u32, most: usize) -> Vec<HostId> {
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

fn stewards(hosts: &[RoutingHost], upstream: UpstreamId, zone: ZoneId) -> Ranked {
    let near = hosts.iter().filter(|it| it.zone == zone);
    first_ranks(near.map(|it| (steward_score(it.host, upstream), it.host)))
}

fn first_ranks(scored: impl Iterator<Item = (u64, HostId)>) -> Ranked {
    let mut first: SmallVec<[(u64, HostId); RANKS + 1]> = SmallVec::new();
    for it in scored {
        let at = first.iter().position(|other| *other < it).unwrap_or(first.len());
        if at < RANKS {
            first.insert(at, it);
            first.truncate(RANKS);
        }
    }
    first.iter().map(|it| it.1).collect()
}
