//! Where flows live.
//!
//! One sorted vector a bucket: lookups are a binary search, insertions move a few kilobytes.

use pomelorun_wire::{FlowKey, UpstreamId};

use crate::time::Millis;

#[derive(Debug, Clone, Copy)]
struct Entry {
    flow: FlowKey,
    upstream: UpstreamId,
    /// Last packet, whole seconds of the core's clock; the highest bit is [`CONFIRMED`].
    seen: u32,
}

/// Set once the upstream has answered for the flow here.
const CONFIRMED: u32 = 1 << 31;

impl Entry {
    fn seen_s(&self) -> u32 {
        self.seen & !CONFIRMED
    }
}

/// Map from flows to upstreams.
#[derive(Debug, Clone)]
pub struct FlowTable {
    buckets: Vec<Vec<Entry>>,
    len: usize,
}

impl FlowTable {
    /// Creates an empty table that spreads flows over this many buckets.
    pub fn new(buckets: u32) -> FlowTable {
        FlowTable { buckets: vec![Vec::new(); buckets.max(1) as usize], len: 0 }
    }

    /// Number of flows.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no flow is known.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes held by the entries, spare capacity included.
    pub fn bytes(&self) -> usize {
        let entries: usize = self.buckets.iter().map(Vec::capacity).sum();
        entries * size_of::<Entry>() + self.buckets.capacity() * size_of::<Vec<Entry>>()
    }

    /// Bucket of a flow.
    pub fn bucket_of(&self, flow: &FlowKey) -> u32 {
        (flow.stable_hash() % self.buckets.len() as u64) as u32
    }

    /// Where the flow lives, if known; notes that a packet of it was seen.
    pub fn touch(&mut self, now: Millis, flow: &FlowKey) -> Option<UpstreamId> {
        let bucket = self.bucket_mut(flow);
        let at = bucket.binary_search_by_key(flow, |it| it.flow).ok()?;
        bucket[at].seen = bucket[at].seen & CONFIRMED | seconds(now);
        Some(bucket[at].upstream)
    }

    /// Where the flow lives, if known.
    pub fn get(&self, flow: &FlowKey) -> Option<UpstreamId> {
        let bucket = &self.buckets[self.bucket_of(flow) as usize];
        let at = bucket.binary_search_by_key(flow, |it| it.flow).ok()?;
        Some(bucket[at].upstream)
    }

    /// Notes where the flow lives; returns where it lived before.
    pub fn insert(&mut self, now: Millis, flow: &FlowKey, to: UpstreamId) -> Option<UpstreamId> {
        let entry = Entry { flow: *flow, upstream: to, seen: seconds(now) };
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

    /// Tells whether the upstream has answered for the flow here.
    pub fn is_confirmed(&self, flow: &FlowKey) -> bool {
        let bucket = &self.buckets[self.bucket_of(flow) as usize];
        let at = bucket.binary_search_by_key(flow, |it| it.flow);
        at.is_ok_and(|at| bucket[at].seen & CONFIRMED != 0)
    }

    /// Notes that the upstream has answered for the flow here.
    pub fn confirm(&mut self, flow: &FlowKey) {
        let bucket = self.bucket_mut(flow);
        if let Ok(at) = bucket.binary_search_by_key(flow, |it| it.flow) {
            bucket[at].seen |= CONFIRMED;
        }
    }

    /// Forgets a flow; returns where it lived.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<UpstreamId> {
        let bucket = self.bucket_mut(flow);
        let at = bucket.binary_search_by_key(flow, |it| it.flow).ok()?;
        let entry = bucket.remove(at);
        self.len -= 1;
        Some(entry.upstream)
    }

    /// Keeps only the flows for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&FlowKey, UpstreamId, u32) -> bool) {
        let mut len = 0;
        for bucket in &mut self.buckets {
            bucket.retain(|it| keep(&it.flow, it.upstream, it.seen_s()));
            len += bucket.len();
        }
        self.len = len;
    }

    /// Visits all flows in order of bucket.
    pub fn iter(&self) -> impl Iterator<Item = (FlowKey, UpstreamId)> + '_ {
        self.buckets.iter().flatten().map(|it| (it.flow, it.upstream))
    }

    /// Visits the flows of one bucket.
    pub fn iter_bucket(&self, bucket: u32) -> impl Iterator<Item = (FlowKey, UpstreamId)> + '_ {
        self.buckets[bucket as usize].iter().map(|it| (it.flow, it.upstream))
    }

    /// Spreads all flows over another number of buckets.
    pub fn rebucket(&mut self, buckets: u32) {
        if buckets as usize == self.buckets.len() {
            return;
        }
        let old = std::mem::replace(self, FlowTable::new(buckets));
        for entry in old.buckets.into_iter().flatten() {
            let at = Millis(u64::from(entry.seen_s()) * 1_000);
            self.insert(at, &entry.flow, entry.upstream);
            if entry.seen & CONFIRMED != 0 {
                self.confirm(&entry.flow);
            }
        }
    }

    fn bucket_mut(&mut self, flow: &FlowKey) -> &mut Vec<Entry> {
        let bucket = self.bucket_of(flow) as usize;
        &mut self.buckets[bucket]
    }
}

fn seconds(now: Millis) -> u32 {
    u32::try_from(now.0 / 1_000).unwrap_or(u32::MAX) & !CONFIRMED
}
