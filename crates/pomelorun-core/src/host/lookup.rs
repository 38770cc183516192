//! Searches for the homes of flows that their bucket owner does not know.

use pomelorun_wire::{FlowKey, HostId, UpstreamId};
use smallvec::SmallVec;

use crate::time::Millis;

/// Searches that one host runs at a time.
const MOST: usize = 4_096;
/// Time without a packet of the flow after which a search is forgotten.
const KEEP: Millis = Millis(5_000);
/// Time after which a host that was asked is taken to be silent.
const SILENT_AFTER: Millis = Millis(60);

/// What one search has found out so far.
#[derive(Debug, Clone)]
struct Lookup {
    flow: FlowKey,
    used: Millis,
    /// The hosts that were asked, and when first.
    asked: SmallVec<[(HostId, Millis); 4]>,
    /// The hosts that do not know the flow.
    missed: SmallVec<[HostId; 4]>,
    /// The upstreams that do not know the flow.
    reset: SmallVec<[UpstreamId; 4]>,
}

/// The searches of one host, sorted by flow.
#[derive(Debug, Default)]
pub(super) struct Lookups {
    running: Vec<Lookup>,
}

impl Lookups {
    /// Tells whether a host is still to be asked, or to be asked again.
    pub(super) fn may_ask(&self, now: Millis, flow: &FlowKey, host: HostId) -> bool {
        let Some(it) = self.get(flow) else { return true };
        let silent =
            |asked: &(HostId, Millis)| asked.0 == host && now.since(asked.1) >= SILENT_AFTER;
        !it.missed.contains(&host) && !it.asked.iter().any(silent)
    }

    /// Tells whether an upstream has said that it does not know the flow.
    pub(super) fn was_reset(&self, flow: &FlowKey, upstream: UpstreamId) -> bool {
        self.get(flow).is_some_and(|it| it.reset.contains(&upstream))
    }

    /// Notes that a host is asked.
    pub(super) fn ask(&mut self, now: Millis, flow: &FlowKey, host: HostId) {
        if let Some(it) = self.get_mut(now, flow)
            && !it.asked.iter().any(|asked| asked.0 == host)
        {
            it.asked.push((host, now));
        }
    }

    /// Notes that a host does not know the flow; false where too many searches run.
    pub(super) fn miss(&mut self, now: Millis, flow: &FlowKey, host: HostId) -> bool {
        let Some(it) = self.get_mut(now, flow) else { return false };
        if !it.missed.contains(&host) {
            it.missed.push(host);
        }
        true
    }

    /// Notes that an upstream does not know the flow; false where too many searches run.
    pub(super) fn reset(&mut self, now: Millis, flow: &FlowKey, upstream: UpstreamId) -> bool {
        let Some(it) = self.get_mut(now, flow) else { return false };
        if !it.reset.contains(&upstream) {
            it.reset.push(upstream);
        }
        true
    }

    /// Ends a search.
    pub(super) fn end(&mut self, flow: &FlowKey) {
        if let Ok(at) = self.position(flow) {
            self.running.remove(at);
        }
    }

    /// Forgets searches whose flow has sent nothing lately.
    pub(super) fn expire(&mut self, now: Millis) {
        self.running.retain(|it| now.since(it.used) < KEEP);
    }

    fn position(&self, flow: &FlowKey) -> Result<usize, usize> {
        self.running.binary_search_by_key(flow, |it| it.flow)
    }

    fn get(&self, flow: &FlowKey) -> Option<&Lookup> {
        self.position(flow).ok().map(|at| &self.running[at])
    }

    /// Finds or starts a search, none where too many run.
    fn get_mut(&mut self, now: Millis, flow: &FlowKey) -> Option<&mut Lookup> {
        let at = match self.position(flow) {
            Ok(at) => at,
            Err(_) if self.running.len() >= MOST => return None,
            Err(at) => {
                let it = Lookup {
                    flow: *flow,
                    used: now,
                    asked: SmallVec::new(),
                    missed: SmallVec::new(),
                    reset: SmallVec::new(),
                };
                self.running.insert(at, it);
                at
            }
        };
        self.running[at].used = now;
        Some(&mut self.running[at])
    }
}
