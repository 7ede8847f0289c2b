//! Messages between instances, independent of their encoding.

use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::config::Record;
use crate::flows::MAX_FINISHED;
use crate::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    RequestId,
    Revision,
    ServiceId,
    ZoneId, //
};
use crate::packet::Route;

/// Identity and addresses of an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Member {
    /// Identifier of the instance's process.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// TCP address for control messages.
    pub control: SocketAddr,
    /// UDP address for relayed packets.
    pub relay: SocketAddr,
}

/// State of a member, in order of precedence at equal incarnations.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum MemberState {
    /// The member answers.
    Live = 1,
    /// The member is handing over and takes no new ownership.
    Leaving = 2,
    /// The member was declared dead or has left. Final for its identifier unless it refutes this
    /// with a higher incarnation.
    Dead = 3,
}

/// State of one member, as instances exchange it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberUpdate {
    pub member: Member,
    pub state: MemberState,
    /// Raised by the member itself to refute a false dead declaration. The higher incarnation wins,
    /// and at equal incarnations the later state.
    pub incarnation: u32,
}

impl MemberUpdate {
    /// Returns whether this update replaces `other`, an update of the same member.
    pub fn supersedes(&self, other: &MemberUpdate) -> bool {
        (self.incarnation, self.state as u8) > (other.incarnation, other.state as u8)
    }
}

/// Load of an owned backend server, for the owners of other backend servers of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadShare {
    pub backend_server: BackendServerId,
    /// Slots in use plus queued requests, in 1/256 of the slots.
    pub used: u16,
    /// Number of concurrent requests that the owner admits.
    pub limit: u16,
    /// Low bits of the boot number, by which a restart is detected that makes the limit invalid.
    pub boot: u32,
}

/// Placement override: a flow that is served by another backend server than its first choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowOverride {
    pub flow: FlowId,
    pub service: ServiceId,
    pub backend_server: BackendServerId,
}

/// Request in progress, as a releasing owner hands it over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestState {
    pub request: RequestId,
    /// Whether the request may be executed twice.
    pub idempotent: bool,
    /// Time until the deadline in milliseconds, or `None` without a deadline.
    pub remaining: Option<u32>,
}

/// Flow as a releasing owner hands it over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowState {
    pub flow: FlowId,
    pub service: ServiceId,
    pub route: Route,
    /// Backend server that serves the flow. Differs from the one that is handed over if the flow
    /// has a placement override.
    pub backend_server: BackendServerId,
    /// Requests that the backend server is executing.
    pub requests: SmallVec<[RequestState; 2]>,
    /// Tags of finished requests, newest first; 0 for unused positions.
    pub finished: [u32; MAX_FINISHED],
}

/// Maximum number of membership updates in one message.
pub const MAX_UPDATES: usize = 6;

/// Maximum number of placement overrides in one message, so that a frame stays below 64 KiB.
pub const MAX_OVERRIDES: usize = 1024;

/// Maximum number of flows in one handover message, so that a frame stays below 64 KiB.
pub const MAX_FLOWS: usize = 256;

/// Control message between instances.
#[derive(Clone, Debug, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PeerMessage {
    /// Requests an acknowledgement and carries membership updates, loads and the digest of the
    /// members.
    Heartbeat {
        /// The sender, so that it needs no other introduction to a member that does not know it.
        sender: MemberUpdate,
        /// Rises with each heartbeat of the sender.
        sequence: u64,
        /// Revision of the sender's configuration.
        revision: Revision,
        /// Equal at instances that agree on the members of the sender's zone.
        digest: u64,
        /// At most [`MAX_UPDATES`].
        updates: SmallVec<[MemberUpdate; MAX_UPDATES]>,
        /// Loads of the backend servers that the sender owns.
        loads: SmallVec<[LoadShare; 8]>,
    },
    /// Acknowledges a heartbeat.
    HeartbeatAck {
        sender: MemberUpdate,
        /// Sequence number of the acknowledged heartbeat.
        sequence: u64,
        /// Revision of the sender's configuration.
        revision: Revision,
        /// Equal at instances that agree on the members of the sender's zone.
        digest: u64,
        /// At most [`MAX_UPDATES`].
        updates: SmallVec<[MemberUpdate; MAX_UPDATES]>,
    },
    /// Requests a third instance to forward a heartbeat to a member that does not answer directly.
    ProbeRequest {
        /// The member that does not answer.
        target: Member,
        /// The sender of the heartbeat.
        sender: MemberUpdate,
        sequence: u64,
    },
    /// Heartbeat of `origin`, forwarded by the sender of this message.
    ProbeForward { origin: MemberUpdate, sequence: u64 },
    /// Acknowledgement of a forwarded heartbeat by `target`, on its way back to `origin`.
    ProbeReply {
        origin: InstanceId,
        target: InstanceId,
        /// Sequence number of the acknowledged heartbeat.
        sequence: u64,
    },
    /// Requests the members of a zone after a digest differed.
    PullMembers { zone: ZoneId },
    /// Members of one zone, split into several messages if they are many.
    Members { updates: Vec<MemberUpdate> },
    /// Requests the configuration records after a revision.
    PullChanges {
        /// The sender's revision.
        after: Revision,
    },
    /// Configuration records with consecutive, rising revisions.
    Changes { records: Vec<Record> },
    /// Registers placement overrides with the owner of their first choice.
    #[strum(serialize = "register_exceptions")]
    RegisterOverrides {
        /// At most [`MAX_OVERRIDES`].
        overrides: Vec<FlowOverride>,
    },
    /// Hands a backend server over to its next owner.
    Handover {
        backend_server: BackendServerId,
        /// Number of concurrent requests that the former owner admitted; 0 if it never admitted
        /// any.
        limit: u32,
        /// At most [`MAX_FLOWS`].
        flows: Vec<FlowState>,
        /// Whether this is the last message of the handover.
        last: bool,
    },
    /// Announces that the sender is about to stop.
    Leave { sender: MemberUpdate },
}
