//! Which hosts are live.
//!
//! Each period one host is probed, directly and then through others; a host that does not answer
//! is suspected, and believed dead when it does not object in time. Changes travel on the probes.
//! The cost of a host does not depend on the number of hosts.

mod probing;
mod rumours;
mod settling;

use std::collections::VecDeque;

use pomelorun_wire::{HostId, MemberInfo, MemberState, PeerMsg, ZoneId};
use rand_chacha::ChaCha8Rng;

use crate::{
    action::ListedHost,
    members::{probing::Probing, rumours::Rumours, settling::Settling},
    settings::CoreSettings,
    time::Millis,
};

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

/// How hosts learn of each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Discovery {
    /// From the platform's host list; what hosts say adds to it.
    Listed,
    /// From what hosts say, beginning with a few seeds.
    Seeded,
}

/// Time after which a dead host that was only heard of is forgotten. Regions lose each other for an
/// hour now and then.
const FORGET_DEAD: Millis = Millis(2 * 3_600_000);

/// Time after a host's start during which it suspects none that it has not heard yet: they may not
/// have read its address and so cannot answer.
const HEARD_WITHIN: Millis = Millis(3_000);

/// The hosts known here, and the probing of them.
#[derive(Debug)]
pub struct Members {
    me: MemberInfo,
    discovery: Discovery,
    /// Sorted by host.
    members: Vec<Member>,
    rumours: Rumours,
    probing: Probing,
    settling: Settling,
    /// Suspected hosts with the time since when, the oldest first.
    suspects: VecDeque<(Millis, HostId)>,
    /// Listed hosts that are believed dead, sorted.
    dead: Vec<HostId>,
    /// Next member to repeat to others.
    repeat: usize,
    list_read: bool,
    /// When the host list was first read.
    listed_at: Millis,
    /// The view was checked at least once, so this host takes part.
    joined: bool,
    list_wanted: bool,
    changed: bool,
}

/// Messages to send, with their receivers.
pub(crate) type Outbox = Vec<(HostId, PeerMsg)>;

impl Members {
    /// Starts with no other host known.
    pub fn new(host: HostId, zone: ZoneId, incarnation: u64) -> Members {
        Members {
            me: MemberInfo { host, zone, incarnation, state: MemberState::Live },
            discovery: Discovery::Listed,
            members: Vec::new(),
            rumours: Rumours::default(),
            probing: Probing::default(),
            settling: Settling::default(),
            suspects: VecDeque::new(),
            dead: Vec::new(),
            repeat: 0,
            list_read: false,
            listed_at: Millis(0),
            joined: false,
            list_wanted: false,
            changed: true,
        }
    }

    /// Starts with a few hosts of which one may know the others; their zones are learned.
    pub(crate) fn seeded(mut self, now: Millis, seeds: &[HostId]) -> Members {
        self.discovery = Discovery::Seeded;
        let rows: Vec<ListedHost> = seeds.iter().map(|it| self.seed(*it)).collect();
        self.host_list(now, &rows);
        self
    }

    /// Names more seeds.
    pub(crate) fn add_seeds(&mut self, now: Millis, seeds: &[HostId]) {
        let me = self.me.host;
        for &host in seeds.iter().filter(|it| **it != me) {
            let row = self.seed(host);
            // Taken as live until a probe says otherwise, like a seed at the start.
            self.list_row(now, &row, true);
        }
    }

    fn seed(&self, host: HostId) -> ListedHost {
        ListedHost { host, zone: self.me.zone, leaving: false }
    }

    /// This host's own state.
    pub fn me(&self) -> MemberInfo {
        self.me
    }

    /// The other hosts, sorted by identifier.
    pub fn others(&self) -> &[Member] {
        &self.members
    }

    /// Finds another host.
    pub fn get(&self, host: HostId) -> Option<&Member> {
        let at = self.members.binary_search_by_key(&host, |it| it.host).ok()?;
        Some(&self.members[at])
    }

    /// Tells whether the host list should be read early, since it lacks a live host.
    pub(crate) fn take_list_wanted(&mut self) -> bool {
        std::mem::take(&mut self.list_wanted)
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
        let me = self.me.host;
        let mut rows: Vec<&ListedHost> = hosts.iter().filter(|it| it.host != me).collect();
        rows.sort_by_key(|it| it.host);
        rows.dedup_by_key(|it| it.host);
        for member in &mut self.members {
            member.listed = rows.binary_search_by_key(&member.host, |it| it.host).is_ok();
            self.changed |= member.listed && !member.reachable;
            member.reachable |= member.listed;
        }
        for it in rows {
            self.list_row(now, it, first);
        }
        self.members.retain(|it| it.listed || it.state != MemberState::Dead);
        let dead = self.members.iter().filter(|it| it.listed && it.state == MemberState::Dead);
        self.dead = dead.map(|it| it.host).collect();
        if first {
            self.listed_at = now;
            self.joined = self.members.is_empty();
            self.settling.begin(now, self.members.is_empty());
        }
    }

