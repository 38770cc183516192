//! Direct return: upstreams answer callers themselves, a host sees only what callers send.
//!
//! The host that places a flow writes the upstream's [`Token`] into the opening packet; the caller
//! returns it in every later packet, so any host forwards any packet without asking another.
//! [`DirectHost`] decides; like [`crate::HostCore`] it does no I/O and reads no clock.

mod cold;
mod decaying_sum;
mod directory_sync;
mod fleet;
mod host;
mod latency;
mod liveness;
mod load;
mod note;
mod observed_flows;
mod outcomes;
mod outlier;
mod peer_update;
mod placement;
mod registry;
mod routing;
mod segment;
mod token;
mod unknown_tokens;
mod view;

pub use crate::direct::{
    cold::{ColdBudget, ColdLimit},
    directory_sync::{DirectorySync, HasFollowers, Readers, SyncOutcome, SyncStep},
    fleet::{Fleet, FleetMsg, OutboundMessages, address_of, host_at},
    host::{
        DirectHost, DirectSettings, DirectStats, Probe, Published, ResetSent, Shared, StoreView,
        Verdict,
    },
    latency::{BUCKET_BOUNDS_MS, LatencyHistogram},
    liveness::{Liveness, ProbeEffect, ProbeKind, ProbeResult, Reachability, UnansweredPacket},
    load::Load,
    note::{DropWhy, Lifecycle, Note, OpenWhy, ResetWhy},
    observed_flows::{Flow, ObservedFlows},
    outcomes::ServiceOutcomes,
    outlier::FailureReport,
    peer_update::PeerUpdate,
    placement::{Candidate, Choice, choose},
    registry::{Announcement, Registry, Upstream, UpstreamIx, UpstreamKey},
    routing::{DirectRoute, RouteTarget, Routing, RoutingChange, ServiceLimits},
    segment::{Segment, SegmentKind},
    token::Token,
    unknown_tokens::TokenOwner,
    view::{Barred, DirectView, FlowView, KnownFrom, StandingView, UpstreamView},
};
