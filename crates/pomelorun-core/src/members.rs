//! Cluster membership: which hosts are live.
//!
//! A SWIM-style protocol. Each probe period, a host probes one other host, first directly and then
//! through others. A host that does not respond becomes suspect, and dead unless it refutes the
//! suspicion in time. Membership updates are piggybacked on the probes. The cost per host does not
//! depend on the number of hosts.

mod gossip;
mod probing;
mod view_sync;

use std::collections::VecDeque;

use pomelorun_wire::{HostId, MemberInfo, MemberState, PeerMsg, ZoneId};
use rand_chacha::ChaCha8Rng;

use crate::{
    action::ListedHost,
    members::{gossip::GossipQueue, probing::Probing, view_sync::ViewSync},
    settings::CoreSettings,
    time::Millis,
};

/// Another host, as this host sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Identifier of the host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Newest known incarnation; zero if the host has not been heard from.
    pub incarnation: u64,
    /// Membership state.
    pub state: MemberState,
    /// Time of the last state change.
    pub since: Millis,
    /// `true` if the host is in the platform's current host list.
    pub listed: bool,
    /// `true` if the host was ever in the platform's host list, so that its address is known.
    pub address_known: bool,
}

impl Member {
    /// Returns `true` if the host may be given work.
    pub fn accepts_work(&self) -> bool {
        self.address_known && matches!(self.state, MemberState::Live | MemberState::Suspect)
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

/// Source from which a host learns of other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Discovery {
    /// The platform's host list, complemented by gossip.
    HostList,
    /// Gossip alone, starting from a few seed hosts.
    Seeds,
}

/// Time after which a dead host that is known from gossip alone is removed.
///
/// Regions occasionally lose contact for an hour and must still know each other's hosts afterwards.
const DEAD_MEMBER_TTL: Millis = Millis(2 * 3_600_000);

/// Time after the first host list during which hosts not heard from yet are not suspected.
///
/// They may not have read this host's address yet, so they cannot respond.
const FIRST_CONTACT_GRACE: Millis = Millis(3_000);

/// Membership table of a host, with its failure detector.
#[derive(Debug)]
pub struct Members {
    me: MemberInfo,
    discovery: Discovery,
    /// Sorted by host identifier.
    members: Vec<Member>,
    gossip_queue: GossipQueue,
    probing: Probing,
    view_sync: ViewSync,
    /// Suspected hosts with the time of the suspicion, oldest first.
    suspects: VecDeque<(Millis, HostId)>,
    /// Dead hosts that are still listed, sorted.
    dead: Vec<HostId>,
    /// Index of the member whose state is repeated next, even though it has not changed.
    repeat_index: usize,
    host_list_read: bool,
    /// Time at which the host list was first read.
    host_list_read_at: Millis,
    /// The view was synchronized at least once, so this host takes part in the protocol.
    joined: bool,
    /// The host list lacks a live host and should be read again.
    host_list_stale: bool,
    changed: bool,
}

/// Messages to send, each with its recipient.
pub(crate) type Outbox = Vec<(HostId, PeerMsg)>;

impl Members {
    /// Creates a table without any other host.
    pub fn new(host: HostId, zone: ZoneId, incarnation: u64) -> Members {
        Members {
            me: MemberInfo { host, zone, incarnation, state: MemberState::Live },
            discovery: Discovery::HostList,
            members: Vec::new(),
            gossip_queue: GossipQueue::default(),
            probing: Probing::default(),
            view_sync: ViewSync::default(),
            suspects: VecDeque::new(),
            dead: Vec::new(),
            repeat_index: 0,
            host_list_read: false,
            host_list_read_at: Millis(0),
            joined: false,
            host_list_stale: false,
            changed: true,
        }
    }

    /// Adds seed hosts, from which this host learns of the others; their zones are learned as well.
    pub(crate) fn with_seeds(mut self, now: Millis, seeds: &[HostId]) -> Members {
        self.discovery = Discovery::Seeds;
        let rows: Vec<ListedHost> = seeds.iter().map(|it| self.seed_row(*it)).collect();
        self.apply_host_list(now, &rows);
        self
    }

