//! Simulated network of host cores in one process under virtual time, with fake upstreams and
//! callers. The guarantees on request execution are asserted on each packet.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use pomelorun_core::{
    Action, CoreSettings, Event, HostCore, ListedHost, Millis, PoolView, ServiceView, Snapshot,
    UpstreamView, ZoneView,
};
use pomelorun_wire::{
    Envelope, FlowKey, Header, HostId, Packet, PacketKind, PeerMsg, Relay, ServiceAddr, UpstreamId,
    ZoneId, decode, encode,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PEER_MAGIC: &[u8] = b"PM";
const TICK_MS: u64 = 20;
/// Base of the incarnation numbers; each started process gets the next higher one.
const FIRST_INCARNATION: u64 = 1_000;

/// Size and layout of a simulated deployment.
#[derive(Debug, Clone)]
pub(crate) struct Shape {
    pub(crate) zones: Vec<&'static str>,
    /// Number of hosts in each zone.
    pub(crate) hosts: Vec<usize>,
    /// Number of upstreams in the single pool, assigned to the zones round-robin.
    pub(crate) upstreams: usize,
    pub(crate) slots: u16,
    pub(crate) service_ms: u64,
}

impl Shape {
    /// Returns a deployment of seven hosts in three zones, as the Consorcio runs it.
    pub(crate) fn consorcio() -> Shape {
        Shape {
            zones: vec!["bog-a", "bog-b", "mde-a"],
            hosts: vec![3, 2, 2],
            upstreams: 15,
            slots: 2,
            service_ms: 4,
        }
    }
}

pub(crate) const MESA: ServiceAddr = ServiceAddr { ip: 0x0a14_0001, port: 443 };

/// Builds the configuration snapshot of a deployment. `edit` may change the upstreams and zones
/// before they are sorted by ID and referred to by index.
pub(crate) fn snapshot(
    revision: u64,
    shape: &Shape,
    edit: impl Fn(&mut Vec<UpstreamView>, &mut Vec<ZoneView>),
) -> Arc<Snapshot> {
    let mut zones: Vec<ZoneView> = shape
        .zones
        .iter()
        .map(|it| ZoneView { id: ZoneId::from_name(it), name: (*it).to_owned(), withdrawn: false })
        .collect();
    let mut upstreams: Vec<UpstreamView> = (0..shape.upstreams)
        .map(|at| UpstreamView {
            id: UpstreamId::from_names("mesa", &at.to_string()),
            name: format!("mesa/{at}"),
            pool: 0,
            zone: ZoneId::from_name(shape.zones[at % shape.zones.len()]),
            addr: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 6_000 + at as u16),
            slots: shape.slots,
            cold_slots: 1,
            draining: false,
        })
        .collect();
    edit(&mut upstreams, &mut zones);
    zones.sort_by_key(|it| it.id);
    upstreams.sort_by_key(|it| it.id);
    let pool = PoolView {
        name: "mesa".to_owned(),
        upstreams: (0..upstreams.len()).collect(),
        max_deadline: Millis(500),
        slow_after: Millis(shape.service_ms * 2),
    };
    let answer_within = Millis(shape.service_ms * 4);
    let service = ServiceView { addr: MESA, name: "mesa".to_owned(), pool: 0, answer_within };
    Arc::new(Snapshot {
        revision,
        buckets: 256,
        zones,
        services: vec![service],
        pools: vec![pool],
        upstreams,
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Endpoint {
    Host(usize),
    Upstream(SocketAddrV4),
    Callers,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    at: Millis,
    seq: u64,
    to: Endpoint,
    from: Endpoint,
    bytes: Vec<u8>,
}

pub(crate) struct MeshHost {
    pub(crate) name: String,
    pub(crate) id: HostId,
    pub(crate) zone: ZoneId,
    pub(crate) core: HostCore,
    pub(crate) up: bool,
    /// `true` while the process is paused; datagrams queue in `inbox`, as in its socket buffer.
    pub(crate) frozen: bool,
    inbox: Vec<(Endpoint, Vec<u8>)>,
    /// Bytes of control messages sent, magic included.
    pub(crate) control_bytes: u64,
}

struct Running {
    flow: FlowKey,
    req: u32,
    header: Header,
    to: Endpoint,
    due: Millis,
    deadline: Millis,
}

/// Fake upstream. Tests may set its fields at any time.
pub(crate) struct FakeUpstream {
    pub(crate) id: UpstreamId,
    pub(crate) zone: ZoneId,
    pub(crate) slots: usize,
    pub(crate) cold_slots: usize,
    pub(crate) service_ms: u64,
    /// Requests served since the last cold start.
    pub(crate) served: u32,
    pub(crate) sessions: BTreeSet<FlowKey>,
    /// Flows with at least one request accepted by this upstream.
    pub(crate) ran_flows: BTreeSet<FlowKey>,
    running: Vec<Running>,
    pub(crate) ran: u64,
    pub(crate) shed: u64,
    pub(crate) overloads: u64,
    /// Overloads by packets sent after a host had received a signal of the cold start.
    pub(crate) avoidable: u64,
    /// Datagram sequence number when the first signal of the cold start reached a host.
    first_cold_signal: u64,
    /// Requests accepted while cold; their responses signal the cold start.
    accepted_cold: BTreeSet<(FlowKey, u32)>,
    pub(crate) most_at_once: usize,
    /// Percentage of requests that exceed the service time, and the excess in milliseconds.
    pub(crate) noise: (u32, u64),
    /// Sheds all requests regardless of load.
    pub(crate) sheds_all: bool,
    /// Requests received on an open session, shed ones included.
    pub(crate) arrived: u64,
    /// Arrival time of the last packet.
    pub(crate) last_packet: Millis,
}

/// Number of served requests after which a fake upstream is warm.
pub(crate) const WARM_AFTER: u32 = 20;
/// Factor on the service time of requests accepted while cold.
const COLD_FACTOR: u64 = 3;

impl FakeUpstream {
    pub(crate) fn is_cold(&self) -> bool {
        self.served < WARM_AFTER
    }

    /// Restarts the cold start without notifying any host.
    pub(crate) fn fall_cold(&mut self) {
        self.served = 0;
        self.first_cold_signal = u64::MAX;
    }

    /// Returns the number of requests in progress.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }
}

/// Outcome of a request as seen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    Pending,
    Answered,
    NotRun,
    Unknown,
}

#[derive(Debug)]
pub(crate) struct SentRequest {
    pub(crate) sent: Millis,
    pub(crate) idempotent: bool,
    pub(crate) outcome: Outcome,
    /// Time at which the caller learned the outcome.
    pub(crate) ended: Millis,
    pub(crate) code: u16,
    /// Retry-after of a "not run" reply, in milliseconds.
    pub(crate) retry_after: u16,
    pub(crate) runs: u32,
    parts: BTreeSet<u16>,
}

/// Flows and requests as seen by the callers.
#[derive(Default)]
pub(crate) struct CallerView {
    pub(crate) opened: BTreeSet<FlowKey>,
    /// Flows that were reset or abandoned, with the result code.
    pub(crate) ended: BTreeMap<FlowKey, u16>,
    pub(crate) asked: BTreeMap<(FlowKey, u32), SentRequest>,
}

impl CallerView {
    pub(crate) fn count(&self, outcome: Outcome) -> usize {
        self.asked.values().filter(|it| it.outcome == outcome).count()
    }
}

/// Host cores, fake upstreams and callers, and the network between them.
pub(crate) struct Mesh {
    pub(crate) now: Millis,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) hosts: Vec<MeshHost>,
    pub(crate) upstreams: BTreeMap<SocketAddrV4, FakeUpstream>,
    pub(crate) callers: CallerView,
    pub(crate) cfg: CoreSettings,
    /// Zones whose packets to and from other zones are dropped; packets of callers still pass.
    pub(crate) cut: Vec<ZoneId>,
    /// Percentage of datagrams lost between hosts and from callers.
    pub(crate) loss: u32,
    /// Percentage of datagrams duplicated between hosts and from callers.
    pub(crate) duplicates: u32,
    /// Maximum random extra delay of a datagram, in milliseconds.
    pub(crate) jitter: u64,
    pub(crate) relays: u64,
    pub(crate) caller_packets: u64,
    /// Hosts over which the fabric sprays callers' packets; `None` for all hosts that are up.
    pub(crate) spray: Option<Vec<usize>>,
    /// Pairs of a sender and a receiver whose address the sender does not know yet; their
    /// datagrams are dropped.
    pub(crate) strangers: Vec<(usize, usize)>,
    snapshot: Option<Arc<Snapshot>>,
    heap: BinaryHeap<Reverse<Delivery>>,
    seq: u64,
    incarnation: u64,
}

impl Mesh {
    /// Starts all hosts of a deployment with revision 1 active and lets their views
    /// synchronize.
    pub(crate) fn new(shape: &Shape, seed: u64) -> Mesh {
        Mesh::with_settings(shape, seed, CoreSettings::default())
    }

    pub(crate) fn with_settings(shape: &Shape, seed: u64, cfg: CoreSettings) -> Mesh {
        let mut mesh = Mesh {
            now: Millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            upstreams: BTreeMap::new(),
            callers: CallerView::default(),
            cfg,
            cut: Vec::new(),
            loss: 0,
            duplicates: 0,
            jitter: 0,
            relays: 0,
            caller_packets: 0,
            spray: None,
            strangers: Vec::new(),
            snapshot: None,
            heap: BinaryHeap::new(),
            seq: 0,
            incarnation: FIRST_INCARNATION,
        };
        for (zone, count) in shape.zones.iter().zip(&shape.hosts) {
            for at in 0..*count {
                mesh.add_host(&format!("{zone}-{at}"), zone);
            }
        }
        mesh.list();
        mesh.publish(snapshot(1, shape, |_, _| {}));
        mesh.set_service_ms(shape.service_ms);
        mesh.run_for(4_000);
        mesh
    }

    pub(crate) fn set_service_ms(&mut self, service_ms: u64) {
        for it in self.upstreams.values_mut() {
            it.service_ms = service_ms;
        }
    }

    /// Sends requests on `flows` flows, which warm up all upstreams and show the hosts that they
    /// are warm.
    pub(crate) fn warm_up(&mut self, flows: u32) {
        self.open_flows(0, flows);
        self.run_for(500);
        for round in 0..60 {
            for at in 0..flows {
                self.request(at, (round + at) % 10 != 0);
                if at % 20 == 19 {
                    self.run_for(10);
                }
            }
        }
        self.run_for(1_000);
    }

    fn add_host(&mut self, name: &str, zone: &str) -> usize {
        self.incarnation += 1;
        let (id, zone) = (HostId::from_name(name), ZoneId::from_name(zone));
        let core = HostCore::new(id, zone, self.incarnation, id.0, self.cfg.clone());
        self.hosts.push(MeshHost {
            name: name.to_owned(),
            id,
            zone,
            core,
            up: true,
            frozen: false,
            inbox: Vec::new(),
            control_bytes: 0,
        });
        self.hosts.len() - 1
    }

    /// Adds and starts a new host.
    pub(crate) fn join(&mut self, name: &str, zone: &str) -> usize {
        let at = self.add_host(name, zone);
        self.list();
        if let Some(it) = self.snapshot.clone() {
            self.event(at, Event::Snapshot(it), &[]);
        }
        at
    }

    /// Crashes a host. The other hosts keep it in their host list.
    pub(crate) fn crash(&mut self, at: usize) {
        self.hosts[at].up = false;
        self.hosts[at].inbox.clear();
    }

    /// Restarts a crashed host with empty state and a new incarnation.
    pub(crate) fn restart(&mut self, at: usize) {
        self.incarnation += 1;
        let it = &mut self.hosts[at];
        it.core = HostCore::new(it.id, it.zone, self.incarnation, it.id.0, self.cfg.clone());
        it.up = true;
        it.frozen = false;
        self.list();
        if let Some(it) = self.snapshot.clone() {
            self.event(at, Event::Snapshot(it), &[]);
        }
    }

    pub(crate) fn freeze(&mut self, at: usize) {
        self.hosts[at].frozen = true;
    }

    /// Resumes a frozen host, which first handles the datagrams queued in its inbox.
    pub(crate) fn thaw(&mut self, at: usize) {
        self.hosts[at].frozen = false;
        for (from, bytes) in std::mem::take(&mut self.hosts[at].inbox) {
            self.host_receives(at, from, &bytes);
        }
    }

    /// Tells a host to leave the deployment.
    pub(crate) fn leave(&mut self, at: usize) {
        self.event(at, Event::Leave, &[]);
    }

    /// Sends all running hosts the list of the hosts that are up.
    pub(crate) fn list(&mut self) {
        let listed: Vec<ListedHost> = self
            .hosts
            .iter()
            .filter(|it| it.up)
            .map(|it| ListedHost { host: it.id, zone: it.zone, leaving: false })
            .collect();
        for at in 0..self.hosts.len() {
            if self.hosts[at].up && !self.hosts[at].frozen {
                self.event(at, Event::HostList(&listed), &[]);
            }
        }
    }

    /// Publishes a revision to all running hosts at once.
    pub(crate) fn publish(&mut self, snapshot: Arc<Snapshot>) {
        for it in &snapshot.upstreams {
            self.upstreams.entry(it.addr).or_insert_with(|| FakeUpstream {
                id: it.id,
                zone: it.zone,
                slots: it.slots.into(),
                cold_slots: it.cold_slots.into(),
                service_ms: 4,
                served: 0,
                sessions: BTreeSet::new(),
                ran_flows: BTreeSet::new(),
                running: Vec::new(),
                ran: 0,
                shed: 0,
                overloads: 0,
                avoidable: 0,
                first_cold_signal: 0,
                accepted_cold: BTreeSet::new(),
                most_at_once: 0,
                noise: (0, 0),
                sheds_all: false,
                arrived: 0,
                last_packet: Millis(0),
            });
        }
        self.snapshot = Some(Arc::clone(&snapshot));
        for at in 0..self.hosts.len() {
            if self.hosts[at].up && !self.hosts[at].frozen {
                self.event(at, Event::Snapshot(Arc::clone(&snapshot)), &[]);
            }
        }
    }

    /// Publishes a revision to the given hosts only.
    pub(crate) fn publish_to(&mut self, hosts: &[usize], snapshot: &Arc<Snapshot>) {
        for &at in hosts {
            self.event(at, Event::Snapshot(Arc::clone(snapshot)), &[]);
        }
    }

    // Callers.

    pub(crate) fn flow(at: u32) -> FlowKey {
        let (ip, port) = (0x6440_0000 + at / 10_000, (at % 10_000) as u16 + 1_024);
        FlowKey { caller_ip: ip, caller_port: port, service: MESA }
    }

    pub(crate) fn open_flows(&mut self, from: u32, to: u32) {
        for at in from..to {
            self.send_from_caller(&Header::new(PacketKind::Open, &Mesh::flow(at)));
            if at % 10 == 9 {
                self.run_for(1);
            }
        }
    }

    /// Closes a flow from the caller's side.
    pub(crate) fn close(&mut self, flow: u32) {
        self.send_from_caller(&Header::new(PacketKind::Close, &Mesh::flow(flow)));
    }

    /// Counts the additional upstreams of flows whose requests ran at more than one.
    pub(crate) fn split_flows(&self) -> usize {
        let mut seen = BTreeSet::new();
        let ran = self.upstreams.values().flat_map(|it| &it.ran_flows);
        ran.filter(|it| !seen.insert(**it)).count()
    }

    /// Sends a new request on a flow and returns its request number.
    pub(crate) fn request(&mut self, flow: u32, idempotent: bool) -> u32 {
        let key = Mesh::flow(flow);
        let last = self.callers.asked.range((key, 0)..=(key, u32::MAX)).next_back();
        let req = last.map_or(1, |it| it.0.1 + 1);
        let request = SentRequest {
            sent: self.now,
            idempotent,
            outcome: Outcome::Pending,
            ended: Millis(0),
            code: 0,
            retry_after: 0,
            runs: 0,
            parts: BTreeSet::new(),
        };
        self.callers.asked.insert((key, req), request);
        self.send_request(flow, req);
        req
    }

    /// Cancels a request.
    pub(crate) fn cancel(&mut self, flow: u32, req: u32) {
        self.send_from_caller(&Header::new(PacketKind::Cancel, &Mesh::flow(flow)).req(req));
    }

    /// Sends the packet of a request, which may be a retransmission.
    pub(crate) fn send_request(&mut self, flow: u32, req: u32) {
        let key = Mesh::flow(flow);
        let mut header = Header::new(PacketKind::Request, &key).req(req).deadline_ms(400);
        if !self.callers.asked[&(key, req)].idempotent {
            header = header.non_idempotent();
        }
        self.send_from_caller(&header);
    }

    fn send_from_caller(&mut self, header: &Header) {
        self.caller_packets += 1;
        let up: Vec<usize> = match &self.spray {
            Some(it) => it.clone(),
            None => (0..self.hosts.len()).filter(|&it| self.hosts[it].up).collect(),
        };
        if up.is_empty() {
            return;
        }
        let to = up[self.rng.random_range(0..up.len())];
        self.send(Endpoint::Callers, Endpoint::Host(to), header.as_bytes().to_vec());
    }

    // The network.

    fn send(&mut self, from: Endpoint, to: Endpoint, bytes: Vec<u8>) {
        if self.is_partitioned(from, to) {
            return;
        }
        let lossy = from == Endpoint::Callers
            || matches!((from, to), (Endpoint::Host(_), Endpoint::Host(_)));
        if lossy && self.rng.random_range(0..100) < self.loss {
            return;
        }
        let copies = if lossy && self.rng.random_range(0..100) < self.duplicates { 2 } else { 1 };
        for _ in 0..copies {
            let jitter = if self.jitter > 0 { self.rng.random_range(0..=self.jitter) } else { 0 };
            let at = self.now + Millis(self.latency(from, to) + jitter);
            self.seq += 1;
            let delivery = Delivery { at, seq: self.seq, to, from, bytes: bytes.clone() };
            self.heap.push(Reverse(delivery));
        }
    }

    fn zone_of(&self, endpoint: Endpoint) -> Option<ZoneId> {
        match endpoint {
            Endpoint::Host(at) => Some(self.hosts[at].zone),
            Endpoint::Upstream(addr) => self.upstreams.get(&addr).map(|it| it.zone),
            Endpoint::Callers => None,
        }
    }

    fn is_partitioned(&self, from: Endpoint, to: Endpoint) -> bool {
        let (Some(a), Some(b)) = (self.zone_of(from), self.zone_of(to)) else { return false };
        a != b && (self.cut.contains(&a) || self.cut.contains(&b))
    }

    fn latency(&self, from: Endpoint, to: Endpoint) -> u64 {
        match (self.zone_of(from), self.zone_of(to)) {
            (Some(a), Some(b)) if a == b => 1,
            (Some(_), Some(_)) => 2,
            _ => 1,
        }
    }

    /// Advances virtual time by `ms` milliseconds.
    pub(crate) fn run_for(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now + Millis(1);
            while self.heap.peek().is_some_and(|it| it.0.at <= self.now) {
                let Reverse(it) = self.heap.pop().expect("just peeked");
                self.deliver(it);
            }
            self.step_upstreams();
            if self.now.0.is_multiple_of(TICK_MS) {
                for at in 0..self.hosts.len() {
                    if self.hosts[at].up && !self.hosts[at].frozen {
                        self.event(at, Event::Tick, &[]);
                    }
                }
            }
        }
    }

    fn deliver(&mut self, it: Delivery) {
        match it.to {
            Endpoint::Host(at) if !self.hosts[at].up => {}
            Endpoint::Host(at) if self.hosts[at].frozen => {
                self.hosts[at].inbox.push((it.from, it.bytes));
            }
            Endpoint::Host(at) => {
                self.record_cold_signal(it.from, &it.bytes);
                self.host_receives(at, it.from, &it.bytes);
            }
            Endpoint::Upstream(addr) => self.upstream_receives(addr, it.from, it.seq, &it.bytes),
            Endpoint::Callers => self.caller_receives(&it.bytes),
        }
    }

    /// Records the first packet that signals the cold start to a host: a shed request, or the
    /// response to a request accepted while cold.
    fn record_cold_signal(&mut self, from: Endpoint, bytes: &[u8]) {
        let Endpoint::Upstream(addr) = from else { return };
        let packet = Packet::parse(bytes).expect("fakes send well-formed packets");
        let seq = self.seq;
        let it = self.upstreams.get_mut(&addr).expect("responses come from known upstreams");
        let was_cold = it.accepted_cold.remove(&(packet.flow(), packet.req()));
        if packet.kind() == PacketKind::Shed || (packet.kind() == PacketKind::Answer && was_cold) {
            it.first_cold_signal = it.first_cold_signal.min(seq);
        }
    }

    fn host_receives(&mut self, at: usize, from: Endpoint, bytes: &[u8]) {
        if let Some(body) = bytes.strip_prefix(PEER_MAGIC) {
            let envelope: Envelope = decode(body).expect("hosts send well-formed messages");
            self.event(at, Event::Peer(&envelope), &[]);
        } else if Relay::is_relay(bytes) {
            let relay = Relay::parse(bytes).expect("hosts send well-formed relays");
            self.event(at, Event::Relayed(relay), relay.packet.bytes());
        } else {
            let packet = Packet::parse(bytes).expect("fakes send well-formed packets");
            let event = match from {
                Endpoint::Upstream(from) => Event::Upstream { from, packet },
                _ => Event::Fabric(packet),
            };
            self.event(at, event, bytes);
        }
    }

    fn event(&mut self, at: usize, event: Event<'_>, bytes: &[u8]) {
        let actions = self.hosts[at].core.handle(self.now, event);
        let sender = Endpoint::Host(at);
        for action in actions {
            match action {
                Action::Relay { to, header } => {
                    self.relays += 1;
                    let mut buf = header.as_bytes().to_vec();
                    buf.extend_from_slice(bytes);
                    self.send_to_host(sender, to, buf);
                }
                Action::HeldRelay { to, header, bytes } => {
                    self.relays += 1;
                    let mut buf = header.as_bytes().to_vec();
                    buf.extend_from_slice(&bytes);
                    self.send_to_host(sender, to, buf);
                }
                Action::ToUpstream(to) => self.send(sender, Endpoint::Upstream(to), bytes.to_vec()),
                Action::ToCaller => self.send(sender, Endpoint::Callers, bytes.to_vec()),
                Action::HeldToUpstream(to, held) => {
                    self.send(sender, Endpoint::Upstream(to), held.into_vec());
                }
                Action::HeldToCaller(held) => self.send(sender, Endpoint::Callers, held.into_vec()),
                Action::Reply(header) => {
                    self.send(sender, Endpoint::Callers, header.as_bytes().to_vec());
                }
                Action::Peer { to, msg } => self.send_peer(at, to, msg),
                Action::Count(_) => {}
            }
        }
    }

    fn send_peer(&mut self, at: usize, to: HostId, msg: PeerMsg) {
        let envelope = Envelope { from: self.hosts[at].id, incarnation: 0, msg };
        let mut buf = PEER_MAGIC.to_vec();
        buf.extend(encode(&envelope).expect("messages can be encoded"));
        self.hosts[at].control_bytes += buf.len() as u64;
        self.send_to_host(Endpoint::Host(at), to, buf);
    }

    fn send_to_host(&mut self, from: Endpoint, to: HostId, bytes: Vec<u8>) {
        let newest = self.hosts.iter().rposition(|it| it.id == to);
        if let Some(to) = newest {
            let is_unknown = |it: &(usize, usize)| Endpoint::Host(it.0) == from && it.1 == to;
            if self.strangers.iter().any(is_unknown) {
                return;
            }
            self.send(from, Endpoint::Host(to), bytes);
        }
    }

    // Upstreams.

    fn upstream_receives(&mut self, addr: SocketAddrV4, from: Endpoint, seq: u64, bytes: &[u8]) {
        let packet = Packet::parse(bytes).expect("hosts forward well-formed packets");
        let flow = packet.flow();
        let key = (flow, packet.req());
        assert_eq!(flow.service, MESA, "an upstream received a packet of another service");
        let now = self.now;
        let it = self.upstreams.get_mut(&addr).expect("hosts send to known upstreams");
        it.last_packet = now;
        let header = packet.header();
        let reply = match packet.kind() {
            PacketKind::Open => {
                it.sessions.insert(flow);
                Some(header.kind(PacketKind::Opened))
            }
            PacketKind::Close => {
                it.sessions.remove(&flow);
                None
            }
            PacketKind::Cancel => {
                it.running.retain(|r| (r.flow, r.req) != key);
                None
            }
            PacketKind::Request if !it.sessions.contains(&flow) => {
                Some(header.kind(PacketKind::Reset))
            }
            PacketKind::Request => {
                it.arrived += 1;
                let capacity = if it.is_cold() { it.cold_slots } else { it.slots };
                let overloaded = it.running.len() >= capacity;
                if overloaded || it.sheds_all {
                    it.shed += 1;
                    it.overloads += u64::from(overloaded && it.is_cold());
                    it.avoidable +=
                        u64::from(overloaded && it.is_cold() && seq > it.first_cold_signal);
                    Some(header.kind(PacketKind::Shed))
                } else {
                    let factor = if it.is_cold() { COLD_FACTOR } else { 1 };
                    if it.is_cold() {
                        it.accepted_cold.insert(key);
                    }
                    let (percent, extra) = it.noise;
                    let delayed = percent > 0 && self.rng.random_range(0..100) < percent;
                    let service_ms = it.service_ms + if delayed { extra } else { 0 };
                    it.running.push(Running {
                        flow,
                        req: packet.req(),
                        header,
                        to: from,
                        due: now + Millis(service_ms * factor),
                        deadline: now + Millis(packet.remaining_ms().into()),
                    });
                    it.ran += 1;
                    it.ran_flows.insert(flow);
                    it.most_at_once = it.most_at_once.max(it.running.len());
                    self.callers.record_run(key);
                    None
                }
            }
            other => panic!("an upstream received an unexpected {other:?} packet"),
        };
        if let Some(header) = reply {
            self.send(Endpoint::Upstream(addr), from, header.as_bytes().to_vec());
        }
    }

    fn step_upstreams(&mut self) {
        let now = self.now;
        let mut answers = Vec::new();
        for (addr, it) in &mut self.upstreams {
            it.running.retain(|r| r.deadline > now || r.due <= now);
            while let Some(at) = it.running.iter().position(|r| r.due <= now) {
                let done = it.running.swap_remove(at);
                it.served += 1;
                let header = done.header.kind(PacketKind::Answer).part(0, 1);
                answers.push((*addr, done.to, header));
            }
        }
        for (addr, to, header) in answers {
            self.send(Endpoint::Upstream(addr), to, header.as_bytes().to_vec());
        }
    }

    // Packets received by callers.

    fn caller_receives(&mut self, bytes: &[u8]) {
        let packet = Packet::parse(bytes).expect("hosts send well-formed packets");
        let flow = packet.flow();
        let now = self.now;
        match packet.kind() {
            PacketKind::Opened => {
                self.callers.opened.insert(flow);
            }
            PacketKind::Reset | PacketKind::FlowAbandoned => {
                self.callers.ended.insert(flow, packet.code());
                self.callers.end(now, (flow, packet.req()), Outcome::Unknown, packet.code());
            }
            PacketKind::Answer => self.callers.add_part(now, &packet),
            PacketKind::NotRun => {
                let key = (flow, packet.req());
                if let Some(it) = self.callers.asked.get(&key) {
                    assert_eq!(
                        it.runs,
                        0,
                        "{key:?} was reported as not run, but it ran; code {}",
                        packet.code()
                    );
                }
                self.callers.end(now, key, Outcome::NotRun, packet.code());
                if let Some(it) = self.callers.asked.get_mut(&key) {
                    it.retry_after = packet.retry_after_ms();
                }
            }
            PacketKind::OutcomeUnknown => {
                self.callers.end(now, (flow, packet.req()), Outcome::Unknown, packet.code());
            }
            _ => {}
        }
    }
}

impl CallerView {
    fn record_run(&mut self, key: (FlowKey, u32)) {
        let it = self.asked.get_mut(&key).expect("upstreams run only requests that callers sent");
        it.runs += 1;
        assert!(it.idempotent || it.runs == 1, "non-idempotent request {key:?} ran more than once");
        let code = it.code;
        assert_ne!(
            it.outcome,
            Outcome::NotRun,
            "{key:?} ran after it was reported as not run; code {code}"
        );
    }

    fn add_part(&mut self, now: Millis, packet: &Packet<'_>) {
        let key = (packet.flow(), packet.req());
        let it = self.asked.get_mut(&key).expect("responses name requests that callers sent");
        it.parts.insert(packet.part());
        if it.parts.len() == usize::from(packet.parts()) {
            self.end(now, key, Outcome::Answered, 0);
        }
    }

    /// Sets the outcome of a request. Only the first outcome counts.
    fn end(&mut self, now: Millis, key: (FlowKey, u32), outcome: Outcome, code: u16) {
        let Some(it) = self.asked.get_mut(&key) else { return };
        if it.outcome == Outcome::Pending {
            (it.outcome, it.ended, it.code) = (outcome, now, code);
        }
    }
}
