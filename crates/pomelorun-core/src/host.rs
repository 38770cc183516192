//! One host: the roles of entry, keeper and primary behind a single entry point.

mod attempt;
mod control;
mod entry;
mod explain;
mod keeper;
mod lookup;
mod roles;
mod zones;

use std::sync::Arc;

use pomelorun_wire::{Code, FlowKey, FlowLocation, HostId, PacketKind, Relay, RelayStage, ZoneId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    action::{Action, Actions, Event},
    choice::Chooser,
    flow_table::FlowTable,
    host::{attempt::Attempts, lookup::Lookups},
    members::Members,
    primary::{Primary, PrimaryPhase, UpstreamStatus},
    retry_budget::RetryBudget,
    revisions::{Claims, ReadRole, read_role},
    service_counts::ServiceCounts,
    settings::CoreSettings,
    snapshot::Snapshot,
    stats::Stats,
    time::Millis,
    view::View,
};

pub use self::explain::{Explanation, Route};

/// How often a packet may be handed on between hosts.
const HOPS: u8 = 6;
/// Buckets before the first configuration arrives.
const INITIAL_BUCKETS: u32 = 1;
/// Time after its announcement during which a leaving host is asked for flows.
const ASK_LEAVING_FOR: Millis = Millis(1_000);
/// Time after a late wake-up during which packets may come from the time of the sleep.
const BACKLOG: Millis = Millis(200);
/// Flows that are given up on one timer event.
const GIVE_UP_PER_TICK: usize = 2_000;

/// Decisions of one host.
#[derive(Debug)]
pub struct HostCore {
    me: HostId,
    zone: ZoneId,
    cfg: CoreSettings,
    rng: ChaCha8Rng,
    members: Members,
    claims: Claims,
    /// Remembered configurations, newest first; the first is in force.
    history: Vec<Arc<Snapshot>>,
    view: View,
    flows: FlowTable,
    chooser: Chooser,
    /// Sorted by upstream.
    primaries: Vec<Primary>,
    lookups: Lookups,
    attempts: Attempts,
    /// When each bucket last came to another keeper.
    moved: Vec<Millis>,
    /// The newest configuration as it was published.
    published: Option<Arc<Snapshot>>,
    zones_out: zones::ZonesOut,
    /// By name of pool, sorted.
    retries: Vec<(String, RetryBudget)>,
    give_up: Vec<FlowKey>,
    /// Flows whose new keepers cannot find them by themselves, to be told on leaving.
    hand_over: Vec<FlowLocation>,
    stats: Stats,
    services: ServiceCounts,
    /// When the last packet left for upstreams of a zone, sorted by zone.
    last_packets: Vec<(ZoneId, Millis)>,
    last_tick: Option<Millis>,
    /// When the process last woke late.
    woke: Option<Millis>,
    leaving: bool,
}

