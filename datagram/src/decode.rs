//! From bytes to packets.

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
    CUSTOM,
    DOUBT,
    Field,
    MAX_DATAGRAM, //
};
use crate::flow::flow_id;
use crate::services::Services;

/// A decoded datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Datagram {
    /// The packet.
    pub packet: Packet,
    /// What another instance said about it, if one passed it on.
    pub relay: Option<Relay>,
}

impl Datagram {
    /// Decodes a datagram that arrived at `now`.
    ///
    /// The payload is copied, so that a packet that waits in a queue holds no receive buffer.
    pub fn decode(bytes: &[u8], services: &Services, now: Time) -> Result<Datagram, DecodeError> {
        if bytes.len() > MAX_DATAGRAM {
            return Err(DecodeError::Oversized(bytes.len()));
        }
        let (header, length) = ProxyHeader::parse(bytes, PARSE).map_err(header_error)?;
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

    /// Returns the packet if a caller may have sent the datagram.
    pub fn from_caller(self) -> Result<Packet, DecodeError> {
        match self.packet.kind.from_caller() {
            _ if self.relay.is_some() => Err(DecodeError::Relayed),
            true => Ok(self.packet),
            false => Err(DecodeError::Direction(self.packet.kind)),
        }
    }

    /// Returns the packet if a backend server may have sent the datagram.
    pub fn from_server(self) -> Result<Packet, DecodeError> {
        match self.packet.kind.from_caller() {
            _ if self.relay.is_some() => Err(DecodeError::Relayed),
            true => Err(DecodeError::Direction(self.packet.kind)),
            false => Ok(self.packet),
        }
    }

    /// Returns the packet and its relay if an instance may have sent the datagram.
    pub fn from_instance(self) -> Result<(Relay, Packet), DecodeError> {
        let relay = self.relay.ok_or(DecodeError::Missing(Field::Relay))?;
        Ok((relay, self.packet))
    }
}

const PARSE: ParseConfig = ParseConfig {
    include_tlvs: true,
    allow_v1: false,
    allow_v2: true,
};

fn header_error(error: proxy_header::Error) -> DecodeError {
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

/// The TLVs of one datagram, each at most once.
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
                    None if CUSTOM.contains(&tlv) => return Err(DecodeError::UnknownTlv(tlv)),
                    None => {}
                },
                _ => {}
            }
        }
        Ok(fields)
    }

    fn set(&mut self, field: Field, value: &[u8]) -> Result<(), DecodeError> {
        let fresh = match field {
            Field::UniqueId => put(&mut self.unique, u128::from_be_bytes(exact(field, value)?)),
            Field::Kind => put(&mut self.kind, kind(value)?),
            Field::Request => {
                let request = u64::from_be_bytes(exact(field, value)?);
                put(&mut self.request, RequestId(request))
            }
            Field::Attempt => put(&mut self.attempt, byte(field, value)?),
            Field::Idempotent => put(&mut self.idempotent, flag(field, byte(field, value)?)?),
            Field::Deadline => {
                let millis = u32::from_be_bytes(exact(field, value)?);
                put(&mut self.remaining, Duration::from_millis(millis.into()))
            }
            Field::Part => put(&mut self.part, part(value)?),
            Field::Relay => put(&mut self.relay, relay(value)?),
            Field::Reason => put(&mut self.reason, reason(value)?),
        };
        match fresh {
            true => Ok(()),
            false => Err(DecodeError::Duplicate(field)),
        }
    }

    /// Returns the request, which only packets of no request may leave out.
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

    /// Returns the part and whether it is the last, which only answers must have.
    fn part(&self, kind: PacketKind) -> Result<(u32, bool), DecodeError> {
        match kind {
            PacketKind::Answer => self.part.ok_or(DecodeError::Missing(Field::Part)),
            _ => Ok(self.part.unwrap_or_default()),
        }
    }
}

/// Puts a value in an empty place; returns whether it was empty.
fn put<T>(place: &mut Option<T>, value: T) -> bool {
    place.replace(value).is_none()
}

fn exact<const N: usize>(field: Field, value: &[u8]) -> Result<[u8; N], DecodeError> {
    let length = value.len();
    <[u8; N]>::try_from(value).map_err(|_| DecodeError::Length { field, length })
}

fn byte(field: Field, value: &[u8]) -> Result<u8, DecodeError> {
    exact::<1>(field, value).map(|[byte]| byte)
}

fn flag(field: Field, value: u8) -> Result<bool, DecodeError> {
    match value {
        0 => Ok(false),
        1 => Ok(true),
        _ => Err(DecodeError::Flag { field, value }),
    }
}

fn kind(value: &[u8]) -> Result<PacketKind, DecodeError> {
    let kind = byte(Field::Kind, value)?;
    PacketKind::from_repr(kind).ok_or(DecodeError::UnknownKind(kind))
}

fn reason(value: &[u8]) -> Result<Reason, DecodeError> {
    let reason = byte(Field::Reason, value)?;
    Reason::from_repr(reason).ok_or(DecodeError::UnknownReason(reason))
}

fn part(value: &[u8]) -> Result<(u32, bool), DecodeError> {
    let [a, b, c, d, last] = exact(Field::Part, value)?;
    Ok((u32::from_be_bytes([a, b, c, d]), flag(Field::Part, last)?))
}

fn relay(value: &[u8]) -> Result<Relay, DecodeError> {
    let [purpose, hops, candidate, table, a, b, c, d] = exact(Field::Relay, value)?;
    let possibly_executed = purpose & DOUBT != 0;
    let purpose = purpose & !DOUBT;
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
