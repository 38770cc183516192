//! Replication of records from the primary to its backup.
//!
//! The backup must store the record of a non-idempotent request before the request is forwarded,
//! and a refusal before the caller gets "not run".

use pomelorun_wire::{
    Ack, Code, Header, HostId, PeerMsg, RecordAck, RecordEntry, RecordKey, RecordMsg, RecordState,
    StatePart,
};

use crate::{
    action::{Action, Actions},
    primary::{
        Primary, PrimaryCx, PrimaryPhase, not_run_reply, outcome_unknown_reply,
        queue::PendingRequest,
    },
    record::Record,
    selection::rendezvous_score,
    time::Millis,
};

/// Maximum number of records in one message; they always fit into a datagram.
pub(super) const RECORDS_PER_MESSAGE: usize = 400;
/// Time after which an unacknowledged message is sent again.
pub(super) const RESEND_INTERVAL: Millis = Millis(20);

/// Reserved session identifier: the backup is being released.
const RELEASE_SESSION: u32 = 0;

/// Release of a backup in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct BackupRelease {
    since: Millis,
    acked: bool,
}

/// The current backup and the progress of the replication to it.
#[derive(Debug, Clone)]
pub(super) struct Backup {
    host: HostId,
    session: u32,
    /// Records at the start of the session; emptied once the backup has stored them.
    records: Vec<RecordEntry>,
    /// Number of `records` that the backup has acknowledged.
    acked: u32,
    /// The backup has stored all `records`, so that new records follow one by one.
    synced: bool,
    last_sent: Millis,
}

/// Replica of a primary's state at this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LocalReplica {
    pub(super) primary: HostId,
    session: u32,
    /// Number of records received in this session.
    received: u32,
    pub(super) complete: bool,
}

/// A request whose record the backup has not acknowledged yet.
#[derive(Debug, Clone)]
pub(super) struct PendingRecord {
    pub(super) request: PendingRequest,
    pub(super) since: Millis,
    seq: u32,
    last_sent: Option<Millis>,
}

/// A refusal that the backup has not acknowledged yet.
#[derive(Debug, Clone)]
pub(super) struct PendingRefusal {
    pub(super) key: RecordKey,
    pub(super) header: Header,
    code: Code,
    since: Millis,
    seq: u32,
    last_sent: Option<Millis>,
}

impl Primary {
    /// Records a non-idempotent request, and forwards it once the backup, if any, has the record.
    pub(super) fn record_and_forward(
        &mut self,
        cx: &PrimaryCx<'_>,
        request: PendingRequest,
        out: &mut Actions,
    ) {
        let resend_window =
            Millis(u64::from(request.header().remaining_ms())) + cx.cfg.max_packet_lifetime_ms;
        let expires_at = request.deadline + cx.cfg.record_ttl_ms.max(resend_window);
        let state = RecordState::Started;
        self.records.insert(Record { key: request.key, state, idempotent: false, expires_at });
        if self.backup.is_none() {
            self.forward(cx, request, out);
            return;
        }
        let seq = self.next_id(cx);
        self.pending_records.push(PendingRecord { request, since: cx.now, seq, last_sent: None });
        self.send_pending_records(cx, out);
    }

    /// Replicates a refusal, so that a later primary does not run a copy of the request either.
    pub(super) fn replicate_refusal(
        &mut self,
        cx: &PrimaryCx<'_>,
        key: &RecordKey,
        header: Header,
        code: Code,
        out: &mut Actions,
    ) {
        if self.backup.is_none() {
            let after = self.retry_after(cx);
            out.push(not_run_reply(header, code, after));
            return;
        }
        let seq = self.next_id(cx);
        self.pending_refusals.push(PendingRefusal {
            key: *key,
            header,
            code,
            since: cx.now,
            seq,
            last_sent: None,
        });
        self.send_pending_records(cx, out);
    }

    /// Sends the unacknowledged records that are new or due to be sent again.
    fn send_pending_records(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let Some(backup) = self.backup.as_ref().filter(|it| it.synced) else { return };
        let due = |sent: Option<Millis>| sent.is_none_or(|it| cx.now.since(it) >= RESEND_INTERVAL);
        let mut send = |key: &RecordKey, seq: u32| {
            let Some(record) = self.records.get(key) else { return };
            let (upstream, session, entry) = (self.id, backup.session, record.to_entry(cx.now));
            let msg = PeerMsg::Record(RecordMsg { upstream, session, seq, entry });
            out.push(Action::Peer { to: backup.host, msg });
        };
        for it in self.pending_records.iter_mut().filter(|it| due(it.last_sent)) {
            it.last_sent = Some(cx.now);
            send(&it.request.key, it.seq);
        }
        for it in self.pending_refusals.iter_mut().filter(|it| due(it.last_sent)) {
            it.last_sent = Some(cx.now);
            send(&it.key, it.seq);
        }
    }

