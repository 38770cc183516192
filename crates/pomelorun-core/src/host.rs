//! Core of one host.
//!
//! A host acts as an entry host for packets from the network fabric, as the owner of hash buckets
//! and as the primary of upstreams. [`HostCore::handle`] dispatches events to these roles.

mod bucket_owner;
mod control;
mod entry;
mod explain;
mod lookup;
mod primaries;
mod unconfirmed;
mod zones;

use std::sync::Arc;

use pomelorun_wire::{Code, FlowKey, FlowLocation, HostId, PacketKind, Relay, RelayStage, ZoneId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    action::{Action, Actions, Event},
    flow_table::FlowTable,
    host::{lookup::Lookups, unconfirmed::UnconfirmedRequests},
    members::Members,
    primary::{Primary, PrimaryPhase, UpstreamStatus},
    retry_budget::RetryBudget,
    revisions::{AdvertisedRevisions, ConfigReadRole, config_read_role},
    routing_table::RoutingTable,
    selection::UpstreamSelector,
    service_counts::ServiceCounts,
    settings::CoreSettings,
    snapshot::Snapshot,
    stats::Stats,
    time::Millis,
};

pub use self::explain::{Explanation, Route};

/// Maximum number of times that a packet is relayed between hosts.
const MAX_HOPS: u8 = 6;
/// Number of hash buckets until the first configuration is active.
const INITIAL_BUCKETS: u32 = 1;
/// Time after a host announced that it leaves during which it is still probed for flows.
const LEAVING_PROBE_WINDOW: Millis = Millis(1_000);
/// Time after the process resumed during which received packets may have been queued during the
/// pause.
const BACKLOG_WINDOW: Millis = Millis(200);
/// Maximum number of callers that are notified on one timer event that their flow is abandoned.
const MAX_ABANDON_NOTICES_PER_TICK: usize = 2_000;

/// Core of one host, which decides on packets, control messages and revisions.
///
/// The core does no I/O: it takes events with the current time and returns the actions to carry
/// out.
#[derive(Debug)]
pub struct HostCore {
    me: HostId,
    zone: ZoneId,
    cfg: CoreSettings,
    rng: ChaCha8Rng,
    members: Members,
    advertised: AdvertisedRevisions,
    /// Remembered revisions of the configuration, newest first; the first one is active.
    snapshots: Vec<Arc<Snapshot>>,
    routing: RoutingTable,
    flows: FlowTable,
    selector: UpstreamSelector,
    /// Sorted by upstream.
    primaries: Vec<Primary>,
    lookups: Lookups,
    unconfirmed: UnconfirmedRequests,
    /// Time at which this host last became the owner of each bucket, by bucket.
    bucket_acquired_at: Vec<Millis>,
    /// Newest revision as published, before [`zones::WithdrawnZones`] are applied to it.
    published_snapshot: Option<Arc<Snapshot>>,
    withdrawn_zones: zones::WithdrawnZones,
    /// Retry budgets by pool, sorted by name of pool.
    retry_budgets: Vec<(String, RetryBudget)>,
    /// Abandoned flows whose callers are yet to be notified.
    abandoned_flows: Vec<FlowKey>,
    /// Flows that this host, while it leaves, has yet to send to their new bucket owners.
    pending_handovers: Vec<FlowLocation>,
    stats: Stats,
    services: ServiceCounts,
    /// Time of the last packet to an upstream of each zone, sorted by zone.
    last_packet_by_zone: Vec<(ZoneId, Millis)>,
    last_tick: Option<Millis>,
    /// Time at which the process last resumed after a pause.
    resumed_at: Option<Millis>,
    leaving: bool,
}

