//! The hosts of a deployment: membership, selection of directory readers, and messages between
//! hosts.
//!
//! Hosts discover each other through seeds and the same membership protocol as in relaying mode. A
//! host's identifier is its IPv4 address, so that a host can be reached by its identifier alone.

use std::net::Ipv4Addr;

use pomelorun_wire::{HostId, MemberInfo, MemberState, PeerMsg, ZoneId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{
    direct::{
        cold_owner::ViewState,
        directory_sync::{BootstrapHosts, Readers},
        load_report::{LoadReport, LoadSummary},
        outlier::FailureReport,
        peer_evidence::{LivenessQuery, LivenessReply},
        peer_update::PeerUpdate,
        token::Token,
        unknown_tokens::TokenOwner,
    },
    members::Members,
    selection::rendezvous_score,
    settings::CoreSettings,
    time::Millis,
};

/// Number of hosts per zone that read the directory.
const READERS_PER_ZONE: usize = 2;
/// Time after a host's start at which its view of the members counts as synced and is used to
/// select readers. Hosts that start together have discovered each other by then.
const VIEW_SYNC_DELAY: Millis = Millis(1_500);
/// Maximum number of hosts that a host without a listing may follow.
const MAX_BOOTSTRAP_HOSTS: usize = 8;
/// Salt that makes the ranking of readers independent of other rankings.
const READER_SALT: u64 = 0x7265_6164_6572;

/// A message between two hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetMsg {
    /// Membership protocol message.
    Member(PeerMsg),
    /// Unreachable and ejected upstreams, for hosts of the same zone.
    #[serde(rename = "news")]
    PeerUpdate(PeerUpdate),
    /// Failed requests of upstreams, for the host that detects outliers among them.
    Reports(Vec<FailureReport>),
    /// Query for the upstreams that these tokens identify.
    #[serde(rename = "whose")]
    TokenQuery(Vec<Token>),
    /// Reply to a token query, with what the sender knows.
    #[serde(rename = "owners")]
    TokenOwners(Vec<(Token, TokenOwner)>),
    /// Load that the sender has seen, for the collector of its zone.
    Load(LoadReport),
    /// Sum of the load reports of a zone.
    LoadSum(LoadSummary),
    /// Query for the last responses of upstreams, for hosts of the same zone.
    LivenessQuery(LivenessQuery),
    /// Reply to a query for last responses.
    LivenessReply(LivenessReply),
    /// Zones that were restored lately, for a host that has just started.
    RestoredZones(Vec<RestoredZone>),
}

/// A zone that was withdrawn and restored, and for how many milliseconds its upstreams may still become
/// cold without having announced it.
pub type RestoredZone = (ZoneId, u32);

/// Messages to send, with their recipients.
pub type OutboundMessages = Vec<(HostId, FleetMsg)>;

/// One host's view of the deployment's hosts.
#[derive(Debug)]
pub struct Fleet {
    members: Members,
    cfg: CoreSettings,
    rng: ChaCha8Rng,
    revision: u64,
    started_at: Millis,
    synced: bool,
    /// `true` if other hosts were named as seeds, and once this host has met another one.
    has_seeds: bool,
    has_met: bool,
    /// When this host last heard from another one.
    last_heard: Millis,
    /// State of the view at the last call of [`Fleet::take_changed`].
    view_state: ViewState,
}

/// Returns the identifier of the host at an address.
pub fn host_at(ip: Ipv4Addr) -> HostId {
    HostId(u64::from(u32::from(ip)))
}

/// Returns the address of a host.
pub fn address_of(host: HostId) -> Ipv4Addr {
    Ipv4Addr::from(host.0 as u32)
}

