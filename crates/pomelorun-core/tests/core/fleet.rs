//! Simulates a fleet of cores that exchange only control messages.
//!
//! Messages pass through the real codec; time is virtual.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use pomelorun_core::{Action, Actions, CoreSettings, Event, HostCore, ListedHost, Millis};
use pomelorun_wire::{Envelope, HostId, MemberState, ZoneId, decode, encode};

/// Virtual time between two ticks of a host, in milliseconds.
const TICK_MS: u64 = 20;
/// One-way network latency of a datagram.
const LATENCY: Millis = Millis(2);
/// Length of the magic bytes before the body of a control message.
const MAGIC_LEN: u64 = 2;
/// Incarnation of a host at its first start.
const FIRST_INCARNATION: u64 = 1_000_000;

pub(crate) struct FleetHost {
    pub(crate) id: HostId,
    pub(crate) zone: ZoneId,
    pub(crate) core: HostCore,
    /// `true` until the host crashes.
    pub(crate) up: bool,
    /// `true` while the process is paused; datagrams that arrive queue in `socket_queue`.
    pub(crate) paused: bool,
    socket_queue: Vec<Vec<u8>>,
    /// Bytes of control messages sent and received.
    pub(crate) bytes: u64,
    /// Size of the largest control message sent, in bytes.
    pub(crate) largest_message: u64,
}

struct InFlight {
    due: Millis,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Hosts and the network between them.
pub(crate) struct Fleet {
    pub(crate) now: Millis,
    pub(crate) hosts: Vec<FleetHost>,
    pub(crate) cfg: CoreSettings,
    /// Zone that is partitioned from all others.
    pub(crate) partitioned_zone: Option<ZoneId>,
    /// Wall-clock time spent in the cores and the codec.
    pub(crate) busy_time: Duration,
    by_id: Vec<(HostId, usize)>,
    in_flight: VecDeque<InFlight>,
}

impl Fleet {
    /// Starts `count` hosts, spread evenly over the zones, and gives each the host list.
    pub(crate) fn new(count: usize, zones: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Millis(1),
            hosts: Vec::with_capacity(count),
            cfg: CoreSettings::default(),
            partitioned_zone: None,
            busy_time: Duration::ZERO,
            by_id: Vec::new(),
            in_flight: VecDeque::new(),
        };
        for at in 0..count {
            fleet.add(at, zones, seed);
        }
        fleet.publish_host_list();
        fleet
    }

    pub(crate) fn add(&mut self, at: usize, zones: usize, seed: u64) {
        let id = HostId::from_name(&format!("host-{at}"));
        let zone = ZoneId::from_name(&format!("zone-{}", at % zones));
        let core = HostCore::new(id, zone, FIRST_INCARNATION, id.0 ^ seed, self.cfg.clone());
        self.hosts.push(FleetHost {
            id,
            zone,
            core,
            up: true,
            paused: false,
            socket_queue: Vec::new(),
            bytes: 0,
            largest_message: 0,
        });
        let slot = self.by_id.partition_point(|it| it.0 < id);
        self.by_id.insert(slot, (id, self.hosts.len() - 1));
    }

    /// Sends the list of hosts that are up to all running hosts.
    pub(crate) fn publish_host_list(&mut self) {
        let listed_hosts = self.listed_hosts();
        for at in 0..self.hosts.len() {
            self.handle(at, Event::HostList(&listed_hosts));
        }
    }

    pub(crate) fn listed_hosts(&self) -> Vec<ListedHost> {
        let to_listed = |it: &FleetHost| ListedHost { host: it.id, zone: it.zone, leaving: false };
        self.hosts.iter().filter(|it| it.up).map(to_listed).collect()
    }

    /// Restarts a host under its old name, without its previous state.
    pub(crate) fn restart(&mut self, at: usize, incarnation: u64) {
        let it = &mut self.hosts[at];
        it.core = HostCore::new(it.id, it.zone, incarnation, it.id.0, self.cfg.clone());
        it.up = true;
        it.paused = false;
        it.socket_queue.clear();
        let listed_hosts = self.listed_hosts();
        self.handle(at, Event::HostList(&listed_hosts));
    }

    pub(crate) fn crash(&mut self, at: usize) {
        self.hosts[at].up = false;
    }

