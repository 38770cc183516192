//! Withdrawal and restoration of zones under load.

use pomelorun_core::Millis;
use pomelorun_wire::ZoneId;

use crate::{
    load::{Load, imbalance, seen, total},
    mesh::{Mesh, Outcome, Shape, snapshot},
};

const FLOWS: u32 = 300;
/// Maximum time from the publication of a withdrawal to the last packet in the withdrawn zone.
const MAX_WITHDRAWAL_DELAY: Millis = Millis(5_000);

/// Returns the time at which the last packet reached an upstream of the zone.
fn last_packet(mesh: &Mesh, zone: ZoneId) -> Millis {
    let in_zone = mesh.upstreams.values().filter(|it| it.zone == zone);
    in_zone.map(|it| it.last_packet).max().expect("the zone has upstreams")
}

fn sessions(mesh: &Mesh, zone: ZoneId) -> usize {
    mesh.upstreams.values().filter(|it| it.zone == zone).map(|it| it.sessions.len()).sum()
}

#[test]
fn withdrawn_zone_gets_no_packets_from_hosts_without_the_revision() {
    for (seed, first_stale_host) in [(60, 0), (61, 1), (62, 0), (63, 1)] {
        let shape = Shape::consorcio();
        let mut mesh = Mesh::new(&shape, seed);
        mesh.warm_up(FLOWS);
        let zone = mesh.hosts[0].zone;
        let id = zone;
        let next = snapshot(2, &shape, |_, zones| {
            zones.iter_mut().filter(|it| it.id == id).for_each(|it| it.withdrawn = true);
        });
        let sessions_in_zone = sessions(&mesh, zone);
        assert!(sessions_in_zone > 0);
        let mut load = Load::new(seed, FLOWS, 1_500);
        load.run(&mut mesh, 500);
        let updated_hosts: Vec<usize> =
            (0..mesh.hosts.len()).filter(|it| it % 2 != first_stale_host).collect();
        let withdrawn_at = mesh.now;
        mesh.publish_to(&updated_hosts, &next);
        load.run(&mut mesh, 5_000);
        let abandoned = mesh.callers.ended.len();
        load.run(&mut mesh, 5_000);
        mesh.run_for(1_000);
        let last = last_packet(&mesh, zone);
        assert!(
            last <= withdrawn_at + MAX_WITHDRAWAL_DELAY,
            "seed {seed}: last packet {:?} after the withdrawal",
            last.since(withdrawn_at)
        );
        assert!(
            abandoned >= sessions_in_zone,
            "seed {seed}: {abandoned} of {sessions_in_zone} flows abandoned"
        );
        assert_eq!(mesh.callers.count(Outcome::Pending), 0, "seed {seed}");
    }
}

#[test]
fn zone_withdrawal_ends_its_requests_in_progress_at_once() {
    let shape = Shape { service_ms: 100, ..Shape::consorcio() };
    let mut mesh = Mesh::new(&shape, 64);
    mesh.open_flows(0, FLOWS);
    let mut load = Load::new(64, FLOWS, 1_000);
    load.run(&mut mesh, 2_000);
    mesh.publish(snapshot(2, &shape, |_, zones| {
        zones.iter_mut().for_each(|it| it.withdrawn = true);
    }));
    let withdrawn_at = mesh.now;
    mesh.run_for(1_000);
    let late =
        mesh.callers.asked.values().filter(|it| it.ended > withdrawn_at + Millis(10)).count();
    assert_eq!(mesh.callers.count(Outcome::Pending), 0);
    assert_eq!(late, 0, "requests that received their final response late");
    let last_packet = mesh.upstreams.values().map(|it| it.last_packet).max();
    assert!(
        last_packet <= Some(withdrawn_at + Millis(10)),
        "{last_packet:?}, withdrawn at {withdrawn_at:?}"
    );
}

