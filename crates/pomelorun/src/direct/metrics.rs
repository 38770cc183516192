//! Metrics of a host in direct server return, exported as Prometheus text.

use std::sync::Arc;

use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pomelorun_core::direct::{BUCKET_BOUNDS_MS, LatencyHistogram};
use prometheus::{
    Registry,
    core::{Collector, Desc},
    proto,
};

use crate::{
    direct::{edge::EdgeStats, web::Status},
    metrics::{MetricsError, meter_provider, prometheus_text},
};

type ReadCount = fn(&EdgeStats) -> u64;

/// Name, help text and value of each counter. `docs/operators/metrics.md` says what to do when one
/// rises.
const COUNTERS: [(&str, &str, ReadCount); 28] = [
    ("pomelorun_packets_forwarded", "Packets forwarded to upstreams", |it| it.core.forwarded),
    ("pomelorun_flows_opened", "Flows opened, not counting retransmitted opening packets", |it| {
        it.core.opened
    }),
    ("pomelorun_flow_copies", "Retransmitted opening packets sent to another upstream", |it| {
        it.core.retried_opens
    }),
    (
        "pomelorun_flow_retries",
        "Opening packets sent to another upstream because the answer was overdue",
        |it| it.core.overdue_opens,
    ),
    (
        "pomelorun_flow_retries_withheld",
        "Overdue opening packets that were not sent again, because too many were overdue",
        |it| it.core.retries_withheld,
    ),
    ("pomelorun_flow_resets", "Flows reset", |it| it.core.resets),
    ("pomelorun_packets_no_route", "Opening packets to an address without a route", |it| {
        it.core.no_route
    }),
    ("pomelorun_packets_no_upstream", "Opening packets without an available upstream", |it| {
        it.core.no_upstream
    }),
    (
        "pomelorun_flows_rejected_overload",
        "Opening packets rejected because no upstream had room for their priority",
        |it| it.core.rejected_overload,
    ),
    (
        "pomelorun_flows_rejected_overload_urgent",
        "Of these, those to the most urgent routes of their service",
        |it| it.core.rejected_overload_urgent,
    ),
    ("pomelorun_packets_unknown_token", "Packets whose token names no known upstream", |it| {
        it.core.unknown_token
    }),
    ("pomelorun_packets_malformed", "Datagrams that are not a valid packet of a caller", |it| {
        it.malformed
    }),
    ("pomelorun_packet_calls", "System calls that received or sent packets", |it| it.syscalls),
    ("pomelorun_packets_unsent", "Datagrams that the kernel did not accept for sending", |it| {
        it.unsent
    }),
    (
        "pomelorun_packets_held_lost",
        "Packets dropped before the initial listing because the buffer was full",
        |it| it.early_packets_dropped,
    ),
    ("pomelorun_upstream_unreachable", "Times an upstream was marked unreachable", |it| {
        it.core.unreachable
    }),
    ("pomelorun_upstream_answering", "Times an unreachable upstream responded again", |it| {
        it.core.recovered
    }),
    (
        "pomelorun_own_faults",
        "Times an upstream was not marked unreachable because the fault was probably local",
        |it| it.core.local_faults,
    ),
    (
        "pomelorun_upstream_kept",
        "Times an upstream was kept after a silent probe because load alone may explain it",
        |it| it.core.kept,
    ),
    (
        "pomelorun_upstream_kept_by_peers",
        "Of these, times another host of the zone had a response from it",
        |it| it.core.kept_by_peers,
    ),
    ("pomelorun_upstream_ejected", "Times an upstream was ejected for failing requests", |it| {
        it.core.ejected
    }),
    (
        "pomelorun_directory_restorations",
        "Times the directory was found to be restored from an older copy",
        |it| it.core.directory_restorations,
    ),
    ("pomelorun_load_rejected", "Messages about load that cannot be true", |it| {
        it.core.load_rejected
    }),
    ("pomelorun_load_bytes", "Messages about load sent to other hosts, bytes", |it| it.load_bytes),
    ("pomelorun_peer_unreadable", "Datagrams of other hosts that cannot be decoded", |it| {
        it.unreadable_messages
    }),
    ("pomelorun_directory_unreadable", "Entries of the directory that cannot be read", |it| {
        it.unreadable_entries
    }),
    ("pomelorun_probes", "Probes sent to upstreams", |it| it.core.probes),
    (
        "pomelorun_log_lines_dropped",
        "Log lines dropped because the log output was too slow",
        |it| it.log_lines_dropped,
    ),
];

