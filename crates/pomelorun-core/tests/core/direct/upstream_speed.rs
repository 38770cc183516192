//! Estimates of the speed of upstreams: equal ones stay equal, differences show in time.

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, AnswerSample, DirectoryUpdate, LoadMessage, ServiceTimes, SpeedEstimate,
        SpeedSamples, Token,
    },
};
use pomelorun_wire::{HostId, ServiceAddr};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::direct::fixtures::{
    LOCAL_HOST, LOCAL_ZONE, announcement, data_segment, flow, host, key,
};

/// Median work of two routes to one service, in milliseconds.
const WORK_MS: [f64; 2] = [19.0, 25.0];
const ROUND_TRIP: Millis = Millis(2);
const REPORT_MS: u64 = 500;
/// Hosts of a zone.
const HOSTS: usize = 22;
/// Answers per second of one upstream that the hosts of a zone see.
const ANSWERS_PER_S: f64 = 4.5;
/// Time that callers usually wait before they give up: an upstream that has turned slow must have
/// lost nearly all new flows by then, and half of them in three quarters of it.
const PATIENCE_MS: u64 = 8_000;

/// Logarithm of a request's work relative to the median: spread 0.5, 3% take seven times as long.
pub(crate) fn ln_work(rng: &mut ChaCha8Rng) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
    let tail = if rng.random_range(0..100) < 3 { 7f64.ln() } else { 0.0 };
    (sum - 6.0) * 0.5 + tail
}

fn route(at: usize) -> ServiceAddr {
    ServiceAddr { ip: 1, port: at as u16 }
}

fn sample(at: usize, took_ms: f64) -> AnswerSample {
    let took = Millis(took_ms.round() as u64) + ROUND_TRIP;
    AnswerSample { route: route(at), took, round_trip: ROUND_TRIP, is_delayed: false }
}

/// Hosts of a zone with one collector.
struct Zone {
    rng: ChaCha8Rng,
    now: Millis,
    times: Vec<ServiceTimes>,
    estimates: Vec<SpeedEstimate>,
    answers_per_s: f64,
}

impl Zone {
    fn new(seed: u64, upstreams: usize) -> Zone {
        Zone {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis(0),
            times: (0..HOSTS).map(|_| ServiceTimes::default()).collect(),
            estimates: vec![SpeedEstimate::default(); upstreams],
            answers_per_s: ANSWERS_PER_S,
        }
    }

    /// Lets the upstreams answer for one report interval at these speeds.
    fn report(&mut self, speeds: &[f64]) {
        self.now = self.now + Millis(REPORT_MS);
        for (at, speed) in speeds.iter().enumerate() {
            let mut samples = SpeedSamples::default();
            let mean = self.answers_per_s * REPORT_MS as f64 / 1_000.0;
            for _ in 0..HOSTS {
                if self.rng.random_range(0.0..1.0) >= mean / HOSTS as f64 {
                    continue;
                }
                let way = self.rng.random_range(0..2);
                let took_ms = WORK_MS[way] * ln_work(&mut self.rng).exp() / speed;
                let host = self.rng.random_range(0..HOSTS);
                if let Some(it) = self.times[host].record(self.now, &sample(way, took_ms)) {
                    samples.count += 1;
                    samples.slowness_milli += it;
                }
            }
            self.estimates[at].add(self.now, samples);
        }
    }

    fn run(&mut self, seconds: u64, speeds: &[f64]) {
        (0..seconds * 1_000 / REPORT_MS).for_each(|_| self.report(speeds));
    }

    fn speed(&self, at: usize) -> f64 {
        self.estimates[at].speed(self.now)
    }

    /// Returns the time until the speed of the first upstream is in `range`, in milliseconds.
    fn time_until(&mut self, speeds: &[f64], range: std::ops::RangeInclusive<f64>) -> u64 {
        let start = self.now;
        while !range.contains(&self.speed(0)) && self.now.since(start) < Millis(120_000) {
            self.report(speeds);
        }
        self.now.since(start).0
    }
}

