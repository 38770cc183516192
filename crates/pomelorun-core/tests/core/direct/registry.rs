//! Identity, affinity token and lifetime of upstream instances.

use pomelorun_core::{
    Millis,
    direct::{Announcement, DirectEvent, DirectHost, DirectoryUpdate, Token, UpstreamKey, Verdict},
};
use pomelorun_wire::ServiceAddr;

use crate::direct::fixtures::{
    LOCAL_ZONE, SERVICE, addr, announcement, data_segment, flow, forwarded_to, host, key,
    open_flow, open_segment, route, routing, settings,
};

#[test]
fn tokens_are_deterministic_differ_between_instances_and_are_never_none() {
    for id in 0..10_000 {
        let token = Token::of(key(id));
        assert_eq!(token, Token::of(key(id)));
        assert_ne!(token, Token::NONE);
    }
    let new_instance = UpstreamKey { started_at: 5_000, ..key(1) };
    assert_ne!(Token::of(key(1)), Token::of(new_instance));
}

/// Returns two upstream instances whose affinity tokens collide.
fn colliding_keys() -> (UpstreamKey, UpstreamKey) {
    let key = |id: u64| UpstreamKey { id, started_at: 7 };
    let mut tokens: Vec<(Token, u64)> = (0..400_000).map(|id| (Token::of(key(id)), id)).collect();
    tokens.sort_unstable();
    let pair = tokens
        .windows(2)
        .find(|it| it[0].0 == it[1].0)
        .expect("two upstream instances with the same token");
    (key(pair[0].1), key(pair[1].1))
}

#[test]
fn token_collision_resolves_to_the_same_instance_on_every_host() {
    let (first, second) = colliding_keys();
    let a = announcement(first.id, LOCAL_ZONE);
    let a = pomelorun_core::direct::Announcement { key: first, ..a };
    let b =
        pomelorun_core::direct::Announcement { key: second, ..announcement(second.id, LOCAL_ZONE) };
    for order in [[&a, &b], [&b, &a]] {
        let mut host = host(&order.map(Clone::clone));
        for number in 0..50 {
            let to = forwarded_to(host.handle_packet(Millis(10), &open_segment(flow(number), 0)));
            assert_eq!(to.map(|it| it.0), Some(first.id.min(second.id)));
        }
    }
}

#[test]
fn packets_are_forwarded_by_token_after_the_announcement_is_removed() {
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    let (id, token) = open_flow(&mut host, Millis(10), flow(1));
    host.apply_update(Millis(20), &DirectoryUpdate::UpstreamRemoved(id));
    let to = host.handle_packet(Millis(30_000), &data_segment(flow(1), token, 1, 200, 10));
    assert_eq!(forwarded_to(to), Some((id, token)));
    // The token alone is enough for a flow that this host has not seen before.
    let other = flow(2);
    let to = host.handle_packet(Millis(30_001), &data_segment(other, token, 1, 200, 10));
    assert_eq!(forwarded_to(to), Some((id, token)));
}

#[test]
fn restart_under_the_same_id_is_a_new_instance_and_resets_old_flows() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    let (_, token) = open_flow(&mut host, Millis(10), flow(1));
    let mut new_instance = announcement(1, LOCAL_ZONE);
    new_instance.key.started_at += 5_000;
    host.apply_update(Millis(1_000), &DirectoryUpdate::Upstream(new_instance.clone()));
    let resets: Vec<_> = host.take_resets();
    assert_eq!(resets.len(), 1, "the flow of the previous instance is reset");
    assert_eq!(resets[0].seq, 100);
    let late_verdict = host.handle_packet(Millis(1_010), &data_segment(flow(1), token, 1, 100, 10));
    assert!(matches!(late_verdict, Verdict::Reset(_)), "{late_verdict:?}");
    let (_, new_token) = open_flow(&mut host, Millis(1_020), flow(2));
    assert_eq!(new_token, Token::of(new_instance.key));
    // A delayed announcement of the previous instance is ignored.
    host.apply_update(Millis(1_030), &DirectoryUpdate::Upstream(announcement(1, LOCAL_ZONE)));
    let (_, token_after_stale_update) = open_flow(&mut host, Millis(1_040), flow(3));
    assert_eq!(token_after_stale_update, new_token);
}

// Guards against a reset that is said to follow a silence as long as the host's uptime.
#[test]
fn reset_of_an_upstream_that_was_never_heard_has_no_time_since_its_last_response() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    let token = Token::of(key(1));
    host.handle_packet(Millis(500_000), &data_segment(flow(1), token, 1, 100, 10));
    let mut later = announcement(1, LOCAL_ZONE);
    later.key.started_at += 5_000;
    host.apply_update(Millis(500_100), &DirectoryUpdate::Upstream(later));
    let silences: Vec<Option<Millis>> = host
        .take_events()
        .into_iter()
        .filter_map(|it| match it {
            DirectEvent::Reset { since_last_response, .. } => Some(since_last_response),
            _ => None,
        })
        .collect();
    assert_eq!(silences, vec![None]);
}

