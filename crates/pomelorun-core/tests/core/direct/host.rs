//! Behavior of a single host: packet forwarding, directory updates, probes and resets.

use pomelorun_core::{
    Millis,
    direct::{
        DirectHost, DirectoryState, DirectoryUpdate, PeerUpdate, ProbeKind, ProbeResult,
        Reachability, Token, Verdict,
    },
};
use pomelorun_wire::{FlowKey, HostId, ServiceAddr};

use crate::direct::fixtures::{
    COLD_START_S, LOCAL_HOST, LOCAL_ZONE, REMOTE_ZONE, SERVICE, addr, announcement, data_segment,
    flow, forwarded_to, host, key, open_flow, open_segment, route, routing, serving_host, settings,
};

/// Maximum number of flows per second that a cold upstream may receive with these settings. A rule
/// of the platform sets this number.
const COLD_PER_S: usize = 5;

#[test]
fn retransmitted_opening_packet_goes_to_another_upstream() {
    let mut host = host(&[
        announcement(1, LOCAL_ZONE),
        announcement(2, LOCAL_ZONE),
        announcement(3, LOCAL_ZONE),
    ]);
    let first =
        forwarded_to(host.handle_packet(Millis(1_000), &open_segment(flow(1), 0))).unwrap().0;
    let second =
        forwarded_to(host.handle_packet(Millis(1_200), &open_segment(flow(1), 1))).unwrap().0;
    let third =
        forwarded_to(host.handle_packet(Millis(1_600), &open_segment(flow(1), 2))).unwrap().0;
    assert_ne!(first, second);
    assert!(third != first && third != second);
}

#[test]
fn opening_retransmissions_in_one_burst_reuse_the_upstream_and_start_no_probe() {
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    let first =
        forwarded_to(host.handle_packet(Millis(1_000), &open_segment(flow(1), 0))).unwrap().0;
    let second =
        forwarded_to(host.handle_packet(Millis(1_004), &open_segment(flow(1), 1))).unwrap().0;
    assert_eq!(first, second);
    assert!(host.take_probes().is_empty());
}

#[test]
fn new_flows_avoid_draining_removed_and_withdrawn_upstreams() {
    let mut host = host(&[
        announcement(1, LOCAL_ZONE),
        announcement(2, LOCAL_ZONE),
        announcement(3, LOCAL_ZONE),
        announcement(4, REMOTE_ZONE),
    ]);
    let mut draining_upstream = announcement(1, LOCAL_ZONE);
    draining_upstream.draining = true;
    host.apply_update(Millis(5_000), &DirectoryUpdate::Upstream(draining_upstream));
    host.apply_update(Millis(5_000), &DirectoryUpdate::UpstreamRemoved(2));
    for number in 0..40 {
        let id = open_flow(&mut host, Millis(5_010), flow(number)).0;
        assert!(id == 3 || id == 4, "{id}");
    }
    host.apply_update(Millis(5_020), &DirectoryUpdate::ZoneWithdrawn(LOCAL_ZONE));
    for number in 40..80 {
        assert_eq!(open_flow(&mut host, Millis(5_030), flow(number)).0, 4);
    }
}

#[test]
fn only_upstream_stays_eligible_for_two_seconds_after_it_lapsed() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    host.apply_update(Millis(1_000), &DirectoryUpdate::UpstreamRemoved(1));
    assert!(forwarded_to(host.handle_packet(Millis(2_900), &open_segment(flow(1), 0))).is_some());
    assert_eq!(forwarded_to(host.handle_packet(Millis(3_000), &open_segment(flow(2), 0))), None);
}

#[test]
fn upstreams_lapsed_during_a_directory_outage_stay_eligible_for_a_grace_period() {
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, REMOTE_ZONE)]);
    host.set_directory_state(Millis(1_000), DirectoryState::Unavailable);
    host.set_directory_state(Millis(9_000), DirectoryState::Available);
    host.apply_listing(Millis(9_000), &[DirectoryUpdate::Upstream(announcement(2, REMOTE_ZONE))]);
    assert_eq!(
        open_flow(&mut host, Millis(9_100), flow(1)).0,
        1,
        "the lapsed upstream of the own zone is still preferred"
    );
    assert_eq!(open_flow(&mut host, Millis(11_100), flow(2)).0, 2);
}

