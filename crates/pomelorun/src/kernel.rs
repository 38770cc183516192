//! Starting, finding and stopping services.

use std::{future::Future, pin::Pin};

use actix::Recipient;
use thiserror::Error;
use tokio::task::JoinHandle;

use crate::service_message::ServiceMessage;

/// What a service returns when it is asked to stop.
pub(crate) type StopFuture = Pin<Box<dyn Future<Output = ()>>>;

/// Why a service did not start.
#[derive(Debug, Error)]
#[error("service {service}: {detail}")]
pub(crate) struct StartError {
    pub(crate) service: &'static str,
    pub(crate) detail: String,
}

/// A part of the daemon with a name of its own.
pub(crate) trait Service {
    /// Name by which others find it.
    fn name(&self) -> &'static str;

    /// Starts it; services started before it can be found in `registry`.
    fn start(
        &mut self,
        registry: &Registry,
    ) -> Result<Option<Recipient<ServiceMessage>>, StartError>;

    /// Stops it and joins all that it has spawned.
    fn stop(&mut self) -> StopFuture;
}

/// Aborts tasks and joins them.
pub(crate) fn join_aborted(
    tasks: impl IntoIterator<Item = JoinHandle<()>> + 'static,
) -> StopFuture {
    Box::pin(async move {
        for task in tasks {
            task.abort();
            // An aborted task ends with an error that says just that.
            let _ = task.await;
        }
    })
}

/// The services that take messages, sorted by name.
#[derive(Default)]
pub(crate) struct Registry {
    entries: Vec<(&'static str, Recipient<ServiceMessage>)>,
}

impl Registry {
    /// Finds a service by name.
    pub(crate) fn find(&self, name: &str) -> Option<Recipient<ServiceMessage>> {
        let at = self.entries.binary_search_by(|it| it.0.cmp(name)).ok()?;
        Some(self.entries[at].1.clone())
    }

    /// Finds a service that another one cannot do without.
    pub(crate) fn require(
        &self,
        name: &'static str,
        by: &'static str,
    ) -> Result<Recipient<ServiceMessage>, StartError> {
        let missing = || StartError { service: by, detail: format!("needs service {name}") };
        self.find(name).ok_or_else(missing)
    }

    fn add(&mut self, name: &'static str, recipient: Recipient<ServiceMessage>) {
        let at = self.entries.partition_point(|it| it.0 < name);
        self.entries.insert(at, (name, recipient));
    }
}

/// Runs services.
#[derive(Default)]
pub(crate) struct Kernel {
    registry: Registry,
    running: Vec<Box<dyn Service>>,
}

impl Kernel {
    /// Starts a service.
    pub(crate) fn start(&mut self, mut service: Box<dyn Service>) -> Result<(), StartError> {
        let recipient = service.start(&self.registry)?;
        if let Some(it) = recipient {
            self.registry.add(service.name(), it);
        }
        self.running.push(service);
        Ok(())
    }

    /// The services that take messages.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Stops all services, the last one started first.
    pub(crate) async fn stop(&mut self) {
        while let Some(mut service) = self.running.pop() {
            service.stop().await;
        }
    }
}
