//! OpenTelemetry metrics of a host, exported as Prometheus text.

use opentelemetry::{
    KeyValue,
    metrics::{Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pomelorun_core::Outcomes;
use prometheus::{Encoder, Registry, TextEncoder};
use thiserror::Error;

use crate::report::{HostReport, SharedReport};

/// Error of setting up or exporting metrics.
#[derive(Debug, Error)]
#[error("metrics: {0}")]
pub struct MetricsError(String);

impl MetricsError {
    /// Creates an error with the message of another error.
    pub(crate) fn new(e: impl std::fmt::Display) -> MetricsError {
        MetricsError(e.to_string())
    }
}

/// Metrics of a host.
pub struct Metrics {
    registry: Registry,
    /// Keeps the callbacks of the instruments alive.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates instruments that read from `report`.
    ///
    /// # Errors
    /// Returns an error if the exporter cannot be registered.
    pub fn new(report: &SharedReport) -> Result<Metrics, MetricsError> {
        let (registry, provider) = meter_provider()?;
        let meter = provider.meter("pomelorun");
        register_counters(&meter, report);
        register_gauges(&meter, report);
        register_codes(&meter, report);
        register_services(&meter, report);
        Ok(Metrics { registry, _provider: provider })
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Returns an error if the metrics cannot be encoded.
    pub fn text(&self) -> Result<String, MetricsError> {
        prometheus_text(&self.registry)
    }
}

/// Creates a meter provider whose instruments are exported through the returned registry.
pub(crate) fn meter_provider() -> Result<(Registry, SdkMeterProvider), MetricsError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build()
        .map_err(MetricsError::new)?;
    Ok((registry, SdkMeterProvider::builder().with_reader(exporter).build()))
}

/// Returns the metrics of a registry in the Prometheus text format.
pub(crate) fn prometheus_text(registry: &Registry) -> Result<String, MetricsError> {
    let mut buf = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut buf).map_err(MetricsError::new)?;
    String::from_utf8(buf).map_err(MetricsError::new)
}

type ReadField = fn(&HostReport) -> u64;

fn register_counters(meter: &Meter, report: &SharedReport) {
    const COUNTERS: [(&str, &str, ReadField); 6] = [
        ("pomelorun_fabric_packets", "Packets received from the fabric", |it| it.fabric_packets),
        ("pomelorun_relayed_packets", "Packets relayed to other hosts", |it| it.relayed_packets),
        ("pomelorun_upstream_packets", "Packets sent to upstreams", |it| it.upstream_packets),
        ("pomelorun_caller_packets", "Packets sent to callers", |it| it.caller_packets),
        ("pomelorun_control_bytes", "Bytes of control messages sent to other hosts", |it| {
            it.control_bytes
        }),
        ("pomelorun_config_bytes", "Bytes of configurations read", |it| it.config_bytes),
    ];
    for (name, description, read) in COUNTERS {
        let report = report.clone();
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |out| out.observe(read(&report.lock()), &[]))
            .build();
    }
}

fn register_gauges(meter: &Meter, report: &SharedReport) {
    const GAUGES: [(&str, &str, ReadField); 5] = [
        ("pomelorun_flows", "Flows in the flow table", |it| it.flows as u64),
        ("pomelorun_flow_bytes", "Memory of the flow table in bytes", |it| it.flow_bytes as u64),
        ("pomelorun_revision", "Active configuration revision", |it| it.revision),
        ("pomelorun_config_age_ms", "Time since the configuration service last responded", |it| {
            it.config_age_ms
        }),
        ("pomelorun_leaving", "1 while the host is shutting down", |it| u64::from(it.leaving)),
    ];
    for (name, description, read) in GAUGES {
        let report = report.clone();
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |out| out.observe(read(&report.lock()), &[]))
            .build();
    }
}

fn register_codes(meter: &Meter, report: &SharedReport) {
    let report = report.clone();
    meter
        .u64_observable_counter("pomelorun_results")
        .with_description("Occurrences of numbered codes")
        .with_callback(move |out| {
            for it in &report.lock().codes {
                let labels = [
                    KeyValue::new("code", it.code.clone()),
                    KeyValue::new("name", it.name.clone()),
                ];
                out.observe(it.count, &labels);
            }
        })
        .build();
}

type ReadOutcome = fn(&Outcomes) -> u64;

fn register_services(meter: &Meter, report: &SharedReport) {
    const COUNTERS: [(&str, &str, ReadOutcome); Outcomes::LEN] = [
        ("pomelorun_flows_opened", "Flows opened by an upstream", |it| it.opened),
        ("pomelorun_flows_broken", "Flows lost without an operator's request", |it| it.broken),
        (
            "pomelorun_flows_given_up",
            "Flows abandoned because their zone or service was withdrawn",
            |it| it.given_up,
        ),
        ("pomelorun_requests_answered", "Requests answered in full", |it| it.answered),
        ("pomelorun_requests_in_time", "Requests answered within the service's time bound", |it| {
            it.in_time
        }),
        (
            "pomelorun_requests_refused",
            "Requests and flow openings refused without being run",
            |it| it.refused,
        ),
        ("pomelorun_requests_unknown", "Requests that ended with an unknown outcome", |it| {
            it.unknown
        }),
    ];
    for (name, description, read) in COUNTERS {
        let report = report.clone();
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |out| {
                for it in &report.lock().services {
                    out.observe(read(&it.outcomes), &[KeyValue::new("service", it.name.clone())]);
                }
            })
            .build();
    }
}
