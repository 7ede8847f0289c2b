//! Stand-ins of the platform's store, of backends and of clients, and the daemons under test as
//! separate processes. They use the standard library only.
//!
//! Each case includes this module. All addresses are loopback addresses; ports are free ones.

#![allow(dead_code)]

pub mod backend;
pub mod client;
pub mod daemon;
pub mod documents;
pub mod link;
pub mod packet;
pub mod record;
pub mod store;

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

/// Returns an address of the loopback network with a UDP and TCP port that were free just now.
pub fn free_address(host: [u8; 4]) -> SocketAddrV4 {
    loop {
        let host = Ipv4Addr::from(host);
        let udp = UdpSocket::bind((host, 0)).expect("no free UDP port");
        let port = udp.local_addr().expect("no local address").port();
        if TcpListener::bind((host, port)).is_ok() {
            return SocketAddrV4::new(host, port);
        }
    }
}

/// Returns whether the case runs with its disruption. `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
