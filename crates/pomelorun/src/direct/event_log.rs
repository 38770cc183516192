//! Log lines for the decisions of the edge.
//!
//! Each decision gets a line, but lines for flows that open at the first attempt and for malformed
//! packets are rate-limited. The number of suppressed lines is logged as well.

use pomelorun_core::{
    Millis,
    direct::{
        DirectEvent, DropReason, KeepReason, LifecycleChange, OpenCause, ResetReason, UpstreamKey,
        address_of,
    },
};
use pomelorun_wire::{Code, CodecError, FlowKey, HostId};
use spdlog::prelude::*;

use crate::direct::platform::MalformedPacket;

/// Maximum lines per second for flows that open at the first attempt. This keeps ten seconds of the
/// log readable for an operator and costs less than 1% of a small core.
const MAX_OPENED_PER_S: u32 = 20;
/// Maximum lines per second for malformed packets, which anyone can send at any rate.
const MAX_MALFORMED_PER_S: u32 = 5;
/// Maximum lines per second for messages of other hosts that cannot be decoded, which a host of
/// another version may send all the time.
const MAX_UNREADABLE_PER_S: u32 = 1;
/// Maximum lines per second for entries of the directory that cannot be read, which may stand on each page
/// and change all the time.
const MAX_UNREADABLE_ENTRIES_PER_S: u32 = 5;
/// Maximum lines per second for openings that are rejected for lack of room, of which there are
/// thousands a second while it lasts.
const MAX_REJECTED_PER_S: u32 = 5;
/// Window of the rate limits, one second because they are given per second.
const RATE_LIMIT_WINDOW: Millis = Millis(1_000);

/// Writes decision events as log lines.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    opened: LineLimiter,
    malformed: LineLimiter,
    unreadable: LineLimiter,
    unreadable_entries: LineLimiter,
    rejected: LineLimiter,
    window_start: Millis,
}

/// Rate limiter for one kind of log line.
#[derive(Debug, Default)]
struct LineLimiter {
    written: u32,
    suppressed: u64,
}

impl LineLimiter {
    fn admit(&mut self, max_lines: u32) -> bool {
        if self.written < max_lines {
            self.written += 1;
            return true;
        }
        self.suppressed += 1;
        false
    }

    /// Starts a new window and returns the number of lines suppressed in the last one.
    fn start_window(&mut self) -> u64 {
        self.written = 0;
        std::mem::take(&mut self.suppressed)
    }
}

impl EventLog {
    /// Logs a malformed packet, subject to the rate limit.
    pub(crate) fn log_malformed_packet(&mut self, error: MalformedPacket) {
        if self.malformed.admit(MAX_MALFORMED_PER_S) {
            info!("packet dropped", kv: {
                code = Code::PACKET_MALFORMED.to_string(), why = error.to_string()
            });
        }
    }

    /// Logs a message of another host that cannot be decoded, subject to the rate limit.
    pub(crate) fn log_unreadable_message(&mut self, from: HostId, error: &CodecError) {
        if self.unreadable.admit(MAX_UNREADABLE_PER_S) {
            warn!("message of another host cannot be read", kv: {
                code = Code::PEER_MESSAGE_UNREADABLE.to_string(),
                from = address_of(from).to_string(), why = error.to_string()
            });
        }
    }

    /// Logs an entry of the directory that cannot be read, subject to the rate limit.
    pub(crate) fn log_unreadable_entry(&mut self, entry: &str) {
        if self.unreadable_entries.admit(MAX_UNREADABLE_ENTRIES_PER_S) {
            warn!("directory entry ignored", kv: {
                code = Code::ENTRY_UNREADABLE.to_string(), entry
            });
        }
    }

