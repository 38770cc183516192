//! One host: the roles of entry, keeper and steward behind a single entry point.

use std::{net::SocketAddrV4, sync::Arc};

use pomelorun_wire::{
    Code, Envelope, FlowEntry, FlowKey, Header, HostId, Kind, MemberState, Packet, PeerMsg, Relay,
    RelayHeader, Stage, UpstreamId, ZoneId,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    action::{Action, Actions, Event},
    choice::{Chooser, candidates},
    flow_table::FlowTable,
    members::Members,
    settings::CoreSettings,
    snapshot::{ServiceView, Snapshot},
    stats::Stats,
    steward::{Steward, StewardCx, StewardPhase, UpstreamStatus},
    time::Millis,
    view::{Ranked, View, ViewHost, steward_score},
};

/// How often a packet may be handed on between hosts.
const HOPS: u8 = 6;
/// Buckets before the first configuration arrives.
const INITIAL_BUCKETS: u32 = 1;
/// Time after its announcement during which a leaving host is asked for flows.
const ASK_LEAVING_FOR: Millis = Millis(1_000);
/// Flows that a leaving host tells new keepers of on one timer event.
const FLOWS_PER_MESSAGE: usize = 100;
/// Flows that are given up on one timer event.
const GIVE_UP_PER_TICK: usize = 2_000;

/// What to do with a packet that reaches its keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// The flow lives there.
    Steward(UpstreamId),
    /// Ask this host, after so many others.
    Probe(HostId, u16),
    /// Tell the caller that the flow is given up.
    GiveUp(Code),
    /// Tell the caller to come back.
    ComeBack(Code),
}

/// Decisions of one host.
#[derive(Debug)]
pub struct HostCore {
    me: HostId,
    zone: ZoneId,
    cfg: CoreSettings,
    rng: ChaCha8Rng,
    members: Members,
    /// Remembered configurations, newest first; the first is in force.
    history: Vec<Arc<Snapshot>>,
    view: View,
    flows: FlowTable,
    chooser: Chooser,
    /// Sorted by upstream.
    stewards: Vec<Steward>,
    give_up: Vec<FlowKey>,
    /// Flows whose new keepers cannot find them by themselves, to be told on leaving.
    hand_over: Vec<FlowEntry>,
    stats: Stats,
    /// When the last packet left for upstreams of a zone, sorted by zone.
    last_packets: Vec<(ZoneId, Millis)>,
    last_tick: Option<Millis>,
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
            history: Vec::new(),
            view: View::default(),
            flows: FlowTable::new(INITIAL_BUCKETS),
            chooser: Chooser::default(),
            stewards: Vec::new(),
            give_up: Vec::new(),
            hand_over: Vec::new(),
            stats: Stats::default(),
            last_packets: Vec::new(),
            last_tick: None,
            leaving: false,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Millis, event: Event<'_>) -> Actions {
        let mut out = Actions::new();
        self.check_awake(now, &mut out);
        match event {
            Event::Fabric(packet) => self.fabric(now, &packet, &mut out),
            Event::Relayed(relay) => self.relayed(now, &relay, &mut out),
            Event::Upstream { from, packet } => self.upstream(now, from, &packet, &mut out),
            Event::Peer(envelope) => self.peer(now, envelope, &mut out),
            Event::Tick => self.tick(now, &mut out),
            Event::Snapshot(snapshot) => self.snapshot(now, snapshot, &mut out),
            Event::HostList(hosts) => {
                self.members.host_list(now, hosts);
                self.refresh_view(now, &mut out);
            }
            Event::Leave => self.leave(now, &mut out),
        }
        self.tally(now, &out);
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

    /// Configuration in force.
    pub fn in_force(&self) -> Option<&Arc<Snapshot>> {
        self.history.first()
    }

    /// Counters since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// The hosts known here.
    pub fn members(&self) -> &Members {
        &self.members
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
        self.stewards.iter().map(Steward::status).collect()
    }

    /// Tells whether a leaving host has nothing in progress and every role is taken over.
    pub fn is_drained(&self) -> bool {
        let successor = self.view.hosts().iter().any(|it| it.zone == self.zone);
        let done =
            |it: &Steward| it.is_idle() && (*it.phase() == StewardPhase::Standby || !successor);
        self.hand_over.is_empty() && self.stewards.iter().all(done)
    }

