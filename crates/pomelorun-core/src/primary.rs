//! State that a host holds for one upstream of its zone, as its primary, its backup or neither.
//!
//! The primary serializes the requests of its upstream: it alone counts them, enforces the
//! concurrency limit and records non-idempotent requests. It replicates its records to a backup.

mod answer_cache;
mod queue;
mod replication;
mod takeover;

use std::net::SocketAddrV4;

use pomelorun_wire::{
    Code, Header, HostId, Packet, PacketKind, RecordKey, RecordState, ServiceAddr, UpstreamId,
};

use crate::{
    action::{Action, Actions},
    concurrency_limit::{ConcurrencyLimit, LimitReason},
    primary::{
        answer_cache::AnswerCache,
        queue::{Admission, PendingRequest, Queue},
        replication::{Backup, BackupRelease, LocalReplica, PendingRecord, PendingRefusal},
        takeover::{Handover, Takeover},
    },
    record::{Record, Records},
    retry_budget::RetryBudget,
    settings::CoreSettings,
    snapshot::{PoolView, UpstreamView},
    time::Millis,
};

/// Role of this host for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrimaryPhase {
    /// Another host may be the primary; this host may hold a replica of its state.
    Standby,
    /// This host is becoming the primary and queries the hosts that may be the previous primary.
    TakingOver(Takeover),
    /// This host is the primary.
    Active,
}

/// State of an upstream for reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Identifier of the upstream.
    pub upstream: UpstreamId,
    /// Current concurrency limit, in requests.
    pub limit: u16,
    /// Slots that count as occupied.
    pub in_flight: usize,
    /// Requests queued for a slot.
    pub queued: usize,
    /// Reason for the current limit.
    pub reason: LimitReason,
    /// `true` if this host is the primary of the upstream.
    pub active: bool,
}

/// Context of one event: what decisions depend on besides the state of a [`Primary`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrimaryCx<'a> {
    pub(crate) now: Millis,
    pub(crate) me: HostId,
    /// Incarnation of this process.
    pub(crate) incarnation: u64,
    pub(crate) cfg: &'a CoreSettings,
    pub(crate) upstream: &'a UpstreamView,
    pub(crate) pool: &'a PoolView,
    pub(crate) retries: &'a RetryBudget,
}

impl PrimaryCx<'_> {
    fn addr(&self) -> SocketAddrV4 {
        self.upstream.addr
    }

    /// Maximum time for which a request that another primary started can still arrive at the
    /// upstream or run there.
    fn request_lifetime(&self) -> Millis {
        self.pool.max_deadline + self.cfg.max_packet_lifetime_ms
    }
}

/// Decision on an incoming request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RequestDecision {
    Start,
    Queue,
    Refuse(Code),
    /// An earlier copy was refused, so this copy must not run either.
    RepeatRefusal,
    /// An earlier copy was answered; the answer is sent again.
    ResendAnswer(Box<[u8]>),
    OutcomeUnknown(Code),
    Ignore(Code),
}

#[derive(Debug, Clone)]
struct InFlight {
    key: RecordKey,
    header: Header,
    arrived: Millis,
    started: Millis,
    deadline: Millis,
    idempotent: bool,
    /// The request packet, for a retry if the upstream sheds it.
    bytes: Box<[u8]>,
    retries: u8,
    /// Bitmap of the parts of the answer that have arrived.
    parts_seen: Vec<u64>,
    parts: u16,
    parts_left: Option<u16>,
}

impl InFlight {
    /// Marks a part of the answer as received; returns `false` for duplicates and invalid parts.
    fn mark_part_received(&mut self, packet: &Packet<'_>) -> bool {
        let parts = packet.parts().max(1);
        if packet.part() >= parts || (self.parts != 0 && self.parts != parts) {
            return false;
        }
        self.parts = parts;
        let left = self.parts_left.get_or_insert(parts);
        let (word, bit) = (usize::from(packet.part() / 64), packet.part() % 64);
        if self.parts_seen.len() <= word {
            self.parts_seen.resize(word + 1, 0);
        }
        if self.parts_seen[word] & (1 << bit) != 0 {
            return false;
        }
        self.parts_seen[word] |= 1 << bit;
        *left = left.saturating_sub(1);
        true
    }
}