    /// Logs an event; lines for flows that open at the first attempt are rate-limited.
    pub(crate) fn log_event(&mut self, event: &DirectEvent) {
        match event {
            DirectEvent::Opened { flow, upstream, reason, revision } => {
                let code = match reason.cause {
                    OpenCause::FirstPacket if !self.opened.admit(MAX_OPENED_PER_S) => return,
                    OpenCause::FirstPacket => Code::FLOW_OPENED,
                    // The log calls a retransmission by the caller a copy.
                    OpenCause::Retransmission => Code::FLOW_COPIED,
                    OpenCause::Overdue => Code::FLOW_RETRIED,
                };
                info!("flow opened", kv: {
                    code = code.to_string(), flow = flow.to_string(), upstream = id_text(upstream),
                    choice = format!("{:?}", reason.choice), candidates = reason.candidates,
                    waiting = reason.waiting, copies = reason.previous_attempts,
                    revision = *revision
                });
            }
            DirectEvent::Reset { reason: ResetReason::Overload, .. }
                if !self.rejected.admit(MAX_REJECTED_PER_S) => {}
            DirectEvent::Reset { flow, upstream, reason, since_last_response } => {
                log_reset(flow, upstream.as_ref(), *reason, *since_last_response);
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
                    code = Code::UPSTREAM_SUSPECTED.to_string(), upstream = id_text(upstream),
                    flow = flow.to_string(), waited_ms = waited.0
                });
            }
            DirectEvent::LocalFault { upstream, waited } => {
                warn!(
                    "upstream not marked unreachable: most upstreams of this zone do not respond",
                    kv: {
                        code = Code::LOCAL_FAULT.to_string(), upstream = id_text(upstream),
                        waited_ms = waited.0
                    }
                );
            }
            DirectEvent::Kept { upstream, reason, waited } => {
                let (code, why) = keep_code(*reason);
                info!("upstream kept although its probe timed out", kv: {
                    code = code.to_string(), upstream = id_text(upstream), why,
                    waited_ms = waited.0
                });
            }
            DirectEvent::Unreachable { upstream, flows, waited, from_peer } => {
                warn!("upstream unreachable", kv: {
                    code = Code::UPSTREAM_UNREACHABLE.to_string(), upstream = id_text(upstream),
                    flows_reset = *flows, waited_ms = waited.0, told_by_another_host = *from_peer
                });
            }
            DirectEvent::Recovered { upstream, unreachable_for } => {
                info!("upstream recovered", kv: {
                    code = Code::UPSTREAM_RECOVERED.to_string(), upstream = id_text(upstream),
                    after_ms = unreachable_for.0
                });
            }
            DirectEvent::Ejected { upstream, duration, failed, total, from_peer } => {
                warn!("upstream ejected", kv: {
                    code = Code::UPSTREAM_EJECTED.to_string(), upstream = id_text(upstream),
                    for_ms = duration.0, failed = failed.round(), judged = total.round(),
                    told_by_another_host = *from_peer
                });
            }
            DirectEvent::LoadRejected { from, why } => {
                warn!("message about load not believed", kv: {
                    code = Code::LOAD_NOT_BELIEVED.to_string(), from = address_of(*from).to_string(),
                    why = format!("{why:?}")
                });
            }
            DirectEvent::Lifecycle { upstream, change, cold_left } => {
                let (code, state) = lifecycle_code(*change);
                info!("upstream state changed", kv: {
                    code = code.to_string(), state, upstream = id_text(upstream),
                    born = upstream.started_at, cold_ms = cold_left.0
                });
            }
            DirectEvent::Shortage { service, report } => {
                let code = if report.is_short { Code::ROOM_SHORT } else { Code::ROOM_REGAINED };
                warn!("room of upstreams changed", kv: {
                    code = code.to_string(), service = service.as_str(), short = report.is_short,
                    free_percent = (report.free_share * 100.0).round(),
                    upstreams = report.upstreams, reserved = report.reserved,
                    hosts = report.hosts, rejected = report.rejected
                });
            }
            DirectEvent::Revision { revision, routes } => {
                info!("revision activated", kv: {
                    code = Code::REVISION_ACTIVATED.to_string(), revision = *revision,
                    routes = *routes
                });
            }
            DirectEvent::Zone { zone, withdrawn } => {
                let code = if *withdrawn { Code::ZONE_WITHDRAWN } else { Code::ZONE_RESTORED };
                info!("zone state changed", kv: {
                    code = code.to_string(), zone = zone.0, out = *withdrawn
                });
            }
        }
    }

    /// Starts a new rate-limit window once per second, and flushes the log.
    pub(crate) fn tick(&mut self, now: Millis) {
        if now.since(self.window_start) >= RATE_LIMIT_WINDOW {
            self.window_start = now;
            let opened = self.opened.start_window();
            let malformed = self.malformed.start_window();
            let unreadable = self.unreadable.start_window();
            let entries = self.unreadable_entries.start_window();
            let rejected = self.rejected.start_window();
            if opened + malformed + unreadable + entries + rejected > 0 {
                info!("log lines suppressed", kv: {
                    code = Code::LOG_LINES_SUPPRESSED.to_string(), opened, malformed,
                    unreadable, entries, rejected
                });
            }
        }
        spdlog::default_logger().flush();
    }
}

