//! Probing one host a period, directly and then through others.

use pomelorun_wire::{HostId, MemberInfo, MemberState, PeerMsg};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use crate::{
    members::{Members, Outbox},
    settings::CoreSettings,
    time::Millis,
};

/// Hosts asked to probe on behalf of another.
const INDIRECT_PROBES: usize = 2;
/// One probe in this many goes to a host that is believed dead but still listed.
const DEAD_PROBE_EVERY: u64 = 4;
/// Draws for a random host before none is found.
const DRAWS: usize = 8;
/// Least time between two messages that only carry new changes of membership.
const PUSH_EVERY: Millis = Millis(60);

#[derive(Debug, Clone, Copy)]
struct Probe {
    seq: u64,
    target: HostId,
    sent: Millis,
    indirect: bool,
}

/// A probe that is carried out for another host.
#[derive(Debug, Clone, Copy)]
struct Errand {
    seq: u64,
    requester: HostId,
    their_seq: u64,
    sent: Millis,
}

/// The probes in progress and whose turn is next.
#[derive(Debug, Default)]
pub(super) struct Probing {
    ring: Vec<HostId>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    next_probe: Millis,
    next_push: Millis,
    seq: u64,
}

impl Probing {
    pub(super) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Forgets probes whose answers may have come while the process slept.
    pub(super) fn reset(&mut self) {
        self.probe = None;
        self.errands.clear();
    }
}

impl Members {
    pub(super) fn probe(
        &mut self,
        now: Millis,
        cfg: &CoreSettings,
        revision: u64,
        rng: &mut ChaCha8Rng,
        out: &mut Outbox,
    ) {
        self.probing.errands.retain(|it| now.since(it.sent) < cfg.probe_period_ms);
        if let Some(probe) = self.probing.probe {
            let waited = now.since(probe.sent);
            if !probe.indirect && waited.0 * 2 >= cfg.probe_period_ms.0 {
                self.probing.probe = Some(Probe { indirect: true, ..probe });
                self.ask_others(probe, rng, out);
            }
        }
        if now < self.probing.next_probe {
            return;
        }
        self.probing.next_probe = now + cfg.probe_period_ms;
        if let Some(probe) = self.probing.probe.take() {
            self.suspect(now, probe.target);
        }
        if let Some(target) = self.next_target(rng) {
            let msg = self.ping(target, revision);
            let seq = self.probing.seq;
            self.probing.probe = Some(Probe { seq, target, sent: now, indirect: false });
            out.push((target, msg));
        }
    }

    /// Sends new changes to a random host without waiting for the next probe.
    pub(super) fn push_rumours(&mut self, now: Millis, rng: &mut ChaCha8Rng, out: &mut Outbox) {
        if !self.rumours.is_eager() || now < self.probing.next_push {
            return;
        }
        self.probing.next_push = now + PUSH_EVERY;
        if let Some(to) = self.random_live_where(rng, |_| true) {
            let members = self.gossip(to);
            out.push((to, PeerMsg::Gossip { members }));
        }
    }

    /// A probe was answered.
    pub(super) fn answered(&mut self, seq: u64, revision: u64, members: &[MemberInfo]) -> Outbox {
        if self.probing.probe.is_some_and(|it| it.seq == seq) {
            self.probing.probe = None;
        }
        let Some(at) = self.probing.errands.iter().position(|it| it.seq == seq) else {
            return Outbox::new();
        };
        let it = self.probing.errands.swap_remove(at);
        let members = members.to_vec();
        vec![(it.requester, PeerMsg::Pong { seq: it.their_seq, revision, members })]
    }

    /// Takes on a probe for another host; returns the message to the target.
    pub(super) fn errand(
        &mut self,
        now: Millis,
        requester: HostId,
        their_seq: u64,
        target: HostId,
        revision: u64,
    ) -> PeerMsg {
        let msg = self.ping(target, revision);
        let seq = self.probing.seq;
        self.probing.errands.push(Errand { seq, requester, their_seq, sent: now });
        msg
    }

    fn ask_others(&self, probe: Probe, rng: &mut ChaCha8Rng, out: &mut Outbox) {
        let mut helpers: Vec<HostId> = Vec::with_capacity(INDIRECT_PROBES);
        for _ in 0..INDIRECT_PROBES {
            let other = |it: HostId| it != probe.target && !helpers.contains(&it);
            let Some(helper) = self.random_live_where(rng, other) else { continue };
            helpers.push(helper);
            out.push((helper, PeerMsg::PingReq { seq: probe.seq, target: probe.target }));
        }
    }

    fn next_target(&mut self, rng: &mut ChaCha8Rng) -> Option<HostId> {
        if rng.next_u64().is_multiple_of(DEAD_PROBE_EVERY)
            && let Some(it) = self.random_dead(rng)
        {
            return Some(it);
        }
        while let Some(host) = self.probing.ring.pop() {
            if self.get(host).is_some_and(|it| it.state != MemberState::Dead) {
                return Some(host);
            }
        }
        let not_dead = self.members.iter().filter(|it| it.state != MemberState::Dead);
        let ring = &mut self.probing.ring;
        ring.extend(not_dead.map(|it| it.host));
        for at in (1..ring.len()).rev() {
            ring.swap(at, rng.random_range(0..=at));
        }
        ring.pop().or_else(|| self.random_dead(rng))
    }

    fn random_dead(&self, rng: &mut ChaCha8Rng) -> Option<HostId> {
        if self.dead.is_empty() {
            return None;
        }
        Some(self.dead[rng.random_range(0..self.dead.len())])
    }

    /// Draws a live host.
    pub(crate) fn random_live(&self, rng: &mut ChaCha8Rng) -> Option<HostId> {
        self.random_live_where(rng, |_| true)
    }

    /// Draws a live host that `usable` accepts.
    pub(super) fn random_live_where(
        &self,
        rng: &mut ChaCha8Rng,
        usable: impl Fn(HostId) -> bool,
    ) -> Option<HostId> {
        if self.members.is_empty() {
            return None;
        }
        (0..DRAWS).find_map(|_| {
            let it = &self.members[rng.random_range(0..self.members.len())];
            (it.state == MemberState::Live && usable(it.host)).then_some(it.host)
        })
    }
}
