//! Queue of requests that wait for a slot at the upstream: admission, order, expiry, retries of
//! shed requests and the retry-after of refused ones.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use pomelorun_wire::{Code, HEADER_LEN, Header, Packet, PacketKind, RecordKey, stable_hash};

use crate::{
    action::{Action, Actions},
    primary::{
        InFlight, Primary, PrimaryCx, PrimaryPhase, deadline_of, outcome_unknown_reply,
        reply_header,
    },
    time::Millis,
};

/// Maximum retry-after of a refused request.
const MAX_RETRY_AFTER: Millis = Millis(5_000);
/// Minimum of the upper bound of the backoff before a shed request is retried.
///
/// The backoff is random between zero and the bound, which doubles with each retry.
const RETRY_BACKOFF_BOUND_MIN: Millis = Millis(10);
/// Maximum number of retries of a shed request.
const MAX_RETRIES: u8 = 2;
/// Time for which the slot of an abandoned request still counts as occupied.
///
/// The request and its cancellation may still be on their way to the upstream.
const SLOT_RELEASE_DELAY: Millis = Millis(100);
/// Inverse weight of one sample in the exponentially weighted moving average of the service time.
const SERVICE_TIME_SMOOTHING: u64 = 8;

/// A request that waits for a slot, or for the backup to store its record.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub(super) key: RecordKey,
    pub(super) bytes: Box<[u8]>,
    pub(super) arrived: Millis,
    pub(super) deadline: Millis,
    pub(super) idempotent: bool,
    /// The record, if one is needed, is stored at the backup.
    pub(super) recorded: bool,
    /// Number of times that the upstream has shed the request.
    pub(super) retries: u8,
    /// Earliest start; later than the arrival for a retry.
    not_before: Millis,
}

impl PendingRequest {
    pub(super) fn new(cx: &PrimaryCx<'_>, packet: &Packet<'_>, key: RecordKey) -> PendingRequest {
        PendingRequest {
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

    /// Creates the retry of a request that the upstream shed.
    fn for_retry(it: InFlight, not_before: Millis) -> PendingRequest {
        PendingRequest {
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
        Packet::parse(&self.bytes).expect("the packet was parsed on arrival").header()
    }

    /// Returns the packet with the remaining time as its deadline, at least one millisecond.
    pub(super) fn with_time_left(&self, now: Millis) -> Box<[u8]> {
        let left = self.deadline.since(now).as_u16().max(1);
        let mut bytes = self.bytes.clone();
        bytes[..HEADER_LEN].copy_from_slice(self.header().deadline_ms(left).as_bytes());
        bytes
    }
}

/// Requests that wait for a slot, oldest first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<PendingRequest>,
    /// Moving average of the time from start to answer, in milliseconds times
    /// `SERVICE_TIME_SMOOTHING`.
    service_time: Option<u64>,
    /// Latest retry time given to a refused caller.
    last_retry: Millis,
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

    pub(super) fn push(&mut self, request: PendingRequest) {
        self.waiting.push_back(request);
    }

    /// Puts a request back at the head of the queue.
    pub(super) fn push_front(&mut self, request: PendingRequest) {
        self.waiting.push_front(request);
    }

    fn has_ready(&self, now: Millis) -> bool {
        self.waiting.iter().any(|it| it.not_before <= now)
    }

    fn pop_ready(&mut self, now: Millis) -> Option<PendingRequest> {
        let at = self.waiting.iter().position(|it| it.not_before <= now)?;
        self.waiting.remove(at)
    }

    /// Removes and returns a request.
    pub(super) fn remove(&mut self, key: &RecordKey) -> Option<PendingRequest> {
        let at = self.waiting.iter().position(|it| it.key == *key)?;
        self.waiting.remove(at)
    }

    /// Removes and returns a request whose deadline has passed.
    fn pop_expired(&mut self, now: Millis) -> Option<PendingRequest> {
        let at = self.waiting.iter().position(|it| it.deadline <= now)?;
        self.waiting.remove(at)
    }

    /// Empties the queue and returns its requests.
    pub(super) fn take_all(&mut self) -> VecDeque<PendingRequest> {
        std::mem::take(&mut self.waiting)
    }

    /// Adds a sample to the average service time.
    pub(super) fn record_service_time(&mut self, took: Millis) {
        let service = self.service_time.unwrap_or(took.0 * SERVICE_TIME_SMOOTHING);
        self.service_time = Some(service - service / SERVICE_TIME_SMOOTHING + took.0);
    }

    /// Returns the average service time; until there is a sample, the pool's slow threshold.
    fn service_time(&self, cx: &PrimaryCx<'_>) -> Millis {
        self.service_time
            .map_or(cx.pool.slow_after, |it| Millis(it.div_ceil(SERVICE_TIME_SMOOTHING)))
    }
}

/// Decision of the admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    Start,
    Wait,
    Refuse,
}

impl Primary {
    /// Decides whether a request starts now, waits for a slot, or is refused because the queue is
    /// full or it cannot be answered by its deadline.
    pub(super) fn admission(&mut self, cx: &PrimaryCx<'_>, deadline: Millis) -> Admission {
        let free = self.phase == PrimaryPhase::Active
            && !self.queue.has_ready(cx.now)
            && self.limit.admits(cx.now, self.occupied_slots());
        if free {
            return Admission::Start;
        }
        let in_time = self.expected_completion(cx) <= deadline;
        if in_time && self.queue.len() < cx.cfg.queue_len {
            Admission::Wait
        } else {
            Admission::Refuse
        }
    }