    /// Sends unacknowledged records again, and fails those that have waited for
    /// `record_ack_timeout_ms`.
    pub(super) fn retry_pending_records(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let records = &self.records;
        self.answers.retain(|key| records.get(key).is_some());
        self.send_pending_records(cx, out);
        let is_late = |since: Millis| cx.now.since(since) >= cx.cfg.record_ack_timeout_ms;
        while let Some(at) = self.pending_records.iter().position(|it| is_late(it.since)) {
            let it = self.pending_records.swap_remove(at);
            out.push(outcome_unknown_reply(cx, it.request.header(), Code::NOT_RECORDED));
        }
        while let Some(at) = self.pending_refusals.iter().position(|it| is_late(it.since)) {
            let it = self.pending_refusals.swap_remove(at);
            out.push(outcome_unknown_reply(cx, it.header, it.code));
        }
    }

    /// Replies "outcome unknown" to every request whose record or refusal is unacknowledged.
    pub(super) fn fail_pending_records(
        &mut self,
        cx: &PrimaryCx<'_>,
        code: Code,
        out: &mut Actions,
    ) {
        for it in std::mem::take(&mut self.pending_records) {
            out.push(outcome_unknown_reply(cx, it.request.header(), code));
        }
        for it in std::mem::take(&mut self.pending_refusals) {
            out.push(outcome_unknown_reply(cx, it.header, it.code));
        }
    }

