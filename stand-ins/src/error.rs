//! Errors of the stand-ins.

use lovagespindle_datagram::{
    DecodeError,
    EncodeError, //
};

/// An error of a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("socket error")]
    Socket(#[from] std::io::Error),
    #[error("failed to open a datagram socket")]
    Open(#[from] lovagespindle_datagram::socket::SocketError),
    /// A packet, a batch of events or a result did not arrive in time.
    #[error("timed out while waiting for a message")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// The task that should have received the message or replied has stopped.
    #[error("the task has stopped")]
    Closed,
    #[error("no service has the address {0}")]
    UnknownService(std::net::SocketAddr),
    #[error("failed to create a histogram")]
    Histogram(#[from] hdrhistogram::CreationError),
    #[error("failed to encode a packet")]
    Encode(#[from] EncodeError),
    #[error("failed to decode a datagram")]
    Decode(#[from] DecodeError),
}