    /// Returns the time at which a request that is queued now is expected to be answered.
    fn expected_completion(&self, cx: &PrimaryCx<'_>) -> Millis {
        let service = self.queue.service_time(cx);
        let active = match &self.phase {
            PrimaryPhase::TakingOver(takeover) => takeover.last_reply + cx.cfg.takeover_timeout_ms,
            PrimaryPhase::Standby | PrimaryPhase::Active => cx.now,
        };
        let started = self.in_flight.iter().map(|it| it.started);
        let started = started.chain(self.pending_records.iter().map(|it| it.since));
        let ends = started.map(|it| (it + service).max(cx.now + Millis(1)));
        let ends = ends.chain(self.reserved_until.iter().copied());
        let mut occupied: BinaryHeap<Reverse<Millis>> = ends.map(Reverse).collect();
        let mut end = cx.now;
        for _ in 0..=self.queue.len() {
            let mut start = active;
            while occupied.len() >= usize::from(self.limit.current()) {
                let Some(Reverse(free)) = occupied.pop() else { break };
                start = start.max(free);
            }
            end = start + service;
            occupied.push(Reverse(end));
        }
        end
    }

    /// Returns the retry-after of a refused request.
    ///
    /// Refused callers are spread over the expected service rate, so that each finds a free slot.
    pub(super) fn retry_after(&mut self, cx: &PrimaryCx<'_>) -> Millis {
        let service = self.queue.service_time(cx);
        let pace = Millis(service.0.div_ceil(u64::from(self.limit.current())).max(1));
        let free = self.expected_completion(cx).since(service).max(cx.now);
        let retry = free.max(self.queue.last_retry + pace);
        self.queue.last_retry = retry.min(cx.now + MAX_RETRY_AFTER);
        retry.since(cx.now).min(MAX_RETRY_AFTER).max(Millis(1))
    }

    /// Starts queued requests as far as the limit admits.
    pub(super) fn start_queued(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        while self.phase == PrimaryPhase::Active && self.limit.admits(cx.now, self.occupied_slots())
        {
            let Some(request) = self.queue.pop_ready(cx.now) else { return };
            if request.idempotent || request.recorded {
                self.forward(cx, request, out);
            } else {
                self.record_and_forward(cx, request, out);
            }
        }
    }

