//! The role of primary, as far as the whole host is concerned.

use std::net::SocketAddrV4;

use pomelorun_wire::{Code, HostId, MemberState, Packet, PacketKind, UpstreamId};

use crate::{
    action::{Action, Actions},
    host::HostCore,
    primary::{Primary, PrimaryCx},
    retry_budget::RetryBudget,
    time::Millis,
    view::{Ranked, primary_score},
};

impl HostCore {
    /// Acts as the primary of the packet's upstream.
    pub(super) fn act_as_primary(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        id: UpstreamId,
        out: &mut Actions,
    ) {
        let Some(addr) = self.upstream_addr(id) else {
            self.come_back(packet, Code::NO_UPSTREAM, out);
            return;
        };
        let flow = packet.flow();
        if packet.kind() == PacketKind::Close {
            self.forget(&flow);
            out.push(Action::ToUpstream(addr));
            return;
        }
        if self.flows.touch(now, &flow) != Some(id) {
            self.flows.insert(now, &flow, id);
            self.chooser.add(id);
        }
        if packet.kind() == PacketKind::Open {
            out.push(Action::ToUpstream(addr));
            return;
        }
        if packet.kind() == PacketKind::Request {
            self.hold_attempt(now, packet, id);
        }
        self.with_role(now, id, |it, cx| match packet.kind() {
            PacketKind::Cancel => it.handle_cancel(cx, packet, out),
            _ => it.handle_request(cx, packet, out),
        });
    }

    pub(super) fn upstream(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        packet: &Packet<'_>,
        out: &mut Actions,
    ) {
        if packet.kind() == PacketKind::Reset {
            self.reset(now, from, packet, out);
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
                self.confirm(&flow);
                out.push(Action::ToCaller);
            }
            PacketKind::Answer | PacketKind::Shed => {
                self.confirm(&flow);
                self.with_role(now, id, |it, cx| it.handle_answer(cx, packet, out));
            }
            _ => out.push(Action::Count(Code::PACKET_MALFORMED)),
        }
    }

    pub(super) fn upstream_addr(&self, id: UpstreamId) -> Option<SocketAddrV4> {
        Some(self.history.first()?.upstream(id)?.addr)
    }

    pub(super) fn take_role(&mut self, now: Millis, id: UpstreamId, out: &mut Actions) {
        let known = self.primaries.binary_search_by_key(&id, Primary::id);
        if known.is_ok_and(|at| !self.primaries[at].can_start_takeover(now, self.cfg.take_over_ms))
        {
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
        self.with_role(now, id, |it, cx| it.start_takeover(cx, others, &is_dead, out));
    }

    /// The hosts of this zone, leaving ones included, that may have been the primary so far.
    pub(super) fn previous_primaries(&self, id: UpstreamId) -> Ranked {
        const ASKED: usize = 3;
        let mut ranked: Vec<(u64, HostId)> = self
            .members
            .others()
            .iter()
            .filter(|it| it.zone == self.zone && it.state != MemberState::Dead)
            .map(|it| (primary_score(it.host, id), it.host))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.iter().take(ASKED).map(|it| it.1).collect()
    }

    /// Runs `f` on this host's state of an upstream of its zone, creating it where needed.
    pub(super) fn with_role(
        &mut self,
        now: Millis,
        id: UpstreamId,
        f: impl FnOnce(&mut Primary, &PrimaryCx<'_>),
    ) {
        let Some(snapshot) = self.history.first() else { return };
        let Some(upstream) = snapshot.upstream(id) else { return };
        let pool = snapshot.pool_of(upstream);
        let at = match self.retries.binary_search_by(|it| it.0.as_str().cmp(&pool.name)) {
            Ok(at) => at,
            Err(at) => {
                self.retries.insert(at, (pool.name.clone(), RetryBudget::default()));
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
            retries: &self.retries[at].1,
        };
        let at = match self.primaries.binary_search_by_key(&id, Primary::id) {
            Ok(at) => at,
            Err(at) => {
                self.primaries.insert(at, Primary::new(&cx));
                at
            }
        };
        f(&mut self.primaries[at], &cx);
        if let Some((service, took)) = self.primaries[at].take_completed() {
            let within = snapshot.service(service).map_or(Millis(0), |it| it.answer_within);
            self.services.answered(service, took, within);
        }
    }
}
