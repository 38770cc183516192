//! Synchronization of the membership view with peers, after a start or a pause of the process.

use pomelorun_wire::{HostId, MemberInfo, MemberState, PeerMsg};
use rand_chacha::ChaCha8Rng;

use crate::{
    members::{Discovery, Members, Outbox},
    settings::CoreSettings,
    time::Millis,
};

/// Time between two rounds of queries.
const QUERY_INTERVAL: Millis = Millis(100);
/// Number of hosts queried in one round.
const HOSTS_PER_QUERY_ROUND: usize = 2;
/// Maximum number of members in one message of a reply.
const MEMBERS_PER_MESSAGE: usize = 40;
/// Maximum number of messages in a reply.
const MAX_MESSAGES_PER_REPLY: usize = 8;

/// Progress of the synchronization.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum ViewSync {
    /// No host list has been read yet.
    #[default]
    NoHostList,
    /// Peers are being queried for their views.
    Querying { since: Millis, next: Millis },
    /// The view is synchronized and may be used.
    Synced,
}

impl ViewSync {
    pub(super) fn begin(&mut self, now: Millis, alone: bool) {
        *self = if alone { ViewSync::Synced } else { ViewSync::Querying { since: now, next: now } };
    }
}

impl Members {
    /// Returns `true` if the view was synchronized with a peer, or if no peer replied in time.
    pub fn is_synced(&self) -> bool {
        self.view_sync == ViewSync::Synced
    }

    /// Returns `true` if the view was synchronized at least once, so that this host takes part.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Handles a pause of the process: the view must be synchronized again before it is used.
    pub(crate) fn on_resume(&mut self, now: Millis) {
        self.probing.reset();
        self.suspects.clear();
        for it in &mut self.members {
            if it.state == MemberState::Suspect {
                it.since = now;
                self.suspects.push_back((now, it.host));
            }
        }
        if self.host_list_read {
            self.view_sync.begin(now, self.members.is_empty());
        }
    }

    pub(super) fn query_views(
        &mut self,
        now: Millis,
        cfg: &CoreSettings,
        rng: &mut ChaCha8Rng,
        out: &mut Outbox,
    ) {
        let ViewSync::Querying { since, next } = self.view_sync else { return };
        if now.since(since) >= cfg.sync_timeout_ms {
            self.finish_sync();
            return;
        }
        if now < next {
            return;
        }
        self.view_sync = ViewSync::Querying { since, next: now + QUERY_INTERVAL };
        for _ in 0..HOSTS_PER_QUERY_ROUND {
            if let Some(to) = self.random_live_where(rng, |it| out.iter().all(|sent| sent.0 != it))
            {
                out.push((to, PeerMsg::ViewRequest));
            }
        }
    }

    /// Returns the reply to a view query, most recent state changes first.
    ///
    /// With a host list, the reply contains only hosts whose state differs from the list; without
    /// one, all hosts.
    pub(super) fn view_reply(&self, to: HostId, revision: u64) -> Outbox {
        let all = self.discovery == Discovery::Seeds;
        let mut found: Vec<_> = self
            .members
            .iter()
            .filter(|it| it.state != MemberState::Live || all && it.incarnation > 0)
            .collect();
        found.sort_by_key(|it| (it.host != to, std::cmp::Reverse(it.since)));
        found.truncate(MEMBERS_PER_MESSAGE * MAX_MESSAGES_PER_REPLY);
        let mut infos: Vec<MemberInfo> = found.into_iter().map(|it| it.info()).collect();
        infos.insert(0, self.me);
        let synced = self.is_synced();
        let view =
            |it: &[MemberInfo]| (to, PeerMsg::View { synced, revision, members: it.to_vec() });
        infos.chunks(MEMBERS_PER_MESSAGE).map(view).collect()
    }

    pub(super) fn handle_view(&mut self, now: Millis, synced: bool) {
        // A view does not say when a host announced its departure; it may have left long ago.
        for it in &mut self.members {
            if it.state == MemberState::Leaving && it.since == now {
                it.since = Millis(0);
            }
        }
        if synced && matches!(self.view_sync, ViewSync::Querying { .. }) {
            self.finish_sync();
        }
    }

    fn finish_sync(&mut self) {
        self.view_sync = ViewSync::Synced;
        self.joined = true;
        self.changed = true;
    }
}
