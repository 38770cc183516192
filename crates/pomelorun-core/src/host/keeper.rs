//! The role of keeper: where the flows of a bucket live.

use std::sync::Arc;

use pomelorun_wire::{
    Code, FlowEntry, FlowKey, HostId, Kind, MemberState, Packet, PeerMsg, Relay, Stage, UpstreamId,
};

use crate::{
    action::{Action, Actions},
    choice::candidates,
    host::entry::Next,
    host::{ASK_LEAVING_FOR, FLOWS_PER_MESSAGE, HostCore},
    snapshot::{ServiceView, Snapshot},
    time::Millis,
};

impl HostCore {
    /// Tells new keepers of flows, a bounded number at a time.
    pub(super) fn hand_over_some(&mut self, out: &mut Actions) {
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

    /// Decides as the keeper of the packet's flow.
    pub(super) fn keep(&mut self, now: Millis, packet: &Packet<'_>) -> Next {
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

    pub(super) fn known(&mut self, flow: &FlowKey, upstream: UpstreamId) -> Next {
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
    pub(super) fn open(&mut self, now: Millis, flow: &FlowKey) -> Next {
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

    pub(super) fn choose(
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
    pub(super) fn next_probe(&self, now: Millis, flow: &FlowKey, asked: u16) -> Next {
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
    pub(super) fn just_left(&self, now: Millis) -> impl Iterator<Item = HostId> + '_ {
        let others = self.members.others().iter();
        others
            .filter(move |it| {
                it.state == MemberState::Leaving && now.since(it.since) < ASK_LEAVING_FOR
            })
            .map(|it| it.host)
    }

    pub(super) fn probed(&mut self, now: Millis, relay: &Relay<'_>, hops: u8, out: &mut Actions) {
        let packet = &relay.packet;
        if let Some(upstream) = self.flows.get(&packet.flow()) {
            self.route_to_steward(now, packet, upstream, hops, out);
            return;
        }
        let rank = relay.rank();
        self.relay(relay.from(), Stage::ProbeMissed, hops, |it| it.rank(rank), packet, out);
    }

    pub(super) fn forget(&mut self, flow: &FlowKey) {
        if let Some(id) = self.flows.remove(flow) {
            self.chooser.sub(id);
        }
    }

    /// The flows known here that do not live where their hash alone says.
    ///
    /// Those of other keepers are among them: a keeper that took a bucket over lately may not have
    /// asked for them yet.
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