    // Time.

    fn check_awake(&mut self, now: Millis, out: &mut Actions) {
        let Some(last) = self.last_tick else { return };
        if now.since(last) < self.cfg.wake_gap_ms {
            return;
        }
        self.last_tick = Some(now);
        out.push(Action::Count(Code::WOKE_LATE));
        for at in 0..self.stewards.len() {
            let id = self.stewards[at].id();
            let others = self.previous_stewards(id);
            self.with_role(now, id, |it, cx| it.woke(cx, others, out));
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Actions) {
        self.last_tick = Some(now);
        let revision = self.revision();
        let sent = self.members.tick(now, &self.cfg, revision, &mut self.rng);
        out.extend(sent.into_iter().map(|(to, msg)| Action::Peer { to, msg }));
        self.refresh_view(now, out);
        for at in 0..self.stewards.len() {
            let id = self.stewards[at].id();
            if self.view.steward(id) == Some(self.me) {
                self.take_role(now, id, out);
            }
            let backup = self.view.backup(id);
            self.with_role(now, id, |it, cx| {
                it.tick(cx, out);
                it.set_backup(cx, backup, out);
            });
        }
        self.give_up_some(out);
        self.hand_over_some(out);
    }

    /// Tells new keepers of flows, a bounded number at a time.
    fn hand_over_some(&mut self, out: &mut Actions) {
        let count = self.hand_over.len().min(FLOWS_PER_MESSAGE);
        let mut by_keeper: Vec<(HostId, Vec<FlowEntry>)> = Vec::new();
        for entry in self.hand_over.drain(..count) {
            let Some(to) = self.view.keeper(self.flows.bucket_of(&entry.flow)) else { continue };
            match by_keeper.iter_mut().find(|it| it.0 == to) {
                Some(it) => it.1.push(entry),
                None => by_keeper.push((to, vec![entry])),
            }
        }
        for (to, entries) in by_keeper {
            out.push(Action::Peer { to, msg: PeerMsg::Flows { entries } });
        }
    }

    /// Tells callers that their flows are given up, a bounded number at a time.
    fn give_up_some(&mut self, out: &mut Actions) {
        let count = self.give_up.len().min(GIVE_UP_PER_TICK);
        let Some(snapshot) = self.history.first() else { return };
        for flow in self.give_up.drain(..count) {
            let known = snapshot.service(flow.service).is_some();
            let code = if known { Code::ZONE_OUT } else { Code::SERVICE_UNKNOWN };
            let header = Header::new(Kind::GivenUp, &flow).code(code.0);
            out.push(Action::Reply(header));
        }
    }

    // Packets.

    fn fabric(&mut self, now: Millis, packet: &Packet<'_>, out: &mut Actions) {
        self.stats.fabric_packets += 1;
        if !packet.kind().is_from_caller() {
            out.push(Action::Count(Code::PACKET_MALFORMED));
            return;
        }
        let Some(snapshot) = self.history.first() else {
            self.come_back(packet, Code::NOT_READY, out);
            return;
        };
        if snapshot.service(packet.flow().service).is_none() {
            self.come_back(packet, Code::SERVICE_UNKNOWN, out);
            return;
        }
        if let Some(upstream) = self.flows.get(&packet.flow())
            && self.view.steward(upstream) == Some(self.me)
        {
            self.route_to_steward(now, packet, upstream, HOPS, out);
            return;
        }
        self.route_to_keeper(now, packet, HOPS, out);
    }

    fn relayed(&mut self, now: Millis, relay: &Relay<'_>, out: &mut Actions) {
        let packet = &relay.packet;
        let Some(hops) = relay.hops_left().checked_sub(1) else {
            self.come_back(packet, Code::HOPS_SPENT, out);
            return;
        };
        match relay.stage() {
            Stage::Keeper => self.route_to_keeper(now, packet, hops, out),
            Stage::Steward => self.route_to_steward(now, packet, relay.upstream(), hops, out),
            Stage::Probe => self.probed(now, relay, hops, out),
            Stage::ProbeMissed => {
                let next = self.next_probe(now, &packet.flow(), relay.rank() + 1);
                self.carry_out(now, packet, next, hops, out);
            }
        }
    }

    fn route_to_keeper(&mut self, now: Millis, packet: &Packet<'_>, hops: u8, out: &mut Actions) {
        let flow = packet.flow();
        match self.view.keeper(self.flows.bucket_of(&flow)) {
            Some(keeper) if keeper == self.me => {
                let next = self.keep(now, packet);
                self.carry_out(now, packet, next, hops, out);
            }
            Some(keeper) => self.relay(keeper, Stage::Keeper, hops, |it| it, packet, out),
            None => self.come_back(packet, Code::NO_UPSTREAM, out),
        }
    }

    /// Decides as the keeper of the packet's flow.
    fn keep(&mut self, now: Millis, packet: &Packet<'_>) -> Next {
        let flow = packet.flow();
        if let Some(upstream) = self.flows.touch(now, &flow) {
            if packet.kind() == Kind::Close {
                self.forget(&flow);
            }
            return self.known(&flow, upstream);
        }
        if packet.kind() == Kind::Open {
            self.open(now, &flow)
        } else {
            self.next_probe(now, &flow, 0)
        }
    }

    fn known(&mut self, flow: &FlowKey, upstream: UpstreamId) -> Next {
        let Some(snapshot) = self.history.first() else { return Next::ComeBack(Code::NOT_READY) };
        let out = snapshot.upstream(upstream).is_none_or(|it| snapshot.is_out(it.zone));
        if out {
            self.forget(flow);
            return Next::GiveUp(Code::ZONE_OUT);
        }
        match self.view.steward(upstream) {
            Some(_) => Next::Steward(upstream),
            None => Next::ComeBack(Code::ZONE_CUT),
        }
    }

    /// Chooses an upstream for a new flow.
    fn open(&mut self, now: Millis, flow: &FlowKey) -> Next {
        let Some(snapshot) = self.history.first() else { return Next::ComeBack(Code::NOT_READY) };
        let Some(service) = snapshot.service(flow.service) else {
            return Next::ComeBack(Code::SERVICE_UNKNOWN);
        };
        let Some(id) = self.choose(snapshot, service, flow) else {
            return Next::ComeBack(Code::NO_UPSTREAM);
        };
        self.flows.insert(now, flow, id);
        self.chooser.add(id);
        Next::Steward(id)
    }

    fn choose(
        &self,
        snapshot: &Snapshot,
        service: &ServiceView,
        flow: &FlowKey,
    ) -> Option<UpstreamId> {
        let usable = |at: usize| {
            let it = &snapshot.upstreams[at];
            !it.draining && !snapshot.is_out(it.zone) && self.view.steward(it.id).is_some()
        };
        let pool = &snapshot.pools[service.pool];
        self.chooser.choose(snapshot, pool, flow, self.cfg.load_bound_percent, &usable)
    }

    /// The next host that may know where a flow lives, or the likeliest home once none does.
    fn next_probe(&self, now: Millis, flow: &FlowKey, asked: u16) -> Next {
        let history = self.history.iter().map(Arc::as_ref);
        let found = candidates(history, flow, self.cfg.probe_candidates);
        let mut hosts: Vec<HostId> = Vec::with_capacity(self.cfg.probe_candidates);
        let stewards = found.iter().filter_map(|&it| self.view.steward(it));
        let others = self.view.hosts().iter().map(|it| it.host);
        for host in stewards.chain(self.just_left(now)).chain(others) {
            if host != self.me && !hosts.contains(&host) {
                hosts.push(host);
            }
            if hosts.len() == self.cfg.probe_candidates {
                break;
            }
        }
        if let Some(&host) = hosts.get(usize::from(asked)) {
            return Next::Probe(host, asked);
        }
        let reachable = found.iter().find(|&&it| self.view.steward(it).is_some());
        reachable.map_or(Next::GiveUp(Code::FLOW_UNKNOWN), |&it| Next::Steward(it))
    }

    /// Hosts that announced their leaving so lately that they are still there to be asked.
    fn just_left(&self, now: Millis) -> impl Iterator<Item = HostId> + '_ {
        let others = self.members.others().iter();
        others
            .filter(move |it| {
                it.state == MemberState::Leaving && now.since(it.since) < ASK_LEAVING_FOR
            })
            .map(|it| it.host)
    }