impl HostCore {
    /// Starts a host.
    ///
    /// `incarnation` is the start time of the process, milliseconds since the epoch; `seed` seeds
    /// all its random choices.
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
            claims: Claims::default(),
            history: Vec::new(),
            view: View::default(),
            flows: FlowTable::new(INITIAL_BUCKETS),
            chooser: Chooser::default(),
            primaries: Vec::new(),
            lookups: Lookups::default(),
            attempts: Attempts::default(),
            moved: Vec::new(),
            published: None,
            zones_out: zones::ZonesOut::default(),
            retries: Vec::new(),
            give_up: Vec::new(),
            hand_over: Vec::new(),
            stats: Stats::default(),
            services: ServiceCounts::default(),
            last_packets: Vec::new(),
            last_tick: None,
            woke: None,
            leaving: false,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Millis, event: Event<'_>) -> Actions {
        let mut out = Actions::new();
        self.check_awake(now, &mut out);
        let answer = match &event {
            Event::Upstream { packet, .. } => Some((packet.flow().service, packet.kind())),
            _ => None,
        };
        match event {
            Event::Fabric(packet) if !self.takes_part() => self.hand_on(&packet, &mut out),
            Event::Fabric(packet) if self.is_settling() => {
                self.come_back(&packet, Code::VIEW_NOT_SYNCED, &mut out);
            }
            Event::Relayed(relay) if self.is_settling() && asks_keeper(relay.stage()) => {
                self.come_back(&relay.packet, Code::VIEW_NOT_SYNCED, &mut out);
            }
            Event::Fabric(packet) | Event::Relayed(Relay { packet, .. })
                if packet.kind() == PacketKind::Request && self.reads_backlog(now) =>
            {
                self.come_back(&packet, Code::PROCESS_PAUSED, &mut out);
            }
            Event::Fabric(packet) => self.fabric(now, &packet, &mut out),
            Event::Relayed(relay) => self.relayed(now, &relay, &mut out),
            Event::Upstream { from, packet } => self.upstream(now, from, &packet, &mut out),
            Event::Peer(envelope) => self.peer(now, envelope, &mut out),
            Event::Tick => self.tick(now, &mut out),
            Event::Snapshot(snapshot) => self.snapshot(now, snapshot, &mut out),
            Event::HostList(hosts) => {
                self.members.apply_host_list(now, hosts);
                self.refresh_view(now, &mut out);
            }
            Event::Leave => self.leave(now, &mut out),
        }
        self.doubt_refusals(&mut out);
        self.tally(now, &out);
        self.services.tally(answer, &out);
        out
    }

    /// This host.
    pub fn host(&self) -> HostId {
        self.me
    }

    /// Revision in force, zero for none.
    pub fn revision(&self) -> u64 {
        self.history.first().map_or(0, |it| it.revision)
    }

    /// How this host takes part in reading the configuration service.
    pub fn read_role(&self) -> ReadRole {
        read_role(self.me, self.zone, &self.members)
    }

    /// The highest revision above the one in force that others said they have, and who has it.
    pub fn newer_revision(&self) -> Option<(u64, Vec<HostId>)> {
        self.claims.highest(self.revision())
    }

    /// Forgets that a host has a newer revision, since it does not give it.
    pub fn forget_claim(&mut self, host: HostId) {
        self.claims.forget(host);
    }

    /// Configuration in force.
    pub fn in_force(&self) -> Option<&Arc<Snapshot>> {
        self.history.first()
    }

    /// Counters since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Outcomes by service since the start.
    pub fn services(&self) -> &ServiceCounts {
        &self.services
    }

    /// The hosts known here.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Tells whether the host list should be read early, since it lacks a live host.
    pub fn take_list_wanted(&mut self) -> bool {
        self.members.take_host_list_refresh()
    }

    /// Flows known here.
    pub fn flows(&self) -> &FlowTable {
        &self.flows
    }

    /// When this host last sent a packet to an upstream of a zone.
    pub fn last_packet_to(&self, zone: ZoneId) -> Option<Millis> {
        let at = self.last_packets.binary_search_by_key(&zone, |it| it.0).ok()?;
        Some(self.last_packets[at].1)
    }

    /// State of the upstreams whose state is held here.
    pub fn upstreams(&self) -> Vec<UpstreamStatus> {
        self.primaries.iter().map(Primary::status).collect()
    }

    /// Flows that a leaving host has yet to tell new keepers of.
    pub fn flows_to_hand_over(&self) -> usize {
        self.hand_over.len()
    }

    /// Tells whether a leaving host has nothing in progress and every role is taken over.
    pub fn is_drained(&self) -> bool {
        let successor = self.view.hosts().iter().any(|it| it.zone == self.zone);
        let done =
            |it: &Primary| it.is_idle() && (*it.phase() == PrimaryPhase::Standby || !successor);
        self.hand_over.is_empty() && self.primaries.iter().all(done)
    }

    /// Tells whether this host has a configuration and a view of the others that was checked.
    pub fn takes_part(&self) -> bool {
        !self.history.is_empty() && self.members.has_joined()
    }

    /// Tells whether a configuration is in force but the view of the other hosts is unchecked.
    fn is_settling(&self) -> bool {
        !self.history.is_empty() && !self.members.is_synced()
    }

    fn check_awake(&mut self, now: Millis, out: &mut Actions) {
        let Some(last) = self.last_tick else { return };
        if now.since(last) < self.cfg.wake_gap_ms {
            return;
        }
        self.last_tick = Some(now);
        self.woke = Some(now);
        out.push(Action::Count(Code::PROCESS_PAUSED));
        self.members.on_resume(now);
        for at in 0..self.primaries.len() {
            let id = self.primaries[at].id();
            let others = self.previous_primaries(id);
            self.with_role(now, id, |it, cx| it.on_resume(cx, others, out));
        }
    }

    /// Tells whether what arrives may have waited for longer than packets are bound to live.
    fn reads_backlog(&self, now: Millis) -> bool {
        self.woke.is_some_and(|it| now.since(it) < BACKLOG)
    }

    fn tick(&mut self, now: Millis, out: &mut Actions) {
        self.last_tick = Some(now);
        let revision = self.revision();
        let sent = self.members.tick(now, &self.cfg, revision, &mut self.rng);
        out.extend(sent.into_iter().map(|(to, msg)| Action::Peer { to, msg }));
        self.refresh_view(now, out);
        for at in 0..self.primaries.len() {
            let id = self.primaries[at].id();
            if self.view.primary(id) == Some(self.me) {
                self.take_role(now, id, out);
            }
            let backup = self.view.backup(id);
            self.with_role(now, id, |it, cx| {
                it.tick(cx, out);
                it.set_backup(cx, backup, out);
            });
        }
        self.lookups.expire(now);
        self.attempts.expire(now);
        self.give_up_some(out);
        self.hand_over_some(out);
    }

    /// Turns "not run" into "outcome unknown" for flows whose home is not certain.
    ///
    /// A primary knows what its own upstream has run. Where that upstream has not answered for the
    /// flow yet, a copy of the request may have gone to another one.
    fn doubt_refusals(&self, out: &mut Actions) {
        for action in out {
            let Action::Reply(header) = action else { continue };
            let flow = header.flow();
            if header.is_not_run_request() && !self.flows.is_confirmed(&flow) {
                *header = header.kind(PacketKind::OutcomeUnknown);
            }
        }
    }

    fn tally(&mut self, now: Millis, out: &Actions) {
        for action in out {
            match action {
                Action::Relay { .. } | Action::HeldRelay { .. } => self.stats.relayed += 1,
                Action::ToUpstream(_) | Action::HeldToUpstream(..) => {
                    self.stats.to_upstream += 1;
                    self.note_packet_to_zone(now);
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

    /// Primaries serve their own zone only, so every packet to an upstream goes there.
    fn note_packet_to_zone(&mut self, now: Millis) {
        let zone = self.zone;
        match self.last_packets.binary_search_by_key(&zone, |it| it.0) {
            Ok(at) => self.last_packets[at].1 = now,
            Err(at) => self.last_packets.insert(at, (zone, now)),
        }
    }
}

/// Stages at which the receiver decides as a keeper.
fn asks_keeper(stage: RelayStage) -> bool {
    matches!(stage, RelayStage::Keeper | RelayStage::ProbeMiss)
}