#[test]
fn older_routing_revision_is_ignored() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    host.apply_update(Millis(10), &routing(5, Vec::new()));
    host.apply_update(Millis(20), &routing(4, vec![route(SERVICE, "feed")]));
    assert_eq!(host.revision(), 5);
    let verdict = host.handle_packet(Millis(30), &open_segment(flow(1), 0));
    assert!(matches!(verdict, Verdict::Reset(_)));
}

#[test]
fn unknown_address_is_reset_with_a_current_revision_and_dropped_otherwise() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    host.apply_update(Millis(10), &routing(2, Vec::new()));
    assert!(matches!(host.handle_packet(Millis(20), &open_segment(flow(1), 0)), Verdict::Reset(_)));
    // The view is too old: the route may have been published since.
    assert_eq!(host.handle_packet(Millis(4_500), &open_segment(flow(2), 0)), Verdict::Drop);
    host.set_directory_state(Millis(4_600), DirectoryState::Available);
    assert!(matches!(
        host.handle_packet(Millis(4_610), &open_segment(flow(3), 0)),
        Verdict::Reset(_)
    ));
    host.set_directory_state(Millis(4_620), DirectoryState::Unavailable);
    assert_eq!(host.handle_packet(Millis(4_630), &open_segment(flow(4), 0)), Verdict::Drop);
}

#[test]
fn open_flows_survive_zone_withdrawal_and_draining() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    let (id, token) = open_flow(&mut host, Millis(10), flow(1));
    host.apply_update(Millis(20), &DirectoryUpdate::ZoneWithdrawn(LOCAL_ZONE));
    let mut draining_upstream = announcement(1, LOCAL_ZONE);
    draining_upstream.draining = true;
    host.apply_update(Millis(30), &DirectoryUpdate::Upstream(draining_upstream));
    let to = host.handle_packet(Millis(9_000), &data_segment(flow(1), token, 1, 200, 10));
    assert_eq!(forwarded_to(to), Some((id, token)));
    assert!(host.take_resets().is_empty());
}

#[test]
fn own_zone_is_preferred_until_its_upstreams_are_more_loaded() {
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, REMOTE_ZONE)]);
    let count_local = |host: &mut pomelorun_core::direct::DirectHost, from: u32, to: u32| {
        (from..to).filter(|it| open_flow(host, Millis(100), flow(*it)).0 == 1).count()
    };
    assert_eq!(count_local(&mut host, 0, 2), 2);
    let local_of_100 = count_local(&mut host, 2, 102);
    assert!((50..=60).contains(&local_of_100), "{local_of_100} of 100 flows in the own zone");
}

#[test]
fn cold_upstream_gets_flows_only_without_a_warm_one_and_within_its_rate_limit() {
    let mut cold = announcement(1, LOCAL_ZONE);
    cold.cold_left = Millis(60_000);
    let mut with_warm = host(&[cold.clone(), announcement(2, REMOTE_ZONE)]);
    for number in 0..200 {
        assert_eq!(open_flow(&mut with_warm, Millis(10 + u64::from(number)), flow(number)).0, 2);
    }
    let mut alone = host(&[cold]);
    let mut sent = Vec::new();
    for step in 0..500u64 {
        let now = Millis(100 + step * 20);
        if forwarded_to(alone.handle_packet(now, &open_segment(flow(step as u32), 0))).is_some() {
            sent.push(now.0);
        }
    }
    assert!(!sent.is_empty());
    for (at, start) in sent.iter().enumerate() {
        let within = sent[at..].iter().take_while(|it| **it < start + 1_000).count();
        assert!(within <= COLD_PER_S, "{within} in the second from {start}");
    }
}

#[test]
fn only_one_host_sends_new_flows_to_a_cold_upstream() {
    let mut cold = announcement(1, LOCAL_ZONE);
    cold.cold_left = Millis(60_000);
    let hosts: Vec<HostId> = (1..=7).map(HostId).collect();
    let mut owners = 0;
    for me in &hosts {
        let mut cfg = crate::direct::fixtures::settings(LOCAL_ZONE);
        cfg.host = *me;
        let mut host = pomelorun_core::direct::DirectHost::new(cfg);
        host.set_hosts(Millis(0), hosts.clone());
        let all =
            [routing(1, vec![route(SERVICE, "feed")]), DirectoryUpdate::Upstream(cold.clone())];
        host.apply_listing(Millis(0), &all);
        owners += usize::from(
            forwarded_to(host.handle_packet(Millis(10), &open_segment(flow(1), 0))).is_some(),
        );
    }
    assert_eq!(owners, 1);
}