    fn list_row(&mut self, now: Millis, row: &ListedHost, first: bool) {
        let state = match (row.leaving, first) {
            (true, _) => MemberState::Leaving,
            (false, true) => MemberState::Live,
            (false, false) => MemberState::Dead,
        };
        match self.members.binary_search_by_key(&row.host, |it| it.host) {
            Ok(at) if row.leaving && self.members[at].state < MemberState::Leaving => {
                self.set_state(now, at, MemberState::Leaving);
            }
            Ok(_) => {}
            Err(at) => {
                let member = Member {
                    host: row.host,
                    zone: row.zone,
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
        self.ask_for_views(now, cfg, rng, &mut out);
        if !self.joined {
            return out;
        }
        self.probe(now, cfg, revision, rng, &mut out);
        self.push_rumours(now, rng, &mut out);
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
                if !self.joined {
                    return Outbox::new();
                }
                let members = self.gossip(from);
                vec![(from, PeerMsg::Pong { seq: *seq, revision, members })]
            }
            PeerMsg::Pong { seq, members, .. } => {
                self.merge_all(now, members);
                self.answered(*seq, revision, members)
            }
            PeerMsg::PingReq { seq, target } => {
                vec![(*target, self.errand(now, from, *seq, *target, revision))]
            }
            PeerMsg::Gossip { members } => {
                self.merge_all(now, members);
                Outbox::new()
            }
            PeerMsg::ViewRequest => self.views(from, revision),
            PeerMsg::View { synced, members, .. } => {
                self.merge_all(now, members);
                self.view_came(now, *synced);
                Outbox::new()
            }
            _ => Outbox::new(),
        }
    }

    fn ping(&mut self, to: HostId, revision: u64) -> PeerMsg {
        let seq = self.probing.next_seq();
        PeerMsg::Ping { seq, revision, members: self.gossip(to) }
    }

    /// The sender first, then the receiver where it has cause to object, then rumours, then one
    /// member in turn, which mends what lost rumours left wrong.
    fn gossip(&mut self, to: HostId) -> Vec<MemberInfo> {
        let mut infos = vec![self.me];
        if let Some(it) = self.get(to).filter(|it| it.state != MemberState::Live) {
            infos.push(it.info());
        }
        for host in self.rumours.take_batch() {
            if let Some(it) = self.get(host) {
                infos.push(it.info());
            }
        }
        self.repeat = if self.repeat + 1 < self.members.len() { self.repeat + 1 } else { 0 };
        if let Some(it) = self.members.get(self.repeat).filter(|it| it.incarnation > 0) {
            infos.push(it.info());
        }
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
            Err(_) if it.state >= MemberState::Leaving => return,
            Err(at) => {
                let member = Member {
                    host: it.host,
                    zone: it.zone,
                    incarnation: 0,
                    state: MemberState::Dead,
                    since: now,
                    listed: self.discovery == Discovery::Seeded,
                    reachable: self.discovery == Discovery::Seeded,
                };
                self.members.insert(at, member);
                at
            }
        };
        let old = self.members[at];
        let it = &believed(it, old.incarnation);
        let newer = it.incarnation > old.incarnation
            || (it.incarnation == old.incarnation && it.state > old.state);
        if !newer {
            return;
        }
        self.list_wanted |= it.state == MemberState::Live && !old.reachable;
        self.members[at].incarnation = it.incarnation;
        self.members[at].zone = it.zone;
        // The first incarnation heard of a host that was listed as live is no news to others, unless
        // they have no list.
        let listed = self.discovery == Discovery::Listed;
        if !listed || old.incarnation > 0 || old.state != it.state {
            self.set_state(now, at, it.state);
        }
    }

    fn suspect(&mut self, now: Millis, host: HostId) {
        let Ok(at) = self.members.binary_search_by_key(&host, |it| it.host) else { return };
        let unheard = self.members[at].incarnation == 0;
        if unheard && now.since(self.listed_at) < HEARD_WITHIN {
            return;
        }
        match self.members[at].state {
            MemberState::Live => self.set_state(now, at, MemberState::Suspect),
            MemberState::Leaving => self.set_state(now, at, MemberState::Dead),
            MemberState::Suspect | MemberState::Dead => {}
        }
    }

    /// Forgets hosts that were only heard of and have been dead for long.
    pub(crate) fn forget_dead(&mut self, now: Millis) {
        if self.discovery == Discovery::Listed {
            return;
        }
        let old = |it: &Member| it.state == MemberState::Dead && now.since(it.since) >= FORGET_DEAD;
        if self.members.iter().any(old) {
            self.members.retain(|it| !old(it));
            let members = &self.members;
            self.dead.retain(|host| members.binary_search_by_key(host, |it| it.host).is_ok());
        }
    }

    fn bury(&mut self, now: Millis, cfg: &CoreSettings) {
        while let Some(&(since, host)) = self.suspects.front() {
            if now.since(since) < cfg.suspect_timeout_ms {
                return;
            }
            self.suspects.pop_front();
            let Ok(at) = self.members.binary_search_by_key(&host, |it| it.host) else { continue };
            let it = self.members[at];
            if it.state == MemberState::Suspect && it.since == since {
                self.set_state(now, at, MemberState::Dead);
            }
        }
    }

    fn set_state(&mut self, now: Millis, at: usize, state: MemberState) {
        let known = self.members.len();
        let member = &mut self.members[at];
        self.changed |= member.state != state;
        member.state = state;
        member.since = now;
        let (host, listed) = (member.host, member.listed);
        if state == MemberState::Suspect {
            self.suspects.push_back((now, host));
        }
        match self.dead.binary_search(&host) {
            Ok(at) if state != MemberState::Dead => {
                self.dead.remove(at);
            }
            Err(at) if state == MemberState::Dead && listed => self.dead.insert(at, host),
            _ => {}
        }
        self.rumours.add(host, known);
    }
}

/// An accuser that never heard from a host does not know its incarnation: its word is taken as a
/// suspicion of the one known here, which the host may refute.
fn believed(it: &MemberInfo, known: u64) -> MemberInfo {
    if it.incarnation > 0 || known == 0 {
        return *it;
    }
    MemberInfo { incarnation: known, state: it.state.min(MemberState::Suspect), ..*it }
}
