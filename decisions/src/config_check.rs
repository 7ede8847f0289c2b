//! Validates single values of the configuration.

use std::net::SocketAddr;
use std::time::Duration;

use crate::config_error::{
    ConfigError,
    Field,
    Kind, //
};

const MAX_NAME: usize = 63;
const MAX_WEIGHT: u32 = 1000;

pub(crate) fn name(kind: Kind, name: &str) -> Result<(), ConfigError> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    if name.is_empty() || name.len() > MAX_NAME || !name.bytes().all(allowed) {
        return Err(ConfigError::InvalidName {
            kind,
            name: name.to_owned(),
        });
    }
    Ok(())
}

/// Rejects a scope or a flow label as well, because they have no meaning on another instance.
pub(crate) fn address(kind: Kind, name: &str, address: SocketAddr) -> Result<(), ConfigError> {
    let local = match address {
        SocketAddr::V4(_) => false,
        SocketAddr::V6(v6) => v6.scope_id() != 0 || v6.flowinfo() != 0,
    };
    if local || address.port() == 0 || address.ip().is_unspecified() {
        return Err(ConfigError::InvalidAddress {
            kind,
            name: name.to_owned(),
            address,
        });
    }
    Ok(())
}

pub(crate) fn idle(name: &str, idle: Duration) -> Result<(), ConfigError> {
    let millis = u64::try_from(idle.as_millis()).unwrap_or(u64::MAX);
    range(Field::Idle, name, millis, 1, u64::MAX)
}

pub(crate) fn weight(name: &str, weight: u32) -> Result<(), ConfigError> {
    range(
        Field::Weight,
        name,
        u64::from(weight),
        1,
        u64::from(MAX_WEIGHT),
    )
}

pub(crate) fn capacity(field: Field, name: &str, value: u32) -> Result<(), ConfigError> {
    range(field, name, u64::from(value), 1, u64::from(u32::MAX))
}

fn range(field: Field, name: &str, value: u64, min: u64, max: u64) -> Result<(), ConfigError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ConfigError::OutOfRange {
        field,
        name: name.to_owned(),
        value,
        min,
        max,
    })
}
