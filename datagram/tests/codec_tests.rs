//! The codec: what is encoded is decoded again, and nothing else is.

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

/// Where the TLVs of an IPv4 datagram start.
const TLVS: usize = 16 + 12;

fn encoded(packet: &Packet, relay: Option<&Relay>) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(packet, relay, NOW, &mut bytes).unwrap();
    bytes
}

fn decoded(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    Datagram::decode(bytes, &services(), NOW)
}

/// Encodes an answer, changes the bytes and expects an error.
fn refuses(change: impl FnOnce(&mut Vec<u8>), expected: DecodeError) {
    let mut bytes = encoded(&packet(PacketKind::Answer), None);
    change(&mut bytes);
    assert_eq!(decoded(&bytes), Err(expected));
}

/// Returns where the TLV starts.
fn find(bytes: &[u8], tlv: u8) -> usize {
    let mut at = TLVS;
    while bytes[at] != tlv {
        at += 3 + usize::from(u16::from_be_bytes([bytes[at + 1], bytes[at + 2]]));
    }
    at
}

/// Writes one byte of a TLV's value.
fn write(bytes: &mut [u8], field: Field, offset: usize, value: u8) {
    let at = find(bytes, field as u8);
    bytes[at + 3 + offset] = value;
}

/// Inserts a TLV before the others and corrects the length of the header.
fn insert(bytes: &mut Vec<u8>, tlv: u8, value: &[u8]) {
    let mut inserted = vec![tlv, 0, value.len() as u8];
    inserted.extend_from_slice(value);
    let length = u16::from_be_bytes([bytes[14], bytes[15]]) + inserted.len() as u16;
    bytes[14..16].copy_from_slice(&length.to_be_bytes());
    bytes.splice(TLVS..TLVS, inserted);
}

/// Removes a TLV and corrects the length of the header.
fn remove(bytes: &mut Vec<u8>, field: Field) {
    let at = find(bytes, field as u8);
    let removed = 3 + usize::from(bytes[at + 2]);
    let length = u16::from_be_bytes([bytes[14], bytes[15]]) - removed as u16;
    bytes[14..16].copy_from_slice(&length.to_be_bytes());
    bytes.drain(at..at + removed);
}

fn check(tests: u64, property: impl Testable) {
    let rng = Gen::from_size_and_seed(100, 7);
    QuickCheck::new().rng(rng).tests(tests).quickcheck(property);
}

/// Guards against a field that is lost or changed on the way, in either address family.
fn round_trip(AnyDatagram(packet, relay): AnyDatagram) -> bool {
    let bytes = encoded(&packet, relay.as_ref());
    bytes.len() <= MAX_DATAGRAM && decoded(&bytes) == Ok(Datagram { packet, relay })
}

/// Guards against a panic on arbitrary input.
fn arbitrary_bytes(bytes: Vec<u8>) -> bool {
    decoded(&bytes).is_err()
}

/// Guards against a panic on input that is nearly right, and against a decoder that accepts
/// what does not encode to the same packet again.
fn mutated(AnyDatagram(packet, relay): AnyDatagram, edits: Vec<(usize, u8)>, cut: usize) -> bool {
    let mut bytes = encoded(&packet, relay.as_ref());
    let header = bytes.len() - packet.payload.len();
    for (at, value) in edits {
        bytes[at % header] = value;
    }
    if cut.is_multiple_of(4) {
        bytes.truncate(cut / 4 % (bytes.len() + 1));
    }
    match decoded(&bytes) {
        Ok(datagram) => {
            let again = encoded(&datagram.packet, datagram.relay.as_ref());
            decoded(&again) == Ok(datagram)
        }
        Err(_) => true,
    }
}

/// Guards against a datagram that is accepted although it was cut within its header.
fn every_cut_header() {
    let packet = packet(PacketKind::Answer);
    let bytes = encoded(&packet, None);
    for length in 0..bytes.len() - packet.payload.len() {
        assert_eq!(decoded(&bytes[..length]), Err(DecodeError::Truncated));
    }
}

/// Guards against deadlines that grow with each hop.
fn deadline_rounds_down() {
    let mut packet = packet(PacketKind::Open);
    packet.deadline = Some(NOW + Duration::from_micros(1_999));
    let datagram = decoded(&encoded(&packet, None)).unwrap();
    let expected = NOW + Duration::from_millis(1);
    assert_eq!(datagram.packet.deadline, Some(expected));
}

