//! The actor that owns the UDP socket for packets that instances relay to each other.

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
    /// The address at which the socket receives packets. The daemon sets it to `instance.relay`, so
    /// it is not a key of these settings.
    #[serde(skip)]
    pub listen: SocketAddr,
    /// Size in bytes of the socket's receive buffer in the operating system.
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

/// The arguments of [`RelaySocket`].
pub struct RelayArgs {
    pub settings: RelaySettings,
    /// The process-wide clock.
    pub clock: Clock,
    /// The services known at the start, which the decoder needs.
    pub services: Services,
    /// Receives the relayed packets as events.
    pub consumer: Recipient<Vec<Event>>,
}

/// Decodes datagrams of other instances into events. A datagram without a relay field is invalid.
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

/// Owns the socket for relayed packets.
pub struct RelaySocket {
    address: SocketAddr,
    sender: BatchSender,
    receiver: Receiver<Services>,
}

impl Actor for RelaySocket {
    type Args = RelayArgs;
    type Error = SocketError;

    async fn on_start(args: RelayArgs, _actor_ref: ActorRef<Self>) -> Result<Self, SocketError> {
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
    /// The address at which the instance receives relayed packets.
    pub address: SocketAddr,
    /// The relay field, which tells the instance how to handle the packet.
    pub relay: Relay,
    pub packet: Packet,
}

/// Sends packets to other instances.
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

/// Replaces the services that the decoder knows.
pub struct SetRelayServices(pub Services);

impl Message<SetRelayServices> for RelaySocket {
    type Reply = ();

    async fn handle(&mut self, message: SetRelayServices, _: &mut Context<Self, ()>) {
        self.receiver.update(message.0).await;
    }
}

/// Requests the counts of received and sent packets.
pub struct GetRelayCounts;

impl Message<GetRelayCounts> for RelaySocket {
    type Reply = Counts;

    async fn handle(&mut self, _: GetRelayCounts, _: &mut Context<Self, Counts>) -> Counts {
        let counts = self.receiver.counts().await;
        counts.with_sender(self.sender.counts())
    }
}

/// Requests the local address of the socket.
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
