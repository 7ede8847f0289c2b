//! The task of the stand-in caller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use lovagespindle_datagram::{
    Clock,
    Datagram,
    Sender,
    Services, //
};
use lovagespindle_decisions::ids::{
    FlowId,
    RequestId, //
};
use lovagespindle_decisions::packet::{
    Packet,
    PacketKind, //
};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::caller::{
    CallerReport,
    CallerSettings,
    Command,
    RequestOutcome, //
};
use crate::error::Error;

pub(crate) struct Task {
    socket: Arc<UdpSocket>,
    sender: Sender,
    address: SocketAddr,
    fabric: SocketAddr,
    services: Services,
    clock: Clock,
    inbox: mpsc::Receiver<Command>,
    /// Receivers of the packets of requests that have not ended.
    waiting: HashMap<(FlowId, RequestId), mpsc::Sender<Packet>>,
    report: CallerReport,
}

impl Task {
    pub(crate) fn new(
        settings: &CallerSettings,
        socket: UdpSocket,
        address: SocketAddr,
        clock: Clock,
        inbox: mpsc::Receiver<Command>,
    ) -> Result<Task, Error> {
        let socket = Arc::new(socket);
        Ok(Task {
            sender: Sender::new(socket.clone(), clock),
            socket,
            address,
            fabric: settings.fabric,
            services: settings.services.clone(),
            clock,
            inbox,
            waiting: HashMap::new(),
            report: CallerReport {
                latency: Histogram::new(3)?,
                answered: 0,
                refused: 0,
                unknown: 0,
                reset: 0,
                given_up: 0,
                timeouts: 0,
                retries: 0,
                late: 0,
                mismatched: 0,
                malformed: 0,
            },
        })
    }

    pub(crate) async fn run(mut self) {
        let mut buffer = [0; 2048];
        loop {
            let socket = self.socket.clone();
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
                received = socket.recv_from(&mut buffer) => if let Ok((length, _)) = received {
                    self.receive(&buffer[..length]);
                },
            }
        }
    }

    async fn handle_command(&mut self, command: Command) {
        match command {
            Command::Await(flow, request, sender) => {
                self.waiting.insert((flow, request), sender);
            }
            Command::Send(packet) => {
                self.report.retries += u64::from(packet.attempt > 0);
                self.sender.send(self.fabric, &packet, None).await;
            }
            Command::Ended(flow, request, outcome, latency) => {
                self.waiting.remove(&(flow, request));
                self.count(outcome, latency);
            }
            Command::Mismatched => self.report.mismatched += 1,
            Command::Report(sender) => {
                let _ = sender.send(self.report.clone());
            }
        }
    }

    fn count(&mut self, outcome: RequestOutcome, latency: Duration) {
        let report = &mut self.report;
        match outcome {
            RequestOutcome::Answered { .. } => {
                report.answered += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                report.latency.saturating_record(micros);
            }
            RequestOutcome::Refused(_) => report.refused += 1,
            RequestOutcome::Unknown(_) => report.unknown += 1,
            RequestOutcome::Reset(_) => report.reset += 1,
            RequestOutcome::GivenUp => report.given_up += 1,
            RequestOutcome::Timeout { .. } => report.timeouts += 1,
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let datagram = Datagram::decode(bytes, &self.services, self.clock.now());
        let Ok(packet) = datagram.and_then(Datagram::from_server) else {
            self.report.malformed += 1;
            return;
        };
        if packet.route.caller != self.address {
            self.report.mismatched += 1;
            return;
        }
        if packet.kind == PacketKind::Reset {
            self.reset(&packet);
            return;
        }
        match self.waiting.get(&(packet.flow, packet.request)) {
            Some(sender) if sender.try_send(packet).is_ok() => {}
            _ => self.report.late += 1,
        }
    }

    /// Passes a reset to all waiting requests of its flow.
    fn reset(&mut self, packet: &Packet) {
        let mut ended = 0;
        for ((flow, _), sender) in &self.waiting {
            if *flow == packet.flow && sender.try_send(packet.clone()).is_ok() {
                ended += 1;
            }
        }
        self.report.late += u64::from(ended == 0);
    }
}
