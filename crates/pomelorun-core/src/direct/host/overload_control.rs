//! Overload control: which new flows are admitted, and to which upstreams.

use smallvec::SmallVec;

use crate::{
    direct::{
        event::DirectEvent,
        host::DirectHost,
        liveness::Reachability,
        mechanism::Mechanism,
        observed_flows::Attempts,
        overload::{
            Admission, Opening, ServiceLoad, ServiceOverload, UpstreamRoom, Urgency, service_salt,
            target_per_slot,
        },
        placement::{Candidate, Choice},
        registry::{Upstream, UpstreamIx},
        routing::DirectRoute,
        segment::Segment,
        upstream_speed::AnswerSample,
    },
    time::Millis,
};

/// Time between two looks at the load of a service.
const REFRESH_INTERVAL: Millis = Millis(100);

impl DirectHost {
    /// Decides whether a new flow of `route` to `service` may be opened.
    pub(super) fn admit_flow(
        &mut self,
        now: Millis,
        route: &DirectRoute,
        service: &str,
        seg: &Segment,
        attempts: &Attempts,
    ) -> Admission {
        let urgency = self.urgency(route, service);
        if urgency == Urgency::Only {
            return Admission::Admit;
        }
        self.refresh_overload(now, service);
        let opening = Opening {
            urgency,
            flow_hash: seg.flow.stable_hash(),
            timeout: route.class.timeout,
            service_time_ms: self.shared_load.service_time_ms(now, route.addr),
            // Another host may have sent an earlier transmission, which this packet counts.
            was_sent: seg.ack > 0
                || !attempts.upstreams.is_empty()
                || !self.is_enabled(Mechanism::OverloadRejection),
        };
        let admission = self.overload.entry(service).state.admit(now, &opening);
        if admission == Admission::Reject {
            self.stats.rejected_overload += 1;
            self.stats.rejected_overload_urgent += u64::from(urgency == Urgency::Most);
        }
        admission
    }

    /// Records how long an upstream took to answer a request.
    pub(super) fn record_answer_delay(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        sample: &AnswerSample,
    ) {
        let Some(usual_ms) = self.service_times.get(sample.route) else { return };
        let Some(it) = self.registry.get(ix) else { return };
        if let Some(entry) = self.overload.get_mut(&it.announcement.service) {
            let took = sample.took.since(sample.round_trip);
            entry.state.record_answer(now, took.0 as f64, usual_ms);
        }
    }

    /// Removes the candidates that a flow which was admitted as told has to avoid, unless no good
    /// one would be left.
    pub(super) fn restrict_candidates(
        &self,
        service: &str,
        admission: Admission,
        candidates: &mut SmallVec<[Candidate; 32]>,
    ) {
        if admission == Admission::Admit {
            return;
        }
        let Some(entry) = self.overload.get(service) else { return };
        let allows = |it: &Candidate| entry.state.allows(admission, it.ix);
        if candidates.iter().any(|it| it.choice == Choice::Good && allows(it)) {
            candidates.retain(|it| allows(it));
        }
    }

    /// Returns `true` while the upstreams of a service have too little room.
    pub(super) fn is_short_of_room(&self, service: &str) -> bool {
        self.is_enabled(Mechanism::OverloadRejection)
            && self.overload.get(service).is_some_and(|it| it.state.is_short())
    }

    /// Returns the urgency of a route among the routes to a service.
    fn urgency(&mut self, route: &DirectRoute, service: &str) -> Urgency {
        let revision = self.routing.revision;
        if self.overload.get(service).and_then(|it| it.revision) != Some(revision) {
            let routing = &self.routing;
            let routes = routing.routes().iter().filter(|it| it.share_of(service) > 0.0);
            let priorities = routes.map(|it| it.class.priority);
            let (most, least) =
                priorities.fold((u8::MAX, 0), |(most, least), it| (most.min(it), least.max(it)));
            let entry = self.overload.entry(service);
            (entry.revision, entry.priorities) = (Some(revision), (most, least));
            entry.refreshed = None;
            if most == least {
                entry.state = ServiceOverload::default();
            }
        }
        let (most, least) = self.overload.entry(service).priorities;
        Urgency::of(route.class.priority, most, least)
    }

