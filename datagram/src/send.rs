//! Sending one datagram per system call.

use std::net::SocketAddr;
use std::sync::Arc;

use lovagespindle_decisions::packet::{
    Packet,
    Relay, //
};
use tokio::net::UdpSocket;

use crate::clock::Clock;
use crate::counts::Counts;
use crate::encode::encode;
use crate::field::MAX_DATAGRAM;

/// Encodes packets and sends each in its own system call.
pub struct Sender {
    socket: Arc<UdpSocket>,
    clock: Clock,
    counts: Counts,
    buffer: Vec<u8>,
}

impl Sender {
    pub fn new(socket: Arc<UdpSocket>, clock: Clock) -> Sender {
        Sender {
            socket,
            clock,
            counts: Counts::default(),
            buffer: Vec::with_capacity(MAX_DATAGRAM),
        }
    }

    /// Sends a packet.
    ///
    /// Failures are only counted. They have the same effect as a packet lost in the network: the
    /// caller retries, or the deadline expires.
    pub async fn send(&mut self, to: SocketAddr, packet: &Packet, relay: Option<&Relay>) {
        let now = self.clock.now();
        if encode(packet, relay, now, &mut self.buffer).is_err() {
            self.counts.unencodable += 1;
            return;
        }
        match self.socket.send_to(&self.buffer, to).await {
            Ok(_) => self.counts.sent += 1,
            Err(_) => self.counts.unsent += 1,
        }
    }

    /// Returns the counts of the packets sent and dropped by this sender.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}
