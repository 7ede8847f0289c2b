//! Tests of the codec: encoded packets decode to the same packet, and invalid input is rejected.

#![allow(clippy::unwrap_used)] // clippy.toml covers only functions marked as tests.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{
    AnyDatagram,
    NOW,
    address,
    packet,
    services, //
};
use lovagespindle_datagram::field::MAX_DATAGRAM;
use lovagespindle_datagram::{
    Datagram,
    DecodeError,
    EncodeError,
    Field,
    Services,
    encode,
    flow_id, //
};
use lovagespindle_decisions::Time;
use lovagespindle_decisions::ids::BackendServerId;
use lovagespindle_decisions::packet::{
    MAX_HOPS,
    MAX_PAYLOAD,
    Packet,
    PacketKind,
    Purpose,
    Relay, //
};
use lovagespindle_stand_ins::cases;
use quickcheck::{
    Gen,
    QuickCheck,
    Testable, //
};

/// Offset of the first TLV in an IPv4 datagram.
const TLV_OFFSET: usize = 16 + 12;

fn encode_datagram(packet: &Packet, relay: Option<&Relay>) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(packet, relay, NOW, &mut bytes).unwrap();
    bytes
}

fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    Datagram::decode(bytes, &services(), NOW)
}

/// Encodes an answer, modifies the bytes and checks that decoding fails with this error.
fn rejects(change: impl FnOnce(&mut Vec<u8>), expected: DecodeError) {
    let mut bytes = encode_datagram(&packet(PacketKind::Answer), None);
    change(&mut bytes);
    assert_eq!(decode(&bytes), Err(expected));
}

/// Returns the offset of the first TLV of this type.
fn find_tlv(bytes: &[u8], tlv: u8) -> usize {
    let mut at = TLV_OFFSET;
    while bytes[at] != tlv {
        at += 3 + usize::from(u16::from_be_bytes([bytes[at + 1], bytes[at + 2]]));
    }
    at
}

/// Overwrites one byte of a TLV's value.
fn set_byte(bytes: &mut [u8], field: Field, offset: usize, value: u8) {
    let at = find_tlv(bytes, field as u8);
    bytes[at + 3 + offset] = value;
}

/// Inserts a TLV before the others and updates the length in the header.
fn insert_tlv(bytes: &mut Vec<u8>, tlv: u8, value: &[u8]) {
    let mut inserted = vec![tlv, 0, value.len() as u8];
    inserted.extend_from_slice(value);
    let length = u16::from_be_bytes([bytes[14], bytes[15]]) + inserted.len() as u16;
    bytes[14..16].copy_from_slice(&length.to_be_bytes());
    bytes.splice(TLV_OFFSET..TLV_OFFSET, inserted);
}

/// Removes a TLV and updates the length in the header.
fn remove_tlv(bytes: &mut Vec<u8>, field: Field) {
    let at = find_tlv(bytes, field as u8);
    let removed = 3 + usize::from(bytes[at + 2]);
    let length = u16::from_be_bytes([bytes[14], bytes[15]]) - removed as u16;
    bytes[14..16].copy_from_slice(&length.to_be_bytes());
    bytes.drain(at..at + removed);
}

fn run_property(tests: u64, property: impl Testable) {
    let rng = Gen::from_size_and_seed(100, 7);
    QuickCheck::new().rng(rng).tests(tests).quickcheck(property);
}

/// Guards against fields that are lost or changed by encoding and decoding, in both address
/// families.
fn round_trips(AnyDatagram(packet, relay): AnyDatagram) -> bool {
    let bytes = encode_datagram(&packet, relay.as_ref());
    bytes.len() <= MAX_DATAGRAM && decode(&bytes) == Ok(Datagram { packet, relay })
}

/// Guards against a panic on arbitrary input.
fn rejects_arbitrary_bytes(bytes: Vec<u8>) -> bool {
    decode(&bytes).is_err()
}