#[test]
fn equal_upstreams_keep_speed_one() {
    let (mut left, mut total) = (0, 0);
    for seed in 0..4 {
        let mut zone = Zone::new(seed, 120);
        for _ in 0..180 {
            zone.report(&[1.0; 120]);
            left += (0..120).filter(|&at| zone.speed(at) != 1.0).count();
            total += 120;
        }
    }
    assert!(left * 100 <= total, "{left} of {total}");
}

#[test]
fn unequal_speeds_are_found_within_a_quarter() {
    let speeds: Vec<f64> = (0..120).map(|at| [0.6, 1.0, 1.6][at % 3]).collect();
    for seed in 0..4 {
        let mut zone = Zone::new(seed, 120);
        zone.run(60, &speeds);
        let mean = |class: usize| {
            let of_class = (0..120).filter(|at| at % 3 == class);
            of_class.map(|at| zone.speed(at)).sum::<f64>() / 40.0
        };
        let found = [mean(0), mean(1), mean(2)];
        for (found, speed) in found.iter().zip([0.6, 1.0, 1.6]) {
            assert!((found / found_scale(&zone) / speed - 1.0).abs() < 0.25, "{found} for {speed}");
        }
    }
}

/// Returns the factor by which all estimates differ from the configured speeds.
fn found_scale(zone: &Zone) -> f64 {
    let sum: f64 = (0..120).map(|at| (zone.speed(at) / [0.6, 1.0, 1.6][at % 3]).ln()).sum();
    (sum / 120.0).exp()
}

#[test]
fn upstream_that_turns_slow_or_fast_again_is_found_within_seconds() {
    let mut times: [Vec<u64>; 3] = Default::default();
    for seed in 0..20 {
        let mut zone = Zone::new(seed, 40);
        let mut speeds = [1.0; 40];
        zone.run(60, &speeds);
        speeds[0] = 0.125;
        times[0].push(zone.time_until(&speeds, 0.0..=0.5));
        let halved = times[0][seed as usize];
        times[1].push(halved + zone.time_until(&speeds, 0.0..=0.35));
        zone.run(20, &speeds);
        assert!(zone.speed(0) <= 0.25, "seed {seed}: {}", zone.speed(0));
        speeds[0] = 1.0;
        times[2].push(zone.time_until(&speeds, 0.8..=1.2));
    }
    times.iter_mut().for_each(|it| it.sort_unstable());
    let slowest = times.map(|it| it[19]);
    assert!(
        slowest[0] <= PATIENCE_MS * 3 / 4 && slowest[1] <= PATIENCE_MS && slowest[2] <= 15_000,
        "half, nearly all flows lost, regained after {slowest:?} ms"
    );
}

#[test]
fn upstreams_that_slow_down_alike_keep_equal_speeds() {
    let mut zone = Zone::new(1, 40);
    zone.run(30, &[1.0; 40]);
    zone.run(60, &[0.4; 40]);
    let unequal = (0..40).filter(|&at| zone.speed(at) != 1.0).count();
    assert!(unequal <= 2, "{unequal} of 40");
}

#[test]
fn rejections_queued_answers_and_unknown_routes_show_nothing() {
    let mut times = ServiceTimes::default();
    let known = |times: &mut ServiceTimes| {
        (0..30).map(|_| times.record(Millis(0), &sample(0, 20.0))).collect::<Vec<_>>()
    };
    let found = known(&mut times);
    assert!(found[..20].iter().all(Option::is_none) && found[20..].iter().all(Option::is_some));
    let usual = times.get(route(0)).unwrap();
    assert!((usual - 20.0).abs() < 0.1, "{usual}");
    let queued = AnswerSample { is_delayed: true, ..sample(0, 90.0) };
    assert_eq!(times.record(Millis(0), &queued), None);
    assert_eq!(times.record(Millis(0), &sample(0, 0.0)), None);
    assert_eq!(times.get(route(1)), None);
    assert_eq!(times.record(Millis(0), &sample(0, 9_000.0)), Some(2_500));
}

#[test]
fn slow_upstream_without_flows_is_tried_again() {
    let mut zone = Zone::new(1, 1);
    zone.estimates[0].add(Millis(0), SpeedSamples { count: 60, slowness_milli: 120_000 });
    assert!(zone.speed(0) < 0.25);
    let tried_at = (0..).find(|&it| zone.estimates[0].speed(Millis(it * 1_000)) > 0.4).unwrap();
    assert!((30..=180).contains(&tried_at), "{tried_at}");
}

