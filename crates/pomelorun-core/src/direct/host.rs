//! Packet decisions of one host in direct server return.

mod directory;
mod failure_detection;
mod flow_placement;
mod flow_resets;
mod introspection;
mod load_sharing;
mod opening_retries;
mod outlier_detection;
mod overload_control;
mod peer_evidence;
mod probing;
mod rejection;
mod token_queries;

use std::{collections::VecDeque, net::SocketAddrV4, sync::Arc};

use pomelorun_wire::{FlowKey, HostId, ZoneId};
use serde::{Deserialize, Serialize};

pub use crate::direct::host::{load_sharing::LoadMessage, opening_retries::OpeningRetry};
use crate::{
    direct::{
        answer_times::AnswerTimes,
        cold::{ColdBudget, ColdLimit},
        cold_owner::{ColdOwners, ViewState},
        decaying_sum::DecayingSum,
        directory_merge::DirectoryEra,
        event::{DirectEvent, LifecycleChange, ResetReason},
        flow_lifetimes::FlowLifetimes,
        host::load_sharing::LoadSharing,
        latency::LatencyHistogram,
        liveness::{Liveness, MIN_RETRANSMIT_GAP, ProbeKind, Reachability},
        load::Load,
        mechanism::{Disabled, Mechanism},
        observed_flows::{Attempts, Flow, ObservedFlows, PacketOwner},
        opening_retry::{PendingOpenings, RetryBudget, ZoneOpeningTimes},
        outcomes::{OutcomesByRoute, ServiceOutcomes},
        outlier::{AnswersByRoute, FailureReport, OutlierState, PendingReport, REPORT_INTERVAL},
        overload::OverloadControl,
        peer_evidence::{LivenessMessage, OpenQueries},
        peer_update::PeerUpdate,
        registry::{Announcement, Registry, UpstreamIx, UpstreamKey},
        routing::{Routing, RoutingChange},
        segment::{Segment, SegmentKind},
        shared_load::SharedLoad,
        token::Token,
        unknown_tokens::UnknownTokens,
        upstream_speed::ServiceTimes,
    },
    time::Millis,
};

/// Events buffered until they are taken; further ones are dropped and counted.
const MAX_EVENTS: usize = 4_096;
/// Number of ticks over which one sweep of the flow table for idle flows is spread.
const SWEEP_TICKS: usize = 50;
/// Interval between removals of lapsed upstreams, which are kept for
/// [`DirectSettings::flow_lifetime`] after they lapse.
const EXPIRY_INTERVAL: Millis = Millis(1_000);
/// Lifetime of an announcement in the directory, in announcement intervals.
const ANNOUNCEMENT_LIFETIME_INTERVALS: u64 = 3;

/// Settings of a host's decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectSettings {
    /// Identifier of this host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Maximum number of flows in the flow table.
    pub max_flows: usize,
    /// Limit on new flows to cold upstreams.
    pub cold: ColdLimit,
    /// Time between two announcements of an upstream.
    pub announce_interval: Millis,
    /// Time for which an upstream may still get new flows after its announcement lapsed.
    ///
    /// The directory may have dropped the announcement while it was unavailable; a live upstream
    /// announces itself again within this time.
    pub lapse_grace: Millis,
    /// Maximum lifetime of a flow.
    pub flow_lifetime: Millis,
    /// Maximum age of the directory's last response at which an address without a route is rejected
    /// instead of dropped.
    pub directory_max_age: Millis,
    /// Mechanisms that are switched off.
    pub disabled: Disabled,
}

impl DirectSettings {
    /// Time that a restored directory needs to settle: the lifetime of an announcement, within which
    /// live upstreams announce themselves again and the announcements of others expire.
    pub(crate) fn settle_time(&self) -> Millis {
        Millis(self.announce_interval.0 * ANNOUNCEMENT_LIFETIME_INTERVALS)
    }
}

/// An update from the directory.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryUpdate {
    /// An upstream was announced.
    Upstream(Announcement),
    /// The announcement of the upstream with this identifier was removed or is unusable.
    UpstreamRemoved(u64),
    /// A revision of the configuration was published.
    Routing(Arc<Routing>),
    /// A zone was withdrawn: its upstreams get no new flows.
    ZoneWithdrawn(ZoneId),
    /// A withdrawn zone was restored.
    ZoneRestored(ZoneId),
}

