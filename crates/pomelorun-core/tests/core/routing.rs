//! Where packets go while hosts, upstreams and revisions change.

use rand::RngExt;

use crate::mesh::{Mesh, Shape, snapshot};

/// Six hosts in four zones, of which two have a single host.
fn prairies() -> Shape {
    Shape {
        zones: vec!["regina-a", "regina-b", "saskatoon", "winnipeg"],
        hosts: vec![2, 2, 1, 1],
        upstreams: 15,
        slots: 3,
        service_ms: 4,
    }
}

/// Sends requests of random flows, so many each millisecond.
fn ask_for(mesh: &mut Mesh, flows: u32, ms: u64, each_ms: u32) {
    for _ in 0..ms {
        for _ in 0..each_ms {
            let flow = mesh.rng.random_range(0..flows);
            let once = mesh.rng.random_range(0..100) < 3;
            mesh.request(flow, !once);
        }
        mesh.run_for(1);
    }
}

/// Sends requests of every flow, so that each flow that was lost shows.
fn ask_all(mesh: &mut Mesh, flows: u32) {
    for _ in 0..2 {
        for flow in 0..flows {
            mesh.request(flow, true);
            if flow % 2 == 0 {
                mesh.run_for(1);
            }
        }
        mesh.run_for(1_000);
    }
}

/// Drains an upstream, adds a host and takes another away; requests come all the while.
///
/// `unread_ms` is the time after which other hosts have read the new one's address.
fn replace_a_host(seed: u64, flows: u32, unread_ms: u64) -> Mesh {
    let shape = prairies();
    let mut mesh = Mesh::new(&shape, seed);
    mesh.open_flows(0, flows);
    ask_for(&mut mesh, flows, 1_000, 1);
    mesh.publish(snapshot(2, &shape, |upstreams, _| upstreams[0].draining = true));
    ask_for(&mut mesh, flows, 500, 1);
    let new = mesh.hosts.len();
    mesh.strangers = (0..new).map(|it| (it, new)).collect();
    mesh.join("regina-a-new", "regina-a");
    ask_for(&mut mesh, flows, unread_ms, 4);
    mesh.strangers = vec![(2, new), (4, new)];
    ask_for(&mut mesh, flows, unread_ms / 2, 4);
    mesh.strangers.clear();
    mesh.spray = Some((1..mesh.hosts.len()).collect());
    ask_for(&mut mesh, flows, 500, 4);
    mesh.leave(0);
    ask_for(&mut mesh, flows, 100, 8);
    ask_for(&mut mesh, flows, 1_400, 1);
    mesh.crash(0);
    mesh.list();
    mesh.spray = Some((1..mesh.hosts.len()).collect());
    ask_all(&mut mesh, flows);
    mesh
}

#[test]
fn no_flow_breaks_while_a_host_is_replaced_and_an_upstream_drains() {
    for seed in 1..=4 {
        let mesh = replace_a_host(seed, 4_000, 300);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken with seed {seed}");
    }
}

#[test]
fn no_flow_breaks_while_a_new_host_wrongly_believes_others_dead() {
    for seed in 1..=4 {
        let mesh = replace_a_host(seed, 8_000, 2_000);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken with seed {seed}");
    }
}

fn crash(seed: u64, flows: u32, crashed: &[usize]) -> Mesh {
    let mut mesh = Mesh::new(&prairies(), seed);
    mesh.open_flows(0, flows);
    ask_for(&mut mesh, flows, 500, 1);
    crashed.iter().for_each(|&it| mesh.crash(it));
    ask_for(&mut mesh, flows, 3_000, 1);
    ask_all(&mut mesh, flows);
    mesh
}

#[test]
fn no_flow_breaks_after_any_one_host_has_crashed() {
    for at in 0..6 {
        let mesh = crash(10 + at as u64, 3_000, &[at]);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken after the crash of host {at}");
    }
}

#[test]
fn no_flow_breaks_after_two_hosts_of_different_zones_have_crashed() {
    for seed in 20..23 {
        let mesh = crash(seed, 3_000, &[0, 2]);
        assert_eq!(mesh.callers.ended.len(), 0, "flows broken with seed {seed}");
    }
}
