//! Takeover and handover of the primary role.
//!
//! A host that becomes the primary first queries the hosts that may be the previous primary. The
//! previous primary steps down and hands over its limit, its requests in flight and its records.

use pomelorun_wire::{Code, HostId, PeerMsg, RecordEntry, RecordState, StatePart, TakeoverReply};

use crate::{
    action::{Action, Actions},
    primary::{
        Primary, PrimaryCx, PrimaryPhase, outcome_unknown_reply, replication::RESEND_INTERVAL,
    },
    routing_table::{Ranked, primary_score},
    time::Millis,
};

/// A takeover in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Takeover {
    /// Identifier of the query; replies to earlier queries are ignored.
    query_id: u32,
    /// Hosts whose reply is incomplete, with the number of records received so far.
    pending: Vec<(HostId, u32)>,
    /// Time of the last reply, or of the start.
    pub(super) last_reply: Millis,
    last_sent: Millis,
    /// All records of the previous primary, which is dead, are in this host's replica or in the
    /// replies.
    records_complete: bool,
    /// The previous primary has stepped down and handed over its state.
    granted: bool,
}

/// State handed over to a new primary, which may query it again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Handover {
    to: HostId,
    query_id: u32,
    /// This host was the primary until the handover.
    was_active: bool,
    created: Millis,
    in_flight_ms: Vec<u32>,
    limit: u16,
    records: Vec<RecordEntry>,
    /// The last part has been sent.
    pub(super) sent_in_full: bool,
}

impl Primary {
    /// Returns `true` if this host may start a takeover: it is on standby, and did not step down
    /// within the last `takeover_timeout`.
    pub(crate) fn can_start_takeover(&self, now: Millis, takeover_timeout: Millis) -> bool {
        let recent = |it: Millis| now.since(it) < takeover_timeout;
        self.phase == PrimaryPhase::Standby && !self.stepped_down_at.is_some_and(recent)
    }

    /// Starts a takeover.
    ///
    /// `others` are the hosts of the zone that may have been the primary, by rank.
    pub(crate) fn start_takeover(
        &mut self,
        cx: &PrimaryCx<'_>,
        others: Ranked,
        is_dead: &dyn Fn(HostId) -> bool,
        out: &mut Actions,
    ) {
        let records_complete = self.replica.is_some_and(|it| it.complete && is_dead(it.primary));
        self.query_previous_primaries(cx, others, records_complete, out);
    }

    /// Queries `others` for their state.
    ///
    /// `records_complete` says that the previous primary is dead and that this host holds all its
    /// records. If that primary has since replicated to another backup, that host's reply contains
    /// the missing records.
    fn query_previous_primaries(
        &mut self,
        cx: &PrimaryCx<'_>,
        others: Ranked,
        records_complete: bool,
        out: &mut Actions,
    ) {
        self.replica = None;
        self.granted_to = None;
        let query_id = self.next_id(cx);
        let pending = others.into_iter().map(|it| (it, 0)).collect();
        let takeover = Takeover {
            query_id,
            pending,
            last_reply: cx.now,
            last_sent: cx.now,
            records_complete,
            granted: false,
        };
        self.mark_outcomes_uncertain(cx);
        self.phase = PrimaryPhase::TakingOver(takeover);
        self.send_queries(cx, out);
        self.finish_if_all_replied(cx, out);
    }

    fn send_queries(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let upstream = self.id;
        let PrimaryPhase::TakingOver(takeover) = &mut self.phase else { return };
        takeover.last_sent = cx.now;
        for &(to, received) in &takeover.pending {
            let msg = PeerMsg::Takeover { upstream, query_id: takeover.query_id, received };
            out.push(Action::Peer { to, msg });
        }
    }

    /// Repeats unanswered queries, and becomes the primary without replies after
    /// `takeover_timeout_ms`.
    pub(super) fn continue_takeover(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let PrimaryPhase::TakingOver(takeover) = &self.phase else { return };
        if cx.now.since(takeover.last_reply) >= cx.cfg.takeover_timeout_ms {
            self.activate_without_records(cx, out);
        } else if cx.now.since(takeover.last_sent) >= RESEND_INTERVAL {
            self.send_queries(cx, out);
        }
    }

    fn finish_if_all_replied(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let PrimaryPhase::TakingOver(takeover) = &self.phase else { return };
        if !takeover.pending.is_empty() {
            return;
        }
        if takeover.granted {
            self.activate_with_records(cx, out);
        } else if takeover.records_complete {
            self.limit.reset(cx.now);
            self.assume_all_slots_occupied(cx);
            self.activate_with_records(cx, out);
        } else {
            self.activate_without_records(cx, out);
        }
    }