    /// Handles the backup's acknowledgement of a record.
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
            Ack::SenderNotPrimary => self.handle_conflict(cx, from, out),
            Ack::NoReplica if backup.synced => self.start_replication(cx, from, out),
            Ack::NoReplica => {}
            Ack::Stored => self.handle_record_stored(cx, acked.seq, out),
        }
    }

    fn handle_record_stored(&mut self, cx: &PrimaryCx<'_>, seq: u32, out: &mut Actions) {
        if let Some(at) = self.pending_records.iter().position(|it| it.seq == seq) {
            let it = self.pending_records.swap_remove(at);
            self.forward_recorded(cx, it.request, out);
        } else if let Some(at) = self.pending_refusals.iter().position(|it| it.seq == seq) {
            let it = self.pending_refusals.swap_remove(at);
            let after = self.retry_after(cx);
            out.push(not_run_reply(it.header, it.code, after));
        }
    }

    /// Sets the backup, the host next in rank, and replicates the whole state to it first.
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
        let releasing = self.backup_release.is_some();
        if before != host
            && let Some(before) = before
            && !self.release_backup(cx, before, out)
        {
            return;
        }
        self.backup_release = None;
        match host {
            Some(host) if before != Some(host) || releasing => {
                self.start_replication(cx, host, out);
            }
            Some(_) => self.resend_replica_part(cx, out),
            None => self.continue_without_backup(cx, out),
        }
    }

    /// Releases a former backup and returns `true` once this host may continue without it.
    ///
    /// The former backup may have taken over. This host therefore waits until it acknowledges the
    /// release, or counts as dead after `takeover_timeout_ms` without an acknowledgement.
    fn release_backup(&mut self, cx: &PrimaryCx<'_>, host: HostId, out: &mut Actions) -> bool {
        if self.backup_release.is_none() {
            self.backup_release = Some(BackupRelease { since: cx.now, acked: false });
            if let Some(it) = &mut self.backup {
                it.synced = false;
                it.session = RELEASE_SESSION;
            }
        }
        let Some(it) = &self.backup_release else { return true };
        if it.acked || cx.now.since(it.since) >= cx.cfg.takeover_timeout_ms {
            return true;
        }
        out.push(Action::Peer { to: host, msg: PeerMsg::DropReplica { upstream: self.id } });
        false
    }

    /// Removes the backup and completes the requests and refusals that waited for it.
    fn continue_without_backup(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        self.backup = None;
        for it in std::mem::take(&mut self.pending_records) {
            self.forward_recorded(cx, it.request, out);
        }
        for it in std::mem::take(&mut self.pending_refusals) {
            let after = self.retry_after(cx);
            out.push(not_run_reply(it.header, it.code, after));
        }
    }

    /// Starts a new replication session with a backup.
    fn start_replication(&mut self, cx: &PrimaryCx<'_>, host: HostId, out: &mut Actions) {
        let session = self.next_id(cx);
        let records = self.records.export(cx.now);
        for it in &mut self.pending_records {
            it.last_sent = None;
        }
        for it in &mut self.pending_refusals {
            it.last_sent = None;
        }
        self.backup =
            Some(Backup { host, session, records, acked: 0, synced: false, last_sent: cx.now });
        self.send_replica_part(cx, out);
    }

    fn resend_replica_part(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let late = |it: &Backup| !it.synced && cx.now.since(it.last_sent) >= RESEND_INTERVAL;
        if self.backup.as_ref().is_some_and(late) {
            self.send_replica_part(cx, out);
        }
    }

    fn send_replica_part(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        let Some(backup) = &self.backup else { return };
        let part = self.state_part(cx, &backup.records, backup.acked);
        let msg = PeerMsg::Replica { upstream: self.id, session: backup.session, part };
        out.push(Action::Peer { to: backup.host, msg });
        if let Some(backup) = &mut self.backup {
            backup.last_sent = cx.now;
        }
    }

    /// Returns the part of the state whose records start at position `first` of `records`.
    pub(super) fn state_part(
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

    /// Handles the backup's acknowledgement of a part of the state, or of its release.
    pub(crate) fn handle_replica_ack(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        session: u32,
        stored: u32,
        ack: Ack,
        out: &mut Actions,
    ) {
        let ours = |it: &&mut Backup| it.host == from && it.session == session && !it.synced;
        let Some(backup) = self.backup.as_mut().filter(ours) else { return };
        if ack == Ack::SenderNotPrimary {
            self.handle_conflict(cx, from, out);
            return;
        }
        if session == RELEASE_SESSION {
            self.backup_release.iter_mut().for_each(|it| it.acked = true);
            return;
        }
        backup.acked = stored;
        if stored as usize >= backup.records.len() {
            backup.synced = true;
            backup.records = Vec::new();
            self.send_pending_records(cx, out);
        } else {
            self.send_replica_part(cx, out);
        }
    }

    /// Handles a part of the primary's state at the backup and returns the acknowledgement.
    pub(crate) fn handle_replica_part(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        session: u32,
        part: &StatePart,
    ) -> PeerMsg {
        let upstream = self.id;
        if !self.can_be_backup_of(from) {
            return PeerMsg::ReplicaAck {
                upstream,
                session,
                stored: 0,
                ack: Ack::SenderNotPrimary,
            };
        }
        let same = |it: &LocalReplica| it.primary == from && it.session == session;
        let known = self.replica.filter(same);
        let received = known.map_or(0, |it| it.received);
        let received = if part.first <= received { received.max(part.end()) } else { received };
        if part.first <= received {
            self.import_part(cx, part);
        }
        let complete = known.is_some_and(|it| it.complete) || received >= part.total;
        self.replica = Some(LocalReplica { primary: from, session, received, complete });
        PeerMsg::ReplicaAck { upstream, session, stored: received, ack: Ack::Stored }
    }

    /// Handles one record of the primary at the backup and returns the acknowledgement.
    pub(crate) fn handle_record(
        &mut self,
        cx: &PrimaryCx<'_>,
        from: HostId,
        msg: &RecordMsg,
    ) -> PeerMsg {
        let same =
            |it: LocalReplica| it.complete && it.primary == from && it.session == msg.session;
        let ack = match (self.can_be_backup_of(from), self.replica.is_some_and(same)) {
            (true, true) => Ack::Stored,
            (true, false) => Ack::NoReplica,
            (false, _) => Ack::SenderNotPrimary,
        };
        if ack == Ack::Stored {
            self.records.insert(Record::from_entry(cx.now, &msg.entry));
        }
        let (session, seq) = (msg.session, msg.seq);
        PeerMsg::RecordAck(RecordAck { upstream: self.id, session, seq, ack })
    }

    /// Returns `true` if this host may be the backup of `primary`: it is not the primary itself,
    /// and has not granted the primary role to a third host.
    fn can_be_backup_of(&self, primary: HostId) -> bool {
        self.phase == PrimaryPhase::Standby && self.granted_to.is_none_or(|it| it == primary)
    }

    /// Handles the release of this host as the backup and returns the acknowledgement.
    pub(crate) fn handle_release(&mut self, from: HostId) -> PeerMsg {
        if self.replica.is_some_and(|it| it.primary == from) {
            self.replica = None;
        }
        let ack = if self.can_be_backup_of(from) { Ack::NoReplica } else { Ack::SenderNotPrimary };
        PeerMsg::ReplicaAck { upstream: self.id, session: RELEASE_SESSION, stored: 0, ack }
    }

    /// Returns an identifier that no process on this host has used before, other than
    /// [`RELEASE_SESSION`].
    pub(super) fn next_id(&mut self, cx: &PrimaryCx<'_>) -> u32 {
        self.last_id += 1;
        let process = cx.incarnation.wrapping_add(cx.now.0);
        (rendezvous_score(process, self.last_id) >> 32) as u32 | 1
    }
}
