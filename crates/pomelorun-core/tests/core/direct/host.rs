//! What one host does with packets and with what is published.

use pomelorun_core::{
    Millis,
    direct::{
        DirectoryState, DirectoryUpdate, PeerUpdate, ProbeKind, ProbeResult, Reachability, Token,
        Verdict,
    },
};
use pomelorun_wire::HostId;

use crate::direct::kit::{
    COLD_S, FAR, ME, NEAR, SERVICE, addr, data, flow, host, key, open, opened, route, routing,
    said, sent_to,
};

/// What a rule of the platform allows a cold upstream to get in a second with these settings.
const COLD_PER_S: usize = 5;

#[test]
fn a_copy_of_an_opening_packet_goes_to_another_upstream_than_the_one_that_was_silent() {
    let mut host = host(&[said(1, NEAR), said(2, NEAR), said(3, NEAR)]);
    let first = sent_to(host.handle_packet(Millis(1_000), &open(flow(1), 0))).unwrap().0;
    let second = sent_to(host.handle_packet(Millis(1_200), &open(flow(1), 1))).unwrap().0;
    let third = sent_to(host.handle_packet(Millis(1_600), &open(flow(1), 2))).unwrap().0;
    assert_ne!(first, second);
    assert!(third != first && third != second);
}

#[test]
fn copies_that_waited_together_are_no_evidence_and_go_where_the_first_went() {
    let mut host = host(&[said(1, NEAR), said(2, NEAR)]);
    let first = sent_to(host.handle_packet(Millis(1_000), &open(flow(1), 0))).unwrap().0;
    let second = sent_to(host.handle_packet(Millis(1_004), &open(flow(1), 1))).unwrap().0;
    assert_eq!(first, second);
    assert!(host.take_probes().is_empty());
}

#[test]
fn new_flows_stay_away_from_upstreams_that_leave_are_gone_or_lie_in_a_zone_that_is_out() {
    let mut host = host(&[said(1, NEAR), said(2, NEAR), said(3, NEAR), said(4, FAR)]);
    let mut leaving = said(1, NEAR);
    leaving.draining = true;
    host.apply_update(Millis(5_000), &DirectoryUpdate::Upstream(leaving));
    host.apply_update(Millis(5_000), &DirectoryUpdate::UpstreamRemoved(2));
    for number in 0..40 {
        let id = opened(&mut host, Millis(5_010), flow(number)).0;
        assert!(id == 3 || id == 4, "{id}");
    }
    host.apply_update(Millis(5_020), &DirectoryUpdate::ZoneWithdrawn(NEAR));
    for number in 40..80 {
        assert_eq!(opened(&mut host, Millis(5_030), flow(number)).0, 4);
    }
}

#[test]
fn an_upstream_that_lapsed_alone_is_used_for_two_seconds_for_want_of_another() {
    let mut host = host(&[said(1, NEAR)]);
    host.apply_update(Millis(1_000), &DirectoryUpdate::UpstreamRemoved(1));
    assert!(sent_to(host.handle_packet(Millis(2_900), &open(flow(1), 0))).is_some());
    assert_eq!(sent_to(host.handle_packet(Millis(3_000), &open(flow(2), 0))), None);
}

#[test]
fn upstreams_that_lapsed_while_the_directory_was_away_serve_until_it_has_had_time_to_list_them() {
    let mut host = host(&[said(1, NEAR), said(2, FAR)]);
    host.set_directory_state(Millis(1_000), DirectoryState::Unavailable);
    host.set_directory_state(Millis(9_000), DirectoryState::Available);
    host.apply_listing(Millis(9_000), &[DirectoryUpdate::Upstream(said(2, FAR))]);
    assert_eq!(opened(&mut host, Millis(9_100), flow(1)).0, 1, "preferred as before");
    assert_eq!(opened(&mut host, Millis(11_100), flow(2)).0, 2);
}

