//! The service `admin`: status, metrics and health over HTTP.

use actix::Recipient;
use actix_web::{App, HttpResponse, HttpServer, dev::ServerHandle, web};
use tokio::task::JoinHandle;

use crate::{
    control::Control,
    kernel::{Registry, Service, StartError, Stopped},
    metrics::Metrics,
    report::SharedReport,
    settings::Settings,
};

const ADMIN: &str = "admin";
/// Time that requests in progress have when the service stops, seconds.
const STOP_S: u64 = 1;

/// The service.
pub(crate) struct Admin {
    settings: Settings,
    report: SharedReport,
    running: Option<(ServerHandle, JoinHandle<std::io::Result<()>>)>,
}

impl Admin {
    pub(crate) fn new(settings: &Settings, report: SharedReport) -> Admin {
        Admin { settings: settings.clone(), report, running: None }
    }
}

impl Service for Admin {
    fn name(&self) -> &'static str {
        ADMIN
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<Control>>, StartError> {
        let failed = |detail: String| StartError { service: ADMIN, detail };
        let metrics = Metrics::new(&self.report).map_err(|e| failed(e.to_string()))?;
        let metrics = web::Data::new(metrics);
        let report = web::Data::new(self.report.clone());
        let address = self.settings.admin;
        let server = HttpServer::new(move || {
            App::new()
                .app_data(metrics.clone())
                .app_data(report.clone())
                .route("/v1/status", web::get().to(status))
                .route("/v1/health", web::get().to(health))
                .route("/metrics", web::get().to(metrics_text))
        })
        .workers(1)
        .shutdown_timeout(STOP_S)
        .disable_signals()
        .bind(address)
        .map_err(|e| failed(format!("cannot bind {address}: {e}")))?
        .run();
        let handle = server.handle();
        self.running = Some((handle, actix_rt::spawn(server)));
        Ok(None)
    }

    fn stop(&mut self) -> Stopped {
        let running = self.running.take();
        Box::pin(async move {
            if let Some((handle, task)) = running {
                handle.stop(true).await;
                let _ = task.await;
            }
        })
    }
}

async fn status(report: web::Data<SharedReport>) -> HttpResponse {
    HttpResponse::Ok().json(&*report.lock())
}

async fn health(report: web::Data<SharedReport>) -> HttpResponse {
    let report = report.lock();
    if report.leaving || report.revision == 0 {
        HttpResponse::ServiceUnavailable().finish()
    } else {
        HttpResponse::Ok().finish()
    }
}

async fn metrics_text(metrics: web::Data<Metrics>) -> HttpResponse {
    match metrics.text() {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}
