//! A minimal datagram forwarder, the baseline for the throughput of an instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use lovagespindle_datagram::socket::{
    DEFAULT_RECEIVE_BUFFER,
    bind, //
};
use lovagespindle_datagram::{
    Clock,
    Datagram,
    Sender, //
};
use tokio::net::UdpSocket;
use tokio::runtime::Runtime;

use crate::error::Error;
use crate::peer::{
    localhost,
    services, //
};

/// Maximum number of datagrams received per wake-up.
const BATCH: usize = 64;

/// How the forwarder processes a datagram.
#[derive(Clone, Copy, Debug, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Mode {
    /// Forwards the bytes unchanged.
    Plain,
    /// Decodes the packet and encodes it again.
    Codec,
}

/// Starts a forwarder and returns the address that it receives packets on. It stops with the
/// runtime. Returns an error if a socket cannot be opened.
pub fn start(runtime: &Runtime, mode: Mode, to: SocketAddr) -> Result<SocketAddr, Error> {
    let _context = runtime.enter();
    let entry = bind(localhost(), DEFAULT_RECEIVE_BUFFER)?;
    let exit = Arc::new(bind(localhost(), DEFAULT_RECEIVE_BUFFER)?);
    let address = entry.local_addr()?;
    let clock = Clock::start();
    let sender = Sender::new(exit.clone(), clock);
    runtime.spawn(async move {
        let ended = match mode {
            Mode::Plain => forward(&entry, &exit, to).await,
            Mode::Codec => recode(&entry, sender, clock, to).await,
        };
        if let Err(error) = ended {
            eprintln!("the forwarder stopped: {error}");
        }
    });
    Ok(address)
}

async fn forward(entry: &UdpSocket, exit: &UdpSocket, to: SocketAddr) -> io::Result<()> {
    let mut buffer = [0; 2048];
    loop {
        entry.readable().await?;
        for _ in 0..BATCH {
            let Some(length) = receive(entry, &mut buffer)? else {
                break;
            };
            exit.send_to(&buffer[..length], to).await?;
        }
    }
}

async fn recode(
    entry: &UdpSocket,
    mut sender: Sender,
    clock: Clock,
    to: SocketAddr,
) -> io::Result<()> {
    let services = services();
    let mut buffer = [0; 2048];
    loop {
        entry.readable().await?;
        for _ in 0..BATCH {
            let Some(length) = receive(entry, &mut buffer)? else {
                break;
            };
            if let Ok(datagram) = Datagram::decode(&buffer[..length], &services, clock.now()) {
                sender.send(to, &datagram.packet, None).await;
            }
        }
    }
}

/// Returns the length of the next datagram, or `None` if none is queued.
fn receive(entry: &UdpSocket, buffer: &mut [u8]) -> io::Result<Option<usize>> {
    match entry.try_recv_from(buffer) {
        Ok((length, _)) => Ok(Some(length)),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}
