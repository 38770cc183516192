//! An upstream that starts again under its identifier while the directory can't tell: it is cold, in whichever
//! way the hosts learn of it.

use pomelorun_core::{
    Millis,
    direct::{
        DirectHost, DirectoryState, DirectoryUpdate, PeerUpdate, ProbeKind, ProbeResult,
        Reachability, Token,
    },
};
use pomelorun_wire::HostId;

use crate::direct::fixtures::{
    COLD_START_S, LOCAL_ZONE, REMOTE_ZONE, SERVICE, announcement, data_segment, flow, forwarded_to,
    key, open_flow, open_segment, route, routing, settings,
};

/// Limit on the flows opened in a second at a cold upstream, over all hosts: the slack, as the service
/// has no rate of its own.
const COLD_LIMIT: usize = 5;
/// The upstream that starts again.
const UPSTREAM: u64 = 1;
const STEP_MS: u64 = 10;

/// How the upstream is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Away {
    /// Its process ended, and connections are refused.
    Refusing,
    /// Its machine lost power, and nothing responds.
    Silent,
}

/// Hosts with seven upstreams, the first of which can be away.
struct Group {
    hosts: Vec<DirectHost>,
    now: u64,
    away: Option<Away>,
    next_flow: u32,
    /// When flows were opened at the upstream.
    opened: Vec<u64>,
    /// Openings whose callers wait for an answer: host, flow, when the first packet was sent.
    waiting: Vec<(usize, u32, u64)>,
}

impl Group {
    /// Starts up to three hosts, the first two of them in the same zone.
    fn start(directory: DirectoryState, count: usize) -> Group {
        let ids: Vec<HostId> = (1..=count as u64).map(HostId).collect();
        let zones = &[LOCAL_ZONE, LOCAL_ZONE, REMOTE_ZONE][..count];
        let mut hosts = Vec::new();
        for (at, &zone) in zones.iter().enumerate() {
            let mut cfg = settings(zone);
            cfg.host = ids[at];
            let mut host = DirectHost::new(cfg);
            let mut all = vec![routing(1, vec![route(SERVICE, "feed")])];
            all.extend((1..=7).map(|id| DirectoryUpdate::Upstream(announcement(id, zone))));
            host.set_directory_state(Millis(900), directory);
            host.set_hosts(Millis(0), ids.clone());
            host.set_zone_peers(
                (0..count).filter(|it| zones[*it] == zone).map(|it| ids[it]).collect(),
            );
            host.apply_listing(Millis(900), &all);
            hosts.push(host);
        }
        let (waiting, opened) = (Vec::new(), Vec::new());
        Group { hosts, now: 1_000, away: None, next_flow: 1, opened, waiting }
    }

    /// Lets time pass, with a new flow at one host in turn each step while `opens`.
    fn advance(&mut self, ms: u64, opens: bool) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            if opens {
                self.open();
            }
            self.answer_openings();
            for at in 0..self.hosts.len() {
                if self.now.is_multiple_of(50) {
                    self.hosts[at].tick(Millis(self.now));
                }
                self.answer_probes(at);
                self.deliver_updates(at);
                self.hosts[at].take_resets();
            }
        }
    }

    fn open(&mut self) {
        let at = self.next_flow as usize % self.hosts.len();
        let segment = open_segment(flow(self.next_flow), 0);
        let verdict = self.hosts[at].handle_packet(Millis(self.now), &segment);
        if forwarded_to(verdict).is_some_and(|it| it.0 == UPSTREAM) {
            if self.away.is_none() {
                self.opened.push(self.now);
            }
            self.waiting.push((at, self.next_flow, self.now));
        }
        self.next_flow += 1;
    }

    /// Has callers go on with flows that the upstream has accepted.
    fn answer_openings(&mut self) {
        if self.away.is_some() {
            return;
        }
        let (now, token) = (self.now, Token::of(key(UPSTREAM)));
        for (at, number, sent) in self.waiting.extract_if(.., |it| it.2 < now) {
            if now - sent < 50 {
                let it = data_segment(flow(number), token, 2, 100, 0);
                self.hosts[at].handle_packet(Millis(now), &it);
            }
        }
    }

    fn answer_probes(&mut self, at: usize) {
        for probe in self.hosts[at].take_probes() {
            let result = match (self.away.filter(|_| probe.upstream.id == UPSTREAM), probe.kind) {
                (None, _) => ProbeResult::Answered,
                (Some(Away::Refusing), ProbeKind::Connect) => ProbeResult::Refused,
                (Some(Away::Silent), ProbeKind::Connect) => ProbeResult::NoResponse,
                (Some(_), ProbeKind::Identify) => ProbeResult::Inconclusive,
            };
            self.hosts[at].apply_probe_result(Millis(self.now), probe.upstream, result);
        }
    }

    fn deliver_updates(&mut self, from: usize) {
        let zone_update = self.hosts[from].take_peer_update();
        let other_update = self.hosts[from].take_other_zones_update();
        for to in (0..self.hosts.len()).filter(|it| *it != from) {
            let is_same_zone = (from < 2) == (to < 2);
            let update = if is_same_zone { &zone_update } else { &other_update };
            self.hosts[to].apply_peer_update(Millis(self.now), update);
        }
    }

    /// Has the caller of a flow at the upstream retransmit its request, until the host has a verdict.
    fn retransmit_request(&mut self, at: usize) {
        let token = Token::of(key(UPSTREAM));
        let number = 50_000 + at as u32;
        for wait in [0, 200, 400] {
            self.advance(wait, false);
            let it = data_segment(flow(number), token, 2, 100, 50);
            self.hosts[at].handle_packet(Millis(self.now), &it);
        }
        self.advance(200, false);
    }

    fn reachability(&self, at: usize) -> Reachability {
        let ix = self.hosts[at].registry().by_id(UPSTREAM).unwrap();
        self.hosts[at].reachability(ix)
    }

    /// Returns the most flows that were opened at the upstream within a second since `from`.
    fn most_opened(&self, from: u64) -> usize {
        let since = |start: u64| {
            self.opened.iter().filter(|it| (start..start + 1_000).contains(*it)).count()
        };
        self.opened.iter().filter(|it| **it >= from).map(|it| since(*it)).max().unwrap_or(0)
    }
}