    /// Becomes the primary with all records of the previous one.
    fn activate_with_records(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        self.phase = PrimaryPhase::Active;
        self.mark_records_complete(cx);
        for request in self.queue.take_all() {
            let record = self.records.get(&request.key);
            match record.map(|it| it.state) {
                Some(RecordState::NotRun) => {
                    self.refuse(cx, &request.key, request.header(), Code::ALREADY_REFUSED, out);
                }
                Some(_) if !request.idempotent => {
                    out.push(outcome_unknown_reply(cx, request.header(), Code::OUTCOME_UNKNOWN));
                }
                _ => self.queue.push(request),
            }
        }
        self.start_queued(cx, out);
    }

    /// Becomes the primary without knowing which requests another primary may have started.
    ///
    /// All slots count as occupied for the maximum deadline, so queued requests could not start in
    /// time and are answered at once.
    fn activate_without_records(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        self.phase = PrimaryPhase::Active;
        self.limit.reset(cx.now);
        self.mark_outcomes_uncertain(cx);
        self.assume_all_slots_occupied(cx);
        for request in self.queue.take_all() {
            out.push(outcome_unknown_reply(cx, request.header(), Code::PRIMARY_CHANGING));
        }
    }

    /// Reserves all slots, since requests of the previous primary may occupy them.
    fn assume_all_slots_occupied(&mut self, cx: &PrimaryCx<'_>) {
        let end = cx.now + cx.pool.max_deadline;
        self.reserved_until = vec![end; usize::from(cx.upstream.slots)];
    }

    /// Handles a pause of the process: another host may have taken over, so a primary queries the
    /// others again.
    pub(crate) fn on_resume(&mut self, cx: &PrimaryCx<'_>, others: Ranked, out: &mut Actions) {
        self.resumed_at = Some(cx.now);
        self.backup = None;
        self.backup_release = None;
        self.handover = None;
        self.fail_pending_records(cx, Code::OUTCOME_UNKNOWN, out);
        if self.phase != PrimaryPhase::Standby {
            self.query_previous_primaries(cx, others, false, out);
        }
        self.replica = None;
    }

    /// Handles a takeover query of another host: the identifier of the query, and the number of
    /// records that the host has received in reply to it.
    pub(crate) fn handle_takeover_query(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        (query_id, received): (u32, u32),
        leaving: bool,
        out: &mut Actions,
    ) {
        let is_repeat = |it: &Handover| it.to == from && it.query_id == query_id;
        if !self.handover.as_ref().is_some_and(is_repeat) {
            let outranked = leaving || primary_score(from, self.id) > primary_score(cx.me, self.id);
            if self.phase != PrimaryPhase::Standby && !outranked {
                self.send_takeover_reply(from, query_id, TakeoverReply::Refused, out);
                return;
            }
            self.prepare_handover(cx, from, query_id, out);
        }
        let Some(mut it) = self.handover.take() else { return };
        let mut part = self.state_part(cx, &it.records, received);
        part.limit = it.limit;
        part.in_flight_ms.clone_from(&it.in_flight_ms);
        it.sent_in_full |= part.end() >= part.total;
        let reply = if it.was_active {
            TakeoverReply::Granted(part)
        } else {
            TakeoverReply::WasNotPrimary(part)
        };
        self.handover = Some(it);
        self.send_takeover_reply(from, query_id, reply, out);
    }

    fn send_takeover_reply(
        &self,
        to: HostId,
        query_id: u32,
        reply: TakeoverReply,
        out: &mut Actions,
    ) {
        let msg = PeerMsg::Handover { upstream: self.id, query_id, reply };
        out.push(Action::Peer { to, msg });
    }

    /// Steps down if this host is the primary, and keeps the state for the new primary `to`.
    fn prepare_handover(
        &mut self,
        cx: &PrimaryCx<'_>,
        to: HostId,
        query_id: u32,
        out: &mut Actions,
    ) {
        let was_active = self.phase == PrimaryPhase::Active;
        if self.phase != PrimaryPhase::Standby {
            self.step_down(cx, out);
        }
        // From now on, this host is a backup for the new primary alone.
        self.replica = None;
        self.granted_to = Some(to);
        self.handover = Some(Handover {
            to,
            query_id,
            was_active,
            created: cx.now,
            in_flight_ms: self.in_flight_ms(cx),
            limit: self.limit.current(),
            records: self.records.export(cx.now),
            sent_in_full: false,
        });
    }

