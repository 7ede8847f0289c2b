//! Actions: the outputs of an instance.

use std::net::SocketAddr;

use crate::event::RegistryEntry;
use crate::ids::{
    BackendServerId,
    InstanceId,
    Revision, //
};
use crate::packet::{
    Packet,
    Relay, //
};
use crate::peer::PeerMessage;
use crate::state_change::StateChange;

/// Output of an instance: something that the process has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a packet to its caller through the fabric.
    SendCaller(Packet),
    /// Send a packet to a backend server.
    SendServer {
        backend_server: BackendServerId,
        /// Address at which the backend server receives packets.
        address: SocketAddr,
        packet: Packet,
    },
    /// Relay a packet to another instance.
    Relay {
        to: InstanceId,
        /// Address at which the instance receives relayed packets.
        address: SocketAddr,
        /// Header to add to the packet.
        relay: Relay,
        packet: Packet,
    },
    /// Send a control message to another instance.
    SendPeer {
        to: InstanceId,
        /// Address at which the instance receives control messages.
        address: SocketAddr,
        message: Box<PeerMessage>,
    },
    /// Open a new link to an instance whose current link has stopped carrying messages.
    Reconnect {
        to: InstanceId,
        /// Address at which the instance receives control messages.
        address: SocketAddr,
    },
    /// Start polling the health and load of a backend server.
    StartPolling {
        backend_server: BackendServerId,
        /// Address at which the backend server serves health and load calls.
        health: SocketAddr,
    },
    /// Stop polling the health and load of a backend server.
    StopPolling { backend_server: BackendServerId },
    /// Start (true) or stop (false) watching the configuration log.
    Watch(bool),
    /// Read the configuration log after a revision.
    ReadStore {
        /// Revision that the instance has.
        after: Revision,
    },
    /// Read the platform's instance registry.
    ReadRegistry,
    /// Write this instance's entry to the instance registry, replacing an earlier one.
    Register(RegistryEntry),
    /// Remove the entry of an instance of the local zone from the instance registry.
    Deregister(InstanceId),
    /// Append a state change to the timeline.
    AppendTimeline(StateChange),
    /// Stop the process, because everything has been handed over.
    Stop,
}
