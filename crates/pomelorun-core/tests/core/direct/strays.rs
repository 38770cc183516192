//! Packets whose upstream a host does not know: found by way of another host, or reset.

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, DirectHost, DirectoryState, DirectoryUpdate, IneligibleReason, ProbeResult,
        Segment, Token, Verdict,
    },
};
use pomelorun_wire::HostId;

use crate::direct::kit::{
    NEAR, SERVICE, data, flow, key, open, opened, route, routing, said, sent_to, settings,
};

/// Some hosts of one zone that know these upstreams.
struct Zone {
    hosts: Vec<DirectHost>,
    now: u64,
}

fn id(at: usize) -> HostId {
    HostId(at as u64 + 1)
}

impl Zone {
    fn new(hosts: usize, upstreams: &[Announcement]) -> Zone {
        let near: Vec<HostId> = (0..hosts).map(id).collect();
        let mut zone = Zone { hosts: Vec::new(), now: 10_000 };
        for at in 0..hosts {
            zone.hosts.push(fresh(id(at), &near, upstreams, zone.now));
        }
        zone
    }

    /// Replaces a host by one that has just started.
    fn restart(&mut self, at: usize, upstreams: &[Announcement]) {
        let near: Vec<HostId> = (0..self.hosts.len()).map(id).collect();
        self.hosts[at] = fresh(id(at), &near, upstreams, self.now);
    }

    /// Lets time pass, with the directory answering, and carries questions and answers.
    fn pass(&mut self, ms: u64, store: DirectoryState) {
        for _ in 0..ms / 50 {
            self.now += 50;
            let now = Millis(self.now);
            for at in 0..self.hosts.len() {
                self.hosts[at].set_directory_state(now, store);
                self.hosts[at].tick(now);
                for (to, tokens) in self.hosts[at].take_token_queries() {
                    let answer = self.hosts[to.0 as usize - 1].answer_token_query(now, &tokens);
                    self.hosts[at].apply_token_owners(now, &answer);
                }
            }
        }
    }

    fn send(&mut self, at: usize, seg: &Segment) -> Verdict {
        self.hosts[at].handle_packet(Millis(self.now), seg)
    }
}

fn fresh(me: HostId, near: &[HostId], upstreams: &[Announcement], now: u64) -> DirectHost {
    let mut cfg = settings(NEAR);
    cfg.host = me;
    let mut host = DirectHost::new(cfg);
    host.set_directory_state(Millis(now), DirectoryState::Available);
    host.set_hosts(near.to_vec());
    host.set_zone_peers(near.to_vec());
    let mut all = vec![routing(1, vec![route(SERVICE, "feed")])];
    all.extend(upstreams.iter().cloned().map(DirectoryUpdate::Upstream));
    host.apply_listing(Millis(now), &all);
    host
}

const STRANGE: Token = Token(0x1234_5678);

fn question(number: u32, token: Token) -> Segment {
    data(flow(number), token, 1, 100, 60)
}

/// Seen in sweeps to 301 hosts, where announcements came more than 4 s late.
#[test]
fn a_token_that_nobody_knows_is_never_given_up() {
    for store in [DirectoryState::Available, DirectoryState::Unavailable] {
        let mut zone = Zone::new(5, &[said(1, NEAR)]);
        zone.pass(5_000, DirectoryState::Available);
        for _ in 0..30 {
            for at in 0..5 {
                assert_eq!(zone.send(at, &question(at as u32, STRANGE)), Verdict::Drop);
            }
            zone.pass(1_000, store);
        }
        assert!(zone.hosts.iter_mut().all(|it| it.take_resets().is_empty()));
    }
}

#[test]
fn a_host_that_started_learns_of_an_upstream_that_is_no_longer_announced() {
    for restarted in 0..4 {
        let mut zone = Zone::new(4, &[said(1, NEAR), said(2, NEAR)]);
        let at = if restarted == 0 { 1 } else { 0 };
        let now = Millis(zone.now);
        let number = (0..100).find(|it| opened(&mut zone.hosts[at], now, flow(*it)).0 == 1);
        let number = number.expect("one of them");
        for it in &mut zone.hosts {
            it.apply_update(now, &DirectoryUpdate::UpstreamRemoved(1));
        }
        zone.pass(3_000, DirectoryState::Available);
        zone.restart(restarted, &[said(2, NEAR)]);
        let seg = question(number, Token::of(key(1)));
        assert_eq!(zone.send(restarted, &seg), Verdict::Drop);
        zone.pass(300, DirectoryState::Available);
        let to = sent_to(zone.send(restarted, &seg)).map(|it| it.0);
        assert_eq!(to, Some(1), "host {restarted}");
        // It is not for new flows.
        let view = zone.hosts[restarted].view(Millis(zone.now));
        let it = view.upstreams.iter().find(|it| it.upstream.ends_with('1')).unwrap();
        assert_eq!(it.ineligible, Some(IneligibleReason::Lapsed));
        let fresh = zone.send(restarted, &open(flow(900), 0));
        assert_eq!(sent_to(fresh).map(|it| it.0), Some(2));
    }
}