    fn probed(&mut self, now: Millis, relay: &Relay<'_>, hops: u8, out: &mut Actions) {
        let packet = &relay.packet;
        if let Some(upstream) = self.flows.get(&packet.flow()) {
            self.route_to_steward(now, packet, upstream, hops, out);
            return;
        }
        let rank = relay.rank();
        self.relay(relay.from(), Stage::ProbeMissed, hops, |it| it.rank(rank), packet, out);
    }

    fn carry_out(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        next: Next,
        hops: u8,
        out: &mut Actions,
    ) {
        match next {
            Next::Steward(id) => self.route_to_steward(now, packet, id, hops, out),
            Next::Probe(host, asked) => {
                self.relay(host, Stage::Probe, HOPS, |it| it.rank(asked), packet, out);
            }
            Next::GiveUp(code) => {
                let header = packet.header().kind(Kind::GivenUp).code(code.0);
                out.push(Action::Reply(header));
            }
            Next::ComeBack(code) => self.come_back(packet, code, out),
        }
    }

    /// Hands the packet to the steward of its upstream, or acts as that steward.
    fn route_to_steward(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        id: UpstreamId,
        hops: u8,
        out: &mut Actions,
    ) {
        match self.view.steward(id) {
            Some(steward) if steward == self.me => self.steward(now, packet, id, out),
            Some(steward) => {
                self.relay(steward, Stage::Steward, hops, |it| it.upstream(id), packet, out);
            }
            None => self.come_back(packet, Code::ZONE_CUT, out),
        }
    }

