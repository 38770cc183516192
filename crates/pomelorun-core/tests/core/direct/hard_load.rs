//! More demand than the upstreams of a service can serve: what callers of urgent and of less urgent
//! requests get.

use std::sync::OnceLock;

use pomelorun_core::direct::{Disabled, Mechanism};
use pomelorun_wire::ZoneId;

use crate::direct::simulation::{
    Burst, KindCounts, OutlierScope, RequestKind, Simulation, SimulationConfig,
};

/// Index of the urgent kind, with a flow for each request.
const URGENT: usize = 0;
/// Index of the less urgent kind, with long flows.
const LONG: usize = 1;
/// Index of a second less urgent kind, with a flow for each request.
const BULK: usize = 2;
const KINDS: [usize; 3] = [URGENT, LONG, BULK];
/// Start and end of the shortage, in milliseconds.
const SHORTAGE: std::ops::Range<u64> = 4_000..7_000;
/// Time after the shortage after which requests fare as before, in milliseconds.
const RECOVERY_MS: u64 = 2_000;
/// End of the requests that are looked at, in milliseconds.
const END: u64 = SHORTAGE.end + RECOVERY_MS + 2_000;
/// Time for the last requests to end, in milliseconds.
const TAIL_MS: u64 = 1_600;
/// Speeds of the upstreams of a zone relative to the usual one.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// Share of the capacity that urgent requests need.
const URGENT_SHARE: f64 = 0.08;
/// Share of the capacity that less urgent requests need outside of the shortage.
const LONG_SHARE: f64 = 0.5;
/// Share of the capacity that the second less urgent kind needs.
const BULK_SHARE: f64 = 0.02;
/// Demands in a shortage, relative to the capacity.
const DEMANDS: [f64; 3] = [1.2, 2.0, 5.0];
/// Share of the upstreams that is kept for urgent requests by default.
const RESERVED_SHARE: f64 = 0.125;
/// Share of the upstreams that is kept for urgent requests at most.
const MAX_RESERVED_SHARE: f64 = 0.5;

const CONFIG: SimulationConfig = SimulationConfig {
    zones: 3,
    hosts_per_zone: 3,
    upstreams_per_zone: 6,
    callers_per_zone: 0,
    max_think_ms: 1,
    max_work_ms: 119,
    loss_one_in: 0,
    outlier_scope: OutlierScope::PerZone,
    flow_requests: 1,
    max_pause_ms: 0,
};

/// What the callers of a run got.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    /// Requests per second that all upstreams together can serve.
    capacity: f64,
    before: [KindCounts; 3],
    in_shortage: [KindCounts; 3],
    recovering: [KindCounts; 3],
    after: [KindCounts; 3],
    /// Open flows that hosts reset.
    resets: u64,
}

impl Outcome {
    fn assert_urgent_in_time(&self) {
        for it in [self.in_shortage[URGENT], self.recovering[URGENT]] {
            assert!(it.in_time_share() >= 0.95, "{self:#?}");
        }
    }

    /// Asserts that a kind gets at least a quarter of the capacity that is not reserved.
    fn assert_not_starved(&self, kind: usize, reserved_share: f64) {
        let seconds = (SHORTAGE.end - SHORTAGE.start) as f64 / 1_000.0;
        let least = self.capacity * (1.0 - reserved_share) * seconds / 4.0;
        let in_time = self.in_shortage[kind].in_time;
        assert!(in_time as f64 >= least, "{in_time} in time, at least {least:.0}: {self:#?}");
    }

    fn assert_back_to_normal(&self) {
        for kind in [URGENT, LONG] {
            let least = self.before[kind].in_time_share() - 0.03;
            assert!(self.after[kind].in_time_share() >= least, "kind {kind}: {self:#?}");
        }
    }

    fn assert_no_open_flow_was_reset(&self) {
        assert_eq!(self.resets, 0, "{self:#?}");
    }

    /// Returns the number of requests of all kinds that were answered in time in the shortage.
    fn goodput(&self) -> u64 {
        self.in_shortage.iter().map(|it| it.in_time).sum()
    }

    /// Returns the number of tries in the shortage that upstreams refused.
    fn shed(&self) -> u64 {
        self.in_shortage.iter().map(|it| it.shed).sum()
    }
}

