//! Propagation of the list of withdrawn zones to hosts whose active revision is older.
//!
//! A host that sees from a control message that another host has an older revision sends it the
//! list of withdrawn zones. A withdrawn zone thus gets no more packets even from hosts that cannot
//! read the configuration.

use std::sync::Arc;

use pomelorun_wire::{Code, HostId, PeerMsg, UpstreamId, ZoneId};

use crate::{
    action::{Action, Actions},
    host::HostCore,
    snapshot::Snapshot,
    time::Millis,
};

/// Zones that a revision withdraws, as another host reported them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct WithdrawnZones {
    revision: u64,
    zones: Vec<ZoneId>,
}

impl WithdrawnZones {
    /// Returns the snapshot with these zones withdrawn, unless the snapshot is at least as new.
    pub(super) fn apply(&self, snapshot: &Arc<Snapshot>) -> Arc<Snapshot> {
        let differs = |id: ZoneId, withdrawn: bool| withdrawn != self.zones.contains(&id);
        let up_to_date = snapshot.revision >= self.revision
            || !snapshot.zones.iter().any(|it| differs(it.id, it.withdrawn));
        if up_to_date {
            return Arc::clone(snapshot);
        }
        let mut snapshot = Snapshot::clone(snapshot);
        for it in &mut snapshot.zones {
            it.withdrawn = self.zones.contains(&it.id);
        }
        Arc::new(snapshot)
    }
}

impl HostCore {
    /// Sends the list of withdrawn zones to a host whose active revision is older.
    pub(super) fn send_withdrawn_zones(&self, to: HostId, revision: u64, out: &mut Actions) {
        let Some(snapshot) = self.snapshots.first() else { return };
        let known = snapshot.revision.max(self.withdrawn_zones.revision);
        if revision >= known {
            return;
        }
        let zones = snapshot.zones.iter().filter(|it| it.withdrawn).map(|it| it.id).collect();
        out.push(Action::Peer { to, msg: PeerMsg::WithdrawnZones { revision: known, zones } });
    }

    /// Handles the list of withdrawn zones of a newer revision.
    pub(super) fn handle_withdrawn_zones(
        &mut self,
        now: Millis,
        revision: u64,
        zones: &[ZoneId],
        out: &mut Actions,
    ) {
        if revision <= self.revision().max(self.withdrawn_zones.revision) {
            return;
        }
        self.withdrawn_zones = WithdrawnZones { revision, zones: zones.to_vec() };
        let Some(published) = self.published_snapshot.clone() else { return };
        let snapshot = self.withdrawn_zones.apply(&published);
        if self.snapshots.first() != Some(&snapshot) {
            self.activate_snapshot(now, snapshot, out);
        }
    }

    /// Abandons all requests at upstreams of withdrawn zones.
    pub(super) fn abandon_requests(&mut self, now: Millis, out: &mut Actions) {
        let Some(snapshot) = self.snapshots.first() else { return };
        let is_withdrawn = |id: UpstreamId| {
            snapshot.upstream(id).is_some_and(|it| snapshot.is_zone_withdrawn(it.zone))
        };
        let ids: Vec<UpstreamId> =
            self.primaries.iter().map(|it| it.id()).filter(|&it| is_withdrawn(it)).collect();
        for id in ids {
            self.with_primary(now, id, |it, cx| it.abandon_all(cx, Code::FLOW_ZONE_WITHDRAWN, out));
        }
    }

    /// Returns `true` if an upstream is in the active revision and its zone is withdrawn.
    pub(super) fn is_withdrawn(&self, id: UpstreamId) -> bool {
        let Some(snapshot) = self.snapshots.first() else { return false };
        snapshot.upstream(id).is_some_and(|it| snapshot.is_zone_withdrawn(it.zone))
    }
}
