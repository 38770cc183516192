//! Urgent and less urgent requests while a service gets more than its upstreams serve, in a small
//! closed loop over the decisions: callers, queues, and a picture of the load that is up to a second
//! old.

use std::collections::VecDeque;

use pomelorun_core::{
    Millis,
    direct::{Admission, Opening, ServiceLoad, ServiceOverload, UpstreamIx, UpstreamRoom, Urgency},
};
use pomelorun_wire::ZoneId;

const UPSTREAMS: usize = 120;
const HOSTS: usize = 12;
const SLOTS: usize = 2;
const SERVICE_SLOTS: f64 = (UPSTREAMS * SLOTS) as f64;
const SALT: u64 = 7;
const QUEUE: usize = 8;
const URGENT_MS: f64 = 52.0;
const URGENT_GOAL_MS: u64 = 600;
const OTHER_MS: f64 = 40.0;
const OTHER_GOAL_MS: u64 = 500;
const TRIES: u32 = 3;
const TRY_GAP_MS: u64 = 20;
const PICTURE_MS: u64 = 500;
const REFRESH_MS: u64 = 100;
const LOAD: std::ops::Range<u64> = 3_000..13_000;
const END_MS: u64 = 18_000;

#[derive(Clone, Copy)]
struct Request {
    is_urgent: bool,
    since: u64,
    tries: u32,
}

#[derive(Default)]
struct Server {
    running: Vec<(u64, Request)>,
    queue: VecDeque<Request>,
    /// Sum over the interval of requests in progress.
    sum: u64,
}

/// Requests in time and all requests by second of their arrival, of one kind.
type Seconds = Vec<(f64, f64)>;

struct Outcome {
    urgent: Seconds,
    other: Seconds,
    rejected_in_calm: u64,
}

fn in_time(seconds: &[(f64, f64)]) -> f64 {
    let (good, all) = seconds.iter().fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    good / f64::max(all, 1.0)
}

impl Outcome {
    fn during(seconds: &Seconds) -> &[(f64, f64)] {
        &seconds[(LOAD.start / 1_000) as usize..(LOAD.end / 1_000) as usize]
    }

    fn after(seconds: &Seconds) -> &[(f64, f64)] {
        &seconds[(LOAD.end / 1_000 + 2) as usize..(END_MS / 1_000 - 1) as usize]
    }

    fn goodput(&self) -> f64 {
        let good = |it: &Seconds| Self::during(it).iter().map(|it| it.0).sum::<f64>();
        good(&self.urgent) + good(&self.other)
    }
}

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, len: usize) -> usize {
        (self.part() * len as f64) as usize
    }
}

/// Slots that requests need, relative to all slots of the service.
#[derive(Clone, Copy)]
struct Offered {
    urgent: f64,
    other: f64,
}

/// Part of the less urgent requests that are sent first on a flow that is open already.
#[derive(Clone, Copy)]
struct Held(f64);

struct Play {
    random: Random,
    servers: Vec<Server>,
    hosts: Vec<ServiceOverload>,
    fresh: Option<Vec<f64>>,
    shown: Option<Vec<f64>>,
    held: Held,
    out: Outcome,
    /// Tries to come, by millisecond.
    later: Vec<Vec<Request>>,
}

impl Play {
    fn run(held: Held, load: &dyn Fn(u64) -> Offered) -> Outcome {
        let zeros = vec![(0.0, 0.0); (END_MS / 1_000) as usize];
        let mut it = Play {
            random: Random(0x5eed),
            servers: (0..UPSTREAMS).map(|_| Server::default()).collect(),
            hosts: (0..HOSTS).map(|_| ServiceOverload::default()).collect(),
            fresh: None,
            shown: None,
            held,
            out: Outcome { urgent: zeros.clone(), other: zeros, rejected_in_calm: 0 },
            later: vec![Vec::new(); END_MS as usize + 100],
        };
        for now in 0..END_MS {
            it.refresh(now, load(now).urgent);
            it.arrive(now, load(now));
            it.serve(now);
        }
        it.out
    }

