//! Merging of listings after the directory was restored from an older copy.
//!
//! A restored directory has lost its latest changes, and upstreams and operators write them again.
//! Until they have had the time to do so, a listing may lack upstreams that are alive, contain ones
//! that have ended, and lack draining marks and withdrawn zones. In this time a listing only adds to
//! what a host knows. Afterwards the directory is listed again, and that listing is authoritative.
//! Events of a watch are always applied, because they were written after the restoration.

use crate::{
    direct::registry::{Announcement, Upstream},
    time::Millis,
};

/// Whether a listing reflects all that upstreams and operators have written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingState {
    /// The listing is authoritative.
    Settled,
    /// The directory was restored shortly before.
    Unsettled,
}

/// What to do with an upstream in an unsettled listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpstreamMerge {
    /// Apply the announcement.
    Apply,
    /// Apply the announcement, but treat the upstream as draining.
    KeepDraining,
    /// Ignore the announcement, because the instance is known to be gone.
    Ignore,
}

/// Decides how an unsettled listing changes what is known of an upstream instance.
pub(crate) fn merge_upstream(known: Option<&Upstream>, listed: &Announcement) -> UpstreamMerge {
    let Some(known) = known else { return UpstreamMerge::Apply };
    if known.ended || known.lapsed_at.is_some() {
        return UpstreamMerge::Ignore;
    }
    if known.announcement.draining && !listed.draining {
        return UpstreamMerge::KeepDraining;
    }
    UpstreamMerge::Apply
}

/// Era of the directory as this host has listed it, and whether it has settled.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DirectoryEra {
    /// Era of the last listing; `None` before the first one that carried an era.
    era: Option<u64>,
    /// When a restoration was detected; `None` once a settled listing has been applied.
    restored_at: Option<Millis>,
    /// Number of restorations detected.
    restorations: u64,
}

impl DirectoryEra {
    /// Returns the era of the last listing.
    pub(crate) fn era(&self) -> Option<u64> {
        self.era
    }

    /// Returns the number of restorations that this host has detected.
    pub(crate) fn restorations(&self) -> u64 {
        self.restorations
    }

    /// Returns whether what this host knows has settled.
    pub(crate) fn state(&self) -> ListingState {
        match self.restored_at {
            Some(_) => ListingState::Unsettled,
            None => ListingState::Settled,
        }
    }

    /// Records a listing that this host has read from the directory, and returns how to apply it.
    pub(crate) fn record_listing(
        &mut self,
        now: Millis,
        era: u64,
        settle_time: Millis,
    ) -> ListingState {
        self.record_era(now, era);
        if self.restored_at.is_some_and(|at| now.since(at) >= settle_time) {
            self.restored_at = None;
        }
        self.state()
    }

    /// Records a listing from another host, which has or has not settled.
    ///
    /// A host that reports no era is of a version that does not detect restorations.
    pub(crate) fn record_peer_listing(
        &mut self,
        now: Millis,
        era: Option<u64>,
        state: ListingState,
    ) {
        if let Some(era) = era {
            self.record_era(now, era);
        }
        match state {
            ListingState::Settled => self.restored_at = None,
            ListingState::Unsettled => {
                self.restored_at.get_or_insert(now);
            }
        }
    }

    /// Returns `true` if the directory has had the time to settle and is to be listed again.
    pub(crate) fn is_listing_due(&self, now: Millis, settle_time: Millis) -> bool {
        self.restored_at.is_some_and(|at| now.since(at) >= settle_time)
    }

    fn record_era(&mut self, now: Millis, era: u64) {
        match self.era.replace(era) {
            Some(known) if era > known => {
                self.restored_at = Some(now);
                self.restorations += 1;
            }
            // Another directory took its place, whose eras are not comparable.
            Some(known) if era < known => self.restored_at = None,
            Some(_) | None => {}
        }
    }
}
