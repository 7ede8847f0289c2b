//! A stand-in for callers that checks every answer.

use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicU32,
    Ordering, //
};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use lovagespindle_datagram::{
    Clock,
    Services,
    flow_id, //
};
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    RequestId,
    ServiceId, //
};
use lovagespindle_decisions::packet::{
    Packet,
    PacketKind,
    Reason,
    Route, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};
use tokio_util::task::AbortOnDropHandle;

use crate::caller_task::Task;
use crate::error::Error;
use crate::peer::{
    localhost,
    open_socket, //
};
use crate::work::{
    Body,
    Work, //
};

/// Settings of a caller.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address of the fabric that packets are sent to.
    pub fabric: SocketAddr,
    /// Services by address, used to decode packets.
    pub services: Services,
    /// Time to wait for the next packet of an answer.
    pub timeout: Duration,
    /// Maximum number of attempts of an idempotent request. Other requests are sent once.
    pub attempts: u8,
    /// Part of the unique ids of flows, next to a number that is unique per caller in the process.
    pub seed: u64,
}

impl Default for CallerSettings {
    fn default() -> CallerSettings {
        CallerSettings {
            fabric: localhost(),
            services: Services::default(),
            timeout: Duration::from_millis(500),
            attempts: 4,
            seed: 0,
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// All parts of the answer arrived.
    Answered {
        /// Backend server that answered.
        server: BackendServerId,
        /// Number of parts of the answer.
        parts: u32,
    },
    /// The request did not run.
    Refused(Option<Reason>),
    /// The request may have run.
    Unknown(Option<Reason>),
    /// The flow was closed.
    Reset(Option<Reason>),
    /// The caller cancelled the request after [`RequestOptions::give_up`].
    GivenUp,
    /// The next part of the answer did not arrive in time.
    Timeout {
        /// Number of parts that arrived.
        parts: u32,
    },
}

/// Counters of a caller.
#[derive(Clone, Debug)]
pub struct CallerReport {
    /// Time from the first attempt to the last part of an answer, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests that were answered in full.
    pub answered: u64,
    /// Requests that ended as refused.
    pub refused: u64,
    /// Requests that ended with unknown outcome.
    pub unknown: u64,
    /// Requests that ended because their flow was closed.
    pub reset: u64,
    /// Requests that the caller cancelled.
    pub given_up: u64,
    /// Requests that timed out without a whole answer.
    pub timeouts: u64,
    /// Attempts after the first one of each request.
    pub retries: u64,
    /// Packets for ended requests or closed flows, such as late answers.
    pub late: u64,
    /// Packets addressed to another caller, and answers whose body names another service, flow,
    /// request or part than the packet. Must stay 0.
    pub mismatched: u64,
    /// Datagrams that could not be decoded. Must stay 0.
    pub malformed: u64,
}

pub(crate) enum Command {
    /// Registers the receiver of a request's packets until the request ends.
    Await(FlowId, RequestId, mpsc::Sender<Packet>),
    Send(Packet),
    Ended(FlowId, RequestId, RequestOutcome, Duration),
    Mismatched,
    Report(oneshot::Sender<CallerReport>),
}

/// A caller that runs until it is dropped. Its flows end with it.
pub struct Caller {
    /// Address that the caller sends from.
    pub address: SocketAddr,
    settings: CallerSettings,
    clock: Clock,
    commands: mpsc::Sender<Command>,
    task: AbortOnDropHandle<()>,
    /// Distinguishes it from earlier callers with the same address.
    number: u32,
    /// Number of flows created so far; part of their unique ids.
    opened: u32,
}

/// Number of the next caller in this process.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

impl Caller {
    /// Starts a caller.
    ///
    /// Returns an error if its socket cannot be opened.
    pub async fn start(settings: CallerSettings) -> Result<Caller, Error> {
        let socket = open_socket()?;
        let address = socket.local_addr()?;
        let clock = Clock::start();
        let (commands, inbox) = mpsc::channel(64);
        let task = Task::new(&settings, socket, address, clock, inbox)?;
        Ok(Caller {
            address,
            settings,
            clock,
            commands,
            task: AbortOnDropHandle::new(tokio::spawn(task.run())),
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            opened: 0,
        })
    }

    /// Creates a flow to a service. Its first request opens it.
    ///
    /// `name` is the service name that answers must contain. Returns an error if no service has
    /// the address.
    pub fn flow(&mut self, address: SocketAddr, name: &str) -> Result<Flow, Error> {
        let service = self.settings.services.find(address);
        let route = Route {
            caller: self.address,
            address,
            unique_id: u128::from(self.settings.seed) << 64
                | u128::from(self.number) << 32
                | u128::from(self.opened),
        };
        self.opened += 1;
        Ok(Flow {
            service: service.ok_or(Error::UnknownService(address))?,
            name: name.to_owned(),
            flow: flow_id(&route),
            route,
            settings: self.settings.clone(),
            clock: self.clock,
            commands: self.commands.clone(),
            established: false,
            next_request: 0,
        })
    }

    /// Returns the counters so far, or an error if the caller has stopped.
    pub async fn report(&self) -> Result<CallerReport, Error> {
        let (sender, report) = oneshot::channel();
        let command = Command::Report(sender);
        let sent = self.commands.send(command).await;
        sent.map_err(|_| Error::Closed)?;
        report.await.map_err(|_| Error::Closed)
    }

    /// Stops the caller and closes its socket.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Options of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestOptions {
    /// Work for the backend server.
    pub work: Work,
    /// Whether the request may be retried after a timeout.
    pub idempotent: bool,
    /// Deadline relative to the start of the request, sent to the backend server.
    pub deadline: Option<Duration>,
    /// Time after which the caller cancels the request if it has not ended.
    pub give_up: Option<Duration>,
}

/// A flow of a caller.
pub struct Flow {
    /// Identifier of the flow.
    pub flow: FlowId,
    service: ServiceId,
    name: String,
    route: Route,
    settings: CallerSettings,
    clock: Clock,
    commands: mpsc::Sender<Command>,
    /// Whether an answer confirmed that the flow is open.
    established: bool,
    /// Identifier of the next request.
    next_request: u64,
}

impl Flow {
    /// Sends a request, waits until it ends and checks every part of the answer.
    ///
    /// Returns an error if the caller has stopped.
    pub async fn request(&mut self, options: RequestOptions) -> Result<RequestOutcome, Error> {
        let kind = match self.established {
            true => PacketKind::Request,
            false => PacketKind::Open,
        };
        let packet = self.packet(kind, RequestId(self.next_request), &options);
        self.next_request += 1;
        let started = Instant::now();
        let outcome = self.attempt(&options, packet.clone(), started).await?;
        self.established = match outcome {
            RequestOutcome::Answered { .. } => true,
            RequestOutcome::Reset(_) => false,
            RequestOutcome::Refused(_) | RequestOutcome::Unknown(_) => self.established,
            RequestOutcome::GivenUp | RequestOutcome::Timeout { .. } => self.established,
        };
        let ended = Command::Ended(packet.flow, packet.request, outcome, started.elapsed());
        self.send(ended).await?;
        Ok(outcome)
    }

    /// Sends the request until it ends or no attempt is left.
    async fn attempt(
        &self,
        options: &RequestOptions,
        mut packet: Packet,
        started: Instant,
    ) -> Result<RequestOutcome, Error> {
        // Holds all parts of a long answer, so that the caller's task never drops one.
        let (sender, mut packets) = mpsc::channel(4096);
        let registration = Command::Await(packet.flow, packet.request, sender);
        self.send(registration).await?;
        let mut answer = Answer::default();
        loop {
            self.send(Command::Send(packet.clone())).await?;
            let limit = options.give_up.map(|give_up| started + give_up);
            let outcome = self.collect(&mut answer, &mut packets, limit).await?;
            if outcome == RequestOutcome::GivenUp {
                packet.kind = PacketKind::Cancel;
                packet.payload = Bytes::new();
                self.send(Command::Send(packet)).await?;
                return Ok(outcome);
            }
            let timed_out = matches!(outcome, RequestOutcome::Timeout { .. });
            let expired = packet.deadline.is_some_and(|d| d <= self.clock.now());
            let last = packet.attempt + 1 >= self.settings.attempts;
            if !timed_out || !options.idempotent || expired || last {
                return Ok(outcome);
            }
            packet.attempt += 1;
        }
    }

    /// Sends a data packet, which starts no request and gets no answer.
    pub async fn data(&self) -> Result<(), Error> {
        let packet = self.packet(
            PacketKind::Data,
            RequestId::default(),
            &RequestOptions::default(),
        );
        self.send(Command::Send(packet)).await
    }

    /// Closes the flow.
    pub async fn close(self) -> Result<(), Error> {
        let packet = self.packet(
            PacketKind::Close,
            RequestId::default(),
            &RequestOptions::default(),
        );
        self.send(Command::Send(packet)).await
    }

    async fn send(&self, command: Command) -> Result<(), Error> {
        let sent = self.commands.send(command).await;
        sent.map_err(|_| Error::Closed)
    }

    fn packet(&self, kind: PacketKind, request: RequestId, options: &RequestOptions) -> Packet {
        Packet {
            service: self.service,
            flow: self.flow,
            kind,
            request,
            attempt: 0,
            idempotent: options.idempotent,
            deadline: options.deadline.map(|deadline| self.clock.now() + deadline),
            part: 0,
            last: false,
            reason: None,
            route: self.route,
            payload: options.work.encode(),
        }
    }

    /// Receives packets until the request ends, times out or is given up.
    async fn collect(
        &self,
        answer: &mut Answer,
        packets: &mut mpsc::Receiver<Packet>,
        give_up: Option<Instant>,
    ) -> Result<RequestOutcome, Error> {
        loop {
            let packet_limit = Instant::now() + self.settings.timeout;
            let limit = give_up.map_or(packet_limit, |give_up| give_up.min(packet_limit));
            let Ok(packet) = timeout_at(limit, packets.recv()).await else {
                let parts = answer.parts.len() as u32;
                return Ok(match limit == packet_limit {
                    true => RequestOutcome::Timeout { parts },
                    false => RequestOutcome::GivenUp,
                });
            };
            let packet = packet.ok_or(Error::Closed)?;
            match packet.kind {
                PacketKind::Answer => match self.check(&packet) {
                    Some(body) => answer.add(&packet, body),
                    None => self.send(Command::Mismatched).await?,
                },
                PacketKind::Refused => return Ok(RequestOutcome::Refused(packet.reason)),
                PacketKind::Unknown => return Ok(RequestOutcome::Unknown(packet.reason)),
                PacketKind::Reset => return Ok(RequestOutcome::Reset(packet.reason)),
                PacketKind::Open
                | PacketKind::Request
                | PacketKind::Data
                | PacketKind::Cancel
                | PacketKind::Close => self.send(Command::Mismatched).await?,
            }
            if let Some(outcome) = answer.outcome() {
                return Ok(outcome);
            }
        }
    }

    /// Returns the body of an answer if it names the same service, flow, request and part as its
    /// packet.
    fn check(&self, packet: &Packet) -> Option<Body> {
        let body = Body::decode(&packet.payload)?;
        let same = body.service == self.name
            && body.flow == packet.flow
            && body.request == packet.request
            && body.part == packet.part
            && packet.last == (body.part + 1 == body.parts);
        same.then_some(body)
    }
}

/// Parts of an answer that arrived, in any order.
#[derive(Default)]
struct Answer {
    parts: std::collections::BTreeSet<u32>,
    /// Total number of parts, known once the last part arrived.
    total: Option<u32>,
    server: BackendServerId,
}

impl Answer {
    fn add(&mut self, packet: &Packet, body: Body) {
        if body.server != self.server {
            // A retry may run on another server; parts of both do not form one answer.
            *self = Answer {
                server: body.server,
                ..Answer::default()
            };
        }
        self.parts.insert(packet.part);
        if packet.last {
            self.total = Some(packet.part + 1);
        }
    }

    fn outcome(&self) -> Option<RequestOutcome> {
        let total = self.total?;
        let server = self.server;
        let whole = self.parts.len() as u32 == total;
        whole.then_some(RequestOutcome::Answered {
            server,
            parts: total,
        })
    }
}
