//! Encodes and decodes stored values.
//!
//! Decoding validates the encoding only. [`Configuration::check`] and [`Configuration::restore`]
//! validate the content.
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
/// Protobuf messages of the configuration.
pub use crate::generated::lovagespindle::config as wire;

/// A field that is missing or invalid in an encoded message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Field {
    /// The kind of a change.
    Change,
    /// An IP address of 4 or 16 bytes and a port below 65,536.
    Address,
    /// A duration with less than 1,000,000,000 nanoseconds besides the seconds.
    Span,
    /// An operation id of 16 bytes.
    Operation,
    ZoneState,
    ServerState,
    InstanceState,
    /// The revision of a record, which must be the one in its key.
    Revision,
    /// The revision of a part, which must be the snapshot's.
    SnapshotRevision,
}

/// Why a stored value could not be decoded.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DecodeError {
    /// The value is not a protobuf message of the expected type.
    #[error("invalid protobuf message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A field is missing or has an unknown value. A later release may have written it.
    #[error(
        "field {0} is missing or invalid: update this instance if a later release wrote the value"
    )]
    Invalid(Field),
}

pub fn encode_record(record: &Record) -> Bytes {
    wire::Record::from(record).encode_to_vec().into()
}

/// Decodes a record.
///
/// Returns an error if the bytes are not a record or if a field is missing or invalid.
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
