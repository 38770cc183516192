//! Taking the role over, handing it over, and the replica that makes it safe.

use pomelorun_wire::{Code, HostId, PeerMsg, RecordEntry, RecordKey, StewardState, Verdict};

use crate::{
    action::{Action, Actions},
    steward::{Backup, Steward, StewardCx, StewardPhase, unknown},
    time::Millis,
    view::{Ranked, steward_score},
};

impl Steward {
    /// Takes the role; `others` are the hosts of the zone by rank that may have held it.
    pub(crate) fn take_role(
        &mut self,
        cx: &StewardCx<'_>,
        others: Ranked,
        is_dead: &dyn Fn(HostId) -> bool,
        out: &mut Actions,
    ) {
        let lately = |it: Millis| cx.now.since(it) < cx.cfg.take_over_ms;
        if self.phase != StewardPhase::Standby || self.stood_down.is_some_and(lately) {
            return;
        }
        if self.replica_of.is_some_and(is_dead) {
            self.act_on_replica(cx, out);
            return;
        }
        self.ask(cx, others, out);
    }

    /// The steward before is dead and every record it acted on is here.
    pub(super) fn act_on_replica(&mut self, cx: &StewardCx<'_>, out: &mut Actions) {
        self.replica_of = None;
        self.phase = StewardPhase::Active;
        self.limit.forget(cx.now);
        self.know_records(cx);
        let over = cx.now + cx.pool.max_deadline;
        self.foreign = vec![over; usize::from(cx.upstream.slots)];
        self.pump(cx, out);
    }

    pub(super) fn ask(&mut self, cx: &StewardCx<'_>, others: Ranked, out: &mut Actions) {
        self.replica_of = None;
        if others.is_empty() {
            self.act_uncertain(cx);
            return;
        }
        for &to in &others {
            out.push(Action::Peer { to, msg: PeerMsg::TakeOver { upstream: self.id } });
        }
        self.phase = StewardPhase::Asking { waiting_for: others, since: cx.now };
    }

    /// Acts without knowing what another steward may have started.
    pub(super) fn act_uncertain(&mut self, cx: &StewardCx<'_>) {
        self.phase = StewardPhase::Active;
        self.limit.forget(cx.now);
        self.know_nothing(cx);
        let over = cx.now + cx.pool.max_deadline;
        self.foreign = vec![over; usize::from(cx.upstream.slots)];
    }

    pub(super) fn stop_asking(&mut self, cx: &StewardCx<'_>) {
        if let StewardPhase::Asking { since, .. } = &self.phase
            && cx.now.since(*since) >= cx.cfg.take_over_ms
        {
            self.act_uncertain(cx);
        }
    }

    /// Checks its place again after the process has slept.
    pub(crate) fn woke(&mut self, cx: &StewardCx<'_>, others: Ranked, out: &mut Actions) {
        self.backup = None;
        for held in std::mem::take(&mut self.recording) {
            out.push(unknown(cx, held.header(), Code::OUTCOME_UNKNOWN));
        }
        if self.phase != StewardPhase::Standby {
            self.ask(cx, others, out);
        }
        self.replica_of = None;
    }

    /// Another host asks to become the steward.
    pub(crate) fn asked(
        &mut self,
        cx: &StewardCx<'_>,
        from: HostId,
        leaving: bool,
        out: &mut Actions,
    ) {
        let outranked = leaving || steward_score(from, self.id) > steward_score(cx.me, self.id);
        let verdict = match self.phase {
            StewardPhase::Standby => Verdict::Nothing,
            _ if !outranked => Verdict::Mine,
            StewardPhase::Asking { .. } => {
                self.step_down(cx, out);
                Verdict::Nothing
            }
            StewardPhase::Active => {
                let state = self.export(cx);
                self.step_down(cx, out);
                Verdict::Yours(state)
            }
        };
        out.push(Action::Peer { to: from, msg: PeerMsg::HandOver { upstream: self.id, verdict } });
    }

    /// A host that was asked has answered.
    pub(crate) fn answered(
        &mut self,
        cx: &StewardCx<'_>,
        from: HostId,
        verdict: &Verdict,
        out: &mut Actions,
    ) {
        let StewardPhase::Asking { waiting_for, .. } = &mut self.phase else { return };
        match verdict {
            Verdict::Mine => self.step_down(cx, out),
            Verdict::Yours(state) => {
                self.import(cx, state);
                self.know_records(cx);
                self.phase = StewardPhase::Active;
                self.pump(cx, out);
            }
            Verdict::Nothing => {
                waiting_for.retain(|it| *it != from);
                if waiting_for.is_empty() {
                    self.act_uncertain(cx);
                }
            }
        }
    }

    /// Another host regards itself as the steward; settle with it who is.
    pub(super) fn contested(&mut self, cx: &StewardCx<'_>, other: HostId, out: &mut Actions) {
        self.step_down(cx, out);
        self.ask(cx, Ranked::from_slice(&[other]), out);
    }

