//! How long callers wait, in buckets.

/// Upper bounds of the buckets, milliseconds; one more bucket is open.
pub const BUCKET_BOUNDS_MS: [u64; 11] = [5, 10, 25, 50, 100, 200, 350, 600, 1_000, 1_500, 5_000];

/// A histogram of waiting times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LatencyHistogram {
    /// Waits in each bucket, the open one last.
    pub counts: [u64; BUCKET_BOUNDS_MS.len() + 1],
    /// Sum of all waits, milliseconds.
    pub sum_ms: u64,
}

impl LatencyHistogram {
    /// Counts a wait.
    pub fn record(&mut self, ms: u64) {
        let at = BUCKET_BOUNDS_MS.partition_point(|it| *it < ms);
        self.counts[at] += 1;
        self.sum_ms += ms;
    }
}
