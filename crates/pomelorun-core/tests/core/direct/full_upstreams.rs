//! An upstream without room for another flow is not taken for a dead one: its open flows go on.

use std::collections::VecDeque;

use pomelorun_core::{
    Millis,
    direct::{
        ConnectAttempt, DirectHost, DirectoryUpdate, Disabled, FleetMsg, LivenessMessage,
        LivenessQuery, LivenessReply, Mechanism, ProbeKind, ProbeResult, Reachability, Segment,
        SegmentKind, Token, UpstreamKey, Verdict, conclude_connect,
    },
};
use pomelorun_wire::{HostId, ZoneId, encode};

use crate::direct::{
    fixtures::{
        LOCAL_HOST, LOCAL_ZONE, REMOTE_ZONE, announcement, data_segment, flow, host, key,
        open_flow, open_segment, serving_host, settings,
    },
    simulation::{Health, OutlierScope, Simulation, SimulationConfig},
};

/// Callers that open a flow for every eight requests, so that openings go to all upstreams while requests
/// run on open flows.
const MIXED_FLOWS: SimulationConfig = SimulationConfig {
    zones: 3,
    hosts_per_zone: 3,
    upstreams_per_zone: 5,
    callers_per_zone: 40,
    max_think_ms: 300,
    max_work_ms: 30,
    loss_one_in: 0,
    outlier_scope: OutlierScope::PerZone,
    flow_requests: 8,
    max_pause_ms: 100,
};
const SEEDS: u64 = 10;
/// Fewer, because an overloaded simulation is slow.
const OVERLOAD_SEEDS: u64 = 3;
const FAULT_START_MS: u64 = 5_000;
const FAULT_DURATION_MS: u64 = 5_000;
const PROBE_TIMEOUT: u64 = 150;

/// Returns a host with three upstreams that knows how long openings take, and its flows at upstream 1.
fn host_with_flows() -> (DirectHost, Vec<Token>) {
    let mut host = serving_host(&[
        announcement(1, LOCAL_ZONE),
        announcement(2, LOCAL_ZONE),
        announcement(3, LOCAL_ZONE),
    ]);
    let mut tokens = Vec::new();
    for number in 0..30 {
        let (id, token) = open_flow(&mut host, Millis(500), flow(number));
        if id == 1 {
            tokens.push(token);
        }
    }
    assert!(tokens.len() >= 4);
    host.take_events().clear();
    (host, tokens)
}

/// Opens flows until one is overdue at upstream 1, and returns when its probe was sent.
fn suspect_by_opening(host: &mut DirectHost, from: u64) -> u64 {
    for number in 0..60 {
        let now = from + u64::from(number);
        host.handle_packet(Millis(now), &open_segment(flow(5_000 + from as u32 + number), 0));
    }
    while let Some(due) = host.next_opening_retry() {
        host.retry_openings(due);
        if host.take_probes().iter().any(|it| it.upstream == key(1)) {
            return due.0;
        }
    }
    panic!("no opening at upstream 1 is overdue")
}

#[test]
fn overdue_openings_and_a_silent_probe_reset_no_open_flow() {
    let (mut host, _) = host_with_flows();
    let mut probed_at = suspect_by_opening(&mut host, 1_000);
    for _ in 0..10 {
        let now = probed_at + PROBE_TIMEOUT;
        host.apply_probe_result(Millis(now), key(1), ProbeResult::NoResponse);
        assert_eq!(host.take_resets(), vec![]);
        // The probe is repeated until there is more evidence.
        let due = (now..).step_by(50).find(|now| {
            host.tick(Millis(*now));
            host.take_probes().iter().any(|it| it.upstream == key(1)) || *now > 60_000
        });
        probed_at = due.unwrap_or_default();
        assert!(probed_at < 60_000, "the probe is not repeated");
        let ix = host.registry().by_id(1).unwrap();
        assert_eq!(host.reachability(ix), Reachability::Suspect, "gets no new flows meanwhile");
    }
    assert_eq!(host.stats().unreachable, 0);
}

#[test]
fn response_during_a_silent_probe_outweighs_it() {
    let (mut host, _) = host_with_flows();
    let token = Token::of(key(1));
    let (waiting, answered) = (flow(901), flow(902));
    for it in [waiting, answered] {
        host.handle_packet(Millis(1_000), &data_segment(it, token, 1, 100, 50));
    }
    host.handle_packet(Millis(1_200), &data_segment(waiting, token, 1, 100, 50));
    assert_eq!(host.take_probes().len(), 1);
    host.handle_packet(Millis(1_250), &data_segment(answered, token, 51, 300, 50));
    host.handle_packet(Millis(1_340), &data_segment(flow(903), token, 1, 100, 50));
    // A request that is newer than the response has waited for a moment only.
    host.handle_packet(Millis(1_348), &data_segment(waiting, token, 1, 100, 50));
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    assert_eq!(host.take_resets(), vec![]);
}

