//! Requests that were sent to an upstream that has not confirmed their flow.
//!
//! The primary holds their packets. If the upstream replies with a reset, it does not know the flow
//! and has not run the request, so the packet is returned to the bucket owner, which looks for the
//! flow at other upstreams.

use std::net::SocketAddrV4;

use pomelorun_wire::{FlowKey, Packet, RecordKey, RelayStage, UpstreamId};

use crate::{
    action::{Action, Actions},
    host::{HostCore, MAX_HOPS},
    time::Millis,
};

/// Maximum number of requests that one host holds.
const MAX_HELD_REQUESTS: usize = 4_096;

/// Request with its packet.
#[derive(Debug)]
struct HeldRequest {
    key: RecordKey,
    upstream: UpstreamId,
    expires_at: Millis,
    bytes: Box<[u8]>,
}

/// Held requests of one host, sorted by request.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedRequests {
    entries: Vec<HeldRequest>,
}

impl UnconfirmedRequests {
    fn hold(&mut self, packet: &Packet<'_>, upstream: UpstreamId, expires_at: Millis) {
        let key = RecordKey { flow: packet.flow(), req: packet.req() };
        let it = HeldRequest { key, upstream, expires_at, bytes: packet.bytes().into() };
        match self.entries.binary_search_by_key(&key, |it| it.key) {
            Ok(at) => self.entries[at] = it,
            Err(_) if self.entries.len() >= MAX_HELD_REQUESTS => {}
            Err(at) => self.entries.insert(at, it),
        }
    }

    fn take(&mut self, key: &RecordKey, upstream: UpstreamId) -> Option<Box<[u8]>> {
        let at = self.entries.binary_search_by_key(key, |it| it.key).ok()?;
        if self.entries[at].upstream != upstream {
            return None;
        }
        Some(self.entries.remove(at).bytes)
    }

    /// Removes all requests of a flow.
    fn remove_flow(&mut self, flow: &FlowKey) {
        let from = self.entries.partition_point(|it| it.key.flow < *flow);
        let len = self.entries[from..].partition_point(|it| it.key.flow == *flow);
        self.entries.drain(from..from + len);
    }

    pub(super) fn expire(&mut self, now: Millis) {
        self.entries.retain(|it| it.expires_at > now);
    }
}

impl HostCore {
    /// Holds the packet of a request, unless the upstream has confirmed the flow.
    pub(super) fn hold_until_confirmed(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        id: UpstreamId,
    ) {
        if self.flows.is_confirmed(&packet.flow()) {
            return;
        }
        let Some(snapshot) = self.snapshots.first() else { return };
        let Some(upstream) = snapshot.upstream(id) else { return };
        let expires_at =
            now + snapshot.pool_of(upstream).max_deadline + self.cfg.max_packet_lifetime_ms;
        self.unconfirmed.hold(packet, id, expires_at);
    }

    /// Marks a flow as confirmed by its upstream and drops its held requests.
    pub(super) fn confirm_flow(&mut self, flow: &FlowKey) {
        if !self.flows.is_confirmed(flow) {
            self.flows.confirm(flow);
            self.unconfirmed.remove_flow(flow);
        }
    }

    /// Handles a reset: the upstream does not know the flow, so it has not run the request.
    pub(super) fn handle_reset(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        let flow = packet.flow();
        let key = RecordKey { flow, req: packet.req() };
        let Some(id) = self.upstream_at(from) else { return };
        self.with_primary(now, id, |it, cx| it.handle_flow_unknown(cx, &key, out));
        let held = self.unconfirmed.take(&key, id);
        if held.is_none() && self.flows.get(&flow) != Some(id) {
            return;
        }
        let was_confirmed = self.flows.get(&flow) == Some(id) && self.flows.is_confirmed(&flow);
        if self.flows.get(&flow) == Some(id) {
            self.forget_flow(&flow);
        }
        match held {
            Some(bytes) if !was_confirmed => self.return_to_bucket_owner(now, id, bytes, out),
            _ => out.push(Action::ToCaller),
        }
    }

    /// Returns a held packet to the bucket owner of its flow, to look for another upstream.
    fn return_to_bucket_owner(
        &mut self,
        now: Millis,
        id: UpstreamId,
        bytes: Box<[u8]>,
        out: &mut Actions,
    ) {
        let packet = Packet::parse(&bytes).expect("held bytes were parsed on arrival");
        let mut sent = Actions::new();
        match self.routing.bucket_owner(self.flows.bucket_of(&packet.flow())) {
            Some(owner) if owner == self.me => {
                self.handle_flow_not_found(now, &packet, id, &mut sent);
            }
            Some(owner) => {
                self.relay(
                    owner,
                    RelayStage::FlowNotFound,
                    MAX_HOPS,
                    |it| it.upstream(id),
                    &packet,
                    &mut sent,
                );
            }
            None => {}
        }
        out.extend(sent.into_iter().map(|it| held_action(it, &bytes)));
    }

    /// Returns the upstream with this address, if this host holds state of it.
    pub(super) fn upstream_at(&self, addr: SocketAddrV4) -> Option<UpstreamId> {
        let snapshot = self.snapshots.first()?;
        let ids = self.primaries.iter().map(crate::primary::Primary::id);
        ids.into_iter().find(|it| snapshot.upstream(*it).is_some_and(|it| it.addr == addr))
    }
}

/// Converts an action on the event's packet to the same action on a held packet.
fn held_action(action: Action, bytes: &[u8]) -> Action {
    match action {
        Action::Relay { to, header } => Action::HeldRelay { to, header, bytes: bytes.into() },
        Action::ToUpstream(to) => Action::HeldToUpstream(to, bytes.into()),
        Action::ToCaller => Action::HeldToCaller(bytes.into()),
        other => other,
    }
}