fn kinds(capacity: f64) -> Vec<RequestKind> {
    let kind = |priority, answer_within_ms, flow_requests, callers_per_zone, share| RequestKind {
        priority,
        answer_within_ms,
        flow_requests,
        callers_per_zone,
        requests_per_s: capacity * share,
    };
    vec![
        kind(1, 400, 1, 10, URGENT_SHARE),
        kind(2, 800, 40, 100, LONG_SHARE),
        kind(2, 800, 1, 10, BULK_SHARE),
    ]
}

/// Returns a deployment whose upstreams have these speeds.
fn deployment(disabled: Disabled, speeds: &[f64]) -> Simulation {
    let slots = f64::from(CONFIG.zones) * CONFIG.upstreams_per_zone as f64 * 2.0;
    let mean_work_s = (1 + CONFIG.max_work_ms) as f64 / 2_000.0;
    let capacity = slots / mean_work_s * speeds.iter().sum::<f64>() / speeds.len() as f64;
    let mut it = Simulation::with_kinds(disabled, CONFIG, 7, kinds(capacity), 10);
    it.set_speeds(speeds);
    it
}

/// Returns a burst of all zones that makes a kind ask for `demand` times the capacity.
fn burst(kind: usize, demand: f64, time: std::ops::Range<u64>) -> Burst {
    let usual = [URGENT_SHARE, LONG_SHARE, BULK_SHARE][kind];
    Burst { kind, zone: None, from: time.start, to: time.end, factor: demand / usual }
}

fn run(mut it: Simulation, bursts: impl IntoIterator<Item = Burst>) -> Outcome {
    it.add_bursts(bursts);
    it.run_until(END + TAIL_MS);
    let counts = |time: std::ops::Range<u64>| KINDS.map(|kind| it.kind_counts(kind, time.clone()));
    let recovered = SHORTAGE.end + RECOVERY_MS;
    Outcome {
        capacity: it.capacity_per_s(),
        before: counts(2_000..SHORTAGE.start),
        in_shortage: counts(SHORTAGE),
        recovering: counts(SHORTAGE.end..recovered),
        after: counts(recovered..END),
        resets: it.counts.resets,
    }
}

fn run_default(bursts: impl IntoIterator<Item = Burst>) -> Outcome {
    run(deployment(Disabled::default(), &SPEEDS), bursts)
}

/// Returns the outcome of a step of the demand for long flows, at each of [`DEMANDS`].
fn steps() -> &'static [Outcome; 3] {
    static STEPS: OnceLock<[Outcome; 3]> = OnceLock::new();
    STEPS.get_or_init(|| DEMANDS.map(|demand| run_default([burst(LONG, demand, SHORTAGE)])))
}

#[test]
fn usual_load_is_served_in_time_and_never_rejected() {
    let it = run_default([]);
    for counts in it.before.iter().chain(&it.in_shortage).chain(&it.after) {
        assert!(counts.in_time_share() >= 0.95, "{it:#?}");
        assert_eq!(counts.rejected, 0, "{it:#?}");
    }
    it.assert_no_open_flow_was_reset();
}

#[test]
fn urgent_requests_are_served_in_time_in_any_shortage_of_the_others() {
    steps().iter().for_each(Outcome::assert_urgent_in_time);
}

#[test]
fn less_urgent_requests_are_not_starved_in_a_shortage() {
    steps().iter().for_each(|it| it.assert_not_starved(LONG, RESERVED_SHARE));
}

#[test]
fn goodput_does_not_fall_as_demand_grows() {
    let [small, _, large] = steps().map(|it| it.goodput());
    assert!(large as f64 >= 0.95 * small as f64, "1.2 times: {small}, 5 times: {large} in time");
}

#[test]
fn requests_fare_as_before_soon_after_a_shortage() {
    steps().iter().for_each(Outcome::assert_back_to_normal);
}

#[test]
fn hosts_reset_no_open_flow_in_a_shortage() {
    steps().iter().for_each(Outcome::assert_no_open_flow_was_reset);
}

#[test]
fn upstreams_shed_at_most_a_fifth_of_the_tries_that_they_shed_without_load_control() {
    let disabled = Disabled::new(vec![
        Mechanism::SharedLoad,
        Mechanism::UrgentReserve,
        Mechanism::OverloadRejection,
        Mechanism::UpstreamSpeed,
    ]);
    let without = run(deployment(disabled, &SPEEDS), [burst(LONG, DEMANDS[2], SHORTAGE)]).shed();
    let with = steps()[2].shed();
    assert!(without > 0, "the shortage is too small to tell");
    assert!(with * 5 <= without, "{with} tries shed, {without} without load control");
}

