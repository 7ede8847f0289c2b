//! Opening datagram sockets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use socket2::SockRef;
use tokio::net::UdpSocket;

/// Why a datagram socket failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum SocketError {
    /// The address cannot be bound.
    #[error("cannot bind the datagram socket to {address}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: Arc<io::Error>,
    },
    /// The size of the receive buffer cannot be set.
    #[error("cannot set the receive buffer to {size} bytes")]
    Buffer {
        /// The size.
        size: usize,
        /// What the operating system said.
        source: Arc<io::Error>,
    },
    /// The local address cannot be read.
    #[error("cannot read the local address of the datagram socket")]
    Address {
        /// What the operating system said.
        source: Arc<io::Error>,
    },
}

/// How many bytes the operating system queues for a socket unless the settings say otherwise.
/// The usual default of 208 KiB holds about 270 datagrams, less than 10 ms of traffic.
pub const RECEIVE_BUFFER: usize = 4 << 20;

/// Opens a datagram socket. The operating system may grant a smaller receive buffer.
pub fn bind(address: SocketAddr, size: usize) -> Result<UdpSocket, SocketError> {
    let socket = open(address).map_err(|error| SocketError::Bind {
        address,
        source: Arc::new(error),
    })?;
    let sized = SockRef::from(&socket).set_recv_buffer_size(size);
    sized.map_err(|error| SocketError::Buffer {
        size,
        source: Arc::new(error),
    })?;
    Ok(socket)
}

fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Returns the local address of a socket.
pub fn local_address(socket: &UdpSocket) -> Result<SocketAddr, SocketError> {
    socket.local_addr().map_err(|error| SocketError::Address {
        source: Arc::new(error),
    })
}