    fn refresh(&mut self, now: u64, urgent: f64) {
        if now.is_multiple_of(PICTURE_MS) {
            let mean = |it: &mut Server| std::mem::take(&mut it.sum) as f64 / PICTURE_MS as f64;
            let fresh = self.servers.iter_mut().map(mean).collect();
            // What takes effect now is from the interval before the last one.
            self.shown = self.fresh.replace(fresh);
        }
        if !now.is_multiple_of(REFRESH_MS) {
            return;
        }
        let in_progress: usize =
            self.servers.iter().map(|it| it.running.len() + it.queue.len()).sum();
        let room = |(at, in_progress): (usize, &f64)| UpstreamRoom {
            ix: UpstreamIx(at as u32),
            id: at as u64,
            zone: ZoneId((at % 3) as u32),
            in_progress: *in_progress,
            slots: SLOTS as f64,
            speed: 1.0,
            reserved: false,
        };
        let load = self.shown.as_ref().map(|it| ServiceLoad {
            rooms: it.iter().enumerate().map(room).collect(),
            own_in_progress: in_progress as f64 / HOSTS as f64,
            urgent_slots: Some(urgent * SERVICE_SLOTS),
            target: 3.0,
            service_time_ms: Some(OTHER_MS),
            hosts: HOSTS,
        });
        for host in &mut self.hosts {
            host.refresh(Millis(now), load.clone(), Some(SALT));
        }
    }

    fn arrive(&mut self, now: u64, load: Offered) {
        let rates = [(true, load.urgent / URGENT_MS), (false, load.other / OTHER_MS)];
        for (is_urgent, per_slot_ms) in rates {
            let per_ms = per_slot_ms * SERVICE_SLOTS;
            let count = per_ms as usize + usize::from(self.random.part() < per_ms.fract());
            for _ in 0..count {
                let it = Request { is_urgent, since: now, tries: 0 };
                self.kind(it).1 += 1.0;
                if !is_urgent && self.random.part() < self.held.0 {
                    // Opened in calm, where the host kept off the reserved upstreams.
                    let at = self.choose(Admission::AdmitUnreserved);
                    self.send(now, at, it);
                } else {
                    self.open(now, it);
                }
            }
        }
        for it in std::mem::take(&mut self.later[now as usize]) {
            self.open(now, it);
        }
    }

    fn open(&mut self, now: u64, it: Request) {
        let opening = Opening {
            urgency: if it.is_urgent { Urgency::Most } else { Urgency::Least },
            flow_hash: self.random.next(),
            timeout: Millis(2_000),
            service_time_ms: Some(if it.is_urgent { URGENT_MS } else { OTHER_MS }),
            was_sent: false,
        };
        let host = self.random.below(HOSTS);
        let admission = self.hosts[host].admit(Millis(now), &opening);
        if admission == Admission::Reject {
            assert!(!it.is_urgent, "an urgent opening was rejected");
            self.out.rejected_in_calm += u64::from(!(LOAD.start..LOAD.end + 2_000).contains(&now));
            return self.try_again(now, it);
        }
        let at = self.choose(admission);
        self.send(now, at, it);
    }

    fn choose(&mut self, admission: Admission) -> usize {
        let allowed =
            |play: &Play, at: usize| play.hosts[0].allows(admission, UpstreamIx(at as u32));
        for _ in 0..1_000 {
            let at = self.random.below(UPSTREAMS);
            if allowed(self, at) {
                return at;
            }
        }
        self.random.below(UPSTREAMS)
    }

    fn send(&mut self, now: u64, at: usize, it: Request) {
        let server = &mut self.servers[at];
        if server.running.len() < SLOTS {
            let mean = if it.is_urgent { URGENT_MS } else { OTHER_MS };
            let took = (mean * (0.5 + self.random.part())) as u64;
            server.running.push((now + took, it));
        } else if server.queue.len() < QUEUE {
            server.queue.push_back(it);
        } else if !it.is_urgent {
            self.try_again(now, it);
        }
    }

    fn try_again(&mut self, now: u64, it: Request) {
        if it.tries + 1 < TRIES {
            self.later[(now + TRY_GAP_MS) as usize].push(Request { tries: it.tries + 1, ..it });
        }
    }

