//! Handling of control messages, new revisions, membership changes and leaving.

use std::sync::Arc;

use pomelorun_wire::{Code, Envelope, FlowKey, Header, PacketKind, PeerMsg, UpstreamId};

use crate::{
    action::{Action, Actions},
    host::{HostCore, MAX_ABANDON_NOTICES_PER_TICK},
    routing_table::{RoutingHost, RoutingTable},
    snapshot::Snapshot,
    time::Millis,
};

impl HostCore {
    /// Notifies callers that their flow is abandoned, a limited number per timer event.
    pub(super) fn send_some_abandon_notices(&mut self, out: &mut Actions) {
        let count = self.abandoned_flows.len().min(MAX_ABANDON_NOTICES_PER_TICK);
        let Some(snapshot) = self.snapshots.first() else { return };
        for flow in self.abandoned_flows.drain(..count) {
            let known = snapshot.service(flow.service).is_some();
            let code = if known { Code::FLOW_ZONE_WITHDRAWN } else { Code::SERVICE_UNKNOWN };
            let header = Header::new(PacketKind::FlowAbandoned, &flow).code(code.0);
            out.push(Action::Reply(header));
        }
    }

    /// Handles a control message of another host.
    pub(super) fn handle_peer_message(
        &mut self,
        now: Millis,
        envelope: &Envelope,
        out: &mut Actions,
    ) {
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
                    self.advertised.record(from, theirs, revision);
                    self.send_withdrawn_zones(from, theirs, out);
                }
                let sent = self.members.handle_message(now, from, &envelope.msg, revision);
                out.extend(sent.into_iter().map(|(to, msg)| Action::Peer { to, msg }));
                self.update_routing(now, out);
            }
            PeerMsg::Record(record) => self.with_primary(now, record.upstream, |it, cx| {
                let msg = it.handle_record(cx, from, record);
                out.push(Action::Peer { to: from, msg });
            }),
            PeerMsg::RecordAck(acked) => self.with_primary(now, acked.upstream, |it, cx| {
                it.handle_record_ack(cx, from, acked, out);
            }),
            PeerMsg::Replica { .. } if self.may_read_backlog(now) => {}
            PeerMsg::Replica { upstream, session, part } => {
                self.with_primary(now, *upstream, |it, cx| {
                    let msg = it.handle_replica_part(cx, from, *session, part);
                    out.push(Action::Peer { to: from, msg });
                });
            }
            PeerMsg::ReplicaAck { upstream, session, stored, ack } => {
                self.with_primary(now, *upstream, |it, cx| {
                    it.handle_replica_ack(cx, from, *session, *stored, *ack, out);
                });
            }
            PeerMsg::DropReplica { upstream } => {
                self.with_primary(now, *upstream, |it, _| {
                    let msg = it.handle_release(from);
                    out.push(Action::Peer { to: from, msg });
                });
            }
            PeerMsg::Takeover { upstream, query_id, received } => {
                let leaving = self.leaving;
                let query = (*query_id, *received);
                self.with_primary(now, *upstream, |it, cx| {
                    it.handle_takeover_query(cx, from, query, leaving, out);
                });
            }
            PeerMsg::Handover { upstream, query_id, reply } => {
                self.with_primary(now, *upstream, |it, cx| {
                    it.handle_takeover_reply(cx, from, *query_id, reply, out);
                });
            }
            PeerMsg::WithdrawnZones { revision, zones } => {
                self.handle_withdrawn_zones(now, *revision, zones, out);
            }
            PeerMsg::FlowLocations { entries } => {
                for it in entries {
                    if self.flows.insert(now, &it.flow, it.upstream).is_none() {
                        self.selector.add_flow(it.upstream);
                    }
                }
            }
        }
    }

    /// Handles a published revision.
    pub(super) fn handle_snapshot(
        &mut self,
        now: Millis,
        snapshot: Arc<Snapshot>,
        out: &mut Actions,
    ) {
        if snapshot.revision <= self.revision() {
            out.push(Action::Count(Code::CONFIG_REGRESSION));
            return;
        }
        self.published_snapshot = Some(Arc::clone(&snapshot));
        let snapshot = self.withdrawn_zones.apply(&snapshot);
        self.activate_snapshot(now, snapshot, out);
    }

    /// Makes a snapshot the active one and abandons the flows that it no longer allows.
    pub(super) fn activate_snapshot(
        &mut self,
        now: Millis,
        snapshot: Arc<Snapshot>,
        out: &mut Actions,
    ) {
        self.services.set_services(&snapshot);
        self.flows.rebucket(snapshot.buckets);
        self.snapshots.insert(0, Arc::clone(&snapshot));
        self.snapshots.truncate(self.cfg.snapshot_history.max(1));
        let is_kept = |flow: &FlowKey, id: UpstreamId| {
            snapshot.service(flow.service).is_some()
                && snapshot.upstream(id).is_some_and(|it| !snapshot.is_zone_withdrawn(it.zone))
        };
        let abandoned: Vec<FlowKey> =
            self.flows.iter().filter(|(flow, id)| !is_kept(flow, *id)).map(|it| it.0).collect();
        for flow in abandoned {
            self.forget_flow(&flow);
            if self.routing.bucket_owner(self.flows.bucket_of(&flow)) == Some(self.me) {
                self.abandoned_flows.push(flow);
            }
        }
        self.primaries.retain(|it| snapshot.upstream(it.id()).is_some());
        for it in &mut self.primaries {
            if let Some(upstream) = snapshot.upstream(it.id()) {
                it.apply_config(upstream);
            }
        }
        self.abandon_requests(now, out);
        self.rebuild_routing(now, out);
    }

    /// Rebuilds the routing table if the membership view changed.
    pub(super) fn update_routing(&mut self, now: Millis, out: &mut Actions) {
        if self.members.take_changed() {
            self.rebuild_routing(now, out);
        }
    }

    /// Rebuilds the routing table and takes over upstreams that this host became the primary of.
    pub(super) fn rebuild_routing(&mut self, now: Millis, out: &mut Actions) {
        let Some(snapshot) = self.snapshots.first().cloned() else { return };
        if !self.members.is_synced() && self.routing.hosts().is_empty() {
            return;
        }
        let mut hosts: Vec<RoutingHost> = self
            .members
            .others()
            .iter()
            .filter(|it| it.accepts_work() && !snapshot.is_zone_withdrawn(it.zone))
            .map(|it| RoutingHost { host: it.host, zone: it.zone })
            .collect();
        if !self.leaving && !snapshot.is_zone_withdrawn(self.zone) {
            let me = RoutingHost { host: self.me, zone: self.zone };
            let at = hosts.partition_point(|it| it.host < self.me);
            hosts.insert(at, me);
        }
        let table = self.routing.updated(&snapshot, hosts);
        self.record_acquired_buckets(now, &table);
        self.routing = table;
        let zone = self.zone;
        for upstream in snapshot.upstreams.iter().filter(|it| it.zone == zone) {
            if self.routing.primary(upstream.id) == Some(self.me) {
                self.start_takeover(now, upstream.id, out);
            }
        }
    }

    /// Records the buckets that this host becomes the owner of.
    fn record_acquired_buckets(&mut self, now: Millis, table: &RoutingTable) {
        self.bucket_acquired_at.resize(table.buckets(), Millis(0));
        for (bucket, acquired_at) in (0..).zip(&mut self.bucket_acquired_at) {
            let mine = table.bucket_owner(bucket) == Some(self.me);
            if mine && self.routing.bucket_owner(bucket) != Some(self.me) {
                *acquired_at = now;
            }
        }
    }

    /// Starts to leave: collects the flows to hand over and announces the departure to other hosts.
    pub(super) fn handle_leave(&mut self, now: Millis, out: &mut Actions) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        if self.cfg.handover_flows_per_tick > 0 {
            self.pending_handovers = self.flows_not_at_first_rank();
        }
        self.members.set_leaving();
        let revision = self.revision();
        let sent = self.members.leave_announcements(revision);
        out.extend(sent.into_iter().map(|(to, msg)| Action::Peer { to, msg }));
        self.update_routing(now, out);
    }
}
