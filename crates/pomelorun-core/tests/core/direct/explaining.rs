//! What operators are told is what the host does.

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, Choice, DirectoryUpdate, IneligibleReason, KnownFrom, ReachabilityView,
        Token, UpstreamView,
    },
};
use pomelorun_wire::ServiceAddr;

use crate::direct::kit::{FAR, NEAR, flow, host, opened, said};

fn upstreams() -> Vec<Announcement> {
    (1..=9).map(|id| said(id, if id % 3 == 0 { FAR } else { NEAR })).collect()
}

fn name(id: u64) -> String {
    format!("{id:016x}")
}

fn of(views: &[UpstreamView], id: u64) -> &UpstreamView {
    views.iter().find(|it| it.upstream == name(id)).unwrap()
}

#[test]
fn a_flow_opens_where_it_was_said_to() {
    let mut host = host(&upstreams());
    for number in 0..500 {
        let now = Millis(1_000 + u64::from(number) * 7);
        let told = host.explain(now, &flow(number), None);
        assert_eq!((told.lives_at, told.known_from), (None, None));
        let (id, token) = opened(&mut host, now, flow(number));
        assert_eq!(told.would_go_to, Some(name(id)), "flow {number}");
        let told = host.explain(now, &flow(number), None);
        assert_eq!((told.lives_at, told.known_from), (Some(name(id)), Some(KnownFrom::Packets)));
        // Another host knows the flow by its token only.
        let mut other = crate::direct::kit::host(&upstreams());
        let told = other.explain(now, &flow(number), Some(token));
        assert_eq!((told.lives_at, told.known_from), (Some(name(id)), Some(KnownFrom::Token)));
    }
}

#[test]
fn each_upstream_that_gets_no_flow_says_why() {
    let mut all = upstreams();
    all[0].draining = true;
    all[1].cold_left = Millis(60_000);
    let mut host = host(&all);
    host.apply_update(Millis(10), &DirectoryUpdate::ZoneWithdrawn(FAR));
    host.apply_update(Millis(10), &DirectoryUpdate::UpstreamRemoved(4));
    let view = host.view(Millis(5_000));
    let barred = |id: u64| of(&view.upstreams, id).ineligible;
    assert_eq!(barred(1), Some(IneligibleReason::Draining));
    assert_eq!(barred(3), Some(IneligibleReason::ZoneOut));
    assert_eq!(barred(4), Some(IneligibleReason::Lapsed));
    assert_eq!(of(&view.upstreams, 2).choice, Some(Choice::Cold));
    assert_eq!(of(&view.upstreams, 2).cold_left_ms, 55_000);
    assert_eq!(of(&view.upstreams, 5).choice, Some(Choice::Good));
    assert_eq!(of(&view.upstreams, 5).reachability, ReachabilityView::Answering);
    assert_eq!(view.zones_out, vec![FAR]);
    host.set_hosts(vec![pomelorun_wire::HostId(2)]);
    let view = host.view(Millis(5_000));
    assert_eq!(of(&view.upstreams, 2).ineligible, Some(IneligibleReason::ColdElsewhere));
}

#[test]
fn an_address_without_a_route_and_an_unknown_token_lead_nowhere() {
    let mut host = host(&upstreams());
    let mut stray = flow(1);
    stray.service = ServiceAddr { ip: 1, port: 2 };
    let told = host.explain(Millis(1_000), &stray, Some(Token(0xdead_beef)));
    assert_eq!((told.service, told.lives_at, told.would_go_to), (None, None, None));
}
