//! Appends records to the configuration log.

use bytes::Bytes;
use lovagespindle_decisions::config::Record;
use lovagespindle_decisions::ids::Revision;

use crate::backoff::Backoff;
use crate::client::Client;
use crate::codec::encode_record;
use crate::error::StoreError;
use crate::generated::etcdserverpb::{
    Compare,
    ResponseOp,
    TxnRequest, //
};
use crate::generated::mvccpb::KeyValue;
use crate::keys;
use crate::read::decode_change;
use crate::request;

/// Appends a record if the log ends just before it.
///
/// A write without an answer is sent again: it creates the record or finds it there.
pub(crate) async fn append(
    client: &Client,
    record: &Record,
    attempts: u32,
    mut backoff: Backoff,
) -> Result<Revision, StoreError> {
    // Shows that the service answers, so that an outage is not reported as an unknown outcome.
    let looked = client.txn(look(record)).await?;
    if let Some(outcome) = judge(record, looked.responses)? {
        return outcome;
    }
    for _ in 0..attempts.max(1) {
        match client.txn(create(record)).await {
            Ok(answer) if answer.succeeded => return Ok(record.revision),
            Ok(answer) => return settle(record, answer.responses),
            Err(error) if error.is_outage() => backoff.pause().await,
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unknown {
        revision: record.revision,
    })
}

fn look(record: &Record) -> TxnRequest {
    TxnRequest {
        compare: Vec::new(),
        success: vec![
            request::get(keys::change(record.revision)),
            request::latest_change(),
        ],
        failure: Vec::new(),
    }
}

fn create(record: &Record) -> TxnRequest {
    let key = keys::change(record.revision);
    let value = encode_record(record);
    TxnRequest {
        compare: vec![request::absent(key.clone()), follows(record.revision)],
        success: vec![request::put(key, value, 0)],
        failure: look(record).success,
    }
}

/// Requires the change before, so that the log has no gap and a late write cannot bring a change
/// back that was deleted.
fn follows(revision: Revision) -> Compare {
    match revision.0 {
        0 | 1 => request::absent(Bytes::from_static(keys::HEAD.as_bytes())),
        n => request::present(keys::change(Revision(n - 1))),
    }
}

/// Returns the outcome of a write whose conditions did not hold.
fn settle(record: &Record, responses: Vec<ResponseOp>) -> Result<Revision, StoreError> {
    match judge(record, responses)? {
        Some(outcome) => outcome,
        // The log ends just before the record, but the service says that it does not.
        None => Err(StoreError::Protocol),
    }
}

/// Returns the outcome if the log does not end just before the record.
fn judge(
    record: &Record,
    responses: Vec<ResponseOp>,
) -> Result<Option<Result<Revision, StoreError>>, StoreError> {
    let ranges = request::ranges(responses)?;
    let [own, latest] = <[Vec<KeyValue>; 2]>::try_from(ranges).map_err(|_| StoreError::Protocol)?;
    let latest = latest.first().map(|kv| keys::change_revision(&kv.key));
    let current = match latest {
        Some(revision) => revision.ok_or(StoreError::Protocol)?,
        None => Revision(0),
    };
    if let Some(own) = own.first()
        && decode_change(own)?.operation == record.operation
    {
        return Ok(Some(Ok(record.revision)));
    }
    if current.0.checked_add(1) == Some(record.revision.0) {
        return Ok(None);
    }
    Ok(Some(Err(StoreError::Conflict { current })))
}
