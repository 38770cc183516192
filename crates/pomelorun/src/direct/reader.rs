//! The service `reader`: synchronizes this host with the directory, directly or through another
//! host's feed.

use std::{net::SocketAddrV4, rc::Rc, time::Duration};

use actix::Recipient;
use pomelorun_core::{
    Millis,
    direct::{
        DirectoryPosition, DirectoryState, DirectorySync, ListingNews, ListingState, Readers,
        ResponseEra, SyncOutcome, SyncStep, address_of,
    },
};
use pomelorun_wire::{Code, HostId};
use spdlog::prelude::*;
use tokio::{sync::watch, task::JoinHandle};

use crate::{
    direct::{
        edge::{SharedEdge, now},
        feed::{FeedMsg, FeedStream, Hello, SharedFeed},
        platform::{Directory, DirectoryError},
    },
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    service_message::ServiceMessage,
};

const READER: &str = "reader";

/// Shared state and connections of the reader.
pub(crate) struct ReaderContext {
    pub(crate) edge: SharedEdge,
    pub(crate) feed: SharedFeed,
    pub(crate) directory: Rc<dyn Directory>,
    pub(crate) readers: watch::Receiver<Readers>,
    /// Port of the other hosts' feeds.
    pub(crate) feed_port: u16,
}

/// The service `reader`.
pub(crate) struct ReaderService {
    cx: Option<ReaderContext>,
    task: Option<JoinHandle<()>>,
}

impl ReaderService {
    pub(crate) fn new(cx: ReaderContext) -> ReaderService {
        ReaderService { cx: Some(cx), task: None }
    }
}

impl Service for ReaderService {
    fn name(&self) -> &'static str {
        READER
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        if let Some(it) = self.cx.take() {
            self.task = Some(actix_rt::spawn(sync_directory(it)));
        }
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(self.task.take())
    }
}

async fn sync_directory(mut cx: ReaderContext) {
    let mut sync = DirectorySync::default();
    let mut outcome = None;
    let mut unavailable = false;
    loop {
        let readers = cx.readers.borrow_and_update().clone();
        let has_followers = cx.feed.borrow().has_followers();
        if cx.edge.borrow().is_listing_due() {
            sync.request_listing();
        }
        let step = sync.next_step(now(), outcome, &readers, has_followers, rand::random());
        let is_follower = matches!(step, SyncStep::Follow { .. });
        {
            let mut feed = cx.feed.borrow_mut();
            if let Some(it) = sync.known_position() {
                feed.set_position(it);
            }
            feed.set_serving(sync.is_reader(now()) && !is_follower);
        }
        debug!("directory sync step", kv: { step = format!("{step:?}") });
        outcome = Some(match step {
            SyncStep::Pause(pause) => {
                tokio::time::sleep(millis(pause.0)).await;
                SyncOutcome::Waited
            }
            SyncStep::Follow { pause, host } => {
                tokio::time::sleep(millis(pause.0)).await;
                follow(&mut cx, &mut sync, host).await
            }
            SyncStep::List { pause, limit } => {
                tokio::time::sleep(millis(pause.0)).await;
                let res = list(&cx, &mut sync, millis(limit.0)).await;
                record_directory_state(&cx, &sync, &mut unavailable, res)
            }
            SyncStep::Watch { pause, after, wait, limit } => {
                tokio::time::sleep(millis(pause.0)).await;
                let res = watch(&cx, &mut sync, after, wait, millis(limit.0)).await;
                record_directory_state(&cx, &sync, &mut unavailable, res)
            }
        });
    }
}

