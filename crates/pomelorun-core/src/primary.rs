//! The primary of one upstream: the single place that counts its requests, runs its limit and
//! remembers its non-idempotent requests.

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
        queue::{Admission, Held, Queue},
        replication::{Backup, Recording, Refusing, Releasing, ReplicaOf},
        takeover::{HandedOver, Takeover},
    },
    record::{Record, Records},
    retry_budget::RetryBudget,
    settings::CoreSettings,
    snapshot::{PoolView, UpstreamView},
    time::Millis,
};

/// Whether this host acts as the primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrimaryPhase {
    /// It does not; it may hold a replica of the primary's state.
    Standby,
    /// It waits for the primary before it to hand over.
    TakingOver(Takeover),
    /// It acts.
    Active,
}

/// State of an upstream, for reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Which upstream.
    pub upstream: UpstreamId,
    /// Requests that it may run now.
    pub limit: u16,
    /// Requests in progress.
    pub in_flight: usize,
    /// Requests that wait.
    pub queued: usize,
    /// Why the limit is what it is.
    pub reason: LimitReason,
    /// Whether this host acts as its primary.
    pub active: bool,
}

/// What the primary's decisions depend on besides its own state.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrimaryCx<'a> {
    pub(crate) now: Millis,
    pub(crate) me: HostId,
    /// Of this process.
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

    /// Time after which nothing that another primary started can still run or arrive.
    fn settle(&self) -> Millis {
        self.pool.max_deadline + self.cfg.packet_life_ms
    }
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Next {
    Start,
    Queue,
    Refuse(Code),
    /// An earlier copy was refused, so this one must not run either.
    RefuseAgain,
    /// The first copy was answered, and this is the answer.
    AnswerAgain(Box<[u8]>),
    Unknown(Code),
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
    /// The request, to send it again if it is shed.
    bytes: Box<[u8]>,
    retries: u8,
    parts_seen: Vec<u64>,
    parts: u16,
    parts_left: Option<u16>,
}

