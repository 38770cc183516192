//! Judging answers: which upstreams fail requests, and who is told.

use pomelorun_wire::{FlowKey, HostId};

use crate::{
    choice::rendezvous_score,
    direct::{
        host::DirectHost,
        liveness::Reachability,
        note::Note,
        observed_flows::Request,
        outlier::{
            ANSWER_TIMEOUT, Answer, Assessment, EjectDecision, FailureReport,
            MAX_REPORTED_UPSTREAMS,
        },
        registry::{UpstreamIx, UpstreamKey},
        segment::Segment,
    },
    time::Millis,
};

impl DirectHost {
    /// Takes in what another host of this zone has seen of upstreams that this one judges.
    pub fn reported(&mut self, now: Millis, reports: &[FailureReport]) {
        for it in reports {
            let key = UpstreamKey { id: it.id, started_at: it.started_at };
            if let Some(ix) = self.registry.by_key(key) {
                self.weigh(now, ix, it);
            }
        }
    }

    /// Judges the flow's last answer and notes the request that follows it.
    pub(super) fn next_request(&mut self, now: Millis, ix: UpstreamIx, seg: &Segment) {
        self.judge_answered(now, ix, &seg.flow);
        let Some(flow) = self.flows.get_mut(&seg.flow) else { return };
        flow.unjudged_request = Some(Request { sent_at: now, answer_seq: flow.ack });
        self.asking.push_back((now, seg.flow));
    }

    /// Judges the flow's last answer, if one has come.
    pub(super) fn judge_answered(&mut self, now: Millis, ix: UpstreamIx, key: &FlowKey) {
        let Some(flow) = self.flows.get_mut(key).filter(|it| it.unanswered_since.is_none()) else {
            return;
        };
        if let Some(it) = flow.unjudged_request.take() {
            let bytes = flow.ack.wrapping_sub(it.answer_seq);
            self.judge(now, ix, key, Answer::Bytes(bytes));
        }
    }

    /// Judges the requests whose time is over.
    pub(super) fn judge_late(&mut self, now: Millis) {
        while let Some(&(sent, key)) = self.asking.front()
            && now.since(sent) >= ANSWER_TIMEOUT
        {
            self.asking.pop_front();
            // A later event means that this process stood still, not the upstream.
            let in_time = now.since(sent) < ANSWER_TIMEOUT + ANSWER_TIMEOUT;
            let Some(flow) = self.flows.get_mut(&key) else { continue };
            if flow.unjudged_request.is_none_or(|it| it.sent_at != sent) {
                continue;
            }
            let ix = flow.upstream();
            if flow.unanswered_since.is_none() {
                self.judge_answered(now, ix, &key);
            } else if in_time && self.standing(ix) == Reachability::Answering {
                self.judge(now, ix, &key, Answer::Missing);
            }
        }
    }

    fn judge(&mut self, now: Millis, ix: UpstreamIx, key: &FlowKey, answer: Answer) {
        if self.routing.route(key.service).is_none() {
            return;
        }
        let Assessment::Judged { failed, failure_share } =
            self.answers.assess(now, key.service, answer)
        else {
            return;
        };
        let Some(flow) = self.flows.get_mut(key) else { return };
        if answer == Answer::Missing {
            // What comes of it later is no second sign.
            flow.unjudged_request = None;
        }
        if failed && std::mem::replace(&mut flow.failed, true) {
            return;
        }
        self.seen[ix.0 as usize].tally.add(now, failed, failure_share);
        if failed && let Err(at) = self.failing.binary_search(&ix) {
            self.failing.insert(at, ix);
        }
    }

    /// Hands what failed since the last reports to the hosts that judge.
    pub(super) fn send_reports(&mut self, now: Millis) {
        let mut found: Vec<(UpstreamIx, FailureReport)> = Vec::new();
        for ix in std::mem::take(&mut self.failing) {
            let Some(key) = self.registry.get(ix).map(|it| it.announcement.key) else { continue };
            let report = self.seen[ix.0 as usize].tally.take(now, key.id, key.started_at);
            found.extend(report.map(|it| (ix, it)));
        }
        found.sort_by_key(|it| std::cmp::Reverse(it.1.failed));
        found.truncate(MAX_REPORTED_UPSTREAMS);
        for (ix, report) in found {
            let judge = self.judge_of(&report);
            if judge == self.cfg.host {
                self.weigh(now, ix, &report);
                continue;
            }
            match self.reports.iter_mut().find(|it| it.0 == judge) {
                Some(it) => it.1.push(report),
                None => self.reports.push((judge, vec![report])),
            }
        }
    }

    /// The host of this zone that judges an upstream.
    fn judge_of(&self, it: &FailureReport) -> HostId {
        let score = |host: &&HostId| rendezvous_score(host.0, it.id ^ it.started_at);
        self.near.iter().max_by_key(score).copied().unwrap_or(self.cfg.host)
    }

    fn weigh(&mut self, now: Millis, ix: UpstreamIx, report: &FailureReport) {
        let Some(eject) = self.seen[ix.0 as usize].outlier.record_report(now, report) else {
            return;
        };
        let lasts = u32::try_from(eject.duration.0).unwrap_or(u32::MAX);
        self.news.ejected.push((report.id, report.started_at, lasts));
        self.note_ejected(ix, eject, false);
    }

    pub(super) fn note_ejected(&mut self, ix: UpstreamIx, it: EjectDecision, told: bool) {
        let Some(upstream) = self.registry.get(ix).map(|it| it.announcement.key) else { return };
        self.stats.ejected += 1;
        let EjectDecision { duration, failed, total } = it;
        self.note(Note::Ejected { upstream, lasts: duration, failed, total, told });
    }
}