#[test]
fn address_reuse_by_another_upstream_terminates_the_previous_one() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    let reports = route(ServiceAddr { port: 444, ..SERVICE }, "reports");
    host.apply_update(Millis(5), &routing(2, vec![route(SERVICE, "feed"), reports]));
    let (_, token) = open_flow(&mut host, Millis(10), flow(1));
    let mut next = announcement(2, LOCAL_ZONE);
    next.service = "reports".to_owned();
    next.addr = addr(1);
    host.apply_update(Millis(5_000), &DirectoryUpdate::Upstream(next));
    assert_eq!(host.take_resets().len(), 1);
    let late_verdict = host.handle_packet(Millis(5_010), &data_segment(flow(1), token, 1, 100, 10));
    assert!(matches!(late_verdict, Verdict::Reset(_)), "{late_verdict:?}");
    let new = host.handle_packet(Millis(5_020), &open_segment(flow(2), 0));
    assert_eq!(forwarded_to(new), None, "a flow of this service must not reach another service");
}

#[test]
fn packet_with_an_unknown_token_is_dropped() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    let verdict = host.handle_packet(Millis(10), &data_segment(flow(1), Token(42), 1, 1, 10));
    assert_eq!(verdict, Verdict::Drop);
    assert_eq!(host.stats().unknown_token, 1);
}

#[test]
fn host_is_ready_only_with_a_revision_and_an_upstream() {
    let mut host = DirectHost::new(settings(LOCAL_ZONE));
    assert!(!host.is_ready());
    host.apply_listing(Millis(0), &[DirectoryUpdate::Upstream(announcement(1, LOCAL_ZONE))]);
    assert!(!host.is_ready());
    let routes = vec![crate::direct::fixtures::route(crate::direct::fixtures::SERVICE, "feed")];
    host.apply_update(Millis(1), &crate::direct::fixtures::routing(1, routes));
    assert!(host.is_ready());
}

#[test]
fn flows_of_a_removed_upstream_are_freed() {
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    let mut upstream_ids = Vec::new();
    for number in 0..100 {
        upstream_ids.push(open_flow(&mut host, Millis(10), flow(number)).0);
    }
    host.apply_update(Millis(20), &DirectoryUpdate::UpstreamRemoved(1));
    host.tick(Millis(60_030));
    let remaining = upstream_ids.iter().filter(|it| **it == 2).count();
    for step in 0..100 {
        host.tick(Millis(60_100 + step * 50));
    }
    assert!(host.flow_count() <= remaining);
    assert!(host.registry().by_id(1).is_none());
}

/// Guards against forwarding a flow to the wrong upstream: this host sent a retransmitted opening
/// packet to one upstream, but the caller uses the token of another that the host does not know
/// yet.
#[test]
fn unknown_token_is_not_resolved_from_a_retransmitted_opening_packet() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    let (flow, unknown_token) = (flow(1), Token(0x1234_5678));
    assert_eq!(
        forwarded_to(host.handle_packet(Millis(10), &open_segment(flow, 1))).map(|it| it.0),
        Some(1)
    );
    let verdict = host.handle_packet(Millis(20), &data_segment(flow, unknown_token, 1, 100, 60));
    assert_eq!(verdict, Verdict::Drop);
}

/// Returns a later announcement of another service at the address of upstream 1.
fn foreign_announcement(id: u64) -> Announcement {
    let key = UpstreamKey { id, started_at: 9_000 };
    Announcement { key, service: "agent".to_owned(), addr: addr(1), ..announcement(id, LOCAL_ZONE) }
}

// Guards against resets and lost upstreams through an entry of another writer in the directory.
#[test]
fn announcement_of_an_unknown_service_ends_no_upstream_at_its_address_or_id() {
    for id in [1, 77] {
        let mut host = host(&[announcement(1, LOCAL_ZONE)]);
        let (_, token) = open_flow(&mut host, Millis(10), flow(1));
        let foreign = DirectoryUpdate::Upstream(foreign_announcement(id));
        host.apply_update(Millis(20), &foreign);
        assert_eq!(host.take_resets(), vec![], "id {id}");
        let to = host.handle_packet(Millis(30), &data_segment(flow(1), token, 1, 200, 10));
        assert_eq!(forwarded_to(to), Some((1, token)), "id {id}");
        assert_eq!(open_flow(&mut host, Millis(40), flow(2)), (1, token), "id {id}");
    }
}

