//! How long hosts take to find an upstream that is gone.

use pomelorun_core::{
    Millis,
    direct::{ProbeResult, Token},
};
use pomelorun_wire::ZoneId;

use crate::direct::{
    fixtures::{LOCAL_ZONE, announcement, data_segment, flow, key, serving_host},
    simulation::{Health, OutlierScope, Simulation, SimulationConfig},
};

const LONG_FLOWS: SimulationConfig = SimulationConfig {
    zones: 3,
    hosts_per_zone: 2,
    upstreams_per_zone: 5,
    callers_per_zone: 100,
    max_think_ms: 500,
    max_work_ms: 30,
    loss_one_in: 0,
    outlier_scope: OutlierScope::PerZone,
    flow_requests: u32::MAX,
    max_pause_ms: 0,
};
const SEEDS: u64 = 20;
const FAULT_START_MS: u64 = 5_000;
const DEADLINE_MS: u64 = 3_000;
/// Retransmission of a caller and time-out of a probe, in milliseconds.
const RETRANSMISSION_MS: u64 = 200;
const PROBE_MS: u64 = 150;

/// Returns for each seed the time until none of the affected flows is left, in milliseconds, sorted.
fn times(
    cfg: SimulationConfig,
    start: impl Fn(&mut Simulation),
    left: impl Fn(&Simulation) -> usize,
) -> Vec<u64> {
    let mut times: Vec<u64> = (0..SEEDS)
        .map(|seed| {
            let mut simulation = Simulation::new(cfg, seed);
            simulation.run_until(FAULT_START_MS);
            start(&mut simulation);
            while left(&simulation) > 0 && simulation.now < FAULT_START_MS + DEADLINE_MS {
                let now = simulation.now;
                simulation.run_until(now + 5);
            }
            assert_eq!(simulation.counts.false_resets, 0, "seed {seed}");
            simulation.now - FAULT_START_MS
        })
        .collect();
    times.sort_unstable();
    times
}

/// Checks the median and the longest time.
fn assert_found_within(name: &str, times: &[u64], median: u64, longest: u64) {
    assert!(times[times.len() / 2] <= median, "{name}: {times:?}");
    assert!(times[times.len() - 1] <= longest, "{name}: {times:?}");
}

#[test]
fn silent_upstream_is_found_by_the_first_retransmission_and_one_probe() {
    let mut host = serving_host(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    let token = Token::of(key(1));
    let start = 1_000;
    for at in [start, start + RETRANSMISSION_MS] {
        for number in 0..5 {
            let packet = data_segment(flow(number), token, 1, 100, 50);
            host.handle_packet(Millis(at + u64::from(number)), &packet);
        }
    }
    let verdict_at = start + RETRANSMISSION_MS + PROBE_MS;
    host.apply_probe_result(Millis(verdict_at), key(1), ProbeResult::NoResponse);
    assert_eq!(host.take_resets().len(), 5);
}

#[test]
fn dark_upstream_is_found_in_half_a_second() {
    let times = times(LONG_FLOWS, |it| it.set_health(2, Health::Unresponsive), |it| it.flows_at(2));
    assert_found_within("dark", &times, 500, 700);
}

#[test]
fn dark_upstream_of_callers_that_open_flows_is_found_in_half_a_second() {
    let cfg = SimulationConfig { flow_requests: 8, max_pause_ms: 100, ..LONG_FLOWS };
    let times = times(cfg, |it| it.set_health(2, Health::Unresponsive), |it| it.flows_at(2));
    assert_found_within("dark, openings", &times, 500, 700);
}

#[test]
fn crashed_upstream_is_found_in_a_third_of_a_second() {
    let times = times(LONG_FLOWS, |it| it.set_health(2, Health::Refusing), |it| it.flows_at(2));
    assert_found_within("crashed", &times, 350, 550);
}

#[test]
fn zone_that_is_cut_off_is_found_in_a_second() {
    let times = times(LONG_FLOWS, |it| it.partition_zone(Some(ZoneId(2))), Simulation::cut_flows);
    assert_found_within("cut", &times, 650, 800);
}
