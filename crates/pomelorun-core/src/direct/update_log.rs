//! Recent updates of the directory, for hosts that reconnect to a reader.
//!
//! A host that has listed the directory, or followed another reader, lacks at most the updates of the
//! last seconds. Sending it those instead of everything keeps the link of a small reader free when
//! many hosts connect at once, as after a restart of all.

use std::collections::VecDeque;

use crate::direct::{directory_sync::DirectoryPosition, host::ReplicatedUpdate};

/// Maximum number of logged updates. An update takes about 100 bytes, and one listing's worth of
/// them would be no smaller than a snapshot.
const MAX_UPDATES: usize = 512;

/// What a listing told a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingNews {
    /// No more than the updates up to its position.
    AsUpdates,
    /// All that there is, as the host knew nothing.
    Initial,
    /// Which of contradictory announcements is the current one.
    Settled,
}

/// Updates since a position, oldest first.
#[derive(Debug, Default)]
pub struct UpdateLog {
    /// Position after which the log is complete.
    start: DirectoryPosition,
    /// Updates of one response of the directory each, with the position that they lead to.
    batches: VecDeque<(DirectoryPosition, Vec<ReplicatedUpdate>)>,
    /// Number of updates in all batches.
    updates: usize,
    /// Position of the latest listing in this host's copy that told more than the updates.
    listed: Option<DirectoryPosition>,
    /// Position of the latest listing that settled a contradiction.
    settled: Option<DirectoryPosition>,
}

impl UpdateLog {
    /// Empties the log and restarts it at a position.
    pub fn restart(&mut self, position: DirectoryPosition) {
        let UpdateLog { listed, settled, .. } = *self;
        *self = UpdateLog { start: position, listed, settled, ..UpdateLog::default() };
    }

    /// Records that this host's copy contains a listing that was read at a position.
    pub fn record_listing(&mut self, position: DirectoryPosition, news: ListingNews) {
        if news != ListingNews::AsUpdates {
            self.listed = self.listed.max(Some(position));
        }
        if news == ListingNews::Settled {
            self.settled = self.settled.max(Some(position));
        }
    }

    /// Returns the position of the latest listing that told more than the updates.
    pub fn listed(&self) -> Option<DirectoryPosition> {
        self.listed
    }

    /// Returns the updates that a follower lacks, or `None` if it needs a snapshot.
    ///
    /// The follower's position tells which updates it has, and `listed` which listing: it may have reached the
    /// position of a listing through updates alone. A follower of an earlier version does not tell.
    pub fn updates_for(
        &self,
        position: DirectoryPosition,
        listed: Option<DirectoryPosition>,
    ) -> Option<Vec<ReplicatedUpdate>> {
        let has_listing = match (self.listed, listed) {
            (None, _) => true,
            (Some(own), Some(its)) => its >= own,
            (Some(_), None) => self.settled.is_none_or(|it| position > it),
        };
        if has_listing { self.updates_after(position) } else { None }
    }

    /// Appends the updates that lead to a position.
    pub fn push(&mut self, position: DirectoryPosition, updates: &[ReplicatedUpdate]) {
        self.updates += updates.len();
        self.batches.push_back((position, updates.to_vec()));
        while self.updates > MAX_UPDATES
            && let Some((position, updates)) = self.batches.pop_front()
        {
            self.updates -= updates.len();
            self.start = position;
        }
    }

    /// Returns the updates after a position, or `None` if the log does not reach back to it or the
    /// position is of another era.
    ///
    /// The first ones may be from before the position; applied in order, they lead to the same state.
    pub fn updates_after(&self, position: DirectoryPosition) -> Option<Vec<ReplicatedUpdate>> {
        if position.era != self.start.era || position < self.start {
            return None;
        }
        let missing = self.batches.iter().filter(|it| it.0 > position);
        Some(missing.flat_map(|it| it.1.iter().cloned()).collect())
    }
}
