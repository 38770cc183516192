//! What would happen to a flow's packet, for operators. Nothing is changed by asking.

use pomelorun_wire::{Code, FlowKey, HostId, UpstreamId};

use crate::{
    host::{HostCore, entry::Next},
    primary::UpstreamStatus,
    routing_table::bucket_ranking,
    time::Millis,
};

/// Hosts that are named in the ranking of a bucket.
const RANKED: usize = 5;

/// Where this host would send a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// To the upstream, as its primary.
    Upstream(UpstreamId),
    /// To the primary of the upstream.
    Primary(UpstreamId, HostId),
    /// To the owner of the flow's bucket.
    BucketOwner(HostId),
    /// To a host that may know the flow.
    Probe(HostId),
    /// Nowhere: the caller is told that the flow is given up.
    Abandon(Code),
    /// Nowhere: the caller is told to come back.
    RetryLater(Code),
}

/// What one host knows of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The flow's bucket.
    pub bucket: u32,
    /// The first hosts by score for the bucket, the bucket owner first.
    pub ranking: Vec<HostId>,
    /// Where the flow lives, as this host knows from its packets or from another host.
    pub assigned_upstream: Option<UpstreamId>,
    /// Where a new flow with this key would be opened now, as far as this host knows.
    pub selected_upstream: Option<UpstreamId>,
    /// Primary and backup of the home, or of the choice where no home is known.
    pub primary: Option<HostId>,
    /// See `primary`.
    pub backup: Option<HostId>,
    /// State of that upstream, where this host holds it.
    pub status: Option<UpstreamStatus>,
    /// What would happen to an opening packet that the fabric hands to this host.
    pub open: Route,
    /// The same for a request.
    pub request: Route,
}

impl HostCore {
    /// Explains what this host knows of a flow and would do with its packets.
    pub fn explain(&self, now: Millis, flow: &FlowKey) -> Explanation {
        let bucket = self.flows.bucket_of(flow);
        let home = self.flows.get(flow);
        let choice = self.choice(flow).ok();
        let subject = home.or(choice);
        Explanation {
            bucket,
            ranking: bucket_ranking(self.routing.hosts(), bucket, RANKED),
            assigned_upstream: home,
            selected_upstream: choice,
            primary: subject.and_then(|it| self.routing.primary(it)),
            backup: subject.and_then(|it| self.routing.backup(it)),
            status: self.primaries.iter().find(|it| Some(it.id()) == subject).map(|it| it.status()),
            open: self.route(flow, |it| it.opened_at(now, flow)),
            request: self.route(flow, |it| it.search_step(now, flow)),
        }
    }

    fn choice(&self, flow: &FlowKey) -> Result<UpstreamId, Code> {
        let snapshot = self.history.first().ok_or(Code::NOT_READY)?;
        let service = snapshot.service(flow.service).ok_or(Code::SERVICE_UNKNOWN)?;
        self.choose(snapshot, service, flow).ok_or(Code::NO_UPSTREAM)
    }

    fn opened_at(&self, now: Millis, flow: &FlowKey) -> Next {
        if let Some(host) = self.asked_before_opening(now, flow) {
            return Next::Probe(host);
        }
        self.choice(flow).map_or_else(Next::ComeBack, Next::Primary)
    }

    fn route(&self, flow: &FlowKey, unknown: impl Fn(&HostCore) -> Next) -> Route {
        let Some(snapshot) = self.history.first() else {
            return Route::RetryLater(Code::NOT_READY);
        };
        if snapshot.service(flow.service).is_none() {
            return Route::RetryLater(Code::SERVICE_UNKNOWN);
        }
        let home = self.flows.get(flow);
        if let Some(id) = home.filter(|&it| self.routing.primary(it) == Some(self.me)) {
            return Route::Upstream(id);
        }
        let next = match (self.routing.bucket_owner(self.flows.bucket_of(flow)), home) {
            (None, _) => return Route::RetryLater(Code::NO_UPSTREAM),
            (Some(owner), _) if owner != self.me => return Route::BucketOwner(owner),
            (Some(_), None) => unknown(self),
            (Some(_), Some(id)) => {
                let out =
                    snapshot.upstream(id).is_none_or(|it| snapshot.is_zone_withdrawn(it.zone));
                if out { Next::GiveUp(Code::ZONE_OUT) } else { Next::Primary(id) }
            }
        };
        match next {
            Next::Primary(id) => match self.routing.primary(id) {
                Some(primary) if primary == self.me => Route::Upstream(id),
                Some(primary) => Route::Primary(id, primary),
                None => Route::RetryLater(Code::ZONE_CUT),
            },
            Next::Probe(host) => Route::Probe(host),
            Next::GiveUp(code) => Route::Abandon(code),
            Next::ComeBack(code) => Route::RetryLater(code),
        }
    }
}
