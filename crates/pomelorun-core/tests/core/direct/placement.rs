//! Choice of an upstream: as by load alone while nothing else is known; in proportion to speed and
//! room, and without herds, once it is.

use std::collections::VecDeque;

use pomelorun_core::{
    Millis,
    direct::{Candidate, Choice, Load, UpstreamIx, choose},
    rendezvous_score,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::direct::upstream_speed::ln_work;

const HOSTS: usize = 65;
const UPSTREAMS: usize = 120;
const SLOTS: u32 = 2;
const ZONES: usize = 3;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// Median work of a request, in milliseconds.
const WORK_MS: f64 = 19.0;
/// Load per capacity of slow upstreams up to which callers reach their response-time goal, in means.
const MAX_BUSY: f64 = 1.25;

fn candidate(at: usize, flow: u64) -> Candidate {
    Candidate {
        ix: UpstreamIx(at as u32),
        choice: Choice::Good,
        same_zone: true,
        in_unanswering_zone: false,
        waiting: 0.0,
        recent_opens: 0.0,
        load_share: 1.0,
        slots: SLOTS,
        speed: 1.0,
        shared_in_progress: None,
        penalty: 0.0,
        tie_break: rendezvous_score(flow, at as u64),
    }
}

fn speed(at: usize) -> f64 {
    SPEEDS[at / ZONES % SPEEDS.len()]
}

/// The rule before speeds and shared load.
fn choose_by_load(candidates: &[Candidate]) -> Option<Candidate> {
    let penalized = candidates.iter().filter(|it| it.penalty > 0.0).count();
    let apply = penalized * 3 <= candidates.len();
    let score = |it: &Candidate| {
        (it.waiting + it.recent_opens * 0.5 * it.load_share) / f64::from(it.slots.max(1))
            + if it.same_zone { 0.0 } else { 0.6 }
            + if it.in_unanswering_zone { 8.0 } else { 0.0 }
            + it.penalty
            - if apply { 0.0 } else { it.penalty }
    };
    let order = |a: &&Candidate, b: &&Candidate| {
        let by_score = a.choice.cmp(&b.choice).then(score(a).total_cmp(&score(b)));
        by_score.then(a.tie_break.cmp(&b.tie_break))
    };
    candidates.iter().min_by(order).copied()
}

fn any_candidate() -> impl Strategy<Value = Candidate> {
    let choice = prop_oneof![Just(Choice::Good), Just(Choice::Cold), Just(Choice::Suspect)];
    let flags = (any::<bool>(), prop::bool::weighted(0.1));
    // Up to a request in every slot, in shares of the slots.
    let shared = prop::option::of(prop_oneof![3 => 0.0..1.0, 1 => Just(1.0)]);
    let load = (0..4u32, 0.0..3.0, 0.1..1.0, 1..4u32);
    (choice, flags, load, shared, prop_oneof![Just(0.0), Just(4.0)], 0..20u64).prop_map(
        |(choice, flags, load, shared, penalty, tie)| Candidate {
            choice,
            same_zone: flags.0,
            in_unanswering_zone: flags.1,
            waiting: f64::from(load.0),
            recent_opens: if load.1 < 1.0 { 0.0 } else { load.1 },
            load_share: load.2,
            slots: load.3,
            shared_in_progress: shared.map(|it| it * f64::from(load.3)),
            penalty,
            tie_break: tie,
            ..candidate(0, 0)
        },
    )
}

proptest! {
    #[test]
    fn choice_is_by_load_while_speeds_are_equal_and_nothing_queues(
        mut candidates in prop::collection::vec(any_candidate(), 0..12),
    ) {
        (0..).zip(&mut candidates).for_each(|(at, it)| it.ix = UpstreamIx(at));
        prop_assert_eq!(choose(&candidates), choose_by_load(&candidates));
    }
}

/// What the hosts know of the upstreams when they place flows.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Known {
    Speed,
    SpeedAndLoad,
}

#[derive(Debug, Clone, Copy)]
struct Traffic {
    /// Share of all upstreams' capacity.
    utilization: f64,
    /// Requests per flow, and the time between them.
    requests: u64,
    pause_ms: u64,
    /// `true` if all upstreams have the same speed.
    equal: bool,
}

impl Traffic {
    /// Time in which an upstream gets enough flows to compare, in milliseconds.
    fn short_ms(&self) -> u64 {
        if self.requests > 1 { 12_000 } else { 3_000 }
    }

    fn speed(&self, at: usize) -> f64 {
        if self.equal { 1.0 } else { speed(at) }
    }
}