impl InFlight {
    /// Notes a part; tells whether it is a new one.
    fn note_part(&mut self, packet: &Packet<'_>) -> bool {
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

/// What one host knows of one upstream in its zone.
#[derive(Debug)]
pub struct Primary {
    id: UpstreamId,
    phase: PrimaryPhase,
    limit: ConcurrencyLimit,
    in_flight: Vec<InFlight>,
    /// When requests that another primary started are over at the latest.
    foreign: Vec<Millis>,
    queue: Queue,
    /// Requests whose record is being replicated.
    recording: Vec<Recording>,
    /// Refusals that are replicated before callers are told "not run".
    refusing: Vec<Refusing>,
    records: Records,
    answers: AnswerCache,
    backup: Option<Backup>,
    releasing: Option<Releasing>,
    /// The primary whose state is replicated here, as far as it has come.
    replica_of: Option<ReplicaOf>,
    /// The host that was told last that it may act; only that one may be backed from here.
    pledged_to: Option<HostId>,
    /// What was handed over last, until the new primary has got it all.
    handed_over: Option<HandedOver>,
    /// Numbers given to questions, replications and records.
    last_number: u64,
    /// When the process last woke; times that began before say nothing of the upstream.
    woke_at: Option<Millis>,
    /// When it last stopped acting.
    stood_down: Option<Millis>,
    /// Until then a request may have run at the word of another primary.
    uncertain_until: Millis,
    /// The same for idempotent requests, whose records are not handed over.
    uncertain_idempotent_until: Millis,
    /// A full answer that is not counted yet, with the time that it took from its arrival.
    answered: Option<(ServiceAddr, Millis)>,
}

impl Primary {
    pub(crate) fn new(cx: &PrimaryCx<'_>) -> Primary {
        Primary {
            id: cx.upstream.id,
            phase: PrimaryPhase::Standby,
            limit: ConcurrencyLimit::new(cx.upstream.cold_slots, cx.upstream.slots),
            in_flight: Vec::new(),
            foreign: Vec::new(),
            queue: Queue::default(),
            recording: Vec::new(),
            refusing: Vec::new(),
            records: Records::default(),
            answers: AnswerCache::default(),
            backup: None,
            releasing: None,
            replica_of: None,
            pledged_to: None,
            handed_over: None,
            last_number: 0,
            woke_at: None,
            stood_down: None,
            uncertain_until: cx.now + cx.settle(),
            uncertain_idempotent_until: cx.now + cx.settle(),
            answered: None,
        }
    }

    /// Which upstream.
    pub fn id(&self) -> UpstreamId {
        self.id
    }

    /// Whether this host acts as the primary.
    pub fn phase(&self) -> &PrimaryPhase {
        &self.phase
    }

    /// State for reports.
    pub fn status(&self) -> UpstreamStatus {
        UpstreamStatus {
            upstream: self.id,
            limit: self.limit.current(),
            in_flight: self.busy(),
            queued: self.queue.len(),
            reason: self.limit.reason(),
            active: self.phase == PrimaryPhase::Active,
        }
    }

    /// Tells whether nothing is in progress here.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
            && self.recording.is_empty()
            && self.refusing.is_empty()
            && self.queue.is_empty()
            && self.handed_over.as_ref().is_none_or(|it| it.done)
    }

    /// Takes the full answer that the last event brought, if any.
    pub(crate) fn take_completed(&mut self) -> Option<(ServiceAddr, Millis)> {
        self.answered.take()
    }

    fn busy(&self) -> usize {
        self.in_flight.len() + self.recording.len() + self.foreign.len()
    }

    pub(crate) fn apply_config(&mut self, upstream: &UpstreamView) {
        self.limit.resize(upstream.cold_slots, upstream.slots);
    }

    /// Takes a request in.
    pub(crate) fn handle_request(
        &mut self,
        cx: &PrimaryCx<'_>,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        let key = RecordKey { flow: packet.flow(), req: packet.req() };
        match self.admit(cx, packet, &key) {
            Next::Start if packet.is_idempotent() && !is_beyond(cx, packet) => {
                self.begin(cx, Held::new(cx, packet, key));
                out.push(Action::ToUpstream(cx.addr()));
            }
            Next::Start if packet.is_idempotent() => {
                self.forward(cx, Held::new(cx, packet, key), out);
            }
            Next::Start => self.record(cx, Held::new(cx, packet, key), out),
            Next::Queue => self.queue.push(Held::new(cx, packet, key)),
            Next::Refuse(code) => self.refuse(cx, &key, packet.header(), code, out),
            Next::RefuseAgain => {
                let after = cx.cfg.come_back_ms;
                out.push(not_run(packet.header(), Code::ALREADY_REFUSED, after));
            }
            Next::AnswerAgain(answer) => out.push(Action::HeldToCaller(answer)),
            Next::Unknown(code) => out.push(unknown(cx, packet.header(), code)),
            Next::Ignore(code) => out.push(Action::Count(code)),
        }
    }

    fn admit(&mut self, cx: &PrimaryCx<'_>, packet: &Packet<'_>, key: &RecordKey) -> Next {
        if self.is_in_progress(key) {
            return Next::Ignore(Code::IN_PROGRESS);
        }
        if self.records.get(key).is_some_and(|it| it.state == RecordState::NotRun) {
            return Next::RefuseAgain;
        }
        let asking = matches!(self.phase, PrimaryPhase::TakingOver(_));
        if !packet.is_idempotent() {
            if let Some(answer) = self.answers.get(key) {
                return Next::AnswerAgain(answer.into());
            }
            if self.records.get(key).is_some() || (cx.now < self.uncertain_until && !asking) {
                return Next::Unknown(Code::OUTCOME_UNKNOWN);
            }
        }
        if self.phase == PrimaryPhase::Standby {
            return Next::Unknown(Code::PRIMARY_CHANGING);
        }
        match self.admission(cx, deadline_of(cx, packet)) {
            Admission::Start => Next::Start,
            Admission::Wait => Next::Queue,
            Admission::Refuse => Next::Refuse(Code::BUSY),
        }
    }

    fn is_in_progress(&self, key: &RecordKey) -> bool {
        self.in_flight.iter().any(|it| it.key == *key)
            || self.recording.iter().any(|it| it.held.key == *key)
            || self.refusing.iter().any(|it| it.key == *key)
            || self.queue.contains(key)
    }

    /// Forwards a request that waited, with the time that it has left.
    fn forward(&mut self, cx: &PrimaryCx<'_>, held: Held, out: &mut Actions) {
        out.push(Action::HeldToUpstream(cx.addr(), held.with_time_left(cx.now)));
        self.begin(cx, held);
    }

    /// Counts a request in that is sent to the upstream now.
    fn begin(&mut self, cx: &PrimaryCx<'_>, held: Held) {
        self.in_flight.push(InFlight {
            key: held.key,
            header: held.header(),
            arrived: held.arrived,
            started: cx.now,
            deadline: held.deadline,
            idempotent: held.idempotent,
            bytes: held.bytes,
            retries: held.retries,
            parts_seen: Vec::new(),
            parts: 0,
            parts_left: None,
        });
    }

    /// Gives a request up that this primary has not forwarded.
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
        let certain = cx.now >= until && self.records.get(key).is_none();
        if !certain {
            let after = self.come_back_after(cx);
            out.push(Action::Reply(reply(header, PacketKind::OutcomeUnknown, code, after)));
            return;
        }
        self.note_not_run(cx, key, header);
        if header.is_idempotent() {
            let after = self.come_back_after(cx);
            out.push(not_run(header, code, after));
        } else {
            self.replicate_refusal(cx, key, header, code, out);
        }
    }

    /// Tells the caller that the upstream shed a request; an idempotent one may have run before.
    fn say_shed(&mut self, cx: &PrimaryCx<'_>, it: &InFlight, out: &mut Actions) {
        let ran = |it: &Record| it.state == RecordState::Answered;
        let unsure = it.idempotent && cx.now < self.uncertain_idempotent_until;
        let after = self.come_back_after(cx);
        let code = Code::UPSTREAM_SHED;
        if unsure || self.records.get(&it.key).is_some_and(ran) {
            out.push(Action::Reply(reply(it.header, PacketKind::OutcomeUnknown, code, after)));
            return;
        }
        self.note_not_run(cx, &it.key, it.header);
        out.push(not_run(it.header, code, after));
    }