#[test]
fn no_flow_of_a_full_upstream_is_reset() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(MIXED_FLOWS, seed);
        simulation.run_until(FAULT_START_MS);
        for id in [2, 7, 12] {
            simulation.set_health(id, Health::Saturated);
        }
        simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
        assert_eq!(simulation.counts.resets, 0, "seed {seed}");
        assert_eq!(simulation.counts.expired, 0, "seed {seed}");
    }
}

const PEER: HostId = HostId(2);

/// Returns a host whose request at upstream 1 waits since 1,000 ms and was sent again after 200 ms, with
/// the query that it sends its peers meanwhile.
fn host_with_late_request(peers: Vec<HostId>) -> (DirectHost, Vec<(HostId, LivenessQuery)>) {
    let mut host = host_with_flows().0;
    host.set_zone_peers(peers);
    for at in [1_000, 1_200] {
        host.handle_packet(Millis(at), &data_segment(flow(900), Token::of(key(1)), 1, 100, 50));
    }
    assert_eq!(host.take_probes().len(), 1);
    host.tick(Millis(1_250));
    let queries = queries(&mut host);
    (host, queries)
}

fn queries(host: &mut DirectHost) -> Vec<(HostId, LivenessQuery)> {
    let messages = host.take_liveness_messages().into_iter();
    messages
        .filter_map(|(to, it)| match it {
            LivenessMessage::Query(it) => Some((to, it)),
            LivenessMessage::Reply(_) => None,
        })
        .collect()
}

/// Returns another host of the zone that has seen a response of upstream 1 at `answered`.
fn peer_answered_at(answered: u64) -> DirectHost {
    let mut peer = host(&[announcement(1, LOCAL_ZONE)]);
    let token = Token::of(key(1));
    for (at, ack) in [(answered - 50, 100), (answered, 200)] {
        peer.handle_packet(Millis(at), &data_segment(flow(7), token, 1, ack, 50));
    }
    peer
}

#[test]
fn upstream_that_serves_another_host_is_kept_and_given_up_once_it_stops() {
    let (mut host, asked) = host_with_late_request(vec![PEER]);
    assert_eq!(asked.len(), 1);
    assert_eq!((asked[0].0, &asked[0].1.tokens), (PEER, &vec![Token::of(key(1))]));
    let mut peer = peer_answered_at(1_180);
    host.apply_liveness_reply(PEER, &peer.answer_liveness_query(Millis(1_252), &asked[0].1));
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    assert_eq!(host.take_resets(), vec![]);
    assert_eq!((host.stats().kept, host.stats().kept_by_peers), (1, 1));
    // The probe is repeated at the next timer event, and nothing has responded since.
    host.tick(Millis(1_360));
    assert_eq!(host.take_probes().len(), 1);
    host.tick(Millis(1_410));
    let asked = queries(&mut host);
    host.apply_liveness_reply(PEER, &peer.answer_liveness_query(Millis(1_412), &asked[0].1));
    host.apply_probe_result(Millis(1_510), key(1), ProbeResult::NoResponse);
    assert!(!host.take_resets().is_empty());
}

#[test]
fn peers_without_a_response_do_not_delay_the_verdict() {
    let (mut host, asked) = host_with_late_request(vec![PEER]);
    let mut peer = peer_answered_at(1_010);
    host.apply_liveness_reply(PEER, &peer.answer_liveness_query(Millis(1_252), &asked[0].1));
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    assert!(!host.take_resets().is_empty());
}

#[test]
fn peers_that_do_not_reply_delay_the_verdict_by_one_probe() {
    let (mut host, _) = host_with_late_request(vec![PEER]);
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    assert_eq!(host.take_resets(), vec![]);
    host.tick(Millis(1_360));
    assert_eq!(host.take_probes().len(), 1);
    host.tick(Millis(1_410));
    host.apply_probe_result(Millis(1_510), key(1), ProbeResult::NoResponse);
    assert!(!host.take_resets().is_empty());
}

#[test]
fn replies_count_once_and_only_from_hosts_that_were_asked() {
    let peers: Vec<HostId> = (2..6).map(HostId).collect();
    let (mut host, asked) = host_with_late_request(peers);
    assert_eq!(asked.len(), 4);
    let reply = LivenessReply { seq: asked[0].1.seq, responses: vec![] };
    let told = LivenessReply { responses: vec![(Token::of(key(1)), 0)], ..reply.clone() };
    host.apply_liveness_reply(HostId(99), &told);
    for _ in 0..4 {
        host.apply_liveness_reply(PEER, &reply);
    }
    host.apply_liveness_reply(PEER, &told);
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    assert_eq!(host.take_resets(), vec![], "one of four hosts has replied");
    assert_eq!(host.stats().kept_by_peers, 0);
}

