//! Log lines for the decisions of the edge.

use pomelorun_core::direct::{Note, UpstreamKey};
use spdlog::prelude::*;

use crate::direct::platform::Malformed;

/// Writes notes as log lines.
#[derive(Debug, Default)]
pub(crate) struct Lines {}

impl Lines {
    pub(crate) fn malformed(&mut self, why: Malformed) {
        debug!("packet dropped", kv: { code = "PR0100", why = why.to_string() });
    }

    pub(crate) fn note(&mut self, note: &Note) {
        match note {
            Note::Opened { flow, upstream, why, revision } => {
                debug!("flow opened", kv: {
                    flow = flow.to_string(), upstream = id(upstream), choice = format!("{:?}", why.choice),
                    candidates = why.candidates, waiting = why.waiting, copies = why.copies,
                    revision = *revision
                });
            }
            Note::Reset { flow, upstream, why, silent } => {
                info!("flow reset", kv: {
                    flow = flow.to_string(), upstream = upstream.as_ref().map(id).unwrap_or_default(),
                    why = format!("{why:?}"), silent_ms = silent.0
                });
            }
            Note::Dropped { flow, why, token } => {
                info!("packet dropped", kv: {
                    flow = flow.to_string(), why = format!("{why:?}"), token = token.to_string()
                });
            }
            Note::Suspected { upstream, flow, silent } => {
                info!("upstream suspected", kv: {
                    upstream = id(upstream), flow = flow.to_string(), silent_ms = silent.0
                });
            }
            Note::Unreachable { upstream, flows, silent, told } => {
                warn!("upstream unreachable", kv: {
                    upstream = id(upstream), flows = *flows, silent_ms = silent.0, told = *told
                });
            }
            Note::OwnFault { upstream, silent } => {
                warn!("upstream kept, the whole zone looks silent", kv: {
                    upstream = id(upstream), silent_ms = silent.0
                });
            }
            Note::Answering { upstream, after } => {
                info!("upstream answers again", kv: { upstream = id(upstream), after_ms = after.0 });
            }
            Note::Upstream { upstream, state, cold } => {
                info!("upstream", kv: {
                    upstream = id(upstream), state = format!("{state:?}"), cold_ms = cold.0
                });
            }
            Note::Revision { revision, routes } => {
                info!("revision in force", kv: { revision = *revision, routes = *routes });
            }
            Note::Zone { zone, out } => info!("zone", kv: { zone = zone.0, out = *out }),
        }
    }

    pub(crate) fn flush(&mut self) {
        spdlog::default_logger().flush();
    }
}

fn id(key: &UpstreamKey) -> String {
    format!("{:016x}", key.id)
}
