//! Time to derive the routing tables, from nothing and after one host joined or left.

#![allow(clippy::print_stdout, reason = "the table is the result")]

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

use pomelorun_core::{RoutingHost, RoutingTable, Snapshot, UpstreamView};
use pomelorun_wire::{HostId, UpstreamId, ZoneId};

const ZONES: usize = 17;
/// Hosts, upstreams and buckets of each size.
const SIZES: [(usize, usize, u32); 3] = [(7, 80, 256), (70, 800, 4_096), (1_800, 20_000, 65_536)];

fn zone(at: usize) -> ZoneId {
    ZoneId::from_name(&format!("zone-{}", at % ZONES))
}

fn snapshot(upstreams: usize, buckets: u32) -> Snapshot {
    let mut upstreams: Vec<UpstreamView> = (0..upstreams)
        .map(|at| UpstreamView {
            id: UpstreamId::from_names("pool", &at.to_string()),
            name: String::new(),
            pool: 0,
            zone: zone(at),
            addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
            slots: 2,
            cold_slots: 1,
            draining: false,
        })
        .collect();
    upstreams.sort_by_key(|it| it.id);
    Snapshot { revision: 1, buckets, upstreams, ..Snapshot::default() }
}

fn hosts(count: usize) -> Vec<RoutingHost> {
    let host =
        |at: usize| RoutingHost { host: HostId::from_name(&format!("host-{at}")), zone: zone(at) };
    let mut hosts: Vec<RoutingHost> = (0..count).map(host).collect();
    hosts.sort_unstable();
    hosts
}

fn time<T>(f: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let it = f();
    (it, start.elapsed().as_secs_f64() * 1_000.0)
}

fn main() {
    println!("| Hosts | Upstreams | Buckets | All ms | One joins ms | One leaves ms |");
    println!("|---|---|---|---|---|---|");
    for (count, upstreams, buckets) in SIZES {
        let snapshot = snapshot(upstreams, buckets);
        let all = hosts(count);
        let mut fewer = all.clone();
        fewer.remove(count / 2);
        let (full, new_ms) = time(|| RoutingTable::new(&snapshot, all.clone()));
        let (less, leave_ms) = time(|| full.updated(&snapshot, fewer));
        let (again, join_ms) = time(|| less.updated(&snapshot, all));
        assert!((0..buckets).all(|it| again.bucket_ranks(it) == full.bucket_ranks(it)));
        println!(
            "| {count} | {upstreams} | {buckets} | {new_ms:.2} | {join_ms:.2} | {leave_ms:.2} |"
        );
    }
}
