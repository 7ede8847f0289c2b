//! The actor that owns the socket for client packets and the balancer that decides on them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

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
use lovagespindle_decisions::dsr::segment::{
    FlowTuple,
    Segment,
    SegmentKind, //
};
use lovagespindle_decisions::dsr::server_loss::ServerProbe;
use lovagespindle_decisions::dsr::settings::Settings as DecisionSettings;
use lovagespindle_decisions::dsr::shutdown::{
    Shutdown,
    ShutdownSettings, //
};
use lovagespindle_decisions::dsr::store_update::StoreUpdate;
use lovagespindle_platform::packet;
use tokio::net::UdpSocket;
use tokio::sync::{
    oneshot,
    watch, //
};

use crate::dsr::decision_log::DecisionLog;
use crate::dsr::held_packets::HeldPackets;
use crate::dsr::metrics::Latencies;
use crate::dsr::prober::{
    self,
    ProbeResult, //
};
use crate::dsr::settings::Settings;

/// Maximum number of packets handled before the mailbox and the timers are checked again.
const MAX_BATCH: usize = 64;

pub struct Arguments {
    pub settings: Settings,
    pub clock: Clock,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
    /// Receives the handshake latencies.
    pub latencies: Latencies,
    /// Set to whether the instance reports that it is ready.
    pub ready: watch::Sender<bool>,
}

/// Requests the current counts.
pub struct GetCounts;

/// Counts of a forwarder and its socket.
#[derive(Clone, Copy, Debug)]
pub struct ForwarderCounts {
    /// Totals since the start.
    pub counts: Counts,
    /// Number of flow records.
    pub flows: usize,
    /// Time since the store last confirmed the view.
    pub view_age: Duration,
}

/// Makes the instance report that it is not ready. Packets are still forwarded.
pub struct StartShutdown {
    pub settings: ShutdownSettings,
    /// Notified when the process may end.
    pub complete: oneshot::Sender<()>,
}

/// Reports that a readiness check was answered with "not ready".
pub struct FailedCheck;

/// A shutdown that is under way.
struct RunningShutdown {
    progress: Shutdown,
    settings: ShutdownSettings,
    /// `None` once it was notified.
    complete: Option<oneshot::Sender<()>>,
}

/// Forwards packets from clients to backend servers, which reply to the clients directly.
pub struct Forwarder {
    socket: UdpSocket,
    /// Port at which clients receive resets.
    client_port: u16,
    balancer: Balancer,
    clock: Clock,
    ready: watch::Sender<bool>,
    shutdown: Option<RunningShutdown>,
    /// Counts of malformed datagrams and of failures to receive and send.
    counts: Counts,
    log: DecisionLog,
    /// Given to probe tasks, which report to this actor.
    self_ref: WeakActorRef<Forwarder>,
    /// Packets that cannot be decided on before the first update of the store.
    held: HeldPackets,
    /// Reused buffer; empty between events.
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
            shutdown: None,
            counts: Counts::default(),
            log: DecisionLog::new(arguments.latencies),
            self_ref: forwarder.downgrade(),
            held: HeldPackets::default(),
            actions: Vec::new(),
            // One byte more than the largest packet, to detect datagrams that are too long.
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
            let wake = self.clock.instant(self.deadline());
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
            // Handles received packets before expired timers, because they may include a packet
            // that a timer waits for.
            let is_drained = self.receive();
            let now = self.clock.now();
            if is_drained && now >= self.balancer.deadline() {
                self.balancer.tick(now);
            }
            self.run_actions(now);
            self.check_shutdown(now);
        }
    }
}

impl Forwarder {
    /// Returns the time at which a timer ends.
    fn deadline(&self) -> Time {
        let shutdown = self.shutdown.as_ref().filter(|s| s.complete.is_some());
        let end = shutdown.map(|shutdown| shutdown.progress.deadline(&shutdown.settings));
        end.map_or(self.balancer.deadline(), |end| {
            end.min(self.balancer.deadline())
        })
    }

    /// Notifies the process that it may end, once the shutdown is complete.
    fn check_shutdown(&mut self, now: Time) {
        let Some(shutdown) = &mut self.shutdown else {
            return;
        };
        if shutdown.progress.is_complete(now, &shutdown.settings)
            && let Some(complete) = shutdown.complete.take()
        {
            // Fails only while the process exits.
            let _ = complete.send(());
        }
    }