    /// Adds more seed hosts.
    pub(crate) fn add_seeds(&mut self, now: Millis, seeds: &[HostId]) {
        let me = self.me.host;
        for &host in seeds.iter().filter(|it| **it != me) {
            let row = self.seed_row(host);
            // Assumed live until a probe fails, like the initial seeds.
            self.apply_host_row(now, &row, true);
        }
    }

    fn seed_row(&self, host: HostId) -> ListedHost {
        ListedHost { host, zone: self.me.zone, leaving: false }
    }

    /// Returns this host's own membership state.
    pub fn me(&self) -> MemberInfo {
        self.me
    }

    /// Returns the other hosts, sorted by identifier.
    pub fn others(&self) -> &[Member] {
        &self.members
    }

    /// Returns another host, if it is known.
    pub fn get(&self, host: HostId) -> Option<&Member> {
        let at = self.members.binary_search_by_key(&host, |it| it.host).ok()?;
        Some(&self.members[at])
    }

    /// Returns `true` once if the host list lacks a live host and should be read early.
    pub(crate) fn take_host_list_refresh(&mut self) -> bool {
        std::mem::take(&mut self.host_list_stale)
    }

    /// Returns `true` if any member's state has changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Marks this host as leaving.
    pub(crate) fn set_leaving(&mut self) {
        self.me.state = MemberState::Leaving;
        self.me.incarnation += 1;
        self.changed = true;
    }

    /// Returns pings that announce this host's departure to every host that may give it work.
    pub(crate) fn leave_announcements(&mut self, revision: u64) -> Outbox {
        let live: Vec<HostId> = self
            .members
            .iter()
            .filter(|it| it.state != MemberState::Dead)
            .map(|it| it.host)
            .collect();
        live.into_iter().map(|it| (it, self.ping(it, revision))).collect()
    }

    /// Applies the platform's host list, which may lag behind.
    ///
    /// Hosts on the first list are assumed live. A host that appears on a later list counts as dead
    /// until it is heard from.
    pub(crate) fn apply_host_list(&mut self, now: Millis, hosts: &[ListedHost]) {
        let first = !std::mem::replace(&mut self.host_list_read, true);
        let me = self.me.host;
        let mut rows: Vec<&ListedHost> = hosts.iter().filter(|it| it.host != me).collect();
        rows.sort_by_key(|it| it.host);
        rows.dedup_by_key(|it| it.host);
        for member in &mut self.members {
            member.listed = rows.binary_search_by_key(&member.host, |it| it.host).is_ok();
            self.changed |= member.listed && !member.address_known;
            member.address_known |= member.listed;
        }
        for it in rows {
            self.apply_host_row(now, it, first);
        }
        self.members.retain(|it| it.listed || it.state != MemberState::Dead);
        let dead = self.members.iter().filter(|it| it.listed && it.state == MemberState::Dead);
        self.dead = dead.map(|it| it.host).collect();
        if first {
            self.host_list_read_at = now;
            self.joined = self.members.is_empty();
            self.view_sync.begin(now, self.members.is_empty());
        }
    }

