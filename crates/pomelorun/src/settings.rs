//! Settings file of the daemon.

use std::{fs, net::SocketAddrV4, path::Path};

use pomelorun_config::{Fault, Faults, StrictError, from_json_strict};
use pomelorun_core::CoreSettings;
use pomelorun_wire::Code;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Format of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text if the output is a terminal, JSON otherwise.
    #[default]
    Auto,
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Text,
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct LogSettings {
    /// Minimum level: `trace`, `debug`, `info`, `warn`, `error` or `critical`.
    pub level: String,
    /// Format of the lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { level: "info".to_owned(), format: LogFormat::Auto }
    }
}

/// Validated settings of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Settings {
    /// Name of this host in the host list.
    pub host: String,
    /// Name of this host's availability zone.
    pub zone: String,
    /// Address of the packet socket.
    pub packets: SocketAddrV4,
    /// Address of the configuration stream for other hosts.
    pub peers: SocketAddrV4,
    /// Address of the admin service, a loopback address by default.
    pub admin: SocketAddrV4,
    /// Address of the fabric, which takes packets for callers.
    pub fabric: SocketAddrV4,
    /// URL of the configuration service.
    pub config_service: String,
    /// URL of the host list.
    pub host_list: String,
    /// Interval at which the host list is read, in milliseconds.
    pub host_list_every_ms: u64,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    pub shutdown_ms: u64,
    /// Settings of the log.
    pub log: LogSettings,
    /// Settings of the decision core.
    pub bounds: CoreSettings,
}

/// Fields of the file; required fields are optional here so that all missing ones are reported.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
struct SettingsFile {
    host: Option<String>,
    zone: Option<String>,
    packets: Option<SocketAddrV4>,
    peers: Option<SocketAddrV4>,
    admin: Option<SocketAddrV4>,
    fabric: Option<SocketAddrV4>,
    config_service: Option<String>,
    host_list: Option<String>,
    host_list_every_ms: Option<u64>,
    shutdown_ms: Option<u64>,
    log: LogSettings,
    bounds: CoreSettings,
}

const DEFAULT_ADMIN: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 9_090);
/// Default port of the configuration stream, at the IP address of the packet socket.
const DEFAULT_PEERS_PORT: u16 = 7_090;
const DEFAULT_HOST_LIST_EVERY_MS: u64 = 1_000;
const DEFAULT_SHUTDOWN_MS: u64 = 10_000;

/// All faults of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct SettingsError(pub Faults);

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Returns all faults of the file, each with its path and a numbered code.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let (file_name, text) = read_file(path)?;
        Settings::parse(&file_name, &text)
    }

    /// Parses and validates the text of a settings file; faults name it as `file_name`.
    ///
    /// # Errors
    /// Returns the same errors as [`Settings::load`].
    pub fn parse(file_name: &str, text: &str) -> Result<Settings, SettingsError> {
        let mut faults = Faults::default();
        let file: SettingsFile = parse_json(file_name, text)?;
        let mut validator = Validator { file_name, faults: &mut faults };
        let ip = file.packets.map_or(*DEFAULT_ADMIN.ip(), |it| *it.ip());
        let settings = Settings {
            host: validator.name("host", file.host),
            zone: validator.name("zone", file.zone),
            packets: validator.required("packets", file.packets, DEFAULT_ADMIN),
            peers: file.peers.unwrap_or(SocketAddrV4::new(ip, DEFAULT_PEERS_PORT)),
            admin: file.admin.unwrap_or(DEFAULT_ADMIN),
            fabric: validator.required("fabric", file.fabric, DEFAULT_ADMIN),
            config_service: validator.url("config_service", file.config_service),
            host_list: validator.url("host_list", file.host_list),
            host_list_every_ms: file.host_list_every_ms.unwrap_or(DEFAULT_HOST_LIST_EVERY_MS),
            shutdown_ms: file.shutdown_ms.unwrap_or(DEFAULT_SHUTDOWN_MS),
            log: file.log,
            bounds: file.bounds,
        };
        validator.check_ranges(&settings);
        faults.into_result(settings).map_err(SettingsError)
    }
}

