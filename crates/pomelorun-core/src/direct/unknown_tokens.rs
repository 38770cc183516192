//! Packets whose token names no upstream that this host knows.
//!
//! A host that has just started knows no upstream that is no longer announced; one that lags does not
//! know the newest ones. Both must not reset a flow of a living upstream. So each token has one judge
//! in the zone, by rendezvous, which asks some others of the zone and of other zones. Who knows the
//! upstream says so, and whether it has ended: then its flows are reset, whose callers would wait until
//! they give up. That nobody knows it shows nothing: announcements may come late everywhere.

use pomelorun_wire::FlowKey;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    direct::{registry::Announcement, token::Token},
    time::Millis,
};

/// Time between two questions for one token.
const QUERY_INTERVAL: Millis = Millis(500);
/// Time without a packet after which a token is forgotten: the longest life of a flow is a minute.
const TOKEN_TTL: Millis = Millis(60_000);
/// Tokens that are kept at most. Packets may carry anything.
const MAX_TOKENS: usize = 4_096;
/// Flows of one token that are reset together.
const MAX_FLOWS_PER_TOKEN: usize = 16;
/// Tokens that are asked for at a time, twenty times a second: some kilobytes a second when a whole
/// zone's upstreams are lost, and nothing otherwise.
const MAX_QUERIES_PER_TICK: usize = 8;
/// Tokens in one question, so that it and its answer are one datagram.
pub(crate) const MAX_TOKENS_PER_QUERY: usize = 16;

/// What is known of the upstream that a token names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenOwner {
    /// It is known, announced or not.
    Known(Announcement),
    /// It has ended.
    #[serde(rename = "gone")]
    Ended,
}

#[derive(Debug, Clone)]
struct UnknownToken {
    token: Token,
    last_seen: Millis,
    last_query: Option<Millis>,
    ended: bool,
    /// Flows with the next byte that their callers expect.
    flows: SmallVec<[(FlowKey, u32); 2]>,
}

/// What to do with a packet of unknown token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenStatus {
    /// Drop it: its upstream may yet become known.
    Unresolved,
    /// Reset its flow.
    Ended,
}

/// Tokens that name no known upstream, sorted.
#[derive(Debug, Default)]
pub(crate) struct UnknownTokens(Vec<UnknownToken>);

impl UnknownTokens {
    /// Notes a packet.
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

    /// Notes a question of another host; tells whether the token counts as gone.
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

    /// Tokens that are to be asked for now, those first that were not asked for longest.
    pub(crate) fn take_due_queries(&mut self, now: Millis) -> Vec<Token> {
        let is_due = |it: &&mut UnknownToken| {
            !it.ended
                && it
                    .last_query
                    .is_none_or(|at| now.since(at) >= QUERY_INTERVAL && it.last_seen > at)
        };
        let mut due: Vec<&mut UnknownToken> = self.0.iter_mut().filter(is_due).collect();
        due.sort_by_key(|it| it.last_query);
        due.truncate(MAX_QUERIES_PER_TICK);
        let ask = |it: &mut UnknownToken| {
            it.last_query = Some(now);
            it.token
        };
        due.into_iter().map(ask).collect()
    }

    /// Notes that a token's upstream is gone; returns the flows to reset.
    pub(crate) fn mark_ended(&mut self, token: Token) -> SmallVec<[(FlowKey, u32); 2]> {
        match self.0.binary_search_by_key(&token, |it| it.token) {
            Ok(at) => {
                self.0[at].ended = true;
                std::mem::take(&mut self.0[at].flows)
            }
            Err(_) => SmallVec::new(),
        }
    }

    /// Forgets a token whose upstream is known now.
    pub(crate) fn remove(&mut self, token: Token) {
        self.0.retain(|it| it.token != token);
    }

    /// Forgets tokens of which nothing came for long.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.0.retain(|it| now.since(it.last_seen) < TOKEN_TTL);
    }

    /// Tells whether there is none.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
