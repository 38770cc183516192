//! Runs a whole deployment as separate processes on loopback and judges it by what callers and
//! upstreams saw.

use std::{
    fs,
    path::PathBuf,
    time::{Duration, Instant},
};

use pomelorun_config::{Bundle, ObjectSet, compile};
use pomelorun_core::{ServiceView, Snapshot};
use serde::Serialize;
use thiserror::Error;

use crate::{
    callers::{CallersCommand, CallersLine, CallersPlan, CallersReport, ServicePlan},
    child::{Child, ChildError},
    deployment::{Deployment, HostPlan, Layout, ServiceLoad, load_deployment},
    harness::{self, HarnessError},
    network::{LinkPlan, NetworkCommand, NetworkPlan, NetworkReport},
    platform::{HostRow, PlatformPlan},
    upstreams::{UpstreamCommand, UpstreamPlan, UpstreamsPlan, UpstreamsReport},
};

/// Time for a stand-in to start.
const START: Duration = Duration::from_secs(10);
/// Time for the hosts to settle who is the primary of what, before callers come.
const SETTLE: Duration = Duration::from_secs(4);
/// Time over which the flows are opened, seconds.
const OPEN_SECONDS: u32 = 8;
/// From the callers' start to the draining of an upstream.
const DRAIN_AT: Duration = Duration::from_secs(10);
/// From the callers' start to the replacement of a host.
const REPLACE_AT: Duration = Duration::from_secs(13);
/// From the callers' start to the end.
const END_AT: Duration = Duration::from_secs(22);
/// Time for the fabric to stop spraying over a host before it leaves.
const UNSPRAY: Duration = Duration::from_millis(500);
/// Time for a host to leave, and for a stand-in to end.
const LEAVE: Duration = Duration::from_secs(15);
/// Most that an upstream may have over the mean.
const IMBALANCE_BOUND: f64 = 1.25;

/// Options of the demonstration.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Directory of the deployment.
    pub dir: PathBuf,
    /// Share of the flows and requests that is run, percent.
    pub scale: u32,
    /// Seed of all choices.
    pub seed: u64,
    /// Directory that the daemons' logs are kept in, none to drop them.
    pub logs: Option<PathBuf>,
}

/// Why the demonstration did not come to an end.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The deployment is not well-formed.
    #[error("{0}")]
    Deployment(String),
    /// A process did not do its part.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// A process could not be started or did not answer.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// A file could not be written.
    #[error(transparent)]
    File(#[from] std::io::Error),
    /// A host did not leave in time.
    #[error("{0}")]
    Host(String),
}

/// Latency of whole answers.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LatencyMs {
    /// Median, milliseconds.
    pub p50: f64,
    /// 99th percentile, milliseconds.
    pub p99: f64,
    /// 99.9th percentile, milliseconds.
    pub p999: f64,
}

/// What the demonstration found.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DemoReport {
    /// Flows opened.
    pub flows: u64,
    /// Flows that could not be opened.
    pub unopened: u64,
    /// Requests sent.
    pub requests: u64,
    /// Packets of requests that were sent again.
    pub sent_again: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests whose outcome was said to be unknown.
    pub outcome_unknown: u64,
    /// Requests without a final answer.
    pub lost: u64,
    /// Flows that ended unwanted.
    pub broken_flows: u64,
    /// Packets that reached another service, or answers another caller.
    pub misrouted: u64,
    /// Non-idempotent requests that ran more than once.
    pub duplicate_runs: u64,
    /// Refusals as not run of requests that ran.
    pub false_not_run: u64,
    /// Requests that a cold upstream could not bear.
    pub overloads: u64,
    /// Most loaded upstream over the mean, the worst pool.
    pub imbalance_max_over_mean: f64,
    /// Latency of whole answers.
    pub latency_ms: LatencyMs,
    /// Control messages between hosts.
    pub control_bytes_per_second_per_host: f64,
    /// Relays between hosts for each packet of a caller.
    pub relays_per_packet: f64,
    /// Revision in force at the end.
    pub revision: u64,
    /// Refusals by numbered code.
    pub codes: Vec<(String, u64)>,
    /// Promises that were broken, in words.
    pub broken_promises: Vec<String>,
}

