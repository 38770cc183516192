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
            + if apply { it.penalty } else { 0.0 }
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
    let shared = prop::option::of(0.0..1.0);
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
            shared_in_progress: shared,
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
    Nothing,
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
        let capacity: f64 = (0..UPSTREAMS).map(|at| speed(at) * f64::from(SLOTS)).sum();
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
                speed: if known == Known::Nothing { 1.0 } else { speed(at) },
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
        if ms % INTERVAL_MS == 0 {
            self.pictures.push(vec![0.0; UPSTREAMS]);
        }
        let (mut most, mut sum) = (0.0f64, 0.0);
        for at in 0..UPSTREAMS {
            let (mut left, running) = (Vec::new(), std::mem::take(&mut self.running[at]));
            for (work, it) in running {
                if work > speed(at) {
                    left.push((work - speed(at), it));
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
        let _ = traffic;
    }

    /// Returns the mean over time of the largest number in progress, in means.
    fn peak_ratio(&self) -> f64 {
        self.peak.0 / self.peak.1
    }
}

const LONG: Traffic = Traffic { utilization: 0.75, requests: 20, pause_ms: 250 };
const SHORT: Traffic = Traffic { utilization: 0.75, requests: 1, pause_ms: 0 };

#[test]
fn trial() {
    for (name, traffic, ms) in [("long", LONG, 30_000), ("short", SHORT, 9_000)] {
        for utilization in [0.3, 0.75, 0.95] {
            for known in [Known::Nothing, Known::Speed, Known::SpeedAndLoad] {
                let run = Run::new(1, Traffic { utilization, ..traffic }, known, ms);
                let class = |class: usize| {
                    let of = (0..UPSTREAMS).filter(|&at| at / ZONES % 3 == class);
                    of.map(|at| run.opened[at] as f64 / speed(at)).sum::<f64>()
                };
                let all: f64 = run.opened.iter().sum::<u64>() as f64;
                let classes = [0, 1, 2].map(|it| class(it) / 40.0 * 128.0 / all);
                println!("{name} {utilization} {known:?}: peak {:.1} mean {:.2} ratio {:.2}, per capacity {classes:.2?}",
                    run.peak.0 / (ms * 2 / 3) as f64, run.peak.1 / (ms * 2 / 3) as f64, run.peak_ratio());
            }
        }
    }
}
