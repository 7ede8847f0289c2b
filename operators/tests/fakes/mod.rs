//! Fakes of the daemon's actors that the operators' server sends messages to.

#![allow(dead_code, unreachable_pub)] // each test file uses a part

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{
    ActorRef,
    Spawn, //
};
use kameo::error::Infallible;
use kameo::message::{
    Context,
    Message, //
};
use kameo::reply::{
    DelegatedReply,
    ReplySender, //
};
use lovagespindle_decisions::config::{
    Change,
    Configuration,
    Record, //
};
use lovagespindle_decisions::event::Health;
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    Revision,
    ZoneId, //
};
use lovagespindle_decisions::peer::{
    Member,
    MemberState,
    MemberUpdate, //
};
use lovagespindle_decisions::status::{
    CandidateStatus,
    Explanation,
    Flag,
    FlowStatus,
    OwnedStatus,
    Status, //
};
use lovagespindle_operators::messages::{
    ApplyChanges,
    ApplyError,
    ExplainFlow,
    FlowExplanation,
    GetStatus,
    ReadConfiguration, //
};
use lovagespindle_operators::server::{
    OperatorServer,
    Recipients, //
};
use lovagespindle_operators::timeline::{
    Settings,
    Timeline, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::oneshot;

pub type Applied = Result<Revision, ApplyError>;

/// Store that holds the configuration of all instances of a test.
#[derive(Actor, Default)]
pub struct FakeStore {
    configuration: Configuration,
}

impl Message<ApplyChanges> for FakeStore {
    type Reply = Applied;

    async fn handle(&mut self, m: ApplyChanges, _: &mut Context<Self, Applied>) -> Applied {
        let present = self.configuration.revision;
        if let Some(revision) = self.configuration.operation(m.operation) {
            return Ok(revision);
        }
        if m.expected.is_some_and(|e| e != present) {
            return Err(ApplyError::Conflict { present });
        }
        let record = Record {
            revision: Revision(present.0 + 1),
            operation: m.operation,
            changes: m.changes,
        };
        match self.configuration.apply(&record) {
            Ok(()) => Ok(record.revision),
            Err(e) => Err(ApplyError::invalid(&self.configuration, &record, e)),
        }
    }
}

impl Message<ReadConfiguration> for FakeStore {
    type Reply = Result<Arc<Configuration>, Infallible>;

    async fn handle(
        &mut self,
        _: ReadConfiguration,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(Arc::new(self.configuration.clone()))
    }
}

/// How an instance handles changes.
pub enum Mode {
    /// Passes them to the store.
    Works,
    /// Passes them to the store and drops the first reply.
    LosesOne,
    /// Passes them to the store and never replies.
    Silent,
    /// Always replies with this error.
    Says(ApplyError),
    /// Passes one call to the store and then always replies with this error.
    WorksOnce(ApplyError),
}

/// Fake of all actors of one instance except for the timeline.
#[derive(Actor)]
pub struct FakeTasks {
    store: ActorRef<FakeStore>,
    mode: Mode,
    id: u64,
    /// Reply senders that a silent instance holds without using them.
    unanswered: Vec<ReplySender<Applied>>,
}

impl Message<ApplyChanges> for FakeTasks {
    type Reply = DelegatedReply<Applied>;

    async fn handle(
        &mut self,
        m: ApplyChanges,
        ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let (delegated, sender) = ctx.reply_sender();
        let sender = sender.unwrap();
        if let Mode::Says(error) = &self.mode {
            sender.send(Err(error.clone()));
            return delegated;
        }
        let applied = match self.store.ask(m).await {
            Ok(revision) => Ok(revision),
            Err(kameo::error::SendError::HandlerError(e)) => Err(e),
            Err(_) => Err(ApplyError::Unavailable),
        };
        match self.mode {
            Mode::Silent => self.unanswered.push(sender),
            Mode::LosesOne => {
                self.mode = Mode::Works;
                drop(sender);
            }
            Mode::Works | Mode::Says(_) => sender.send(applied),
            Mode::WorksOnce(ref error) => {
                self.mode = Mode::Says(error.clone());
                sender.send(applied);
            }
        }
        delegated
    }
}

impl Message<ReadConfiguration> for FakeTasks {
    type Reply = Result<Arc<Configuration>, Infallible>;

    async fn handle(
        &mut self,
        m: ReadConfiguration,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(self.store.ask(m).await.unwrap())
    }
}

impl Message<GetStatus> for FakeTasks {
    type Reply = Result<Status, Infallible>;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let configuration = self.store.ask(ReadConfiguration).await.unwrap();
        Ok(status(self.id, &configuration))
    }
}