/// Runs the demonstration.
///
/// # Errors
/// A process that does not do its part; broken promises are in the report.
pub async fn run_demo(options: &DemoOptions) -> Result<DemoReport, DemoError> {
    let (deployment, mut set) =
        load_deployment(&options.dir).map_err(|e| DemoError::Deployment(e.to_string()))?;
    let layout = Layout::new(std::process::id());
    layout.place(&mut set);
    let work = std::env::temp_dir().join(format!("pomelorun-demo-{}", std::process::id()));
    fs::create_dir_all(&work)?;
    let daemon = harness::build_daemon()?;
    let mut demo = Demo {
        options: options.clone(),
        deployment,
        set,
        layout,
        work: work.clone(),
        daemon,
        hosts: Vec::new(),
        revision: 0,
        open: 0,
        answered: 0,
    };
    let report = demo.run().await;
    drop(demo);
    fs::remove_dir_all(&work)?;
    report
}

/// A daemon and its place in the layout.
struct RunningHost {
    plan: HostPlan,
    number: usize,
    child: Child,
}

struct Demo {
    options: DemoOptions,
    deployment: Deployment,
    set: ObjectSet,
    layout: Layout,
    work: PathBuf,
    daemon: PathBuf,
    hosts: Vec<RunningHost>,
    revision: u64,
    open: u64,
    answered: u64,
}

impl Demo {
    async fn run(&mut self) -> Result<DemoReport, DemoError> {
        let snapshot = compile(1, &self.set).map_err(|e| DemoError::Deployment(e.to_string()))?;
        harness::progress("starting the platform, the network and the upstreams");
        let plan = PlatformPlan { address: self.layout.platform() };
        let _platform = harness::stand_in("platform", &plan)?;
        self.publish().await?;
        let replacement = self.replacement();
        let mut all = self.deployment.hosts.clone();
        all.push(replacement.clone());
        let mut network = harness::stand_in("network", &self.network_plan(&all))?;
        let mut upstreams = harness::stand_in("upstreams", &self.upstreams_plan(&snapshot)?)?;
        harness::progress("starting the hosts");
        let plans = self.deployment.hosts.clone();
        self.list_hosts(&plans, &all).await?;
        for (number, plan) in plans.iter().enumerate() {
            self.start_host(plan, number)?;
        }
        self.wait_ready().await?;
        actix_rt::time::sleep(SETTLE).await;
        let mut callers = harness::stand_in("callers", &self.callers_plan(&snapshot)?)?;
        let start = Instant::now();
        self.watch(&mut callers, start, DRAIN_AT, "opening flows").await?;
        self.drain_one().await?;
        self.watch(&mut callers, start, REPLACE_AT, "an upstream drains").await?;
        self.replace_host(&replacement, &all, &mut network).await?;
        self.watch(&mut callers, start, END_AT, "a host was replaced").await?;
        callers.tell(&CallersCommand::Stop);
        let seen = self.callers_report(&mut callers)?;
        let elapsed = start.elapsed();
        harness::progress("stopping");
        upstreams.tell(&UpstreamCommand::Stop(seen.not_run.clone()));
        let served: UpstreamsReport = upstreams.hear(START)?;
        let revision = self.least_revision().await?;
        self.stop_hosts()?;
        network.tell(&NetworkCommand::Stop);
        let traffic: NetworkReport = network.hear(START)?;
        let hosts = self.deployment.hosts.len();
        Ok(judge(&seen, &served, &traffic, elapsed, hosts, revision, self.revision))
    }

