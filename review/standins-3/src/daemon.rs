//! The daemons under test, as separate processes.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use crate::record::Record;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

#[derive(Clone)]
pub struct Spec {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    /// Port of the data address; those of `ready` and `control` follow it.
    pub port: u16,
    /// Port for traffic between daemons.
    pub peer_port: u16,
    pub seeds: Vec<Ipv4Addr>,
    pub store: SocketAddrV4,
}

impl Spec {
    pub fn data(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.port)
    }

    pub fn ready(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.port + 1)
    }

    /// The settings file, as the platform fills in `platform/settings.json.in`.
    fn settings(&self) -> String {
        let control = self.port + 2;
        let seeds: Vec<String> =
            self.seeds.iter().map(|it| format!("\"{it}:{control}\"")).collect();
        format!(
            "{{\"host\":\"{}\",\"zone\":\"{}\",\"packets\":\"{}\",\"ready\":\"{}\",\
             \"control\":\"{}:{control}\",\"seeds\":[{}],\"peer_ports\":[{},{}],\"directory\":\"{}\",\
             \"bounds\":{{\"announce_every_ms\":1200,\"cold_over\":1.5,\"cold_slack\":5,\
             \"flow_lifetime_s\":60,\"grace_s\":6,\"memory_mb\":260}},\
             \"log\":{{\"level\":\"info\",\"format\":\"json\"}}}}",
            self.name,
            self.zone,
            self.data(),
            self.ready(),
            self.ip,
            seeds.join(","),
            self.peer_port,
            self.peer_port + 15,
            self.store
        )
    }
}

pub struct Daemon {
    pub spec: Spec,
    program: PathBuf,
    dir: PathBuf,
    record: Record,
    child: Option<Child>,
    starts: u32,
}

impl Daemon {
    pub fn new(spec: Spec, program: &Path, dir: &Path, record: &Record) -> Daemon {
        Daemon {
            spec,
            program: program.to_owned(),
            dir: dir.to_owned(),
            record: record.clone(),
            child: None,
            starts: 0,
        }
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        self.starts += 1;
        let settings = self.dir.join(format!("{}.json", self.spec.name));
        std::fs::write(&settings, self.spec.settings())?;
        let log = File::create(self.dir.join(format!("{}.{}.log", self.spec.name, self.starts)))?;
        let child = Command::new(&self.program)
            .env("POMELORUN_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!("daemon {} starts", self.spec.name));
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&mut self, signal: i32) {
        let Some(child) = &self.child else { return };
        self.record.line(format!("daemon {} gets signal {signal}", self.spec.name));
        // The process was started here and has not been waited for.
        unsafe { kill(child.id() as i32, signal) };
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut it) = self.child.take() {
            let _ = it.wait();
            self.record.line(format!("daemon {} has ended", self.spec.name));
        }
    }

    /// Returns `true` if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| !matches!(it.try_wait(), Ok(None)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(it) = &mut self.child {
            let _ = it.kill();
            let _ = it.wait();
        }
    }
}
