//! Selection of the upstream for a new flow.
//!
//! Many callers keep long flows open on few upstreams, each of which has a short queue. A new flow
//! therefore goes to the upstream with the least load per slot, and avoids upstreams that leave
//! callers without a response.

use serde::{Deserialize, Serialize};

use crate::direct::registry::UpstreamIx;

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

    /// Returns the load per slot plus the penalties; lower is better.
    pub fn score(&self) -> f64 {
        let zone_penalty = if self.same_zone { 0.0 } else { REMOTE_ZONE_PENALTY };
        let opened = self.recent_opens * OPENED_WEIGHT * self.load_share;
        (self.waiting * WAITING_WEIGHT + opened) / self.slot_count()
            + zone_penalty
            + if self.in_unanswering_zone { UNANSWERING_ZONE_PENALTY } else { 0.0 }
            + self.penalty
    }
}

/// Chooses the candidate with the best suitability and, among those, the lowest score.
///
/// Penalties are ignored if too many candidates have one, because the fault then lies elsewhere.
pub fn choose(candidates: &[Candidate]) -> Option<Candidate> {
    let penalized = candidates.iter().filter(|it| it.penalty > 0.0).count();
    let apply_penalties =
        penalized * MAX_PENALIZED_SHARE.1 <= candidates.len() * MAX_PENALIZED_SHARE.0;
    let score = |it: &Candidate| it.score() - if apply_penalties { 0.0 } else { it.penalty };
    let order = |a: &&Candidate, b: &&Candidate| {
        a.choice
            .cmp(&b.choice)
            .then(score(a).total_cmp(&score(b)))
            .then(a.tie_break.cmp(&b.tie_break))
    };
    candidates.iter().min_by(order).copied()
}
