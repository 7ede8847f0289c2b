//! A peer that exchanges single packets in tests of sockets.

use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_datagram::socket::{
    DEFAULT_RECEIVE_BUFFER,
    bind, //
};
use lovagespindle_datagram::{
    Datagram,
    Services,
    encode,
    flow_id, //
};
use lovagespindle_decisions::Time;
use lovagespindle_decisions::ids::{
    RequestId,
    ServiceId, //
};
use lovagespindle_decisions::packet::{
    Packet,
    PacketKind,
    Route, //
};
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::error::Error;

/// Time that a test waits for something that should happen immediately.
pub const TIMEOUT: Duration = Duration::from_secs(5);

/// Service that [`packet`] belongs to.
pub const SERVICE: ServiceId = ServiceId(7);

const ADDRESS: SocketAddr = address([198, 51, 100, 7], 80);

const fn address(ip: [u8; 4], port: u16) -> SocketAddr {
    let [a, b, c, d] = ip;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, d)), port)
}

/// Returns the loopback address with port 0, for which the operating system chooses a port.
pub fn localhost() -> SocketAddr {
    address([127, 0, 0, 1], 0)
}

/// Opens a datagram socket on loopback with a receive buffer large enough for a test's bursts.
pub(crate) fn open_socket() -> Result<UdpSocket, Error> {
    Ok(bind(localhost(), DEFAULT_RECEIVE_BUFFER)?)
}

/// Returns a service table that contains only the service of [`packet`].
pub fn services() -> Services {
    [(ADDRESS, SERVICE)].into_iter().collect()
}

/// Returns a packet of a fixed flow.
pub fn packet(kind: PacketKind, request: u64) -> Packet {
    let route = Route {
        caller: address([192, 0, 2, 1], 5000),
        address: ADDRESS,
        unique_id: 9,
    };
    Packet {
        service: SERVICE,
        flow: flow_id(&route),
        kind,
        request: RequestId(request),
        attempt: 0,
        idempotent: false,
        deadline: None,
        part: 0,
        last: false,
        reason: None,
        route,
        payload: Bytes::from_static(b"job 3"),
    }
}

/// A datagram socket that exchanges single packets.
pub struct Peer {
    socket: UdpSocket,
    /// Local address of the socket.
    pub address: SocketAddr,
}

impl Peer {
    /// Opens a peer on loopback, or returns an error if the socket cannot be opened.
    pub async fn open() -> Result<Peer, Error> {
        let socket = open_socket()?;
        let address = socket.local_addr()?;
        Ok(Peer { socket, address })
    }

    /// Sends a packet, or returns an error if encoding or sending fails.
    pub async fn send(&self, to: SocketAddr, packet: &Packet) -> Result<(), Error> {
        let mut bytes = Vec::new();
        encode(packet, None, Time::ZERO, &mut bytes)?;
        self.send_bytes(to, &bytes).await
    }

    /// Sends raw bytes, or returns an error if the socket fails.
    pub async fn send_bytes(&self, to: SocketAddr, bytes: &[u8]) -> Result<(), Error> {
        self.socket.send_to(bytes, to).await?;
        Ok(())
    }

    /// Waits for the next packet of the service of [`packet`].
    ///
    /// Returns an error after [`TIMEOUT`] or if the datagram cannot be decoded.
    pub async fn receive(&self) -> Result<Packet, Error> {
        let mut buffer = [0; 2048];
        let (length, _) = timeout(TIMEOUT, self.socket.recv_from(&mut buffer)).await??;
        let bytes = buffer.get(..length).unwrap_or_default();
        Ok(Datagram::decode(bytes, &services(), Time::ZERO)?.packet)
    }
}
