//! Settings of a daemon in direct return.

use std::{
    net::SocketAddrV4,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use pomelorun_config::{Fault, Faults};
use pomelorun_core::{
    CoreSettings, Millis,
    direct::{ColdLimit, DirectSettings, Fleet, host_at},
};
use pomelorun_wire::{Code, HostId, MemberInfo, MemberState, ZoneId};
use serde::{Deserialize, Serialize};

use crate::settings::{LogSettings, SettingsError, parse_json, read_file};

/// Bounds that the platform promises or asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DirectBounds {
    /// Time between two words of an upstream to the directory, milliseconds.
    #[serde(rename = "announce_every_ms")]
    pub announce_interval_ms: u64,
    /// Factor on the requests a second that a cold upstream bears.
    pub cold_over: f64,
    /// Requests a second that a cold upstream may get on top.
    pub cold_slack: f64,
    /// Longest life of a flow, seconds.
    pub flow_lifetime_s: u64,
    /// Time from the signal to stop until the process is ended by force, seconds.
    pub grace_s: f64,
    /// Memory that the process may use, megabytes.
    pub memory_mb: u64,
}

/// The settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DirectSettingsFile {
    /// Name of this host.
    pub host: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Address of the packet socket.
    pub packets: SocketAddrV4,
    /// Address that tells the fabric whether to send packets here.
    pub ready: SocketAddrV4,
    /// Address at which other hosts first ask for the fleet.
    pub control: Option<SocketAddrV4>,
    /// Addresses of that kind of some hosts.
    pub seeds: Vec<SocketAddrV4>,
    /// First and last port for traffic between hosts.
    pub peer_ports: [u16; 2],
    /// Address of the directory.
    pub directory: SocketAddrV4,
    /// Bounds of the platform.
    pub bounds: DirectBounds,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Share of the memory that notes of flows may use.
const FLOWS_SHARE: u64 = 4;
/// Bytes of one noted flow with its share of the table.
const FLOW_BYTES: u64 = 128;
/// Time between two probes of another host: a lost reader is noticed by its silent stream before.
const PROBE_PERIOD: Millis = Millis(500);
/// Time that the directory needs to list an upstream again that lapsed while it was away.
const LAPSE_GRACE: Millis = Millis(2_000);
/// Age of the directory's answer up to which an unknown address is refused rather than ignored:
/// a watch that waits and its time limit.
const FRESH: Millis = Millis(4_500);

impl DirectSettingsFile {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Every fault of the file, each with its path and a numbered code.
    pub fn load(path: &Path) -> Result<DirectSettingsFile, SettingsError> {
        let (shown, text) = read_file(path)?;
        DirectSettingsFile::parse(&shown, &text)
    }

    /// Checks the text of a settings file; `shown` names it in faults.
    ///
    /// # Errors
    /// As [`DirectSettingsFile::load`].
    pub fn parse(shown: &str, text: &str) -> Result<DirectSettingsFile, SettingsError> {
        let mut faults = Faults::default();
        let file: DirectSettingsFile = parse_json(shown, text)?;
        let mut fault = |path: &str, message: String| {
            faults.push(Fault::new(Code::SETTINGS_INVALID, shown, path, message));
        };
        for (path, name) in [("host", &file.host), ("zone", &file.zone)] {
            if name.trim().is_empty() {
                fault(path, "is empty".to_owned());
            }
        }
        let [first, last] = file.peer_ports;
        if first > last {
            fault("peer_ports", format!("{first} is above {last}"));
        }
        let bounds = &file.bounds;
        let ranges = [
            ("bounds.announce_every_ms", bounds.announce_interval_ms as f64, 10.0, 600_000.0),
            ("bounds.cold_over", bounds.cold_over, 0.0, 1_000.0),
            ("bounds.cold_slack", bounds.cold_slack, 0.0, 1_000_000.0),
            ("bounds.flow_lifetime_s", bounds.flow_lifetime_s as f64, 1.0, 604_800.0),
            ("bounds.grace_s", bounds.grace_s, 0.1, 3_600.0),
            ("bounds.memory_mb", bounds.memory_mb as f64, 16.0, 1_048_576.0),
        ];
        for (path, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                fault(path, format!("{value} is not in {least}..={most}"));
            }
        }
        faults.into_result(file).map_err(SettingsError)
    }

    /// These settings with what a running process can take from `new`.
    pub(crate) fn with_changes(&self, new: DirectSettingsFile) -> DirectSettingsFile {
        let log = LogSettings { format: self.log.format, ..new.log };
        DirectSettingsFile {
            seeds: new.seeds,
            directory: new.directory,
            bounds: new.bounds,
            log,
            ..self.clone()
        }
    }

    /// Names the fields that differ and cannot change while the process runs.
    pub(crate) fn fixed_changes(&self, new: &DirectSettingsFile) -> Vec<&'static str> {
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

    /// Hosts that may know the others.
    pub(crate) fn seed_hosts(&self) -> Vec<HostId> {
        self.seeds.iter().map(|it| host_at(*it.ip())).collect()
    }

    /// Where other hosts reach this one, by datagram and by stream.
    pub(crate) fn peers(&self) -> SocketAddrV4 {
        SocketAddrV4::new(*self.packets.ip(), self.peer_ports[0])
    }

    /// The other hosts, of which only the seeds are known yet.
    pub(crate) fn fleet(&self, now: Millis) -> Fleet {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        let me = MemberInfo {
            host: host_at(*self.packets.ip()),
            zone: ZoneId::from_name(&self.zone),
            incarnation,
            state: MemberState::Live,
        };
        let cfg = CoreSettings { probe_period_ms: PROBE_PERIOD, ..CoreSettings::default() };
        Fleet::new(now, me, &self.seed_hosts(), cfg, me.host.0 ^ incarnation)
    }

    /// What the decisions need of the settings.
    pub(crate) fn decisions(&self) -> DirectSettings {
        let bounds = &self.bounds;
        let most = bounds.memory_mb * (1 << 20) / FLOWS_SHARE / FLOW_BYTES;
        DirectSettings {
            host: host_at(*self.packets.ip()),
            zone: ZoneId::from_name(&self.zone),
            max_flows: usize::try_from(most).unwrap_or(usize::MAX),
            cold: ColdLimit { rate_factor: bounds.cold_over, slack: bounds.cold_slack },
            announce_interval: Millis(bounds.announce_interval_ms),
            lapse_grace: LAPSE_GRACE,
            flow_lifetime: Millis(bounds.flow_lifetime_s * 1_000),
            directory_max_age: FRESH,
        }
    }
}