    fn apply_host_row(&mut self, now: Millis, row: &ListedHost, first: bool) {
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
                    address_known: true,
                };
                self.members.insert(at, member);
                self.changed = true;
            }
        }
    }

    /// Runs the time-driven parts of the protocol: suspicions, view queries, probes and gossip.
    pub(crate) fn tick(
        &mut self,
        now: Millis,
        cfg: &CoreSettings,
        revision: u64,
        rng: &mut ChaCha8Rng,
    ) -> Outbox {
        let mut out = Outbox::new();
        self.expire_suspects(now, cfg);
        self.query_views(now, cfg, rng, &mut out);
        if !self.joined {
            return out;
        }
        self.probe(now, cfg, revision, rng, &mut out);
        self.push_updates(now, rng, &mut out);
        out
    }

    /// Handles a membership message and returns the replies.
    pub(crate) fn handle_message(
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
                let members = self.updates_for(from);
                vec![(from, PeerMsg::Pong { seq: *seq, revision, members })]
            }
            PeerMsg::Pong { seq, members, .. } => {
                self.merge_all(now, members);
                self.handle_pong(*seq, revision, members)
            }
            PeerMsg::PingReq { seq, target } => {
                vec![(*target, self.start_indirect_probe(now, from, *seq, *target, revision))]
            }
            PeerMsg::Gossip { members } => {
                self.merge_all(now, members);
                Outbox::new()
            }
            PeerMsg::ViewRequest => self.view_reply(from, revision),
            PeerMsg::View { synced, members, .. } => {
                self.merge_all(now, members);
                self.handle_view(now, *synced);
                Outbox::new()
            }
            _ => Outbox::new(),
        }
    }

    fn ping(&mut self, to: HostId, revision: u64) -> PeerMsg {
        let seq = self.probing.next_seq();
        PeerMsg::Ping { seq, revision, members: self.updates_for(to) }
    }

    /// Returns the membership updates to piggyback on a message to `to`.
    ///
    /// This host comes first, then the recipient if it is believed not to be live, so that it can
    /// refute that, then queued updates. The last entry is one member in round-robin order, which
    /// repairs entries whose updates were lost.
    fn updates_for(&mut self, to: HostId) -> Vec<MemberInfo> {
        let mut infos = vec![self.me];
        if let Some(it) = self.get(to).filter(|it| it.state != MemberState::Live) {
            infos.push(it.info());
        }
        for host in self.gossip_queue.take_batch() {
            if let Some(it) = self.get(host) {
                infos.push(it.info());
            }
        }
        self.repeat_index =
            if self.repeat_index + 1 < self.members.len() { self.repeat_index + 1 } else { 0 };
        if let Some(it) = self.members.get(self.repeat_index).filter(|it| it.incarnation > 0) {
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

    /// Raises this host's incarnation if another host believes this one to be suspect or dead.
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
                    listed: self.discovery == Discovery::Seeds,
                    address_known: self.discovery == Discovery::Seeds,
                };
                self.members.insert(at, member);
                at
            }
        };
        let old = self.members[at];
        let it = &effective_claim(it, old.incarnation);
        let newer = it.incarnation > old.incarnation
            || (it.incarnation == old.incarnation && it.state > old.state);
        if !newer {
            return;
        }
        self.host_list_stale |= it.state == MemberState::Live && !old.address_known;
        self.members[at].incarnation = it.incarnation;
        self.members[at].zone = it.zone;
        // The first known incarnation of a host that is listed as live need not be gossiped, unless
        // there is no host list.
        let has_host_list = self.discovery == Discovery::HostList;
        if !has_host_list || old.incarnation > 0 || old.state != it.state {
            self.set_state(now, at, it.state);
        }
    }

    /// Marks a host that did not respond to a probe as suspect, or as dead if it was leaving.
    fn handle_probe_timeout(&mut self, now: Millis, host: HostId) {
        let Ok(at) = self.members.binary_search_by_key(&host, |it| it.host) else { return };
        let never_heard = self.members[at].incarnation == 0;
        if never_heard && now.since(self.host_list_read_at) < FIRST_CONTACT_GRACE {
            return;
        }
        match self.members[at].state {
            MemberState::Live => self.set_state(now, at, MemberState::Suspect),
            MemberState::Leaving => self.set_state(now, at, MemberState::Dead),
            MemberState::Suspect | MemberState::Dead => {}
        }
    }

    /// Removes hosts known from gossip alone that have been dead for [`DEAD_MEMBER_TTL`].
    pub(crate) fn remove_expired_dead(&mut self, now: Millis) {
        if self.discovery == Discovery::HostList {
            return;
        }
        let old =
            |it: &Member| it.state == MemberState::Dead && now.since(it.since) >= DEAD_MEMBER_TTL;
        if self.members.iter().any(old) {
            self.members.retain(|it| !old(it));
            let members = &self.members;
            self.dead.retain(|host| members.binary_search_by_key(host, |it| it.host).is_ok());
        }
    }

    /// Marks suspects dead that have not refuted the suspicion in time.
    fn expire_suspects(&mut self, now: Millis, cfg: &CoreSettings) {
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
        self.gossip_queue.add(host, known);
    }
}

/// Returns the claim to merge for a host whose incarnation `known` is known here.
///
/// A sender that never heard from the host does not know its incarnation. Its claim counts as a
/// suspicion of the known incarnation at most, so that the host can refute it.
fn effective_claim(it: &MemberInfo, known: u64) -> MemberInfo {
    if it.incarnation > 0 || known == 0 {
        return *it;
    }
    MemberInfo { incarnation: known, state: it.state.min(MemberState::Suspect), ..*it }
}