struct Request {
    host: usize,
    left: u64,
}

/// Hosts that place flows on upstreams, in steps of a millisecond.
struct Run {
    rng: ChaCha8Rng,
    loads: Vec<Vec<Load>>,
    running: Vec<Vec<(f64, Request)>>,
    queues: Vec<VecDeque<Request>>,
    /// Requests of open flows: when, where.
    later: VecDeque<Vec<(usize, Request)>>,
    /// Mean requests in progress by interval of the picture, latest last.
    pictures: Vec<Vec<f64>>,
    /// Sum of the requests in progress, and the flows opened, after the start.
    busy: Vec<f64>,
    opened: Vec<u64>,
    /// Mean over time of the largest number in progress, and of the mean over the upstreams.
    peak: (f64, f64),
}

const INTERVAL_MS: u64 = 500;

impl Run {
    fn new(seed: u64, traffic: Traffic, known: Known, run_ms: u64) -> Run {
        let mut run = Run {
            rng: ChaCha8Rng::seed_from_u64(seed),
            loads: vec![vec![Load::default(); UPSTREAMS]; HOSTS],
            running: (0..UPSTREAMS).map(|_| Vec::new()).collect(),
            queues: (0..UPSTREAMS).map(|_| VecDeque::new()).collect(),
            later: (0..=traffic.pause_ms).map(|_| Vec::new()).collect(),
            pictures: vec![vec![0.0; UPSTREAMS]; 3],
            busy: vec![0.0; UPSTREAMS],
            opened: vec![0; UPSTREAMS],
            peak: (0.0, 0.0),
        };
        let mut mean_ms: f64 = (0..10_000).map(|_| ln_work(&mut run.rng).exp()).sum();
        mean_ms *= WORK_MS / 10_000.0;
        let capacity: f64 = (0..UPSTREAMS).map(|at| traffic.speed(at) * f64::from(SLOTS)).sum();
        let opens_per_ms = traffic.utilization * capacity / mean_ms / traffic.requests as f64;
        let mut due = 0.0;
        for ms in 0..run_ms {
            due += opens_per_ms;
            while due >= 1.0 {
                due -= 1.0;
                run.open(ms, traffic, known);
            }
            run.step(ms, traffic, ms >= run_ms / 3);
        }
        run
    }

    fn open(&mut self, ms: u64, traffic: Traffic, known: Known) {
        let (now, flow) = (Millis(ms), self.rng.random_range(0..u64::MAX));
        let host = self.rng.random_range(0..HOSTS);
        // One interval to add up and one to send it.
        let picture = &self.pictures[self.pictures.len() - 2];
        let candidates: Vec<Candidate> = (0..UPSTREAMS)
            .map(|at| Candidate {
                same_zone: at % ZONES == host % ZONES,
                waiting: f64::from(self.loads[host][at].waiting),
                recent_opens: self.loads[host][at].recent_opens(now),
                speed: traffic.speed(at),
                shared_in_progress: (known == Known::SpeedAndLoad).then_some(picture[at]),
                ..candidate(at, flow)
            })
            .collect();
        let at = choose(&candidates).unwrap().ix.0 as usize;
        self.loads[host][at].record_open(now);
        self.opened[at] += 1;
        self.request(at, Request { host, left: traffic.requests });
    }

    fn request(&mut self, at: usize, it: Request) {
        self.loads[it.host][at].waiting += 1;
        self.queues[at].push_back(it);
    }

    fn step(&mut self, ms: u64, traffic: Traffic, counts: bool) {
        let due = self.later.pop_front().unwrap();
        self.later.push_back(Vec::new());
        due.into_iter().for_each(|(at, it)| self.request(at, it));
        if ms.is_multiple_of(INTERVAL_MS) {
            self.pictures.push(vec![0.0; UPSTREAMS]);
        }
        let (mut most, mut sum) = (0.0f64, 0.0);
        for at in 0..UPSTREAMS {
            let (mut left, running) = (Vec::new(), std::mem::take(&mut self.running[at]));
            for (work, it) in running {
                if work > traffic.speed(at) {
                    left.push((work - traffic.speed(at), it));
                    continue;
                }
                self.loads[it.host][at].waiting -= 1;
                if it.left > 1 {
                    let later = self.later.back_mut().unwrap();
                    later.push((at, Request { left: it.left - 1, ..it }));
                }
            }
            while left.len() < SLOTS as usize
                && let Some(it) = self.queues[at].pop_front()
            {
                left.push((WORK_MS * ln_work(&mut self.rng).exp(), it));
            }
            let in_progress = (left.len() + self.queues[at].len()) as f64;
            self.running[at] = left;
            self.pictures.last_mut().unwrap()[at] += in_progress / INTERVAL_MS as f64;
            self.busy[at] += if counts { in_progress } else { 0.0 };
            (most, sum) = (most.max(in_progress), sum + in_progress);
        }
        if counts {
            self.peak = (self.peak.0 + most, self.peak.1 + sum / UPSTREAMS as f64);
        }
    }

