//! The service `edge`: receives and forwards packets and owns the decision core.

use std::{
    cell::RefCell, collections::VecDeque, net::SocketAddrV4, rc::Rc, sync::Arc, time::Duration,
};

use actix::Recipient;
use nix::time::{ClockId, clock_gettime};
use pomelorun_core::{
    Millis,
    direct::{
        DirectHost, DirectSettings, DirectStats, DirectoryState, DirectoryUpdate, FailureReport,
        ListingState, LivenessMessage, LivenessQuery, LivenessReply, LoadMessage, LoadReport,
        LoadSummary, OpeningRetry, PeerScope, PeerUpdate, Probe, ProbeResult, ReplicatedUpdate,
        RestoredZone, SegmentKind, Token, TokenOwner, UpstreamKey, Verdict, ViewState,
    },
};
use pomelorun_wire::{CodecError, FlowKey, HostId, ZoneId};
use smallvec::SmallVec;
use thiserror::Error;
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
    task::JoinHandle,
    time::MissedTickBehavior,
};

use crate::{
    datagram_batch::{ReceiveBatch, SendQueue, bind_udp, receive_next},
    direct::{
        event_log,
        introspection::{IntrospectionQuery, StatusReply},
        platform::PacketCodec,
        web::Status,
    },
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    report::ServiceTotals,
    service_message::ServiceMessage,
};

const EDGE: &str = "edge";
/// Interval of the timer events of the decision core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the receive buffer; a packet has at most 1,232 bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Time after which callers retransmit a packet, so that a buffered one is no longer needed.
const EARLY_PACKET_TTL: Millis = Millis(200);
/// Maximum number of opening packets kept for a retry, and the longest one that is kept, in bytes.
const MAX_OPENING_PACKETS: usize = 1_024;
const MAX_OPENING_BYTES: usize = 64;
/// Maximum number of packets buffered before the initial listing: those of 200 ms at a few thousand
/// new flows per second.
const MAX_EARLY_PACKETS: usize = 512;

/// The decision core of this host and its packet socket.
pub(crate) struct Edge {
    host: DirectHost,
    codec: Box<dyn PacketCodec>,
    socket: Rc<UdpSocket>,
    out: SendQueue,
    malformed: u64,
    /// Messages of other hosts that could not be decoded.
    unreadable_messages: u64,
    unreadable_entries: u64,
    /// Bytes of messages about load that were sent.
    load_bytes: u64,
    receive_syscalls: u64,
    leaving: bool,
    /// Number of live hosts, including this one.
    live_hosts: usize,
    /// `true` if this host reads the directory for other hosts of its zone.
    is_reader: bool,
    probes: mpsc::UnboundedSender<Probe>,
    peer_updates: mpsc::UnboundedSender<(PeerScope, PeerUpdate)>,
    liveness: mpsc::UnboundedSender<(HostId, LivenessMessage)>,
    event_log: event_log::EventLog,
    status: Arc<Status>,
    early_packets: EarlyPackets,
    opening_packets: OpeningPackets,
    /// Notified once the initial listing has been applied.
    initial_listing: Rc<Notify>,
}

/// A configuration change is based on a revision that is not active on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the configuration change is based on a revision that is not active on this host")]
pub(crate) struct RevisionMismatch;

/// Packets received before the initial listing, which are buffered because their senders retransmit
/// them only after 200 ms.
#[derive(Debug, Default)]
struct EarlyPackets {
    packets: Vec<(Millis, Vec<u8>)>,
    dropped: u64,
}

impl EarlyPackets {
    fn push(&mut self, now: Millis, bytes: &[u8]) {
        self.packets.retain(|it| now.since(it.0) < EARLY_PACKET_TTL);
        if self.packets.len() < MAX_EARLY_PACKETS {
            self.packets.push((now, bytes.to_vec()));
        } else {
            self.dropped += 1;
        }
    }

    /// Removes all packets and returns those that have not been retransmitted yet.
    fn take_fresh(&mut self, now: Millis) -> Vec<Vec<u8>> {
        let packets = std::mem::take(&mut self.packets);
        packets.into_iter().filter(|it| now.since(it.0) < EARLY_PACKET_TTL).map(|it| it.1).collect()
    }
}

