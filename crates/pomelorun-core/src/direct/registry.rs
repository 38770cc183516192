//! Registry of upstream instances whose announcement is valid or has expired.
//!
//! An instance is identified by the upstream's identifier and its start time, because an upstream
//! may restart under the same identifier and then has no state of its earlier flows. An instance
//! whose announcement has expired stays in the registry for the maximum lifetime of a flow, so that
//! packets of its flows are still forwarded.

use std::{cmp::Ordering, net::SocketAddrV4};

use pomelorun_wire::ZoneId;
use serde::{Deserialize, Serialize};

use crate::{
    direct::{routing::Routing, token::Token},
    time::Millis,
};

/// Identifies one instance of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey {
    /// Identifier of the upstream, which datagrams carry to name their destination.
    pub id: u64,
    /// Start time of the instance by the upstream's clock, in milliseconds since the Unix epoch.
    pub started_at: u64,
}

/// What an upstream announces about itself; encoded as an array on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "AnnouncementRow", from = "AnnouncementRow")]
pub struct Announcement {
    /// Identity of the upstream instance.
    pub key: UpstreamKey,
    /// Name of the service that the upstream belongs to.
    pub service: String,
    /// Address at which the upstream receives datagrams.
    pub addr: SocketAddrV4,
    /// Availability zone of the upstream.
    pub zone: ZoneId,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// `true` if the upstream is draining and must not get new flows.
    pub draining: bool,
    /// Remaining time for which the upstream is cold.
    pub cold_left: Millis,
}

/// Identifier, start time, service, IP address, port, zone, slots, draining, remaining cold time in
/// milliseconds.
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

/// Position of an upstream instance in the registry, stable while the instance is registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamIx(pub u32);

/// One instance of an upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Last announcement of the instance.
    pub announcement: Announcement,
    /// Affinity token of the instance.
    pub token: Token,
    /// Time until which the instance is treated as cold.
    pub cold_until: Millis,
    /// When the announcement expired; `None` while it is valid.
    pub lapsed_at: Option<Millis>,
    /// `true` if the instance has ended, because a newer one has its identifier or its address.
    pub ended: bool,
    /// When the instance was first announced to this host.
    pub first_announced: Millis,
    /// `true` if a later process has taken the place of the instance before the directory has told of it, so
    /// that the open flows are of the later one.
    pub(crate) is_restarted: bool,
}

impl Upstream {
    /// Returns the announcement with the remaining cold time as of `now`.
    pub(crate) fn announcement_at(&self, now: Millis) -> Announcement {
        Announcement { cold_left: self.cold_until.since(now), ..self.announcement.clone() }
    }

    /// Returns `true` if the instance is announced, not draining and not ended.
    pub fn is_eligible(&self) -> bool {
        self.lapsed_at.is_none() && !self.announcement.draining && !self.ended
    }
}

/// Whether an announcement is known to be the newest one under its identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Recency {
    /// An event, which may be older than what is known. The start times decide.
    Unknown,
    /// Part of a listing that was read after all that is known. The directory's order decides, because an
    /// upstream's clock may have been ahead at an earlier start.
    Latest,
}

/// Effect of an announcement on the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RegistryChange {
    /// Nothing changed, or the announcement is of an older instance.
    Unchanged,
    /// The announcement is of an instance that was not known and started before the registered one. Only
    /// a listing tells which of them is the current one.
    Contradictory,
    /// An instance was added.
    Added(UpstreamIx),
    /// The announcement of a registered instance changed, or became valid again.
    Updated(UpstreamIx),
}

/// Whether the active revision names the service of an announcement.
///
/// The directory may hold entries of others, such as an agent on an upstream's machine. An instance of a
/// service that is not named gets no flows, and its announcement ends no instance of one that is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ServiceStatus {
    /// It does not, or there is no revision yet.
    Unknown,
    /// The revision names the service.
    Configured,
}

impl ServiceStatus {
    pub(crate) fn of(service: &str, routing: &Routing) -> ServiceStatus {
        if routing.names_service(service) {
            ServiceStatus::Configured
        } else {
            ServiceStatus::Unknown
        }
    }
}

/// What the registered instance of an identifier is to one that is announced under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registered {
    /// The same instance.
    Same,
    /// An earlier start of the same upstream, or by the directory's order the one before.
    Earlier,
    /// A later start of the same upstream, if its clock is right.
    Later,
    /// An entry of another writer, which yields the identifier.
    Foreign,
    /// An upstream, while the announced instance is the entry of another writer.
    Owner,
}