#[test]
fn an_upstream_that_is_announced_late_keeps_its_flows() {
    let mut zone = Zone::new(1, &[said(1, NEAR)]);
    zone.pass(5_000, DirectoryState::Available);
    let seg = question(3, Token::of(key(9)));
    assert_eq!(zone.send(0, &seg), Verdict::Drop);
    zone.pass(3_000, DirectoryState::Available);
    let now = Millis(zone.now);
    zone.hosts[0].apply_update(now, &DirectoryUpdate::Upstream(said(9, NEAR)));
    zone.pass(5_000, DirectoryState::Available);
    assert_eq!(zone.hosts[0].take_resets(), vec![]);
    assert_eq!(sent_to(zone.send(0, &seg)).map(|it| it.0), Some(9));
}

#[test]
fn an_upstream_that_came_back_as_another_start_has_no_old_flows() {
    let mut zone = Zone::new(2, &[said(1, NEAR)]);
    let old = Token::of(key(1));
    let mut reborn = said(1, NEAR);
    reborn.key.started_at += 5_000;
    let now = Millis(zone.now);
    zone.hosts[0].apply_update(now, &DirectoryUpdate::Upstream(reborn.clone()));
    zone.restart(1, &[reborn]);
    assert_eq!(zone.send(1, &question(4, old)), Verdict::Drop);
    zone.pass(300, DirectoryState::Available);
    assert!(matches!(zone.send(1, &question(4, old)), Verdict::Reset(_)));
}

/// Two hosts of one zone and one of another.
fn two_zones(upstreams: &[Announcement]) -> Zone {
    let mut zone = Zone::new(3, upstreams);
    for at in 0..2 {
        zone.hosts[at].set_zone_peers(vec![id(0), id(1)]);
    }
    zone.hosts[2].set_zone_peers(vec![id(2)]);
    zone
}

#[test]
fn a_zone_whose_hosts_all_started_anew_learns_from_another_zone_what_has_ended() {
    let mut zone = two_zones(&[said(1, NEAR)]);
    let old = Token::of(key(1));
    let mut reborn = said(1, NEAR);
    reborn.key.started_at += 5_000;
    let now = Millis(zone.now);
    zone.hosts[2].apply_update(now, &DirectoryUpdate::Upstream(reborn.clone()));
    for at in 0..2 {
        zone.restart(at, &[reborn.clone()]);
        zone.hosts[at].set_zone_peers(vec![id(0), id(1)]);
    }
    assert_eq!(zone.send(0, &question(4, old)), Verdict::Drop);
    zone.pass(700, DirectoryState::Available);
    assert_eq!(zone.hosts[0].take_resets().len(), 1);
}

/// What one host wrongly takes for unreachable must not be reset by others that only lag.
#[test]
fn what_another_host_does_not_reach_is_not_taken_as_unreachable() {
    let mut zone = two_zones(&[said(1, NEAR), said(2, NEAR)]);
    let token = Token::of(key(1));
    zone.send(2, &question(7, token));
    zone.now += 200;
    zone.send(2, &question(7, token));
    zone.hosts[2].apply_probe_result(Millis(zone.now), key(1), ProbeResult::NoResponse);
    for at in 0..2 {
        zone.restart(at, &[said(2, NEAR)]);
        zone.hosts[at].set_zone_peers(vec![id(0), id(1)]);
    }
    assert_eq!(zone.send(0, &question(8, token)), Verdict::Drop);
    zone.pass(700, DirectoryState::Available);
    assert_eq!(zone.hosts[0].take_resets(), vec![]);
    assert_eq!(sent_to(zone.send(0, &question(8, token))).map(|it| it.0), Some(1));
}

#[test]
fn packets_with_any_tokens_fill_neither_memory_nor_the_links() {
    let mut zone = Zone::new(1, &[said(1, NEAR)]);
    zone.hosts[0].set_zone_peers((0..30).map(id).collect());
    for number in 0..50_000u32 {
        zone.send(0, &question(number, Token(number.wrapping_mul(2_654_435_761) | 1)));
    }
    zone.hosts[0].tick(Millis(zone.now + 300));
    let asked: usize = zone.hosts[0].take_token_queries().iter().map(|it| it.1.len()).sum();
    assert!(asked <= 8 * 30, "{asked} tokens asked for at once");
}
