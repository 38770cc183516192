//! What a host knows of configuration revisions: who reads the configuration service, whom to ask
//! for a newer revision, and which offers to accept.

use std::cmp::Ordering;

use pomelorun_wire::{HostId, ZoneId};

use crate::{choice::rendezvous_score, members::Members, time::Millis};

/// Hosts of a zone that watch the configuration service.
const READERS_PER_ZONE: usize = 2;
/// Reads a second that all hosts together spend on looking whether the readers missed something.
const SPARE_READS_PER_S: u64 = 200;
/// Shortest time between two such reads of one host.
const SPARE_EVERY: Millis = Millis(4_000);
/// Hosts that are remembered to have a newer revision.
const CLAIMS: usize = 4;
/// Sets the choice of readers apart from other rendezvous choices.
const READER_SALT: u64 = 0x636f_6e66_6967;

/// What to do with an offered revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// It is newer than the one in force.
    Fetch,
    /// It is the one in force.
    Unchanged,
    /// It is older than the one in force.
    Older,
    /// It has the number of the one in force but another content.
    Conflict,
}

/// Judges an offer: revisions only rise, and one revision has one content.
pub fn judge(in_force: Option<(u64, &str)>, offered: (u64, &str)) -> Judgement {
    let Some((revision, content)) = in_force else { return Judgement::Fetch };
    match offered.0.cmp(&revision) {
        Ordering::Greater => Judgement::Fetch,
        Ordering::Less => Judgement::Older,
        Ordering::Equal if offered.1 == content => Judgement::Unchanged,
        Ordering::Equal => Judgement::Conflict,
    }
}

/// How a host takes part in reading the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// Watches the service.
    Reader,
    /// Looks there now and then, in case the readers of its zone cannot.
    Spare {
        /// Time between two looks.
        every: Millis,
    },
}

/// Tells how a host takes part, from the hosts that it believes live.
///
/// Hosts that disagree on who is live read too much or too little for a while; nothing else
/// depends on it.
pub fn read_role(me: HostId, zone: ZoneId, members: &Members) -> ReadRole {
    let score = |it: HostId| rendezvous_score(it.0, READER_SALT);
    let others = members.others().iter().filter(|it| it.accepts_work());
    let mut ahead = 0;
    let mut hosts = 1;
    for it in others {
        hosts += 1;
        ahead += usize::from(it.zone == zone && score(it.host) > score(me));
    }
    if ahead < READERS_PER_ZONE {
        return ReadRole::Reader;
    }
    let every = Millis(hosts * 1_000 / SPARE_READS_PER_S);
    ReadRole::Spare { every: every.max(SPARE_EVERY) }
}

/// Hosts that said they have a newer revision in force.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    /// The highest revision first, then those heard of last.
    claims: Vec<(u64, HostId)>,
}

impl Claims {
    /// A host has named the revision that it has in force.
    pub(crate) fn heard(&mut self, from: HostId, revision: u64, in_force: u64) {
        self.claims.retain(|it| it.0 > in_force && it.1 != from);
        if revision <= in_force {
            return;
        }
        let at = self.claims.partition_point(|it| it.0 > revision);
        self.claims.insert(at, (revision, from));
        self.claims.truncate(CLAIMS);
    }

    /// The highest revision heard of, and the hosts that have it.
    pub(crate) fn highest(&self, in_force: u64) -> Option<(u64, Vec<HostId>)> {
        let highest = self.claims.first().map(|it| it.0).filter(|&it| it > in_force)?;
        let hosts = self.claims.iter().take_while(|it| it.0 == highest).map(|it| it.1);
        Some((highest, hosts.collect()))
    }

    /// Forgets what a host said, since it cannot be reached.
    pub(crate) fn forget(&mut self, host: HostId) {
        self.claims.retain(|it| it.1 != host);
    }
}
