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

/// Appends a record if the log ends at the revision before it. Returns the revision of the record.
///
/// A write without a response is sent up to `attempts` times. The retry is safe: it either creates
/// the record or finds that an earlier attempt did.
///
/// Returns [`StoreError::Conflict`] if another record was written first, and
/// [`StoreError::Unknown`] if no attempt got a response.
pub(crate) async fn append(
    client: &Client,
    record: &Record,
    attempts: u32,
    mut backoff: Backoff,
) -> Result<Revision, StoreError> {
    // Reads before the first write, so that an outage is reported as such and not as an unknown
    // outcome.
    let found = client.txn(lookup(record)).await?;
    if let Some(outcome) = check_log(record, found.responses)? {
        return outcome;
    }
    for _ in 0..attempts.max(1) {
        match client.txn(create(record)).await {
            Ok(response) if response.succeeded => return Ok(record.revision),
            Ok(response) => return rejected_outcome(record, response.responses),
            Err(error) if error.is_outage() => backoff.wait().await,
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unknown {
        revision: record.revision,
    })
}

fn lookup(record: &Record) -> TxnRequest {
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
        compare: vec![
            request::absent(key.clone()),
            requires_previous(record.revision),
        ],
        success: vec![request::put(key, value, 0)],
        failure: lookup(record).success,
    }
}

/// Requires that the log contains the previous change, so that it has no gap and a delayed write
/// cannot restore a change that was deleted.
fn requires_previous(revision: Revision) -> Compare {
    match revision.0 {
        0 | 1 => request::absent(Bytes::from_static(keys::HEAD.as_bytes())),
        n => request::present(keys::change(Revision(n - 1))),
    }
}

/// Returns the outcome of a write whose conditions were not met.
fn rejected_outcome(record: &Record, responses: Vec<ResponseOp>) -> Result<Revision, StoreError> {
    match check_log(record, responses)? {
        Some(outcome) => outcome,
        // The log ends at the revision before the record, so the conditions should have been met.
        None => Err(StoreError::Protocol),
    }
}

/// Returns the outcome, or `None` if the log ends at the revision before the record.
fn check_log(
    record: &Record,
    responses: Vec<ResponseOp>,
) -> Result<Option<Result<Revision, StoreError>>, StoreError> {
    let ranges = request::ranges(responses)?;
    let [existing, latest] =
        <[Vec<KeyValue>; 2]>::try_from(ranges).map_err(|_| StoreError::Protocol)?;
    let latest = latest.first().map(|kv| keys::change_revision(&kv.key));
    let current = match latest {
        Some(revision) => revision.ok_or(StoreError::Protocol)?,
        None => Revision(0),
    };
    if let Some(existing) = existing.first()
        && decode_change(existing)?.operation == record.operation
    {
        return Ok(Some(Ok(record.revision)));
    }
    if current.0.checked_add(1) == Some(record.revision.0) {
        return Ok(None);
    }
    Ok(Some(Err(StoreError::Conflict { current })))
}
