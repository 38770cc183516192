//! The upstreams that are or were announced, and what each start of one is called.
//!
//! A start is named by the upstream's identifier and the moment of its start, since an upstream may
//! come back under its identifier and then knows nothing of before. A start that is no longer
//! announced stays known for as long as flows may live there: their packets are still forwarded.

use std::net::SocketAddrV4;

use pomelorun_wire::ZoneId;
use serde::{Deserialize, Serialize};

use crate::{direct::token::Token, time::Millis};

/// Names one start of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey {
    /// Identifier, with which a datagram names the upstream that it is for.
    pub id: u64,
    /// When it started, milliseconds since the epoch by the upstream's clock.
    pub started_at: u64,
}

/// What an upstream says of itself; an array on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "AnnouncementRow", from = "AnnouncementRow")]
pub struct Announcement {
    /// Which start of which upstream.
    pub key: UpstreamKey,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Where it takes datagrams.
    pub addr: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// It leaves and is to get no new flow.
    pub draining: bool,
    /// How much longer it stays cold.
    pub cold_left: Millis,
}

/// Identifier, start, service, address, zone, slots, draining, cold for how long.
type AnnouncementRow = (u64, u64, String, u32, u16, ZoneId, u32, bool, u64);

impl From<Announcement> for AnnouncementRow {
    fn from(it: Announcement) -> AnnouncementRow {
        let ip = u32::from(*it.addr.ip());
        let (id, started_at) = (it.key.id, it.key.started_at);
        let cold_left = it.cold_left.0;
        (id, started_at, it.service, ip, it.addr.port(), it.zone, it.slots, it.draining, cold_left)
    }
}

impl From<AnnouncementRow> for Announcement {
    fn from(row: AnnouncementRow) -> Announcement {
        let (id, started_at, service, ip, port, zone, slots, draining, cold_left) = row;
        Announcement {
            key: UpstreamKey { id, started_at },
            service,
            addr: SocketAddrV4::new(ip.into(), port),
            zone,
            slots,
            draining,
            cold_left: Millis(cold_left),
        }
    }
}

/// Position of an upstream in the registry; stays the same while the upstream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamIx(pub u32);

/// One start of an upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// What it said last.
    pub announcement: Announcement,
    /// Its token.
    pub token: Token,
    /// Until when it is held to be cold.
    pub cold_until: Millis,
    /// Since when it is no longer announced.
    pub lapsed_at: Option<Millis>,
    /// It has ended: its identifier or its address belongs to a later start.
    pub ended: bool,
    /// When it was first announced here.
    pub first_announced: Millis,
}

impl Upstream {
    /// What it said, as it is to be said at `now`.
    pub(crate) fn announcement_at(&self, now: Millis) -> Announcement {
        Announcement { cold_left: self.cold_until.since(now), ..self.announcement.clone() }
    }

    /// Tells whether it is announced and stays.
    pub fn is_eligible(&self) -> bool {
        self.lapsed_at.is_none() && !self.announcement.draining && !self.ended
    }
}

/// What an announcement changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RegistryChange {
    /// Nothing that routing reads.
    Unchanged,
    /// A start that was not known.
    Added(UpstreamIx),
    /// A known start that says something else, or is announced again.
    Updated(UpstreamIx),
}

/// The upstreams by token, identifier and service.
#[derive(Debug, Default)]
pub struct Registry {
    /// Slots of forgotten upstreams are empty and used again.
    slots: Vec<Option<Upstream>>,
    /// Sorted by token, then position.
    tokens: Vec<(Token, UpstreamIx)>,
    /// The newest start of each identifier, sorted.
    ids: Vec<(u64, UpstreamIx)>,
    /// Upstreams by service, sorted by name; each list is sorted.
    services: Vec<(String, Vec<UpstreamIx>)>,
    /// Sorted by address, then position.
    addrs: Vec<(SocketAddrV4, UpstreamIx)>,
    /// Slots that are empty.
    free: Vec<UpstreamIx>,
    /// Upstreams that have ended since they were last taken.
    ended: Vec<UpstreamIx>,
}

impl Registry {
    /// The upstream at a position.
    pub fn get(&self, ix: UpstreamIx) -> Option<&Upstream> {
        self.slots.get(ix.0 as usize)?.as_ref()
    }

