//! Outlier detection: assesses answers and reports the failures of upstreams to their evaluators.

use pomelorun_wire::{FlowKey, HostId};

use crate::{
    direct::{
        event::DirectEvent,
        host::DirectHost,
        liveness::Reachability,
        observed_flows::Request,
        outlier::{
            ANSWER_TIMEOUT, Answer, Assessment, EjectDecision, FailureReport,
            MAX_REPORTED_UPSTREAMS,
        },
        registry::{UpstreamIx, UpstreamKey},
        segment::Segment,
    },
    selection::rendezvous_score,
    time::Millis,
};

impl DirectHost {
    /// Applies failure reports from another host of this zone on upstreams that this host
    /// evaluates.
    pub fn apply_reports(&mut self, now: Millis, reports: &[FailureReport]) {
        for it in reports {
            let key = UpstreamKey { id: it.id, started_at: it.started_at };
            if let Some(ix) = self.registry.by_key(key) {
                self.evaluate_report(now, ix, it);
            }
        }
    }

    /// Assesses the answer to the flow's previous request and records a new request.
    pub(super) fn record_request(&mut self, now: Millis, ix: UpstreamIx, seg: &Segment) {
        self.assess_last_answer(now, ix, &seg.flow);
        let Some(flow) = self.flows.get_mut(&seg.flow) else { return };
        flow.unassessed_request = Some(Request { sent_at: now, answer_seq: flow.ack });
        self.pending_requests.push_back((now, seg.flow));
    }

    /// Assesses the answer to the flow's last request, if one was received.
    pub(super) fn assess_last_answer(&mut self, now: Millis, ix: UpstreamIx, key: &FlowKey) {
        let Some(flow) = self.flows.get_mut(key).filter(|it| it.unanswered_since.is_none()) else {
            return;
        };
        if let Some(it) = flow.unassessed_request.take() {
            let bytes = flow.ack.wrapping_sub(it.answer_seq);
            self.assess_answer(now, ix, key, Answer::Bytes(bytes));
        }
    }

    /// Assesses the requests whose answer timeout has expired.
    pub(super) fn assess_timed_out_requests(&mut self, now: Millis) {
        while let Some(&(sent, key)) = self.pending_requests.front()
            && now.since(sent) >= ANSWER_TIMEOUT
        {
            self.pending_requests.pop_front();
            // If the tick is this late, this process was paused; the upstream may be fine.
            let on_schedule = now.since(sent) < ANSWER_TIMEOUT + ANSWER_TIMEOUT;
            let Some(flow) = self.flows.get_mut(&key) else { continue };
            if flow.unassessed_request.is_none_or(|it| it.sent_at != sent) {
                continue;
            }
            let ix = flow.upstream();
            if flow.unanswered_since.is_none() {
                self.assess_last_answer(now, ix, &key);
            } else if on_schedule && self.reachability(ix) == Reachability::Answering {
                self.assess_answer(now, ix, &key, Answer::Missing);
            }
        }
    }

    fn assess_answer(&mut self, now: Millis, ix: UpstreamIx, key: &FlowKey, answer: Answer) {
        if self.routing.route(key.service).is_none() {
            return;
        }
        let Assessment::Conclusive { failed, failure_share } =
            self.answers_by_route.assess(now, key.service, answer)
        else {
            return;
        };
        let Some(flow) = self.flows.get_mut(key) else { return };
        if answer == Answer::Missing {
            // A late answer to the request must not be assessed a second time.
            flow.unassessed_request = None;
        }
        if failed && std::mem::replace(&mut flow.failed, true) {
            return;
        }
        self.upstream_states[ix.0 as usize].pending_report.add(now, failed, failure_share);
        if failed && let Err(at) = self.unreported_failures.binary_search(&ix) {
            self.unreported_failures.insert(at, ix);
        }
    }

    /// Reports the failures since the last reports to the hosts that evaluate them.
    pub(super) fn queue_reports(&mut self, now: Millis) {
        let mut reports: Vec<(UpstreamIx, FailureReport)> = Vec::new();
        for ix in std::mem::take(&mut self.unreported_failures) {
            let Some(key) = self.registry.get(ix).map(|it| it.announcement.key) else { continue };
            let report = self.upstream_states[ix.0 as usize].pending_report.take(
                now,
                key.id,
                key.started_at,
            );
            reports.extend(report.map(|it| (ix, it)));
        }
        reports.sort_by_key(|it| std::cmp::Reverse(it.1.failed));
        reports.truncate(MAX_REPORTED_UPSTREAMS);
        for (ix, report) in reports {
            let evaluator = self.outlier_evaluator(&report);
            if evaluator == self.cfg.host {
                self.evaluate_report(now, ix, &report);
                continue;
            }
            match self.reports.iter_mut().find(|it| it.0 == evaluator) {
                Some(it) => it.1.push(report),
                None => self.reports.push((evaluator, vec![report])),
            }
        }
    }

    /// Returns the host of this zone that evaluates an upstream, by rendezvous hashing.
    fn outlier_evaluator(&self, it: &FailureReport) -> HostId {
        let score = |host: &&HostId| rendezvous_score(host.0, it.id ^ it.started_at);
        self.zone_hosts.iter().max_by_key(score).copied().unwrap_or(self.cfg.host)
    }

    fn evaluate_report(&mut self, now: Millis, ix: UpstreamIx, report: &FailureReport) {
        let Some(eject) = self.upstream_states[ix.0 as usize].outlier.record_report(now, report)
        else {
            return;
        };
        let duration_ms = u32::try_from(eject.duration.0).unwrap_or(u32::MAX);
        self.peer_update.ejected.push((report.id, report.started_at, duration_ms));
        self.record_ejection(ix, eject, false);
    }

    pub(super) fn record_ejection(&mut self, ix: UpstreamIx, it: EjectDecision, from_peer: bool) {
        let Some(upstream) = self.registry.get(ix).map(|it| it.announcement.key) else { return };
        self.stats.ejected += 1;
        let EjectDecision { duration, failed, total } = it;
        self.emit(DirectEvent::Ejected { upstream, duration, failed, total, from_peer });
    }
}
