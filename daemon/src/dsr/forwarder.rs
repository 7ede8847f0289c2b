//! The actor that owns the socket for clients' packets and the decisions on them.

use std::io;
use std::net::SocketAddr;

use kameo::actor::{
    Actor,
    ActorRef,
    WeakActorRef, //
};
use kameo::mailbox::{
    MailboxReceiver,
    Signal, //
};
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_datagram::Clock;
use lovagespindle_datagram::socket::{
    DEFAULT_RECEIVE_BUFFER,
    SocketError,
    bind, //
};
use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::balancer::{
    Action,
    Balancer,
    Verdict, //
};
use lovagespindle_decisions::dsr::counts::{
    Count,
    Counts, //
};
use lovagespindle_decisions::dsr::news::News;
use lovagespindle_decisions::dsr::segment::{
    FlowTuple,
    Segment,
    SegmentKind, //
};
use lovagespindle_decisions::dsr::settings::Settings as DecisionSettings;
use lovagespindle_platform::packet;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::dsr::decision_log::DecisionLog;
use crate::dsr::metrics::Latencies;
use crate::dsr::prober::{
    self,
    Probed, //
};
use crate::dsr::settings::Settings;

/// The most packets that are handled between two looks at the mailbox and the clock.
const MAX_BATCH: usize = 64;

/// What a forwarder starts with.
pub struct Arguments {
    /// The settings.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// Feeds the random numbers of the decisions.
    pub seed: u64,
    /// Records handshakes.
    pub latencies: Latencies,
    /// Told whether the instance takes packets.
    pub ready: watch::Sender<bool>,
}

/// Asks for the counts.
pub struct GetCounts;

/// The present counts.
#[derive(Clone, Copy, Debug)]
pub struct AllCounts {
    /// Counts since the start.
    pub counts: Counts,
    /// Flows with a record.
    pub flows: usize,
}

/// The process is about to end.
pub struct Leave;

/// The actor that forwards packets.
pub struct Forwarder {
    socket: UdpSocket,
    /// Where clients take resets.
    client_port: u16,
    balancer: Balancer,
    clock: Clock,
    ready: watch::Sender<bool>,
    leaving: bool,
    /// Counts of the socket.
    counts: Counts,
    log: DecisionLog,
    /// Probes report to it.
    myself: WeakActorRef<Forwarder>,
    /// Actions at hand; empty between events.
    actions: Vec<Action>,
    incoming: Vec<u8>,
    outgoing: Vec<u8>,
}

impl Actor for Forwarder {
    type Args = Arguments;
    type Error = SocketError;

    async fn on_start(
        arguments: Arguments,
        forwarder: ActorRef<Forwarder>,
    ) -> Result<Forwarder, SocketError> {
        let settings = arguments.settings;
        let address = settings.listen.clients;
        Ok(Forwarder {
            socket: bind(SocketAddr::V4(address), DEFAULT_RECEIVE_BUFFER)?,
            client_port: address.port(),
            balancer: Balancer::new(&settings.instance.zone, settings.decisions, arguments.seed),
            clock: arguments.clock,
            ready: arguments.ready,
            leaving: false,
            counts: Counts::default(),
            log: DecisionLog::new(arguments.latencies),
            myself: forwarder.downgrade(),
            actions: Vec::new(),
            // One byte more than a packet shows that a datagram is too long.
            incoming: vec![0; packet::MAX_PACKET_SIZE + 1],
            outgoing: Vec::with_capacity(packet::IDENTITY_SIZE + packet::MAX_PACKET_SIZE),
        })
    }

    async fn next(
        &mut self,
        _forwarder: WeakActorRef<Forwarder>,
        mailbox: &mut MailboxReceiver<Forwarder>,
    ) -> Result<Option<Signal<Forwarder>>, SocketError> {
        loop {
            let wake = self.clock.instant(self.balancer.deadline());
            tokio::select! {
                biased;
                signal = mailbox.recv() => return Ok(signal),
                ready = self.socket.readable() => {
                    if let Err(error) = ready {
                        log::error!("event=socket_failed reason={:?}", error.to_string());
                        return Ok(None);
                    }
                }
                () = tokio::time::sleep_until(wake) => {}
            }
            // Packets that have arrived go before the clock: they may be the answers that a timer
            // is about to miss.
            let drained = self.receive();
            let now = self.clock.now();
            if drained && now >= self.balancer.deadline() {
                self.balancer.tick(now);
            }
            self.act(now);
        }
    }
}

