//! What a host notes of the flows whose packets it forwards.
//!
//! Forwarding needs none of it: a token names the upstream. The notes tell answered from unanswered
//! packets, which shows whether an upstream lives and how much it has to do, and hold the numbers
//! that a reset must carry. Losing them is harmless.

use pomelorun_wire::FlowKey;
use smallvec::SmallVec;

use crate::{direct::registry::UpstreamIx, time::Millis};

/// Upstreams to which copies of one opening packet were sent, the last one last.
pub(crate) type Tried = SmallVec<[UpstreamIx; 3]>;

/// One flow.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Its name.
    pub key: FlowKey,
    /// Upstreams that its opening packet was sent to; the last one is where it lives.
    pub(crate) tried: Tried,
    /// A packet after the opening one was seen.
    pub established: bool,
    /// Last packet.
    pub last_packet: Millis,
    /// Next byte that the caller expects.
    pub ack: u32,
    /// Number of the first byte that waits for an answer.
    pub unanswered_seq: u32,
    /// When the opening packet or the data that waits for an answer was sent on.
    pub unanswered_since: Option<Millis>,
    /// The last request, until its answer is judged.
    pub(crate) unjudged_request: Option<Request>,
    /// A request of it has failed.
    pub(crate) failed: bool,
}

/// A request whose answer is not judged yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Request {
    /// When it was sent on.
    pub(crate) sent_at: Millis,
    /// The first byte of its answer.
    pub(crate) answer_seq: u32,
}

impl Flow {
    /// Where it lives, or where its last opening packet was sent.
    pub fn upstream(&self) -> UpstreamIx {
        self.tried.last().copied().unwrap_or(UpstreamIx(u32::MAX))
    }
}

/// Flows by bucket; each bucket is sorted.
#[derive(Debug)]
pub struct ObservedFlows {
    buckets: Vec<Vec<Flow>>,
    len: usize,
    max_flows: usize,
    /// Next bucket that is looked through for old flows.
    sweep_cursor: usize,
}

/// Flows in a bucket on average before the buckets are doubled.
const MAX_MEAN_BUCKET_LEN: usize = 16;
/// Buckets of an empty table. A start must not touch memory for flows that may never come.
const INITIAL_BUCKETS: usize = 16;

impl ObservedFlows {
    /// Makes an empty table of up to `most` flows.
    pub fn new(max_flows: usize) -> ObservedFlows {
        ObservedFlows {
            buckets: vec![Vec::new(); INITIAL_BUCKETS],
            len: 0,
            max_flows,
            sweep_cursor: 0,
        }
    }

    /// Notes up to `most` flows from now on; more that are noted already stay.
    pub(crate) fn set_max_flows(&mut self, max_flows: usize) {
        self.max_flows = max_flows;
    }

    /// Number of flows.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no flow is noted.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Finds a flow.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut Flow> {
        let bucket = self.bucket_of(key);
        let at = self.buckets[bucket].binary_search_by_key(key, |it| it.key).ok()?;
        Some(&mut self.buckets[bucket][at])
    }

    /// Notes a flow in place of an older one of that name; tells whether there was room.
    pub fn insert(&mut self, flow: Flow) -> bool {
        let full = self.len >= self.max_flows;
        let bucket = self.bucket_of(&flow.key);
        let bucket = &mut self.buckets[bucket];
        match bucket.binary_search_by_key(&flow.key, |it| it.key) {
            Ok(at) => bucket[at] = flow,
            Err(_) if full => return false,
            Err(at) => {
                bucket.insert(at, flow);
                self.len += 1;
                self.grow();
            }
        }
        true
    }

    /// Forgets a flow.
    pub fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        let bucket = self.bucket_of(key);
        let at = self.buckets[bucket].binary_search_by_key(key, |it| it.key).ok()?;
        self.len -= 1;
        Some(self.buckets[bucket].remove(at))
    }

    /// Takes out all flows of an upstream.
    pub fn take_by_upstream(&mut self, ix: UpstreamIx) -> Vec<Flow> {
        let mut taken = Vec::new();
        for bucket in &mut self.buckets {
            taken.extend(bucket.extract_if(.., |it| it.upstream() == ix));
        }
        self.len -= taken.len();
        taken
    }

    /// Looks through some buckets and hands flows without a packet since `before` to `drop`.
    pub fn sweep_idle(&mut self, before: Millis, buckets: usize, mut drop: impl FnMut(Flow)) {
        for _ in 0..buckets.min(self.buckets.len()) {
            self.sweep_cursor = (self.sweep_cursor + 1) % self.buckets.len();
            for flow in self.buckets[self.sweep_cursor].extract_if(.., |it| it.last_packet < before)
            {
                self.len -= 1;
                drop(flow);
            }
        }
    }

    /// Number of buckets.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Doubles the buckets once they are full.
    fn grow(&mut self) {
        if self.len <= self.buckets.len() * MAX_MEAN_BUCKET_LEN {
            return;
        }
        let buckets = vec![Vec::new(); self.buckets.len() * 2];
        let old = std::mem::replace(&mut self.buckets, buckets);
        for flow in old.into_iter().flatten() {
            let bucket = self.bucket_of(&flow.key);
            // Every flow of a new bucket comes from one old bucket, in order.
            self.buckets[bucket].push(flow);
        }
    }

    fn bucket_of(&self, key: &FlowKey) -> usize {
        (key.stable_hash() % self.buckets.len() as u64) as usize
    }
}