// Guards against a cold upstream that gets its full share of new flows: it answered a probe with the
// identifier that it had before its process ended (review/15).
#[test]
fn upstream_that_answers_after_a_refusal_is_cold_on_all_hosts() {
    for directory in [DirectoryState::Available, DirectoryState::Unavailable] {
        // Hosts of other zones learn of the next start from the directory while it is available.
        let hosts = if directory == DirectoryState::Available { 2 } else { 3 };
        let mut group = Group::start(directory, hosts);
        group.away = Some(Away::Refusing);
        group.retransmit_request(0);
        assert!(matches!(group.reachability(0), Reachability::Unreachable { .. }));
        group.advance(800, true);
        group.away = None;
        let back = group.now;
        group.advance(COLD_START_S * 1_000, true);
        let most = group.most_opened(back);
        assert!(most <= COLD_LIMIT, "{directory:?}: {most} flows in a second");
        group.advance(6_000, true);
        let warm = group.most_opened(group.now - 2_000);
        assert!(warm > COLD_LIMIT, "{directory:?}: {warm} flows in a second once it is warm");
    }
}

// Guards against the same after a silence: the machine of the upstream may have started again.
#[test]
fn upstream_that_answers_after_a_silence_is_cold_if_the_directory_cannot_tell() {
    for directory in [DirectoryState::Available, DirectoryState::Unavailable] {
        let mut group = Group::start(directory, 1);
        group.away = Some(Away::Silent);
        group.hosts[0].apply_peer_update(
            Millis(group.now),
            &PeerUpdate {
                unreachable: vec![(UPSTREAM, key(UPSTREAM).started_at, 500)],
                ..PeerUpdate::default()
            },
        );
        group.advance(1_000, true);
        if directory == DirectoryState::Available {
            group.hosts[0].confirm_directory(Millis(group.now));
        }
        group.away = None;
        let back = group.now;
        group.advance(COLD_START_S * 1_000, true);
        let most = group.most_opened(back);
        let is_cold = most <= COLD_LIMIT;
        assert_eq!(is_cold, directory == DirectoryState::Unavailable, "{most} flows in a second");
    }
}

// Guards against the same where only the question for the identifier is refused, after a silence.
#[test]
fn upstream_whose_identity_probe_was_refused_is_cold() {
    let mut group = Group::start(DirectoryState::Available, 1);
    let host = &mut group.hosts[0];
    let started_at = key(UPSTREAM).started_at;
    let unreachable = vec![(UPSTREAM, started_at, 500)];
    host.apply_peer_update(Millis(1_000), &PeerUpdate { unreachable, ..PeerUpdate::default() });
    host.apply_probe_result(Millis(1_500), key(UPSTREAM), ProbeResult::Refused);
    assert_eq!(host.take_peer_update().gone, vec![(UPSTREAM, started_at)]);
    group.now = 2_000;
    group.hosts[0].confirm_directory(Millis(group.now));
    group.hosts[0].apply_probe_result(Millis(group.now), key(UPSTREAM), ProbeResult::Answered);
    group.advance(COLD_START_S * 1_000, true);
    let most = group.most_opened(2_000);
    assert!(most <= COLD_LIMIT, "{most} flows in a second");
}

