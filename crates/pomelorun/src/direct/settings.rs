//! Settings of a daemon in direct server return.

use std::{
    net::SocketAddrV4,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use pomelorun_config::{Fault, Faults};
use pomelorun_core::{
    CoreSettings, Millis,
    direct::{ColdLimit, DirectSettings, Disabled, Fleet, host_at},
};
use pomelorun_wire::{Code, HostId, MemberInfo, MemberState, ZoneId};
use serde::{Deserialize, Serialize};

use crate::settings::{LogSettings, SettingsError, parse_json, read_file};

/// Limits and intervals that the platform guarantees or requires. The platform may give any of them as a
/// fraction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DirectBounds {
    /// Interval at which an upstream announces itself to the directory, in milliseconds.
    #[serde(rename = "announce_every_ms")]
    pub announce_interval_ms: f64,
    /// Factor by which the rate that a service configures for a cold upstream is multiplied to get
    /// the limit on new flows.
    #[serde(rename = "cold_over")]
    pub cold_rate_factor: f64,
    /// New flows per second that a cold upstream may get on top of the multiplied rate.
    pub cold_slack: f64,
    /// Maximum lifetime of a flow, in seconds.
    pub flow_lifetime_s: f64,
    /// Time from the signal to stop until the process is killed, in seconds.
    pub grace_s: f64,
    /// Memory limit of the process, in mebibytes.
    pub memory_mb: f64,
}

/// Contents of the settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DirectSettingsFile {
    /// Name of this host.
    pub host: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Address of the packet socket.
    pub packets: SocketAddrV4,
    /// Address of the HTTP server, where the fabric polls readiness.
    pub ready: SocketAddrV4,
    /// Address of this host in the seeds of other hosts.
    pub control: Option<SocketAddrV4>,
    /// Control addresses of some hosts, through which the others are found.
    pub seeds: Vec<SocketAddrV4>,
    /// First and last port of the range for traffic between hosts; the first one is used.
    pub peer_ports: [u16; 2],
    /// Address of the directory.
    pub directory: SocketAddrV4,
    /// Bounds of the platform.
    pub bounds: DirectBounds,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// The flow table may use the memory limit divided by this.
const FLOW_MEMORY_DIVISOR: f64 = 4.0;
/// Bytes per flow, including the overhead of the table.
const BYTES_PER_FLOW: f64 = 128.0;
/// Bytes of a mebibyte.
const MEBIBYTE: f64 = 1_048_576.0;
/// Interval of the membership probes. The loss of a reader is noticed earlier, by its feed.
const PROBE_PERIOD: Millis = Millis(500);
/// Time within which the directory lists an upstream again whose announcement lapsed while the
/// directory was unavailable.
const LAPSE_GRACE: Millis = Millis(2_000);
/// Maximum age of the directory's last response at which a packet to an address without a route is
/// rejected instead of ignored. Longer than a watch may take, including its timeout.
const DIRECTORY_MAX_AGE: Millis = Millis(4_500);

impl DirectSettingsFile {
    /// Loads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file, each with its path and a result code.
    pub fn load(path: &Path) -> Result<DirectSettingsFile, SettingsError> {
        let (source_name, text) = read_file(path)?;
        DirectSettingsFile::parse(&source_name, &text)
    }

    /// Parses and validates the text of a settings file, named `source_name` in faults.
    ///
    /// # Errors
    ///
    /// See [`DirectSettingsFile::load`].
    pub fn parse(source_name: &str, text: &str) -> Result<DirectSettingsFile, SettingsError> {
        let mut faults = Faults::default();
        let file: DirectSettingsFile = parse_json(source_name, text)?;
        let mut fault = |path: &str, message: String| {
            faults.push(Fault::new(Code::SETTINGS_INVALID, source_name, path, message));
        };
        for (path, name) in [("host", &file.host), ("zone", &file.zone)] {
            if name.trim().is_empty() {
                fault(path, "is empty".to_owned());
            }
        }
        let [first, last] = file.peer_ports;
        if first > last {
            fault("peer_ports", format!("first port {first} is greater than last port {last}"));
        }
        let bounds = &file.bounds;
        let ranges = [
            ("bounds.announce_every_ms", bounds.announce_interval_ms, 10.0, 600_000.0),
            ("bounds.cold_over", bounds.cold_rate_factor, 0.0, 1_000.0),
            ("bounds.cold_slack", bounds.cold_slack, 0.0, 1_000_000.0),
            ("bounds.flow_lifetime_s", bounds.flow_lifetime_s, 1.0, 604_800.0),
            ("bounds.grace_s", bounds.grace_s, 0.1, 3_600.0),
            ("bounds.memory_mb", bounds.memory_mb, 16.0, 1_048_576.0),
        ];
        for (path, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                fault(path, format!("{value} is not in {min}..={max}"));
            }
        }
        faults.into_result(file).map_err(SettingsError)
    }

    /// Returns these settings with those from `new` that can change at run time.
    pub(crate) fn with_reloadable(&self, new: DirectSettingsFile) -> DirectSettingsFile {
        let log = LogSettings { format: self.log.format, ..new.log };
        DirectSettingsFile {
            seeds: new.seeds,
            directory: new.directory,
            bounds: new.bounds,
            log,
            ..self.clone()
        }
    }

    /// Returns the names of changed fields that need a restart.
    pub(crate) fn restart_only_changes(&self, new: &DirectSettingsFile) -> Vec<&'static str> {
        let fields = [
            ("host", self.host != new.host),
            ("zone", self.zone != new.zone),
            ("packets", self.packets != new.packets),
            ("ready", self.ready != new.ready),
            ("control", self.control != new.control),
            ("peer_ports", self.peer_ports != new.peer_ports),
            ("log.format", self.log.format != new.log.format),
        ];
        fields.iter().filter(|it| it.1).map(|it| it.0).collect()
    }

    /// Returns the seed hosts, through which the other hosts are found.
    pub(crate) fn seed_hosts(&self) -> Vec<HostId> {
        self.seeds.iter().map(|it| host_at(*it.ip())).collect()
    }

    /// Returns the address for datagrams and feeds between hosts.
    pub(crate) fn peer_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(*self.packets.ip(), self.peer_ports[0])
    }

    /// Creates the membership state, with the seeds as the only known hosts.
    pub(crate) fn new_fleet(&self, now: Millis) -> Fleet {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let local = MemberInfo {
            host: host_at(*self.packets.ip()),
            zone: ZoneId::from_name(&self.zone),
            incarnation,
            state: MemberState::Live,
        };
        let cfg = CoreSettings { probe_period_ms: PROBE_PERIOD, ..CoreSettings::default() };
        Fleet::new(now, local, &self.seed_hosts(), cfg, local.host.0 ^ incarnation)
    }

    /// Returns the settings of the decision core.
    pub(crate) fn direct_settings(&self) -> DirectSettings {
        let bounds = &self.bounds;
        let max_flows = bounds.memory_mb * MEBIBYTE / FLOW_MEMORY_DIVISOR / BYTES_PER_FLOW;
        DirectSettings {
            host: host_at(*self.packets.ip()),
            zone: ZoneId::from_name(&self.zone),
            max_flows: max_flows as usize,
            cold: ColdLimit { rate_factor: bounds.cold_rate_factor, slack: bounds.cold_slack },
            announce_interval: Millis(bounds.announce_interval_ms.ceil() as u64),
            lapse_grace: LAPSE_GRACE,
            flow_lifetime: Millis((bounds.flow_lifetime_s * 1_000.0) as u64),
            directory_max_age: DIRECTORY_MAX_AGE,
            disabled: Disabled::default(),
        }
    }
}
