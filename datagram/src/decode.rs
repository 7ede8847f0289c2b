//! Decoding of datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_decisions::Time;
use lovagespindle_decisions::ids::{
    BackendServerId,
    RequestId, //
};
use lovagespindle_decisions::packet::{
    MAX_HOPS,
    MAX_PAYLOAD,
    Packet,
    PacketKind,
    Purpose,
    Reason,
    Relay,
    Route, //
};
use proxy_header::{
    ParseConfig,
    Protocol,
    ProxyHeader,
    Tlv, //
};

use crate::error::DecodeError;
use crate::field::{
    APP_TYPES,
    Field,
    MAX_DATAGRAM,
    POSSIBLY_EXECUTED, //
};
use crate::flow::flow_id;
use crate::services::Services;

/// A decoded datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Datagram {
    pub packet: Packet,
    /// Relay information, if another instance forwarded the packet.
    pub relay: Option<Relay>,
}

impl Datagram {
    /// Decodes a datagram that arrived at `now`.
    ///
    /// Copies the payload, so that a queued packet does not keep a receive buffer allocated.
    /// Returns an error if the datagram is malformed or its service is unknown.
    pub fn decode(bytes: &[u8], services: &Services, now: Time) -> Result<Datagram, DecodeError> {
        if bytes.len() > MAX_DATAGRAM {
            return Err(DecodeError::Oversized(bytes.len()));
        }
        let (header, length) = ProxyHeader::parse(bytes, PARSE_CONFIG).map_err(map_header_error)?;
        let (caller, address) = addresses(&header)?;
        let fields = Fields::read(&header)?;
        let payload = bytes.get(length..).unwrap_or_default();
        if payload.len() > MAX_PAYLOAD {
            return Err(DecodeError::Payload(payload.len()));
        }
        let Some(service) = services.find(address) else {
            return Err(DecodeError::UnknownService(address));
        };
        let unique_id = fields.unique.ok_or(DecodeError::Missing(Field::UniqueId))?;
        let kind = fields.kind.ok_or(DecodeError::Missing(Field::Kind))?;
        let (part, last) = fields.part(kind)?;
        let route = Route {
            caller,
            address,
            unique_id,
        };
        let packet = Packet {
            service,
            flow: flow_id(&route),
            kind,
            request: fields.request(kind)?,
            attempt: fields.attempt.unwrap_or_default(),
            idempotent: fields.idempotent.unwrap_or_default(),
            deadline: fields.remaining.map(|remaining| now + remaining),
            part,
            last,
            reason: fields.reason,
            route,
            payload: Bytes::copy_from_slice(payload),
        };
        let relay = fields.relay;
        Ok(Datagram { packet, relay })
    }

    /// Returns the packet. Fails if callers may not send packets of its kind or relay TLVs.
    pub fn from_caller(self) -> Result<Packet, DecodeError> {
        match self.packet.kind.from_caller() {
            _ if self.relay.is_some() => Err(DecodeError::Relayed),
            true => Ok(self.packet),
            false => Err(DecodeError::Direction(self.packet.kind)),
        }
    }

    /// Returns the packet. Fails if backend servers may not send packets of its kind or relay TLVs.
    pub fn from_server(self) -> Result<Packet, DecodeError> {
        match self.packet.kind.from_caller() {
            _ if self.relay.is_some() => Err(DecodeError::Relayed),
            true => Err(DecodeError::Direction(self.packet.kind)),
            false => Ok(self.packet),
        }
    }

    /// Returns the packet and its relay information. Fails if the relay TLV is missing.
    pub fn from_instance(self) -> Result<(Relay, Packet), DecodeError> {
        let relay = self.relay.ok_or(DecodeError::Missing(Field::Relay))?;
        Ok((relay, self.packet))
    }
}

const PARSE_CONFIG: ParseConfig = ParseConfig {
    include_tlvs: true,
    allow_v1: false,
    allow_v2: true,
};

fn map_header_error(error: proxy_header::Error) -> DecodeError {
    match error {
        proxy_header::Error::BufferTooShort => DecodeError::Truncated,
        _ => DecodeError::Header,
    }
}

fn addresses(header: &ProxyHeader<'_>) -> Result<(SocketAddr, SocketAddr), DecodeError> {
    let address = header.proxied_address().ok_or(DecodeError::NoAddress)?;
    match address.protocol {
        Protocol::Stream => Err(DecodeError::Stream),
        Protocol::Datagram => Ok((address.source, address.destination)),
    }
}

/// Values of the TLVs of one datagram. Each type may occur once.
#[derive(Default)]
struct Fields {
    unique: Option<u128>,
    kind: Option<PacketKind>,
    request: Option<RequestId>,
    attempt: Option<u8>,
    idempotent: Option<bool>,
    remaining: Option<Duration>,
    part: Option<(u32, bool)>,
    relay: Option<Relay>,
    reason: Option<Reason>,
}

