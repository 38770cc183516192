//! Zones that are out by a newer revision than the one that this host could read.
//!
//! A host that learns from a probe that another is behind tells it which zones are out. So a zone
//! taken out gets no more packets even from hosts that cannot reach the configuration service.

use std::sync::Arc;

use pomelorun_wire::{Code, HostId, PeerMsg, UpstreamId, ZoneId};

use crate::{
    action::{Action, Actions},
    host::HostCore,
    snapshot::Snapshot,
    time::Millis,
};

/// Which zones a revision takes out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct ZonesOut {
    revision: u64,
    zones: Vec<ZoneId>,
}

impl ZonesOut {
    /// Marks the zones in a configuration, unless that is at least as new.
    pub(super) fn apply(&self, snapshot: &Arc<Snapshot>) -> Arc<Snapshot> {
        let differs = |id: ZoneId, out: bool| out != self.zones.contains(&id);
        let known = snapshot.revision >= self.revision
            || !snapshot.zones.iter().any(|it| differs(it.id, it.out));
        if known {
            return Arc::clone(snapshot);
        }
        let mut snapshot = Snapshot::clone(snapshot);
        for it in &mut snapshot.zones {
            it.out = self.zones.contains(&it.id);
        }
        Arc::new(snapshot)
    }
}

impl HostCore {
    /// Tells a host that has an older revision in force which zones are out.
    pub(super) fn tell_zones_out(&self, to: HostId, revision: u64, out: &mut Actions) {
        let Some(snapshot) = self.history.first() else { return };
        let known = snapshot.revision.max(self.zones_out.revision);
        if revision >= known {
            return;
        }
        let zones = snapshot.zones.iter().filter(|it| it.out).map(|it| it.id).collect();
        out.push(Action::Peer { to, msg: PeerMsg::WithdrawnZones { revision: known, zones } });
    }

    /// Hears which zones are out by a newer revision.
    pub(super) fn hear_zones_out(
        &mut self,
        now: Millis,
        revision: u64,
        zones: &[ZoneId],
        out: &mut Actions,
    ) {
        if revision <= self.revision().max(self.zones_out.revision) {
            return;
        }
        self.zones_out = ZonesOut { revision, zones: zones.to_vec() };
        let Some(published) = self.published.clone() else { return };
        let snapshot = self.zones_out.apply(&published);
        if self.history.first() != Some(&snapshot) {
            self.put_in_force(now, snapshot, out);
        }
    }

    /// Ends all requests at upstreams whose zones are out.
    pub(super) fn give_up_requests(&mut self, now: Millis, out: &mut Actions) {
        let Some(snapshot) = self.history.first() else { return };
        let is_out =
            |id: UpstreamId| snapshot.upstream(id).is_some_and(|it| snapshot.is_out(it.zone));
        let ids: Vec<UpstreamId> =
            self.primaries.iter().map(|it| it.id()).filter(|&it| is_out(it)).collect();
        for id in ids {
            self.with_role(now, id, |it, cx| it.abandon_all(cx, Code::FLOW_ZONE_WITHDRAWN, out));
        }
    }

    /// Tells whether the upstream's zone is out.
    pub(super) fn is_out(&self, id: UpstreamId) -> bool {
        let Some(snapshot) = self.history.first() else { return false };
        snapshot.upstream(id).is_some_and(|it| snapshot.is_out(it.zone))
    }
}
