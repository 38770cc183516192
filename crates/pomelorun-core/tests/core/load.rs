//! Callers that keep asking at a rate, and what the upstreams made of it.

use pomelorun_core::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::mesh::{FakeUpstream, Mesh, Outcome};

/// Requests of random flows at a steady rate.
pub(crate) struct Load {
    rng: ChaCha8Rng,
    flows: u32,
    per_second: u32,
    /// Thousandths of a request that are due.
    due: u32,
    /// Share that may run at most once, percent.
    pub(crate) non_idempotent: u32,
}

impl Load {
    pub(crate) fn new(seed: u64, flows: u32, per_second: u32) -> Load {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Load { rng, flows, per_second, due: 0, non_idempotent: 0 }
    }

    pub(crate) fn run(&mut self, mesh: &mut Mesh, ms: u64) {
        self.run_with(mesh, ms, |_| {});
    }

    /// Runs, looking at the mesh after each millisecond.
    pub(crate) fn run_with(&mut self, mesh: &mut Mesh, ms: u64, mut look: impl FnMut(&mut Mesh)) {
        for _ in 0..ms {
            self.due += self.per_second;
            while self.due >= 1_000 {
                self.due -= 1_000;
                let flow = self.rng.random_range(0..self.flows);
                if mesh.callers.ended.contains_key(&Mesh::flow(flow)) {
                    continue;
                }
                let idempotent = self.rng.random_range(0..100) >= self.non_idempotent;
                mesh.request(flow, idempotent);
            }
            mesh.run_for(1);
            look(mesh);
        }
    }
}

/// How the requests sent from `since` on ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Seen {
    pub(crate) asked: usize,
    pub(crate) answered: usize,
    pub(crate) refused: usize,
    pub(crate) unknown: usize,
    pub(crate) pending: usize,
    /// 99th percentile of the answers' latency, milliseconds.
    pub(crate) p99: u64,
}

pub(crate) fn seen(mesh: &Mesh, since: Millis, until: Millis) -> Seen {
    let asked: Vec<_> =
        mesh.callers.asked.values().filter(|it| it.sent >= since && it.sent < until).collect();
    let count = |outcome| asked.iter().filter(|it| it.outcome == outcome).count();
    let mut latency: Vec<u64> = asked
        .iter()
        .filter(|it| it.outcome == Outcome::Answered)
        .map(|it| it.ended.since(it.sent).0)
        .collect();
    latency.sort_unstable();
    Seen {
        asked: asked.len(),
        answered: count(Outcome::Answered),
        refused: count(Outcome::NotRun),
        unknown: count(Outcome::Unknown),
        pending: count(Outcome::Pending),
        p99: latency.get(latency.len() * 99 / 100).copied().unwrap_or(0),
    }
}

/// A sum over all upstreams.
pub(crate) fn total(mesh: &Mesh, of: impl Fn(&FakeUpstream) -> u64) -> u64 {
    mesh.upstreams.values().map(of).sum()
}

/// Most over mean, and the coefficient of variation.
pub(crate) fn imbalance(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let most = values.iter().copied().fold(0.0, f64::max);
    let variance = values.iter().map(|it| (it - mean).powi(2)).sum::<f64>() / values.len() as f64;
    (most / mean, variance.sqrt() / mean)
}
