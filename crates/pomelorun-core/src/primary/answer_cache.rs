//! Cache of answers to non-idempotent requests, for callers that did not receive them.

use std::collections::VecDeque;

use pomelorun_wire::RecordKey;

/// Maximum size of the cache of one upstream, in bytes.
const MAX_CACHE_BYTES: usize = 16 << 10;
/// Maximum size of a cached answer, in bytes.
const MAX_ANSWER_BYTES: usize = 512;

/// Short answers, oldest first. The oldest are evicted when the cache is full.
#[derive(Debug, Default)]
pub(super) struct AnswerCache {
    entries: VecDeque<(RecordKey, Box<[u8]>)>,
    bytes: usize,
}

impl AnswerCache {
    /// Caches an answer if it is short enough.
    pub(super) fn insert(&mut self, key: RecordKey, answer: &[u8]) {
        if answer.len() > MAX_ANSWER_BYTES || self.get(&key).is_some() {
            return;
        }
        self.bytes += cost(answer);
        self.entries.push_back((key, answer.into()));
        while self.bytes > MAX_CACHE_BYTES {
            let Some((_, oldest)) = self.entries.pop_front() else { return };
            self.bytes -= cost(&oldest);
        }
    }

    pub(super) fn get(&self, key: &RecordKey) -> Option<&[u8]> {
        self.entries.iter().find(|it| it.0 == *key).map(|it| it.1.as_ref())
    }

    /// Removes the answers to requests that are no longer recorded.
    pub(super) fn retain(&mut self, recorded: impl Fn(&RecordKey) -> bool) {
        self.entries.retain(|it| recorded(&it.0));
        self.bytes = self.entries.iter().map(|it| cost(&it.1)).sum();
    }
}

fn cost(answer: &[u8]) -> usize {
    answer.len() + size_of::<(RecordKey, Box<[u8]>)>()
}
