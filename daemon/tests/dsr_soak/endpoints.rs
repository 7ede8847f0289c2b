//! Endpoints of flows: clients that keep sending on open flows, and backend servers that reply.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::net::{
    Ipv4Addr,
    SocketAddr,
    SocketAddrV4, //
};
use std::time::{
    Duration,
    Instant, //
};

use tokio::net::UdpSocket;

/// UDP port of packets, on all hosts.
pub(crate) const PACKET_PORT: u16 = 8_172;

// Flags and header length of a packet.
const SYN: u8 = 1;
const ACK: u8 = 2;
const RST: u8 = 16;
const FIN: u8 = 128;
const HEADER_LENGTH: usize = 31;

/// Times after the first SYN at which it is retransmitted.
const RETRANSMIT_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// Time after the first SYN at which the client gives up.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time between two packets of an open flow, and before a packet without a reply is sent again.
const SEND_INTERVAL: Duration = Duration::from_millis(150);
/// Number of packets with a reply after which a flow is finished.
const EXCHANGES: u32 = 12;
/// Number of transmissions of one packet without a reply after which a flow has failed.
const MAX_SENDS: u32 = 16;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    Opening,
    /// Open at the backend server with this identity.
    Open(u32),
    Finished,
    Failed,
}

/// A flow of a client.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    pub(crate) service: SocketAddrV4,
    pub(crate) opened_at: Instant,
    pub(crate) stage: Stage,
    /// Number of SYNs sent.
    syns: usize,
    tag: [u8; 4],
    exchanges: u32,
    /// Number of transmissions since the last reply.
    sends: u32,
    next_send: Instant,
    /// Number of packets that reached another backend server.
    pub(crate) misdelivered: u32,
}

/// A backend server.
pub(crate) struct Server {
    pub(crate) socket: UdpSocket,
    pub(crate) identity: u32,
    /// Time at which draining began.
    pub(crate) drained: Option<Instant>,
    /// Whether it ignores all packets.
    pub(crate) unresponsive: bool,
    /// Time at which it was last started, or became unresponsive or responsive.
    pub(crate) last_disturbed: Instant,
    /// Client ports of its flows.
    flows: HashSet<u16>,
}

/// Something that an endpoint received.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Observation {
    /// A backend server received the SYN of a flow.
    Syn {
        port: u16,
        server: u32,
        sender: SocketAddr,
    },
    /// A backend server received a packet of an open flow.
    Data { port: u16, server: u32 },
    /// A client received a reset that no backend server sent.
    Reset { port: u16, sender: SocketAddr },
}

fn packet(flags: u8, from: SocketAddrV4, to: SocketAddrV4) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_LENGTH];
    bytes[8] = flags;
    bytes[17..19].copy_from_slice(&to.port().to_be_bytes());
    bytes[19..23].copy_from_slice(&from.ip().octets());
    bytes[23..25].copy_from_slice(&from.port().to_be_bytes());
    bytes[25..29].copy_from_slice(&to.ip().octets());
    bytes
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_be_bytes([bytes[offset], bytes[offset + 1]])
}

impl Server {
    pub(crate) fn new(socket: UdpSocket, identity: u32) -> Server {
        Server {
            socket,
            identity,
            drained: None,
            unresponsive: false,
            last_disturbed: Instant::now(),
            flows: HashSet::new(),
        }
    }

    /// Restarts under a new identity, without flows.
    pub(crate) fn restart(&mut self, identity: u32) {
        self.identity = identity;
        self.drained = None;
        self.unresponsive = false;
        self.last_disturbed = Instant::now();
        self.flows.clear();
    }

    /// Handles the received packets and replies to them.
    pub(crate) fn receive(&mut self, observations: &mut Vec<Observation>) {
        let mut buffer = [0; 2_048];
        while let Ok((length, sender)) = self.socket.try_recv_from(&mut buffer) {
            let identity = u64::from_be_bytes(buffer[..8].try_into().unwrap());
            if self.unresponsive
                || identity != u64::from(self.identity)
                || length < 8 + HEADER_LENGTH
            {
                continue;
            }
            self.handle(&buffer[8..length], sender, observations);
        }
    }

    fn handle(&mut self, bytes: &[u8], sender: SocketAddr, observations: &mut Vec<Observation>) {
        let (flags, port, server) = (bytes[8], u16_at(bytes, 23), self.identity);
        if flags & SYN != 0 {
            observations.push(Observation::Syn {
                port,
                server,
                sender,
            });
            self.flows.insert(port);
            self.reply(bytes, SYN | ACK);
        } else if flags & FIN != 0 {
            self.flows.remove(&port);
        } else if self.flows.contains(&port) {
            observations.push(Observation::Data { port, server });
            self.reply(bytes, ACK);
        } else {
            self.reply(bytes, RST);
        }
    }

    /// Replies to the client directly, from the address of the service.
    fn reply(&self, bytes: &[u8], flags: u8) {
        let endpoint = |address, port| {
            let octets: [u8; 4] = bytes[address..address + 4].try_into().unwrap();
            SocketAddrV4::new(Ipv4Addr::from(octets), u16_at(bytes, port))
        };
        let client = endpoint(19, 23);
        let mut reply = packet(flags, endpoint(25, 17), client);
        // Identifies the backend server to the client. In resets by an instance, this is 0.
        reply[..4].copy_from_slice(&self.identity.to_be_bytes());
        reply[9..13].copy_from_slice(&bytes[9..13]);
        let to = SocketAddr::from((*client.ip(), PACKET_PORT));
        // A datagram that the system does not accept counts as lost, as in the network.
        let _ = self.socket.try_send_to(&reply, to);
    }
}

