//! Records and their replica at the backup, which must hold a record before its request is
//! forwarded, and a refusal before its caller is told "not run".

use pomelorun_wire::{
    Ack, Code, Header, HostId, PeerMsg, RecordAck, RecordEntry, RecordKey, RecordMsg, RecordState,
    StatePart,
};

use crate::{
    action::{Action, Actions},
    choice::rendezvous_score,
    primary::{Primary, PrimaryCx, PrimaryPhase, not_run, queue::Held, unknown},
    record::Record,
    time::Millis,
};

/// Records in one message; a datagram holds them in any case.
pub(super) const RECORDS_PER_MESSAGE: usize = 400;
/// Time after which a message that was not answered is sent again.
pub(super) const RESEND_AFTER: Millis = Millis(20);

/// In place of the number of a replication: the backup is being released.
const RELEASED: u32 = 0;

/// The release of a backup.
#[derive(Debug, Clone, Copy)]
pub(super) struct Releasing {
    since: Millis,
    known: bool,
}

/// The backup, and how far the replica there has come.
#[derive(Debug, Clone)]
pub(super) struct Backup {
    host: HostId,
    session: u32,
    /// The records at the start of the replication.
    state: Vec<RecordEntry>,
    held: u32,
    synced: bool,
    sent: Millis,
}

/// The primary whose state is replicated here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReplicaOf {
    pub(super) primary: HostId,
    session: u32,
    held: u32,
    pub(super) whole: bool,
}

/// A request whose record is being replicated.
#[derive(Debug, Clone)]
pub(super) struct Recording {
    pub(super) held: Held,
    pub(super) since: Millis,
    seq: u32,
    sent: Option<Millis>,
}

/// A refusal that is being replicated.
#[derive(Debug, Clone)]
pub(super) struct Refusing {
    pub(super) key: RecordKey,
    pub(super) header: Header,
    code: Code,
    since: Millis,
    seq: u32,
    sent: Option<Millis>,
}

impl Primary {
    /// Records a non-idempotent request, here and at the backup, before it is forwarded.
    pub(super) fn record(&mut self, cx: &PrimaryCx<'_>, held: Held, out: &mut Actions) {
        let resent_for = Millis(u64::from(held.header().remaining_ms())) + cx.cfg.packet_life_ms;
        let expires_at = held.deadline + cx.cfg.record_keep_ms.max(resent_for);
        let state = RecordState::Started;
        self.records.insert(Record { key: held.key, state, idempotent: false, expires_at });
        if self.backup.is_none() {
            self.forward(cx, held, out);
            return;
        }
        let seq = self.number(cx);
        self.recording.push(Recording { held, since: cx.now, seq, sent: None });
        self.send_records(cx, out);
    }

    /// Replicates a refusal, so that a primary after this one does not run a copy either.
    pub(super) fn replicate_refusal(
        &mut self,
        cx: &PrimaryCx<'_>,
        key: &RecordKey,
        header: Header,
        code: Code,
        out: &mut Actions,
    ) {
        if self.backup.is_none() {
            let after = self.come_back_after(cx);
            out.push(not_run(header, code, after));
            return;
        }
        let seq = self.number(cx);
        self.refusing.push(Refusing { key: *key, header, code, since: cx.now, seq, sent: None });
        self.send_records(cx, out);
    }

    /// Sends the records that the backup has not acknowledged, new ones and old ones.
    fn send_records(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let Some(backup) = self.backup.as_ref().filter(|it| it.synced) else { return };
        let due = |sent: Option<Millis>| sent.is_none_or(|it| cx.now.since(it) >= RESEND_AFTER);
        let mut send = |key: &RecordKey, seq: u32| {
            let Some(record) = self.records.get(key) else { return };
            let (upstream, session, entry) = (self.id, backup.session, record.to_entry(cx.now));
            let msg = PeerMsg::Record(RecordMsg { upstream, session, seq, entry });
            out.push(Action::Peer { to: backup.host, msg });
        };
        for it in self.recording.iter_mut().filter(|it| due(it.sent)) {
            it.sent = Some(cx.now);
            send(&it.held.key, it.seq);
        }
        for it in self.refusing.iter_mut().filter(|it| due(it.sent)) {
            it.sent = Some(cx.now);
            send(&it.key, it.seq);
        }
    }

