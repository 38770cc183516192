//! Drives a single core without a network: tests pass events in and inspect the actions.

use std::{net::SocketAddrV4, sync::Arc};

use pomelorun_core::{
    Action, CoreSettings, Event, HostCore, ListedHost, Millis, Snapshot, rendezvous_score,
};
use pomelorun_wire::{
    Ack, Envelope, FlowKey, Header, HostId, MemberInfo, MemberState, Packet, PacketKind, PeerMsg,
    RecordAck, RelayHeader, RelayStage, StatePart, TakeoverReply, UpstreamId, ZoneId,
};

use crate::mesh::{Mesh, Shape, snapshot};

const INCARNATION: u64 = 77;

/// Core under test and the identifiers of the two other hosts of its zone.
pub(crate) struct OneHost {
    pub(crate) core: HostCore,
    pub(crate) now: Millis,
    /// The other hosts of the zone, the higher ranked one first.
    pub(crate) others: [HostId; 2],
    pub(crate) upstream: UpstreamId,
    pub(crate) addr: SocketAddrV4,
    pub(crate) shape: Shape,
}

impl OneHost {
    /// Starts the host with a given rank for the upstream; rank 0 is to become the primary.
    pub(crate) fn new(rank: usize) -> OneHost {
        let shape =
            Shape { zones: vec!["bog-a"], hosts: vec![3], upstreams: 1, slots: 1, service_ms: 4 };
        let config: Arc<Snapshot> = snapshot(1, &shape, |_, _| {});
        let (upstream, addr) = (config.upstreams[0].id, config.upstreams[0].addr);
        let zone = ZoneId::from_name("bog-a");
        let mut hosts = ["one", "two", "three"].map(HostId::from_name);
        hosts.sort_by_key(|it| std::cmp::Reverse(rendezvous_score(it.0, u64::from(upstream.0))));
        let me = hosts[rank];
        let others: Vec<HostId> = hosts.into_iter().filter(|it| *it != me).collect();
        let core = HostCore::new(me, zone, INCARNATION, 5, CoreSettings::default());
        let others = [others[0], others[1]];
        let mut it = OneHost { core, now: Millis(10_000), others, upstream, addr, shape };
        let listed = hosts.map(|host| ListedHost { host, zone, leaving: false });
        it.core.handle(it.now, Event::HostList(&listed));
        it.core.handle(it.now, Event::Snapshot(config));
        let state = MemberState::Live;
        let members = vec![MemberInfo { host: it.others[0], zone, incarnation: 1, state }];
        it.peer(it.others[0], PeerMsg::View { synced: true, revision: 1, members });
        it
    }

    /// Starts an active primary whose backup has acknowledged its full state.
    pub(crate) fn acting() -> OneHost {
        let mut it = OneHost::new(0);
        it.answer_asks();
        let sent = it.tick();
        it.ack_replica(&sent);
        it
    }

    /// Answers the takeover queries of the host.
    ///
    /// The higher ranked host of `others` was the primary and hands over; the other one was not.
    pub(crate) fn answer_asks(&mut self) {
        let queries = self.tick();
        let query_id = queries
            .iter()
            .find_map(ask_of)
            .expect("the highest ranked host sends a takeover query");
        let part = empty_part();
        self.peer(
            self.others[0],
            hand_over(self.upstream, query_id, TakeoverReply::Granted(part.clone())),
        );
        self.peer(
            self.others[1],
            hand_over(self.upstream, query_id, TakeoverReply::WasNotPrimary(part)),
        );
    }

    pub(crate) fn is_active(&self) -> bool {
        self.core.upstreams().iter().any(|it| it.active)
    }

    /// Advances the time by 20 ms and sends a tick event.
    pub(crate) fn tick(&mut self) -> Vec<Action> {
        self.now = self.now + Millis(20);
        self.core.handle(self.now, Event::Tick).into_vec()
    }

    pub(crate) fn peer(&mut self, from: HostId, msg: PeerMsg) -> Vec<Action> {
        let envelope = Envelope { from, incarnation: 1, msg };
        self.core.handle(self.now, Event::Peer(&envelope)).into_vec()
    }

