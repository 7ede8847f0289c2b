//! Counters of what an instance did.

use strum::{
    EnumCount,
    IntoEnumIterator, //
};

/// What is counted. The names are also the names of the metrics.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Count {
    /// Packets from clients.
    Packets,
    /// Packets forwarded that open no flow.
    Forwarded,
    /// Flows opened.
    Opened,
    /// Opening packets sent to a further backend server.
    Reopened,
    /// Handshakes completed.
    Established,
    /// Flows reset.
    Resets,
    /// Packets dropped by a decision.
    Drops,
    /// Datagrams that are no packets; dropped.
    Malformed,
    /// Datagrams that the operating system did not send.
    Unsent,
    /// Failures to receive from the socket for packets.
    ReceiveFailures,
    /// Log lines on flows beyond the limit; not written.
    SuppressedLines,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts([u64; Count::COUNT]);

impl Counts {
    /// Counts one.
    pub fn add(&mut self, count: Count) {
        self.0[count as usize] += 1;
    }

    /// Returns a count.
    pub fn get(&self, count: Count) -> u64 {
        self.0[count as usize]
    }

    /// Returns the sums of two counts of different things.
    pub fn plus(&self, other: &Counts) -> Counts {
        let mut sum = *self;
        for count in Count::iter() {
            sum.0[count as usize] += other.get(count);
        }
        sum
    }
}
