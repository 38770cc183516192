//! What a host says that it would do with a packet is what it does.

use pomelorun_core::{Action, Actions, Event, HostCore, Millis, Route};
use pomelorun_wire::{Header, Packet, PacketKind};

use crate::mesh::{Mesh, Shape, snapshot};

const FLOWS: u32 = 120;

/// Hands a packet to a host and compares what it does with what it said.
fn check(core: &mut HostCore, now: Millis, at: u32, kind: PacketKind) -> Route {
    let flow = Mesh::flow(at);
    let said = core.explain(now, &flow);
    let route = if kind == PacketKind::Open { said.open } else { said.request };
    let header = Header::new(kind, &flow).req(99).deadline_ms(400);
    let packet = Packet::parse(header.as_bytes()).unwrap();
    let done = core.handle(now, Event::Fabric(packet));
    assert!(agrees(core, &route, &done), "flow {at}, {kind:?}: said {route:?}, did {done:?}");
    route
}

fn agrees(core: &HostCore, route: &Route, done: &Actions) -> bool {
    let relayed =
        |host| done.iter().any(|it| matches!(it, Action::Relay { to, .. } if *to == host));
    let replied = |kind: PacketKind, code| {
        done.iter().any(|it| {
            let Action::Reply(header) = it else { return false };
            Packet::parse(header.as_bytes()).unwrap().kind() == kind && header.result_code() == code
        })
    };
    match *route {
        Route::Upstream(id) => {
            let addr = core.active_snapshot().unwrap().upstream(id).unwrap().addr;
            // A full upstream's request waits in its queue and does nothing yet.
            done.is_empty() || done.contains(&Action::ToUpstream(addr))
        }
        Route::Primary(_, host) | Route::BucketOwner(host) | Route::Probe(host) => relayed(host),
        Route::Abandon(code) => replied(PacketKind::FlowAbandoned, code),
        Route::RetryLater(code) => {
            replied(PacketKind::NotRun, code) || replied(PacketKind::OutcomeUnknown, code)
        }
    }
}

#[test]
fn known_flows_and_new_ones_go_where_the_explanation_says() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 71);
    mesh.open_flows(0, FLOWS);
    mesh.run_for(200);
    let now = mesh.now;
    let mut seen = [0; 4];
    for flow in 0..2 * FLOWS {
        for host in &mut mesh.hosts {
            let kind = if flow < FLOWS { PacketKind::Request } else { PacketKind::Open };
            match check(&mut host.core, now, flow, kind) {
                Route::Upstream(_) => seen[0] += 1,
                Route::Primary(..) => seen[1] += 1,
                Route::BucketOwner(_) => seen[2] += 1,
                _ => seen[3] += 1,
            }
        }
    }
    assert!(seen[0] > 0 && seen[1] > 0 && seen[2] > 0, "{seen:?}");
}

#[test]
fn flows_that_nobody_knows_are_asked_for() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 72);
    let now = mesh.now;
    let mut asked = 0;
    for flow in 0..FLOWS {
        for host in &mut mesh.hosts {
            asked += u32::from(matches!(
                check(&mut host.core, now, flow, PacketKind::Request),
                Route::Probe(_)
            ));
        }
    }
    assert_eq!(asked, FLOWS, "the bucket owner of each flow asks");
}

#[test]
fn the_bucket_owner_leads_the_ranking_and_asking_changes_nothing() {
    let mut mesh = Mesh::new(&Shape::consorcio(), 73);
    mesh.open_flows(0, FLOWS);
    mesh.run_for(200);
    for flow in 0..FLOWS {
        let key = Mesh::flow(flow);
        let said: Vec<_> = mesh.hosts.iter().map(|it| it.core.explain(mesh.now, &key)).collect();
        let again: Vec<_> = mesh.hosts.iter().map(|it| it.core.explain(mesh.now, &key)).collect();
        assert_eq!(said, again);
        let owner = said[0].ranking[0];
        let at = mesh.hosts.iter().position(|it| it.id == owner).unwrap();
        assert!(said[at].assigned_upstream.is_some(), "the bucket owner knows the flow");
        for (it, host) in said.iter().zip(&mesh.hosts) {
            assert_eq!(it.ranking[0], owner);
            let elsewhere = matches!(it.request, Route::BucketOwner(to) if to == owner);
            let primary = it.primary == Some(host.id);
            assert!(elsewhere || primary || host.id == owner, "{it:?}");
        }
    }
}

#[test]
fn a_zone_out_and_a_host_without_configuration_say_so() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 74);
    mesh.publish(snapshot(2, &shape, |_, zones| {
        zones.iter_mut().for_each(|it| it.withdrawn = true);
    }));
    mesh.run_for(100);
    let now = mesh.now;
    for host in &mut mesh.hosts {
        let route = check(&mut host.core, now, 0, PacketKind::Open);
        assert!(matches!(route, Route::RetryLater(_)), "{route:?}");
    }
}
