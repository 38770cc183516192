//! Direct server return: upstreams respond to callers directly, and a host sees only the packets
//! that callers send.
//!
//! The host that places a flow writes the upstream's affinity [`Token`] into the opening packet.
//! The caller repeats the token in every later packet, so any host can forward any packet without
//! querying another host. [`DirectHost`] makes the decisions; like [`crate::HostCore`], it performs
//! no I/O and reads no clock.

mod admission;
mod answer_times;
mod cold;
mod cold_owner;
mod decaying_sum;
mod directory_merge;
mod directory_sync;
mod entry_owners;
mod event;
mod fleet;
mod flow_lifetimes;
mod host;
mod latency;
mod liveness;
mod load;
mod load_collector;
mod load_report;
mod load_sampler;
mod mechanism;
mod observed_flows;
mod opening_retry;
mod outcomes;
mod outlier;
mod overdue_requests;
mod overload;
mod peer_evidence;
mod peer_update;
mod placement;
mod registry;
mod routing;
mod segment;
mod shared_load;
mod token;
mod unknown_tokens;
mod update_log;
mod upstream_speed;
mod view;

pub use crate::direct::{
    cold::{ColdBudget, ColdLimit},
    cold_owner::{ColdOwners, ViewState},
    directory_merge::ListingState,
    directory_sync::{
        BootstrapHosts, DirectoryPosition, DirectorySync, HasFollowers, Readers, ResponseEra,
        SyncOutcome, SyncStep,
    },
    entry_owners::{EntryEffect, EntryOwners},
    event::{
        DirectEvent, DropReason, ImplausibleLoad, LifecycleChange, OpenCause, OpenReason,
        ResetReason,
    },
    fleet::{Fleet, FleetMsg, OutboundMessages, RestoredZone, address_of, host_at},
    host::{
        DirectHost, DirectSettings, DirectStats, DirectoryState, DirectoryUpdate, LoadMessage,
        OpeningRetry, Probe, ReplicatedUpdate, ResetPacket, Verdict,
    },
    latency::{BUCKET_BOUNDS_MS, LatencyHistogram},
    liveness::{
        ConnectAttempt, KeepReason, Liveness, ProbeEffect, ProbeKind, ProbeResult, Reachability,
        UnansweredPacket, conclude_attempts, conclude_connect,
    },
    load::Load,
    load_report::{
        IN_PROGRESS_UNIT, LoadReport, LoadSummary, RouteReport, UpstreamReport, UpstreamSum,
    },
    mechanism::{Disabled, Mechanism, UnknownMechanism},
    observed_flows::{Flow, ObservedFlows},
    outcomes::ServiceOutcomes,
    outlier::FailureReport,
    overload::{
        Admission, Opening, ServiceLoad, ServiceOverload, ShortageReport, UpstreamRoom, Urgency,
    },
    peer_evidence::{LivenessMessage, LivenessQuery, LivenessReply},
    peer_update::{PeerScope, PeerUpdate},
    placement::{Candidate, Choice, choose},
    registry::{Announcement, Registry, Upstream, UpstreamIx, UpstreamKey},
    routing::{DirectRoute, RequestClass, RouteTarget, Routing, RoutingChange, ServiceLimits},
    segment::{Segment, SegmentKind},
    token::Token,
    unknown_tokens::TokenOwner,
    update_log::{ListingNews, UpdateLog},
    upstream_speed::{AnswerSample, ServiceTimes, SpeedEstimate, SpeedSamples},
    view::{
        DirectView, FlowView, IneligibleReason, KnownFrom, ReachabilityView, RouteLoadView,
        SharedLoadView, UpstreamView,
    },
};
