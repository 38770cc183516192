//! Directory updates: applying them, and passing them on to other hosts.

use std::sync::Arc;

use pomelorun_wire::ZoneId;

use crate::{
    direct::{
        directory_merge::{ListingState, UpstreamMerge, merge_upstream},
        event::{DirectEvent, LifecycleChange},
        fleet::RestoredZone,
        host::{DirectHost, DirectoryState, DirectoryUpdate, ReplicatedUpdate, UpstreamState},
        registry::{Announcement, Recency, RegistryChange, ServiceStatus, Upstream, UpstreamIx},
        routing::{Routing, RoutingChange},
        token::Token,
    },
    time::Millis,
};

/// Maximum number of restored zones that one message may tell.
const MAX_RESTORED_ZONES: usize = 64;

impl DirectHost {
    /// Sets the availability of the directory.
    pub fn set_directory_state(&mut self, now: Millis, state: DirectoryState) {
        if state == DirectoryState::Available {
            if self.directory_state == DirectoryState::Unavailable
                && self.directory_last_response.is_some()
            {
                self.directory_recovered_at = Some(now);
            }
            self.directory_last_response = Some(now);
        }
        self.directory_state = state;
    }

    /// Records that this host's copy of the directory was complete at a time.
    pub fn confirm_directory(&mut self, at: Millis) {
        self.directory_confirmed_at = self.directory_confirmed_at.max(Some(at));
    }

    /// Applies a page of the initial listing, so that the host forwards flows before it has read the
    /// others. Does nothing if the host has applied a full listing.
    pub fn apply_initial_page(&mut self, now: Millis, items: &[DirectoryUpdate]) {
        if !self.has_listing {
            items.iter().for_each(|it| self.apply_update(now, it));
        }
    }

    /// Applies a full listing that this host has read from the directory in `era`.
    ///
    /// In a new era, the listing only adds to what this host knows until the directory has settled
    /// (see [`DirectHost::is_listing_due`]).
    pub fn apply_directory_listing(&mut self, now: Millis, era: u64, all: &[DirectoryUpdate]) {
        let settle_time = self.cfg.settle_time();
        let state = self.directory_era.record_listing(now, era, settle_time);
        self.apply_listing_as(now, state, all);
    }

    /// Applies a full listing from another host, which has read the directory in `era`.
    ///
    /// `era` is `None` if the other host does not report it.
    pub fn apply_peer_listing(
        &mut self,
        now: Millis,
        era: Option<u64>,
        state: ListingState,
        all: &[DirectoryUpdate],
    ) {
        self.directory_era.record_peer_listing(now, era, state);
        self.apply_listing_as(now, state, all);
    }

    /// Returns the era of the directory that this host has listed last.
    pub fn directory_era(&self) -> Option<u64> {
        self.directory_era.era()
    }

    /// Returns whether the last listing was authoritative.
    pub fn listing_state(&self) -> ListingState {
        self.directory_era.state()
    }

    /// Returns `true` if an update contradicts what this host knows, and no listing has settled it yet.
    pub fn is_contradicted(&self) -> bool {
        self.is_contradicted
    }

    /// Returns `true` if the directory is to be listed again: it was restored and has had the time to
    /// settle, or an event contradicts what this host knows.
    pub fn is_listing_due(&self, now: Millis) -> bool {
        let is_contradicted =
            self.is_contradicted && now.since(self.last_listing) >= self.cfg.announce_interval;
        is_contradicted || self.directory_era.is_listing_due(now, self.cfg.settle_time())
    }

    fn apply_listing_as(&mut self, now: Millis, state: ListingState, all: &[DirectoryUpdate]) {
        match state {
            ListingState::Settled => self.apply_listing(now, all),
            ListingState::Unsettled => self.apply_unsettled_listing(now, all),
        }
    }

    /// Applies a listing of a directory that was restored from an older copy and has not settled.
    ///
    /// The listing removes nothing. The configuration never reverts to an older revision, here and
    /// everywhere else.
    fn apply_unsettled_listing(&mut self, now: Millis, all: &[DirectoryUpdate]) {
        self.has_listing = true;
        for it in all {
            let DirectoryUpdate::Upstream(listed) = it else {
                self.apply_update(now, it);
                continue;
            };
            let known = self.registry.by_key(listed.key).and_then(|ix| self.registry.get(ix));
            match merge_upstream(known, listed) {
                UpstreamMerge::Apply => self.apply_announcement(now, listed, Recency::Unknown),
                UpstreamMerge::KeepDraining => {
                    let draining = Announcement { draining: true, ..listed.clone() };
                    self.apply_announcement(now, &draining, Recency::Unknown);
                }
                UpstreamMerge::Ignore => {}
            }
        }
    }

