//! Selection of the upstream for a new flow.
//!
//! Many callers keep long flows open on few upstreams, each of which has a short queue. A new flow
//! therefore goes to the upstream with the least load per slot, and avoids upstreams that leave
//! callers without a response.
//!
//! Answers also the load of many hosts that share upstreams of unequal speed, or of which some queue:
//! each host alone sees almost no load, so that comparing its own counts gives all upstreams equal
//! shares. Once a speed differs or a queue is seen, candidates of similar load get flows in
//! proportion to their capacity and the room that is left, by weighted rendezvous hashing. Because
//! shares change gradually, hosts with the same picture do not all choose the same upstream.

use serde::{Deserialize, Serialize};

use crate::{direct::registry::UpstreamIx, selection::rendezvous_score};

/// Score penalty for an upstream in another zone, in waiting requests per slot: a round trip to
/// another zone takes a few milliseconds more, and the path can be cut.
const REMOTE_ZONE_PENALTY: f64 = 0.6;
/// Score penalty for an upstream in another zone that holds an upstream which did not answer the
/// opening packet, in waiting requests per slot. The path to the whole zone may be cut, so almost any
/// load elsewhere is better.
const UNANSWERING_ZONE_PENALTY: f64 = 8.0;
/// Weight of a request that waits for a response.
const WAITING_WEIGHT: f64 = 1.0;
/// Weight of a recently opened flow, which is likely to carry a request soon.
const OPENED_WEIGHT: f64 = 0.5;

/// Requests per slot, counted through this host, below which loads count as equal in a choice by
/// weight.
const LOAD_STEP: f64 = 0.1;
/// Expected time to an answer beyond the mean of its zone, in usual service times and as a share of
/// that mean, from which on an upstream loses flows however idle it looks to this host. By the time
/// that a queue shows in the summaries it may be gone, so that most upstreams must stay in use.
const USEFUL_EXCESS: (f64, f64) = (1.25, 1.0);
/// Salt of the hash that rounds the time beyond the useful one, differently for each flow.
const EXCESS_SALT: u64 = 0x4558_4345;
/// Requests in progress per slot through all hosts at which an upstream has no room left: upstreams
/// hold about five per slot before they refuse requests.
const FULL_LOAD: f64 = 5.0;
/// Minimum share of its weight that an upstream without room keeps. The shared picture is about a
/// second old, and its room may be free by now.
const MIN_ROOM: f64 = 0.05;
/// Maximum room of a candidate, in means of all. An upstream that looks idle beside full ones may
/// be a new one, or may have filled up since.
const MAX_ROOM_SHARE: f64 = 4.0;
/// Difference between the queues of the zones, in requests per slot beyond the zone penalty, at which
/// all flows may leave the zone. The share grows gradually up to it, so that hosts do not all leave at
/// once.
const FULL_SPILL: f64 = 2.0;
/// Salt of the hash that decides which flows may leave the zone.
const SPILL_SALT: u64 = 0x5350_494c;

/// Largest share of the candidates, as a fraction, for which penalties are applied. The others must
/// be able to take the load, and failures at most of the upstreams have a common cause elsewhere.
const MAX_PENALIZED_SHARE: (usize, usize) = (1, 3);

/// Suitability of an upstream for a new flow, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// Responds and is warm.
    Good,
    /// Is cold, and its slow-start limit allows another flow.
    Cold,
    /// Its announcement expired recently, possibly through a fault of the directory.
    Lapsed,
    /// Has left some callers without a response.
    Suspect,
    /// Was already sent an earlier transmission of the opening packet.
    Tried,
    /// Does not respond.
    Unreachable,
}

/// An upstream that is eligible for a new flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Position of the upstream in the registry.
    pub ix: UpstreamIx,
    /// Suitability of the upstream.
    pub choice: Choice,
    /// `true` if the upstream is in this host's zone.
    pub same_zone: bool,
    /// `true` if an upstream of its zone, which is not this host's, did not answer the opening packet.
    pub in_unanswering_zone: bool,
    /// Number of requests that wait for a response.
    pub waiting: f64,
    /// Exponentially decaying number of flows opened there.
    pub recent_opens: f64,
    /// Part of the time that an opening counts for which its flow is load, from 0 to 1.
    pub load_share: f64,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Speed relative to the other upstreams of the service.
    pub speed: f64,
    /// Number of requests in progress through all hosts, if a recent summary tells.
    pub shared_in_progress: Option<f64>,
    /// Score penalty for failed requests, in waiting requests per slot.
    pub penalty: f64,
    /// Decides between candidates of equal score. Differs from flow to flow, so that equal
    /// upstreams share the flows.
    pub tie_break: u64,
}

