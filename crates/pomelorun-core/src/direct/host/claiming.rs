//! Asking the zone's hosts for the upstream of an unknown token, and answering them.

use pomelorun_wire::HostId;

use crate::{
    choice::rendezvous_score,
    direct::{
        host::{DirectHost, Seen, Verdict},
        liveness::Standing,
        note::{DropWhy, Lifecycle, Note, ResetWhy},
        registry::{Announcement, Change},
        segment::{Segment, SegmentKind},
        strays::{MOST_ASKED, Owner, Stand},
        token::Token,
    },
    time::Millis,
};

/// Hosts of other zones that are asked for a token: some of them may be cut off or have just started.
const FAR_WITNESSES: usize = 4;

impl DirectHost {
    /// Takes questions for the owners of tokens, with the host that each is for.
    pub fn take_questions(&mut self) -> Vec<(HostId, Vec<Token>)> {
        std::mem::take(&mut self.questions)
    }

    /// Answers another host of this zone which upstreams tokens name, as far as it is known.
    pub fn owners_of(&mut self, now: Millis, tokens: &[Token]) -> Vec<(Token, Owner)> {
        let mut found = Vec::with_capacity(tokens.len());
        for &token in tokens {
            if let Some(it) = self.owner_of(now, token) {
                found.push((token, it));
            } else if self.judge_of_token(token) == self.cfg.host
                && self.strays.asked(now, token) == Stand::Gone
            {
                found.push((token, Owner::Gone));
            }
        }
        found
    }

    /// Takes in what another host knows of tokens. What a host of another zone does not reach may
    /// well be reached from here.
    pub fn learn_owners(&mut self, now: Millis, from: HostId, owners: &[(Token, Owner)]) {
        let near = self.near.binary_search(&from).is_ok();
        for (token, owner) in owners {
            if self.registry.by_token(*token).is_some() {
                continue;
            }
            match owner {
                Owner::Unreachable(said) if near => {
                    self.adopt_upstream(now, said, Standing::Unreachable { since: now });
                }
                Owner::Known(said) | Owner::Unreachable(said) => {
                    self.adopt_upstream(now, said, Standing::Answering);
                }
                Owner::Gone => self.give_up_token(now, *token),
            }
        }
    }

    pub(super) fn unknown_token(&mut self, now: Millis, seg: &Segment) -> Verdict {
        self.stats.unknown_token += 1;
        let (flow, token) = (seg.flow, seg.token);
        let abort = seg.kind == SegmentKind::Abort;
        let stand = if token == Token::NONE || abort {
            Stand::Wait
        } else {
            self.strays.packet(now, token, flow, seg.ack)
        };
        match stand {
            Stand::Wait => {
                self.note(Note::Dropped { flow, why: DropWhy::UnknownToken, token });
                Verdict::Drop
            }
            Stand::Gone => {
                self.lose(&flow);
                Verdict::Reset(self.reset(now, None, flow, seg.ack, ResetWhy::Gone))
            }
        }
    }

    /// Asks for tokens.
    pub(super) fn chase_strays(&mut self, now: Millis) {
        if self.strays.is_empty() {
            return;
        }
        self.strays.forget_old(now);
        for token in self.strays.take_due(now) {
            let judge = self.judge_of_token(token);
            if judge != self.cfg.host {
                self.ask(judge, token);
                continue;
            }
            for host in self.witnesses(token) {
                self.ask(host, token);
            }
        }
    }

    /// The other hosts of this zone, and some of other zones: when a zone loses power, only they know
    /// that its upstreams have ended.
    fn witnesses(&self, token: Token) -> Vec<HostId> {
        let near = self.near.iter().copied().filter(|it| *it != self.cfg.host);
        let is_far = |it: &HostId| self.near.binary_search(it).is_err();
        let mut far: Vec<HostId> = self.hosts.iter().copied().filter(is_far).collect();
        far.sort_by_key(|it| rendezvous_score(it.0, u64::from(token.0)));
        near.chain(far.into_iter().rev().take(FAR_WITNESSES)).collect()
    }

    fn ask(&mut self, host: HostId, token: Token) {
        let room = |it: &&mut (HostId, Vec<Token>)| it.0 == host && it.1.len() < MOST_ASKED;
        match self.questions.iter_mut().find(room) {
            Some(it) => it.1.push(token),
            None => self.questions.push((host, vec![token])),
        }
    }

    /// The host of this zone that decides about a token.
    fn judge_of_token(&self, token: Token) -> HostId {
        let score = |host: &&HostId| rendezvous_score(host.0, u64::from(token.0));
        self.near.iter().max_by_key(score).copied().unwrap_or(self.cfg.host)
    }

    fn owner_of(&self, now: Millis, token: Token) -> Option<Owner> {
        let ix = self.registry.by_token(token)?;
        let it = self.registry.get(ix)?;
        if it.ended {
            return Some(Owner::Gone);
        }
        let said = Announcement { cold_left: it.cold_until.since(now), ..it.said.clone() };
        Some(match self.standing(ix) {
            Standing::Unreachable { .. } => Owner::Unreachable(said),
            Standing::Answering | Standing::Suspect => Owner::Known(said),
        })
    }

    /// Takes in an upstream that the directory does not announce here: flows may go on there, new
    /// ones may not be opened.
    fn adopt_upstream(&mut self, now: Millis, said: &Announcement, standing: Standing) {
        let token = Token::of(said.key);
        let Change::New(ix) = self.registry.announce(now, said) else {
            // A later start has its identifier.
            self.give_up_token(now, token);
            return;
        };
        self.registry.lapse(now - self.cfg.lapse_grace, ix);
        if self.seen.len() < self.registry.span() {
            self.seen.resize(self.registry.span(), Seen::default());
        }
        self.seen[ix.0 as usize] = Seen::default();
        let cold = said.cold_left;
        self.note(Note::Upstream { upstream: said.key, state: Lifecycle::Adopted, cold });
        self.give_up_ended(now);
        let waiting = self.strays.claimed(token);
        if !matches!(standing, Standing::Unreachable { .. }) {
            return;
        }
        self.give_up(now, ix, Millis(0), true);
        for (flow, ack) in waiting {
            self.lose(&flow);
            let reset = self.reset(now, Some(ix), flow, ack, ResetWhy::Unreachable);
            self.resets.push(reset);
        }
    }

    fn give_up_token(&mut self, now: Millis, token: Token) {
        for (flow, ack) in self.strays.give_up(token) {
            self.lose(&flow);
            let reset = self.reset(now, None, flow, ack, ResetWhy::Gone);
            self.resets.push(reset);
        }
    }
}