#[test]
fn upstreams_of_a_restored_zone_stay_cold_for_two_announcements_and_the_cold_period() {
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, REMOTE_ZONE)]);
    host.apply_update(Millis(1_000), &DirectoryUpdate::ZoneWithdrawn(LOCAL_ZONE));
    host.apply_update(Millis(9_000), &DirectoryUpdate::ZoneRestored(LOCAL_ZONE));
    // Two announcement intervals, followed by the cold period after a start.
    let warm = 9_000 + 2 * 1_200 + COLD_START_S * 1_000;
    assert_eq!(open_flow(&mut host, Millis(warm - 10), flow(1)).0, 2);
    assert_eq!(open_flow(&mut host, Millis(warm + 10), flow(2)).0, 1);
}

/// Returns a host with four upstreams and its flows at upstream 1, two of which have sent data at
/// 1,000 ms that is not answered yet.
fn host_with_pending_requests()
-> (pomelorun_core::direct::DirectHost, Vec<(pomelorun_wire::FlowKey, Token)>) {
    let mut host = serving_host(&[
        announcement(1, LOCAL_ZONE),
        announcement(2, LOCAL_ZONE),
        announcement(3, LOCAL_ZONE),
        announcement(4, LOCAL_ZONE),
    ]);
    let mut flows = Vec::new();
    for number in 0..40 {
        let (id, token) = open_flow(&mut host, Millis(500), flow(number));
        if id == 1 {
            flows.push((flow(number), token));
        }
    }
    for (flow, token) in flows.iter().take(2) {
        host.handle_packet(Millis(1_000), &data_segment(*flow, *token, 1, 100, 50));
    }
    (host, flows)
}

#[test]
fn retransmission_makes_an_upstream_suspect_which_is_probed_once_and_gets_no_new_flows() {
    let (mut host, flows) = host_with_pending_requests();
    for (flow, token) in flows.iter().take(2) {
        host.handle_packet(Millis(1_200), &data_segment(*flow, *token, 1, 100, 50));
    }
    let probes = host.take_probes();
    assert_eq!(probes.len(), 1);
    assert_eq!((probes[0].upstream, probes[0].kind), (key(1), ProbeKind::Connect));
    for number in 100..140 {
        assert_ne!(open_flow(&mut host, Millis(1_210), flow(number)).0, 1);
    }
}

#[test]
fn suspect_upstream_that_answers_the_probe_keeps_its_flows() {
    let (mut host, flows) = host_with_pending_requests();
    let (flow, token) = flows[0];
    host.handle_packet(Millis(1_200), &data_segment(flow, token, 1, 100, 50));
    host.apply_probe_result(Millis(1_203), key(1), ProbeResult::Answered);
    assert!(host.take_resets().is_empty());
    // Callers still have no response: the next probe checks the identity of the upstream.
    host.handle_packet(Millis(1_600), &data_segment(flow, token, 1, 100, 50));
    host.take_probes().clear();
    host.handle_packet(Millis(2_400), &data_segment(flow, token, 1, 100, 50));
    let later = host.take_probes();
    assert!(later.iter().all(|it| it.kind == ProbeKind::Identify), "{later:?}");
}

#[test]
fn failed_probe_of_a_suspect_upstream_resets_all_its_flows_including_idle_ones() {
    let (mut host, flows) = host_with_pending_requests();
    host.handle_packet(Millis(1_200), &data_segment(flows[0].0, flows[0].1, 1, 100, 50));
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    let resets = host.take_resets();
    assert_eq!(resets.len(), flows.len());
    assert!(
        resets.iter().all(|it| it.seq == 100),
        "resets carry the sequence number that the callers expect"
    );
    assert_eq!(host.take_peer_update().unreachable.len(), 1);
    // The first packet at this host of a flow that another host forwarded before.
    let verdict =
        host.handle_packet(Millis(1_400), &data_segment(flow(900), flows[0].1, 7, 777, 50));
    let Verdict::Reset(reset) = verdict else { panic!("{verdict:?}") };
    assert_eq!(reset.seq, 777);
}

