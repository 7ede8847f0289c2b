//! Reads and keeps the platform's list of instances.

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
    decode_list,
    encode_list, //
};
use crate::error::StoreError;
use crate::generated::etcdserverpb::{
    RequestOp,
    TxnRequest, //
};
use crate::keys;
use crate::read::damaged;
use crate::request;
use crate::settings::Settings;

/// Reads the list of some zones again and again, at once for the first time.
pub(crate) async fn poll(
    client: Client,
    settings: Settings,
    zones: Vec<(String, ZoneId)>,
    mut backoff: Backoff,
    recipient: Recipient<Event>,
) {
    loop {
        match read(&client, &zones).await {
            Ok(list) => {
                if recipient.tell(Event::Registry(list)).await.is_err() {
                    return;
                }
                backoff.reset();
                backoff.pause_about(settings.list_interval).await;
            }
            Err(error) => {
                debug!("the list of instances was not read: {error}");
                backoff.pause().await;
            }
        }
    }
}

/// Reads the list of some zones with one call.
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
    let answer = client.txn(request).await?;
    let mut list = Vec::new();
    for (kvs, (_, zone)) in request::ranges(answer.responses)?.iter().zip(zones) {
        for kv in kvs {
            let listed = decode_list(&kv.value, *zone);
            list.extend(listed.map_err(|source| damaged(&kv.key, source))?);
        }
    }
    Ok(list)
}

/// Puts an instance on the list of its zone, in place of its earlier entry.
pub(crate) async fn enlist(
    client: &Client,
    zone: &str,
    listed: RegistryEntry,
) -> Result<(), StoreError> {
    let key = keys::instance(zone, listed.member.id);
    let put = request::put(key, encode_list(&[listed]), 0);
    change(client, put).await
}

/// Takes an instance off the list of its zone.
pub(crate) async fn unlist(
    client: &Client,
    zone: &str,
    instance: InstanceId,
) -> Result<(), StoreError> {
    let delete = request::delete(keys::instance(zone, instance), Bytes::new());
    change(client, delete).await
}

async fn change(client: &Client, op: RequestOp) -> Result<(), StoreError> {
    let request = TxnRequest {
        success: vec![op],
        ..TxnRequest::default()
    };
    client.txn(request).await?;
    Ok(())
}
