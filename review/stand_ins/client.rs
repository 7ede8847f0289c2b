//! Stand-in of a client: opens one flow for each request.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

use super::packet::{ACK, FIN, Packet, RST, SYN};
use super::record::Record;

/// Times of the copies of a SYN after the first one, and of the end of the attempt.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const GIVE_UP: Duration = Duration::from_millis(1_400);
/// Interval after which missing packets are sent again.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Answered,
    /// A reset arrived, before or after the flow opened.
    Reset {
        open: bool,
    },
    /// No SYN+ACK or no answer arrived in time.
    Unanswered {
        open: bool,
    },
}

pub struct Client {
    socket: UdpSocket,
    host: Ipv4Addr,
    next_port: u16,
    record: Record,
}

/// A flow that is open for the client.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The packet that acknowledged the SYN+ACK.
    packet: Packet,
    daemon: SocketAddrV4,
    /// When the last copy of the SYN was sent before the SYN+ACK arrived, in seconds of the record.
    pub syn_sent: f64,
}

impl Client {
    /// Creates a client at `host`, which receives packets at `port`.
    pub fn new(host: [u8; 4], port: u16, record: Record) -> Client {
        let host = Ipv4Addr::from(host);
        let socket = UdpSocket::bind((host, port)).expect("client");
        Client {
            socket,
            host,
            next_port: 1_024,
            record,
        }
    }

    /// Opens a flow through a daemon, with copies of the SYN as PROTOCOL.md says.
    pub fn open(
        &mut self,
        id: &str,
        route: SocketAddrV4,
        daemon: SocketAddrV4,
    ) -> Result<Flow, Outcome> {
        self.next_port += 1;
        let from = SocketAddrV4::new(self.host, self.next_port);
        let mut packet = Packet {
            from,
            to: route,
            flags: SYN,
            echo: 0,
            seq: 0x2200_0000 + u32::from(self.next_port),
            ack: 0,
            data: Vec::new(),
        };
        let start = Instant::now();
        let mut syn_sent = self.send_syn(&packet, id, daemon);
        let accepted = loop {
            let copies = packet.ack as usize;
            let due = COPIES.get(copies).copied().unwrap_or(GIVE_UP);
            let left = (start + due).saturating_duration_since(Instant::now());
            if let Some(answer) = self.receive(from, left) {
                if answer.flags & RST != 0 {
                    self.record
                        .line(&format!("client got a reset before {id} opened"));
                    return Err(Outcome::Reset { open: false });
                }
                if answer.flags & SYN != 0 {
                    break answer;
                }
            } else if copies == COPIES.len() {
                self.record.line(&format!("client gives up opening {id}"));
                return Err(Outcome::Unanswered { open: false });
            } else {
                packet.ack += 1;
                syn_sent = self.send_syn(&packet, id, daemon);
            }
        };
        packet.flags = ACK;
        packet.seq = packet.seq.wrapping_add(1);
        packet.ack = accepted.seq.wrapping_add(1);
        packet.echo = accepted.echo;
        self.send(&packet, daemon);
        Ok(Flow {
            packet,
            daemon,
            syn_sent,
        })
    }

    /// Sends a request on an open flow and waits for its answer.
    pub fn ask(&mut self, flow: &Flow, id: &str, limit: Duration) -> Outcome {
        let start = Instant::now();
        let mut packet = flow.packet.clone();
        let text = format!("GET /x HTTP/1.1\r\nHost: x\r\nLovagespindle-Attempt-Id: {id}\r\n\r\n");
        packet.data = text.into();
        let outcome = loop {
            self.send(&packet, flow.daemon);
            let sent = Instant::now();
            let answer = loop {
                let left = (sent + RETRANSMIT).saturating_duration_since(Instant::now());
                let answer = self.receive(packet.from, left);
                // Ignores plain acknowledgements and repeated SYN+ACKs.
                if answer
                    .as_ref()
                    .is_none_or(|a| a.flags & RST != 0 || !a.data.is_empty())
                {
                    break answer;
                }
            };
            match answer {
                Some(answer) if answer.flags & RST != 0 => break Outcome::Reset { open: true },
                Some(_) => break Outcome::Answered,
                None if start.elapsed() >= limit => break Outcome::Unanswered { open: true },
                None => {}
            }
        };
        self.record
            .line(&format!("client: {id} ended: {outcome:?}"));
        outcome
    }

    pub fn close(&self, flow: &Flow) {
        let mut packet = flow.packet.clone();
        packet.flags = ACK | FIN;
        self.send(&packet, flow.daemon);
    }

    /// Sends one request over a new flow through a daemon.
    pub fn request(
        &mut self,
        id: &str,
        route: SocketAddrV4,
        daemon: SocketAddrV4,
        limit: Duration,
    ) -> Outcome {
        match self.open(id, route, daemon) {
            Ok(flow) => {
                let outcome = self.ask(&flow, id, limit);
                self.close(&flow);
                outcome
            }
            Err(outcome) => outcome,
        }
    }

    /// Sends a SYN. Returns when, in seconds of the record.
    fn send_syn(&self, packet: &Packet, id: &str, daemon: SocketAddrV4) -> f64 {
        let (from, to, copy) = (packet.from, packet.to, packet.ack);
        self.record.line(&format!(
            "client sends SYN copy {copy} of {from}>{to} for {id}"
        ));
        self.send(packet, daemon);
        self.record.seconds()
    }

    fn send(&self, packet: &Packet, daemon: SocketAddrV4) {
        let _ = self.socket.send_to(&packet.encode(), daemon);
    }

    /// Returns the next packet for the flow of `to`, or `None` after `limit`.
    fn receive(&self, to: SocketAddrV4, limit: Duration) -> Option<Packet> {
        let deadline = Instant::now() + limit;
        let mut bytes = [0; 2048];
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            self.socket.set_read_timeout(Some(left)).expect("client");
            let Ok((length, _)) = self.socket.recv_from(&mut bytes) else {
                continue;
            };
            let packet = Packet::decode(&bytes[..length]).filter(|packet| packet.to == to);
            if packet.is_some() {
                return packet;
            }
        }
    }
}