#[test]
fn response_between_packet_and_retransmission_prevents_suspicion() {
    let (mut host, flows) = host_with_pending_requests();
    // The second flow gets a response after the first flow sent its request, so the upstream is
    // alive and the packet of the first flow was lost.
    host.handle_packet(Millis(1_100), &data_segment(flows[1].0, flows[1].1, 51, 300, 0));
    host.handle_packet(Millis(1_200), &data_segment(flows[0].0, flows[0].1, 1, 100, 50));
    assert!(host.take_probes().is_empty());
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    assert!(host.take_resets().is_empty(), "a failed probe alone is not sufficient evidence");
}

#[test]
fn newly_started_host_resets_nothing_on_evidence_of_one_flow() {
    // Guards against a false reset: a newly started host treated retransmissions of a single flow
    // as sufficient evidence and reset the flow although the upstream was alive.
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    let token = Token::of(key(1));
    for at in [1_000, 1_200, 1_600, 2_400] {
        host.handle_packet(Millis(at), &data_segment(flow(1), token, 1, 100, 50));
    }
    host.apply_probe_result(Millis(2_403), key(1), ProbeResult::Answered);
    assert!(host.take_resets().is_empty());
}

#[test]
fn unreachable_upstream_recovers_only_after_an_identity_probe() {
    let (mut host, flows) = host_with_pending_requests();
    host.handle_packet(Millis(1_200), &data_segment(flows[0].0, flows[0].1, 1, 100, 50));
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    host.take_probes().clear();
    host.tick(Millis(1_900));
    let probes = host.take_probes();
    assert_eq!(probes.len(), 1);
    assert_eq!(probes[0].kind, ProbeKind::Identify);
    assert_eq!(probes[0].path, "/health");
    let mut recovered = host;
    recovered.apply_probe_result(Millis(1_910), key(1), ProbeResult::Answered);
    let ix = recovered.registry().by_id(1).unwrap();
    assert_eq!(recovered.reachability(ix), Reachability::Answering);
}

#[test]
fn identity_probe_answered_by_another_upstream_resets_flows() {
    // Guards against reuse of a failed upstream: a host used an unresponsive upstream again because
    // an upstream of another service, which had been given its address, accepted the connection of
    // the probe.
    let (mut host, flows) = host_with_pending_requests();
    host.handle_packet(Millis(1_200), &data_segment(flows[0].0, flows[0].1, 1, 100, 50));
    host.apply_probe_result(Millis(1_203), key(1), ProbeResult::Answered);
    host.handle_packet(Millis(2_000), &data_segment(flows[1].0, flows[1].1, 51, 100, 50));
    host.handle_packet(Millis(2_200), &data_segment(flows[1].0, flows[1].1, 51, 100, 50));
    host.apply_probe_result(Millis(2_210), key(1), ProbeResult::OtherUpstream);
    assert_eq!(host.take_resets().len(), flows.len());
    for number in 200..240 {
        assert_ne!(open_flow(&mut host, Millis(2_220), flow(number)).0, 1);
    }
}

#[test]
fn peer_update_resets_flows_unless_this_host_saw_a_later_response() {
    let (mut host, flows) = host_with_pending_requests();
    let update =
        PeerUpdate { unreachable: vec![(1, key(1).started_at, 350)], ..PeerUpdate::default() };
    let mut answered = self::host_with_pending_requests().0;
    answered.handle_packet(Millis(1_100), &data_segment(flows[0].0, flows[0].1, 51, 300, 0));
    answered.apply_peer_update(Millis(1_350), &update);
    assert!(
        answered.take_resets().is_empty(),
        "this host saw a response 250 ms ago, the peer reports none for 350 ms"
    );
    host.apply_peer_update(Millis(1_350), &update);
    assert_eq!(host.take_resets().len(), flows.len());
    assert!(host.take_peer_update().is_empty(), "updates from peers are not propagated further");
}

