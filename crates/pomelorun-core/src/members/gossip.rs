//! Changes of membership that are still to be told to others.

use std::collections::VecDeque;

use pomelorun_wire::HostId;

/// Changes of membership on one message.
const PER_MESSAGE: usize = 10;
/// A change is sent this many times the logarithm of the number of hosts.
const SENDS_FACTOR: u32 = 3;
/// A change is sent this often without waiting for the next probe.
const EAGER_SENDS: u8 = 3;
/// Changes that are kept; the ones sent most often make room for new ones.
const MOST: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Rumour {
    host: HostId,
    sends_left: u32,
    eager_left: u8,
}

/// The changes, those sent longest ago or never in front.
#[derive(Debug, Default)]
pub(super) struct GossipQueue {
    queue: VecDeque<Rumour>,
    eager: u32,
}

impl GossipQueue {
    /// Adds a change of a host, in place of an earlier one.
    pub(super) fn add(&mut self, host: HostId, known: usize) {
        if let Some(at) = self.queue.iter().position(|it| it.host == host) {
            self.remove(at);
        }
        if self.queue.len() == MOST {
            self.remove(MOST - 1);
        }
        let sends_left = SENDS_FACTOR * (known as u32 + 2).ilog2();
        self.queue.push_front(Rumour { host, sends_left, eager_left: EAGER_SENDS });
        self.eager += 1;
    }

    /// Tells whether a change is new enough not to wait for the next probe.
    pub(super) fn is_eager(&self) -> bool {
        self.eager > 0
    }

    /// The changes to put on one message.
    pub(super) fn take_batch(&mut self) -> Vec<HostId> {
        let count = self.queue.len().min(PER_MESSAGE);
        let mut hosts = Vec::with_capacity(count);
        for _ in 0..count {
            let Some(mut it) = self.queue.pop_front() else { break };
            hosts.push(it.host);
            it.sends_left -= 1;
            if it.eager_left > 0 {
                it.eager_left -= 1;
                self.eager -= u32::from(it.eager_left == 0);
            }
            if it.sends_left > 0 {
                self.queue.push_back(it);
            }
        }
        hosts
    }

    fn remove(&mut self, at: usize) {
        if let Some(it) = self.queue.remove(at) {
            self.eager -= u32::from(it.eager_left > 0);
        }
    }
}
