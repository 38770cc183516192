//! Sharing of load between hosts: reports to the zone's collector, and summaries from it.

use pomelorun_wire::{HostId, ZoneId};

use crate::{
    direct::{
        host::DirectHost,
        load_report::{LoadReport, LoadSummary},
        registry::UpstreamIx,
        segment::Segment,
        upstream_speed::AnswerSample,
    },
    time::Millis,
};

/// A message about load to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadMessage {
    /// To the collector of this zone.
    Report(LoadReport),
    /// To a host of this zone or to the collector of another one.
    Summary(LoadSummary),
}

impl DirectHost {
    /// Sets all live hosts with their zones, among which the collectors are chosen.
    pub fn set_hosts_by_zone(&mut self, _hosts: Vec<(ZoneId, HostId)>) {}

    /// Takes the messages about load to send, each with its recipient.
    pub fn take_load_messages(&mut self) -> Vec<(HostId, LoadMessage)> {
        Vec::new()
    }

    /// Applies the load report of another host of this zone.
    pub fn apply_load_report(&mut self, _now: Millis, _from: HostId, _report: &LoadReport) {}

    /// Applies the load summary of a zone's collector.
    pub fn apply_load_summary(&mut self, _now: Millis, _from: HostId, _summary: &LoadSummary) {}

    /// Records the load at each tick, and queues reports and summaries that are due.
    pub(super) fn share_load(&mut self, _now: Millis) {}

    /// Records that a request was forwarded to an upstream.
    pub(super) fn count_request(&mut self, _now: Millis, _ix: UpstreamIx, _seg: &Segment) {}

    /// Records how long an upstream took to answer a request.
    pub(super) fn record_answer_time(
        &mut self,
        now: Millis,
        _ix: UpstreamIx,
        sample: &AnswerSample,
    ) {
        let _slowness = self.service_times.record(now, sample);
    }
}
