//! What a start of an upstream is called, and what becomes of it.

use pomelorun_core::{
    Millis,
    direct::{DirectHost, DirectoryUpdate, Token, UpstreamKey, Verdict},
};

use crate::direct::kit::{
    NEAR, addr, data, flow, host, key, open, opened, said, sent_to, settings,
};

#[test]
fn a_token_is_the_same_on_every_host_and_never_that_of_a_fresh_packet() {
    for id in 0..10_000 {
        let token = Token::of(key(id));
        assert_eq!(token, Token::of(key(id)));
        assert_ne!(token, Token::NONE);
    }
    let reborn = UpstreamKey { started_at: 5_000, ..key(1) };
    assert_ne!(Token::of(key(1)), Token::of(reborn));
}

/// Two starts with one token.
fn colliding() -> (UpstreamKey, UpstreamKey) {
    let key = |id: u64| UpstreamKey { id, started_at: 7 };
    let mut tokens: Vec<(Token, u64)> = (0..400_000).map(|id| (Token::of(key(id)), id)).collect();
    tokens.sort_unstable();
    let pair = tokens.windows(2).find(|it| it[0].0 == it[1].0).expect("a collision");
    (key(pair[0].1), key(pair[1].1))
}

#[test]
fn of_two_starts_with_one_token_every_host_means_the_same_one() {
    let (first, second) = colliding();
    let a = said(first.id, NEAR);
    let a = pomelorun_core::direct::Announcement { key: first, ..a };
    let b = pomelorun_core::direct::Announcement { key: second, ..said(second.id, NEAR) };
    for order in [[&a, &b], [&b, &a]] {
        let mut host = host(&order.map(Clone::clone));
        for number in 0..50 {
            let to = sent_to(host.handle_packet(Millis(10), &open(flow(number), 0)));
            assert_eq!(to.map(|it| it.0), Some(first.id.min(second.id)));
        }
    }
}

#[test]
fn packets_follow_their_token_after_the_upstream_is_no_longer_announced() {
    let mut host = host(&[said(1, NEAR), said(2, NEAR)]);
    let (id, token) = opened(&mut host, Millis(10), flow(1));
    host.apply_update(Millis(20), &DirectoryUpdate::UpstreamRemoved(id));
    let to = host.handle_packet(Millis(30_000), &data(flow(1), token, 1, 200, 10));
    assert_eq!(sent_to(to), Some((id, token)));
    // A host that never placed the flow forwards it alike.
    let other = flow(2);
    let to = host.handle_packet(Millis(30_001), &data(other, token, 1, 200, 10));
    assert_eq!(sent_to(to), Some((id, token)));
}

#[test]
fn an_upstream_that_came_back_under_its_identifier_is_another_start() {
    let mut host = host(&[said(1, NEAR)]);
    let (_, token) = opened(&mut host, Millis(10), flow(1));
    let mut reborn = said(1, NEAR);
    reborn.key.started_at += 5_000;
    host.apply_update(Millis(1_000), &DirectoryUpdate::Upstream(reborn.clone()));
    let resets: Vec<_> = host.take_resets();
    assert_eq!(resets.len(), 1, "its flow ended with the earlier start");
    assert_eq!(resets[0].seq, 100);
    let late = host.handle_packet(Millis(1_010), &data(flow(1), token, 1, 100, 10));
    assert!(matches!(late, Verdict::Reset(_)), "{late:?}");
    let (_, new) = opened(&mut host, Millis(1_020), flow(2));
    assert_eq!(new, Token::of(reborn.key));
    // The earlier start's last word comes late.
    host.apply_update(Millis(1_030), &DirectoryUpdate::Upstream(said(1, NEAR)));
    let (_, still) = opened(&mut host, Millis(1_040), flow(3));
    assert_eq!(still, new);
}

#[test]
fn an_address_that_went_to_another_upstream_ends_the_one_before() {
    let mut host = host(&[said(1, NEAR)]);
    let (_, token) = opened(&mut host, Millis(10), flow(1));
    let mut next = said(2, NEAR);
    next.service = "reports".to_owned();
    next.addr = addr(1);
    host.apply_update(Millis(5_000), &DirectoryUpdate::Upstream(next));
    assert_eq!(host.take_resets().len(), 1);
    let late = host.handle_packet(Millis(5_010), &data(flow(1), token, 1, 100, 10));
    assert!(matches!(late, Verdict::Reset(_)), "{late:?}");
    let new = host.handle_packet(Millis(5_020), &open(flow(2), 0));
    assert_eq!(sent_to(new), None, "nothing may reach the other service");
}

#[test]
fn a_token_that_nobody_here_knows_is_not_guessed() {
    let mut host = host(&[said(1, NEAR)]);
    let verdict = host.handle_packet(Millis(10), &data(flow(1), Token(42), 1, 1, 10));
    assert_eq!(verdict, Verdict::Drop);
    assert_eq!(host.stats().unknown_token, 1);
}

#[test]
fn a_host_is_ready_only_with_a_revision_and_an_upstream() {
    let mut host = DirectHost::new(settings(NEAR));
    assert!(!host.is_ready());
    host.apply_listing(Millis(0), &[DirectoryUpdate::Upstream(said(1, NEAR))]);
    assert!(!host.is_ready());
    let routes = vec![crate::direct::kit::route(crate::direct::kit::SERVICE, "feed")];
    host.apply_update(Millis(1), &crate::direct::kit::routing(1, routes));
    assert!(host.is_ready());
}

#[test]
fn flows_of_a_forgotten_upstream_take_no_memory() {
    let mut host = host(&[said(1, NEAR), said(2, NEAR)]);
    let mut homes = Vec::new();
    for number in 0..100 {
        homes.push(opened(&mut host, Millis(10), flow(number)).0);
    }
    host.apply_update(Millis(20), &DirectoryUpdate::UpstreamRemoved(1));
    host.tick(Millis(60_030));
    let left = homes.iter().filter(|it| **it == 2).count();
    for step in 0..100 {
        host.tick(Millis(60_100 + step * 50));
    }
    assert!(host.flow_count() <= left);
    assert!(host.registry().by_id(1).is_none());
}

/// A copy of the opening packet went to another upstream by way of this host, which does not know
/// the one that the caller took yet.
#[test]
fn a_flow_with_an_unknown_token_is_not_led_to_where_a_copy_of_it_went() {
    let mut host = host(&[said(1, NEAR)]);
    let (flow, elsewhere) = (flow(1), Token(0x1234_5678));
    assert_eq!(sent_to(host.handle_packet(Millis(10), &open(flow, 1))).map(|it| it.0), Some(1));
    let verdict = host.handle_packet(Millis(20), &data(flow, elsewhere, 1, 100, 60));
    assert_eq!(verdict, Verdict::Drop);
}
