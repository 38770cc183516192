//! Which hosts are live.
//!
//! Each period one host is probed, directly and then through others; a host that does not answer
//! is suspected, and believed dead when it does not object in time. Changes travel on the probes.
//! The cost of a host does not depend on the number of hosts.

use pomelorun_wire::{HostId, MemberInfo, MemberState, PeerMsg, ZoneId};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use crate::{action::ListedHost, settings::CoreSettings, time::Millis};

/// Changes of membership on one probe.
const GOSSIP_PER_MESSAGE: usize = 6;
/// Hosts asked to probe on behalf of another.
const INDIRECT_PROBES: usize = 2;
/// One probe in this many goes to a host that is believed dead but still listed.
const DEAD_PROBE_EVERY: u64 = 4;

/// One host as seen from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Which host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Newest incarnation heard of, zero for none.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
    /// When the state last changed.
    pub since: Millis,
    /// Still in the platform's host list.
    pub listed: bool,
    /// Was in the platform's host list, so its address is known.
    pub reachable: bool,
}

impl Member {
    /// Tells whether the host may be given work.
    pub fn takes_work(&self) -> bool {
        self.reachable && matches!(self.state, MemberState::Live | MemberState::Suspect)
    }
}

impl Member {
    fn info(&self) -> MemberInfo {
        MemberInfo {
            host: self.host,
            zone: self.zone,
            incarnation: self.incarnation,
            state: self.state,
        }
    }
}

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

#[derive(Debug, Clone, Copy)]
struct Rumour {
    host: HostId,
    sends_left: u32,
}

/// The hosts known here, and the probing of them.
#[derive(Debug)]
pub struct Members {
    me: MemberInfo,
    members: Vec<Member>,
    rumours: Vec<Rumour>,
    ring: Vec<HostId>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    next_probe: Millis,
    seq: u64,
    list_read: bool,
    changed: bool,
}

/// Messages to send, with their receivers.
pub(crate) type Outbox = Vec<(HostId, PeerMsg)>;

impl Members {
    /// Starts with no other host known.
    pub fn new(host: HostId, zone: ZoneId, incarnation: u64) -> Members {
        Members {
            me: MemberInfo { host, zone, incarnation, state: MemberState::Live },
            members: Vec::new(),
            rumours: Vec::new(),
            ring: Vec::new(),
            probe: None,
            errands: Vec::new(),
            next_probe: Millis(0),
            seq: 0,
            list_read: false,
            changed: true,
        }
    }

    /// This host's own state.
    pub fn me(&self) -> MemberInfo {
        self.me
    }

    /// The other hosts, sorted by identifier.
    pub fn others(&self) -> &[Member] {
        &self.members
    }

    /// Tells whether the platform's host list was read; before that no other host is known.
    pub(crate) fn list_was_read(&self) -> bool {
        self.list_read
    }

    /// Finds another host.
    pub fn get(&self, host: HostId) -> Option<&Member> {
        let at = self.members.binary_search_by_key(&host, |it| it.host).ok()?;
        Some(&self.members[at])
    }

