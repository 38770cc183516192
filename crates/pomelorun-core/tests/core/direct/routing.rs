//! Routes, traffic weights, and the routing changes that hosts send each other.

use pomelorun_core::{
    Millis,
    direct::{DirectRoute, RequestClass, RouteTarget, Routing, RoutingChange, ServiceLimits},
};
use pomelorun_wire::{ServiceAddr, encode};
use proptest::prelude::*;

use crate::direct::fixtures::flow;

fn routing(revision: u64, rows: &[(u16, u8, u32)]) -> Routing {
    let routes = rows.iter().map(|&(port, service, weight)| DirectRoute {
        addr: ServiceAddr { ip: 1, port },
        targets: vec![
            RouteTarget { service: format!("s{service}"), weight },
            RouteTarget { service: "rest".to_owned(), weight: 10 },
        ],
        answer_within: Millis(u64::from(port) / 2),
        class: RequestClass::default(),
    });
    let limits = vec![ServiceLimits {
        service: "s1".to_owned(),
        cold_per_s: 2.0,
        cold: Millis(2_000),
        health_path: "/health".to_owned(),
    }];
    Routing::new(revision, routes.collect(), limits, Millis(15_000))
}

#[test]
fn new_flows_are_distributed_by_target_weight() {
    let routing = routing(1, &[(443, 1, 90)]);
    let addr = ServiceAddr { ip: 1, port: 443 };
    let route = routing.route(addr).unwrap();
    let to_first = (0..10_000).filter(|it| route.service_of(&flow(*it)) == Some("s1")).count();
    assert!((8_800..9_200).contains(&to_first), "{to_first} of 10000");
}

#[test]
fn route_with_zero_total_weight_selects_no_service() {
    let addr = ServiceAddr { ip: 1, port: 443 };
    let targets = vec![RouteTarget { service: "s".to_owned(), weight: 0 }];
    assert_eq!(
        DirectRoute { addr, targets, answer_within: Millis(0), class: RequestClass::default() }
            .service_of(&flow(1)),
        None
    );
}

#[test]
fn change_based_on_another_revision_is_rejected() {
    let change = RoutingChange::between(&routing(2, &[]), &routing(3, &[(1, 1, 1)]));
    assert!(change.apply(&routing(1, &[])).is_none());
    assert!(change.apply(&routing(2, &[])).is_some());
}

#[test]
fn adding_one_route_to_a_thousand_encodes_a_small_change() {
    let rows: Vec<(u16, u8, u32)> = (0..1_000).map(|it| (it, 1, 5)).collect();
    let old = routing(1, &rows);
    let new = routing(2, &[rows.clone(), vec![(2_000, 2, 5)]].concat());
    let change = encode(&RoutingChange::between(&old, &new)).unwrap();
    assert!(change.len() < 300, "{} bytes", change.len());
    let all = encode(&RoutingChange::between(&Routing::default(), &new)).unwrap();
    assert!(all.len() < 25_000, "{} bytes", all.len());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn applying_a_change_yields_the_new_revision(
        old in prop::collection::vec((0u16..40, 0u8..4, 0u32..20), 0..40),
        new in prop::collection::vec((0u16..40, 0u8..4, 0u32..20), 0..40),
    ) {
        let (old, new) = (routing(1, &old), routing(2, &new));
        let change = RoutingChange::between(&old, &new);
        prop_assert_eq!(change.apply(&old), Some(new.clone()));
        let all = RoutingChange::between(&Routing::default(), &new);
        prop_assert_eq!(all.apply(&old), Some(new));
    }
}
