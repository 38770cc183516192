//! The service `probes`: checks whether an upstream responds, and whether it is the expected one.

use std::{io::ErrorKind, net::SocketAddrV4, rc::Rc, time::Duration};

use actix::Recipient;
use pomelorun_core::direct::{Probe, ProbeKind, ProbeResult};
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
/// Timeout for connecting to the reference upstream, which responded recently; if it does not
/// accept the connection either, the fault is probably local. Half of [`CONNECT_TIMEOUT`], because
/// a path slow enough to delay the first connection delays this one too.
const REFERENCE_TIMEOUT: Duration = Duration::from_millis(75);
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

async fn connect(it: &Probe) -> ProbeResult {
    match try_connect(it.addr, CONNECT_TIMEOUT).await {
        ConnectResult::Accepted => ProbeResult::Answered,
        ConnectResult::Refused => ProbeResult::NoResponse,
        ConnectResult::LocalError => ProbeResult::Inconclusive,
        ConnectResult::NoResponse => {
            let Some(reference) = it.reference_addr else { return ProbeResult::NoResponse };
            match try_connect(reference, REFERENCE_TIMEOUT).await {
                ConnectResult::Accepted | ConnectResult::Refused => ProbeResult::NoResponse,
                ConnectResult::NoResponse | ConnectResult::LocalError => {
                    warn!("probe inconclusive: reference upstream does not respond either", kv: {
                        code = Code::LOCAL_FAULT.to_string(),
                        upstream = format!("{:016x}", it.upstream.id)
                    });
                    ProbeResult::Inconclusive
                }
            }
        }
    }
}

/// Result of an attempt to connect.
enum ConnectResult {
    Accepted,
    /// The address responded, but no process listens there.
    Refused,
    /// The attempt timed out, or the network or host is unreachable.
    NoResponse,
    /// The attempt failed on this host, for example for lack of file descriptors.
    LocalError,
}

async fn try_connect(addr: SocketAddrV4, connect_timeout: Duration) -> ConnectResult {
    match timeout(connect_timeout, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => ConnectResult::Accepted,
        Err(_) => ConnectResult::NoResponse,
        Ok(Err(e)) => match e.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => ConnectResult::Refused,
            ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable | ErrorKind::TimedOut => {
                ConnectResult::NoResponse
            }
            _ => {
                warn!("cannot send probe", kv: {
                    code = Code::LOCAL_FAULT.to_string(), error = e.to_string()
                });
                ConnectResult::LocalError
            }
        },
    }
}

async fn identify(prober: &dyn Prober, it: &Probe) -> ProbeResult {
    match prober.identify(it.addr, &it.path, IDENTIFY_TIMEOUT).await {
        Ok(id) if id == it.upstream.id => ProbeResult::Answered,
        Ok(_) => ProbeResult::OtherUpstream,
        // A busy upstream may take longer than the timeout to respond.
        Err(
            DirectoryError::Timeout
            | DirectoryError::Failed(_)
            | DirectoryError::HistoryExpired
            | DirectoryError::AddressChanged,
        ) => ProbeResult::Inconclusive,
    }
}
