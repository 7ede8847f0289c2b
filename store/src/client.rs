//! Calls to the platform's key-value service.

use std::time::Duration;

use bytes::Bytes;
use kameo::actor::WeakActorRef;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{
    Channel,
    Endpoint, //
};
use tonic::{
    Response,
    Status,
    Streaming, //
};

use crate::error::StoreError;
use crate::generated::etcdserverpb::kv_client::KvClient;
use crate::generated::etcdserverpb::lease_client::LeaseClient;
use crate::generated::etcdserverpb::watch_client::WatchClient;
use crate::generated::etcdserverpb::{
    LeaseGrantRequest,
    LeaseKeepAliveRequest,
    LeaseRevokeRequest,
    PutRequest,
    RangeRequest,
    RangeResponse,
    TxnRequest,
    TxnResponse,
    WatchRequest,
    WatchResponse, //
};
use crate::settings::Settings;
use crate::store::{
    CallOutcome,
    Store, //
};

/// The longest response: a page of the longest records.
const MAX_RESPONSE: usize = 8 << 20;

/// Makes calls, each with a timeout, and reports each to the store's actor.
#[derive(Clone)]
pub(crate) struct Client {
    channel: Channel,
    timeout: Duration,
    store: WeakActorRef<Store>,
}

/// A waiting watch. Dropping it ends the watch.
pub(crate) struct Watch {
    pub(crate) responses: Streaming<WatchResponse>,
    _requests: mpsc::Sender<WatchRequest>,
}

pub(crate) fn endpoint(settings: &Settings) -> Result<Endpoint, StoreError> {
    let endpoint = Endpoint::from_shared(settings.endpoint.clone());
    Ok(endpoint
        .map_err(StoreError::Endpoint)?
        .connect_timeout(settings.call_timeout)
        .http2_keep_alive_interval(settings.probe_interval)
        .keep_alive_timeout(settings.probe_timeout)
        .keep_alive_while_idle(true))
}

impl Client {
    pub(crate) fn new(
        endpoint: &Endpoint,
        timeout: Duration,
        store: WeakActorRef<Store>,
    ) -> Client {
        Client {
            channel: endpoint.connect_lazy(),
            timeout,
            store,
        }
    }

    pub(crate) async fn range(&self, request: RangeRequest) -> Result<RangeResponse, StoreError> {
        let mut kv = self.kv();
        self.call(kv.range(request)).await
    }

    pub(crate) async fn get(&self, key: Bytes) -> Result<Option<Bytes>, StoreError> {
        let request = RangeRequest {
            key,
            ..RangeRequest::default()
        };
        let mut found = self.range(request).await?.kvs;
        Ok(found.pop().map(|kv| kv.value))
    }

    pub(crate) async fn put(&self, key: Bytes, value: Bytes) -> Result<(), StoreError> {
        let mut kv = self.kv();
        let lease = 0;
        let request = PutRequest { key, value, lease };
        self.call(kv.put(request)).await.map(drop)
    }

    pub(crate) async fn txn(&self, request: TxnRequest) -> Result<TxnResponse, StoreError> {
        let mut kv = self.kv();
        self.call(kv.txn(request)).await
    }

    pub(crate) async fn grant(&self, length: Duration) -> Result<i64, StoreError> {
        let mut lease = LeaseClient::new(self.channel.clone());
        let ttl = i64::try_from(length.as_secs()).unwrap_or(i64::MAX).max(1);
        let request = LeaseGrantRequest { ttl, id: 0 };
        Ok(self.call(lease.lease_grant(request)).await?.id)
    }

    pub(crate) async fn keep_alive(&self, id: i64) -> Result<(), StoreError> {
        let mut lease = LeaseClient::new(self.channel.clone());
        let requests = tokio_stream::once(LeaseKeepAliveRequest { id });
        let answer = async {
            let mut answers = lease.lease_keep_alive(requests).await?.into_inner();
            answers.message().await.map(Response::new)
        };
        match self.call(answer).await? {
            Some(answer) if answer.ttl > 0 => Ok(()),
            _ => Err(StoreError::LeaseLost),
        }
    }

    pub(crate) async fn revoke(&self, id: i64) -> Result<(), StoreError> {
        let mut lease = LeaseClient::new(self.channel.clone());
        let request = LeaseRevokeRequest { id };
        self.call(lease.lease_revoke(request)).await.map(drop)
    }

    /// Opens a watch, which counts as one call as long as it waits.
    pub(crate) async fn watch(&self, create: WatchRequest) -> Result<Watch, StoreError> {
        let mut watch =
            WatchClient::new(self.channel.clone()).max_decoding_message_size(MAX_RESPONSE);
        let (requests, receiver) = mpsc::channel(1);
        requests
            .try_send(create)
            .map_err(|_| StoreError::Stopping)?;
        let receiver = ReceiverStream::new(receiver);
        let opened = async {
            let mut responses = watch.watch(receiver).await?.into_inner();
            // The first response confirms the watch or refuses it.
            match responses.message().await? {
                Some(first) if first.canceled => Ok(Response::new((responses, Some(first)))),
                Some(_) => Ok(Response::new((responses, None))),
                None => Err(Status::unavailable("the watch ended before it began")),
            }
        };
        match self.call(opened).await? {
            (_, Some(refused)) if refused.compact_revision > 0 => Err(StoreError::Compacted),
            (_, Some(refused)) => Err(StoreError::Refused(Box::new(Status::cancelled(
                refused.cancel_reason,
            )))),
            (responses, None) => Ok(Watch {
                responses,
                _requests: requests,
            }),
        }
    }

    /// Reports a watch that broke after it had opened.
    pub(crate) async fn report_break(&self) {
        self.report(CallOutcome::WatchBroken).await;
    }

    fn kv(&self) -> KvClient<Channel> {
        KvClient::new(self.channel.clone()).max_decoding_message_size(MAX_RESPONSE)
    }

    async fn call<T>(
        &self,
        call: impl Future<Output = Result<Response<T>, Status>>,
    ) -> Result<T, StoreError> {
        let result = match tokio::time::timeout(self.timeout, call).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(StoreError::from(status)),
            Err(_) => Err(StoreError::Timeout),
        };
        let outcome = match &result {
            Err(error) if error.is_outage() => CallOutcome::Failed,
            _ => CallOutcome::Answered,
        };
        self.report(outcome).await;
        result
    }

    async fn report(&self, outcome: CallOutcome) {
        if let Some(store) = self.store.upgrade() {
            // Fails only while the store is stopping.
            let _ = store.tell(outcome).await;
        }
    }
}
