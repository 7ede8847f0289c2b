//! RPC handlers of the stand-in platform.

use std::mem;

use lovagespindle_store::generated::etcdserverpb::kv_server::Kv;
use lovagespindle_store::generated::etcdserverpb::lease_server::Lease;
use lovagespindle_store::generated::etcdserverpb::watch_request::RequestUnion;
use lovagespindle_store::generated::etcdserverpb::watch_server::Watch;
use lovagespindle_store::generated::etcdserverpb::{
    DeleteRangeRequest,
    DeleteRangeResponse,
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseKeepAliveRequest,
    LeaseKeepAliveResponse,
    LeaseRevokeRequest,
    LeaseRevokeResponse,
    PutRequest,
    PutResponse,
    RangeRequest,
    RangeResponse,
    RequestOp,
    TxnRequest,
    TxnResponse,
    WatchRequest,
    WatchResponse,
    request_op, //
};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::{
    Request,
    Response,
    Status,
    Streaming, //
};

use crate::platform::StoreTasks;
use crate::platform_data::Data;

/// Handlers that run each call on the state of the service.
#[derive(Clone)]
pub(crate) struct Calls {
    tasks: StoreTasks,
}

type Reply<T> = Result<Response<T>, Status>;
type ReplyStream<T> = UnboundedReceiverStream<Result<T, Status>>;

impl Calls {
    pub(crate) fn new(tasks: StoreTasks) -> Calls {
        Calls { tasks }
    }

    /// Counts a call and runs it with the injected faults, even if its client gives up.
    ///
    /// Returns an error if the service is down, the call fails or its reply is dropped.
    async fn call<T: Send + 'static>(
        &self,
        count: impl FnOnce(&mut Data) + Send + 'static,
        run: impl FnOnce(&mut Data) -> Result<T, Status> + Send + 'static,
    ) -> Result<T, Status> {
        let counted = move |data: &mut Data| {
            count(data);
            require_up(data).map(|()| data.faults.delay)
        };
        let delay = self.tasks.run(counted).await??;
        let tasks = self.tasks.clone();
        let call = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            tasks.run(move |data| run_or_drop_reply(data, run)).await?
        });
        let ended = call.await;
        ended.map_err(|_| Status::internal("the call panicked"))?
    }

    /// Waits while a write is held back.
    async fn wait_for_release(&self) -> Result<(), Status> {
        let Some(hold) = self.tasks.run(|data| data.faults.hold.take()).await? else {
            return Ok(());
        };
        // Both fail only if the test dropped its handle of the held write.
        let _ = hold.reached.send(());
        let _ = hold.release.await;
        Ok(())
    }
}

/// Returns whether an operation of a transaction writes a key.
fn is_put(op: &RequestOp) -> bool {
    matches!(op.request, Some(request_op::Request::RequestPut(_)))
}

fn require_up(data: &Data) -> Result<(), Status> {
    match data.faults.down {
        true => Err(Status::unavailable("the service is down")),
        false => Ok(()),
    }
}

fn run_or_drop_reply<T>(
    data: &mut Data,
    run: impl FnOnce(&mut Data) -> Result<T, Status>,
) -> Result<T, Status> {
    require_up(data)?;
    data.expire(Instant::now());
    let before = data.revision;
    let reply = run(data)?;
    if data.revision > before && mem::take(&mut data.faults.drop_reply) {
        return Err(Status::unavailable("the connection broke"));
    }
    Ok(reply)
}

#[tonic::async_trait]
impl Kv for Calls {
    async fn range(&self, request: Request<RangeRequest>) -> Reply<RangeResponse> {
        let request = request.into_inner();
        let run = move |data: &mut Data| Ok(data.range(&request));
        let reply = self.call(|data| data.counts.ranges += 1, run);
        reply.await.map(Response::new)
    }

    async fn put(&self, request: Request<PutRequest>) -> Reply<PutResponse> {
        let request = request.into_inner();
        let run = move |data: &mut Data| data.put(request);
        let reply = self.call(|data| data.counts.puts += 1, run);
        reply.await.map(Response::new)
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Reply<DeleteRangeResponse> {
        let request = request.into_inner();
        let run = move |data: &mut Data| Ok(data.delete_range(&request));
        let reply = self.call(|data| data.counts.deletes += 1, run);
        reply.await.map(Response::new)
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Reply<TxnResponse> {
        let request = request.into_inner();
        let calls = self.clone();
        let call = tokio::spawn(async move {
            if request.success.iter().any(is_put) {
                calls.wait_for_release().await?;
            }
            let run = move |data: &mut Data| data.txn(request);
            calls.call(|data| data.counts.txns += 1, run).await
        });
        let ended = call.await;
        let reply = ended.map_err(|_| Status::internal("the call panicked"))??;
        Ok(Response::new(reply))
    }
}

#[tonic::async_trait]
impl Lease for Calls {
    type LeaseKeepAliveStream = ReplyStream<LeaseKeepAliveResponse>;

    async fn lease_grant(&self, request: Request<LeaseGrantRequest>) -> Reply<LeaseGrantResponse> {
        let request = request.into_inner();
        let run = move |data: &mut Data| data.grant(&request, Instant::now());
        let reply = self.call(|data| data.counts.leases += 1, run);
        reply.await.map(Response::new)
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Reply<LeaseRevokeResponse> {
        let id = request.into_inner().id;
        let run = move |data: &mut Data| data.revoke(id);
        let reply = self.call(|data| data.counts.leases += 1, run);
        reply.await.map(Response::new)
    }

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Reply<Self::LeaseKeepAliveStream> {
        let mut requests = request.into_inner();
        let (replies, stream) = mpsc::unbounded_channel();
        let calls = self.clone();
        tokio::spawn(async move {
            while let Ok(Some(LeaseKeepAliveRequest { id })) = requests.message().await {
                let run = move |data: &mut Data| Ok(data.keep_alive(id, Instant::now()));
                let reply = calls.call(|data| data.counts.leases += 1, run).await;
                if replies.send(reply).is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(UnboundedReceiverStream::new(stream)))
    }
}

#[tonic::async_trait]
impl Watch for Calls {
    type WatchStream = ReplyStream<WatchResponse>;

    async fn watch(&self, request: Request<Streaming<WatchRequest>>) -> Reply<Self::WatchStream> {
        let mut requests = request.into_inner();
        let create = match requests.message().await?.and_then(|r| r.request_union) {
            Some(RequestUnion::CreateRequest(create)) => create,
            None => {
                return Err(Status::invalid_argument(
                    "the watch request has no create request",
                ));
            }
        };
        let (responses, stream) = mpsc::unbounded_channel();
        let open = move |data: &mut Data| {
            data.counts.events += data.watches.open(data.revision, create, responses);
            Ok(())
        };
        self.call(|data| data.counts.watches += 1, open).await?;
        Ok(Response::new(UnboundedReceiverStream::new(stream)))
    }
}
