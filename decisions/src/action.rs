//! What an instance wants done.

use std::net::SocketAddr;

use crate::event::Listed;
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

/// What an instance wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a packet to its caller through the fabric.
    SendCaller(Packet),
    /// Send a packet to a backend server.
    SendServer {
        /// The backend server.
        backend_server: BackendServerId,
        /// Where it takes packets.
        address: SocketAddr,
        /// The packet.
        packet: Packet,
    },
    /// Pass a packet on to another instance.
    Relay {
        /// The instance.
        to: InstanceId,
        /// Where it takes relayed packets.
        address: SocketAddr,
        /// What to say about the packet.
        relay: Relay,
        /// The packet.
        packet: Packet,
    },
    /// Send a control message to another instance.
    SendPeer {
        /// The instance.
        to: InstanceId,
        /// Where it takes control messages.
        address: SocketAddr,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// The link to an instance went silent: open a new one.
    Reconnect {
        /// The instance.
        to: InstanceId,
        /// Where it takes control messages.
        address: SocketAddr,
    },
    /// Poll the health and load of a backend server from now on.
    StartPolling {
        /// The backend server.
        backend_server: BackendServerId,
        /// Where it answers health and load calls.
        health: SocketAddr,
    },
    /// Poll it no more.
    StopPolling {
        /// The backend server.
        backend_server: BackendServerId,
    },
    /// Hold a watch on the configuration log (true) or end it (false).
    Watch(bool),
    /// Read the configuration log after a revision.
    ReadStore {
        /// The revision that the instance has.
        after: Revision,
    },
    /// Read the platform's list of instances.
    ReadList,
    /// Put this instance on the platform's list, in place of its earlier entry.
    Enlist(Listed),
    /// Take an instance of the own zone off the platform's list.
    Unlist(InstanceId),
    /// Note a change of state on the time line.
    Note(StateChange),
    /// Everything is handed over: the process may stop.
    Stop,
}
