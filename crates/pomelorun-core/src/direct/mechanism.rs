//! Switches of a host's mechanisms, for tests and measurements.
//!
//! `scripts/ablation.py` switches each one off and measures what callers lose.

use std::str::FromStr;

use thiserror::Error;

macro_rules! mechanisms {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// A mechanism that can be switched off.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Mechanism {
            $($(#[$doc])* $name,)*
        }

        impl Mechanism {
            /// All mechanisms.
            pub const ALL: &'static [Mechanism] = &[$(Mechanism::$name,)*];
        }
    };
}

mechanisms! {
    /// Spreading flows by how many were opened recently at each upstream.
    RecentOpens,
    /// Counting opened flows for as long as flows of their service live.
    FlowLifetimes,
    /// Spreading flows by how many requests wait at each upstream.
    WaitingRequests,
    /// Preferring upstreams of the host's own zone.
    ZonePreference,
    /// Crediting an upstream that joins with the flows of another one.
    JoiningCredit,
    /// Opening flows at a cold upstream through one host only.
    ColdStartOwner,
    /// Using an upstream for some time after its announcement lapsed.
    LapseGrace,
    /// Sending an opening packet to another upstream when its answer is overdue.
    OpeningRetry,
    /// Sending a retransmitted opening packet to another upstream.
    RetransmitElsewhere,
    /// Sending an opening packet next to another zone than the one that did not answer it.
    AvoidUnansweringZone,
    /// Keeping new flows off an upstream that left a packet unanswered.
    Suspicion,
    /// Probing suspect upstreams and resetting the flows of those that do not respond.
    FailureDetection,
    /// Keeping an upstream whose silence load alone can explain, and asking the hosts of the zone before
    /// it is given up.
    VerdictEvidence,
    /// Sharing with the hosts of the zone which upstreams are unreachable.
    SharedFailures,
    /// Keeping upstreams when most of them are silent at once.
    LocalFault,
    /// Comparing a probe with one of an upstream that responded recently.
    ProbeReference,
    /// Probing all upstreams of a zone that is silent as a whole.
    ZoneProbe,
    /// Resetting the idle flows of an unreachable upstream too.
    IdleFlowReset,
    /// Ejecting upstreams that fail requests while they respond.
    OutlierEjection,
    /// Rejecting openings at once while no upstream can take them.
    ImmediateRejection,
    /// Adding up the load of upstreams over all hosts.
    SharedLoad,
    /// Giving faster upstreams more flows.
    UpstreamSpeed,
    /// Keeping some upstreams of a service for its more urgent requests.
    UrgentReserve,
    /// Rejecting less urgent flows while no upstream has room.
    OverloadRejection,
    /// Asking other hosts for the upstream of an unknown token.
    TokenQueries,
}

/// Mechanisms that are switched off; none by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Disabled(Vec<Mechanism>);

/// A name is not that of a mechanism.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown mechanism `{0}`")]
pub struct UnknownMechanism(String);

impl Disabled {
    /// Switches these mechanisms off.
    pub fn new(mut mechanisms: Vec<Mechanism>) -> Disabled {
        mechanisms.sort_unstable();
        mechanisms.dedup();
        Disabled(mechanisms)
    }

    pub(crate) fn contains(&self, mechanism: Mechanism) -> bool {
        self.0.binary_search(&mechanism).is_ok()
    }
}

impl FromStr for Disabled {
    type Err = UnknownMechanism;

    /// Parses names separated by commas.
    fn from_str(text: &str) -> Result<Disabled, UnknownMechanism> {
        let names = text.split(',').map(str::trim).filter(|it| !it.is_empty());
        let find = |name: &str| {
            let found = Mechanism::ALL.iter().find(|it| format!("{it:?}") == name);
            found.copied().ok_or_else(|| UnknownMechanism(name.to_owned()))
        };
        names.map(find).collect::<Result<Vec<_>, _>>().map(Disabled::new)
    }
}
