//! Room of upstreams for further requests.
//!
//! An upstream runs as many requests as it has slots and queues a few more. A short queue keeps the
//! slots busy; a longer one only adds delay, until the upstream rejects what does not fit. Room is
//! therefore what is left up to a target of requests in progress per slot, which follows from the
//! response-time goal.

use pomelorun_wire::ZoneId;

use crate::{direct::registry::UpstreamIx, time::Millis};

/// Part of the response-time goal that requests in progress at an upstream may take up; the rest is
/// for the way there and back, and for requests that take longer than usual.
const GOAL_PART: f64 = 0.5;
/// Least target of requests in progress, per slot: fewer would leave slots idle.
const MIN_TARGET: f64 = 1.0;
/// Largest target of requests in progress, per slot: with more, no slot idles less.
const MAX_TARGET: f64 = 3.0;
/// Bounds of a relative speed that is believed.
const SPEED_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Load of one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamRoom {
    /// Position in the registry.
    pub ix: UpstreamIx,
    /// Identifier of the upstream.
    pub id: u64,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests in progress through all hosts.
    pub in_progress: f64,
    /// Number of requests that the upstream runs concurrently.
    pub slots: f64,
    /// Speed relative to the service.
    pub speed: f64,
    /// `true` if the upstream is kept for more urgent requests.
    pub reserved: bool,
}

impl UpstreamRoom {
    /// Returns the number of slots that an upstream of usual speed would need to do as much.
    pub(crate) fn capacity(&self) -> f64 {
        self.slots.max(1.0) * self.speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
    }

    /// Returns the number of further requests up to `target` requests in progress per slot.
    pub(crate) fn free(&self, target: f64) -> f64 {
        (self.capacity() * target - self.in_progress).max(0.0)
    }

    /// Returns the time until a slot is free for a new request, in usual service times.
    pub(crate) fn expected_wait(&self) -> f64 {
        (self.in_progress / self.capacity() - 1.0).max(0.0)
    }
}

/// Returns the target of requests in progress per slot for a response-time goal.
pub(crate) fn target_per_slot(goal: Millis, service_time_ms: Option<f64>) -> f64 {
    match service_time_ms {
        Some(ms) if ms > 0.0 => (goal.0 as f64 * GOAL_PART / ms).clamp(MIN_TARGET, MAX_TARGET),
        _ => MAX_TARGET,
    }
}

/// Room of several upstreams together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Room {
    /// Further requests that fit.
    pub(crate) free: f64,
    /// Requests that fit into idle upstreams.
    pub(crate) total: f64,
    /// Slots of upstreams of usual speed.
    pub(crate) capacity: f64,
}

impl Room {
    /// Adds up the room of the upstreams that are kept for more urgent requests, or of the others.
    pub(crate) fn of(rooms: &[UpstreamRoom], target: f64, reserved: bool) -> Room {
        rooms.iter().filter(|it| it.reserved == reserved).fold(Room::default(), |sum, it| Room {
            free: sum.free + it.free(target),
            total: sum.total + it.capacity() * target,
            capacity: sum.capacity + it.capacity(),
        })
    }

    /// Returns the free part, from 0 to 1.
    pub(crate) fn free_share(&self) -> f64 {
        if self.total > 0.0 { self.free / self.total } else { 0.0 }
    }
}
