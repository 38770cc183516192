//! Distribution of configuration revisions.
//!
//! Decides which hosts read the configuration service, which hosts can provide a newer revision,
//! and whether an offered revision is accepted.

use std::cmp::Ordering;

use pomelorun_wire::{HostId, ZoneId};

use crate::{members::Members, selection::rendezvous_score, time::Millis};

/// Number of hosts of a zone that watch the configuration service.
const READERS_PER_ZONE: usize = 2;
/// Rate of reads by all standby hosts together, which detect a revision that the readers missed.
const STANDBY_READS_PER_SECOND: u64 = 200;
/// Minimum interval between two reads by one standby host.
const MIN_STANDBY_POLL_INTERVAL: Millis = Millis(4_000);
/// Maximum number of hosts that are remembered as sources of a newer revision.
const MAX_ADVERTISEMENTS: usize = 4;
/// Makes the ranking of readers independent of the other rendezvous rankings.
const READER_SALT: u64 = 0x636f_6e66_6967;

/// Result of comparing an offered revision with the active one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevisionCheck {
    /// The offered revision is newer and is to be fetched.
    Newer,
    /// The offered revision is the active one.
    Unchanged,
    /// The offered revision is older.
    Older,
    /// The offered revision has the number of the active one but another content.
    Conflict,
}

/// Compares an offered revision with the active one; both are given by number and content.
///
/// Revision numbers only increase, and a number stands for one content.
pub fn check_revision(active: Option<(u64, &str)>, offered: (u64, &str)) -> RevisionCheck {
    let Some((revision, content)) = active else { return RevisionCheck::Newer };
    match offered.0.cmp(&revision) {
        Ordering::Greater => RevisionCheck::Newer,
        Ordering::Less => RevisionCheck::Older,
        Ordering::Equal if offered.1 == content => RevisionCheck::Unchanged,
        Ordering::Equal => RevisionCheck::Conflict,
    }
}

/// How a host takes part in reading the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigReadRole {
    /// Watches the configuration service.
    Reader,
    /// Polls the configuration service, in case the readers of its zone cannot reach it.
    Standby {
        /// Interval between two polls.
        poll_interval: Millis,
    },
}

/// Returns the role of host `me` in reading the configuration service.
///
/// The hosts of a zone are ranked by rendezvous hashing, and the first ones are the readers. Hosts
/// with different membership views may read too often or too rarely for a while, which affects
/// nothing else.
pub fn config_read_role(me: HostId, zone: ZoneId, members: &Members) -> ConfigReadRole {
    let score = |it: HostId| rendezvous_score(it.0, READER_SALT);
    let others = members.others().iter().filter(|it| it.accepts_work());
    let mut ahead = 0;
    let mut hosts = 1;
    for it in others {
        hosts += 1;
        ahead += usize::from(it.zone == zone && score(it.host) > score(me));
    }
    if ahead < READERS_PER_ZONE {
        return ConfigReadRole::Reader;
    }
    let poll_interval = Millis(hosts * 1_000 / STANDBY_READS_PER_SECOND);
    ConfigReadRole::Standby { poll_interval: poll_interval.max(MIN_STANDBY_POLL_INTERVAL) }
}

/// Newer revisions that other hosts advertise as active.
#[derive(Debug, Default)]
pub(crate) struct AdvertisedRevisions {
    /// Sorted by revision, highest first; of equal ones, the latest advertisement first.
    entries: Vec<(u64, HostId)>,
}

impl AdvertisedRevisions {
    /// Records the active revision that a host advertises.
    pub(crate) fn record(&mut self, from: HostId, revision: u64, active: u64) {
        self.entries.retain(|it| it.0 > active && it.1 != from);
        if revision <= active {
            return;
        }
        let at = self.entries.partition_point(|it| it.0 > revision);
        self.entries.insert(at, (revision, from));
        self.entries.truncate(MAX_ADVERTISEMENTS);
    }

    /// Returns the highest revision above the active one and the hosts that advertise it.
    pub(crate) fn highest(&self, active: u64) -> Option<(u64, Vec<HostId>)> {
        let highest = self.entries.first().map(|it| it.0).filter(|&it| it > active)?;
        let hosts = self.entries.iter().take_while(|it| it.0 == highest).map(|it| it.1);
        Some((highest, hosts.collect()))
    }

    /// Removes the advertisement of a host that does not provide the revision.
    pub(crate) fn forget(&mut self, host: HostId) {
        self.entries.retain(|it| it.1 != host);
    }
}