    /// Tells whether a state has changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Announces that this host is leaving.
    pub(crate) fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
        self.me.incarnation += 1;
        self.changed = true;
    }

    /// The announcement for all hosts that may give this one work.
    pub(crate) fn farewell(&mut self, revision: u64) -> Outbox {
        let live: Vec<HostId> = self
            .members
            .iter()
            .filter(|it| it.state != MemberState::Dead)
            .map(|it| it.host)
            .collect();
        live.into_iter().map(|it| (it, self.ping(it, revision))).collect()
    }

    /// Takes in the platform's host list, which may lag.
    ///
    /// The first list read is believed; a host that appears later counts as dead until heard.
    pub(crate) fn host_list(&mut self, now: Millis, hosts: &[ListedHost]) {
        let first = !std::mem::replace(&mut self.list_read, true);
        for member in &mut self.members {
            member.listed = hosts.iter().any(|it| it.host == member.host);
            self.changed |= member.listed && !member.reachable;
            member.reachable |= member.listed;
        }
        let me = self.me.host;
        for it in hosts.iter().filter(|it| it.host != me) {
            let state = match (it.leaving, first) {
                (true, _) => MemberState::Leaving,
                (false, true) => MemberState::Live,
                (false, false) => MemberState::Dead,
            };
            match self.members.binary_search_by_key(&it.host, |m| m.host) {
                Ok(at) if it.leaving && self.members[at].state < MemberState::Leaving => {
                    self.set_state(now, at, MemberState::Leaving);
                }
                Ok(_) => {}
                Err(at) => {
                    let member = Member {
                        host: it.host,
                        zone: it.zone,
                        incarnation: 0,
                        state,
                        since: now,
                        listed: true,
                        reachable: true,
                    };
                    self.members.insert(at, member);
                    self.changed = true;
                }
            }
        }
        self.members.retain(|it| it.listed || it.state != MemberState::Dead);
    }

    /// Probes the next host when its time has come.
    pub(crate) fn tick(
        &mut self,
        now: Millis,
        cfg: &CoreSettings,
        revision: u64,
        rng: &mut ChaCha8Rng,
    ) -> Outbox {
        let mut out = Outbox::new();
        self.bury(now, cfg);
        self.errands.retain(|it| now.since(it.sent) < cfg.probe_period_ms);
        if let Some(probe) = self.probe {
            let waited = now.since(probe.sent);
            if !probe.indirect && waited.0 * 2 >= cfg.probe_period_ms.0 {
                self.probe = Some(Probe { indirect: true, ..probe });
                self.ask_others(probe, rng, &mut out);
            }
        }
        if now < self.next_probe {
            return out;
        }
        self.next_probe = now + cfg.probe_period_ms;
        if let Some(probe) = self.probe.take() {
            self.suspect(now, probe.target);
        }
        if let Some(target) = self.next_target(rng) {
            let msg = self.ping(target, revision);
            self.probe = Some(Probe { seq: self.seq, target, sent: now, indirect: false });
            out.push((target, msg));
        }
        out
    }

    /// Handles a membership message; returns the answers.
    pub(crate) fn message(
        &mut self,
        now: Millis,
        from: HostId,
        msg: &PeerMsg,
        revision: u64,
    ) -> Outbox {
        match msg {
            PeerMsg::Ping { seq, members, .. } => {
                self.merge_all(now, members);
                let members = self.gossip(from);
                vec![(from, PeerMsg::Pong { seq: *seq, revision, members })]
            }
            PeerMsg::Pong { seq, members, .. } => {
                self.merge_all(now, members);
                if self.probe.is_some_and(|it| it.seq == *seq) {
                    self.probe = None;
                }
                let Some(at) = self.errands.iter().position(|it| it.seq == *seq) else {
                    return Outbox::new();
                };
                let errand = self.errands.swap_remove(at);
                let members = members.clone();
                vec![(errand.requester, PeerMsg::Pong { seq: errand.their_seq, revision, members })]
            }
            PeerMsg::PingReq { seq, target } => {
                let msg = self.ping(*target, revision);
                self.errands.push(Errand {
                    seq: self.seq,
                    requester: from,
                    their_seq: *seq,
                    sent: now,
                });
                vec![(*target, msg)]
            }
            _ => Outbox::new(),
        }
    }

    fn ping(&mut self, to: HostId, revision: u64) -> PeerMsg {
        self.seq += 1;
        PeerMsg::Ping { seq: self.seq, revision, members: self.gossip(to) }
    }

    /// The sender first, then the receiver where it has cause to object, then rumours.
    fn gossip(&mut self, to: HostId) -> Vec<MemberInfo> {
        let mut infos = vec![self.me];
        if let Some(it) = self.get(to).filter(|it| it.state != MemberState::Live) {
            infos.push(it.info());
        }
        self.rumours.sort_by_key(|it| std::cmp::Reverse(it.sends_left));
        for at in 0..self.rumours.len().min(GOSSIP_PER_MESSAGE) {
            let rumour = &mut self.rumours[at];
            rumour.sends_left -= 1;
            let host = rumour.host;
            if let Some(it) = self.get(host) {
                infos.push(it.info());
            }
        }
        self.rumours.retain(|it| it.sends_left > 0);
        infos
    }

    fn merge_all(&mut self, now: Millis, infos: &[MemberInfo]) {
        for it in infos {
            if it.host == self.me.host {
                self.refute(it);
            } else {
                self.merge(now, it);
            }
        }
    }

    /// Objects to being called suspect or dead.
    fn refute(&mut self, it: &MemberInfo) {
        if it.state != self.me.state && it.incarnation >= self.me.incarnation {
            self.me.incarnation = it.incarnation + 1;
        }
    }

    fn merge(&mut self, now: Millis, it: &MemberInfo) {
        let at = match self.members.binary_search_by_key(&it.host, |m| m.host) {
            Ok(at) => at,
            Err(_) if it.state == MemberState::Dead => return,
            Err(at) => {
                let member = Member {
                    host: it.host,
                    zone: it.zone,
                    incarnation: 0,
                    state: MemberState::Dead,
                    since: now,
                    listed: false,
                    reachable: false,
                };
                self.members.insert(at, member);
                at
            }
        };
        let old = self.members[at];
        let newer = it.incarnation > old.incarnation
            || (it.incarnation == old.incarnation && it.state > old.state);
        if !newer {
            return;
        }
        self.members[at].incarnation = it.incarnation;
        self.members[at].zone = it.zone;
        self.set_state(now, at, it.state);
    }

    fn suspect(&mut self, now: Millis, host: HostId) {
        let Ok(at) = self.members.binary_search_by_key(&host, |it| it.host) else { return };
        match self.members[at].state {
            MemberState::Live => self.set_state(now, at, MemberState::Suspect),
            MemberState::Leaving => self.set_state(now, at, MemberState::Dead),
            MemberState::Suspect | MemberState::Dead => {}
        }
    }

    fn bury(&mut self, now: Millis, cfg: &CoreSettings) {
        for at in 0..self.members.len() {
            let it = self.members[at];
            if it.state == MemberState::Suspect && now.since(it.since) >= cfg.suspect_ms {
                self.set_state(now, at, MemberState::Dead);
            }
        }
    }

    fn set_state(&mut self, now: Millis, at: usize, state: MemberState) {
        let sends_left = 3 * (self.members.len() as u32 + 2).ilog2();
        let member = &mut self.members[at];
        self.changed |= member.state != state;
        member.state = state;
        member.since = now;
        let host = member.host;
        self.rumours.retain(|it| it.host != host);
        self.rumours.push(Rumour { host, sends_left });
    }

    fn ask_others(&self, probe: Probe, rng: &mut ChaCha8Rng, out: &mut Outbox) {
        let mut helpers: Vec<HostId> = self
            .members
            .iter()
            .filter(|it| it.state == MemberState::Live && it.host != probe.target)
            .map(|it| it.host)
            .collect();
        for _ in 0..INDIRECT_PROBES.min(helpers.len()) {
            let helper = helpers.swap_remove(rng.random_range(0..helpers.len()));
            out.push((helper, PeerMsg::PingReq { seq: probe.seq, target: probe.target }));
        }
    }

    fn next_target(&mut self, rng: &mut ChaCha8Rng) -> Option<HostId> {
        if rng.next_u64().is_multiple_of(DEAD_PROBE_EVERY)
            && let Some(it) = self.random_dead(rng)
        {
            return Some(it);
        }
        while let Some(host) = self.ring.pop() {
            if self.get(host).is_some_and(|it| it.state != MemberState::Dead) {
                return Some(host);
            }
        }
        self.ring.extend(
            self.members.iter().filter(|it| it.state != MemberState::Dead).map(|it| it.host),
        );
        for at in (1..self.ring.len()).rev() {
            self.ring.swap(at, rng.random_range(0..=at));
        }
        self.ring.pop().or_else(|| self.random_dead(rng))
    }

    fn random_dead(&self, rng: &mut ChaCha8Rng) -> Option<HostId> {
        let dead: Vec<HostId> = self
            .members
            .iter()
            .filter(|it| it.state == MemberState::Dead && it.listed)
            .map(|it| it.host)
            .collect();
        if dead.is_empty() { None } else { Some(dead[rng.random_range(0..dead.len())]) }
    }
}
