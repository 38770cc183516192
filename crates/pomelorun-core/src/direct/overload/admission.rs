//! Rate of less urgent openings while upstreams have too little room for them.
//!
//! Answers callers that send each rejected request again on a new flow: these openings would wait
//! in a full queue only to be rejected there. The picture of the room is up to a second old, while a
//! queue fills in a tenth of that, so the rate follows the room in proportion and not by leaps.

use crate::time::Millis;

/// Free part of the room that the rate is controlled to: some is free, so that a few more requests do
/// not fill queues, and slots do not idle.
const FREE_SHARE_GOAL: f64 = 0.1;
/// Change of the logarithm of the rate per second, while the free part is none or twice the goal.
const CHANGE_PER_S: f64 = 0.25;
/// Bounds of the rate relative to the capacity: from the least one it can grow again, and the largest
/// one fills no queue before the next picture.
const RATE_BOUNDS: (f64, f64) = (1.0 / 16.0, 1.125);
/// Free part of the room above which one host may admit more than its share.
const MUCH_FREE_SHARE: f64 = 0.3;
/// Openings that may come at once, in seconds of the rate.
const BURST_S: f64 = 0.2;
/// One of so many openings is admitted however little room there is, so that no caller starves.
const ALWAYS_ADMITTED: u64 = 32;

/// What one host may admit, at most, by the room of the upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RateInput {
    /// Free part of the room.
    pub(crate) free_share: f64,
    /// Requests per second that the upstreams can serve.
    pub(crate) capacity_per_s: f64,
    /// Number of hosts that share the room.
    pub(crate) hosts: f64,
}

/// Limit on the rate of openings.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OpeningRate {
    /// Rate that has been found to leave enough room, per second.
    sustained: f64,
    /// Rate of openings that the free room can serve, per second.
    served_by_room: f64,
    tokens: f64,
    adapted: Millis,
    refilled: Millis,
    /// When an opening was last beyond the rate.
    exceeded: Millis,
}

impl OpeningRate {
    /// Starts a limit with what the upstreams can serve.
    pub(crate) fn start(now: Millis, input: &RateInput) -> OpeningRate {
        let sustained = input.capacity_per_s / input.hosts.max(1.0);
        OpeningRate {
            sustained,
            served_by_room: 0.0,
            tokens: 0.0,
            adapted: now,
            refilled: now,
            exceeded: now,
        }
    }

    /// Adapts the rate to the room that is left.
    pub(crate) fn adapt(&mut self, now: Millis, input: &RateInput) {
        let elapsed_s = now.since(self.adapted).0 as f64 / 1_000.0;
        self.adapted = now;
        let error = (input.free_share / FREE_SHARE_GOAL - 1.0).clamp(-1.0, 1.0);
        let max = input.capacity_per_s / input.hosts.max(1.0);
        let rate = self.sustained * (error * CHANGE_PER_S * elapsed_s.min(1.0)).exp();
        // While much room is free, a host that has more than its share of the openings may admit them.
        let most = if input.free_share > MUCH_FREE_SHARE {
            input.capacity_per_s
        } else {
            self.sustained.max(max * RATE_BOUNDS.1)
        };
        self.sustained = rate.clamp(max * RATE_BOUNDS.0, most);
        // By Little's law, requests that fill the room are served at the rate of the capacity.
        let spare_share = (input.free_share - FREE_SHARE_GOAL) / (1.0 - FREE_SHARE_GOAL);
        self.served_by_room = if input.free_share > MUCH_FREE_SHARE {
            input.capacity_per_s
        } else {
            max * spare_share.max(0.0)
        };
    }

    /// Returns `true` if an opening is within the rate, and counts it.
    pub(crate) fn take(&mut self, now: Millis) -> bool {
        let elapsed_s = now.since(self.refilled).0 as f64 / 1_000.0;
        self.refilled = now;
        let rate = self.sustained.max(self.served_by_room);
        self.tokens = (self.tokens + rate * elapsed_s).min((rate * BURST_S).max(1.0));
        let is_within = self.tokens >= 1.0;
        if is_within {
            self.tokens -= 1.0;
        } else {
            self.exceeded = now;
        }
        is_within
    }

    /// Returns `true` if all openings were within the rate for so long.
    pub(crate) fn is_unused_for(&self, now: Millis, time: Millis) -> bool {
        now.since(self.exceeded) >= time
    }
}

/// Returns `true` for the flows that are admitted however little room there is.
pub(crate) fn is_always_admitted(flow_hash: u64) -> bool {
    // The low bits choose the route's target.
    (flow_hash >> 32).is_multiple_of(ALWAYS_ADMITTED)
}
