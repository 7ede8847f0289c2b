//! Tests of sending several datagrams per system call.

#![allow(clippy::unwrap_used)] // Test helpers may panic.

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
    /// Guards against datagrams that are split or merged when their sizes differ.
    datagrams_of_different_sizes_stay_separate =>
        check_delivery(&[64, 64, 64, 10, 64, 100, 100, 0, 0, 5]);
    /// Guards against a batch that exceeds the limit of one system call.
    long_batches_are_divided => check_delivery(&[1000; 150]);
}

/// Sends packets with payloads of these sizes, first to two peers alternately and then all to the
/// first peer. Checks that each peer receives its packets unchanged and in order.
async fn check_delivery(sizes: &[usize]) {
    let peers = [Peer::open().await.unwrap(), Peer::open().await.unwrap()];
    let socket = Arc::new(BatchSocket::bind(localhost(), 1 << 20).unwrap());
    let mut sender = BatchSender::new(socket, Clock::start());
    let mut expected = [Vec::new(), Vec::new()];
    for alternate in [true, false] {
        for (n, size) in sizes.iter().enumerate() {
            let to = if alternate { n % 2 } else { 0 };
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