    /// Positions in use are below this.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// All known upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamIx, &Upstream)> {
        let numbered = self.slots.iter().enumerate();
        numbered.filter_map(|(at, it)| Some((UpstreamIx(at as u32), it.as_ref()?)))
    }

    /// Finds an upstream by the token that a packet carries.
    ///
    /// Of two with one token the one that started first is meant; the other gets no new flow while
    /// both are known (see [`Registry::owns_token`]).
    pub fn by_token(&self, token: Token) -> Option<UpstreamIx> {
        let at = self.tokens.partition_point(|it| it.0 < token);
        let same = self.tokens[at..].iter().take_while(|it| it.0 == token);
        same.min_by_key(|it| {
            self.get(it.1).map(|it| (it.announcement.key.started_at, it.announcement.key.id))
        })
        .map(|it| it.1)
    }

    /// Tells whether packets with the upstream's token are forwarded to it.
    pub fn owns_token(&self, ix: UpstreamIx) -> bool {
        self.get(ix).is_some_and(|it| self.by_token(it.token) == Some(ix))
    }

    /// Finds the newest start of an identifier.
    pub fn by_id(&self, id: u64) -> Option<UpstreamIx> {
        let at = self.ids.binary_search_by_key(&id, |it| it.0).ok()?;
        Some(self.ids[at].1)
    }

    /// Finds one start of an upstream.
    pub fn by_key(&self, key: UpstreamKey) -> Option<UpstreamIx> {
        self.by_token(Token::of(key))
            .filter(|&ix| self.get(ix).is_some_and(|it| it.announcement.key == key))
    }

    /// The upstreams of a service, those included that are no longer announced.
    pub fn by_service(&self, service: &str) -> &[UpstreamIx] {
        match self.services.binary_search_by(|it| it.0.as_str().cmp(service)) {
            Ok(at) => &self.services[at].1,
            Err(_) => &[],
        }
    }

    /// Takes in what an upstream says of itself.
    pub(crate) fn announce(&mut self, now: Millis, announcement: &Announcement) -> RegistryChange {
        match self.by_id(announcement.key.id) {
            Some(ix) if self.get(ix).is_some_and(|it| it.announcement.key == announcement.key) => {
                self.update(now, ix, announcement)
            }
            // A late word of an earlier start says nothing of the one that came after it.
            Some(ix)
                if self.get(ix).is_some_and(|it| {
                    it.announcement.key.started_at > announcement.key.started_at
                }) =>
            {
                RegistryChange::Unchanged
            }
            Some(ix) => {
                self.mark_lapsed(now, ix);
                self.mark_ended(ix);
                self.add(now, announcement)
            }
            None => self.add(now, announcement),
        }
    }

    /// Notes that an upstream is no longer announced; tells whether it was.
    pub(crate) fn mark_lapsed(&mut self, now: Millis, ix: UpstreamIx) -> bool {
        let Some(it) = self.get_mut(ix) else { return false };
        let was = it.lapsed_at.is_none();
        it.lapsed_at.get_or_insert(now);
        was
    }

    /// Forgets upstreams whose last announcement is `keep` old; returns where and who they were.
    pub(crate) fn remove_expired(
        &mut self,
        now: Millis,
        keep: Millis,
    ) -> Vec<(UpstreamIx, UpstreamKey)> {
        let old = |it: &Upstream| it.lapsed_at.is_some_and(|at| now.since(at) >= keep);
        let found: Vec<(UpstreamIx, UpstreamKey)> =
            self.iter().filter(|it| old(it.1)).map(|it| (it.0, it.1.announcement.key)).collect();
        for &(ix, _) in &found {
            self.remove(ix);
        }
        found
    }

    /// Notes that an upstream has ended.
    pub(crate) fn mark_ended(&mut self, ix: UpstreamIx) {
        if let Some(it) = self.get_mut(ix).filter(|it| !it.ended) {
            it.ended = true;
            self.ended.push(ix);
        }
    }

    /// Takes the upstreams that have ended since the last call.
    pub(crate) fn take_ended(&mut self) -> Vec<UpstreamIx> {
        std::mem::take(&mut self.ended)
    }

    /// Holds an upstream to be cold until `until` at least.
    pub(crate) fn extend_cold(&mut self, ix: UpstreamIx, until: Millis) {
        if let Some(it) = self.get_mut(ix) {
            it.cold_until = it.cold_until.max(until);
        }
    }

    fn get_mut(&mut self, ix: UpstreamIx) -> Option<&mut Upstream> {
        self.slots.get_mut(ix.0 as usize)?.as_mut()
    }

    fn update(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        announcement: &Announcement,
    ) -> RegistryChange {
        let Some(it) = self.get_mut(ix) else { return RegistryChange::Unchanged };
        let (before, addr) = (it.announcement.service.clone(), it.announcement.addr);
        let same = it.lapsed_at.is_none() && it.announcement == *announcement;
        it.announcement = announcement.clone();
        it.lapsed_at = None;
        if announcement.cold_left > Millis(0) {
            it.cold_until = now + announcement.cold_left;
        }
        if before != announcement.service {
            self.remove_from_service(&before, ix);
            self.add_to_service(&announcement.service, ix);
        }
        if addr != announcement.addr {
            self.addrs.retain(|entry| entry.1 != ix);
            self.index_addr(announcement.addr, ix);
        }
        if same { RegistryChange::Unchanged } else { RegistryChange::Updated(ix) }
    }

    fn add(&mut self, now: Millis, announcement: &Announcement) -> RegistryChange {
        self.end_older_at(announcement.addr, announcement.key);
        let token = Token::of(announcement.key);
        let cold_until = if announcement.cold_left > Millis(0) {
            now + announcement.cold_left
        } else {
            Millis(0)
        };
        let upstream = Upstream {
            announcement: announcement.clone(),
            token,
            cold_until,
            lapsed_at: None,
            ended: false,
            first_announced: now,
        };
        let ix = self.free.pop().unwrap_or(UpstreamIx(self.slots.len() as u32));
        if ix.0 as usize == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[ix.0 as usize] = Some(upstream);
        self.index_addr(announcement.addr, ix);
        let at = self.tokens.partition_point(|it| *it < (token, ix));
        self.tokens.insert(at, (token, ix));
        match self.ids.binary_search_by_key(&announcement.key.id, |it| it.0) {
            Ok(at) => self.ids[at].1 = ix,
            Err(at) => self.ids.insert(at, (announcement.key.id, ix)),
        }
        self.add_to_service(&announcement.service, ix);
        RegistryChange::Added(ix)
    }

    /// An address is given to one upstream at a time: whoever had it before has ended.
    fn end_older_at(&mut self, addr: SocketAddrV4, newer: UpstreamKey) {
        let at = self.addrs.partition_point(|it| it.0 < addr);
        let there: Vec<UpstreamIx> =
            self.addrs[at..].iter().take_while(|it| it.0 == addr).map(|it| it.1).collect();
        for ix in there {
            if self.get(ix).is_some_and(|it| it.announcement.key.started_at < newer.started_at) {
                self.mark_ended(ix);
            }
        }
    }

    fn index_addr(&mut self, addr: SocketAddrV4, ix: UpstreamIx) {
        let at = self.addrs.partition_point(|it| *it < (addr, ix));
        self.addrs.insert(at, (addr, ix));
    }

    fn remove(&mut self, ix: UpstreamIx) {
        let Some(it) = self.slots[ix.0 as usize].take() else { return };
        self.tokens.retain(|entry| entry.1 != ix);
        self.ids.retain(|entry| entry.1 != ix);
        self.addrs.retain(|entry| entry.1 != ix);
        self.ended.retain(|entry| *entry != ix);
        self.free.push(ix);
        self.remove_from_service(&it.announcement.service, ix);
    }

    fn add_to_service(&mut self, service: &str, ix: UpstreamIx) {
        match self.services.binary_search_by(|it| it.0.as_str().cmp(service)) {
            Ok(at) => {
                let list = &mut self.services[at].1;
                if let Err(place) = list.binary_search(&ix) {
                    list.insert(place, ix);
                }
            }
            Err(at) => self.services.insert(at, (service.to_owned(), vec![ix])),
        }
    }

    fn remove_from_service(&mut self, service: &str, ix: UpstreamIx) {
        let Ok(at) = self.services.binary_search_by(|it| it.0.as_str().cmp(service)) else {
            return;
        };
        let list = &mut self.services[at].1;
        if let Ok(place) = list.binary_search(&ix) {
            list.remove(place);
        }
        if list.is_empty() {
            self.services.remove(at);
        }
    }
}
