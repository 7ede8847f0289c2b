//! gRPC server for operators. It is stateless and obtains all replies from other actors of the
//! daemon.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{
    ActorRef,
    ReplyRecipient, //
};
use kameo::error::SendError;
use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::ids::Revision;
use lovagespindle_decisions::status::Status as InstanceStatus;
use tokio::net::TcpListener;
use tokio::sync::{
    mpsc,
    watch, //
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::decode;
use crate::encode;
use crate::filter::{
    EntrySubject,
    Selection, //
};
use crate::follow::Follower;
use crate::generated::v1;
use crate::generated::v1::operators_server::{
    Operators,
    OperatorsServer, //
};
use crate::messages::{
    ApplyChanges,
    ApplyError,
    ExplainFlow,
    FlowExplanation,
    FollowTimeline,
    GetStatus,
    ReadConfiguration,
    ReadTimeline,
    TimelineStream, //
};
use crate::names::Names;
use crate::select;
use crate::timeline::Entry;

/// Number of messages buffered for a slow reader of the timeline. Further entries stay in the
/// channel of the timeline until the reader lags too far and its stream is closed.
const FOLLOW_QUEUE: usize = 64;

/// Interval and timeout of HTTP/2 keepalive pings. They close connections of unreachable operators,
/// which would otherwise hold sockets and timeline streams permanently.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// Actors that handle the calls.
#[derive(Clone)]
pub struct Recipients {
    /// Writes changes to the store.
    pub apply: ReplyRecipient<ApplyChanges, Revision, ApplyError>,
    /// Holds the active configuration.
    pub configuration: ReplyRecipient<ReadConfiguration, Arc<Configuration>>,
    /// Reports the status of the instance.
    pub status: ReplyRecipient<GetStatus, InstanceStatus>,
    /// Explains flows.
    pub explain: ReplyRecipient<ExplainFlow, FlowExplanation>,
    /// Returns timeline entries.
    pub timeline: ReplyRecipient<ReadTimeline, Vec<Entry>>,
    /// Streams timeline entries.
    pub follow: ReplyRecipient<FollowTimeline, TimelineStream>,
}

/// Actor whose lifetime bounds the server. When it stops, calls in progress are finished and
/// timeline streams end.
pub struct OperatorServer {
    /// Dropping the sender shuts the server down.
    _stop: watch::Sender<()>,
}

impl Actor for OperatorServer {
    type Args = (TcpListener, Recipients);
    type Error = Infallible;

    async fn on_start(
        (listener, recipients): Self::Args,
        _: ActorRef<Self>,
    ) -> Result<OperatorServer, Infallible> {
        let (stop, stopped) = watch::channel(());
        tokio::spawn(serve(listener, recipients, stopped));
        Ok(OperatorServer { _stop: stop })
    }
}

async fn serve(listener: TcpListener, recipients: Recipients, stopped: watch::Receiver<()>) {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let calls = Calls {
        recipients,
        stopped: stopped.clone(),
    };
    let mut stopped = stopped;
    let stop = async move {
        // `changed` returns an error when the sender is dropped, which is the signal to stop.
        let _ = stopped.changed().await;
    };
    let served = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .add_service(OperatorsServer::new(calls))
        .serve_with_incoming_shutdown(incoming, stop)
        .await;
    if let Err(e) = served {
        log::error!("operators' server stopped: {e}; operators cannot reach this instance");
    }
}

/// Handler of the gRPC calls.
struct Calls {
    recipients: Recipients,
    /// Closed when the server stops.
    stopped: watch::Receiver<()>,
}

/// Returns the status for an actor of the daemon that did not reply.
fn shutting_down<M, E>(_: SendError<M, E>) -> Status {
    Status::unavailable("the instance is shutting down: call another instance")
}

impl Calls {
    async fn configuration(&self) -> Result<Arc<Configuration>, Status> {
        let configuration = self.recipients.configuration.ask(ReadConfiguration).await;
        configuration.map_err(shutting_down)
    }

    /// Resolves the names of a filter in the active configuration. Returns `NOT_FOUND` if a name
    /// does not exist.
    async fn selection(&self, filter: Option<v1::TimelineFilter>) -> Result<Selection, Status> {
        let configuration = self.configuration().await?;
        select::selection(filter.unwrap_or_default(), configuration)
            .map_err(|e| Status::not_found(e.to_string()))
    }
}

#[tonic::async_trait]
impl Operators for Calls {
    type FollowStream = ReceiverStream<Result<v1::FollowResponse, Status>>;

    async fn apply(
        &self,
        request: Request<v1::ApplyRequest>,
    ) -> Result<Response<v1::ApplyResponse>, Status> {
        let apply = ApplyChanges::try_from(request.into_inner()).map_err(malformed)?;
        let outcome = self.recipients.apply.ask(apply).await;
        Ok(Response::new(outcome.map_err(apply_error).into()))
    }

    async fn get_configuration(
        &self,
        _: Request<v1::GetConfigurationRequest>,
    ) -> Result<Response<v1::GetConfigurationResponse>, Status> {
        let configuration = self.configuration().await?;
        Ok(Response::new(configuration.as_ref().into()))
    }

    async fn status(
        &self,
        _: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusResponse>, Status> {
        let status = self.recipients.status.ask(GetStatus).await;
        let status = status.map_err(shutting_down)?;
        let configuration = self.configuration().await?;
        let zones = status.members.iter().map(|u| u.member.zone.0);
        let servers = status.owned.iter().map(|o| o.backend_server.0);
        let ids = zones.chain(servers).chain([status.member.zone.0]);
        let names = Names::collect(&configuration, ids);
        Ok(Response::new(encode::status(&status, names)))
    }

    async fn explain(
        &self,
        request: Request<v1::ExplainRequest>,
    ) -> Result<Response<v1::ExplainResponse>, Status> {
        let request = request.into_inner();
        let caller = decode::address("caller", &request.caller).map_err(malformed)?;
        let unique = decode::required("unique", request.unique).map_err(malformed)?;
        let configuration = self.configuration().await?;
        let service = select::service(&configuration, &request.service)
            .map_err(|e| Status::not_found(e.to_string()))?;
        let explain = ExplainFlow {
            service: service.id,
            address: service.address,
            caller,
            unique_id: unique.into(),
        };
        let reply = self.recipients.explain.ask(explain).await;
        let reply = reply.map_err(shutting_down)?;
        let candidates = reply.explanation.candidates.iter();
        let ids = candidates.map(|c| c.backend_server.0).chain([service.id.0]);
        let serving = serving_server(&reply);
        let names = Names::collect(&configuration, ids.chain(serving));
        Ok(Response::new(encode::explanation(&reply, names)))
    }

    async fn timeline(
        &self,
        request: Request<v1::TimelineRequest>,
    ) -> Result<Response<v1::TimelineResponse>, Status> {
        let selection = self.selection(request.into_inner().filter).await?;
        let configuration = selection.configuration.clone();
        let entries = self.recipients.timeline.ask(ReadTimeline(selection)).await;
        let entries = entries.map_err(shutting_down)?;
        let subjects = entries.iter().map(|e| EntrySubject::of(&e.change));
        let names = Names::collect(&configuration, subjects.flat_map(EntrySubject::ids));
        Ok(Response::new(v1::TimelineResponse {
            entries: entries.iter().map(Into::into).collect(),
            names: names.0,
        }))
    }

    async fn follow(
        &self,
        request: Request<v1::FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let selection = self.selection(request.into_inner().filter).await?;
        let follow = FollowTimeline(selection.clone());
        let stream = self.recipients.follow.ask(follow).await;
        let stream = stream.map_err(shutting_down)?;
        let (sender, receiver) = mpsc::channel(FOLLOW_QUEUE);
        let follower = Follower {
            selection,
            configuration: self.recipients.configuration.clone(),
            sender,
            stopped: self.stopped.clone(),
        };
        tokio::spawn(follower.run(stream));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

fn malformed(error: decode::DecodeError) -> Status {
    Status::invalid_argument(error.to_string())
}

/// Returns the error of the actor that writes to the store, or the one that matches a failed
/// delivery of the request. The outcome is unknown only if the actor may have received the request.
fn apply_error(error: SendError<ApplyChanges, ApplyError>) -> ApplyError {
    match error {
        SendError::HandlerError(error) => error,
        SendError::ActorNotRunning(_)
        | SendError::ActorRestarting(_)
        | SendError::MailboxFull(_)
        | SendError::Timeout(Some(_)) => ApplyError::Unavailable,
        SendError::ActorStopped | SendError::Timeout(None) => ApplyError::OutcomeUnknown,
    }
}

/// Returns the identifier of the backend server that serves the flow.
fn serving_server(reply: &FlowExplanation) -> Option<u32> {
    use lovagespindle_decisions::status::FlowStatus;
    match reply.explanation.status {
        FlowStatus::None | FlowStatus::Closed { .. } => None,
        FlowStatus::Hosted { backend_server, .. } | FlowStatus::Redirected { backend_server } => {
            Some(backend_server.0)
        }
    }
}