/// All clients, which share one address.
pub(crate) struct Clients {
    pub(crate) socket: UdpSocket,
    host: Ipv4Addr,
    pub(crate) flows: HashMap<u16, Flow>,
    /// Port of the latest flow.
    port: u16,
}

impl Clients {
    pub(crate) fn new(socket: UdpSocket, host: Ipv4Addr) -> Clients {
        Clients {
            socket,
            host,
            flows: HashMap::new(),
            port: 1_024,
        }
    }

    /// Opens a flow and returns its port. The next call of `due_packets` returns its first SYN.
    pub(crate) fn open(&mut self, now: Instant, service: SocketAddrV4) -> u16 {
        self.port += 1;
        let flow = Flow {
            service,
            opened_at: now,
            stage: Stage::Opening,
            syns: 0,
            tag: [0; 4],
            exchanges: 0,
            sends: 0,
            next_send: now,
            misdelivered: 0,
        };
        self.flows.insert(self.port, flow);
        self.port
    }

    /// Handles the received packets.
    pub(crate) fn receive(&mut self, now: Instant, observations: &mut Vec<Observation>) {
        let mut buffer = [0; 2_048];
        while let Ok((length, sender)) = self.socket.try_recv_from(&mut buffer) {
            if length < HEADER_LENGTH {
                continue;
            }
            let bytes = &buffer[..length];
            let (port, flags) = (u16_at(bytes, 17), bytes[8]);
            let server = u32::from_be_bytes(bytes[..4].try_into().unwrap());
            if flags & RST != 0 && server == 0 {
                observations.push(Observation::Reset { port, sender });
            }
            if let Some(flow) = self.flows.get_mut(&port) {
                flow.handle(now, flags, server, bytes[9..13].try_into().unwrap());
            }
        }
    }

    /// Returns the packets that are due with the port of their flow, for the routers to forward.
    pub(crate) fn due_packets(&mut self, now: Instant) -> Vec<(u16, Vec<u8>)> {
        let mut packets = Vec::new();
        for (port, flow) in &mut self.flows {
            if flow.next_send > now || matches!(flow.stage, Stage::Finished | Stage::Failed) {
                continue;
            }
            let from = SocketAddrV4::new(self.host, *port);
            if let Some((flags, attempt)) = flow.next_packet(now) {
                let mut bytes = packet(flags, from, flow.service);
                bytes[..4].copy_from_slice(&u32::from(*port).to_be_bytes());
                bytes[4..8].copy_from_slice(&attempt.to_be_bytes());
                bytes[9..13].copy_from_slice(&flow.tag);
                packets.push((*port, bytes));
            }
        }
        packets
    }

    /// Returns when the next packet is due.
    pub(crate) fn next_send(&self) -> Option<Instant> {
        let active = |flow: &&Flow| !matches!(flow.stage, Stage::Finished | Stage::Failed);
        self.flows
            .values()
            .filter(active)
            .map(|flow| flow.next_send)
            .min()
    }
}

impl Flow {
    fn handle(&mut self, now: Instant, flags: u8, server: u32, tag: [u8; 4]) {
        let open = match self.stage {
            Stage::Open(own) => own == server,
            Stage::Opening => flags & SYN != 0,
            Stage::Finished | Stage::Failed => return,
        };
        if flags & RST != 0 && (open || server == 0 || self.stage == Stage::Opening) {
            self.stage = Stage::Failed;
        } else if open && flags & SYN != 0 {
            if self.stage == Stage::Opening {
                self.stage = Stage::Open(server);
                self.next_send = now;
            }
            self.tag = tag;
        } else if open {
            self.tag = tag;
            self.exchanges += 1;
            self.sends = 0;
            self.next_send = now + SEND_INTERVAL;
        }
    }

    /// Returns the flags and the retransmission number of the packet that is due.
    fn next_packet(&mut self, now: Instant) -> Option<(u8, u32)> {
        match self.stage {
            Stage::Opening => {
                if now >= self.opened_at + OPEN_TIMEOUT {
                    self.stage = Stage::Failed;
                    return None;
                }
                let attempt = self.syns as u32;
                self.syns += 1;
                let delay = RETRANSMIT_TIMES
                    .get(attempt as usize)
                    .copied()
                    .unwrap_or(OPEN_TIMEOUT);
                self.next_send = self.opened_at + delay;
                (attempt <= RETRANSMIT_TIMES.len() as u32).then_some((SYN, attempt))
            }
            Stage::Open(_) if self.exchanges >= EXCHANGES => {
                self.stage = Stage::Finished;
                Some((FIN | ACK, 0))
            }
            Stage::Open(_) if self.sends >= MAX_SENDS => {
                self.stage = Stage::Failed;
                None
            }
            Stage::Open(_) => {
                self.sends += 1;
                self.next_send = now + SEND_INTERVAL;
                Some((ACK, 0))
            }
            Stage::Finished | Stage::Failed => None,
        }
    }
}
