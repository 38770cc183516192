//! What became of the flows and requests of each service, counted where it is decided.
//!
//! Every answer that a host gives passes its core once, so the sum over all hosts counts each
//! outcome once.

use pomelorun_wire::{Code, Kind, Packet, ServiceAddr};

use crate::{
    action::{Action, Actions},
    snapshot::Snapshot,
    time::Millis,
};

/// Outcomes of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Flows that an upstream opened.
    pub opened: u64,
    /// Flows that were lost although no operator asked for it.
    pub broken: u64,
    /// Flows given up since their availability zone or service was taken out.
    pub given_up: u64,
    /// Requests answered in full.
    pub answered: u64,
    /// Requests answered in full within the service's bound, counted from their arrival at the
    /// steward.
    pub in_time: u64,
    /// Requests and openings of flows that were refused as not run.
    pub refused: u64,
    /// Requests given up with an unknown outcome.
    pub unknown: u64,
}

impl Outcomes {
    /// Number of counters.
    pub const LEN: usize = 7;

    /// The counters in order of declaration.
    pub fn to_array(self) -> [u64; Outcomes::LEN] {
        let Outcomes { opened, broken, given_up, answered, in_time, refused, unknown } = self;
        [opened, broken, given_up, answered, in_time, refused, unknown]
    }

    /// The inverse of [`Outcomes::to_array`].
    pub fn from_array(array: [u64; Outcomes::LEN]) -> Outcomes {
        let [opened, broken, given_up, answered, in_time, refused, unknown] = array;
        Outcomes { opened, broken, given_up, answered, in_time, refused, unknown }
    }

    fn reply(&mut self, reply: &Packet<'_>) {
        let code = Code(reply.code());
        match reply.kind() {
            Kind::NotRun if code != Code::CANCELLED => self.refused += 1,
            Kind::OutcomeUnknown if code != Code::CANCELLED => self.unknown += 1,
            Kind::GivenUp if matches!(code, Code::ZONE_OUT | Code::SERVICE_UNKNOWN) => {
                self.given_up += 1;
            }
            Kind::GivenUp => self.broken += 1,
            _ => {}
        }
    }
}

/// Outcomes since the start by service, for the services in force.
#[derive(Debug, Clone, Default)]
pub struct ServiceCounts {
    /// Sorted by address.
    entries: Vec<(ServiceAddr, Outcomes)>,
}

impl ServiceCounts {
    /// The services in force, sorted by address.
    pub fn entries(&self) -> &[(ServiceAddr, Outcomes)] {
        &self.entries
    }

    /// Outcomes of a service, zero where it is not in force.
    pub fn get(&self, service: ServiceAddr) -> Outcomes {
        let found = self.entries.binary_search_by_key(&service, |it| it.0);
        found.map_or(Outcomes::default(), |at| self.entries[at].1)
    }

    /// Follows a new revision: services that left it are forgotten.
    pub(crate) fn follow(&mut self, snapshot: &Snapshot) {
        self.entries = snapshot.services.iter().map(|it| (it.addr, self.get(it.addr))).collect();
    }

    /// Counts a full answer.
    pub(crate) fn answered(&mut self, service: ServiceAddr, took: Millis, within: Millis) {
        let Some(it) = self.get_mut(service) else { return };
        it.answered += 1;
        it.in_time += u64::from(took <= within);
    }

    /// Counts what the actions of one event tell callers; `answer` is the upstream's packet that
    /// the event brought, if any.
    pub(crate) fn tally(&mut self, answer: Option<(ServiceAddr, Kind)>, out: &Actions) {
        for action in out {
            match (action, answer) {
                (Action::Reply(header), _) => {
                    let Ok(reply) = Packet::parse(header.as_bytes()) else { continue };
                    if let Some(it) = self.get_mut(reply.flow().service) {
                        it.reply(&reply);
                    }
                }
                (Action::ToCaller, Some((service, Kind::Opened))) => {
                    if let Some(it) = self.get_mut(service) {
                        it.opened += 1;
                    }
                }
                (Action::ToCaller, Some((service, Kind::Reset))) => {
                    if let Some(it) = self.get_mut(service) {
                        it.broken += 1;
                    }
                }
                _ => {}
            }
        }
    }

    fn get_mut(&mut self, service: ServiceAddr) -> Option<&mut Outcomes> {
        let at = self.entries.binary_search_by_key(&service, |it| it.0).ok()?;
        Some(&mut self.entries[at].1)
    }
}
