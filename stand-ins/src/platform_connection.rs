//! Connections of the stand-in platform that can become unresponsive.

use std::io;
use std::pin::Pin;
use std::task::{
    Context,
    Poll, //
};

use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tonic::transport::server::{
    Connected,
    TcpConnectInfo, //
};

/// A connection that stays open but transfers no more data once it is silenced.
pub(crate) struct Connection {
    stream: TcpStream,
    /// Number of times that the open connections were silenced.
    silenced: watch::Receiver<u64>,
    /// Value of `silenced` when the connection was opened; a higher value silences it.
    opened: u64,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, silenced: watch::Receiver<u64>) -> Connection {
        let opened = *silenced.borrow();
        Connection {
            stream,
            silenced,
            opened,
        }
    }

    fn is_silent(&self) -> bool {
        *self.silenced.borrow() > self.opened
    }
}

impl Connected for Connection {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            // Registers no waker, because the connection stays silent permanently.
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buffer.len()));
        }
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
