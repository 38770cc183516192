//! What membership costs a host, and how soon a crash is known, by the number of hosts.
//!
//! `cargo bench -p pomelorun-core --bench membership` prints one JSON line for each size.

#![allow(missing_docs, dead_code, clippy::print_stdout, reason = "shares the tests' fleet")]

use std::time::Duration;

use pomelorun_core::{Event, Member};
use pomelorun_wire::MemberState;

#[path = "../tests/core/fleet.rs"]
mod fleet;

use fleet::Fleet;

const SEED: u64 = 1;
const SETTLE_MS: u64 = 2_000;
const IDLE_MS: u64 = 10_000;
const LISTS: u32 = 20;
const DETECT_MS: u64 = 30_000;
/// Shares of the hosts that know of the crash: the first, half, all but a hundredth, all.
const SHARES: [f64; 4] = [0.0, 0.5, 0.99, 1.0];

fn main() {
    for hosts in [7, 70, 1_800] {
        measure(hosts);
    }
}

fn measure(hosts: usize) {
    let mut fleet = Fleet::new(hosts, if hosts > 100 { 17 } else { 3 }, SEED);
    fleet.run_for(SETTLE_MS);
    let before = bytes(&fleet);
    fleet.busy = Duration::ZERO;
    fleet.run_for(IDLE_MS);
    let seconds = IDLE_MS as f64 / 1_000.0 * hosts as f64;
    let idle_bytes = (bytes(&fleet) - before) as f64 / seconds;
    let idle_us = fleet.busy.as_secs_f64() * 1e6 / seconds;
    let listed = fleet.listed();
    fleet.busy = Duration::ZERO;
    for _ in 0..LISTS {
        fleet.handle(0, Event::HostList(&listed));
    }
    let list_us = fleet.busy.as_secs_f64() * 1e6 / f64::from(LISTS);
    fleet.crash(hosts / 2);
    let before = bytes(&fleet);
    let start = fleet.now;
    let mut known_ms = [None; SHARES.len()];
    for (at, share) in SHARES.iter().enumerate() {
        let left = ((hosts - 1) as f64 * (1.0 - share)) as usize;
        let left = left.min(hosts - 2);
        let done =
            fleet.run_until(DETECT_MS, |it| it.disagreeing(hosts / 2, MemberState::Dead) <= left);
        known_ms[at] = done.map(|_| fleet.now.since(start).0);
    }
    let all = known_ms[SHARES.len() - 1];
    let crash_bytes =
        all.map(|it| (bytes(&fleet) - before) as f64 / hosts as f64 / (it as f64 / 1_000.0));
    let largest = fleet.hosts.iter().map(|it| it.largest).max().unwrap_or(0);
    println!(
        "{{\"hosts\":{hosts},\"bytes_per_s\":{idle_bytes:.0},\"crash_bytes_per_s\":{:.0},\
         \"us_per_s\":{idle_us:.1},\"host_list_us\":{list_us:.1},\"member_bytes\":{},\
         \"largest_message\":{largest},\"known_ms\":{known_ms:?}}}",
        crash_bytes.unwrap_or(0.0),
        (hosts - 1) * size_of::<Member>(),
    );
}

/// Bytes that all hosts have sent and received.
fn bytes(fleet: &Fleet) -> u64 {
    fleet.hosts.iter().map(|it| it.bytes).sum()
}