impl Forwarder {
    /// Handles the packets that have arrived. Returns whether none is left.
    fn receive(&mut self) -> bool {
        for _ in 0..MAX_BATCH {
            match self.socket.try_recv(&mut self.incoming) {
                Ok(length) => self.handle(length),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                // An earlier datagram was refused by its receiver; nothing is lost here.
                Err(error) => {
                    self.counts.add(Count::ReceiveFailures);
                    self.log.write_receive_failure(self.clock.now(), &error);
                }
            }
        }
        false
    }

    fn handle(&mut self, length: usize) {
        let now = self.clock.now();
        match packet::decode(&self.incoming[..length]) {
            Ok(segment) => self.forward(now, &segment, length),
            Err(error) => {
                self.counts.add(Count::Malformed);
                self.log.write_malformed(now, length, &error);
            }
        }
    }

    fn forward(&mut self, now: Time, segment: &Segment, length: usize) {
        match self.balancer.packet(now, segment) {
            Verdict::Forward(target) => {
                let bytes = &self.incoming[..length];
                packet::encode_forward(bytes, &target, &mut self.outgoing);
                self.send(SocketAddr::V4(target.address));
            }
            Verdict::Open(target) => {
                if let SegmentKind::Open(opening) = &segment.kind {
                    packet::encode_syn(&segment.flow, opening, &target, &mut self.outgoing);
                    self.send(SocketAddr::V4(target.address));
                }
            }
            Verdict::Reset => self.reset(&segment.flow),
            Verdict::Drop => {}
        }
    }

    fn reset(&mut self, flow: &FlowTuple) {
        packet::encode_reset(flow, &mut self.outgoing);
        self.send(SocketAddr::from((*flow.client.ip(), self.client_port)));
    }

    /// Sends what is encoded. A datagram that the system does not take is lost, as on the way.
    fn send(&mut self, to: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(&self.outgoing, to) {
            self.counts.add(Count::Unsent);
            self.log.write_unsent(self.clock.now(), to, &error);
        }
    }

    /// Carries out what the decisions want done by themselves, and writes them down.
    fn act(&mut self, now: Time) {
        let mut actions = std::mem::take(&mut self.actions);
        actions.extend(self.balancer.take_actions());
        for action in actions.drain(..) {
            match action {
                Action::Open {
                    flow,
                    opening,
                    target,
                } => {
                    packet::encode_syn(&flow, &opening, &target, &mut self.outgoing);
                    self.send(SocketAddr::V4(target.address));
                }
                Action::Reset(flow) => self.reset(&flow),
                Action::Probe(addresses) => prober::start(addresses, self.myself.clone()),
            }
        }
        self.actions = actions;
        self.log.write(now, self.balancer.take_log());
    }

    fn show_readiness(&self) {
        let ready = self.balancer.is_ready() && !self.leaving;
        self.ready.send_if_modified(|shown| {
            let changed = *shown != ready;
            *shown = ready;
            if changed {
                log::info!("event=readiness ready={ready}");
            }
            changed
        });
    }
}

impl Message<News> for Forwarder {
    type Reply = ();

    async fn handle(&mut self, news: News, _context: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.balancer.learn(now, news);
        self.act(now);
        self.show_readiness();
    }
}

impl Message<Probed> for Forwarder {
    type Reply = ();

    async fn handle(&mut self, probed: Probed, _context: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.balancer.probed(now, probed.probed, probed.reached);
        self.act(now);
        self.show_readiness();
    }
}

impl Message<DecisionSettings> for Forwarder {
    type Reply = ();

    async fn handle(&mut self, settings: DecisionSettings, _: &mut Context<Self, ()>) {
        self.balancer.set_settings(settings);
    }
}

impl Message<Leave> for Forwarder {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _context: &mut Context<Self, ()>) {
        self.leaving = true;
        self.show_readiness();
    }
}

impl Message<GetCounts> for Forwarder {
    type Reply = Result<AllCounts, kameo::error::Infallible>;

    async fn handle(&mut self, _: GetCounts, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let counts = self.balancer.counts().plus(&self.counts);
        Ok(AllCounts {
            counts: counts.plus(self.log.counts()),
            flows: self.balancer.flows(),
        })
    }
}