#[test]
fn flows_of_an_upstream_at_its_limit_of_connections_are_kept() {
    let mut host = host_with_flows().0;
    host.set_zone_peers(vec![PEER]);
    let requests = [flow(900), flow(901)].map(|it| data_segment(it, Token::of(key(1)), 1, 100, 50));
    let mut probes = 0;
    // Its requests wait for seconds, and no other host tells of a response.
    for now in (1_000..6_000).step_by(50) {
        host.tick(Millis(now));
        if now % 200 == 0 {
            for it in &requests {
                host.handle_packet(Millis(now), it);
            }
        }
        for _ in host.take_probes().iter().filter(|it| it.upstream == key(1)) {
            probes += 1;
            let result = conclude_connect([ConnectAttempt::Reset; 2], None, Millis(1));
            host.apply_probe_result(Millis(now + 1), key(1), result);
        }
        let ix = host.registry().by_id(1).unwrap();
        let expected = if probes == 0 { Reachability::Answering } else { Reachability::Suspect };
        assert_eq!(host.reachability(ix), expected, "gets no new flows, at {now} ms");
    }
    assert!((5..=20).contains(&probes), "{probes} probes in 5 s");
    assert_eq!(host.take_resets(), vec![]);
    assert_eq!(host.stats().kept, probes);
}

#[test]
fn refused_connection_is_sufficient_evidence_at_once() {
    let (mut host, tokens) = host_with_flows();
    host.set_zone_peers(vec![PEER]);
    let probed_at = suspect_by_opening(&mut host, 1_000);
    host.apply_probe_result(Millis(probed_at + 1), key(1), ProbeResult::Refused);
    assert_eq!(host.take_resets().len(), tokens.len());
}

/// Has upstream 2 answer twenty requests, two at a time and without a queue.
fn record_service_time(host: &mut DirectHost, service_ms: u64) {
    let token = Token::of(key(2));
    for number in 0..20u32 {
        let (flow, start) = (flow(1_000 + number), u64::from(number / 2) * service_ms);
        host.handle_packet(Millis(start), &data_segment(flow, token, 1, 100, 0));
        host.handle_packet(Millis(start), &data_segment(flow, token, 1, 100, 50));
        if number % 2 == 1 {
            for it in [number - 1, number] {
                let answered = data_segment(self::flow(1_000 + it), token, 51, 200, 0);
                host.handle_packet(Millis(start + service_ms), &answered);
            }
        }
    }
}

#[test]
fn request_counts_only_once_it_has_waited_longer_than_usual() {
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    record_service_time(&mut host, 100);
    let token = Token::of(key(1));
    // Answers take 500 ms, since the queue is full.
    for number in 0..40 {
        let at = 1_000 + 10 * u64::from(number);
        host.handle_packet(Millis(at), &data_segment(flow(number), token, 1, 100, 0));
        host.handle_packet(Millis(at), &data_segment(flow(number), token, 1, 100, 50));
    }
    for number in 0..40 {
        let at = 1_500 + 10 * u64::from(number);
        host.handle_packet(Millis(at), &data_segment(flow(number), token, 51, 200, 0));
    }
    for at in [2_000, 2_200] {
        host.handle_packet(Millis(at), &data_segment(flow(50), token, 1, 100, 50));
    }
    assert_eq!(host.take_probes().len(), 1);
    host.apply_probe_result(Millis(2_350), key(1), ProbeResult::NoResponse);
    assert_eq!(host.take_resets(), vec![]);
    // The next probe ends after the usual 500 ms, and the margin of 20 ms.
    host.tick(Millis(2_400));
    assert_eq!(host.take_probes().len(), 1);
    host.apply_probe_result(Millis(2_550), key(1), ProbeResult::NoResponse);
    assert!(!host.take_resets().is_empty());
}

#[test]
fn without_the_rule_for_evidence_a_silent_probe_is_a_verdict() {
    let (mut host, tokens) = host_with_flows();
    let mut cfg = settings(LOCAL_ZONE);
    cfg.disabled = Disabled::new(vec![Mechanism::VerdictEvidence]);
    host.update_settings(cfg);
    let probed_at = suspect_by_opening(&mut host, 1_000);
    let now = Millis(probed_at + PROBE_TIMEOUT);
    host.apply_probe_result(now, key(1), ProbeResult::NoResponse);
    assert_eq!(host.take_resets().len(), tokens.len());
}

#[test]
fn queries_are_bounded_in_number_and_size() {
    let upstreams: Vec<_> = (1..=200).map(|it| announcement(it, LOCAL_ZONE)).collect();
    let mut host = host(&upstreams);
    host.set_zone_peers((2..=100).map(HostId).collect());
    let (mut sent, mut hosts, mut probes) = (0, Vec::new(), VecDeque::new());
    for step in 0..200u64 {
        let now = 1_000 + 50 * step;
        for id in 1..=200 {
            let request = data_segment(flow(id as u32), Token::of(key(id)), 1, 100, 50);
            host.handle_packet(Millis(now), &request);
        }
        host.tick(Millis(now));
        probes.extend(host.take_probes().into_iter().map(|it| (now + PROBE_TIMEOUT, it.upstream)));
        while let Some((_, upstream)) = probes.pop_front_if(|it| it.0 <= now) {
            host.apply_probe_result(Millis(now), upstream, ProbeResult::NoResponse);
        }
        for (to, query) in queries(&mut host) {
            assert_ne!(to, LOCAL_HOST);
            let responses = query.tokens.iter().map(|it| (*it, 0)).collect();
            let reply = LivenessReply { seq: query.seq, responses };
            host.apply_liveness_reply(to, &reply);
            assert!(encode(&FleetMsg::LivenessQuery(query)).unwrap().len() < 1_200);
            assert!(encode(&FleetMsg::LivenessReply(reply)).unwrap().len() < 1_200);
            hosts.push(to);
            sent += 1;
        }
    }
    hosts.sort_unstable();
    hosts.dedup();
    assert_eq!(hosts.len(), 99, "all hosts of a large zone are asked in turn");
    assert!(sent <= 16 * (8 + 6 * 10), "{sent} messages in ten seconds");
}

