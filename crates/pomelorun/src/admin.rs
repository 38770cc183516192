//! The `admin` service: status, metrics, burn reports, flow explanations and health over HTTP.

use std::time::Duration;

use actix::Recipient;
use actix_web::{App, HttpResponse, HttpServer, dev::ServerHandle, web};
use serde::Deserialize;
use tokio::{sync::mpsc, task::JoinHandle, time::MissedTickBehavior};

use crate::{
    burn::{BurnQuery, BurnReport, MINUTE, SharedBurn, burn_by_service, totals_of},
    explain::parse_flow,
    kernel::{Registry, Service, StartError, StopFuture},
    metrics::Metrics,
    packets::PACKETS,
    report::SharedReport,
    service_message::ServiceMessage,
    settings::Settings,
};

const ADMIN: &str = "admin";
/// Time for in-flight requests to complete when the service stops, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 1;
/// Timeout for the reply of the `packets` service to an explain request.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// The admin HTTP server and the task that records the burn history.
pub(crate) struct AdminService {
    settings: Settings,
    report: SharedReport,
    burn: SharedBurn,
    server: Option<(ServerHandle, JoinHandle<std::io::Result<()>>)>,
    burn_task: Option<JoinHandle<()>>,
}

impl AdminService {
    pub(crate) fn new(settings: &Settings, report: SharedReport) -> AdminService {
        let burn = SharedBurn::default();
        AdminService { settings: settings.clone(), report, burn, server: None, burn_task: None }
    }
}

impl Service for AdminService {
    fn name(&self) -> &'static str {
        ADMIN
    }

    fn start(
        &mut self,
        registry: &Registry,
    ) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        let failed = |detail: String| StartError { service: ADMIN, detail };
        let metrics = Metrics::new(&self.report).map_err(|e| failed(e.to_string()))?;
        let metrics = web::Data::new(metrics);
        let report = web::Data::new(self.report.clone());
        let burn = web::Data::new(self.burn.clone());
        let packets = web::Data::new(registry.require(PACKETS, ADMIN)?);
        let address = self.settings.admin;
        let server = HttpServer::new(move || {
            App::new()
                .app_data(metrics.clone())
                .app_data(report.clone())
                .app_data(burn.clone())
                .app_data(packets.clone())
                .route("/v1/status", web::get().to(status))
                .route("/v1/burn", web::get().to(burn_report))
                .route("/v1/explain", web::get().to(explain))
                .route("/v1/health", web::get().to(health))
                .route("/metrics", web::get().to(metrics_text))
        })
        .workers(1)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals()
        .bind(address)
        .map_err(|e| failed(format!("cannot bind {address}: {e}")))?
        .run();
        let handle = server.handle();
        self.server = Some((handle, actix_rt::spawn(server)));
        self.burn_task =
            Some(actix_rt::spawn(record_minutes(self.report.clone(), self.burn.clone())));
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        let (server, burn_task) = (self.server.take(), self.burn_task.take());
        Box::pin(async move {
            if let Some(task) = burn_task {
                task.abort();
                // The result of an aborted task is always a `JoinError`.
                let _ = task.await;
            }
            if let Some((handle, task)) = server {
                handle.stop(true).await;
                let _ = task.await;
            }
        })
    }
}

async fn status(report: web::Data<SharedReport>) -> HttpResponse {
    let report = report.lock().clone();
    HttpResponse::Ok().json(&report)
}

/// Adds one minute to the burn history every minute.
async fn record_minutes(report: SharedReport, burn: SharedBurn) {
    let mut timer = tokio::time::interval_at(tokio::time::Instant::now() + MINUTE, MINUTE);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let totals = totals_of(&report.lock().services);
        burn.lock().end_minute(&totals);
    }
}

async fn burn_report(
    report: web::Data<SharedReport>,
    burn: web::Data<SharedBurn>,
    query: web::Query<BurnQuery>,
) -> HttpResponse {
    let (mut answer, services) = {
        let report = report.lock();
        let (host, zone) = (report.host.clone(), report.zone.clone());
        let answer = BurnReport { host, zone, revision: report.revision, services: Vec::new() };
        (answer, report.services.clone())
    };
    let history = burn.lock().clone();
    answer.services = burn_by_service(&history, &services, query.cells());
    HttpResponse::Ok().json(&answer)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct ExplainQuery {
    /// Flow in the form `CALLER>SERVICE`.
    flow: String,
}

async fn explain(
    report: web::Data<SharedReport>,
    packets: web::Data<Recipient<ServiceMessage>>,
    query: web::Query<ExplainQuery>,
) -> HttpResponse {
    let flow = match parse_flow(&query.flow) {
        Ok(it) => it,
        Err(e) => return HttpResponse::BadRequest().body(e.to_string()),
    };
    let (reply, mut answer) = mpsc::channel(1);
    packets.do_send(ServiceMessage::Explain { flow, reply });
    let Ok(Some(mut answer)) = tokio::time::timeout(EXPLAIN_TIMEOUT, answer.recv()).await else {
        return HttpResponse::ServiceUnavailable().body("the host is too busy to answer");
    };
    let report = report.lock();
    answer.host.clone_from(&report.host);
    answer.zone.clone_from(&report.zone);
    drop(report);
    HttpResponse::Ok().json(&answer)
}

async fn health(report: web::Data<SharedReport>) -> HttpResponse {
    let report = report.lock();
    if report.leaving || !report.ready {
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
