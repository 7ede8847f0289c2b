//! Encodes snapshots of the configuration in parts of limited size and decodes them.

use bytes::Bytes;
use lovagespindle_decisions::config::{
    BackendServer,
    Configuration,
    Pool,
    Service,
    Zone, //
};
use lovagespindle_decisions::config_restore::ConfigParts;
use lovagespindle_decisions::ids::{
    BackendServerId,
    OperationId,
    PoolId,
    Revision,
    ServiceId,
    ZoneId, //
};
use prost::Message;

use crate::codec::{
    DecodeError,
    Field,
    wire, //
};
use crate::codec_value::{
    decode_address,
    decode_operation,
    decode_server_state,
    decode_span,
    decode_zone_state,
    encode_address,
    encode_operation,
    encode_server_state,
    encode_span,
    encode_zone_state, //
};

/// Refers to the newest snapshot.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// The revision of the snapshot; 0 if there is none.
    pub revision: Revision,
    /// Number of parts of the snapshot.
    pub parts: u32,
}

pub fn encode_head(head: Head) -> Bytes {
    let revision = head.revision.0;
    let parts = head.parts;
    let head = wire::SnapshotHead { revision, parts };
    head.encode_to_vec().into()
}

/// Decodes the reference to the newest snapshot.
///
/// Returns an error if the bytes are not a `SnapshotHead` message.
pub fn decode_head(bytes: &[u8]) -> Result<Head, DecodeError> {
    let head = wire::SnapshotHead::decode(bytes)?;
    Ok(Head {
        revision: Revision(head.revision),
        parts: head.parts,
    })
}

/// Encodes a configuration in parts of at most `limit` bytes. A part with a single row may exceed
/// the limit.
pub fn snapshot_parts(configuration: &Configuration, limit: usize) -> Vec<Bytes> {
    let mut writer = Writer::new(configuration, limit);
    for zone in configuration.zones.values() {
        writer.add(&encode_zone(zone), |part, row| part.zones.push(row));
    }
    for service in configuration.services.values() {
        writer.add(&encode_service(service), |part, row| {
            part.services.push(row)
        });
    }
    for pool in configuration.pools.values() {
        writer.add(&encode_pool(pool), |part, row| part.pools.push(row));
    }
    for server in configuration.servers.values() {
        writer.add(&encode_server(server), |part, row| part.servers.push(row));
    }
    for (operation, revision) in &configuration.operations {
        let row = wire::Operation {
            operation: encode_operation(*operation),
            revision: revision.0,
        };
        writer.add(&row, |part, row| part.operations.push(row));
    }
    writer.finish()
}

struct Writer {
    limit: usize,
    empty: wire::SnapshotPart,
    part: wire::SnapshotPart,
    /// The encoded length of `part`.
    length: usize,
    parts: Vec<Bytes>,
}

impl Writer {
    fn new(configuration: &Configuration, limit: usize) -> Writer {
        let empty = wire::SnapshotPart {
            revision: configuration.revision.0,
            next_id: configuration.next_id,
            ..wire::SnapshotPart::default()
        };
        Writer {
            limit,
            length: empty.encoded_len(),
            part: empty.clone(),
            empty,
            parts: Vec::new(),
        }
    }

    fn add<M: Message + Clone>(&mut self, row: &M, push: impl FnOnce(&mut wire::SnapshotPart, M)) {
        let length = row.encoded_len();
        // The tag takes one byte because all field numbers are below 16.
        let length = 1 + prost::length_delimiter_len(length) + length;
        if self.length + length > self.limit {
            self.flush();
        }
        self.length += length;
        push(&mut self.part, row.clone());
    }

    fn flush(&mut self) {
        self.parts.push(self.part.encode_to_vec().into());
        self.part = self.empty.clone();
        self.length = self.part.encoded_len();
    }

    fn finish(mut self) -> Vec<Bytes> {
        self.flush();
        self.parts
    }
}

/// Decodes a snapshot part by part.
#[derive(Debug, Default)]
pub struct SnapshotReader {
    parts: ConfigParts,
}

