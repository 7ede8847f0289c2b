//! Packets of clients and backends, as PROTOCOL.md lays them out. The keyed sum is a constant here:
//! the daemons cannot check it.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 1;
pub const ACK: u8 = 2;
pub const RST: u8 = 16;
pub const FIN: u8 = 128;
const HEADER: usize = 31;
const SUM: u32 = 0x5a5a_5a5a;

#[derive(Clone, Debug)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub flags: u8,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER + self.data.len());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.push(self.flags);
        out.extend(self.echo.to_be_bytes());
        out.extend(SUM.to_be_bytes());
        out.extend(self.to.port().to_be_bytes());
        out.extend(self.from.ip().octets());
        out.extend(self.from.port().to_be_bytes());
        out.extend(self.to.ip().octets());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEADER {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        Some(Packet {
            from: SocketAddrV4::new(Ipv4Addr::from(u32_at(19)), u16_at(23)),
            to: SocketAddrV4::new(Ipv4Addr::from(u32_at(25)), u16_at(17)),
            flags: bytes[8],
            echo: u32_at(9),
            seq: u32_at(0),
            ack: u32_at(4),
            data: bytes[HEADER..].to_vec(),
        })
    }
}
