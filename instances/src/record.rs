//! Configuration records inside control messages, encoded as the platform stores them.

use bytes::Bytes;
use lovagespindle_decisions::config::Record;
use lovagespindle_store::codec::{
    decode_record,
    encode_record, //
};

use crate::error::{
    Field,
    FrameError, //
};

/// Encodes a record.
pub(crate) fn encode(record: &Record) -> Bytes {
    encode_record(record)
}

/// Decodes a record.
pub(crate) fn decode(bytes: Bytes) -> Result<Record, FrameError> {
    decode_record(&bytes).map_err(|_| FrameError::Invalid(Field::Record))
}