#[test]
fn wave_of_demand_keeps_urgent_requests_in_time_and_leaves_no_trace() {
    let waves = (SHORTAGE.start..SHORTAGE.end).step_by(1_000);
    let it = run_default(waves.map(|at| burst(LONG, 3.0, at..at + 500)));
    it.assert_urgent_in_time();
    it.assert_not_starved(LONG, RESERVED_SHARE);
    it.assert_back_to_normal();
    it.assert_no_open_flow_was_reset();
}

#[test]
fn ramp_of_demand_keeps_urgent_requests_in_time_and_leaves_no_trace() {
    let ramp = (SHORTAGE.start..SHORTAGE.end).step_by(250).zip(1u32..);
    let it = run_default(ramp.map(|(at, n)| burst(LONG, f64::from(n) / 4.0, at..at + 250)));
    it.assert_urgent_in_time();
    it.assert_not_starved(LONG, RESERVED_SHARE);
    it.assert_back_to_normal();
    it.assert_no_open_flow_was_reset();
}

#[test]
fn upstreams_of_one_speed_serve_urgent_requests_in_time_in_a_shortage() {
    let it = deployment(Disabled::default(), &[1.0]);
    let it = run(it, [burst(LONG, 2.0, SHORTAGE)]);
    it.assert_urgent_in_time();
    it.assert_not_starved(LONG, RESERVED_SHARE);
}

#[test]
fn flood_of_urgent_requests_does_not_starve_the_others() {
    let it = run_default([burst(URGENT, 3.0, SHORTAGE)]);
    it.assert_not_starved(LONG, MAX_RESERVED_SHARE);
    it.assert_back_to_normal();
    it.assert_no_open_flow_was_reset();
}

#[test]
fn flood_of_short_flows_does_not_starve_long_ones_of_its_priority() {
    let it = run_default([burst(BULK, 3.0, SHORTAGE)]);
    it.assert_urgent_in_time();
    it.assert_not_starved(LONG, RESERVED_SHARE);
    it.assert_back_to_normal();
    it.assert_no_open_flow_was_reset();
}

#[test]
fn demand_that_moves_to_one_zone_is_served_by_all_zones() {
    let (from, to) = (SHORTAGE.start, SHORTAGE.end);
    let shares = [(ZoneId(1), 3.0), (ZoneId(2), 0.0), (ZoneId(3), 0.0)];
    let it = run_default(shares.into_iter().flat_map(|(zone, factor)| {
        KINDS.map(|kind| Burst { kind, zone: Some(zone), from, to, factor })
    }));
    it.assert_urgent_in_time();
    assert!(it.in_shortage[LONG].in_time_share() >= 0.9, "{it:#?}");
    it.assert_back_to_normal();
    it.assert_no_open_flow_was_reset();
}

#[test]
fn lost_messages_between_hosts_do_not_harm_urgent_requests() {
    let mut it = deployment(Disabled::default(), &SPEEDS);
    it.lose_messages(20);
    let it = run(it, [burst(LONG, 2.0, SHORTAGE)]);
    it.assert_urgent_in_time();
    it.assert_not_starved(LONG, RESERVED_SHARE);
    it.assert_no_open_flow_was_reset();
}

#[test]
fn route_with_hardly_a_request_does_not_change_who_is_urgent() {
    let capacity = deployment(Disabled::default(), &SPEEDS).capacity_per_s();
    let mut kinds = kinds(capacity);
    let rare = RequestKind { priority: 0, requests_per_s: capacity * 0.002, ..kinds[URGENT] };
    kinds.push(rare);
    let mut it = Simulation::with_kinds(Disabled::default(), CONFIG, 7, kinds, 10);
    it.set_speeds(&SPEEDS);
    run(it, [burst(LONG, DEMANDS[0], SHORTAGE)]).assert_urgent_in_time();
}

#[test]
fn no_upstream_is_kept_while_hardly_a_request_is_urgent() {
    let capacity = deployment(Disabled::default(), &[1.0]).capacity_per_s();
    let goodput = |disabled| {
        let mut kinds = kinds(capacity);
        kinds[URGENT].requests_per_s = capacity * 0.005;
        let it = Simulation::with_kinds(disabled, CONFIG, 7, kinds, 10);
        let it = run(it, [burst(LONG, DEMANDS[0], SHORTAGE)]);
        it.in_shortage[LONG].in_time
    };
    let (with, without) =
        (goodput(Disabled::default()), goodput(Disabled::new(vec![Mechanism::UrgentReserve])));
    assert!(with as f64 >= 0.98 * without as f64, "{with} in time, {without} if none is ever kept");
}
