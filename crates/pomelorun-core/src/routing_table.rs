//! Table of the bucket owners and of the primaries of upstreams.
//!
//! A host derives it from the hosts that it believes live and from the active revision. Both roles
//! are assigned by rendezvous hashing, so hosts with the same membership view have the same table.

use pomelorun_wire::{HostId, UpstreamId, ZoneId};
use smallvec::SmallVec;

use crate::{selection::rendezvous_score, snapshot::Snapshot};

/// Makes the ranking of hosts for buckets independent of that for upstreams.
const BUCKET_SALT: u64 = 0x6b65_6570_6572;

/// Number of hosts that are ranked for each bucket and each upstream.
const MAX_RANKS: usize = 3;

/// First hosts by rank for one bucket or one upstream.
pub(crate) type Ranked = SmallVec<[HostId; MAX_RANKS]>;

/// Host that accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoutingHost {
    /// Identifier.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
}

/// Bucket owners and primaries, derived from the live hosts and the active revision.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    hosts: Vec<RoutingHost>,
    /// First hosts by rank for each bucket.
    bucket_ranks: Vec<Ranked>,
    /// First hosts of the upstream's zone by rank for each upstream, sorted by upstream.
    primaries: Vec<(UpstreamId, Ranked)>,
}

impl RoutingTable {
    /// Derives the table for a changed set of hosts or a new revision from this table.
    ///
    /// Ranks all hosts again only for upstreams that are new, for buckets if their number changed,
    /// and where a removed host was among the first ranks.
    pub fn updated(&self, snapshot: &Snapshot, hosts: Vec<RoutingHost>) -> RoutingTable {
        if self.bucket_ranks.len() != snapshot.buckets as usize || self.hosts.is_empty() {
            return RoutingTable::new(snapshot, hosts);
        }
        let is_in = |all: &[RoutingHost], it: &RoutingHost| all.binary_search(it).is_ok();
        let joined: Vec<RoutingHost> =
            hosts.iter().filter(|it| !is_in(&self.hosts, it)).copied().collect();
        let removed: Vec<RoutingHost> =
            self.hosts.iter().filter(|it| !is_in(&hosts, it)).copied().collect();
        let bucket_ranks = (0..snapshot.buckets)
            .zip(&self.bucket_ranks)
            .map(|(bucket, ranked)| {
                let key = BUCKET_SALT ^ u64::from(bucket);
                let score = |it: HostId| rendezvous_score(it.0, key);
                update_ranks(ranked, &joined, &removed, score)
                    .unwrap_or_else(|| rank_for_bucket(&hosts, bucket))
            })
            .collect();
        let primaries = snapshot
            .upstreams
            .iter()
            .map(|it| {
                let score = |host: HostId| primary_score(host, it.id);
                let in_zone = |all: &[RoutingHost]| -> SmallVec<[RoutingHost; 4]> {
                    all.iter().filter(|host| host.zone == it.zone).copied().collect()
                };
                let ranked = self.ranked_if_known(it.id).and_then(|ranked| {
                    update_ranks(ranked, &in_zone(&joined), &in_zone(&removed), score)
                });
                (it.id, ranked.unwrap_or_else(|| rank_for_upstream(&hosts, it.id, it.zone)))
            })
            .collect();
        RoutingTable { hosts, bucket_ranks, primaries }
    }

    /// Derives the table; `hosts` are the hosts that accept work, sorted by identifier.
    pub fn new(snapshot: &Snapshot, hosts: Vec<RoutingHost>) -> RoutingTable {
        let bucket_ranks = (0..snapshot.buckets).map(|it| rank_for_bucket(&hosts, it)).collect();
        let primaries = snapshot
            .upstreams
            .iter()
            .map(|it| (it.id, rank_for_upstream(&hosts, it.id, it.zone)))
            .collect();
        RoutingTable { hosts, bucket_ranks, primaries }
    }

    /// Returns the hosts that accept work, sorted by identifier.
    pub fn hosts(&self) -> &[RoutingHost] {
        &self.hosts
    }