    /// Returns the mean over time of the largest number in progress, in means.
    fn peak_ratio(&self) -> f64 {
        self.peak.0 / self.peak.1
    }
}

const LONG: Traffic = Traffic { utilization: 0.75, requests: 20, pause_ms: 250, equal: false };
const SHORT: Traffic = Traffic { utilization: 0.75, requests: 1, pause_ms: 0, equal: false };

impl Run {
    /// Returns the flows of each class of speeds per capacity, in means.
    fn flows_by_speed(&self) -> [f64; 3] {
        let all = self.opened.iter().sum::<u64>() as f64 / (0..UPSTREAMS).map(speed).sum::<f64>();
        [0, 1, 2].map(|class| {
            let of_class = || (0..UPSTREAMS).filter(move |at| at / ZONES % SPEEDS.len() == class);
            let flows: u64 = of_class().map(|at| self.opened[at]).sum();
            flows as f64 / of_class().map(speed).sum::<f64>() / all
        })
    }
}

/// Returns the number of 4,000 flows that each upstream gets from hosts that see the same.
fn flows(change: impl Fn(usize, &mut Candidate)) -> [u32; UPSTREAMS] {
    let mut flows = [0; UPSTREAMS];
    for flow in 0..4_000 {
        let mut candidates: Vec<Candidate> =
            (0..UPSTREAMS).map(|at| candidate(at, rendezvous_score(flow, 7))).collect();
        (0..).zip(&mut candidates).for_each(|(at, it)| change(at, it));
        flows[choose(&candidates).unwrap().ix.0 as usize] += 1;
    }
    flows
}

#[test]
fn flows_are_in_proportion_to_speed() {
    for traffic in [LONG, SHORT] {
        for known in [Known::Speed, Known::SpeedAndLoad] {
            let run = Run::new(1, traffic, known, traffic.short_ms());
            let found = run.flows_by_speed();
            assert!(found.iter().all(|it| (1.0 / MAX_BUSY..=MAX_BUSY).contains(it)), "{found:.2?}");
        }
    }
    let flows = flows(|at, it| it.speed = speed(at));
    let slow: u32 = (0..UPSTREAMS).filter(|&at| speed(at) == 0.6).map(|at| flows[at]).sum();
    assert!((650..=850).contains(&slow), "{slow} of 4,000, 750 in proportion");
}

#[test]
fn old_picture_does_not_oscillate() {
    for (traffic, equal) in [(LONG, true), (LONG, false), (SHORT, true), (SHORT, false)] {
        for utilization in [0.75, 0.95] {
            let traffic = Traffic { utilization, equal, ..traffic };
            let run = |known| Run::new(2, traffic, known, traffic.short_ms());
            let (without, with) = (run(Known::Speed), run(Known::SpeedAndLoad));
            let ratios = (without.peak_ratio(), with.peak_ratio());
            let means = (without.peak.1, with.peak.1);
            assert!(ratios.1 <= ratios.0 * 1.2, "{traffic:?}: max/mean {ratios:.2?}");
            assert!(means.1 <= means.0 * MAX_BUSY, "{traffic:?}: {means:.1?}");
        }
    }
}

#[test]
fn idle_upstream_is_not_taken_by_all_hosts() {
    let busy = |at: usize| if at == 0 { 0.0 } else { 5.0 };
    let flows = flows(|at, it| it.shared_in_progress = Some(busy(at)));
    let share = f64::from(flows[0]) * UPSTREAMS as f64 / 4_000.0;
    assert!((1.2..=3.0).contains(&share), "{share:.1} times the mean");
}

#[test]
fn upstream_that_looks_idle_beside_full_ones_gets_few_times_its_share() {
    // Four times, with chance, still leaves most flows to the others in the second that the picture
    // takes to show them.
    for full in [8.0, 10.0, 12.0] {
        let flows = flows(|at, it| it.shared_in_progress = Some(if at == 0 { 0.0 } else { full }));
        let share = f64::from(flows[0]) * UPSTREAMS as f64 / 4_000.0;
        assert!((2.0..=4.5).contains(&share), "{share:.1} times the mean beside {full}");
    }
}