/// A [`DirectoryUpdate`] in the encoding between hosts.
///
/// A revision is encoded as its difference from the one before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicatedUpdate {
    /// An upstream was announced.
    Upstream(Announcement),
    /// The announcement of the upstream with this identifier was removed or is unusable.
    #[serde(rename = "upstream_gone")]
    UpstreamRemoved(u64),
    /// The configuration changed.
    Routing(RoutingChange),
    /// A zone was withdrawn: its upstreams get no new flows.
    #[serde(rename = "zone_out")]
    ZoneWithdrawn(ZoneId),
    /// A withdrawn zone was restored.
    #[serde(rename = "zone_back")]
    ZoneRestored(ZoneId),
}

/// Availability of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryState {
    /// The directory does not respond.
    Unavailable,
    /// The directory responds.
    Available,
}

/// What to do with a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the packet to an upstream.
    Forward {
        /// Address of the upstream.
        to: SocketAddrV4,
        /// Identifier of the upstream.
        id: u64,
        /// Token to write into the packet.
        token: Token,
    },
    /// Send a reset to the caller.
    Reset(ResetPacket),
    /// Drop the packet.
    Drop,
}

/// A reset packet for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResetPacket {
    /// The flow.
    pub flow: FlowKey,
    /// Sequence number that the caller expects next, by which it recognizes the reset.
    pub seq: u32,
}

/// A probe of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The upstream to probe.
    pub upstream: UpstreamKey,
    /// Its address.
    pub addr: SocketAddrV4,
    /// Kind of the probe.
    pub kind: ProbeKind,
    /// Path of the health check, which returns the upstream's identity.
    pub path: String,
    /// Address of another upstream that responded recently, to be connected to together with a second
    /// attempt if the upstream does not accept a connection at once.
    ///
    /// If it does not respond either, the fault is probably local and the probe is inconclusive.
    pub reference_addr: Option<SocketAddrV4>,
}

/// Counters since the start of the host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DirectStats {
    /// Packets forwarded.
    pub forwarded: u64,
    /// Flows opened, not counting retransmitted opening packets.
    pub opened: u64,
    /// Retransmitted opening packets that were placed again, on another upstream if there is one.
    pub retried_opens: u64,
    /// Opening packets that this host sent to another upstream because the answer was overdue.
    pub overdue_opens: u64,
    /// Overdue opening packets that were not sent again, because too many were.
    pub retries_withheld: u64,
    /// Flows reset.
    pub resets: u64,
    /// Opening packets rejected or dropped because the service address that they are sent to has no
    /// route.
    pub no_route: u64,
    /// Opening packets rejected or dropped because no upstream was eligible or reachable.
    pub no_upstream: u64,
    /// Opening packets rejected because no upstream had room for requests of their priority.
    pub rejected_overload: u64,
    /// Of these, those to the most urgent routes of their service.
    pub rejected_overload_urgent: u64,
    /// Packets whose token names no known upstream.
    pub unknown_token: u64,
    /// Times an upstream was marked unreachable.
    pub unreachable: u64,
    /// Times an unreachable upstream responded again.
    pub recovered: u64,
    /// Times an upstream was kept after a failed probe because the fault was probably local.
    pub local_faults: u64,
    /// Times an upstream was kept after a silent probe because load alone may explain it.
    pub kept: u64,
    /// Of these, times another host of the zone has had a response.
    pub kept_by_peers: u64,
    /// Probes sent.
    pub probes: u64,
    /// Times an upstream was ejected for failing requests.
    pub ejected: u64,
    /// Messages about load that were not believed.
    pub load_rejected: u64,
    /// Times the directory was found to be restored from an older copy.
    pub directory_restorations: u64,
    /// Time from a flow's opening packet to its next packet.
    pub open_latency: LatencyHistogram,
    /// Time from a caller's request to its acknowledgement of the answer's first byte.
    pub response_latency: LatencyHistogram,
    /// Events dropped because the buffer was full.
    pub events_dropped: u64,
}

/// What this host has observed of one upstream.
#[derive(Debug, Clone, Default)]
struct UpstreamState {
    liveness: Liveness,
    load: Load,
    cold: ColdBudget,
    pending_report: PendingReport,
    outlier: OutlierState,
}

