//! Token queries: asking other hosts for the upstream of an unknown token, and answering them.
//!
//! Each token has a resolver in the zone, chosen by rendezvous hashing. The other hosts of the zone
//! query the resolver; the resolver queries some other hosts of its own and of other zones.

use pomelorun_wire::HostId;

use crate::{
    direct::{
        event::{DirectEvent, DropReason, LifecycleChange, ResetReason},
        host::{DirectHost, Verdict},
        mechanism::Mechanism,
        registry::{Announcement, Learned},
        segment::{Segment, SegmentKind},
        token::Token,
        unknown_tokens::{MAX_TOKENS_PER_QUERY, TokenOwner, TokenStatus},
    },
    selection::rendezvous_score,
    time::Millis,
};

/// Maximum number of hosts that a resolver queries in its own zone, and again in all other zones
/// together.
///
/// Several, since some may be unreachable or have just started; not all, since queries to a zone of
/// a hundred hosts would saturate their links.
const MAX_QUERIED_HOSTS: usize = 8;

impl DirectHost {
    /// Takes the token queries to send, each with the host that it is for.
    pub fn take_token_queries(&mut self) -> Vec<(HostId, Vec<Token>)> {
        std::mem::take(&mut self.token_queries)
    }

    /// Answers a token query of another host with the owners that are known here.
    pub fn answer_token_query(
        &mut self,
        now: Millis,
        tokens: &[Token],
    ) -> Vec<(Token, TokenOwner)> {
        let mut found = Vec::with_capacity(tokens.len());
        for &token in tokens {
            if let Some(it) = self.token_owner(now, token) {
                found.push((token, it));
            } else if self.token_resolver(token) == self.cfg.host
                && self.unknown_tokens.record_query(now, token) == TokenStatus::Ended
            {
                found.push((token, TokenOwner::Ended));
            }
        }
        found
    }

    /// Applies another host's reply to a token query.
    pub fn apply_token_owners(&mut self, now: Millis, owners: &[(Token, TokenOwner)]) {
        for (token, owner) in owners {
            if self.registry.by_token(*token).is_some() {
                continue;
            }
            match owner {
                TokenOwner::Known(announcement) => self.add_learned_upstream(now, announcement),
                TokenOwner::Ended => self.reset_token_flows(now, *token),
            }
        }
    }

    pub(super) fn handle_unknown_token(&mut self, now: Millis, seg: &Segment) -> Verdict {
        self.stats.unknown_token += 1;
        let (flow, token) = (seg.flow, seg.token);
        let abort = seg.kind == SegmentKind::Abort;
        let status = if token == Token::NONE || abort || !self.is_enabled(Mechanism::TokenQueries) {
            TokenStatus::Unresolved
        } else {
            self.unknown_tokens.record_packet(now, token, flow, seg.ack)
        };
        match status {
            TokenStatus::Unresolved => {
                self.emit(DirectEvent::Dropped { flow, reason: DropReason::UnknownToken, token });
                Verdict::Drop
            }
            TokenStatus::Ended => {
                let owner = self.packet_owner(now, seg, None);
                self.remove_broken_flow(&flow, owner);
                Verdict::Reset(self.make_reset(now, None, flow, seg.ack, ResetReason::EndedAtPeer))
            }
        }
    }

    /// Queues the token queries that are due.
    pub(super) fn query_unknown_tokens(&mut self, now: Millis) {
        if self.unknown_tokens.is_empty() {
            return;
        }
        self.unknown_tokens.remove_expired(now);
        for token in self.unknown_tokens.take_due_queries(now) {
            let resolver = self.token_resolver(token);
            if resolver != self.cfg.host {
                self.queue_token_query(resolver, token);
                continue;
            }
            for host in self.hosts_to_query(token) {
                self.queue_token_query(host, token);
            }
        }
    }

    /// Returns the hosts that this host queries as the resolver of a token.
    ///
    /// Other zones are included: when a whole zone loses power, its hosts forget their upstreams,
    /// and only hosts of other zones still know which have ended.
    fn hosts_to_query(&self, token: Token) -> Vec<HostId> {
        let is_same_zone = |it: &HostId| self.zone_hosts.binary_search(it).is_ok();
        let others = self.cold_owners.live().iter().chain(&self.zone_hosts).copied();
        let mut others: Vec<HostId> = others.filter(|it| *it != self.cfg.host).collect();
        others
            .sort_by_key(|it| std::cmp::Reverse((rendezvous_score(it.0, u64::from(token.0)), *it)));
        others.dedup();
        let (same_zone, other_zones): (Vec<HostId>, Vec<HostId>) =
            others.into_iter().partition(is_same_zone);
        same_zone
            .into_iter()
            .take(MAX_QUERIED_HOSTS)
            .chain(other_zones.into_iter().take(MAX_QUERIED_HOSTS))
            .collect()
    }

    fn queue_token_query(&mut self, host: HostId, token: Token) {
        let has_room =
            |it: &&mut (HostId, Vec<Token>)| it.0 == host && it.1.len() < MAX_TOKENS_PER_QUERY;
        match self.token_queries.iter_mut().find(has_room) {
            Some(it) => it.1.push(token),
            None => self.token_queries.push((host, vec![token])),
        }
    }

    /// Returns the resolver of a token in this zone.
    fn token_resolver(&self, token: Token) -> HostId {
        let score = |host: &&HostId| rendezvous_score(host.0, u64::from(token.0));
        self.zone_hosts.iter().max_by_key(score).copied().unwrap_or(self.cfg.host)
    }

    fn token_owner(&self, now: Millis, token: Token) -> Option<TokenOwner> {
        let ix = self.registry.by_token(token)?;
        let it = self.registry.get(ix)?;
        if it.ended {
            return Some(TokenOwner::Ended);
        }
        // The other host may reach an upstream that is unreachable from here.
        Some(TokenOwner::Known(self.announcement_at(now, ix, it)))
    }

    /// Adds an upstream that was learned from a peer as lapsed: its flows are forwarded, but it
    /// gets no new ones.
    ///
    /// A peer's word ends no instance. If the learned one has started later than the current one of its
    /// identifier, that one gets no new flows either, until the directory tells which of them is current.
    fn add_learned_upstream(&mut self, now: Millis, announcement: &Announcement) {
        let lapsed_at = now - self.cfg.lapse_grace;
        let ix = match self.registry.learn(now, lapsed_at, announcement, &self.routing) {
            Learned::Nothing => return,
            Learned::Added(ix) => ix,
            Learned::Later { ix, current } => {
                self.lapse(lapsed_at, current);
                self.is_contradicted = true;
                ix
            }
        };
        let cold_left = announcement.cold_left;
        self.emit(DirectEvent::Lifecycle {
            upstream: announcement.key,
            change: LifecycleChange::Adopted,
            cold_left,
        });
        self.reset_upstream_state(now, ix);
        self.unknown_tokens.remove(Token::of(announcement.key));
    }

    fn reset_token_flows(&mut self, now: Millis, token: Token) {
        for (flow, ack) in self.unknown_tokens.mark_ended(token) {
            self.remove_broken_flow(&flow, None);
            let reset = self.make_reset(now, None, flow, ack, ResetReason::EndedAtPeer);
            self.resets.push(reset);
        }
    }
}
