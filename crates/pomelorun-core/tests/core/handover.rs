//! Messages between the primary, its backup and its successor, one host at a time.

use pomelorun_core::{Action, Millis};
use pomelorun_wire::{
    Ack, Code, Envelope, HostId, MemberInfo, MemberState, PacketKind, PeerMsg, RecordAck,
    RecordEntry, RecordKey, RecordMsg, RecordState, StatePart, TakeoverReply, ZoneId, encode,
};

use crate::one_host::{OneHost, ask_of, empty_part, flow_key, forwarded, hand_over, hold, replies};

/// Longest control message that one datagram carries, bytes.
const DATAGRAM: usize = 60_000;

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
fn an_answer_to_an_earlier_question_is_ignored() {
    let mut it = OneHost::new(0);
    let ask = it.tick().iter().find_map(ask_of).expect("it asks");
    for from in it.others {
        let verdict = TakeoverReply::Granted(empty_part());
        it.peer(from, hand_over(it.upstream, ask.wrapping_add(1), verdict));
    }
    assert!(!it.is_active());
    for from in it.others {
        it.peer(from, hand_over(it.upstream, ask, TakeoverReply::Granted(empty_part())));
    }
    assert!(it.is_active());
}

#[test]
fn a_question_that_gets_lost_is_asked_again_under_the_same_number() {
    let mut it = OneHost::new(0);
    let first = it.tick().iter().find_map(ask_of);
    let again = it.tick().iter().find_map(ask_of);
    assert!(first.is_some());
    assert_eq!(first, again);
}

#[test]
fn a_host_that_told_another_that_it_may_act_backs_no_third_one() {
    let mut it = OneHost::new(1);
    let [primary, third] = it.others;
    let sent = it.peer(third, replica(&it, 1));
    assert_eq!(acks(&sent), [Ack::Stored]);
    let ask = PeerMsg::Takeover { upstream: it.upstream, query_id: 5, received: 0 };
    it.peer(primary, ask);
    let sent = it.peer(third, record(&it, 1, 1));
    assert_eq!(acks(&sent), [Ack::SenderNotPrimary]);
    let sent = it.peer(third, replica(&it, 2));
    assert_eq!(acks(&sent), [Ack::SenderNotPrimary]);
    let sent = it.peer(primary, replica(&it, 3));
    assert_eq!(acks(&sent), [Ack::Stored]);
}

#[test]
fn a_record_of_another_replication_is_not_taken_for_one_of_this() {
    let mut it = OneHost::new(1);
    let primary = it.others[0];
    it.peer(primary, replica(&it, 8));
    let sent = it.peer(primary, record(&it, 8, 1));
    assert_eq!(acks(&sent), [Ack::Stored]);
    let sent = it.peer(primary, record(&it, 7, 2));
    assert_eq!(acks(&sent), [Ack::NoReplica], "the primary's previous process sent it");
}

#[test]
fn a_released_backup_does_not_take_records() {
    let mut it = OneHost::new(1);
    let primary = it.others[0];
    it.peer(primary, replica(&it, 8));
    it.peer(primary, PeerMsg::DropReplica { upstream: it.upstream });
    let sent = it.peer(primary, record(&it, 8, 1));
    assert_eq!(acks(&sent), [Ack::NoReplica]);
}

#[test]
fn a_backup_that_restarted_gets_the_whole_state_before_the_request_is_forwarded() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    let Some((to, lost)) = sent.iter().find_map(record_of) else { panic!("no record: {sent:?}") };
    let ack = RecordAck {
        upstream: lost.upstream,
        session: lost.session,
        seq: lost.seq,
        ack: Ack::NoReplica,
    };
    let sent = it.peer(to, PeerMsg::RecordAck(ack));
    assert!(forwarded(&sent).is_empty());
    let sent = it.ack_replica(&sent);
    assert!(forwarded(&sent).is_empty(), "the record itself is not held yet");
    let late = RecordAck { ack: Ack::Stored, ..ack };
    assert!(forwarded(&it.peer(to, PeerMsg::RecordAck(late))).is_empty(), "of the process before");
    let sent = it.ack_records(&sent);
    assert_eq!(forwarded(&sent).len(), 1);
}

#[test]
fn a_lost_record_is_sent_again_before_its_request_is_given_up() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    assert!(sent.iter().find_map(record_of).is_some());
    let again = it.tick();
    assert!(again.iter().find_map(record_of).is_some());
    assert_eq!(forwarded(&it.ack_records(&again)).len(), 1);
    assert!(forwarded(&it.ack_records(&sent)).is_empty(), "a second acknowledgement");
}

#[test]
fn not_run_is_said_only_once_the_backup_knows_it() {
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
        let said = replies(&it.ack_records(&sent));
        assert!(matches!(said[..], [(PacketKind::NotRun, c, after)] if c == code && after > 0));
        let copy = replies(&it.relayed(&hold(flow, 1)));
        assert!(matches!(copy[..], [(PacketKind::NotRun, _, after)] if after > 0), "{copy:?}");
        return;
    }
    panic!("nothing was refused");
}