    /// Acts as the steward of the packet's upstream.
    fn steward(&mut self, now: Millis, packet: &Packet<'_>, id: UpstreamId, out: &mut Actions) {
        let Some(addr) = self.upstream_addr(id) else {
            self.come_back(packet, Code::NO_UPSTREAM, out);
            return;
        };
        let flow = packet.flow();
        if packet.kind() == Kind::Close {
            self.forget(&flow);
            out.push(Action::ToUpstream(addr));
            return;
        }
        if self.flows.touch(now, &flow) != Some(id) {
            self.flows.insert(now, &flow, id);
            self.chooser.add(id);
        }
        if packet.kind() == Kind::Open {
            out.push(Action::ToUpstream(addr));
            return;
        }
        self.with_role(now, id, |it, cx| match packet.kind() {
            Kind::Cancel => it.cancel(cx, packet, out),
            _ => it.request(cx, packet, out),
        });
    }

    fn upstream(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        let flow = packet.flow();
        let id = self.flows.get(&flow).filter(|&it| self.upstream_addr(it) == Some(from));
        let Some(id) = id else {
            out.push(Action::Count(Code::ANSWER_UNEXPECTED));
            return;
        };
        match packet.kind() {
            Kind::Opened => out.push(Action::ToCaller),
            Kind::Reset => {
                self.forget(&flow);
                out.push(Action::ToCaller);
            }
            Kind::Answer | Kind::Shed => {
                self.with_role(now, id, |it, cx| it.answer(cx, packet, out));
            }
            _ => out.push(Action::Count(Code::PACKET_MALFORMED)),
        }
    }

    fn upstream_addr(&self, id: UpstreamId) -> Option<SocketAddrV4> {
        Some(self.history.first()?.upstream(id)?.addr)
    }

    fn forget(&mut self, flow: &FlowKey) {
        if let Some(id) = self.flows.remove(flow) {
            self.chooser.sub(id);
        }
    }

    fn relay(
        &mut self,
        to: HostId,
        stage: Stage,
        hops: u8,
        tag: impl Fn(RelayHeader) -> RelayHeader,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        if hops == 0 {
            self.come_back(packet, Code::HOPS_SPENT, out);
            return;
        }
        let header = tag(RelayHeader::new(stage, hops, self.me, self.revision()));
        out.push(Action::Relay { to, header });
    }

