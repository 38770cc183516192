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

/// Updates since a position, oldest first.
#[derive(Debug, Default)]
pub struct UpdateLog {
    /// Position after which the log is complete.
    start: DirectoryPosition,
    /// Updates of one response of the directory each, with the position that they lead to.
    batches: VecDeque<(DirectoryPosition, Vec<ReplicatedUpdate>)>,
    /// Number of updates in all batches.
    updates: usize,
}

impl UpdateLog {
    /// Empties the log and restarts it at a position.
    pub fn restart(&mut self, position: DirectoryPosition) {
        *self = UpdateLog { start: position, ..UpdateLog::default() };
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