// Guards against an upstream that stays unknown because another writer's entry was read before its own.
#[test]
fn upstream_takes_its_identifier_from_an_entry_of_an_unknown_service() {
    for started_at in [1, 9_000] {
        let mut foreign = foreign_announcement(1);
        foreign.key.started_at = started_at;
        let mut host = host(&[foreign.clone()]);
        host.apply_update(Millis(10), &DirectoryUpdate::Upstream(announcement(1, LOCAL_ZONE)));
        assert_eq!(open_flow(&mut host, Millis(20), flow(1)), (1, Token::of(key(1))));
        host.apply_update(Millis(30), &DirectoryUpdate::Upstream(foreign));
        assert_eq!(open_flow(&mut host, Millis(40), flow(2)), (1, Token::of(key(1))));
        assert_eq!(host.take_resets(), vec![]);
    }
}

// Guards against flows at the first instance of an upstream that started again before its service was
// configured.
#[test]
fn restart_before_the_service_is_configured_is_a_new_instance() {
    let mut host = DirectHost::new(settings(LOCAL_ZONE));
    host.apply_update(Millis(0), &DirectoryUpdate::Upstream(announcement(1, LOCAL_ZONE)));
    let mut later = announcement(1, LOCAL_ZONE);
    later.key.started_at += 500;
    host.apply_update(Millis(10), &DirectoryUpdate::Upstream(later.clone()));
    host.apply_update(Millis(20), &routing(1, vec![route(SERVICE, "feed")]));
    assert_eq!(open_flow(&mut host, Millis(30), flow(1)), (1, Token::of(later.key)));
}

#[test]
fn address_belongs_to_the_later_upstream_once_a_revision_names_its_service() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    open_flow(&mut host, Millis(10), flow(1));
    host.apply_update(Millis(20), &DirectoryUpdate::Upstream(foreign_announcement(77)));
    let other = ServiceAddr { port: 444, ..SERVICE };
    let routes = vec![route(SERVICE, "feed"), route(other, "agent")];
    host.apply_update(Millis(30), &routing(2, routes));
    assert_eq!(host.take_resets().len(), 1);
    let to = host.handle_packet(Millis(40), &open_segment(flow(2), 0));
    assert_eq!(forwarded_to(to), None, "the upstream at the address is gone");
    // An announcement of a known service takes the address at once.
    let mut newest = foreign_announcement(78);
    newest.key.started_at += 1;
    newest.service = "feed".to_owned();
    host.apply_update(Millis(50), &DirectoryUpdate::Upstream(newest));
    assert_eq!(open_flow(&mut host, Millis(60), flow(3)).0, 78);
}

/// Returns upstream 1 as it starts again while its clock is behind that of its first start.
fn earlier_start() -> Announcement {
    let key = UpstreamKey { started_at: key(1).started_at - 500, ..key(1) };
    Announcement { key, ..announcement(1, LOCAL_ZONE) }
}

// Guards against new flows at a draining upstream whose clock was ahead at its earlier start.
#[test]
fn instance_with_an_earlier_start_is_taken_from_a_listing() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    open_flow(&mut host, Millis(10), flow(1));
    let later = earlier_start();
    host.apply_update(Millis(2_000), &DirectoryUpdate::Upstream(later.clone()));
    assert_eq!(host.take_resets(), vec![], "an event may be older than what is known");
    assert!(host.is_listing_due(Millis(2_000)), "only a listing tells");
    let listing = |it: &Announcement| {
        let routes = vec![route(SERVICE, "feed")];
        vec![routing(1, routes), DirectoryUpdate::Upstream(it.clone())]
    };
    host.apply_listing(Millis(2_100), &listing(&later));
    assert!(!host.is_listing_due(Millis(9_000)));
    assert_eq!(host.take_resets().len(), 1, "the flow of the first instance is reset");
    assert_eq!(open_flow(&mut host, Millis(2_200), flow(2)), (1, Token::of(later.key)));
    // The first instance was replaced, whatever its start time says.
    let draining = Announcement { draining: true, ..later.clone() };
    host.apply_update(Millis(2_300), &DirectoryUpdate::Upstream(draining));
    let new = host.handle_packet(Millis(2_400), &open_segment(flow(3), 0));
    assert_eq!(forwarded_to(new), None, "it drains");
}

#[test]
fn instance_that_a_listing_names_is_current_again() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    host.apply_listing(Millis(100), &[DirectoryUpdate::Upstream(earlier_start())]);
    host.apply_listing(Millis(200), &[DirectoryUpdate::Upstream(announcement(1, LOCAL_ZONE))]);
    assert_eq!(open_flow(&mut host, Millis(300), flow(1)), (1, Token::of(key(1))));
}

#[test]
fn contradictions_call_for_a_listing_once_an_announcement_interval_at_most() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    let mut listings = 0;
    for now in (2_000..14_000).step_by(50) {
        let mut other = earlier_start();
        other.key.started_at -= now % 100;
        host.apply_update(Millis(now), &DirectoryUpdate::Upstream(other));
        if host.is_listing_due(Millis(now)) {
            listings += 1;
            host.apply_listing(
                Millis(now),
                &[DirectoryUpdate::Upstream(announcement(1, LOCAL_ZONE))],
            );
        }
    }
    assert_eq!(listings, 10, "in twelve seconds");
}
