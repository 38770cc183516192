//! Answers to non-idempotent requests, kept for callers that did not get them.

use std::collections::VecDeque;

use pomelorun_wire::RecordKey;

/// Bytes of answers that are kept for one upstream.
const BUDGET: usize = 16 << 10;
/// Longest answer that is kept, bytes.
const LONGEST: usize = 512;

/// Short answers, the oldest first; the oldest go when the budget is spent.
#[derive(Debug, Default)]
pub(super) struct AnswerCache {
    kept: VecDeque<(RecordKey, Box<[u8]>)>,
    bytes: usize,
}

impl AnswerCache {
    /// Keeps an answer that is short enough.
    pub(super) fn keep(&mut self, key: RecordKey, answer: &[u8]) {
        if answer.len() > LONGEST || self.get(&key).is_some() {
            return;
        }
        self.bytes += cost(answer);
        self.kept.push_back((key, answer.into()));
        while self.bytes > BUDGET {
            let Some((_, oldest)) = self.kept.pop_front() else { return };
            self.bytes -= cost(&oldest);
        }
    }

    pub(super) fn get(&self, key: &RecordKey) -> Option<&[u8]> {
        self.kept.iter().find(|it| it.0 == *key).map(|it| it.1.as_ref())
    }

    /// Forgets the answers whose requests are no longer recorded.
    pub(super) fn retain(&mut self, recorded: impl Fn(&RecordKey) -> bool) {
        self.kept.retain(|it| recorded(&it.0));
        self.bytes = self.kept.iter().map(|it| cost(&it.1)).sum();
    }
}

fn cost(answer: &[u8]) -> usize {
    answer.len() + size_of::<(RecordKey, Box<[u8]>)>()
}
