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
    /// Holds a packet. If the queue is full, the oldest packet is dropped, because its client is
    /// closest to its time limit.
    pub fn push(&mut self, now: Time, packet: &[u8]) {
        if self.packets.len() >= MAX_PACKETS {
            self.packets.pop_front();
        }
        self.packets.push_back((now, packet.into()));
    }

    /// Returns the oldest packet whose client may still wait for it, and drops those before it.
    pub fn pop(&mut self, now: Time) -> Option<Box<[u8]>> {
        while let Some((at, packet)) = self.packets.pop_front() {
            if now.since(at) < TTL {
                return Some(packet);
            }
        }
        None
    }
}
