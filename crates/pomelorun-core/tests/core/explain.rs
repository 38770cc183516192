//! `HostCore::explain` predicts what a host does with a packet.

use pomelorun_core::{Action, Actions, Event, HostCore, Millis, Route};
use pomelorun_wire::{Header, Packet, PacketKind};

use crate::mesh::{Mesh, Shape, snapshot};

const FLOWS: u32 = 120;

/// Passes a packet to a host and compares the resulting actions with the explanation.
fn check_explanation(core: &mut HostCore, now: Millis, at: u32, kind: PacketKind) -> Route {
    let flow = Mesh::flow(at);
    let explained = core.explain(now, &flow);
    let route = if kind == PacketKind::Open { explained.open } else { explained.request };
    let header = Header::new(kind, &flow).req(99).deadline_ms(400);
    let packet = Packet::parse(header.as_bytes()).unwrap();
    let actions = core.handle(now, Event::Fabric(packet));
    assert!(
        matches_route(core, &route, &actions),
        "flow {at}, {kind:?}: explained {route:?}, got {actions:?}"
    );
    route
}

fn matches_route(core: &HostCore, route: &Route, actions: &Actions) -> bool {
    let relayed =
        |host| actions.iter().any(|it| matches!(it, Action::Relay { to, .. } if *to == host));
    let replied = |kind: PacketKind, code| {
        actions.iter().any(|it| {
            let Action::Reply(header) = it else { return false };
            Packet::parse(header.as_bytes()).unwrap().kind() == kind && header.result_code() == code
        })
    };
    match *route {
        Route::Upstream(id) => {
            let addr = core.active_snapshot().unwrap().upstream(id).unwrap().addr;
            // A request for an upstream at its limit is queued and causes no action yet.
            actions.is_empty() || actions.contains(&Action::ToUpstream(addr))
        }
        Route::Primary(_, host) | Route::BucketOwner(host) | Route::Probe(host) => relayed(host),
        Route::Abandon(code) => replied(PacketKind::FlowAbandoned, code),
        Route::RetryLater(code) => {
            replied(PacketKind::NotRun, code) || replied(PacketKind::OutcomeUnknown, code)
        }
    }
}

#[test]
fn known_and_new_flows_take_the_explained_route() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 71);
    mesh.open_flows(0, FLOWS);
    mesh.run_for(200);
    let now = mesh.now;
    let mut route_counts = [0; 4];
    for flow in 0..2 * FLOWS {
        for host in &mut mesh.hosts {
            let kind = if flow < FLOWS { PacketKind::Request } else { PacketKind::Open };
            match check_explanation(&mut host.core, now, flow, kind) {
                Route::Upstream(_) => route_counts[0] += 1,
                Route::Primary(..) => route_counts[1] += 1,
                Route::BucketOwner(_) => route_counts[2] += 1,
                _ => route_counts[3] += 1,
            }
        }
    }
    assert!(route_counts[0] > 0 && route_counts[1] > 0 && route_counts[2] > 0, "{route_counts:?}");
}

#[test]
fn bucket_owner_probes_for_unknown_flows() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 72);
    let now = mesh.now;
    let mut probes = 0;
    for flow in 0..FLOWS {
        for host in &mut mesh.hosts {
            probes += u32::from(matches!(
                check_explanation(&mut host.core, now, flow, PacketKind::Request),
                Route::Probe(_)
            ));
        }
    }
    assert_eq!(probes, FLOWS, "one probe per flow, sent by its bucket owner");
}

#[test]
fn bucket_owner_ranks_first_and_explain_has_no_side_effects() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 73);
    mesh.open_flows(0, FLOWS);
    mesh.run_for(200);
    for flow in 0..FLOWS {
        let key = Mesh::flow(flow);
        let explained: Vec<_> =
            mesh.hosts.iter().map(|it| it.core.explain(mesh.now, &key)).collect();
        let again: Vec<_> = mesh.hosts.iter().map(|it| it.core.explain(mesh.now, &key)).collect();
        assert_eq!(explained, again);
        let owner = explained[0].ranking[0];
        let at = mesh.hosts.iter().position(|it| it.id == owner).unwrap();
        assert!(explained[at].assigned_upstream.is_some(), "the bucket owner knows the flow");
        for (it, host) in explained.iter().zip(&mesh.hosts) {
            assert_eq!(it.ranking[0], owner);
            let goes_to_owner = matches!(it.request, Route::BucketOwner(to) if to == owner);
            let is_primary = it.primary == Some(host.id);
            assert!(goes_to_owner || is_primary || host.id == owner, "{it:?}");
        }
    }
}

#[test]
fn explain_returns_retry_later_when_all_zones_are_withdrawn() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 74);
    mesh.publish(snapshot(2, &shape, |_, zones| {
        zones.iter_mut().for_each(|it| it.withdrawn = true);
    }));
    mesh.run_for(100);
    let now = mesh.now;
    for host in &mut mesh.hosts {
        let route = check_explanation(&mut host.core, now, 0, PacketKind::Open);
        assert!(matches!(route, Route::RetryLater(_)), "{route:?}");
    }
}
