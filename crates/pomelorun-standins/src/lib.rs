//! Small stand-ins for what surrounds pomelorun, each a process of its own, and a demonstration
//! that runs a whole deployment on loopback.
//!
//! The stand-ins speak the formats of `docs/FORMATS.md`. Each takes commands as JSON lines on its
//! standard input and reports as JSON lines on its standard output.

mod callers;
mod child;
mod demo;
mod deployment;
mod harness;
mod line;
mod network;
mod platform;
mod slopes;
mod throughput;
mod upstreams;

pub use crate::{
    callers::{CallersCommand, CallersLine, CallersPlan, CallersReport, ServicePlan, run_callers},
    child::{Child, ChildError},
    demo::{DemoError, DemoOptions, DemoReport, run_demo},
    deployment::{Deployment, HostPlan, Layout, ServiceLoad, load_deployment},
    harness::{HarnessError, build_daemon},
    line::{Lines, Polled, say},
    network::{LinkPlan, NetworkCommand, NetworkPlan, NetworkReport, run_network},
    platform::{Fault, HostRow, PlatformPlan, run_platform},
    slopes::{Figure, Point, Role, Slope, SlopeError, measure_point, run_slopes, slopes_table},
    throughput::{
        ForwarderPlan, ThroughputOptions, ThroughputReport, run_forwarder, run_throughput,
    },
    upstreams::{
        UpstreamCommand, UpstreamPlan, UpstreamSeen, UpstreamsPlan, UpstreamsReport, WARM_AFTER,
        run_upstreams,
    },
};
