//! Queue of membership updates that are still to be disseminated.

use std::collections::VecDeque;

use pomelorun_wire::HostId;

/// Updates piggybacked on one message.
const MAX_UPDATES_PER_MESSAGE: usize = 10;
/// Transmissions of an update, per binary logarithm of the number of hosts.
const SENDS_PER_LOG2_HOSTS: u32 = 3;
/// Transmissions of an update that do not wait for the next probe.
const EAGER_SENDS: u8 = 3;
/// Maximum number of queued updates; the last in the queue, sent most recently, is evicted first.
const MAX_UPDATES: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct PendingUpdate {
    host: HostId,
    sends_left: u32,
    eager_left: u8,
}

/// Queued updates. Updates that were never sent come first, then those sent least recently.
#[derive(Debug, Default)]
pub(super) struct GossipQueue {
    queue: VecDeque<PendingUpdate>,
    /// Number of updates with eager transmissions left.
    eager: u32,
}

impl GossipQueue {
    /// Queues an update of a host, replacing an earlier one; `known` is the number of other hosts.
    pub(super) fn add(&mut self, host: HostId, known: usize) {
        if let Some(at) = self.queue.iter().position(|it| it.host == host) {
            self.remove(at);
        }
        if self.queue.len() == MAX_UPDATES {
            self.remove(MAX_UPDATES - 1);
        }
        let sends_left = SENDS_PER_LOG2_HOSTS * (known as u32 + 2).ilog2();
        self.queue.push_front(PendingUpdate { host, sends_left, eager_left: EAGER_SENDS });
        self.eager += 1;
    }

    /// Returns `true` if an update should be sent without waiting for the next probe.
    pub(super) fn is_eager(&self) -> bool {
        self.eager > 0
    }

    /// Returns the hosts whose state goes on the next message, and counts one transmission of each.
    pub(super) fn take_batch(&mut self) -> Vec<HostId> {
        let count = self.queue.len().min(MAX_UPDATES_PER_MESSAGE);
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