/// Guards against a passed deadline that becomes no deadline or a late one.
fn passed_deadline_stays() {
    let mut packet = packet(PacketKind::Open);
    packet.deadline = Some(Time::from_millis(1));
    let datagram = decoded(&encoded(&packet, None)).unwrap();
    assert_eq!(datagram.packet.deadline, Some(NOW));
}

/// Guards against flow identifiers that differ between builds of the instances.
fn flow_is_stable() {
    let flow = packet(PacketKind::Open).flow;
    assert_eq!(flow.0, 258_609_080_693_559_804_616_235_506_086_978_960_180);
}

/// Guards against flows that share an identifier although a part of the route differs.
fn flow_depends_on_route() {
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

fn unencodable(change: impl FnOnce(&mut Packet), expected: EncodeError) {
    let mut packet = packet(PacketKind::Open);
    change(&mut packet);
    let result = encode(&packet, None, NOW, &mut Vec::new());
    assert_eq!(result, Err(expected));
}

/// Guards against a packet that is taken from a peer that may not send it.
fn direction(kind: PacketKind, caller: bool, server: bool) {
    let datagram = decoded(&encoded(&packet(kind), None)).unwrap();
    assert_eq!(datagram.clone().from_caller().is_ok(), caller);
    assert_eq!(datagram.clone().from_server().is_ok(), server);
    let missing = Err(DecodeError::Missing(Field::Relay));
    assert_eq!(datagram.from_instance(), missing);
}

/// Guards against a caller or backend server that steers a packet with the relay TLV.
fn relay_only_from_instances() {
    let relay = Relay {
        purpose: Purpose::Find,
        hops: 1,
        candidate: 0,
        table: 0,
        backend_server: BackendServerId(5),
        possibly_executed: false,
    };
    for kind in [PacketKind::Open, PacketKind::Answer] {
        let datagram = decoded(&encoded(&packet(kind), Some(&relay))).unwrap();
        assert_eq!(datagram.clone().from_caller(), Err(DecodeError::Relayed));
        assert_eq!(datagram.clone().from_server(), Err(DecodeError::Relayed));
        assert_eq!(datagram.from_instance(), Ok((relay, packet(kind))));
    }
}

/// Guards against an answer that is taken for another service's (P2).
fn unknown_service() {
    let bytes = encoded(&packet(PacketKind::Answer), None);
    let unknown = DecodeError::UnknownService(address("198.51.100.7:80"));
    let result = Datagram::decode(&bytes, &Services::default(), NOW);
    assert_eq!(result, Err(unknown));
}

fn length(field: Field, length: usize) -> DecodeError {
    DecodeError::Length { field, length }
}

fn flag(field: Field, value: u8) -> DecodeError {
    DecodeError::Flag { field, value }
}

/// A payload of one byte too many; the datagram is still small enough.
fn long_payload(bytes: &mut Vec<u8>) {
    bytes.extend([0; MAX_PAYLOAD - 14 + 1]);
}

cases! {
    what_is_encoded_is_decoded => check(2_000, round_trip as fn(AnyDatagram) -> bool);
    arbitrary_bytes_are_refused => check(5_000, arbitrary_bytes as fn(Vec<u8>) -> bool);
    mutated_datagrams_do_not_panic =>
        check(5_000, mutated as fn(AnyDatagram, Vec<(usize, u8)>, usize) -> bool);
    cut_headers_are_truncated => every_cut_header();
    deadlines_round_down => deadline_rounds_down();
    passed_deadlines_stay_passed => passed_deadline_stays();
    flow_identifiers_are_stable => flow_is_stable();
    flow_identifiers_depend_on_the_whole_route => flow_depends_on_route();
    callers_send_open => direction(PacketKind::Open, true, false);
    callers_send_request => direction(PacketKind::Request, true, false);
    callers_send_data => direction(PacketKind::Data, true, false);
    callers_send_cancel => direction(PacketKind::Cancel, true, false);
    callers_send_close => direction(PacketKind::Close, true, false);
    servers_send_answer => direction(PacketKind::Answer, false, true);
    servers_send_refused => direction(PacketKind::Refused, false, true);
    servers_send_unknown => direction(PacketKind::Unknown, false, true);
    servers_send_reset => direction(PacketKind::Reset, false, true);
    only_instances_send_relays => relay_only_from_instances();
    service_is_unknown => unknown_service();
    datagram_is_oversized =>
        refuses(|b| b.resize(MAX_DATAGRAM + 1, 0), DecodeError::Oversized(MAX_DATAGRAM + 1));
    payload_is_oversized => refuses(long_payload, DecodeError::Payload(MAX_PAYLOAD + 1));
    signature_is_wrong => refuses(|b| b[3] = b'x', DecodeError::Header);
    version_is_wrong => refuses(|b| b[12] = 0x31, DecodeError::Header);
    text_header_is_refused => refuses(
        |b| *b = b"PROXY TCP4 192.0.2.1 198.51.100.7 5000 80\r\n".to_vec(),
        DecodeError::Header,
    );
    command_is_local => refuses(|b| b[12] = 0x20, DecodeError::NoAddress);
    family_is_unspecified => refuses(|b| b[13] = 0, DecodeError::NoAddress);
    family_is_unix => refuses(|b| b[13] = 0x32, DecodeError::Header);
    protocol_is_stream => refuses(|b| b[13] = 0x11, DecodeError::Stream);
    tlv_runs_over_the_header => refuses(|b| b[TLVS + 1] = 9, DecodeError::Tlv);
    kind_is_unknown => refuses(|b| write(b, Field::Kind, 0, 10), DecodeError::UnknownKind(10));
    kind_is_zero => refuses(|b| write(b, Field::Kind, 0, 0), DecodeError::UnknownKind(0));
    reason_is_unknown =>
        refuses(|b| write(b, Field::Reason, 0, 99), DecodeError::UnknownReason(99));
    flag_is_two =>
        refuses(|b| write(b, Field::Idempotent, 0, 2), flag(Field::Idempotent, 2));
    last_flag_is_two => refuses(|b| write(b, Field::Part, 4, 2), flag(Field::Part, 2));
    relay_passed_too_many => refuses(
        |b| insert(b, Field::Relay as u8, &[1, MAX_HOPS + 1, 0, 0, 0, 0, 0, 1]),
        DecodeError::Hops(MAX_HOPS + 1),
    );
    relay_purpose_is_unknown => refuses(
        |b| insert(b, Field::Relay as u8, &[9, 0, 0, 0, 0, 0, 0, 1]),
        DecodeError::UnknownPurpose(9),
    );
    custom_tlv_is_unknown => refuses(|b| insert(b, 0xe8, &[1]), DecodeError::UnknownTlv(0xe8));
    unique_id_is_short =>
        refuses(|b| { remove(b, Field::UniqueId); insert(b, 5, &[1]) }, length(Field::UniqueId, 1));
    request_is_long => refuses(
        |b| { remove(b, Field::Request); insert(b, 0xe1, &[0; 9]) },
        length(Field::Request, 9),
    );
    kind_is_empty =>
        refuses(|b| { remove(b, Field::Kind); insert(b, 0xe0, &[]) }, length(Field::Kind, 0));
    unique_id_occurs_twice =>
        refuses(|b| insert(b, 5, &[0; 16]), DecodeError::Duplicate(Field::UniqueId));
    request_occurs_twice =>
        refuses(|b| insert(b, 0xe1, &[0; 8]), DecodeError::Duplicate(Field::Request));
    kind_occurs_twice => refuses(|b| insert(b, 0xe0, &[6]), DecodeError::Duplicate(Field::Kind));
    unique_id_is_missing =>
        refuses(|b| remove(b, Field::UniqueId), DecodeError::Missing(Field::UniqueId));
    kind_is_missing => refuses(|b| remove(b, Field::Kind), DecodeError::Missing(Field::Kind));
    request_is_missing =>
        refuses(|b| remove(b, Field::Request), DecodeError::Missing(Field::Request));
    part_is_missing => refuses(|b| remove(b, Field::Part), DecodeError::Missing(Field::Part));
    payload_cannot_be_encoded => unencodable(
        |p| p.payload = Bytes::from(vec![0; MAX_PAYLOAD + 1]),
        EncodeError::Payload(MAX_PAYLOAD + 1),
    );
    families_cannot_be_mixed =>
        unencodable(|p| p.route.caller = address("[::1]:1"), EncodeError::Families);
}

/// Guards against refusing headers with TLVs that the protocol says to ignore.
#[test]
fn standard_tlvs_are_ignored() {
    let expected = packet(PacketKind::Answer);
    let mut bytes = encoded(&expected, None);
    insert(&mut bytes, 0x04, &[0; 5]);
    insert(&mut bytes, 0xf0, &[1]);
    assert_eq!(decoded(&bytes).map(|d| d.packet), Ok(expected));
}