#[test]
fn an_older_revision_is_never_taken_back() {
    let mut host = host(&[said(1, NEAR)]);
    host.apply_update(Millis(10), &routing(5, Vec::new()));
    host.apply_update(Millis(20), &routing(4, vec![route(SERVICE, "feed")]));
    assert_eq!(host.revision(), 5);
    let verdict = host.handle_packet(Millis(30), &open(flow(1), 0));
    assert!(matches!(verdict, Verdict::Reset(_)));
}

#[test]
fn an_unknown_address_is_refused_while_the_revision_is_fresh_and_ignored_otherwise() {
    let mut host = host(&[said(1, NEAR)]);
    host.apply_update(Millis(10), &routing(2, Vec::new()));
    assert!(matches!(host.handle_packet(Millis(20), &open(flow(1), 0)), Verdict::Reset(_)));
    // The route may have been published meanwhile.
    assert_eq!(host.handle_packet(Millis(4_500), &open(flow(2), 0)), Verdict::Drop);
    host.set_directory_state(Millis(4_600), DirectoryState::Available);
    assert!(matches!(host.handle_packet(Millis(4_610), &open(flow(3), 0)), Verdict::Reset(_)));
    host.set_directory_state(Millis(4_620), DirectoryState::Unavailable);
    assert_eq!(host.handle_packet(Millis(4_630), &open(flow(4), 0)), Verdict::Drop);
}

#[test]
fn open_flows_stay_when_their_zone_is_taken_out_and_when_their_upstream_leaves() {
    let mut host = host(&[said(1, NEAR)]);
    let (id, token) = opened(&mut host, Millis(10), flow(1));
    host.apply_update(Millis(20), &DirectoryUpdate::ZoneWithdrawn(NEAR));
    let mut leaving = said(1, NEAR);
    leaving.draining = true;
    host.apply_update(Millis(30), &DirectoryUpdate::Upstream(leaving));
    let to = host.handle_packet(Millis(9_000), &data(flow(1), token, 1, 200, 10));
    assert_eq!(sent_to(to), Some((id, token)));
    assert!(host.take_resets().is_empty());
}

#[test]
fn the_own_zone_is_preferred_until_its_upstreams_have_more_to_do() {
    let mut host = host(&[said(1, NEAR), said(2, FAR)]);
    let near = |host: &mut pomelorun_core::direct::DirectHost, from: u32, to: u32| {
        (from..to).filter(|it| opened(host, Millis(100), flow(*it)).0 == 1).count()
    };
    assert_eq!(near(&mut host, 0, 2), 2);
    let of_many = near(&mut host, 2, 102);
    assert!((50..=60).contains(&of_many), "{of_many} of 100 near");
}

