//! Decisions on flows and changes of state, for the log.

use std::sync::Arc;
use std::time::Duration;

use super::segment::FlowTuple;
use super::server_loss::{
    Evidence,
    ProbeAnswer, //
};
use super::store_update::Revision;

/// Reason for sending a SYN to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The first SYN of the client.
    First,
    /// The client retransmitted its SYN, because it had no answer.
    #[strum(serialize = "copy")]
    Retransmit,
    /// The handshake timed out.
    Unanswered,
}

/// Reason for not forwarding a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumCount, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No route has the packet's service address.
    NoRoute,
    /// No backend server of the service is available.
    NoServer,
    /// The packet's tag belongs to no known backend server.
    UnknownTag,
}

/// A decision on a flow, or a change of state.
#[derive(Clone, Debug)]
pub enum Decision {
    /// A SYN was sent to a backend server.
    Open {
        flow: FlowTuple,
        cause: Cause,
        route: Arc<str>,
        /// The version of the routes.
        version: u64,
        server: Arc<str>,
        /// The zone of the backend server.
        zone: Arc<str>,
        tier: &'static str,
        /// Active flows that the instance already has at this backend server.
        active_flows: u32,
        /// Time since the store last confirmed the view.
        view_age: Duration,
    },
    /// A SYN arrived before the first update of the store.
    Buffer {
        flow: FlowTuple,
        /// Whether the SYN was buffered; false if the buffer was full.
        buffered: bool,
    },
    Established {
        flow: FlowTuple,
        server: Arc<str>,
        /// Time since the SYN was sent to this backend server.
        after: Duration,
    },
    Refuse {
        flow: FlowTuple,
        refusal: Refusal,
        /// Whether a reset was sent to the client.
        reset: bool,
        /// The version of the routes.
        version: u64,
        /// Time since the store last confirmed the view.
        view_age: Duration,
    },
    /// An open flow was reset, because its backend server is gone.
    ResetFlow {
        flow: FlowTuple,
        /// Empty if the server is unknown.
        server: Arc<str>,
        evidence: Evidence,
    },
    /// A backend server that did not answer a client was probed.
    ServerProbe {
        server: Arc<str>,
        answer: ProbeAnswer,
        /// Time since the probe was requested.
        after: Duration,
        /// Whether the server counts as gone.
        lost: bool,
    },
    /// New routes became active.
    Routes {
        version: u64,
        /// The number of routes.
        count: usize,
        /// The revision of the store.
        revision: Revision,
    },
    /// The registration of a backend server changed.
    Registration {
        server: Arc<str>,
        zone: Arc<str>,
        registration: &'static str,
        /// The remaining warm-up time.
        warmup_left: Duration,
        /// The revision of the store.
        revision: Revision,
    },
    /// The entry of a backend server is invalid.
    InvalidEntry {
        /// The identifier in the store.
        server: Arc<str>,
        reason: String,
    },
    /// The health state of a backend server changed.
    Health {
        server: Arc<str>,
        zone: Arc<str>,
        state: &'static str,
    },
    /// The handshakes with all backend servers of a zone time out, or complete again.
    ZoneHealth { zone: Arc<str>, suspect: bool },
    /// A zone was evacuated or restored.
    Zone {
        zone: Arc<str>,
        evacuated: bool,
        /// The revision of the store.
        revision: Revision,
    },
    /// The store has not confirmed the view within the bound, or has confirmed it again.
    ViewAge {
        /// Whether the view is too old.
        stale: bool,
        /// Time since the store last confirmed the view.
        age: Duration,
    },
    /// Probes of backend servers of other zones start, because no backend server answered a flow or
    /// the instance is isolated.
    Probe {
        /// The number of backend servers that are probed.
        count: usize,
        /// Time since the store last confirmed the view.
        view_age: Duration,
    },
    /// The instance became isolated from other zones, or reached them again.
    Isolation {
        isolated: bool,
        /// The number of backend servers that were probed.
        probed: usize,
        /// The number of them that were reached.
        reached: usize,
    },
}
