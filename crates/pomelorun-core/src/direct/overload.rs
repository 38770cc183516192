//! Admission of new flows while the upstreams of a service have too little room.
//!
//! Answers demand above what the upstreams of a service serve, where routes of different priority
//! lead there: the more urgent requests are served in time, and the less urgent ones get the rest
//! without queues that only delay them. Nothing is kept or rejected without a recent picture of all
//! hosts' load, or where all routes of a service have the same priority.

mod admission;
mod answer_delay;
mod reserve;
mod room;

pub use crate::direct::overload::room::UpstreamRoom;
pub(crate) use crate::direct::overload::room::target_per_slot;
use crate::{
    direct::{
        overload::{
            admission::{OpeningRate, RateInput, is_always_admitted},
            answer_delay::AnswerDelay,
            reserve::{ReserveShare, mark_reserved},
            room::Room,
        },
        registry::UpstreamIx,
    },
    selection::rendezvous_score,
    time::Millis,
};

/// Free part of the room below which it is short.
const ENTER_FREE_SHARE: f64 = 0.05;
/// Free part of the room above which it is short no more, if all openings fit.
const LEAVE_FREE_SHARE: f64 = 0.3;
/// Time for which all openings must have fitted before the room is short no more.
const LEAVE_AFTER: Millis = Millis(1_000);
/// Free part of the room below which urgent flows go to the kept upstreams: at this load, queues can
/// fill before a picture shows it.
const BUSY_FREE_SHARE: f64 = 0.5;
/// Time for which urgent flows still go to the kept upstreams: load that has risen may rise again.
const BUSY_HOLD: Millis = Millis(10_000);
/// Least number of requests in progress through this host from which those through all hosts are
/// projected.
const MIN_OWN_IN_PROGRESS: f64 = 3.0;
/// Time after a sign of a high load for which a picture may not show it yet.
const PICTURE_DELAY: Millis = Millis(1_500);
/// Target of the kept upstreams relative to that of the others while the load is high. Urgent requests
/// rather wait there than at an upstream whose room is gone before the next picture shows it.
const RESERVE_TARGET: f64 = 1.5;
/// Free part of the room of the kept upstreams below which urgent requests go to others too.
const RESERVE_FREE_SHARE: f64 = 0.25;
/// Time between two reports that the room of a service became short.
const REPORT_GAP: Millis = Millis(5_000);
/// Usual service time while it is unknown, in milliseconds.
const UNKNOWN_SERVICE_TIME_MS: f64 = 100.0;

/// What to do with the opening packet of a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Any upstream may take it.
    Admit,
    /// Any upstream may take it but those that are kept for more urgent requests.
    AdmitUnreserved,
    /// An upstream with room is to take it, if there is one, and one that is kept for it if those have
    /// enough room.
    AdmitWithRoom,
    /// No upstream can serve it in time; reject it at once.
    Reject,
}

/// Urgency of a route among the routes to the same service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// All routes to the service have the same priority.
    Only,
    /// No route to the service is more urgent, and others are less.
    Most,
    /// Others are more and others are less urgent.
    Middle,
    /// No route to the service is less urgent, and others are more.
    Least,
}

impl Urgency {
    /// Returns the urgency of a priority between the smallest and the largest one.
    pub(crate) fn of(priority: u8, most: u8, least: u8) -> Urgency {
        match (priority == most, priority == least) {
            (true, true) => Urgency::Only,
            (true, false) => Urgency::Most,
            (false, true) => Urgency::Least,
            (false, false) => Urgency::Middle,
        }
    }
}

/// An opening packet to decide about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Opening {
    /// Urgency of its route.
    pub urgency: Urgency,
    /// Hash of its flow.
    pub flow_hash: u64,
    /// Time after which its request is given up.
    pub timeout: Millis,
    /// Usual time to an answer at an upstream without a queue, in milliseconds.
    pub service_time_ms: Option<f64>,
    /// `true` if an upstream may have got an earlier transmission of it.
    pub was_sent: bool,
}

/// Load of a service as all hosts together see it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// Upstreams that take flows.
    pub rooms: Vec<UpstreamRoom>,
    /// Requests in progress through this host now.
    pub own_in_progress: f64,
    /// Mean number of slots that the most urgent requests keep busy, if it is known.
    pub urgent_slots: Option<f64>,
    /// Requests in progress per slot up to which an upstream has room.
    pub target: f64,
    /// Usual time to an answer of the least urgent requests, in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Number of hosts that share the room.
    pub hosts: usize,
}

/// The numbers by which the room of a service was found short, or short no more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShortageReport {
    /// `true` if the room is short.
    pub is_short: bool,
    /// Free part of the room of the upstreams that are not kept, from 0 to 1.
    pub free_share: f64,
    /// Number of upstreams that take flows.
    pub upstreams: usize,
    /// Number of upstreams that are kept for more urgent requests.
    pub reserved: usize,
    /// Number of hosts that share the room.
    pub hosts: usize,
    /// Openings rejected since the room became short.
    pub rejected: u64,
}

