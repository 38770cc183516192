//! Generates requests at a steady rate and summarizes their outcomes.

use pomelorun_core::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::mesh::{FakeUpstream, Mesh, Outcome};

/// Sends requests of random flows at a steady rate.
pub(crate) struct Load {
    rng: ChaCha8Rng,
    flows: u32,
    per_second: u32,
    /// Requests that are due, in thousandths.
    due_thousandths: u32,
    /// Share of non-idempotent requests, in percent.
    pub(crate) non_idempotent: u32,
}

impl Load {
    pub(crate) fn new(seed: u64, flows: u32, per_second: u32) -> Load {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Load { rng, flows, per_second, due_thousandths: 0, non_idempotent: 0 }
    }

    pub(crate) fn run(&mut self, mesh: &mut Mesh, ms: u64) {
        self.run_with(mesh, ms, |_| {});
    }

    /// Runs for `ms` milliseconds and calls `after_step` after each one.
    pub(crate) fn run_with(
        &mut self,
        mesh: &mut Mesh,
        ms: u64,
        mut after_step: impl FnMut(&mut Mesh),
    ) {
        for _ in 0..ms {
            self.due_thousandths += self.per_second;
            while self.due_thousandths >= 1_000 {
                self.due_thousandths -= 1_000;
                let flow = self.rng.random_range(0..self.flows);
                if mesh.callers.ended.contains_key(&Mesh::flow(flow)) {
                    continue;
                }
                let idempotent = self.rng.random_range(0..100) >= self.non_idempotent;
                mesh.request(flow, idempotent);
            }
            mesh.run_for(1);
            after_step(mesh);
        }
    }
}

/// Outcomes of the requests sent in a time span.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RequestStats {
    pub(crate) asked: usize,
    pub(crate) answered: usize,
    pub(crate) refused: usize,
    pub(crate) unknown: usize,
    pub(crate) pending: usize,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub(crate) p99: u64,
}

/// Returns the outcomes of the requests sent from `since` until just before `until`.
pub(crate) fn seen(mesh: &Mesh, since: Millis, until: Millis) -> RequestStats {
    let requests: Vec<_> =
        mesh.callers.asked.values().filter(|it| it.sent >= since && it.sent < until).collect();
    let count = |outcome| requests.iter().filter(|it| it.outcome == outcome).count();
    let mut latency: Vec<u64> = requests
        .iter()
        .filter(|it| it.outcome == Outcome::Answered)
        .map(|it| it.ended.since(it.sent).0)
        .collect();
    latency.sort_unstable();
    RequestStats {
        asked: requests.len(),
        answered: count(Outcome::Answered),
        refused: count(Outcome::NotRun),
        unknown: count(Outcome::Unknown),
        pending: count(Outcome::Pending),
        p99: latency.get(latency.len() * 99 / 100).copied().unwrap_or(0),
    }
}

/// Sums a value over all upstreams.
pub(crate) fn total(mesh: &Mesh, value: impl Fn(&FakeUpstream) -> u64) -> u64 {
    mesh.upstreams.values().map(value).sum()
}

/// Returns the ratio of maximum to mean, and the coefficient of variation.
pub(crate) fn imbalance(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let max = values.iter().copied().fold(0.0, f64::max);
    let variance = values.iter().map(|it| (it - mean).powi(2)).sum::<f64>() / values.len() as f64;
    (max / mean, variance.sqrt() / mean)
}
