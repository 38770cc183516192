//! Checking the view of the other hosts after a start or a sleep, before it is acted on.

use pomelorun_wire::{HostId, MemberInfo, MemberState, PeerMsg};
use rand_chacha::ChaCha8Rng;

use crate::{
    members::{Discovery, Members, Outbox},
    settings::CoreSettings,
    time::Millis,
};

/// Time between two rounds of questions.
const ASK_EVERY: Millis = Millis(100);
/// Hosts asked in one round.
const ASKED: usize = 2;
/// Members in one answer.
const PER_MESSAGE: usize = 40;
/// Messages in one answer.
const MESSAGES: usize = 8;

/// How far the check has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Settling {
    /// No host list was read yet.
    #[default]
    Unlisted,
    /// Others are asked what they know.
    Asking { since: Millis, next: Millis },
    /// The view may be acted on.
    Settled,
}

impl Settling {
    pub(super) fn begin(&mut self, now: Millis, alone: bool) {
        *self = if alone { Settling::Settled } else { Settling::Asking { since: now, next: now } };
    }
}

impl Members {
    /// Tells whether the view was checked with another host, or none answered in time.
    pub fn is_settled(&self) -> bool {
        self.settling == Settling::Settled
    }

    /// Tells whether this host takes part: its view was checked at least once.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// The process slept: nothing that it knew counts before another host has confirmed it.
    pub(crate) fn woke(&mut self, now: Millis) {
        self.probing.reset();
        self.suspects.clear();
        for it in &mut self.members {
            if it.state == MemberState::Suspect {
                it.since = now;
                self.suspects.push_back((now, it.host));
            }
        }
        if self.list_read {
            self.settling.begin(now, self.members.is_empty());
        }
    }

    pub(super) fn ask_for_views(
        &mut self,
        now: Millis,
        cfg: &CoreSettings,
        rng: &mut ChaCha8Rng,
        out: &mut Outbox,
    ) {
        let Settling::Asking { since, next } = self.settling else { return };
        if now.since(since) >= cfg.sync_timeout_ms {
            self.settle();
            return;
        }
        if now < next {
            return;
        }
        self.settling = Settling::Asking { since, next: now + ASK_EVERY };
        for _ in 0..ASKED {
            if let Some(to) = self.random_live(rng, |it| out.iter().all(|sent| sent.0 != it)) {
                out.push((to, PeerMsg::ViewRequest));
            }
        }
    }

    /// What the asker cannot know from elsewhere, the newest changes first: with a host list the
    /// hosts that are not as it says, without one all.
    pub(super) fn views(&self, to: HostId, revision: u64) -> Outbox {
        let all = self.discovery == Discovery::Seeded;
        let mut found: Vec<_> = self
            .members
            .iter()
            .filter(|it| it.state != MemberState::Live || all && it.incarnation > 0)
            .collect();
        found.sort_by_key(|it| (it.host != to, std::cmp::Reverse(it.since)));
        found.truncate(PER_MESSAGE * MESSAGES);
        let mut infos: Vec<MemberInfo> = found.into_iter().map(|it| it.info()).collect();
        infos.insert(0, self.me);
        let synced = self.is_settled();
        let view =
            |it: &[MemberInfo]| (to, PeerMsg::View { synced, revision, members: it.to_vec() });
        infos.chunks(PER_MESSAGE).map(view).collect()
    }

    pub(super) fn view_came(&mut self, now: Millis, settled: bool) {
        // A view does not say when a host announced its leaving; it may be gone by now.
        for it in &mut self.members {
            if it.state == MemberState::Leaving && it.since == now {
                it.since = Millis(0);
            }
        }
        if settled && matches!(self.settling, Settling::Asking { .. }) {
            self.settle();
        }
    }

    fn settle(&mut self) {
        self.settling = Settling::Settled;
        self.joined = true;
        self.changed = true;
    }
}
