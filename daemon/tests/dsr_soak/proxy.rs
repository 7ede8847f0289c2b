//! TCP proxy that delays, resets or blocks connections, in one or both directions.

use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::tcp::{
    OwnedReadHalf,
    OwnedWriteHalf, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::watch;

/// How the proxy treats connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// Forwards all bytes without delay.
    Pass,
    /// Delays bytes in both directions by [`DELAY`].
    Delay,
    /// Resets existing and new connections.
    Reset,
    /// Blocks bytes from the store; connections stay open.
    NoReplies,
    /// Blocks bytes in both directions; connections stay open.
    Blocked,
}

/// Longer than the response time of a slow store.
const DELAY: Duration = Duration::from_millis(330);

/// A running proxy.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddrV4,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts a proxy at a host, on a free port, for the listener `target`.
    pub(crate) async fn start(host: [u8; 4], target: SocketAddrV4) -> Proxy {
        let listener = TcpListener::bind((std::net::Ipv4Addr::from(host), 0))
            .await
            .unwrap();
        let address = SocketAddrV4::new(host.into(), listener.local_addr().unwrap().port());
        let (mode, current) = watch::channel(Mode::Pass);
        tokio::spawn(serve(listener, target, current));
        Proxy { address, mode }
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn serve(listener: TcpListener, target: SocketAddrV4, mode: watch::Receiver<Mode>) {
    while let Ok((client, _)) = listener.accept().await {
        if *mode.borrow() == Mode::Reset {
            reset(client);
            continue;
        }
        if let Ok(server) = TcpStream::connect(target).await {
            tokio::spawn(forward(client, server, mode.clone()));
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    // Fails only if the connection is already closed.
    let _ = stream.set_zero_linger();
}

async fn forward(client: TcpStream, server: TcpStream, mut mode: watch::Receiver<Mode>) {
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let upstream = copy(client_read, server_write, mode.clone(), &[Mode::Blocked]);
    let downstream = copy(
        server_read,
        client_write,
        mode.clone(),
        &[Mode::Blocked, Mode::NoReplies],
    );
    tokio::select! {
        _ = upstream => {}
        _ = downstream => {}
        _ = mode.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

/// Copies bytes in one direction until the end of the stream. Waits while the mode is one of
/// `blocking`.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    blocking: &[Mode],
) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 * 1_024];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        if *mode.borrow() == Mode::Delay {
            tokio::time::sleep(DELAY).await;
        }
        // Fails only if the proxy has been dropped.
        let _ = mode.wait_for(|mode| !blocking.contains(mode)).await;
        to.write_all(&buffer[..length]).await?;
    }
}
