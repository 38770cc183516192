//! This host as the primary of upstreams: dispatch of packets and takeovers to each [`Primary`].

use std::net::SocketAddrV4;

use pomelorun_wire::{Code, HostId, MemberState, Packet, PacketKind, UpstreamId};

use crate::{
    action::{Action, Actions},
    host::HostCore,
    primary::{Primary, PrimaryCx},
    retry_budget::RetryBudget,
    routing_table::{Ranked, primary_score},
    time::Millis,
};

impl HostCore {
    /// Handles a packet as the primary of its upstream.
    pub(super) fn act_as_primary(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        id: UpstreamId,
        out: &mut Actions,
    ) {
        let Some(addr) = self.upstream_addr(id) else {
            self.reply_retry_later(packet, Code::NO_UPSTREAM, out);
            return;
        };
        let flow = packet.flow();
        if packet.kind() == PacketKind::Close {
            self.forget_flow(&flow);
            out.push(Action::ToUpstream(addr));
            return;
        }
        if self.flows.touch(now, &flow) != Some(id) {
            self.flows.insert(now, &flow, id);
            self.selector.add_flow(id);
        }
        if packet.kind() == PacketKind::Open {
            out.push(Action::ToUpstream(addr));
            return;
        }
        if packet.kind() == PacketKind::Request {
            self.hold_until_confirmed(now, packet, id);
        }
        self.with_primary(now, id, |it, cx| match packet.kind() {
            PacketKind::Cancel => it.handle_cancel(cx, packet, out),
            _ => it.handle_request(cx, packet, out),
        });
    }

    /// Handles a packet from an upstream.
    pub(super) fn handle_upstream_packet(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        if packet.kind() == PacketKind::Reset {
            self.handle_reset(now, from, packet, out);
            return;
        }
        let flow = packet.flow();
        let id = self.flows.get(&flow).filter(|&it| self.upstream_addr(it) == Some(from));
        let Some(id) = id else {
            out.push(Action::Count(Code::ANSWER_UNEXPECTED));
            return;
        };
        match packet.kind() {
            PacketKind::Opened => {
                self.confirm_flow(&flow);
                out.push(Action::ToCaller);
            }
            PacketKind::Answer | PacketKind::Shed => {
                self.confirm_flow(&flow);
                self.with_primary(now, id, |it, cx| it.handle_answer(cx, packet, out));
            }
            _ => out.push(Action::Count(Code::PACKET_MALFORMED)),
        }
    }

    pub(super) fn upstream_addr(&self, id: UpstreamId) -> Option<SocketAddrV4> {
        Some(self.snapshots.first()?.upstream(id)?.addr)
    }

    /// Starts to take over as the primary of an upstream, unless this host is the primary already,
    /// is taking over, or stepped down recently.
    pub(super) fn start_takeover(&mut self, now: Millis, id: UpstreamId, out: &mut Actions) {
        let known = self.primaries.binary_search_by_key(&id, Primary::id);
        if known.is_ok_and(|at| {
            !self.primaries[at].can_start_takeover(now, self.cfg.takeover_timeout_ms)
        }) {
            return;
        }
        let others = self.previous_primaries(id);
        let members = &self.members;
        let dead: Vec<HostId> = members
            .others()
            .iter()
            .filter(|it| it.state == MemberState::Dead)
            .map(|it| it.host)
            .collect();
        let is_dead = |host: HostId| dead.binary_search(&host).is_ok();
        self.with_primary(now, id, |it, cx| it.start_takeover(cx, others, &is_dead, out));
    }

    /// Returns the hosts of this zone, leaving ones included, that may be the previous primary.
    pub(super) fn previous_primaries(&self, id: UpstreamId) -> Ranked {
        const MAX_PREVIOUS_PRIMARIES: usize = 3;
        let mut ranked: Vec<(u64, HostId)> = self
            .members
            .others()
            .iter()
            .filter(|it| it.zone == self.zone && it.state != MemberState::Dead)
            .map(|it| (primary_score(it.host, id), it.host))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.iter().take(MAX_PREVIOUS_PRIMARIES).map(|it| it.1).collect()
    }

    /// Runs `f` on this host's state of an upstream, creating the state if needed.
    ///
    /// Does nothing if the upstream is not in the active revision.
    pub(super) fn with_primary(
        &mut self,
        now: Millis,
        id: UpstreamId,
        f: impl FnOnce(&mut Primary, &PrimaryCx<'_>),
    ) {
        let Some(snapshot) = self.snapshots.first() else { return };
        let Some(upstream) = snapshot.upstream(id) else { return };
        let pool = snapshot.pool_of(upstream);
        let at = match self.retry_budgets.binary_search_by(|it| it.0.as_str().cmp(&pool.name)) {
            Ok(at) => at,
            Err(at) => {
                self.retry_budgets.insert(at, (pool.name.clone(), RetryBudget::default()));
                at
            }
        };
        let cx = PrimaryCx {
            now,
            me: self.me,
            incarnation: self.members.me().incarnation,
            cfg: &self.cfg,
            upstream,
            pool,
            retries: &self.retry_budgets[at].1,
        };
        let at = match self.primaries.binary_search_by_key(&id, Primary::id) {
            Ok(at) => at,
            Err(at) => {
                self.primaries.insert(at, Primary::new(&cx));
                at
            }
        };
        f(&mut self.primaries[at], &cx);
        if let Some((service, latency)) = self.primaries[at].take_completed() {
            let target = snapshot.service(service).map_or(Millis(0), |it| it.answer_within);
            self.services.record_answer(service, latency, target);
        }
    }
}
