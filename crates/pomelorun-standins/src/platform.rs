//! Stand-in for the platform: the configuration service and the host list, over HTTP.
//!
//! Hosts read below `/z/{zone}/`, so that each zone can be cut off or served badly on its own.
//! The parent publishes and sets faults below `/control/`.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use actix_web::{App, HttpResponse, HttpServer, web};
use pomelorun_config::Bundle;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

/// Shape of the platform's command line argument.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlatformPlan {
    /// Address to serve on.
    pub address: SocketAddrV4,
}

/// One row of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostRow {
    /// Name of the host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address of its packet socket as the reading zone reaches it.
    pub packets: SocketAddrV4,
    /// Address at which it gives its configuration to other hosts.
    pub peers: SocketAddrV4,
    /// It is leaving.
    pub leaving: bool,
}

/// How the platform misbehaves towards a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// Every call fails.
    Down,
    /// Every call takes this much longer, milliseconds.
    Slow(u64),
    /// Values stay as they were when the fault began.
    Stale,
}

#[derive(Default)]
struct Store {
    values: BTreeMap<String, String>,
    revision: u64,
    /// Manifests by zone that stale zones go on seeing.
    stale: BTreeMap<String, String>,
    hosts: BTreeMap<String, Vec<HostRow>>,
    faults: BTreeMap<String, Fault>,
}

struct State {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
    reads: AtomicU64,
}

impl State {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const MANIFEST: &str = "manifest";
const LONGEST_WAIT_MS: u64 = 60_000;

/// Serves until the process is ended.
///
/// # Errors
/// An address that cannot be bound.
pub async fn run_platform(plan: &PlatformPlan) -> std::io::Result<()> {
    let state = web::Data::new(State {
        store: Mutex::default(),
        changed: watch::channel(0).0,
        reads: AtomicU64::new(0),
    });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::JsonConfig::default().limit(64 << 20))
            .route("/z/{zone}/v1/values/{key}", web::get().to(value))
            .route("/z/{zone}/v1/hosts", web::get().to(hosts))
            .route("/control/publish", web::post().to(publish))
            .route("/control/hosts/{zone}", web::post().to(set_hosts))
            .route("/control/fault/{zone}", web::post().to(set_fault))
            .route("/control/reads", web::get().to(reads))
    })
    .workers(1)
    .bind(plan.address)?
    .run();
    crate::line::say(&"ready");
    crate::line::end_with_parent();
    server.await
}

#[derive(Debug, Deserialize)]
struct Wait {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// Applies the zone's fault; tells whether the call fails.
async fn suffer(state: &State, zone: &str) -> bool {
    state.reads.fetch_add(1, Ordering::Relaxed);
    let fault = state.store().faults.get(zone).copied().unwrap_or_default();
    match fault {
        Fault::None | Fault::Stale => false,
        Fault::Down => true,
        Fault::Slow(ms) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            false
        }
    }
}

async fn value(
    state: web::Data<State>,
    path: web::Path<(String, String)>,
    wait: web::Query<Wait>,
) -> HttpResponse {
    let (zone, key) = path.into_inner();
    if suffer(&state, &zone).await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if key == MANIFEST {
        return manifest(&state, &zone, &wait).await;
    }
    match state.store().values.get(&key) {
        Some(text) => HttpResponse::Ok().body(text.clone()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn manifest(state: &State, zone: &str, wait: &Wait) -> HttpResponse {
    let until = Instant::now() + Duration::from_millis(wait.wait_ms.min(LONGEST_WAIT_MS));
    let mut changed = state.changed.subscribe();
    loop {
        {
            let store = state.store();
            if let Some(text) = store.stale.get(zone) {
                return HttpResponse::Ok().body(text.clone());
            }
            if store.faults.get(zone) == Some(&Fault::Down) {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if store.revision > wait.after {
                return HttpResponse::Ok().body(store.values[MANIFEST].clone());
            }
        }
        let waited = tokio::time::timeout_at(until, changed.changed()).await;
        if waited.is_err() {
            return HttpResponse::NotModified().finish();
        }
    }
}

async fn hosts(state: web::Data<State>, zone: web::Path<String>) -> HttpResponse {
    if suffer(&state, &zone).await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match state.store().hosts.get(&*zone) {
        Some(rows) => HttpResponse::Ok().json(rows),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn publish(state: web::Data<State>, bundle: web::Json<Bundle>) -> HttpResponse {
    let Bundle { manifest, chunks } = bundle.into_inner();
    let mut store = state.store();
    for (chunk, text) in manifest.chunks.iter().zip(chunks) {
        store.values.insert(chunk.sha256.clone(), text);
    }
    store.revision = manifest.revision;
    let text = serde_json::to_string(&manifest).expect("a manifest has string keys only");
    store.values.insert(MANIFEST.to_owned(), text);
    drop(store);
    state.changed.send_replace(manifest.revision);
    HttpResponse::Ok().finish()
}

async fn set_hosts(
    state: web::Data<State>,
    zone: web::Path<String>,
    rows: web::Json<Vec<HostRow>>,
) -> HttpResponse {
    state.store().hosts.insert(zone.into_inner(), rows.into_inner());
    HttpResponse::Ok().finish()
}

async fn set_fault(
    state: web::Data<State>,
    zone: web::Path<String>,
    fault: web::Json<Fault>,
) -> HttpResponse {
    let zone = zone.into_inner();
    let fault = fault.into_inner();
    let mut store = state.store();
    store.stale.remove(&zone);
    if fault == Fault::Stale
        && let Some(text) = store.values.get(MANIFEST).cloned()
    {
        store.stale.insert(zone.clone(), text);
    }
    store.faults.insert(zone, fault);
    drop(store);
    state.changed.send_modify(|_| {});
    HttpResponse::Ok().finish()
}

async fn reads(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(state.reads.load(Ordering::Relaxed))
}