    /// Gives a packet up without knowing what became of earlier copies of it.
    fn come_back(&self, packet: &Packet<'_>, code: Code, out: &mut Actions) {
        let kind = match packet.kind() {
            Kind::Open => Kind::NotRun,
            Kind::Request => Kind::OutcomeUnknown,
            _ => {
                out.push(Action::Count(code));
                return;
            }
        };
        let after = self.cfg.come_back_ms.as_u16();
        let header = packet.header().kind(kind).code(code.0).retry_after_ms(after);
        out.push(Action::Reply(header));
    }

    // Control.

    fn peer(&mut self, now: Millis, envelope: &Envelope, out: &mut Actions) {
        let from = envelope.from;
        match &envelope.msg {
            PeerMsg::Ping { .. } | PeerMsg::Pong { .. } | PeerMsg::PingReq { .. } => {
                let revision = self.revision();
                let sent = self.members.message(now, from, &envelope.msg, revision);
                out.extend(sent.into_iter().map(|(to, msg)| Action::Peer { to, msg }));
                self.refresh_view(now, out);
            }
            PeerMsg::Record { upstream, entry } => self.with_role(now, *upstream, |it, cx| {
                let msg = it.replica_record(cx, from, entry);
                out.push(Action::Peer { to: from, msg });
            }),
            PeerMsg::Replica { state } => self.with_role(now, state.upstream, |it, cx| {
                let msg = it.replica(cx, from, state);
                out.push(Action::Peer { to: from, msg });
            }),
            PeerMsg::RecordAck { upstream, key, accepted } => {
                self.with_role(now, *upstream, |it, cx| {
                    it.record_acked(cx, from, key, *accepted, out);
                });
            }
            PeerMsg::ReplicaAck { upstream, accepted } => {
                self.with_role(now, *upstream, |it, cx| {
                    it.replica_acked(cx, from, *accepted, out);
                });
            }
            PeerMsg::TakeOver { upstream } => {
                let leaving = self.leaving;
                self.with_role(now, *upstream, |it, cx| it.asked(cx, from, leaving, out));
            }
            PeerMsg::HandOver { upstream, verdict } => {
                self.with_role(now, *upstream, |it, cx| it.answered(cx, from, verdict, out));
            }
            PeerMsg::Flows { entries } => {
                for it in entries {
                    if self.flows.insert(now, &it.flow, it.upstream).is_none() {
                        self.chooser.add(it.upstream);
                    }
                }
            }
        }
    }

    fn snapshot(&mut self, now: Millis, snapshot: Arc<Snapshot>, out: &mut Actions) {
        if snapshot.revision <= self.revision() {
            out.push(Action::Count(Code::CONFIG_REGRESSION));
            return;
        }
        self.flows.rebucket(snapshot.buckets);
        self.history.insert(0, Arc::clone(&snapshot));
        self.history.truncate(self.cfg.history.max(1));
        let keeps = |flow: &FlowKey, id: UpstreamId| {
            snapshot.service(flow.service).is_some()
                && snapshot.upstream(id).is_some_and(|it| !snapshot.is_out(it.zone))
        };
        let lost: Vec<FlowKey> =
            self.flows.iter().filter(|(flow, id)| !keeps(flow, *id)).map(|it| it.0).collect();
        for flow in lost {
            self.forget(&flow);
            if self.view.keeper(self.flows.bucket_of(&flow)) == Some(self.me) {
                self.give_up.push(flow);
            }
        }
        self.stewards.retain(|it| snapshot.upstream(it.id()).is_some());
        for it in &mut self.stewards {
            if let Some(upstream) = snapshot.upstream(it.id()) {
                it.resize(upstream);
            }
        }
        self.rebuild_view(now, out);
    }

    fn refresh_view(&mut self, now: Millis, out: &mut Actions) {
        if self.members.take_changed() {
            self.rebuild_view(now, out);
        }
    }

    fn rebuild_view(&mut self, now: Millis, out: &mut Actions) {
        let Some(snapshot) = self.history.first().cloned() else { return };
        if !self.members.list_was_read() {
            return;
        }
        let mut hosts: Vec<ViewHost> = self
            .members
            .others()
            .iter()
            .filter(|it| it.takes_work() && !snapshot.is_out(it.zone))
            .map(|it| ViewHost { host: it.host, zone: it.zone })
            .collect();
        if !self.leaving && !snapshot.is_out(self.zone) {
            let me = ViewHost { host: self.me, zone: self.zone };
            let at = hosts.partition_point(|it| it.host < self.me);
            hosts.insert(at, me);
        }
        self.view = View::new(&snapshot, hosts);
        let zone = self.zone;
        for upstream in snapshot.upstreams.iter().filter(|it| it.zone == zone) {
            if self.view.steward(upstream.id) == Some(self.me) {
                self.take_role(now, upstream.id, out);
            }
        }
    }