/// State of one upstream at a host of its zone, whether or not this host is its primary.
#[derive(Debug)]
pub struct Primary {
    id: UpstreamId,
    phase: PrimaryPhase,
    limit: ConcurrencyLimit,
    in_flight: Vec<InFlight>,
    /// Times until which slots count as occupied by requests that are not in `in_flight`: requests
    /// that another primary started, and abandoned ones.
    reserved_until: Vec<Millis>,
    queue: Queue,
    /// Requests that wait until the backup has stored their record.
    pending_records: Vec<PendingRecord>,
    /// Refusals that wait until the backup has stored them; then the caller gets "not run".
    pending_refusals: Vec<PendingRefusal>,
    records: Records,
    answers: AnswerCache,
    backup: Option<Backup>,
    backup_release: Option<BackupRelease>,
    /// Progress of the replica of the primary's state, if this host is the backup.
    replica: Option<LocalReplica>,
    /// Host that was last allowed to become the primary; this host is a backup for no other.
    granted_to: Option<HostId>,
    /// Last state handed over, kept so that the new primary can query it again.
    handover: Option<Handover>,
    /// Counter behind the identifiers of takeover queries, replication sessions and records.
    last_id: u64,
    /// Time at which the process last resumed after a pause; service times of requests that started
    /// before include the pause and are not counted.
    resumed_at: Option<Millis>,
    /// Time at which this host last stopped being the primary.
    stepped_down_at: Option<Millis>,
    /// Until this time, another primary may have started a request that is not recorded here.
    uncertain_until: Millis,
    /// Same for idempotent requests, longer because records of idempotent requests that ran are not
    /// handed over.
    uncertain_idempotent_until: Millis,
    /// Service and duration since arrival of a request that the last event completed.
    completed: Option<(ServiceAddr, Millis)>,
}

impl Primary {
    pub(crate) fn new(cx: &PrimaryCx<'_>) -> Primary {
        Primary {
            id: cx.upstream.id,
            phase: PrimaryPhase::Standby,
            limit: ConcurrencyLimit::new(cx.upstream.cold_slots, cx.upstream.slots),
            in_flight: Vec::new(),
            reserved_until: Vec::new(),
            queue: Queue::default(),
            pending_records: Vec::new(),
            pending_refusals: Vec::new(),
            records: Records::default(),
            answers: AnswerCache::default(),
            backup: None,
            backup_release: None,
            replica: None,
            granted_to: None,
            handover: None,
            last_id: 0,
            resumed_at: None,
            stepped_down_at: None,
            uncertain_until: cx.now + cx.request_lifetime(),
            uncertain_idempotent_until: cx.now + cx.request_lifetime(),
            completed: None,
        }
    }

    /// Returns the identifier of the upstream.
    pub fn id(&self) -> UpstreamId {
        self.id
    }

    /// Returns this host's role for the upstream.
    pub fn phase(&self) -> &PrimaryPhase {
        &self.phase
    }

    /// Returns the state of the upstream for reports.
    pub fn status(&self) -> UpstreamStatus {
        UpstreamStatus {
            upstream: self.id,
            limit: self.limit.current(),
            in_flight: self.occupied_slots(),
            queued: self.queue.len(),
            reason: self.limit.reason(),
            active: self.phase == PrimaryPhase::Active,
        }
    }