    /// Applies a full, authoritative listing of the directory.
    ///
    /// Upstreams that it does not contain count as removed, zones that it does not contain as
    /// restored.
    pub fn apply_listing(&mut self, now: Millis, all: &[DirectoryUpdate]) {
        self.has_listing = true;
        self.is_contradicted = false;
        self.last_listing = now;
        let mut zones: Vec<ZoneId> = Vec::new();
        let mut ids: Vec<u64> = Vec::new();
        for it in all {
            match it {
                DirectoryUpdate::Upstream(it) => {
                    ids.push(it.key.id);
                    self.apply_announcement(now, it, Recency::Latest);
                    continue;
                }
                DirectoryUpdate::ZoneWithdrawn(zone) => zones.push(*zone),
                _ => {}
            }
            self.apply_update(now, it);
        }
        ids.sort_unstable();
        let listed = |id: u64| ids.binary_search(&id).is_ok();
        let missing: Vec<u64> = self
            .registry
            .iter()
            .filter(|it| it.1.lapsed_at.is_none() && !listed(it.1.announcement.key.id))
            .map(|it| it.1.announcement.key.id)
            .collect();
        for id in missing {
            self.apply_update(now, &DirectoryUpdate::UpstreamRemoved(id));
        }
        let restored: Vec<ZoneId> =
            self.withdrawn_zones.iter().copied().filter(|it| !zones.contains(it)).collect();
        for zone in restored {
            self.apply_update(now, &DirectoryUpdate::ZoneRestored(zone));
        }
    }

    /// Returns all that this host knows of the directory, for a host that reads the directory
    /// through this one.
    ///
    /// The configuration is left out if `known_revision`, the other host's active one, is not
    /// older.
    pub fn full_listing(&self, now: Millis, known_revision: u64) -> Vec<ReplicatedUpdate> {
        let mut all: Vec<ReplicatedUpdate> = Vec::with_capacity(self.registry.position_count() + 1);
        if self.routing.revision > known_revision {
            all.push(ReplicatedUpdate::Routing(RoutingChange::between(
                &Routing::default(),
                &self.routing,
            )));
        }
        all.extend(self.withdrawn_zones.iter().map(|&it| ReplicatedUpdate::ZoneWithdrawn(it)));
        let announced = self.registry.iter().filter(|it| it.1.lapsed_at.is_none());
        let announced = announced.map(|(ix, it)| self.announcement_at(now, ix, it));
        all.extend(announced.map(ReplicatedUpdate::Upstream));
        all
    }

    /// Returns an upstream's announcement for another host, with the remaining cold time as of `now`. One that
    /// is gone will be cold when it starts again.
    pub(super) fn announcement_at(
        &self,
        now: Millis,
        ix: UpstreamIx,
        it: &Upstream,
    ) -> Announcement {
        let mut found = it.announcement_at(now);
        if self.upstream_states[ix.0 as usize].liveness.is_gone() {
            found.cold_left = found.cold_left.max(self.cold_time(&found.service));
        }
        found
    }

    /// Decodes an update from another host.
    ///
    /// Returns `None` for a difference from a revision that is not the active one here, unless it
    /// leads to one that is not newer.
    pub fn decode_from_peer(&self, it: ReplicatedUpdate) -> Option<DirectoryUpdate> {
        Some(match it {
            ReplicatedUpdate::Upstream(it) => DirectoryUpdate::Upstream(it),
            ReplicatedUpdate::UpstreamRemoved(id) => DirectoryUpdate::UpstreamRemoved(id),
            ReplicatedUpdate::ZoneWithdrawn(zone) => DirectoryUpdate::ZoneWithdrawn(zone),
            ReplicatedUpdate::ZoneRestored(zone) => DirectoryUpdate::ZoneRestored(zone),
            ReplicatedUpdate::Routing(change) if change.to <= self.routing.revision => {
                DirectoryUpdate::Routing(Arc::clone(&self.routing))
            }
            ReplicatedUpdate::Routing(change) => {
                DirectoryUpdate::Routing(Arc::new(change.apply(&self.routing)?))
            }
        })
    }