impl HostCore {
    /// Creates the core of a host.
    ///
    /// `incarnation` is the start time of the process in milliseconds since the epoch. `seed` seeds
    /// the generator of all random choices.
    pub fn new(
        host: HostId,
        zone: ZoneId,
        incarnation: u64,
        seed: u64,
        cfg: CoreSettings,
    ) -> HostCore {
        HostCore {
            me: host,
            zone,
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: Members::new(host, zone, incarnation),
            advertised: AdvertisedRevisions::default(),
            snapshots: Vec::new(),
            routing: RoutingTable::default(),
            flows: FlowTable::new(INITIAL_BUCKETS),
            selector: UpstreamSelector::default(),
            primaries: Vec::new(),
            lookups: Lookups::default(),
            unconfirmed: UnconfirmedRequests::default(),
            bucket_acquired_at: Vec::new(),
            published_snapshot: None,
            withdrawn_zones: zones::WithdrawnZones::default(),
            retry_budgets: Vec::new(),
            abandoned_flows: Vec::new(),
            pending_handovers: Vec::new(),
            stats: Stats::default(),
            services: ServiceCounts::default(),
            last_packet_by_zone: Vec::new(),
            last_tick: None,
            resumed_at: None,
            leaving: false,
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Millis, event: Event<'_>) -> Actions {
        let mut out = Actions::new();
        self.detect_pause(now, &mut out);
        let from_upstream = match &event {
            Event::Upstream { packet, .. } => Some((packet.flow().service, packet.kind())),
            _ => None,
        };
        match event {
            Event::Fabric(packet) if !self.is_ready() => self.relay_to_any_host(&packet, &mut out),
            Event::Fabric(packet) if self.is_syncing() => {
                self.reply_retry_later(&packet, Code::VIEW_NOT_SYNCED, &mut out);
            }
            Event::Relayed(relay) if self.is_syncing() && is_for_bucket_owner(relay.stage()) => {
                self.reply_retry_later(&relay.packet, Code::VIEW_NOT_SYNCED, &mut out);
            }
            Event::Fabric(packet) | Event::Relayed(Relay { packet, .. })
                if packet.kind() == PacketKind::Request && self.may_read_backlog(now) =>
            {
                self.reply_retry_later(&packet, Code::PROCESS_PAUSED, &mut out);
            }
            Event::Fabric(packet) => self.handle_fabric_packet(now, &packet, &mut out),
            Event::Relayed(relay) => self.handle_relayed_packet(now, &relay, &mut out),
            Event::Upstream { from, packet } => {
                self.handle_upstream_packet(now, from, &packet, &mut out);
            }
            Event::Peer(envelope) => self.handle_peer_message(now, envelope, &mut out),
            Event::Tick => self.handle_tick(now, &mut out),
            Event::Snapshot(snapshot) => self.handle_snapshot(now, snapshot, &mut out),
            Event::HostList(hosts) => {
                self.members.apply_host_list(now, hosts);
                self.update_routing(now, &mut out);
            }
            Event::Leave => self.handle_leave(now, &mut out),
        }
        self.downgrade_unconfirmed_refusals(&mut out);
        self.count_actions(now, &out);
        self.services.record_actions(from_upstream, &out);
        out
    }

    /// Returns the identifier of this host.
    pub fn host(&self) -> HostId {
        self.me
    }

    /// Returns the number of the active revision, 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.snapshots.first().map_or(0, |it| it.revision)
    }

    /// Returns the role of this host in reading the configuration service.
    pub fn config_read_role(&self) -> ConfigReadRole {
        config_read_role(self.me, self.zone, &self.members)
    }

    /// Returns the highest revision above the active one that other hosts advertise, and those
    /// hosts.
    pub fn newer_advertised_revision(&self) -> Option<(u64, Vec<HostId>)> {
        self.advertised.highest(self.revision())
    }

    /// Forgets the revision that a host advertises, after it did not provide it.
    pub fn forget_advertised_revision(&mut self, host: HostId) {
        self.advertised.forget(host);
    }

