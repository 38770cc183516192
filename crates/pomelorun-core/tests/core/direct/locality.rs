//! Load of callers that open a flow for each request: how many flows leave their zone, and whether
//! callers are served in time if their zone has few upstreams.

use pomelorun_core::direct::{DirectoryUpdate, Disabled, Mechanism};

use crate::direct::simulation::{Counts, OutlierScope, Simulation, SimulationConfig};

/// Callers whose requests keep about a third of the upstreams' slots busy.
const SHORT_FLOWS: SimulationConfig = SimulationConfig {
    zones: 3,
    hosts_per_zone: 3,
    upstreams_per_zone: 5,
    callers_per_zone: 40,
    max_think_ms: 1,
    max_work_ms: 40,
    loss_one_in: 0,
    outlier_scope: OutlierScope::PerZone,
    flow_requests: 1,
    max_pause_ms: 400,
};
const SEEDS: u64 = 8;
/// Time for hosts to observe how long flows live.
const START_MS: u64 = 4_000;
const DURATION_MS: u64 = 4_000;

fn run(cfg: SimulationConfig, seed: u64, removed: &[u64]) -> Counts {
    let mut simulation = Simulation::new(cfg, seed);
    for id in removed {
        simulation.apply_update(&DirectoryUpdate::UpstreamRemoved(*id));
    }
    simulation.run_until(START_MS);
    let before = simulation.counts;
    simulation.run_until(START_MS + DURATION_MS);
    let after = simulation.counts;
    Counts {
        answered: after.answered - before.answered,
        in_time: after.in_time - before.in_time,
        opened: after.opened - before.opened,
        remote_flows: after.remote_flows - before.remote_flows,
        overloads: after.overloads - before.overloads,
        ..after
    }
}

#[test]
fn short_flows_stay_in_their_zone_while_its_upstreams_have_room() {
    for seed in 0..SEEDS {
        let it = run(SHORT_FLOWS, seed, &[]);
        assert!(it.remote_flows * 10 <= it.opened, "seed {seed}: {it:?}");
        assert!(it.in_time * 1_000 >= it.answered * 999, "seed {seed}: {it:?}");
    }
}

#[test]
fn short_flows_leave_a_zone_that_has_few_upstreams() {
    // Upstreams 1, 4, 7, 10 and 13 are in the first zone.
    for seed in 0..SEEDS {
        let it = run(SHORT_FLOWS, seed, &[4, 7, 10, 13]);
        assert_eq!(it.overloads, 0, "seed {seed}: {it:?}");
        assert!(it.in_time * 1_000 >= it.answered * 999, "seed {seed}: {it:?}");
    }
}

#[test]
fn long_flows_are_placed_as_if_lifetimes_were_not_observed() {
    let cfg = SimulationConfig { flow_requests: 40, max_think_ms: 200, ..SHORT_FLOWS };
    for seed in 0..SEEDS {
        let run = |disabled: Vec<Mechanism>| {
            let mut simulation = Simulation::without(Disabled::new(disabled), cfg, seed);
            simulation.run_until(START_MS + DURATION_MS);
            format!("{:?}", simulation.counts)
        };
        assert_eq!(run(Vec::new()), run(vec![Mechanism::FlowLifetimes]), "seed {seed}");
    }
}

#[test]
fn long_flows_leave_a_zone_that_has_few_upstreams() {
    // Most flows wait for no answer when the next one is opened, so only the number of openings shows
    // how loaded the last upstream of the zone will be.
    let cfg = SimulationConfig { flow_requests: 60, max_think_ms: 200, ..SHORT_FLOWS };
    for seed in 0..SEEDS {
        let it = run(cfg, seed, &[4, 7, 10, 13]);
        assert!(it.overloads * 1_000 <= it.answered, "seed {seed}: {it:?}");
        assert!(it.in_time * 1_000 >= it.answered * 999, "seed {seed}: {it:?}");
    }
}