    /// Sends again what was not acknowledged, and gives up what has waited for too long.
    pub(super) fn resend_records(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let records = &self.records;
        self.answers.retain(|key| records.get(key).is_some());
        self.send_records(cx, out);
        let is_late = |since: Millis| cx.now.since(since) >= cx.cfg.record_ack_ms;
        while let Some(at) = self.recording.iter().position(|it| is_late(it.since)) {
            let it = self.recording.swap_remove(at);
            out.push(unknown(cx, it.held.header(), Code::NOT_RECORDED));
        }
        while let Some(at) = self.refusing.iter().position(|it| is_late(it.since)) {
            let it = self.refusing.swap_remove(at);
            out.push(unknown(cx, it.header, it.code));
        }
    }

    /// Gives up everything whose replication is under way.
    pub(super) fn drop_recording(&mut self, cx: &PrimaryCx<'_>, code: Code, out: &mut Actions) {
        for it in std::mem::take(&mut self.recording) {
            out.push(unknown(cx, it.held.header(), code));
        }
        for it in std::mem::take(&mut self.refusing) {
            out.push(unknown(cx, it.header, it.code));
        }
    }

    /// The backup has answered a record.
    pub(crate) fn handle_record_ack(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        acked: &RecordAck,
        out: &mut Actions,
    ) {
        let ours = |it: &&mut Backup| it.host == from && it.session == acked.session;
        let Some(backup) = self.backup.as_mut().filter(ours) else { return };
        match acked.ack {
            Ack::NotPrimary => self.contested(cx, from, out),
            Ack::NoReplica if backup.synced => self.replicate_to(cx, from, out),
            Ack::NoReplica => {}
            Ack::Stored => self.record_kept(cx, acked.seq, out),
        }
    }

    fn record_kept(&mut self, cx: &PrimaryCx<'_>, seq: u32, out: &mut Actions) {
        if let Some(at) = self.recording.iter().position(|it| it.seq == seq) {
            let it = self.recording.swap_remove(at);
            self.recorded(cx, it.held, out);
        } else if let Some(at) = self.refusing.iter().position(|it| it.seq == seq) {
            let it = self.refusing.swap_remove(at);
            let after = self.come_back_after(cx);
            out.push(not_run(it.header, it.code, after));
        }
    }

    /// Names the host that is next in rank; the whole state goes there first.
    pub(crate) fn set_backup(
        &mut self,
        cx: &PrimaryCx<'_>,
        host: Option<HostId>,
        out: &mut Actions,
    ) {
        if self.phase != PrimaryPhase::Active {
            return;
        }
        let before = self.backup.as_ref().map(|it| it.host);
        let releasing = self.releasing.is_some();
        if before != host
            && let Some(before) = before
            && !self.release(cx, before, out)
        {
            return;
        }
        self.releasing = None;
        match host {
            Some(host) if before != Some(host) || releasing => self.replicate_to(cx, host, out),
            Some(_) => self.resend_replica(cx, out),
            None => self.act_without_backup(cx, out),
        }
    }

    /// Tells a backup that it is one no longer, and waits until it knows or must be gone: it may
    /// have taken over. Returns whether the primary may go on without it.
    fn release(&mut self, cx: &PrimaryCx<'_>, host: HostId, out: &mut Actions) -> bool {
        if self.releasing.is_none() {
            self.releasing = Some(Releasing { since: cx.now, known: false });
            if let Some(it) = &mut self.backup {
                it.synced = false;
                it.session = RELEASED;
            }
        }
        let Some(it) = &self.releasing else { return true };
        if it.known || cx.now.since(it.since) >= cx.cfg.take_over_ms {
            return true;
        }
        out.push(Action::Peer { to: host, msg: PeerMsg::DropReplica { upstream: self.id } });
        false
    }

    fn act_without_backup(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        self.backup = None;
        for it in std::mem::take(&mut self.recording) {
            self.recorded(cx, it.held, out);
        }
        for it in std::mem::take(&mut self.refusing) {
            let after = self.come_back_after(cx);
            out.push(not_run(it.header, it.code, after));
        }
    }

    /// Starts the replication anew.
    fn replicate_to(&mut self, cx: &PrimaryCx<'_>, host: HostId, out: &mut Actions) {
        let session = self.number(cx);
        let state = self.records.export(cx.now);
        for it in &mut self.recording {
            it.sent = None;
        }
        for it in &mut self.refusing {
            it.sent = None;
        }
        self.backup = Some(Backup { host, session, state, held: 0, synced: false, sent: cx.now });
        self.send_replica(cx, out);
    }

    fn resend_replica(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let late = |it: &Backup| !it.synced && cx.now.since(it.sent) >= RESEND_AFTER;
        if self.backup.as_ref().is_some_and(late) {
            self.send_replica(cx, out);
        }
    }

