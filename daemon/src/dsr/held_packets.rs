//! Packets that arrived before the first update of the store.

use std::collections::VecDeque;
use std::time::Duration;

use lovagespindle_decisions::Time;

/// Maximum number of held packets. With the largest packets they take 1.2 MB.
const MAX_PACKETS: usize = 1_000;

/// Time for which a packet is held. Clients retransmit after 200 ms and then after at most 800 ms.
const TTL: Duration = Duration::from_millis(800);

/// A bounded queue of packets, oldest first.
#[derive(Debug, Default)]
pub struct HeldPackets {
    packets: VecDeque<(Time, Box<[u8]>)>,
}

impl HeldPackets {
    /// Holds a packet that arrived at `at`. If the queue is full, the oldest packet is dropped,
    /// because its client is closest to its time limit.
    pub fn push(&mut self, at: Time, packet: &[u8]) {
        if self.packets.len() >= MAX_PACKETS {
            self.packets.pop_front();
        }
        self.packets.push_back((at, packet.into()));
    }

    /// Removes all packets. Returns those whose clients may still wait, with their arrival times.
    pub fn take(&mut self, now: Time) -> VecDeque<(Time, Box<[u8]>)> {
        let mut packets = std::mem::take(&mut self.packets);
        packets.retain(|(at, _)| now.since(*at) < TTL);
        packets
    }
}