    /// Handles up to [`MAX_BATCH`] received packets. Returns whether the socket is drained.
    fn receive(&mut self) -> bool {
        for _ in 0..MAX_BATCH {
            match self.socket.try_recv(&mut self.incoming) {
                Ok(length) => {
                    let now = self.clock.now();
                    if let Some(shutdown) = &mut self.shutdown {
                        shutdown.progress.record_packet(now);
                    }
                    self.handle(now, now, length);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                // The destination refused an earlier datagram; no received packet is lost.
                Err(error) => {
                    self.counts.add(Count::ReceiveFailures);
                    self.log.write_receive_failure(self.clock.now(), &error);
                }
            }
        }
        false
    }

    /// Handles the first `length` bytes of the buffer, a packet that arrived at `arrived_at`.
    fn handle(&mut self, now: Time, arrived_at: Time, length: usize) {
        match packet::decode(&self.incoming[..length]) {
            Ok(segment) => self.forward((now, arrived_at), &segment, length),
            Err(error) => {
                self.counts.add(Count::Malformed);
                self.log.write_malformed(now, length, &error);
            }
        }
    }

    fn forward(&mut self, (now, arrived_at): (Time, Time), segment: &Segment, length: usize) {
        match self.balancer.packet(now, segment) {
            Verdict::Forward(target) => {
                let bytes = &self.incoming[..length];
                packet::encode_forward(bytes, &target, &mut self.outgoing);
                self.send(SocketAddr::V4(target.address));
            }
            Verdict::Open(target) => {
                if let SegmentKind::Syn(opening) = &segment.kind {
                    packet::encode_syn(&segment.flow, opening, &target, &mut self.outgoing);
                    self.send(SocketAddr::V4(target.address));
                }
            }
            Verdict::Reset { sequence } => self.reset(&segment.flow, sequence),
            Verdict::Hold => self.held.push(arrived_at, &self.incoming[..length]),
            Verdict::Drop => {}
        }
    }

    /// Decides again on the packets that were held.
    fn release_held(&mut self, now: Time) {
        for (at, packet) in self.held.take(now) {
            self.incoming[..packet.len()].copy_from_slice(&packet);
            self.handle(now, at, packet.len());
        }
    }

    fn reset(&mut self, flow: &FlowTuple, sequence: u32) {
        packet::encode_reset(flow, sequence, &mut self.outgoing);
        self.send(SocketAddr::from((*flow.client.ip(), self.client_port)));
    }

    /// Sends the encoded datagram. If the operating system does not accept it, it is counted and
    /// not retried, like a packet lost in the network.
    fn send(&mut self, to: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(&self.outgoing, to) {
            self.counts.add(Count::Unsent);
            self.log.write_unsent(self.clock.now(), to, &error);
        }
    }

    /// Executes the balancer's pending actions and logs its decisions.
    fn run_actions(&mut self, now: Time) {
        let mut actions = std::mem::take(&mut self.actions);
        actions.extend(self.balancer.take_actions());
        for action in actions.drain(..) {
            match action {
                Action::Open { flow, syn, target } => {
                    packet::encode_syn(&flow, &syn, &target, &mut self.outgoing);
                    self.send(SocketAddr::V4(target.address));
                }
                Action::Reset { flow, sequence } => self.reset(&flow, sequence),
                Action::ProbeServer { server, address } => {
                    prober::start_server_probe(server, address, now, self.self_ref.clone());
                }
                Action::Probe(addresses) => prober::start(addresses, self.self_ref.clone()),
            }
        }
        self.actions = actions;
        self.log.write(now, self.balancer.take_log());
    }

    fn update_readiness(&self) {
        let ready = self.balancer.is_ready() && self.shutdown.is_none();
        self.ready.send_if_modified(|current| {
            let changed = *current != ready;
            *current = ready;
            if changed {
                log::info!("event=readiness ready={ready}");
            }
            changed
        });
    }
}

impl Message<StoreUpdate> for Forwarder {
    type Reply = ();

    async fn handle(&mut self, update: StoreUpdate, _context: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.balancer.apply_update(now, update);
        self.release_held(now);
        self.run_actions(now);
        self.update_readiness();
    }
}

impl Message<ProbeResult> for Forwarder {
    type Reply = ();

    async fn handle(&mut self, result: ProbeResult, _context: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.balancer
            .record_probes(now, result.attempted, result.reached);
        self.run_actions(now);
        self.update_readiness();
    }
}

impl Message<ServerProbe> for Forwarder {
    type Reply = ();

    async fn handle(&mut self, probe: ServerProbe, _context: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.balancer.record_server_probe(now, probe);
        self.run_actions(now);
    }
}

impl Message<DecisionSettings> for Forwarder {
    type Reply = ();

    async fn handle(&mut self, settings: DecisionSettings, _: &mut Context<Self, ()>) {
        self.balancer.set_settings(settings);
    }
}

impl Message<StartShutdown> for Forwarder {
    type Reply = ();

    async fn handle(&mut self, start: StartShutdown, _context: &mut Context<Self, ()>) {
        self.shutdown = Some(RunningShutdown {
            progress: Shutdown::new(self.clock.now()),
            settings: start.settings,
            complete: Some(start.complete),
        });
        self.update_readiness();
    }
}

impl Message<FailedCheck> for Forwarder {
    type Reply = ();

    async fn handle(&mut self, _: FailedCheck, _context: &mut Context<Self, ()>) {
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.progress.record_failed_check();
        }
        self.check_shutdown(self.clock.now());
    }
}

impl Message<GetCounts> for Forwarder {
    type Reply = Result<ForwarderCounts, kameo::error::Infallible>;

    async fn handle(&mut self, _: GetCounts, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let counts = self.balancer.counts().plus(&self.counts);
        Ok(ForwarderCounts {
            counts: counts.plus(self.log.counts()),
            flows: self.balancer.flows(),
            view_age: self.balancer.view_age(self.clock.now()),
        })
    }
}