    /// Remembers that a caller is told "not run" for as long as a copy of the request may arrive.
    fn note_not_run(&mut self, cx: &PrimaryCx<'_>, key: &RecordKey, header: Header) {
        let resent_for = Millis(u64::from(header.remaining_ms())).max(cx.pool.max_deadline);
        self.records.insert(Record {
            key: *key,
            state: RecordState::NotRun,
            idempotent: header.is_idempotent(),
            expires_at: cx.now + resent_for + cx.cfg.packet_life_ms,
        });
    }

    /// The caller gave a request up.
    pub(crate) fn handle_cancel(
        &mut self,
        cx: &PrimaryCx<'_>,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        let key = RecordKey { flow: packet.flow(), req: packet.req() };
        if let Some(held) = self.queue.remove(&key) {
            self.drop_held(cx, &held, Code::CANCELLED, out);
        } else if let Some(at) = self.in_flight.iter().position(|it| it.key == key) {
            let it = self.in_flight.swap_remove(at);
            self.abandon(cx, &it, Code::CANCELLED, out);
        }
    }

    /// The upstream answered a request.
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
            self.shed(cx, it, out);
            return;
        }
        if !self.in_flight[at].note_part(packet) {
            out.push(Action::Count(Code::ANSWER_UNEXPECTED));
            return;
        }
        out.push(Action::ToCaller);
        if !self.in_flight[at].idempotent && packet.parts() <= 1 {
            self.answers.keep(key, packet.bytes());
        }
        if self.in_flight[at].parts_left == Some(0) {
            let it = self.in_flight.swap_remove(at);
            self.answered = Some((key.flow.service, cx.now.since(it.arrived)));
            if self.woke_at.is_none_or(|woke| it.started > woke) {
                self.queue.note_service(cx.now.since(it.started));
            }
            cx.retries.answered(cx.now, cx.cfg.retry_percent);
            self.limit.answered(cx.now, it.started, cx.pool.slow_after);
            self.note_ran(cx, &it);
            self.pump(cx, out);
        }
    }

    /// The upstream does not know the flow, so the request has not run there.
    pub(crate) fn handle_flow_unknown(
        &mut self,
        cx: &PrimaryCx<'_>,
        key: &RecordKey,
        out: &mut Actions,
    ) {
        if let Some(at) = self.in_flight.iter().position(|it| it.key == *key) {
            self.in_flight.swap_remove(at);
            self.records.remove_started(key);
            self.pump(cx, out);
        }
    }

    /// Remembers that a request ran, so that no later refusal claims that it did not.
    fn note_ran(&mut self, cx: &PrimaryCx<'_>, it: &InFlight) {
        let resent_for = Millis(u64::from(it.header.remaining_ms())) + cx.cfg.packet_life_ms;
        let keep = if it.idempotent { cx.settle() } else { cx.cfg.record_keep_ms };
        let expires_at = cx.now + keep.max(resent_for);
        let state = RecordState::Answered;
        self.records.insert(Record { key: it.key, state, idempotent: it.idempotent, expires_at });
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        self.foreign.retain(|it| *it > cx.now);
        self.records.remove_expired(cx.now);
        self.time_out(cx, out);
        self.drop_late(cx, out);
        self.resend_records(cx, out);
        self.ask_again(cx, out);
        self.drop_handed_over(cx);
        self.pump(cx, out);
    }

    fn time_out(&mut self, cx: &PrimaryCx<'_>, out: &mut Actions) {
        while let Some(at) = self.in_flight.iter().position(|it| it.deadline <= cx.now) {
            let it = self.in_flight.swap_remove(at);
            self.limit.timed_out(cx.now);
            self.abandon(cx, &it, Code::TIMED_OUT, out);
        }
    }
}

fn deadline_of(cx: &PrimaryCx<'_>, packet: &Packet<'_>) -> Millis {
    let asked = Millis(u64::from(packet.deadline_ms()));
    let max = cx.pool.max_deadline;
    cx.now + if asked == Millis(0) { max } else { asked.min(max) }
}

/// Tells whether a request names no deadline, or one that is longer than the pool admits.
fn is_beyond(cx: &PrimaryCx<'_>, packet: &Packet<'_>) -> bool {
    let asked = Millis(u64::from(packet.deadline_ms()));
    asked == Millis(0) || asked > cx.pool.max_deadline
}

fn not_run(header: Header, code: Code, after: Millis) -> Action {
    Action::Reply(reply(header, PacketKind::NotRun, code, after))
}

fn unknown(cx: &PrimaryCx<'_>, header: Header, code: Code) -> Action {
    Action::Reply(reply(header, PacketKind::OutcomeUnknown, code, cx.cfg.come_back_ms))
}

fn reply(header: Header, kind: PacketKind, code: Code, after: Millis) -> Header {
    header.kind(kind).code(code.0).retry_after_ms(after.as_u16())
}