#[test]
fn queues_are_avoided_in_proportion_to_room() {
    let flows = flows(|at, it| it.shared_in_progress = Some([1.0, 6.0, 12.0][at % 3]));
    let of =
        |class: usize| (0..UPSTREAMS).filter(move |at| at % 3 == class).map(move |at| flows[at]);
    let sums = [0, 1, 2].map(|class| of(class).sum::<u32>());
    let ratio = f64::from(sums[1]) / f64::from(sums[0]);
    assert!((0.4..=0.6).contains(&ratio) && sums[2] * 10 < sums[0], "{sums:?}");
}

#[test]
fn very_slow_upstream_gets_flows_only_if_others_are_loaded() {
    let slow = |at: usize| if at == 0 { 0.125 } else { 1.0 };
    assert_eq!(flows(|at, it| it.speed = slow(at))[0], 0);
    assert!(
        flows(|at, it| (it.speed, it.waiting) = (slow(at), if at == 0 { 0.0 } else { 8.0 }))[0] > 0
    );
}

#[test]
fn flows_leave_a_zone_gradually_as_its_queues_grow() {
    let left = |queue: f64| {
        let flows = flows(|at, it| {
            it.same_zone = at % ZONES == 0;
            let queued = if it.same_zone { queue * 2.0 } else { 0.0 };
            it.shared_in_progress = Some(2.0 + queued);
        });
        let own: u32 = (0..UPSTREAMS).step_by(ZONES).map(|at| flows[at]).sum();
        f64::from(4_000 - own) / 4_000.0
    };
    let found = [0.5, 1.0, 1.6, 3.0].map(left);
    assert_eq!(found[0], 0.0);
    assert!((0.05..0.25).contains(&found[1]) && (0.3..0.55).contains(&found[2]), "{found:.2?}");
    assert!((0.8..0.95).contains(&found[3]), "{found:.2?}");
}

/// Own openings of the other upstreams of which the picture may include nothing, as a number of
/// flows.
const OWN_OPENS: [f64; 3] = [0.5, 2.0, 6.0];

#[test]
fn full_upstream_without_own_openings_is_avoided() {
    for opens in OWN_OPENS {
        let flows = flows(|at, it| {
            it.shared_in_progress = Some(if at == 0 { 12.0 } else { 2.5 });
            it.recent_opens = if at == 0 { 0.0 } else { opens };
        });
        assert_eq!(flows[0], 0, "of 4,000 beside {opens} own openings");
    }
}

#[test]
fn own_openings_do_not_hide_full_upstreams() {
    let flows = flows(|at, it| {
        let is_full = at.is_multiple_of(4);
        it.shared_in_progress = Some(if is_full { 12.0 } else { 2.0 });
        it.recent_opens = if is_full { 0.5 } else { 1.0 };
    });
    let full: u32 = flows.iter().step_by(4).sum();
    let sums = [4_000 - full, full];
    assert!(sums[1] * 10 < sums[0], "{sums:?}");
}

#[test]
fn slow_idle_upstreams_help_full_ones() {
    let is_slow = |at: usize| at.is_multiple_of(ZONES);
    let flows = flows(|at, it| {
        it.speed = if is_slow(at) { 0.35 } else { 1.0 };
        it.shared_in_progress = Some(if is_slow(at) { 0.0 } else { 12.0 });
    });
    let slow: u32 = (0..UPSTREAMS).filter(|&at| is_slow(at)).map(|at| flows[at]).sum();
    // Their share of the capacity is 15%, and nobody waits there.
    assert!(slow >= 2_000, "{slow} of 4,000");
}

#[test]
fn slow_upstream_gets_no_flows_beside_idle_ones() {
    for shared in [None, Some(0.0)] {
        let flows = flows(|at, it| {
            it.speed = if at == 0 { 0.3 } else { 1.0 };
            it.shared_in_progress = shared;
        });
        assert_eq!(flows[0], 0);
    }
}

#[test]
fn own_waiting_requests_count_where_the_picture_is_old() {
    let flows = flows(|at, it| {
        it.speed = if at == 1 { 0.9 } else { 1.0 };
        it.shared_in_progress = Some(1.0);
        it.waiting = if at == 0 { 9.0 } else { 0.0 };
    });
    assert_eq!(flows[0], 0);
}
