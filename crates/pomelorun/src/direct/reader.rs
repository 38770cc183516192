//! The service `reader`: learns what is published, from the directory or from another host.

use std::{net::SocketAddrV4, rc::Rc, time::Duration};

use actix::Recipient;
use pomelorun_core::direct::{
    DirectoryState, DirectorySync, Readers, SyncOutcome, SyncStep, address_of,
};
use pomelorun_wire::{Code, HostId};
use spdlog::prelude::*;
use tokio::{sync::watch, task::JoinHandle};

use crate::{
    direct::{
        edge::{SharedEdge, now},
        feed::{FeedMsg, FeedStream, SharedFeed},
        platform::{Directory, DirectoryError},
    },
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    service_message::ServiceMessage,
};

const READER: &str = "reader";

/// What the reader works with.
pub(crate) struct Sources {
    pub(crate) edge: SharedEdge,
    pub(crate) feed: SharedFeed,
    pub(crate) directory: Rc<dyn Directory>,
    pub(crate) readers: watch::Receiver<Readers>,
    /// Port at which other hosts give their feeds.
    pub(crate) feed_port: u16,
}

/// The service.
pub(crate) struct Reader {
    sources: Option<Sources>,
    task: Option<JoinHandle<()>>,
}

impl Reader {
    pub(crate) fn new(sources: Sources) -> Reader {
        Reader { sources: Some(sources), task: None }
    }
}

impl Service for Reader {
    fn name(&self) -> &'static str {
        READER
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        if let Some(it) = self.sources.take() {
            self.task = Some(actix_rt::spawn(read(it)));
        }
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(self.task.take())
    }
}

async fn read(mut sources: Sources) {
    let mut sync = DirectorySync::default();
    let mut outcome = None;
    let mut lost = false;
    loop {
        let readers = sources.readers.borrow_and_update().clone();
        let followed = sources.feed.borrow().followed();
        let step = sync.next_step(now(), outcome, &readers, followed, rand::random());
        let follows = matches!(step, SyncStep::Follow { .. });
        sources.feed.borrow_mut().serve(sync.is_reader(now()) && !follows);
        debug!("step", kv: { step = format!("{step:?}") });
        outcome = Some(match step {
            SyncStep::Pause(pause) => {
                tokio::time::sleep(span(pause.0)).await;
                SyncOutcome::Waited
            }
            SyncStep::Follow { pause, host } => {
                tokio::time::sleep(span(pause.0)).await;
                follow(&mut sources, host, sync.known_revision()).await
            }
            SyncStep::List { pause, limit } => {
                tokio::time::sleep(span(pause.0)).await;
                let got = list(&sources, span(limit.0)).await;
                settle(&sources, &mut lost, got)
            }
            SyncStep::Watch { pause, after, wait, limit } => {
                tokio::time::sleep(span(pause.0)).await;
                let got = watch(&sources, after, span(wait.0), span(limit.0)).await;
                settle(&sources, &mut lost, got)
            }
        });
    }
}

/// Notes how the directory was reached.
fn settle(
    sources: &Sources,
    lost: &mut bool,
    got: Result<SyncOutcome, DirectoryError>,
) -> SyncOutcome {
    let view = match &got {
        Err(DirectoryError::Timeout | DirectoryError::Failed(_)) => DirectoryState::Unavailable,
        Ok(_) | Err(DirectoryError::HistoryGone) => DirectoryState::Available,
    };
    match (view, *lost) {
        (DirectoryState::Unavailable, false) => {
            let error = got.as_ref().err().map(ToString::to_string).unwrap_or_default();
            warn!("directory lost", kv: { code = Code::CONFIG_STALE.to_string(), error });
        }
        (DirectoryState::Available, true) => info!("directory regained", kv: {
            code = Code::DIRECTORY_RECOVERED.to_string()
        }),
        _ => {}
    }
    *lost = view == DirectoryState::Unavailable;
    sources.edge.borrow_mut().store(view);
    sources.feed.borrow_mut().view(view);
    match got {
        Ok(it) => it,
        Err(DirectoryError::HistoryGone) => SyncOutcome::HistoryExpired,
        Err(DirectoryError::Timeout | DirectoryError::Failed(_)) => SyncOutcome::Failed,
    }
}