/// Effect of an instance that was learned from another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Learned {
    /// None: its token identifies a registered instance.
    Nothing,
    /// It was added.
    Added(UpstreamIx),
    /// It was added and has started later than the current one of its identifier, which may have ended.
    Later { ix: UpstreamIx, current: UpstreamIx },
}

/// Upstream instances, indexed by token, identifier, service and address.
#[derive(Debug, Default)]
pub struct Registry {
    /// Instances by position. Positions of removed instances are empty and reused.
    entries: Vec<Option<Upstream>>,
    /// Index by token, sorted by token and position.
    tokens: Vec<(Token, UpstreamIx)>,
    /// Newest instance of each identifier, sorted by identifier.
    ids: Vec<(u64, UpstreamIx)>,
    /// Instances by service, sorted by name; each list is sorted by position.
    services: Vec<(String, Vec<UpstreamIx>)>,
    /// Index by address, sorted by address and position.
    addrs: Vec<(SocketAddrV4, UpstreamIx)>,
    /// Empty positions.
    free_positions: Vec<UpstreamIx>,
    /// Instances that have ended since the last call of [`Registry::take_ended`].
    ended: Vec<UpstreamIx>,
}

impl Registry {
    /// Returns the instance at a position.
    pub fn get(&self, ix: UpstreamIx) -> Option<&Upstream> {
        self.entries.get(ix.0 as usize)?.as_ref()
    }

    /// Returns the number of positions, including empty ones.
    pub fn position_count(&self) -> usize {
        self.entries.len()
    }