/// Records whether the directory responded and logs a change of its availability.
fn record_directory_state(
    cx: &ReaderContext,
    sync: &DirectorySync,
    unavailable: &mut bool,
    res: Result<SyncOutcome, DirectoryError>,
) -> SyncOutcome {
    let state = match &res {
        Err(DirectoryError::Timeout | DirectoryError::Refused | DirectoryError::Failed(_)) => {
            DirectoryState::Unavailable
        }
        Ok(_)
        | Err(
            DirectoryError::Incomplete
            | DirectoryError::HistoryExpired
            | DirectoryError::AddressChanged,
        ) => DirectoryState::Available,
    };
    match (state, *unavailable) {
        (DirectoryState::Unavailable, false) => {
            let error = res.as_ref().err().map(ToString::to_string).unwrap_or_default();
            warn!("directory unavailable", kv: {
                code = Code::CONFIG_STALE.to_string(), error, age_ms = age_ms(sync)
            });
        }
        (DirectoryState::Available, true) => info!("directory available again", kv: {
            code = Code::DIRECTORY_RECOVERED.to_string()
        }),
        _ => {}
    }
    *unavailable = state == DirectoryState::Unavailable;
    cx.edge.borrow_mut().set_directory_state(state);
    cx.feed.borrow_mut().set_directory_state(state);
    match res {
        Ok(it) => it,
        Err(DirectoryError::Incomplete) => {
            info!("directory response not received in time", kv: {
                code = Code::DIRECTORY_RESPONSE_INCOMPLETE.to_string(), age_ms = age_ms(sync)
            });
            SyncOutcome::Incomplete
        }
        Err(DirectoryError::HistoryExpired) => SyncOutcome::HistoryExpired,
        Err(DirectoryError::AddressChanged) => SyncOutcome::DirectoryReplaced,
        Err(DirectoryError::Timeout | DirectoryError::Refused | DirectoryError::Failed(_)) => {
            SyncOutcome::Failed
        }
    }
}

/// Lists the directory page by page.
async fn list(
    cx: &ReaderContext,
    sync: &mut DirectorySync,
    page_timeout: Duration,
) -> Result<SyncOutcome, DirectoryError> {
    let requested_at = now();
    let first = cx.directory.list_page("", page_timeout).await?;
    match sync.response_era(first.position) {
        ResponseEra::Current => {}
        ResponseEra::Newer => log_restoration(sync.known_position(), first.position),
        ResponseEra::Older => return Ok(drop_obsolete(sync.known_position(), first.position)),
    }
    cx.edge.borrow_mut().set_directory_state(DirectoryState::Available);
    cx.edge.borrow_mut().record_unreadable_entries(&first.unreadable);
    let (position, mut next, mut items) = (first.position, first.next, first.items);
    let mut applied = 0;
    while let Some(after) = next {
        cx.edge.borrow_mut().apply_initial_page(&items[applied..]);
        applied = items.len();
        let page = cx.directory.list_page(&after, page_timeout).await?;
        if page.position.era != position.era {
            return Ok(SyncOutcome::HistoryExpired);
        }
        cx.edge.borrow_mut().record_unreadable_entries(&page.unreadable);
        items.extend(page.items);
        next = page.next;
    }
    let news = {
        let mut edge = cx.edge.borrow_mut();
        let news = match (edge.is_contradicted(), edge.has_initial_listing()) {
            (true, _) => ListingNews::Settled,
            (false, false) => ListingNews::Initial,
            (false, true) => ListingNews::AsUpdates,
        };
        edge.apply_listing(position.era, &items);
        news
    };
    confirm(cx, sync, requested_at);
    cx.feed.borrow_mut().reset_followers(position, news);
    Ok(SyncOutcome::Listed(position))
}

async fn watch(
    cx: &ReaderContext,
    sync: &mut DirectorySync,
    after: DirectoryPosition,
    wait: Millis,
    timeout: Duration,
) -> Result<SyncOutcome, DirectoryError> {
    let requested_at = now();
    let it = cx.directory.watch(after, millis(wait.0), timeout).await?;
    match sync.response_era(it.position) {
        ResponseEra::Current => {}
        ResponseEra::Newer => return Ok(SyncOutcome::HistoryExpired),
        ResponseEra::Older => return Ok(drop_obsolete(sync.known_position(), it.position)),
    }
    cx.edge.borrow_mut().record_unreadable_entries(&it.unreadable);
    let events = !it.items.is_empty();
    let replicated = {
        let mut edge = cx.edge.borrow_mut();
        edge.set_directory_state(DirectoryState::Available);
        edge.apply_and_replicate(&it.items)
    };
    // A response without events was sent at the end of the wait, any other one at an unknown time.
    let waited = !events && now() >= requested_at + wait;
    confirm(cx, sync, if waited { requested_at + wait } else { requested_at });
    if events {
        cx.feed.borrow_mut().publish(it.position, replicated);
    } else {
        cx.feed.borrow_mut().send_heartbeat();
    }
    Ok(SyncOutcome::Watched { position: it.position, events })
}

