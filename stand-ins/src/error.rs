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
    /// A datagram socket cannot be opened.
    #[error("a datagram socket cannot be opened")]
    Open(#[from] lovagespindle_datagram::socket::SocketError),
    /// What was waited for did not happen in time.
    #[error("nothing arrived in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// The other side is gone.
    #[error("the other side is gone")]
    Closed,
    /// No service has the address.
    #[error("no service has the address {0}")]
    UnknownService(std::net::SocketAddr),
    /// The histogram cannot be created.
    #[error("the histogram cannot be created")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A packet cannot be encoded.
    #[error("a packet cannot be encoded")]
    Encode(#[from] EncodeError),
    /// A datagram cannot be decoded.
    #[error("a datagram cannot be decoded")]
    Decode(#[from] DecodeError),
}
