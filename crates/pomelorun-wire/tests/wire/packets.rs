//! Tests of packets, relayed packets and control messages.

use pomelorun_wire::{
    Envelope, FlowKey, HEADER_LEN, Header, HostId, Packet, PacketError, PacketKind, PeerMsg,
    RELAY_HEADER_LEN, RecordEntry, RecordKey, RecordMsg, RecordState, Relay, RelayHeader,
    RelayStage, ServiceAddr, UpstreamId, decode, encode,
};
use proptest::prelude::*;

fn flow() -> FlowKey {
    FlowKey {
        caller_ip: 0x6440_0001,
        caller_port: 4_242,
        service: ServiceAddr { ip: 0x0a14_0001, port: 443 },
    }
}

#[test]
fn headers_have_the_documented_lengths() {
    assert_eq!((HEADER_LEN, RELAY_HEADER_LEN), (32, 32));
}

#[test]
fn packet_round_trips() {
    let header = Header::new(PacketKind::Request, &flow())
        .req(7)
        .deadline_ms(250)
        .part(1, 3)
        .code(206)
        .retry_after_ms(40)
        .non_idempotent();
    let mut bytes = header.as_bytes().to_vec();
    bytes.extend_from_slice(b"body");
    let packet = Packet::parse(&bytes).unwrap();
    assert_eq!(packet.kind(), PacketKind::Request);
    assert_eq!(packet.flow(), flow());
    assert_eq!((packet.req(), packet.remaining_ms()), (7, 250));
    assert_eq!((packet.part(), packet.parts()), (1, 3));
    assert_eq!((packet.code(), packet.retry_after_ms()), (206, 40));
    assert!(!packet.is_idempotent());
    assert_eq!(packet.body(), b"body");
}

#[test]
fn relayed_packet_round_trips() {
    let header =
        RelayHeader::new(RelayStage::Probe, 3, HostId(9), 12).upstream(UpstreamId(5)).rank(2);
    let mut bytes = header.as_bytes().to_vec();
    bytes.extend_from_slice(Header::new(PacketKind::Open, &flow()).as_bytes());
    let relay = Relay::parse(&bytes).unwrap();
    assert!(Relay::is_relay(&bytes));
    assert_eq!((relay.stage(), relay.hops_left(), relay.rank()), (RelayStage::Probe, 3, 2));
    assert_eq!((relay.from(), relay.revision()), (HostId(9), 12));
    assert_eq!(relay.upstream(), UpstreamId(5));
    assert_eq!(relay.packet.flow(), flow());
}

#[test]
fn malformed_packets_return_distinct_errors() {
    let valid = Header::new(PacketKind::Open, &flow());
    assert_eq!(Packet::parse(&valid.as_bytes()[..31]), Err(PacketError::TooShort));
    let mut wrong_magic = valid.as_bytes().to_vec();
    wrong_magic[0] = b'X';
    assert_eq!(Packet::parse(&wrong_magic), Err(PacketError::WrongMagic));
    let mut unknown_kind = valid.as_bytes().to_vec();
    unknown_kind[3] = 99;
    assert_eq!(Packet::parse(&unknown_kind), Err(PacketError::UnknownKind(99)));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Packet::parse(&bytes);
        let _ = Relay::parse(&bytes);
        let _ = decode::<Envelope>(&bytes);
    }

    #[test]
    fn control_message_round_trips(seq in any::<u64>(), from in any::<u64>(), state in 0u8..3, idempotent in any::<bool>()) {
        let state = [RecordState::Started, RecordState::Answered, RecordState::NotRun][usize::from(state)];
        let flow = FlowKey { caller_ip: seq as u32, caller_port: from as u16, service: ServiceAddr { ip: from as u32, port: 9 } };
        let entry = RecordEntry { key: RecordKey { flow, req: 7 }, state, idempotent, ttl_ms: seq as u32 };
        let msg = PeerMsg::Record(RecordMsg { upstream: UpstreamId(seq as u32), session: 3, seq: 4, entry });
        let envelope = Envelope { from: HostId(from), incarnation: seq, msg };
        let bytes = encode(&envelope).unwrap();
        prop_assert_eq!(decode::<Envelope>(&bytes).unwrap(), envelope);
    }
}
