//! Metrics by opentelemetry, read as Prometheus text.

use opentelemetry::{
    KeyValue,
    metrics::{Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pomelorun_core::Outcomes;
use prometheus::{Encoder, Registry, TextEncoder};
use thiserror::Error;

use crate::report::{HostReport, SharedReport};

/// Why metrics cannot be set up or read.
#[derive(Debug, Error)]
#[error("metrics: {0}")]
pub struct MetricsError(String);

impl MetricsError {
    /// Keeps what another error says.
    pub(crate) fn new(e: impl std::fmt::Display) -> MetricsError {
        MetricsError(e.to_string())
    }
}

/// The instruments of a host.
pub struct Metrics {
    registry: Registry,
    /// Holds the instruments' callbacks.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Makes instruments that read the newest report.
    ///
    /// # Errors
    /// An exporter that cannot be registered.
    pub fn new(report: &SharedReport) -> Result<Metrics, MetricsError> {
        let (registry, provider) = meter_provider()?;
        let meter = provider.meter("pomelorun");
        add_counters(&meter, report);
        add_gauges(&meter, report);
        add_codes(&meter, report);
        add_services(&meter, report);
        Ok(Metrics { registry, _provider: provider })
    }

    /// All metrics as Prometheus text.
    ///
    /// # Errors
    /// Metrics that cannot be encoded.
    pub fn text(&self) -> Result<String, MetricsError> {
        prometheus_text(&self.registry)
    }
}

/// A registry and the provider whose instruments are read from it.
pub(crate) fn meter_provider() -> Result<(Registry, SdkMeterProvider), MetricsError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build()
        .map_err(MetricsError::new)?;
    Ok((registry, SdkMeterProvider::builder().with_reader(exporter).build()))
}

/// Everything in a registry as Prometheus text.
pub(crate) fn prometheus_text(registry: &Registry) -> Result<String, MetricsError> {
    let mut buf = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut buf).map_err(MetricsError::new)?;
    String::from_utf8(buf).map_err(MetricsError::new)
}

type Read = fn(&HostReport) -> u64;

fn add_counters(meter: &Meter, report: &SharedReport) {
    const COUNTERS: [(&str, &str, Read); 6] = [
        ("pomelorun_fabric_packets", "Packets received from the fabric", |it| it.fabric_packets),
        ("pomelorun_relayed_packets", "Packets handed to other hosts", |it| it.relayed_packets),
        ("pomelorun_upstream_packets", "Packets sent to upstreams", |it| it.upstream_packets),
        ("pomelorun_caller_packets", "Packets sent to callers", |it| it.caller_packets),
        ("pomelorun_control_bytes", "Control messages sent to other hosts", |it| it.control_bytes),
        ("pomelorun_config_bytes", "Bytes read from the config service", |it| it.config_bytes),
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

fn add_gauges(meter: &Meter, report: &SharedReport) {
    const GAUGES: [(&str, &str, Read); 5] = [
        ("pomelorun_flows", "Flows known here", |it| it.flows as u64),
        ("pomelorun_flow_bytes", "Bytes held by the flow table", |it| it.flow_bytes as u64),
        ("pomelorun_revision", "Revision in force", |it| it.revision),
        ("pomelorun_config_age_ms", "Time since the config service answered", |it| {
            it.config_age_ms
        }),
        ("pomelorun_leaving", "One while the host shuts down", |it| u64::from(it.leaving)),
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

fn add_codes(meter: &Meter, report: &SharedReport) {
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

fn add_services(meter: &Meter, report: &SharedReport) {
    const COUNTERS: [(&str, &str, ReadOutcome); Outcomes::LEN] = [
        ("pomelorun_flows_opened", "Flows that an upstream opened", |it| it.opened),
        ("pomelorun_flows_broken", "Flows lost that no operator took out", |it| it.broken),
        ("pomelorun_flows_given_up", "Flows given up with their zone or service", |it| it.given_up),
        ("pomelorun_requests_answered", "Requests answered in full", |it| it.answered),
        ("pomelorun_requests_in_time", "Requests answered within the bound", |it| it.in_time),
        ("pomelorun_requests_refused", "Requests and openings refused as not run", |it| it.refused),
        ("pomelorun_requests_unknown", "Requests ended with an unknown outcome", |it| it.unknown),
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
