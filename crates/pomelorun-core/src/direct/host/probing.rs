//! Probes of upstreams: which reference each one gets, and those of a zone that is silent as a whole.

use crate::{
    direct::{
        host::{DirectHost, Probe, failure_detection::RECENT_ACTIVITY},
        liveness::{Liveness, ProbeKind, Reachability},
        mechanism::Mechanism,
        registry::UpstreamIx,
    },
    time::Millis,
};

impl DirectHost {
    pub(super) fn send_probe(&mut self, now: Millis, ix: UpstreamIx, kind: ProbeKind) {
        let candidates = match kind {
            ProbeKind::Connect => self.reference_candidates(now),
            ProbeKind::Identify => [None; 2],
        };
        self.send_probe_with_reference(ix, kind, candidates);
    }

    /// Sends a probe with one of `candidates`, but not the probed upstream itself, as its
    /// reference.
    fn send_probe_with_reference(
        &mut self,
        ix: UpstreamIx,
        kind: ProbeKind,
        candidates: [Option<UpstreamIx>; 2],
    ) {
        let Some(it) = self.registry.get(ix).filter(|it| !it.ended) else { return };
        let limits = self.routing.limits(&it.announcement.service);
        let path = limits.map(|it| it.health_path.clone()).unwrap_or_default();
        let (upstream, addr) = (it.announcement.key, it.announcement.addr);
        let reference = candidates.into_iter().flatten().find(|it| *it != ix);
        let reference_addr =
            reference.and_then(|it| self.registry.get(it)).map(|it| it.announcement.addr);
        self.stats.probes += 1;
        self.probes.push(Probe { upstream, addr, kind, path, reference_addr });
    }

    /// Returns up to two recently active upstreams, neither suspect nor unreachable, that responded
    /// last, latest first.
    ///
    /// There are two, so that one of them is not the upstream to be probed.
    fn reference_candidates(&self, now: Millis) -> [Option<UpstreamIx>; 2] {
        let last_response =
            |ix: UpstreamIx| self.upstream_states[ix.0 as usize].liveness.last_response();
        let is_later = |ix: UpstreamIx, than: Option<UpstreamIx>| {
            than.is_none_or(|it| last_response(ix) >= last_response(it))
        };
        let mut latest = [None; 2];
        if !self.is_enabled(Mechanism::ProbeReference) {
            return latest;
        }
        for (ix, it) in self.registry.iter() {
            let recently_active = now.since(last_response(ix)) < RECENT_ACTIVITY;
            if it.ended || !recently_active || self.reachability(ix) != Reachability::Answering {
                continue;
            }
            if is_later(ix, latest[0]) {
                latest = [Some(ix), latest[0]];
            } else if is_later(ix, latest[1]) {
                latest[1] = Some(ix);
            }
        }
        latest
    }

    /// Probes all upstreams of another zone that has not responded since a caller of the `lost`
    /// upstream began to wait, and for which `start` returns `true`.
    ///
    /// The path to the whole zone may be cut. Probing at once is faster than waiting until callers
    /// retransmit to each upstream in turn.
    pub(super) fn probe_silent_zone(
        &mut self,
        now: Millis,
        lost: UpstreamIx,
        waited: Millis,
        start: fn(&mut Liveness, Millis, Millis) -> bool,
    ) {
        let Some(zone) = self.registry.get(lost).map(|it| it.announcement.zone) else { return };
        let silent_since = now - waited;
        let response = self.zone_responses.binary_search_by_key(&zone, |it| it.0);
        let responded = response.is_ok_and(|at| self.zone_responses[at].1 > silent_since);
        if zone == self.cfg.zone || responded || !self.is_enabled(Mechanism::ZoneProbe) {
            return;
        }
        let zone_upstreams: Vec<UpstreamIx> = self
            .registry
            .iter()
            .filter(|it| it.1.announcement.zone == zone && !it.1.ended)
            .map(|it| it.0)
            .collect();
        let candidates = self.reference_candidates(now);
        for ix in zone_upstreams {
            if start(&mut self.upstream_states[ix.0 as usize].liveness, now, silent_since) {
                self.mark_unhealthy(ix);
                self.send_probe_with_reference(ix, ProbeKind::Connect, candidates);
            }
        }
    }
}
