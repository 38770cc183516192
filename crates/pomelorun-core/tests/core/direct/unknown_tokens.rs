//! Packets with unknown tokens: resolved by querying other hosts, dropped, or reset.

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, DirectHost, DirectoryState, DirectoryUpdate, IneligibleReason, ProbeResult,
        Segment, Token, UpstreamKey, Verdict,
    },
};
use pomelorun_wire::HostId;

use crate::direct::fixtures::{
    LOCAL_ZONE, SERVICE, announcement, data_segment, flow, forwarded_to, key, open_flow,
    open_segment, route, routing, settings,
};

/// Hosts that exchange token queries in virtual time; one zone unless a test changes the peers.
struct HostGroup {
    hosts: Vec<DirectHost>,
    now: u64,
}

fn id(at: usize) -> HostId {
    HostId(at as u64 + 1)
}

impl HostGroup {
    fn new(hosts: usize, upstreams: &[Announcement]) -> HostGroup {
        let peers: Vec<HostId> = (0..hosts).map(id).collect();
        let mut group = HostGroup { hosts: Vec::new(), now: 10_000 };
        for at in 0..hosts {
            group.hosts.push(new_host(id(at), &peers, upstreams, group.now));
        }
        group
    }

    /// Replaces a host with a newly started one.
    fn restart(&mut self, at: usize, upstreams: &[Announcement]) {
        let peers: Vec<HostId> = (0..self.hosts.len()).map(id).collect();
        self.hosts[at] = new_host(id(at), &peers, upstreams, self.now);
    }

    /// Advances time with the directory in the given state and delivers token queries and replies.
    fn advance(&mut self, ms: u64, directory_state: DirectoryState) {
        for _ in 0..ms / 50 {
            self.now += 50;
            let now = Millis(self.now);
            for at in 0..self.hosts.len() {
                self.hosts[at].set_directory_state(now, directory_state);
                self.hosts[at].tick(now);
                for (to, tokens) in self.hosts[at].take_token_queries() {
                    let answer = self.hosts[to.0 as usize - 1].answer_token_query(now, &tokens);
                    self.hosts[at].apply_token_owners(now, &answer);
                }
            }
        }
    }

    fn send(&mut self, at: usize, segment: &Segment) -> Verdict {
        self.hosts[at].handle_packet(Millis(self.now), segment)
    }
}

fn new_host(me: HostId, peers: &[HostId], upstreams: &[Announcement], now: u64) -> DirectHost {
    let mut cfg = settings(LOCAL_ZONE);
    cfg.host = me;
    let mut host = DirectHost::new(cfg);
    host.set_directory_state(Millis(now), DirectoryState::Available);
    host.set_hosts(Millis(0), peers.to_vec());
    host.set_zone_peers(peers.to_vec());
    let mut all = vec![routing(1, vec![route(SERVICE, "feed")])];
    all.extend(upstreams.iter().cloned().map(DirectoryUpdate::Upstream));
    host.apply_listing(Millis(now), &all);
    host
}

const UNKNOWN_TOKEN: Token = Token(0x1234_5678);

fn request(number: u32, token: Token) -> Segment {
    data_segment(flow(number), token, 1, 100, 60)
}

/// Guards against resetting flows of a live upstream whose announcement is delayed: with up to 301
/// hosts, announcements arrived more than 4 s late.
#[test]
fn flows_with_a_token_unknown_to_all_hosts_are_never_reset() {
    for directory_state in [DirectoryState::Available, DirectoryState::Unavailable] {
        let mut group = HostGroup::new(5, &[announcement(1, LOCAL_ZONE)]);
        group.advance(5_000, DirectoryState::Available);
        for _ in 0..30 {
            for at in 0..5 {
                assert_eq!(group.send(at, &request(at as u32, UNKNOWN_TOKEN)), Verdict::Drop);
            }
            group.advance(1_000, directory_state);
        }
        assert!(group.hosts.iter_mut().all(|it| it.take_resets().is_empty()));
    }
}

