//! Which upstream a new flow goes to.
//!
//! Answers the load of many callers with long flows on few upstreams with a small queue each: a new
//! flow goes where least is waiting, and only where nobody waits in vain.

use serde::{Deserialize, Serialize};

use crate::direct::registry::UpstreamIx;

/// Load that another zone's upstream must have less of to be chosen, in waiting requests a slot. The
/// way there and back costs a few milliseconds and can be cut.
const OTHER_ZONE: f64 = 0.6;
/// Weight of a request that waits against a flow opened just now, which will bring one.
const WAITING: f64 = 1.0;
/// Weight of a flow opened just now.
const OPENED: f64 = 0.5;

/// Share of the candidates, as a fraction, that may bear a penalty: the others must be able to take
/// over, and a fault of all of them has another cause.
const PENALISED_MOST: (usize, usize) = (1, 3);

/// How well an upstream can take a new flow, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// It answers and is warm.
    Good,
    /// It is cold and has room in its budget.
    Cold,
    /// It is no longer announced for a moment, which may be the directory's fault.
    Lapsed,
    /// Some callers wait for it in vain.
    Suspect,
    /// A copy of the opening packet went there already.
    Tried,
    /// It does not answer.
    Unreachable,
}

/// An upstream that may take a new flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Which one.
    pub ix: UpstreamIx,
    /// How well.
    pub choice: Choice,
    /// It is in this host's zone.
    pub same_zone: bool,
    /// Requests that wait there.
    pub waiting: f64,
    /// Flows opened there, the older ones counted less.
    pub recent_opens: f64,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Load that it seems to have on top since it fails requests, in waiting requests a slot.
    pub penalty: f64,
    /// Breaks ties; differs from host to host, so that hosts do not all choose alike.
    pub tie_break: u64,
}

impl Candidate {
    /// What is waiting for one slot.
    pub fn score(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let zone = if self.same_zone { 0.0 } else { OTHER_ZONE };
        (self.waiting * WAITING + self.recent_opens * OPENED) / slots + zone + self.penalty
    }
}

/// Chooses among candidates: the best kind first, then the least waiting. Penalties of more than a
/// few are not the upstreams' own fault and do not count.
pub fn choose(candidates: &[Candidate]) -> Option<Candidate> {
    let penalised = candidates.iter().filter(|it| it.penalty > 0.0).count();
    let counts = penalised * PENALISED_MOST.1 <= candidates.len() * PENALISED_MOST.0;
    let score = |it: &Candidate| it.score() - if counts { 0.0 } else { it.penalty };
    let order = |a: &&Candidate, b: &&Candidate| {
        a.choice
            .cmp(&b.choice)
            .then(score(a).total_cmp(&score(b)))
            .then(a.tie_break.cmp(&b.tie_break))
    };
    candidates.iter().min_by(order).copied()
}