// Guards against an upstream that gets no flows for good: a response from before cleared the suspicion when a
// refusal arrived, so that nothing called for another probe.
#[test]
fn refusal_without_suspicion_calls_for_the_identifier() {
    // One of the two hosts does not own the cold upstream, so that no flow of its own shows that it is back.
    for at in 0..2 {
        let mut group = Group::start(DirectoryState::Available, 2);
        let host = &mut group.hosts[at];
        host.apply_probe_result(Millis(1_000), key(UPSTREAM), ProbeResult::Refused);
        assert_eq!(host.take_resets(), vec![], "no flow is reset for it");
        group.advance(COLD_START_S * 1_000, true);
        assert!(group.most_opened(0) <= COLD_LIMIT);
        assert_eq!(group.reachability(at), Reachability::Answering);
        group.advance(2_000, false);
        let now = Millis(group.now);
        let mut opened = (2_000..2_100).map(|it| open_flow(&mut group.hosts[at], now, flow(it)).0);
        assert!(opened.any(|it| it == UPSTREAM), "host {at} uses it once it is warm");
    }
}

#[test]
fn response_from_before_a_refusal_does_not_bring_an_upstream_back() {
    let mut group = Group::start(DirectoryState::Available, 2);
    let token = Token::of(key(UPSTREAM));
    group.away = Some(Away::Refusing);
    group.retransmit_request(0);
    let late = data_segment(flow(40_000), token, 2, 200, 0);
    group.hosts[0].handle_packet(Millis(group.now), &late);
    group.hosts[0]
        .handle_packet(Millis(group.now + 1), &data_segment(flow(40_000), token, 2, 300, 0));
    assert!(matches!(group.reachability(0), Reachability::Unreachable { .. }));
}

// Guards against a host that takes the upstream for warm because it started while the upstream was away.
#[test]
fn host_that_starts_while_an_upstream_is_gone_takes_it_for_cold() {
    let mut group = Group::start(DirectoryState::Unavailable, 2);
    group.away = Some(Away::Refusing);
    group.retransmit_request(0);
    let now = Millis(group.now);
    let listing: Vec<DirectoryUpdate> = group.hosts[0]
        .full_listing(now, 0)
        .into_iter()
        .filter_map(|it| group.hosts[1].decode_from_peer(it))
        .collect();
    let mut cfg = settings(LOCAL_ZONE);
    cfg.host = HostId(4);
    let mut started = DirectHost::new(cfg);
    started.set_hosts(now, vec![HostId(4)]);
    started.apply_listing(now, &[routing(1, vec![route(SERVICE, "feed")])]);
    started.apply_listing(now, &listing);
    let opened = (0..100).filter(|it| open_flow(&mut started, now, flow(*it)).0 == UPSTREAM);
    assert!(opened.count() <= COLD_LIMIT);
}

// Guards against resets of flows that were opened after an upstream started again and before the directory told.
#[test]
fn flows_opened_after_a_restart_outlive_its_announcement() {
    for is_moved in [false, true] {
        let mut group = Group::start(DirectoryState::Unavailable, 1);
        group.away = Some(Away::Refusing);
        group.retransmit_request(0);
        group.away = None;
        group.advance(6_000, true);
        let host = &mut group.hosts[0];
        let number = (1_000..2_000)
            .find(|it| open_flow(host, Millis(group.now), flow(*it)).0 == UPSTREAM)
            .expect("a flow at the upstream");
        let mut later = announcement(UPSTREAM, LOCAL_ZONE);
        later.key.started_at += 5_000;
        if is_moved {
            later.addr.set_port(9_999);
        }
        let now = Millis(group.now + 10);
        host.apply_update(now, &DirectoryUpdate::Upstream(later.clone()));
        let resets = host.take_resets().len();
        assert_eq!(resets > 0, is_moved, "{resets} resets");
        let segment = data_segment(flow(number), Token::of(key(UPSTREAM)), 2, 200, 50);
        let to = forwarded_to(host.handle_packet(now, &segment));
        assert_eq!(to.is_none(), is_moved);
        let new = (2_000..3_000).map(|it| open_flow(host, now, flow(it)));
        assert!(new.into_iter().any(|it| it == (UPSTREAM, Token::of(later.key))));
    }
}
