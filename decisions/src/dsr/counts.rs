//! Counters of the packets and flows of an instance.

use strum::{
    EnumCount,
    IntoEnumIterator, //
};

/// The counters. Their names in snake case are the names of the metrics.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Count {
    /// Packets received from clients.
    Packets,
    /// Packets other than SYNs that were forwarded.
    Forwarded,
    /// Flows opened at a first backend server.
    Opened,
    /// Flows opened although the store had not confirmed the view within the bound.
    OpenedStale,
    /// SYNs that were also sent to a further backend server.
    Reopened,
    /// Handshakes that completed.
    Established,
    /// Flows that were opened through another instance, and whose packets then arrived here.
    Adopted,
    /// Flows that were reset.
    Resets,
    /// Packets that were dropped on purpose.
    Drops,
    /// Probes of backend servers that did not answer a client.
    ServerProbes,
    /// Packets that were held until the first update of the store.
    Held,
    /// Datagrams that were dropped because they contain no valid packet.
    Malformed,
    /// Datagrams that the operating system failed to send.
    Unsent,
    /// Failures to receive from the packet socket.
    ReceiveFailures,
    /// Log lines on flows that the rate limit suppressed.
    SuppressedLines,
}

/// The values of all counters since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts([u64; Count::COUNT]);

impl Counts {
    /// Increments a counter.
    pub fn add(&mut self, count: Count) {
        self.0[count as usize] += 1;
    }

    pub fn get(&self, count: Count) -> u64 {
        self.0[count as usize]
    }

    /// Returns the sums of two sets of counters.
    pub fn plus(&self, other: &Counts) -> Counts {
        let mut sum = *self;
        for count in Count::iter() {
            sum.0[count as usize] += other.get(count);
        }
        sum
    }
}