    /// Stops acting; what waits is refused, what is in progress is still answered.
    pub(crate) fn step_down(&mut self, cx: &StewardCx<'_>, out: &mut Actions) {
        self.phase = StewardPhase::Standby;
        self.stood_down = Some(cx.now);
        self.backup = None;
        for held in std::mem::take(&mut self.recording) {
            out.push(unknown(cx, held.header(), Code::STEWARD_CHANGING));
        }
        for held in self.queue.take() {
            self.drop_held(cx, &held, Code::STEWARD_CHANGING, out);
        }
        self.know_nothing(cx);
    }

    /// Another steward may have started any request.
    pub(super) fn know_nothing(&mut self, cx: &StewardCx<'_>) {
        self.uncertain_until = cx.now + cx.settle();
        self.uncertain_idempotent_until = self.uncertain_until;
    }

    /// Every non-idempotent request that another steward started is recorded here.
    pub(super) fn know_records(&mut self, cx: &StewardCx<'_>) {
        self.uncertain_until = cx.now;
        self.uncertain_idempotent_until = cx.now + cx.settle();
    }

    pub(super) fn export(&self, cx: &StewardCx<'_>) -> StewardState {
        let ends = self.in_flight.iter().map(|it| it.deadline);
        let ends = ends.chain(self.foreign.iter().copied());
        StewardState {
            upstream: self.id,
            limit: self.limit.current(),
            in_flight_ms: ends
                .map(|it| u32::try_from(it.since(cx.now).0).unwrap_or(u32::MAX))
                .collect(),
            records: self.records.export(cx.now),
        }
    }

    pub(super) fn import(&mut self, cx: &StewardCx<'_>, state: &StewardState) {
        self.limit.inherit(cx.now, state.limit);
        self.foreign =
            state.in_flight_ms.iter().map(|it| cx.now + Millis(u64::from(*it))).collect();
        self.records.import(cx.now, &state.records);
    }

    /// Names the host that is next in rank; the whole state goes there first.
    pub(crate) fn set_backup(
        &mut self,
        cx: &StewardCx<'_>,
        host: Option<HostId>,
        out: &mut Actions,
    ) {
        if self.phase != StewardPhase::Active {
            return;
        }
        let Some(host) = host else {
            self.backup = None;
            for held in std::mem::take(&mut self.recording) {
                self.forward(cx, held, out);
            }
            return;
        };
        let resend = |it: Backup| !it.synced && cx.now.since(it.asked) >= cx.cfg.record_ack_ms;
        if self.backup.is_some_and(|it| it.host == host && !resend(it)) {
            return;
        }
        self.backup = Some(Backup { host, synced: false, asked: cx.now });
        let msg = PeerMsg::Replica { state: self.export(cx) };
        out.push(Action::Peer { to: host, msg });
    }

    /// The backup has answered that it holds the whole state, or that it is the steward itself.
    pub(crate) fn replica_acked(
        &mut self,
        cx: &StewardCx<'_>,
        from: HostId,
        accepted: bool,
        out: &mut Actions,
    ) {
        let Some(backup) = self.backup.as_mut().filter(|it| it.host == from) else { return };
        if !accepted {
            self.contested(cx, from, out);
            return;
        }
        backup.synced = true;
        for held in &self.recording {
            out.push(self.record_msg(cx, from, held));
        }
    }

    /// The backup has answered that it holds a record.
    pub(crate) fn record_acked(
        &mut self,
        cx: &StewardCx<'_>,
        from: HostId,
        key: &RecordKey,
        accepted: bool,
        out: &mut Actions,
    ) {
        if self.backup.is_none_or(|it| it.host != from) {
            return;
        }
        if !accepted {
            self.contested(cx, from, out);
            return;
        }
        if let Some(at) = self.recording.iter().position(|it| it.key == *key) {
            let held = self.recording.swap_remove(at);
            self.recorded(cx, held, out);
        }
    }

    /// The steward sends its whole state.
    pub(crate) fn replica(
        &mut self,
        cx: &StewardCx<'_>,
        from: HostId,
        state: &StewardState,
    ) -> PeerMsg {
        let accepted = self.phase == StewardPhase::Standby;
        if accepted {
            self.import(cx, state);
            self.replica_of = Some(from);
        }
        PeerMsg::ReplicaAck { upstream: self.id, accepted }
    }

    /// The steward sends one record.
    pub(crate) fn replica_record(
        &mut self,
        cx: &StewardCx<'_>,
        from: HostId,
        entry: &RecordEntry,
    ) -> PeerMsg {
        let accepted = self.phase == StewardPhase::Standby && self.replica_of == Some(from);
        if accepted {
            self.records.import(cx.now, std::slice::from_ref(entry));
        }
        PeerMsg::RecordAck { upstream: self.id, key: entry.key, accepted }
    }
}
