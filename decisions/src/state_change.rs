//! Changes of state, as the time line shows them.

use crate::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    Revision,
    ServiceId,
    ZoneId, //
};
use crate::packet::Reason;
use crate::peer::MemberState;

/// A change of state at one instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StateChange {
    /// The instance started.
    Started,
    /// The instance began its graceful shutdown.
    Leaving,
    /// The instance handed everything over and stops.
    Left,
    /// A member changed state.
    Member {
        /// The member.
        instance: InstanceId,
        /// Its zone.
        zone: ZoneId,
        /// Its new state.
        state: MemberState,
    },
    /// A configuration came into force.
    Configured {
        /// Its revision.
        revision: Revision,
    },
    /// The instance became owner of a backend server.
    Acquired {
        /// The backend server.
        backend_server: BackendServerId,
        /// How many exceptions and flows it took over.
        flows: u32,
    },
    /// The instance gave a backend server up.
    Released {
        /// The backend server.
        backend_server: BackendServerId,
        /// The next owner.
        owner: Option<InstanceId>,
    },
    /// The owner's lease lapsed, and it admits nothing until it is renewed.
    Fenced {
        /// The backend server.
        backend_server: BackendServerId,
    },
    /// The owner's lease was renewed after it lapsed.
    Unfenced {
        /// The backend server.
        backend_server: BackendServerId,
    },
    /// A backend server started again without warning.
    ColdStart {
        /// The backend server.
        backend_server: BackendServerId,
    },
    /// The owner took a backend server for failed.
    ServerDown {
        /// The backend server.
        backend_server: BackendServerId,
    },
    /// The owner took a backend server for working again.
    ServerUp {
        /// The backend server.
        backend_server: BackendServerId,
    },
    /// A flow was closed by the system.
    FlowClosed {
        /// The flow.
        flow: FlowId,
        /// Its service.
        service: ServiceId,
        /// Its backend server.
        backend_server: BackendServerId,
        /// Why.
        reason: Reason,
    },
    /// A flow was placed on another backend server than its first choice.
    FlowPlaced {
        /// The flow.
        flow: FlowId,
        /// Its service.
        service: ServiceId,
        /// The backend server that was chosen.
        backend_server: BackendServerId,
        /// Its position in the candidate list.
        candidate: u8,
    },
    /// The platform stopped answering.
    PlatformLost,
    /// The platform answers again.
    PlatformBack,
}
