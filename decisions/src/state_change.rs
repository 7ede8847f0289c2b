//! State changes of an instance, as the timeline shows them.

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

/// State change at one instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StateChange {
    /// The instance started.
    Started,
    /// The instance began its graceful shutdown.
    Leaving,
    /// The instance has handed everything over and stops.
    Left,
    /// A member changed state.
    Member {
        instance: InstanceId,
        zone: ZoneId,
        /// The new state.
        state: MemberState,
    },
    /// A configuration became active.
    Configured { revision: Revision },
    /// The instance became owner of a backend server.
    Acquired {
        backend_server: BackendServerId,
        /// Number of placement overrides and flows that it took over.
        flows: u32,
    },
    /// The instance released a backend server.
    Released {
        backend_server: BackendServerId,
        /// The next owner, if there is one.
        owner: Option<InstanceId>,
    },
    /// The lease of the owner expired; the owner admits no requests until it is renewed.
    Fenced { backend_server: BackendServerId },
    /// The lease of the owner was renewed after it had expired.
    Unfenced { backend_server: BackendServerId },
    /// A backend server restarted unexpectedly.
    ColdStart { backend_server: BackendServerId },
    /// The owner marked a backend server as down.
    ServerDown { backend_server: BackendServerId },
    /// The owner marked a backend server as up again.
    ServerUp { backend_server: BackendServerId },
    /// A flow was closed by the load balancer.
    FlowClosed {
        flow: FlowId,
        service: ServiceId,
        backend_server: BackendServerId,
        reason: Reason,
    },
    /// A flow was placed on another backend server than its first choice.
    FlowPlaced {
        flow: FlowId,
        service: ServiceId,
        /// The backend server that serves the flow.
        backend_server: BackendServerId,
        /// Position of the backend server in the candidate list.
        candidate: u8,
    },
    /// The platform stopped answering.
    PlatformLost,
    /// The platform answers again.
    PlatformBack,
}
