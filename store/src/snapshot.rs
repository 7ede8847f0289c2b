//! Writes snapshots of the configuration and deletes the changes before them.

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

/// The role of the only writer, held with a lease.
struct WriterLease {
    id: i64,
    /// The store revision at which the writer's key was created.
    created: i64,
    renewed: Instant,
}

/// Writes a snapshot if one is due and no other instance is writing it. Returns the revision of
/// the newest snapshot.
///
/// The snapshot is made of what is stored, so that it never contains anything else.
pub(crate) async fn write(client: &Client, settings: &Settings) -> Result<Revision, StoreError> {
    let head = read::head(client).await?;
    let Some(mut lease) = acquire_lease(client, settings).await? else {
        return Ok(head.revision);
    };
    let written = write_with_lease(client, settings, &mut lease).await;
    // Without an answer the lease ends by itself.
    let _ = client.revoke(lease.id).await;
    written
}

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
    let answer = client.txn(request).await?;
    if !answer.succeeded {
        client.revoke(id).await?;
        return Ok(None);
    }
    Ok(Some(WriterLease {
        id,
        created: request::revision(answer.header.as_ref())?,
        renewed,
    }))
}

async fn write_with_lease(
    client: &Client,
    settings: &Settings,
    lease: &mut WriterLease,
) -> Result<Revision, StoreError> {
    let before = read::head(client).await?;
    let configuration = stored(client).await?;
    let revision = configuration.revision;
    if revision.0 < before.revision.0 + settings.snapshot_every {
        return Ok(before.revision);
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
    publish(client, settings, lease, before, head).await
}

/// Reads the stored configuration.
async fn stored(client: &Client) -> Result<Configuration, StoreError> {
    let result = read::read_after(client, Revision(0)).await?;
    let mut configuration = result.snapshot.unwrap_or_default();
    for record in &result.records {
        configuration.apply(record)?;
    }
    Ok(configuration)
}

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

/// Names the new snapshot and deletes what it makes needless, if the lease still holds. The
/// snapshot before is kept for instances that are reading it.
async fn publish(
    client: &Client,
    settings: &Settings,
    lease: &WriterLease,
    before: Head,
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
            request::delete(keys::parts(), keys::parts_before(before.revision)),
        ],
        failure: Vec::new(),
    };
    if client.txn(request).await?.succeeded {
        return Ok(head.revision);
    }
    Err(StoreError::LeaseLost)
}