/// The decisions of one host in direct server return.
#[derive(Debug)]
pub struct DirectHost {
    cfg: DirectSettings,
    routing: Arc<Routing>,
    registry: Registry,
    /// Indexed by position in the registry.
    upstream_states: Vec<UpstreamState>,
    /// Upstreams that are suspect, unreachable or in a silent zone, sorted.
    unhealthy: Vec<UpstreamIx>,
    /// Upstreams with failures that were not reported yet, sorted.
    unreported_failures: Vec<UpstreamIx>,
    /// When expired upstreams were last removed.
    last_expiry: Millis,
    flows: ObservedFlows,
    pending_openings: PendingOpenings,
    opening_times: ZoneOpeningTimes,
    retry_budget: RetryBudget,
    flow_lifetimes: FlowLifetimes,
    /// Sorted.
    withdrawn_zones: Vec<ZoneId>,
    /// Zones that were restored, and until when their upstreams may be cold unannounced; sorted.
    restored_zones: Vec<(ZoneId, Millis)>,
    directory_state: DirectoryState,
    /// When the directory last responded.
    directory_last_response: Option<Millis>,
    /// Time up to which this host's copy of the directory is known to be complete.
    directory_confirmed_at: Option<Millis>,
    /// When the directory last became available again.
    directory_recovered_at: Option<Millis>,
    directory_era: DirectoryEra,
    /// `true` once a full listing has been applied.
    has_listing: bool,
    /// When the last full, authoritative listing was applied.
    last_listing: Millis,
    /// `true` if an event since then contradicts what this host knows.
    is_contradicted: bool,
    /// Live hosts of all zones, including this one; none until they are known.
    cold_owners: ColdOwners,
    /// Live hosts of this zone, including this one, sorted.
    zone_hosts: Vec<HostId>,
    outcomes: OutcomesByRoute,
    answers_by_route: AnswersByRoute,
    /// When a request was forwarded, and its flow; oldest first, assessed after the answer timeout.
    pending_requests: VecDeque<(Millis, FlowKey)>,
    /// Failure reports to send to other hosts.
    reports: Vec<(HostId, Vec<FailureReport>)>,
    last_report: Millis,
    unknown_tokens: UnknownTokens,
    /// Token queries to send to other hosts.
    token_queries: Vec<(HostId, Vec<Token>)>,
    /// Probes to send.
    probes: Vec<Probe>,
    /// Time of the last response from each zone, sorted by zone.
    zone_responses: Vec<(ZoneId, Millis)>,
    /// Resets to send.
    resets: Vec<ResetPacket>,
    peer_update: PeerUpdate,
    other_zones_update: PeerUpdate,
    answer_times: AnswerTimes,
    /// Messages about the liveness of upstreams to send.
    liveness_messages: Vec<(HostId, LivenessMessage)>,
    liveness_queries: OpenQueries,
    recent_liveness_queries: DecayingSum,
    /// Position among the other hosts of the zone of the one that is asked next.
    next_asked_host: usize,
    shared_load: SharedLoad,
    load_sharing: LoadSharing,
    service_times: ServiceTimes,
    overload: OverloadControl,
    events: Vec<DirectEvent>,
    stats: DirectStats,
}

impl DirectHost {
    /// Creates a host without configuration and upstreams.
    pub fn new(cfg: DirectSettings) -> DirectHost {
        DirectHost {
            flows: ObservedFlows::new(cfg.max_flows),
            pending_openings: PendingOpenings::default(),
            opening_times: ZoneOpeningTimes::default(),
            retry_budget: RetryBudget::default(),
            flow_lifetimes: FlowLifetimes::default(),
            routing: Arc::default(),
            registry: Registry::default(),
            upstream_states: Vec::new(),
            unhealthy: Vec::new(),
            unreported_failures: Vec::new(),
            last_expiry: Millis(0),
            withdrawn_zones: Vec::new(),
            restored_zones: Vec::new(),
            directory_state: DirectoryState::Unavailable,
            directory_last_response: None,
            directory_confirmed_at: None,
            directory_recovered_at: None,
            directory_era: DirectoryEra::default(),
            has_listing: false,
            last_listing: Millis(0),
            is_contradicted: false,
            zone_hosts: vec![cfg.host],
            cold_owners: ColdOwners::default(),
            outcomes: OutcomesByRoute::default(),
            answers_by_route: AnswersByRoute::default(),
            pending_requests: VecDeque::new(),
            reports: Vec::new(),
            last_report: Millis(0),
            unknown_tokens: UnknownTokens::default(),
            token_queries: Vec::new(),
            probes: Vec::new(),
            zone_responses: Vec::new(),
            resets: Vec::new(),
            peer_update: PeerUpdate::default(),
            other_zones_update: PeerUpdate::default(),
            answer_times: AnswerTimes::default(),
            liveness_messages: Vec::new(),
            liveness_queries: OpenQueries::default(),
            recent_liveness_queries: DecayingSum::default(),
            next_asked_host: 0,
            shared_load: SharedLoad::default(),
            load_sharing: LoadSharing::default(),
            service_times: ServiceTimes::default(),
            overload: OverloadControl::default(),
            events: Vec::new(),
            stats: DirectStats::default(),
            cfg,
        }
    }

