//! Taking the role over and handing it over.

use pomelorun_wire::{Code, HostId, PeerMsg, RecordEntry, RecordState, StatePart, TakeoverReply};

use crate::{
    action::{Action, Actions},
    primary::{Primary, PrimaryCx, PrimaryPhase, replication::RESEND_AFTER, unknown},
    time::Millis,
    view::{Ranked, primary_score},
};

/// The question to other hosts what they know of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Takeover {
    /// Number of the question; answers to earlier ones are ignored.
    ask: u32,
    /// The hosts that have not answered in full, with the records that they sent so far.
    waiting_for: Vec<(HostId, u32)>,
    /// When the last answer arrived.
    pub(super) since: Millis,
    sent: Millis,
    /// All that a primary before knew is or was in the answers.
    certain: bool,
    /// A primary before has handed over what it was running.
    handed_over: bool,
}

/// What was handed over, for as long as the new primary may ask for it again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HandedOver {
    to: HostId,
    ask: u32,
    acted: bool,
    at: Millis,
    in_flight_ms: Vec<u32>,
    limit: u16,
    records: Vec<RecordEntry>,
    /// The last part was sent.
    pub(super) done: bool,
}

impl Primary {
    /// Tells whether the role may be taken: it is not held or asked for, nor was it given up lately.
    pub(crate) fn can_start_takeover(&self, now: Millis, take_over: Millis) -> bool {
        let lately = |it: Millis| now.since(it) < take_over;
        self.phase == PrimaryPhase::Standby && !self.stood_down.is_some_and(lately)
    }

    /// Takes the role; `others` are the hosts of the zone by rank that may have held it.
    pub(crate) fn start_takeover(
        &mut self,
        cx: &PrimaryCx<'_>,
        others: Ranked,
        is_dead: &dyn Fn(HostId) -> bool,
        out: &mut Actions,
    ) {
        let certain = self.replica_of.is_some_and(|it| it.whole && is_dead(it.primary));
        self.ask(cx, others, certain, out);
    }

    /// Asks what other hosts know; `certain` when the primary before is dead and all its records
    /// are here, unless it has changed its backup since.
    fn ask(&mut self, cx: &PrimaryCx<'_>, others: Ranked, certain: bool, out: &mut Actions) {
        self.replica_of = None;
        self.pledged_to = None;
        let ask = self.number(cx);
        let waiting_for = others.into_iter().map(|it| (it, 0)).collect();
        let asking =
            Takeover { ask, waiting_for, since: cx.now, sent: cx.now, certain, handed_over: false };
        self.know_nothing(cx);
        self.phase = PrimaryPhase::TakingOver(asking);
        self.send_asks(cx, out);
        self.all_answered(cx, out);
    }

    fn send_asks(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let upstream = self.id;
        let PrimaryPhase::TakingOver(asking) = &mut self.phase else { return };
        asking.sent = cx.now;
        for &(to, have) in &asking.waiting_for {
            let msg = PeerMsg::Takeover { upstream, query_id: asking.ask, received: have };
            out.push(Action::Peer { to, msg });
        }
    }

    /// Asks again what was not answered, and acts without an answer after a while.
    pub(super) fn ask_again(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let PrimaryPhase::TakingOver(asking) = &self.phase else { return };
        if cx.now.since(asking.since) >= cx.cfg.take_over_ms {
            self.act_uncertain(cx, out);
        } else if cx.now.since(asking.sent) >= RESEND_AFTER {
            self.send_asks(cx, out);
        }
    }

    fn all_answered(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let PrimaryPhase::TakingOver(asking) = &self.phase else { return };
        if !asking.waiting_for.is_empty() {
            return;
        }
        if asking.handed_over {
            self.act_certain(cx, out);
        } else if asking.certain {
            self.limit.forget(cx.now);
            self.assume_full(cx);
            self.act_certain(cx, out);
        } else {
            self.act_uncertain(cx, out);
        }
    }

