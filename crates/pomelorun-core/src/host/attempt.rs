//! Requests sent to an upstream that has not answered for their flow here yet.
//!
//! An upstream that does not know the flow has not run the request, so the packet goes back to
//! the keeper, which looks elsewhere.

use std::net::SocketAddrV4;

use pomelorun_wire::{FlowKey, Packet, RecordKey, RelayStage, UpstreamId};

use crate::{
    action::{Action, Actions},
    host::{HOPS, HostCore},
    time::Millis,
};

/// Attempts whose packets one host holds at a time.
const MOST: usize = 4_096;

/// One request and its packet, sorted by request.
#[derive(Debug)]
struct Attempt {
    key: RecordKey,
    upstream: UpstreamId,
    until: Millis,
    bytes: Box<[u8]>,
}

/// The attempts of one host.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    running: Vec<Attempt>,
}

impl Attempts {
    fn hold(&mut self, packet: &Packet<'_>, upstream: UpstreamId, until: Millis) {
        let key = RecordKey { flow: packet.flow(), req: packet.req() };
        let it = Attempt { key, upstream, until, bytes: packet.bytes().into() };
        match self.running.binary_search_by_key(&key, |it| it.key) {
            Ok(at) => self.running[at] = it,
            Err(_) if self.running.len() >= MOST => {}
            Err(at) => self.running.insert(at, it),
        }
    }

    fn take(&mut self, key: &RecordKey, upstream: UpstreamId) -> Option<Box<[u8]>> {
        let at = self.running.binary_search_by_key(key, |it| it.key).ok()?;
        if self.running[at].upstream != upstream {
            return None;
        }
        Some(self.running.remove(at).bytes)
    }

    /// Lets go of the packets of a flow whose upstream has answered.
    fn end_flow(&mut self, flow: &FlowKey) {
        let from = self.running.partition_point(|it| it.key.flow < *flow);
        let len = self.running[from..].partition_point(|it| it.key.flow == *flow);
        self.running.drain(from..from + len);
    }

    pub(super) fn expire(&mut self, now: Millis) {
        self.running.retain(|it| it.until > now);
    }
}

impl HostCore {
    /// Holds the packet of a request until the upstream has shown that it knows the flow.
    pub(super) fn hold_attempt(&mut self, now: Millis, packet: &Packet<'_>, id: UpstreamId) {
        if self.flows.is_confirmed(&packet.flow()) {
            return;
        }
        let Some(snapshot) = self.history.first() else { return };
        let Some(upstream) = snapshot.upstream(id) else { return };
        let until = now + snapshot.pool_of(upstream).max_deadline + self.cfg.packet_life_ms;
        self.attempts.hold(packet, id, until);
    }

    /// The upstream has shown that it knows the flow.
    pub(super) fn confirm(&mut self, flow: &FlowKey) {
        if !self.flows.is_confirmed(flow) {
            self.flows.confirm(flow);
            self.attempts.end_flow(flow);
        }
    }

    /// The upstream does not know the flow, so the request has not run there.
    pub(super) fn reset(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        let flow = packet.flow();
        let key = RecordKey { flow, req: packet.req() };
        let Some(id) = self.upstream_at(from) else { return };
        self.with_role(now, id, |it, cx| it.handle_flow_unknown(cx, &key, out));
        let held = self.attempts.take(&key, id);
        if held.is_none() && self.flows.get(&flow) != Some(id) {
            return;
        }
        let was_home = self.flows.get(&flow) == Some(id) && self.flows.is_confirmed(&flow);
        if self.flows.get(&flow) == Some(id) {
            self.forget(&flow);
        }
        match held {
            Some(bytes) if !was_home => self.look_elsewhere(now, id, bytes, out),
            _ => out.push(Action::ToCaller),
        }
    }

    /// Hands a held packet back to the keeper of its flow.
    fn look_elsewhere(&mut self, now: Millis, id: UpstreamId, bytes: Box<[u8]>, out: &mut Actions) {
        let packet = Packet::parse(&bytes).expect("held bytes were parsed on arrival");
        let mut sent = Actions::new();
        match self.view.keeper(self.flows.bucket_of(&packet.flow())) {
            Some(keeper) if keeper == self.me => {
                self.not_there(now, &packet, id, &mut sent);
            }
            Some(keeper) => {
                self.relay(
                    keeper,
                    RelayStage::FlowNotFound,
                    HOPS,
                    |it| it.upstream(id),
                    &packet,
                    &mut sent,
                );
            }
            None => {}
        }
        out.extend(sent.into_iter().map(|it| held_action(it, &bytes)));
    }

    /// Finds the upstream with this address.
    pub(super) fn upstream_at(&self, addr: SocketAddrV4) -> Option<UpstreamId> {
        let snapshot = self.history.first()?;
        let mine = self.primaries.iter().map(crate::primary::Primary::id);
        mine.into_iter().find(|it| snapshot.upstream(*it).is_some_and(|it| it.addr == addr))
    }
}

/// The same action for a packet that is not the event's.
fn held_action(action: Action, bytes: &[u8]) -> Action {
    match action {
        Action::Relay { to, header } => Action::HeldRelay { to, header, bytes: bytes.into() },
        Action::ToUpstream(to) => Action::HeldToUpstream(to, bytes.into()),
        Action::ToCaller => Action::HeldToCaller(bytes.into()),
        other => other,
    }
}
