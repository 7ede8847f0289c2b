//! Messages between instances, free of any encoding.

use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::config::Record;
use crate::flows::FINISHED;
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

/// Where an instance can be reached.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Member {
    /// The run of the instance.
    pub id: InstanceId,
    /// The availability zone that it lives in.
    pub zone: ZoneId,
    /// Where it takes control messages (TCP).
    pub control: SocketAddr,
    /// Where it takes relayed packets (UDP).
    pub relay: SocketAddr,
}

/// What is known of a member's life.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum MemberState {
    /// It answers.
    Live = 1,
    /// It is handing over and takes no new ownership.
    Leaving = 2,
    /// It was declared failed or has left. Final for this id unless it refutes with a higher
    /// incarnation.
    Dead = 3,
}

/// One entry of the membership, as it spreads between instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberUpdate {
    /// The member.
    pub member: Member,
    /// Its state.
    pub state: MemberState,
    /// Raised by the member itself to refute a wrong verdict; the higher one wins, and at equal
    /// incarnations the later state.
    pub incarnation: u32,
}

impl MemberUpdate {
    /// Returns whether this update replaces `other` of the same member.
    pub fn supersedes(&self, other: &MemberUpdate) -> bool {
        (self.incarnation, self.state as u8) > (other.incarnation, other.state as u8)
    }
}

/// How loaded an owned backend server is, for owners of the same service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadShare {
    /// The backend server.
    pub backend_server: BackendServerId,
    /// Slots in use plus requests queued, in 1/256 of its slots.
    pub used: u16,
    /// How many requests its owner lets it run at once.
    pub limit: u16,
    /// The low bits of its boot number, by which the limit is void after a restart.
    pub boot: u32,
}

/// A flow that is served by another backend server than its first choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowOverride {
    /// The flow.
    pub flow: FlowId,
    /// Its service.
    pub service: ServiceId,
    /// The backend server that serves it.
    pub backend_server: BackendServerId,
}

/// A request in progress, as a leaving owner hands it over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestState {
    /// The request.
    pub request: RequestId,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// How long until its deadline, in milliseconds; none if it has no deadline.
    pub remaining: Option<u32>,
}

/// A flow as a leaving owner hands it over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowState {
    /// The flow.
    pub flow: FlowId,
    /// Its service.
    pub service: ServiceId,
    /// Its addresses.
    pub route: Route,
    /// The backend server that serves it. Differs from the one handed over for an exception.
    pub backend_server: BackendServerId,
    /// Requests that its backend server is running.
    pub requests: SmallVec<[RequestState; 2]>,
    /// Tags of finished requests, newest first; 0 for none.
    pub finished: [u32; FINISHED],
}

/// The most membership updates in one message.
pub const MAX_UPDATES: usize = 6;

/// The most exceptions in one message, so that a frame stays under 64 KiB.
pub const MAX_OVERRIDES: usize = 1024;

/// The most flows in one handover message, so that a frame stays under 64 KiB.
pub const MAX_FLOWS: usize = 256;

/// A control message between instances.
#[derive(Clone, Debug, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PeerMessage {
    /// Asks for an acknowledgement and carries membership, load and the configuration digest.
    Heartbeat {
        /// The sender, so that a first contact needs no other introduction.
        sender: MemberUpdate,
        /// Rises with each heartbeat of the sender.
        sequence: u64,
        /// The sender's configuration.
        revision: Revision,
        /// Equal at two instances that agree on the members of the sender's zone.
        digest: u64,
        /// At most [`MAX_UPDATES`].
        updates: SmallVec<[MemberUpdate; MAX_UPDATES]>,
        /// Loads of the backend servers that the sender owns.
        loads: SmallVec<[LoadShare; 8]>,
    },
    /// Acknowledges a heartbeat.
    HeartbeatAck {
        /// The sender of the acknowledgement.
        sender: MemberUpdate,
        /// The sequence that is acknowledged.
        sequence: u64,
        /// The sender's configuration.
        revision: Revision,
        /// Equal at two instances that agree on the members of the sender's zone.
        digest: u64,
        /// At most [`MAX_UPDATES`].
        updates: SmallVec<[MemberUpdate; MAX_UPDATES]>,
    },
    /// Asks a third instance to pass a heartbeat on to a member that does not answer directly.
    ProbeRequest {
        /// The member that does not answer.
        target: Member,
        /// The heartbeat's sender.
        sender: MemberUpdate,
        /// The heartbeat's sequence.
        sequence: u64,
    },
    /// The heartbeat of `origin`, passed on by the sender of this message.
    ProbeForward {
        /// The instance that asked.
        origin: MemberUpdate,
        /// The heartbeat's sequence.
        sequence: u64,
    },
    /// The acknowledgement of a forwarded heartbeat, on its way back to `origin`.
    ProbeReply {
        /// The instance that asked.
        origin: InstanceId,
        /// The member that answered.
        target: InstanceId,
        /// The sequence that is acknowledged.
        sequence: u64,
    },
    /// Asks for the members of a region's zone, after a digest differed.
    PullMembers {
        /// The zone.
        zone: ZoneId,
    },
    /// Members of one zone.
    Members {
        /// The members; sent in several messages where they are many.
        updates: Vec<MemberUpdate>,
    },
    /// Asks for configuration records after a revision.
    PullChanges {
        /// The revision that the sender has.
        after: Revision,
    },
    /// Configuration records, consecutive and rising.
    Changes {
        /// The records.
        records: Vec<Record>,
    },
    /// Registers exceptions with the owner of their first choice.
    #[strum(serialize = "register_exceptions")]
    RegisterOverrides {
        /// At most [`MAX_OVERRIDES`].
        overrides: Vec<FlowOverride>,
    },
    /// The previous owner hands a backend server over.
    Handover {
        /// The backend server.
        backend_server: BackendServerId,
        /// Its warm-up limit.
        limit: u32,
        /// At most [`MAX_FLOWS`].
        flows: Vec<FlowState>,
        /// Whether this is the last message of the handover.
        last: bool,
    },
    /// The sender is about to stop.
    Leave {
        /// The sender.
        sender: MemberUpdate,
    },
}
