//! Status of an instance as it is reported to operators.

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

/// Condition that needs the attention of an operator.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::EnumString, strum::FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Flag {
    /// The platform does not answer.
    PlatformLost = 1,
    /// The lease of an owned backend server has expired.
    Fenced = 2,
    /// No other instance of the zone is known.
    Alone = 3,
    /// A peer has a later configuration.
    Behind = 4,
    /// An owned backend server is marked down.
    ServerDown = 5,
    /// The instance is leaving.
    Leaving = 6,
    /// The instance has no configuration yet.
    Unconfigured = 7,
}

/// Status of an owned backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnedStatus {
    pub backend_server: BackendServerId,
    /// Maximum number of concurrent requests; at most its slots.
    pub limit: u32,
    /// Number of requests that are executing.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of flows that it serves.
    pub flows: u32,
    /// Whether the owner admits no requests, because its lease has expired or it has not completed
    /// the takeover.
    pub fenced: bool,
    /// Last result of its health endpoint.
    pub health: Health,
}

/// Status of an instance as it is reported to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub member: Member,
    /// Revision of the active configuration.
    pub revision: Revision,
    /// Number of flow records.
    pub flows: u64,
    /// Number of requests in progress.
    pub requests: u64,
    pub owned: Vec<OwnedStatus>,
    pub members: Vec<MemberUpdate>,
    pub flags: SmallVec<[Flag; 4]>,
}

/// Candidate of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CandidateStatus {
    pub backend_server: BackendServerId,
    /// Owner of the backend server, if one is known.
    pub owner: Option<InstanceId>,
}

/// Status of a flow at one instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowStatus {
    /// The instance has no record of the flow, or refused it.
    None,
    /// The instance serves the flow on a backend server that it owns.
    Hosted {
        backend_server: BackendServerId,
        /// Number of requests in progress.
        requests: u32,
    },
    /// The flow is served by a backend server of another owner.
    Redirected { backend_server: BackendServerId },
    /// The flow was closed.
    Closed { reason: Reason },
}

/// Explanation of the placement of a flow by one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explanation {
    pub service: ServiceId,
    /// Revision of the configuration that the candidates come from.
    pub revision: Revision,
    /// Candidates in order of preference.
    pub candidates: SmallVec<[CandidateStatus; 4]>,
    /// Status of the flow at the instance.
    pub status: FlowStatus,
}
