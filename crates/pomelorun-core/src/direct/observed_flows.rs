//! State of the flows whose packets a host forwards.
//!
//! Forwarding needs no state, because a token identifies the upstream. The state distinguishes
//! answered from unanswered packets, which shows whether an upstream responds and how loaded it is,
//! and holds the sequence numbers that a reset must carry. Losing it does not break flows.
//!
//! A caller may use a port again as soon as a flow is closed, and its packets may have gone through other
//! hosts meanwhile. Addresses and ports therefore only find the state; [`Flow::owner_of`] tells from what
//! a packet carries whether the state is that of its flow.

use pomelorun_wire::FlowKey;
use smallvec::SmallVec;

use crate::{
    direct::{
        registry::UpstreamIx,
        segment::{Segment, SegmentKind},
    },
    time::Millis,
};

/// Transmissions of one opening packet, by its caller and by this host.
#[derive(Debug, Clone)]
pub(crate) struct Attempts {
    /// Upstreams that it was sent to, in order.
    pub(crate) upstreams: SmallVec<[UpstreamIx; 3]>,
    /// When this host sent it to the first of them; `None` if another host did.
    pub(crate) first_sent: Option<Millis>,
}

impl Attempts {
    /// Returns the attempts of a packet that has not been sent yet.
    pub(crate) fn none(now: Millis) -> Attempts {
        Attempts { upstreams: SmallVec::new(), first_sent: Some(now) }
    }
}

/// State of one flow.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Identity of the flow.
    pub key: FlowKey,
    /// Upstreams that the opening packet was sent to; the last one holds the flow.
    pub(crate) attempts: Attempts,
    /// Sequence number of the opening packet; `None` if it went through another host.
    pub(crate) opening_seq: Option<u32>,
    /// `true` once a packet after the opening one was seen.
    pub established: bool,
    /// `true` once the caller has closed its side.
    pub(crate) is_closed: bool,
    /// When the last packet was seen.
    pub last_packet: Millis,
    /// Sequence number of the next byte that the caller expects.
    pub ack: u32,
    /// Sequence number of the first byte without a response.
    pub unanswered_seq: u32,
    /// When the opening packet or the data without a response was forwarded.
    pub unanswered_since: Option<Millis>,
    /// `true` while a request waits that this host may have seen late: the flow was opened through
    /// another host, so its first packet here may be a retransmission.
    pub(crate) seen_late: bool,
    /// `true` while a request waits whose time-out has passed.
    pub(crate) overdue: bool,
    /// The last request, until its response is assessed.
    pub(crate) unassessed_request: Option<Request>,
    /// `true` once a request of the flow has failed.
    pub(crate) failed: bool,
}

/// A request whose response has not been assessed yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Request {
    /// When the request was forwarded.
    pub(crate) sent_at: Millis,
    /// Sequence number of the first byte of the response.
    pub(crate) answer_seq: u32,
}

/// Flow that a packet belongs to, as seen from the state that its addresses and ports find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PacketOwner {
    /// The flow with that state.
    Same,
    /// A later flow, from a port that its caller uses again.
    Later,
    /// An earlier flow from the same port.
    Earlier,
}

/// Maximum time since a flow's last packet for an opening packet to count as a retransmission, and for
/// a packet of an earlier flow to be late.
const RETRANSMIT_WINDOW: Millis = Millis(3_000);
/// Sequence numbers that a caller may have in flight: 16 packets of 1,200 bytes, four times over.
const MAX_IN_FLIGHT: u32 = 76_800;
/// Maximum distance between the sequence numbers of two packets of an open flow, whose other packets
/// may have gone through other hosts.
const MAX_SEQ_DISTANCE: u32 = 1 << 24;

/// Returns `true` if two sequence numbers may be of the same flow, with wraparound.
fn is_near(left: u32, right: u32) -> bool {
    left.wrapping_sub(right).min(right.wrapping_sub(left)) <= MAX_SEQ_DISTANCE
}

impl Flow {
    /// Returns which flow a packet with the addresses and ports of this one belongs to. `ix` is the
    /// upstream that the packet's token names; opening packets have none.
    pub(crate) fn owner_of(
        &self,
        now: Millis,
        seg: &Segment,
        ix: Option<UpstreamIx>,
    ) -> PacketOwner {
        let is_recent = now.since(self.last_packet) < RETRANSMIT_WINDOW;
        let is_same = match (seg.kind, self.established) {
            (SegmentKind::Open, _) => is_recent && self.opening_seq == Some(seg.seq),
            (_, true) => {
                // A token that is unknown here tells nothing about the flow.
                ix.is_none_or(|it| it == self.upstream())
                    && is_near(seg.seq, self.unanswered_seq)
                    && is_near(seg.ack, self.ack)
            }
            (_, false) => {
                self.opening_seq.is_some_and(|it| seg.seq.wrapping_sub(it) <= MAX_IN_FLIGHT)
            }
        };
        match (is_same, self.established || seg.kind == SegmentKind::Open || !is_recent) {
            (true, _) => PacketOwner::Same,
            (false, true) => PacketOwner::Later,
            // Its own flow cannot have got so far since its opening packet.
            (false, false) => PacketOwner::Earlier,
        }
    }

