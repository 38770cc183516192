//! The decisions of one host in direct return.

mod directory;
mod failure_detection;
mod flow_placement;
mod introspection;
mod outlier_detection;
mod rejection;
mod token_queries;

use std::{collections::VecDeque, net::SocketAddrV4, sync::Arc};

use pomelorun_wire::{FlowKey, HostId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{
    direct::{
        cold::{ColdBudget, ColdRule},
        event::{DirectEvent, LifecycleChange, ResetReason},
        flows::{Flow, FlowNotes, Tried},
        latency::Latency,
        liveness::{COPY_GAP, Liveness, ProbeKind, Standing},
        load::Load,
        outcomes::{OutcomesByRoute, ServiceOutcomes},
        outlier::{Outlier, REPORT_EVERY, Report, Routes, Tally},
        peers::News,
        registry::{Announcement, Registry, UpstreamIx, UpstreamKey},
        routing::{Routing, RoutingChange},
        segment::{Segment, SegmentKind},
        strays::Strays,
        token::Token,
    },
    time::Millis,
};

/// Notes kept until they are taken; later ones are counted and dropped.
const MAX_EVENTS: usize = 4_096;
/// Parts of the flow table that one timer event looks through for old flows.
const SWEEP_PARTS: usize = 50;
/// Time between two looks for upstreams that are to be forgotten; they are kept for a minute.
const FORGET_EVERY: Millis = Millis(1_000);

/// Bounds of a host's decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectSettings {
    /// This host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Flows that are noted at most.
    pub max_flows: usize,
    /// What cold upstreams are given.
    pub cold: ColdRule,
    /// Time between two words of an upstream.
    pub announce_interval: Millis,
    /// Time that an upstream which is no longer announced may still be used: the directory may have
    /// dropped it while it was away, and it is back within this time if it lives.
    pub lapse_grace: Millis,
    /// Longest life of a flow.
    pub flow_lifetime: Millis,
    /// Age of the directory's last answer up to which it is believed that an address has no route.
    pub directory_max_age: Millis,
}

/// Something that is published.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryUpdate {
    /// An upstream speaks of itself.
    Upstream(Announcement),
    /// An upstream is no longer announced, or its announcement cannot be used.
    UpstreamRemoved(u64),
    /// A revision of the configuration.
    Routing(Arc<Routing>),
    /// Nothing new may go to a zone.
    ZoneWithdrawn(ZoneId),
    /// A zone may be used again.
    ZoneRestored(ZoneId),
}

/// Something that is published, as one host says it to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicatedUpdate {
    /// An upstream speaks of itself.
    Upstream(Announcement),
    /// An upstream is no longer announced.
    #[serde(rename = "upstream_gone")]
    UpstreamRemoved(u64),
    /// What changed in the configuration.
    Routing(RoutingChange),
    /// Nothing new may go to a zone.
    #[serde(rename = "zone_out")]
    ZoneWithdrawn(ZoneId),
    /// A zone may be used again.
    #[serde(rename = "zone_back")]
    ZoneRestored(ZoneId),
}

/// How the directory of what is published is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryState {
    /// It does not answer.
    Unavailable,
    /// It answers.
    Available,
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it on, with this token.
    Forward {
        /// Where to.
        to: SocketAddrV4,
        /// The upstream that it is for.
        id: u64,
        /// The token that the packet is to carry.
        token: Token,
    },
    /// Reset the flow.
    Reset(ResetPacket),
    /// Nothing.
    Drop,
}

/// A reset that is sent to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResetPacket {
    /// The flow.
    pub flow: FlowKey,
    /// The byte that the caller expects next, by which it knows the reset.
    pub seq: u32,
}

