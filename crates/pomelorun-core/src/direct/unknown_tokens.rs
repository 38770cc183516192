//! Affinity tokens that match no upstream in this host's registry.
//!
//! A host that has just started does not know upstreams whose announcements have expired, and a
//! host that lags behind the directory does not know the newest ones. Neither may reset a flow of a
//! live upstream. Rendezvous hashing therefore selects one host of the zone per token, its
//! resolver. The other hosts of the zone query the resolver, which queries some other hosts of its
//! zone and of other zones. A host that knows the upstream replies with its announcement, or that
//! the upstream has ended. In the latter case its flows are reset, because their callers would
//! otherwise wait until they time out. If no host knows the upstream, its flows are kept, because
//! announcements can be late on all hosts.

use pomelorun_wire::FlowKey;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    direct::{registry::Announcement, token::Token},
    time::Millis,
};

/// Minimum time between two queries for one token.
const QUERY_INTERVAL: Millis = Millis(500);
/// Time without a packet or query after which a token is removed: the usual maximum lifetime of a
/// flow.
const TOKEN_TTL: Millis = Millis(60_000);
/// Maximum number of tokens held, because packets can carry arbitrary tokens.
const MAX_TOKENS: usize = 4_096;
/// Maximum number of flows held per token, to be reset if its upstream has ended.
const MAX_FLOWS_PER_TOKEN: usize = 16;
/// Maximum number of tokens queried per tick, at 20 ticks a second. This costs a few kilobytes a
/// second while all upstreams of a zone are lost, and nothing otherwise.
const MAX_TOKENS_PER_TICK: usize = 8;
/// Maximum number of tokens in one query, so that the query and its reply each fit into a datagram.
pub(crate) const MAX_TOKENS_PER_QUERY: usize = 16;

/// What a host knows of the upstream that a token identifies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenOwner {
    /// The upstream is known, whether it is still announced or not.
    Known(Announcement),
    /// The upstream instance has ended for good.
    #[serde(rename = "gone")]
    Ended,
}

#[derive(Debug, Clone)]
struct UnknownToken {
    token: Token,
    last_seen: Millis,
    last_query: Option<Millis>,
    ended: bool,
    /// Flows with the sequence number of the next byte that their callers expect.
    flows: SmallVec<[(FlowKey, u32); 2]>,
}

/// State of a token that is not in the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenStatus {
    /// The upstream may still become known; drop the packet.
    Unresolved,
    /// The upstream has ended; reset the flow.
    Ended,
}

/// The unknown tokens, sorted.
#[derive(Debug, Default)]
pub(crate) struct UnknownTokens(Vec<UnknownToken>);

impl UnknownTokens {
    /// Records a packet and returns the status of its token.
    pub(crate) fn record_packet(
        &mut self,
        now: Millis,
        token: Token,
        flow: FlowKey,
        ack: u32,
    ) -> TokenStatus {
        let Some(it) = self.get_or_insert(now, token) else { return TokenStatus::Unresolved };
        it.last_seen = now;
        if it.ended {
            return TokenStatus::Ended;
        }
        match it.flows.iter().position(|it| it.0 == flow) {
            Some(at) => it.flows[at].1 = ack,
            None if it.flows.len() < MAX_FLOWS_PER_TOKEN => it.flows.push((flow, ack)),
            None => {}
        }
        TokenStatus::Unresolved
    }

    /// Records a query from another host and returns the status of the token.
    pub(crate) fn record_query(&mut self, now: Millis, token: Token) -> TokenStatus {
        let Some(it) = self.get_or_insert(now, token) else { return TokenStatus::Unresolved };
        it.last_seen = now;
        if it.ended { TokenStatus::Ended } else { TokenStatus::Unresolved }
    }

    fn get_or_insert(&mut self, now: Millis, token: Token) -> Option<&mut UnknownToken> {
        let at = match self.0.binary_search_by_key(&token, |it| it.token) {
            Ok(at) => at,
            Err(_) if self.0.len() >= MAX_TOKENS => return None,
            Err(at) => {
                let flows = SmallVec::new();
                let it =
                    UnknownToken { token, last_seen: now, last_query: None, ended: false, flows };
                self.0.insert(at, it);
                at
            }
        };
        Some(&mut self.0[at])
    }

    /// Takes the tokens that are due to be queried, the longest unqueried first.
    pub(crate) fn take_due_queries(&mut self, now: Millis) -> Vec<Token> {
        let is_due = |it: &&mut UnknownToken| {
            !it.ended
                && it
                    .last_query
                    .is_none_or(|at| now.since(at) >= QUERY_INTERVAL && it.last_seen > at)
        };
        let mut due: Vec<&mut UnknownToken> = self.0.iter_mut().filter(is_due).collect();
        due.sort_by_key(|it| it.last_query);
        due.truncate(MAX_TOKENS_PER_TICK);
        let mark_queried = |it: &mut UnknownToken| {
            it.last_query = Some(now);
            it.token
        };
        due.into_iter().map(mark_queried).collect()
    }

    /// Records that the token's upstream has ended and returns the flows to reset.
    pub(crate) fn mark_ended(&mut self, token: Token) -> SmallVec<[(FlowKey, u32); 2]> {
        match self.0.binary_search_by_key(&token, |it| it.token) {
            Ok(at) => {
                self.0[at].ended = true;
                std::mem::take(&mut self.0[at].flows)
            }
            Err(_) => SmallVec::new(),
        }
    }

    /// Removes a token whose upstream is known now.
    pub(crate) fn remove(&mut self, token: Token) {
        self.0.retain(|it| it.token != token);
    }

    /// Removes tokens that were neither seen nor queried for [`TOKEN_TTL`].
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.0.retain(|it| now.since(it.last_seen) < TOKEN_TTL);
    }

    /// Returns `true` if there are no unknown tokens.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
