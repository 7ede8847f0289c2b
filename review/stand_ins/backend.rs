//! Stand-in of a backend: answers SYNs and requests, and lets probes connect.

use std::collections::HashMap;
use std::net::{SocketAddrV4, TcpListener, UdpSocket};
use std::thread;

use super::packet::{ACK, FIN, Packet, RST, SYN};
use super::record::Record;

/// The backend's side of a flow.
struct Flow {
    /// The sequence number of its SYN+ACK.
    seq: u32,
    open: bool,
}

pub struct Backend {
    pub name: String,
    pub identity: u64,
    pub address: SocketAddrV4,
}

impl Backend {
    /// Starts a backend that holds at most `max_flows` open flows. `client_port` is the port at
    /// which clients receive packets.
    pub fn start(
        identity: u64,
        host: [u8; 4],
        client_port: u16,
        record: Record,
        max_flows: usize,
    ) -> Backend {
        let address = super::free_address(host);
        let name = format!("i-{identity:010x}");
        let listener = TcpListener::bind(address).expect("backend");
        // Keeps accepted connections for a moment only, as a probe closes its own.
        thread::spawn(move || listener.incoming().for_each(drop));
        let socket = UdpSocket::bind(address).expect("backend");
        let own = name.clone();
        thread::spawn(move || serve(&socket, identity, &own, client_port, &record, max_flows));
        Backend {
            name,
            identity,
            address,
        }
    }
}

fn serve(
    socket: &UdpSocket,
    identity: u64,
    name: &str,
    client_port: u16,
    record: &Record,
    max_flows: usize,
) {
    let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
    let mut next_seq = 0x1000_0000_u32;
    let mut bytes = [0; 2048];
    while let Ok((length, _)) = socket.recv_from(&mut bytes) {
        if length < 8 {
            continue;
        }
        let intended = u64::from_be_bytes(bytes[..8].try_into().unwrap());
        let Some(packet) = Packet::decode(&bytes[8..length]) else {
            continue;
        };
        if intended != identity && intended != 0 {
            continue;
        }
        let key = (packet.from, packet.to);
        let mut answer = Packet {
            from: packet.to,
            to: packet.from,
            flags: ACK,
            echo: packet.echo,
            seq: 0,
            ack: packet.seq.wrapping_add(packet.data.len() as u32),
            data: Vec::new(),
        };
        if packet.flags & SYN != 0 {
            let open = flows.values().filter(|flow| flow.open).count();
            if open >= max_flows && !flows.contains_key(&key) {
                record.line(&format!(
                    "{name} is full, ignores SYN copy {} of {}>{}",
                    packet.ack, key.0, key.1
                ));
                continue;
            }
            next_seq = next_seq.wrapping_add(0x0010_0001);
            let flow = flows.entry(key).or_insert(Flow {
                seq: next_seq,
                open: false,
            });
            answer.flags = SYN | ACK;
            answer.seq = flow.seq;
            answer.ack = packet.seq.wrapping_add(1);
            record.line(&format!(
                "{name} got SYN copy {} of {}>{}",
                packet.ack, key.0, key.1
            ));
        } else if packet.flags & RST != 0 {
            flows.remove(&key);
            continue;
        } else {
            let held = flows
                .get_mut(&key)
                .filter(|flow| packet.ack.wrapping_sub(flow.seq) <= 76_800);
            let Some(flow) = held.filter(|flow| packet.ack != flow.seq) else {
                answer.flags = RST;
                answer.seq = packet.ack;
                record.line(&format!(
                    "{name} does not hold {}>{}: sends RST",
                    key.0, key.1
                ));
                send(socket, &answer, client_port);
                continue;
            };
            if !flow.open {
                flow.open = true;
                record.line(&format!("{name} opened {}>{}", key.0, key.1));
            }
            answer.seq = flow.seq.wrapping_add(1);
            if !packet.data.is_empty() {
                let text = String::from_utf8_lossy(&packet.data);
                let id = text
                    .lines()
                    .find_map(|line| line.strip_prefix("Lovagespindle-Attempt-Id: "));
                record.line(&format!(
                    "{name} ran {}",
                    id.unwrap_or("a request without id")
                ));
                answer.data = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec();
            }
            if packet.flags & FIN != 0 {
                answer.flags |= FIN;
                flows.remove(&key);
            }
        }
        send(socket, &answer, client_port);
    }
}

fn send(socket: &UdpSocket, packet: &Packet, client_port: u16) {
    let _ = socket.send_to(&packet.encode(), (*packet.to.ip(), client_port));
}
