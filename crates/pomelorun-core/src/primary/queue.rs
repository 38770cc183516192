//! Requests that wait for a slot: their admission, their order, their end, and when those that are
//! refused or shed come back.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use pomelorun_wire::{Code, HEADER_LEN, Header, Packet, PacketKind, RecordKey, stable_hash};

use crate::{
    action::{Action, Actions},
    primary::{InFlight, Primary, PrimaryCx, PrimaryPhase, deadline_of, reply, unknown},
    time::Millis,
};

/// Longest time after which a refused caller is told to come back.
const COME_BACK_MOST: Millis = Millis(5_000);
/// Least bound on the random wait before a shed request is sent again.
const BACKOFF: Millis = Millis(10);
/// How often a shed request is sent again.
const MOST_RETRIES: u8 = 2;
/// Time after the end of a request during which its slot may still be taken at the upstream: the
/// way there of the request and of its cancellation.
const SLOT_RELEASE: Millis = Millis(100);
/// Weight of one answer in the smoothed service time, as a divisor.
const SMOOTHING: u64 = 8;

/// A request that waits, for a slot or for the replica of its record.
#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) key: RecordKey,
    pub(super) bytes: Box<[u8]>,
    pub(super) arrived: Millis,
    pub(super) deadline: Millis,
    pub(super) idempotent: bool,
    /// Its record is replicated.
    pub(super) recorded: bool,
    /// How often the upstream has shed it.
    pub(super) retries: u8,
    /// It does not start before.
    not_before: Millis,
}

impl Held {
    pub(super) fn new(cx: &PrimaryCx<'_>, packet: &Packet<'_>, key: RecordKey) -> Held {
        Held {
            key,
            bytes: packet.bytes().into(),
            arrived: cx.now,
            deadline: deadline_of(cx, packet),
            idempotent: packet.is_idempotent(),
            recorded: false,
            retries: 0,
            not_before: cx.now,
        }
    }

    /// A request that the upstream shed, to be sent again.
    fn again(it: InFlight, not_before: Millis) -> Held {
        Held {
            key: it.key,
            bytes: it.bytes,
            arrived: it.arrived,
            deadline: it.deadline,
            idempotent: it.idempotent,
            recorded: true,
            retries: it.retries + 1,
            not_before,
        }
    }

    pub(super) fn header(&self) -> Header {
        Packet::parse(&self.bytes).expect("held bytes were parsed on arrival").header()
    }

    /// The packet to send, with the time that is left of its deadline.
    pub(super) fn with_time_left(&self, now: Millis) -> Box<[u8]> {
        let left = self.deadline.since(now).as_u16().max(1);
        let mut bytes = self.bytes.clone();
        bytes[..HEADER_LEN].copy_from_slice(self.header().deadline_ms(left).as_bytes());
        bytes
    }
}

/// Requests that wait for a slot, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Held>,
    /// Smoothed time of a request from its start to its answer, 1/`SMOOTHING` of a millisecond.
    service: Option<u64>,
    /// When the refused caller that was told to come back last does so.
    last_turn: Millis,
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

    /// Puts a request back that was first already.
    pub(super) fn push_first(&mut self, held: Held) {
        self.waiting.push_front(held);
    }

    fn has_ready(&self, now: Millis) -> bool {
        self.waiting.iter().any(|it| it.not_before <= now)
    }

    fn pop_ready(&mut self, now: Millis) -> Option<Held> {
        let at = self.waiting.iter().position(|it| it.not_before <= now)?;
        self.waiting.remove(at)
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, key: &RecordKey) -> Option<Held> {
        let at = self.waiting.iter().position(|it| it.key == *key)?;
        self.waiting.remove(at)
    }

    /// Takes out a request whose deadline has passed.
    fn pop_late(&mut self, now: Millis) -> Option<Held> {
        let at = self.waiting.iter().position(|it| it.deadline <= now)?;
        self.waiting.remove(at)
    }

    /// Takes out all.
    pub(super) fn take(&mut self) -> VecDeque<Held> {
        std::mem::take(&mut self.waiting)
    }

    /// Notes how long a request took.
    pub(super) fn note_service(&mut self, took: Millis) {
        let service = self.service.unwrap_or(took.0 * SMOOTHING);
        self.service = Some(service - service / SMOOTHING + took.0);
    }

    fn service(&self, cx: &PrimaryCx<'_>) -> Millis {
        self.service.map_or(cx.pool.slow_after, |it| Millis(it.div_ceil(SMOOTHING)))
    }
}

/// Whether a request may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    Start,
    Wait,
    Refuse,
}

impl Primary {
    /// Decides whether a request starts now, waits or is refused because it cannot make its
    /// deadline.
    pub(super) fn admission(&mut self, cx: &PrimaryCx<'_>, deadline: Millis) -> Admission {
        let free = self.phase == PrimaryPhase::Active
            && !self.queue.has_ready(cx.now)
            && self.limit.admits(cx.now, self.busy());
        if free {
            return Admission::Start;
        }
        let in_time = self.expected_end(cx) <= deadline;
        if in_time && self.queue.len() < cx.cfg.queue_len {
            Admission::Wait
        } else {
            Admission::Refuse
        }
    }

