//! Requests that have no answer when their time-out passes.

use std::collections::VecDeque;

use pomelorun_wire::FlowKey;

use crate::{direct::registry::UpstreamIx, time::Millis};

/// Most requests whose time-out is watched; further ones count until their flow ends.
const MAX_WATCHED: usize = 32_768;
/// Longest time-out that is watched.
const MAX_WATCHED_TIMEOUT: Millis = Millis(60_000);

/// A request that may have no answer yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatchedRequest {
    /// When it was forwarded.
    pub(crate) sent_at: Millis,
    /// Upstream that it was forwarded to.
    pub(crate) ix: UpstreamIx,
    /// Its flow.
    pub(crate) flow: FlowKey,
}

/// Requests that count as in progress until their time-out.
///
/// The flow table may keep a request that nobody will answer for minutes.
#[derive(Debug, Default)]
pub(crate) struct OverdueRequests {
    /// Requests by time-out, sorted; those of each time-out oldest first.
    watched: Vec<(Millis, VecDeque<WatchedRequest>)>,
    len: usize,
}

impl OverdueRequests {
    /// Watches a request that was forwarded.
    pub(crate) fn watch(&mut self, now: Millis, timeout: Millis, ix: UpstreamIx, flow: FlowKey) {
        if timeout > MAX_WATCHED_TIMEOUT || self.len >= MAX_WATCHED {
            return;
        }
        let at = match self.watched.binary_search_by_key(&timeout, |it| it.0) {
            Ok(at) => at,
            Err(at) => {
                self.watched.insert(at, (timeout, VecDeque::new()));
                at
            }
        };
        self.watched[at].1.push_back(WatchedRequest { sent_at: now, ix, flow });
        self.len += 1;
    }

    /// Passes the requests whose time-out has expired to `expired`.
    pub(crate) fn expire(&mut self, now: Millis, mut expired: impl FnMut(&WatchedRequest)) {
        for (timeout, requests) in &mut self.watched {
            while let Some(it) = requests.pop_front_if(|it| now.since(it.sent_at) >= *timeout) {
                self.len -= 1;
                expired(&it);
            }
        }
        self.watched.retain(|it| !it.1.is_empty());
    }
}
