//! Encodes and decodes the frames of a link between instances.

use bytes::Bytes;
use lovagespindle_decisions::ids::InstanceId;
use lovagespindle_decisions::peer::PeerMessage;
use prost::Message;

use crate::decode::decode_message;
use crate::encode::encode_message;
use crate::error::{
    Field,
    FrameError, //
};
use crate::generated::{
    Envelope,
    Hello,
    envelope, //
};

/// Maximum size of a frame in bytes, without its length prefix.
pub const MAX_FRAME: usize = 64 * 1024;

/// Version of the control protocol. A link with another version is refused.
pub const VERSION: u32 = 1;

/// The content of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The first frame of a link.
    Hello {
        /// The sender's protocol version.
        version: u32,
        /// The instance that the link is meant for.
        target: InstanceId,
    },
    /// A control message.
    Message(Box<PeerMessage>),
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    pub sender: InstanceId,
    pub content: Content,
}

/// Encodes the hello, the first frame of a link from `sender` to `target`.
pub fn encode_hello(sender: InstanceId, target: InstanceId) -> Bytes {
    let hello = Hello {
        version: VERSION,
        target: target.0,
    };
    let envelope = Envelope {
        sender: sender.0,
        message: Some(envelope::Message::Hello(hello)),
    };
    envelope.encode_to_vec().into()
}

/// Encodes a control message of `sender`.
///
/// Returns [`FrameError::TooLarge`] if the frame would exceed [`MAX_FRAME`].
pub fn encode(sender: InstanceId, message: &PeerMessage) -> Result<Bytes, FrameError> {
    let envelope = Envelope {
        sender: sender.0,
        message: Some(encode_message(message)?),
    };
    match envelope.encoded_len() {
        len if len > MAX_FRAME => Err(FrameError::TooLarge(len)),
        _ => Ok(envelope.encode_to_vec().into()),
    }
}

/// Decodes a frame.
///
/// Returns an error if the bytes are not an envelope, or if a field is missing, invalid or too
/// long.
pub fn decode(bytes: Bytes) -> Result<Frame, FrameError> {
    let envelope = Envelope::decode(bytes)?;
    let message = envelope
        .message
        .ok_or(FrameError::Missing(Field::Message))?;
    let content = match message {
        envelope::Message::Hello(hello) => Content::Hello {
            version: hello.version,
            target: InstanceId(hello.target),
        },
        message => Content::Message(Box::new(decode_message(message)?)),
    };
    let sender = InstanceId(envelope.sender);
    Ok(Frame { sender, content })
}