    /// Acts on the records of the primary before.
    fn act_certain(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        self.phase = PrimaryPhase::Active;
        self.know_records(cx);
        for held in self.queue.take() {
            let noted = self.records.get(&held.key);
            match noted.map(|it| it.state) {
                Some(RecordState::NotRun) => {
                    self.refuse(cx, &held.key, held.header(), Code::ALREADY_REFUSED, out);
                }
                Some(_) if !held.idempotent => {
                    out.push(unknown(cx, held.header(), Code::OUTCOME_UNKNOWN));
                }
                _ => self.queue.push(held),
            }
        }
        self.pump(cx, out);
    }

    /// Acts without knowing what another primary may have started; what waits cannot start
    /// before its deadline, since the upstream counts as full until then.
    fn act_uncertain(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        self.phase = PrimaryPhase::Active;
        self.limit.forget(cx.now);
        self.know_nothing(cx);
        self.assume_full(cx);
        for held in self.queue.take() {
            out.push(unknown(cx, held.header(), Code::PRIMARY_CHANGING));
        }
    }

    /// The upstream may be running as much as it can on behalf of a primary before.
    fn assume_full(&mut self, cx: &PrimaryCx<'_>) {
        let over = cx.now + cx.pool.max_deadline;
        self.foreign = vec![over; usize::from(cx.upstream.slots)];
    }

    /// Checks its place again after the process has slept.
    pub(crate) fn on_resume(&mut self, cx: &PrimaryCx<'_>, others: Ranked, out: &mut Actions) {
        self.woke_at = Some(cx.now);
        self.backup = None;
        self.releasing = None;
        self.handed_over = None;
        self.drop_recording(cx, Code::OUTCOME_UNKNOWN, out);
        if self.phase != PrimaryPhase::Standby {
            self.ask(cx, others, false, out);
        }
        self.replica_of = None;
    }

    /// Another host asks to become the primary.
    pub(crate) fn handle_takeover_query(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        (ask, have): (u32, u32),
        leaving: bool,
        out: &mut Actions,
    ) {
        let again = |it: &HandedOver| it.to == from && it.ask == ask;
        if !self.handed_over.as_ref().is_some_and(again) {
            let outranked = leaving || primary_score(from, self.id) > primary_score(cx.me, self.id);
            if self.phase != PrimaryPhase::Standby && !outranked {
                self.send_verdict(from, ask, TakeoverReply::Refused, out);
                return;
            }
            self.hand_over(cx, from, ask, out);
        }
        let Some(mut it) = self.handed_over.take() else { return };
        let mut part = self.part(cx, &it.records, have);
        part.limit = it.limit;
        part.in_flight_ms.clone_from(&it.in_flight_ms);
        it.done |= part.end() >= part.total;
        let verdict = if it.acted {
            TakeoverReply::Granted(part)
        } else {
            TakeoverReply::WasNotPrimary(part)
        };
        self.handed_over = Some(it);
        self.send_verdict(from, ask, verdict, out);
    }

    fn send_verdict(&self, to: HostId, ask: u32, verdict: TakeoverReply, out: &mut Actions) {
        let msg = PeerMsg::Handover { upstream: self.id, query_id: ask, reply: verdict };
        out.push(Action::Peer { to, msg });
    }

    /// Stops acting and sets aside what another host has to know.
    fn hand_over(&mut self, cx: &PrimaryCx<'_>, to: HostId, ask: u32, out: &mut Actions) {
        let acted = self.phase == PrimaryPhase::Active;
        if self.phase != PrimaryPhase::Standby {
            self.step_down(cx, out);
        }
        // From now on no other host may use this one as its backup.
        self.replica_of = None;
        self.pledged_to = Some(to);
        self.handed_over = Some(HandedOver {
            to,
            ask,
            acted,
            at: cx.now,
            in_flight_ms: self.in_flight_ms(cx),
            limit: self.limit.current(),
            records: self.records.export(cx.now),
            done: false,
        });
    }

