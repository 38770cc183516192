//! Overload control: which new flows are admitted, and to which upstreams.

use crate::{
    direct::{host::DirectHost, overload::Admission, placement::Candidate, routing::DirectRoute},
    time::Millis,
};

impl DirectHost {
    /// Decides whether a new flow of `route` may be opened at one of `candidates`.
    pub(super) fn admit_flow(
        &mut self,
        now: Millis,
        route: &DirectRoute,
        _candidates: &[Candidate],
    ) -> Admission {
        self.overload.admit(now, route.addr, &[])
    }
}
