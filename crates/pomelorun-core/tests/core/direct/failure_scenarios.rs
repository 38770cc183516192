//! Failure scenarios: caller-visible results while upstreams fail, slow down or are partitioned.

use pomelorun_core::direct::Reachability;
use pomelorun_wire::ZoneId;

use crate::direct::simulation::{Health, OutlierScope, Simulation, SimulationConfig};

/// A small deployment: three zones, each with two hosts and five upstreams, and about a hundred
/// callers with long-lived flows. These are the numbers of the deployment that the users run today.
const SMALL_DEPLOYMENT: SimulationConfig = SimulationConfig {
    zones: 3,
    hosts_per_zone: 2,
    upstreams_per_zone: 5,
    callers_per_zone: 34,
    max_think_ms: 500,
    max_work_ms: 30,
    loss_one_in: 0,
    outlier_scope: OutlierScope::PerZone,
    flow_requests: u32::MAX,
    max_pause_ms: 0,
};
const SEEDS: u64 = 20;
/// Start and duration of the fault, in milliseconds.
const FAULT_START_MS: u64 = 5_000;
const FAULT_DURATION_MS: u64 = 5_000;
/// Maximum time between the failure of an upstream and the reset of its flows, in milliseconds. It
/// covers the first retransmission, a probe, and the time until each host gets a request to the
/// upstream: a host needs one to notice the failure, and gets about one per second.
const RESET_MS: u64 = 1_000;

fn run_until_fault(cfg: SimulationConfig, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(cfg, seed);
    simulation.run_until(FAULT_START_MS);
    simulation
}

#[test]
fn requests_are_answered_in_time_without_resets_when_nothing_fails() {
    for seed in 0..SEEDS {
        let mut simulation = run_until_fault(SMALL_DEPLOYMENT, seed);
        simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
        let it = simulation.counts;
        assert!(it.answered > 2_000, "seed {seed}: {it:?}");
        assert_eq!((it.expired, it.resets), (0, 0), "seed {seed}");
        assert!(it.in_time * 1_000 >= it.answered * 995, "seed {seed}: {it:?}");
    }
}

#[test]
fn only_flows_of_unresponsive_upstreams_are_reset_and_within_a_second() {
    for seed in 0..SEEDS {
        let mut simulation = run_until_fault(SMALL_DEPLOYMENT, seed);
        for id in [2, 7, 12] {
            simulation.set_health(id, Health::Unresponsive);
        }
        simulation.run_until(FAULT_START_MS + RESET_MS);
        let left: usize = [2, 7, 12].iter().map(|it| simulation.flows_at(*it)).sum();
        assert_eq!(left, 0, "seed {seed}: flows still at unresponsive upstreams");
        assert!(simulation.last_reset <= FAULT_START_MS + RESET_MS, "seed {seed}");
        simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
        assert_eq!(simulation.counts.false_resets, 0, "seed {seed}");
        assert_eq!(simulation.flows_at(2), 0, "seed {seed}");
    }
}

#[test]
fn recovered_upstream_is_reachable_again_on_every_host() {
    for seed in 0..SEEDS {
        let mut simulation = run_until_fault(SMALL_DEPLOYMENT, seed);
        simulation.set_health(3, Health::Unresponsive);
        simulation.run_until(FAULT_START_MS + 2_000);
        simulation.set_health(3, Health::Healthy);
        simulation.run_until(FAULT_START_MS + 2_000 + 6_000);
        let ix = |host: &pomelorun_core::direct::DirectHost| host.registry().by_id(3).unwrap();
        for host in simulation.hosts() {
            assert_eq!(host.reachability(ix(host)), Reachability::Answering, "seed {seed}");
        }
    }
}

#[test]
fn slow_or_overloaded_upstreams_cause_no_resets() {
    for (slowdown, work) in [(10, 30), (30, 30), (100, 30), (5, 200)] {
        for seed in 0..SEEDS {
            let cfg = SimulationConfig { max_work_ms: work, ..SMALL_DEPLOYMENT };
            let mut simulation = run_until_fault(cfg, seed);
            for id in [1, 4, 8] {
                simulation.set_health(id, Health::Slow(slowdown));
            }
            simulation.run_until(FAULT_START_MS + 2 * FAULT_DURATION_MS);
            assert_eq!(simulation.counts.resets, 0, "slow {slowdown}, work {work}, seed {seed}");
        }
    }
}

#[test]
fn packet_loss_causes_no_resets() {
    for loss in [20, 100, 1_000] {
        for seed in 0..SEEDS {
            let mut simulation =
                run_until_fault(SimulationConfig { loss_one_in: loss, ..SMALL_DEPLOYMENT }, seed);
            simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
            assert_eq!(simulation.counts.resets, 0, "one packet in {loss} lost, seed {seed}");
        }
    }
}

#[test]
fn partitioned_zone_is_served_by_its_own_upstreams() {
    for seed in 0..SEEDS {
        let mut simulation = run_until_fault(SMALL_DEPLOYMENT, seed);
        simulation.partition_zone(Some(ZoneId(2)));
        simulation.run_until(FAULT_START_MS + RESET_MS);
        let before = simulation.counts;
        simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
        let after = simulation.counts;
        let answered = after.answered - before.answered;
        let late = answered - (after.in_time - before.in_time);
        assert!(
            late * 20 <= answered,
            "seed {seed}: {late} of {answered} late during the partition"
        );
        assert_eq!(after.expired, before.expired, "seed {seed}");
        assert_eq!(after.false_resets, 0, "seed {seed}");
        simulation.partition_zone(None);
        simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS + 6_000);
        assert_eq!(simulation.counts.false_resets, 0, "seed {seed}: after the partition");
    }
}

#[test]
fn most_requests_are_in_time_despite_a_slow_upstream() {
    for seed in 0..SEEDS {
        let mut simulation = run_until_fault(SMALL_DEPLOYMENT, seed);
        simulation.set_health(1, Health::Slow(8));
        simulation.run_until(FAULT_START_MS + 3 * FAULT_DURATION_MS);
        let it = simulation.counts;
        assert!(it.in_time * 100 >= it.answered * 90, "seed {seed}: {it:?}");
    }
}
