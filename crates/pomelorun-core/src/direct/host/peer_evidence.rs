//! Asks other hosts of the zone whether an upstream responds to them, before it is given up.
//!
//! Answers the load of upstreams that are full: the few requests that one host has sent there may all
//! wait while other hosts' requests are answered.

use pomelorun_wire::{FlowKey, HostId};

use crate::{
    direct::{
        host::DirectHost,
        liveness::EvidenceRule,
        mechanism::Mechanism,
        peer_evidence::{
            LivenessMessage, LivenessQuery, LivenessReply, MAX_ASKED_HOSTS, MAX_QUERIED,
            MAX_RESPONSE_AGE,
        },
        registry::UpstreamIx,
        token::Token,
    },
    time::Millis,
};

/// Half-life of the queries that the limit counts, in milliseconds.
const QUERY_HALF_LIFE_MS: f64 = 1_000.0;
/// Maximum decaying number of queries: about five a second for long, eight at once.
const MAX_RECENT_QUERIES: f64 = 8.0;

impl DirectHost {
    /// Takes the messages about the liveness of upstreams to send, each with its recipient.
    pub fn take_liveness_messages(&mut self) -> Vec<(HostId, LivenessMessage)> {
        std::mem::take(&mut self.liveness_messages)
    }

    /// Answers a query of another host of this zone.
    pub fn answer_liveness_query(&mut self, now: Millis, query: &LivenessQuery) -> LivenessReply {
        let tokens = query.tokens.iter().take(MAX_QUERIED);
        let responses = tokens.filter_map(|it| Some((*it, self.response_age(now, *it)?))).collect();
        LivenessReply { seq: query.seq, responses }
    }

    /// Applies the reply of another host of this zone.
    pub fn apply_liveness_reply(&mut self, from: HostId, reply: &LivenessReply) {
        let Some(asked) = self.liveness_queries.record_reply(reply.seq, from) else { return };
        for (token, age_ms) in reply.responses.iter().take(MAX_QUERIED) {
            let Some(ix) = self.registry.by_token(*token) else { continue };
            // The age is as of the reply, which was sent after the query, so this is no later than the
            // response was.
            let at = asked - Millis(u64::from(*age_ms));
            self.upstream_states[ix.0 as usize].liveness.record_peer_response(at);
        }
    }

    fn response_age(&self, now: Millis, token: Token) -> Option<u32> {
        let ix = self.registry.by_token(token)?;
        let at = self.upstream_states.get(ix.0 as usize)?.liveness.last_response();
        let age = now.since(at);
        (at > Millis(0) && age < MAX_RESPONSE_AGE).then(|| u32::try_from(age.0).ok())?
    }

    /// Queues one query for all upstreams whose probe is late.
    pub(super) fn ask_peers(&mut self, now: Millis) {
        if self.zone_hosts.len() < 2 || !self.is_enabled(Mechanism::VerdictEvidence) {
            return;
        }
        let states = &self.upstream_states;
        let needs_peers = |it: &&UpstreamIx| states[it.0 as usize].liveness.needs_peers(now);
        let late: Vec<UpstreamIx> =
            self.unhealthy.iter().filter(needs_peers).take(MAX_QUERIED).copied().collect();
        let recent = self.recent_liveness_queries.value_at(now, QUERY_HALF_LIFE_MS);
        if late.is_empty() || recent + 1.0 > MAX_RECENT_QUERIES {
            return;
        }
        self.recent_liveness_queries.add(now, QUERY_HALF_LIFE_MS, 1.0);
        let hosts = self.hosts_to_ask();
        let seq = self.liveness_queries.add(now, hosts.clone());
        let tokens = late.iter().filter_map(|it| self.registry.get(*it)).map(|it| it.token);
        let query = LivenessQuery { seq, tokens: tokens.collect() };
        for ix in late {
            self.upstream_states[ix.0 as usize].liveness.record_asked(now, hosts.len());
        }
        let to_each = |it| (it, LivenessMessage::Query(query.clone()));
        self.liveness_messages.extend(hosts.into_iter().map(to_each));
    }

    /// Returns the hosts that the next query goes to; in a large zone, others each time.
    fn hosts_to_ask(&mut self) -> Vec<HostId> {
        let peers = self.zone_hosts.iter().filter(|it| **it != self.cfg.host);
        let peers: Vec<HostId> = peers.copied().collect();
        let count = peers.len().min(MAX_ASKED_HOSTS);
        let first = self.next_asked_host;
        self.next_asked_host = (first + count) % peers.len().max(1);
        (0..count).map(|it| peers[(first + it) % peers.len()]).collect()
    }

    /// Returns the rule for the evidence against an upstream, or `None` if there is none.
    pub(super) fn evidence_rule<'a>(
        &self,
        ix: UpstreamIx,
        usual_wait: &'a dyn Fn(&FlowKey) -> Option<Millis>,
    ) -> Option<EvidenceRule<'a>> {
        let asked = self.upstream_states[ix.0 as usize].liveness.peers_asked_at();
        self.is_enabled(Mechanism::VerdictEvidence).then(|| EvidenceRule {
            usual_wait,
            peers: self.zone_hosts.len().saturating_sub(1),
            peers_replied: asked.is_some_and(|it| self.liveness_queries.is_answered(it)),
        })
    }
}
