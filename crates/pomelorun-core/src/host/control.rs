//! Control messages, configuration, membership and leaving.

use std::sync::Arc;

use pomelorun_wire::{Code, Envelope, FlowKey, Header, PacketKind, PeerMsg, UpstreamId};

use crate::{
    action::{Action, Actions},
    host::{GIVE_UP_PER_TICK, HostCore},
    snapshot::Snapshot,
    time::Millis,
    view::{View, ViewHost},
};

impl HostCore {
    /// Tells callers that their flows are given up, a bounded number at a time.
    pub(super) fn give_up_some(&mut self, out: &mut Actions) {
        let count = self.give_up.len().min(GIVE_UP_PER_TICK);
        let Some(snapshot) = self.history.first() else { return };
        for flow in self.give_up.drain(..count) {
            let known = snapshot.service(flow.service).is_some();
            let code = if known { Code::FLOW_ZONE_WITHDRAWN } else { Code::SERVICE_UNKNOWN };
            let header = Header::new(PacketKind::FlowAbandoned, &flow).code(code.0);
            out.push(Action::Reply(header));
        }
    }

    pub(super) fn peer(&mut self, now: Millis, envelope: &Envelope, out: &mut Actions) {
        let from = envelope.from;
        match &envelope.msg {
            PeerMsg::Ping { .. }
            | PeerMsg::Pong { .. }
            | PeerMsg::PingReq { .. }
            | PeerMsg::Gossip { .. }
            | PeerMsg::ViewRequest
            | PeerMsg::View { .. } => {
                let revision = self.revision();
                if let Some(theirs) = envelope.msg.revision() {
                    self.claims.heard(from, theirs, revision);
                    self.tell_zones_out(from, theirs, out);
                }
                let sent = self.members.handle_message(now, from, &envelope.msg, revision);
                out.extend(sent.into_iter().map(|(to, msg)| Action::Peer { to, msg }));
                self.refresh_view(now, out);
            }
            PeerMsg::Record(record) => self.with_role(now, record.upstream, |it, cx| {
                let msg = it.handle_record(cx, from, record);
                out.push(Action::Peer { to: from, msg });
            }),
            PeerMsg::RecordAck(acked) => self.with_role(now, acked.upstream, |it, cx| {
                it.handle_record_ack(cx, from, acked, out);
            }),
            PeerMsg::Replica { .. } if self.reads_backlog(now) => {}
            PeerMsg::Replica { upstream, session, part } => {
                self.with_role(now, *upstream, |it, cx| {
                    let msg = it.handle_replica_part(cx, from, *session, part);
                    out.push(Action::Peer { to: from, msg });
                });
            }
            PeerMsg::ReplicaAck { upstream, session, stored, ack } => {
                self.with_role(now, *upstream, |it, cx| {
                    it.handle_replica_ack(cx, from, *session, *stored, *ack, out);
                });
            }
            PeerMsg::DropReplica { upstream } => {
                self.with_role(now, *upstream, |it, _| {
                    let msg = it.handle_release(from);
                    out.push(Action::Peer { to: from, msg });
                });
            }
            PeerMsg::Takeover { upstream, query_id, received } => {
                let leaving = self.leaving;
                let question = (*query_id, *received);
                self.with_role(now, *upstream, |it, cx| {
                    it.handle_takeover_query(cx, from, question, leaving, out);
                });
            }
            PeerMsg::Handover { upstream, query_id, reply } => {
                self.with_role(now, *upstream, |it, cx| {
                    it.handle_takeover_reply(cx, from, *query_id, reply, out);
                });
            }
            PeerMsg::WithdrawnZones { revision, zones } => {
                self.hear_zones_out(now, *revision, zones, out);
            }
            PeerMsg::FlowLocations { entries } => {
                for it in entries {
                    if self.flows.insert(now, &it.flow, it.upstream).is_none() {
                        self.chooser.add(it.upstream);
                    }
                }
            }
        }
    }

    pub(super) fn snapshot(&mut self, now: Millis, snapshot: Arc<Snapshot>, out: &mut Actions) {
        if snapshot.revision <= self.revision() {
            out.push(Action::Count(Code::CONFIG_REGRESSION));
            return;
        }
        self.published = Some(Arc::clone(&snapshot));
        let snapshot = self.zones_out.apply(&snapshot);
        self.put_in_force(now, snapshot, out);
    }

    pub(super) fn put_in_force(&mut self, now: Millis, snapshot: Arc<Snapshot>, out: &mut Actions) {
        self.services.follow(&snapshot);
        self.flows.rebucket(snapshot.buckets);
        self.history.insert(0, Arc::clone(&snapshot));
        self.history.truncate(self.cfg.history.max(1));
        let keeps = |flow: &FlowKey, id: UpstreamId| {
            snapshot.service(flow.service).is_some()
                && snapshot.upstream(id).is_some_and(|it| !snapshot.is_out(it.zone))
        };
        let lost: Vec<FlowKey> =
            self.flows.iter().filter(|(flow, id)| !keeps(flow, *id)).map(|it| it.0).collect();
        for flow in lost {
            self.forget(&flow);
            if self.view.keeper(self.flows.bucket_of(&flow)) == Some(self.me) {
                self.give_up.push(flow);
            }
        }
        self.primaries.retain(|it| snapshot.upstream(it.id()).is_some());
        for it in &mut self.primaries {
            if let Some(upstream) = snapshot.upstream(it.id()) {
                it.apply_config(upstream);
            }
        }
        self.give_up_requests(now, out);
        self.rebuild_view(now, out);
    }

    pub(super) fn refresh_view(&mut self, now: Millis, out: &mut Actions) {
        if self.members.take_changed() {
            self.rebuild_view(now, out);
        }
    }

    pub(super) fn rebuild_view(&mut self, now: Millis, out: &mut Actions) {
        let Some(snapshot) = self.history.first().cloned() else { return };
        if !self.members.is_synced() && self.view.hosts().is_empty() {
            return;
        }
        let mut hosts: Vec<ViewHost> = self
            .members
            .others()
            .iter()
            .filter(|it| it.accepts_work() && !snapshot.is_out(it.zone))
            .map(|it| ViewHost { host: it.host, zone: it.zone })
            .collect();
        if !self.leaving && !snapshot.is_out(self.zone) {
            let me = ViewHost { host: self.me, zone: self.zone };
            let at = hosts.partition_point(|it| it.host < self.me);
            hosts.insert(at, me);
        }
        let view = self.view.renew(&snapshot, hosts);
        self.note_moves(now, &view);
        self.view = view;
        let zone = self.zone;
        for upstream in snapshot.upstreams.iter().filter(|it| it.zone == zone) {
            if self.view.primary(upstream.id) == Some(self.me) {
                self.take_role(now, upstream.id, out);
            }
        }
    }

    /// Notes the buckets that come to this host.
    fn note_moves(&mut self, now: Millis, view: &View) {
        self.moved.resize(view.buckets(), Millis(0));
        for (bucket, moved) in (0..).zip(&mut self.moved) {
            let mine = view.keeper(bucket) == Some(self.me);
            if mine && self.view.keeper(bucket) != Some(self.me) {
                *moved = now;
            }
        }
    }

    pub(super) fn leave(&mut self, now: Millis, out: &mut Actions) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        if self.cfg.hand_over_flows > 0 {
            self.hand_over = self.exceptions();
        }
        self.members.set_leaving();
        let revision = self.revision();
        let sent = self.members.leave_announcements(revision);
        out.extend(sent.into_iter().map(|(to, msg)| Action::Peer { to, msg }));
        self.refresh_view(now, out);
    }
}