    /// Returns `true` if no request is in progress and the last handover is complete.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
            && self.pending_records.is_empty()
            && self.pending_refusals.is_empty()
            && self.queue.is_empty()
            && self.handover.as_ref().is_none_or(|it| it.sent_in_full)
    }

    /// Takes the service and duration of the request that the last event completed, if any.
    pub(crate) fn take_completed(&mut self) -> Option<(ServiceAddr, Millis)> {
        self.completed.take()
    }

    fn occupied_slots(&self) -> usize {
        self.in_flight.len() + self.pending_records.len() + self.reserved_until.len()
    }

    pub(crate) fn apply_config(&mut self, upstream: &UpstreamView) {
        self.limit.set_bounds(upstream.cold_slots, upstream.slots);
    }

    /// Handles a request from a caller.
    pub(crate) fn handle_request(
        &mut self,
        cx: &PrimaryCx<'_>,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        let key = RecordKey { flow: packet.flow(), req: packet.req() };
        match self.admit(cx, packet, &key) {
            RequestDecision::Start
                if packet.is_idempotent() && !exceeds_max_deadline(cx, packet) =>
            {
                self.track_in_flight(cx, PendingRequest::new(cx, packet, key));
                out.push(Action::ToUpstream(cx.addr()));
            }
            RequestDecision::Start if packet.is_idempotent() => {
                self.forward(cx, PendingRequest::new(cx, packet, key), out);
            }
            RequestDecision::Start => {
                self.record_and_forward(cx, PendingRequest::new(cx, packet, key), out);
            }
            RequestDecision::Queue => self.queue.push(PendingRequest::new(cx, packet, key)),
            RequestDecision::Refuse(code) => self.refuse(cx, &key, packet.header(), code, out),
            RequestDecision::RepeatRefusal => {
                let after = cx.cfg.retry_after_ms;
                out.push(not_run_reply(packet.header(), Code::ALREADY_REFUSED, after));
            }
            RequestDecision::ResendAnswer(answer) => out.push(Action::HeldToCaller(answer)),
            RequestDecision::OutcomeUnknown(code) => {
                out.push(outcome_unknown_reply(cx, packet.header(), code));
            }
            RequestDecision::Ignore(code) => out.push(Action::Count(code)),
        }
    }

    fn admit(
        &mut self,
        cx: &PrimaryCx<'_>,
        packet: &Packet<'_>,
        key: &RecordKey,
    ) -> RequestDecision {
        if self.is_in_progress(key) {
            return RequestDecision::Ignore(Code::IN_PROGRESS);
        }
        if self.records.get(key).is_some_and(|it| it.state == RecordState::NotRun) {
            return RequestDecision::RepeatRefusal;
        }
        let taking_over = matches!(self.phase, PrimaryPhase::TakingOver(_));
        if !packet.is_idempotent() {
            if let Some(answer) = self.answers.get(key) {
                return RequestDecision::ResendAnswer(answer.into());
            }
            if self.records.get(key).is_some() || (cx.now < self.uncertain_until && !taking_over) {
                return RequestDecision::OutcomeUnknown(Code::OUTCOME_UNKNOWN);
            }
        }
        if self.phase == PrimaryPhase::Standby {
            return RequestDecision::OutcomeUnknown(Code::PRIMARY_CHANGING);
        }
        match self.admission(cx, deadline_of(cx, packet)) {
            Admission::Start => RequestDecision::Start,
            Admission::Wait => RequestDecision::Queue,
            Admission::Refuse => RequestDecision::Refuse(Code::BUSY),
        }
    }

    fn is_in_progress(&self, key: &RecordKey) -> bool {
        self.in_flight.iter().any(|it| it.key == *key)
            || self.pending_records.iter().any(|it| it.request.key == *key)
            || self.pending_refusals.iter().any(|it| it.key == *key)
            || self.queue.contains(key)
    }

    /// Forwards a pending request with the remaining time as its deadline.
    fn forward(&mut self, cx: &PrimaryCx<'_>, request: PendingRequest, out: &mut Actions) {
        out.push(Action::HeldToUpstream(cx.addr(), request.with_time_left(cx.now)));
        self.track_in_flight(cx, request);
    }

    /// Adds a request that is being sent to the upstream to the requests in flight.
    fn track_in_flight(&mut self, cx: &PrimaryCx<'_>, request: PendingRequest) {
        self.in_flight.push(InFlight {
            key: request.key,
            header: request.header(),
            arrived: request.arrived,
            started: cx.now,
            deadline: request.deadline,
            idempotent: request.idempotent,
            bytes: request.bytes,
            retries: request.retries,
            parts_seen: Vec::new(),
            parts: 0,
            parts_left: None,
        });
    }

    /// Refuses a request that this host has not forwarded.
    ///
    /// The caller gets "not run" only if no other primary can have run the request, and "outcome
    /// unknown" otherwise.
    fn refuse(
        &mut self,
        cx: &PrimaryCx<'_>,
        key: &RecordKey,
        header: Header,
        code: Code,
        out: &mut Actions,
    ) {
        let until = if header.is_idempotent() {
            self.uncertain_idempotent_until
        } else {
            self.uncertain_until
        };
        let has_not_run = cx.now >= until && self.records.get(key).is_none();
        if !has_not_run {
            let after = self.retry_after(cx);
            out.push(Action::Reply(reply_header(header, PacketKind::OutcomeUnknown, code, after)));
            return;
        }
        self.record_not_run(cx, key, header);
        if header.is_idempotent() {
            let after = self.retry_after(cx);
            out.push(not_run_reply(header, code, after));
        } else {
            self.replicate_refusal(cx, key, header, code, out);
        }
    }

    /// Replies to the caller of a request that the upstream shed.
    ///
    /// The caller of an idempotent request gets "outcome unknown" instead of "not run" if an
    /// earlier copy may have run under another primary.
    fn refuse_shed(&mut self, cx: &PrimaryCx<'_>, it: &InFlight, out: &mut Actions) {
        let ran = |it: &Record| it.state == RecordState::Answered;
        let may_have_run = it.idempotent && cx.now < self.uncertain_idempotent_until;
        let after = self.retry_after(cx);
        let code = Code::UPSTREAM_SHED;
        if may_have_run || self.records.get(&it.key).is_some_and(ran) {
            out.push(Action::Reply(reply_header(
                it.header,
                PacketKind::OutcomeUnknown,
                code,
                after,
            )));
            return;
        }
        self.record_not_run(cx, &it.key, it.header);
        out.push(not_run_reply(it.header, code, after));
    }

    /// Records that a caller gets "not run", for as long as a copy of the request may arrive.
    fn record_not_run(&mut self, cx: &PrimaryCx<'_>, key: &RecordKey, header: Header) {
        let resend_window = Millis(u64::from(header.remaining_ms())).max(cx.pool.max_deadline);
        self.records.insert(Record {
            key: *key,
            state: RecordState::NotRun,
            idempotent: header.is_idempotent(),
            expires_at: cx.now + resend_window + cx.cfg.max_packet_lifetime_ms,
        });
    }

    /// Handles the cancellation of a request by its caller.
    pub(crate) fn handle_cancel(
        &mut self,
        cx: &PrimaryCx<'_>,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        let key = RecordKey { flow: packet.flow(), req: packet.req() };
        if let Some(request) = self.queue.remove(&key) {
            self.refuse_queued(cx, &request, Code::CANCELLED, out);
        } else if let Some(at) = self.in_flight.iter().position(|it| it.key == key) {
            let it = self.in_flight.swap_remove(at);
            self.abandon(cx, &it, Code::CANCELLED, out);
        }
    }

    /// Handles an answer of the upstream, or its notice that it shed the request.
    pub(crate) fn handle_answer(
        &mut self,
        cx: &PrimaryCx<'_>,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        let key = RecordKey { flow: packet.flow(), req: packet.req() };
        let Some(at) = self.in_flight.iter().position(|it| it.key == key) else {
            out.push(Action::Count(Code::ANSWER_UNEXPECTED));
            return;
        };
        if packet.kind() == PacketKind::Shed {
            let it = self.in_flight.swap_remove(at);
            self.handle_shed(cx, it, out);
            return;
        }
        if !self.in_flight[at].mark_part_received(packet) {
            out.push(Action::Count(Code::ANSWER_UNEXPECTED));
            return;
        }
        out.push(Action::ToCaller);
        if !self.in_flight[at].idempotent && packet.parts() <= 1 {
            self.answers.insert(key, packet.bytes());
        }
        if self.in_flight[at].parts_left == Some(0) {
            let it = self.in_flight.swap_remove(at);
            self.completed = Some((key.flow.service, cx.now.since(it.arrived)));
            if self.resumed_at.is_none_or(|resumed| it.started > resumed) {
                self.queue.record_service_time(cx.now.since(it.started));
            }
            cx.retries.record_answer(cx.now, cx.cfg.retry_percent);
            self.limit.record_answer(cx.now, it.started, cx.pool.slow_after);
            self.record_ran(cx, &it);
            self.start_queued(cx, out);
        }
    }

    /// Handles a request that has not run because the upstream does not know its flow.
    pub(crate) fn handle_flow_unknown(
        &mut self,
        cx: &PrimaryCx<'_>,
        key: &RecordKey,
        out: &mut Actions,
    ) {
        if let Some(at) = self.in_flight.iter().position(|it| it.key == *key) {
            self.in_flight.swap_remove(at);
            self.records.remove_started(key);
            self.start_queued(cx, out);
        }
    }

    /// Records that a request ran or may have run, so that no later refusal claims that it did not.
    fn record_ran(&mut self, cx: &PrimaryCx<'_>, it: &InFlight) {
        let resend_window =
            Millis(u64::from(it.header.remaining_ms())) + cx.cfg.max_packet_lifetime_ms;
        let keep = if it.idempotent { cx.request_lifetime() } else { cx.cfg.record_ttl_ms };
        let expires_at = cx.now + keep.max(resend_window);
        let state = RecordState::Answered;
        self.records.insert(Record { key: it.key, state, idempotent: it.idempotent, expires_at });
    }

    /// Runs time-driven work: expiry, timeouts, retransmissions, a takeover in progress, the queue.
    pub(crate) fn tick(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        self.reserved_until.retain(|it| *it > cx.now);
        self.records.remove_expired(cx.now);
        self.time_out_requests(cx, out);
        self.refuse_expired(cx, out);
        self.retry_pending_records(cx, out);
        self.continue_takeover(cx, out);
        self.expire_handover(cx);
        self.start_queued(cx, out);
    }

    fn time_out_requests(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        while let Some(at) = self.in_flight.iter().position(|it| it.deadline <= cx.now) {
            let it = self.in_flight.swap_remove(at);
            self.limit.record_timeout(cx.now);
            self.abandon(cx, &it, Code::TIMED_OUT, out);
        }
    }
}

fn deadline_of(cx: &PrimaryCx<'_>, packet: &Packet<'_>) -> Millis {
    let requested = Millis(u64::from(packet.remaining_ms()));
    let max = cx.pool.max_deadline;
    cx.now + if requested == Millis(0) { max } else { requested.min(max) }
}

/// Returns `true` if the request has no deadline, or one beyond the pool's maximum.
fn exceeds_max_deadline(cx: &PrimaryCx<'_>, packet: &Packet<'_>) -> bool {
    let requested = Millis(u64::from(packet.remaining_ms()));
    requested == Millis(0) || requested > cx.pool.max_deadline
}

fn not_run_reply(header: Header, code: Code, after: Millis) -> Action {
    Action::Reply(reply_header(header, PacketKind::NotRun, code, after))
}

fn outcome_unknown_reply(cx: &PrimaryCx<'_>, header: Header, code: Code) -> Action {
    Action::Reply(reply_header(header, PacketKind::OutcomeUnknown, code, cx.cfg.retry_after_ms))
}

fn reply_header(header: Header, kind: PacketKind, code: Code, after: Millis) -> Header {
    header.kind(kind).code(code.0).retry_after_ms(after.as_u16())
}
