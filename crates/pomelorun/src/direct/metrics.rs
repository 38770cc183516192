//! Metrics by opentelemetry, read as Prometheus text.

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

type Read = fn(&EdgeStats) -> u64;

/// Counters, with what each one counts. `docs/operators/metrics.md` says what to do when one rises.
const COUNTERS: [(&str, &str, Read); 17] = [
    ("pomelorun_packets_forwarded", "Packets sent on to upstreams", |it| it.decisions.forwarded),
    ("pomelorun_flows_opened", "Flows opened, copies not counted", |it| it.decisions.opened),
    ("pomelorun_flow_copies", "Opening packets sent to another upstream", |it| {
        it.decisions.retried_opens
    }),
    ("pomelorun_flow_resets", "Flows reset", |it| it.decisions.resets),
    ("pomelorun_packets_no_route", "Opening packets without a route", |it| it.decisions.no_route),
    ("pomelorun_packets_no_upstream", "Opening packets without an upstream", |it| {
        it.decisions.no_upstream
    }),
    ("pomelorun_packets_unknown_token", "Packets whose upstream nobody knows", |it| {
        it.decisions.unknown_token
    }),
    ("pomelorun_packets_malformed", "Datagrams that are no caller's packet", |it| it.malformed),
    ("pomelorun_packet_calls", "System calls that received or sent packets", |it| it.calls),
    ("pomelorun_packets_unsent", "Datagrams that the kernel did not take", |it| it.unsent),
    (
        "pomelorun_packets_held_lost",
        "Packets that came before the first listing and found no room",
        |it| it.held_lost,
    ),
    ("pomelorun_upstream_unreachable", "Upstreams found unreachable", |it| {
        it.decisions.unreachable
    }),
    ("pomelorun_upstream_answering", "Unreachable upstreams that answer again", |it| {
        it.decisions.recovered
    }),
    ("pomelorun_own_faults", "Upstreams kept since the own zone looked silent", |it| {
        it.decisions.local_faults
    }),
    (
        "pomelorun_upstream_ejected",
        "Times that an upstream was ejected for failing requests",
        |it| it.decisions.ejected,
    ),
    ("pomelorun_probes", "Probes of upstreams", |it| it.decisions.probes),
    ("pomelorun_log_lines_dropped", "Log lines that the reader did not take in time", |it| {
        it.lines_dropped
    }),
];

const GAUGES: [(&str, &str, Read); 4] = [
    ("pomelorun_flows", "Flows noted", |it| it.flows as u64),
    ("pomelorun_revision", "Revision in force", |it| it.revision),
    ("pomelorun_hosts_live", "Live hosts, this one included", |it| it.hosts as u64),
    ("pomelorun_directory_away", "One while the directory does not answer", |it| {
        u64::from(it.directory_away)
    }),
];

type ReadLatency = fn(&EdgeStats) -> &LatencyHistogram;

const LATENCIES: [(&str, &str, ReadLatency); 2] = [
    ("pomelorun_open_seconds", "Time from an opening packet to the flow's next one", |it| {
        &it.decisions.open_latency
    }),
    (
        "pomelorun_answer_seconds",
        "Time from a caller's data to its acknowledgement of the answer",
        |it| &it.decisions.response_latency,
    ),
];

/// The instruments of a host.
pub(crate) struct DirectMetrics {
    registry: Registry,
    /// Holds the instruments' callbacks.
    _provider: SdkMeterProvider,
}

impl DirectMetrics {
    /// Makes instruments that read the newest counts.
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

    /// All metrics as Prometheus text.
    pub(crate) fn text(&self) -> Result<String, MetricsError> {
        prometheus_text(&self.registry)
    }
}

/// A histogram that the decisions keep; opentelemetry has none that is only observed.
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
        let mut sum = 0;
        for (bound, count) in BUCKET_BOUNDS_MS.iter().zip(latency.counts) {
            sum += count;
            let mut bucket = proto::Bucket::default();
            bucket.set_upper_bound(*bound as f64 / 1_000.0);
            bucket.set_cumulative_count(sum);
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
