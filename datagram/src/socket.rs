//! Opening datagram sockets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use quinn_udp::{
    RecvMeta,
    Transmit,
    UdpSocketState, //
};
use socket2::SockRef;
use tokio::io::Interest;
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
    /// The socket cannot be prepared for batches.
    #[error("cannot prepare the datagram socket for batches")]
    Batches {
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
pub const DEFAULT_RECEIVE_BUFFER: usize = 4 << 20;

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

/// A datagram socket that sends and receives several datagrams per system call.
pub struct BatchSocket {
    socket: UdpSocket,
    state: UdpSocketState,
}

impl BatchSocket {
    /// Opens a socket. The operating system may grant a smaller receive buffer.
    pub fn bind(address: SocketAddr, size: usize) -> Result<BatchSocket, SocketError> {
        let socket = bind(address, size)?;
        let state = UdpSocketState::new((&socket).into());
        let state = state.map_err(|error| SocketError::Batches {
            source: Arc::new(error),
        })?;
        Ok(BatchSocket { socket, state })
    }

    /// Returns the local address.
    pub fn address(&self) -> Result<SocketAddr, SocketError> {
        let address = self.socket.local_addr();
        address.map_err(|error| SocketError::Address {
            source: Arc::new(error),
        })
    }

    /// Returns how many datagrams one system call may send.
    pub(crate) fn segments(&self) -> usize {
        self.state.max_gso_segments()
    }

    /// Waits until there may be something to receive.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Receives what is there; returns how many buffers hold datagrams.
    ///
    /// Buffers that stay empty tell that the socket is drained. The runtime is told so at once,
    /// which saves the system call that would only find the socket empty. A datagram that arrives
    /// meanwhile makes the socket readable again.
    pub(crate) fn receive(
        &self,
        buffers: &mut [io::IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> io::Result<usize> {
        let mut filled = 0;
        let received = self.socket.try_io(Interest::READABLE, || {
            filled = self.state.recv((&self.socket).into(), buffers, metas)?;
            if filled < buffers.len() {
                return Err(io::ErrorKind::WouldBlock.into());
            }
            Ok(())
        });
        match received {
            Err(error) if filled == 0 => Err(error),
            _ => Ok(filled),
        }
    }

    /// Sends what the transmit holds.
    pub(crate) async fn send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let socket = &self.socket;
        socket
            .async_io(Interest::WRITABLE, || {
                self.state.try_send(socket.into(), transmit)
            })
            .await
    }
}