#[test]
fn no_flow_is_reset_while_half_of_the_upstreams_are_full_and_all_have_long_queues() {
    // The callers could send about three times as many requests as the upstreams serve.
    let cfg = SimulationConfig {
        callers_per_zone: 300,
        max_think_ms: 100,
        flow_requests: 10,
        ..MIXED_FLOWS
    };
    let (mut resets_without, mut late, mut late_without) = (0, 0, 0);
    for seed in 0..OVERLOAD_SEEDS {
        let run = |disabled: Disabled| {
            let mut simulation = Simulation::without(disabled, cfg, seed);
            simulation.run_until(FAULT_START_MS);
            for id in 1..=7 {
                simulation.set_health(id, Health::Saturated);
            }
            simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
            simulation.counts
        };
        let with = run(Disabled::default());
        let without = run(Disabled::new(vec![Mechanism::VerdictEvidence]));
        assert_eq!((with.resets, with.expired), (0, 0), "seed {seed}");
        resets_without += without.resets;
        late += with.late_openings;
        late_without += without.late_openings;
    }
    assert!(resets_without > 0, "the load shows nothing");
    assert!(late <= late_without, "{late} openings are late, {late_without} without the rule");
}

/// Hosts of a zone whose upstreams accept no flows.
struct SilentZone {
    host: DirectHost,
    peer: DirectHost,
    upstreams: Vec<u64>,
    /// Upstream of each idle flow.
    flows: Vec<u64>,
    probes: VecDeque<(u64, UpstreamKey)>,
    resets: usize,
    /// Number of probes that had no response.
    silent_probes: usize,
    /// Upstreams that leave probes without a response, and those that answer the peer's requests.
    silent: Vec<u64>,
    answering_peer: Vec<u64>,
    /// Upstreams that answer this host's requests.
    answering: Vec<u64>,
}

impl SilentZone {
    fn new(upstreams: &[(u64, ZoneId)]) -> SilentZone {
        let all: Vec<_> = upstreams.iter().map(|it| announcement(it.0, it.1)).collect();
        let mut first = host(&all);
        let open = |it| open_flow(&mut first, Millis(500), flow(it)).0;
        let flows = (0..60).map(open).collect();
        first.set_zone_peers(vec![PEER]);
        SilentZone {
            host: first,
            peer: host(&all),
            upstreams: upstreams.iter().map(|it| it.0).collect(),
            flows,
            probes: VecDeque::new(),
            resets: 0,
            silent_probes: 0,
            silent: Vec::new(),
            answering_peer: Vec::new(),
            answering: Vec::new(),
        }
    }

    /// Runs timer events, probes and queries, with an opening every 10 ms, from 1,000 ms on, and returns
    /// when the first opening was rejected.
    fn run(&mut self, until: u64) -> Option<u64> {
        let mut rejected = None;
        for now in (1_000..until).step_by(10) {
            let verdict =
                self.host.handle_packet(Millis(now), &open_segment(flow(now as u32 + 5_000), 0));
            if let Verdict::Forward { id, token, .. } = verdict
                && !self.silent.contains(&id)
            {
                let accepted = data_segment(flow(now as u32 + 5_000), token, 1, 100, 0);
                self.host.handle_packet(Millis(now + 3), &accepted);
            }
            if matches!(verdict, Verdict::Reset(_)) {
                rejected = rejected.or(Some(now));
            }
            for &id in self.answering.iter().filter(|_| now % 100 == 0) {
                let step = (now / 100) as u32;
                let it = data_segment(flow(900 + id as u32), Token::of(key(id)), step, step, 50);
                self.host.handle_packet(Millis(now), &it);
            }
            for &id in &self.answering_peer {
                let step = (now / 10) as u32;
                let it = data_segment(flow(id as u32), Token::of(key(id)), step, step, 50);
                self.peer.handle_packet(Millis(now), &it);
            }
            self.host.retry_openings(Millis(now + 5));
            if now % 50 == 0 {
                self.host.tick(Millis(now + 6));
            }
            for (_, query) in queries(&mut self.host) {
                let reply = self.peer.answer_liveness_query(Millis(now + 7), &query);
                self.host.apply_liveness_reply(PEER, &reply);
            }
            for it in self.host.take_probes() {
                if self.silent.contains(&it.upstream.id) {
                    self.probes.push_back((now + PROBE_TIMEOUT, it.upstream));
                } else {
                    self.host.apply_probe_result(
                        Millis(now + 8),
                        it.upstream,
                        ProbeResult::Answered,
                    );
                }
            }
            while let Some((_, it)) = self.probes.pop_front_if(|it| it.0 <= now) {
                self.silent_probes += 1;
                self.host.apply_probe_result(Millis(now + 9), it, ProbeResult::NoResponse);
            }
            self.resets += self.host.take_resets().len();
        }
        rejected
    }

