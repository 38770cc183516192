//! Table of the flows that a host knows and their upstreams.
//!
//! Each hash bucket is a sorted vector: a lookup is a binary search, and an insertion moves a few
//! kilobytes.

use pomelorun_wire::{FlowKey, UpstreamId};

use crate::time::Millis;

#[derive(Debug, Clone, Copy)]
struct Entry {
    flow: FlowKey,
    upstream: UpstreamId,
    /// Time of the last packet, whole seconds of the core's clock, and the flag [`CONFIRMED`].
    last_seen: u32,
}

/// Flag of a confirmed flow: the upstream responded through this host, other than with a reset.
const CONFIRMED: u32 = 1 << 31;

impl Entry {
    fn last_seen_s(&self) -> u32 {
        self.last_seen & !CONFIRMED
    }
}

/// Map from flows to the upstreams that serve them.
#[derive(Debug, Clone)]
pub struct FlowTable {
    buckets: Vec<Vec<Entry>>,
    len: usize,
}

impl FlowTable {
    /// Creates an empty table with this many buckets, at least one.
    pub fn new(buckets: u32) -> FlowTable {
        FlowTable { buckets: vec![Vec::new(); buckets.max(1) as usize], len: 0 }
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns `true` if the table has no flows.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the memory used by the table in bytes, spare capacity included.
    pub fn bytes(&self) -> usize {
        let entries: usize = self.buckets.iter().map(Vec::capacity).sum();
        entries * size_of::<Entry>() + self.buckets.capacity() * size_of::<Vec<Entry>>()
    }

    /// Returns the bucket of a flow.
    pub fn bucket_of(&self, flow: &FlowKey) -> u32 {
        (flow.stable_hash() % self.buckets.len() as u64) as u32
    }

    /// Returns the upstream of a flow and records that a packet of the flow was seen at `now`.
    pub fn touch(&mut self, now: Millis, flow: &FlowKey) -> Option<UpstreamId> {
        let bucket = self.bucket_mut(flow);
        let at = bucket.binary_search_by_key(flow, |it| it.flow).ok()?;
        bucket[at].last_seen = bucket[at].last_seen & CONFIRMED | whole_seconds(now);
        Some(bucket[at].upstream)
    }

    /// Returns the upstream of a flow.
    pub fn get(&self, flow: &FlowKey) -> Option<UpstreamId> {
        let bucket = &self.buckets[self.bucket_of(flow) as usize];
        let at = bucket.binary_search_by_key(flow, |it| it.flow).ok()?;
        Some(bucket[at].upstream)
    }

    /// Sets the upstream of a flow and returns the previous one.
    ///
    /// The flow is unconfirmed afterwards.
    pub fn insert(
        &mut self,
        now: Millis,
        flow: &FlowKey,
        upstream: UpstreamId,
    ) -> Option<UpstreamId> {
        let entry = Entry { flow: *flow, upstream, last_seen: whole_seconds(now) };
        let bucket = self.bucket_mut(flow);
        match bucket.binary_search_by_key(flow, |it| it.flow) {
            Ok(at) => Some(std::mem::replace(&mut bucket[at], entry).upstream),
            Err(at) => {
                bucket.insert(at, entry);
                self.len += 1;
                None
            }
        }
    }

    /// Returns `true` if the upstream confirmed the flow by a response through this host.
    pub fn is_confirmed(&self, flow: &FlowKey) -> bool {
        let bucket = &self.buckets[self.bucket_of(flow) as usize];
        let at = bucket.binary_search_by_key(flow, |it| it.flow);
        at.is_ok_and(|at| bucket[at].last_seen & CONFIRMED != 0)
    }

    /// Records that the upstream confirmed the flow by a response through this host.
    pub fn confirm(&mut self, flow: &FlowKey) {
        let bucket = self.bucket_mut(flow);
        if let Ok(at) = bucket.binary_search_by_key(flow, |it| it.flow) {
            bucket[at].last_seen |= CONFIRMED;
        }
    }

    /// Removes a flow and returns its upstream.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<UpstreamId> {
        let bucket = self.bucket_mut(flow);
        let at = bucket.binary_search_by_key(flow, |it| it.flow).ok()?;
        let entry = bucket.remove(at);
        self.len -= 1;
        Some(entry.upstream)
    }

    /// Retains only the flows for which `keep` returns `true`.
    ///
    /// `keep` gets the flow, its upstream and the time of its last packet in seconds.
    pub fn retain(&mut self, mut keep: impl FnMut(&FlowKey, UpstreamId, u32) -> bool) {
        let mut len = 0;
        for bucket in &mut self.buckets {
            bucket.retain(|it| keep(&it.flow, it.upstream, it.last_seen_s()));
            len += bucket.len();
        }
        self.len = len;
    }

    /// Iterates over all flows and their upstreams, bucket by bucket.
    pub fn iter(&self) -> impl Iterator<Item = (FlowKey, UpstreamId)> + '_ {
        self.buckets.iter().flatten().map(|it| (it.flow, it.upstream))
    }

    /// Iterates over the flows of one bucket and their upstreams.
    pub fn iter_bucket(&self, bucket: u32) -> impl Iterator<Item = (FlowKey, UpstreamId)> + '_ {
        self.buckets[bucket as usize].iter().map(|it| (it.flow, it.upstream))
    }

    /// Redistributes all flows over another number of buckets.
    pub fn rebucket(&mut self, buckets: u32) {
        if buckets as usize == self.buckets.len() {
            return;
        }
        let old = std::mem::replace(self, FlowTable::new(buckets));
        for entry in old.buckets.into_iter().flatten() {
            let at = Millis(u64::from(entry.last_seen_s()) * 1_000);
            self.insert(at, &entry.flow, entry.upstream);
            if entry.last_seen & CONFIRMED != 0 {
                self.confirm(&entry.flow);
            }
        }
    }

    fn bucket_mut(&mut self, flow: &FlowKey) -> &mut Vec<Entry> {
        let bucket = self.bucket_of(flow) as usize;
        &mut self.buckets[bucket]
    }
}

fn whole_seconds(now: Millis) -> u32 {
    u32::try_from(now.0 / 1_000).unwrap_or(u32::MAX) & !CONFIRMED
}
