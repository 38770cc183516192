//! The service `probes`: checks whether an upstream responds, and whether it is the expected one.

use std::{
    io::ErrorKind,
    net::SocketAddrV4,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use actix::Recipient;
use pomelorun_core::{
    Millis,
    direct::{ConnectAttempt, Probe, ProbeKind, ProbeResult, conclude_connect},
};
use pomelorun_wire::Code;
use spdlog::prelude::*;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    task::{JoinHandle, JoinSet},
    time::timeout,
};

use crate::{
    direct::{
        edge::SharedEdge,
        platform::{DirectoryError, Prober},
    },
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    service_message::ServiceMessage,
};

const PROBES: &str = "probes";
/// Timeout for connecting to an upstream: about 30 round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay after which an upstream that has not accepted a connection gets a second attempt, together
/// with the reference upstream. Both have half of [`CONNECT_TIMEOUT`] left, so that they end with the
/// first attempt: a reference that is connected to later may find that a full link has drained.
const SECOND_ATTEMPT_DELAY: Duration = Duration::from_millis(75);
/// Timeout for the identifier of an upstream, which responds only after the requests queued there.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of concurrent probes.
const MAX_PROBES: usize = 64;

/// The service `probes`.
pub(crate) struct ProbeService {
    edge: SharedEdge,
    prober: Rc<dyn Prober>,
    rx: Option<mpsc::UnboundedReceiver<Probe>>,
    task: Option<JoinHandle<()>>,
}

impl ProbeService {
    pub(crate) fn new(
        edge: SharedEdge,
        prober: Rc<dyn Prober>,
        rx: mpsc::UnboundedReceiver<Probe>,
    ) -> ProbeService {
        ProbeService { edge, prober, rx: Some(rx), task: None }
    }
}

impl Service for ProbeService {
    fn name(&self) -> &'static str {
        PROBES
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        if let Some(rx) = self.rx.take() {
            let (edge, prober) = (Rc::clone(&self.edge), Rc::clone(&self.prober));
            self.task = Some(actix_rt::spawn(run_probes(edge, prober, rx)));
        }
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(self.task.take())
    }
}

async fn run_probes(
    edge: SharedEdge,
    prober: Rc<dyn Prober>,
    mut rx: mpsc::UnboundedReceiver<Probe>,
) {
    // Dropping the set aborts all probes.
    let mut probes = JoinSet::new();
    loop {
        tokio::select! {
            Some(it) = rx.recv(), if probes.len() < MAX_PROBES => {
                let prober = Rc::clone(&prober);
                probes.spawn_local(async move {
                    let result = match it.kind {
                        ProbeKind::Connect => connect(&it).await,
                        ProbeKind::Identify => identify(&*prober, &it).await,
                    };
                    (it.upstream, result)
                });
            }
            Some(done) = probes.join_next() => {
                if let Ok((upstream, result)) = done {
                    edge.borrow_mut().apply_probe_result(upstream, result);
                }
            }
            else => return,
        }
    }
}

/// Connects to the upstream, and after [`SECOND_ATTEMPT_DELAY`] once more, together with the reference
/// upstream.
async fn connect(it: &Probe) -> ProbeResult {
    let started = Instant::now();
    let mut first = pin!(try_connect(it.addr, CONNECT_TIMEOUT));
    let early = timeout(SECOND_ATTEMPT_DELAY, &mut first).await.ok();
    if let Some(it) = early.filter(|it| *it != ConnectAttempt::NoResponse) {
        return conclude_connect([it; 2], None, elapsed(started));
    }
    let remaining = CONNECT_TIMEOUT - SECOND_ATTEMPT_DELAY;
    let rest_of_first = async {
        match early {
            Some(it) => it,
            None => first.await,
        }
    };
    let reference = async {
        match it.reference_addr {
            Some(addr) => Some(try_connect(addr, remaining).await),
            None => None,
        }
    };
    let second = try_connect(it.addr, remaining);
    let (first, second, reference) = tokio::join!(rest_of_first, second, reference);
    let result = conclude_connect([first, second], reference, elapsed(started));
    if result == ProbeResult::Inconclusive {
        warn!("probe inconclusive: reference upstream does not respond either, or this host was stalled", kv: {
            code = Code::LOCAL_FAULT.to_string(), upstream = format!("{:016x}", it.upstream.id)
        });
    }
    result
}

fn elapsed(started: Instant) -> Millis {
    Millis(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX))
}

async fn try_connect(addr: SocketAddrV4, connect_timeout: Duration) -> ConnectAttempt {
    match timeout(connect_timeout, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => ConnectAttempt::Accepted,
        Err(_) => ConnectAttempt::NoResponse,
        Ok(Err(e)) => match e.kind() {
            ErrorKind::ConnectionRefused => ConnectAttempt::Refused,
            ErrorKind::ConnectionReset => ConnectAttempt::Reset,
            ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable | ErrorKind::TimedOut => {
                ConnectAttempt::NoResponse
            }
            _ => {
                warn!("cannot send probe", kv: {
                    code = Code::LOCAL_FAULT.to_string(), error = e.to_string()
                });
                ConnectAttempt::LocalError
            }
        },
    }
}

async fn identify(prober: &dyn Prober, it: &Probe) -> ProbeResult {
    match prober.identify(it.addr, &it.path, IDENTIFY_TIMEOUT).await {
        Ok(id) if id == it.upstream.id => ProbeResult::Answered,
        Ok(_) => ProbeResult::OtherUpstream,
        Err(DirectoryError::Refused) => ProbeResult::Refused,
        // A busy upstream may take longer than the timeout to respond.
        Err(
            DirectoryError::Timeout
            | DirectoryError::Incomplete
            | DirectoryError::Failed(_)
            | DirectoryError::HistoryExpired
            | DirectoryError::AddressChanged,
        ) => ProbeResult::Inconclusive,
    }
}