/// Opening packets forwarded recently, oldest first, which may have to be sent to another upstream.
#[derive(Debug, Default)]
struct OpeningPackets(VecDeque<(Millis, FlowKey, SmallVec<[u8; MAX_OPENING_BYTES]>)>);

impl OpeningPackets {
    /// Keeps a packet. If it is too long it is not kept, and if there are too many the oldest one is
    /// dropped: the caller will retransmit it.
    fn keep(&mut self, now: Millis, flow: FlowKey, bytes: &[u8]) {
        while self.0.len() >= MAX_OPENING_PACKETS
            || self.0.front().is_some_and(|it| now.since(it.0) >= EARLY_PACKET_TTL)
        {
            self.0.pop_front();
        }
        if bytes.len() <= MAX_OPENING_BYTES {
            self.0.push_back((now, flow, SmallVec::from_slice(bytes)));
        }
    }

    fn get(&self, flow: &FlowKey) -> Option<&[u8]> {
        self.0.iter().rev().find(|it| it.1 == *flow).map(|it| it.2.as_slice())
    }
}

/// The edge, shared by the services of one thread.
pub(crate) type SharedEdge = Rc<RefCell<Edge>>;

/// Counters and gauges for the metrics.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EdgeStats {
    pub(crate) core: DirectStats,
    pub(crate) malformed: u64,
    pub(crate) unreadable_messages: u64,
    pub(crate) unreadable_entries: u64,
    /// Bytes of messages about load that were sent.
    pub(crate) load_bytes: u64,
    /// Number of hosts whose load is known.
    pub(crate) load_hosts: usize,
    pub(crate) unsent: u64,
    /// System calls that received or sent packets.
    pub(crate) syscalls: u64,
    pub(crate) flows: usize,
    pub(crate) revision: u64,
    pub(crate) directory_era: u64,
    pub(crate) live_hosts: usize,
    pub(crate) early_packets_dropped: u64,
    pub(crate) directory_unavailable: bool,
    /// Age of this host's copy of the directory; zero before the first listing.
    pub(crate) directory_age: Millis,
    /// Filled in by [`Status::stats`], which shares the counter with the log.
    pub(crate) log_lines_dropped: u64,
}

impl Edge {
    /// Returns `true` once the host has applied a full listing with a configuration and at least
    /// one upstream.
    pub(crate) fn has_initial_listing(&self) -> bool {
        self.host.has_listing() && self.host.is_ready()
    }

    /// Returns `true` if an update contradicts what this host knows, and no listing has settled it yet.
    pub(crate) fn is_contradicted(&self) -> bool {
        self.host.is_contradicted()
    }

    /// Returns `true` if the fabric may send callers' packets to this host.
    pub(crate) fn is_ready(&self) -> bool {
        !self.leaving && self.host.is_ready()
    }

    /// Replaces the settings that can change at run time.
    pub(crate) fn update_settings(&mut self, cfg: DirectSettings) {
        self.host.update_settings(cfg);
    }

