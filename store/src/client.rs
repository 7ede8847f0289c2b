//! Calls of the platform's key-value service.

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

/// Maximum size of a response in bytes; a page of records of maximum size fits.
const MAX_RESPONSE: usize = 8 << 20;

/// Makes calls, each with a timeout, and reports their outcomes to the [`Store`].
#[derive(Clone)]
pub(crate) struct Client {
    channel: Channel,
    timeout: Duration,
    store: WeakActorRef<Store>,
}

/// An open watch. Dropping it closes the watch.
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

    pub(crate) async fn grant(&self, lifetime: Duration) -> Result<i64, StoreError> {
        let mut lease = LeaseClient::new(self.channel.clone());
        let ttl = i64::try_from(lifetime.as_secs()).unwrap_or(i64::MAX).max(1);
        let request = LeaseGrantRequest { ttl, id: 0 };
        Ok(self.call(lease.lease_grant(request)).await?.id)
    }

    pub(crate) async fn keep_alive(&self, id: i64) -> Result<(), StoreError> {
        let mut lease = LeaseClient::new(self.channel.clone());
        let requests = tokio_stream::once(LeaseKeepAliveRequest { id });
        let response = async {
            let mut responses = lease.lease_keep_alive(requests).await?.into_inner();
            responses.message().await.map(Response::new)
        };
        match self.call(response).await? {
            Some(response) if response.ttl > 0 => Ok(()),
            _ => Err(StoreError::LeaseLost),
        }
    }

    pub(crate) async fn revoke(&self, id: i64) -> Result<(), StoreError> {
        let mut lease = LeaseClient::new(self.channel.clone());
        let request = LeaseRevokeRequest { id };
        self.call(lease.lease_revoke(request)).await.map(drop)
    }

    /// Opens a watch, which counts as one call for as long as it is open.
    ///
    /// Returns [`StoreError::Compacted`] if the service no longer has the first requested change.
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
            // The first response accepts or rejects the watch.
            match responses.message().await? {
                Some(first) if first.canceled => Ok(Response::new((responses, Some(first)))),
                Some(_) => Ok(Response::new((responses, None))),
                None => Err(Status::unavailable(
                    "the watch closed before its first response",
                )),
            }
        };
        match self.call(opened).await? {
            (_, Some(rejected)) if rejected.compact_revision > 0 => Err(StoreError::Compacted),
            (_, Some(rejected)) => Err(StoreError::Refused(Box::new(Status::cancelled(
                rejected.cancel_reason,
            )))),
            (responses, None) => Ok(Watch {
                responses,
                _requests: requests,
            }),
        }
    }

    /// Reports an open watch that failed.
    pub(crate) async fn report_broken_watch(&self) {
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
            // Fails only during shutdown.
            let _ = store.tell(outcome).await;
        }
    }
}