    async fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<(), DemoError> {
        Ok(harness::post(&harness::platform_url(self.layout, path), body).await?)
    }

    async fn publish(&mut self) -> Result<(), DemoError> {
        self.revision += 1;
        let bundle = Bundle::new(self.revision, &self.set)
            .map_err(|e| DemoError::Deployment(e.to_string()))?;
        self.post("/control/publish", &bundle).await
    }

    fn zones(&self) -> Vec<String> {
        self.set.zones.iter().map(|it| it.name.clone()).collect()
    }

    /// Publishes the host list, with the addresses by which each zone reaches each host.
    async fn list_hosts(&self, listed: &[HostPlan], all: &[HostPlan]) -> Result<(), DemoError> {
        for (at, zone) in self.zones().iter().enumerate() {
            let rows: Vec<HostRow> = listed
                .iter()
                .map(|it| HostRow {
                    name: it.name.clone(),
                    zone: it.zone.clone(),
                    packets: self.layout.link(at, number_of(it, all)),
                    peers: self.layout.peers(number_of(it, all)),
                    leaving: false,
                })
                .collect();
            self.post(&format!("/control/hosts/{zone}"), &rows).await?;
        }
        Ok(())
    }

    fn start_host(&mut self, plan: &HostPlan, number: usize) -> Result<(), DemoError> {
        let log_dir = self.options.logs.as_ref().unwrap_or(&self.work);
        let log = fs::File::create(log_dir.join(format!("{}.log", plan.name)))?;
        let settings = harness::host_settings(self.layout, plan, number);
        let child = harness::start_daemon(&self.daemon, &self.work, plan, &settings, log.into())?;
        self.hosts.push(RunningHost { plan: plan.clone(), number, child });
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), DemoError> {
        for host in &self.hosts {
            harness::wait_ready(self.layout, &host.plan, host.number).await?;
        }
        Ok(())
    }

    /// Follows the callers until a time after their start.
    async fn watch(
        &mut self,
        callers: &mut Child,
        start: Instant,
        until: Duration,
        what: &str,
    ) -> Result<(), DemoError> {
        while start.elapsed() < until {
            if let CallersLine::Progress { open, answered } = callers.hear(START)? {
                (self.open, self.answered) = (open, answered);
            }
            let at = start.elapsed().as_secs();
            harness::progress(&format!(
                "{at:>3} s  {} flows, {} answers  {what}",
                self.open, self.answered
            ));
        }
        Ok(())
    }

    /// Publishes a revision in which the first endpoint of the first pool drains.
    async fn drain_one(&mut self) -> Result<(), DemoError> {
        if let Some(it) = self.set.pools.first_mut().and_then(|it| it.endpoints.first_mut()) {
            it.draining = true;
        }
        self.publish().await
    }

    /// The host that takes the place of the first one.
    fn replacement(&self) -> HostPlan {
        let first = &self.deployment.hosts[0];
        HostPlan { name: format!("{}-new", first.name), zone: first.zone.clone() }
    }

    async fn replace_host(
        &mut self,
        replacement: &HostPlan,
        all: &[HostPlan],
        network: &mut Child,
    ) -> Result<(), DemoError> {
        let mut listed = self.deployment.hosts.clone();
        listed.push(replacement.clone());
        self.list_hosts(&listed, all).await?;
        self.start_host(replacement, number_of(replacement, all))?;
        self.wait_ready().await?;
        network.tell(&NetworkCommand::Spray(self.addresses(&listed, all)));
        let old = listed.remove(0);
        network.tell(&NetworkCommand::Spray(self.addresses(&listed, all)));
        actix_rt::time::sleep(UNSPRAY).await;
        let at = self.hosts.iter().position(|it| it.plan == old);
        let Some(at) = at else { return Err(DemoError::Host("no host to replace".to_owned())) };
        let mut host = self.hosts.remove(at);
        stop_host(&mut host)?;
        self.list_hosts(&listed, all).await
    }