    fn serve(&mut self, now: u64) {
        for at in 0..UPSTREAMS {
            let server = &mut self.servers[at];
            server.sum += (server.running.len() + server.queue.len()) as u64;
            let (done, running): (Vec<_>, Vec<_>) =
                server.running.drain(..).partition(|it| it.0 <= now);
            server.running = running;
            let free = SLOTS - server.running.len();
            let next: Vec<Request> = (0..free).filter_map(|_| server.queue.pop_front()).collect();
            for it in next {
                self.send(now, at, it);
            }
            for (_, it) in done {
                let goal = if it.is_urgent { URGENT_GOAL_MS } else { OTHER_GOAL_MS };
                let is_good = now - it.since <= goal;
                self.kind(it).0 += f64::from(u8::from(is_good));
            }
        }
    }

    fn kind(&mut self, it: Request) -> &mut (f64, f64) {
        let seconds = if it.is_urgent { &mut self.out.urgent } else { &mut self.out.other };
        &mut seconds[(it.since / 1_000) as usize]
    }
}

const URGENT: f64 = 0.08;
const CALM: Offered = Offered { urgent: URGENT, other: 0.42 };
/// Callers open a flow for each request, or send first tries on flows that are open already.
const CALLERS: [Held; 3] = [Held(0.0), Held(0.5), Held(1.0)];

/// Offers `load` for a time, by its part that has passed, and little before and after.
fn for_a_time(load: &dyn Fn(f64) -> Offered) -> impl Fn(u64) -> Offered {
    move |now| match LOAD.contains(&now) {
        true => load((now - LOAD.start) as f64 / (LOAD.end - LOAD.start) as f64),
        false => CALM,
    }
}

fn times_capacity(times: f64) -> Offered {
    Offered { urgent: URGENT, other: times - URGENT }
}

/// Checks what holds under every load: urgent requests are in time, the others are not starved, and
/// all is as before soon after the load.
fn check(name: &str, out: &Outcome) {
    let urgent = in_time(Outcome::during(&out.urgent));
    let other = Outcome::during(&out.other).iter().map(|it| it.0).fold(f64::MAX, f64::min);
    let after = [&out.urgent, &out.other].map(|it| in_time(Outcome::after(it)));
    assert!(urgent >= 0.99, "{name}: urgent in time {urgent}");
    // Seven eighths of the upstreams serve 5,250 a second.
    assert!(other >= 3_500.0 || name.starts_with("wave"), "{name}: others a second {other}");
    assert!(after.iter().all(|it| *it >= 0.99), "{name}: in time after the load {after:?}");
    assert_eq!(out.rejected_in_calm, 0, "{name}");
}

#[test]
fn shortage_step_urgent_in_time_and_goodput_kept() {
    for held in CALLERS {
        let [low, _, high] = [1.2, 2.0, 5.0].map(|times| {
            let out = Play::run(held, &for_a_time(&|_| times_capacity(times)));
            check(&format!("step {times}, held {}", held.0), &out);
            out.goodput()
        });
        assert!(high >= 0.95 * low, "held {}: goodput {low} falls to {high}", held.0);
    }
}

#[test]
fn shortage_wave_urgent_in_time() {
    for held in CALLERS {
        let wave = |part: f64| times_capacity(1.75 - 1.25 * (part * 20.0).cos());
        check(&format!("wave, held {}", held.0), &Play::run(held, &for_a_time(&wave)));
    }
}

#[test]
fn shortage_ramp_urgent_in_time() {
    for held in CALLERS {
        let ramp = |part: f64| times_capacity(0.9 + 4.1 * part);
        check(&format!("ramp, held {}", held.0), &Play::run(held, &for_a_time(&ramp)));
    }
}

#[test]
fn shortage_flood_of_less_urgent_kind_does_not_harm_urgent_kind() {
    let flood = for_a_time(&|_| Offered { urgent: URGENT, other: 12.0 });
    check("flood", &Play::run(Held(0.5), &flood));
}

#[test]
fn shortage_flood_of_urgent_kind_does_not_starve_less_urgent_kind() {
    let flood = for_a_time(&|_| Offered { urgent: 2.0, ..CALM });
    let out = Play::run(Held(0.5), &flood);
    let other = Outcome::during(&out.other);
    assert!(other.iter().all(|it| it.0 >= 0.1 * it.1), "{other:?}");
    assert!(in_time(Outcome::after(&out.other)) >= 0.99);
}