    fn send_replica(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let Some(backup) = &self.backup else { return };
        let part = self.part(cx, &backup.state, backup.held);
        let msg = PeerMsg::Replica { upstream: self.id, session: backup.session, part };
        out.push(Action::Peer { to: backup.host, msg });
        if let Some(backup) = &mut self.backup {
            backup.sent = cx.now;
        }
    }

    /// The part of a list of records that starts at a position.
    pub(super) fn part(
        &self,
        cx: &PrimaryCx<'_>,
        records: &[RecordEntry],
        first: u32,
    ) -> StatePart {
        let total = u32::try_from(records.len()).unwrap_or(u32::MAX);
        let from = (first as usize).min(records.len());
        let to = records.len().min(from + RECORDS_PER_MESSAGE);
        StatePart {
            limit: self.limit.current(),
            in_flight_ms: self.in_flight_ms(cx),
            first,
            total,
            records: records[from..to].to_vec(),
        }
    }

    /// The backup has answered a part of the state.
    pub(crate) fn handle_replica_ack(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        session: u32,
        held: u32,
        ack: Ack,
        out: &mut Actions,
    ) {
        let ours = |it: &&mut Backup| it.host == from && it.session == session && !it.synced;
        let Some(backup) = self.backup.as_mut().filter(ours) else { return };
        if ack == Ack::NotPrimary {
            self.contested(cx, from, out);
            return;
        }
        if session == RELEASED {
            self.releasing.iter_mut().for_each(|it| it.known = true);
            return;
        }
        backup.held = held;
        if held as usize >= backup.state.len() {
            backup.synced = true;
            backup.state = Vec::new();
            self.send_records(cx, out);
        } else {
            self.send_replica(cx, out);
        }
    }

    /// The primary sends a part of its state.
    pub(crate) fn handle_replica_part(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        session: u32,
        part: &StatePart,
    ) -> PeerMsg {
        let upstream = self.id;
        if !self.may_back(from) {
            return PeerMsg::ReplicaAck { upstream, session, stored: 0, ack: Ack::NotPrimary };
        }
        let same = |it: &ReplicaOf| it.primary == from && it.session == session;
        let known = self.replica_of.filter(same);
        let held = known.map_or(0, |it| it.held);
        let held = if part.first <= held { held.max(part.end()) } else { held };
        if part.first <= held {
            self.import(cx, part);
        }
        let whole = known.is_some_and(|it| it.whole) || held >= part.total;
        self.replica_of = Some(ReplicaOf { primary: from, session, held, whole });
        PeerMsg::ReplicaAck { upstream, session, stored: held, ack: Ack::Stored }
    }

    /// The primary sends one record.
    pub(crate) fn handle_record(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        msg: &RecordMsg,
    ) -> PeerMsg {
        let same = |it: ReplicaOf| it.whole && it.primary == from && it.session == msg.session;
        let ack = match (self.may_back(from), self.replica_of.is_some_and(same)) {
            (true, true) => Ack::Stored,
            (true, false) => Ack::NoReplica,
            (false, _) => Ack::NotPrimary,
        };
        if ack == Ack::Stored {
            self.records.insert(Record::from_entry(cx.now, &msg.entry));
        }
        let (session, seq) = (msg.session, msg.seq);
        PeerMsg::RecordAck(RecordAck { upstream: self.id, session, seq, ack })
    }

    /// Tells whether this host may be the backup of another: it does not act itself, and has not
    /// told a third one that it may.
    fn may_back(&self, primary: HostId) -> bool {
        self.phase == PrimaryPhase::Standby && self.pledged_to.is_none_or(|it| it == primary)
    }

    /// The primary no longer replicates to this host.
    pub(crate) fn handle_release(&mut self, from: HostId) -> PeerMsg {
        if self.replica_of.is_some_and(|it| it.primary == from) {
            self.replica_of = None;
        }
        let ack = if self.may_back(from) { Ack::NoReplica } else { Ack::NotPrimary };
        PeerMsg::ReplicaAck { upstream: self.id, session: RELEASED, stored: 0, ack }
    }

    /// A number that this process and those before it on this host have not used.
    pub(super) fn number(&mut self, cx: &PrimaryCx<'_>) -> u32 {
        self.last_number += 1;
        let process = cx.incarnation.wrapping_add(cx.now.0);
        (rendezvous_score(process, self.last_number) >> 32) as u32 | 1
    }
}
