//! Encoding of packets as datagrams.

use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::packet::{
    MAX_PAYLOAD,
    Packet,
    PacketKind,
    Relay, //
};
use proxy_header::{
    ProxiedAddress,
    ProxyHeader,
    Tlv, //
};

use crate::error::EncodeError;
use crate::field::{
    Field,
    POSSIBLY_EXECUTED, //
};

/// Encodes a packet and replaces the contents of `out` with the result. The deadline is encoded as
/// the time that remains at `now`.
///
/// Returns an error if the payload or the header is too long, or the addresses are of different
/// families.
pub fn encode(
    packet: &Packet,
    relay: Option<&Relay>,
    now: Time,
    out: &mut Vec<u8>,
) -> Result<(), EncodeError> {
    out.clear();
    if packet.payload.len() > MAX_PAYLOAD {
        return Err(EncodeError::Payload(packet.payload.len()));
    }
    let unique_id = packet.route.unique_id.to_be_bytes();
    let kind = [packet.kind as u8];
    let request = packet.request.0.to_be_bytes();
    let attempt = [packet.attempt];
    let idempotent = [u8::from(packet.idempotent)];
    let deadline = packet.deadline.map(|d| remaining(d, now).to_be_bytes());
    let part = part_bytes(packet);
    let relay = relay.map(relay_bytes);
    let reason = packet.reason.map(|r| [r as u8]);
    let fields = [
        Some((Field::UniqueId, &unique_id[..])),
        Some((Field::Kind, &kind)),
        Some((Field::Request, &request)),
        (packet.attempt > 0).then_some((Field::Attempt, &attempt)),
        packet
            .idempotent
            .then_some((Field::Idempotent, &idempotent)),
        deadline.as_ref().map(|d| (Field::Deadline, &d[..])),
        has_part(packet).then_some((Field::Part, &part)),
        relay.as_ref().map(|r| (Field::Relay, &r[..])),
        reason.as_ref().map(|r| (Field::Reason, &r[..])),
    ];
    let tlvs = fields.into_iter().flatten();
    let tlvs = tlvs.map(|(field, value)| Tlv::Custom(field as u8, value.into()));
    let address = ProxiedAddress::datagram(packet.route.caller, packet.route.address);
    let header = ProxyHeader::with_tlvs(Some(address), tlvs);
    header.encode_v2(out).map_err(|error| match error {
        proxy_header::Error::AddressFamilyMismatch => EncodeError::Families,
        _ => EncodeError::Header,
    })?;
    out.extend_from_slice(&packet.payload);
    Ok(())
}

/// Returns the remaining time in milliseconds, rounded down so that forwarding a packet never
/// extends its deadline.
fn remaining(deadline: Time, now: Time) -> u32 {
    let remaining: Duration = deadline.since(now);
    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
}

/// Returns whether the part TLV is needed: always for answers, otherwise unless the part is 0 and
/// not the last. The decoder assumes these values if the TLV is absent.
fn has_part(packet: &Packet) -> bool {
    packet.kind == PacketKind::Answer || packet.last || packet.part > 0
}

fn part_bytes(packet: &Packet) -> [u8; 5] {
    let [a, b, c, d] = packet.part.to_be_bytes();
    [a, b, c, d, u8::from(packet.last)]
}

fn relay_bytes(relay: &Relay) -> [u8; 8] {
    let [a, b, c, d] = relay.backend_server.0.to_be_bytes();
    let flag = if relay.possibly_executed {
        POSSIBLY_EXECUTED
    } else {
        0
    };
    [
        relay.purpose as u8 | flag,
        relay.hops,
        relay.candidate,
        relay.table,
        a,
        b,
        c,
        d,
    ]
}