/// Reads a settings file; returns its name for use in faults, and its text.
pub(crate) fn read_file(path: &Path) -> Result<(String, String), SettingsError> {
    let file_name = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok((file_name, text)),
        Err(e) => {
            let fault = Fault::new(Code::CONFIG_READ, &file_name, "", e.to_string());
            Err(SettingsError(Faults(vec![fault])))
        }
    }
}

/// Parses JSON strictly: unknown fields and wrong types are faults.
pub(crate) fn parse_json<T: DeserializeOwned>(
    file_name: &str,
    text: &str,
) -> Result<T, SettingsError> {
    from_json_strict(text).map_err(|errors| {
        let fault = |e: StrictError| Fault::new(e.code, file_name, &e.path, e.message);
        SettingsError(Faults(errors.into_iter().map(fault).collect()))
    })
}

struct Validator<'a> {
    file_name: &'a str,
    faults: &'a mut Faults,
}

impl Validator<'_> {
    fn add_fault(&mut self, path: &str, message: String) {
        self.faults.push(Fault::new(Code::SETTINGS_INVALID, self.file_name, path, message));
    }

    fn required<T>(&mut self, path: &str, value: Option<T>, fallback: T) -> T {
        if value.is_none() {
            self.add_fault(path, "is required".to_owned());
        }
        value.unwrap_or(fallback)
    }

    fn name(&mut self, path: &str, value: Option<String>) -> String {
        let value = self.required(path, value, "-".to_owned());
        if value.trim().is_empty() {
            self.add_fault(path, "is empty".to_owned());
        }
        value
    }

    fn url(&mut self, path: &str, value: Option<String>) -> String {
        let value = self.required(path, value, "http://".to_owned());
        if !value.starts_with("http://") {
            self.add_fault(path, format!("`{value}` does not start with `http://`"));
        }
        value.trim_end_matches('/').to_owned()
    }

    fn check_ranges(&mut self, settings: &Settings) {
        let bounds = &settings.bounds;
        let ranges = [
            ("host_list_every_ms", settings.host_list_every_ms, 100, 600_000),
            ("shutdown_ms", settings.shutdown_ms, 100, 600_000),
            ("bounds.probe_period_ms", bounds.probe_period_ms.0, 20, 60_000),
            ("bounds.suspect_ms", bounds.suspect_timeout_ms.0, 20, 60_000),
            ("bounds.settle_ms", bounds.sync_timeout_ms.0, 20, 60_000),
            ("bounds.wake_gap_ms", bounds.pause_threshold_ms.0, 100, 60_000),
            ("bounds.record_ack_ms", bounds.record_ack_timeout_ms.0, 1, 10_000),
            ("bounds.take_over_ms", bounds.takeover_timeout_ms.0, 10, 60_000),
            ("bounds.queue_len", bounds.queue_len as u64, 0, 100_000),
            ("bounds.history", bounds.snapshot_history as u64, 1, 1_000),
            ("bounds.probe_candidates", bounds.max_probed_hosts as u64, 1, 1_000),
            ("bounds.probe_upstreams", bounds.max_probed_upstreams as u64, 1, 1_000),
            ("bounds.come_back_ms", bounds.retry_after_ms.0, 1, 60_000),
            ("bounds.record_keep_ms", bounds.record_ttl_ms.0, 1_000, 3_600_000),
            ("bounds.packet_life_ms", bounds.max_packet_lifetime_ms.0, 1, 60_000),
            ("bounds.probe_upstreams", bounds.max_probed_upstreams as u64, 1, 1_000),
            ("bounds.hand_over_flows", bounds.handover_flows_per_tick as u64, 0, 10_000),
            ("bounds.load_bound_percent", u64::from(bounds.load_bound_percent), 101, 1_000),
            ("bounds.retry_percent", u64::from(bounds.retry_percent), 0, 10),
        ];
        for (path, value, min, max) in ranges {
            if value < min || value > max {
                self.add_fault(path, format!("{value} is not in {min}..={max}"));
            }
        }
        const LEVELS: [&str; 6] = ["trace", "debug", "info", "warn", "error", "critical"];
        if !LEVELS.contains(&settings.log.level.as_str()) {
            let message = format!("`{}` is not one of {}", settings.log.level, LEVELS.join(", "));
            self.add_fault("log.level", message);
        }
    }
}
