//! Encodes and decodes stored values.
//!
//! Decoding checks the form only; [`Configuration::check`] and [`Configuration::restore`] check
//! the content.
//!
//! [`Configuration::check`]: lovagespindle_decisions::config::Configuration::check
//! [`Configuration::restore`]: lovagespindle_decisions::config::Configuration::restore

use bytes::Bytes;
use lovagespindle_decisions::config::{
    Change,
    Record, //
};
use lovagespindle_decisions::ids::Revision;
use prost::Message;

pub use crate::codec_registry::{
    decode_registry,
    encode_registry, //
};
pub use crate::codec_snapshot::{
    Head,
    SnapshotReader,
    decode_head,
    encode_head,
    snapshot_parts, //
};
use crate::codec_value::{
    decode_operation,
    encode_operation, //
};
/// The encoded form of the configuration.
pub use crate::generated::lovagespindle::config as wire;

/// What is missing or wrong in an encoded message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Field {
    /// The change of an entry.
    Change,
    /// An address with 4 or 16 bytes and a port under 65,536.
    Address,
    /// A length of time with under 1,000,000,000 nanoseconds.
    Span,
    /// An operation id of 16 bytes.
    Operation,
    /// A known state of a zone.
    ZoneState,
    /// A known state of a backend server.
    ServerState,
    /// A known state of an instance.
    InstanceState,
    /// The revision that the key of a change names.
    Revision,
    /// The revision that all parts of a snapshot share.
    SnapshotRevision,
}

/// Why a message could not be decoded.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DecodeError {
    /// It is not an encoded message.
    #[error("the value is not a message of the schema: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A piece of it is missing or wrong; a later release may have written it.
    #[error("{0} is missing or unknown: update this instance if a later release wrote the value")]
    Invalid(Field),
}

/// Encodes a record.
pub fn encode_record(record: &Record) -> Bytes {
    wire::Record::from(record).encode_to_vec().into()
}

/// Decodes a record.
pub fn decode_record(bytes: &[u8]) -> Result<Record, DecodeError> {
    wire::Record::decode(bytes)?.try_into()
}

impl From<&Record> for wire::Record {
    fn from(record: &Record) -> wire::Record {
        wire::Record {
            revision: record.revision.0,
            operation: encode_operation(record.operation),
            changes: record.changes.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::Record> for Record {
    type Error = DecodeError;

    fn try_from(record: wire::Record) -> Result<Record, DecodeError> {
        let changes = record.changes.into_iter().map(Change::try_from);
        Ok(Record {
            revision: Revision(record.revision),
            operation: decode_operation(&record.operation)?,
            changes: changes.collect::<Result<_, _>>()?,
        })
    }
}