    /// Handles the reply to a takeover query.
    pub(crate) fn handle_takeover_reply(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        query_id: u32,
        reply: &TakeoverReply,
        out: &mut Actions,
    ) {
        let PrimaryPhase::TakingOver(takeover) = &self.phase else { return };
        if takeover.query_id != query_id {
            return;
        }
        match reply {
            TakeoverReply::Refused => {
                self.mark_outcomes_uncertain(cx);
                self.step_down(cx, out);
            }
            TakeoverReply::Granted(part) => self.merge_reply_part(cx, from, part, true, out),
            TakeoverReply::WasNotPrimary(part) => self.merge_reply_part(cx, from, part, false, out),
        }
    }

    fn merge_reply_part(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        part: &StatePart,
        was_active: bool,
        out: &mut Actions,
    ) {
        let PrimaryPhase::TakingOver(takeover) = &mut self.phase else { return };
        let Some(at) = takeover.pending.iter().position(|it| it.0 == from) else { return };
        let (_, received) = &mut takeover.pending[at];
        if part.first > *received {
            return;
        }
        *received = part.end().max(*received);
        takeover.last_reply = cx.now;
        let complete = *received >= part.total;
        if complete {
            takeover.pending.swap_remove(at);
            takeover.granted |= was_active;
        }
        self.records.import(cx.now, &part.records);
        if was_active {
            self.inherit_load(cx, part);
        }
        if complete {
            self.finish_if_all_replied(cx, out);
        } else {
            self.send_queries(cx, out);
        }
    }

    /// Steps down and negotiates the role with another host that regards itself as the primary.
    pub(super) fn handle_conflict(&mut self, cx: &PrimaryCx<'_>, other: HostId, out: &mut Actions) {
        self.mark_outcomes_uncertain(cx);
        self.step_down(cx, out);
        self.query_previous_primaries(cx, Ranked::from_slice(&[other]), false, out);
    }

    /// Stops being the primary: queued requests are refused, requests in flight are still answered.
    ///
    /// Refusals are no longer replicated, so the callers of non-idempotent requests get "outcome
    /// unknown" instead of "not run".
    pub(super) fn step_down(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        self.phase = PrimaryPhase::Standby;
        self.stepped_down_at = Some(cx.now);
        self.fail_pending_records(cx, Code::PRIMARY_CHANGING, out);
        self.backup = None;
        self.backup_release = None;
        for request in self.queue.take_all() {
            if request.idempotent {
                self.refuse(cx, &request.key, request.header(), Code::PRIMARY_CHANGING, out);
            } else {
                out.push(outcome_unknown_reply(cx, request.header(), Code::PRIMARY_CHANGING));
            }
        }
        self.mark_outcomes_uncertain(cx);
    }

    /// Notes that another primary may have started any request.
    fn mark_outcomes_uncertain(&mut self, cx: &PrimaryCx<'_>) {
        self.uncertain_until = cx.now + cx.request_lifetime();
        self.uncertain_idempotent_until = self.uncertain_until;
    }

    /// Notes that every non-idempotent request that another primary started is recorded here.
    fn mark_records_complete(&mut self, cx: &PrimaryCx<'_>) {
        self.uncertain_until = cx.now;
        self.uncertain_idempotent_until = cx.now + cx.request_lifetime();
    }

    /// Returns the remaining time of each occupied slot, in milliseconds.
    pub(super) fn in_flight_ms(&self, cx: &PrimaryCx<'_>) -> Vec<u32> {
        let ends = self.in_flight.iter().map(|it| it.deadline);
        let ends = ends.chain(self.reserved_until.iter().copied());
        ends.map(|it| u32::try_from(it.since(cx.now).0).unwrap_or(u32::MAX)).collect()
    }

    /// Merges a part of another host's state.
    pub(super) fn import_part(&mut self, cx: &PrimaryCx<'_>, part: &StatePart) {
        self.inherit_load(cx, part);
        self.records.import(cx.now, &part.records);
    }

    /// Adopts the limit and the occupied slots of another primary.
    fn inherit_load(&mut self, cx: &PrimaryCx<'_>, part: &StatePart) {
        self.limit.inherit(cx.now, part.limit);
        self.reserved_until =
            part.in_flight_ms.iter().map(|it| cx.now + Millis(u64::from(*it))).collect();
    }

    /// Discards handed-over state once the new primary cannot query it any more.
    pub(super) fn expire_handover(&mut self, cx: &PrimaryCx<'_>) {
        let ttl = cx.cfg.takeover_timeout_ms;
        if self.handover.as_ref().is_some_and(|it| cx.now.since(it.created) >= ttl + ttl) {
            self.handover = None;
        }
    }
}
