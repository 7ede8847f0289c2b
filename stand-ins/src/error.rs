//! Failures of stand-ins.

use lovagespindle_datagram::{
    DecodeError,
    EncodeError, //
};

/// Why a stand-in failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket failed.
    #[error("a socket failed")]
    Socket(#[from] std::io::Error),
    /// What was waited for did not happen in time.
    #[error("nothing arrived in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// The other side is gone.
    #[error("the other side is gone")]
    Closed,
    /// A packet cannot be encoded.
    #[error("a packet cannot be encoded")]
    Encode(#[from] EncodeError),
    /// A datagram cannot be decoded.
    #[error("a datagram cannot be decoded")]
    Decode(#[from] DecodeError),
}