    /// Resumes a paused host, which first reads the datagrams queued in its socket.
    pub(crate) fn resume(&mut self, at: usize) {
        self.hosts[at].paused = false;
        for bytes in std::mem::take(&mut self.hosts[at].socket_queue) {
            self.receive(at, &bytes);
        }
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now + Millis(1);
            while self.in_flight.front().is_some_and(|it| it.due <= self.now) {
                let it = self.in_flight.pop_front().expect("the queue is not empty");
                self.deliver(it);
            }
            for at in 0..self.hosts.len() {
                // Hosts tick at different milliseconds, as independent processes do.
                if (self.now.0 + at as u64).is_multiple_of(TICK_MS) {
                    self.handle(at, Event::Tick);
                }
            }
        }
    }

    /// Runs until `condition` holds and returns the time taken, or `None` after `timeout_ms`.
    pub(crate) fn run_until(
        &mut self,
        timeout_ms: u64,
        condition: impl Fn(&Fleet) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        while !condition(self) {
            if self.now.since(start).0 >= timeout_ms {
                return None;
            }
            self.run_for(TICK_MS);
        }
        Some(self.now.since(start))
    }

    /// Returns the number of other running hosts that do not see a host in `state`.
    pub(crate) fn hosts_disagreeing(&self, about: usize, state: MemberState) -> usize {
        let id = self.hosts[about].id;
        self.hosts
            .iter()
            .filter(|it| it.up && !it.paused && it.id != id)
            .filter(|it| it.core.members().get(id).is_none_or(|it| it.state != state))
            .count()
    }

    /// Returns the number of members that a host does not consider live.
    pub(crate) fn non_live_members(&self, at: usize) -> usize {
        let others = self.hosts[at].core.members().others();
        others.iter().filter(|it| it.state != MemberState::Live).count()
    }

    /// Returns the number of members, `except` aside, that a host does not consider live.
    pub(crate) fn non_live_members_except(&self, at: usize, except: usize) -> usize {
        let (others, except) = (self.hosts[at].core.members().others(), self.hosts[except].id);
        others.iter().filter(|it| it.state != MemberState::Live && it.host != except).count()
    }

    fn deliver(&mut self, it: InFlight) {
        let (from, to) = (self.hosts[it.from].zone, self.hosts[it.to].zone);
        if from != to && self.partitioned_zone.is_some_and(|zone| zone == from || zone == to) {
            return;
        }
        if !self.hosts[it.to].up {
            return;
        }
        if self.hosts[it.to].paused {
            self.hosts[it.to].socket_queue.push(it.bytes);
        } else {
            self.receive(it.to, &it.bytes);
        }
    }

    fn receive(&mut self, at: usize, bytes: &[u8]) {
        self.hosts[at].bytes += MAGIC_LEN + bytes.len() as u64;
        let start = Instant::now();
        let envelope: Envelope = decode(bytes).expect("hosts send well-formed messages");
        self.busy_time += start.elapsed();
        self.handle(at, Event::Peer(&envelope));
    }

    pub(crate) fn handle(&mut self, at: usize, event: Event<'_>) {
        if !self.hosts[at].up || self.hosts[at].paused {
            return;
        }
        let start = Instant::now();
        let actions = self.hosts[at].core.handle(self.now, event);
        let sent = self.encode(at, actions);
        self.busy_time += start.elapsed();
        for (to, bytes) in sent {
            let len = MAGIC_LEN + bytes.len() as u64;
            self.hosts[at].bytes += len;
            self.hosts[at].largest_message = self.hosts[at].largest_message.max(len);
            if let Ok(slot) = self.by_id.binary_search_by_key(&to, |it| it.0) {
                let to = self.by_id[slot].1;
                self.in_flight.push_back(InFlight { due: self.now + LATENCY, from: at, to, bytes });
            }
        }
    }

    fn encode(&self, at: usize, actions: Actions) -> Vec<(HostId, Vec<u8>)> {
        let from = self.hosts[at].id;
        let mut sent = Vec::new();
        for action in actions {
            if let Action::Peer { to, msg } = action {
                let envelope = Envelope { from, incarnation: FIRST_INCARNATION, msg };
                sent.push((to, encode(&envelope).expect("messages can be encoded")));
            }
        }
        sent
    }
}
