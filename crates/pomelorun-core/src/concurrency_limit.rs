//! How many requests an upstream may run at a time.
//!
//! The limit starts at the upstream's cold slots, grows by one after a few answers in time, and
//! falls back at once on shedding, timeouts and slowness.
//!
//! Delays on the way only ever add to a latency, so an answer in time proves that the upstream was
//! warm when the request started, while a late one may be due to noise. Hence an answer in time to
//! a request that started after a late one did gives the whole limit back, and a late answer to a
//! request that started before the newest proof of warmth says nothing.

use crate::time::Millis;

/// Why a limit is below the upstream's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitReason {
    /// Nothing is known of the upstream yet.
    New,
    /// It answered in time of late.
    Warm,
    /// It shed a request.
    Shed,
    /// A request ran into its deadline.
    TimedOut,
    /// It answered late.
    Slow,
}

/// Limit of one upstream.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    now: u16,
    cold: u16,
    slots: u16,
    reason: LimitReason,
    heard: Option<Millis>,
    /// Answers in time since the limit last changed.
    in_time: u16,
    /// The limit before late answers made it fall; an answer in time gives it back.
    suspended: Option<u16>,
    /// When the sign came that made the limit fall; a late answer is a sign of its request's start.
    /// What started no later proves nothing about the time after.
    fell: Option<Millis>,
    /// Start of the youngest request that was answered in time.
    warm: Option<Millis>,
}

/// Answers in time before the limit grows by one.
const IN_TIME_TO_GROW: u16 = 3;
/// Silence after which an upstream counts as cold again.
const SILENCE: Millis = Millis(30_000);

impl ConcurrencyLimit {
    /// Starts at the cold slots.
    pub fn new(cold: u16, slots: u16) -> ConcurrencyLimit {
        let cold = cold.clamp(1, slots.max(1));
        ConcurrencyLimit {
            now: cold,
            cold,
            slots: slots.max(1),
            reason: LimitReason::New,
            heard: None,
            in_time: 0,
            suspended: None,
            fell: None,
            warm: None,
        }
    }

    /// Requests that may run now, given how many do.
    pub fn current(&self) -> u16 {
        self.now
    }

    /// Why the limit is what it is.
    pub fn reason(&self) -> LimitReason {
        self.reason
    }

    /// Tells whether one more request may start.
    pub fn admits(&mut self, now: Millis, in_flight: usize) -> bool {
        if self.heard.is_some_and(|it| now.since(it) > SILENCE) {
            self.forget(now);
        }
        in_flight < usize::from(self.now)
    }

    /// Takes over new bounds from the configuration.
    pub fn resize(&mut self, cold: u16, slots: u16) {
        self.slots = slots.max(1);
        self.cold = cold.clamp(1, self.slots);
        self.now = self.now.min(self.slots);
    }

    /// Takes over the limit of the primary before.
    pub fn inherit(&mut self, now: Millis, limit: u16) {
        *self = ConcurrencyLimit::new(self.cold, self.slots);
        self.now = limit.clamp(self.cold, self.slots);
        self.heard = Some(now);
        self.reason = LimitReason::Warm;
    }

    /// Starts again at the cold slots, since what is known may be out of date.
    pub fn forget(&mut self, now: Millis) {
        *self = ConcurrencyLimit::new(self.cold, self.slots);
        self.fell = Some(now);
    }

    /// Notes an answer to a request that started at `started`.
    pub fn answered(&mut self, now: Millis, started: Millis, slow_after: Millis) {
        self.heard = Some(now);
        if now.since(started) > slow_after {
            self.answered_late(started);
        } else {
            self.answered_in_time(started);
        }
    }

    fn answered_late(&mut self, started: Millis) {
        if self.warm.is_some_and(|it| started < it) {
            return;
        }
        let before = self.suspended.unwrap_or(0).max(self.now);
        self.fall(started, LimitReason::Slow);
        self.suspended = Some(before);
    }

    fn answered_in_time(&mut self, started: Millis) {
        if self.fell.is_some_and(|it| started <= it) {
            return;
        }
        self.warm = self.warm.max(Some(started));
        self.reason = LimitReason::Warm;
        if let Some(before) = self.suspended.take() {
            self.now = before.clamp(self.now, self.slots);
            return;
        }
        self.in_time += 1;
        if self.in_time >= IN_TIME_TO_GROW {
            self.in_time = 0;
            self.now = (self.now + 1).min(self.slots);
        }
    }

    /// Notes that the upstream shed a request.
    pub fn shed(&mut self, now: Millis) {
        self.heard = Some(now);
        self.fall(now, LimitReason::Shed);
    }

    /// Notes that a request ran into its deadline.
    pub fn timed_out(&mut self, now: Millis) {
        self.fall(now, LimitReason::TimedOut);
    }

    fn fall(&mut self, at: Millis, reason: LimitReason) {
        self.now = self.cold;
        self.in_time = 0;
        self.suspended = None;
        self.fell = self.fell.max(Some(at));
        self.reason = reason;
    }
}