    fn refresh_overload(&mut self, now: Millis, service: &str) {
        let entry = self.overload.entry(service);
        if entry.refreshed.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        entry.refreshed = Some(now);
        let priorities = entry.priorities;
        let load = self.service_load(now, service, priorities);
        let salt = self.is_enabled(Mechanism::UrgentReserve).then(|| service_salt(service));
        let report = self.overload.entry(service).state.refresh(now, load, salt);
        if let Some(report) = report.filter(|_| self.is_enabled(Mechanism::OverloadRejection)) {
            self.emit(DirectEvent::Shortage { service: service.to_owned(), report });
        }
    }

    /// Returns the load of a service, or `None` without a recent picture of it.
    fn service_load(
        &self,
        now: Millis,
        service: &str,
        (most, least): (u8, u8),
    ) -> Option<ServiceLoad> {
        let shared = &self.shared_load;
        let picture = shared.picture(now);
        let mut is_known = false;
        let mut own_in_progress = 0.0;
        let mut rooms = Vec::new();
        for &ix in self.registry.by_service(service) {
            let Some(it) = self.registry.get(ix).filter(|it| self.takes_flows(now, ix, it)) else {
                continue;
            };
            let load = self.upstream_load(&picture, ix, it);
            is_known |= load.in_progress.is_some();
            own_in_progress += f64::from(self.upstream_states[ix.0 as usize].load.waiting);
            rooms.push(UpstreamRoom {
                ix,
                id: it.announcement.key.id,
                zone: it.announcement.zone,
                in_progress: load.in_progress.unwrap_or(0.0),
                slots: f64::from(it.announcement.slots),
                speed: load.speed,
                reserved: false,
            });
        }
        if !is_known {
            return None;
        }
        let routes = || self.routing.routes().iter().filter(|it| it.share_of(service) > 0.0);
        let usual_ms = self.mean_service_time_ms(now, routes());
        let busy_slots = |it: &DirectRoute| {
            let time_ms = shared.service_time_ms(now, it.addr).or(usual_ms)?;
            let per_s = shared.requests_per_s(now, it.addr)?;
            Some(per_s * time_ms / 1_000.0 * it.share_of(service))
        };
        let urgent = routes().filter(|it| it.class.priority == most);
        let slots: f64 = urgent.filter_map(busy_slots).sum();
        // A route without a rate has no requests, once there are rates of others.
        let urgent_slots = usual_ms.map(|_| slots);
        let least_urgent = || routes().filter(|it| it.class.priority == least);
        let service_time_ms = self.mean_service_time_ms(now, least_urgent());
        // Of the least urgent routes in use, the one with the strictest goal; of all, if none is.
        let targets = |is_any: bool| {
            let times = least_urgent().map(|it| (it, shared.service_time_ms(now, it.addr)));
            let used = times.filter(move |it| is_any || it.1.is_some());
            used.map(|(it, time)| target_per_slot(it.answer_within, time)).min_by(f64::total_cmp)
        };
        let target = targets(false).or_else(|| targets(true))?;
        let hosts = shared.hosts(now);
        Some(ServiceLoad { rooms, own_in_progress, urgent_slots, target, service_time_ms, hosts })
    }

    /// Returns the usual time to an answer of routes, weighted by their requests.
    fn mean_service_time_ms<'a>(
        &self,
        now: Millis,
        routes: impl Iterator<Item = &'a DirectRoute>,
    ) -> Option<f64> {
        let shared = &self.shared_load;
        let (sum, weight) = routes.fold((0.0, 0.0), |(sum, weight), it| {
            let Some(time) = shared.service_time_ms(now, it.addr) else { return (sum, weight) };
            let rate = shared.requests_per_s(now, it.addr).unwrap_or(0.0).max(0.1);
            (sum + rate * time, weight + rate)
        });
        (weight > 0.0).then(|| sum / weight)
    }

    /// Returns `true` if an upstream takes new flows of some host.
    fn takes_flows(&self, now: Millis, ix: UpstreamIx, it: &Upstream) -> bool {
        it.is_eligible()
            && now >= it.cold_until
            && self.withdrawn_zones.binary_search(&it.announcement.zone).is_err()
            && !matches!(self.reachability(ix), Reachability::Unreachable { .. })
    }
}