/// Admission state of one service at one host.
#[derive(Debug, Default)]
pub struct ServiceOverload {
    share: ReserveShare,
    /// Sorted by position in the registry; empty without a recent picture.
    rooms: Vec<UpstreamRoom>,
    target: f64,
    reserve_target: f64,
    /// `true` if the kept upstreams have room for urgent requests.
    reserve_has_room: bool,
    answer_delay: AnswerDelay,
    /// Time until which urgent flows go to the kept upstreams.
    busy_until: Millis,
    /// Time until which queues may have filled that no picture shows yet.
    rising_until: Millis,
    limit: Option<OpeningRate>,
    rejected: u64,
    /// When a shortage was last reported.
    reported: Option<Millis>,
    /// `true` if the present shortage was reported.
    is_reported: bool,
}

impl ServiceOverload {
    /// Applies a new picture of the load, or `None` without a recent one.
    ///
    /// `salt` is the same at all hosts; `None` keeps no upstream. Returns a report if the room became
    /// short, or is short no more.
    pub fn refresh(
        &mut self,
        now: Millis,
        load: Option<ServiceLoad>,
        salt: Option<u64>,
    ) -> Option<ShortageReport> {
        let Some(mut load) = load else {
            self.rooms.clear();
            return self.leave(None);
        };
        let capacity: f64 = load.rooms.iter().map(UpstreamRoom::capacity).sum();
        let urgent_part = load.urgent_slots.filter(|_| capacity > 0.0).map(|it| it / capacity);
        let share = self.share.follow(now, urgent_part);
        if let Some(salt) = salt {
            mark_reserved(&mut load.rooms, salt, share);
        }
        load.rooms.sort_unstable_by_key(|it| it.ix);
        let room = Room::of(&load.rooms, load.target, false);
        let reserve_target = load.target * self.reserve_factor(now);
        let reserve = Room::of(&load.rooms, reserve_target, true);
        self.reserve_has_room = reserve.free_share() > RESERVE_FREE_SHARE
            && load.urgent_slots.is_none_or(|it| it <= reserve.capacity);
        let service_time_ms = load.service_time_ms.unwrap_or(UNKNOWN_SERVICE_TIME_MS).max(1.0);
        let input = RateInput {
            free_share: room.free_share(),
            capacity_per_s: room.capacity * 1_000.0 / service_time_ms,
            hosts: load.hosts as f64,
        };
        // This host's own flows show a sudden rise before the picture does.
        let projected = load.own_in_progress * load.hosts as f64;
        let is_rising = load.own_in_progress >= MIN_OWN_IN_PROGRESS
            && projected > (room.total + reserve.total) * (1.0 - BUSY_FREE_SHARE);
        if input.free_share < BUSY_FREE_SHARE || is_rising {
            self.note_high_load(now);
        }
        (self.target, self.reserve_target) = (load.target, reserve_target);
        self.rooms = load.rooms;
        let report = ShortageReport {
            is_short: true,
            free_share: input.free_share,
            upstreams: self.rooms.len(),
            reserved: self.rooms.iter().filter(|it| it.reserved).count(),
            hosts: load.hosts,
            rejected: self.rejected,
        };
        match &mut self.limit {
            None if room.total > 0.0 && input.free_share < ENTER_FREE_SHARE => {
                self.limit = Some(OpeningRate::start(now, &input));
                self.enter(now, report)
            }
            None => None,
            Some(limit)
                if input.free_share > LEAVE_FREE_SHARE && limit.is_unused_for(now, LEAVE_AFTER) =>
            {
                self.leave(Some(report))
            }
            Some(limit) => {
                limit.adapt(now, &input);
                None
            }
        }
    }

    /// Records how long an answer took, and how long answers usually take without a queue.
    pub fn record_answer(&mut self, now: Millis, took_ms: f64, usual_ms: f64) {
        if self.answer_delay.record(took_ms, usual_ms) {
            self.note_high_load(now);
        }
    }

    fn note_high_load(&mut self, now: Millis) {
        self.busy_until = now + BUSY_HOLD;
        self.rising_until = now + PICTURE_DELAY;
    }

