//! The service `web`: whether the host takes packets, and its metrics.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use actix::Recipient;
use actix_web::{App, HttpResponse, HttpServer, dev::ServerHandle, web};
use tokio::task::JoinHandle;

use crate::{
    control::Control,
    direct::{edge::EdgeStats, metrics::DirectMetrics},
    kernel::{Registry, Service, StartError, Stopped},
};

const WEB: &str = "web";
/// Time that requests in progress have when the service stops, seconds.
const STOP_S: u64 = 1;

/// What the edge lets the web server see; the server answers on a thread of its own.
#[derive(Debug)]
pub(crate) struct Status {
    ready: AtomicBool,
    stats: Mutex<EdgeStats>,
    lines_dropped: Arc<AtomicU64>,
}

impl Status {
    /// `lines_dropped` is counted by the log.
    pub(crate) fn new(lines_dropped: Arc<AtomicU64>) -> Status {
        Status { ready: AtomicBool::new(false), stats: Mutex::default(), lines_dropped }
    }

    pub(crate) fn set(&self, ready: bool, stats: EdgeStats) {
        self.ready.store(ready, Ordering::Release);
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner) = stats;
    }

    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    pub(crate) fn stats(&self) -> EdgeStats {
        let stats = *self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        EdgeStats { lines_dropped: self.lines_dropped.load(Ordering::Relaxed), ..stats }
    }
}

/// The service.
pub(crate) struct Web {
    address: SocketAddrV4,
    status: Arc<Status>,
    running: Option<(ServerHandle, JoinHandle<std::io::Result<()>>)>,
}

impl Web {
    pub(crate) fn new(address: SocketAddrV4, status: Arc<Status>) -> Web {
        Web { address, status, running: None }
    }
}

impl Service for Web {
    fn name(&self) -> &'static str {
        WEB
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<Control>>, StartError> {
        let address = self.address;
        let unbound = |e: std::io::Error| StartError {
            service: WEB,
            detail: format!("cannot bind {address}: {e}"),
        };
        let status = web::Data::from(Arc::clone(&self.status));
        let metrics_cell = web::Data::new(OnceLock::<DirectMetrics>::new());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(status.clone())
                .app_data(metrics_cell.clone())
                .route("/ready", web::get().to(ready))
                .route("/metrics", web::get().to(metrics))
        })
        .workers(1)
        .shutdown_timeout(STOP_S)
        .disable_signals()
        .bind(address)
        .map_err(unbound)?
        .run();
        self.running = Some((server.handle(), actix_rt::spawn(server)));
        Ok(None)
    }

    fn stop(&mut self) -> Stopped {
        let running = self.running.take();
        Box::pin(async move {
            if let Some((handle, task)) = running {
                handle.stop(true).await;
                // A server that was told to stop has nothing to report.
                let _ = task.await;
            }
        })
    }
}

async fn ready(status: web::Data<Status>) -> HttpResponse {
    if status.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

/// Sets the instruments up when they are first asked for, so that the start does not wait for them.
async fn metrics(
    status: web::Data<Status>,
    metrics: web::Data<OnceLock<DirectMetrics>>,
) -> HttpResponse {
    let metrics = match metrics.get() {
        Some(it) => it,
        None => match DirectMetrics::new(&status.into_inner()) {
            Ok(it) => metrics.get_or_init(|| it),
            Err(e) => return HttpResponse::InternalServerError().body(e.to_string()),
        },
    };
    match metrics.text() {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}