    /// Returns the upstream that holds the flow, or that its opening packet was last sent to.
    pub fn upstream(&self) -> UpstreamIx {
        self.attempts.upstreams.last().copied().unwrap_or(UpstreamIx(u32::MAX))
    }

    /// Returns `true` if the caller has closed the flow and waits for nothing.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_closed && self.unanswered_since.is_none()
    }

    /// Returns when the opening packet was sent to an upstream, if it was the first or the last one.
    pub(crate) fn sent_to(&self, ix: UpstreamIx) -> Option<Millis> {
        if self.upstream() == ix {
            return self.unanswered_since;
        }
        self.attempts.first_sent.filter(|_| self.attempts.upstreams.first() == Some(&ix))
    }
}

/// Bounded hash table of flows; each bucket is sorted by key.
#[derive(Debug)]
pub struct ObservedFlows {
    buckets: Vec<Vec<Flow>>,
    len: usize,
    max_flows: usize,
    /// Bucket that was last searched for idle flows.
    sweep_cursor: usize,
}

/// Mean number of flows per bucket above which the number of buckets is doubled.
const MAX_MEAN_BUCKET_LEN: usize = 16;
/// Number of buckets of an empty table, which must not allocate memory for flows that may never
/// come.
const INITIAL_BUCKETS: usize = 16;

impl ObservedFlows {
    /// Creates an empty table for up to `max_flows` flows.
    pub fn new(max_flows: usize) -> ObservedFlows {
        ObservedFlows {
            buckets: vec![Vec::new(); INITIAL_BUCKETS],
            len: 0,
            max_flows,
            sweep_cursor: 0,
        }
    }

    /// Sets the maximum number of flows. Flows above it that are already in the table stay.
    pub(crate) fn set_max_flows(&mut self, max_flows: usize) {
        self.max_flows = max_flows;
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns `true` if the table holds no flow.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the flow with this key.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut Flow> {
        let bucket = self.bucket_of(key);
        let at = self.buckets[bucket].binary_search_by_key(key, |it| it.key).ok()?;
        Some(&mut self.buckets[bucket][at])
    }

    /// Inserts a flow, replacing one with the same key. Returns `false` if the table is full.
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

    /// Removes a flow.
    pub fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        let bucket = self.bucket_of(key);
        let at = self.buckets[bucket].binary_search_by_key(key, |it| it.key).ok()?;
        self.len -= 1;
        Some(self.buckets[bucket].remove(at))
    }

    /// Removes and returns all flows of an upstream.
    pub fn take_by_upstream(&mut self, ix: UpstreamIx) -> Vec<Flow> {
        let mut taken = Vec::new();
        for bucket in &mut self.buckets {
            taken.extend(bucket.extract_if(.., |it| it.upstream() == ix));
        }
        self.len -= taken.len();
        taken
    }

    /// Removes the flows without a packet since `before`, and closed ones whose last packets cannot be
    /// late any more, from the next `buckets` buckets, and passes them to `drop`.
    pub fn sweep_idle(
        &mut self,
        now: Millis,
        before: Millis,
        buckets: usize,
        mut drop: impl FnMut(Flow),
    ) {
        let is_over = |it: &Flow| {
            let idle = now.since(it.last_packet);
            it.is_finished() && idle >= RETRANSMIT_WINDOW || it.last_packet < before
        };
        for _ in 0..buckets.min(self.buckets.len()) {
            self.sweep_cursor = (self.sweep_cursor + 1) % self.buckets.len();
            for flow in self.buckets[self.sweep_cursor].extract_if(.., |it| is_over(it)) {
                self.len -= 1;
                drop(flow);
            }
        }
    }

    /// Returns the number of buckets.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Doubles the number of buckets once their mean length exceeds [`MAX_MEAN_BUCKET_LEN`].
    fn grow(&mut self) {
        if self.len <= self.buckets.len() * MAX_MEAN_BUCKET_LEN {
            return;
        }
        let buckets = vec![Vec::new(); self.buckets.len() * 2];
        let old = std::mem::replace(&mut self.buckets, buckets);
        for flow in old.into_iter().flatten() {
            let bucket = self.bucket_of(&flow.key);
            // All flows of a new bucket come from one old bucket, in order, so it stays sorted.
            self.buckets[bucket].push(flow);
        }
    }

    fn bucket_of(&self, key: &FlowKey) -> usize {
        (key.stable_hash() % self.buckets.len() as u64) as usize
    }
}
