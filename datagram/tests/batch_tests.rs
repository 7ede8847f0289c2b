//! Sending several datagrams per system call.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::sync::Arc;

use bytes::Bytes;
use lovagespindle_datagram::{
    BatchSender,
    BatchSocket,
    Clock, //
};
use lovagespindle_decisions::packet::PacketKind;
use lovagespindle_stand_ins::cases;
use lovagespindle_stand_ins::peer::{
    Peer,
    localhost,
    packet, //
};

cases! { async
    /// Guards against a datagram that is cut or merged where the sizes in a batch differ.
    sizes_differ => keeps_packets(&[64, 64, 64, 10, 64, 100, 100, 0, 0, 5]);
    /// Guards against a run that exceeds what one system call may send.
    batch_is_long => keeps_packets(&[1000; 150]);
}

/// Sends packets with payloads of these sizes, in turn to two peers and then all to the first.
async fn keeps_packets(sizes: &[usize]) {
    let peers = [Peer::open().await.unwrap(), Peer::open().await.unwrap()];
    let socket = Arc::new(BatchSocket::bind(localhost(), 1 << 20).unwrap());
    let mut sender = BatchSender::new(socket, Clock::start());
    let mut expected = [Vec::new(), Vec::new()];
    for alternates in [true, false] {
        for (n, size) in sizes.iter().enumerate() {
            let to = if alternates { n % 2 } else { 0 };
            let mut packet = packet(PacketKind::Data, n as u64);
            packet.payload = Bytes::from(vec![n as u8; *size]);
            sender.push(peers[to].address, &packet, None).await;
            expected[to].push(packet);
        }
    }
    sender.flush().await;
    assert_eq!(sender.counts().sent, 2 * sizes.len() as u64);
    for (peer, expected) in peers.iter().zip(expected) {
        for packet in expected {
            assert_eq!(peer.receive().await.unwrap(), packet);
        }
    }
}