    /// Encodes an update for other hosts.
    ///
    /// Must be called before the update is applied, since a new revision is encoded as its
    /// difference from the active one.
    pub fn encode_for_peer(&self, it: &DirectoryUpdate) -> ReplicatedUpdate {
        match it {
            DirectoryUpdate::Upstream(it) => ReplicatedUpdate::Upstream(it.clone()),
            DirectoryUpdate::UpstreamRemoved(id) => ReplicatedUpdate::UpstreamRemoved(*id),
            DirectoryUpdate::ZoneWithdrawn(zone) => ReplicatedUpdate::ZoneWithdrawn(*zone),
            DirectoryUpdate::ZoneRestored(zone) => ReplicatedUpdate::ZoneRestored(*zone),
            DirectoryUpdate::Routing(new) => {
                ReplicatedUpdate::Routing(RoutingChange::between(&self.routing, new))
            }
        }
    }

    /// Applies an update.
    pub fn apply_update(&mut self, now: Millis, it: &DirectoryUpdate) {
        match it {
            DirectoryUpdate::Upstream(it) => self.apply_announcement(now, it, Recency::Unknown),
            DirectoryUpdate::UpstreamRemoved(id) => self.apply_removal(now, *id),
            DirectoryUpdate::Routing(routing) => self.apply_routing(now, routing),
            DirectoryUpdate::ZoneWithdrawn(zone) => self.withdraw_zone(*zone),
            DirectoryUpdate::ZoneRestored(zone) => self.restore_zone(now, *zone),
        }
    }

    fn apply_announcement(&mut self, now: Millis, announcement: &Announcement, recency: Recency) {
        let previous = self.registry.by_id(announcement.key.id);
        let was_draining = previous
            .and_then(|ix| self.registry.get(ix))
            .is_some_and(|it| it.announcement.key == announcement.key && it.announcement.draining);
        let service = ServiceStatus::of(&announcement.service, &self.routing);
        let change = self.registry.announce(now, announcement, &self.routing, recency);
        let (ix, change) = match change {
            RegistryChange::Unchanged => return,
            RegistryChange::Contradictory => {
                self.is_contradicted = true;
                self.emit(DirectEvent::Lifecycle {
                    upstream: announcement.key,
                    change: LifecycleChange::Contradictory,
                    cold_left: announcement.cold_left,
                });
                return;
            }
            RegistryChange::Added(ix) if service == ServiceStatus::Unknown => {
                (ix, LifecycleChange::Unconfigured)
            }
            RegistryChange::Added(ix) => (ix, LifecycleChange::Announced),
            RegistryChange::Updated(ix) if announcement.draining && !was_draining => {
                (ix, LifecycleChange::Draining)
            }
            RegistryChange::Updated(ix) => (ix, LifecycleChange::Changed),
        };
        self.unknown_tokens.remove(Token::of(announcement.key));
        self.emit(DirectEvent::Lifecycle {
            upstream: announcement.key,
            change,
            cold_left: announcement.cold_left,
        });
        if matches!(change, LifecycleChange::Announced | LifecycleChange::Unconfigured) {
            self.reset_upstream_state(now, ix);
            self.extend_cold_of_restored(now, ix);
        }
    }

    /// Clears the state at the position of a new upstream instance, and resets the flows of the
    /// instances that it replaces.
    pub(super) fn reset_upstream_state(&mut self, now: Millis, ix: UpstreamIx) {
        if self.upstream_states.len() < self.registry.position_count() {
            self.upstream_states.resize(self.registry.position_count(), UpstreamState::default());
        }
        self.upstream_states[ix.0 as usize] = UpstreamState::default();
        self.reset_flows_of_ended(now);
    }

    pub(super) fn apply_removal(&mut self, now: Millis, id: u64) {
        if let Some(ix) = self.registry.by_id(id) {
            self.lapse(now, ix);
        }
    }