    fn take_role(&mut self, now: Millis, id: UpstreamId, out: &mut Actions) {
        let others = self.previous_stewards(id);
        let members = &self.members;
        let dead: Vec<HostId> = members
            .others()
            .iter()
            .filter(|it| it.state == MemberState::Dead)
            .map(|it| it.host)
            .collect();
        let is_dead = |host: HostId| dead.binary_search(&host).is_ok();
        self.with_role(now, id, |it, cx| it.take_role(cx, others, &is_dead, out));
    }

    /// The hosts of this zone, leaving ones included, that may have been the steward so far.
    fn previous_stewards(&self, id: UpstreamId) -> Ranked {
        const ASKED: usize = 3;
        let mut ranked: Vec<(u64, HostId)> = self
            .members
            .others()
            .iter()
            .filter(|it| it.zone == self.zone && it.state != MemberState::Dead)
            .map(|it| (steward_score(it.host, id), it.host))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.iter().take(ASKED).map(|it| it.1).collect()
    }

    fn leave(&mut self, now: Millis, out: &mut Actions) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.hand_over = self.exceptions();
        self.members.leave();
        let revision = self.revision();
        let sent = self.members.farewell(revision);
        out.extend(sent.into_iter().map(|(to, msg)| Action::Peer { to, msg }));
        self.refresh_view(now, out);
    }

    /// The flows known here that do not live where their hash alone says.
    ///
    /// Those of other keepers are among them: a keeper that took a bucket over lately may not have
    /// asked for them yet.
    fn exceptions(&self) -> Vec<FlowEntry> {
        let mut found = Vec::new();
        for (flow, upstream) in self.flows.iter() {
            let newest = self.history.iter().take(1).map(Arc::as_ref);
            if candidates(newest, &flow, 1).first() != Some(&upstream) {
                found.push(FlowEntry { flow, upstream });
            }
        }
        found
    }

    // Stewards.

    /// Runs `f` on this host's state of an upstream of its zone, creating it where needed.
    fn with_role(
        &mut self,
        now: Millis,
        id: UpstreamId,
        f: impl FnOnce(&mut Steward, &StewardCx<'_>),
    ) {
        let Some(snapshot) = self.history.first() else { return };
        let Some(upstream) = snapshot.upstream(id) else { return };
        let cx = StewardCx {
            now,
            me: self.me,
            cfg: &self.cfg,
            upstream,
            pool: snapshot.pool_of(upstream),
        };
        let at = match self.stewards.binary_search_by_key(&id, Steward::id) {
            Ok(at) => at,
            Err(at) => {
                self.stewards.insert(at, Steward::new(&cx));
                at
            }
        };
        f(&mut self.stewards[at], &cx);
    }

    fn tally(&mut self, now: Millis, out: &Actions) {
        for action in out {
            match action {
                Action::Relay { .. } => self.stats.relayed += 1,
                Action::ToUpstream(_) | Action::HeldToUpstream(..) => {
                    self.stats.to_upstream += 1;
                    self.note_packet_to_zone(now);
                }
                Action::ToCaller | Action::HeldToCaller(_) => self.stats.to_caller += 1,
                Action::Reply(header) => {
                    self.stats.to_caller += 1;
                    self.stats.count(header.result());
                }
                Action::Count(code) => self.stats.count(*code),
                Action::Peer { .. } => {}
            }
        }
    }

    /// Stewards serve their own zone only, so every packet to an upstream goes there.
    fn note_packet_to_zone(&mut self, now: Millis) {
        let zone = self.zone;
        match self.last_packets.binary_search_by_key(&zone, |it| it.0) {
            Ok(at) => self.last_packets[at].1 = now,
            Err(at) => self.last_packets.insert(at, (zone, now)),
        }
    }
}
