//! The actor that owns the socket for packets that instances pass on to each other.

use std::net::{
    Ipv4Addr,
    SocketAddr, //
};
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
use lovagespindle_datagram::socket::{
    DEFAULT_RECEIVE_BUFFER,
    SocketError, //
};
use lovagespindle_datagram::{
    BatchSender,
    BatchSocket,
    Clock,
    Counts,
    Datagram,
    DecodeError,
    Ingress,
    Receiver,
    Services, //
};
use lovagespindle_decisions::packet::{
    Packet,
    Relay, //
};
use lovagespindle_decisions::{
    Event,
    Time, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Settings of the relay socket.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelaySettings {
    /// Where other instances send packets. Given by the instance's own address, not by a key.
    #[serde(skip)]
    pub listen: SocketAddr,
    /// How many bytes the operating system queues.
    pub receive_buffer: usize,
}

impl Default for RelaySettings {
    fn default() -> RelaySettings {
        RelaySettings {
            listen: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 4703)),
            receive_buffer: DEFAULT_RECEIVE_BUFFER,
        }
    }
}

/// What a [`RelaySocket`] starts with.
pub struct RelayArgs {
    /// Its settings.
    pub settings: RelaySettings,
    /// The clock of the process.
    pub clock: Clock,
    /// The services known so far.
    pub services: Services,
    /// Who takes the events.
    pub consumer: Recipient<Vec<Event>>,
}

/// Turns datagrams of other instances into events.
struct RelayIngress {
    services: Services,
}

impl Ingress for RelayIngress {
    type Update = Services;

    fn update(&mut self, update: Services) {
        self.services = update;
    }

    fn accept(
        &mut self,
        now: Time,
        _source: SocketAddr,
        bytes: &[u8],
    ) -> Result<Event, DecodeError> {
        let datagram = Datagram::decode(bytes, &self.services, now)?;
        let (relay, packet) = datagram.from_instance()?;
        Ok(Event::RelayedPacket { relay, packet })
    }
}

/// Owns the socket towards other instances.
pub struct RelaySocket {
    address: SocketAddr,
    sender: BatchSender,
    receiver: Receiver<Services>,
}

impl Actor for RelaySocket {
    type Args = RelayArgs;
    type Error = SocketError;

    async fn on_start(args: RelayArgs, _own: ActorRef<Self>) -> Result<Self, SocketError> {
        let settings = args.settings;
        let socket = Arc::new(BatchSocket::bind(settings.listen, settings.receive_buffer)?);
        let ingress = RelayIngress {
            services: args.services,
        };
        Ok(RelaySocket {
            address: socket.address()?,
            sender: BatchSender::new(Arc::clone(&socket), args.clock),
            receiver: Receiver::start(socket, args.clock, ingress, args.consumer),
        })
    }
}

/// A packet for another instance.
#[derive(Debug)]
pub struct RelayedPacket {
    /// Where the instance takes relayed packets.
    pub address: SocketAddr,
    /// What to say about the packet.
    pub relay: Relay,
    /// The packet.
    pub packet: Packet,
}

/// Passes packets on to other instances.
pub struct RelayPackets(pub Vec<RelayedPacket>);

impl Message<RelayPackets> for RelaySocket {
    type Reply = ();

    async fn handle(&mut self, message: RelayPackets, _: &mut Context<Self, ()>) {
        for relayed in &message.0 {
            let (address, relay) = (relayed.address, Some(&relayed.relay));
            self.sender.push(address, &relayed.packet, relay).await;
        }
        self.sender.flush().await;
    }
}

/// Replaces the services.
pub struct SetRelayServices(pub Services);

impl Message<SetRelayServices> for RelaySocket {
    type Reply = ();

    async fn handle(&mut self, message: SetRelayServices, _: &mut Context<Self, ()>) {
        self.receiver.update(message.0).await;
    }
}

/// Asks for the counts.
pub struct GetRelayCounts;

impl Message<GetRelayCounts> for RelaySocket {
    type Reply = Counts;

    async fn handle(&mut self, _: GetRelayCounts, _: &mut Context<Self, Counts>) -> Counts {
        let counts = self.receiver.counts().await;
        counts.with_sender(self.sender.counts())
    }
}

/// Asks for the local address.
pub struct GetRelayAddress;

impl Message<GetRelayAddress> for RelaySocket {
    type Reply = Result<SocketAddr, Infallible>;

    async fn handle(
        &mut self,
        _: GetRelayAddress,
        _: &mut Context<Self, Result<SocketAddr, Infallible>>,
    ) -> Result<SocketAddr, Infallible> {
        Ok(self.address)
    }
}
