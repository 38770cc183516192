//! Many cores that exchange control messages only, through the real codec, under virtual time.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use pomelorun_core::{Action, Actions, CoreSettings, Event, HostCore, ListedHost, Millis};
use pomelorun_wire::{Envelope, HostId, MemberState, ZoneId, decode, encode};

/// Virtual time between two timer events, milliseconds.
const TICK_MS: u64 = 20;
/// Time that a datagram is on its way, milliseconds.
const LATENCY: Millis = Millis(2);
/// Bytes before the body of a control message.
const MAGIC_LEN: u64 = 2;
/// First incarnation.
const FIRST_INCARNATION: u64 = 1_000_000;

pub(crate) struct FleetHost {
    pub(crate) id: HostId,
    pub(crate) zone: ZoneId,
    pub(crate) core: HostCore,
    /// Runs and reads its socket.
    pub(crate) up: bool,
    /// Does not run; what arrives waits.
    pub(crate) frozen: bool,
    waiting: Vec<Vec<u8>>,
    /// Control messages sent and received, bytes.
    pub(crate) bytes: u64,
    pub(crate) largest: u64,
}

struct InFlight {
    due: Millis,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// The hosts and the network between them.
pub(crate) struct Fleet {
    pub(crate) now: Millis,
    pub(crate) hosts: Vec<FleetHost>,
    pub(crate) cfg: CoreSettings,
    /// Zone that is cut off from all others.
    pub(crate) cut: Option<ZoneId>,
    /// Time spent in the cores and the codec.
    pub(crate) busy: Duration,
    by_id: Vec<(HostId, usize)>,
    in_flight: VecDeque<InFlight>,
}

impl Fleet {
    /// Starts hosts spread over zones; all read the host list.
    pub(crate) fn new(count: usize, zones: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Millis(1),
            hosts: Vec::with_capacity(count),
            cfg: CoreSettings::default(),
            cut: None,
            busy: Duration::ZERO,
            by_id: Vec::new(),
            in_flight: VecDeque::new(),
        };
        for at in 0..count {
            fleet.add(at, zones, seed);
        }
        fleet.list();
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
            frozen: false,
            waiting: Vec::new(),
            bytes: 0,
            largest: 0,
        });
        let slot = self.by_id.partition_point(|it| it.0 < id);
        self.by_id.insert(slot, (id, self.hosts.len() - 1));
    }

    /// Gives all running hosts the list of those that are up.
    pub(crate) fn list(&mut self) {
        let listed = self.listed();
        for at in 0..self.hosts.len() {
            self.handle(at, Event::HostList(&listed));
        }
    }

    pub(crate) fn listed(&self) -> Vec<ListedHost> {
        let row = |it: &FleetHost| ListedHost { host: it.id, zone: it.zone, leaving: false };
        self.hosts.iter().filter(|it| it.up).map(row).collect()
    }

    /// Starts a host again, empty, under its old name.
    pub(crate) fn restart(&mut self, at: usize, incarnation: u64) {
        let it = &mut self.hosts[at];
        it.core = HostCore::new(it.id, it.zone, incarnation, it.id.0, self.cfg.clone());
        it.up = true;
        it.frozen = false;
        it.waiting.clear();
        let listed = self.listed();
        self.handle(at, Event::HostList(&listed));
    }

    pub(crate) fn crash(&mut self, at: usize) {
        self.hosts[at].up = false;
    }

    /// Lets a frozen host run again: first it reads what waits in its socket.
    pub(crate) fn thaw(&mut self, at: usize) {
        self.hosts[at].frozen = false;
        for bytes in std::mem::take(&mut self.hosts[at].waiting) {
            self.receive(at, &bytes);
        }
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now + Millis(1);
            while self.in_flight.front().is_some_and(|it| it.due <= self.now) {
                let it = self.in_flight.pop_front().expect("just looked");
                self.deliver(it);
            }
            for at in 0..self.hosts.len() {
                // Hosts do not tick in step.
                if (self.now.0 + at as u64).is_multiple_of(TICK_MS) {
                    self.handle(at, Event::Tick);
                }
            }
        }
    }

    /// Runs until a condition holds; returns the time taken, none if it did not come to hold.
    pub(crate) fn run_until(
        &mut self,
        within: u64,
        holds: impl Fn(&Fleet) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        while !holds(self) {
            if self.now.since(start).0 >= within {
                return None;
            }
            self.run_for(TICK_MS);
        }
        Some(self.now.since(start))
    }

    /// Running hosts that do not see a host in this state.
    pub(crate) fn disagreeing(&self, about: usize, state: MemberState) -> usize {
        let id = self.hosts[about].id;
        self.hosts
            .iter()
            .filter(|it| it.up && !it.frozen && it.id != id)
            .filter(|it| it.core.members().get(id).is_none_or(|it| it.state != state))
            .count()
    }

    /// Hosts that a host does not believe live.
    pub(crate) fn not_live(&self, at: usize) -> usize {
        let others = self.hosts[at].core.members().others();
        others.iter().filter(|it| it.state != MemberState::Live).count()
    }

    /// Hosts other than one that a host does not believe live.
    pub(crate) fn not_live_but(&self, at: usize, but: usize) -> usize {
        let (others, but) = (self.hosts[at].core.members().others(), self.hosts[but].id);
        others.iter().filter(|it| it.state != MemberState::Live && it.host != but).count()
    }

    fn deliver(&mut self, it: InFlight) {
        let (from, to) = (self.hosts[it.from].zone, self.hosts[it.to].zone);
        if from != to && self.cut.is_some_and(|cut| cut == from || cut == to) {
            return;
        }
        if !self.hosts[it.to].up {
            return;
        }
        if self.hosts[it.to].frozen {
            self.hosts[it.to].waiting.push(it.bytes);
        } else {
            self.receive(it.to, &it.bytes);
        }
    }

    fn receive(&mut self, at: usize, bytes: &[u8]) {
        self.hosts[at].bytes += MAGIC_LEN + bytes.len() as u64;
        let start = Instant::now();
        let envelope: Envelope = decode(bytes).expect("hosts send well-formed messages");
        self.busy += start.elapsed();
        self.handle(at, Event::Peer(&envelope));
    }

    pub(crate) fn handle(&mut self, at: usize, event: Event<'_>) {
        if !self.hosts[at].up || self.hosts[at].frozen {
            return;
        }
        let start = Instant::now();
        let actions = self.hosts[at].core.handle(self.now, event);
        let sent = self.encode(at, actions);
        self.busy += start.elapsed();
        for (to, bytes) in sent {
            let len = MAGIC_LEN + bytes.len() as u64;
            self.hosts[at].bytes += len;
            self.hosts[at].largest = self.hosts[at].largest.max(len);
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
