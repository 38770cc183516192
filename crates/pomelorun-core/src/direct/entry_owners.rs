//! Which entry of the directory owns an identifier.
//!
//! Datagrams carry only the digits at the end of an entry's name, so entries of several writers may have
//! the same identifier: that of an upstream, and that of an agent on the upstream's machine. The name as a
//! whole tells them apart. An entry of a service that the configuration names takes precedence, whatever the
//! order in which they are read; among equals, the entry that owned the identifier first keeps it.

use std::sync::Arc;

use crate::direct::{host::DirectoryUpdate, registry::Announcement, routing::Routing};

/// The directory's entries of upstreams, and which of them own their identifiers.
#[derive(Debug, Default)]
pub struct EntryOwners {
    /// Sorted by identifier and name.
    entries: Vec<Entry>,
    /// The latest configuration that was read.
    routing: Option<Arc<Routing>>,
    /// Owners before the listing that is being read, by identifier; sorted.
    incumbents: Vec<(u64, String)>,
}

#[derive(Debug)]
struct Entry {
    id: u64,
    name: String,
    announcement: Announcement,
    is_owner: bool,
}

/// Effect of a change of an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEffect {
    /// The updates of the directory that follow, in order.
    Updates(Vec<DirectoryUpdate>),
    /// Nothing follows, because the entry of this name owns the identifier.
    OwnedBy(String),
}

impl EntryOwners {
    /// Returns the state with which a full listing begins. It replaces this one when the listing is
    /// complete (see [`EntryOwners::finish_listing`]).
    pub fn begin_listing(&self) -> EntryOwners {
        let owners = self.entries.iter().filter(|it| it.is_owner);
        let incumbents = owners.map(|it| (it.id, it.name.clone())).collect();
        EntryOwners { entries: Vec::new(), routing: self.routing.clone(), incumbents }
    }

    /// Ends a listing and returns the updates for the identifiers whose earlier owners it lacks.
    pub fn finish_listing(&mut self) -> Vec<DirectoryUpdate> {
        let incumbents = std::mem::take(&mut self.incumbents);
        incumbents.into_iter().flat_map(|it| self.choose_owner(it.0, None)).collect()
    }

    /// Applies an entry that was written, or with `None` one that was removed or can't be read.
    pub fn apply(
        &mut self,
        name: &str,
        id: u64,
        announcement: Option<Announcement>,
    ) -> EntryEffect {
        let Some(announcement) = announcement else { return self.remove(name, id) };
        match self.position(name, id) {
            Ok(at) => self.entries[at].announcement = announcement,
            Err(at) => {
                let name = name.to_owned();
                self.entries.insert(at, Entry { id, name, announcement, is_owner: false });
            }
        }
        let update = self.choose_owner(id, Some(name));
        match self.other_owner(name, id) {
            Some(it) if update.is_none() => EntryEffect::OwnedBy(it.to_owned()),
            _ => EntryEffect::Updates(Vec::from_iter(update)),
        }
    }

    /// Applies a configuration and returns the updates for the identifiers whose owners change with it.
    pub fn set_routing(&mut self, routing: &Arc<Routing>) -> Vec<DirectoryUpdate> {
        if self.routing.as_ref().is_some_and(|it| it.revision >= routing.revision) {
            return Vec::new();
        }
        self.routing = Some(Arc::clone(routing));
        let contested = self.entries.windows(2).filter(|it| it[0].id == it[1].id);
        let mut ids: Vec<u64> = contested.map(|it| it[0].id).collect();
        ids.dedup();
        ids.into_iter().flat_map(|it| self.choose_owner(it, None)).collect()
    }

    fn remove(&mut self, name: &str, id: u64) -> EntryEffect {
        let removed = self.position(name, id).ok().map(|at| self.entries.remove(at));
        if !removed.is_some_and(|it| it.is_owner)
            && let Some(it) = self.other_owner(name, id)
        {
            return EntryEffect::OwnedBy(it.to_owned());
        }
        self.incumbents.retain(|it| it.0 != id);
        let mut updates = vec![DirectoryUpdate::UpstreamRemoved(id)];
        updates.extend(self.choose_owner(id, None));
        EntryEffect::Updates(updates)
    }

    /// Chooses the owner of an identifier, and returns its announcement if it is a new one or has just been
    /// `written`.
    fn choose_owner(&mut self, id: u64, written: Option<&str>) -> Option<DirectoryUpdate> {
        let incumbent = self.incumbent(id);
        if incumbent.is_some_and(|it| self.position(it, id).is_err()) {
            // The listing may still come to it.
            return None;
        }
        let is_former = |it: &Entry| it.is_owner || incumbent == Some(it.name.as_str());
        let rank = |it: &&Entry| (self.is_configured(it), is_former(it));
        let range = self.range(id);
        // The first of several with the highest rank, in the order of their names.
        let owner = self.entries[range.clone()].iter().rev().max_by_key(rank)?.name.clone();
        let mut update = None;
        for it in &mut self.entries[range] {
            let was_owner = std::mem::replace(&mut it.is_owner, it.name == owner);
            if it.is_owner && (!was_owner || written == Some(it.name.as_str())) {
                update = Some(DirectoryUpdate::Upstream(it.announcement.clone()));
            }
        }
        update
    }

    /// Returns the name of the entry that owns an identifier or has owned it until the listing, if it is
    /// another one.
    fn other_owner(&self, name: &str, id: u64) -> Option<&str> {
        let owner = self.entries[self.range(id)].iter().find(|it| it.is_owner);
        owner.map(|it| it.name.as_str()).or(self.incumbent(id)).filter(|it| *it != name)
    }

    fn incumbent(&self, id: u64) -> Option<&str> {
        let at = self.incumbents.binary_search_by_key(&id, |it| it.0).ok()?;
        Some(self.incumbents[at].1.as_str())
    }

    fn is_configured(&self, it: &Entry) -> bool {
        self.routing.as_ref().is_some_and(|routing| routing.names_service(&it.announcement.service))
    }

    fn position(&self, name: &str, id: u64) -> Result<usize, usize> {
        self.entries.binary_search_by(|it| (it.id, it.name.as_str()).cmp(&(id, name)))
    }

    fn range(&self, id: u64) -> std::ops::Range<usize> {
        let start = self.entries.partition_point(|it| it.id < id);
        start..start + self.entries[start..].partition_point(|it| it.id == id)
    }
}
