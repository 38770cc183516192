//! The service `web`: whether the host takes packets, its metrics, and answers to operators.

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
/// Time allowed to the service `edge` for an answer: packets go first.
const ANSWER_TIME: Duration = Duration::from_secs(1);
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

/// What this host is called.
#[derive(Debug, Clone)]
struct Names {
    host: String,
    zone: String,
}

/// The service.
pub(crate) struct Web {
    address: SocketAddrV4,
    names: Names,
    questions: mpsc::UnboundedSender<IntrospectionQuery>,
    status: Arc<Status>,
    burn: SharedBurn,
    running: Option<(ServerHandle, JoinHandle<std::io::Result<()>>)>,
    minutes: Option<JoinHandle<()>>,
}

impl Web {
    pub(crate) fn new(
        file: &DirectSettingsFile,
        status: Arc<Status>,
        questions: mpsc::UnboundedSender<IntrospectionQuery>,
    ) -> Web {
        let names = Names { host: file.host.clone(), zone: file.zone.clone() };
        Web {
            address: file.ready,
            names,
            questions,
            status,
            burn: SharedBurn::default(),
            running: None,
            minutes: None,
        }
    }
}

impl Service for Web {
    fn name(&self) -> &'static str {
        WEB
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        let address = self.address;
        let unbound = |e: std::io::Error| StartError {
            service: WEB,
            detail: format!("cannot bind {address}: {e}"),
        };
        let status = web::Data::from(Arc::clone(&self.status));
        let names = web::Data::new(self.names.clone());
        let questions = web::Data::new(self.questions.clone());
        let burn = web::Data::new(self.burn.clone());
        let metrics_cell = web::Data::new(OnceLock::<DirectMetrics>::new());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(status.clone())
                .app_data(metrics_cell.clone())
                .app_data(names.clone())
                .app_data(questions.clone())
                .app_data(burn.clone())
                .route("/v1/burn", web::get().to(burn_report))
                .route("/v1/status", web::get().to(report))
                .route("/v1/explain", web::get().to(explain))
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
        let minutes = count_minutes(self.questions.clone(), self.burn.clone());
        self.minutes = Some(actix_rt::spawn(minutes));
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        let (running, minutes) = (self.running.take(), self.minutes.take());
        Box::pin(async move {
            abort_and_join(minutes).await;
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

type Questions = web::Data<mpsc::UnboundedSender<IntrospectionQuery>>;

async fn report(names: web::Data<Names>, questions: Questions) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    let Some(it) = ask(&questions, IntrospectionQuery::Status(reply), answer).await else {
        return too_busy();
    };
    let Names { host, zone } = names.get_ref().clone();
    let StatusReply { ready, leaving, is_reader, view } = it;
    let mode = ForwardingMode::DirectReturn;
    HttpResponse::Ok().json(DirectReport { mode, host, zone, ready, leaving, is_reader, view })
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct ExplainQuery {
    /// The flow, as `CALLER>SERVICE`.
    flow: String,
    /// The token of its packets, hexadecimal.
    token: Option<String>,
}

async fn explain(
    names: web::Data<Names>,
    questions: Questions,
    query: web::Query<ExplainQuery>,
) -> HttpResponse {
    let flow = match parse_flow(&query.flow) {
        Ok(it) => it,
        Err(e) => return HttpResponse::BadRequest().body(e.to_string()),
    };
    let token = match query.token.as_deref().map(|it| u32::from_str_radix(it, 16)).transpose() {
        Ok(it) => it.map(Token),
        Err(e) => return HttpResponse::BadRequest().body(format!("token: {e}")),
    };
    let (reply, answer) = oneshot::channel();
    let question = IntrospectionQuery::Explain { flow, token, reply };
    let Some(view) = ask(&questions, question, answer).await else { return too_busy() };
    let Names { host, zone } = names.get_ref().clone();
    HttpResponse::Ok().json(FlowReport { mode: ForwardingMode::DirectReturn, host, zone, view })
}

/// Ends a cell of the burn history every minute.
async fn count_minutes(questions: mpsc::UnboundedSender<IntrospectionQuery>, burn: SharedBurn) {
    let mut timer = tokio::time::interval_at(tokio::time::Instant::now() + MINUTE, MINUTE);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let (reply, answer) = oneshot::channel();
        match ask(&questions, IntrospectionQuery::Outcomes(reply), answer).await {
            Some(totals) => burn.lock().end_minute(&totals_of(&totals)),
            None => warn!("a minute of outcomes goes into the next one", kv: {
                code = Code::OUTCOMES_LATE.to_string(), reason = "the host is too busy to answer"
            }),
        }
    }
}

async fn burn_report(
    names: web::Data<Names>,
    questions: Questions,
    status: web::Data<Status>,
    burn: web::Data<SharedBurn>,
    query: web::Query<BurnQuery>,
) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    let Some(services) = ask(&questions, IntrospectionQuery::Outcomes(reply), answer).await else {
        return too_busy();
    };
    let history = burn.lock().clone();
    let Names { host, zone } = names.get_ref().clone();
    let revision = status.stats().revision;
    let services = burn_by_service(&history, &services, query.cells());
    HttpResponse::Ok().json(BurnReport { host, zone, revision, services })
}

async fn ask<T>(
    questions: &mpsc::UnboundedSender<IntrospectionQuery>,
    question: IntrospectionQuery,
    answer: oneshot::Receiver<T>,
) -> Option<T> {
    questions.send(question).ok()?;
    tokio::time::timeout(ANSWER_TIME, answer).await.ok()?.ok()
}

fn too_busy() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("the host is too busy to answer")
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
