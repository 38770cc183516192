//! Which upstreams are kept for the more urgent requests of a service.
//!
//! Answers demand that rises, within a second, to several times what the upstreams serve, on flows
//! that are open already: a host can neither move nor reset these, so upstreams without them must be
//! there before. All hosts choose the same upstreams without a message: they rank them by rendezvous
//! hashing within each zone, and a share that grows or shrinks adds or removes the last ones only.

use crate::{direct::overload::room::UpstreamRoom, selection::rendezvous_score, time::Millis};

/// Share of a service's capacity that is kept while the urgent demand is unknown.
const DEFAULT_SHARE: f64 = 0.125;
/// Share that urgent requests must need for any upstream to be kept: those that are kept for fewer idle
/// while others are full.
const MIN_SHARE: f64 = 1.0 / 32.0;
/// Largest share that is kept; the less urgent requests keep the rest.
const MAX_SHARE: f64 = 0.5;
/// Capacity that is kept, relative to what the urgent demand needs with all slots busy.
const HEADROOM: f64 = 1.25;
/// Step in which the share changes.
const STEP: f64 = 1.0 / 64.0;
/// Part of an average upstream's capacity that may be missing from the kept share.
const MAX_MISSING: f64 = 0.25;
/// Time between two steps down: flows that were opened elsewhere meanwhile stay there.
const STEP_DOWN_INTERVAL: Millis = Millis(1_000);

/// Share of a service's upstreams that is kept.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReserveShare {
    share: f64,
    changed: Millis,
}

impl Default for ReserveShare {
    fn default() -> ReserveShare {
        ReserveShare { share: DEFAULT_SHARE, changed: Millis(0) }
    }
}

impl ReserveShare {
    /// Follows the part of the service's slots that urgent requests keep busy, if it is known: up at
    /// once, down in steps, and to none at once if it is too small.
    pub(crate) fn follow(&mut self, now: Millis, urgent_part: Option<f64>) -> f64 {
        let needed = urgent_part.map_or(DEFAULT_SHARE, |it| it * HEADROOM);
        if needed < MIN_SHARE {
            (self.share, self.changed) = (0.0, now);
            return self.share;
        }
        let needed = ((needed / STEP).ceil() * STEP).min(MAX_SHARE);
        if needed >= self.share {
            (self.share, self.changed) = (needed, now);
        } else if now.since(self.changed) >= STEP_DOWN_INTERVAL {
            (self.share, self.changed) = ((self.share - STEP).max(needed), now);
        }
        self.share
    }
}

/// Marks upstreams of each zone with a share of its capacity as kept, and never more than half of them.
pub(crate) fn mark_reserved(rooms: &mut [UpstreamRoom], salt: u64, share: f64) {
    // Sorted by zone and rank, which is the same at all hosts.
    rooms.sort_unstable_by_key(|it| (it.zone, rendezvous_score(salt, it.id)));
    for zone in rooms.chunk_by_mut(|a, b| a.zone == b.zone) {
        let capacity: f64 = zone.iter().map(UpstreamRoom::capacity).sum();
        let wanted = capacity * share - capacity / zone.len() as f64 * MAX_MISSING;
        let most = zone.len() / 2;
        let mut kept = 0.0;
        for (at, it) in zone.iter_mut().enumerate() {
            it.reserved = at < most && kept < wanted;
            kept += it.capacity();
        }
    }
}
