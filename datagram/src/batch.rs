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

/// The most bytes that one system call sends: the largest UDP payload over IPv4.
const MAX_BYTES: usize = 65_507;

/// Encodes packets and sends runs of them that have one destination and one size.
///
/// The kernel cuts a run into datagrams late, so that most of the path through it is taken once
/// for a run and not once for a datagram.
pub struct BatchSender {
    socket: Arc<BatchSocket>,
    clock: Clock,
    counts: Counts,
    datagram: Vec<u8>,
    run: Run,
}

/// Datagrams that wait to be sent together.
struct Run {
    to: SocketAddr,
    bytes: Vec<u8>,
    /// The size of each datagram but the last, which may be shorter.
    size: usize,
    count: usize,
}

impl Run {
    /// Returns whether a datagram may follow the others.
    fn takes(&self, to: SocketAddr, length: usize, segments: usize) -> bool {
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
    /// Creates the sending half of a socket.
    pub fn new(socket: Arc<BatchSocket>, clock: Clock) -> BatchSender {
        BatchSender {
            socket,
            clock,
            counts: Counts::default(),
            datagram: Vec::with_capacity(MAX_DATAGRAM),
            run: Run {
                to: SocketAddr::from(([0, 0, 0, 0], 0)),
                bytes: Vec::with_capacity(MAX_BYTES),
                size: 0,
                count: 0,
            },
        }
    }

    /// Adds a packet to the run, and sends the earlier ones first where it cannot join them.
    ///
    /// Failures are counted and not reported: as with any loss on the way, the caller repeats or
    /// the deadline passes.
    pub async fn push(&mut self, to: SocketAddr, packet: &Packet, relay: Option<&Relay>) {
        let now = self.clock.now();
        if encode(packet, relay, now, &mut self.datagram).is_err() {
            self.counts.unencodable += 1;
            return;
        }
        let length = self.datagram.len();
        if !self.run.takes(to, length, self.socket.segments()) {
            self.flush().await;
            self.run.to = to;
            self.run.size = length;
        }
        self.run.bytes.extend_from_slice(&self.datagram);
        self.run.count += 1;
    }

    /// Sends what waits.
    pub async fn flush(&mut self) {
        let run = &self.run;
        let sent = match run.count {
            0 => return,
            1 => Err(()),
            _ => {
                let transmit = run.transmit(&run.bytes, Some(run.size));
                self.socket.send(&transmit).await.map_err(|_| ())
            }
        };
        match sent {
            Ok(()) => self.counts.sent += run.count as u64,
            // Some network interfaces refuse runs.
            Err(()) => self.send_singly().await,
        }
        self.run.bytes.clear();
        self.run.count = 0;
    }

    async fn send_singly(&mut self) {
        for datagram in self.run.bytes.chunks(self.run.size) {
            match self.socket.send(&self.run.transmit(datagram, None)).await {
                Ok(()) => self.counts.sent += 1,
                Err(_) => self.counts.unsent += 1,
            }
        }
    }

    /// Returns the counts of this half.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}
