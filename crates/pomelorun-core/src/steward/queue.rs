//! Requests that wait for a slot: their admission, their order and their end.

use std::collections::VecDeque;

use pomelorun_wire::{Code, Header, Packet, RecordKey};

use crate::{
    action::Actions,
    steward::{InFlight, Steward, StewardCx, StewardPhase, deadline_of},
    time::Millis,
};

/// A request that waits, for a slot or for the replica of its record.
#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) key: RecordKey,
    pub(super) bytes: Box<[u8]>,
    pub(super) arrived: Millis,
    pub(super) deadline: Millis,
    pub(super) idempotent: bool,
}

impl Held {
    pub(super) fn new(cx: &StewardCx<'_>, packet: &Packet<'_>, key: RecordKey) -> Held {
        Held {
            key,
            bytes: packet.bytes().into(),
            arrived: cx.now,
            deadline: deadline_of(cx, packet),
            idempotent: packet.is_idempotent(),
        }
    }

    pub(super) fn header(&self) -> Header {
        Packet::parse(&self.bytes).expect("held bytes were parsed on arrival").header()
    }
}

/// Requests that wait for a slot, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Held>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn contains(&self, key: &RecordKey) -> bool {
        self.waiting.iter().any(|it| it.key == *key)
    }

    pub(super) fn push(&mut self, held: Held) {
        self.waiting.push_back(held);
    }

    pub(super) fn pop(&mut self) -> Option<Held> {
        self.waiting.pop_front()
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, key: &RecordKey) -> Option<Held> {
        let at = self.waiting.iter().position(|it| it.key == *key)?;
        self.waiting.remove(at)
    }

    /// Takes out a request whose deadline has passed.
    pub(super) fn pop_late(&mut self, now: Millis) -> Option<Held> {
        let at = self.waiting.iter().position(|it| it.deadline <= now)?;
        self.waiting.remove(at)
    }

    /// Takes out all.
    pub(super) fn take(&mut self) -> VecDeque<Held> {
        std::mem::take(&mut self.waiting)
    }
}

/// Whether a request may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    Start,
    Wait,
    Refuse,
}

impl Steward {
    /// Decides whether a request starts now, waits or is refused.
    pub(super) fn admission(&mut self, cx: &StewardCx<'_>) -> Admission {
        let free = self.phase == StewardPhase::Active
            && self.queue.is_empty()
            && self.limit.admits(cx.now, self.busy());
        if free {
            return Admission::Start;
        }
        if self.queue.len() < cx.cfg.queue_len { Admission::Wait } else { Admission::Refuse }
    }

    /// Starts what waits, as far as the limit admits.
    pub(super) fn pump(&mut self, cx: &StewardCx<'_>, out: &mut Actions) {
        while self.phase == StewardPhase::Active && self.limit.admits(cx.now, self.busy()) {
            let Some(held) = self.queue.pop() else { return };
            if held.idempotent {
                self.forward(cx, held, out);
            } else {
                self.record(cx, held, out);
            }
        }
    }

    /// The upstream shed a request, which therefore has not run.
    pub(super) fn shed(&mut self, cx: &StewardCx<'_>, it: &InFlight, out: &mut Actions) {
        self.limit.shed(cx.now);
        self.say_shed(cx, it, out);
        self.pump(cx, out);
    }

    /// Refuses what has waited for too long.
    pub(super) fn drop_late(&mut self, cx: &StewardCx<'_>, out: &mut Actions) {
        while let Some(held) = self.queue.pop_late(cx.now) {
            self.refuse(cx, &held.key, held.header(), Code::BUSY, out);
        }
    }
}