#[test]
fn a_state_of_any_size_goes_in_datagrams() {
    const RECORDS: u32 = 5_000;
    let state = |it: u32| RecordEntry {
        key: RecordKey { flow: flow_key(it), req: 1 },
        state: RecordState::Started,
        idempotent: false,
        ttl_ms: 60_000,
    };
    let records: Vec<RecordEntry> = (0..RECORDS).map(state).collect();
    let mut it = OneHost::new(0);
    let mut asks = it.tick();
    let ask = asks.iter().find_map(ask_of).expect("it asks");
    it.peer(it.others[1], hand_over(it.upstream, ask, TakeoverReply::WasNotPrimary(empty_part())));
    let mut rounds = 0;
    while !it.is_active() {
        let first = asks.iter().find_map(|a| have_of(a, it.others[0])).expect("it asks for more");
        let from = first as usize;
        let to = records.len().min(from + 400);
        let part = StatePart {
            first,
            total: RECORDS,
            records: records[from..to].to_vec(),
            ..empty_part()
        };
        asks = it.peer(it.others[0], hand_over(it.upstream, ask, TakeoverReply::Granted(part)));
        rounds += 1;
        assert!(rounds < 50);
    }
    let mut sent = it.tick();
    let mut bytes = 0;
    for _ in 0..RECORDS.div_ceil(400) {
        for action in &sent {
            if let Action::Peer { msg: msg @ PeerMsg::Replica { .. }, .. } = action {
                let envelope = Envelope { from: HostId(1), incarnation: 1, msg: msg.clone() };
                let len = encode(&envelope).expect("it can be encoded").len();
                assert!(len < DATAGRAM, "{len} bytes");
                bytes += len;
            }
        }
        sent = it.ack_replica(&sent);
    }
    assert!(bytes > RECORDS as usize * 10, "the whole state was sent: {bytes}");
    let said = replies(&it.relayed(&hold(RECORDS - 1, 1)));
    assert_eq!(said[0].0, PacketKind::OutcomeUnknown, "the last record has arrived");
    let sent = it.relayed(&hold(RECORDS + 1, 1));
    assert!(sent.iter().find_map(record_of).is_some(), "the replica is whole: {sent:?}");
}

#[test]
fn what_waited_while_the_process_slept_is_not_passed_on() {
    let mut it = OneHost::acting();
    it.now = it.now + Millis(5_000);
    let said = replies(&it.relayed(&hold(1, 1)));
    assert!(matches!(said[..], [(PacketKind::OutcomeUnknown, code, after)]
        if code == Code::PROCESS_PAUSED.0 && after > 0));
}

#[test]
fn a_waiting_request_is_answered_at_once_when_nobody_can_tell_what_ran() {
    let mut it = OneHost::new(0);
    it.relayed(&hold(1, 1));
    let mut waited = 0;
    let said = loop {
        let said = replies(&it.tick());
        waited += 20;
        if !said.is_empty() || waited > 400 {
            break said;
        }
    };
    assert!(waited <= 320, "{waited} ms");
    assert!(matches!(said[..], [(PacketKind::OutcomeUnknown, _, after)] if after > 0), "{said:?}");
}

#[test]
fn a_record_and_its_acknowledgement_are_short() {
    let it = OneHost::new(0);
    let ack =
        RecordAck { upstream: it.upstream, session: u32::MAX, seq: u32::MAX, ack: Ack::Stored };
    let len = |msg: PeerMsg| {
        let envelope = Envelope { from: HostId(u64::MAX), incarnation: u64::MAX, msg };
        encode(&envelope).expect("it can be encoded").len()
    };
    let both = len(record(&it, u32::MAX, u32::MAX)) + len(PeerMsg::RecordAck(ack));
    assert!(both <= 200, "{both} bytes");
}

fn record_of(action: &Action) -> Option<(HostId, RecordMsg)> {
    match action {
        Action::Peer { to, msg: PeerMsg::Record(it) } => Some((*to, *it)),
        _ => None,
    }
}

fn have_of(action: &Action, host: HostId) -> Option<u32> {
    match action {
        Action::Peer { to, msg: PeerMsg::Takeover { received, .. } } if *to == host => {
            Some(*received)
        }
        _ => None,
    }
}

#[test]
fn not_run_is_never_said_of_a_flow_that_its_upstream_has_not_confirmed() {
    let mut it = OneHost::acting();
    let sent = it.relayed(&hold(1, 1));
    it.ack_records(&sent);
    let mut refused = 0;
    for flow in 2..40 {
        let sent = it.relayed(&hold(flow, 1));
        let said = [replies(&sent), replies(&it.ack_records(&sent))].concat();
        assert!(said.iter().all(|it| it.0 != PacketKind::NotRun), "{said:?}");
        refused += said.len();
    }
    assert!(refused > 0, "nothing was refused");
}

#[test]
fn a_replica_of_a_dead_primary_counts_only_with_what_its_later_backup_holds() {
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
    let ask = sent.iter().find_map(ask_of).expect("it asks though it holds a replica");
    assert!(!it.is_active());
    let key = RecordKey { flow: flow_key(1), req: 1 };
    let started =
        RecordEntry { key, state: RecordState::Started, idempotent: false, ttl_ms: 9_000 };
    let part = StatePart { total: 1, records: vec![started], ..empty_part() };
    it.peer(third, hand_over(it.upstream, ask, TakeoverReply::WasNotPrimary(part)));
    assert!(it.is_active());
    assert_eq!(replies(&it.relayed(&hold(1, 1)))[0].0, PacketKind::OutcomeUnknown);
    it.open(2);
    let said = replies(&it.relayed(&hold(2, 1)));
    assert!(
        said.iter().all(|it| it.0 != PacketKind::OutcomeUnknown),
        "what ran is known: {said:?}"
    );
}