    /// Iterates over all instances with their positions.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamIx, &Upstream)> {
        let numbered = self.entries.iter().enumerate();
        numbered.filter_map(|(at, it)| Some((UpstreamIx(at as u32), it.as_ref()?)))
    }

    /// Returns the instance that a token identifies.
    ///
    /// If two instances have the same token, it identifies the one that started first. The other
    /// one gets no new flows while both are registered (see [`Registry::owns_token`]).
    pub fn by_token(&self, token: Token) -> Option<UpstreamIx> {
        let at = self.tokens.partition_point(|it| it.0 < token);
        let same = self.tokens[at..].iter().take_while(|it| it.0 == token);
        same.min_by_key(|it| {
            self.get(it.1).map(|it| (it.announcement.key.started_at, it.announcement.key.id))
        })
        .map(|it| it.1)
    }

    /// Returns `true` if packets with the instance's token are forwarded to this instance.
    pub fn owns_token(&self, ix: UpstreamIx) -> bool {
        self.get(ix).is_some_and(|it| self.by_token(it.token) == Some(ix))
    }

    /// Returns the newest instance of an identifier.
    pub fn by_id(&self, id: u64) -> Option<UpstreamIx> {
        let at = self.ids.binary_search_by_key(&id, |it| it.0).ok()?;
        Some(self.ids[at].1)
    }

    /// Returns the instance with this identity.
    pub fn by_key(&self, key: UpstreamKey) -> Option<UpstreamIx> {
        self.by_token(Token::of(key))
            .filter(|&ix| self.get(ix).is_some_and(|it| it.announcement.key == key))
    }

    /// Returns the instances of a service, including those whose announcement has expired.
    pub fn by_service(&self, service: &str) -> &[UpstreamIx] {
        match self.services.binary_search_by(|it| it.0.as_str().cmp(service)) {
            Ok(at) => &self.services[at].1,
            Err(_) => &[],
        }
    }

    /// Applies an announcement.
    ///
    /// One of an unknown service under the identifier of an instance whose service `routing` names is
    /// ignored, and yields the identifier to such an instance.
    pub(crate) fn announce(
        &mut self,
        now: Millis,
        announcement: &Announcement,
        routing: &Routing,
        recency: Recency,
    ) -> RegistryChange {
        let Some(ix) = self.by_id(announcement.key.id) else {
            return self.add(now, announcement, routing);
        };
        match self.compare(ix, announcement, routing) {
            Registered::Same => self.update(now, ix, announcement),
            Registered::Owner => RegistryChange::Unchanged,
            // A late announcement of an instance that was replaced does not concern the newer one.
            Registered::Later
                if recency == Recency::Unknown && self.by_key(announcement.key).is_some() =>
            {
                RegistryChange::Unchanged
            }
            Registered::Later if recency == Recency::Unknown => RegistryChange::Contradictory,
            Registered::Earlier | Registered::Later => {
                if !self.is_succeeded(ix, announcement) {
                    self.mark_ended(ix);
                }
                self.succeed(now, ix, announcement, routing)
            }
            Registered::Foreign => self.succeed(now, ix, announcement, routing),
        }
    }

    /// Returns `true` if the successor of an instance has taken its place before it was announced. The open
    /// flows are then of the successor, which resets those that it does not know.
    fn is_succeeded(&self, ix: UpstreamIx, successor: &Announcement) -> bool {
        let Some(it) = self.get(ix).filter(|it| it.is_restarted) else { return false };
        let it = &it.announcement;
        it.key.id == successor.key.id
            && it.addr == successor.addr
            && it.service == successor.service
    }

    /// Compares the instance that is registered for an identifier with one that is announced under it.
    fn compare(&self, ix: UpstreamIx, announced: &Announcement, routing: &Routing) -> Registered {
        let Some(it) = self.get(ix).map(|it| &it.announcement) else { return Registered::Foreign };
        if it.key == announced.key {
            return Registered::Same;
        }
        let status = |it: &Announcement| ServiceStatus::of(&it.service, routing);
        match status(it).cmp(&status(announced)) {
            Ordering::Less => Registered::Foreign,
            Ordering::Greater => Registered::Owner,
            Ordering::Equal if it.key.started_at > announced.key.started_at => Registered::Later,
            Ordering::Equal => Registered::Earlier,
        }
    }

    /// Adds an instance that another host knows as lapsed since `lapsed_at`, beside the current one of its
    /// identifier.
    ///
    /// Only the directory tells which instance is the current one: either host may be behind it.
    pub(crate) fn learn(
        &mut self,
        now: Millis,
        lapsed_at: Millis,
        announcement: &Announcement,
        routing: &Routing,
    ) -> Learned {
        if self.by_token(Token::of(announcement.key)).is_some() {
            return Learned::Nothing;
        }
        let current = self.by_id(announcement.key.id);
        let relation = current.map(|it| self.compare(it, announcement, routing));
        let ix = self.insert(now, announcement);
        self.mark_lapsed(lapsed_at, ix);
        let Some(current) = current else { return Learned::Added(ix) };
        self.set_current(announcement.key.id, current);
        if relation == Some(Registered::Earlier) {
            Learned::Later { ix, current }
        } else {
            Learned::Added(ix)
        }
    }

    /// Gives the instances of a service that has become known the addresses that they announce.
    pub(crate) fn claim_addresses(&mut self, service: &str) {
        for ix in self.by_service(service).to_vec() {
            let Some(it) = self.get(ix).filter(|it| !it.ended) else { continue };
            let announcement = it.announcement.clone();
            self.end_older_at(&announcement);
        }
    }

    /// Returns the names of the services that instances announce, sorted.
    pub(crate) fn service_names(&self) -> impl Iterator<Item = &str> {
        self.services.iter().map(|it| it.0.as_str())
    }

    /// Marks the announcement of an instance as expired. Returns `true` if it was valid until now.
    pub(crate) fn mark_lapsed(&mut self, now: Millis, ix: UpstreamIx) -> bool {
        let Some(it) = self.get_mut(ix) else { return false };
        let was_valid = it.lapsed_at.is_none();
        it.lapsed_at.get_or_insert(now);
        was_valid
    }

    /// Removes the instances whose announcement expired at least `retention` ago, and returns their
    /// former positions and their identities.
    pub(crate) fn remove_expired(
        &mut self,
        now: Millis,
        retention: Millis,
    ) -> Vec<(UpstreamIx, UpstreamKey)> {
        let old = |it: &Upstream| it.lapsed_at.is_some_and(|at| now.since(at) >= retention);
        let found: Vec<(UpstreamIx, UpstreamKey)> =
            self.iter().filter(|it| old(it.1)).map(|it| (it.0, it.1.announcement.key)).collect();
        for &(ix, _) in &found {
            self.remove(ix);
        }
        found
    }

    /// Marks an instance as ended.
    pub(crate) fn mark_ended(&mut self, ix: UpstreamIx) {
        if let Some(it) = self.get_mut(ix).filter(|it| !it.ended) {
            it.ended = true;
            self.ended.push(ix);
        }
    }

    /// Takes the instances that have ended since the last call.
    pub(crate) fn take_ended(&mut self) -> Vec<UpstreamIx> {
        std::mem::take(&mut self.ended)
    }

    /// Records that a later process has taken the place of an instance, which is cold at least until `until`.
    pub(crate) fn mark_restarted(&mut self, ix: UpstreamIx, until: Millis) {
        self.extend_cold(ix, until);
        if let Some(it) = self.get_mut(ix) {
            it.is_restarted = true;
        }
    }

    /// Treats an instance as cold at least until `until`.
    pub(crate) fn extend_cold(&mut self, ix: UpstreamIx, until: Millis) {
        if let Some(it) = self.get_mut(ix) {
            it.cold_until = it.cold_until.max(until);
        }
    }

    fn get_mut(&mut self, ix: UpstreamIx) -> Option<&mut Upstream> {
        self.entries.get_mut(ix.0 as usize)?.as_mut()
    }

    fn update(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        announcement: &Announcement,
    ) -> RegistryChange {
        let Some(it) = self.get_mut(ix) else { return RegistryChange::Unchanged };
        let (old_service, old_addr) = (it.announcement.service.clone(), it.announcement.addr);
        let same = it.lapsed_at.is_none() && it.announcement == *announcement;
        it.announcement = announcement.clone();
        it.lapsed_at = None;
        if announcement.cold_left > Millis(0) {
            it.cold_until = now + announcement.cold_left;
        }
        if old_service != announcement.service {
            self.remove_from_service(&old_service, ix);
            self.add_to_service(&announcement.service, ix);
        }
        if old_addr != announcement.addr {
            self.addrs.retain(|entry| entry.1 != ix);
            self.index_addr(announcement.addr, ix);
        }
        if same { RegistryChange::Unchanged } else { RegistryChange::Updated(ix) }
    }

    /// Makes an instance that was taken for replaced the current one of its identifier again.
    fn restore(
        &mut self,
        now: Millis,
        ix: UpstreamIx,
        announcement: &Announcement,
    ) -> RegistryChange {
        if let Some(it) = self.get_mut(ix) {
            it.ended = false;
        }
        self.set_current(announcement.key.id, ix);
        self.update(now, ix, announcement);
        RegistryChange::Updated(ix)
    }

    /// Makes an announced instance the current one of its identifier in place of `previous`.
    fn succeed(
        &mut self,
        now: Millis,
        previous: UpstreamIx,
        announcement: &Announcement,
        routing: &Routing,
    ) -> RegistryChange {
        self.mark_lapsed(now, previous);
        match self.by_key(announcement.key) {
            Some(it) => self.restore(now, it, announcement),
            None => self.add(now, announcement, routing),
        }
    }

    fn add(
        &mut self,
        now: Millis,
        announcement: &Announcement,
        routing: &Routing,
    ) -> RegistryChange {
        if ServiceStatus::of(&announcement.service, routing) == ServiceStatus::Configured {
            self.end_older_at(announcement);
        }
        RegistryChange::Added(self.insert(now, announcement))
    }

    /// Inserts an instance as the current one of its identifier.
    fn insert(&mut self, now: Millis, announcement: &Announcement) -> UpstreamIx {
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
            is_restarted: false,
        };
        let ix = self.free_positions.pop().unwrap_or(UpstreamIx(self.entries.len() as u32));
        if ix.0 as usize == self.entries.len() {
            self.entries.push(None);
        }
        self.entries[ix.0 as usize] = Some(upstream);
        self.index_addr(announcement.addr, ix);
        let at = self.tokens.partition_point(|it| *it < (token, ix));
        self.tokens.insert(at, (token, ix));
        self.set_current(announcement.key.id, ix);
        self.add_to_service(&announcement.service, ix);
        ix
    }

    fn set_current(&mut self, id: u64, ix: UpstreamIx) {
        match self.ids.binary_search_by_key(&id, |it| it.0) {
            Ok(at) => self.ids[at].1 = ix,
            Err(at) => self.ids.insert(at, (id, ix)),
        }
    }

    /// Marks the older instances at an address as ended, because an address belongs to one upstream
    /// at a time.
    fn end_older_at(&mut self, newer: &Announcement) {
        let at = self.addrs.partition_point(|it| it.0 < newer.addr);
        let there: Vec<UpstreamIx> =
            self.addrs[at..].iter().take_while(|it| it.0 == newer.addr).map(|it| it.1).collect();
        let is_older = |it: &Upstream| it.announcement.key.started_at < newer.key.started_at;
        for ix in there {
            if self.get(ix).is_some_and(is_older) && !self.is_succeeded(ix, newer) {
                self.mark_ended(ix);
            }
        }
    }

    fn index_addr(&mut self, addr: SocketAddrV4, ix: UpstreamIx) {
        let at = self.addrs.partition_point(|it| *it < (addr, ix));
        self.addrs.insert(at, (addr, ix));
    }

    fn remove(&mut self, ix: UpstreamIx) {
        let Some(it) = self.entries[ix.0 as usize].take() else { return };
        self.tokens.retain(|entry| entry.1 != ix);
        self.ids.retain(|entry| entry.1 != ix);
        self.addrs.retain(|entry| entry.1 != ix);
        self.ended.retain(|entry| *entry != ix);
        self.free_positions.push(ix);
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
