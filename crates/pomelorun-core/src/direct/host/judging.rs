//! Judging answers: which upstreams fail requests, and who is told.

use pomelorun_wire::{FlowKey, HostId};

use crate::{
    direct::{
        flows::Request,
        host::DirectHost,
        liveness::Standing,
        note::Note,
        outlier::{Answer, Eject, JUDGE_AFTER, REPORTED_MOST, Report, Sign},
        registry::{UpstreamIx, UpstreamKey},
        segment::Segment,
    },
    selection::rendezvous_score,
    time::Millis,
};

impl DirectHost {
    /// Takes in what another host of this zone has seen of upstreams that this one judges.
    pub fn reported(&mut self, now: Millis, reports: &[Report]) {
        for it in reports {
            let key = UpstreamKey { id: it.id, born: it.born };
            if let Some(ix) = self.registry.by_key(key) {
                self.weigh(now, ix, it);
            }
        }
    }

    /// Judges the flow's last answer and notes the request that follows it.
    pub(super) fn next_request(&mut self, now: Millis, ix: UpstreamIx, seg: &Segment) {
        self.judge_answered(now, ix, &seg.flow);
        let Some(flow) = self.flows.get_mut(&seg.flow) else { return };
        flow.request = Some(Request { sent: now, ack: flow.ack });
        self.asking.push_back((now, seg.flow));
    }

    /// Judges the flow's last answer, if one has come.
    pub(super) fn judge_answered(&mut self, now: Millis, ix: UpstreamIx, key: &FlowKey) {
        let Some(flow) = self.flows.get_mut(key).filter(|it| it.asked.is_none()) else { return };
        if let Some(it) = flow.request.take() {
            let bytes = flow.ack.wrapping_sub(it.ack);
            self.judge(now, ix, key, Answer::Bytes(bytes));
        }
    }

    /// Judges the requests whose time is over.
    pub(super) fn judge_late(&mut self, now: Millis) {
        while let Some(&(sent, key)) = self.asking.front()
            && now.since(sent) >= JUDGE_AFTER
        {
            self.asking.pop_front();
            // A later event means that this process stood still, not the upstream.
            let in_time = now.since(sent) < JUDGE_AFTER + JUDGE_AFTER;
            let Some(flow) = self.flows.get_mut(&key) else { continue };
            if flow.request.is_none_or(|it| it.sent != sent) {
                continue;
            }
            let ix = flow.upstream();
            if flow.asked.is_none() {
                self.judge_answered(now, ix, &key);
            } else if in_time && self.standing(ix) == Standing::Answering {
                self.judge(now, ix, &key, Answer::Missing);
            }
        }
    }

    fn judge(&mut self, now: Millis, ix: UpstreamIx, key: &FlowKey, answer: Answer) {
        if self.routing.route(key.service).is_none() {
            return;
        }
        let Sign::Judged { failed, usual } = self.answers.judge(now, key.service, answer) else {
            return;
        };
        let Some(flow) = self.flows.get_mut(key) else { return };
        if answer == Answer::Missing {
            // What comes of it later is no second sign.
            flow.request = None;
        }
        if failed && std::mem::replace(&mut flow.failed, true) {
            return;
        }
        self.seen[ix.0 as usize].tally.add(now, failed, usual);
        if failed && let Err(at) = self.failing.binary_search(&ix) {
            self.failing.insert(at, ix);
        }
    }

    /// Hands what failed since the last reports to the hosts that judge.
    pub(super) fn send_reports(&mut self, now: Millis) {
        let mut found: Vec<(UpstreamIx, Report)> = Vec::new();
        for ix in std::mem::take(&mut self.failing) {
            let Some(key) = self.registry.get(ix).map(|it| it.said.key) else { continue };
            let report = self.seen[ix.0 as usize].tally.take(now, key.id, key.born);
            found.extend(report.map(|it| (ix, it)));
        }
        found.sort_by_key(|it| std::cmp::Reverse(it.1.failed));
        found.truncate(REPORTED_MOST);
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
    fn judge_of(&self, it: &Report) -> HostId {
        let score = |host: &&HostId| rendezvous_score(host.0, it.id ^ it.born);
        self.near.iter().max_by_key(score).copied().unwrap_or(self.cfg.host)
    }

    fn weigh(&mut self, now: Millis, ix: UpstreamIx, report: &Report) {
        let Some(eject) = self.seen[ix.0 as usize].outlier.report(now, report) else { return };
        let lasts = u32::try_from(eject.lasts.0).unwrap_or(u32::MAX);
        self.news.ejected.push((report.id, report.born, lasts));
        self.note_ejected(ix, eject, false);
    }

    pub(super) fn note_ejected(&mut self, ix: UpstreamIx, it: Eject, told: bool) {
        let Some(upstream) = self.registry.get(ix).map(|it| it.said.key) else { return };
        self.stats.ejected += 1;
        let Eject { lasts, failed, total } = it;
        self.note(Note::Ejected { upstream, lasts, failed, total, told });
    }
}
