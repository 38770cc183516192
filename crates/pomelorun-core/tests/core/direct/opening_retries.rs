//! Load of callers that open a flow for each request while openings are not answered: how many of
//! them open late.

use pomelorun_core::{
    Millis,
    direct::{Disabled, Mechanism},
};
use pomelorun_wire::ZoneId;

use crate::direct::{
    fixtures::{
        LOCAL_ZONE, REMOTE_ZONE, announcement, data_segment, flow, forwarded_to, host, open_segment,
    },
    simulation::{Counts, Health, OutlierScope, Simulation, SimulationConfig},
};

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
/// Fewer, because an overloaded simulation is slow.
const OVERLOAD_SEEDS: u64 = 2;
const FAULT_START_MS: u64 = 6_000;
const FAULT_DURATION_MS: u64 = 3_000;
/// Maximum share of the openings that hosts may retry, as a fraction of one in this many, beyond
/// [`MAX_FREE_RETRIES`].
const MAX_RETRIES_ONE_IN: u64 = 5;
/// Retries that a host may make without any recent opening.
const MAX_FREE_RETRIES: u64 = 3;

/// Runs a fault with and without retries, and returns what happened during it.
fn during(cfg: SimulationConfig, seed: u64, start: impl Fn(&mut Simulation)) -> (Counts, Counts) {
    let run = |disabled: Disabled| {
        let mut simulation = Simulation::without(disabled, cfg, seed);
        simulation.run_until(FAULT_START_MS);
        let before = simulation.counts;
        start(&mut simulation);
        simulation.run_until(FAULT_START_MS + FAULT_DURATION_MS);
        let after = simulation.counts;
        Counts {
            answered: after.answered - before.answered,
            in_time: after.in_time - before.in_time,
            opened: after.opened - before.opened,
            late_openings: after.late_openings - before.late_openings,
            retries: after.retries - before.retries,
            ..after
        }
    };
    (run(Disabled::default()), run(Disabled::new(vec![Mechanism::OpeningRetry])))
}

/// Checks that retries leave at most the fraction `left` of the late openings that there are without
/// them, over all seeds.
fn assert_fewer_late_openings(
    name: &str,
    cfg: SimulationConfig,
    left: (u64, u64),
    start: impl Fn(&mut Simulation),
) {
    let (mut late, mut late_without) = (0, 0);
    let (mut answered, mut answered_without) = (0, 0);
    for seed in 0..SEEDS {
        let (with, without) = during(cfg, seed, &start);
        assert_eq!(with.false_resets, 0, "{name}, seed {seed}");
        late += with.late_openings;
        late_without += without.late_openings;
        answered += with.answered;
        answered_without += without.answered;
    }
    // The callers' random pauses differ between the two runs once one opening does.
    assert!(answered * 100 >= answered_without * 99, "{name}: {answered} of {answered_without}");
    assert!(late_without > 0, "{name}: the load shows nothing");
    assert!(
        late * left.1 <= late_without * left.0,
        "{name}: {late} late, {late_without} without retries"
    );
}

#[test]
fn callers_do_not_wait_for_an_upstream_that_is_gone() {
    assert_fewer_late_openings("gone", SHORT_FLOWS, (1, 4), |it| {
        it.set_health(2, Health::Unresponsive);
        it.set_health(6, Health::Unresponsive);
    });
}

#[test]
fn callers_do_not_wait_for_a_full_upstream() {
    assert_fewer_late_openings("full", SHORT_FLOWS, (1, 4), |it| it.set_health(4, Health::Full));
}

#[test]
fn callers_do_not_wait_for_a_zone_that_is_cut_off() {
    assert_fewer_late_openings("cut", SHORT_FLOWS, (1, 4), |it| it.partition_zone(Some(ZoneId(2))));
}

#[test]
fn lost_opening_packets_are_sent_again() {
    let cfg = SimulationConfig { loss_one_in: 20, ..SHORT_FLOWS };
    // Half of the packets are lost on their way from the caller, out of the hosts' reach.
    assert_fewer_late_openings("lossy", cfg, (2, 3), |_| {});
}

#[test]
fn openings_are_not_retried_while_all_are_answered() {
    for seed in 0..SEEDS {
        let (with, without) = during(SHORT_FLOWS, seed, |_| {});
        assert_eq!((with.retries, with.late_openings), (0, 0), "seed {seed}");
        assert_eq!(with.answered, without.answered, "seed {seed}");
    }
}

