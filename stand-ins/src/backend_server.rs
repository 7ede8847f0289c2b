//! A stand-in for backend servers with health and load endpoints.

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

/// Settings of a backend server.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Identifier that every answer contains.
    pub server: BackendServerId,
    /// Service name that every answer contains.
    pub service: String,
    /// Services by address, used to decode packets.
    pub services: Services,
    /// Maximum number of concurrent requests; more are shed.
    pub slots: u32,
    /// Maximum number of open flows; more are refused.
    pub connections: u32,
    /// Whether it starts cold. A cold server has a capacity of 1 request, which doubles after as
    /// many requests have finished. More than twice the capacity crashes the server.
    pub cold: bool,
    /// Time from a crash to the restart, which is cold.
    pub crash_time: Duration,
    /// First boot id; each restart increments it.
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

/// How an endpoint reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportMode<T> {
    /// Reports the current value.
    #[default]
    Accurate,
    /// Reports the load of some time ago; health is current.
    Delayed(Duration),
    /// Always reports this value.
    Fixed(T),
    /// Never answers; calls stay open.
    Hang,
}

/// The start of a request, recorded to find out why a request ran twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestStart {
    /// Time of the server's clock.
    pub at: Time,
    /// Source address of the packet.
    pub source: SocketAddr,
    /// Kind of the packet.
    pub kind: PacketKind,
    /// Attempt number from the caller.
    pub attempt: u8,
}

/// Counters of a backend server, of requests since its creation unless noted.
#[derive(Clone, Debug, Default)]
pub struct ServerReport {
    /// Starts of each request in order of time.
    pub executions: HashMap<(FlowId, RequestId), Vec<RequestStart>>,
    /// Requests answered in full.
    pub finished: u64,
    /// Requests refused because all slots were in use.
    pub shed: u64,
    /// Requests refused because the server was draining or had too many flows.
    pub refused: u64,
    /// Requests stopped by a cancel or by the close of their flow.
    pub cancelled: u64,
    /// Requests stopped by their deadline, or refused because it had passed.
    pub expired: u64,
    /// Requests lost in a crash or restart.
    pub lost: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Highest number of concurrent requests.
    pub peak: u32,
    /// Number of requests that run now.
    pub running: u32,
    /// Number of flows that are open now.
    pub flows: u32,
    /// Current boot id.
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
    /// Applies a change and confirms when it is in effect.
    Change(Change, oneshot::Sender<()>),
    Report(oneshot::Sender<ServerReport>),
    Health(oneshot::Sender<bool>),
    Load(oneshot::Sender<LoadReport>),
}

/// A backend server that runs until it is dropped. Changes are in effect when their call returns.
pub struct BackendServer {
    /// Address that receives packets.
    pub address: SocketAddr,
    /// Address of the health and load endpoints.
    pub health: SocketAddr,
    commands: mpsc::Sender<Command>,
    task: AbortOnDropHandle<()>,
    calls: AbortOnDropHandle<()>,
}

impl BackendServer {
    /// Starts a backend server.
    ///
    /// Returns an error if a socket cannot be opened.
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
            // Ends only if the listener fails; clients then get no reply.
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

    /// Starts or ends draining: a draining server refuses new flows and reports itself as not
    /// serving.
    pub async fn drain(&self, draining: bool) -> Result<(), Error> {
        self.change(Change::Drain(draining)).await
    }

    /// Restarts the server without warning, so that its requests and flows are lost.
    pub async fn restart(&self, cold: bool) -> Result<(), Error> {
        self.change(Change::Restart { cold }).await
    }

    /// Starts or ends a pause, in which the server drops all packets and leaves all calls open.
    pub async fn silence(&self, silent: bool) -> Result<(), Error> {
        self.change(Change::Silence(silent)).await
    }

    /// Makes the currently open flows unresponsive permanently; new flows work.
    pub async fn silence_flows(&self) -> Result<(), Error> {
        self.change(Change::SilenceFlows).await
    }

    /// Sets how the health endpoint reports.
    pub async fn set_health(&self, mode: ReportMode<bool>) -> Result<(), Error> {
        self.change(Change::SetHealth(mode)).await
    }

    /// Sets how the load endpoint reports.
    pub async fn set_load(&self, mode: ReportMode<LoadReport>) -> Result<(), Error> {
        self.change(Change::SetLoad(mode)).await
    }

    /// Returns the counters so far, or an error if the server has stopped.
    pub async fn report(&self) -> Result<ServerReport, Error> {
        self.request(Command::Report).await
    }

    /// Stops the server and closes its sockets.
    pub async fn stop(self) {
        self.task.abort();
        self.calls.abort();
        let _ = self.task.await;
        let _ = self.calls.await;
    }

    async fn change(&self, change: Change) -> Result<(), Error> {
        self.request(|sender| Command::Change(change, sender)).await
    }

    async fn request<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, Error> {
        let (sender, answer) = oneshot::channel();
        let sent = self.commands.send(command(sender)).await;
        sent.map_err(|_| Error::Closed)?;
        answer.await.map_err(|_| Error::Closed)
    }
}