impl Message<ExplainFlow> for FakeTasks {
    type Reply = Result<FlowExplanation, Infallible>;

    async fn handle(&mut self, m: ExplainFlow, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let configuration = self.store.ask(ReadConfiguration).await.unwrap();
        let candidates = configuration.service_servers(m.service);
        Ok(FlowExplanation {
            flow: FlowId(m.unique_id + u128::from(m.caller.port())),
            explanation: Explanation {
                service: m.service,
                revision: configuration.revision,
                candidates: candidates
                    .map(|(s, _)| CandidateStatus {
                        backend_server: s.id,
                        owner: Some(InstanceId(self.id)),
                    })
                    .collect(),
                status: FlowStatus::Hosted {
                    backend_server: BackendServerId(2),
                    requests: 2,
                },
            },
        })
    }
}

pub fn member(id: u64) -> Member {
    Member {
        id: InstanceId(id),
        zone: ZoneId::of("z"),
        control: SocketAddr::from(([127, 0, 0, 1], 7001)),
        relay: SocketAddr::from(([127, 0, 0, 1], 7002)),
    }
}

/// Returns the status of instance `id`. Instance 1 owns the first backend server and has lost the
/// platform.
pub fn status(id: u64, configuration: &Configuration) -> Status {
    let owned = configuration.servers.keys().take(usize::from(id == 1));
    Status {
        member: member(id),
        revision: configuration.revision,
        flows: 7,
        requests: 5,
        owned: owned
            .map(|s| OwnedStatus {
                backend_server: *s,
                limit: 4,
                running: 3,
                queued: 2,
                flows: 1,
                fenced: true,
                health: Health::NotServing,
            })
            .collect(),
        members: vec![MemberUpdate {
            member: member(id + 1),
            state: MemberState::Live,
            incarnation: 9,
        }],
        flags: if id == 1 {
            [Flag::PlatformLost].into_iter().collect()
        } else {
            Default::default()
        },
    }
}

pub struct FakeInstance {
    pub address: SocketAddr,
    pub timeline: ActorRef<Timeline>,
    pub server: ActorRef<OperatorServer>,
}

/// Starts the server of one instance on a free port.
pub async fn serve(store: &ActorRef<FakeStore>, id: u64, mode: Mode) -> FakeInstance {
    let tasks = FakeTasks::spawn(FakeTasks {
        store: store.clone(),
        mode,
        id,
        unanswered: Vec::new(),
    });
    let timeline = Timeline::spawn(Timeline::new(InstanceId(id), &Settings::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let recipients = Recipients {
        apply: tasks.clone().reply_recipient(),
        configuration: tasks.clone().reply_recipient(),
        status: tasks.clone().reply_recipient(),
        explain: tasks.reply_recipient(),
        timeline: timeline.clone().reply_recipient(),
        follow: timeline.clone().reply_recipient(),
    };
    let server = OperatorServer::spawn((listener, recipients));
    server.wait_for_startup().await;
    FakeInstance {
        address,
        timeline,
        server,
    }
}

/// Returns an address where connections are accepted and immediately closed.
pub async fn closing() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    address
}

/// Returns an address where nothing listens.
pub async fn nothing() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Returns the changes that create zone z, service s (id 0), pool p (1) and backend server b (2).
pub fn small() -> Vec<Change> {
    let name = |n: &str| n.to_owned();
    vec![
        Change::CreateZone {
            name: name("z"),
            region: name("r"),
        },
        Change::PutService {
            name: name("s"),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            idle: Duration::from_secs(60),
        },
        Change::CreatePool {
            name: name("p"),
            service: name("s"),
            zone: name("z"),
        },
        server("b"),
    ]
}

pub fn server(name: &str) -> Change {
    Change::PutServer {
        name: name.to_owned(),
        pool: "p".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 2], 81)),
        health: SocketAddr::from(([127, 0, 0, 2], 82)),
        weight: 100,
        slots: 4,
        connections: 2000,
    }
}

/// Forwards one connection to `target` until signalled to stop, and then leaves the connection
/// open.
pub async fn proxy(target: SocketAddr) -> (SocketAddr, oneshot::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (silence, silenced) = oneshot::channel::<()>();
    tokio::spawn(async move {
        let (mut from, _) = listener.accept().await.unwrap();
        let mut to = TcpStream::connect(target).await.unwrap();
        tokio::select! {
            _ = tokio::io::copy_bidirectional(&mut from, &mut to) => {}
            _ = silenced => std::future::pending().await,
        }
    });
    (address, silence)
}