    /// Replaces the settings, except the host's identifier and zone.
    pub fn update_settings(&mut self, cfg: DirectSettings) {
        self.flows.set_max_flows(cfg.max_flows);
        let (host, zone) = (self.cfg.host, self.cfg.zone);
        self.cfg = DirectSettings { host, zone, ..cfg };
    }

    /// Returns `true` once the host has applied a full listing.
    pub fn has_listing(&self) -> bool {
        self.has_listing
    }

    /// Returns `true` once the host has a revision and at least one upstream, and can forward
    /// flows.
    pub fn is_ready(&self) -> bool {
        self.routing.revision > 0 && self.registry.iter().next().is_some()
    }

    /// Returns the counters since the start of the host.
    pub fn stats(&self) -> DirectStats {
        DirectStats { directory_restorations: self.directory_era.restorations(), ..self.stats }
    }

    /// Returns the availability of the directory.
    pub fn directory_state(&self) -> DirectoryState {
        self.directory_state
    }

    /// Returns the time since this host's copy of the directory was last known to be complete.
    pub fn directory_age(&self, now: Millis) -> Option<Millis> {
        self.directory_confirmed_at.map(|it| now.since(it))
    }

    /// Returns the number of flows in the flow table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns the active revision.
    pub fn revision(&self) -> u64 {
        self.routing.revision
    }

    /// Returns the outcomes since the start of the host by service, sorted by name.
    pub fn outcomes(&self) -> Vec<ServiceOutcomes> {
        self.outcomes.by_service(&self.routing)
    }