    /// Reports this host as not ready, so that the fabric sends new flows to other hosts.
    ///
    /// Packets that still arrive are forwarded.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
    }

    pub(crate) fn stats(&self) -> EdgeStats {
        EdgeStats {
            core: self.host.stats(),
            malformed: self.malformed,
            unreadable_messages: self.unreadable_messages,
            unreadable_entries: self.unreadable_entries,
            load_bytes: self.load_bytes,
            load_hosts: self.host.load_hosts(now()),
            unsent: self.out.dropped(),
            syscalls: self.receive_syscalls + self.out.syscalls(),
            flows: self.host.flow_count(),
            revision: self.host.revision(),
            directory_era: self.host.directory_era().unwrap_or(0),
            live_hosts: self.live_hosts,
            early_packets_dropped: self.early_packets.dropped,
            directory_unavailable: self.host.directory_state() == DirectoryState::Unavailable,
            directory_age: self.host.directory_age(now()).unwrap_or_default(),
            log_lines_dropped: 0,
        }
    }

    fn answer(&mut self, query: IntrospectionQuery) {
        let now = now();
        match query {
            IntrospectionQuery::Status(reply) => {
                let (ready, leaving, is_reader) = (self.is_ready(), self.leaving, self.is_reader);
                let view = self.host.view(now);
                // The request may have timed out.
                let _ = reply.send(StatusReply { ready, leaving, is_reader, view });
            }
            IntrospectionQuery::Outcomes(reply) => {
                let totals = self.host.outcomes().into_iter().map(|it| ServiceTotals {
                    addr: it.addr,
                    name: it.service,
                    answer_within_ms: it.answer_within.0,
                    outcomes: it.outcomes,
                });
                let mut totals: Vec<ServiceTotals> = totals.collect();
                totals.sort_by_key(|it| it.addr);
                let _ = reply.send(totals);
            }
            IntrospectionQuery::Explain { flow, token, reply } => {
                let _ = reply.send(self.host.explain(now, &flow, token));
            }
        }
    }

    /// Returns the active revision.
    pub(crate) fn revision(&self) -> u64 {
        self.host.revision()
    }

    /// Returns all updates that describe the state known to this host.
    ///
    /// The configuration is left out if the receiver's `known_revision` is the active one.
    pub(crate) fn full_listing(&self, known_revision: u64) -> Vec<ReplicatedUpdate> {
        self.host.full_listing(now(), known_revision)
    }

    /// Applies updates from the directory and returns them in the encoding for other hosts.
    pub(crate) fn apply_and_replicate(
        &mut self,
        items: &[DirectoryUpdate],
    ) -> Vec<ReplicatedUpdate> {
        let now = now();
        let mut replicated = Vec::with_capacity(items.len());
        for it in items {
            replicated.push(self.host.encode_for_peer(it));
            self.host.apply_update(now, it);
        }
        self.flush_effects();
        replicated
    }

    /// Applies a full listing from another host, which has read the directory in `era`.
    ///
    /// # Errors
    ///
    /// Returns an error if a configuration change is based on a revision that is not active here.
    pub(crate) fn apply_peer_listing(
        &mut self,
        era: Option<u64>,
        state: ListingState,
        items: Vec<ReplicatedUpdate>,
    ) -> Result<(), RevisionMismatch> {
        let decode = |it| self.host.decode_from_peer(it).ok_or(RevisionMismatch);
        let items = items.into_iter().map(decode).collect::<Result<Vec<_>, _>>()?;
        let now = now();
        self.host.apply_peer_listing(now, era, state, &items);
        self.finish_listing(now);
        Ok(())
    }

    /// Applies updates from another host.
    ///
    /// # Errors
    ///
    /// See [`Edge::apply_peer_listing`].
    pub(crate) fn apply_peer_events(
        &mut self,
        items: Vec<ReplicatedUpdate>,
    ) -> Result<(), RevisionMismatch> {
        let now = now();
        for it in items {
            let it = self.host.decode_from_peer(it).ok_or(RevisionMismatch)?;
            self.host.apply_update(now, &it);
        }
        self.flush_effects();
        Ok(())
    }

    /// Applies findings about upstreams from another host of this zone.
    pub(crate) fn apply_peer_update(&mut self, update: &PeerUpdate) {
        self.host.apply_peer_update(now(), update);
        self.flush_effects();
    }

    /// Answers another host's query for last responses.
    pub(crate) fn answer_liveness_query(&mut self, query: &LivenessQuery) -> LivenessReply {
        self.host.answer_liveness_query(now(), query)
    }

    /// Applies another host's reply to a query for last responses.
    pub(crate) fn apply_liveness_reply(&mut self, from: HostId, reply: &LivenessReply) {
        self.host.apply_liveness_reply(from, reply);
    }

    /// Applies failure reports from another host of this zone about upstreams that this host
    /// assesses.
    pub(crate) fn apply_reports(&mut self, reports: &[FailureReport]) {
        self.host.apply_reports(now(), reports);
        self.flush_effects();
    }

    /// Takes the failure reports to send, each with its receiver.
    pub(crate) fn take_reports(&mut self) -> Vec<(HostId, Vec<FailureReport>)> {
        self.host.take_reports()
    }

    /// Applies the load report of another host of this zone.
    pub(crate) fn apply_load_report(&mut self, from: HostId, report: &LoadReport) {
        self.host.apply_load_report(now(), from, report);
    }

    /// Applies the load summary of a zone.
    pub(crate) fn apply_load_summary(&mut self, from: HostId, summary: &LoadSummary) {
        self.host.apply_load_summary(now(), from, summary);
    }

    /// Takes the messages about load to send, each with its receiver.
    pub(crate) fn take_load_messages(&mut self) -> Vec<(HostId, LoadMessage)> {
        self.host.take_load_messages()
    }

    /// Counts a message about load that was sent, in bytes.
    pub(crate) fn count_load_bytes(&mut self, bytes: usize) {
        self.load_bytes += bytes as u64;
    }

    /// Counts and logs entries of the directory that cannot be read, each with its key and the reason.
    pub(crate) fn record_unreadable_entries(&mut self, entries: &[String]) {
        self.unreadable_entries += entries.len() as u64;
        for it in entries {
            self.event_log.log_unreadable_entry(it);
        }
    }

    /// Counts and logs a message of another host that cannot be decoded.
    pub(crate) fn record_unreadable(&mut self, from: HostId, error: &CodecError) {
        self.unreadable_messages += 1;
        self.event_log.log_unreadable_message(from, error);
    }

    /// Takes the token queries to send, each with its receiver.
    pub(crate) fn take_token_queries(&mut self) -> Vec<(HostId, Vec<Token>)> {
        self.host.take_token_queries()
    }

    /// Answers a token query of another host of this zone.
    pub(crate) fn answer_token_query(&mut self, tokens: &[Token]) -> Vec<(Token, TokenOwner)> {
        self.host.answer_token_query(now(), tokens)
    }

    /// Applies another host's reply to a token query.
    pub(crate) fn apply_token_owners(&mut self, owners: &[(Token, TokenOwner)]) {
        self.host.apply_token_owners(now(), owners);
        self.flush_effects();
    }

    /// Sets the live hosts with their zones, the other live hosts of this zone, and whether this
    /// host reads the directory for them.
    pub(crate) fn set_hosts(
        &mut self,
        hosts_by_zone: Vec<(ZoneId, HostId)>,
        zone_peers: Vec<HostId>,
        is_reader: bool,
        view: ViewState,
    ) {
        self.live_hosts = hosts_by_zone.len();
        self.is_reader = is_reader;
        self.host.set_hosts(now(), hosts_by_zone.iter().map(|it| it.1).collect());
        self.host.set_view_state(view);
        self.host.set_hosts_by_zone(hosts_by_zone);
        self.host.set_zone_peers(zone_peers);
    }

    /// Returns the zones that were restored lately, for a host that has just started.
    pub(crate) fn restored_zones(&self) -> Vec<RestoredZone> {
        self.host.restored_zones(now())
    }

    /// Applies what another host tells of restored zones.
    pub(crate) fn apply_restored_zones(&mut self, zones: &[RestoredZone]) {
        self.host.apply_restored_zones(now(), zones);
    }

    pub(crate) fn set_directory_state(&mut self, state: DirectoryState) {
        self.host.set_directory_state(now(), state);
    }

    /// Records that this host's copy of the directory was complete at a time.
    pub(crate) fn confirm_directory(&mut self, at: Millis) {
        self.host.confirm_directory(at);
    }

    /// Applies a page of the initial listing, before the others have been read.
    pub(crate) fn apply_initial_page(&mut self, items: &[DirectoryUpdate]) {
        let now = now();
        self.host.apply_initial_page(now, items);
        self.finish_listing(now);
    }

    /// Applies a full listing that this host has read from the directory in `era`.
    pub(crate) fn apply_listing(&mut self, era: u64, items: &[DirectoryUpdate]) {
        let now = now();
        self.host.apply_directory_listing(now, era, items);
        self.finish_listing(now);
    }

    /// Returns the era of the directory that this host has listed last.
    pub(crate) fn directory_era(&self) -> Option<u64> {
        self.host.directory_era()
    }

    /// Returns whether the last listing was authoritative.
    pub(crate) fn listing_state(&self) -> ListingState {
        self.host.listing_state()
    }

    /// Returns `true` if the restored directory is to be listed again.
    pub(crate) fn is_listing_due(&self) -> bool {
        self.host.is_listing_due(now())
    }

    /// Handles the packets that were received before the host could forward any.
    fn finish_listing(&mut self, now: Millis) {
        if self.host.is_ready() {
            for packet in self.early_packets.take_fresh(now) {
                self.handle_datagram(now, &packet);
            }
            self.initial_listing.notify_one();
        }
        self.flush_effects();
    }

    /// Returns the notification of the initial listing.
    pub(crate) fn initial_listing(&self) -> Rc<Notify> {
        Rc::clone(&self.initial_listing)
    }

    fn handle_datagrams(&mut self, incoming: &mut ReceiveBatch) {
        self.receive_syscalls += incoming.take_syscalls();
        let now = now();
        let ready = self.host.is_ready();
        for (_, bytes) in incoming.datagrams() {
            if ready {
                self.handle_datagram(now, bytes);
            } else {
                self.early_packets.push(now, bytes);
            }
        }
        self.flush_effects();
    }

    fn handle_datagram(&mut self, now: Millis, bytes: &[u8]) {
        let segment = match self.codec.read(bytes) {
            Ok(it) => it,
            Err(e) => {
                self.malformed += 1;
                self.event_log.log_malformed_packet(e);
                return;
            }
        };
        match self.host.handle_packet(now, &segment) {
            Verdict::Forward { to, id, token } => {
                if segment.kind == SegmentKind::Open {
                    self.opening_packets.keep(now, segment.flow, bytes);
                }
                let codec = &self.codec;
                self.out.push_with(|buf| {
                    codec.write_forward(bytes, id, token, buf);
                    to
                });
            }
            Verdict::Reset(it) => {
                let codec = &self.codec;
                self.out.push_with(|buf| codec.write_reset(&it, buf));
            }
            Verdict::Drop => {}
        }
    }

    /// Returns the time until the next retry of an opening packet is due.
    fn until_next_retry(&mut self) -> Option<Duration> {
        let due = self.host.next_opening_retry()?;
        Some(Duration::from_millis(due.since(now()).0))
    }

    /// Sends the opening packets whose answers are overdue to other upstreams.
    fn retry_openings(&mut self) {
        for OpeningRetry { flow, to, id, token } in self.host.retry_openings(now()) {
            let Some(bytes) = self.opening_packets.get(&flow) else { continue };
            let codec = &self.codec;
            self.out.push_with(|buf| {
                codec.write_forward(bytes, id, token, buf);
                to
            });
        }
        self.flush_effects();
    }

    fn tick(&mut self) {
        self.host.tick(now());
        self.flush_effects();
        self.status.set(self.is_ready(), self.stats());
        self.event_log.tick(now());
    }

    pub(crate) fn apply_probe_result(&mut self, key: UpstreamKey, result: ProbeResult) {
        self.host.apply_probe_result(now(), key, result);
        self.flush_effects();
    }

    /// Carries out the pending effects of the decision core: resets, datagrams, probes, peer
    /// updates and log lines.
    fn flush_effects(&mut self) {
        for it in self.host.take_resets() {
            let codec = &self.codec;
            self.out.push_with(|buf| codec.write_reset(&it, buf));
        }
        self.out.flush(&self.socket);
        for it in self.host.take_probes() {
            // The receiver is gone only while the process is stopping.
            let _ = self.probes.send(it);
        }
        let updates = [
            (PeerScope::Zone, self.host.take_peer_update()),
            (PeerScope::OtherZones, self.host.take_other_zones_update()),
        ];
        for it in updates.into_iter().filter(|it| !it.1.is_empty()) {
            let _ = self.peer_updates.send(it);
        }
        for it in self.host.take_liveness_messages() {
            let _ = self.liveness.send(it);
        }
        for it in self.host.take_events() {
            self.event_log.log_event(&it);
        }
    }
}

