//! Starts the project's daemons with the command and the settings template of the deploy file.

use std::{
    fs,
    io::{Error, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{record::Record, router::Router};

/// Bounds of a small deployment, as the pages give them.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const COLD_OVER: f64 = 1.5;
pub const COLD_SLACK: f64 = 5.0;
pub const FLOW_LIFETIME: Duration = Duration::from_secs(60);
const GRACE_S: u64 = 6;
const MEMORY_MB: u64 = 260;

/// Ports that are the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub data: u16,
    ready: u16,
    control: u16,
    internal: [u16; 2],
    pub store: u16,
    pub endpoint: u16,
}

pub struct Daemon {
    pub name: String,
    zone: &'static str,
    ip: Ipv4Addr,
    seeds: Vec<u8>,
    store: SocketAddrV4,
    child: Mutex<Option<Child>>,
    settings: PathBuf,
}

pub struct Platform {
    pub ports: Ports,
    pub record: Arc<Record>,
    pub router: Arc<Router>,
    daemons: Mutex<Vec<Arc<Daemon>>>,
    temp: PathBuf,
    net: [u8; 2],
    run: Vec<String>,
    template: String,
}

fn other(text: String) -> Error {
    Error::other(text)
}

/// Returns the text of a key of the deploy file.
fn deploy_key(text: &str, key: &str) -> Option<String> {
    let mut lines = text.lines().filter_map(|it| it.split_once('='));
    let (_, value) = lines.find(|it| it.0.trim() == key)?;
    Some(value.trim().trim_matches('"').to_owned())
}

/// Notes a process that was started, for the script that ends what a program that is cut off has left.
fn note_process(id: u32) -> std::io::Result<()> {
    let Some(path) = std::env::var_os("PIDS") else { return Ok(()) };
    let mut file = fs::File::options().append(true).open(path)?;
    writeln!(file, "{id}")
}

impl Platform {
    /// Chooses free addresses and ports below 127.0.0.0/8 and reads the deploy file.
    pub fn new(record: Arc<Record>) -> std::io::Result<Arc<Platform>> {
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let run = deploy_key(&deploy, "run").ok_or_else(|| other("no `run`".to_owned()))?;
        let template =
            deploy_key(&deploy, "template").ok_or_else(|| other("no template".to_owned()))?;
        let run: Vec<String> = run.split(' ').map(str::to_owned).collect();
        if !Path::new(&run[0]).exists() {
            return Err(other(format!("{} is missing", run[0])));
        }
        let pid = std::process::id();
        let temp = std::env::temp_dir().join(format!("pomelorun-review-2-{pid}"));
        fs::create_dir_all(&temp)?;
        let net = [64 + (pid % 128) as u8, (pid / 128 % 250) as u8];
        let mut free = Vec::new();
        let mut held: Vec<(TcpListener, UdpSocket)> = Vec::new();
        while free.len() < 8 {
            let tcp = TcpListener::bind("127.0.0.1:0")?;
            let port = tcp.local_addr()?.port();
            let Ok(udp) = UdpSocket::bind(("127.0.0.1", port)) else { continue };
            free.push(port);
            held.push((tcp, udp));
        }
        let ports = Ports {
            data: free[0],
            ready: free[1],
            control: free[2],
            internal: [free[3], free[3].saturating_add(15)],
            store: free[4],
            endpoint: free[5],
        };
        Ok(Arc::new(Platform {
            ports,
            record,
            router: Router::new(),
            daemons: Mutex::default(),
            temp,
            net,
            run,
            template: fs::read_to_string(template)?,
        }))
    }

    /// Returns a loopback address of this run.
    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], last)
    }

    pub fn store_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(1), self.ports.store)
    }

    /// Returns the address of the store for daemons that have paths of their own.
    pub fn far_store_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(3), self.ports.store)
    }

    /// Adds a machine and starts its daemon, as [`Platform::add_at`] with the usual store.
    pub fn add(
        self: &Arc<Platform>,
        name: &str,
        zone: &'static str,
        last: u8,
        seeds: &[u8],
    ) -> std::io::Result<Arc<Daemon>> {
        self.add_at(name, zone, last, seeds, self.store_address())
    }

    /// Adds a machine and starts its daemon. `seeds` are the last bytes of the seeds' addresses.
    pub fn add_at(
        self: &Arc<Platform>,
        name: &str,
        zone: &'static str,
        last: u8,
        seeds: &[u8],
        store: SocketAddrV4,
    ) -> std::io::Result<Arc<Daemon>> {
        let ip = self.ip(last);
        let it = Arc::new(Daemon {
            name: name.to_owned(),
            zone,
            ip,
            seeds: seeds.to_vec(),
            store,
            child: Mutex::new(None),
            settings: self.temp.join(format!("{name}.json")),
        });
        self.change_settings(&it, "60")?;
        self.daemons.lock().unwrap().push(Arc::clone(&it));
        self.start(&it)?;
        let data = SocketAddrV4::new(ip, self.ports.data);
        self.router.add(zone, data, SocketAddrV4::new(ip, self.ports.ready), &self.record);
        Ok(it)
    }

    fn settings(&self, it: &Daemon, lifetime: &str) -> String {
        let Daemon { name, zone, ip, seeds, store, .. } = it;
        let Ports { data, ready, control, internal, .. } = self.ports;
        let seeds: Vec<String> =
            seeds.iter().map(|it| format!("\"{}:{control}\"", self.ip(*it))).collect();
        let values = [
            ("node_name", format!("\"{name}\"")),
            ("zone", format!("\"{zone}\"")),
            ("listen.data_addr", format!("\"{ip}:{data}\"")),
            ("listen.ready", format!("\"{ip}:{ready}\"")),
            ("listen.control", format!("\"{ip}:{control}\"")),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("internal_ports", format!("[{},{}]", internal[0], internal[1])),
            ("platform.address", format!("\"{store}\"")),
            ("heartbeat_ms", HEARTBEAT.as_millis().to_string()),
            ("bounds.cold_over", COLD_OVER.to_string()),
            ("bounds.cold_slack", COLD_SLACK.to_string()),
            ("bounds.flow_lifetime_s", lifetime.to_owned()),
            ("bounds.grace_s", GRACE_S.to_string()),
            ("limits.memory_mb", MEMORY_MB.to_string()),
        ];
        let mut text = self.template.clone();
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}|json}}}}"), &value);
        }
        text
    }

    /// Changes the settings of a machine, without a signal.
    pub fn change_settings(&self, it: &Daemon, lifetime: &str) -> std::io::Result<()> {
        fs::write(&it.settings, self.settings(it, lifetime))
    }

    /// Starts the daemon of a machine.
    pub fn start(&self, it: &Daemon) -> std::io::Result<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.temp.join(format!("{}.log", it.name)))?;
        let mut command = Command::new(&self.run[0]);
        command.args(&self.run[1..]).env_clear().env("POMELORUN_CONFIG", &it.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.record.line(&format!("daemon {} starts", it.name));
        note_process(child.id())?;
        *it.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Sends a signal to the daemon of a machine, and returns `false` if it doesn't run.
    pub fn signal(&self, it: &Daemon, name: &str) -> bool {
        let child = it.child.lock().unwrap();
        let Some(child) = child.as_ref() else { return false };
        self.record.line(&format!("daemon {} gets SIG{name}", it.name));
        let sent =
            Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        sent.is_ok_and(|it| it.success())
    }

    /// Waits until the daemon of a machine has exited.
    pub fn wait_exit(&self, it: &Daemon, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        loop {
            {
                let mut child = it.child.lock().unwrap();
                let Some(running) = child.as_mut() else { return true };
                if running.try_wait().ok().flatten().is_some() {
                    *child = None;
                    self.record.line(&format!("daemon {} has exited", it.name));
                    return true;
                }
            }
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns `true` once as many daemons are in rotation as run.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let wanted = self.daemons.lock().unwrap().len();
        while Instant::now() < end {
            if self.router.in_rotation() == wanted {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Ends all daemons and removes the temporary folder.
    pub fn end(&self) {
        for it in self.daemons.lock().unwrap().iter() {
            if let Some(mut child) = it.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        match std::env::var("KEEP") {
            Ok(_) => eprintln!("logs are in {}", self.temp.display()),
            Err(_) => drop(fs::remove_dir_all(&self.temp)),
        }
    }
}