/// Guards against a panic on nearly valid input, and against accepted input that does not survive
/// another round trip.
fn mutated(AnyDatagram(packet, relay): AnyDatagram, edits: Vec<(usize, u8)>, cut: usize) -> bool {
    let mut bytes = encode_datagram(&packet, relay.as_ref());
    let header = bytes.len() - packet.payload.len();
    for (at, value) in edits {
        bytes[at % header] = value;
    }
    if cut.is_multiple_of(4) {
        bytes.truncate(cut / 4 % (bytes.len() + 1));
    }
    match decode(&bytes) {
        Ok(datagram) => {
            let again = encode_datagram(&datagram.packet, datagram.relay.as_ref());
            decode(&again) == Ok(datagram)
        }
        Err(_) => true,
    }
}

/// Guards against accepting a datagram that was truncated within its header.
fn rejects_truncated_headers() {
    let packet = packet(PacketKind::Answer);
    let bytes = encode_datagram(&packet, None);
    for length in 0..bytes.len() - packet.payload.len() {
        assert_eq!(decode(&bytes[..length]), Err(DecodeError::Truncated));
    }
}

/// Guards against deadlines that are extended by each hop.
fn rounds_deadline_down() {
    let mut packet = packet(PacketKind::Open);
    packet.deadline = Some(NOW + Duration::from_micros(1_999));
    let datagram = decode(&encode_datagram(&packet, None)).unwrap();
    let expected = NOW + Duration::from_millis(1);
    assert_eq!(datagram.packet.deadline, Some(expected));
}

/// Guards against an expired deadline that is dropped or extended.
fn keeps_expired_deadline() {
    let mut packet = packet(PacketKind::Open);
    packet.deadline = Some(Time::from_millis(1));
    let datagram = decode(&encode_datagram(&packet, None)).unwrap();
    assert_eq!(datagram.packet.deadline, Some(NOW));
}

/// Guards against builds that compute different flow identifiers.
fn flow_id_is_stable() {
    let flow = packet(PacketKind::Open).flow;
    assert_eq!(flow.0, 258_609_080_693_559_804_616_235_506_086_978_960_180);
}

/// Guards against flows with different routes that share an identifier.
fn flow_id_depends_on_route() {
    let route = packet(PacketKind::Open).route;
    let mut others = [route; 4];
    others[0].caller = address("192.0.2.1:5001");
    others[1].caller = address("192.0.2.2:5000");
    others[2].address = address("198.51.100.8:80");
    others[3].unique_id += 1;
    for other in others {
        assert_ne!(flow_id(&other), flow_id(&route));
    }
}

fn fails_to_encode(change: impl FnOnce(&mut Packet), expected: EncodeError) {
    let mut packet = packet(PacketKind::Open);
    change(&mut packet);
    let result = encode(&packet, None, NOW, &mut Vec::new());
    assert_eq!(result, Err(expected));
}

/// Guards against packets that are accepted from a peer that may not send them.
fn checks_sender(kind: PacketKind, caller: bool, server: bool) {
    let datagram = decode(&encode_datagram(&packet(kind), None)).unwrap();
    assert_eq!(datagram.clone().from_caller().is_ok(), caller);
    assert_eq!(datagram.clone().from_server().is_ok(), server);
    let missing = Err(DecodeError::Missing(Field::Relay));
    assert_eq!(datagram.from_instance(), missing);
}

/// Guards against callers and backend servers that control forwarding with the relay TLV.
fn accepts_relay_only_from_instances() {
    let relay = Relay {
        purpose: Purpose::Find,
        hops: 1,
        candidate: 0,
        table: 0,
        backend_server: BackendServerId(5),
        possibly_executed: false,
    };
    for kind in [PacketKind::Open, PacketKind::Answer] {
        let datagram = decode(&encode_datagram(&packet(kind), Some(&relay))).unwrap();
        assert_eq!(datagram.clone().from_caller(), Err(DecodeError::Relayed));
        assert_eq!(datagram.clone().from_server(), Err(DecodeError::Relayed));
        assert_eq!(datagram.from_instance(), Ok((relay, packet(kind))));
    }
}