#[test]
fn unresponsive_remote_zone_is_probed_as_a_whole() {
    let near: Vec<_> = (1..=3).map(|it| announcement(it, LOCAL_ZONE)).collect();
    let far: Vec<_> = (11..=14).map(|it| announcement(it, REMOTE_ZONE)).collect();
    let mut host = serving_host(&[near, far].concat());
    let token = Token::of(key(11));
    host.handle_packet(Millis(900), &data_segment(flow(1), token, 1, 100, 0));
    host.handle_packet(Millis(1_000), &data_segment(flow(1), token, 1, 200, 50));
    host.handle_packet(Millis(1_200), &data_segment(flow(1), token, 1, 200, 50));
    host.take_probes().clear();
    host.apply_probe_result(Millis(1_350), key(11), ProbeResult::NoResponse);
    let mut probed: Vec<u64> = host.take_probes().iter().map(|it| it.upstream.id).collect();
    probed.sort_unstable();
    assert_eq!(probed, [12, 13, 14]);
    // The probe of upstream 12 succeeds, the probe of upstream 13 fails.
    host.apply_probe_result(Millis(1_352), key(12), ProbeResult::Answered);
    host.apply_probe_result(Millis(1_500), key(13), ProbeResult::NoResponse);
    let reachability = |id| host.reachability(host.registry().by_id(id).unwrap());
    assert_eq!(reachability(12), Reachability::Answering);
    assert!(matches!(reachability(13), Reachability::Unreachable { .. }));
}

#[test]
fn no_upstream_is_abandoned_while_most_of_the_own_zone_is_unresponsive() {
    // Guards against mistaking a local fault for failed upstreams: the link of the host was
    // saturated, and packets waited in its own queue.
    let mut host = serving_host(&[
        announcement(1, LOCAL_ZONE),
        announcement(2, LOCAL_ZONE),
        announcement(3, LOCAL_ZONE),
        announcement(4, LOCAL_ZONE),
    ]);
    let tokens: Vec<Token> = (1..=4).map(|it| Token::of(key(it))).collect();
    for (at, token) in tokens.iter().enumerate() {
        let flow = flow(at as u32);
        host.handle_packet(Millis(900), &data_segment(flow, *token, 1, 100, 0));
        host.handle_packet(Millis(1_000), &data_segment(flow, *token, 1, 200, 50));
    }
    for (at, token) in tokens.iter().take(3).enumerate() {
        host.handle_packet(Millis(1_200), &data_segment(flow(at as u32), *token, 1, 200, 50));
    }
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    assert!(host.take_resets().is_empty());
    assert_eq!(host.stats().local_faults, 1);
}

#[test]
fn probe_uses_the_most_recently_responding_upstream_as_reference() {
    // Guards against a false reset: with up to 301 hosts, a host whose link was nearly saturated
    // reset a flow of a live upstream.
    let mut host = host(&[
        announcement(1, LOCAL_ZONE),
        announcement(2, LOCAL_ZONE),
        announcement(3, REMOTE_ZONE),
    ]);
    for (id, at) in [(1, 900), (2, 920), (3, 940)] {
        let token = Token::of(key(id));
        host.handle_packet(Millis(at), &data_segment(flow(id as u32), token, 1, 100, 0));
    }
    let request = data_segment(flow(1), Token::of(key(1)), 1, 100, 50);
    host.handle_packet(Millis(1_000), &request);
    host.handle_packet(Millis(1_200), &request);
    assert_eq!(host.take_probes()[0].reference_addr, Some(addr(3)));
    host.apply_probe_result(Millis(1_425), key(1), ProbeResult::Inconclusive);
    assert!(
        host.take_resets().is_empty(),
        "the reference upstream does not respond to this host either"
    );
    // No upstream has responded recently, so the probe has no reference address.
    host.handle_packet(Millis(5_000), &data_segment(flow(1), Token::of(key(1)), 51, 100, 50));
    host.handle_packet(Millis(5_200), &data_segment(flow(1), Token::of(key(1)), 51, 100, 50));
    let probes = host.take_probes();
    assert!(probes.iter().all(|it| it.reference_addr.is_none()), "{probes:?}");
}

#[test]
fn cold_upstream_gets_no_flows_before_the_live_hosts_are_known() {
    let mut cold = announcement(1, LOCAL_ZONE);
    cold.cold_left = Millis(5_000);
    let mut host = host(&[cold]);
    host.set_hosts(Millis(0), Vec::new());
    assert_eq!(forwarded_to(host.handle_packet(Millis(10), &open_segment(flow(1), 0))), None);
    host.set_hosts(Millis(0), vec![LOCAL_HOST]);
    assert!(forwarded_to(host.handle_packet(Millis(300), &open_segment(flow(1), 1))).is_some());
}

