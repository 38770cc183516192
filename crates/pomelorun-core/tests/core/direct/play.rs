//! What callers get while upstreams fail, are slow, or are cut off.

use pomelorun_core::direct::Reachability;
use pomelorun_wire::ZoneId;

use crate::direct::world::{Health, Judging, Shape, World};

/// The users' deployment of today: three zones of two hosts and five upstreams, a hundred callers
/// with long flows.
const TODAY: Shape = Shape {
    zones: 3,
    hosts_per_zone: 2,
    upstreams_per_zone: 5,
    callers_per_zone: 34,
    think: 500,
    work: 30,
    loss: 0,
    judging: Judging::Together,
    flow_requests: u32::MAX,
};
const SEEDS: u64 = 20;
/// When trouble begins, and how long it lasts.
const TROUBLE: u64 = 5_000;
const LASTS: u64 = 5_000;
/// Time from an upstream's fall to the reset of its flows: the first copy of a packet, a probe, and a
/// request a second at each host to see it.
const RESET_MS: u64 = 1_000;

fn healthy(shape: Shape, seed: u64) -> World {
    let mut world = World::new(shape, seed);
    world.run_until(TROUBLE);
    world
}

#[test]
fn a_calm_day_is_served_in_time_without_a_reset() {
    for seed in 0..SEEDS {
        let mut world = healthy(TODAY, seed);
        world.run_until(TROUBLE + LASTS);
        let it = world.counts;
        assert!(it.answered > 2_000, "seed {seed}: {it:?}");
        assert_eq!((it.expired, it.resets), (0, 0), "seed {seed}");
        assert!(it.in_time * 1_000 >= it.answered * 995, "seed {seed}: {it:?}");
    }
}

#[test]
fn flows_of_upstreams_that_go_dark_are_reset_within_a_second_and_no_others() {
    for seed in 0..SEEDS {
        let mut world = healthy(TODAY, seed);
        for id in [2, 7, 12] {
            world.set_health(id, Health::Dark);
        }
        world.run_until(TROUBLE + RESET_MS);
        let left: usize = [2, 7, 12].iter().map(|it| world.flows_at(*it)).sum();
        assert_eq!(left, 0, "seed {seed}: flows still at dark upstreams");
        assert!(world.last_reset <= TROUBLE + RESET_MS, "seed {seed}");
        world.run_until(TROUBLE + LASTS);
        assert_eq!(world.counts.false_resets, 0, "seed {seed}");
        assert_eq!(world.flows_at(2), 0, "seed {seed}");
    }
}

#[test]
fn a_dark_upstream_that_comes_back_is_used_again() {
    for seed in 0..SEEDS {
        let mut world = healthy(TODAY, seed);
        world.set_health(3, Health::Dark);
        world.run_until(TROUBLE + 2_000);
        world.set_health(3, Health::Well);
        world.run_until(TROUBLE + 2_000 + 6_000);
        let ix = |host: &pomelorun_core::direct::DirectHost| host.registry().by_id(3).unwrap();
        for host in world.hosts() {
            assert_eq!(host.reachability(ix(host)), Reachability::Answering, "seed {seed}");
        }
    }
}

#[test]
fn slow_and_overloaded_upstreams_are_never_given_up() {
    for (slow, work) in [(10, 30), (30, 30), (100, 30), (5, 200)] {
        for seed in 0..SEEDS {
            let shape = Shape { work, ..TODAY };
            let mut world = healthy(shape, seed);
            for id in [1, 4, 8] {
                world.set_health(id, Health::Slow(slow));
            }
            world.run_until(TROUBLE + 2 * LASTS);
            assert_eq!(world.counts.resets, 0, "slow {slow}, work {work}, seed {seed}");
        }
    }
}

#[test]
fn lost_packets_give_no_upstream_up() {
    for loss in [20, 100, 1_000] {
        for seed in 0..SEEDS {
            let mut world = healthy(Shape { loss, ..TODAY }, seed);
            world.run_until(TROUBLE + LASTS);
            assert_eq!(world.counts.resets, 0, "one packet in {loss} lost, seed {seed}");
        }
    }
}

#[test]
fn a_zone_that_is_cut_off_goes_on_with_its_own_upstreams() {
    for seed in 0..SEEDS {
        let mut world = healthy(TODAY, seed);
        world.cut(Some(ZoneId(2)));
        world.run_until(TROUBLE + RESET_MS);
        let before = world.counts;
        world.run_until(TROUBLE + LASTS);
        let after = world.counts;
        let answered = after.answered - before.answered;
        let late = answered - (after.in_time - before.in_time);
        assert!(late * 20 <= answered, "seed {seed}: {late} of {answered} late in the cut");
        assert_eq!(after.expired, before.expired, "seed {seed}");
        assert_eq!(after.false_resets, 0, "seed {seed}");
        world.cut(None);
        world.run_until(TROUBLE + LASTS + 6_000);
        assert_eq!(world.counts.false_resets, 0, "seed {seed}: after the cut");
    }
}

#[test]
fn a_slow_upstream_gets_less_than_its_share() {
    for seed in 0..SEEDS {
        let mut world = healthy(TODAY, seed);
        world.set_health(1, Health::Slow(8));
        world.run_until(TROUBLE + 3 * LASTS);
        let it = world.counts;
        assert!(it.in_time * 100 >= it.answered * 90, "seed {seed}: {it:?}");
    }
}