    fn addresses(&self, listed: &[HostPlan], all: &[HostPlan]) -> Vec<std::net::SocketAddrV4> {
        listed.iter().map(|it| self.layout.host(number_of(it, all))).collect()
    }

    fn callers_report(&self, callers: &mut Child) -> Result<CallersReport, DemoError> {
        loop {
            if let CallersLine::Report(it) = callers.hear(START)? {
                return Ok(it);
            }
        }
    }

    /// The lowest revision in force on any host.
    async fn least_revision(&self) -> Result<u64, DemoError> {
        let mut least = u64::MAX;
        for host in &self.hosts {
            let status = harness::status(self.layout, host.number).await?;
            least = least.min(status["revision"].as_u64().unwrap_or(0));
        }
        Ok(least)
    }

    fn stop_hosts(&mut self) -> Result<(), DemoError> {
        for host in &self.hosts {
            host.child.signal(libc::SIGTERM);
        }
        self.hosts.iter_mut().try_for_each(join_host)
    }

    fn network_plan(&self, all: &[HostPlan]) -> NetworkPlan {
        let mut links = Vec::new();
        for (at, zone) in self.zones().iter().enumerate() {
            for (number, host) in all.iter().enumerate() {
                links.push(LinkPlan {
                    zone: zone.clone(),
                    host: host.name.clone(),
                    host_zone: host.zone.clone(),
                    listen: self.layout.link(at, number),
                    to: self.layout.host(number),
                });
            }
        }
        NetworkPlan {
            from_callers: self.layout.fabric_callers(),
            from_hosts: self.layout.fabric(),
            callers: self.layout.callers(),
            client_latency_us: self.deployment.client_latency_us,
            zone_latency_us: self.deployment.zone_latency_us,
            links,
            spray: self.addresses(&self.deployment.hosts, all),
            seed: self.options.seed,
        }
    }

    fn load_of(&self, service: &ServiceView) -> Result<&ServiceLoad, DemoError> {
        let found = self.deployment.load.iter().find(|it| it.service == service.name);
        found.ok_or_else(|| DemoError::Deployment(format!("no load for service {}", service.name)))
    }

    fn upstreams_plan(&self, snapshot: &Snapshot) -> Result<UpstreamsPlan, DemoError> {
        let mut upstreams = Vec::new();
        for service in &snapshot.services {
            let load = self.load_of(service)?;
            for &at in &snapshot.pools[service.pool].upstreams {
                let it = &snapshot.upstreams[at];
                upstreams.push(UpstreamPlan {
                    name: it.name.clone(),
                    address: it.addr,
                    service: service.addr,
                    slots: it.slots,
                    cold_slots: it.cold_slots,
                    service_time_us: load.service_time_us,
                    answer_parts: load.answer_parts,
                    part_bytes: load.part_bytes,
                });
            }
        }
        Ok(UpstreamsPlan { upstreams })
    }

    fn callers_plan(&self, snapshot: &Snapshot) -> Result<CallersPlan, DemoError> {
        let scaled = |it: u32| (it * self.options.scale / 100).max(1);
        let mut services = Vec::new();
        for service in &snapshot.services {
            let load = self.load_of(service)?;
            services.push(ServicePlan {
                service: service.addr,
                flows: scaled(load.flows),
                requests_per_second: scaled(load.requests_per_second),
                non_idempotent_percent: load.non_idempotent_percent,
                deadline_ms: load.deadline_ms,
            });
        }
        let flows: u32 = services.iter().map(|it| it.flows).sum();
        Ok(CallersPlan {
            fabric: self.layout.fabric_callers(),
            listen: self.layout.callers(),
            opens_per_second: flows.div_ceil(OPEN_SECONDS),
            services,
            seed: self.options.seed,
        })
    }
}

fn number_of(host: &HostPlan, all: &[HostPlan]) -> usize {
    all.iter().position(|it| it == host).expect("every host is in the plan")
}