    fn unreachable(&self) -> Vec<u64> {
        let is_unreachable = |it: &u64| {
            let ix = self.host.registry().by_id(*it).unwrap();
            matches!(self.host.reachability(ix), Reachability::Unreachable { .. })
        };
        self.upstreams.iter().copied().filter(is_unreachable).collect()
    }
}

#[test]
fn callers_of_a_silent_service_are_rejected_within_a_second_and_its_idle_flows_reset() {
    let mut zone = SilentZone::new(&[1, 2, 3, 4, 5, 6].map(|it| (it, LOCAL_ZONE)));
    zone.silent = zone.upstreams.clone();
    let rejected = zone.run(8_000);
    assert!(rejected.is_some_and(|it| it <= 2_000), "{rejected:?}");
    assert_eq!((zone.resets, zone.unreachable().len()), (60, 6));
}

#[test]
fn zone_that_is_cut_off_is_found_by_openings_and_its_idle_flows_reset() {
    let ids = [1, 2, 3, 4, 5, 6];
    let mut zone =
        SilentZone::new(&ids.map(|it| (it, if it <= 3 { LOCAL_ZONE } else { REMOTE_ZONE })));
    zone.silent = vec![4, 5, 6];
    zone.run(8_000);
    assert_eq!(zone.unreachable(), vec![4, 5, 6]);
    let lost = zone.flows.iter().filter(|it| **it > 3).count();
    assert!(lost > 0);
    assert_eq!(zone.resets, lost);
}

#[test]
fn full_upstreams_that_answer_another_host_get_openings_and_keep_their_flows() {
    let mut zone = SilentZone::new(&[1, 2, 3].map(|it| (it, LOCAL_ZONE)));
    zone.silent = zone.upstreams.clone();
    zone.answering_peer = zone.upstreams.clone();
    assert_eq!(zone.run(10_000), None);
    assert_eq!((zone.resets, zone.unreachable().len()), (0, 0));
}

/// Returns a host whose answers take 500 ms, and which has postponed its judgement of upstream 1 until
/// 2,520 ms.
fn host_with_postponed_judgement() -> DirectHost {
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    record_service_time(&mut host, 100);
    let token = Token::of(key(1));
    for (start, seq, ack, len) in [(1_000, 1, 100, 0), (1_000, 1, 100, 50), (1_500, 51, 200, 0)] {
        for number in 0..40 {
            let at = Millis(start + 10 * u64::from(number));
            host.handle_packet(at, &data_segment(flow(number), token, seq, ack, len));
        }
    }
    for at in [2_000, 2_200] {
        host.handle_packet(Millis(at), &data_segment(flow(50), token, 1, 100, 50));
    }
    assert_eq!(host.take_probes().len(), 1);
    host.apply_probe_result(Millis(2_380), key(1), ProbeResult::NoResponse);
    assert_eq!(host.take_resets(), vec![]);
    host
}

#[test]
fn judgement_is_repeated_with_a_new_probe_after_a_stall_of_this_host() {
    let mut host = host_with_postponed_judgement();
    host.tick(Millis(2_550));
    assert!(!host.take_resets().is_empty());
    let mut host = host_with_postponed_judgement();
    // Answers have arrived meanwhile, and are read after the timer event.
    host.tick(Millis(3_400));
    assert_eq!((host.take_resets().len(), host.take_probes().len()), (0, 1));
    let answered = data_segment(flow(50), Token::of(key(1)), 51, 200, 0);
    host.handle_packet(Millis(3_401), &answered);
    host.apply_probe_result(Millis(3_550), key(1), ProbeResult::NoResponse);
    assert_eq!(host.take_resets(), vec![]);
}

#[test]
fn openings_call_for_no_more_probes_than_the_backoff_allows() {
    let mut zone = SilentZone::new(&[1, 2, 3].map(|it| (it, LOCAL_ZONE)));
    zone.silent = zone.upstreams.clone();
    zone.answering_peer = zone.upstreams.clone();
    zone.run(11_000);
    assert!(zone.silent_probes <= 3 * 11, "{} probes in ten seconds", zone.silent_probes);
}

#[test]
fn answers_to_open_flows_do_not_end_the_backoff() {
    let mut zone = SilentZone::new(&[1, 2, 3].map(|it| (it, LOCAL_ZONE)));
    zone.silent = zone.upstreams.clone();
    zone.answering = zone.upstreams.clone();
    zone.run(11_000);
    assert!(zone.silent_probes <= 3 * 11, "{} probes in ten seconds", zone.silent_probes);
    assert_eq!(zone.resets, 0);
}

