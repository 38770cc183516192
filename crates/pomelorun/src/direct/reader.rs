//! The service `reader`: reads the directory and tells the service `edge`.

use std::{rc::Rc, time::Duration};

use actix::Recipient;
use pomelorun_core::direct::{Next, Outcome, Reading, StoreView};
use spdlog::prelude::*;
use tokio::task::JoinHandle;

use crate::{
    direct::{
        edge::SharedEdge,
        platform::{Directory, SourceError},
    },
    control::Control,
    kernel::{Registry, Service, StartError, Stopped, join_aborted},
};

const READER: &str = "reader";

/// The service.
pub(crate) struct Reader {
    edge: SharedEdge,
    directory: Rc<dyn Directory>,
    task: Option<JoinHandle<()>>,
}

impl Reader {
    pub(crate) fn new(edge: SharedEdge, directory: Rc<dyn Directory>) -> Reader {
        Reader { edge, directory, task: None }
    }
}

impl Service for Reader {
    fn name(&self) -> &'static str {
        READER
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<Control>>, StartError> {
        let (edge, directory) = (Rc::clone(&self.edge), Rc::clone(&self.directory));
        self.task = Some(actix_rt::spawn(read(edge, directory)));
        Ok(None)
    }

    fn stop(&mut self) -> Stopped {
        join_aborted(self.task.take())
    }
}

async fn read(edge: SharedEdge, directory: Rc<dyn Directory>) {
    let mut reading = Reading::default();
    let mut outcome = None;
    let mut lost = false;
    loop {
        let step = reading.next(outcome, rand::random());
        let got = match step {
            Next::List { pause, limit } => {
                tokio::time::sleep(span(pause.0)).await;
                list(&edge, &*directory, span(limit.0)).await
            }
            Next::Watch { pause, after, wait, limit } => {
                tokio::time::sleep(span(pause.0)).await;
                watch(&edge, &*directory, after, span(wait.0), span(limit.0)).await
            }
        };
        let view = match &got {
            Err(SourceError::Silent | SourceError::Failed(_)) => StoreView::Away,
            Ok(_) | Err(SourceError::HistoryGone) => StoreView::Answering,
        };
        log_change(&mut lost, view, got.as_ref().err());
        edge.borrow_mut().store(view);
        outcome = Some(match got {
            Ok(it) => it,
            Err(SourceError::HistoryGone) => Outcome::HistoryGone,
            Err(SourceError::Silent | SourceError::Failed(_)) => Outcome::Failed,
        });
    }
}

async fn list(
    edge: &SharedEdge,
    directory: &dyn Directory,
    limit: Duration,
) -> Result<Outcome, SourceError> {
    let it = directory.list(limit).await?;
    log_unreadable(&it.unreadable);
    let mut edge = edge.borrow_mut();
    edge.store(StoreView::Answering);
    edge.listing(&it.items);
    Ok(Outcome::Listed(it.revision))
}

async fn watch(
    edge: &SharedEdge,
    directory: &dyn Directory,
    after: u64,
    wait: Duration,
    limit: Duration,
) -> Result<Outcome, SourceError> {
    let it = directory.watch(after, wait, limit).await?;
    log_unreadable(&it.unreadable);
    let mut edge = edge.borrow_mut();
    edge.store(StoreView::Answering);
    edge.published(&it.items);
    Ok(Outcome::Watched { revision: it.revision, events: !it.items.is_empty() })
}

fn log_change(lost: &mut bool, view: StoreView, error: Option<&SourceError>) {
    match (view, *lost) {
        (StoreView::Away, false) => {
            let error = error.map(ToString::to_string).unwrap_or_default();
            warn!("directory lost", kv: { code = "PR0303", error });
        }
        (StoreView::Answering, true) => info!("directory regained"),
        _ => {}
    }
    *lost = view == StoreView::Away;
}

fn log_unreadable(entries: &[String]) {
    for it in entries {
        warn!("entry of the directory not used", kv: { code = "PR0401", entry = it.as_str() });
    }
}

fn span(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
