//! Counters of the links, the connections for control messages between instances.

use strum::{
    EnumCount,
    IntoEnumIterator, //
};

/// A counter of the links. The names in snake case are also the names of the metrics.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    PartialEq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LinkCounter {
    /// Control messages written to links.
    MessagesOut,
    /// Bytes of frames written to links.
    BytesOut,
    /// Control messages received.
    MessagesIn,
    /// Bytes of frames received.
    BytesIn,
    /// Control messages dropped because the peer was unreachable or did not read.
    DroppedOut,
    /// Control messages that could not be encoded.
    Unencodable,
    /// Frames that were invalid. Each of them closed its link.
    MalformedIn,
    /// Links opened by this instance.
    Opened,
    /// Links that could not be opened.
    OpenFailures,
    /// Links accepted from other instances.
    Accepted,
    /// Links closed immediately after they were accepted, because too many were open.
    Refused,
    /// Links reopened because the peer did not respond.
    Reopened,
}

/// Values of all [`LinkCounter`]s. Each task counts separately and reports its counts to
/// [`PeerLinks`](crate::links::PeerLinks), which adds them up.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, kameo::Reply)]
pub struct LinkCounts([u64; LinkCounter::COUNT]);

impl LinkCounts {
    /// Increments a counter.
    pub fn add(&mut self, counter: LinkCounter) {
        self.add_many(counter, 1);
    }

    /// Adds `n` to a counter.
    pub fn add_many(&mut self, counter: LinkCounter, n: u64) {
        self.0[counter as usize] += n;
    }

    /// Adds the counts that a task reported.
    pub fn add_all(&mut self, counts: &LinkCounts) {
        for (sum, n) in self.0.iter_mut().zip(counts.0) {
            *sum += n;
        }
    }

    /// Returns the value of a counter.
    pub fn get(&self, counter: LinkCounter) -> u64 {
        self.0[counter as usize]
    }

    /// Returns all counters with their values.
    pub fn iter(&self) -> impl Iterator<Item = (LinkCounter, u64)> {
        LinkCounter::iter().zip(self.0)
    }
}
