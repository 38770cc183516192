//! Failure detector: probes one host per period, directly and then through other hosts.

use pomelorun_wire::{HostId, MemberInfo, MemberState, PeerMsg};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use crate::{
    members::{Members, Outbox},
    settings::CoreSettings,
    time::Millis,
};

/// Number of hosts that are asked to probe a host that did not respond to a direct probe.
const INDIRECT_PROBES: usize = 2;
/// One in this many probes, on average, goes to a dead host that is still listed.
const PROBES_PER_DEAD_PROBE: u64 = 4;
/// Maximum number of draws to find a suitable random host.
const MAX_RANDOM_DRAWS: usize = 8;
/// Minimum time between two messages that carry membership updates alone.
const PUSH_INTERVAL: Millis = Millis(60);

#[derive(Debug, Clone, Copy)]
struct Probe {
    seq: u64,
    target: HostId,
    sent: Millis,
    indirect: bool,
}

/// A probe on behalf of another host.
#[derive(Debug, Clone, Copy)]
struct IndirectProbe {
    seq: u64,
    requester: HostId,
    requester_seq: u64,
    sent: Millis,
}

/// Probes in progress and the order of the next ones.
#[derive(Debug, Default)]
pub(super) struct Probing {
    /// Hosts left to probe in this round, in random order.
    ring: Vec<HostId>,
    probe: Option<Probe>,
    indirect_probes: Vec<IndirectProbe>,
    next_probe: Millis,
    next_push: Millis,
    seq: u64,
}

impl Probing {
    pub(super) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Discards probes in progress; their responses may have arrived while the process was paused.
    pub(super) fn reset(&mut self) {
        self.probe = None;
        self.indirect_probes.clear();
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
        self.probing.indirect_probes.retain(|it| now.since(it.sent) < cfg.probe_period_ms);
        if let Some(probe) = self.probing.probe {
            let waited = now.since(probe.sent);
            if !probe.indirect && waited.0 * 2 >= cfg.probe_period_ms.0 {
                self.probing.probe = Some(Probe { indirect: true, ..probe });
                self.request_indirect_probes(probe, rng, out);
            }
        }
        if now < self.probing.next_probe {
            return;
        }
        self.probing.next_probe = now + cfg.probe_period_ms;
        if let Some(probe) = self.probing.probe.take() {
            self.handle_probe_timeout(now, probe.target);
        }
        if let Some(target) = self.next_target(rng) {
            let msg = self.ping(target, revision);
            let seq = self.probing.seq;
            self.probing.probe = Some(Probe { seq, target, sent: now, indirect: false });
            out.push((target, msg));
        }
    }

    /// Sends new updates to a random host without waiting for the next probe.
    pub(super) fn push_updates(&mut self, now: Millis, rng: &mut ChaCha8Rng, out: &mut Outbox) {
        if !self.gossip_queue.is_eager() || now < self.probing.next_push {
            return;
        }
        self.probing.next_push = now + PUSH_INTERVAL;
        if let Some(to) = self.random_live_where(rng, |_| true) {
            let members = self.updates_for(to);
            out.push((to, PeerMsg::Gossip { members }));
        }
    }

    /// Handles the response to a probe and forwards it if the probe was on behalf of another host.
    pub(super) fn handle_pong(
        &mut self,
        seq: u64,
        revision: u64,
        members: &[MemberInfo],
    ) -> Outbox {
        if self.probing.probe.is_some_and(|it| it.seq == seq) {
            self.probing.probe = None;
        }
        let Some(at) = self.probing.indirect_probes.iter().position(|it| it.seq == seq) else {
            return Outbox::new();
        };
        let it = self.probing.indirect_probes.swap_remove(at);
        let members = members.to_vec();
        vec![(it.requester, PeerMsg::Pong { seq: it.requester_seq, revision, members })]
    }

    /// Starts a probe on behalf of `requester` and returns the message to the target.
    pub(super) fn start_indirect_probe(
        &mut self,
        now: Millis,
        requester: HostId,
        requester_seq: u64,
        target: HostId,
        revision: u64,
    ) -> PeerMsg {
        let msg = self.ping(target, revision);
        let seq = self.probing.seq;
        self.probing.indirect_probes.push(IndirectProbe {
            seq,
            requester,
            requester_seq,
            sent: now,
        });
        msg
    }

    fn request_indirect_probes(&self, probe: Probe, rng: &mut ChaCha8Rng, out: &mut Outbox) {
        let mut helpers: Vec<HostId> = Vec::with_capacity(INDIRECT_PROBES);
        for _ in 0..INDIRECT_PROBES {
            let other = |it: HostId| it != probe.target && !helpers.contains(&it);
            let Some(helper) = self.random_live_where(rng, other) else { continue };
            helpers.push(helper);
            out.push((helper, PeerMsg::PingReq { seq: probe.seq, target: probe.target }));
        }
    }

    fn next_target(&mut self, rng: &mut ChaCha8Rng) -> Option<HostId> {
        if rng.next_u64().is_multiple_of(PROBES_PER_DEAD_PROBE)
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

    /// Returns a random live host.
    pub(crate) fn random_live(&self, rng: &mut ChaCha8Rng) -> Option<HostId> {
        self.random_live_where(rng, |_| true)
    }

    /// Returns a random live host that `usable` accepts, if a few draws find one.
    pub(super) fn random_live_where(
        &self,
        rng: &mut ChaCha8Rng,
        usable: impl Fn(HostId) -> bool,
    ) -> Option<HostId> {
        if self.members.is_empty() {
            return None;
        }
        (0..MAX_RANDOM_DRAWS).find_map(|_| {
            let it = &self.members[rng.random_range(0..self.members.len())];
            (it.state == MemberState::Live && usable(it.host)).then_some(it.host)
        })
    }
}
