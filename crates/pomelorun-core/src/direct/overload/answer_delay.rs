//! Delay of answers, by which a host notices a rise of the load before a picture shows it.
//!
//! Answers demand that multiplies within a second: queues are full in a tenth of the time that a
//! picture takes to come, but the first answers from these queues are late.

/// Weight of an answer in the mean.
const MEAN_GAIN: f64 = 1.0 / 16.0;
/// Largest relative time of one answer, so that a long request does not stand for a queue.
const MAX_RATIO: f64 = 4.0;
/// Mean relative time from which on requests wait at least as long as they run.
const DELAYED_RATIO: f64 = 2.0;

/// Mean time of a service's answers, relative to the usual one without a queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerDelay {
    mean_ratio: f64,
}

impl Default for AnswerDelay {
    fn default() -> AnswerDelay {
        AnswerDelay { mean_ratio: 1.0 }
    }
}

impl AnswerDelay {
    /// Records an answer and returns `true` if answers are delayed.
    pub(crate) fn record(&mut self, took_ms: f64, usual_ms: f64) -> bool {
        let ratio = (took_ms / usual_ms.max(f64::MIN_POSITIVE)).min(MAX_RATIO);
        self.mean_ratio += MEAN_GAIN * (ratio - self.mean_ratio);
        self.mean_ratio >= DELAYED_RATIO
    }
}
