//! Reads the instance registry in the platform's key-value service, and adds and removes entries.

use bytes::Bytes;
use kameo::actor::Recipient;
use log::debug;
use lovagespindle_decisions::Event;
use lovagespindle_decisions::event::RegistryEntry;
use lovagespindle_decisions::ids::{
    InstanceId,
    ZoneId, //
};

use crate::backoff::Backoff;
use crate::client::Client;
use crate::codec::{
    decode_registry,
    encode_registry, //
};
use crate::error::StoreError;
use crate::generated::etcdserverpb::{
    RequestOp,
    TxnRequest, //
};
use crate::keys;
use crate::read::corrupt;
use crate::request;
use crate::settings::Settings;

/// Reads the registry entries of some availability zones repeatedly until the recipient has
/// stopped. The first read is immediate; each further one follows after a random time between half
/// of `list_interval` and `list_interval`, or after the backoff delay if the previous read failed.
pub(crate) async fn poll(
    client: Client,
    settings: Settings,
    zones: Vec<(String, ZoneId)>,
    mut backoff: Backoff,
    recipient: Recipient<Event>,
) {
    loop {
        match read(&client, &zones).await {
            Ok(entries) => {
                if recipient.tell(Event::Registry(entries)).await.is_err() {
                    return;
                }
                backoff.reset();
                backoff.wait_about(settings.list_interval).await;
            }
            Err(error) => {
                debug!("failed to read the instance registry: {error}");
                backoff.wait().await;
            }
        }
    }
}

/// Reads the entries of all `zones` in one transaction.
async fn read(
    client: &Client,
    zones: &[(String, ZoneId)],
) -> Result<Vec<RegistryEntry>, StoreError> {
    let gets = zones
        .iter()
        .map(|(name, _)| request::get_range(keys::instances(name), keys::instances_end(name)));
    let request = TxnRequest {
        success: gets.collect(),
        ..TxnRequest::default()
    };
    let response = client.txn(request).await?;
    let mut registry = Vec::new();
    for (kvs, (_, zone)) in request::ranges(response.responses)?.iter().zip(zones) {
        for kv in kvs {
            let entries = decode_registry(&kv.value, *zone);
            registry.extend(entries.map_err(|source| corrupt(&kv.key, source))?);
        }
    }
    Ok(registry)
}

/// Adds an instance to the registry or replaces its existing entry.
pub(crate) async fn register(
    client: &Client,
    zone: &str,
    entry: RegistryEntry,
) -> Result<(), StoreError> {
    let key = keys::instance(zone, entry.member.id);
    let put = request::put(key, encode_registry(&[entry]), 0);
    write(client, put).await
}

/// Removes the entry of an instance from the registry.
pub(crate) async fn deregister(
    client: &Client,
    zone: &str,
    instance: InstanceId,
) -> Result<(), StoreError> {
    let delete = request::delete(keys::instance(zone, instance), Bytes::new());
    write(client, delete).await
}

async fn write(client: &Client, op: RequestOp) -> Result<(), StoreError> {
    let request = TxnRequest {
        success: vec![op],
        ..TxnRequest::default()
    };
    client.txn(request).await?;
    Ok(())
}
