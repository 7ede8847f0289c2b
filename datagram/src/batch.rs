//! Sending several datagrams per system call.

use std::net::SocketAddr;
use std::sync::Arc;

use lovagespindle_decisions::packet::{
    Packet,
    Relay, //
};
use quinn_udp::Transmit;

use crate::clock::Clock;
use crate::counts::Counts;
use crate::encode::encode;
use crate::field::MAX_DATAGRAM;
use crate::socket::BatchSocket;

/// Largest number of bytes sent by one system call: the largest UDP payload over IPv4.
const MAX_BYTES: usize = 65_507;

/// Encodes packets and sends consecutive ones of equal size and destination in one system call.
///
/// The kernel splits such a batch into datagrams late (generic segmentation offload), so that most
/// of its network stack runs once per batch instead of once per datagram.
pub struct BatchSender {
    socket: Arc<BatchSocket>,
    clock: Clock,
    counts: Counts,
    datagram: Vec<u8>,
    batch: SendBatch,
}

/// Datagrams to the same address that are sent in one system call.
struct SendBatch {
    to: SocketAddr,
    bytes: Vec<u8>,
    /// Size of each datagram in bytes, except the last one, which may be shorter.
    size: usize,
    count: usize,
}

impl SendBatch {
    /// Returns whether a datagram of `length` bytes can be appended.
    fn fits(&self, to: SocketAddr, length: usize, segments: usize) -> bool {
        self.to == to
            && self.count < segments
            && length <= self.size
            && self.bytes.len() == self.count * self.size
            && self.bytes.len() + length <= MAX_BYTES
    }

    fn transmit<'a>(&self, contents: &'a [u8], segment: Option<usize>) -> Transmit<'a> {
        Transmit {
            destination: self.to,
            ecn: None,
            contents,
            segment_size: segment,
            src_ip: None,
        }
    }
}

impl BatchSender {
    /// Creates a sender with an empty batch.
    pub fn new(socket: Arc<BatchSocket>, clock: Clock) -> BatchSender {
        BatchSender {
            socket,
            clock,
            counts: Counts::default(),
            datagram: Vec::with_capacity(MAX_DATAGRAM),
            batch: SendBatch {
                to: SocketAddr::from(([0, 0, 0, 0], 0)),
                bytes: Vec::with_capacity(MAX_BYTES),
                size: 0,
                count: 0,
            },
        }
    }

    /// Appends a packet to the batch. Sends the earlier packets first if it does not fit.
    ///
    /// Failures are only counted. They have the same effect as a packet lost in the network: the
    /// caller retries, or the deadline expires.
    pub async fn push(&mut self, to: SocketAddr, packet: &Packet, relay: Option<&Relay>) {
        let now = self.clock.now();
        if encode(packet, relay, now, &mut self.datagram).is_err() {
            self.counts.unencodable += 1;
            return;
        }
        let length = self.datagram.len();
        if !self.batch.fits(to, length, self.socket.max_segments()) {
            self.flush().await;
            self.batch.to = to;
            self.batch.size = length;
        }
        self.batch.bytes.extend_from_slice(&self.datagram);
        self.batch.count += 1;
    }

    /// Sends the batch.
    pub async fn flush(&mut self) {
        let batch = &self.batch;
        let sent = match batch.count {
            0 => return,
            1 => Err(()),
            _ => {
                let transmit = batch.transmit(&batch.bytes, Some(batch.size));
                self.socket.send(&transmit).await.map_err(|_| ())
            }
        };
        match sent {
            Ok(()) => self.counts.sent += batch.count as u64,
            // Some network interfaces reject segmentation offload.
            Err(()) => self.send_individually().await,
        }
        self.batch.bytes.clear();
        self.batch.count = 0;
    }

    async fn send_individually(&mut self) {
        for datagram in self.batch.bytes.chunks(self.batch.size) {
            match self.socket.send(&self.batch.transmit(datagram, None)).await {
                Ok(()) => self.counts.sent += 1,
                Err(_) => self.counts.unsent += 1,
            }
        }
    }

    /// Returns the counts of the packets sent and dropped by this sender.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}