impl Fleet {
    /// Creates a view that discovers the other hosts through `seeds`.
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
            has_seeds: seeds.iter().any(|it| *it != me.host),
            has_met: false,
            last_heard: now,
            view_state: ViewState::Incomplete,
        }
    }

    /// Adds seeds to discover other hosts through.
    pub fn add_seeds(&mut self, now: Millis, seeds: &[HostId]) {
        self.has_seeds |= seeds.iter().any(|it| *it != self.members.me().host);
        self.members.add_seeds(now, seeds);
    }

    /// Sets the active revision of this host, which membership messages carry.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Handles a timer event and returns the messages to send.
    pub fn tick(&mut self, now: Millis) -> OutboundMessages {
        self.members.remove_expired_dead(now);
        let out = self.members.tick(now, &self.cfg, self.revision, &mut self.rng);
        out.into_iter().map(|(to, msg)| (to, FleetMsg::Member(msg))).collect()
    }

    /// Handles a membership message and returns the messages to send.
    pub fn handle_message(&mut self, now: Millis, from: HostId, msg: &PeerMsg) -> OutboundMessages {
        self.last_heard = now;
        let out = self.members.handle_message(now, from, msg, self.revision);
        out.into_iter().map(|(to, msg)| (to, FleetMsg::Member(msg))).collect()
    }

    /// Handles a resume after the process was paused: the view becomes valid again only
    /// once another host has confirmed it.
    pub fn on_resume(&mut self, now: Millis) {
        self.members.on_resume(now);
    }

    /// Leaves the deployment and returns the messages that announce it.
    pub fn leave(&mut self) -> OutboundMessages {
        self.members.set_leaving();
        let out = self.members.leave_announcements(self.revision);
        out.into_iter().map(|(to, msg)| (to, FleetMsg::Member(msg))).collect()
    }

    /// Returns `true` if the live hosts or the readers may have changed since the last call.
    pub fn take_changed(&mut self, now: Millis) -> bool {
        let synced = self.members.has_joined() && now.since(self.started_at) >= VIEW_SYNC_DELAY;
        let became_synced = synced && !std::mem::replace(&mut self.synced, synced);
        // A seed that has not been heard from yet has incarnation 0.
        self.has_met |= self.members.others().iter().any(|it| it.incarnation > 0);
        let view_state = self.current_view_state(now);
        let view_changed = std::mem::replace(&mut self.view_state, view_state) != view_state;
        self.members.take_changed() || became_synced || view_changed
    }

    /// Returns whether the view may be relied on, as of the last call of [`Fleet::take_changed`].
    pub fn view_state(&self) -> ViewState {
        self.view_state
    }

    fn current_view_state(&self, now: Millis) -> ViewState {
        let is_live = self.members.me().state == MemberState::Live;
        // A host that has met none of its seeds does not know whether there are others.
        let may_be_alone = !self.has_seeds || self.has_met;
        // A host that is cut off finds the others dead only one after the other.
        let hears_others = self.live_hosts().len() == 1
            || now.since(self.last_heard) < self.cfg.suspect_timeout_ms;
        let is_synced = self.synced && self.members.is_synced();
        if is_live && is_synced && may_be_alone && hears_others {
            ViewState::Complete
        } else {
            ViewState::Incomplete
        }
    }

    /// Returns all live hosts, including this one.
    pub fn live_hosts(&self) -> Vec<HostId> {
        // A seed that has not been heard from yet has incarnation 0.
        let others =
            self.members.others().iter().filter(|it| it.accepts_work() && it.incarnation > 0);
        others.map(|it| it.host).chain([self.members.me().host]).collect()
    }

    /// Returns all live hosts, including this one, with their zones.
    pub fn live_hosts_by_zone(&self) -> Vec<(ZoneId, HostId)> {
        // A seed that has not been heard from yet has incarnation 0.
        let others =
            self.members.others().iter().filter(|it| it.accepts_work() && it.incarnation > 0);
        let me = self.members.me();
        others.map(|it| (it.zone, it.host)).chain([(me.zone, me.host)]).collect()
    }

    /// Returns the other live hosts of this host's zone.
    pub fn zone_peers(&self) -> Vec<HostId> {
        let zone = self.members.me().zone;
        self.hosts_in_zone(zone).collect()
    }

    /// Returns the live hosts of all other zones.
    pub fn other_zones_hosts(&self) -> Vec<HostId> {
        let zone = self.members.me().zone;
        let hosts = self.live_hosts_by_zone().into_iter();
        hosts.filter(|it| it.0 != zone).map(|it| it.1).collect()
    }

    /// Returns the directory readers of this host's zone.
    pub fn readers(&self) -> Readers {
        let me = self.members.me();
        if me.state != MemberState::Live {
            return Readers::default();
        }
        let bootstrap = self.bootstrap_hosts();
        if !self.synced {
            return Readers { bootstrap, ..Readers::default() };
        }
        let score = |it: &HostId| rendezvous_score(it.0, READER_SALT);
        let mut ranked: Vec<HostId> = self.hosts_in_zone(me.zone).chain([me.host]).collect();
        ranked.sort_by_key(|it| std::cmp::Reverse(score(it)));
        ranked.truncate(READERS_PER_ZONE);
        let is_reader = ranked.contains(&me.host);
        ranked.retain(|it| *it != me.host);
        Readers { ranked, is_reader, synced: true, bootstrap }
    }

    fn bootstrap_hosts(&self) -> BootstrapHosts {
        let zone = self.members.me().zone;
        let (mut same_zone, mut other_zones) = (Vec::new(), Vec::new());
        for it in self.members.others().iter().filter(|it| it.accepts_work()) {
            let hosts = if it.zone == zone { &mut same_zone } else { &mut other_zones };
            hosts.push(it.host);
        }
        for hosts in [&mut same_zone, &mut other_zones] {
            hosts.sort_unstable();
            hosts.truncate(MAX_BOOTSTRAP_HOSTS);
        }
        BootstrapHosts { same_zone, other_zones }
    }

    fn hosts_in_zone(&self, zone: ZoneId) -> impl Iterator<Item = HostId> {
        let others = self.members.others().iter();
        // A seed that has not been heard from yet has incarnation 0.
        others
            .filter(move |it| it.zone == zone && it.incarnation > 0)
            .filter(|it| matches!(it.state, MemberState::Live | MemberState::Suspect))
            .map(|it| it.host)
    }
}