impl Candidate {
    /// Returns the number of slots, at least one.
    pub(crate) fn slot_count(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    /// Returns the number of slots of an average upstream that do the same work.
    fn capacity(&self) -> f64 {
        self.slot_count() * self.speed
    }

    /// Returns the requests per slot that this host knows of.
    fn load(&self) -> f64 {
        let opened = self.recent_opens * OPENED_WEIGHT * self.load_share;
        (self.waiting * WAITING_WEIGHT + opened) / self.capacity()
    }

    /// Returns a load with the penalties for the zone and for failed requests.
    fn with_penalties(&self, load: f64, zone_penalty: f64) -> f64 {
        load + if self.same_zone { 0.0 } else { zone_penalty }
            + if self.in_unanswering_zone { UNANSWERING_ZONE_PENALTY } else { 0.0 }
            + self.penalty
    }

    /// Returns the load per slot plus the penalties; lower is better.
    pub fn score(&self) -> f64 {
        self.with_penalties(self.load(), REMOTE_ZONE_PENALTY)
    }

    /// Returns the requests in progress through all hosts, at least those through this one.
    fn in_progress(&self) -> f64 {
        self.shared_in_progress.unwrap_or(0.0).max(self.waiting)
    }

    /// Returns `true` if the shared load shows requests that wait for another one.
    fn is_queueing(&self) -> bool {
        self.shared_in_progress.is_some_and(|it| it > self.slot_count())
    }

    /// Returns the requests per slot that wait for another one.
    fn queue(&self) -> f64 {
        (self.in_progress() - self.slot_count()).max(0.0) / self.capacity()
    }

    /// Returns the expected time to the answer of one more request, in usual service times.
    fn expected_time(&self) -> f64 {
        (self.in_progress() + 1.0).max(self.slot_count()) / self.capacity()
    }

    /// Returns the part of its capacity that is left for more requests.
    fn room(&self) -> f64 {
        (1.0 - self.queue() / (FULL_LOAD - 1.0)).max(MIN_ROOM)
    }

    /// Returns the order of candidates by weighted rendezvous hashing, lowest first.
    fn weighted_rank(&self, weight: f64) -> f64 {
        -(-unit(self.tie_break).min(1.0 - f64::EPSILON)).ln_1p() / weight
    }

    /// Returns the part of the expected time beyond the useful one in whole numbers, rounded up for as
    /// many flows as its fraction tells, so that an upstream loses flows gradually.
    fn excess(&self, useful_time: f64) -> f64 {
        let excess = (self.expected_time() - useful_time).max(0.0);
        (excess + unit(rendezvous_score(self.tie_break, EXCESS_SALT))).floor()
    }
}

/// Returns a hash as a number from 0 up to 1.
fn unit(hash: u64) -> f64 {
    hash as f64 / (u64::MAX as f64 + 1.0)
}

/// Returns the mean of a value by capacity, `None` without candidates.
fn mean_by_capacity<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    value: impl Fn(&Candidate) -> f64,
) -> Option<f64> {
    let (sum, capacity) = candidates
        .fold((0.0, 0.0), |it, at| (it.0 + value(at) * at.capacity(), it.1 + at.capacity()));
    (capacity > 0.0).then(|| sum / capacity)
}

/// Chooses the candidate with the best suitability and, among those, the lowest score.
///
/// Penalties are ignored if too many candidates have one, because the fault then lies elsewhere.
pub fn choose(candidates: &[Candidate]) -> Option<Candidate> {
    let penalized = candidates.iter().filter(|it| it.penalty > 0.0).count();
    let apply_penalties =
        penalized * MAX_PENALIZED_SHARE.1 <= candidates.len() * MAX_PENALIZED_SHARE.0;
    let ignored = |it: &Candidate| if apply_penalties { 0.0 } else { it.penalty };
    let best = candidates.iter().map(|it| it.choice).min()?;
    let ranked = || candidates.iter().filter(|it| it.choice == best);
    if ranked().all(|it| it.speed == 1.0 && !it.is_queueing()) {
        let score = |it: &Candidate| it.score() - ignored(it);
        let order = |a: &&Candidate, b: &&Candidate| {
            score(a).total_cmp(&score(b)).then(a.tie_break.cmp(&b.tie_break))
        };
        return ranked().min_by(order).copied();
    }
    let zone_penalty = if may_leave_zone(ranked()) { 0.0 } else { REMOTE_ZONE_PENALTY };
    // Each zone has its own mean, because a flow leaves its zone only by the rule for that.
    let useful_time = [false, true].map(|same_zone| {
        let of_zone = ranked().filter(|it| it.same_zone == same_zone);
        let mean = mean_by_capacity(of_zone, Candidate::expected_time).unwrap_or(0.0);
        mean + USEFUL_EXCESS.0.max(mean * USEFUL_EXCESS.1)
    });
    let mean_room = mean_by_capacity(ranked(), Candidate::room).unwrap_or(1.0);
    let key = |it: &Candidate| {
        let room = (it.room() / mean_room).min(MAX_ROOM_SHARE);
        let load = (it.load() / LOAD_STEP).floor() * LOAD_STEP;
        let excess = it.excess(useful_time[usize::from(it.same_zone)]);
        let cost = it.with_penalties(load + excess, zone_penalty) - ignored(it);
        (cost, it.weighted_rank(it.capacity() * room))
    };
    let keyed = ranked().map(|it| (key(it), it));
    let best = keyed.min_by(|(a, first), (b, second)| {
        a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)).then(first.tie_break.cmp(&second.tie_break))
    });
    best.map(|it| *it.1)
}

/// Returns `true` if a flow is one of those that the zone's queues let leave it.
fn may_leave_zone<'a>(candidates: impl Iterator<Item = &'a Candidate> + Clone) -> bool {
    let mean_queue = |same_zone: bool| {
        let of_zone = candidates.clone().filter(|it| it.same_zone == same_zone);
        mean_by_capacity(of_zone, Candidate::queue)
    };
    let (Some(own), Some(remote)) = (mean_queue(true), mean_queue(false)) else { return false };
    let spill = (own - remote - REMOTE_ZONE_PENALTY) / FULL_SPILL;
    let hash = candidates.clone().fold(SPILL_SALT, |it, at| it ^ at.tie_break);
    (rendezvous_score(hash, SPILL_SALT) as f64) < spill * u64::MAX as f64
}
