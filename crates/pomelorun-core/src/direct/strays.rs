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
const ASK_EVERY: Millis = Millis(500);
/// Time without a packet after which a token is forgotten: the longest life of a flow is a minute.
const FORGET: Millis = Millis(60_000);
/// Tokens that are kept at most. Packets may carry anything.
const MOST_TOKENS: usize = 4_096;
/// Flows of one token that are reset together.
const MOST_FLOWS: usize = 16;
/// Tokens that are asked for at a time, twenty times a second: some kilobytes a second when a whole
/// zone's upstreams are lost, and nothing otherwise.
const MOST_DUE: usize = 8;
/// Tokens in one question, so that it and its answer are one datagram.
pub(crate) const MOST_ASKED: usize = 16;

/// What is known of the upstream that a token names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Owner {
    /// It is known, announced or not.
    Known(Announcement),
    /// It has ended.
    Gone,
}

#[derive(Debug, Clone)]
struct Stray {
    token: Token,
    last: Millis,
    asked: Option<Millis>,
    gone: bool,
    /// Flows with the next byte that their callers expect.
    flows: SmallVec<[(FlowKey, u32); 2]>,
}

/// What to do with a packet of unknown token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stand {
    /// Drop it: its upstream may yet become known.
    Wait,
    /// Reset its flow.
    Gone,
}

/// Tokens that name no known upstream, sorted.
#[derive(Debug, Default)]
pub(crate) struct Strays(Vec<Stray>);

impl Strays {
    /// Notes a packet.
    pub(crate) fn packet(&mut self, now: Millis, token: Token, flow: FlowKey, ack: u32) -> Stand {
        let Some(it) = self.note(now, token) else { return Stand::Wait };
        it.last = now;
        if it.gone {
            return Stand::Gone;
        }
        match it.flows.iter().position(|it| it.0 == flow) {
            Some(at) => it.flows[at].1 = ack,
            None if it.flows.len() < MOST_FLOWS => it.flows.push((flow, ack)),
            None => {}
        }
        Stand::Wait
    }

    /// Notes a question of another host; tells whether the token counts as gone.
    pub(crate) fn asked(&mut self, now: Millis, token: Token) -> Stand {
        let Some(it) = self.note(now, token) else { return Stand::Wait };
        it.last = now;
        if it.gone { Stand::Gone } else { Stand::Wait }
    }

    fn note(&mut self, now: Millis, token: Token) -> Option<&mut Stray> {
        let at = match self.0.binary_search_by_key(&token, |it| it.token) {
            Ok(at) => at,
            Err(_) if self.0.len() >= MOST_TOKENS => return None,
            Err(at) => {
                let flows = SmallVec::new();
                let it = Stray { token, last: now, asked: None, gone: false, flows };
                self.0.insert(at, it);
                at
            }
        };
        Some(&mut self.0[at])
    }

    /// Tokens that are to be asked for now, those first that were not asked for longest.
    pub(crate) fn take_due(&mut self, now: Millis) -> Vec<Token> {
        let is_due = |it: &&mut Stray| {
            !it.gone && it.asked.is_none_or(|at| now.since(at) >= ASK_EVERY && it.last > at)
        };
        let mut due: Vec<&mut Stray> = self.0.iter_mut().filter(is_due).collect();
        due.sort_by_key(|it| it.asked);
        due.truncate(MOST_DUE);
        let ask = |it: &mut Stray| {
            it.asked = Some(now);
            it.token
        };
        due.into_iter().map(ask).collect()
    }

    /// Notes that a token's upstream is gone; returns the flows to reset.
    pub(crate) fn give_up(&mut self, token: Token) -> SmallVec<[(FlowKey, u32); 2]> {
        match self.0.binary_search_by_key(&token, |it| it.token) {
            Ok(at) => {
                self.0[at].gone = true;
                std::mem::take(&mut self.0[at].flows)
            }
            Err(_) => SmallVec::new(),
        }
    }

    /// Forgets a token whose upstream is known now.
    pub(crate) fn claimed(&mut self, token: Token) {
        self.0.retain(|it| it.token != token);
    }

    /// Forgets tokens of which nothing came for long.
    pub(crate) fn forget_old(&mut self, now: Millis) {
        self.0.retain(|it| now.since(it.last) < FORGET);
    }

    /// Tells whether there is none.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