/// Returns the time since boot, including time in suspend, so that information from before a
/// suspend counts as old.
pub(crate) fn now() -> Millis {
    let Ok(it) = clock_gettime(ClockId::CLOCK_BOOTTIME) else { return Millis(0) };
    let ms = it.tv_sec().unsigned_abs() * 1_000 + it.tv_nsec().unsigned_abs() / 1_000_000;
    Millis(ms)
}

/// Shared state and channels that connect the edge with other services.
pub(crate) struct EdgeLinks {
    pub(crate) status: Arc<Status>,
    pub(crate) probes: mpsc::UnboundedSender<Probe>,
    pub(crate) peer_updates: mpsc::UnboundedSender<(PeerScope, PeerUpdate)>,
    pub(crate) liveness: mpsc::UnboundedSender<(HostId, LivenessMessage)>,
    pub(crate) queries: mpsc::UnboundedReceiver<IntrospectionQuery>,
}

/// The service `edge`.
pub(crate) struct EdgeService {
    edge: SharedEdge,
    socket: Rc<UdpSocket>,
    queries: Option<mpsc::UnboundedReceiver<IntrospectionQuery>>,
    tasks: Vec<JoinHandle<()>>,
}

impl EdgeService {
    /// Binds the packet socket.
    pub(crate) fn bind(
        host: DirectHost,
        codec: Box<dyn PacketCodec>,
        address: SocketAddrV4,
        links: EdgeLinks,
    ) -> Result<EdgeService, StartError> {
        let EdgeLinks { status, probes, peer_updates, liveness, queries } = links;
        let bind_error = |e: std::io::Error| StartError {
            service: EDGE,
            detail: format!("cannot bind {address}: {e}"),
        };
        let socket = Rc::new(bind_udp(address).map_err(bind_error)?);
        let edge = Edge {
            host,
            codec,
            socket: Rc::clone(&socket),
            out: SendQueue::new(),
            malformed: 0,
            unreadable_messages: 0,
            unreadable_entries: 0,
            load_bytes: 0,
            receive_syscalls: 0,
            leaving: false,
            live_hosts: 0,
            is_reader: false,
            probes,
            peer_updates,
            liveness,
            event_log: event_log::EventLog::default(),
            status,
            early_packets: EarlyPackets::default(),
            opening_packets: OpeningPackets::default(),
            initial_listing: Rc::new(Notify::new()),
        };
        let edge = Rc::new(RefCell::new(edge));
        Ok(EdgeService { edge, socket, queries: Some(queries), tasks: Vec::new() })
    }

