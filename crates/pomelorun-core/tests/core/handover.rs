//! Takeover and replication messages between primary and backup, tested against a single host.

use pomelorun_core::{Action, Millis};
use pomelorun_wire::{
    Ack, Code, Envelope, HostId, MemberInfo, MemberState, PacketKind, PeerMsg, RecordAck,
    RecordEntry, RecordKey, RecordMsg, RecordState, StatePart, TakeoverReply, ZoneId, encode,
};

use crate::one_host::{OneHost, ask_of, empty_part, flow_key, forwarded, hand_over, hold, replies};

/// Upper bound on the size of a control message that fits in one datagram.
const MAX_DATAGRAM_BYTES: usize = 60_000;

fn replica(it: &OneHost, session: u32) -> PeerMsg {
    PeerMsg::Replica { upstream: it.upstream, session, part: empty_part() }
}

fn record(it: &OneHost, session: u32, seq: u32) -> PeerMsg {
    let key = RecordKey { flow: flow_key(1), req: seq };
    let entry = RecordEntry { key, state: RecordState::Started, idempotent: false, ttl_ms: 9_000 };
    PeerMsg::Record(RecordMsg { upstream: it.upstream, session, seq, entry })
}

fn acks(actions: &[Action]) -> Vec<Ack> {
    let ack = |it: &Action| match it {
        Action::Peer { msg: PeerMsg::ReplicaAck { ack, .. }, .. } => Some(*ack),
        Action::Peer { msg: PeerMsg::RecordAck(it), .. } => Some(it.ack),
        _ => None,
    };
    actions.iter().filter_map(ack).collect()
}

#[test]
fn takeover_reply_with_another_query_id_is_ignored() {
    let mut it = OneHost::new(0);
    let query_id = it.tick().iter().find_map(ask_of).expect("the host sends a takeover query");
    for from in it.others {
        let reply = TakeoverReply::Granted(empty_part());
        it.peer(from, hand_over(it.upstream, query_id.wrapping_add(1), reply));
    }
    assert!(!it.is_active());
    for from in it.others {
        it.peer(from, hand_over(it.upstream, query_id, TakeoverReply::Granted(empty_part())));
    }
    assert!(it.is_active());
}

#[test]
fn takeover_query_is_retransmitted_with_the_same_query_id() {
    let mut it = OneHost::new(0);
    let first = it.tick().iter().find_map(ask_of);
    let again = it.tick().iter().find_map(ask_of);
    assert!(first.is_some());
    assert_eq!(first, again);
}

#[test]
fn host_that_replied_to_a_takeover_query_rejects_replication_from_a_third_host() {
    let mut it = OneHost::new(1);
    let [primary, third] = it.others;
    let sent = it.peer(third, replica(&it, 1));
    assert_eq!(acks(&sent), [Ack::Stored]);
    let query = PeerMsg::Takeover { upstream: it.upstream, query_id: 5, received: 0 };
    it.peer(primary, query);
    let sent = it.peer(third, record(&it, 1, 1));
    assert_eq!(acks(&sent), [Ack::SenderNotPrimary]);
    let sent = it.peer(third, replica(&it, 2));
    assert_eq!(acks(&sent), [Ack::SenderNotPrimary]);
    let sent = it.peer(primary, replica(&it, 3));
    assert_eq!(acks(&sent), [Ack::Stored]);
}

#[test]
fn record_of_another_replication_session_is_rejected() {
    let mut it = OneHost::new(1);
    let primary = it.others[0];
    it.peer(primary, replica(&it, 8));
    let sent = it.peer(primary, record(&it, 8, 1));
    assert_eq!(acks(&sent), [Ack::Stored]);
    let sent = it.peer(primary, record(&it, 7, 2));
    assert_eq!(acks(&sent), [Ack::NoReplica], "record of the primary's previous process");
}

#[test]
fn released_backup_rejects_records() {
    let mut it = OneHost::new(1);
    let primary = it.others[0];
    it.peer(primary, replica(&it, 8));
    it.peer(primary, PeerMsg::DropReplica { upstream: it.upstream });
    let sent = it.peer(primary, record(&it, 8, 1));
    assert_eq!(acks(&sent), [Ack::NoReplica]);
}