impl SnapshotReader {
    /// Creates a reader for the snapshot at `revision`.
    pub fn new(revision: Revision) -> SnapshotReader {
        let mut reader = SnapshotReader::default();
        reader.parts.revision = revision;
        reader
    }

    /// Decodes a part and adds its rows.
    ///
    /// Returns an error if the bytes are not a part, if the part belongs to a snapshot of another
    /// revision, or if a field is missing or invalid.
    pub fn add(&mut self, bytes: &[u8]) -> Result<(), DecodeError> {
        let part = wire::SnapshotPart::decode(bytes)?;
        if part.revision != self.parts.revision.0 {
            return Err(DecodeError::Invalid(Field::SnapshotRevision));
        }
        let parts = &mut self.parts;
        parts.next_id = part.next_id;
        add_all(&mut parts.zones, part.zones, decode_zone)?;
        add_all(&mut parts.services, part.services, decode_service)?;
        add_all(&mut parts.pools, part.pools, |p| Ok(decode_pool(p)))?;
        add_all(&mut parts.servers, part.servers, decode_server)?;
        add_all(&mut parts.operations, part.operations, decode_operation_row)
    }

    /// Returns the rows of all added parts.
    pub fn into_parts(self) -> ConfigParts {
        self.parts
    }
}

fn add_all<W, V>(
    rows: &mut Vec<V>,
    encoded: Vec<W>,
    decode: impl Fn(W) -> Result<V, DecodeError>,
) -> Result<(), DecodeError> {
    rows.reserve(encoded.len());
    for row in encoded {
        rows.push(decode(row)?);
    }
    Ok(())
}

fn encode_zone(zone: &Zone) -> wire::Zone {
    wire::Zone {
        id: zone.id.0,
        name: zone.name.clone(),
        region: zone.region.clone(),
        state: encode_zone_state(zone.state),
    }
}

fn decode_zone(zone: wire::Zone) -> Result<Zone, DecodeError> {
    Ok(Zone {
        id: ZoneId(zone.id),
        name: zone.name,
        region: zone.region,
        state: decode_zone_state(zone.state)?,
    })
}

fn encode_service(service: &Service) -> wire::Service {
    wire::Service {
        id: service.id.0,
        name: service.name.clone(),
        address: encode_address(service.address),
        idle: encode_span(service.idle),
    }
}

fn decode_service(service: wire::Service) -> Result<Service, DecodeError> {
    Ok(Service {
        id: ServiceId(service.id),
        name: service.name,
        address: decode_address(service.address)?,
        idle: decode_span(service.idle)?,
    })
}

fn encode_pool(pool: &Pool) -> wire::Pool {
    wire::Pool {
        id: pool.id.0,
        name: pool.name.clone(),
        service: pool.service.0,
        zone: pool.zone.0,
    }
}

fn decode_pool(pool: wire::Pool) -> Pool {
    Pool {
        id: PoolId(pool.id),
        name: pool.name,
        service: ServiceId(pool.service),
        zone: ZoneId(pool.zone),
    }
}

fn encode_server(server: &BackendServer) -> wire::Server {
    wire::Server {
        id: server.id.0,
        name: server.name.clone(),
        pool: server.pool.0,
        address: encode_address(server.address),
        health: encode_address(server.health),
        weight: server.weight,
        slots: server.slots,
        connections: server.connections,
        state: encode_server_state(server.state),
    }
}

fn decode_server(server: wire::Server) -> Result<BackendServer, DecodeError> {
    Ok(BackendServer {
        id: BackendServerId(server.id),
        name: server.name,
        pool: PoolId(server.pool),
        address: decode_address(server.address)?,
        health: decode_address(server.health)?,
        weight: server.weight,
        slots: server.slots,
        connections: server.connections,
        state: decode_server_state(server.state)?,
    })
}

fn decode_operation_row(row: wire::Operation) -> Result<(OperationId, Revision), DecodeError> {
    Ok((decode_operation(&row.operation)?, Revision(row.revision)))
}