    /// Returns the known upstreams.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the reachability of an upstream.
    pub fn reachability(&self, ix: UpstreamIx) -> Reachability {
        self.upstream_states
            .get(ix.0 as usize)
            .map_or(Reachability::Answering, |it| it.liveness.reachability())
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<DirectEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes the probes to send; their results go to [`DirectHost::apply_probe_result`].
    pub fn take_probes(&mut self) -> Vec<Probe> {
        std::mem::take(&mut self.probes)
    }

    /// Takes the resets to send.
    pub fn take_resets(&mut self) -> Vec<ResetPacket> {
        std::mem::take(&mut self.resets)
    }

    /// Takes the update to send to all other hosts of this zone.
    pub fn take_peer_update(&mut self) -> PeerUpdate {
        std::mem::take(&mut self.peer_update)
    }

    /// Takes the update to send to the hosts of all other zones.
    pub fn take_other_zones_update(&mut self) -> PeerUpdate {
        std::mem::take(&mut self.other_zones_update)
    }

    /// Sets the live hosts of all zones, including this one.
    pub fn set_hosts(&mut self, now: Millis, hosts: Vec<HostId>) {
        self.cold_owners.set_live(now, hosts);
    }

    /// Sets whether the live hosts are all, so that this host may own cold upstreams.
    pub fn set_view_state(&mut self, view: ViewState) {
        self.cold_owners.set_view(view);
    }

    /// Sets the other live hosts of this zone.
    pub fn set_zone_peers(&mut self, mut hosts: Vec<HostId>) {
        hosts.push(self.cfg.host);
        hosts.sort_unstable();
        hosts.dedup();
        self.zone_hosts = hosts;
    }

    /// Takes the failure reports to send, each with the host that evaluates it.
    pub fn take_reports(&mut self) -> Vec<(HostId, Vec<FailureReport>)> {
        std::mem::take(&mut self.reports)
    }

    /// Returns `true` while an upstream is ejected.
    pub fn is_ejected(&self, now: Millis, ix: UpstreamIx) -> bool {
        self.upstream_states.get(ix.0 as usize).is_some_and(|it| it.outlier.is_ejected(now))
    }

    /// Decides what to do with a caller's packet.
    pub fn handle_packet(&mut self, now: Millis, seg: &Segment) -> Verdict {
        match seg.kind {
            SegmentKind::Open => self.handle_opening(now, seg),
            SegmentKind::Data | SegmentKind::Finish | SegmentKind::Abort => {
                self.forward_by_token(now, seg)
            }
        }
    }

    /// Handles a timer event: queues due probes, reports and queries, and removes expired state.
    pub fn tick(&mut self, now: Millis) {
        self.ask_peers(now);
        let detects = self.is_enabled(Mechanism::FailureDetection);
        let needs_evidence = self.is_enabled(Mechanism::VerdictEvidence);
        for ix in std::mem::take(&mut self.unhealthy) {
            let liveness = &mut self.upstream_states[ix.0 as usize].liveness;
            liveness.expire_unanswered(now);
            if !detects || !needs_evidence {
                liveness.discard_evidence();
            }
            if liveness.take_due_probe(now) {
                self.send_probe(now, ix, ProbeKind::Identify);
            } else if liveness.take_due_repeat(now) {
                self.send_probe(now, ix, ProbeKind::Connect);
            } else {
                self.judge_postponed(now, ix);
            }
            if self.upstream_states[ix.0 as usize].liveness.is_watched() {
                self.mark_unhealthy(ix);
            }
        }
        self.assess_timed_out_requests(now);
        self.share_load(now);
        if now.since(self.last_report) >= REPORT_INTERVAL {
            self.last_report = now;
            self.queue_reports(now);
        }
        self.query_unknown_tokens(now);
        let idle = if self.routing.idle_timeout > Millis(0) {
            self.routing.idle_timeout
        } else {
            self.cfg.flow_lifetime
        };
        let buckets = self.flows.bucket_count().div_ceil(SWEEP_TICKS);
        let states = &mut self.upstream_states;
        self.flows.sweep_idle(now, now - idle, buckets, |flow| release_load(states, &flow));
        if now.since(self.last_expiry) < EXPIRY_INTERVAL {
            return;
        }
        self.last_expiry = now;
        for (ix, upstream) in self.registry.remove_expired(now, self.cfg.flow_lifetime) {
            self.emit(DirectEvent::Lifecycle {
                upstream,
                change: LifecycleChange::Forgotten,
                cold_left: Millis(0),
            });
            for flow in self.flows.take_by_upstream(ix) {
                release_load(&mut self.upstream_states, &flow);
            }
            self.upstream_states[ix.0 as usize] = UpstreamState::default();
        }
    }

    /// Adds an upstream to those that each tick checks.
    fn mark_unhealthy(&mut self, ix: UpstreamIx) {
        if let Err(at) = self.unhealthy.binary_search(&ix) {
            self.unhealthy.insert(at, ix);
        }
    }

    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.cfg.disabled.contains(mechanism)
    }