#[test]
fn restarted_backup_gets_the_full_replica_before_the_request_is_forwarded() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    let Some((to, rejected)) = sent.iter().find_map(record_of) else {
        panic!("no record was sent: {sent:?}")
    };
    let ack = RecordAck {
        upstream: rejected.upstream,
        session: rejected.session,
        seq: rejected.seq,
        ack: Ack::NoReplica,
    };
    let sent = it.peer(to, PeerMsg::RecordAck(ack));
    assert!(forwarded(&sent).is_empty());
    let sent = it.ack_replica(&sent);
    assert!(forwarded(&sent).is_empty(), "the backup has not stored the record yet");
    let stale_ack = RecordAck { ack: Ack::Stored, ..ack };
    assert!(
        forwarded(&it.peer(to, PeerMsg::RecordAck(stale_ack))).is_empty(),
        "acknowledgement of the backup's previous process"
    );
    let sent = it.ack_records(&sent);
    assert_eq!(forwarded(&sent).len(), 1);
}

#[test]
fn lost_record_is_retransmitted_before_its_request_is_abandoned() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    assert!(sent.iter().find_map(record_of).is_some());
    let again = it.tick();
    assert!(again.iter().find_map(record_of).is_some());
    assert_eq!(forwarded(&it.ack_records(&again)).len(), 1);
    assert!(
        forwarded(&it.ack_records(&sent)).is_empty(),
        "a duplicate acknowledgement forwards nothing"
    );
}

#[test]
fn not_run_is_reported_only_after_the_backup_acknowledges_it() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    it.ack_records(&sent);
    for flow in 2..40 {
        it.open(flow);
        let sent = it.relayed(&hold(flow, 1));
        if sent.iter().find_map(record_of).is_none() {
            assert!(replies(&sent).is_empty());
            continue;
        }
        assert!(replies(&sent).is_empty(), "{sent:?}");
        let code = Code::BUSY.0;
        let to_caller = replies(&it.ack_records(&sent));
        assert!(
            matches!(to_caller[..], [(PacketKind::NotRun, c, after)] if c == code && after > 0)
        );
        let copy = replies(&it.relayed(&hold(flow, 1)));
        assert!(matches!(copy[..], [(PacketKind::NotRun, _, after)] if after > 0), "{copy:?}");
        return;
    }
    panic!("no request was refused");
}

#[test]
fn large_state_is_transferred_in_datagram_sized_parts() {
    const RECORDS: u32 = 5_000;
    let state = |it: u32| RecordEntry {
        key: RecordKey { flow: flow_key(it), req: 1 },
        state: RecordState::Started,
        idempotent: false,
        ttl_ms: 60_000,
    };
    let records: Vec<RecordEntry> = (0..RECORDS).map(state).collect();
    let mut it = OneHost::new(0);
    let mut queries = it.tick();
    let query_id = queries.iter().find_map(ask_of).expect("the host sends a takeover query");
    it.peer(
        it.others[1],
        hand_over(it.upstream, query_id, TakeoverReply::WasNotPrimary(empty_part())),
    );
    let mut rounds = 0;
    while !it.is_active() {
        let first = queries
            .iter()
            .find_map(|a| received_of(a, it.others[0]))
            .expect("the host requests the next part");
        let from = first as usize;
        let to = records.len().min(from + 400);
        let part = StatePart {
            first,
            total: RECORDS,
            records: records[from..to].to_vec(),
            ..empty_part()
        };
        queries =
            it.peer(it.others[0], hand_over(it.upstream, query_id, TakeoverReply::Granted(part)));
        rounds += 1;
        assert!(rounds < 50);
    }
    let mut sent = it.tick();
    let mut bytes = 0;
    for _ in 0..RECORDS.div_ceil(400) {
        for action in &sent {
            if let Action::Peer { msg: msg @ PeerMsg::Replica { .. }, .. } = action {
                let envelope = Envelope { from: HostId(1), incarnation: 1, msg: msg.clone() };
                let len = encode(&envelope).expect("the message can be encoded").len();
                assert!(len < MAX_DATAGRAM_BYTES, "control message has {len} bytes");
                bytes += len;
            }
        }
        sent = it.ack_replica(&sent);
    }
    assert!(bytes > RECORDS as usize * 10, "only part of the state was sent: {bytes} bytes");
    let to_caller = replies(&it.relayed(&hold(RECORDS - 1, 1)));
    assert_eq!(to_caller[0].0, PacketKind::OutcomeUnknown, "the last record is missing");
    let sent = it.relayed(&hold(RECORDS + 1, 1));
    assert!(sent.iter().find_map(record_of).is_some(), "the replica is incomplete: {sent:?}");
}

