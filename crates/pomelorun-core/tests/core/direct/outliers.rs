//! Outlier detection: caller-visible results while reachable upstreams fail part of their requests.

use pomelorun_wire::ZoneId;

use crate::direct::simulation::{Counts, Health, OutlierScope, Simulation, SimulationConfig};

/// A scaled-down large deployment with many hosts, so that each host observes few requests. It
/// stands for a zone of the grown deployment.
const MANY_HOSTS: SimulationConfig = SimulationConfig {
    zones: 3,
    hosts_per_zone: 10,
    upstreams_per_zone: 10,
    callers_per_zone: 60,
    max_think_ms: 500,
    max_work_ms: 20,
    loss_one_in: 0,
    outlier_scope: OutlierScope::PerZone,
    flow_requests: 8,
    max_pause_ms: 0,
};
const SEEDS: u64 = 8;
const FAULT_START_MS: u64 = 5_000;
/// Time within which an ejection must take effect, in milliseconds: each flow carries a few
/// requests per second, and hosts send failure reports four times per second.
const DETECTION_MS: u64 = 2_000;
const FAULT_DURATION_MS: u64 = 8_000;
/// Identifiers of the failing upstreams: one in ten, the share that the users reported.
const FAILING_UPSTREAMS: [u64; 3] = [4, 11, 24];

/// Returns the counts of the period in which the failing upstreams should already be ejected.
fn run_with_failing_upstreams(
    cfg: SimulationConfig,
    seed: u64,
    health: Health,
) -> (Counts, Simulation) {
    let mut simulation = Simulation::new(cfg, seed);
    simulation.run_until(FAULT_START_MS);
    for id in FAILING_UPSTREAMS {
        simulation.set_health(id, health);
    }
    simulation.run_until(FAULT_START_MS + DETECTION_MS);
    let before = simulation.counts;
    simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
    let after = simulation.counts;
    let counts = Counts {
        answered: after.answered - before.answered,
        failed: after.failed - before.failed,
        expired: after.expired - before.expired,
        ..after
    };
    (counts, simulation)
}

fn count_failures(outlier_scope: OutlierScope, health: Health) -> (u64, u64, u64) {
    let (mut failed, mut requests, mut false_ejections) = (0, 0, 0);
    for seed in 0..SEEDS {
        let (it, _) = run_with_failing_upstreams(
            SimulationConfig { outlier_scope, ..MANY_HOSTS },
            seed,
            health,
        );
        failed += it.failed + it.expired;
        requests += it.failed + it.expired + it.answered;
        false_ejections += it.false_ejections;
    }
    (failed, requests, false_ejections)
}

#[test]
fn at_most_one_percent_of_requests_fail_while_upstreams_fail_partially() {
    for health in
        [Health::ErrorPercent(40), Health::ErrorPercent(100), Health::NoResponsePercent(40)]
    {
        let (failed, requests, false_ejections) = count_failures(OutlierScope::PerZone, health);
        // Without ejection, a tenth of the upstreams would fail at least 4 % of the requests.
        assert!(failed * 100 <= requests, "{health:?}: {failed} of {requests} failed");
        assert_eq!(false_ejections, 0, "{health:?}");
    }
}

#[test]
fn zone_wide_detection_prevents_more_failures_than_per_host_detection() {
    let (per_zone, _, _) = count_failures(OutlierScope::PerZone, Health::ErrorPercent(40));
    let (per_host, _, _) = count_failures(OutlierScope::PerHost, Health::ErrorPercent(40));
    assert!(per_zone * 2 <= per_host, "{per_zone} failed per zone, {per_host} failed per host");
}

#[test]
fn recovered_upstreams_get_flows_again_after_ejection() {
    for seed in 0..SEEDS {
        let (_, mut simulation) =
            run_with_failing_upstreams(MANY_HOSTS, seed, Health::ErrorPercent(40));
        for id in FAILING_UPSTREAMS {
            simulation.set_health(id, Health::Healthy);
        }
        // The longest ejection that can be active is the second, of 12 s; the ramp-up follows.
        simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS + 18_000);
        assert_eq!(simulation.ejected(), 0, "seed {seed}");
        let flows: usize = FAILING_UPSTREAMS.iter().map(|it| simulation.flows_at(*it)).sum();
        assert!(flows > 0, "seed {seed}: no flow at the recovered upstreams");
    }
}

#[test]
fn fault_of_all_upstreams_keeps_flows_distributed() {
    for health in [
        Health::ErrorPercent(40),
        Health::ErrorPercent(100),
        Health::NoResponsePercent(40),
        Health::Slow(40),
    ] {
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(MANY_HOSTS, seed);
            simulation.run_until(FAULT_START_MS);
            let before = simulation.counts.max_in_flight;
            for id in 1..=simulation.upstreams() as u64 {
                simulation.set_health(id, health);
            }
            simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
            for id in 1..=simulation.upstreams() as u64 {
                simulation.set_health(id, Health::Healthy);
            }
            let flows: Vec<usize> =
                (1..=simulation.upstreams() as u64).map(|it| simulation.flows_at(it)).collect();
            let upstreams_without_flows = flows.iter().filter(|it| **it == 0).count();
            // New flows are still distributed over all upstreams.
            assert!(
                upstreams_without_flows * 10 <= flows.len(),
                "{health:?}, seed {seed}: {flows:?}"
            );
            assert!(before < 10, "seed {seed}: overloaded before the fault");
        }
    }
}

#[test]
fn packet_loss_load_and_partitions_eject_no_upstream() {
    let cfgs = [
        SimulationConfig { loss_one_in: 20, ..MANY_HOSTS },
        SimulationConfig { loss_one_in: 100, ..MANY_HOSTS },
        SimulationConfig { max_work_ms: 60, ..MANY_HOSTS },
    ];
    for cfg in cfgs {
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(cfg, seed);
            simulation.run_until(FAULT_START_MS);
            simulation.partition_zone(Some(ZoneId(2)));
            simulation.run_until(FAULT_START_MS + 3_000);
            simulation.partition_zone(None);
            simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
            let it = simulation.counts;
            assert_eq!(it.ejections, 0, "{cfg:?}, seed {seed}: {it:?}");
        }
    }
}

#[test]
fn callers_with_bad_requests_cause_no_ejection() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(MANY_HOSTS, seed);
        simulation.run_until(FAULT_START_MS);
        for caller in [3, 50, 111, 170] {
            simulation.send_bad_requests(caller);
        }
        simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
        assert_eq!(simulation.counts.ejections, 0, "seed {seed}");
    }
}

#[test]
fn heavy_packet_loss_ejects_no_upstream() {
    // More seeds than above, because few failures of one upstream are rarely close to each other.
    for seed in SEEDS..SEEDS * 6 {
        let mut simulation =
            Simulation::new(SimulationConfig { loss_one_in: 20, ..MANY_HOSTS }, seed);
        simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
        let it = simulation.counts;
        assert_eq!(it.ejections, 0, "seed {seed}: {it:?}");
    }
}
