//! Decisions on flows and changes of belief, to be logged.

use std::sync::Arc;
use std::time::Duration;

use super::segment::FlowTuple;
use super::store_update::Revision;

/// Why a flow was opened at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// It is the client's first opening packet.
    First,
    /// The client sent a copy, because it had no answer.
    #[strum(serialize = "copy")]
    Retransmit,
    /// The handshake did not complete in time.
    Unanswered,
}

/// Why a packet was not forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumCount, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No route leads from its address.
    NoRoute,
    /// No backend server of the service may be used.
    NoServer,
    /// Its tag names no known backend server.
    UnknownTag,
}

/// A decision on a flow or a change of belief.
#[derive(Clone, Debug)]
pub enum Decision {
    /// An opening packet was sent to a backend server.
    Open {
        /// The flow.
        flow: FlowTuple,
        /// Why.
        cause: Cause,
        /// The name of the route.
        route: Arc<str>,
        /// The version of the routes.
        version: u64,
        /// The chosen backend server.
        server: Arc<str>,
        /// Its zone.
        zone: Arc<str>,
        /// How willing it is.
        tier: &'static str,
        /// Its flows from this instance, without this one.
        active_flows: u32,
        /// How old the news from the store is.
        view_age: Duration,
    },
    /// An opening packet came before the first news of the store.
    Buffer {
        /// The flow.
        flow: FlowTuple,
        /// Whether it waits for the news; else there was no room.
        buffered: bool,
    },
    /// A handshake completed.
    Established {
        /// The flow.
        flow: FlowTuple,
        /// The backend server.
        server: Arc<str>,
        /// The time since the opening packet was sent to it.
        after: Duration,
    },
    /// A flow was refused.
    Refuse {
        /// The flow.
        flow: FlowTuple,
        /// Why.
        refusal: Refusal,
        /// Whether the client was told by a reset.
        reset: bool,
        /// The version of the routes.
        version: u64,
        /// How old the news from the store is.
        view_age: Duration,
    },
    /// Routes came into force.
    Routes {
        /// Their version.
        version: u64,
        /// How many there are.
        count: usize,
        /// The revision of the store.
        revision: Revision,
    },
    /// What the store says about a backend server changed.
    Registration {
        /// The backend server.
        server: Arc<str>,
        /// Its zone.
        zone: Arc<str>,
        /// What the store says.
        registration: &'static str,
        /// How long it stays cold.
        cold: Duration,
        /// The revision of the store.
        revision: Revision,
    },
    /// The entry of a backend server cannot be used.
    InvalidEntry {
        /// The identifier in the store.
        server: Arc<str>,
        /// Why.
        reason: String,
    },
    /// What passing packets tell about a backend server changed.
    Health {
        /// The backend server.
        server: Arc<str>,
        /// Its zone.
        zone: Arc<str>,
        /// Its standing.
        state: &'static str,
    },
    /// A zone went out of service or came back.
    Zone {
        /// The zone.
        zone: Arc<str>,
        /// Whether it is out.
        evacuated: bool,
        /// The revision of the store.
        revision: Revision,
    },
    /// Backend servers of other zones are probed, as a flow found none that answers.
    Probe {
        /// How many.
        count: usize,
        /// How old the news from the store is.
        view_age: Duration,
    },
    /// The instance is cut off from other zones, or no longer.
    Isolation {
        /// Whether it is cut off.
        isolated: bool,
        /// How many backend servers were probed.
        probed: usize,
        /// How many of them were reached.
        reached: usize,
    },
}
