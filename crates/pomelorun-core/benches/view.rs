//! Measures the time to build a routing table, and to update it after a host joins or leaves.

#![allow(clippy::print_stdout, reason = "the table is the result")]

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

use pomelorun_core::{RoutingHost, RoutingTable, Snapshot, UpstreamView};
use pomelorun_wire::{HostId, UpstreamId, ZoneId};

const ZONES: usize = 17;
/// Numbers of hosts, upstreams and buckets per fleet size.
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

fn timed<T>(f: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let it = f();
    (it, start.elapsed().as_secs_f64() * 1_000.0)
}

fn main() {
    println!("| Hosts | Upstreams | Buckets | Build ms | Join ms | Leave ms |");
    println!("|---|---|---|---|---|---|");
    for (count, upstreams, buckets) in SIZES {
        let snapshot = snapshot(upstreams, buckets);
        let all = hosts(count);
        let mut fewer = all.clone();
        fewer.remove(count / 2);
        let (full, build_ms) = timed(|| RoutingTable::new(&snapshot, all.clone()));
        let (without_one, leave_ms) = timed(|| full.updated(&snapshot, fewer));
        let (rejoined, join_ms) = timed(|| without_one.updated(&snapshot, all));
        assert!((0..buckets).all(|it| rejoined.bucket_ranks(it) == full.bucket_ranks(it)));
        println!(
            "| {count} | {upstreams} | {buckets} | {build_ms:.2} | {join_ms:.2} | {leave_ms:.2} |"
        );
    }
}
