//! Lookups of flows whose upstream their bucket owner does not know.
//!
//! A lookup records which hosts were probed and which hosts and upstreams do not know the flow. It
//! holds no packet: the packet travels with the probes, and if it is lost, the caller's
//! retransmission continues the lookup.

use pomelorun_wire::{FlowKey, HostId, UpstreamId};
use smallvec::SmallVec;

use crate::time::Millis;

/// Maximum number of concurrent lookups.
const MAX_LOOKUPS: usize = 4_096;
/// Time without a packet of the flow after which its lookup is dropped.
const LOOKUP_TTL: Millis = Millis(5_000);
/// Time without a reply after which a probed host is not probed again for the flow.
const PROBE_TIMEOUT: Millis = Millis(60);

/// State of one lookup.
#[derive(Debug, Clone)]
struct Lookup {
    flow: FlowKey,
    last_used: Millis,
    /// Probed hosts and the time of the first probe of each.
    probed: SmallVec<[(HostId, Millis); 4]>,
    /// Hosts that do not know the flow.
    hosts_without_flow: SmallVec<[HostId; 4]>,
    /// Upstreams that do not know the flow.
    upstreams_without_flow: SmallVec<[UpstreamId; 4]>,
}

/// Lookups of one host, sorted by flow.
#[derive(Debug, Default)]
pub(super) struct Lookups {
    entries: Vec<Lookup>,
}

impl Lookups {
    /// Returns `true` if a host may be probed, for the first time or again.
    pub(super) fn may_probe(&self, now: Millis, flow: &FlowKey, host: HostId) -> bool {
        let Some(it) = self.get(flow) else { return true };
        let timed_out =
            |probe: &(HostId, Millis)| probe.0 == host && now.since(probe.1) >= PROBE_TIMEOUT;
        !it.hosts_without_flow.contains(&host) && !it.probed.iter().any(timed_out)
    }

    /// Returns `true` if an upstream replied that it does not know the flow.
    pub(super) fn is_without_flow(&self, flow: &FlowKey, upstream: UpstreamId) -> bool {
        self.get(flow).is_some_and(|it| it.upstreams_without_flow.contains(&upstream))
    }

    /// Records that a host is probed.
    pub(super) fn record_probe(&mut self, now: Millis, flow: &FlowKey, host: HostId) {
        if let Some(it) = self.get_mut(now, flow)
            && !it.probed.iter().any(|probe| probe.0 == host)
        {
            it.probed.push((host, now));
        }
    }

    /// Records that a host does not know the flow; returns `false` if too many lookups run.
    pub(super) fn record_host_without_flow(
        &mut self,
        now: Millis,
        flow: &FlowKey,
        host: HostId,
    ) -> bool {
        let Some(it) = self.get_mut(now, flow) else { return false };
        if !it.hosts_without_flow.contains(&host) {
            it.hosts_without_flow.push(host);
        }
        true
    }

    /// Records that an upstream does not know the flow; returns `false` if too many lookups run.
    pub(super) fn record_upstream_without_flow(
        &mut self,
        now: Millis,
        flow: &FlowKey,
        upstream: UpstreamId,
    ) -> bool {
        let Some(it) = self.get_mut(now, flow) else { return false };
        if !it.upstreams_without_flow.contains(&upstream) {
            it.upstreams_without_flow.push(upstream);
        }
        true
    }

    /// Removes the lookup of a flow.
    pub(super) fn remove(&mut self, flow: &FlowKey) {
        if let Ok(at) = self.position(flow) {
            self.entries.remove(at);
        }
    }

    /// Removes lookups whose flow had no packet recently.
    pub(super) fn expire(&mut self, now: Millis) {
        self.entries.retain(|it| now.since(it.last_used) < LOOKUP_TTL);
    }

    fn position(&self, flow: &FlowKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(flow, |it| it.flow)
    }

    fn get(&self, flow: &FlowKey) -> Option<&Lookup> {
        self.position(flow).ok().map(|at| &self.entries[at])
    }

    /// Returns the lookup of a flow, starting it if needed, or `None` if too many lookups run.
    fn get_mut(&mut self, now: Millis, flow: &FlowKey) -> Option<&mut Lookup> {
        let at = match self.position(flow) {
            Ok(at) => at,
            Err(_) if self.entries.len() >= MAX_LOOKUPS => return None,
            Err(at) => {
                let it = Lookup {
                    flow: *flow,
                    last_used: now,
                    probed: SmallVec::new(),
                    hosts_without_flow: SmallVec::new(),
                    upstreams_without_flow: SmallVec::new(),
                };
                self.entries.insert(at, it);
                at
            }
        };
        self.entries[at].last_used = now;
        Some(&mut self.entries[at])
    }
}
