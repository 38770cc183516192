//! The service `probes`: finds out whether an upstream answers, and who.

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
/// Time within which an upstream must accept a connection: some thirty round trips between zones.
const CONNECT_TIME: Duration = Duration::from_millis(150);
/// Time within which one that answered lately must accept one, so that silence is not this host's own:
/// half, since a path that is slow enough to hold up the one holds up the other.
const WITNESS_TIME: Duration = Duration::from_millis(75);
/// Time within which it must say who it is: it does so behind the requests that wait there.
const IDENTIFY_TIME: Duration = Duration::from_millis(500);
/// Probes under way at a time.
const MOST_PROBES: usize = 64;

/// The service.
pub(crate) struct Probes {
    edge: SharedEdge,
    prober: Rc<dyn Prober>,
    rx: Option<mpsc::UnboundedReceiver<Probe>>,
    task: Option<JoinHandle<()>>,
}

impl Probes {
    pub(crate) fn new(
        edge: SharedEdge,
        prober: Rc<dyn Prober>,
        rx: mpsc::UnboundedReceiver<Probe>,
    ) -> Probes {
        Probes { edge, prober, rx: Some(rx), task: None }
    }
}

impl Service for Probes {
    fn name(&self) -> &'static str {
        PROBES
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        if let Some(rx) = self.rx.take() {
            let (edge, prober) = (Rc::clone(&self.edge), Rc::clone(&self.prober));
            self.task = Some(actix_rt::spawn(probe(edge, prober, rx)));
        }
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(self.task.take())
    }
}

async fn probe(edge: SharedEdge, prober: Rc<dyn Prober>, mut rx: mpsc::UnboundedReceiver<Probe>) {
    // Dropping the set with this task ends all probes.
    let mut probes = JoinSet::new();
    loop {
        tokio::select! {
            Some(it) = rx.recv(), if probes.len() < MOST_PROBES => {
                let prober = Rc::clone(&prober);
                probes.spawn_local(async move {
                    let found = match it.kind {
                        ProbeKind::Connect => connect(&it).await,
                        ProbeKind::Identify => identify(&*prober, &it).await,
                    };
                    (it.upstream, found)
                });
            }
            Some(done) = probes.join_next() => {
                if let Ok((upstream, found)) = done {
                    edge.borrow_mut().probed(upstream, found);
                }
            }
            else => return,
        }
    }
}

async fn connect(it: &Probe) -> ProbeResult {
    match try_connect(it.addr, CONNECT_TIME).await {
        Connected::Accepted => ProbeResult::Answered,
        Connected::Refused => ProbeResult::NoResponse,
        Connected::NotTried => ProbeResult::Inconclusive,
        Connected::Silent => {
            let Some(reference) = it.reference_addr else { return ProbeResult::NoResponse };
            match try_connect(reference, WITNESS_TIME).await {
                Connected::Accepted | Connected::Refused => ProbeResult::NoResponse,
                Connected::Silent | Connected::NotTried => {
                    warn!("probe shows nothing, an upstream that answered lately is silent too", kv: {
                        code = Code::LOCAL_FAULT.to_string(), upstream = format!("{:016x}", it.upstream.id)
                    });
                    ProbeResult::Inconclusive
                }
            }
        }
    }
}

/// What came of an attempt to connect.
enum Connected {
    Accepted,
    /// The address answered, and nobody listens there.
    Refused,
    /// Nothing came in time, or no way leads there.
    Silent,
    /// This host could not even try.
    NotTried,
}

async fn try_connect(addr: SocketAddrV4, limit: Duration) -> Connected {
    match timeout(limit, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => Connected::Accepted,
        Err(_) => Connected::Silent,
        Ok(Err(e)) => match e.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Connected::Refused,
            ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable | ErrorKind::TimedOut => {
                Connected::Silent
            }
            _ => {
                warn!("probe not sent", kv: { code = Code::LOCAL_FAULT.to_string(), error = e.to_string() });
                Connected::NotTried
            }
        },
    }
}

async fn identify(prober: &dyn Prober, it: &Probe) -> ProbeResult {
    match prober.identify(it.addr, &it.path, IDENTIFY_TIME).await {
        Ok(id) if id == it.upstream.id => ProbeResult::Answered,
        Ok(_) => ProbeResult::OtherUpstream,
        // A busy upstream may be silent for longer.
        Err(DirectoryError::Timeout | DirectoryError::Failed(_) | DirectoryError::HistoryGone) => {
            ProbeResult::Inconclusive
        }
    }
}