#[test]
fn a_cold_upstream_gets_flows_only_for_want_of_a_warm_one_and_within_its_budget() {
    let mut cold = said(1, NEAR);
    cold.cold_left = Millis(60_000);
    let mut with_warm = host(&[cold.clone(), said(2, FAR)]);
    for number in 0..200 {
        assert_eq!(opened(&mut with_warm, Millis(10 + u64::from(number)), flow(number)).0, 2);
    }
    let mut alone = host(&[cold]);
    let mut sent = Vec::new();
    for step in 0..500u64 {
        let now = Millis(100 + step * 20);
        if sent_to(alone.handle_packet(now, &open(flow(step as u32), 0))).is_some() {
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
fn only_one_host_gives_a_cold_upstream_its_flows() {
    let mut cold = said(1, NEAR);
    cold.cold_left = Millis(60_000);
    let hosts: Vec<HostId> = (1..=7).map(HostId).collect();
    let mut owners = 0;
    for me in &hosts {
        let mut cfg = crate::direct::kit::settings(NEAR);
        cfg.host = *me;
        let mut host = pomelorun_core::direct::DirectHost::new(cfg);
        host.set_hosts(hosts.clone());
        let all =
            [routing(1, vec![route(SERVICE, "feed")]), DirectoryUpdate::Upstream(cold.clone())];
        host.apply_listing(Millis(0), &all);
        owners += usize::from(sent_to(host.handle_packet(Millis(10), &open(flow(1), 0))).is_some());
    }
    assert_eq!(owners, 1);
}

#[test]
fn upstreams_of_a_zone_that_is_taken_back_are_held_cold_until_they_have_spoken() {
    let mut host = host(&[said(1, NEAR), said(2, FAR)]);
    host.apply_update(Millis(1_000), &DirectoryUpdate::ZoneWithdrawn(NEAR));
    host.apply_update(Millis(9_000), &DirectoryUpdate::ZoneRestored(NEAR));
    // Two words of an upstream, and as long as it stays cold after a start.
    let warm = 9_000 + 2 * 1_200 + COLD_S * 1_000;
    assert_eq!(opened(&mut host, Millis(warm - 10), flow(1)).0, 2);
    assert_eq!(opened(&mut host, Millis(warm + 10), flow(2)).0, 1);
}

/// Two flows at upstream 1 of a host with others beside it; both have sent data at 1,000 ms.
fn waiting() -> (pomelorun_core::direct::DirectHost, Vec<(pomelorun_wire::FlowKey, Token)>) {
    let mut host = host(&[said(1, NEAR), said(2, NEAR), said(3, NEAR), said(4, NEAR)]);
    let mut flows = Vec::new();
    for number in 0..40 {
        let (id, token) = opened(&mut host, Millis(500), flow(number));
        if id == 1 {
            flows.push((flow(number), token));
        }
    }
    for (flow, token) in flows.iter().take(2) {
        host.handle_packet(Millis(1_000), &data(*flow, *token, 1, 100, 50));
    }
    (host, flows)
}

#[test]
fn a_repeated_packet_makes_a_suspect_which_is_probed_once_and_gets_no_new_flow() {
    let (mut host, flows) = waiting();
    for (flow, token) in flows.iter().take(2) {
        host.handle_packet(Millis(1_200), &data(*flow, *token, 1, 100, 50));
    }
    let probes = host.take_probes();
    assert_eq!(probes.len(), 1);
    assert_eq!((probes[0].upstream, probes[0].kind), (key(1), ProbeKind::Connect));
    for number in 100..140 {
        assert_ne!(opened(&mut host, Millis(1_210), flow(number)).0, 1);
    }
}

#[test]
fn a_suspect_that_answers_the_probe_keeps_its_flows() {
    let (mut host, flows) = waiting();
    let (flow, token) = flows[0];
    host.handle_packet(Millis(1_200), &data(flow, token, 1, 100, 50));
    host.apply_probe_result(Millis(1_203), key(1), ProbeResult::Answered);
    assert!(host.take_resets().is_empty());
    // Its callers still wait: now it is asked who it is.
    host.handle_packet(Millis(1_600), &data(flow, token, 1, 100, 50));
    host.take_probes().clear();
    host.handle_packet(Millis(2_400), &data(flow, token, 1, 100, 50));
    let later = host.take_probes();
    assert!(later.iter().all(|it| it.kind == ProbeKind::Identify), "{later:?}");
}

#[test]
fn a_suspect_whose_probe_fails_has_all_its_flows_reset_the_idle_ones_too() {
    let (mut host, flows) = waiting();
    host.handle_packet(Millis(1_200), &data(flows[0].0, flows[0].1, 1, 100, 50));
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    let resets = host.take_resets();
    assert_eq!(resets.len(), flows.len());
    assert!(resets.iter().all(|it| it.seq == 100), "by which callers know the reset");
    assert_eq!(host.take_peer_update().unreachable.len(), 1);
    // A packet of a flow that came through another host until now.
    let verdict = host.handle_packet(Millis(1_400), &data(flow(900), flows[0].1, 7, 777, 50));
    let Verdict::Reset(reset) = verdict else { panic!("{verdict:?}") };
    assert_eq!(reset.seq, 777);
}

#[test]
fn an_answer_between_packet_and_copy_clears_the_suspicion() {
    let (mut host, flows) = waiting();
    // The second flow is answered after the first was asked: the first one's packet was lost.
    host.handle_packet(Millis(1_100), &data(flows[1].0, flows[1].1, 51, 300, 0));
    host.handle_packet(Millis(1_200), &data(flows[0].0, flows[0].1, 1, 100, 50));
    assert!(host.take_probes().is_empty());
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    assert!(host.take_resets().is_empty(), "a probe alone shows nothing");
}

#[test]
fn a_host_without_history_gives_nothing_up_on_one_flow() {
    // Traced on the bench by an earlier trial: a host that had just started held the copies of
    // one flow for enough and reset it while the upstream lived.
    let mut host = host(&[said(1, NEAR)]);
    let token = Token::of(key(1));
    for at in [1_000, 1_200, 1_600, 2_400] {
        host.handle_packet(Millis(at), &data(flow(1), token, 1, 100, 50));
    }
    host.apply_probe_result(Millis(2_403), key(1), ProbeResult::Answered);
    assert!(host.take_resets().is_empty());
}

#[test]
fn an_unreachable_upstream_is_asked_who_it_is_before_it_is_used_again() {
    let (mut host, flows) = waiting();
    host.handle_packet(Millis(1_200), &data(flows[0].0, flows[0].1, 1, 100, 50));
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    host.take_probes().clear();
    host.tick(Millis(1_900));
    let probes = host.take_probes();
    assert_eq!(probes.len(), 1);
    assert_eq!(probes[0].kind, ProbeKind::Identify);
    assert_eq!(probes[0].path, "/health");
    let mut again = host;
    again.apply_probe_result(Millis(1_910), key(1), ProbeResult::Answered);
    let ix = again.registry().by_id(1).unwrap();
    assert_eq!(again.reachability(ix), Reachability::Answering);
}

#[test]
fn another_upstream_at_the_address_shows_that_the_first_has_ended() {
    // Seen on the bench: a dark upstream was used again since the upstream of another service that
    // got its address accepted the connection.
    let (mut host, flows) = waiting();
    host.handle_packet(Millis(1_200), &data(flows[0].0, flows[0].1, 1, 100, 50));
    host.apply_probe_result(Millis(1_203), key(1), ProbeResult::Answered);
    host.handle_packet(Millis(2_000), &data(flows[1].0, flows[1].1, 51, 100, 50));
    host.handle_packet(Millis(2_200), &data(flows[1].0, flows[1].1, 51, 100, 50));
    host.apply_probe_result(Millis(2_210), key(1), ProbeResult::OtherUpstream);
    assert_eq!(host.take_resets().len(), flows.len());
    for number in 200..240 {
        assert_ne!(opened(&mut host, Millis(2_220), flow(number)).0, 1);
    }
}

#[test]
fn hosts_of_a_zone_go_by_what_one_of_them_has_found_unless_they_were_answered_since() {
    let (mut host, flows) = waiting();
    let news = PeerUpdate { unreachable: vec![(1, key(1).started_at, 350)], ejected: vec![] };
    let mut answered = self::waiting().0;
    answered.handle_packet(Millis(1_100), &data(flows[0].0, flows[0].1, 51, 300, 0));
    answered.apply_peer_update(Millis(1_350), &news);
    assert!(answered.take_resets().is_empty(), "answered 250 ms ago, silent for 350 ms there");
    host.apply_peer_update(Millis(1_350), &news);
    assert_eq!(host.take_resets().len(), flows.len());
    assert!(host.take_peer_update().is_empty(), "what was told is not told on");
}

#[test]
fn a_zone_that_falls_silent_is_probed_as_a_whole() {
    let near: Vec<_> = (1..=3).map(|it| said(it, NEAR)).collect();
    let far: Vec<_> = (11..=14).map(|it| said(it, FAR)).collect();
    let mut host = host(&[near, far].concat());
    let token = Token::of(key(11));
    host.handle_packet(Millis(900), &data(flow(1), token, 1, 100, 0));
    host.handle_packet(Millis(1_000), &data(flow(1), token, 1, 200, 50));
    host.handle_packet(Millis(1_200), &data(flow(1), token, 1, 200, 50));
    host.take_probes().clear();
    host.apply_probe_result(Millis(1_350), key(11), ProbeResult::NoResponse);
    let mut probed: Vec<u64> = host.take_probes().iter().map(|it| it.upstream.id).collect();
    probed.sort_unstable();
    assert_eq!(probed, [12, 13, 14]);
    // One of them answers; the probe of the others fails.
    host.apply_probe_result(Millis(1_352), key(12), ProbeResult::Answered);
    host.apply_probe_result(Millis(1_500), key(13), ProbeResult::NoResponse);
    let standing = |id| host.reachability(host.registry().by_id(id).unwrap());
    assert_eq!(standing(12), Reachability::Answering);
    assert!(matches!(standing(13), Reachability::Unreachable { .. }));
}

#[test]
fn no_upstream_is_given_up_while_most_of_the_own_zone_looks_silent() {
    // Traced on the bench: a host whose link was full took its own queue for dead upstreams.
    let mut host = host(&[said(1, NEAR), said(2, NEAR), said(3, NEAR), said(4, NEAR)]);
    let tokens: Vec<Token> = (1..=4).map(|it| Token::of(key(it))).collect();
    for (at, token) in tokens.iter().enumerate() {
        let flow = flow(at as u32);
        host.handle_packet(Millis(900), &data(flow, *token, 1, 100, 0));
        host.handle_packet(Millis(1_000), &data(flow, *token, 1, 200, 50));
    }
    for (at, token) in tokens.iter().take(3).enumerate() {
        host.handle_packet(Millis(1_200), &data(flow(at as u32), *token, 1, 200, 50));
    }
    host.apply_probe_result(Millis(1_350), key(1), ProbeResult::NoResponse);
    assert!(host.take_resets().is_empty());
    assert_eq!(host.stats().local_faults, 1);
}

#[test]
fn a_probe_names_the_upstream_that_answered_last_as_its_witness() {
    // Seen in a sweep to 301 hosts: a host whose link was nearly full reset a flow of an upstream
    // that served.
    let mut host = host(&[said(1, NEAR), said(2, NEAR), said(3, FAR)]);
    for (id, at) in [(1, 900), (2, 920), (3, 940)] {
        let token = Token::of(key(id));
        host.handle_packet(Millis(at), &data(flow(id as u32), token, 1, 100, 0));
    }
    let ask = data(flow(1), Token::of(key(1)), 1, 100, 50);
    host.handle_packet(Millis(1_000), &ask);
    host.handle_packet(Millis(1_200), &ask);
    assert_eq!(host.take_probes()[0].reference_addr, Some(addr(3)));
    host.apply_probe_result(Millis(1_425), key(1), ProbeResult::Inconclusive);
    assert!(host.take_resets().is_empty(), "the host's own silence");
    // Nobody has answered for long: there is no witness.
    host.handle_packet(Millis(5_000), &data(flow(1), Token::of(key(1)), 51, 100, 50));
    host.handle_packet(Millis(5_200), &data(flow(1), Token::of(key(1)), 51, 100, 50));
    let probes = host.take_probes();
    assert!(probes.iter().all(|it| it.reference_addr.is_none()), "{probes:?}");
}

#[test]
fn hosts_that_live_are_said_before_cold_flows_are_given() {
    let mut cold = said(1, NEAR);
    cold.cold_left = Millis(5_000);
    let mut host = host(&[cold]);
    host.set_hosts(Vec::new());
    assert_eq!(sent_to(host.handle_packet(Millis(10), &open(flow(1), 0))), None);
    host.set_hosts(vec![ME]);
    assert!(sent_to(host.handle_packet(Millis(300), &open(flow(1), 1))).is_some());
}

#[test]
fn callers_are_refused_at_once_while_no_upstream_answers_and_served_soon_after_one_does() {
    // From an incident: the callers' zone was cut off while its own upstreams were taken out. They
    // waited 1.4 s for each opening.
    let mut host = host(&[said(1, NEAR), said(11, FAR)]);
    host.apply_update(Millis(100), &DirectoryUpdate::ZoneWithdrawn(NEAR));
    let (_, token) = opened(&mut host, Millis(500), flow(1));
    host.handle_packet(Millis(1_000), &data(flow(1), token, 1, 100, 50));
    host.handle_packet(Millis(1_200), &data(flow(1), token, 1, 100, 50));
    host.take_probes().clear();
    host.apply_probe_result(Millis(1_350), key(11), ProbeResult::NoResponse);
    let refused = host.handle_packet(Millis(5_000), &open(flow(2), 0));
    assert!(matches!(refused, Verdict::Reset(_)), "{refused:?}");
    host.tick(Millis(5_000));
    let mut probes = host.take_probes().len();
    for step in 1..=20 {
        let now = Millis(5_000 + step * 50);
        host.handle_packet(now, &open(flow(2 + step as u32), 0));
        host.tick(now);
        probes += host.take_probes().len();
    }
    assert!((3..=5).contains(&probes), "{probes} probes in a second");
    host.apply_probe_result(Millis(6_010), key(11), ProbeResult::Answered);
    assert_eq!(opened(&mut host, Millis(6_020), flow(100)).0, 11);
}

#[test]
fn three_dark_upstreams_of_a_small_zone_are_given_up_while_the_other_zones_answer() {
    // From an incident: a host took three dark upstreams of its four for a fault of its own, and
    // gave one up 1.3 s late.
    let near: Vec<_> = (1..=4).map(|it| said(it, NEAR)).collect();
    let far: Vec<_> = (11..=16).map(|it| said(it, FAR)).collect();
    let mut host = host(&[near, far].concat());
    let ids: Vec<u64> = (1..=4).chain(11..=16).collect();
    for (at, id) in ids.iter().enumerate() {
        let flow = flow(at as u32);
        host.handle_packet(Millis(900), &data(flow, Token::of(key(*id)), 1, 100, 0));
        host.handle_packet(Millis(1_000), &data(flow, Token::of(key(*id)), 1, 200, 50));
    }
    for (at, id) in ids.iter().enumerate().filter(|it| *it.1 >= 4) {
        host.handle_packet(Millis(1_050), &data(flow(at as u32), Token::of(key(*id)), 51, 300, 0));
    }
    for (at, id) in ids.iter().enumerate().take(3) {
        host.handle_packet(Millis(1_200), &data(flow(at as u32), Token::of(key(*id)), 1, 200, 50));
    }
    for id in 1..=3 {
        host.apply_probe_result(Millis(1_350), key(id), ProbeResult::NoResponse);
    }
    assert_eq!(host.take_resets().len(), 3);
}

#[test]
fn what_is_told_of_a_doubted_upstream_does_not_outweigh_an_answer_since() {
    // From an incident: a host whose callers had not used an upstream told it as silent for 0 ms.
    let far: Vec<_> = (11..=13).map(|it| said(it, FAR)).collect();
    let mut teller = host(&[vec![said(1, NEAR)], far.clone()].concat());
    let token = Token::of(key(11));
    teller.handle_packet(Millis(900), &data(flow(1), token, 1, 100, 0));
    teller.handle_packet(Millis(1_000), &data(flow(1), token, 1, 200, 50));
    teller.handle_packet(Millis(1_200), &data(flow(1), token, 1, 200, 50));
    teller.apply_probe_result(Millis(1_350), key(11), ProbeResult::NoResponse);
    teller.apply_probe_result(Millis(1_500), key(12), ProbeResult::NoResponse);
    let news = teller.take_peer_update();
    assert_eq!(news.unreachable.len(), 2);
    let mut told = host(&[vec![said(1, NEAR)], far].concat());
    let (other, token) = (flow(2), Token::of(key(12)));
    told.handle_packet(Millis(1_100), &data(other, token, 1, 100, 0));
    told.handle_packet(Millis(1_490), &data(other, token, 1, 200, 0));
    told.apply_peer_update(Millis(1_500), &news);
    assert!(told.take_resets().is_empty());
}
