//! Adaptive concurrency limit of an upstream.
//!
//! The limit starts at the upstream's cold slots, grows by one after a few answers in time, and
//! drops to the cold slots at once when the upstream sheds a request, times out or answers late.
//!
//! Network delays only ever add to a latency. An answer in time therefore proves that the upstream
//! was warm when the request started, while a late answer may be due to noise. Hence an answer in
//! time restores the whole limit if its request started after that of the late answer, and a late
//! answer is ignored if its request started before that of the newest answer in time.

use crate::time::Millis;

/// Reason for the current limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitReason {
    /// No signal from the upstream since the limit was initialized or reset.
    New,
    /// The upstream recently answered in time.
    Warm,
    /// The upstream shed a request.
    Shed,
    /// A request timed out.
    TimedOut,
    /// The upstream answered late.
    Slow,
}

/// Concurrency limit of one upstream.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    current: u16,
    cold_slots: u16,
    slots: u16,
    reason: LimitReason,
    last_response: Option<Millis>,
    /// Answers in time since the last change of the limit.
    in_time_answers: u16,
    /// Limit before late answers decreased it; an answer in time restores it.
    limit_before_slow: Option<u16>,
    /// Time of the event behind the last decrease; for a late answer, the start of its request.
    /// Answers to requests that started at or before this time do not raise the limit.
    last_decrease: Option<Millis>,
    /// Start of the most recently started request that was answered in time.
    newest_in_time_start: Option<Millis>,
}

/// Number of answers in time per increase of the limit by one.
const ANSWERS_PER_INCREASE: u16 = 3;
/// Time without a response after which an upstream counts as cold again.
const IDLE_RESET_AFTER: Millis = Millis(30_000);

impl ConcurrencyLimit {
    /// Creates a limit that starts at the cold slots.
    pub fn new(cold_slots: u16, slots: u16) -> ConcurrencyLimit {
        let cold_slots = cold_slots.clamp(1, slots.max(1));
        ConcurrencyLimit {
            current: cold_slots,
            cold_slots,
            slots: slots.max(1),
            reason: LimitReason::New,
            last_response: None,
            in_time_answers: 0,
            limit_before_slow: None,
            last_decrease: None,
            newest_in_time_start: None,
        }
    }

    /// Returns the current limit, in requests.
    pub fn current(&self) -> u16 {
        self.current
    }

    /// Returns the reason for the current limit.
    pub fn reason(&self) -> LimitReason {
        self.reason
    }

    /// Returns `true` if one more request may start while `in_flight` slots are occupied.
    pub fn admits(&mut self, now: Millis, in_flight: usize) -> bool {
        if self.last_response.is_some_and(|it| now.since(it) > IDLE_RESET_AFTER) {
            self.reset(now);
        }
        in_flight < usize::from(self.current)
    }

    /// Applies new bounds from the configuration.
    pub fn set_bounds(&mut self, cold_slots: u16, slots: u16) {
        self.slots = slots.max(1);
        self.cold_slots = cold_slots.clamp(1, self.slots);
        self.current = self.current.min(self.slots);
    }

    /// Adopts the limit of the previous primary.
    pub fn inherit(&mut self, now: Millis, limit: u16) {
        *self = ConcurrencyLimit::new(self.cold_slots, self.slots);
        self.current = limit.clamp(self.cold_slots, self.slots);
        self.last_response = Some(now);
        self.reason = LimitReason::Warm;
    }

    /// Resets the limit to the cold slots, since the history may be out of date.
    pub fn reset(&mut self, now: Millis) {
        *self = ConcurrencyLimit::new(self.cold_slots, self.slots);
        self.last_decrease = Some(now);
    }

    /// Records an answer to a request that started at `started`.
    pub fn record_answer(&mut self, now: Millis, started: Millis, slow_after: Millis) {
        self.last_response = Some(now);
        if now.since(started) > slow_after {
            self.record_late_answer(started);
        } else {
            self.record_in_time_answer(started);
        }
    }

    fn record_late_answer(&mut self, started: Millis) {
        if self.newest_in_time_start.is_some_and(|it| started < it) {
            return;
        }
        let before = self.limit_before_slow.unwrap_or(0).max(self.current);
        self.decrease(started, LimitReason::Slow);
        self.limit_before_slow = Some(before);
    }

    fn record_in_time_answer(&mut self, started: Millis) {
        if self.last_decrease.is_some_and(|it| started <= it) {
            return;
        }
        self.newest_in_time_start = self.newest_in_time_start.max(Some(started));
        self.reason = LimitReason::Warm;
        if let Some(before) = self.limit_before_slow.take() {
            self.current = before.clamp(self.current, self.slots);
            return;
        }
        self.in_time_answers += 1;
        if self.in_time_answers >= ANSWERS_PER_INCREASE {
            self.in_time_answers = 0;
            self.current = (self.current + 1).min(self.slots);
        }
    }

    /// Records that the upstream shed a request.
    pub fn record_shed(&mut self, now: Millis) {
        self.last_response = Some(now);
        self.decrease(now, LimitReason::Shed);
    }

    /// Records that a request timed out.
    pub fn record_timeout(&mut self, now: Millis) {
        self.decrease(now, LimitReason::TimedOut);
    }

    fn decrease(&mut self, at: Millis, reason: LimitReason) {
        self.current = self.cold_slots;
        self.in_time_answers = 0;
        self.limit_before_slow = None;
        self.last_decrease = self.last_decrease.max(Some(at));
        self.reason = reason;
    }
}
