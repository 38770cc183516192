//! Log lines for the decisions of the edge.
//!
//! One line for each decision. Of flows that open as they should only some are written in a second,
//! and how many were left out is written too; failures and changes of belief are always written.

use pomelorun_core::{
    Millis,
    direct::{DirectEvent, DropReason, LifecycleChange, ResetReason, UpstreamKey},
};
use pomelorun_wire::{Code, FlowKey};
use spdlog::prelude::*;

use crate::direct::platform::MalformedPacket;

/// EventLog a second for flows that open at the first packet. Ten seconds of them are read at a glance,
/// and they cost less than a hundredth of a small core.
const OPENED_PER_S: u32 = 20;
/// EventLog a second for packets that are no caller's: they may come in any number from anywhere.
const MALFORMED_PER_S: u32 = 5;
const SECOND: Millis = Millis(1_000);

/// Writes notes as log lines.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    opened: Sampled,
    malformed: Sampled,
    second: Millis,
}

/// A kind of line of which only some are written.
#[derive(Debug, Default)]
struct Sampled {
    written: u32,
    left_out: u64,
}

impl Sampled {
    fn admit(&mut self, most: u32) -> bool {
        if self.written < most {
            self.written += 1;
            return true;
        }
        self.left_out += 1;
        false
    }

    fn begin(&mut self) -> u64 {
        self.written = 0;
        std::mem::take(&mut self.left_out)
    }
}

impl EventLog {
    /// Notes a packet that is no caller's.
    pub(crate) fn malformed(&mut self, why: MalformedPacket) {
        if self.malformed.admit(MALFORMED_PER_S) {
            info!("packet dropped", kv: { code = Code::PACKET_MALFORMED.to_string(), why = why.to_string() });
        }
    }

    /// Writes one decision.
    pub(crate) fn note(&mut self, event: &DirectEvent) {
        match event {
            DirectEvent::Opened { flow, upstream, reason, revision } => {
                let copy = reason.previous_attempts > 0;
                if !copy && !self.opened.admit(OPENED_PER_S) {
                    return;
                }
                let code = if copy { Code::FLOW_COPIED } else { Code::FLOW_OPENED };
                info!("flow opened", kv: {
                    code = code.to_string(), flow = flow.to_string(), upstream = id(upstream),
                    choice = format!("{:?}", reason.choice), candidates = reason.candidates,
                    waiting = reason.waiting, copies = reason.previous_attempts, revision = *revision
                });
            }
            DirectEvent::Reset { flow, upstream, reason, since_last_response } => {
                reset(flow, upstream.as_ref(), *reason, *since_last_response);
            }
            DirectEvent::Dropped { flow, reason, token } => {
                let code = match reason {
                    DropReason::NoRoute => Code::PACKET_NO_ROUTE,
                    DropReason::NoUpstream => Code::PACKET_NO_UPSTREAM,
                    DropReason::UnknownToken => Code::PACKET_UNKNOWN_TOKEN,
                };
                warn!("packet dropped", kv: {
                    code = code.to_string(), flow = flow.to_string(), token = token.to_string()
                });
            }
            DirectEvent::Suspected { upstream, flow, waited } => {
                info!("upstream suspected", kv: {
                    code = Code::UPSTREAM_SUSPECTED.to_string(), upstream = id(upstream),
                    flow = flow.to_string(), waited_ms = waited.0
                });
            }
            DirectEvent::LocalFault { upstream, waited } => {
                warn!("upstream kept, most of the own zone looks silent", kv: {
                    code = Code::LOCAL_FAULT.to_string(), upstream = id(upstream),
                    waited_ms = waited.0
                });
            }
            DirectEvent::Unreachable { upstream, flows, waited, from_peer } => {
                warn!("upstream unreachable", kv: {
                    code = Code::UPSTREAM_UNREACHABLE.to_string(), upstream = id(upstream),
                    flows_reset = *flows, waited_ms = waited.0, told_by_another_host = *from_peer
                });
            }
            DirectEvent::Recovered { upstream, unreachable_for } => {
                info!("upstream answers again", kv: {
                    code = Code::UPSTREAM_RECOVERED.to_string(), upstream = id(upstream),
                    after_ms = unreachable_for.0
                });
            }
            DirectEvent::Ejected { upstream, duration, failed, total, from_peer } => {
                warn!("upstream ejected", kv: {
                    code = Code::UPSTREAM_EJECTED.to_string(), upstream = id(upstream),
                    for_ms = duration.0, failed = failed.round(), judged = total.round(),
                    told_by_another_host = *from_peer
                });
            }
            DirectEvent::Lifecycle { upstream, change, cold_left } => {
                let (code, text) = lifecycle(*change);
                info!("upstream", kv: {
                    code = code.to_string(), state = text, upstream = id(upstream),
                    born = upstream.started_at, cold_ms = cold_left.0
                });
            }
            DirectEvent::Revision { revision, routes } => {
                info!("revision in force", kv: {
                    code = Code::REVISION_ACTIVATED.to_string(), revision = *revision, routes = *routes
                });
            }
            DirectEvent::Zone { zone, withdrawn } => {
                let code = if *withdrawn { Code::ZONE_WITHDRAWN } else { Code::ZONE_RESTORED };
                info!("zone", kv: { code = code.to_string(), zone = zone.0, out = *withdrawn });
            }
        }
    }

    /// Begins a new second where one is over, and hands the lines to the reader of the log.
    pub(crate) fn tick(&mut self, now: Millis) {
        if now.since(self.second) >= SECOND {
            self.second = now;
            let opened = self.opened.begin();
            let malformed = self.malformed.begin();
            if opened + malformed > 0 {
                info!("lines left out", kv: {
                    code = Code::LOG_LINES_SUPPRESSED.to_string(), opened, malformed
                });
            }
        }
        spdlog::default_logger().flush();
    }
}

fn reset(
    flow: &FlowKey,
    upstream: Option<&UpstreamKey>,
    reason: ResetReason,
    since_last_response: Millis,
) {
    let code = match reason {
        ResetReason::Unreachable => Code::FLOW_RESET_UNREACHABLE,
        ResetReason::Ended => Code::FLOW_RESET_ENDED,
        ResetReason::NoRoute => Code::FLOW_RESET_NO_ROUTE,
        ResetReason::NoUpstream => Code::FLOW_RESET_NO_UPSTREAM,
        ResetReason::EndedAtPeer => Code::FLOW_RESET_REPORTED_ENDED,
    };
    warn!("flow reset", kv: {
        code = code.to_string(), flow = flow.to_string(),
        upstream = upstream.map(id).unwrap_or_default(), silent_ms = since_last_response.0
    });
}

fn lifecycle(change: LifecycleChange) -> (Code, &'static str) {
    match change {
        LifecycleChange::Announced => (Code::UPSTREAM_ANNOUNCED, "announced"),
        LifecycleChange::Changed => (Code::UPSTREAM_CHANGED, "changed"),
        LifecycleChange::Draining => (Code::UPSTREAM_DRAINING, "draining"),
        LifecycleChange::Lapsed => (Code::UPSTREAM_LAPSED, "lapsed"),
        LifecycleChange::Adopted => (Code::UPSTREAM_ADOPTED, "adopted"),
        LifecycleChange::Ended => (Code::UPSTREAM_ENDED, "ended"),
        LifecycleChange::Forgotten => (Code::UPSTREAM_REMOVED, "forgotten"),
    }
}

fn id(key: &UpstreamKey) -> String {
    format!("{:016x}", key.id)
}