#[test]
fn rejections_do_not_change_the_usual_time() {
    let mut times = ServiceTimes::default();
    (0..100).for_each(|_| {
        times.record(Millis(0), &sample(0, 20.0));
    });
    // A shortage of a minute, in which two of three answers are rejections.
    for at in 0..600 {
        let took_ms = if at % 3 == 0 { 20.0 } else { 1.0 };
        times.record(Millis(at * 100), &sample(0, took_ms));
    }
    let usual = times.get(route(0)).unwrap();
    assert!((usual / 20.0 - 1.0).abs() < 0.1, "{usual}");
    for at in 0..300 {
        times.record(Millis(60_000 + at * 10), &sample(0, 1.0));
    }
    let usual = times.get(route(0)).unwrap();
    assert!((usual / 20.0 - 1.0).abs() < 0.1, "{usual} after rejections alone");
}

#[test]
fn rejections_among_the_first_answers_do_not_set_the_usual_time() {
    let mut times = ServiceTimes::default();
    for at in 0..60 {
        times.record(Millis(at), &sample(0, if at % 3 == 0 { 1.0 } else { 20.0 }));
    }
    let usual = times.get(route(0)).unwrap();
    assert!((usual / 20.0 - 1.0).abs() < 0.1, "{usual}");
}

#[test]
fn route_that_has_become_fast_is_learnt_again() {
    let mut times = ServiceTimes::default();
    (0..100).for_each(|_| {
        times.record(Millis(0), &sample(0, 80.0));
    });
    for at in 0..1_200 {
        times.record(Millis(at * 100), &sample(0, 8.0));
    }
    let usual = times.get(route(0)).unwrap();
    assert!((usual / 8.0 - 1.0).abs() < 0.1, "{usual}");
}

#[test]
fn equal_upstreams_with_few_answers_change_no_decision() {
    // Any upstream whose speed is not 1 changes how all flows are placed.
    for per_s in [0.5, 1.5, ANSWERS_PER_S] {
        let (mut changed, mut total) = (0, 0);
        for seed in 0..4 {
            let mut zone = Zone::new(seed, 120);
            zone.answers_per_s = per_s;
            zone.run(60, &[1.0; 120]);
            for _ in 0..360 {
                zone.report(&[1.0; 120]);
                changed += usize::from((0..120).any(|at| zone.speed(at) != 1.0));
                total += 1;
            }
        }
        assert!(changed * 100 <= total, "{per_s} a second: {changed} of {total}");
    }
}

/// Returns the speed samples that a host reports when an upstream answers, cold for a while or not.
fn reported_samples(cold_left: Millis) -> u64 {
    let mut it = host(&[announcement(1, LOCAL_ZONE)]);
    let cold = Announcement { cold_left, key: key(2), ..announcement(2, LOCAL_ZONE) };
    // Of so many hosts another one is the collector, to which this one reports.
    it.set_hosts_by_zone((0..20).map(|at| (LOCAL_ZONE, HostId(LOCAL_HOST.0 + at))).collect());
    let mut samples = 0;
    for number in 0..400u64 {
        let now = Millis(100 + number * 25);
        if number == 100 {
            it.apply_update(now, &DirectoryUpdate::Upstream(cold.clone()));
        }
        let upstream = if number < 100 { 1 } else { 2 };
        let token = Token::of(key(upstream));
        it.handle_packet(now, &data_segment(flow(number as u32), token, 1, 100, 10));
        it.handle_packet(now + Millis(20), &data_segment(flow(number as u32), token, 11, 200, 0));
        it.tick(now + Millis(20));
        for (_, msg) in it.take_load_messages() {
            let LoadMessage::Report(report) = msg else { continue };
            let of = report.upstreams.iter().filter(|it| it.token == Token::of(key(2)));
            samples += of.map(|it| u64::from(it.speed_samples)).sum::<u64>();
        }
    }
    samples
}

#[test]
fn answers_of_a_cold_upstream_show_no_speed() {
    let (warm, cold) = (reported_samples(Millis(0)), reported_samples(Millis(60_000)));
    assert!(warm > 200, "{warm}");
    assert_eq!(cold, 0);
}