    /// Returns the number of buckets.
    pub(crate) fn buckets(&self) -> usize {
        self.bucket_ranks.len()
    }

    /// Returns the owner of a bucket, `None` if no host is live.
    pub fn bucket_owner(&self, bucket: u32) -> Option<HostId> {
        self.bucket_ranks(bucket).first().copied()
    }

    /// Returns the first hosts by rank for a bucket; the first one owns it.
    pub fn bucket_ranks(&self, bucket: u32) -> &[HostId] {
        self.bucket_ranks.get(bucket as usize).map_or(&[], |it| it.as_slice())
    }

    /// Returns the primary of an upstream, `None` if its zone has no live host.
    pub fn primary(&self, upstream: UpstreamId) -> Option<HostId> {
        self.ranked(upstream).first().copied()
    }

    /// Returns the backup of an upstream: the host that takes over if the primary fails.
    pub fn backup(&self, upstream: UpstreamId) -> Option<HostId> {
        self.ranked(upstream).get(1).copied()
    }

    fn ranked(&self, upstream: UpstreamId) -> &[HostId] {
        self.ranked_if_known(upstream).map_or(&[], |it| it.as_slice())
    }

    fn ranked_if_known(&self, upstream: UpstreamId) -> Option<&Ranked> {
        let at = self.primaries.binary_search_by_key(&upstream, |it| it.0).ok()?;
        Some(&self.primaries[at].1)
    }
}

/// Returns the ranks after hosts joined or were removed.
///
/// Returns `None` if a ranked host was removed: the host that moves up is not among the ranks, so
/// all hosts must be ranked again.
fn update_ranks(
    ranked: &Ranked,
    joined: &[RoutingHost],
    removed: &[RoutingHost],
    score: impl Fn(HostId) -> u64,
) -> Option<Ranked> {
    if removed.iter().any(|it| ranked.contains(&it.host)) {
        return None;
    }
    let mut ranked = ranked.clone();
    for it in joined {
        let joined_score = score(it.host);
        let at = ranked.iter().position(|&other| (score(other), other) < (joined_score, it.host));
        ranked.insert(at.unwrap_or(ranked.len()), it.host);
        ranked.truncate(MAX_RANKS);
    }
    Some(ranked)
}

fn rank_for_bucket(hosts: &[RoutingHost], bucket: u32) -> Ranked {
    let key = BUCKET_SALT ^ u64::from(bucket);
    highest_ranked(hosts.iter().map(|it| (rendezvous_score(it.host.0, key), it.host)))
}

/// Returns at most `max` hosts by rank for a bucket, the bucket owner first.
pub(crate) fn bucket_ranking(hosts: &[RoutingHost], bucket: u32, max: usize) -> Vec<HostId> {
    let key = BUCKET_SALT ^ u64::from(bucket);
    let mut ranked: Vec<HostId> = hosts.iter().map(|it| it.host).collect();
    ranked.sort_by_key(|it| std::cmp::Reverse(rendezvous_score(it.0, key)));
    ranked.truncate(max);
    ranked
}

/// Returns the rendezvous score of a host for an upstream.
///
/// The host of the zone with the highest score is the primary.
pub(crate) fn primary_score(host: HostId, upstream: UpstreamId) -> u64 {
    rendezvous_score(host.0, u64::from(upstream.0))
}

fn rank_for_upstream(hosts: &[RoutingHost], upstream: UpstreamId, zone: ZoneId) -> Ranked {
    let in_zone = hosts.iter().filter(|it| it.zone == zone);
    highest_ranked(in_zone.map(|it| (primary_score(it.host, upstream), it.host)))
}

fn highest_ranked(scored: impl Iterator<Item = (u64, HostId)>) -> Ranked {
    let mut first: SmallVec<[(u64, HostId); MAX_RANKS + 1]> = SmallVec::new();
    for it in scored {
        let at = first.iter().position(|other| *other < it).unwrap_or(first.len());
        if at < MAX_RANKS {
            first.insert(at, it);
            first.truncate(MAX_RANKS);
        }
    }
    first.iter().map(|it| it.1).collect()
}
