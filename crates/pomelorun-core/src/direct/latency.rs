//! Histogram of the latencies that callers observe.

/// Inclusive upper bounds of the buckets, in milliseconds; one further bucket has no upper bound.
pub const BUCKET_BOUNDS_MS: [u64; 11] = [5, 10, 25, 50, 100, 200, 350, 600, 1_000, 1_500, 5_000];

/// A latency histogram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LatencyHistogram {
    /// Number of samples in each bucket; the bucket without an upper bound is last.
    pub counts: [u64; BUCKET_BOUNDS_MS.len() + 1],
    /// Sum of all samples, in milliseconds.
    pub sum_ms: u64,
}

impl LatencyHistogram {
    /// Records a sample.
    pub fn record(&mut self, ms: u64) {
        let at = BUCKET_BOUNDS_MS.partition_point(|it| *it < ms);
        self.counts[at] += 1;
        self.sum_ms += ms;
    }
}