impl Fields {
    fn read(header: &ProxyHeader<'_>) -> Result<Fields, DecodeError> {
        let mut fields = Fields::default();
        for tlv in header.tlvs() {
            match tlv.map_err(|_| DecodeError::Tlv)? {
                Tlv::UniqueId(value) => fields.set(Field::UniqueId, &value)?,
                Tlv::Custom(tlv, value) => match Field::from_repr(tlv) {
                    Some(field) => fields.set(field, &value)?,
                    None if APP_TYPES.contains(&tlv) => return Err(DecodeError::UnknownTlv(tlv)),
                    None => {}
                },
                _ => {}
            }
        }
        Ok(fields)
    }

    fn set(&mut self, field: Field, value: &[u8]) -> Result<(), DecodeError> {
        let first = match field {
            Field::UniqueId => put(&mut self.unique, u128::from_be_bytes(array(field, value)?)),
            Field::Kind => put(&mut self.kind, parse_kind(value)?),
            Field::Request => {
                let request = u64::from_be_bytes(array(field, value)?);
                put(&mut self.request, RequestId(request))
            }
            Field::Attempt => put(&mut self.attempt, byte(field, value)?),
            Field::Idempotent => put(&mut self.idempotent, flag(field, byte(field, value)?)?),
            Field::Deadline => {
                let millis = u32::from_be_bytes(array(field, value)?);
                put(&mut self.remaining, Duration::from_millis(millis.into()))
            }
            Field::Part => put(&mut self.part, parse_part(value)?),
            Field::Relay => put(&mut self.relay, parse_relay(value)?),
            Field::Reason => put(&mut self.reason, parse_reason(value)?),
        };
        match first {
            true => Ok(()),
            false => Err(DecodeError::Duplicate(field)),
        }
    }

    /// Returns the request id, which is optional only for kinds that do not belong to a request.
    fn request(&self, kind: PacketKind) -> Result<RequestId, DecodeError> {
        match kind {
            PacketKind::Data | PacketKind::Close | PacketKind::Reset => {
                Ok(self.request.unwrap_or_default())
            }
            PacketKind::Open
            | PacketKind::Request
            | PacketKind::Cancel
            | PacketKind::Answer
            | PacketKind::Refused
            | PacketKind::Unknown => self.request.ok_or(DecodeError::Missing(Field::Request)),
        }
    }

    /// Returns the part's index and whether it is the last part. Only answers must have a part.
    fn part(&self, kind: PacketKind) -> Result<(u32, bool), DecodeError> {
        match kind {
            PacketKind::Answer => self.part.ok_or(DecodeError::Missing(Field::Part)),
            _ => Ok(self.part.unwrap_or_default()),
        }
    }
}

/// Sets a value. Returns whether it was unset before.
fn put<T>(slot: &mut Option<T>, value: T) -> bool {
    slot.replace(value).is_none()
}

fn array<const N: usize>(field: Field, value: &[u8]) -> Result<[u8; N], DecodeError> {
    let length = value.len();
    <[u8; N]>::try_from(value).map_err(|_| DecodeError::Length { field, length })
}

fn byte(field: Field, value: &[u8]) -> Result<u8, DecodeError> {
    array::<1>(field, value).map(|[byte]| byte)
}

fn flag(field: Field, value: u8) -> Result<bool, DecodeError> {
    match value {
        0 => Ok(false),
        1 => Ok(true),
        _ => Err(DecodeError::Flag { field, value }),
    }
}

fn parse_kind(value: &[u8]) -> Result<PacketKind, DecodeError> {
    let kind = byte(Field::Kind, value)?;
    PacketKind::from_repr(kind).ok_or(DecodeError::UnknownKind(kind))
}

fn parse_reason(value: &[u8]) -> Result<Reason, DecodeError> {
    let reason = byte(Field::Reason, value)?;
    Reason::from_repr(reason).ok_or(DecodeError::UnknownReason(reason))
}

fn parse_part(value: &[u8]) -> Result<(u32, bool), DecodeError> {
    let [a, b, c, d, last] = array(Field::Part, value)?;
    Ok((u32::from_be_bytes([a, b, c, d]), flag(Field::Part, last)?))
}

fn parse_relay(value: &[u8]) -> Result<Relay, DecodeError> {
    let [purpose, hops, candidate, table, a, b, c, d] = array(Field::Relay, value)?;
    let possibly_executed = purpose & POSSIBLY_EXECUTED != 0;
    let purpose = purpose & !POSSIBLY_EXECUTED;
    let purpose = Purpose::from_repr(purpose).ok_or(DecodeError::UnknownPurpose(purpose))?;
    if hops > MAX_HOPS {
        return Err(DecodeError::Hops(hops));
    }
    Ok(Relay {
        purpose,
        hops,
        candidate,
        table,
        backend_server: BackendServerId(u32::from_be_bytes([a, b, c, d])),
        possibly_executed,
    })
}