    fn emit(&mut self, event: DirectEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        } else {
            self.stats.events_dropped += 1;
        }
    }

    fn handle_opening(&mut self, now: Millis, seg: &Segment) -> Verdict {
        if self.packet_owner(now, seg, None) != Some(PacketOwner::Same) {
            self.remove_flow(&seg.flow);
            return self.place_flow(now, seg, Attempts::none(now));
        }
        let Some(flow) = self.flows.get_mut(&seg.flow) else { return Verdict::Drop };
        if flow.established {
            // A late retransmission: the flow is established at this upstream.
            let ix = flow.upstream();
            return self.forward(ix);
        }
        let (ix, sent) = (flow.upstream(), flow.unanswered_since.unwrap_or(now));
        let attempts = flow.attempts.clone();
        if attempts.first_sent.is_some_and(|it| now.since(it) < MIN_RETRANSMIT_GAP) {
            return self.forward(ix);
        }
        self.record_retransmission(now, ix, seg.flow, sent);
        // If this host has sent the packet to a second upstream, the first one has not answered for
        // longer.
        if let (Some(first), Some(sent)) = (attempts.upstreams.first(), attempts.first_sent)
            && *first != ix
        {
            self.record_retransmission(now, *first, seg.flow, sent);
        }
        self.place_flow(now, seg, attempts)
    }

    /// Returns which flow a packet belongs to, or `None` if none with its addresses and ports is known.
    pub(super) fn packet_owner(
        &mut self,
        now: Millis,
        seg: &Segment,
        ix: Option<UpstreamIx>,
    ) -> Option<PacketOwner> {
        self.flows.get_mut(&seg.flow).map(|it| it.owner_of(now, seg, ix))
    }

    fn forward_by_token(&mut self, now: Millis, seg: &Segment) -> Verdict {
        // Routes by the token and not by the flow table, because the flow's entry may be from a
        // retransmitted opening packet that went to another upstream, or of another flow.
        let Some(ix) = self.registry.by_token(seg.token) else {
            return self.handle_unknown_token(now, seg);
        };
        let owner = self.packet_owner(now, seg, Some(ix));
        let ended = self.registry.get(ix).is_some_and(|it| it.ended);
        if seg.kind != SegmentKind::Abort && (ended || self.is_given_up(now, ix)) {
            let reason = if ended { ResetReason::Ended } else { ResetReason::Unreachable };
            self.remove_broken_flow(&seg.flow, owner);
            return Verdict::Reset(self.make_reset(now, Some(ix), seg.flow, seg.ack, reason));
        }
        if matches!(seg.kind, SegmentKind::Abort | SegmentKind::Finish) {
            self.upstream_states[ix.0 as usize].liveness.record_given_up(&seg.flow);
        }
        match owner {
            Some(PacketOwner::Earlier) => return self.forward(ix),
            Some(PacketOwner::Later) => self.remove_flow(&seg.flow),
            Some(PacketOwner::Same) | None => {}
        }
        if seg.kind == SegmentKind::Abort {
            self.remove_flow(&seg.flow);
            return self.forward(ix);
        }
        self.observe_packet(now, ix, seg);
        if seg.kind == SegmentKind::Finish {
            self.assess_last_answer(now, ix, &seg.flow);
            self.record_lifetime(now, ix, &seg.flow);
            if let Some(it) = self.flows.get_mut(&seg.flow) {
                it.is_closed = true;
            }
        }
        self.forward(ix)
    }

    /// Returns `true` if an upstream does not respond and its flows are reset: by recent evidence, or
    /// because it is not announced any more either.
    fn is_given_up(&self, now: Millis, ix: UpstreamIx) -> bool {
        let is_unreachable = matches!(self.reachability(ix), Reachability::Unreachable { .. });
        let is_lapsed = self.registry.get(ix).is_some_and(|it| it.lapsed_at.is_some());
        is_unreachable
            && (is_lapsed || self.upstream_states[ix.0 as usize].liveness.has_verdict(now))
    }

    /// Removes the state of a packet's flow, which is reset, and counts the flow as broken.
    fn remove_broken_flow(&mut self, key: &FlowKey, owner: Option<PacketOwner>) {
        let is_known = owner == Some(PacketOwner::Same);
        let flow = if is_known { self.flows.remove(key) } else { None };
        self.count_broken_flow(key, flow.as_ref());
        if let Some(flow) = flow {
            release_load(&mut self.upstream_states, &flow);
        }
    }

    fn remove_flow(&mut self, flow: &FlowKey) {
        if let Some(flow) = self.flows.remove(flow) {
            release_load(&mut self.upstream_states, &flow);
        }
    }

    fn forward(&mut self, ix: UpstreamIx) -> Verdict {
        let Some(it) = self.registry.get(ix) else { return Verdict::Drop };
        self.stats.forwarded += 1;
        Verdict::Forward { to: it.announcement.addr, id: it.announcement.key.id, token: it.token }
    }
}

/// Subtracts a removed flow's waiting request from the load of its upstream.
fn release_load(states: &mut [UpstreamState], flow: &Flow) {
    if !flow.established || flow.unanswered_since.is_none() {
        return;
    }
    let Some(it) = states.get_mut(flow.upstream().0 as usize) else { return };
    it.load.release(flow.overdue);
}