/// Runs a host whose requests on the given number of flows wait at upstream 1 while a peer's are answered,
/// and returns it with the time of the first reset. The callers close their flows after `given_up`.
fn run_cut_off(requests: u32, given_up: u64) -> (DirectHost, Option<u64>) {
    let mut host = host_with_flows().0;
    host.set_zone_peers(vec![PEER]);
    let token = Token::of(key(1));
    let mut in_flight = None;
    for now in (1_000..5_000).step_by(10) {
        if [1_000, 1_200, 1_600, 2_400, 4_000].contains(&now) && now < 1_000 + given_up {
            for number in 0..requests {
                let it = data_segment(flow(900 + number), token, 1, 100, 50);
                host.handle_packet(Millis(now), &it);
            }
        }
        if now == 1_000 + given_up {
            for number in 0..requests {
                let it = data_segment(flow(900 + number), token, 51, 100, 0);
                let it = Segment { kind: SegmentKind::Finish, ..it };
                host.handle_packet(Millis(now), &it);
            }
        }
        host.tick(Millis(now + 1));
        for (_, query) in queries(&mut host) {
            let responses = query.tokens.iter().map(|it| (*it, 0)).collect();
            host.apply_liveness_reply(PEER, &LivenessReply { seq: query.seq, responses });
        }
        if let Some(ended) = in_flight.take_if(|it| *it <= now) {
            host.apply_probe_result(Millis(ended), key(1), ProbeResult::NoResponse);
        }
        if host.take_probes().iter().any(|it| it.upstream == key(1)) {
            in_flight = Some(now + PROBE_TIMEOUT);
        }
        if !host.take_resets().is_empty() {
            return (host, Some(now));
        }
    }
    (host, None)
}

#[test]
fn flows_are_reset_at_a_host_whose_own_path_is_cut() {
    let (mut host, reset_at) = run_cut_off(2, 4_000);
    assert!(reset_at.is_some_and(|it| it <= 3_000), "{reset_at:?}");
    assert_eq!(host.take_peer_update().unreachable, vec![], "others reach the upstream");
}

#[test]
fn requests_that_their_callers_gave_up_show_no_cut_path() {
    assert_eq!(run_cut_off(1, 4_000).1, None, "one request may be slow");
    assert_eq!(run_cut_off(4, 500).1, None);
}

/// Returns `true` if a caller sends a request, or sends it again, this long after the first time.
fn is_transmission(after: u64) -> bool {
    [0, 200, 600, 1_400].contains(&after) || after > 1_400 && (after - 1_400).is_multiple_of(1_600)
}

/// Returns how long a request at upstream 1 waits until its flow is reset, after some answers that took
/// `service` each, one after another.
fn wait_until_reset(service: u64, answers: u32) -> u64 {
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    let token = Token::of(key(1));
    let mut now = 1_000;
    for number in 0..answers {
        host.handle_packet(Millis(now), &data_segment(flow(number), token, 1, 100, 0));
        host.handle_packet(Millis(now), &data_segment(flow(number), token, 1, 100, 50));
        now += service;
        host.handle_packet(Millis(now), &data_segment(flow(number), token, 51, 200, 0));
        now += 50;
    }
    let start = now.next_multiple_of(50);
    let mut in_flight = None;
    for now in (start..start + 20_000).step_by(10) {
        if is_transmission(now - start) {
            host.handle_packet(Millis(now), &data_segment(flow(900), token, 1, 100, 50));
        }
        if let Some(ended) = in_flight.take_if(|it| *it <= now) {
            host.apply_probe_result(Millis(ended), key(1), ProbeResult::NoResponse);
        }
        if now % 50 == 0 {
            host.tick(Millis(now));
        }
        if !host.take_probes().is_empty() {
            in_flight = Some(now + PROBE_TIMEOUT);
        }
        if !host.take_resets().is_empty() {
            return now - start;
        }
    }
    panic!("the upstream is not found")
}

#[test]
fn request_of_a_slow_service_counts_once_a_full_queue_would_have_served_it() {
    assert_eq!(wait_until_reset(10, 100), 350);
    assert_eq!(wait_until_reset(55, 100), 350);
    assert!((500..=600).contains(&wait_until_reset(100, 100)));
    assert!((1_500..=1_600).contains(&wait_until_reset(300, 100)));
}

// Guards against resets of flows whose requests wait for a second and more because answers take as long.
#[test]
fn request_of_a_service_whose_answers_take_over_a_second_is_not_given_up_after_a_second() {
    for answers in [8, 100] {
        let waited = wait_until_reset(1_500, answers);
        assert!((7_500..=7_600).contains(&waited), "{waited} ms after {answers} answers");
    }
}