#[test]
fn request_received_during_a_process_pause_is_not_forwarded() {
    let mut it = OneHost::acting();
    it.now = it.now + Millis(5_000);
    let to_caller = replies(&it.relayed(&hold(1, 1)));
    assert!(matches!(to_caller[..], [(PacketKind::OutcomeUnknown, code, after)]
        if code == Code::PROCESS_PAUSED.0 && after > 0));
}

#[test]
fn waiting_request_gets_outcome_unknown_when_no_peer_replies_to_the_takeover_query() {
    let mut it = OneHost::new(0);
    it.relayed(&hold(1, 1));
    let mut waited = 0;
    let to_caller = loop {
        let to_caller = replies(&it.tick());
        waited += 20;
        if !to_caller.is_empty() || waited > 400 {
            break to_caller;
        }
    };
    assert!(waited <= 320, "request waited {waited} ms");
    assert!(
        matches!(to_caller[..], [(PacketKind::OutcomeUnknown, _, after)] if after > 0),
        "{to_caller:?}"
    );
}

#[test]
fn record_and_acknowledgement_fit_in_200_bytes() {
    let it = OneHost::new(0);
    let ack =
        RecordAck { upstream: it.upstream, session: u32::MAX, seq: u32::MAX, ack: Ack::Stored };
    let len = |msg: PeerMsg| {
        let envelope = Envelope { from: HostId(u64::MAX), incarnation: u64::MAX, msg };
        encode(&envelope).expect("the message can be encoded").len()
    };
    let both = len(record(&it, u32::MAX, u32::MAX)) + len(PeerMsg::RecordAck(ack));
    assert!(both <= 200, "record and acknowledgement have {both} bytes");
}

fn record_of(action: &Action) -> Option<(HostId, RecordMsg)> {
    match action {
        Action::Peer { to, msg: PeerMsg::Record(it) } => Some((*to, *it)),
        _ => None,
    }
}

fn received_of(action: &Action, host: HostId) -> Option<u32> {
    match action {
        Action::Peer { to, msg: PeerMsg::Takeover { received, .. } } if *to == host => {
            Some(*received)
        }
        _ => None,
    }
}

#[test]
fn not_run_is_never_reported_for_a_flow_without_upstream_confirmation() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    it.ack_records(&sent);
    let mut refused = 0;
    for flow in 2..40 {
        let sent = it.relayed(&hold(flow, 1));
        let to_caller = [replies(&sent), replies(&it.ack_records(&sent))].concat();
        assert!(to_caller.iter().all(|it| it.0 != PacketKind::NotRun), "{to_caller:?}");
        refused += to_caller.len();
    }
    assert!(refused > 0, "no request was refused");
}

#[test]
fn replica_of_a_dead_primary_is_merged_with_the_state_of_a_later_backup() {
    let mut it = OneHost::new(1);
    let [primary, third] = it.others;
    it.tick();
    it.peer(primary, replica(&it, 8));
    let dead = MemberInfo {
        host: primary,
        zone: ZoneId::from_name("bog-a"),
        incarnation: 9,
        state: MemberState::Dead,
    };
    let mut sent = it.peer(third, PeerMsg::Ping { seq: 1, revision: 1, members: vec![dead] });
    sent.extend(it.tick());
    let query_id = sent
        .iter()
        .find_map(ask_of)
        .expect("the host sends a takeover query although it holds a replica");
    assert!(!it.is_active());
    let key = RecordKey { flow: flow_key(1), req: 1 };
    let started =
        RecordEntry { key, state: RecordState::Started, idempotent: false, ttl_ms: 9_000 };
    let part = StatePart { total: 1, records: vec![started], ..empty_part() };
    it.peer(third, hand_over(it.upstream, query_id, TakeoverReply::WasNotPrimary(part)));
    assert!(it.is_active());
    assert_eq!(replies(&it.relayed(&hold(1, 1)))[0].0, PacketKind::OutcomeUnknown);
    it.open(2);
    let to_caller = replies(&it.relayed(&hold(2, 1)));
    assert!(
        to_caller.iter().all(|it| it.0 != PacketKind::OutcomeUnknown),
        "outcome unknown for a request that has no record: {to_caller:?}"
    );
}
