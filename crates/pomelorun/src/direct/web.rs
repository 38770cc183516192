//! The service `web`: the HTTP server for readiness, metrics and operators' queries.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use actix::Recipient;
use actix_web::{App, HttpResponse, HttpServer, dev::ServerHandle, web};
use pomelorun_core::direct::Token;
use pomelorun_wire::Code;
use serde::Deserialize;
use spdlog::prelude::*;
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::MissedTickBehavior,
};

use crate::{
    burn::{BurnQuery, BurnReport, MINUTE, SharedBurn, burn_by_service, totals_of},
    direct::{
        edge::EdgeStats,
        introspection::{
            DirectReport, FlowReport, ForwardingMode, IntrospectionQuery, StatusReply,
        },
        metrics::DirectMetrics,
        settings::DirectSettingsFile,
    },
    explain::parse_flow,
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    service_message::ServiceMessage,
};

const WEB: &str = "web";
/// Timeout for a reply of the service `edge`, which handles packets first.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for HTTP requests in progress to finish when the service stops, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 1;

/// State that the edge shares with the HTTP server, which runs on its own thread.
#[derive(Debug)]
pub(crate) struct Status {
    ready: AtomicBool,
    stats: Mutex<EdgeStats>,
    log_lines_dropped: Arc<AtomicU64>,
}

impl Status {
    /// Creates the shared state; `log_lines_dropped` is incremented by the log.
    pub(crate) fn new(log_lines_dropped: Arc<AtomicU64>) -> Status {
        Status { ready: AtomicBool::new(false), stats: Mutex::default(), log_lines_dropped }
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
        EdgeStats { log_lines_dropped: self.log_lines_dropped.load(Ordering::Relaxed), ..stats }
    }
}

/// Names of this host and its availability zone.
#[derive(Debug, Clone)]
struct HostIdentity {
    host: String,
    zone: String,
}

/// The service `web`.
pub(crate) struct WebService {
    address: SocketAddrV4,
    identity: HostIdentity,
    queries: mpsc::UnboundedSender<IntrospectionQuery>,
    status: Arc<Status>,
    burn: SharedBurn,
    running: Option<(ServerHandle, JoinHandle<std::io::Result<()>>)>,
    minute_task: Option<JoinHandle<()>>,
}

impl WebService {
    pub(crate) fn new(
        file: &DirectSettingsFile,
        status: Arc<Status>,
        queries: mpsc::UnboundedSender<IntrospectionQuery>,
    ) -> WebService {
        let identity = HostIdentity { host: file.host.clone(), zone: file.zone.clone() };
        WebService {
            address: file.ready,
            identity,
            queries,
            status,
            burn: SharedBurn::default(),
            running: None,
            minute_task: None,
        }
    }
}

