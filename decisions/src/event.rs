//! Events: the inputs of an instance.

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

/// Result of a health poll of a backend server. Advisory: it may be outdated or wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Health {
    /// It reports that it is serving.
    Serving,
    /// It reports that it is not serving.
    NotServing,
    /// It did not answer.
    Unreachable,
}

/// Result of a load poll of a backend server. Advisory: it may be outdated or wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of running requests.
    pub requests: u32,
    /// Number of open flows.
    pub flows: u32,
    /// Random number that the backend server chooses at each start.
    pub boot: u64,
}

/// Entry of the platform's instance registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryEntry {
    pub member: Member,
    /// `Live` or `Leaving`.
    pub state: MemberState,
}

/// Input of an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The fabric delivered a packet from a caller.
    CallerPacket(Packet),
    /// Another instance relayed a packet.
    RelayedPacket {
        /// Header that the other instance added.
        relay: Relay,
        packet: Packet,
    },
    /// A backend server sent a packet.
    ServerPacket {
        backend_server: BackendServerId,
        packet: Packet,
    },
    /// Another instance sent a control message.
    PeerMessage {
        from: InstanceId,
        message: Box<PeerMessage>,
    },
    /// Records of the configuration log arrived from the store, consecutive and in ascending order.
    Records(Vec<Record>),
    /// A complete configuration arrived from the store.
    Snapshot(Arc<Configuration>),
    /// The content of the platform's instance registry arrived.
    Registry(Vec<RegistryEntry>),
    /// The platform became available (true) or unavailable (false).
    Platform(bool),
    /// A health poll ended.
    Health {
        backend_server: BackendServerId,
        health: Health,
    },
    /// A load poll succeeded.
    Load {
        backend_server: BackendServerId,
        report: LoadReport,
    },
    /// The operator requested a graceful shutdown.
    Leave,
}
