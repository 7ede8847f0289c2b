//! The errors of encoding and decoding frames.

use lovagespindle_decisions::ids::InstanceId;

/// A field of a message that is required or has restrictions on its value. Its name in snake case
/// appears in error messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Field {
    /// The message inside the envelope.
    Message,
    /// A member, or the list of peers in a sync reply.
    Member,
    /// The sender of a control message or of a sync request.
    Sender,
    /// A member's state.
    State,
    /// An IP address with a port.
    Address,
    /// A flow's identifier.
    Flow,
    /// The unique identifier that the fabric gave to a flow.
    Unique,
    Updates,
    /// A backend server's load.
    Load,
    /// Placement overrides, which the protocol calls exceptions.
    #[strum(serialize = "exceptions")]
    Overrides,
    Flows,
    /// Tags of finished requests.
    Finished,
    /// The documents of a sync reply.
    Documents,
    /// The instances between the replying one and the store.
    Path,
    /// A configuration record.
    Record,
}

/// An error that occurs when a frame is encoded, decoded or accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The bytes are not a protobuf message of the expected type.
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A required field is missing.
    #[error("required field {0} is missing")]
    Missing(Field),
    /// A field is out of range or has the wrong length.
    #[error("field {0} is invalid")]
    Invalid(Field),
    /// A list has more items than the protocol allows.
    #[error("too many items in field {0}")]
    TooMany(Field),
    /// The encoded frame would be larger than [`crate::frame::MAX_FRAME`]. Holds its size in bytes.
    #[error("frame of {0} bytes is too large to send")]
    TooLarge(usize),
    /// The received frame is larger than [`crate::frame::MAX_FRAME`].
    #[error("received frame is too large")]
    Oversized,
    /// The peer uses another protocol version.
    #[error("protocol version {0} is not supported")]
    Version(u32),
    /// The hello was meant for another instance, typically one that had this address before.
    #[error("hello is addressed to instance {0}")]
    Target(InstanceId),
    /// The sender of a frame is not the one of the link's hello.
    #[error("sender of the link changed to instance {0}")]
    SenderChanged(InstanceId),
    /// The first frame of a link was not a hello, or a later frame was one.
    #[error("link must start with exactly one hello")]
    Unexpected,
}