#[test]
fn opening_is_reset_at_once_without_reachable_upstreams_and_succeeds_after_recovery() {
    // Guards against slow refusals: the zone of the callers was partitioned while its own upstreams
    // were withdrawn, and each attempt to open a flow took 1.4 s to fail.
    let mut host = serving_host(&[announcement(1, LOCAL_ZONE), announcement(11, REMOTE_ZONE)]);
    host.apply_update(Millis(100), &DirectoryUpdate::ZoneWithdrawn(LOCAL_ZONE));
    let (_, token) = open_flow(&mut host, Millis(500), flow(1));
    host.handle_packet(Millis(1_000), &data_segment(flow(1), token, 1, 100, 50));
    host.handle_packet(Millis(1_200), &data_segment(flow(1), token, 1, 100, 50));
    host.take_probes().clear();
    host.apply_probe_result(Millis(1_350), key(11), ProbeResult::NoResponse);
    let refused = host.handle_packet(Millis(5_000), &open_segment(flow(2), 0));
    assert!(matches!(refused, Verdict::Reset(_)), "{refused:?}");
    host.tick(Millis(5_000));
    let mut probes = host.take_probes().len();
    for step in 1..=20 {
        let now = Millis(5_000 + step * 50);
        host.handle_packet(now, &open_segment(flow(2 + step as u32), 0));
        host.tick(now);
        probes += host.take_probes().len();
    }
    assert!((3..=5).contains(&probes), "{probes} probes in one second");
    host.apply_probe_result(Millis(6_010), key(11), ProbeResult::Answered);
    assert_eq!(open_flow(&mut host, Millis(6_020), flow(100)).0, 11);
}

#[test]
fn three_of_four_local_upstreams_are_abandoned_while_other_zones_respond() {
    // Guards against a late reset: a host with three unresponsive upstreams out of four assumed a
    // local fault and abandoned one of them 1.3 s late.
    let near: Vec<_> = (1..=4).map(|it| announcement(it, LOCAL_ZONE)).collect();
    let far: Vec<_> = (11..=16).map(|it| announcement(it, REMOTE_ZONE)).collect();
    let mut host = serving_host(&[near, far].concat());
    let ids: Vec<u64> = (1..=4).chain(11..=16).collect();
    for (at, id) in ids.iter().enumerate() {
        let flow = flow(at as u32);
        host.handle_packet(Millis(900), &data_segment(flow, Token::of(key(*id)), 1, 100, 0));
        host.handle_packet(Millis(1_000), &data_segment(flow, Token::of(key(*id)), 1, 200, 50));
    }
    for (at, id) in ids.iter().enumerate().filter(|it| *it.1 >= 4) {
        host.handle_packet(
            Millis(1_050),
            &data_segment(flow(at as u32), Token::of(key(*id)), 51, 300, 0),
        );
    }
    for (at, id) in ids.iter().enumerate().take(3) {
        host.handle_packet(
            Millis(1_200),
            &data_segment(flow(at as u32), Token::of(key(*id)), 1, 200, 50),
        );
    }
    for id in 1..=3 {
        host.apply_probe_result(Millis(1_350), key(id), ProbeResult::NoResponse);
    }
    assert_eq!(host.take_resets().len(), 3);
}

#[test]
fn peer_update_on_a_suspect_upstream_does_not_outweigh_a_later_response() {
    // Guards against a false reset: a host whose callers had not used an upstream reported it to
    // its peers as not responding for 0 ms, so that the report outweighed a response that a peer
    // had received shortly before.
    let far: Vec<_> = (11..=13).map(|it| announcement(it, REMOTE_ZONE)).collect();
    let mut reporting_host =
        serving_host(&[vec![announcement(1, LOCAL_ZONE)], far.clone()].concat());
    let token = Token::of(key(11));
    reporting_host.handle_packet(Millis(900), &data_segment(flow(1), token, 1, 100, 0));
    reporting_host.handle_packet(Millis(1_000), &data_segment(flow(1), token, 1, 200, 50));
    reporting_host.handle_packet(Millis(1_200), &data_segment(flow(1), token, 1, 200, 50));
    reporting_host.apply_probe_result(Millis(1_350), key(11), ProbeResult::NoResponse);
    reporting_host.apply_probe_result(Millis(1_500), key(12), ProbeResult::NoResponse);
    let update = reporting_host.take_peer_update();
    assert_eq!(update.unreachable.len(), 2);
    let mut receiving_host = host(&[vec![announcement(1, LOCAL_ZONE)], far].concat());
    let (other, token) = (flow(2), Token::of(key(12)));
    receiving_host.handle_packet(Millis(1_100), &data_segment(other, token, 1, 100, 0));
    receiving_host.handle_packet(Millis(1_490), &data_segment(other, token, 1, 200, 0));
    receiving_host.apply_peer_update(Millis(1_500), &update);
    assert!(receiving_host.take_resets().is_empty());
}

