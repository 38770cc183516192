//! Packet and result code counters of one host.

use pomelorun_wire::Code;

/// Packet and result code counters of one host since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Packets received from the network fabric.
    pub fabric_packets: u64,
    /// Packets relayed to other hosts.
    pub relayed: u64,
    /// Packets sent to upstreams.
    pub to_upstream: u64,
    /// Packets sent to callers.
    pub to_caller: u64,
    /// Occurrences by result code, sorted by code.
    pub codes: Vec<(Code, u64)>,
}

impl Stats {
    /// Counts one occurrence of a result code.
    pub fn count(&mut self, code: Code) {
        match self.codes.binary_search_by_key(&code, |it| it.0) {
            Ok(at) => self.codes[at].1 += 1,
            Err(at) => self.codes.insert(at, (code, 1)),
        }
    }

    /// Returns the number of occurrences of a result code.
    pub fn count_of(&self, code: Code) -> u64 {
        self.codes.binary_search_by_key(&code, |it| it.0).map_or(0, |at| self.codes[at].1)
    }
}
