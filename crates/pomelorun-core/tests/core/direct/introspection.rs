//! Introspection: the views and explanations for operators match the decisions of the host.

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, Choice, DirectoryUpdate, IneligibleReason, KnownFrom, ReachabilityView,
        Token, UpstreamView,
    },
};
use pomelorun_wire::ServiceAddr;

use crate::direct::fixtures::{LOCAL_ZONE, REMOTE_ZONE, announcement, flow, host, open_flow};

fn upstreams() -> Vec<Announcement> {
    (1..=9).map(|id| announcement(id, if id % 3 == 0 { REMOTE_ZONE } else { LOCAL_ZONE })).collect()
}

fn name(id: u64) -> String {
    format!("{id:016x}")
}

fn upstream_view(views: &[UpstreamView], id: u64) -> &UpstreamView {
    views.iter().find(|it| it.upstream == name(id)).unwrap()
}

#[test]
fn flow_opens_at_the_upstream_that_explain_predicts() {
    let mut host = host(&upstreams());
    for number in 0..500 {
        let now = Millis(1_000 + u64::from(number) * 7);
        let explanation = host.explain(now, &flow(number), None);
        assert_eq!((explanation.lives_at, explanation.known_from), (None, None));
        let (id, token) = open_flow(&mut host, now, flow(number));
        assert_eq!(explanation.would_go_to, Some(name(id)), "flow {number}");
        let explanation = host.explain(now, &flow(number), None);
        assert_eq!(
            (explanation.lives_at, explanation.known_from),
            (Some(name(id)), Some(KnownFrom::Packets))
        );
        // A host that has not seen packets of the flow resolves it by token.
        let mut other_host = crate::direct::fixtures::host(&upstreams());
        let explanation = other_host.explain(now, &flow(number), Some(token));
        assert_eq!(
            (explanation.lives_at, explanation.known_from),
            (Some(name(id)), Some(KnownFrom::Token))
        );
    }
}

#[test]
fn view_gives_the_reason_why_each_upstream_is_ineligible() {
    let mut all = upstreams();
    all[0].draining = true;
    all[1].cold_left = Millis(60_000);
    let mut host = host(&all);
    host.apply_update(Millis(10), &DirectoryUpdate::ZoneWithdrawn(REMOTE_ZONE));
    host.apply_update(Millis(10), &DirectoryUpdate::UpstreamRemoved(4));
    let view = host.view(Millis(5_000));
    let ineligible_reason = |id: u64| upstream_view(&view.upstreams, id).ineligible;
    assert_eq!(ineligible_reason(1), Some(IneligibleReason::Draining));
    assert_eq!(ineligible_reason(3), Some(IneligibleReason::ZoneOut));
    assert_eq!(ineligible_reason(4), Some(IneligibleReason::Lapsed));
    assert_eq!(upstream_view(&view.upstreams, 2).choice, Some(Choice::Cold));
    assert_eq!(upstream_view(&view.upstreams, 2).cold_left_ms, 55_000);
    assert_eq!(upstream_view(&view.upstreams, 5).choice, Some(Choice::Good));
    assert_eq!(upstream_view(&view.upstreams, 5).reachability, ReachabilityView::Answering);
    assert_eq!(view.zones_out, vec![REMOTE_ZONE]);
    host.set_hosts(Millis(0), vec![pomelorun_wire::HostId(2)]);
    let view = host.view(Millis(5_000));
    assert_eq!(upstream_view(&view.upstreams, 2).ineligible, Some(IneligibleReason::ColdElsewhere));
}

#[test]
fn explain_returns_no_upstream_without_a_route_or_a_known_token() {
    let mut host = host(&upstreams());
    let mut unrouted_flow = flow(1);
    unrouted_flow.service = ServiceAddr { ip: 1, port: 2 };
    let explanation = host.explain(Millis(1_000), &unrouted_flow, Some(Token(0xdead_beef)));
    assert_eq!(
        (explanation.service, explanation.lives_at, explanation.would_go_to),
        (None, None, None)
    );
}
