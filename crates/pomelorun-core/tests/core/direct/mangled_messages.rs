//! Messages of other hosts with any content: they are decoded or refused, and a host that applies them goes on.

use pomelorun_core::{
    Millis,
    direct::{
        DirectHost, FailureReport, FleetMsg, LivenessQuery, LivenessReply, LoadReport, PeerUpdate,
        Token, TokenOwner,
    },
};
use pomelorun_wire::{HostId, ZoneId, decode, encode};
use proptest::prelude::*;

use crate::direct::fixtures::{
    LOCAL_HOST, LOCAL_ZONE, announcement, data_segment, flow, host, key, open_segment,
};

const PEER: HostId = HostId(2);

/// Returns a message of each kind about the liveness, tokens, load and zones of upstreams.
fn messages() -> Vec<FleetMsg> {
    let token = Token::of(key(1));
    let mut ended = PeerUpdate::default();
    ended.unreachable.push((1, key(1).started_at, 300));
    ended.ejected.push((1, key(1).started_at, 2_000));
    let known = TokenOwner::Known(announcement(9, LOCAL_ZONE));
    vec![
        FleetMsg::PeerUpdate(ended),
        FleetMsg::TokenQuery(vec![token, Token(7)]),
        FleetMsg::TokenOwners(vec![(Token::of(key(9)), known), (Token(7), TokenOwner::Ended)]),
        FleetMsg::LivenessQuery(LivenessQuery { seq: 1, tokens: vec![token] }),
        FleetMsg::LivenessReply(LivenessReply { seq: 1, responses: vec![(token, 90)] }),
        FleetMsg::RestoredZones(vec![(LOCAL_ZONE, 2_400), (ZoneId(9), 1)]),
    ]
}

fn apply(host: &mut DirectHost, now: Millis, msg: &FleetMsg) {
    match msg {
        FleetMsg::Member(_) => {}
        FleetMsg::PeerUpdate(it) => host.apply_peer_update(now, it),
        FleetMsg::Reports(it) => host.apply_reports(now, it),
        FleetMsg::TokenQuery(it) => drop(host.answer_token_query(now, it)),
        FleetMsg::TokenOwners(it) => host.apply_token_owners(now, it),
        FleetMsg::Load(it) => host.apply_load_report(now, PEER, it),
        FleetMsg::LoadSum(it) => host.apply_load_summary(now, PEER, it),
        FleetMsg::LivenessQuery(it) => drop(host.answer_liveness_query(now, it)),
        FleetMsg::LivenessReply(it) => host.apply_liveness_reply(PEER, it),
        FleetMsg::RestoredZones(it) => host.apply_restored_zones(now, it),
    }
}

/// Applies a message, and lets the host handle packets and timer events for some seconds.
fn play(msg: &FleetMsg) {
    let mut host = host(&[announcement(1, LOCAL_ZONE), announcement(2, LOCAL_ZONE)]);
    host.set_zone_peers(vec![PEER]);
    host.set_hosts_by_zone(vec![(LOCAL_ZONE, LOCAL_HOST), (LOCAL_ZONE, PEER)]);
    apply(&mut host, Millis(1_000), msg);
    for step in 0..60u32 {
        let now = Millis(1_000 + 50 * u64::from(step));
        host.tick(now);
        host.handle_packet(now, &open_segment(flow(step), 0));
        host.handle_packet(now, &data_segment(flow(900), Token::of(key(1)), 1, 100, 50));
    }
}

proptest! {
    #[test]
    fn message_with_any_bytes_changed_is_refused_or_applied(
        kind in 0usize..6,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let mut bytes = encode(&messages()[kind]).unwrap();
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        if let Ok(msg) = decode::<FleetMsg>(&bytes) {
            play(&msg);
        }
    }

    #[test]
    fn message_with_any_numbers_is_applied(
        numbers in prop::collection::vec(any::<u32>(), 4),
        id in prop::sample::select(vec![0, 1, 2, u64::MAX - 1_002]),
    ) {
        let token = Token::of(key(id.clamp(1, 2)));
        let mut update = PeerUpdate::default();
        update.unreachable.push((id, key(1).started_at, numbers[0]));
        update.ejected.push((id, key(1).started_at, numbers[1]));
        let report = FailureReport {
            id,
            started_at: key(1).started_at,
            failed: numbers[0] as u16,
            total_pct: numbers[1],
            expected_pct: numbers[2],
        };
        let unknown = announcement(id, ZoneId(numbers[2]));
        for msg in [
            FleetMsg::PeerUpdate(update),
            FleetMsg::Reports(vec![report]),
            FleetMsg::TokenOwners(vec![(Token(numbers[3]), TokenOwner::Known(unknown))]),
            FleetMsg::LivenessReply(LivenessReply {
                seq: numbers[0],
                responses: vec![(token, numbers[1])],
            }),
            FleetMsg::RestoredZones(vec![(LOCAL_ZONE, numbers[0]), (ZoneId(numbers[1]), numbers[2])]),
            FleetMsg::Load(LoadReport { interval_ms: numbers[0], ..Default::default() }),
        ] {
            play(&msg);
        }
    }
}
