//! The actor that owns the socket towards callers.

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

/// What a [`CallerSocket`] starts with.
pub struct Arguments {
    /// Its settings.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// The services known so far.
    pub services: Services,
    /// Who takes the events.
    pub consumer: Recipient<Vec<Event>>,
}

/// Owns the socket towards callers.
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

/// Replaces the services.
pub struct SetServices(pub Services);

impl Message<SetServices> for CallerSocket {
    type Reply = ();

    async fn handle(&mut self, message: SetServices, _context: &mut Context<Self, ()>) {
        self.receiver.update(message.0).await;
    }
}

/// Asks for the counts.
pub struct GetCounts;

impl Message<GetCounts> for CallerSocket {
    type Reply = Counts;

    async fn handle(&mut self, _: GetCounts, _context: &mut Context<Self, Counts>) -> Counts {
        let counts = self.receiver.counts().await;
        counts.with_sender(self.sender.counts())
    }
}

/// Asks for the local address.
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
