//! Views of the host's state and of single flows for operators.

use std::net::SocketAddrV4;

use pomelorun_wire::{FlowKey, ServiceAddr};

use crate::{
    direct::{
        host::{DirectHost, DirectoryState},
        liveness::Reachability,
        placement::{Candidate, choose},
        registry::{Upstream, UpstreamIx},
        token::Token,
        view::{
            DirectView, FlowView, KnownFrom, ReachabilityView, RouteLoadView, SharedLoadView,
            UpstreamView,
        },
    },
    time::Millis,
};

impl DirectHost {
    /// Returns the state of the host.
    pub fn view(&self, now: Millis) -> DirectView {
        DirectView {
            revision: self.routing.revision,
            routes: self.routing.routes().len(),
            directory_answers: self.directory_state == DirectoryState::Available,
            directory_ago_ms: self.directory_age(now).map(|it| it.0),
            directory_era: self.directory_era.era(),
            flows: self.flows.len(),
            hosts: self.cold_owners.live().len(),
            zone_hosts: self.zone_hosts.len(),
            shared_load: self.shared_load_view(now),
            zones_out: self.withdrawn_zones.clone(),
            upstreams: self
                .registry
                .iter()
                .map(|(ix, it)| self.upstream_view(now, ix, it))
                .collect(),
        }
    }

    /// Explains where a flow goes and why.
    ///
    /// `token` is the token that the flow's packets carry, if it is known.
    pub fn explain(&mut self, now: Millis, flow: &FlowKey, token: Option<Token>) -> FlowView {
        let by_token = token.and_then(|it| self.registry.by_token(it));
        let tracked = self.flows.get_mut(flow).map(|it| it.upstream());
        let known_from = match (tracked, by_token) {
            (Some(_), _) => Some(KnownFrom::Packets),
            (None, Some(_)) => Some(KnownFrom::Token),
            (None, None) => None,
        };
        let name = |ix: UpstreamIx| self.registry.get(ix).map(format_id);
        let service = self.routing.route(flow.service).and_then(|it| it.service_of(flow));
        let candidates = service.map(|it| self.candidates(now, it, flow, &[])).unwrap_or_default();
        let of_service = service.map(|it| self.registry.by_service(it)).unwrap_or_default();
        let views = of_service.iter().filter_map(|&ix| Some((ix, self.registry.get(ix)?)));
        let mut upstreams: Vec<UpstreamView> =
            views.map(|(ix, it)| self.upstream_view(now, ix, it)).collect();
        upstreams.sort_by(|a, b| {
            let rank = |it: &UpstreamView| it.choice.map_or(usize::MAX, |it| it as usize);
            rank(a).cmp(&rank(b)).then(a.score.total_cmp(&b.score))
        });
        FlowView {
            revision: self.routing.revision,
            service: service.map(str::to_owned),
            lives_at: tracked.or(by_token).and_then(name),
            known_from,
            would_go_to: choose(&candidates).and_then(|it| name(it.ix)),
            upstreams,
        }
    }

    fn shared_load_view(&self, now: Millis) -> Option<SharedLoadView> {
        let age_ms = self.shared_load.age(now)?.0;
        let route = |addr: ServiceAddr| {
            Some(RouteLoadView {
                address: SocketAddrV4::new(addr.ip.into(), addr.port),
                requests_per_s: self.shared_load.requests_per_s(now, addr)?,
                service_time_ms: self.shared_load.service_time_ms(now, addr),
            })
        };
        let routes = self.shared_load.addresses().into_iter().filter_map(route).collect();
        Some(SharedLoadView { age_ms, hosts: self.shared_load.hosts(now), routes })
    }

    fn upstream_view(&self, now: Millis, ix: UpstreamIx, it: &Upstream) -> UpstreamView {
        let state = &self.upstream_states[ix.0 as usize];
        let choice = self.classify(now, ix, it);
        let load_share = self.load_share(&it.announcement.service);
        let picture = self.shared_load.picture(now);
        let load = self.upstream_load(&picture, ix, it);
        UpstreamView {
            upstream: format_id(it),
            token: it.token.to_string(),
            service: it.announcement.service.clone(),
            zone: it.announcement.zone,
            address: it.announcement.addr,
            reachability: match state.liveness.reachability() {
                Reachability::Answering => ReachabilityView::Answering,
                Reachability::Suspect => ReachabilityView::Suspect,
                Reachability::Unreachable { .. } => ReachabilityView::Unreachable,
            },
            answered_ago_ms: now.since(state.liveness.last_response()).0,
            ejected: state.outlier.is_ejected(now),
            cold_left_ms: it.cold_until.since(now).0,
            lapsed_ms: it.lapsed_at.map(|at| now.since(at).0),
            waiting: state.load.waiting,
            shared_in_progress: load.in_progress,
            speed: Some(load.speed).filter(|it| *it != 1.0),
            choice: choice.ok(),
            ineligible: choice.err(),
            score: Candidate { load_share, ..self.candidate(now, &picture, ix, it) }.score(),
        }
    }
}

fn format_id(it: &Upstream) -> String {
    format!("{:016x}", it.announcement.key.id)
}