#[test]
fn restarted_host_resolves_a_token_of_an_upstream_that_is_no_longer_announced() {
    for restarted in 0..4 {
        let mut group =
            HostGroup::new(4, &[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
        let at = if restarted == 0 { 1 } else { 0 };
        let now = Millis(group.now);
        let number = (0..100).find(|it| open_flow(&mut group.hosts[at], now, flow(*it)).0 == 1);
        let number = number.expect("a flow at upstream 1");
        for it in &mut group.hosts {
            it.apply_update(now, &DirectoryUpdate::UpstreamRemoved(1));
        }
        group.advance(3_000, DirectoryState::Available);
        group.restart(restarted, &[announcement(2, LOCAL_ZONE)]);
        let segment = request(number, Token::of(key(1)));
        assert_eq!(group.send(restarted, &segment), Verdict::Drop);
        group.advance(300, DirectoryState::Available);
        let to = forwarded_to(group.send(restarted, &segment)).map(|it| it.0);
        assert_eq!(to, Some(1), "host {restarted}");
        // The upstream learned from the peer is not eligible for new flows.
        let view = group.hosts[restarted].view(Millis(group.now));
        let it = view.upstreams.iter().find(|it| it.upstream.ends_with('1')).unwrap();
        assert_eq!(it.ineligible, Some(IneligibleReason::Lapsed));
        let new_flow = group.send(restarted, &open_segment(flow(900), 0));
        assert_eq!(forwarded_to(new_flow).map(|it| it.0), Some(2));
    }
}

#[test]
fn flows_are_kept_when_their_upstream_is_announced_late() {
    let mut group = HostGroup::new(1, &[announcement(1, LOCAL_ZONE)]);
    group.advance(5_000, DirectoryState::Available);
    let segment = request(3, Token::of(key(9)));
    assert_eq!(group.send(0, &segment), Verdict::Drop);
    group.advance(3_000, DirectoryState::Available);
    let now = Millis(group.now);
    group.hosts[0].apply_update(now, &DirectoryUpdate::Upstream(announcement(9, LOCAL_ZONE)));
    group.advance(5_000, DirectoryState::Available);
    assert_eq!(group.hosts[0].take_resets(), vec![]);
    assert_eq!(forwarded_to(group.send(0, &segment)).map(|it| it.0), Some(9));
}

#[test]
fn flow_of_a_previous_upstream_instance_is_reset() {
    let mut group = HostGroup::new(2, &[announcement(1, LOCAL_ZONE)]);
    let old_token = Token::of(key(1));
    let mut new_instance = announcement(1, LOCAL_ZONE);
    new_instance.key.started_at += 5_000;
    let now = Millis(group.now);
    group.hosts[0].apply_update(now, &DirectoryUpdate::Upstream(new_instance.clone()));
    group.restart(1, &[new_instance]);
    assert_eq!(group.send(1, &request(4, old_token)), Verdict::Drop);
    group.advance(300, DirectoryState::Available);
    assert!(matches!(group.send(1, &request(4, old_token)), Verdict::Reset(_)));
}

/// Returns upstream 1 as it starts again with another start time.
fn restarted(started_at: u64) -> Announcement {
    let first = announcement(1, LOCAL_ZONE);
    Announcement { key: UpstreamKey { started_at, ..first.key }, ..first }
}

/// Guards against resets of live flows by a host that holds another writer's entry under the identifier of
/// the flow's upstream.
#[test]
fn flow_is_kept_beside_another_writers_entry_with_the_identifier_of_its_upstream() {
    for started_at in [1, 9_000] {
        let mut group = HostGroup::new(2, &[announcement(1, LOCAL_ZONE)]);
        let foreign = Announcement { service: "agent".to_owned(), ..restarted(started_at) };
        group.restart(1, &[foreign]);
        let segment = request(4, Token::of(key(1)));
        assert_eq!(group.send(1, &segment), Verdict::Drop);
        group.advance(300, DirectoryState::Available);
        assert_eq!(group.hosts[1].take_resets(), vec![]);
        assert_eq!(forwarded_to(group.send(1, &segment)).map(|it| it.0), Some(1));
    }
}

/// Guards against resets by a host whose peer knows another start of an upstream: the clock of the
/// upstream may have been ahead at either start, and only the directory tells which is the current one.
#[test]
fn peers_word_on_another_start_of_an_upstream_ends_neither() {
    let kept = restarted(5_000);
    for learned in [restarted(2_000), restarted(8_000)] {
        let mut group = HostGroup::new(2, std::slice::from_ref(&learned));
        group.restart(1, std::slice::from_ref(&kept));
        let now = Millis(group.now);
        let (_, token) = open_flow(&mut group.hosts[1], now, flow(1));
        assert_eq!(token, Token::of(kept.key));
        let segment = request(4, Token::of(learned.key));
        assert_eq!(group.send(1, &segment), Verdict::Drop);
        group.advance(300, DirectoryState::Available);
        assert_eq!(group.hosts[1].take_resets(), vec![], "{learned:?}");
        assert_eq!(forwarded_to(group.send(1, &segment)), Some((1, Token::of(learned.key))));
        let to = forwarded_to(group.send(1, &request(1, token)));
        assert_eq!(to, Some((1, token)), "{learned:?}");
    }
}

/// Guards against new flows at an upstream that has started again and is cold, as a peer knows.
#[test]
fn upstream_whose_later_start_a_peer_knows_gets_no_new_flows_until_the_directory_tells() {
    let later = restarted(8_000);
    let mut group = HostGroup::new(2, std::slice::from_ref(&later));
    group.restart(1, &[announcement(1, LOCAL_ZONE)]);
    group.send(1, &request(4, Token::of(later.key)));
    group.advance(300, DirectoryState::Available);
    assert_eq!(forwarded_to(group.send(1, &open_segment(flow(5), 0))), None);
    let now = Millis(group.now + 1_200);
    assert!(group.hosts[1].is_listing_due(now));
    let all = [routing(1, vec![route(SERVICE, "feed")]), DirectoryUpdate::Upstream(later.clone())];
    group.hosts[1].apply_listing(now, &all);
    let to = forwarded_to(group.send(1, &open_segment(flow(6), 0)));
    assert_eq!(to, Some((1, Token::of(later.key))));
}

/// Returns two hosts of one zone and one host of another zone.
fn hosts_in_two_zones(upstreams: &[Announcement]) -> HostGroup {
    let mut group = HostGroup::new(3, upstreams);
    for at in 0..2 {
        group.hosts[at].set_zone_peers(vec![id(0), id(1)]);
    }
    group.hosts[2].set_zone_peers(vec![id(2)]);
    group
}

#[test]
fn restarted_zone_learns_of_an_ended_instance_from_another_zone() {
    let mut group = hosts_in_two_zones(&[announcement(1, LOCAL_ZONE)]);
    let old_token = Token::of(key(1));
    let mut new_instance = announcement(1, LOCAL_ZONE);
    new_instance.key.started_at += 5_000;
    let now = Millis(group.now);
    group.hosts[2].apply_update(now, &DirectoryUpdate::Upstream(new_instance.clone()));
    for at in 0..2 {
        group.restart(at, &[new_instance.clone()]);
        group.hosts[at].set_zone_peers(vec![id(0), id(1)]);
    }
    assert_eq!(group.send(0, &request(4, old_token)), Verdict::Drop);
    group.advance(700, DirectoryState::Available);
    assert_eq!(group.hosts[0].take_resets().len(), 1);
}

/// Guards against a false reset: one host wrongly considers an upstream unreachable, and other
/// hosts that have not received its announcement yet query that host for the token.
#[test]
fn reachability_seen_by_another_host_is_not_adopted_with_a_token() {
    let mut group = hosts_in_two_zones(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    let token = Token::of(key(1));
    group.send(2, &request(7, token));
    group.now += 200;
    group.send(2, &request(7, token));
    group.hosts[2].apply_probe_result(Millis(group.now), key(1), ProbeResult::NoResponse);
    for at in 0..2 {
        group.restart(at, &[announcement(2, LOCAL_ZONE)]);
        group.hosts[at].set_zone_peers(vec![id(0), id(1)]);
    }
    assert_eq!(group.send(0, &request(8, token)), Verdict::Drop);
    group.advance(700, DirectoryState::Available);
    assert_eq!(group.hosts[0].take_resets(), vec![]);
    assert_eq!(forwarded_to(group.send(0, &request(8, token))).map(|it| it.0), Some(1));
}

/// As above, with evidence that suffices at once: the silent probe above no longer does.
#[test]
fn verdict_of_another_host_is_not_adopted_with_a_token() {
    let mut group = hosts_in_two_zones(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    let token = Token::of(key(1));
    group.send(2, &request(7, token));
    group.now += 200;
    group.send(2, &request(7, token));
    group.hosts[2].apply_probe_result(Millis(group.now), key(1), ProbeResult::Refused);
    assert_eq!(group.hosts[2].stats().unreachable, 1);
    for at in 0..2 {
        group.restart(at, &[announcement(2, LOCAL_ZONE)]);
        group.hosts[at].set_zone_peers(vec![id(0), id(1)]);
    }
    assert_eq!(group.send(0, &request(8, token)), Verdict::Drop);
    group.advance(700, DirectoryState::Available);
    assert_eq!(group.hosts[0].take_resets(), vec![]);
    assert_eq!(forwarded_to(group.send(0, &request(8, token))).map(|it| it.0), Some(1));
}

#[test]
fn number_of_queried_unknown_tokens_is_bounded() {
    let mut group = HostGroup::new(1, &[announcement(1, LOCAL_ZONE)]);
    group.hosts[0].set_zone_peers((0..30).map(id).collect());
    for number in 0..50_000u32 {
        group.send(0, &request(number, Token(number.wrapping_mul(2_654_435_761) | 1)));
    }
    group.hosts[0].tick(Millis(group.now + 300));
    let queried_tokens: usize =
        group.hosts[0].take_token_queries().iter().map(|it| it.1.len()).sum();
    assert!(queried_tokens <= 8 * 30, "{queried_tokens} tokens queried at once");
}
