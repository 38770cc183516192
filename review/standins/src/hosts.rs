//! Daemons: started with the command of the deploy file, as separate processes.

use std::{
    fs::File,
    net::{Ipv4Addr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::record::Record;

/// What daemons of one deployment share.
pub struct Deployment {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub ports: Ports,
    pub hosts: Vec<HostSpec>,
    pub heartbeat_ms: u64,
    pub bounds: Vec<(&'static str, String)>,
}

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub data: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
    pub store: u16,
}

#[derive(Clone)]
pub struct HostSpec {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    /// Address of the store for this machine.
    pub store_ip: Ipv4Addr,
    /// Seeds of this machine, if they are not the deployment's.
    pub seeds: Option<Vec<Ipv4Addr>>,
}

impl Ports {
    /// Finds ports that are free on the loopback addresses.
    pub fn free() -> Ports {
        let mut found = Vec::new();
        let mut kept = Vec::new();
        while found.len() < 5 {
            let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
            let port = tcp.local_addr().unwrap().port();
            let Ok(udp) = UdpSocket::bind((Ipv4Addr::LOCALHOST, port)) else { continue };
            found.push(port);
            kept.push((tcp, udp));
        }
        Ports {
            data: found[0],
            ready: found[1],
            control: found[2],
            internal: found[3],
            store: found[4],
        }
    }
}

/// A daemon's process.
pub struct Host {
    pub spec: HostSpec,
    child: Child,
}

impl Deployment {
    /// Returns the command of the deploy file.
    fn command(&self) -> PathBuf {
        let text =
            std::fs::read_to_string(self.root.join("deploy/system.toml")).expect("deploy file");
        let line = text.lines().find_map(|it| it.strip_prefix("run = ")).expect("a command");
        self.root.join(line.trim().trim_matches('"'))
    }

    /// Fills in the template of the settings.
    fn settings(&self, spec: &HostSpec) -> String {
        let ports = self.ports;
        let of_all = || self.hosts.iter().take(3).map(|it| it.ip).collect();
        let seeds: Vec<Ipv4Addr> = spec.seeds.clone().unwrap_or_else(of_all);
        let seeds: Vec<String> =
            seeds.iter().map(|it| format!("\"{it}:{}\"", ports.control)).collect();
        let mut values = vec![
            ("node_name", format!("\"{}\"", spec.name)),
            ("zone", format!("\"{}\"", spec.zone)),
            ("listen.data_addr", format!("\"{}:{}\"", spec.ip, ports.data)),
            ("listen.ready", format!("\"{}:{}\"", spec.ip, ports.ready)),
            ("listen.control", format!("\"{}:{}\"", spec.ip, ports.control)),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("internal_ports", format!("[{},{}]", ports.internal, ports.internal)),
            ("platform.address", format!("\"{}:{}\"", spec.store_ip, ports.store)),
            ("heartbeat_ms", self.heartbeat_ms.to_string()),
        ];
        values.extend(self.bounds.iter().cloned());
        let path = self.root.join("platform/settings.json.in");
        let mut text = std::fs::read_to_string(path).expect("template");
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}|json}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        text
    }

    pub fn start(&self, spec: &HostSpec, record: &Record) -> Host {
        let path = self.dir.join(format!("{}.json", spec.name));
        std::fs::write(&path, self.settings(spec)).expect("write settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", spec.name)))
            .expect("log");
        let child = Command::new(self.command())
            .current_dir(&self.root)
            .env_clear()
            .env("POMELORUN_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("start a daemon");
        record.line(&format!("daemon {} starts at {} in {}", spec.name, spec.ip, spec.zone));
        Host { spec: spec.clone(), child }
    }
}

impl Host {
    /// Sends a signal by the process's own number.
    pub fn signal(&self, name: &str) {
        let _ =
            Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|it| it.to_string())
    }

    /// Waits until the process ends, and kills it after `grace`.
    pub fn wait(&mut self, grace: Duration) {
        let end = std::time::Instant::now() + grace;
        while std::time::Instant::now() < end {
            if self.has_ended().is_some() {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
