//! Counters of the links.

use strum::{
    EnumCount,
    IntoEnumIterator, //
};

/// What is counted. The names are also the names of the metrics.
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
    /// Control messages dropped because the peer could not be reached or did not read.
    DroppedOut,
    /// Control messages that could not be encoded.
    Unencodable,
    /// Frames that could not be decoded; each closed its link.
    MalformedIn,
    /// Links opened.
    Opened,
    /// Links that could not be opened.
    OpenFailures,
    /// Links accepted.
    Accepted,
    /// Links refused because too many were open.
    Refused,
    /// Links reopened because they were silent.
    Reopened,
}

/// What links did. Each task counts for itself and reports to the actor.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, kameo::Reply)]
pub struct LinkCounts([u64; LinkCounter::COUNT]);

impl LinkCounts {
    /// Counts one more.
    pub fn add(&mut self, counter: LinkCounter) {
        self.add_many(counter, 1);
    }

    /// Counts `n` more.
    pub fn add_many(&mut self, counter: LinkCounter, n: u64) {
        self.0[counter as usize] += n;
    }

    /// Adds the counts of another task.
    pub fn add_all(&mut self, counts: &LinkCounts) {
        for (sum, n) in self.0.iter_mut().zip(counts.0) {
            *sum += n;
        }
    }

    /// Returns the count.
    pub fn get(&self, counter: LinkCounter) -> u64 {
        self.0[counter as usize]
    }

    /// Returns all counters with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (LinkCounter, u64)> {
        LinkCounter::iter().zip(self.0)
    }
}
