//! What can happen to an instance.

use std::sync::Arc;

use crate::config::{
    Configuration,
    Record, //
};
use crate::ids::{
    BackendServerId,
    InstanceId, //
};
use crate::packet::{
    Packet,
    Relay, //
};
use crate::peer::{
    Member,
    MemberState,
    PeerMessage, //
};

/// What a backend server's health endpoint said. A hint: it may lag or mislead.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Health {
    /// It says that it serves.
    Serving,
    /// It says that it does not serve.
    NotServing,
    /// It did not answer.
    Unreachable,
}

/// What a backend server's load endpoint said. A hint: it may lag or mislead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub requests: u32,
    /// Flows that it holds.
    pub flows: u32,
    /// Drawn anew at each start of the backend server.
    pub boot: u64,
}

/// One entry of the platform's instance registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryEntry {
    /// The instance.
    pub member: Member,
    /// `Live` or `Leaving`.
    pub state: MemberState,
}

/// What can happen to an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The fabric delivered a packet of a caller.
    CallerPacket(Packet),
    /// Another instance passed a packet on.
    RelayedPacket {
        /// What it said about the packet.
        relay: Relay,
        /// The packet.
        packet: Packet,
    },
    /// A backend server sent a packet.
    ServerPacket {
        /// The backend server.
        backend_server: BackendServerId,
        /// The packet.
        packet: Packet,
    },
    /// Another instance sent a control message.
    PeerMessage {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Records of the configuration log arrived from the store, consecutive and rising.
    Records(Vec<Record>),
    /// A whole configuration arrived from the store.
    Snapshot(Arc<Configuration>),
    /// The platform's instance registry was read.
    Registry(Vec<RegistryEntry>),
    /// The platform began (true) or ceased (false) to answer.
    Platform(bool),
    /// A health poll ended.
    Health {
        /// The backend server.
        backend_server: BackendServerId,
        /// What it said.
        health: Health,
    },
    /// A load poll ended.
    Load {
        /// The backend server.
        backend_server: BackendServerId,
        /// What it said.
        report: LoadReport,
    },
    /// The operator asked for a graceful shutdown.
    Leave,
}
