//! Starting stand-ins and daemons on loopback, for the programs of this crate.

use std::{
    fs,
    io::{IsTerminal, Write},
    path::{Path, PathBuf},
    process::Stdio,
    time::{Duration, Instant},
};

use serde::Serialize;
use serde_json::{Value, json};
use thiserror::Error;

use crate::{
    child::{Child, ChildError},
    deployment::{HostPlan, Layout},
};

/// Time for a stand-in to start.
pub(crate) const START: Duration = Duration::from_secs(10);
/// Time for a host to have a revision in force.
const READY: Duration = Duration::from_secs(15);
/// Largest status that is read, bytes.
const MAX_STATUS: usize = 16 << 20;

/// Why a process could not be started or used.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// A process did not do its part.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// A file could not be written.
    #[error(transparent)]
    File(#[from] std::io::Error),
    /// The platform or a host did not answer.
    #[error("{0}")]
    Http(String),
    /// The daemon cannot be built or found, or is not ready.
    #[error("{0}")]
    Daemon(String),
}

/// Builds the daemon where cargo runs this program, and finds it beside this program.
///
/// # Errors
/// A daemon that does not build or is not there.
pub fn build_daemon() -> Result<PathBuf, HarnessError> {
    if let Some(cargo) = std::env::var_os("CARGO") {
        progress("building the daemon");
        let mut command = std::process::Command::new(cargo);
        command.args(["build", "--quiet", "-p", "pomelorund"]);
        if !cfg!(debug_assertions) {
            command.arg("--release");
        }
        let status = command.stdin(Stdio::null()).status()?;
        if !status.success() {
            return Err(HarnessError::Daemon("the daemon does not build".to_owned()));
        }
    }
    let beside = std::env::current_exe()?;
    let dir = beside.parent().unwrap_or(Path::new("."));
    // Test programs lie one directory below the binaries.
    let found = [dir.join("pomelorund"), dir.join("../pomelorund")];
    found.into_iter().find(|it| it.exists()).ok_or_else(|| {
        HarnessError::Daemon("no `pomelorund` beside this program; build the workspace".to_owned())
    })
}

/// Starts a stand-in of this program and waits until it is ready.
pub(crate) fn stand_in<T: Serialize>(name: &str, plan: &T) -> Result<Child, HarnessError> {
    let program = std::env::current_exe()?;
    let mut child = Child::start(name, &program, &[name], Stdio::inherit())?;
    child.tell(plan);
    let ready: String = child.hear(START)?;
    if ready == "ready" {
        Ok(child)
    } else {
        Err(HarnessError::Daemon(format!("{name} said {ready}")))
    }
}

/// URL of a path at the platform.
pub(crate) fn platform_url(layout: Layout, path: &str) -> String {
    format!("http://{}{path}", layout.platform())
}

/// A client for one call: between calls these programs block, and kept connections go stale.
fn client() -> awc::Client {
    awc::Client::default()
}

/// Posts a value as JSON.
pub(crate) async fn post<T: Serialize>(url: &str, body: &T) -> Result<(), HarnessError> {
    let sent = client().post(url).send_json(body).await;
    let res = sent.map_err(|e| HarnessError::Http(format!("{url}: {e}")))?;
    if res.status().is_success() {
        Ok(())
    } else {
        Err(HarnessError::Http(format!("{url}: {}", res.status())))
    }
}

/// Settings of the host with this number.
pub(crate) fn host_settings(layout: Layout, plan: &HostPlan, number: usize) -> Value {
    json!({
        "host": plan.name,
        "zone": plan.zone,
        "packets": layout.host(number),
        "peers": layout.peers(number),
        "admin": layout.admin(number),
        "fabric": layout.fabric(),
        "config_service": platform_url(layout, &format!("/z/{}", plan.zone)),
        "host_list": platform_url(layout, &format!("/z/{}/v1/hosts", plan.zone)),
    })
}

/// Starts a daemon; its settings file goes to `work`.
pub(crate) fn start_daemon(
    program: &Path,
    work: &Path,
    plan: &HostPlan,
    settings: &Value,
    log: Stdio,
) -> Result<Child, HarnessError> {
    let path = work.join(format!("{}.json", plan.name));
    fs::write(&path, settings.to_string())?;
    let path = path.display().to_string();
    Ok(Child::start(&plan.name, program, &["--settings", &path], log)?)
}

/// Waits until a host has a revision in force.
pub(crate) async fn wait_ready(
    layout: Layout,
    plan: &HostPlan,
    number: usize,
) -> Result<(), HarnessError> {
    const LOOK: Duration = Duration::from_millis(50);
    let start = Instant::now();
    let url = format!("http://{}/v1/health", layout.admin(number));
    while start.elapsed() < READY {
        let answer = client().get(&url).send().await;
        if answer.is_ok_and(|it| it.status().is_success()) {
            return Ok(());
        }
        actix_rt::time::sleep(LOOK).await;
    }
    Err(HarnessError::Daemon(format!("{} is not ready", plan.name)))
}

/// Reads the status of a host.
pub(crate) async fn status(layout: Layout, number: usize) -> Result<Value, HarnessError> {
    let url = format!("http://{}/v1/status", layout.admin(number));
    let http = |e: &dyn std::fmt::Display| HarnessError::Http(format!("{url}: {e}"));
    let mut res = client().get(&url).send().await.map_err(|e| http(&e))?;
    res.json().limit(MAX_STATUS).await.map_err(|e| http(&e))
}

/// Shows progress on a terminal.
pub(crate) fn progress(text: &str) {
    let mut err = std::io::stderr();
    if err.is_terminal() {
        // Progress that cannot be shown is no fault.
        let _ = write!(err, "\r\x1b[K{text}").and_then(|()| err.flush());
    }
}