    /// Relays the packet of a caller to this host as the primary.
    pub(crate) fn relayed(&mut self, header: &Header) -> Vec<Action> {
        let relay =
            RelayHeader::new(RelayStage::Primary, 3, self.others[0], 1).upstream(self.upstream);
        let mut bytes = relay.as_bytes().to_vec();
        bytes.extend_from_slice(header.as_bytes());
        let relay = pomelorun_wire::Relay::parse(&bytes).expect("the relay is well formed");
        self.core.handle(self.now, Event::Relayed(relay)).into_vec()
    }

    /// Opens a flow through this host and confirms it as the upstream.
    pub(crate) fn open(&mut self, flow: u32) {
        let open = Header::new(PacketKind::Open, &flow_key(flow));
        self.relayed(&open);
        self.upstream_says(open.kind(PacketKind::Opened).as_bytes());
    }

    pub(crate) fn upstream_says(&mut self, bytes: &[u8]) -> Vec<Action> {
        let packet = Packet::parse(bytes).expect("the packet is well formed");
        let from = self.addr;
        self.core.handle(self.now, Event::Upstream { from, packet }).into_vec()
    }

    /// Acknowledges the replica among the actions, as the backup does.
    pub(crate) fn ack_replica(&mut self, sent: &[Action]) -> Vec<Action> {
        let found = sent.iter().find_map(|it| match it {
            Action::Peer { to, msg: PeerMsg::Replica { session, part, .. } } => {
                Some((*to, *session, part.end()))
            }
            _ => None,
        });
        let (to, session, stored) = found.expect("the host sends its state to the backup");
        let upstream = self.upstream;
        self.peer(to, PeerMsg::ReplicaAck { upstream, session, stored, ack: Ack::Stored })
    }

    /// Acknowledges the records among the actions, as the backup does.
    pub(crate) fn ack_records(&mut self, sent: &[Action]) -> Vec<Action> {
        let mut out = Vec::new();
        for it in sent {
            if let Action::Peer { to, msg: PeerMsg::Record(it) } = it {
                let ack = Ack::Stored;
                let (upstream, session, seq) = (it.upstream, it.session, it.seq);
                let msg = PeerMsg::RecordAck(RecordAck { upstream, session, seq, ack });
                out.extend(self.peer(*to, msg));
            }
        }
        out
    }
}

/// Returns a non-idempotent request of a flow.
pub(crate) fn hold(flow: u32, req: u32) -> Header {
    Header::new(PacketKind::Request, &flow_key(flow)).req(req).deadline_ms(400).non_idempotent()
}

pub(crate) fn flow_key(flow: u32) -> FlowKey {
    Mesh::flow(flow)
}

pub(crate) fn empty_part() -> StatePart {
    StatePart { limit: 1, in_flight_ms: Vec::new(), first: 0, total: 0, records: Vec::new() }
}

/// Returns the number of the takeover query in an action, if it sends one.
pub(crate) fn ask_of(action: &Action) -> Option<u32> {
    match action {
        Action::Peer { msg: PeerMsg::Takeover { query_id, .. }, .. } => Some(*query_id),
        _ => None,
    }
}

pub(crate) fn hand_over(upstream: UpstreamId, query_id: u32, reply: TakeoverReply) -> PeerMsg {
    PeerMsg::Handover { upstream, query_id, reply }
}

/// Returns the kind, code and retry-after of each reply among the actions.
pub(crate) fn replies(actions: &[Action]) -> Vec<(PacketKind, u16, u16)> {
    let header = |it: &Action| match it {
        Action::Reply(header) => Some(header.as_bytes().to_vec()),
        _ => None,
    };
    let read = |bytes: Vec<u8>| {
        let packet = Packet::parse(&bytes).expect("replies are well formed");
        (packet.kind(), packet.code(), packet.retry_after_ms())
    };
    actions.iter().filter_map(header).map(read).collect()
}

/// Returns the headers of queued packets that the actions forward to upstreams.
pub(crate) fn forwarded(actions: &[Action]) -> Vec<Header> {
    let header = |it: &Action| match it {
        Action::HeldToUpstream(_, bytes) => {
            Some(Packet::parse(bytes).expect("queued packets are well formed").header())
        }
        _ => None,
    };
    actions.iter().filter_map(header).collect()
}