/// Follows a host's feed until the stream times out, that host loses the directory, or this host
/// becomes a reader.
async fn follow(cx: &mut ReaderContext, sync: &mut DirectorySync, host: HostId) -> SyncOutcome {
    let known = sync.known_position();
    let address = SocketAddrV4::new(address_of(host), cx.feed_port);
    let position = None;
    let hello = {
        let edge = cx.edge.borrow();
        // An update that contradicts this host's copy is settled by a listing, which only a snapshot contains.
        let is_complete = edge.has_initial_listing()
            && edge.listing_state() == ListingState::Settled
            && !edge.is_contradicted();
        Hello {
            active_revision: edge.revision(),
            position: known.filter(|_| is_complete),
            listed: cx.feed.borrow().listed(),
        }
    };
    let mut stream = match FeedStream::connect(address, hello).await {
        Ok(it) => it,
        Err(error) => {
            info!("cannot follow host", kv: {
                code = Code::FEED_LOST.to_string(), host = address.to_string(), error,
                age_ms = age_ms(sync)
            });
            return SyncOutcome::FollowEnded { position };
        }
    };
    let mut followed =
        Followed { host: address, known, position, since: now(), is_announced: false };
    let reason = loop {
        if let FollowStep::Stop(reason) = follow_next(cx, sync, &mut stream, &mut followed).await {
            break reason;
        }
    };
    info!("stopped following host", kv: {
        code = Code::FEED_LOST.to_string(), host = address.to_string(), why = reason,
        age_ms = age_ms(sync)
    });
    SyncOutcome::FollowEnded { position: followed.position }
}

/// State of a stream from a followed host.
struct Followed {
    host: SocketAddrV4,
    /// Position that this host had when the stream began.
    known: Option<DirectoryPosition>,
    /// Position that the stream has reached.
    position: Option<DirectoryPosition>,
    since: Millis,
    /// `true` once the log says that the host is followed.
    is_announced: bool,
}

/// Whether a host is followed further.
enum FollowStep {
    Continue,
    Stop(String),
}

/// Waits for the next message of a followed host and applies it.
async fn follow_next(
    cx: &mut ReaderContext,
    sync: &mut DirectorySync,
    stream: &mut FeedStream,
    followed: &mut Followed,
) -> FollowStep {
    let deadline = sync.follow_deadline(followed.since);
    let until_deadline = deadline.map_or(Millis(0), |it| it - now());
    let msg = tokio::select! {
        msg = stream.next() => msg,
        () = tokio::time::sleep(millis(until_deadline.0)), if deadline.is_some() => {
            return FollowStep::Stop("the followed host's copy of the directory is too old".to_owned());
        }
        changed = cx.readers.changed() => {
            return if changed.is_err() || cx.readers.borrow_and_update().is_reader {
                FollowStep::Stop("this host now reads the directory itself".to_owned())
            } else {
                FollowStep::Continue
            };
        }
    };
    let confirmed_at = msg.as_ref().ok().and_then(|it| it.confirmed_at(now()));
    let kind = match msg.and_then(|it| apply_feed_msg(cx, followed, it)) {
        Ok(it) => it,
        Err(reason) => return FollowStep::Stop(reason),
    };
    if !followed.is_announced {
        followed.is_announced = true;
        info!("following host", kv: {
            code = Code::FEED_FOLLOWED.to_string(), host = followed.host.to_string(),
            resumed = kind != MessageKind::Snapshot
        });
    }
    if kind != MessageKind::Outdated
        && let Some(at) = confirmed_at
    {
        confirm(cx, sync, at);
    }
    FollowStep::Continue
}

