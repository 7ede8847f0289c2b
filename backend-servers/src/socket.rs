//! Actor that owns the backend server socket.

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

use crate::ingress::{
    ServerIngress,
    Update, //
};
use crate::servers::Servers;
use crate::settings::Settings;

/// Arguments of a new [`BackendSocket`].
pub struct Arguments {
    pub settings: Settings,
    /// Clock shared by all parts of the process.
    pub clock: Clock,
    /// Initial services, replaced by [`SetServices`].
    pub services: Services,
    /// Initial backend servers, replaced by [`SetServers`].
    pub servers: Servers,
    /// Receives the events for incoming packets.
    pub consumer: Recipient<Vec<Event>>,
}

/// Actor that sends and receives the packets of backend servers.
pub struct BackendSocket {
    address: SocketAddr,
    sender: BatchSender,
    receiver: Receiver<Update>,
}

impl Actor for BackendSocket {
    type Args = Arguments;
    type Error = SocketError;

    async fn on_start(
        arguments: Arguments,
        _actor: ActorRef<BackendSocket>,
    ) -> Result<BackendSocket, SocketError> {
        let settings = arguments.settings;
        let socket = Arc::new(BatchSocket::bind(settings.listen, settings.receive_buffer)?);
        let ingress = ServerIngress {
            services: arguments.services,
            servers: arguments.servers,
        };
        Ok(BackendSocket {
            address: socket.address()?,
            sender: BatchSender::new(socket.clone(), arguments.clock),
            receiver: Receiver::start(socket, arguments.clock, ingress, arguments.consumer),
        })
    }
}

/// Sends packets to the backend servers at these addresses.
pub struct SendPackets(pub Vec<(SocketAddr, Packet)>);

impl Message<SendPackets> for BackendSocket {
    type Reply = ();

    async fn handle(&mut self, message: SendPackets, _context: &mut Context<Self, ()>) {
        for (to, packet) in &message.0 {
            self.sender.push(*to, packet, None).await;
        }
        self.sender.flush().await;
    }
}

/// Replaces the services that incoming packets are matched with.
pub struct SetServices(pub Services);

impl Message<SetServices> for BackendSocket {
    type Reply = ();

    async fn handle(&mut self, message: SetServices, _context: &mut Context<Self, ()>) {
        self.receiver.update(Update::Services(message.0)).await;
    }
}

/// Replaces the backend servers from which packets are accepted.
pub struct SetServers(pub Servers);

impl Message<SetServers> for BackendSocket {
    type Reply = ();

    async fn handle(&mut self, message: SetServers, _context: &mut Context<Self, ()>) {
        self.receiver.update(Update::Servers(message.0)).await;
    }
}

/// Returns the counts of the socket.
pub struct GetCounts;

impl Message<GetCounts> for BackendSocket {
    type Reply = Counts;

    async fn handle(&mut self, _: GetCounts, _context: &mut Context<Self, Counts>) -> Counts {
        let counts = self.receiver.counts().await;
        counts.with_sender(self.sender.counts())
    }
}

/// Returns the local address.
pub struct GetAddress;

impl Message<GetAddress> for BackendSocket {
    type Reply = Result<SocketAddr, Infallible>;

    async fn handle(
        &mut self,
        _: GetAddress,
        _context: &mut Context<Self, Result<SocketAddr, Infallible>>,
    ) -> Result<SocketAddr, Infallible> {
        Ok(self.address)
    }
}
