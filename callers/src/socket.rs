//! Actor that owns the caller socket.

use std::net::SocketAddr;
use std::sync::Arc;

use kameo::actor::{
    Actor,
    ActorRef,
    Recipient, //
};
use kameo::error::Infallible;
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_datagram::socket::SocketError;
use lovagespindle_datagram::{
    BatchSender,
    BatchSocket,
    Clock,
    Counts,
    Receiver,
    Services, //
};
use lovagespindle_decisions::Event;
use lovagespindle_decisions::packet::Packet;

use crate::ingress::CallerIngress;
use crate::settings::Settings;

/// Arguments of a new [`CallerSocket`].
pub struct Arguments {
    pub settings: Settings,
    /// Clock shared by all parts of the process.
    pub clock: Clock,
    /// Initial services, replaced by [`SetServices`].
    pub services: Services,
    /// Receives the events for incoming packets.
    pub consumer: Recipient<Vec<Event>>,
}

/// Actor that sends and receives the packets of callers.
pub struct CallerSocket {
    fabric: SocketAddr,
    address: SocketAddr,
    sender: BatchSender,
    receiver: Receiver<Services>,
}

impl Actor for CallerSocket {
    type Args = Arguments;
    type Error = SocketError;

    async fn on_start(
        arguments: Arguments,
        _actor: ActorRef<CallerSocket>,
    ) -> Result<CallerSocket, SocketError> {
        let settings = arguments.settings;
        let socket = Arc::new(BatchSocket::bind(settings.listen, settings.receive_buffer)?);
        let ingress = CallerIngress {
            services: arguments.services,
        };
        Ok(CallerSocket {
            fabric: settings.fabric,
            address: socket.address()?,
            sender: BatchSender::new(socket.clone(), arguments.clock),
            receiver: Receiver::start(socket, arguments.clock, ingress, arguments.consumer),
        })
    }
}

/// Sends packets to their callers through the fabric.
pub struct SendPackets(pub Vec<Packet>);

impl Message<SendPackets> for CallerSocket {
    type Reply = ();

    async fn handle(&mut self, message: SendPackets, _context: &mut Context<Self, ()>) {
        for packet in &message.0 {
            self.sender.push(self.fabric, packet, None).await;
        }
        self.sender.flush().await;
    }
}

/// Replaces the services that incoming packets are matched with.
pub struct SetServices(pub Services);

impl Message<SetServices> for CallerSocket {
    type Reply = ();

    async fn handle(&mut self, message: SetServices, _context: &mut Context<Self, ()>) {
        self.receiver.update(message.0).await;
    }
}

/// Returns the counts of the socket.
pub struct GetCounts;

impl Message<GetCounts> for CallerSocket {
    type Reply = Counts;

    async fn handle(&mut self, _: GetCounts, _context: &mut Context<Self, Counts>) -> Counts {
        let counts = self.receiver.counts().await;
        counts.with_sender(self.sender.counts())
    }
}

/// Returns the local address.
pub struct GetAddress;

impl Message<GetAddress> for CallerSocket {
    type Reply = Result<SocketAddr, Infallible>;

    async fn handle(
        &mut self,
        _: GetAddress,
        _context: &mut Context<Self, Result<SocketAddr, Infallible>>,
    ) -> Result<SocketAddr, Infallible> {
        Ok(self.address)
    }
}
