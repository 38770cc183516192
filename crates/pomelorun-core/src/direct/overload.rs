//! Admission of new flows while the upstreams of a service have too little room.

use pomelorun_wire::ServiceAddr;

use crate::time::Millis;

/// What to do with the opening packet of a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Any upstream may take it.
    Admit,
    /// Any upstream may take it but those that are kept for more urgent requests.
    AdmitUnreserved,
    /// No upstream can serve it in time; reject it at once.
    Reject,
}

/// Room of one upstream for new flows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct UpstreamRoom {
    /// Requests in progress through all hosts.
    pub(crate) in_progress: f64,
    /// Number of requests that the upstream runs concurrently.
    pub(crate) slots: f64,
    /// Speed relative to the service.
    pub(crate) speed: f64,
    /// `true` if the upstream is kept for more urgent requests.
    pub(crate) reserved: bool,
}

/// Admission state of a host for all services.
#[derive(Debug, Default)]
pub(crate) struct OverloadControl {}

impl OverloadControl {
    /// Decides whether a flow to `route` may be opened.
    pub(crate) fn admit(
        &mut self,
        _now: Millis,
        _route: ServiceAddr,
        _rooms: &[UpstreamRoom],
    ) -> Admission {
        Admission::Admit
    }
}
