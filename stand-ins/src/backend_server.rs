//! A stand-in of a backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_backend_servers::generated::health::health_server::HealthServer;
use lovagespindle_backend_servers::generated::load::load_server::LoadServer;
use lovagespindle_datagram::Services;
use lovagespindle_decisions::Time;
use lovagespindle_decisions::event::LoadReport;
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    RequestId, //
};
use lovagespindle_decisions::packet::PacketKind;
use tokio::net::TcpListener;
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::task::AbortOnDropHandle;
use tonic::transport::Server;

use crate::error::Error;
use crate::peer::{
    localhost,
    open_socket, //
};
use crate::server_calls::Calls;
use crate::server_task::Task;

/// How a backend server behaves.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Its identifier; part of each answer.
    pub server: BackendServerId,
    /// The name of its service; part of each answer.
    pub service: String,
    /// The services by address, to decode packets.
    pub services: Services,
    /// How many requests it runs at once; it sheds the rest.
    pub slots: u32,
    /// How many flows it holds; it refuses the rest.
    pub connections: u32,
    /// Whether it starts cold: it bears 1 request at first, twice as many after as many have
    /// finished, and crashes over when it gets more than twice what it bears.
    pub cold: bool,
    /// How long it is silent after it fell over. It then starts again, cold.
    pub crash_time: Duration,
    /// Its first boot id; each later one is one more.
    pub boot: u64,
}

impl Default for ServerSettings {
    fn default() -> ServerSettings {
        ServerSettings {
            server: BackendServerId(1),
            service: "service".to_owned(),
            services: Services::default(),
            slots: 4,
            connections: 2000,
            cold: false,
            crash_time: Duration::from_secs(2),
            boot: 1,
        }
    }
}

/// What an endpoint says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportMode<T> {
    /// The truth.
    #[default]
    Accurate,
    /// What was true some time ago.
    Delayed(Duration),
    /// Always the same.
    Fixed(T),
    /// Nothing: calls do not end.
    Hang,
}

/// The start of a request, for finding out why a request was started twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestStart {
    /// Time of the server's clock.
    pub at: Time,
    /// The address that the packet came from.
    pub source: SocketAddr,
    /// The kind of the packet.
    pub kind: PacketKind,
    /// The caller's attempt.
    pub attempt: u8,
}

/// What a backend server did. Counts of requests, since it was created unless noted.
#[derive(Clone, Debug, Default)]
pub struct ServerReport {
    /// The starts of each request, in their order.
    pub executions: HashMap<(FlowId, RequestId), Vec<RequestStart>>,
    /// Answered in full.
    pub finished: u64,
    /// Refused because all slots were in use.
    pub shed: u64,
    /// Refused because the server drains or holds too many flows.
    pub refused: u64,
    /// Stopped by a cancel.
    pub cancelled: u64,
    /// Stopped by their deadline, or refused because it had passed.
    pub expired: u64,
    /// Lost because the server fell over or was restarted.
    pub lost: u64,
    /// How often the server fell over.
    pub crashes: u64,
    /// The most requests that ran at once.
    pub peak: u32,
    /// How many requests run now.
    pub running: u32,
    /// How many flows are open now.
    pub flows: u32,
    /// The present boot id.
    pub boot: u64,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
}

impl ServerReport {
    /// Returns the requests that were started more than once.
    pub fn duplicates(&self) -> impl Iterator<Item = (FlowId, RequestId)> {
        let executions = self.executions.iter();
        executions
            .filter(|(_, starts)| starts.len() > 1)
            .map(|(key, _)| *key)
    }
}

pub(crate) enum Change {
    Drain(bool),
    Restart { cold: bool },
    Silence(bool),
    SilenceFlows,
    SetHealth(ReportMode<bool>),
    SetLoad(ReportMode<LoadReport>),
}

pub(crate) enum Command {
    /// Apply a change and say when it is in effect.
    Change(Change, oneshot::Sender<()>),
    Report(oneshot::Sender<ServerReport>),
    Health(oneshot::Sender<bool>),
    Load(oneshot::Sender<LoadReport>),
}

/// A backend server that runs until it is dropped. Changes are in effect when their call returns.
pub struct BackendServer {
    /// Where it takes packets.
    pub address: SocketAddr,
    /// Where it answers health and load calls.
    pub health: SocketAddr,
    commands: mpsc::Sender<Command>,
    task: AbortOnDropHandle<()>,
    calls: AbortOnDropHandle<()>,
}

impl BackendServer {
    /// Starts a backend server.
    pub async fn start(settings: ServerSettings) -> Result<BackendServer, Error> {
        let socket = open_socket()?;
        let listener = TcpListener::bind(localhost()).await?;
        let (address, health) = (socket.local_addr()?, listener.local_addr()?);
        let (commands, inbox) = mpsc::channel(64);
        let task = Task::new(settings, socket, inbox);
        let calls = Calls::new(commands.clone());
        let server = Server::builder()
            .add_service(HealthServer::new(calls.clone()))
            .add_service(LoadServer::new(calls))
            .serve_with_incoming(TcpListenerStream::new(listener));
        let calls = tokio::spawn(async move {
            // Ends only when the listener fails; callers then see no answer.
            let _ = server.await;
        });
        Ok(BackendServer {
            address,
            health,
            commands,
            task: AbortOnDropHandle::new(tokio::spawn(task.run())),
            calls: AbortOnDropHandle::new(calls),
        })
    }

    /// Drains the server: it takes no new flows and says that it does not serve. Or ends that.
    pub async fn drain(&self, draining: bool) -> Result<(), Error> {
        self.change(Change::Drain(draining)).await
    }

    /// Restarts the server without warning: requests and flows are lost.
    pub async fn restart(&self, cold: bool) -> Result<(), Error> {
        self.change(Change::Restart { cold }).await
    }

    /// Makes the server drop all packets and leave all calls open, as a paused process does. Or
    /// ends that.
    pub async fn silence(&self, silent: bool) -> Result<(), Error> {
        self.change(Change::Silence(silent)).await
    }

    /// Makes the flows that are open now silent for good; new ones work.
    pub async fn silence_flows(&self) -> Result<(), Error> {
        self.change(Change::SilenceFlows).await
    }

    /// Sets whether the health endpoint says that the server serves.
    pub async fn set_health(&self, mode: ReportMode<bool>) -> Result<(), Error> {
        self.change(Change::SetHealth(mode)).await
    }

    /// Sets what the load endpoint says.
    pub async fn set_load(&self, mode: ReportMode<LoadReport>) -> Result<(), Error> {
        self.change(Change::SetLoad(mode)).await
    }

    /// Returns what the server did so far.
    pub async fn report(&self) -> Result<ServerReport, Error> {
        self.ask(Command::Report).await
    }

    /// Stops the server and closes its sockets.
    pub async fn stop(self) {
        self.task.abort();
        self.calls.abort();
        let _ = self.task.await;
        let _ = self.calls.await;
    }

    async fn change(&self, change: Change) -> Result<(), Error> {
        self.ask(|sender| Command::Change(change, sender)).await
    }

    async fn ask<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, Error> {
        let (sender, answer) = oneshot::channel();
        let sent = self.commands.send(command(sender)).await;
        sent.map_err(|_| Error::Closed)?;
        answer.await.map_err(|_| Error::Closed)
    }
}
