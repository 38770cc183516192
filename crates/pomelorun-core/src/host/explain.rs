//! Explanation of how a host would route the packets of a flow, for operators.
//!
//! Explaining a flow changes no state.

use pomelorun_wire::{Code, FlowKey, HostId, UpstreamId};

use crate::{
    host::{HostCore, entry::RouteDecision},
    primary::UpstreamStatus,
    routing_table::bucket_ranking,
    time::Millis,
};

/// Maximum number of hosts in the reported ranking of a bucket.
const MAX_RANKED_HOSTS: usize = 5;

/// Where this host would send a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// To the upstream, since this host is its primary.
    Upstream(UpstreamId),
    /// To the primary of the upstream.
    Primary(UpstreamId, HostId),
    /// To the owner of the flow's bucket.
    BucketOwner(HostId),
    /// To a host that may know the flow, as a probe.
    Probe(HostId),
    /// Nowhere; the caller is told that the flow is abandoned.
    Abandon(Code),
    /// Nowhere; the caller gets an error with a retry-after.
    RetryLater(Code),
}

/// What one host knows of a flow and would do with its packets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The flow's bucket.
    pub bucket: u32,
    /// First hosts by rendezvous rank for the bucket, the bucket owner first.
    pub ranking: Vec<HostId>,
    /// Upstream that serves the flow, if this host knows it from packets or from another host.
    pub assigned_upstream: Option<UpstreamId>,
    /// Upstream that this host would select for a new flow with this key.
    pub selected_upstream: Option<UpstreamId>,
    /// Primary of the assigned upstream, or of the selected one if none is assigned.
    pub primary: Option<HostId>,
    /// Backup of the same upstream.
    pub backup: Option<HostId>,
    /// State of the same upstream, if this host holds it.
    pub status: Option<UpstreamStatus>,
    /// Route of an open packet that the network fabric delivers to this host.
    pub open: Route,
    /// Route of a request that the network fabric delivers to this host.
    pub request: Route,
}

impl HostCore {
    /// Explains what this host knows of a flow and would do with its packets.
    pub fn explain(&self, now: Millis, flow: &FlowKey) -> Explanation {
        let bucket = self.flows.bucket_of(flow);
        let assigned = self.flows.get(flow);
        let selected = self.upstream_for_new_flow(flow).ok();
        let subject = assigned.or(selected);
        Explanation {
            bucket,
            ranking: bucket_ranking(self.routing.hosts(), bucket, MAX_RANKED_HOSTS),
            assigned_upstream: assigned,
            selected_upstream: selected,
            primary: subject.and_then(|it| self.routing.primary(it)),
            backup: subject.and_then(|it| self.routing.backup(it)),
            status: self.primaries.iter().find(|it| Some(it.id()) == subject).map(|it| it.status()),
            open: self.route(flow, |it| it.decide_open(now, flow)),
            request: self.route(flow, |it| it.lookup_step(now, flow)),
        }
    }

    fn upstream_for_new_flow(&self, flow: &FlowKey) -> Result<UpstreamId, Code> {
        let snapshot = self.snapshots.first().ok_or(Code::NOT_READY)?;
        let service = snapshot.service(flow.service).ok_or(Code::SERVICE_UNKNOWN)?;
        self.select_upstream(snapshot, service, flow).ok_or(Code::NO_UPSTREAM)
    }

    fn decide_open(&self, now: Millis, flow: &FlowKey) -> RouteDecision {
        if let Some(host) = self.host_to_probe_before_open(now, flow) {
            return RouteDecision::Probe(host);
        }
        self.upstream_for_new_flow(flow)
            .map_or_else(RouteDecision::RetryLater, RouteDecision::Primary)
    }

    fn route(&self, flow: &FlowKey, decide_unknown: impl Fn(&HostCore) -> RouteDecision) -> Route {
        let Some(snapshot) = self.snapshots.first() else {
            return Route::RetryLater(Code::NOT_READY);
        };
        if snapshot.service(flow.service).is_none() {
            return Route::RetryLater(Code::SERVICE_UNKNOWN);
        }
        let assigned = self.flows.get(flow);
        if let Some(id) = assigned.filter(|&it| self.routing.primary(it) == Some(self.me)) {
            return Route::Upstream(id);
        }
        let next = match (self.routing.bucket_owner(self.flows.bucket_of(flow)), assigned) {
            (None, _) => return Route::RetryLater(Code::NO_UPSTREAM),
            (Some(owner), _) if owner != self.me => return Route::BucketOwner(owner),
            (Some(_), None) => decide_unknown(self),
            (Some(_), Some(id)) => {
                let withdrawn =
                    snapshot.upstream(id).is_none_or(|it| snapshot.is_zone_withdrawn(it.zone));
                if withdrawn {
                    RouteDecision::Abandon(Code::FLOW_ZONE_WITHDRAWN)
                } else {
                    RouteDecision::Primary(id)
                }
            }
        };
        match next {
            RouteDecision::Primary(id) => match self.routing.primary(id) {
                Some(primary) if primary == self.me => Route::Upstream(id),
                Some(primary) => Route::Primary(id, primary),
                None => Route::RetryLater(Code::FLOW_ZONE_UNREACHABLE),
            },
            RouteDecision::Probe(host) => Route::Probe(host),
            RouteDecision::Abandon(code) => Route::Abandon(code),
            RouteDecision::RetryLater(code) => Route::RetryLater(code),
        }
    }
}
