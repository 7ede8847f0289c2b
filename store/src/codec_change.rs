//! Encodes and decodes changes of the configuration.

use lovagespindle_decisions::config::Change;

use crate::codec::{
    DecodeError,
    Field,
    wire, //
};
use crate::codec_value::{
    decode_address,
    decode_server_state,
    decode_span,
    decode_zone_state,
    encode_address,
    encode_server_state,
    encode_span,
    encode_zone_state, //
};
use wire::change::Change as Kind;

impl From<&Change> for wire::Change {
    fn from(change: &Change) -> wire::Change {
        let change = Some(encode(change.clone()));
        wire::Change { change }
    }
}

impl TryFrom<wire::Change> for Change {
    type Error = DecodeError;

    fn try_from(change: wire::Change) -> Result<Change, DecodeError> {
        match change.change {
            Some(kind) => decode(kind),
            None => Err(DecodeError::Invalid(Field::Change)),
        }
    }
}

fn encode(change: Change) -> Kind {
    match change {
        Change::CreateZone { name, region } => Kind::CreateZone(wire::CreateZone { name, region }),
        Change::SetZone { name, state } => {
            let state = encode_zone_state(state);
            Kind::SetZone(wire::SetZone { name, state })
        }
        Change::DeleteZone { name } => Kind::DeleteZone(wire::DeleteZone { name }),
        Change::PutService {
            name,
            address,
            idle,
        } => Kind::PutService(wire::PutService {
            name,
            address: encode_address(address),
            idle: encode_span(idle),
        }),
        Change::DeleteService { name } => Kind::DeleteService(wire::DeleteService { name }),
        Change::CreatePool {
            name,
            service,
            zone,
        } => Kind::CreatePool(wire::CreatePool {
            name,
            service,
            zone,
        }),
        Change::DeletePool { name } => Kind::DeletePool(wire::DeletePool { name }),
        Change::PutServer {
            name,
            pool,
            address,
            health,
            weight,
            slots,
            connections,
        } => Kind::PutServer(wire::PutServer {
            name,
            pool,
            address: encode_address(address),
            health: encode_address(health),
            weight,
            slots,
            connections,
        }),
        Change::SetServer { name, state } => {
            let state = encode_server_state(state);
            Kind::SetServer(wire::SetServer { name, state })
        }
        Change::DeleteServer { name } => Kind::DeleteServer(wire::DeleteServer { name }),
    }
}

fn decode(kind: Kind) -> Result<Change, DecodeError> {
    Ok(match kind {
        Kind::CreateZone(c) => Change::CreateZone {
            name: c.name,
            region: c.region,
        },
        Kind::SetZone(c) => Change::SetZone {
            name: c.name,
            state: decode_zone_state(c.state)?,
        },
        Kind::DeleteZone(c) => Change::DeleteZone { name: c.name },
        Kind::PutService(c) => Change::PutService {
            name: c.name,
            address: decode_address(c.address)?,
            idle: decode_span(c.idle)?,
        },
        Kind::DeleteService(c) => Change::DeleteService { name: c.name },
        Kind::CreatePool(c) => Change::CreatePool {
            name: c.name,
            service: c.service,
            zone: c.zone,
        },
        Kind::DeletePool(c) => Change::DeletePool { name: c.name },
        Kind::PutServer(c) => Change::PutServer {
            name: c.name,
            pool: c.pool,
            address: decode_address(c.address)?,
            health: decode_address(c.health)?,
            weight: c.weight,
            slots: c.slots,
            connections: c.connections,
        },
        Kind::SetServer(c) => Change::SetServer {
            name: c.name,
            state: decode_server_state(c.state)?,
        },
        Kind::DeleteServer(c) => Change::DeleteServer { name: c.name },
    })
}