    /// Returns the edge for other services.
    pub(crate) fn shared(&self) -> SharedEdge {
        Rc::clone(&self.edge)
    }
}

impl Service for EdgeService {
    fn name(&self) -> &'static str {
        EDGE
    }

    fn start(&mut self, _: &Registry) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        self.tasks.push(actix_rt::spawn(receive(self.shared(), Rc::clone(&self.socket))));
        self.tasks.push(actix_rt::spawn(tick(self.shared())));
        if let Some(rx) = self.queries.take() {
            self.tasks.push(actix_rt::spawn(answer(self.shared(), rx)));
        }
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(std::mem::take(&mut self.tasks))
    }
}

async fn receive(edge: SharedEdge, socket: Rc<UdpSocket>) {
    let mut incoming = ReceiveBatch::new(MAX_DATAGRAM_BYTES);
    let mut handle = |it: &mut ReceiveBatch| edge.borrow_mut().handle_datagrams(it);
    loop {
        let retry = edge.borrow_mut().until_next_retry();
        tokio::select! {
            // Answers that have arrived while the host was stalled are not overdue.
            biased;
            it = receive_next(&socket, &mut incoming, &mut handle) => {
                if it.is_break() {
                    return;
                }
            }
            () = tokio::time::sleep(retry.unwrap_or_default()), if retry.is_some() => {
                edge.borrow_mut().retry_openings();
            }
        }
        tokio::task::yield_now().await;
    }
}

async fn answer(edge: SharedEdge, mut rx: mpsc::UnboundedReceiver<IntrospectionQuery>) {
    while let Some(it) = rx.recv().await {
        edge.borrow_mut().answer(it);
    }
}

async fn tick(edge: SharedEdge) {
    let mut timer = tokio::time::interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        edge.borrow_mut().tick();
    }
}
