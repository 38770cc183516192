//! How many requests an upstream may run at a time.
//!
//! The limit starts at the upstream's cold slots, grows by one after a few answers in time, and falls back on shedding, timeouts and slowness.

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
pub struct Limit {
    now: u16,
    cold: u16,
    slots: u16,
    reason: LimitReason,
    heard: Option<Millis>,
    /// Answers in time since the limit last changed.
    in_time: u16,
}

/// Answers in time before the limit grows by one.
const IN_TIME_TO_GROW: u16 = 3;
/// Silence after which an upstream counts as cold again.
const SILENCE: Millis = Millis(30_000);

impl Limit {
    /// Starts at the cold slots.
    pub fn new(cold: u16, slots: u16) -> Limit {
        let cold = cold.clamp(1, slots.max(1));
        Limit {
            now: cold,
            cold,
            slots: slots.max(1),
            reason: LimitReason::New,
            heard: None,
            in_time: 0,
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
            self.now = self.cold;
            self.reason = LimitReason::New;
        }
        in_flight < usize::from(self.now)
    }

    /// Takes over new bounds from the configuration.
    pub fn resize(&mut self, cold: u16, slots: u16) {
        self.slots = slots.max(1);
        self.cold = cold.clamp(1, self.slots);
        self.now = self.now.min(self.slots);
    }

    /// Takes over the limit of the steward before.
    pub fn inherit(&mut self, now: Millis, limit: u16) {
        self.now = limit.clamp(self.cold, self.slots);
        self.heard = Some(now);
        self.reason = LimitReason::Warm;
    }

    /// Notes an answer.
    pub fn answered(&mut self, now: Millis, latency: Millis, slow_after: Millis) {
        self.heard = Some(now);
        if latency > slow_after {
            self.fall(LimitReason::Slow);
            return;
        }
        self.reason = LimitReason::Warm;
        self.in_time += 1;
        if self.in_time >= IN_TIME_TO_GROW {
            self.in_time = 0;
            self.now = (self.now + 1).min(self.slots);
        }
    }

    /// Notes that the upstream shed a request.
    pub fn shed(&mut self, now: Millis) {
        self.heard = Some(now);
        self.fall(LimitReason::Shed);
    }

    /// Notes that a request ran into its deadline.
    pub fn timed_out(&mut self) {
        self.fall(LimitReason::TimedOut);
    }

    fn fall(&mut self, reason: LimitReason) {
        self.now = self.cold;
        self.in_time = 0;
        self.reason = reason;
    }
}
