//! Messages in which a host asks others of its zone, before it gives an upstream up, whether the
//! upstream responds to them.
//!
//! A host sees few of an upstream's responses, so one that serves others can look dead to it.

use pomelorun_wire::HostId;
use serde::{Deserialize, Serialize};

use crate::{direct::token::Token, time::Millis};

/// Maximum number of upstreams that one query names.
pub(crate) const MAX_QUERIED: usize = 64;
/// Maximum number of hosts that one query is sent to.
pub(crate) const MAX_ASKED_HOSTS: usize = 16;
/// Age after which a response is not told any more.
pub(crate) const MAX_RESPONSE_AGE: Millis = Millis(2_000);
/// Queries whose replies are awaited.
const MAX_OPEN_QUERIES: usize = 8;

/// A query for the upstreams' last responses.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LivenessQuery {
    /// Number of the query, which the reply repeats.
    pub seq: u32,
    /// Tokens of the upstreams.
    pub tokens: Vec<Token>,
}

/// The reply to a [`LivenessQuery`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LivenessReply {
    /// Number of the query.
    pub seq: u32,
    /// Upstreams that have responded to the sender lately, and for how many milliseconds they have not
    /// done so again.
    pub responses: Vec<(Token, u32)>,
}

/// A message about the liveness of upstreams to another host of the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LivenessMessage {
    /// Asks for last responses.
    Query(LivenessQuery),
    /// Tells them.
    Reply(LivenessReply),
}

/// A query whose replies are awaited.
#[derive(Debug, Clone)]
struct OpenQuery {
    seq: u32,
    sent: Millis,
    /// Hosts that have not replied.
    waiting: Vec<HostId>,
    asked: usize,
}

/// Queries whose replies are awaited, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenQueries {
    queries: Vec<OpenQuery>,
    last_seq: u32,
}

impl OpenQueries {
    /// Adds a query and returns its number.
    pub(crate) fn add(&mut self, now: Millis, asked: Vec<HostId>) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        if self.queries.len() >= MAX_OPEN_QUERIES {
            self.queries.remove(0);
        }
        let seq = self.last_seq;
        self.queries.push(OpenQuery { seq, sent: now, asked: asked.len(), waiting: asked });
        seq
    }

    /// Records a reply and returns when its query was sent, or `None` if it was not sent to this host
    /// or has been answered by it.
    pub(crate) fn record_reply(&mut self, seq: u32, from: HostId) -> Option<Millis> {
        let it = self.queries.iter_mut().find(|it| it.seq == seq)?;
        let at = it.waiting.iter().position(|host| *host == from)?;
        it.waiting.swap_remove(at);
        Some(it.sent)
    }

    /// Returns `true` if at least half of the hosts have replied to the query that was sent then.
    pub(crate) fn is_answered(&self, sent: Millis) -> bool {
        let query = self.queries.iter().rev().find(|it| it.sent == sent);
        query.is_some_and(|it| it.waiting.len() * 2 <= it.asked)
    }
}