#[test]
fn retries_stay_within_the_budget_while_no_upstream_answers() {
    for seed in 0..SEEDS {
        let upstreams = u64::from(SHORT_FLOWS.zones) * SHORT_FLOWS.upstreams_per_zone;
        let (with, without) = during(SHORT_FLOWS, seed, |it| {
            for id in 1..=upstreams {
                it.set_health(id, Health::Full);
            }
        });
        let hosts = u64::from(SHORT_FLOWS.zones * SHORT_FLOWS.hosts_per_zone);
        // The budget counts the openings of the seconds before.
        let opened_before = with.opened.max(1) + opened_before(seed);
        let bound = hosts * MAX_FREE_RETRIES + opened_before / MAX_RETRIES_ONE_IN;
        assert!(with.retries <= bound, "seed {seed}: {} retries of {opened_before}", with.retries);
        assert!(with.answered >= without.answered, "seed {seed}: {with:?} {without:?}");
    }
}

/// Returns the number of flows opened before the fault.
fn opened_before(seed: u64) -> u64 {
    let mut simulation = Simulation::new(SHORT_FLOWS, seed);
    simulation.run_until(FAULT_START_MS);
    simulation.counts.opened
}

#[test]
fn overload_is_not_made_worse() {
    // Several times as many requests as the upstreams can serve.
    let cfg = SimulationConfig { callers_per_zone: 400, max_pause_ms: 200, ..SHORT_FLOWS };
    for seed in 0..OVERLOAD_SEEDS {
        let (with, without) = during(cfg, seed, |_| {});
        let bound = with.opened / MAX_RETRIES_ONE_IN;
        assert!(with.retries <= bound, "seed {seed}: {with:?}");
        assert!(with.in_time * 100 >= without.in_time * 99, "seed {seed}: {with:?} {without:?}");
    }
}

/// Openings through a host that has just started, after which it knows how long answers take.
const OPENINGS_TO_LEARN_FROM: u32 = 20;
/// Time within which a retry must follow for the caller not to be late, with time left for the answer.
const IN_TIME: Millis = Millis(50);

#[test]
fn host_started_while_a_zone_is_cut_off_retries_its_openings_there_in_time() {
    let upstreams = [announcement(1, LOCAL_ZONE), announcement(2, REMOTE_ZONE)];
    let mut host = host(&upstreams);
    let mut unanswered = 0;
    for number in 0..40 {
        let now = Millis(1_000 + 100 * u64::from(number));
        let verdict = host.handle_packet(now, &open_segment(flow(number), 0));
        let Some((id, token)) = forwarded_to(verdict) else { panic!("flow {number} not opened") };
        if id == 1 {
            let established = data_segment(flow(number), token, 1, 100, 0);
            host.handle_packet(now + Millis(8), &established);
        } else if number >= OPENINGS_TO_LEARN_FROM {
            unanswered += 1;
            let due = host.next_opening_retry();
            assert!(due.is_some_and(|it| it <= now + IN_TIME), "flow {number}: {due:?}");
        }
    }
    assert!(unanswered > 0);
}

#[test]
fn host_that_has_observed_no_opening_retries_before_the_caller_does() {
    let upstreams = [announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)];
    let mut host = host(&upstreams);
    let now = Millis(1_000);
    let first = forwarded_to(host.handle_packet(now, &open_segment(flow(0), 0)));
    let due = host.next_opening_retry();
    assert!(due.is_some_and(|it| it < now + Millis(200)), "{due:?}");
    let retries = host.retry_openings(due.unwrap_or_default());
    assert_eq!(retries.len(), 1);
    assert_ne!(Some(retries[0].id), first.map(|it| it.0));
}

#[test]
fn host_that_has_observed_no_opening_suspects_no_upstream_before_the_caller_retransmits() {
    let upstreams = [announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)];
    let mut host = host(&upstreams);
    for number in 0..20 {
        let now = Millis(1_000 + 20 * u64::from(number));
        host.handle_packet(now, &open_segment(flow(number), 0));
        if host.next_opening_retry().is_some_and(|it| it <= now) {
            host.retry_openings(now);
        }
    }
    assert!(host.stats().overdue_opens > 0);
    assert!(host.take_probes().is_empty());
    host.handle_packet(Millis(1_200), &open_segment(flow(0), 1));
    assert!(!host.take_probes().is_empty(), "the caller's retransmission is evidence");
}