/// A probe of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// Which upstream.
    pub upstream: UpstreamKey,
    /// Its address.
    pub addr: SocketAddrV4,
    /// What to do.
    pub kind: ProbeKind,
    /// Path at which it says who it is.
    pub path: String,
    /// Address of an upstream that answered lately: silence counts only while that one answers, and
    /// is this host's own otherwise.
    pub reference_addr: Option<SocketAddrV4>,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DirectStats {
    /// Packets forwarded.
    pub forwarded: u64,
    /// Flows opened, copies of opening packets not counted.
    pub opened: u64,
    /// Copies of opening packets that were sent elsewhere.
    pub retried_opens: u64,
    /// Flows reset.
    pub resets: u64,
    /// Packets dropped for want of a route.
    pub no_route: u64,
    /// Packets dropped for want of an upstream.
    pub no_upstream: u64,
    /// Packets whose token nobody here knows.
    pub unknown_token: u64,
    /// Times that an upstream was found unreachable.
    pub unreachable: u64,
    /// Times that an upstream answered again.
    pub recovered: u64,
    /// Times that an upstream was not given up since most of the zone looked silent.
    pub local_faults: u64,
    /// Probes sent.
    pub probes: u64,
    /// Times that an upstream was ejected for failing requests.
    pub ejected: u64,
    /// Time from an opening packet to the flow's next one.
    pub open_latency: Latency,
    /// Time from a caller's data to its acknowledgement of the answer.
    pub response_latency: Latency,
    /// Notes that were dropped since nobody took them.
    pub events_dropped: u64,
}

/// What is known of one upstream beside its announcement.
#[derive(Debug, Clone, Default)]
struct Seen {
    liveness: Liveness,
    load: Load,
    cold: ColdBudget,
    tally: Tally,
    outlier: Outlier,
}

/// One host in direct return.
#[derive(Debug)]
pub struct DirectHost {
    cfg: DirectSettings,
    routing: Arc<Routing>,
    registry: Registry,
    /// By position in the registry.
    seen: Vec<Seen>,
    /// Upstreams that are suspected or unreachable, sorted.
    watched: Vec<UpstreamIx>,
    /// Upstreams with failures that are not reported yet, sorted.
    failing: Vec<UpstreamIx>,
    /// When old upstreams were last forgotten.
    forgot: Millis,
    flows: FlowNotes,
    /// Zones that are out, sorted.
    withdrawn_zones: Vec<ZoneId>,
    directory_state: DirectoryState,
    /// When the directory last answered.
    directory_heard_at: Option<Millis>,
    /// When the directory last came back.
    directory_recovered_at: Option<Millis>,
    /// Live hosts, this one included, sorted; empty while they are not known.
    hosts: Vec<HostId>,
    /// Live hosts of this zone, this one included, sorted.
    zone_hosts: Vec<HostId>,
    outcomes: OutcomesByRoute,
    /// Answers by route.
    answers: Routes,
    /// Requests whose answers are judged when their time is over, oldest first.
    asking: VecDeque<(Millis, FlowKey)>,
    /// Reports to other hosts that wait to be sent.
    reports: Vec<(HostId, Vec<Report>)>,
    reported: Millis,
    strays: Strays,
    /// Questions to other hosts that wait to be sent.
    questions: Vec<(HostId, Vec<Token>)>,
    /// Probes that wait to be sent.
    probes: Vec<Probe>,
    /// Last sign of life from each zone, sorted by zone.
    zones_answered: Vec<(ZoneId, Millis)>,
    /// Resets that wait to be sent.
    resets: Vec<ResetPacket>,
    news: News,
    events: Vec<DirectEvent>,
    stats: DirectStats,
}

impl DirectHost {
    /// Makes a host that knows nothing yet.
    pub fn new(cfg: DirectSettings) -> DirectHost {
        DirectHost {
            flows: FlowNotes::new(cfg.max_flows),
            routing: Arc::default(),
            registry: Registry::default(),
            seen: Vec::new(),
            watched: Vec::new(),
            failing: Vec::new(),
            forgot: Millis(0),
            withdrawn_zones: Vec::new(),
            directory_state: DirectoryState::Unavailable,
            directory_heard_at: None,
            directory_recovered_at: None,
            zone_hosts: vec![cfg.host],
            hosts: Vec::new(),
            outcomes: OutcomesByRoute::default(),
            answers: Routes::default(),
            asking: VecDeque::new(),
            reports: Vec::new(),
            reported: Millis(0),
            strays: Strays::default(),
            questions: Vec::new(),
            probes: Vec::new(),
            zones_answered: Vec::new(),
            resets: Vec::new(),
            news: News::default(),
            events: Vec::new(),
            stats: DirectStats::default(),
            cfg,
        }
    }

