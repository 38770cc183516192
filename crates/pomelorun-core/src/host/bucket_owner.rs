//! Decisions of a bucket owner: where the flows of a bucket live.

use std::sync::Arc;

use pomelorun_wire::{
    Code, FlowEntry, FlowKey, HostId, Kind, MemberState, Packet, PeerMsg, Relay, Stage, UpstreamId,
};
use smallvec::SmallVec;

use crate::{
    action::{Action, Actions},
    host::entry::Next,
    host::{ASK_LEAVING_FOR, HOPS, HostCore},
    selection::candidates,
    snapshot::{ServiceView, Snapshot},
    time::Millis,
};

/// Time after a bucket's move during which its new bucket owner asks before it opens a flow.
const OPEN_ASKS_FOR: Millis = Millis(3_000);

impl HostCore {
    /// Tells new bucket owners of flows, a bounded number at a time.
    pub(super) fn hand_over_some(&mut self, out: &mut Actions) {
        let count = self.hand_over.len().min(self.cfg.handover_flows_per_tick);
        let mut by_owner: Vec<(HostId, Vec<FlowEntry>)> = Vec::new();
        for entry in self.hand_over.drain(..count) {
            let Some(to) = self.routing.bucket_owner(self.flows.bucket_of(&entry.flow)) else {
                continue;
            };
            match by_owner.iter_mut().find(|it| it.0 == to) {
                Some(it) => it.1.push(entry),
                None => by_owner.push((to, vec![entry])),
            }
        }
        for (to, entries) in by_owner {
            out.push(Action::Peer { to, msg: PeerMsg::Flows { entries } });
        }
    }

    /// Decides as the bucket owner of the packet's flow.
    pub(super) fn route_as_bucket_owner(&mut self, now: Millis, packet: &Packet<'_>) -> Next {
        let flow = packet.flow();
        if let Some(upstream) = self.flows.touch(now, &flow) {
            if packet.kind() == Kind::Open && self.routing.primary(upstream).is_none() {
                // Its caller has not been answered, so the flow may still live elsewhere.
                self.forget(&flow);
                return self.open(now, &flow);
            }
            if packet.kind() == Kind::Close {
                self.forget(&flow);
            }
            return self.known(&flow, upstream);
        }
        if packet.kind() == Kind::Open {
            self.open_or_ask(now, &flow)
        } else {
            self.look_up(now, &flow)
        }
    }

    /// Opens a flow, unless an earlier bucket owner may have opened it already.
    fn open_or_ask(&mut self, now: Millis, flow: &FlowKey) -> Next {
        if let Some(host) = self.asked_before_opening(now, flow) {
            self.lookups.ask(now, flow, host);
            return Next::Probe(host);
        }
        self.open(now, flow)
    }

    /// The host that is asked before a flow is opened, where its bucket came here lately.
    pub(super) fn asked_before_opening(&self, now: Millis, flow: &FlowKey) -> Option<HostId> {
        let bucket = self.flows.bucket_of(flow) as usize;
        let lately = self.moved.get(bucket).is_some_and(|it| now.since(*it) < OPEN_ASKS_FOR);
        if lately { self.next_host(now, flow) } else { None }
    }

    fn look_up(&mut self, now: Millis, flow: &FlowKey) -> Next {
        let next = self.search_step(now, flow);
        if let Next::Probe(host) = next {
            self.lookups.ask(now, flow, host);
        }
        next
    }

    /// Asks the next host that may know the flow; tries the likeliest home once none does.
    pub(super) fn search_step(&self, now: Millis, flow: &FlowKey) -> Next {
        if let Some(host) = self.next_host(now, flow) {
            return Next::Probe(host);
        }
        let history = self.history.iter().map(Arc::as_ref);
        let found = candidates(history, flow, self.cfg.max_probed_upstreams);
        let untried = |it: &&UpstreamId| !self.lookups.was_reset(flow, **it);
        let mut cut = false;
        for &id in found.iter().filter(untried) {
            if self.routing.primary(id).is_some() {
                return Next::Primary(id);
            }
            cut |= self.is_in(id);
        }
        if cut { Next::ComeBack(Code::ZONE_CUT) } else { Next::GiveUp(Code::FLOW_UNKNOWN) }
    }

    fn is_in(&self, id: UpstreamId) -> bool {
        let Some(snapshot) = self.history.first() else { return false };
        snapshot.upstream(id).is_some_and(|it| !snapshot.is_zone_withdrawn(it.zone))
    }

    /// A host that was asked knows where the flow lives.
    pub(super) fn found(&mut self, now: Millis, relay: &Relay<'_>, out: &mut Actions) {
        let packet = &relay.packet;
        let (flow, id) = (packet.flow(), relay.upstream());
        if self.lookups.was_reset(&flow, id) || !self.is_in(id) {
            let noted = self.lookups.miss(now, &flow, relay.from());
            self.search_on(now, packet, noted, out);
            return;
        }
        if self.flows.get(&flow).is_none() {
            self.learn(now, &flow, id);
        }
        self.route_to_bucket_owner(now, packet, HOPS, out);
    }