/// Guards against an answer that is attributed to another service (P2).
fn rejects_unknown_service() {
    let bytes = encode_datagram(&packet(PacketKind::Answer), None);
    let unknown = DecodeError::UnknownService(address("198.51.100.7:80"));
    let result = Datagram::decode(&bytes, &Services::default(), NOW);
    assert_eq!(result, Err(unknown));
}

fn length_error(field: Field, length: usize) -> DecodeError {
    DecodeError::Length { field, length }
}

fn flag_error(field: Field, value: u8) -> DecodeError {
    DecodeError::Flag { field, value }
}

/// Makes the payload one byte too long while the datagram stays within its limit.
fn extend_payload(bytes: &mut Vec<u8>) {
    bytes.extend([0; MAX_PAYLOAD - 14 + 1]);
}

cases! {
    encoded_packets_decode_to_themselves =>
        run_property(2_000, round_trips as fn(AnyDatagram) -> bool);
    arbitrary_bytes_are_rejected =>
        run_property(5_000, rejects_arbitrary_bytes as fn(Vec<u8>) -> bool);
    mutated_datagrams_do_not_panic =>
        run_property(5_000, mutated as fn(AnyDatagram, Vec<(usize, u8)>, usize) -> bool);
    truncated_headers_are_rejected => rejects_truncated_headers();
    deadlines_are_rounded_down => rounds_deadline_down();
    expired_deadlines_stay_expired => keeps_expired_deadline();
    flow_identifiers_are_stable => flow_id_is_stable();
    flow_identifiers_depend_on_the_whole_route => flow_id_depends_on_route();
    callers_send_open => checks_sender(PacketKind::Open, true, false);
    callers_send_request => checks_sender(PacketKind::Request, true, false);
    callers_send_data => checks_sender(PacketKind::Data, true, false);
    callers_send_cancel => checks_sender(PacketKind::Cancel, true, false);
    callers_send_close => checks_sender(PacketKind::Close, true, false);
    servers_send_answer => checks_sender(PacketKind::Answer, false, true);
    servers_send_refused => checks_sender(PacketKind::Refused, false, true);
    servers_send_unknown => checks_sender(PacketKind::Unknown, false, true);
    servers_send_reset => checks_sender(PacketKind::Reset, false, true);
    only_instances_send_relays => accepts_relay_only_from_instances();
    unknown_service_is_rejected => rejects_unknown_service();
    oversized_datagram_is_rejected =>
        rejects(|b| b.resize(MAX_DATAGRAM + 1, 0), DecodeError::Oversized(MAX_DATAGRAM + 1));
    oversized_payload_is_rejected => rejects(extend_payload, DecodeError::Payload(MAX_PAYLOAD + 1));
    wrong_signature_is_rejected => rejects(|b| b[3] = b'x', DecodeError::Header);
    wrong_version_is_rejected => rejects(|b| b[12] = 0x31, DecodeError::Header);
    version_1_header_is_rejected => rejects(
        |b| *b = b"PROXY TCP4 192.0.2.1 198.51.100.7 5000 80\r\n".to_vec(),
        DecodeError::Header,
    );
    local_command_is_rejected => rejects(|b| b[12] = 0x20, DecodeError::NoAddress);
    unspecified_family_is_rejected => rejects(|b| b[13] = 0, DecodeError::NoAddress);
    unix_family_is_rejected => rejects(|b| b[13] = 0x32, DecodeError::Header);
    stream_protocol_is_rejected => rejects(|b| b[13] = 0x11, DecodeError::Stream);
    tlv_beyond_the_header_is_rejected => rejects(|b| b[TLV_OFFSET + 1] = 9, DecodeError::Tlv);
    unknown_kind_is_rejected =>
        rejects(|b| set_byte(b, Field::Kind, 0, 10), DecodeError::UnknownKind(10));
    zero_kind_is_rejected =>
        rejects(|b| set_byte(b, Field::Kind, 0, 0), DecodeError::UnknownKind(0));
    unknown_reason_is_rejected =>
        rejects(|b| set_byte(b, Field::Reason, 0, 99), DecodeError::UnknownReason(99));
    invalid_idempotent_flag_is_rejected =>
        rejects(|b| set_byte(b, Field::Idempotent, 0, 2), flag_error(Field::Idempotent, 2));
    invalid_last_flag_is_rejected =>
        rejects(|b| set_byte(b, Field::Part, 4, 2), flag_error(Field::Part, 2));
    too_many_hops_are_rejected => rejects(
        |b| insert_tlv(b, Field::Relay as u8, &[1, MAX_HOPS + 1, 0, 0, 0, 0, 0, 1]),
        DecodeError::Hops(MAX_HOPS + 1),
    );
    unknown_relay_purpose_is_rejected => rejects(
        |b| insert_tlv(b, Field::Relay as u8, &[9, 0, 0, 0, 0, 0, 0, 1]),
        DecodeError::UnknownPurpose(9),
    );
    unknown_application_tlv_is_rejected =>
        rejects(|b| insert_tlv(b, 0xe8, &[1]), DecodeError::UnknownTlv(0xe8));
    short_unique_id_is_rejected =>
        rejects(|b| { remove_tlv(b, Field::UniqueId); insert_tlv(b, 5, &[1]) },
            length_error(Field::UniqueId, 1));
    long_request_is_rejected => rejects(
        |b| { remove_tlv(b, Field::Request); insert_tlv(b, 0xe1, &[0; 9]) },
        length_error(Field::Request, 9),
    );
    empty_kind_is_rejected =>
        rejects(|b| { remove_tlv(b, Field::Kind); insert_tlv(b, 0xe0, &[]) },
            length_error(Field::Kind, 0));
    duplicate_unique_id_is_rejected =>
        rejects(|b| insert_tlv(b, 5, &[0; 16]), DecodeError::Duplicate(Field::UniqueId));
    duplicate_request_is_rejected =>
        rejects(|b| insert_tlv(b, 0xe1, &[0; 8]), DecodeError::Duplicate(Field::Request));
    duplicate_kind_is_rejected =>
        rejects(|b| insert_tlv(b, 0xe0, &[6]), DecodeError::Duplicate(Field::Kind));
    missing_unique_id_is_rejected =>
        rejects(|b| remove_tlv(b, Field::UniqueId), DecodeError::Missing(Field::UniqueId));
    missing_kind_is_rejected =>
        rejects(|b| remove_tlv(b, Field::Kind), DecodeError::Missing(Field::Kind));
    missing_request_is_rejected =>
        rejects(|b| remove_tlv(b, Field::Request), DecodeError::Missing(Field::Request));
    missing_part_is_rejected =>
        rejects(|b| remove_tlv(b, Field::Part), DecodeError::Missing(Field::Part));
    oversized_payload_is_not_encoded => fails_to_encode(
        |p| p.payload = Bytes::from(vec![0; MAX_PAYLOAD + 1]),
        EncodeError::Payload(MAX_PAYLOAD + 1),
    );
    mixed_families_are_not_encoded =>
        fails_to_encode(|p| p.route.caller = address("[::1]:1"), EncodeError::Families);
}

/// Guards against rejecting headers with TLVs that the protocol requires to be ignored.
#[test]
fn standard_tlvs_are_ignored() {
    let expected = packet(PacketKind::Answer);
    let mut bytes = encode_datagram(&expected, None);
    insert_tlv(&mut bytes, 0x04, &[0; 5]);
    insert_tlv(&mut bytes, 0xf0, &[1]);
    assert_eq!(decode(&bytes).map(|d| d.packet), Ok(expected));
}