    /// Takes other bounds from now on; who the host is stays.
    pub fn update_settings(&mut self, cfg: DirectSettings) {
        self.flows.set_most(cfg.max_flows);
        let (host, zone) = (self.cfg.host, self.cfg.zone);
        self.cfg = DirectSettings { host, zone, ..cfg };
    }

    /// Tells whether the host knows enough to take callers.
    pub fn is_ready(&self) -> bool {
        self.routing.revision > 0 && self.registry.iter().next().is_some()
    }

    /// Counts since the start.
    pub fn stats(&self) -> DirectStats {
        self.stats
    }

    /// How the directory is reached.
    pub fn directory_state(&self) -> DirectoryState {
        self.directory_state
    }

    /// Number of flows noted.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Revision in force.
    pub fn revision(&self) -> u64 {
        self.routing.revision
    }

    /// Outcomes since the start by service, sorted by name.
    pub fn outcomes(&self) -> Vec<ServiceOutcomes> {
        self.outcomes.by_service(&self.routing)
    }

    /// The upstreams.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// What is believed of an upstream.
    pub fn reachability(&self, ix: UpstreamIx) -> Standing {
        self.seen.get(ix.0 as usize).map_or(Standing::Answering, |it| it.liveness.standing())
    }

    /// Takes the decisions since the last call.
    pub fn take_events(&mut self) -> Vec<DirectEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes the probes to send; the results come back by [`DirectHost::apply_probe_result`].
    pub fn take_probes(&mut self) -> Vec<Probe> {
        std::mem::take(&mut self.probes)
    }

    /// Takes the resets to send.
    pub fn take_resets(&mut self) -> Vec<ResetPacket> {
        std::mem::take(&mut self.resets)
    }

    /// Takes what the hosts of this zone are to be told.
    pub fn take_peer_update(&mut self) -> News {
        std::mem::take(&mut self.news)
    }

    /// Says which hosts live, this one included.
    pub fn set_hosts(&mut self, mut hosts: Vec<HostId>) {
        hosts.sort_unstable();
        hosts.dedup();
        self.hosts = hosts;
    }

    /// Says which other hosts of this zone live.
    pub fn set_zone_peers(&mut self, mut hosts: Vec<HostId>) {
        hosts.push(self.cfg.host);
        hosts.sort_unstable();
        hosts.dedup();
        self.zone_hosts = hosts;
    }

    /// Takes what single hosts of this zone are to be told.
    pub fn take_reports(&mut self) -> Vec<(HostId, Vec<Report>)> {
        std::mem::take(&mut self.reports)
    }

    /// Tells whether an upstream is ejected.
    pub fn is_ejected(&self, now: Millis, ix: UpstreamIx) -> bool {
        self.seen.get(ix.0 as usize).is_some_and(|it| it.outlier.is_ejected(now))
    }

    /// Decides about a caller's packet.
    pub fn handle_packet(&mut self, now: Millis, seg: &Segment) -> Verdict {
        match seg.kind {
            SegmentKind::Open => self.open(now, seg),
            SegmentKind::Data | SegmentKind::Finish | SegmentKind::Abort => self.carry(now, seg),
        }
    }

