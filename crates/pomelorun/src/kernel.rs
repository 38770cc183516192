//! The micro-kernel: starts, registers and stops the services of a daemon.

use std::{future::Future, pin::Pin};

use actix::Recipient;
use thiserror::Error;
use tokio::task::JoinHandle;

use crate::service_message::ServiceMessage;

/// Future that completes once a service has stopped.
pub(crate) type StopFuture = Pin<Box<dyn Future<Output = ()>>>;

/// Error of a service that failed to start.
#[derive(Debug, Error)]
#[error("service {service}: {detail}")]
pub(crate) struct StartError {
    pub(crate) service: &'static str,
    pub(crate) detail: String,
}

/// A named part of the daemon with its own life cycle.
pub(crate) trait Service {
    /// Returns the name under which the service is registered.
    fn name(&self) -> &'static str;

    /// Starts the service; `registry` holds the services that were started before.
    ///
    /// Returns the recipient of its messages, or `None` if it takes none.
    fn start(
        &mut self,
        registry: &Registry,
    ) -> Result<Option<Recipient<ServiceMessage>>, StartError>;

    /// Stops the service and joins all tasks that it has spawned.
    fn stop(&mut self) -> StopFuture;
}

/// Aborts tasks and joins them.
pub(crate) fn abort_and_join(
    tasks: impl IntoIterator<Item = JoinHandle<()>> + 'static,
) -> StopFuture {
    Box::pin(async move {
        for task in tasks {
            task.abort();
            // The result of an aborted task is always a `JoinError`.
            let _ = task.await;
        }
    })
}

/// Recipients of the services that take messages, sorted by name.
#[derive(Default)]
pub(crate) struct Registry {
    entries: Vec<(&'static str, Recipient<ServiceMessage>)>,
}

impl Registry {
    /// Returns the recipient of a service, or `None` if the service is not registered.
    pub(crate) fn find(&self, name: &str) -> Option<Recipient<ServiceMessage>> {
        let at = self.entries.binary_search_by(|it| it.0.cmp(name)).ok()?;
        Some(self.entries[at].1.clone())
    }

    /// Returns the recipient of a service that the service `by` depends on.
    pub(crate) fn require(
        &self,
        name: &'static str,
        by: &'static str,
    ) -> Result<Recipient<ServiceMessage>, StartError> {
        let missing = || StartError {
            service: by,
            detail: format!("requires service `{name}`, which is not running"),
        };
        self.find(name).ok_or_else(missing)
    }

    fn insert(&mut self, name: &'static str, recipient: Recipient<ServiceMessage>) {
        let at = self.entries.partition_point(|it| it.0 < name);
        self.entries.insert(at, (name, recipient));
    }
}

/// Runs the services of a daemon.
#[derive(Default)]
pub(crate) struct Kernel {
    registry: Registry,
    running: Vec<Box<dyn Service>>,
}

impl Kernel {
    /// Starts a service and registers it if it takes messages.
    pub(crate) fn start(&mut self, mut service: Box<dyn Service>) -> Result<(), StartError> {
        let recipient = service.start(&self.registry)?;
        if let Some(it) = recipient {
            self.registry.insert(service.name(), it);
        }
        self.running.push(service);
        Ok(())
    }

    /// Returns the registry of the services that take messages.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Stops all services in reverse order of their start.
    pub(crate) async fn stop(&mut self) {
        while let Some(mut service) = self.running.pop() {
            service.stop().await;
        }
    }
}
