//! Encodes and decodes values that several messages contain.

use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_decisions::config::{
    ServerState,
    ZoneState, //
};
use lovagespindle_decisions::ids::OperationId;

use crate::codec::{
    DecodeError,
    Field,
    wire, //
};

pub(crate) fn encode_address(address: SocketAddr) -> Option<wire::Address> {
    let ip = match address.ip() {
        IpAddr::V4(v4) => Bytes::copy_from_slice(&v4.octets()),
        IpAddr::V6(v6) => Bytes::copy_from_slice(&v6.octets()),
    };
    let port = u32::from(address.port());
    Some(wire::Address { ip, port })
}

pub(crate) fn decode_address(address: Option<wire::Address>) -> Result<SocketAddr, DecodeError> {
    let invalid = DecodeError::Invalid(Field::Address);
    let Some(address) = address else {
        return Err(invalid);
    };
    let ip = if let Ok(v4) = <[u8; 4]>::try_from(&address.ip[..]) {
        IpAddr::from(v4)
    } else if let Ok(v6) = <[u8; 16]>::try_from(&address.ip[..]) {
        IpAddr::from(v6)
    } else {
        return Err(invalid);
    };
    match u16::try_from(address.port) {
        Ok(port) => Ok(SocketAddr::new(ip, port)),
        Err(_) => Err(invalid),
    }
}

pub(crate) fn encode_span(span: Duration) -> Option<wire::Span> {
    Some(wire::Span {
        seconds: span.as_secs(),
        nanos: span.subsec_nanos(),
    })
}

pub(crate) fn decode_span(span: Option<wire::Span>) -> Result<Duration, DecodeError> {
    match span {
        Some(span) if span.nanos < 1_000_000_000 => Ok(Duration::new(span.seconds, span.nanos)),
        _ => Err(DecodeError::Invalid(Field::Span)),
    }
}

pub(crate) fn encode_operation(operation: OperationId) -> Bytes {
    Bytes::copy_from_slice(&operation.0.to_be_bytes())
}

pub(crate) fn decode_operation(bytes: &[u8]) -> Result<OperationId, DecodeError> {
    match <[u8; 16]>::try_from(bytes) {
        Ok(bytes) => Ok(OperationId(u128::from_be_bytes(bytes))),
        Err(_) => Err(DecodeError::Invalid(Field::Operation)),
    }
}

pub(crate) fn encode_zone_state(state: ZoneState) -> i32 {
    match state {
        ZoneState::In => wire::ZoneState::In.into(),
        ZoneState::Out => wire::ZoneState::Out.into(),
    }
}

pub(crate) fn decode_zone_state(state: i32) -> Result<ZoneState, DecodeError> {
    match wire::ZoneState::try_from(state) {
        Ok(wire::ZoneState::In) => Ok(ZoneState::In),
        Ok(wire::ZoneState::Out) => Ok(ZoneState::Out),
        _ => Err(DecodeError::Invalid(Field::ZoneState)),
    }
}

pub(crate) fn encode_server_state(state: ServerState) -> i32 {
    match state {
        ServerState::Active => wire::ServerState::Active.into(),
        ServerState::Draining => wire::ServerState::Draining.into(),
    }
}

pub(crate) fn decode_server_state(state: i32) -> Result<ServerState, DecodeError> {
    match wire::ServerState::try_from(state) {
        Ok(wire::ServerState::Active) => Ok(ServerState::Active),
        Ok(wire::ServerState::Draining) => Ok(ServerState::Draining),
        _ => Err(DecodeError::Invalid(Field::ServerState)),
    }
}
