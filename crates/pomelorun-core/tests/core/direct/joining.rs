//! Load of upstreams that join the candidates of new flows: what callers get, and how many requests
//! reach one upstream at a time.

use pomelorun_core::direct::DirectoryUpdate;
use pomelorun_wire::ZoneId;

use crate::direct::simulation::{Counts, Health, OutlierScope, Simulation, SimulationConfig};

/// Callers that open a flow for each request, at somewhat less than half of the upstreams' capacity.
const SHORT_FLOWS: SimulationConfig = SimulationConfig {
    zones: 3,
    hosts_per_zone: 4,
    upstreams_per_zone: 4,
    callers_per_zone: 40,
    max_think_ms: 1,
    max_work_ms: 40,
    loss_one_in: 0,
    outlier_scope: OutlierScope::PerZone,
    flow_requests: 1,
    max_pause_ms: 400,
};
/// Many hosts, each of which opens few flows.
const MANY_HOSTS: SimulationConfig = SimulationConfig {
    hosts_per_zone: 20,
    upstreams_per_zone: 20,
    callers_per_zone: 200,
    ..SHORT_FLOWS
};
const SEEDS: u64 = 8;
const START_MS: u64 = 6_000;

/// Checks that no request met a full queue and that nearly all were answered in time.
fn assert_served(name: &str, seed: u64, before: Counts, after: Counts) {
    assert_eq!(
        after.overloads - before.overloads,
        0,
        "{name}, seed {seed}: requests met a full queue"
    );
    let answered = after.answered - before.answered;
    let late = answered - (after.in_time - before.in_time);
    assert!(late * 1_000 <= answered, "{name}, seed {seed}: {late} of {answered} late");
}

#[test]
fn added_upstreams_are_not_flooded() {
    for (name, cfg) in [("few hosts", SHORT_FLOWS), ("many hosts", MANY_HOSTS)] {
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(cfg, seed);
            simulation.run_until(START_MS);
            let before = simulation.counts;
            for at in 0..4 {
                simulation.add_upstream(ZoneId(at % 3 + 1));
                simulation.run_until(START_MS + 1_000 * u64::from(at + 1));
            }
            assert_served(name, seed, before, simulation.counts);
        }
    }
}

#[test]
fn upstreams_are_not_flooded_at_the_end_of_their_cold_time() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(SHORT_FLOWS, seed);
        simulation.run_until(START_MS);
        let before = simulation.counts;
        for id in 101..104 {
            simulation.add_cold_upstream(id, ZoneId(1), 1_000);
        }
        simulation.run_until(START_MS + 3_000);
        assert_served("cold", seed, before, simulation.counts);
    }
}

#[test]
fn upstreams_of_a_restored_zone_are_not_flooded() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(SHORT_FLOWS, seed);
        simulation.apply_update(&DirectoryUpdate::ZoneWithdrawn(ZoneId(2)));
        simulation.run_until(START_MS);
        let before = simulation.counts;
        simulation.apply_update(&DirectoryUpdate::ZoneRestored(ZoneId(2)));
        simulation.run_until(START_MS + 8_000);
        assert_served("restored", seed, before, simulation.counts);
    }
}

#[test]
fn upstreams_that_respond_again_are_not_flooded() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(SHORT_FLOWS, seed);
        simulation.run_until(START_MS);
        simulation.set_health(5, Health::Unresponsive);
        simulation.run_until(START_MS + 5_000);
        simulation.set_health(5, Health::Healthy);
        let before = simulation.counts;
        simulation.run_until(START_MS + 12_000);
        assert_served("recovered", seed, before, simulation.counts);
    }
}

#[test]
fn an_added_upstream_gets_its_share_of_the_flows() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(SHORT_FLOWS, seed);
        simulation.run_until(START_MS);
        let id = simulation.add_upstream(ZoneId(2));
        let (before, total) = (simulation.started_at(id), simulation.started());
        simulation.run_until(START_MS + 4_000);
        let share =
            (simulation.started_at(id) - before) as f64 / (simulation.started() - total) as f64;
        let fair = 1.0 / simulation.upstreams() as f64;
        assert!(share > fair * 0.6 && share < fair * 1.5, "seed {seed}: {share} of {fair}");
    }
}