async fn list(sources: &Sources, limit: Duration) -> Result<SyncOutcome, DirectoryError> {
    let it = sources.directory.list(limit).await?;
    log_unreadable(&it.unreadable);
    {
        let mut edge = sources.edge.borrow_mut();
        edge.store(DirectoryState::Available);
        edge.listing(&it.items);
    }
    sources.feed.borrow_mut().listed(it.revision);
    Ok(SyncOutcome::Listed(it.revision))
}

async fn watch(
    sources: &Sources,
    after: u64,
    wait: Duration,
    limit: Duration,
) -> Result<SyncOutcome, DirectoryError> {
    let it = sources.directory.watch(after, wait, limit).await?;
    log_unreadable(&it.unreadable);
    let events = !it.items.is_empty();
    let shared = {
        let mut edge = sources.edge.borrow_mut();
        edge.store(DirectoryState::Available);
        edge.take_and_share(&it.items)
    };
    if events {
        sources.feed.borrow_mut().events(it.revision, shared);
    }
    Ok(SyncOutcome::Watched { revision: it.revision, events })
}

/// Follows a host until it falls silent, loses the directory, or this host is to read itself.
/// `known` is the revision of the directory up to which everything is known here.
async fn follow(sources: &mut Sources, host: HostId, known: Option<u64>) -> SyncOutcome {
    let address = SocketAddrV4::new(address_of(host), sources.feed_port);
    let mut revision = None;
    let has = sources.edge.borrow().revision();
    let mut stream = match FeedStream::connect(address, has).await {
        Ok(it) => it,
        Err(error) => {
            info!("host not followed", kv: { code = Code::FEED_LOST.to_string(), host = address.to_string(), error });
            return SyncOutcome::FollowEnded { revision };
        }
    };
    let end = loop {
        let msg = tokio::select! {
            msg = stream.next() => msg,
            changed = sources.readers.changed() => {
                if changed.is_err() || sources.readers.borrow_and_update().is_reader {
                    break "this host reads".to_owned();
                }
                continue;
            }
        };
        match msg.and_then(|msg| take(sources, known, &mut revision, msg)) {
            Ok(Taken::Everything) => {
                info!("following", kv: { code = Code::FEED_FOLLOWED.to_string(), host = address.to_string() });
            }
            Ok(Taken::News) => {}
            Err(e) => break e,
        }
    };
    info!("no longer following", kv: { code = Code::FEED_LOST.to_string(), host = address.to_string(), why = end });
    SyncOutcome::FollowEnded { revision }
}

/// What a followed host said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Taken {
    Everything,
    News,
}

/// Takes in one message of a followed host.
fn take(
    sources: &Sources,
    known: Option<u64>,
    revision: &mut Option<u64>,
    msg: FeedMsg,
) -> Result<Taken, String> {
    let mut edge = sources.edge.borrow_mut();
    let (newest, away) = match &msg {
        FeedMsg::All { revision, away, .. } | FeedMsg::Idle { revision, away } => {
            (*revision, *away)
        }
        FeedMsg::Events { revision, .. } => (*revision, false),
    };
    // Old news would undo what is known here, but are better than none.
    let informed = edge.is_informed();
    if informed && known.is_some_and(|it| newest < it) {
        return Err("it knows less than this host".to_owned());
    }
    if !away {
        edge.store(DirectoryState::Available);
    } else if informed {
        return Err("it has lost the directory".to_owned());
    }
    let said = if matches!(msg, FeedMsg::All { .. }) { Taken::Everything } else { Taken::News };
    let taken = match msg {
        FeedMsg::All { items, .. } => edge.take_listing(items),
        FeedMsg::Events { items, .. } => edge.take_events(items),
        FeedMsg::Idle { .. } => Ok(()),
    };
    taken.map_err(|e| e.to_string())?;
    *revision = Some(newest);
    Ok(said)
}

fn log_unreadable(entries: &[String]) {
    for it in entries {
        warn!("entry of the directory not used", kv: { code = Code::ENTRY_UNREADABLE.to_string(), entry = it.as_str() });
    }
}

fn span(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
