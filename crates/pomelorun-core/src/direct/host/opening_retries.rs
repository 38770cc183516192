//! Retries of opening packets whose answer is overdue.

use std::{net::SocketAddrV4, sync::Arc};

use pomelorun_wire::{FlowKey, ZoneId};

use crate::{
    direct::{
        event::OpenCause,
        host::{DirectHost, Verdict},
        liveness::MIN_RETRANSMIT_GAP,
        mechanism::Mechanism,
        observed_flows::Flow,
        opening_retry::PendingOpening,
        placement::{Choice, choose},
        registry::UpstreamIx,
        segment::Segment,
        token::Token,
    },
    time::Millis,
};

/// Number of upstreams after which an answer is no longer awaited; what follows are the caller's own
/// retransmissions.
const MAX_ATTEMPTS: usize = 2;

/// An opening packet to be sent to another upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpeningRetry {
    /// Flow that the packet opens.
    pub flow: FlowKey,
    /// Address of the upstream.
    pub to: SocketAddrV4,
    /// Identifier of the upstream.
    pub id: u64,
    /// Token to write into the packet.
    pub token: Token,
}

/// What to do with a packet whose answer is overdue.
enum Overdue {
    /// The answer has come, or the caller has retransmitted the packet.
    Settled,
    /// The packet was sent to this upstream and had no answer since.
    Unanswered { upstream: UpstreamIx, sent: Millis },
}

impl DirectHost {
    /// Returns when [`DirectHost::retry_openings`] is to be called next.
    pub fn next_opening_retry(&mut self) -> Option<Millis> {
        while let Some(&it) = self.pending_openings.first() {
            match self.assess_pending(&it) {
                Overdue::Settled => self.pending_openings.pop(),
                Overdue::Unanswered { .. } => return Some(it.due),
            };
        }
        None
    }

    /// Returns the opening packets that are to be sent to another upstream.
    ///
    /// All packets that have arrived must have been handled before, since an answer that is overdue
    /// may wait among them.
    pub fn retry_openings(&mut self, now: Millis) -> Vec<OpeningRetry> {
        let mut retries = Vec::new();
        while let Some(it) = self.pending_openings.first().copied().filter(|it| it.due <= now) {
            self.pending_openings.pop();
            if let Overdue::Unanswered { upstream, sent } = self.assess_pending(&it) {
                retries.extend(self.retry_opening(now, &it.segment, upstream, sent));
            }
        }
        retries
    }

    /// Awaits the answer to an opening packet that was sent to an upstream in `zone`.
    pub(super) fn await_answer(
        &mut self,
        now: Millis,
        segment: &Segment,
        zone: ZoneId,
        attempts: usize,
    ) {
        if attempts >= MAX_ATTEMPTS || !self.is_enabled(Mechanism::OpeningRetry) {
            return;
        }
        let timeout = self.opening_times.timeout(zone);
        // The caller's retransmission comes before a later retry would help.
        if timeout >= MIN_RETRANSMIT_GAP {
            return;
        }
        let it = PendingOpening { due: now + timeout, segment: *segment, attempts };
        self.stats.retries_withheld += u64::from(!self.pending_openings.push(it));
    }

    /// Records how long the upstream that holds the flow took to answer its opening packet.
    pub(super) fn record_opening_time(&mut self, now: Millis, ix: UpstreamIx, opening: &Flow) {
        let Some(sent) = opening.sent_to(ix) else { return };
        let took = now.since(sent);
        self.stats.open_latency.record(took.0);
        self.retry_budget.record_answered(now);
        // The caller's next packet was lost and retransmitted; this shows the caller's timer, and
        // not how soon upstreams answer.
        if took >= MIN_RETRANSMIT_GAP {
            return;
        }
        if let Some(it) = self.registry.get(ix) {
            self.opening_times.record(it.announcement.zone, took);
        }
    }

    fn assess_pending(&mut self, it: &PendingOpening) -> Overdue {
        let Some(flow) = self.flows.get_mut(&it.segment.flow) else { return Overdue::Settled };
        match flow.unanswered_since {
            Some(sent)
                if !flow.established
                    && flow.opening_seq == Some(it.segment.seq)
                    && flow.attempts.upstreams.len() == it.attempts =>
            {
                Overdue::Unanswered { upstream: flow.upstream(), sent }
            }
            _ => Overdue::Settled,
        }
    }

    /// Sends an opening packet to another upstream, if one is good and the budget allows it.
    fn retry_opening(
        &mut self,
        now: Millis,
        seg: &Segment,
        overdue: UpstreamIx,
        sent: Millis,
    ) -> Option<OpeningRetry> {
        // After so long a time this host was stalled, and the caller has retransmitted the packet.
        if now.since(sent) >= MIN_RETRANSMIT_GAP {
            return None;
        }
        // A timeout that follows from no observation is no evidence against the upstream.
        if self.opening_times.has_observations() {
            self.record_unanswered(now, overdue, seg.flow, sent);
        }
        let routing = Arc::clone(&self.routing);
        let service = routing.route(seg.flow.service)?.service_of(&seg.flow)?;
        // A second transmission would only add load.
        if self.is_short_of_room(service) {
            self.stats.retries_withheld += 1;
            return None;
        }
        let flow = self.flows.get_mut(&seg.flow)?;
        let attempts = flow.attempts.clone();
        let candidates = self.candidates(now, service, &seg.flow, &attempts.upstreams);
        let best = choose(&candidates).filter(|it| it.choice == Choice::Good)?;
        if !self.retry_budget.take(now) {
            self.stats.retries_withheld += 1;
            return None;
        }
        let cause = OpenCause::Overdue;
        match self.open_at(now, seg, attempts, &best, candidates.len(), cause) {
            Verdict::Forward { to, id, token } => {
                Some(OpeningRetry { flow: seg.flow, to, id, token })
            }
            Verdict::Reset(_) | Verdict::Drop => None,
        }
    }
}