/// Plays four callers that keep both slots of upstream 1 busy, so that answers take 600 ms, at a host that
/// gets the packets of their flows from 1,000 ms on, and returns the number of resets. Its probes stay in a
/// full accept queue.
fn resets_after_a_takeover(mut host: DirectHost) -> usize {
    const ANSWER_MS: u64 = 600;
    /// When each caller sends a request; the others follow as soon as they are answered.
    const SENT_MS: [u64; 4] = [404, 369, 104, 69];
    let token = Token::of(key(1));
    let (mut probes, mut resets) = (VecDeque::new(), 0);
    for now in 1_000..9_000 {
        for (caller, sent) in SENT_MS.into_iter().enumerate() {
            let (request, age) = ((now - sent) / ANSWER_MS, (now - sent) % ANSWER_MS);
            if [0, 200].contains(&age) {
                let (seq, ack) = (1 + 50 * request as u32, 100 + 100 * request as u32);
                let packet = data_segment(flow(caller as u32), token, seq, ack, 50);
                host.handle_packet(Millis(now), &packet);
            }
        }
        if now % 50 == 0 {
            host.tick(Millis(now));
        }
        for (_, query) in queries(&mut host) {
            let reply = LivenessReply { seq: query.seq, responses: vec![] };
            host.apply_liveness_reply(PEER, &reply);
        }
        probes.extend(host.take_probes().into_iter().map(|it| (now + PROBE_TIMEOUT, it.upstream)));
        while let Some((_, it)) = probes.pop_front_if(|it| it.0 <= now) {
            host.apply_probe_result(Millis(now), it, ProbeResult::NoResponse);
        }
        resets += host.take_resets().len();
    }
    resets
}

// Guards against resets of a full upstream's flows by a host that takes them over and has seen no answer.
#[test]
fn host_that_takes_flows_over_resets_none_of_a_full_upstream() {
    let upstreams = [announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)];
    assert_eq!(resets_after_a_takeover(host(&upstreams)), 0, "alone in its zone");
    let mut with_peer = host(&upstreams);
    with_peer.set_zone_peers(vec![PEER]);
    assert_eq!(resets_after_a_takeover(with_peer), 0, "its peer has no flow there");
    let mut serving = host(&upstreams);
    for number in 100..108 {
        for (at, seq, ack, len) in [(100, 1, 100, 0), (101, 1, 100, 50), (401, 51, 200, 0)] {
            let packet = data_segment(flow(number), Token::of(key(2)), seq, ack, len);
            serving.handle_packet(Millis(at), &packet);
        }
    }
    assert_eq!(resets_after_a_takeover(serving), 0, "it knows the time without a queue");
}

// Guards against resets of a full upstream's flows by a host that has passed them back to another one.
#[test]
fn request_whose_caller_sends_through_another_host_by_now_is_no_evidence() {
    const START: u64 = 4_000;
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    record_service_time(&mut host, 300);
    let request = data_segment(flow(900), Token::of(key(1)), 1, 100, 50);
    host.handle_packet(Millis(START), &Segment { len: 0, ..request });
    let mut probes = VecDeque::new();
    for now in (START..START + 5_000).step_by(10) {
        // The retransmission after 600 ms goes through another host, and so do the answer and what
        // follows. Only openings come here, which stay in the full accept queue like the probes.
        if [START, START + 200].contains(&now) {
            host.handle_packet(Millis(now), &request);
        }
        host.handle_packet(Millis(now), &open_segment(flow(now as u32), 0));
        host.retry_openings(Millis(now + 5));
        if now % 50 == 0 {
            host.tick(Millis(now));
        }
        for it in host.take_probes() {
            if it.upstream == key(1) {
                probes.push_back((now + PROBE_TIMEOUT, it.upstream));
            } else {
                host.apply_probe_result(Millis(now), it.upstream, ProbeResult::Answered);
            }
        }
        while let Some((_, it)) = probes.pop_front_if(|it| it.0 <= now) {
            host.apply_probe_result(Millis(now), it, ProbeResult::NoResponse);
        }
        assert_eq!(host.take_resets().len(), 0, "at {now} ms");
    }
}

/// Returns a host that has found upstream 1 unreachable at 1,350 ms.
fn host_with_verdict() -> DirectHost {
    let mut host = host_with_flows().0;
    for at in [1_000, 1_200] {
        host.handle_packet(Millis(at), &data_segment(flow(900), Token::of(key(1)), 1, 100, 50));
    }
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    assert!(!host.take_resets().is_empty());
    host.take_probes().clear();
    host
}

fn reachability(host: &DirectHost, id: u64) -> Reachability {
    host.reachability(host.registry().by_id(id).unwrap())
}

// Guards against resets of flows that another host has served since the path to their upstream was cut.
#[test]
fn old_verdict_resets_no_flow_and_a_response_ends_it() {
    let mut host = host_with_verdict();
    let request = data_segment(flow(901), Token::of(key(1)), 1, 100, 50);
    let verdict = host.handle_packet(Millis(1_400), &request);
    assert!(matches!(verdict, Verdict::Reset(_)), "{verdict:?}");
    // Identifying probes are inconclusive, since all slots are taken.
    for now in (1_400..8_000).step_by(50) {
        host.tick(Millis(now));
        for _ in host.take_probes() {
            host.apply_probe_result(Millis(now), key(1), ProbeResult::Inconclusive);
        }
    }
    let request = data_segment(flow(902), Token::of(key(1)), 1, 100, 50);
    let verdict = host.handle_packet(Millis(8_000), &request);
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
    assert!(matches!(reachability(&host, 1), Reachability::Unreachable { .. }));
    for number in 200..260 {
        assert_ne!(open_flow(&mut host, Millis(8_010), flow(number)).0, 1, "gets no new flows");
    }
    host.handle_packet(Millis(8_100), &data_segment(flow(902), Token::of(key(1)), 51, 300, 50));
    assert_eq!(reachability(&host, 1), Reachability::Answering);
    assert_eq!(host.take_resets(), vec![]);
}

