//! A TCP proxy on the loopback network that delays, resets, cuts one way or silences connections.

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

/// What happens to connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    Pass,
    /// Bytes arrive a third of a second later.
    Delay,
    /// Connections are reset, old and new ones.
    Reset,
    /// Nothing comes back.
    Answerless,
    /// Nothing passes; connections stay open.
    Silent,
}

/// Longer than the store takes when it is slow.
const DELAY: Duration = Duration::from_millis(330);

/// A running proxy.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddrV4,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts a proxy in front of a listener.
    pub(crate) async fn start(host: [u8; 4], target: SocketAddrV4) -> Proxy {
        let listener = TcpListener::bind((std::net::Ipv4Addr::from(host), 0))
            .await
            .unwrap();
        let address = SocketAddrV4::new(host.into(), listener.local_addr().unwrap().port());
        let (mode, shown) = watch::channel(Mode::Pass);
        tokio::spawn(serve(listener, target, shown));
        Proxy { address, mode }
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn serve(listener: TcpListener, target: SocketAddrV4, mode: watch::Receiver<Mode>) {
    while let Ok((near, _)) = listener.accept().await {
        if *mode.borrow() == Mode::Reset {
            reset(near);
            continue;
        }
        if let Ok(far) = TcpStream::connect(target).await {
            tokio::spawn(join(near, far, mode.clone()));
        }
    }
}

/// Closes a connection without its usual end.
fn reset(stream: TcpStream) {
    // Fails only if the connection is gone already.
    let _ = stream.set_zero_linger();
}

async fn join(near: TcpStream, far: TcpStream, mut mode: watch::Receiver<Mode>) {
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, mode.clone(), &[Mode::Silent]);
    let back = copy(
        far_read,
        near_write,
        mode.clone(),
        &[Mode::Silent, Mode::Answerless],
    );
    tokio::select! {
        _ = there => {}
        _ = back => {}
        _ = mode.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

/// Copies one direction until it ends; holds bytes back while a mode of `held` is set.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    held: &[Mode],
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
        // Fails only if the proxy is gone.
        let _ = mode.wait_for(|mode| !held.contains(mode)).await;
        to.write_all(&buffer[..length]).await?;
    }
}
