//! Requests that have no answer although their time-out has passed.

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

/// Requests that count as in progress until their time-out, by time-out.
///
/// The flow table may keep a request that nobody will answer for minutes.
#[derive(Debug, Default)]
pub(crate) struct OverdueRequests {
    /// Requests by time-out, sorted; those of each time-out oldest first.
    watched: Vec<(Millis, VecDeque<WatchedRequest>)>,
    len: usize,
    /// Number of overdue requests by upstream, sorted.
    overdue: Vec<(UpstreamIx, u32)>,
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

    /// Counts the requests whose time-out has expired and that `is_waiting` says are unanswered.
    pub(crate) fn expire(
        &mut self,
        now: Millis,
        mut is_waiting: impl FnMut(&WatchedRequest) -> bool,
    ) {
        for (timeout, requests) in &mut self.watched {
            while let Some(it) = requests.pop_front_if(|it| now.since(it.sent_at) >= *timeout) {
                self.len -= 1;
                let ix = it.ix;
                if !is_waiting(&it) {
                    continue;
                }
                match self.overdue.binary_search_by_key(&ix, |it| it.0) {
                    Ok(at) => self.overdue[at].1 += 1,
                    Err(at) => self.overdue.insert(at, (ix, 1)),
                }
            }
        }
        self.watched.retain(|it| !it.1.is_empty());
    }

    /// Returns how many of an upstream's waiting requests are not overdue.
    pub(crate) fn in_progress(&self, ix: UpstreamIx, waiting: u32) -> u32 {
        let overdue = self.overdue.binary_search_by_key(&ix, |it| it.0);
        waiting.saturating_sub(overdue.map_or(0, |at| self.overdue[at].1))
    }

    /// Forgets an overdue request that was answered after all.
    pub(crate) fn record_late_answer(&mut self, ix: UpstreamIx) {
        if let Ok(at) = self.overdue.binary_search_by_key(&ix, |it| it.0) {
            self.overdue[at].1 = self.overdue[at].1.saturating_sub(1);
        }
    }

    /// Forgets overdue requests that have ended since. One that ends in another way than by its
    /// answer is forgotten once nothing else waits at the upstream.
    pub(crate) fn settle(&mut self, waiting: impl Fn(UpstreamIx) -> u32) {
        self.overdue.retain_mut(|it| {
            it.1 = it.1.min(waiting(it.0));
            it.1 > 0
        });
    }
}
