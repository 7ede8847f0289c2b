//! Reads the configuration log and its snapshots.

use bytes::Bytes;
use lovagespindle_decisions::config::{
    Configuration,
    Record, //
};
use lovagespindle_decisions::ids::Revision;

use crate::client::Client;
use crate::codec::{
    DecodeError,
    Field,
    Head,
    SnapshotReader,
    decode_head,
    decode_record, //
};
use crate::error::StoreError;
use crate::generated::etcdserverpb::RangeRequest;
use crate::generated::etcdserverpb::range_request::{
    SortOrder,
    SortTarget, //
};
use crate::generated::mvccpb::KeyValue;
use crate::keys;
use crate::request;

/// Number of records in a page; 64 of the longest ones take 3.3 MB.
const PAGE: i64 = 64;

/// Number of attempts to read a snapshot, which another instance may replace during the read.
const SNAPSHOT_ATTEMPTS: u32 = 3;

/// The configuration changes after a revision.
pub(crate) struct ReadResult {
    /// A whole configuration, if the log no longer has all records after the revision.
    pub(crate) snapshot: Option<Configuration>,
    /// The records after the snapshot or, without one, after the requested revision.
    pub(crate) records: Vec<Record>,
    /// The store revision of the last read.
    pub(crate) store_revision: i64,
}

/// Reads the configuration changes after a revision.
///
/// Returns [`StoreError::Gap`] if a record is missing and no snapshot contains it.
pub(crate) async fn read_after(client: &Client, after: Revision) -> Result<ReadResult, StoreError> {
    // From revision 0, reading a snapshot is cheaper than reading the whole log.
    if after > Revision(0) {
        match records(client, after).await {
            Err(StoreError::Gap { .. }) => (),
            other => return other,
        }
    }
    let mut attempts = SNAPSHOT_ATTEMPTS;
    loop {
        attempts -= 1;
        match read_from_snapshot(client, after).await {
            Err(StoreError::Gap { .. }) if attempts > 0 => (),
            other => return other,
        }
    }
}

async fn read_from_snapshot(client: &Client, after: Revision) -> Result<ReadResult, StoreError> {
    let head = head(client).await?;
    if head.revision <= after {
        return records(client, after).await;
    }
    let snapshot = snapshot(client, head).await?;
    let mut result = records(client, head.revision).await?;
    result.snapshot = Some(snapshot);
    Ok(result)
}

/// Reads the reference to the newest snapshot; its revision is 0 if there is none.
pub(crate) async fn head(client: &Client) -> Result<Head, StoreError> {
    let key = Bytes::from_static(keys::HEAD.as_bytes());
    match client.get(key.clone()).await? {
        Some(value) => decode_head(&value).map_err(|source| corrupt(&key, source)),
        None => Ok(Head::default()),
    }
}

async fn snapshot(client: &Client, head: Head) -> Result<Configuration, StoreError> {
    let mut parts = Vec::new();
    for number in 0..head.parts {
        let key = keys::part(head.revision, number);
        let Some(part) = client.get(key.clone()).await? else {
            return Err(StoreError::Gap {
                after: head.revision,
            });
        };
        parts.push((key, part));
    }
    // Restoring a large configuration would block the async runtime noticeably.
    let restored = tokio::task::spawn_blocking(move || restore(head, &parts));
    restored.await.map_err(|_| StoreError::Stopping)?
}

fn restore(head: Head, parts: &[(Bytes, Bytes)]) -> Result<Configuration, StoreError> {
    let mut reader = SnapshotReader::new(head.revision);
    for (key, part) in parts {
        reader.add(part).map_err(|source| corrupt(key, source))?;
    }
    Ok(Configuration::restore(reader.into_parts())?)
}

/// Reads the records after a revision, page by page.
async fn records(client: &Client, after: Revision) -> Result<ReadResult, StoreError> {
    let mut records = Vec::new();
    let mut last = after;
    loop {
        let page = client.range(page(last)).await?;
        for kv in &page.kvs {
            let record = decode_change(kv)?;
            if record.revision.0 != last.0 + 1 {
                return Err(StoreError::Gap { after: last });
            }
            last = record.revision;
            records.push(record);
        }
        if !page.more {
            return Ok(ReadResult {
                snapshot: None,
                records,
                store_revision: request::revision(page.header.as_ref())?,
            });
        }
    }
}

fn page(after: Revision) -> RangeRequest {
    RangeRequest {
        key: keys::change(Revision(after.0.saturating_add(1))),
        range_end: keys::changes_end(),
        limit: PAGE,
        sort_order: SortOrder::Ascend.into(),
        sort_target: SortTarget::Key.into(),
        keys_only: false,
    }
}

/// Decodes a change.
///
/// Returns [`StoreError::Corrupt`] if the value is invalid or its revision differs from that of the
/// key.
pub(crate) fn decode_change(kv: &KeyValue) -> Result<Record, StoreError> {
    let record = decode_record(&kv.value).map_err(|source| corrupt(&kv.key, source))?;
    if keys::change_revision(&kv.key) != Some(record.revision) {
        return Err(corrupt(&kv.key, DecodeError::Invalid(Field::Revision)));
    }
    Ok(record)
}

pub(crate) fn corrupt(key: &[u8], source: DecodeError) -> StoreError {
    StoreError::Corrupt {
        key: String::from_utf8_lossy(key).into_owned(),
        source,
    }
}
