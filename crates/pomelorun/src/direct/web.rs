//! The service `web`: whether the host takes packets, and its metrics.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use actix::Recipient;
use actix_web::{App, HttpResponse, HttpServer, dev::ServerHandle, web};
use tokio::task::JoinHandle;

use crate::{
    control::Control,
    direct::edge::EdgeStats,
    kernel::{Registry, Service, StartError, Stopped},
};

const WEB: &str = "web";
/// Time that requests in progress have when the service stops, seconds.
const STOP_S: u64 = 1;

/// What the edge lets the web server see; the server answers on a thread of its own.
#[derive(Debug, Default)]
pub(crate) struct Status {
    ready: AtomicBool,
    stats: Mutex<EdgeStats>,
}

impl Status {
    pub(crate) fn set(&self, ready: bool, stats: EdgeStats) {
        self.ready.store(ready, Ordering::Release);
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner) = stats;
    }

    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    fn stats(&self) -> EdgeStats {
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner)
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
        let server = HttpServer::new(move || {
            App::new()
                .app_data(status.clone())
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

async fn metrics(status: web::Data<Status>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(status.stats().text())
}