    /// Goes on with a search, or ends it where what was found out could not be noted.
    pub(super) fn search_on(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        noted: bool,
        out: &mut Actions,
    ) {
        if noted {
            self.route_to_bucket_owner(now, packet, HOPS, out);
        } else {
            self.come_back(packet, Code::HOPS_SPENT, out);
        }
    }

    /// An upstream has said that it does not know the flow.
    pub(super) fn not_there(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        id: UpstreamId,
        out: &mut Actions,
    ) {
        let flow = packet.flow();
        if self.flows.get(&flow) == Some(id) {
            self.forget(&flow);
        }
        let noted = self.lookups.reset(now, &flow, id);
        self.search_on(now, packet, noted, out);
    }

    fn learn(&mut self, now: Millis, flow: &FlowKey, id: UpstreamId) {
        self.lookups.end(flow);
        if self.flows.insert(now, flow, id).is_none() {
            self.selector.add_flow(id);
        }
    }

    pub(super) fn known(&mut self, flow: &FlowKey, upstream: UpstreamId) -> Next {
        let Some(snapshot) = self.history.first() else { return Next::ComeBack(Code::NOT_READY) };
        let out = snapshot.upstream(upstream).is_none_or(|it| snapshot.is_zone_withdrawn(it.zone));
        if out {
            self.forget(flow);
            return Next::GiveUp(Code::ZONE_OUT);
        }
        match self.routing.primary(upstream) {
            Some(_) => Next::Primary(upstream),
            None => Next::ComeBack(Code::ZONE_CUT),
        }
    }

    /// Chooses an upstream for a new flow.
    pub(super) fn open(&mut self, now: Millis, flow: &FlowKey) -> Next {
        let Some(snapshot) = self.history.first() else { return Next::ComeBack(Code::NOT_READY) };
        let Some(service) = snapshot.service(flow.service) else {
            return Next::ComeBack(Code::SERVICE_UNKNOWN);
        };
        let Some(id) = self.choose(snapshot, service, flow) else {
            return Next::ComeBack(Code::NO_UPSTREAM);
        };
        self.flows.insert(now, flow, id);
        self.selector.add_flow(id);
        Next::Primary(id)
    }

    pub(super) fn choose(
        &self,
        snapshot: &Snapshot,
        service: &ServiceView,
        flow: &FlowKey,
    ) -> Option<UpstreamId> {
        let usable = |at: usize| {
            let it = &snapshot.upstreams[at];
            !it.draining
                && !snapshot.is_zone_withdrawn(it.zone)
                && self.routing.primary(it.id).is_some()
        };
        let pool = &snapshot.pools[service.pool];
        self.selector.select(snapshot, pool, flow, self.cfg.load_bound_percent, &usable)
    }

    /// The next host that may know where a flow lives: those that owned its bucket or would own
    /// it next, then the primaries of its likeliest homes, then others.
    fn next_host(&self, now: Millis, flow: &FlowKey) -> Option<HostId> {
        let bucket = self.flows.bucket_of(flow);
        let history = self.history.iter().map(Arc::as_ref);
        let homes = candidates(history, flow, self.cfg.max_probed_hosts);
        let primaries = homes.iter().filter_map(|&it| self.routing.primary(it));
        let ranks = self.routing.bucket_ranks(bucket).iter().copied();
        let others = self.routing.hosts().iter().map(|it| it.host);
        let mut asked: SmallVec<[HostId; 16]> = SmallVec::new();
        for host in self.just_left(now).chain(ranks).chain(primaries).chain(others) {
            if asked.len() == self.cfg.max_probed_hosts {
                return None;
            }
            if host == self.me || asked.contains(&host) {
                continue;
            }
            if self.lookups.may_ask(now, flow, host) {
                return Some(host);
            }
            asked.push(host);
        }
        None
    }

    /// Hosts that announced their leaving so lately that they are still there to be asked.
    pub(super) fn just_left(&self, now: Millis) -> impl Iterator<Item = HostId> + '_ {
        let others = self.members.others().iter();
        others
            .filter(move |it| {
                it.state == MemberState::Leaving && now.since(it.since) < ASK_LEAVING_FOR
            })
            .map(|it| it.host)
    }

    pub(super) fn probed(&mut self, relay: &Relay<'_>, hops: u8, out: &mut Actions) {
        let packet = &relay.packet;
        if let Some(upstream) = self.flows.get(&packet.flow()) {
            self.relay(relay.from(), Stage::Found, hops, |it| it.upstream(upstream), packet, out);
            return;
        }
        self.relay(relay.from(), Stage::ProbeMissed, hops, |it| it, packet, out);
    }

    pub(super) fn forget(&mut self, flow: &FlowKey) {
        if let Some(id) = self.flows.remove(flow) {
            self.selector.remove_flow(id);
        }
    }

    /// The flows known here that do not live where their hash alone says.
    ///
    /// Those of other bucket owners are among them: a host that took a bucket over lately may not
    /// have asked for them yet.
    pub(super) fn exceptions(&self) -> Vec<FlowEntry> {
        let mut found = Vec::new();
        for (flow, upstream) in self.flows.iter() {
            let newest = self.history.iter().take(1).map(Arc::as_ref);
            if candidates(newest, &flow, 1).first() != Some(&upstream) {
                found.push(FlowEntry { flow, upstream });
            }
        }
        found
    }
}