fn stop_host(host: &mut RunningHost) -> Result<(), DemoError> {
    host.child.signal(libc::SIGTERM);
    join_host(host)
}

fn join_host(host: &mut RunningHost) -> Result<(), DemoError> {
    match host.child.join(LEAVE) {
        Some(status) if status.success() => Ok(()),
        Some(status) => Err(DemoError::Host(format!("{} ended with {status}", host.plan.name))),
        None => Err(DemoError::Host(format!("{} did not leave in {LEAVE:?}", host.plan.name))),
    }
}

fn judge(
    seen: &CallersReport,
    served: &UpstreamsReport,
    traffic: &NetworkReport,
    elapsed: Duration,
    hosts: usize,
    revision: u64,
    published: u64,
) -> DemoReport {
    let ms = |us: u64| us as f64 / 1_000.0;
    let [p50, p99, p999] = seen.latency_us.map(ms);
    let mut report = DemoReport {
        flows: seen.flows,
        unopened: seen.unopened,
        requests: seen.requests,
        sent_again: seen.sent_again,
        answered: seen.answered,
        refused_not_run: seen.refused_not_run,
        outcome_unknown: seen.outcome_unknown,
        lost: seen.lost,
        broken_flows: seen.broken_flows,
        misrouted: seen.misrouted + served.misrouted,
        duplicate_runs: served.duplicate_runs,
        false_not_run: served.false_not_run,
        overloads: served.upstreams.iter().map(|it| it.overloads).sum(),
        imbalance_max_over_mean: imbalance(served),
        latency_ms: LatencyMs { p50, p99, p999 },
        control_bytes_per_second_per_host: traffic.control_bytes as f64
            / elapsed.as_secs_f64()
            / hosts as f64,
        relays_per_packet: traffic.relayed as f64 / traffic.from_callers.max(1) as f64,
        revision,
        codes: seen.codes.clone(),
        broken_promises: Vec::new(),
    };
    report.broken_promises = broken_promises(&report, published);
    report
}

fn broken_promises(report: &DemoReport, published: u64) -> Vec<String> {
    let counts = [
        ("flows not opened", report.unopened),
        ("requests without a final answer", report.lost),
        ("flows broken", report.broken_flows),
        ("packets misrouted", report.misrouted),
        ("non-idempotent requests run twice", report.duplicate_runs),
        ("refusals as not run that were false", report.false_not_run),
        ("overloads of cold upstreams", report.overloads),
    ];
    let mut broken: Vec<String> = counts
        .iter()
        .filter(|it| it.1 > 0)
        .map(|(what, count)| format!("{count} {what}"))
        .collect();
    if report.revision < published {
        broken.push(format!("revision {} in force, {published} published", report.revision));
    }
    if report.imbalance_max_over_mean > IMBALANCE_BOUND {
        broken.push(format!("imbalance {:.2}", report.imbalance_max_over_mean));
    }
    if report.answered == 0 {
        broken.push("no request was answered".to_owned());
    }
    broken
}

/// The worst pool's most loaded upstream over its mean, by flows opened.
fn imbalance(served: &UpstreamsReport) -> f64 {
    let mut pools: Vec<(&str, Vec<u64>)> = Vec::new();
    for it in &served.upstreams {
        let pool = it.name.split('/').next().unwrap_or_default();
        match pools.iter_mut().find(|it| it.0 == pool) {
            Some(found) => found.1.push(it.flows),
            None => pools.push((pool, vec![it.flows])),
        }
    }
    let ratio = |flows: &[u64]| {
        let most = flows.iter().max().copied().unwrap_or(0);
        let mean = flows.iter().sum::<u64>() as f64 / flows.len().max(1) as f64;
        if mean > 0.0 { most as f64 / mean } else { 0.0 }
    };
    pools.iter().map(|it| ratio(&it.1)).fold(0.0, f64::max)
}
