//! Writes snapshots of the configuration and deletes old changes.

use std::time::Instant;

use bytes::Bytes;
use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::ids::Revision;

use crate::client::Client;
use crate::codec::{
    Head,
    encode_head,
    snapshot_parts, //
};
use crate::error::StoreError;
use crate::generated::etcdserverpb::TxnRequest;
use crate::keys;
use crate::read;
use crate::request;
use crate::settings::Settings;

/// The lease of the only instance that may write a snapshot.
struct WriterLease {
    id: i64,
    /// The store revision at which the key [`keys::WRITER`] was created.
    created: i64,
    /// Time just before the latest renewal request, so the lease does not expire earlier than its
    /// time to live after this.
    renewed: Instant,
}

/// Writes a snapshot if one is due and no other instance is writing it. Returns the revision of
/// the newest snapshot.
///
/// The snapshot is built from the stored configuration and not from this instance's copy, so that
/// it contains exactly the changes in the log.
pub(crate) async fn write(client: &Client, settings: &Settings) -> Result<Revision, StoreError> {
    let head = read::head(client).await?;
    let Some(mut lease) = acquire_lease(client, settings).await? else {
        return Ok(head.revision);
    };
    let result = write_with_lease(client, settings, &mut lease).await;
    // If the call fails, the lease expires after its time to live.
    let _ = client.revoke(lease.id).await;
    result
}

/// Acquires the lease, or returns `None` if another instance holds it.
async fn acquire_lease(
    client: &Client,
    settings: &Settings,
) -> Result<Option<WriterLease>, StoreError> {
    let renewed = Instant::now();
    let id = client.grant(settings.writer_lease).await?;
    let key = Bytes::from_static(keys::WRITER.as_bytes());
    let request = TxnRequest {
        compare: vec![request::absent(key.clone())],
        success: vec![request::put(key, Bytes::new(), id)],
        failure: Vec::new(),
    };
    let response = client.txn(request).await?;
    if !response.succeeded {
        client.revoke(id).await?;
        return Ok(None);
    }
    Ok(Some(WriterLease {
        id,
        created: request::revision(response.header.as_ref())?,
        renewed,
    }))
}

async fn write_with_lease(
    client: &Client,
    settings: &Settings,
    lease: &mut WriterLease,
) -> Result<Revision, StoreError> {
    let previous = read::head(client).await?;
    let configuration = read_configuration(client).await?;
    let revision = configuration.revision;
    if revision.0 < previous.revision.0 + settings.snapshot_every {
        return Ok(previous.revision);
    }
    let limit = settings.part_bytes;
    let parts = tokio::task::spawn_blocking(move || snapshot_parts(&configuration, limit));
    let parts = parts.await.map_err(|_| StoreError::Stopping)?;
    let mut count = 0;
    for part in parts {
        renew(client, settings, lease).await?;
        client.put(keys::part(revision, count), part).await?;
        count += 1;
    }
    let head = Head {
        revision,
        parts: count,
    };
    publish(client, settings, lease, previous, head).await
}

async fn read_configuration(client: &Client) -> Result<Configuration, StoreError> {
    let result = read::read_after(client, Revision(0)).await?;
    let mut configuration = result.snapshot.unwrap_or_default();
    for record in &result.records {
        configuration.apply(record)?;
    }
    Ok(configuration)
}

/// Renews the lease after a third of its time to live.
async fn renew(
    client: &Client,
    settings: &Settings,
    lease: &mut WriterLease,
) -> Result<(), StoreError> {
    if lease.renewed.elapsed() < settings.writer_lease / 3 {
        return Ok(());
    }
    let renewed = Instant::now();
    client.keep_alive(lease.id).await?;
    lease.renewed = renewed;
    Ok(())
}

/// Publishes a new snapshot and deletes old changes and snapshots in one transaction, provided that
/// the lease is still valid. The previous snapshot is kept for instances that are reading it.
///
/// Returns [`StoreError::LeaseLost`] if the lease has expired.
async fn publish(
    client: &Client,
    settings: &Settings,
    lease: &WriterLease,
    previous: Head,
    head: Head,
) -> Result<Revision, StoreError> {
    let oldest = Revision(head.revision.0.saturating_sub(settings.kept_changes));
    let writer = Bytes::from_static(keys::WRITER.as_bytes());
    let name = Bytes::from_static(keys::HEAD.as_bytes());
    let request = TxnRequest {
        compare: vec![request::created_at(writer, lease.created)],
        success: vec![
            request::put(name, encode_head(head), 0),
            request::delete(keys::changes(), keys::change(oldest)),
            request::delete(keys::parts(), keys::parts_before(previous.revision)),
        ],
        failure: Vec::new(),
    };
    if client.txn(request).await?.succeeded {
        return Ok(head.revision);
    }
    Err(StoreError::LeaseLost)
}
