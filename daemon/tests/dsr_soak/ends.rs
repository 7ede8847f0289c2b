//! Both ends of flows: clients that keep using open flows, and backend servers that answer them.

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

/// The port of packets, on all hosts.
pub(crate) const PACKETS: u16 = 8_172;

// Flags and offsets of a packet.
const SYN: u8 = 1;
const ACK: u8 = 2;
const RST: u8 = 16;
const FIN: u8 = 128;
const HEADER: usize = 31;

/// When copies of an opening packet are sent, and when the client gives up.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const GIVE_UP: Duration = Duration::from_millis(1_400);
/// The pause between two packets of an open flow; one that is not answered is sent again after it.
const PACE: Duration = Duration::from_millis(150);
/// How many packets a flow exchanges, and how often one is sent again.
const EXCHANGES: u32 = 12;
const RESENDS: u32 = 16;

/// How far a flow is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    Opening,
    Open(u32),
    Finished,
    Failed,
}

/// A flow of a client.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    pub(crate) service: SocketAddrV4,
    pub(crate) started: Instant,
    pub(crate) stage: Stage,
    copies: usize,
    tag: [u8; 4],
    exchanges: u32,
    resends: u32,
    next: Instant,
    /// Packets that reached other backend servers.
    pub(crate) strays: u32,
}

/// A backend server.
pub(crate) struct Server {
    pub(crate) socket: UdpSocket,
    pub(crate) number: u32,
    pub(crate) drained: Option<Instant>,
    pub(crate) silent: bool,
    /// When it was last started or silenced.
    pub(crate) touched: Instant,
    /// The ports of the clients' ends of its flows.
    flows: HashSet<u16>,
}

/// Something that an end saw.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Sight {
    /// A backend server took the opening packet of a flow, from that sender.
    Opening {
        port: u16,
        server: u32,
        by: SocketAddr,
    },
    /// A backend server got a packet of an open flow.
    Data { port: u16, server: u32 },
    /// A client got a reset that no backend server sent.
    Reset { port: u16, by: SocketAddr },
}

fn packet(flags: u8, from: SocketAddrV4, to: SocketAddrV4) -> Vec<u8> {
    let mut bytes = vec![0; HEADER];
    bytes[8] = flags;
    bytes[17..19].copy_from_slice(&to.port().to_be_bytes());
    bytes[19..23].copy_from_slice(&from.ip().octets());
    bytes[23..25].copy_from_slice(&from.port().to_be_bytes());
    bytes[25..29].copy_from_slice(&to.ip().octets());
    bytes
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_be_bytes([bytes[at], bytes[at + 1]])
}

impl Server {
    pub(crate) fn new(socket: UdpSocket, number: u32) -> Server {
        Server {
            socket,
            number,
            drained: None,
            silent: false,
            touched: Instant::now(),
            flows: HashSet::new(),
        }
    }

    /// Starts anew under another identity; its flows are gone.
    pub(crate) fn restart(&mut self, number: u32) {
        self.number = number;
        self.drained = None;
        self.silent = false;
        self.touched = Instant::now();
        self.flows.clear();
    }

    /// Answers what has arrived.
    pub(crate) fn answer(&mut self, seen: &mut Vec<Sight>) {
        let mut buffer = [0; 2_048];
        while let Ok((length, by)) = self.socket.try_recv_from(&mut buffer) {
            let identity = u64::from_be_bytes(buffer[..8].try_into().unwrap());
            if self.silent || identity != u64::from(self.number) || length < 8 + HEADER {
                continue;
            }
            self.take(&buffer[8..length], by, seen);
        }
    }

    fn take(&mut self, bytes: &[u8], by: SocketAddr, seen: &mut Vec<Sight>) {
        let (flags, port, server) = (bytes[8], u16_at(bytes, 23), self.number);
        if flags & SYN != 0 {
            seen.push(Sight::Opening { port, server, by });
            self.flows.insert(port);
            self.reply(bytes, SYN | ACK);
        } else if flags & FIN != 0 {
            self.flows.remove(&port);
        } else if self.flows.contains(&port) {
            seen.push(Sight::Data { port, server });
            self.reply(bytes, ACK);
        } else {
            self.reply(bytes, RST);
        }
    }

    /// Answers to the client directly, in the name of the service.
    fn reply(&self, bytes: &[u8], flags: u8) {
        let end = |address, port| {
            let octets: [u8; 4] = bytes[address..address + 4].try_into().unwrap();
            SocketAddrV4::new(Ipv4Addr::from(octets), u16_at(bytes, port))
        };
        let client = end(19, 23);
        let mut reply = packet(flags, end(25, 17), client);
        // Shows the client who answers.
        reply[..4].copy_from_slice(&self.number.to_be_bytes());
        reply[9..13].copy_from_slice(&bytes[9..13]);
        let to = SocketAddr::from((*client.ip(), PACKETS));
        // A datagram that does not fit is lost, as on the way.
        let _ = self.socket.try_send_to(&reply, to);
    }
}

