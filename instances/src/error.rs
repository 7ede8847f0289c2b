//! Why a frame cannot be encoded or decoded.

use lovagespindle_decisions::ids::InstanceId;

/// A part of a message that has to be there or has a certain form.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Field {
    /// The message of the envelope.
    Message,
    /// A member.
    Member,
    /// The sender of a heartbeat or a probe.
    Sender,
    /// A member's state.
    State,
    /// An address.
    Address,
    /// A flow's identifier.
    Flow,
    /// The fabric's unique id of a flow.
    Unique,
    /// Membership updates.
    Updates,
    /// A backend server's load.
    Load,
    /// Placement overrides.
    #[strum(serialize = "exceptions")]
    Overrides,
    /// Flows.
    Flows,
    /// Tags of finished requests.
    Finished,
    /// A configuration record.
    Record,
}

/// Why a frame cannot be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The bytes are not an envelope.
    #[error("not an envelope: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A part is missing.
    #[error("{0} is missing")]
    Missing(Field),
    /// A part is out of its range or of the wrong length.
    #[error("{0} is invalid")]
    Invalid(Field),
    /// A list is too long.
    #[error("too many {0}")]
    TooMany(Field),
    /// The frame would be larger than [`crate::frame::MAX_FRAME`].
    #[error("the frame would take {0} bytes")]
    TooLarge(usize),
    /// The frame is larger than [`crate::frame::MAX_FRAME`].
    #[error("the frame is oversized")]
    Oversized,
    /// The peer speaks another version.
    #[error("version {0} is not supported")]
    Version(u32),
    /// The peer wanted to reach another instance.
    #[error("the peer wants to reach instance {0}")]
    Target(InstanceId),
    /// The sender is not the one that the link began with.
    #[error("the sender changed to instance {0}")]
    SenderChanged(InstanceId),
    /// A link did not begin with a hello, or a hello came later.
    #[error("unexpected frame")]
    Unexpected,
}