    /// Treats the announcement of an upstream as expired since `at`.
    pub(super) fn lapse(&mut self, at: Millis, ix: UpstreamIx) {
        let Some(upstream) = self.registry.get(ix).map(|it| it.announcement.key) else { return };
        if self.registry.mark_lapsed(at, ix) {
            self.emit(DirectEvent::Lifecycle {
                upstream,
                change: LifecycleChange::Lapsed,
                cold_left: Millis(0),
            });
        }
    }

    pub(super) fn apply_routing(&mut self, now: Millis, routing: &Arc<Routing>) {
        if routing.revision <= self.routing.revision {
            return;
        }
        let previous = std::mem::replace(&mut self.routing, Arc::clone(routing));
        let services = self.registry.service_names();
        let is_new = |it: &&str| routing.names_service(it) && !previous.names_service(it);
        let new_services: Vec<String> = services.filter(is_new).map(str::to_owned).collect();
        for it in &new_services {
            self.registry.claim_addresses(it);
        }
        self.reset_flows_of_ended(now);
        self.outcomes.retain(routing);
        self.answer_times.retain(routing);
        self.answers_by_route.retain(routing);
        self.service_times.retain(routing);
        let routes = routing.routes().len();
        self.emit(DirectEvent::Revision { revision: routing.revision, routes });
    }

    pub(super) fn withdraw_zone(&mut self, zone: ZoneId) {
        if let Err(at) = self.withdrawn_zones.binary_search(&zone) {
            self.withdrawn_zones.insert(at, zone);
            self.emit(DirectEvent::Zone { zone, withdrawn: true });
        }
    }

    /// Restores a zone and treats its upstreams as cold at first.
    ///
    /// Upstreams of a withdrawn zone may have become cold without having announced it yet, so they
    /// count as cold for two announcement intervals and their cold time.
    pub(super) fn restore_zone(&mut self, now: Millis, zone: ZoneId) {
        let Ok(at) = self.withdrawn_zones.binary_search(&zone) else { return };
        self.withdrawn_zones.remove(at);
        self.emit(DirectEvent::Zone { zone, withdrawn: false });
        let announced_by = now + self.cfg.announce_interval + self.cfg.announce_interval;
        self.record_restored(now, zone, announced_by);
    }

    /// Returns the zones that were restored lately, for a host that has just started.
    pub fn restored_zones(&self, now: Millis) -> Vec<RestoredZone> {
        let left = |until: Millis| u32::try_from(until.since(now).0).unwrap_or(u32::MAX);
        let zones = self.restored_zones.iter().map(|it| (it.0, left(it.1)));
        zones.filter(|it| it.1 > 0).collect()
    }

    /// Applies what another host has told of restored zones: a host that has just started has not seen
    /// them withdrawn.
    pub fn apply_restored_zones(&mut self, now: Millis, zones: &[RestoredZone]) {
        let longest = self.cfg.announce_interval + self.cfg.announce_interval;
        for &(zone, left_ms) in zones.iter().take(MAX_RESTORED_ZONES) {
            self.record_restored(now, zone, now + longest.min(Millis(u64::from(left_ms))));
        }
    }

    /// Treats the upstreams of a zone as cold that may become cold unannounced until `announced_by`.
    fn record_restored(&mut self, now: Millis, zone: ZoneId, announced_by: Millis) {
        self.restored_zones.retain(|it| it.1 > now);
        match self.restored_zones.binary_search_by_key(&zone, |it| it.0) {
            Ok(at) => self.restored_zones[at].1 = self.restored_zones[at].1.max(announced_by),
            Err(at) => self.restored_zones.insert(at, (zone, announced_by)),
        }
        let in_zone = self.registry.iter().filter(|it| it.1.announcement.zone == zone);
        let upstreams: Vec<UpstreamIx> = in_zone.map(|it| it.0).collect();
        for ix in upstreams {
            self.extend_cold_of_restored(now, ix);
        }
    }

    /// Treats an upstream as cold whose zone was restored lately.
    fn extend_cold_of_restored(&mut self, now: Millis, ix: UpstreamIx) {
        let Some(it) = self.registry.get(ix) else { return };
        let zone = it.announcement.zone;
        let Ok(at) = self.restored_zones.binary_search_by_key(&zone, |it| it.0) else { return };
        let announced_by = self.restored_zones[at].1;
        if announced_by <= now {
            return;
        }
        let cold = self.cold_time(&it.announcement.service);
        self.registry.extend_cold(ix, announced_by + cold);
    }
}