    /// When a request that starts to wait now is expected to be answered.
    fn expected_end(&self, cx: &PrimaryCx<'_>) -> Millis {
        let service = self.queue.service(cx);
        let active = match &self.phase {
            PrimaryPhase::TakingOver(asking) => asking.since + cx.cfg.take_over_ms,
            PrimaryPhase::Standby | PrimaryPhase::Active => cx.now,
        };
        let started = self.in_flight.iter().map(|it| it.started);
        let started = started.chain(self.recording.iter().map(|it| it.since));
        let ends = started.map(|it| (it + service).max(cx.now + Millis(1)));
        let ends = ends.chain(self.foreign.iter().copied());
        let mut taken: BinaryHeap<Reverse<Millis>> = ends.map(Reverse).collect();
        let mut end = cx.now;
        for _ in 0..=self.queue.len() {
            let mut start = active;
            while taken.len() >= usize::from(self.limit.current()) {
                let Some(Reverse(free)) = taken.pop() else { break };
                start = start.max(free);
            }
            end = start + service;
            taken.push(Reverse(end));
        }
        end
    }

    /// After how long a refused caller finds a free slot: each is told a turn of its own.
    pub(super) fn come_back_after(&mut self, cx: &PrimaryCx<'_>) -> Millis {
        let service = self.queue.service(cx);
        let pace = Millis(service.0.div_ceil(u64::from(self.limit.current())).max(1));
        let free = self.expected_end(cx).since(service).max(cx.now);
        let turn = free.max(self.queue.last_turn + pace);
        self.queue.last_turn = turn.min(cx.now + COME_BACK_MOST);
        turn.since(cx.now).min(COME_BACK_MOST).max(Millis(1))
    }

    /// Starts what waits, as far as the limit admits.
    pub(super) fn pump(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        while self.phase == PrimaryPhase::Active && self.limit.admits(cx.now, self.busy()) {
            let Some(held) = self.queue.pop_ready(cx.now) else { return };
            if held.idempotent || held.recorded {
                self.forward(cx, held, out);
            } else {
                self.record(cx, held, out);
            }
        }
    }

    /// Forwards a request whose record was replicated, unless the limit has fallen meanwhile.
    pub(super) fn recorded(&mut self, cx: &PrimaryCx<'_>, mut held: Held, out: &mut Actions) {
        held.recorded = true;
        if self.limit.admits(cx.now, self.busy()) {
            self.forward(cx, held, out);
        } else {
            self.queue.push_first(held);
        }
    }

    /// The upstream shed a request, which therefore has not run: sends it again later, or refuses
    /// it.
    pub(super) fn shed(&mut self, cx: &PrimaryCx<'_>, it: InFlight, out: &mut Actions) {
        self.limit.shed(cx.now);
        cx.retries.shed(cx.now);
        match self.retry_at(cx, &it) {
            Some(at) => {
                out.push(Action::Count(Code::RETRIED));
                self.queue.push(Held::again(it, at));
            }
            None => self.say_shed(cx, &it, out),
        }
        self.pump(cx, out);
    }

    /// When a shed request is sent again, if it can make its deadline and the budget of its pool
    /// has a retry left.
    fn retry_at(&self, cx: &PrimaryCx<'_>, it: &InFlight) -> Option<Millis> {
        let service = self.queue.service(cx);
        let most = Millis(service.max(BACKOFF).0 << it.retries);
        let seed = (it.key.flow.stable_hash() ^ u64::from(it.key.req)).wrapping_add(cx.now.0);
        let not_before = cx.now + Millis(stable_hash(&seed.to_be_bytes()) % (most.0 + 1));
        let end = self.expected_end(cx).max(not_before + service);
        let may = self.phase == PrimaryPhase::Active
            && it.retries < MOST_RETRIES
            && self.queue.len() < cx.cfg.queue_len
            && end <= it.deadline;
        (may && cx.retries.take()).then_some(not_before)
    }

    /// Refuses what has waited for too long.
    pub(super) fn drop_late(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        while let Some(held) = self.queue.pop_late(cx.now) {
            self.drop_held(cx, &held, Code::BUSY, out);
        }
    }

    /// Refuses a request that waited for a slot.
    pub(super) fn drop_held(
        &mut self,
        cx: &PrimaryCx<'_>,
        held: &Held,
        code: Code,
        out: &mut Actions,
    ) {
        if held.recorded {
            self.records.remove_started(&held.key);
        }
        self.refuse(cx, &held.key, held.header(), code, out);
    }

    /// Ends all requests and stops acting; nothing more is sent to the upstream.
    pub(crate) fn abandon_all(&mut self, cx: &PrimaryCx<'_>, code: Code, out: &mut Actions) {
        for it in std::mem::take(&mut self.in_flight) {
            self.foreign.push(it.deadline);
            self.note_ran(cx, &it);
            out.push(unknown(cx, it.header, code));
        }
        self.drop_recording(cx, code, out);
        for held in self.queue.take() {
            if held.idempotent {
                self.drop_held(cx, &held, code, out);
            } else {
                out.push(unknown(cx, held.header(), code));
            }
        }
        self.step_down(cx, out);
    }

    /// Ends a request in progress whose outcome is not known: the upstream is told to stop it, and
    /// its slot counts as taken until it must have.
    pub(super) fn abandon(
        &mut self,
        cx: &PrimaryCx<'_>,
        it: &InFlight,
        code: Code,
        out: &mut Actions,
    ) {
        self.foreign.push(cx.now + SLOT_RELEASE);
        self.note_ran(cx, it);
        let cancel = it.header.kind(PacketKind::Cancel);
        out.push(Action::HeldToUpstream(cx.addr(), cancel.as_bytes().into()));
        out.push(Action::Reply(reply(
            it.header,
            PacketKind::OutcomeUnknown,
            code,
            cx.cfg.come_back_ms,
        )));
    }
}
