//! The other hosts: who lives, who reads the directory, and what they tell each other.
//!
//! Hosts find each other through seeds and the membership that the relaying mode uses too. A host's
//! identifier is its IPv4 address, so an identifier is all that one needs to reach it.

use std::net::Ipv4Addr;

use pomelorun_wire::{HostId, MemberInfo, MemberState, PeerMsg, ZoneId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{
    choice::rendezvous_score,
    direct::{
        directory_sync::Readers, outlier::FailureReport, peer_update::PeerUpdate, token::Token,
        unknown_tokens::TokenOwner,
    },
    members::Members,
    settings::CoreSettings,
    time::Millis,
};

/// Hosts of each zone that read the directory.
const READERS_PER_ZONE: usize = 2;
/// Age of a host's view of the others at which readers are chosen by it: hosts that start together
/// have heard of each other by then.
const VIEW_SYNC_DELAY: Millis = Millis(1_500);
/// Hosts that a host which knows nothing may ask.
const MAX_BOOTSTRAP_HOSTS: usize = 8;
/// Sets the ranking of readers apart from other rankings.
const READER_SALT: u64 = 0x7265_6164_6572;

/// A message between two hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetMsg {
    /// About membership.
    Member(PeerMsg),
    /// About upstreams; only hosts of one zone tell each other.
    #[serde(rename = "news")]
    PeerUpdate(PeerUpdate),
    /// What an upstream's answers look like, for the host that judges it.
    Reports(Vec<FailureReport>),
    /// Which upstreams do these tokens name?
    #[serde(rename = "whose")]
    TokenQuery(Vec<Token>),
    /// What the sender knows of them.
    #[serde(rename = "owners")]
    TokenOwners(Vec<(Token, TokenOwner)>),
}

/// Messages to send, with their receivers.
pub type OutboundMessages = Vec<(HostId, FleetMsg)>;

/// The other hosts as one host sees them.
#[derive(Debug)]
pub struct Fleet {
    members: Members,
    cfg: CoreSettings,
    rng: ChaCha8Rng,
    revision: u64,
    started_at: Millis,
    synced: bool,
}

/// The identifier of the host at an address.
pub fn host_at(ip: Ipv4Addr) -> HostId {
    HostId(u64::from(u32::from(ip)))
}

/// The address of a host.
pub fn address_of(host: HostId) -> Ipv4Addr {
    Ipv4Addr::from(host.0 as u32)
}

impl Fleet {
    /// Starts with seeds of which one may know the others.
    pub fn new(
        now: Millis,
        me: MemberInfo,
        seeds: &[HostId],
        cfg: CoreSettings,
        seed: u64,
    ) -> Fleet {
        let members = Members::new(me.host, me.zone, me.incarnation).with_seeds(now, seeds);
        Fleet {
            members,
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            revision: 0,
            started_at: now,
            synced: false,
        }
    }

    /// Names more hosts of which one may know the others.
    pub fn add_seeds(&mut self, now: Millis, seeds: &[HostId]) {
        self.members.add_seeds(now, seeds);
    }

    /// Says which revision is in force here.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Does what time demands; returns what to send.
    pub fn tick(&mut self, now: Millis) -> OutboundMessages {
        self.members.remove_expired_dead(now);
        let out = self.members.tick(now, &self.cfg, self.revision, &mut self.rng);
        out.into_iter().map(|(to, msg)| (to, FleetMsg::Member(msg))).collect()
    }

    /// Takes in a message about membership; returns the answers.
    pub fn handle_message(&mut self, now: Millis, from: HostId, msg: &PeerMsg) -> OutboundMessages {
        let out = self.members.handle_message(now, from, msg, self.revision);
        out.into_iter().map(|(to, msg)| (to, FleetMsg::Member(msg))).collect()
    }

    /// The process slept: nothing it knew counts before another host has confirmed it.
    pub fn on_resume(&mut self, now: Millis) {
        self.members.on_resume(now);
    }

    /// Tells the others that this host leaves.
    pub fn leave(&mut self) -> OutboundMessages {
        self.members.set_leaving();
        let out = self.members.leave_announcements(self.revision);
        out.into_iter().map(|(to, msg)| (to, FleetMsg::Member(msg))).collect()
    }

    /// Tells whether who lives, or who reads, may have changed since the last call.
    pub fn take_changed(&mut self, now: Millis) -> bool {
        let synced = self.members.has_joined() && now.since(self.started_at) >= VIEW_SYNC_DELAY;
        let became_synced = synced && !std::mem::replace(&mut self.synced, synced);
        self.members.take_changed() || became_synced
    }

    /// All live hosts, this one included.
    pub fn live_hosts(&self) -> Vec<HostId> {
        let others =
            self.members.others().iter().filter(|it| it.accepts_work() && it.incarnation > 0);
        others.map(|it| it.host).chain([self.members.me().host]).collect()
    }

    /// The other live hosts of this host's zone.
    pub fn neighbours(&self) -> Vec<HostId> {
        let zone = self.members.me().zone;
        self.hosts_in_zone(zone).collect()
    }

    /// Who reads the directory in this zone, the best first.
    pub fn readers(&self) -> Readers {
        let me = self.members.me();
        if me.state != MemberState::Live {
            return Readers::default();
        }
        let bootstrap_hosts = self.bootstrap_hosts();
        if !self.synced {
            return Readers { bootstrap_hosts, ..Readers::default() };
        }
        let score = |it: &HostId| rendezvous_score(it.0, READER_SALT);
        let mut ranked: Vec<HostId> = self.hosts_in_zone(me.zone).chain([me.host]).collect();
        ranked.sort_by_key(|it| std::cmp::Reverse(score(it)));
        ranked.truncate(READERS_PER_ZONE);
        let is_reader = ranked.contains(&me.host);
        ranked.retain(|it| *it != me.host);
        Readers { ranked, is_reader, synced: true, bootstrap_hosts }
    }

    /// Hosts of this zone first, since the way is short, then some others.
    fn bootstrap_hosts(&self) -> Vec<HostId> {
        let zone = self.members.me().zone;
        let others = self.members.others().iter().filter(|it| it.accepts_work());
        let mut hosts: Vec<(bool, HostId)> = others.map(|it| (it.zone != zone, it.host)).collect();
        hosts.sort_unstable();
        hosts.truncate(MAX_BOOTSTRAP_HOSTS);
        hosts.into_iter().map(|it| it.1).collect()
    }

    fn hosts_in_zone(&self, zone: ZoneId) -> impl Iterator<Item = HostId> {
        let others = self.members.others().iter();
        others
            .filter(move |it| it.zone == zone && it.incarnation > 0)
            .filter(|it| matches!(it.state, MemberState::Live | MemberState::Suspect))
            .map(|it| it.host)
    }
}