    /// A host that was asked has answered.
    pub(crate) fn handle_takeover_reply(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        ask: u32,
        verdict: &TakeoverReply,
        out: &mut Actions,
    ) {
        let PrimaryPhase::TakingOver(asking) = &self.phase else { return };
        if asking.ask != ask {
            return;
        }
        match verdict {
            TakeoverReply::Refused => {
                self.know_nothing(cx);
                self.step_down(cx, out);
            }
            TakeoverReply::Granted(part) => self.answered_part(cx, from, part, true, out),
            TakeoverReply::WasNotPrimary(part) => self.answered_part(cx, from, part, false, out),
        }
    }

    fn answered_part(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        part: &StatePart,
        acted: bool,
        out: &mut Actions,
    ) {
        let PrimaryPhase::TakingOver(asking) = &mut self.phase else { return };
        let Some(at) = asking.waiting_for.iter().position(|it| it.0 == from) else { return };
        let (_, have) = &mut asking.waiting_for[at];
        if part.first > *have {
            return;
        }
        *have = part.end().max(*have);
        asking.since = cx.now;
        let complete = *have >= part.total;
        if complete {
            asking.waiting_for.swap_remove(at);
            asking.handed_over |= acted;
        }
        self.records.import(cx.now, &part.records);
        if acted {
            self.inherit(cx, part);
        }
        if complete {
            self.all_answered(cx, out);
        } else {
            self.send_asks(cx, out);
        }
    }

    /// Another host regards itself as the primary; settle with it who is.
    pub(super) fn contested(&mut self, cx: &PrimaryCx<'_>, other: HostId, out: &mut Actions) {
        self.know_nothing(cx);
        self.step_down(cx, out);
        self.ask(cx, Ranked::from_slice(&[other]), false, out);
    }

    /// Stops acting; what waits is refused, what is in progress is still answered.
    ///
    /// Nothing is replicated any more, so a non-idempotent request is not said not to have run.
    pub(super) fn step_down(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        self.phase = PrimaryPhase::Standby;
        self.stood_down = Some(cx.now);
        self.drop_recording(cx, Code::PRIMARY_CHANGING, out);
        self.backup = None;
        self.releasing = None;
        for held in self.queue.take() {
            if held.idempotent {
                self.refuse(cx, &held.key, held.header(), Code::PRIMARY_CHANGING, out);
            } else {
                out.push(unknown(cx, held.header(), Code::PRIMARY_CHANGING));
            }
        }
        self.know_nothing(cx);
    }

    /// Another primary may have started any request.
    fn know_nothing(&mut self, cx: &PrimaryCx<'_>) {
        self.uncertain_until = cx.now + cx.settle();
        self.uncertain_idempotent_until = self.uncertain_until;
    }

    /// Every non-idempotent request that another primary started is recorded here.
    fn know_records(&mut self, cx: &PrimaryCx<'_>) {
        self.uncertain_until = cx.now;
        self.uncertain_idempotent_until = cx.now + cx.settle();
    }

    pub(super) fn in_flight_ms(&self, cx: &PrimaryCx<'_>) -> Vec<u32> {
        let ends = self.in_flight.iter().map(|it| it.deadline);
        let ends = ends.chain(self.foreign.iter().copied());
        ends.map(|it| u32::try_from(it.since(cx.now).0).unwrap_or(u32::MAX)).collect()
    }

    /// Takes a part of another host's state in.
    pub(super) fn import(&mut self, cx: &PrimaryCx<'_>, part: &StatePart) {
        self.inherit(cx, part);
        self.records.import(cx.now, &part.records);
    }

    fn inherit(&mut self, cx: &PrimaryCx<'_>, part: &StatePart) {
        self.limit.inherit(cx.now, part.limit);
        self.foreign = part.in_flight_ms.iter().map(|it| cx.now + Millis(u64::from(*it))).collect();
    }

    /// Forgets what the new primary will no longer ask for.
    pub(super) fn drop_handed_over(&mut self, cx: &PrimaryCx<'_>) {
        let kept_for = cx.cfg.take_over_ms;
        if self.handed_over.as_ref().is_some_and(|it| cx.now.since(it.at) >= kept_for + kept_for) {
            self.handed_over = None;
        }
    }
}
