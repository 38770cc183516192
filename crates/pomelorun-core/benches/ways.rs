//! Compares ways of finding a flow whose bucket owner or primary is gone, on the same seeds.
//!
//! Arguments: flows that are open (30,000 by default) and the seed (1).

#![allow(dead_code, missing_docs, reason = "the mesh serves several topics")]
#![allow(clippy::print_stdout, reason = "the table is the result")]

use std::time::Instant;

use pomelorun_core::CoreSettings;
use rand::RngExt;

#[path = "../tests/core/mesh.rs"]
mod mesh;

use mesh::{Mesh, Shape, snapshot};

/// New flows each millisecond while hosts change.
const OPENS_EACH_MS: u32 = 5;
/// Requests each millisecond while hosts change.
const REQUESTS_EACH_MS: u32 = 2;
/// Flows that are asked at the end, to count those that were lost.
const SAMPLE: u32 = 12_000;

#[derive(Debug, Clone, Copy)]
enum Change {
    /// An upstream drains, a host joins, another leaves.
    Replace,
    CrashOne,
    CrashTwoInOneZone,
}

fn ways() -> Vec<(&'static str, CoreSettings)> {
    let base = CoreSettings::default();
    let cfg = |max_probed_hosts, max_probed_upstreams, handover_flows_per_tick| CoreSettings {
        max_probed_hosts,
        max_probed_upstreams,
        handover_flows_per_tick,
        ..base.clone()
    };
    vec![
        ("hash", cfg(0, 1, 0)),
        ("hash, hand over", cfg(0, 1, 100)),
        ("hash, try upstreams", cfg(0, 32, 0)),
        ("ask hosts", cfg(12, 1, 0)),
        ("ask hosts, hand over", cfg(12, 1, 100)),
        ("ask hosts, try upstreams", cfg(12, 32, 0)),
        ("ask 4 hosts, try upstreams", cfg(4, 32, 0)),
        ("all three", cfg(12, 32, 100)),
    ]
}

struct Run {
    mesh: Mesh,
    open: u32,
    next: u32,
}

impl Run {
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms {
            self.mesh.open_flows(self.next, self.next + OPENS_EACH_MS);
            self.next += OPENS_EACH_MS;
            for _ in 0..REQUESTS_EACH_MS {
                let flow = self.mesh.rng.random_range(0..self.open);
                self.mesh.request(flow, true);
            }
            self.mesh.run_for(1);
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Replace => {
                let shape = Shape::consorcio();
                self.mesh.publish(snapshot(2, &shape, |it, _| it[0].draining = true));
                self.mesh.join("bog-a-new", "bog-a");
                self.pass(1_500);
                self.mesh.spray = Some((1..self.mesh.hosts.len()).collect());
                self.mesh.leave(0);
                self.pass(1_500);
                self.mesh.crash(0);
            }
            Change::CrashOne => self.mesh.crash(0),
            Change::CrashTwoInOneZone => (0..2).for_each(|it| self.mesh.crash(it)),
        }
        self.pass(3_000);
    }

    fn ask_sample(&mut self) {
        for round in 0..2 {
            for at in 0..SAMPLE {
                let flow = (u64::from(at) * u64::from(self.open) / u64::from(SAMPLE)) as u32;
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
    let mut it = Run { mesh, open, next: open };
    for at in (0..open).step_by(50) {
        it.mesh.open_flows(at, (at + 50).min(open));
    }
    it.pass(500);
    let control = |mesh: &Mesh| mesh.hosts.iter().map(|it| it.control_bytes).sum::<u64>();
    let (bytes, at) = (control(&it.mesh), it.mesh.now);
    let (relays, packets) = (it.mesh.relays, it.mesh.caller_packets);
    it.change(change);
    let seconds = it.mesh.now.since(at).0 as f64 / 1_000.0;
    let each = (control(&it.mesh) - bytes) as f64 / seconds / it.mesh.hosts.len() as f64;
    let hops = (it.mesh.relays - relays) as f64 / (it.mesh.caller_packets - packets) as f64;
    let table: usize =
        it.mesh.hosts.iter().filter(|it| it.up).map(|it| it.core.flows().bytes()).sum();
    let a_flow = table as f64 / f64::from(it.next);
    it.ask_sample();
    let asked = it.mesh.callers.asked.keys().map(|it| it.0);
    let asked: std::collections::BTreeSet<_> = asked.collect();
    let broken = it.mesh.callers.ended.len();
    format!(
        "{broken} of {} | {} | {each:.0} | {a_flow:.0} | {hops:.2} | {:.1}",
        asked.len(),
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
        "| Way | Change | Broken of asked | Split | Control B/s a host | Table B a flow | Relays a packet | Run s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (name, cfg) in ways() {
        for change in [Change::Replace, Change::CrashOne, Change::CrashTwoInOneZone] {
            println!("| {name} | {change:?} | {} |", run(&cfg, change, open, seed));
        }
    }
}
