//! Configuration records in control messages, which have the encoding of the platform's store.

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

pub(crate) fn encode(record: &Record) -> Bytes {
    encode_record(record)
}

/// Decodes a record. Returns [`FrameError::Invalid`] if the store's codec rejects it.
pub(crate) fn decode(bytes: Bytes) -> Result<Record, FrameError> {
    decode_record(&bytes).map_err(|_| FrameError::Invalid(Field::Record))
}