#[test]
fn host_forwards_from_the_first_page_and_refuses_nothing_until_the_listing_is_complete() {
    let mut host = DirectHost::new(settings(LOCAL_ZONE));
    host.set_directory_state(Millis(0), DirectoryState::Available);
    host.set_hosts(Millis(0), vec![LOCAL_HOST]);
    let other = ServiceAddr { port: 444, ..SERVICE };
    let routes = vec![route(SERVICE, "feed"), route(other, "desk")];
    let first =
        [routing(1, routes.clone()), DirectoryUpdate::Upstream(announcement(1, LOCAL_ZONE))];
    host.apply_initial_page(Millis(0), &first);
    assert!(host.is_ready() && !host.has_listing());
    open_flow(&mut host, Millis(10), flow(1));
    let desk = FlowKey { service: other, ..flow(2) };
    assert_eq!(host.handle_packet(Millis(10), &open_segment(desk, 0)), Verdict::Drop);
    host.apply_directory_listing(Millis(20), 1, &first);
    let refused =
        host.handle_packet(Millis(30), &open_segment(FlowKey { service: other, ..flow(3) }, 0));
    assert!(matches!(refused, Verdict::Reset(_)), "{refused:?}");
    // A page of a later listing changes nothing by itself.
    host.apply_initial_page(Millis(40), &[DirectoryUpdate::ZoneWithdrawn(LOCAL_ZONE)]);
    assert!(host.view(Millis(40)).zones_out.is_empty());
}

// Guards against flows to cold upstreams of a restored zone by a host that started after that.
#[test]
fn host_that_starts_learns_of_restored_zones_from_others() {
    let zone = announcement(1, LOCAL_ZONE).zone;
    let mut other = host(&[announcement(1, LOCAL_ZONE)]);
    assert_eq!(other.restored_zones(Millis(50)), vec![], "in calm there is nothing to tell");
    other.apply_update(Millis(100), &DirectoryUpdate::ZoneWithdrawn(zone));
    other.apply_update(Millis(5_000), &DirectoryUpdate::ZoneRestored(zone));
    let told = other.restored_zones(Millis(5_200));
    assert_eq!(told, vec![(zone, 2_200)], "two announcement intervals from the restoration");
    let is_cold = |host: &DirectHost, now: u64| {
        let ix = host.registry().by_id(1).unwrap();
        Millis(now) < host.registry().get(ix).unwrap().cold_until
    };
    // Before its first listing, and after it.
    for first_listing in [false, true] {
        let mut started = DirectHost::new(settings(LOCAL_ZONE));
        let listing = [
            routing(1, vec![route(SERVICE, "feed")]),
            DirectoryUpdate::Upstream(announcement(1, LOCAL_ZONE)),
        ];
        if first_listing {
            started.apply_listing(Millis(1_000), &listing);
        }
        started.apply_restored_zones(Millis(1_010), &told);
        started.apply_listing(Millis(1_020), &listing);
        let cold_until = 1_010 + 2_200 + COLD_START_S * 1_000;
        assert!(is_cold(&started, cold_until - 1), "listing first: {first_listing}");
        assert!(!is_cold(&started, cold_until));
        assert_eq!(started.restored_zones(Millis(1_100)), vec![(zone, 2_110)], "passes it on");
    }
    assert_eq!(other.restored_zones(Millis(7_400)), vec![]);
    // No message makes upstreams cold for longer than a restoration does.
    let mut started = host(&[announcement(1, LOCAL_ZONE)]);
    started.apply_restored_zones(Millis(1_000), &[(zone, u32::MAX)]);
    assert!(!is_cold(&started, 1_000 + 2_400 + COLD_START_S * 1_000));
}