fn log_reset(
    flow: &FlowKey,
    upstream: Option<&UpstreamKey>,
    reason: ResetReason,
    since_last_response: Option<Millis>,
) {
    let code = match reason {
        ResetReason::Unreachable => Code::FLOW_RESET_UNREACHABLE,
        ResetReason::Ended => Code::FLOW_RESET_ENDED,
        ResetReason::NoRoute => Code::FLOW_RESET_NO_ROUTE,
        ResetReason::NoUpstream => Code::FLOW_RESET_NO_UPSTREAM,
        ResetReason::EndedAtPeer => Code::FLOW_RESET_REPORTED_ENDED,
        ResetReason::Overload => Code::FLOW_RESET_OVERLOADED,
    };
    let (code, flow) = (code.to_string(), flow.to_string());
    let upstream = upstream.map(id_text).unwrap_or_default();
    match since_last_response {
        Some(Millis(silent_ms)) => {
            warn!("flow reset", kv: { code, flow, upstream, silent_ms });
        }
        None => warn!("flow reset", kv: { code, flow, upstream, never_heard = true }),
    }
}

fn keep_code(reason: KeepReason) -> (Code, &'static str) {
    match reason {
        KeepReason::OpeningsOnly => (Code::UPSTREAM_KEPT, "only openings wait"),
        KeepReason::NoBaseline => (Code::UPSTREAM_KEPT, "too few answers seen to judge by"),
        KeepReason::TooEarly => (Code::UPSTREAM_KEPT, "a full queue may take longer"),
        KeepReason::AnsweredSince => (Code::UPSTREAM_KEPT, "it has answered meanwhile"),
        KeepReason::PeersPending => (Code::UPSTREAM_KEPT, "other hosts have not replied yet"),
        KeepReason::AtLimit => (Code::UPSTREAM_KEPT, "it is at its limit of connections"),
        KeepReason::AnsweredPeer => (Code::UPSTREAM_KEPT_BY_PEER, "it answers another host"),
    }
}

fn lifecycle_code(change: LifecycleChange) -> (Code, &'static str) {
    match change {
        LifecycleChange::Announced => (Code::UPSTREAM_ANNOUNCED, "announced"),
        LifecycleChange::Unconfigured => {
            (Code::UPSTREAM_ANNOUNCED, "announced, but no service of the revision")
        }
        LifecycleChange::Contradictory => {
            (Code::UPSTREAM_CHANGED, "announced with an earlier start; listing again")
        }
        LifecycleChange::Changed => (Code::UPSTREAM_CHANGED, "changed"),
        LifecycleChange::Draining => (Code::UPSTREAM_DRAINING, "draining"),
        LifecycleChange::Lapsed => (Code::UPSTREAM_LAPSED, "lapsed"),
        LifecycleChange::Adopted => (Code::UPSTREAM_ADOPTED, "adopted"),
        LifecycleChange::Restarted => (Code::UPSTREAM_RESTARTED, "restarted"),
        LifecycleChange::Ended => (Code::UPSTREAM_ENDED, "ended"),
        LifecycleChange::Forgotten => (Code::UPSTREAM_REMOVED, "forgotten"),
    }
}

fn id_text(key: &UpstreamKey) -> String {
    format!("{:016x}", key.id)
}