    /// Does what time demands.
    pub fn tick(&mut self, now: Millis) {
        for ix in std::mem::take(&mut self.watched) {
            let liveness = &mut self.seen[ix.0 as usize].liveness;
            liveness.expire(now);
            if liveness.take_trial(now) {
                self.send_probe(now, ix, ProbeKind::Identify);
            }
            if self.reachability(ix) != Standing::Answering {
                self.watch(ix);
            }
        }
        self.judge_late(now);
        if now.since(self.reported) >= REPORT_EVERY {
            self.reported = now;
            self.send_reports(now);
        }
        self.chase_strays(now);
        let idle =
            if self.routing.idle > Millis(0) { self.routing.idle } else { self.cfg.flow_lifetime };
        if now > idle {
            let parts = self.flows.buckets().div_ceil(SWEEP_PARTS);
            let seen = &mut self.seen;
            self.flows.sweep(now - idle, parts, |flow| leave(seen, &flow));
        }
        if now.since(self.forgot) < FORGET_EVERY {
            return;
        }
        self.forgot = now;
        for (ix, upstream) in self.registry.forget_old(now, self.cfg.flow_lifetime) {
            self.emit(DirectEvent::Lifecycle {
                upstream,
                change: LifecycleChange::Forgotten,
                cold_left: Millis(0),
            });
            for flow in self.flows.take_of(ix) {
                leave(&mut self.seen, &flow);
            }
            self.seen[ix.0 as usize] = Seen::default();
        }
    }

    /// Has the timer look after an upstream that callers or probes find silent.
    fn watch(&mut self, ix: UpstreamIx) {
        if let Err(at) = self.watched.binary_search(&ix) {
            self.watched.insert(at, ix);
        }
    }

    fn emit(&mut self, event: DirectEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        } else {
            self.stats.events_dropped += 1;
        }
    }

    fn open(&mut self, now: Millis, seg: &Segment) -> Verdict {
        let known = self.flows.get_mut(&seg.flow).filter(|it| now.since(it.seen) < OPENING);
        if let Some(flow) = known {
            if flow.open {
                // A late copy: the flow is open where the caller's other packets go.
                let ix = flow.upstream();
                return self.forward(ix);
            }
            let (ix, sent) = (flow.upstream(), flow.asked.unwrap_or(now));
            if now.since(sent) < COPY_GAP {
                return self.forward(ix);
            }
            let tried = flow.tried.clone();
            self.unanswered(now, ix, seg.flow, sent);
            return self.place(now, seg, tried);
        }
        self.forget(&seg.flow);
        self.place(now, seg, Tried::new())
    }

    fn carry(&mut self, now: Millis, seg: &Segment) -> Verdict {
        // Only the token counts: what is noted of the flow may be a copy of its opening packet.
        let Some(ix) = self.registry.by_token(seg.token) else {
            return self.unknown_token(now, seg);
        };
        let ended = self.registry.get(ix).is_some_and(|it| it.ended);
        if seg.kind != SegmentKind::Abort
            && (ended || matches!(self.reachability(ix), Standing::Unreachable { .. }))
        {
            let reason = if ended { ResetReason::Ended } else { ResetReason::Unreachable };
            self.lose(&seg.flow);
            return Verdict::Reset(self.reset(now, Some(ix), seg.flow, seg.ack, reason));
        }
        if seg.kind == SegmentKind::Abort {
            self.forget(&seg.flow);
            return self.forward(ix);
        }
        self.observe(now, ix, seg);
        if seg.kind == SegmentKind::Finish {
            self.judge_answered(now, ix, &seg.flow);
        }
        self.forward(ix)
    }

    /// Forgets a flow that is reset.
    fn lose(&mut self, key: &FlowKey) {
        let flow = self.flows.remove(key);
        self.count_broken(key, flow.as_ref());
        if let Some(flow) = flow {
            leave(&mut self.seen, &flow);
        }
    }

    /// Forgets a flow.
    fn forget(&mut self, flow: &FlowKey) {
        if let Some(flow) = self.flows.remove(flow) {
            leave(&mut self.seen, &flow);
        }
    }

    fn forward(&mut self, ix: UpstreamIx) -> Verdict {
        let Some(it) = self.registry.get(ix) else { return Verdict::Drop };
        self.stats.forwarded += 1;
        Verdict::Forward { to: it.said.addr, id: it.said.key.id, token: it.token }
    }
}

/// Time within which copies of an opening packet come.
const OPENING: Millis = Millis(3_000);

/// Takes a flow out of the load of its upstream.
fn leave(seen: &mut [Seen], flow: &Flow) {
    if !flow.open {
        return;
    }
    let Some(it) = seen.get_mut(flow.upstream().0 as usize) else { return };
    it.load.waiting = it.load.waiting.saturating_sub(u32::from(flow.asked.is_some()));
}