    /// Returns the active revision of the configuration.
    pub fn active_snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshots.first()
    }

    /// Returns the packet and result code counters since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Returns the outcomes of flows and requests by service since the start.
    pub fn services(&self) -> &ServiceCounts {
        &self.services
    }

    /// Returns the hosts known to this one.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns `true` if the host list should be read early, since it lacks a live host.
    ///
    /// Resets the flag.
    pub fn take_host_list_refresh(&mut self) -> bool {
        self.members.take_host_list_refresh()
    }

    /// Returns the flows known to this host.
    pub fn flows(&self) -> &FlowTable {
        &self.flows
    }

    /// Returns the time of the last packet from this host to an upstream of a zone.
    pub fn last_packet_to_zone(&self, zone: ZoneId) -> Option<Millis> {
        let at = self.last_packet_by_zone.binary_search_by_key(&zone, |it| it.0).ok()?;
        Some(self.last_packet_by_zone[at].1)
    }

    /// Returns the state of each upstream that this host holds state of, as primary or standby.
    pub fn upstreams(&self) -> Vec<UpstreamStatus> {
        self.primaries.iter().map(Primary::status).collect()
    }

    /// Returns the number of flows that a leaving host has yet to send to their new bucket owners.
    pub fn flows_to_hand_over(&self) -> usize {
        self.pending_handovers.len()
    }

    /// Returns `true` if a leaving host has finished and may stop.
    ///
    /// It has finished if nothing is in progress, no flows are left to hand over, and other hosts
    /// of its zone, if any, have taken over as primaries of its upstreams.
    pub fn is_drained(&self) -> bool {
        let successor = self.routing.hosts().iter().any(|it| it.zone == self.zone);
        let done =
            |it: &Primary| it.is_idle() && (*it.phase() == PrimaryPhase::Standby || !successor);
        self.pending_handovers.is_empty() && self.primaries.iter().all(done)
    }

    /// Returns `true` if this host has an active revision and has synchronized its membership view
    /// at least once.
    pub fn is_ready(&self) -> bool {
        !self.snapshots.is_empty() && self.members.has_joined()
    }

    /// Returns `true` if a revision is active but the membership view is not synchronized yet.
    fn is_syncing(&self) -> bool {
        !self.snapshots.is_empty() && !self.members.is_synced()
    }

    /// Detects from a gap between timer events that the process was paused.
    ///
    /// While it was paused, other hosts may have taken over its upstreams.
    fn detect_pause(&mut self, now: Millis, out: &mut Actions) {
        let Some(last) = self.last_tick else { return };
        if now.since(last) < self.cfg.pause_threshold_ms {
            return;
        }
        self.last_tick = Some(now);
        self.resumed_at = Some(now);
        out.push(Action::Count(Code::PROCESS_PAUSED));
        self.members.on_resume(now);
        for at in 0..self.primaries.len() {
            let id = self.primaries[at].id();
            let others = self.previous_primaries(id);
            self.with_primary(now, id, |it, cx| it.on_resume(cx, others, out));
        }
    }

    /// Returns `true` if received packets may be older than the maximum packet lifetime, because
    /// they waited while the process was paused.
    fn may_read_backlog(&self, now: Millis) -> bool {
        self.resumed_at.is_some_and(|it| now.since(it) < BACKLOG_WINDOW)
    }

    fn handle_tick(&mut self, now: Millis, out: &mut Actions) {
        self.last_tick = Some(now);
        let revision = self.revision();
        let sent = self.members.tick(now, &self.cfg, revision, &mut self.rng);
        out.extend(sent.into_iter().map(|(to, msg)| Action::Peer { to, msg }));
        self.update_routing(now, out);
        for at in 0..self.primaries.len() {
            let id = self.primaries[at].id();
            if self.routing.primary(id) == Some(self.me) {
                self.start_takeover(now, id, out);
            }
            let backup = self.routing.backup(id);
            self.with_primary(now, id, |it, cx| {
                it.tick(cx, out);
                it.set_backup(cx, backup, out);
            });
        }
        self.lookups.expire(now);
        self.unconfirmed.expire(now);
        self.send_some_abandon_notices(out);
        self.send_some_handovers(out);
    }

    /// Changes "not run" replies to "outcome unknown" for flows that their upstream has not
    /// confirmed.
    ///
    /// A primary knows which requests its own upstream ran. Until that upstream confirms that it
    /// has the flow, a copy of the request may have gone to another upstream.
    fn downgrade_unconfirmed_refusals(&self, out: &mut Actions) {
        for action in out {
            let Action::Reply(header) = action else { continue };
            let flow = header.flow();
            if header.reports_request_not_run() && !self.flows.is_confirmed(&flow) {
                *header = header.kind(PacketKind::OutcomeUnknown);
            }
        }
    }

    fn count_actions(&mut self, now: Millis, out: &Actions) {
        for action in out {
            match action {
                Action::Relay { .. } | Action::HeldRelay { .. } => self.stats.relayed += 1,
                Action::ToUpstream(_) | Action::HeldToUpstream(..) => {
                    self.stats.to_upstream += 1;
                    self.record_packet_to_zone(now);
                }
                Action::ToCaller | Action::HeldToCaller(_) => self.stats.to_caller += 1,
                Action::Reply(header) => {
                    self.stats.to_caller += 1;
                    self.stats.count(header.result_code());
                }
                Action::Count(code) => self.stats.count(*code),
                Action::Peer { .. } => {}
            }
        }
    }

    /// Records a packet to an upstream; it went to this host's zone, since a primary serves only
    /// upstreams of its own zone.
    fn record_packet_to_zone(&mut self, now: Millis) {
        let zone = self.zone;
        match self.last_packet_by_zone.binary_search_by_key(&zone, |it| it.0) {
            Ok(at) => self.last_packet_by_zone[at].1 = now,
            Err(at) => self.last_packet_by_zone.insert(at, (zone, now)),
        }
    }
}

/// Returns `true` if a packet at this stage makes the receiver decide as the bucket owner.
fn is_for_bucket_owner(stage: RelayStage) -> bool {
    matches!(stage, RelayStage::BucketOwner | RelayStage::ProbeMiss)
}