    /// Decides whether a flow may be opened.
    pub fn admit(&mut self, now: Millis, opening: &Opening) -> Admission {
        if self.rooms.is_empty() || opening.urgency == Urgency::Only {
            return Admission::Admit;
        }
        let is_urgent = opening.urgency == Urgency::Most;
        let is_busy = self.is_short() || now < self.busy_until;
        let admitted = match (is_urgent, is_busy) {
            (true, true) => Admission::AdmitWithRoom,
            (true, false) => Admission::Admit,
            (false, _) => Admission::AdmitUnreserved,
        };
        if opening.was_sent || !self.is_short() {
            return admitted;
        }
        let rejects = match opening.urgency {
            Urgency::Least => {
                let is_within = self.limit.as_mut().is_none_or(|it| it.take(now));
                !is_within && !is_always_admitted(opening.flow_hash)
            }
            Urgency::Only | Urgency::Most | Urgency::Middle => self.is_too_late(opening, is_urgent),
        };
        self.rejected += u64::from(rejects);
        if rejects { Admission::Reject } else { admitted }
    }

    /// Returns `true` while the room of the upstreams that are not kept is short.
    pub fn is_short(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns `true` if a flow that was admitted as told may be opened at an upstream.
    pub fn allows(&self, admission: Admission, ix: UpstreamIx) -> bool {
        let Ok(at) = self.rooms.binary_search_by_key(&ix, |it| it.ix) else { return true };
        match admission {
            Admission::Admit => true,
            Admission::AdmitUnreserved => !self.rooms[at].reserved,
            Admission::AdmitWithRoom => {
                let it = &self.rooms[at];
                let target = if it.reserved { self.reserve_target } else { self.target };
                it.free(target) > 0.0 && (it.reserved || !self.reserve_has_room)
            }
            Admission::Reject => false,
        }
    }

    /// Returns the target of the kept upstreams relative to that of the others.
    fn reserve_factor(&self, now: Millis) -> f64 {
        if self.is_short() || now < self.rising_until { RESERVE_TARGET } else { 1.0 }
    }

    /// Returns `true` if a request would wait longer than its time-out everywhere.
    fn is_too_late(&self, opening: &Opening, is_urgent: bool) -> bool {
        let Some(service_time_ms) = opening.service_time_ms else { return false };
        let mut usable = self.rooms.iter().filter(|it| is_urgent || !it.reserved);
        usable.all(|it| it.expected_wait() * service_time_ms > opening.timeout.0 as f64)
    }

    fn enter(&mut self, now: Millis, report: ShortageReport) -> Option<ShortageReport> {
        self.rejected = 0;
        self.is_reported = self.reported.is_none_or(|at| now.since(at) >= REPORT_GAP);
        if !self.is_reported {
            return None;
        }
        self.reported = Some(now);
        Some(ShortageReport { rejected: 0, ..report })
    }

    fn leave(&mut self, report: Option<ShortageReport>) -> Option<ShortageReport> {
        self.limit.take()?;
        if !std::mem::take(&mut self.is_reported) {
            return None;
        }
        let unknown = ShortageReport {
            is_short: false,
            free_share: 0.0,
            upstreams: 0,
            reserved: 0,
            hosts: 0,
            rejected: self.rejected,
        };
        Some(report.map_or(unknown, |it| ShortageReport { is_short: false, ..it }))
    }
}

/// Admission state of a host for all services.
#[derive(Debug, Default)]
pub(crate) struct OverloadControl {
    /// Sorted by name of the service.
    services: Vec<(String, ServiceEntry)>,
}

/// Admission state of a service with what it was derived from.
#[derive(Debug, Default)]
pub(crate) struct ServiceEntry {
    /// Revision of the configuration that the priorities are from.
    pub(crate) revision: Option<u64>,
    /// Smallest and largest priority of the routes to the service.
    pub(crate) priorities: (u8, u8),
    /// When the picture was last refreshed.
    pub(crate) refreshed: Option<Millis>,
    pub(crate) state: ServiceOverload,
}

impl OverloadControl {
    /// Returns the state of a service, if there is one.
    pub(crate) fn get(&self, service: &str) -> Option<&ServiceEntry> {
        let at = self.services.binary_search_by(|it| it.0.as_str().cmp(service)).ok()?;
        Some(&self.services[at].1)
    }

    /// Returns the state of a service to change it, if there is one.
    pub(crate) fn get_mut(&mut self, service: &str) -> Option<&mut ServiceEntry> {
        let at = self.services.binary_search_by(|it| it.0.as_str().cmp(service)).ok()?;
        Some(&mut self.services[at].1)
    }

    /// Returns the state of a service.
    pub(crate) fn entry(&mut self, service: &str) -> &mut ServiceEntry {
        let at = match self.services.binary_search_by(|it| it.0.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.services.insert(at, (service.to_owned(), ServiceEntry::default()));
                at
            }
        };
        &mut self.services[at].1
    }
}

/// Returns a hash of a service's name that is the same at all hosts.
pub(crate) fn service_salt(service: &str) -> u64 {
    service.bytes().fold(0, |hash, byte| rendezvous_score(hash, u64::from(byte) + 1))
}
