//! Measures the cost of membership per host and the crash detection time, by fleet size.
//!
//! `cargo bench -p pomelorun-core --bench membership` prints one JSON line per fleet size.

#![allow(missing_docs, dead_code, clippy::print_stdout, reason = "uses the fleet of the tests")]

use std::time::Duration;

use pomelorun_core::{Event, Member};
use pomelorun_wire::MemberState;

#[path = "../tests/core/fleet.rs"]
mod fleet;

use fleet::Fleet;

const SEED: u64 = 1;
const SETTLE_MS: u64 = 2_000;
const IDLE_MS: u64 = 10_000;
const HOST_LIST_ROUNDS: u32 = 20;
const MAX_DETECTION_MS: u64 = 30_000;
/// Shares of hosts that know of the crash: the first host, half, 99% and all.
const DETECTION_SHARES: [f64; 4] = [0.0, 0.5, 0.99, 1.0];

fn main() {
    for hosts in [7, 70, 1_800] {
        measure(hosts);
    }
}

fn measure(hosts: usize) {
    let mut fleet = Fleet::new(hosts, if hosts > 100 { 17 } else { 3 }, SEED);
    fleet.run_for(SETTLE_MS);
    let before = control_bytes(&fleet);
    fleet.busy_time = Duration::ZERO;
    fleet.run_for(IDLE_MS);
    let seconds = IDLE_MS as f64 / 1_000.0 * hosts as f64;
    let idle_bytes = (control_bytes(&fleet) - before) as f64 / seconds;
    let idle_us = fleet.busy_time.as_secs_f64() * 1e6 / seconds;
    let listed_hosts = fleet.listed_hosts();
    fleet.busy_time = Duration::ZERO;
    for _ in 0..HOST_LIST_ROUNDS {
        fleet.handle(0, Event::HostList(&listed_hosts));
    }
    let list_us = fleet.busy_time.as_secs_f64() * 1e6 / f64::from(HOST_LIST_ROUNDS);
    fleet.crash(hosts / 2);
    let before = control_bytes(&fleet);
    let start = fleet.now;
    let mut known_ms = [None; DETECTION_SHARES.len()];
    for (at, share) in DETECTION_SHARES.iter().enumerate() {
        let unaware = ((hosts - 1) as f64 * (1.0 - share)) as usize;
        let unaware = unaware.min(hosts - 2);
        let done = fleet.run_until(MAX_DETECTION_MS, |it| {
            it.hosts_disagreeing(hosts / 2, MemberState::Dead) <= unaware
        });
        known_ms[at] = done.map(|_| fleet.now.since(start).0);
    }
    let all = known_ms[DETECTION_SHARES.len() - 1];
    let crash_bytes = all
        .map(|it| (control_bytes(&fleet) - before) as f64 / hosts as f64 / (it as f64 / 1_000.0));
    let largest = fleet.hosts.iter().map(|it| it.largest_message).max().unwrap_or(0);
    println!(
        "{{\"hosts\":{hosts},\"bytes_per_s\":{idle_bytes:.0},\"crash_bytes_per_s\":{:.0},\
         \"us_per_s\":{idle_us:.1},\"host_list_us\":{list_us:.1},\"member_bytes\":{},\
         \"largest_message\":{largest},\"known_ms\":{known_ms:?}}}",
        crash_bytes.unwrap_or(0.0),
        (hosts - 1) * size_of::<Member>(),
    );
}

/// Returns the bytes of control messages sent and received by all hosts.
fn control_bytes(fleet: &Fleet) -> u64 {
    fleet.hosts.iter().map(|it| it.bytes).sum()
}
