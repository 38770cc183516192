//! Compares strategies for recovering flows whose bucket owner or primary is gone.
//!
//! Every strategy runs on the same seed. Arguments: number of open flows (default 30,000) and seed
//! (default 1).

#![allow(dead_code, missing_docs, reason = "the mesh is shared by several tests")]
#![allow(clippy::print_stdout, reason = "the table is the result")]

use std::time::Instant;

use pomelorun_core::CoreSettings;
use rand::RngExt;

#[path = "../tests/core/mesh.rs"]
mod mesh;

use mesh::{Mesh, Shape, snapshot};

/// New flows per millisecond while hosts change.
const OPENS_PER_MS: u32 = 5;
/// Requests per millisecond while hosts change.
const REQUESTS_PER_MS: u32 = 2;
/// Number of flows that get a request at the end, to count the broken ones.
const SAMPLED_FLOWS: u32 = 12_000;

#[derive(Debug, Clone, Copy)]
enum Change {
    /// An upstream drains, one host joins and another one leaves.
    Replace,
    CrashOne,
    CrashTwoInOneZone,
}

fn strategies() -> Vec<(&'static str, CoreSettings)> {
    let base = CoreSettings::default();
    let cfg = |max_probed_hosts, max_probed_upstreams, handover_flows_per_tick| CoreSettings {
        max_probed_hosts,
        max_probed_upstreams,
        handover_flows_per_tick,
        ..base.clone()
    };
    vec![
        ("no probing", cfg(0, 1, 0)),
        ("handover", cfg(0, 1, 100)),
        ("probe upstreams", cfg(0, 32, 0)),
        ("probe hosts", cfg(12, 1, 0)),
        ("probe hosts, handover", cfg(12, 1, 100)),
        ("probe hosts and upstreams", cfg(12, 32, 0)),
        ("probe 4 hosts and upstreams", cfg(4, 32, 0)),
        ("probe hosts and upstreams, handover", cfg(12, 32, 100)),
    ]
}

struct Run {
    mesh: Mesh,
    open: u32,
    next_flow: u32,
}

impl Run {
    fn run_traffic(&mut self, ms: u64) {
        for _ in 0..ms {
            self.mesh.open_flows(self.next_flow, self.next_flow + OPENS_PER_MS);
            self.next_flow += OPENS_PER_MS;
            for _ in 0..REQUESTS_PER_MS {
                let flow = self.mesh.rng.random_range(0..self.open);
                self.mesh.request(flow, true);
            }
            self.mesh.run_for(1);
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Replace => {
                let shape = Shape::consorcio();
                self.mesh.publish(snapshot(2, &shape, |it, _| it[0].draining = true));
                self.mesh.join("bog-a-new", "bog-a");
                self.run_traffic(1_500);
                self.mesh.spray = Some((1..self.mesh.hosts.len()).collect());
                self.mesh.leave(0);
                self.run_traffic(1_500);
                self.mesh.crash(0);
            }
            Change::CrashOne => self.mesh.crash(0),
            Change::CrashTwoInOneZone => (0..2).for_each(|it| self.mesh.crash(it)),
        }
        self.run_traffic(3_000);
    }

    fn request_sample(&mut self) {
        for round in 0..2 {
            for at in 0..SAMPLED_FLOWS {
                let flow = (u64::from(at) * u64::from(self.open) / u64::from(SAMPLED_FLOWS)) as u32;
                self.mesh.request(flow, true);
                if (at + round) % 3 == 0 {
                    self.mesh.run_for(1);
                }
            }
            self.mesh.run_for(500);
        }
    }
}

fn run(cfg: &CoreSettings, change: Change, open: u32, seed: u64) -> String {
    let started = Instant::now();
    let mesh = Mesh::with_settings(&Shape::consorcio(), seed, cfg.clone());
    let mut it = Run { mesh, open, next_flow: open };
    for at in (0..open).step_by(50) {
        it.mesh.open_flows(at, (at + 50).min(open));
    }
    it.run_traffic(500);
    let control = |mesh: &Mesh| mesh.hosts.iter().map(|it| it.control_bytes).sum::<u64>();
    let (bytes, at) = (control(&it.mesh), it.mesh.now);
    let (relays, packets) = (it.mesh.relays, it.mesh.caller_packets);
    it.apply(change);
    let seconds = it.mesh.now.since(at).0 as f64 / 1_000.0;
    let control_rate = (control(&it.mesh) - bytes) as f64 / seconds / it.mesh.hosts.len() as f64;
    let relays_per_packet =
        (it.mesh.relays - relays) as f64 / (it.mesh.caller_packets - packets) as f64;
    let table_bytes: usize =
        it.mesh.hosts.iter().filter(|it| it.up).map(|it| it.core.flows().bytes()).sum();
    let bytes_per_flow = table_bytes as f64 / f64::from(it.next_flow);
    it.request_sample();
    let sampled = it.mesh.callers.asked.keys().map(|it| it.0);
    let sampled: std::collections::BTreeSet<_> = sampled.collect();
    let broken = it.mesh.callers.ended.len();
    format!(
        "{broken} of {} | {} | {control_rate:.0} | {bytes_per_flow:.0} | {relays_per_packet:.2} | \
         {:.1}",
        sampled.len(),
        it.mesh.split_flows(),
        started.elapsed().as_secs_f64()
    )
}

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|it| it.parse::<u64>().ok());
    let open = args.next().map_or(30_000, |it| it as u32);
    let seed = args.next().unwrap_or(1);
    println!("{open} open flows, seed {seed}");
    println!(
        "| Strategy | Change | Broken of requested | Split | Control B/s per host | \
         Table B per flow | Relays per packet | Run s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (name, cfg) in strategies() {
        for change in [Change::Replace, Change::CrashOne, Change::CrashTwoInOneZone] {
            println!("| {name} | {change:?} | {} |", run(&cfg, change, open, seed));
        }
    }
}
