//! What an instance tells operators about itself.

use smallvec::SmallVec;

use crate::event::Health;
use crate::ids::{
    BackendServerId,
    InstanceId,
    Revision,
    ServiceId, //
};
use crate::packet::Reason;
use crate::peer::{
    Member,
    MemberUpdate, //
};

/// A condition that an operator should look into.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::EnumString, strum::FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Flag {
    /// The platform does not answer.
    PlatformLost = 1,
    /// The lease of an owned backend server lapsed.
    Fenced = 2,
    /// No other instance of the zone is known.
    Alone = 3,
    /// A peer has a later configuration.
    Behind = 4,
    /// An owned backend server is taken for failed.
    ServerDown = 5,
    /// The instance is leaving.
    Leaving = 6,
    /// The instance has no configuration yet.
    Unconfigured = 7,
}

/// An owned backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnedStatus {
    /// The backend server.
    pub backend_server: BackendServerId,
    /// How many requests may run at once; at most its slots.
    pub limit: u32,
    /// How many run.
    pub running: u32,
    /// How many wait.
    pub queued: u32,
    /// How many flows it holds.
    pub flows: u32,
    /// Whether the lease lapsed.
    pub fenced: bool,
    /// What its health endpoint said last.
    pub health: Health,
}

/// What an instance tells operators about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The instance.
    pub member: Member,
    /// Its configuration.
    pub revision: Revision,
    /// Flows with a record here.
    pub flows: u64,
    /// Requests in progress.
    pub requests: u64,
    /// The backend servers that it owns.
    pub owned: Vec<OwnedStatus>,
    /// The members that it knows.
    pub members: Vec<MemberUpdate>,
    /// Conditions to look into.
    pub flags: SmallVec<[Flag; 4]>,
}

/// One candidate of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CandidateStatus {
    /// The backend server.
    pub backend_server: BackendServerId,
    /// Its owner, if one is known.
    pub owner: Option<InstanceId>,
}

/// What an instance holds of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowStatus {
    /// Nothing.
    None,
    /// It serves the flow on a backend server that it owns.
    Hosted {
        /// The backend server.
        backend_server: BackendServerId,
        /// How many requests are in progress.
        requests: u32,
    },
    /// It knows that the flow is served elsewhere.
    Redirected {
        /// The backend server.
        backend_server: BackendServerId,
    },
    /// It remembers that the flow was closed.
    Closed {
        /// Why.
        reason: Reason,
    },
}

/// Why a flow is where it is, as one instance sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explanation {
    /// The service.
    pub service: ServiceId,
    /// The configuration that the candidates come from.
    pub revision: Revision,
    /// The candidates in order.
    pub candidates: SmallVec<[CandidateStatus; 4]>,
    /// What the instance holds of the flow.
    pub status: FlowStatus,
}