#[test]
fn latency_and_success_rate_hold_during_withdrawal_and_restoration() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 65);
    mesh.warm_up(FLOWS);
    let zone = mesh.hosts[0].zone;
    let zone_snapshot = |revision, withdrawn| {
        snapshot(revision, &shape, |_, zones| {
            zones.iter_mut().filter(|it| it.id == zone).for_each(|it| it.withdrawn = withdrawn);
        })
    };
    let mut load = Load::new(65, FLOWS, 1_500);
    let start = mesh.now;
    load.run(&mut mesh, 2_000);
    let withdrawn_at = mesh.now;
    mesh.publish(zone_snapshot(2, true));
    mesh.run_for(20);
    reopen_abandoned_flows(&mut mesh);
    load.run(&mut mesh, 3_000);
    let restored_at = mesh.now;
    for it in mesh.upstreams.values_mut().filter(|it| it.zone == zone) {
        it.fall_cold();
        it.sessions.clear();
    }
    let overloads_before = total(&mesh, |it| it.overloads);
    mesh.publish(zone_snapshot(3, false));
    mesh.run_for(500);
    mesh.open_flows(FLOWS, FLOWS + FLOWS / 2);
    let mut load = Load::new(66, FLOWS + FLOWS / 2, 1_500);
    load.run(&mut mesh, 4_000);
    let end = mesh.now;
    mesh.run_for(1_000);
    let (before_withdrawal, during_withdrawal, after_restoration) = (
        seen(&mesh, start, withdrawn_at),
        seen(&mesh, withdrawn_at, restored_at),
        seen(&mesh, restored_at, end),
    );
    for it in [during_withdrawal, after_restoration] {
        assert!(
            it.answered * 100 >= it.asked * 95,
            "{it:?}, before the withdrawal {before_withdrawal:?}"
        );
        assert!(
            it.p99 <= before_withdrawal.p99 * 2,
            "{it:?}, before the withdrawal {before_withdrawal:?}"
        );
    }
    assert_eq!(
        total(&mesh, |it| it.overloads),
        overloads_before,
        "overloads while the zone is restored"
    );
}

/// Opens the abandoned flows again, as callers do.
fn reopen_abandoned_flows(mesh: &mut Mesh) {
    let ended: Vec<u32> =
        (0..FLOWS).filter(|&it| mesh.callers.ended.contains_key(&Mesh::flow(it))).collect();
    mesh.callers.ended.clear();
    for at in ended {
        mesh.open_flows(at, at + 1);
    }
    mesh.run_for(20);
}

#[test]
fn new_flows_are_balanced_and_do_not_flood_a_restored_zone() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 67);
    mesh.publish(snapshot(2, &shape, |_, zones| zones[0].withdrawn = true));
    let zone = mesh
        .hosts
        .iter()
        .map(|it| it.zone)
        .find(|it| mesh.hosts[0].core.active_snapshot().is_some_and(|s| s.is_zone_withdrawn(*it)))
        .expect("a withdrawn zone");
    mesh.open_flows(0, 3_000);
    mesh.run_for(200);
    let flow_imbalance = |mesh: &Mesh, of: &dyn Fn(ZoneId) -> bool| {
        let counts: Vec<f64> = mesh
            .upstreams
            .values()
            .filter(|it| of(it.zone))
            .map(|it| it.sessions.len() as f64)
            .collect();
        imbalance(&counts)
    };
    let (max_over_mean, _) = flow_imbalance(&mesh, &|it| it != zone);
    assert!(max_over_mean <= 1.25, "maximum over mean {max_over_mean:.3}");
    mesh.publish(snapshot(3, &shape, |_, _| {}));
    mesh.run_for(1_000);
    mesh.open_flows(3_000, 3_600);
    mesh.run_for(200);
    // The zone has a third of the upstreams and may receive at most twice its share of new flows.
    let sessions_in_zone = sessions(&mesh, zone);
    assert!(
        sessions_in_zone <= 400,
        "{sessions_in_zone} of 600 new flows went to the restored zone"
    );
}
