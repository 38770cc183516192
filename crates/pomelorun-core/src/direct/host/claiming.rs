//! Asking the zone's hosts for the upstream of an unknown token, and answering them.

use pomelorun_wire::HostId;

use crate::{
    direct::{
        host::{DirectHost, Verdict},
        note::{DropWhy, Lifecycle, Note, ResetWhy},
        registry::{Announcement, Change},
        segment::{Segment, SegmentKind},
        strays::{MOST_ASKED, Owner, Stand},
        token::Token,
    },
    selection::rendezvous_score,
    time::Millis,
};

/// Hosts of this zone, and of other zones, that are asked for a token: some of them may be cut off or
/// have just started, and asking all of a zone of a hundred would fill their links.
const WITNESSES: usize = 8;

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

    /// Takes in what another host knows of tokens.
    pub fn learn_owners(&mut self, now: Millis, owners: &[(Token, Owner)]) {
        for (token, owner) in owners {
            if self.registry.by_token(*token).is_some() {
                continue;
            }
            match owner {
                Owner::Known(said) => self.adopt_upstream(now, said),
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

    /// Some other hosts of this zone, and some of other zones: when a zone loses power, only they know
    /// that its upstreams have ended.
    fn witnesses(&self, token: Token) -> Vec<HostId> {
        let is_near = |it: &HostId| self.near.binary_search(it).is_ok();
        let others = self.hosts.iter().chain(&self.near).copied();
        let mut others: Vec<HostId> = others.filter(|it| *it != self.cfg.host).collect();
        others
            .sort_by_key(|it| std::cmp::Reverse((rendezvous_score(it.0, u64::from(token.0)), *it)));
        others.dedup();
        let (near, far): (Vec<HostId>, Vec<HostId>) = others.into_iter().partition(is_near);
        near.into_iter().take(WITNESSES).chain(far.into_iter().take(WITNESSES)).collect()
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
        // Whether it answers is for the other host to find out: it may reach what this one does not.
        Some(Owner::Known(it.said_at(now)))
    }

    /// Takes in an upstream that the directory does not announce here: flows may go on there, new
    /// ones may not be opened.
    fn adopt_upstream(&mut self, now: Millis, said: &Announcement) {
        let token = Token::of(said.key);
        let Change::New(ix) = self.registry.announce(now, said) else {
            // A later start has its identifier.
            self.give_up_token(now, token);
            return;
        };
        self.registry.lapse(now - self.cfg.lapse_grace, ix);
        let cold = said.cold_left;
        self.note(Note::Upstream { upstream: said.key, state: Lifecycle::Adopted, cold });
        self.begin(now, ix);
        self.strays.claimed(token);
    }

    fn give_up_token(&mut self, now: Millis, token: Token) {
        for (flow, ack) in self.strays.give_up(token) {
            self.lose(&flow);
            let reset = self.reset(now, None, flow, ack, ResetWhy::Gone);
            self.resets.push(reset);
        }
    }
}