impl Service for WebService {
    fn name(&self) -> &'static str {
        WEB
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        let address = self.address;
        let bind_error = |e: std::io::Error| StartError {
            service: WEB,
            detail: format!("cannot bind {address}: {e}"),
        };
        let status = web::Data::from(Arc::clone(&self.status));
        let identity = web::Data::new(self.identity.clone());
        let queries = web::Data::new(self.queries.clone());
        let burn = web::Data::new(self.burn.clone());
        let metrics_cell = web::Data::new(OnceLock::<DirectMetrics>::new());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(status.clone())
                .app_data(metrics_cell.clone())
                .app_data(identity.clone())
                .app_data(queries.clone())
                .app_data(burn.clone())
                .route("/v1/burn", web::get().to(burn_report))
                .route("/v1/status", web::get().to(status_report))
                .route("/v1/explain", web::get().to(explain))
                .route("/ready", web::get().to(ready))
                .route("/metrics", web::get().to(metrics))
        })
        .workers(1)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals()
        .bind(address)
        .map_err(bind_error)?
        .run();
        self.running = Some((server.handle(), actix_rt::spawn(server)));
        let minute_task = record_minutes(self.queries.clone(), self.burn.clone());
        self.minute_task = Some(actix_rt::spawn(minute_task));
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        let (running, minute_task) = (self.running.take(), self.minute_task.take());
        Box::pin(async move {
            abort_and_join(minute_task).await;
            if let Some((handle, task)) = running {
                handle.stop(true).await;
                // Errors of a stopping server are ignored: the daemon is shutting down.
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

type QuerySender = web::Data<mpsc::UnboundedSender<IntrospectionQuery>>;

async fn status_report(identity: web::Data<HostIdentity>, queries: QuerySender) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    let Some(it) = query_edge(&queries, IntrospectionQuery::Status(reply), answer).await else {
        return busy_response();
    };
    let HostIdentity { host, zone } = identity.get_ref().clone();
    let StatusReply { ready, leaving, is_reader, view } = it;
    let mode = ForwardingMode::DirectReturn;
    HttpResponse::Ok().json(DirectReport { mode, host, zone, ready, leaving, is_reader, view })
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct ExplainQuery {
    /// The flow, in the form `CALLER>SERVICE`.
    flow: String,
    /// The token in the flow's packets, in hexadecimal.
    token: Option<String>,
}

async fn explain(
    identity: web::Data<HostIdentity>,
    queries: QuerySender,
    query: web::Query<ExplainQuery>,
) -> HttpResponse {
    let flow = match parse_flow(&query.flow) {
        Ok(it) => it,
        Err(e) => return HttpResponse::BadRequest().body(e.to_string()),
    };
    let token = match query.token.as_deref().map(|it| u32::from_str_radix(it, 16)).transpose() {
        Ok(it) => it.map(Token),
        Err(e) => {
            return HttpResponse::BadRequest()
                .body(format!("invalid token: {e}; expected hexadecimal digits"));
        }
    };
    let (reply, answer) = oneshot::channel();
    let edge_query = IntrospectionQuery::Explain { flow, token, reply };
    let Some(view) = query_edge(&queries, edge_query, answer).await else { return busy_response() };
    let HostIdentity { host, zone } = identity.get_ref().clone();
    HttpResponse::Ok().json(FlowReport { mode: ForwardingMode::DirectReturn, host, zone, view })
}

/// Adds the outcomes of each minute to the burn history.
async fn record_minutes(queries: mpsc::UnboundedSender<IntrospectionQuery>, burn: SharedBurn) {
    let mut timer = tokio::time::interval_at(tokio::time::Instant::now() + MINUTE, MINUTE);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let (reply, answer) = oneshot::channel();
        match query_edge(&queries, IntrospectionQuery::Outcomes(reply), answer).await {
            Some(totals) => burn.lock().end_minute(&totals_of(&totals)),
            None => {
                warn!("outcomes of this minute are added to the next one", kv: {
                    code = Code::OUTCOMES_LATE.to_string(),
                    reason = "the host is too busy to answer"
                });
            }
        }
    }
}

async fn burn_report(
    identity: web::Data<HostIdentity>,
    queries: QuerySender,
    status: web::Data<Status>,
    burn: web::Data<SharedBurn>,
    query: web::Query<BurnQuery>,
) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    let Some(services) = query_edge(&queries, IntrospectionQuery::Outcomes(reply), answer).await
    else {
        return busy_response();
    };
    let history = burn.lock().clone();
    let HostIdentity { host, zone } = identity.get_ref().clone();
    let revision = status.stats().revision;
    let services = burn_by_service(&history, &services, query.detail());
    HttpResponse::Ok().json(BurnReport { host, zone, revision, services })
}

async fn query_edge<T>(
    queries: &mpsc::UnboundedSender<IntrospectionQuery>,
    query: IntrospectionQuery,
    answer: oneshot::Receiver<T>,
) -> Option<T> {
    queries.send(query).ok()?;
    tokio::time::timeout(QUERY_TIMEOUT, answer).await.ok()?.ok()
}

fn busy_response() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("the host is too busy to answer")
}

/// Returns the metrics. The instruments are created on the first request, so that they do not delay
/// startup.
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