    /// Forwards a request whose record is stored, or queues it if the limit has dropped meanwhile.
    pub(super) fn forward_recorded(
        &mut self,
        cx: &PrimaryCx<'_>,
        mut request: PendingRequest,
        out: &mut Actions,
    ) {
        request.recorded = true;
        if self.limit.admits(cx.now, self.occupied_slots()) {
            self.forward(cx, request, out);
        } else {
            self.queue.push_front(request);
        }
    }

    /// Handles a request that the upstream shed, and that therefore has not run: schedules a retry
    /// or refuses it.
    pub(super) fn handle_shed(&mut self, cx: &PrimaryCx<'_>, it: InFlight, out: &mut Actions) {
        self.limit.record_shed(cx.now);
        cx.retries.record_shed(cx.now);
        match self.retry_at(cx, &it) {
            Some(at) => {
                out.push(Action::Count(Code::RETRIED));
                self.queue.push(PendingRequest::for_retry(it, at));
            }
            None => self.refuse_shed(cx, &it, out),
        }
        self.start_queued(cx, out);
    }

    /// Returns the time of the retry of a shed request, if the request can still be answered by its
    /// deadline and the retry budget of its pool is not exhausted.
    fn retry_at(&self, cx: &PrimaryCx<'_>, it: &InFlight) -> Option<Millis> {
        let service = self.queue.service_time(cx);
        let max_backoff = Millis(service.max(RETRY_BACKOFF_BOUND_MIN).0 << it.retries);
        let seed = (it.key.flow.stable_hash() ^ u64::from(it.key.req)).wrapping_add(cx.now.0);
        let not_before = cx.now + Millis(stable_hash(&seed.to_be_bytes()) % (max_backoff.0 + 1));
        let end = self.expected_completion(cx).max(not_before + service);
        let allowed = self.phase == PrimaryPhase::Active
            && it.retries < MAX_RETRIES
            && self.queue.len() < cx.cfg.queue_len
            && end <= it.deadline;
        (allowed && cx.retries.try_take()).then_some(not_before)
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn refuse_expired(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        while let Some(request) = self.queue.pop_expired(cx.now) {
            self.refuse_queued(cx, &request, Code::BUSY, out);
        }
    }

    /// Refuses a request taken from the queue.
    pub(super) fn refuse_queued(
        &mut self,
        cx: &PrimaryCx<'_>,
        request: &PendingRequest,
        code: Code,
        out: &mut Actions,
    ) {
        if request.recorded {
            self.records.remove_started(&request.key);
        }
        self.refuse(cx, &request.key, request.header(), code, out);
    }

    /// Ends all requests and steps down as the primary, without sending anything to the upstream.
    pub(crate) fn abandon_all(&mut self, cx: &PrimaryCx<'_>, code: Code, out: &mut Actions) {
        for it in std::mem::take(&mut self.in_flight) {
            self.reserved_until.push(it.deadline);
            self.record_ran(cx, &it);
            out.push(outcome_unknown_reply(cx, it.header, code));
        }
        self.fail_pending_records(cx, code, out);
        for request in self.queue.take_all() {
            if request.idempotent {
                self.refuse_queued(cx, &request, code, out);
            } else {
                out.push(outcome_unknown_reply(cx, request.header(), code));
            }
        }
        self.step_down(cx, out);
    }

    /// Ends a request in flight without knowing its outcome.
    ///
    /// The upstream is asked to cancel the request, and the slot counts as occupied until the
    /// cancellation has arrived.
    pub(super) fn abandon(
        &mut self,
        cx: &PrimaryCx<'_>,
        it: &InFlight,
        code: Code,
        out: &mut Actions,
    ) {
        self.reserved_until.push(cx.now + SLOT_RELEASE_DELAY);
        self.record_ran(cx, it);
        let cancel = it.header.kind(PacketKind::Cancel);
        out.push(Action::HeldToUpstream(cx.addr(), cancel.as_bytes().into()));
        out.push(Action::Reply(reply_header(
            it.header,
            PacketKind::OutcomeUnknown,
            code,
            cx.cfg.retry_after_ms,
        )));
    }
}