#[test]
fn old_verdict_holds_while_the_upstream_is_not_announced() {
    let mut host = host_with_verdict();
    host.apply_update(Millis(4_000), &DirectoryUpdate::UpstreamRemoved(1));
    let request = data_segment(flow(902), Token::of(key(1)), 1, 100, 50);
    let verdict = host.handle_packet(Millis(8_000), &request);
    assert!(matches!(verdict, Verdict::Reset(_)), "{verdict:?}");
    host.apply_update(Millis(8_100), &DirectoryUpdate::Upstream(announcement(1, LOCAL_ZONE)));
    let request = data_segment(flow(903), Token::of(key(1)), 1, 100, 50);
    let verdict = host.handle_packet(Millis(8_200), &request);
    assert!(matches!(verdict, Verdict::Forward { .. }), "it announces itself again: {verdict:?}");
}

#[test]
fn old_verdict_is_renewed_by_new_evidence() {
    for result in [ProbeResult::NoResponse, ProbeResult::Refused] {
        let mut host = host_with_verdict();
        for at in [8_000, 8_200] {
            let request = data_segment(flow(902), Token::of(key(1)), 1, 100, 50);
            let verdict = host.handle_packet(Millis(at), &request);
            assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
        }
        assert_eq!(host.take_probes().len(), 1);
        host.apply_probe_result(Millis(8_350), key(1), result);
        assert_eq!(host.take_resets().len(), 1);
        let request = data_segment(flow(903), Token::of(key(1)), 1, 100, 50);
        let verdict = host.handle_packet(Millis(8_400), &request);
        assert!(matches!(verdict, Verdict::Reset(_)), "{verdict:?}");
    }
}

#[test]
fn accepted_connection_keeps_flows_and_calls_for_the_identifier() {
    let mut host = host_with_verdict();
    for at in [8_000, 8_200] {
        let request = data_segment(flow(902), Token::of(key(1)), 1, 100, 50);
        host.handle_packet(Millis(at), &request);
    }
    host.take_probes().clear();
    host.apply_probe_result(Millis(8_210), key(1), ProbeResult::Answered);
    assert!(matches!(reachability(&host, 1), Reachability::Unreachable { .. }));
    host.tick(Millis(8_250));
    let kinds: Vec<_> = host.take_probes().iter().map(|it| it.kind).collect();
    assert_eq!(kinds, [ProbeKind::Identify]);
    host.apply_probe_result(Millis(8_260), key(1), ProbeResult::Answered);
    assert_eq!(reachability(&host, 1), Reachability::Answering);
    assert_eq!(host.take_resets(), vec![]);
}

#[test]
fn lost_result_of_a_repeated_probe_is_replaced_by_another_probe() {
    let mut host = host_with_flows().0;
    let probed_at = suspect_by_opening(&mut host, 1_000);
    host.apply_probe_result(Millis(probed_at + PROBE_TIMEOUT), key(1), ProbeResult::NoResponse);
    let sent = (probed_at..probed_at + 6_000).step_by(50).filter(|now| {
        host.tick(Millis(*now));
        host.take_probes().iter().any(|it| it.upstream == key(1))
    });
    assert!(sent.count() >= 2);
}

#[test]
fn other_hosts_are_asked_before_a_late_probe_is_judged() {
    let mut host = host_with_flows().0;
    host.set_zone_peers(vec![PEER]);
    for at in [1_000, 1_200] {
        host.handle_packet(Millis(at), &data_segment(flow(900), Token::of(key(1)), 1, 100, 50));
    }
    host.apply_probe_result(Millis(1_420), key(1), ProbeResult::NoResponse);
    // The judgement that is due now ends the probe.
    host.tick(Millis(1_510));
    assert_eq!(queries(&mut host).len(), 1);
    assert_eq!(host.take_resets(), vec![]);
}

#[test]
fn evidence_is_dropped_when_its_mechanism_is_switched_off() {
    for mechanism in [Mechanism::VerdictEvidence, Mechanism::FailureDetection] {
        let mut host = host_with_flows().0;
        let probed_at = suspect_by_opening(&mut host, 1_000);
        let ended = probed_at + PROBE_TIMEOUT;
        host.apply_probe_result(Millis(ended), key(1), ProbeResult::NoResponse);
        let mut cfg = settings(LOCAL_ZONE);
        cfg.disabled = Disabled::new(vec![mechanism]);
        host.update_settings(cfg);
        host.take_probes().clear();
        for now in (ended..ended + 3_000).step_by(50) {
            host.tick(Millis(now));
        }
        assert_eq!(host.take_probes(), vec![], "{mechanism:?}");
        let ix = host.registry().by_id(1).unwrap();
        assert_eq!(host.reachability(ix), Reachability::Answering, "{mechanism:?}");
    }
}
