//! Direct return: upstreams answer callers themselves, a host sees only what callers send.
//!
//! The host that places a flow writes the upstream's [`Token`] into the opening packet; the caller
//! returns it in every later packet, so any host forwards any packet without asking another.
//! [`DirectHost`] decides; like [`crate::HostCore`] it does no I/O and reads no clock.

mod cold;
mod event;
mod fading;
mod fleet;
mod flows;
mod host;
mod latency;
mod liveness;
mod load;
mod outcomes;
mod outlier;
mod peers;
mod placement;
mod registry;
mod routing;
mod segment;
mod sourcing;
mod strays;
mod token;
mod view;

pub use crate::direct::{
    cold::{ColdBudget, ColdRule},
    event::{DirectEvent, DropReason, LifecycleChange, OpenReason, ResetReason},
    fleet::{Fleet, FleetMsg, FleetOut, address_of, host_at},
    flows::{Flow, FlowNotes},
    host::{
        DirectHost, DirectSettings, DirectStats, DirectoryState, DirectoryUpdate, Probe,
        ReplicatedUpdate, ResetPacket, Verdict,
    },
    latency::{BOUNDS, Latency},
    liveness::{Evidence, Liveness, ProbeFound, ProbeKind, Probed, Standing},
    load::Load,
    outcomes::ServiceOutcomes,
    outlier::Report,
    peers::News,
    placement::{Candidate, Choice, choose},
    registry::{Announcement, Registry, Upstream, UpstreamIx, UpstreamKey},
    routing::{DirectRoute, RouteTarget, Routing, RoutingChange, ServiceLimits},
    segment::{Segment, SegmentKind},
    sourcing::{Followed, Next, Outcome, Readers, Sourcing},
    strays::Owner,
    token::Token,
    view::{DirectView, FlowView, IneligibleReason, KnownFrom, ReachabilityView, UpstreamView},
};