/// Clients at one address.
pub(crate) struct Clients {
    pub(crate) socket: UdpSocket,
    host: Ipv4Addr,
    pub(crate) flows: HashMap<u16, Flow>,
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

    /// Begins a flow; it sends its first packet when it is due.
    pub(crate) fn open(&mut self, now: Instant, service: SocketAddrV4) -> u16 {
        self.port += 1;
        let flow = Flow {
            service,
            started: now,
            stage: Stage::Opening,
            copies: 0,
            tag: [0; 4],
            exchanges: 0,
            resends: 0,
            next: now,
            strays: 0,
        };
        self.flows.insert(self.port, flow);
        self.port
    }

    /// Takes what has arrived.
    pub(crate) fn receive(&mut self, now: Instant, seen: &mut Vec<Sight>) {
        let mut buffer = [0; 2_048];
        while let Ok((length, by)) = self.socket.try_recv_from(&mut buffer) {
            if length < HEADER {
                continue;
            }
            let bytes = &buffer[..length];
            let (port, flags) = (u16_at(bytes, 17), bytes[8]);
            let server = u32::from_be_bytes(bytes[..4].try_into().unwrap());
            if flags & RST != 0 && server == 0 {
                seen.push(Sight::Reset { port, by });
            }
            if let Some(flow) = self.flows.get_mut(&port) {
                flow.take(now, flags, server, bytes[9..13].try_into().unwrap());
            }
        }
    }

    /// Sends what is due. Returns packets with the flow's port, for the routers to pass on.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<(u16, Vec<u8>)> {
        let mut packets = Vec::new();
        for (port, flow) in &mut self.flows {
            if flow.next > now || matches!(flow.stage, Stage::Finished | Stage::Failed) {
                continue;
            }
            let from = SocketAddrV4::new(self.host, *port);
            if let Some((flags, copy)) = flow.step(now) {
                let mut bytes = packet(flags, from, flow.service);
                bytes[..4].copy_from_slice(&u32::from(*port).to_be_bytes());
                bytes[4..8].copy_from_slice(&copy.to_be_bytes());
                bytes[9..13].copy_from_slice(&flow.tag);
                packets.push((*port, bytes));
            }
        }
        packets
    }

    pub(crate) fn next(&self) -> Option<Instant> {
        let busy = |flow: &&Flow| !matches!(flow.stage, Stage::Finished | Stage::Failed);
        self.flows.values().filter(busy).map(|flow| flow.next).min()
    }
}

impl Flow {
    fn take(&mut self, now: Instant, flags: u8, server: u32, tag: [u8; 4]) {
        let open = match self.stage {
            Stage::Open(at) => at == server,
            Stage::Opening => flags & SYN != 0,
            Stage::Finished | Stage::Failed => return,
        };
        if flags & RST != 0 && (open || server == 0 || self.stage == Stage::Opening) {
            self.stage = Stage::Failed;
        } else if open && flags & SYN != 0 {
            if self.stage == Stage::Opening {
                self.stage = Stage::Open(server);
                self.next = now;
            }
            self.tag = tag;
        } else if open {
            self.tag = tag;
            self.exchanges += 1;
            self.resends = 0;
            self.next = now + PACE;
        }
    }

    /// Returns flags and copy number of the packet that is due.
    fn step(&mut self, now: Instant) -> Option<(u8, u32)> {
        match self.stage {
            Stage::Opening => {
                if now >= self.started + GIVE_UP {
                    self.stage = Stage::Failed;
                    return None;
                }
                let copy = self.copies as u32;
                self.copies += 1;
                let later = COPIES.get(copy as usize).copied().unwrap_or(GIVE_UP);
                self.next = self.started + later;
                (copy <= COPIES.len() as u32).then_some((SYN, copy))
            }
            Stage::Open(_) if self.exchanges >= EXCHANGES => {
                self.stage = Stage::Finished;
                Some((FIN | ACK, 0))
            }
            Stage::Open(_) if self.resends >= RESENDS => {
                self.stage = Stage::Failed;
                None
            }
            Stage::Open(_) => {
                self.resends += 1;
                self.next = now + PACE;
                Some((ACK, 0))
            }
            Stage::Finished | Stage::Failed => None,
        }
    }
}