const GAUGES: [(&str, &str, ReadCount); 7] = [
    ("pomelorun_flows", "Flows in the flow table", |it| it.flows as u64),
    ("pomelorun_revision", "Active revision of the configuration", |it| it.revision),
    ("pomelorun_directory_era", "Era of the directory that was listed last", |it| it.directory_era),
    ("pomelorun_hosts_live", "Live hosts, including this one", |it| it.live_hosts as u64),
    ("pomelorun_load_hosts", "Hosts whose load of upstreams is known here", |it| {
        it.load_hosts as u64
    }),
    ("pomelorun_directory_away", "1 while the directory is unavailable, otherwise 0", |it| {
        u64::from(it.directory_unavailable)
    }),
    (
        "pomelorun_directory_age_ms",
        "Time since this host's copy of the directory was last known to be complete, milliseconds",
        |it| it.directory_age.0,
    ),
];

type ReadLatency = fn(&EdgeStats) -> &LatencyHistogram;

const LATENCIES: [(&str, &str, ReadLatency); 2] = [
    ("pomelorun_open_seconds", "Time from a flow's opening packet to its next packet", |it| {
        &it.core.open_latency
    }),
    (
        "pomelorun_answer_seconds",
        "Time from a caller's request to its acknowledgement of the answer",
        |it| &it.core.response_latency,
    ),
];

/// The metric instruments of a host.
pub(crate) struct DirectMetrics {
    registry: Registry,
    /// Kept alive because it owns the instruments' callbacks.
    _provider: SdkMeterProvider,
}

impl DirectMetrics {
    /// Creates instruments that read the current values from `status`.
    pub(crate) fn new(status: &Arc<Status>) -> Result<DirectMetrics, MetricsError> {
        let (registry, provider) = meter_provider()?;
        let meter = provider.meter("pomelorun");
        for (name, description, read) in COUNTERS {
            let status = Arc::clone(status);
            meter
                .u64_observable_counter(name)
                .with_description(description)
                .with_callback(move |out| out.observe(read(&status.stats()), &[]))
                .build();
        }
        for (name, description, read) in GAUGES {
            let status = Arc::clone(status);
            meter
                .u64_observable_gauge(name)
                .with_description(description)
                .with_callback(move |out| out.observe(read(&status.stats()), &[]))
                .build();
        }
        for (name, description, read) in LATENCIES {
            let histogram = Histogram::new(name, description, read, Arc::clone(status))?;
            registry.register(Box::new(histogram)).map_err(MetricsError::new)?;
        }
        Ok(DirectMetrics { registry, _provider: provider })
    }

    /// Returns all metrics as Prometheus text.
    pub(crate) fn text(&self) -> Result<String, MetricsError> {
        prometheus_text(&self.registry)
    }
}

/// A Prometheus collector for a histogram kept in [`EdgeStats`]; opentelemetry has no observable
/// histogram.
struct Histogram {
    desc: Desc,
    read: ReadLatency,
    status: Arc<Status>,
}

impl Histogram {
    fn new(
        name: &str,
        description: &str,
        read: ReadLatency,
        status: Arc<Status>,
    ) -> Result<Histogram, MetricsError> {
        let desc = Desc::new(name.to_owned(), description.to_owned(), vec![], Default::default());
        Ok(Histogram { desc: desc.map_err(MetricsError::new)?, read, status })
    }
}

impl Collector for Histogram {
    fn desc(&self) -> Vec<&Desc> {
        vec![&self.desc]
    }

    fn collect(&self) -> Vec<proto::MetricFamily> {
        let stats = self.status.stats();
        let latency = (self.read)(&stats);
        let mut histogram = proto::Histogram::default();
        let mut buckets = Vec::with_capacity(BUCKET_BOUNDS_MS.len());
        let mut cumulative_count = 0;
        for (bound, count) in BUCKET_BOUNDS_MS.iter().zip(latency.counts) {
            cumulative_count += count;
            let mut bucket = proto::Bucket::default();
            bucket.set_upper_bound(*bound as f64 / 1_000.0);
            bucket.set_cumulative_count(cumulative_count);
            buckets.push(bucket);
        }
        histogram.set_bucket(buckets);
        histogram.set_sample_count(latency.counts.iter().sum());
        histogram.set_sample_sum(latency.sum_ms as f64 / 1_000.0);
        let mut metric = proto::Metric::default();
        metric.set_histogram(histogram);
        let mut family = proto::MetricFamily::default();
        family.set_name(self.desc.fq_name.clone());
        family.set_help(self.desc.help.clone());
        family.set_field_type(proto::MetricType::HISTOGRAM);
        family.mut_metric().push(metric);
        vec![family]
    }
}
