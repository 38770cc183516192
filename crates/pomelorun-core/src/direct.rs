//! Direct return: upstreams answer callers themselves, a host sees only what callers send.
//!
//! The host that places a flow writes the upstream's [`Token`] into the opening packet; the caller
//! returns it in every later packet, so any host forwards any packet without asking another.
//! [`DirectHost`] decides; like [`crate::HostCore`] it does no I/O and reads no clock.

mod cold;
mod decaying_sum;
mod fleet;
mod flows;
mod host;
mod latency;
mod liveness;
mod load;
mod note;
mod outcomes;
mod outlier;
mod peer_update;
mod placement;
mod registry;
mod routing;
mod segment;
mod sourcing;
mod token;
mod unknown_tokens;
mod view;

pub use crate::direct::{
    cold::{ColdBudget, ColdLimit},
    fleet::{Fleet, FleetMsg, FleetOut, address_of, host_at},
    flows::{Flow, FlowNotes},
    host::{
        DirectHost, DirectSettings, DirectStats, Probe, Published, ResetSent, Shared, StoreView,
        Verdict,
    },
    latency::{BUCKET_BOUNDS_MS, LatencyHistogram},
    liveness::{Liveness, ProbeEffect, ProbeKind, ProbeResult, Reachability, UnansweredPacket},
    load::Load,
    note::{DropWhy, Lifecycle, Note, OpenWhy, ResetWhy},
    outcomes::ServiceOutcomes,
    outlier::FailureReport,
    peer_update::PeerUpdate,
    placement::{Candidate, Choice, choose},
    registry::{Announcement, Registry, Upstream, UpstreamIx, UpstreamKey},
    routing::{DirectRoute, RouteTarget, Routing, RoutingChange, ServiceLimits},
    segment::{Segment, SegmentKind},
    sourcing::{Followed, Next, Outcome, Readers, Sourcing},
    token::Token,
    unknown_tokens::TokenOwner,
    view::{Barred, DirectView, FlowView, KnownFrom, StandingView, UpstreamView},
};
