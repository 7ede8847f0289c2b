//! The server of the operators' calls. It holds no state of its own and asks the other tasks of
//! the daemon by messages.

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
    Selection,
    Subject, //
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
    Followed,
    GetStatus,
    ReadConfiguration,
    ReadTimeline, //
};
use crate::names::Names;
use crate::select;
use crate::timeline::Entry;

/// How many messages of a followed time line wait for a slow reader; more wait in the time line
/// itself until the reader is cut off.
const FOLLOW_QUEUE: usize = 64;

/// How often a connection is checked, and how long the check may take, so that operators whose
/// connections went silent do not hold sockets and followed time lines for ever.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// The tasks that answer the calls.
#[derive(Clone)]
pub struct Recipients {
    /// Writes changes to the store.
    pub apply: ReplyRecipient<ApplyChanges, Revision, ApplyError>,
    /// Holds the configuration in force.
    pub configuration: ReplyRecipient<ReadConfiguration, Arc<Configuration>>,
    /// Knows the status of the instance.
    pub status: ReplyRecipient<GetStatus, InstanceStatus>,
    /// Explains flows.
    pub explain: ReplyRecipient<ExplainFlow, FlowExplanation>,
    /// Reads the time line.
    pub timeline: ReplyRecipient<ReadTimeline, Vec<Entry>>,
    /// Follows the time line.
    pub follow: ReplyRecipient<FollowTimeline, Followed>,
}

/// The task that owns the listening socket. When it stops, calls in progress are finished and
/// followed time lines end.
pub struct OperatorServer {
    /// Its drop ends the server.
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
        // An error says that the sender is gone, which is the signal.
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

/// The calls of the schema.
struct Calls {
    recipients: Recipients,
    /// Changes when the server stops.
    stopped: watch::Receiver<()>,
}

/// Says that a task of the daemon did not answer.
fn stopping<M, E>(_: SendError<M, E>) -> Status {
    Status::unavailable("the instance is shutting down: ask another instance")
}

impl Calls {
    async fn configuration(&self) -> Result<Arc<Configuration>, Status> {
        let asked = self.recipients.configuration.ask(ReadConfiguration).await;
        asked.map_err(stopping)
    }

    /// Resolves the names of a filter by the configuration in force.
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
        let status = status.map_err(stopping)?;
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
        let unique = decode::set("unique", request.unique).map_err(malformed)?;
        let configuration = self.configuration().await?;
        let service = select::service(&configuration, &request.service)
            .map_err(|e| Status::not_found(e.to_string()))?;
        let explain = ExplainFlow {
            service: service.id,
            address: service.address,
            caller,
            unique: unique.into(),
        };
        let answer = self.recipients.explain.ask(explain).await;
        let answer = answer.map_err(stopping)?;
        let candidates = answer.explanation.candidates.iter();
        let ids = candidates.map(|c| c.backend_server.0).chain([service.id.0]);
        let held = held(&answer);
        let names = Names::collect(&configuration, ids.chain(held));
        Ok(Response::new(encode::explanation(&answer, names)))
    }

    async fn timeline(
        &self,
        request: Request<v1::TimelineRequest>,
    ) -> Result<Response<v1::TimelineResponse>, Status> {
        let selection = self.selection(request.into_inner().filter).await?;
        let configuration = selection.configuration.clone();
        let entries = self.recipients.timeline.ask(ReadTimeline(selection)).await;
        let entries = entries.map_err(stopping)?;
        let subjects = entries.iter().map(|e| Subject::of(&e.occurrence));
        let names = Names::collect(&configuration, subjects.flat_map(Subject::ids));
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
        let followed = self.recipients.follow.ask(follow).await;
        let followed = followed.map_err(stopping)?;
        let (sender, receiver) = mpsc::channel(FOLLOW_QUEUE);
        let follower = Follower {
            selection,
            configuration: self.recipients.configuration.clone(),
            sender,
            stopped: self.stopped.clone(),
        };
        tokio::spawn(follower.run(followed));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

fn malformed(error: decode::DecodeError) -> Status {
    Status::invalid_argument(error.to_string())
}

/// Returns the typed outcome where the task that writes to the store gave none itself.
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

fn held(answer: &FlowExplanation) -> Option<u32> {
    use lovagespindle_decisions::status::FlowStatus;
    match answer.explanation.status {
        FlowStatus::None | FlowStatus::Closed { .. } => None,
        FlowStatus::Hosted { backend_server, .. } | FlowStatus::Redirected { backend_server } => {
            Some(backend_server.0)
        }
    }
}