/// Kind of a feed message that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    Snapshot,
    Update,
    /// Ignored: this host already has what it contains, and later messages contain the rest.
    Outdated,
}

/// Applies a message of the followed host.
///
/// # Errors
///
/// Returns the reason why the host is no longer to be followed.
fn apply_feed_msg(
    cx: &ReaderContext,
    followed: &mut Followed,
    msg: FeedMsg,
) -> Result<MessageKind, String> {
    let Followed { known, position, .. } = *followed;
    let mut edge = cx.edge.borrow_mut();
    let (revision, era, directory_unavailable) = match &msg {
        FeedMsg::Snapshot { revision, era, directory_unavailable, .. }
        | FeedMsg::Heartbeat { revision, era, directory_unavailable, .. } => {
            (*revision, *era, *directory_unavailable)
        }
        FeedMsg::Events { revision, era, .. } => (*revision, *era, false),
    };
    // A host that does not report the era is taken to be in the one that this host knows.
    let known_era = position.or(known).map_or(0, |it| it.era);
    let msg_position = DirectoryPosition { era: era.unwrap_or(known_era), revision };
    if position.is_some() && msg_position.era != known_era {
        return Err("the directory was restored, so a new snapshot is needed".to_owned());
    }
    // A host without a listing accepts stale data.
    let has_listing = edge.has_initial_listing();
    if !directory_unavailable {
        edge.set_directory_state(DirectoryState::Available);
    } else if has_listing {
        return Err("the followed host has lost the directory".to_owned());
    }
    if has_listing && known.is_some_and(|it| msg_position < it) {
        if msg_position.era < known_era {
            return Err(
                "the followed host has not learned that the directory was restored".to_owned()
            );
        }
        return Ok(MessageKind::Outdated);
    }
    let kind = if matches!(msg, FeedMsg::Snapshot { .. }) {
        MessageKind::Snapshot
    } else {
        MessageKind::Update
    };
    if position.is_none() && known.is_some_and(|it| it.era < msg_position.era) {
        log_restoration(known, msg_position);
    }
    let applied = match msg {
        FeedMsg::Snapshot { items, era, unsettled, listed, .. } => {
            let state = if unsettled { ListingState::Unsettled } else { ListingState::Settled };
            let applied = edge.apply_peer_listing(era, state, items);
            if let Some(it) = listed.filter(|_| applied.is_ok() && !unsettled) {
                cx.feed.borrow_mut().record_listing(it);
            }
            applied
        }
        FeedMsg::Events { items, .. } => edge.apply_peer_events(items),
        FeedMsg::Heartbeat { .. } => Ok(()),
    };
    applied.map_err(|e| e.to_string())?;
    followed.position = Some(msg_position);
    Ok(kind)
}

/// Records that this host's copy of the directory was complete at a time.
fn confirm(cx: &ReaderContext, sync: &mut DirectorySync, at: Millis) {
    sync.confirm(at);
    cx.feed.borrow_mut().confirm(at);
    cx.edge.borrow_mut().confirm_directory(at);
}

/// Returns the age of this host's copy of the directory, in milliseconds.
fn age_ms(sync: &DirectorySync) -> u64 {
    sync.copy_age(now()).unwrap_or_default().0
}

fn log_restoration(known: Option<DirectoryPosition>, new: DirectoryPosition) {
    let known = known.unwrap_or_default();
    warn!("directory restored from an older copy", kv: {
        code = Code::DIRECTORY_RESTORED.to_string(), old_era = known.era,
        old_revision = known.revision, new_era = new.era, new_revision = new.revision
    });
}

/// Drops a response from before the directory was restored.
fn drop_obsolete(known: Option<DirectoryPosition>, response: DirectoryPosition) -> SyncOutcome {
    info!("obsolete directory response dropped", kv: {
        code = Code::DIRECTORY_RESPONSE_OBSOLETE.to_string(),
        known_era = known.unwrap_or_default().era, response_era = response.era
    });
    SyncOutcome::Failed
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
