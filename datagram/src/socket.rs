//! Datagram sockets.

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

/// Errors of opening a datagram socket.
#[derive(Clone, Debug, thiserror::Error)]
pub enum SocketError {
    #[error("cannot bind the datagram socket to {address}")]
    Bind {
        address: SocketAddr,
        source: Arc<io::Error>,
    },
    #[error("cannot set the receive buffer to {size} bytes")]
    Buffer {
        /// Requested size in bytes.
        size: usize,
        source: Arc<io::Error>,
    },
    /// The options for several datagrams per system call cannot be set.
    #[error("cannot set up batching for the datagram socket")]
    Batching {
        /// Error reported by the operating system.
        source: Arc<io::Error>,
    },
    #[error("cannot read the local address of the datagram socket")]
    Address {
        /// Error reported by the operating system.
        source: Arc<io::Error>,
    },
}

/// Default size of a socket's receive buffer in bytes. The usual system default of 208 KiB holds
/// about 270 datagrams, less than 10 ms of traffic.
pub const DEFAULT_RECEIVE_BUFFER: usize = 4 << 20;

/// Opens a datagram socket with a receive buffer of `size` bytes. The operating system may grant
/// less. Returns an error if the address cannot be bound or the buffer size cannot be set.
pub fn bind(address: SocketAddr, size: usize) -> Result<UdpSocket, SocketError> {
    let socket = bind_nonblocking(address).map_err(|error| SocketError::Bind {
        address,
        source: Arc::new(error),
    })?;
    let result = SockRef::from(&socket).set_recv_buffer_size(size);
    result.map_err(|error| SocketError::Buffer {
        size,
        source: Arc::new(error),
    })?;
    Ok(socket)
}

fn bind_nonblocking(address: SocketAddr) -> io::Result<UdpSocket> {
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
    /// Opens a socket with a receive buffer of `size` bytes. The operating system may grant less.
    /// Fails like [`bind`], or if batching is not available.
    pub fn bind(address: SocketAddr, size: usize) -> Result<BatchSocket, SocketError> {
        let socket = bind(address, size)?;
        let state = UdpSocketState::new((&socket).into());
        let state = state.map_err(|error| SocketError::Batching {
            source: Arc::new(error),
        })?;
        Ok(BatchSocket { socket, state })
    }

    pub fn address(&self) -> Result<SocketAddr, SocketError> {
        let address = self.socket.local_addr();
        address.map_err(|error| SocketError::Address {
            source: Arc::new(error),
        })
    }

    /// Returns the largest number of datagrams that one system call can send.
    pub(crate) fn max_segments(&self) -> usize {
        self.state.max_gso_segments()
    }

    /// Waits until the socket may have datagrams to receive.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Receives queued datagrams. Returns the number of buffers filled.
    ///
    /// If some buffers stay empty, the socket is drained. The socket is then marked as not
    /// readable immediately, which saves a system call that would only return `WouldBlock`. A
    /// datagram that arrives in the meantime makes the socket readable again.
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

    pub(crate) async fn send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let socket = &self.socket;
        socket
            .async_io(Interest::WRITABLE, || {
                self.state.try_send(socket.into(), transmit)
            })
            .await
    }
}
