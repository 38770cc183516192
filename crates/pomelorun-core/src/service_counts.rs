//! Outcomes of flows and requests by service.
//!
//! Each outcome is counted by the host that decides it, when its core emits the reply. The sum over
//! all hosts therefore counts each outcome once.

use pomelorun_wire::{Code, Packet, PacketKind, ServiceAddr};

use crate::{
    action::{Action, Actions},
    snapshot::Snapshot,
    time::Millis,
};

/// Counters of the outcomes of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Flows that an upstream opened.
    pub opened: u64,
    /// Flows that were lost for a reason other than an operator's change.
    pub broken: u64,
    /// Flows that were abandoned because operators removed their service or withdrew their zone.
    pub given_up: u64,
    /// Requests answered in full.
    pub answered: u64,
    /// Requests answered in full within the service's latency target, measured from their arrival
    /// at the primary.
    pub in_time: u64,
    /// Requests and flow openings that were refused and certainly did not run.
    pub refused: u64,
    /// Requests that ended with an unknown outcome.
    pub unknown: u64,
}

impl Outcomes {
    /// Number of counters.
    pub const LEN: usize = 7;

    /// Returns the counters in order of declaration.
    pub fn to_array(self) -> [u64; Outcomes::LEN] {
        let Outcomes { opened, broken, given_up, answered, in_time, refused, unknown } = self;
        [opened, broken, given_up, answered, in_time, refused, unknown]
    }

    /// Creates the counters from an array made by [`Outcomes::to_array`].
    pub fn from_array(array: [u64; Outcomes::LEN]) -> Outcomes {
        let [opened, broken, given_up, answered, in_time, refused, unknown] = array;
        Outcomes { opened, broken, given_up, answered, in_time, refused, unknown }
    }

    fn record_reply(&mut self, reply: &Packet<'_>) {
        let code = Code(reply.code());
        match reply.kind() {
            PacketKind::NotRun if code != Code::CANCELLED => self.refused += 1,
            PacketKind::OutcomeUnknown if code != Code::CANCELLED => self.unknown += 1,
            PacketKind::FlowAbandoned
                if matches!(code, Code::FLOW_ZONE_WITHDRAWN | Code::SERVICE_UNKNOWN) =>
            {
                self.given_up += 1;
            }
            PacketKind::FlowAbandoned => self.broken += 1,
            _ => {}
        }
    }
}

/// Outcomes by service since the start of the process, for the services of the active revision.
#[derive(Debug, Clone, Default)]
pub struct ServiceCounts {
    /// Sorted by address.
    entries: Vec<(ServiceAddr, Outcomes)>,
}

impl ServiceCounts {
    /// Returns the services of the active revision and their outcomes, sorted by address.
    pub fn entries(&self) -> &[(ServiceAddr, Outcomes)] {
        &self.entries
    }

    /// Returns the outcomes of a service, zeros if the active revision does not have it.
    pub fn get(&self, service: ServiceAddr) -> Outcomes {
        let found = self.entries.binary_search_by_key(&service, |it| it.0);
        found.map_or(Outcomes::default(), |at| self.entries[at].1)
    }

    /// Adds the services of a new active revision and drops those that it no longer has.
    pub(crate) fn set_services(&mut self, snapshot: &Snapshot) {
        self.entries = snapshot.services.iter().map(|it| (it.addr, self.get(it.addr))).collect();
    }

    /// Counts a complete answer that took `latency`, against the service's latency target.
    pub(crate) fn record_answer(&mut self, service: ServiceAddr, latency: Millis, target: Millis) {
        let Some(it) = self.get_mut(service) else { return };
        it.answered += 1;
        it.in_time += u64::from(latency <= target);
    }

    /// Counts the outcomes that the actions of one event report to callers.
    ///
    /// `from_upstream` describes the upstream's packet that the event carried, if any.
    pub(crate) fn record_actions(
        &mut self,
        from_upstream: Option<(ServiceAddr, PacketKind)>,
        out: &Actions,
    ) {
        for action in out {
            match (action, from_upstream) {
                (Action::Reply(header), _) => {
                    let Ok(reply) = Packet::parse(header.as_bytes()) else { continue };
                    if let Some(it) = self.get_mut(reply.flow().service) {
                        it.record_reply(&reply);
                    }
                }
                (Action::ToCaller, Some((service, PacketKind::Opened))) => {
                    if let Some(it) = self.get_mut(service) {
                        it.opened += 1;
                    }
                }
                (Action::ToCaller, Some((service, PacketKind::Reset))) => {
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
