//! Zones that leave and return under load.

use pomelorun_core::Millis;
use pomelorun_wire::ZoneId;

use crate::{
    load::{Load, imbalance, seen, total},
    mesh::{Mesh, Outcome, Shape, snapshot},
};

const FLOWS: u32 = 300;
/// Time after publication from which a zone that is out gets no packets.
const OUT_WITHIN: Millis = Millis(5_000);

/// When the last packet reached an upstream of the zone.
fn last_packet(mesh: &Mesh, zone: ZoneId) -> Millis {
    let there = mesh.upstreams.values().filter(|it| it.zone == zone);
    there.map(|it| it.last_packet).max().expect("the zone has upstreams")
}

fn sessions(mesh: &Mesh, zone: ZoneId) -> usize {
    mesh.upstreams.values().filter(|it| it.zone == zone).map(|it| it.sessions.len()).sum()
}

#[test]
fn a_zone_out_gets_no_packets_from_hosts_that_cannot_read_the_revision() {
    for (seed, first_unaware) in [(60, 0), (61, 1), (62, 0), (63, 1)] {
        let shape = Shape::consorcio();
        let mut mesh = Mesh::new(&shape, seed);
        mesh.warm_up(FLOWS);
        let zone = mesh.hosts[0].zone;
        let id = zone;
        let next = snapshot(2, &shape, |_, zones| {
            zones.iter_mut().filter(|it| it.id == id).for_each(|it| it.withdrawn = true);
        });
        let there = sessions(&mesh, zone);
        assert!(there > 0);
        let mut load = Load::new(seed, FLOWS, 1_500);
        load.run(&mut mesh, 500);
        let aware: Vec<usize> =
            (0..mesh.hosts.len()).filter(|it| it % 2 != first_unaware).collect();
        let out = mesh.now;
        mesh.publish_to(&aware, &next);
        load.run(&mut mesh, 5_000);
        let given_up = mesh.callers.ended.len();
        load.run(&mut mesh, 5_000);
        mesh.run_for(1_000);
        let last = last_packet(&mesh, zone);
        assert!(last <= out + OUT_WITHIN, "seed {seed}: last packet {:?} after", last.since(out));
        assert!(given_up >= there, "seed {seed}: {given_up} of {there} flows given up");
        assert_eq!(mesh.callers.count(Outcome::Pending), 0, "seed {seed}");
    }
}

#[test]
fn requests_in_progress_in_a_zone_that_is_taken_out_end_at_once() {
    let shape = Shape { service_ms: 100, ..Shape::consorcio() };
    let mut mesh = Mesh::new(&shape, 64);
    mesh.open_flows(0, FLOWS);
    let mut load = Load::new(64, FLOWS, 1_000);
    load.run(&mut mesh, 2_000);
    mesh.publish(snapshot(2, &shape, |_, zones| {
        zones.iter_mut().for_each(|it| it.withdrawn = true);
    }));
    let out = mesh.now;
    mesh.run_for(1_000);
    let late = mesh.callers.asked.values().filter(|it| it.ended > out + Millis(10)).count();
    assert_eq!(mesh.callers.count(Outcome::Pending), 0);
    assert_eq!(late, 0, "requests that got their final answer late");
    let packets = mesh.upstreams.values().map(|it| it.last_packet).max();
    assert!(packets <= Some(out + Millis(10)), "{packets:?}, out since {out:?}");
}

#[test]
fn service_stays_good_while_a_zone_leaves_and_returns() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 65);
    mesh.warm_up(FLOWS);
    let zone = mesh.hosts[0].zone;
    let take = |revision, is_out| {
        snapshot(revision, &shape, |_, zones| {
            zones.iter_mut().filter(|it| it.id == zone).for_each(|it| it.withdrawn = is_out);
        })
    };
    let mut load = Load::new(65, FLOWS, 1_500);
    let start = mesh.now;
    load.run(&mut mesh, 2_000);
    let left = mesh.now;
    mesh.publish(take(2, true));
    mesh.run_for(20);
    reopen(&mut mesh);
    load.run(&mut mesh, 3_000);
    let returned = mesh.now;
    for it in mesh.upstreams.values_mut().filter(|it| it.zone == zone) {
        it.fall_cold();
        it.sessions.clear();
    }
    let before = total(&mesh, |it| it.overloads);
    mesh.publish(take(3, false));
    mesh.run_for(500);
    mesh.open_flows(FLOWS, FLOWS + FLOWS / 2);
    let mut load = Load::new(66, FLOWS + FLOWS / 2, 1_500);
    load.run(&mut mesh, 4_000);
    let end = mesh.now;
    mesh.run_for(1_000);
    let (steady, out, back) =
        (seen(&mesh, start, left), seen(&mesh, left, returned), seen(&mesh, returned, end));
    for it in [out, back] {
        assert!(it.answered * 100 >= it.asked * 95, "{it:?}, steady {steady:?}");
        assert!(it.p99 <= steady.p99 * 2, "{it:?}, steady {steady:?}");
    }
    assert_eq!(total(&mesh, |it| it.overloads), before, "overloads of the returning zone");
}

/// Callers whose flows were given up open them again.
fn reopen(mesh: &mut Mesh) {
    let ended: Vec<u32> =
        (0..FLOWS).filter(|&it| mesh.callers.ended.contains_key(&Mesh::flow(it))).collect();
    mesh.callers.ended.clear();
    for at in ended {
        mesh.open_flows(at, at + 1);
    }
    mesh.run_for(20);
}

#[test]
fn flows_are_spread_evenly_and_a_returning_zone_is_not_stormed() {
    let shape = Shape::consorcio();
    let mut mesh = Mesh::new(&shape, 67);
    mesh.publish(snapshot(2, &shape, |_, zones| zones[0].withdrawn = true));
    let zone = mesh
        .hosts
        .iter()
        .map(|it| it.zone)
        .find(|it| mesh.hosts[0].core.active_snapshot().is_some_and(|s| s.is_zone_withdrawn(*it)))
        .expect("one is out");
    mesh.open_flows(0, 3_000);
    mesh.run_for(200);
    let spread = |mesh: &Mesh, of: &dyn Fn(ZoneId) -> bool| {
        let counts: Vec<f64> = mesh
            .upstreams
            .values()
            .filter(|it| of(it.zone))
            .map(|it| it.sessions.len() as f64)
            .collect();
        imbalance(&counts)
    };
    let (most, _) = spread(&mesh, &|it| it != zone);
    assert!(most <= 1.25, "most over mean {most:.3}");
    mesh.publish(snapshot(3, &shape, |_, _| {}));
    mesh.run_for(1_000);
    mesh.open_flows(3_000, 3_600);
    mesh.run_for(200);
    // A third of the upstreams; twice its share of new flows is the most that it may get.
    let there = sessions(&mesh, zone);
    assert!(there <= 400, "{there} of 600 new flows went to the returning zone");
}
