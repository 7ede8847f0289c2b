//! Counters of a datagram socket.

use strum::{
    EnumCount,
    IntoEnumIterator, //
};

use crate::error::Defect;

/// Datagrams that a socket received, sent and dropped since it was opened.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, kameo::Reply)]
pub struct Counts {
    /// Datagrams received, including malformed ones.
    pub received: u64,
    /// Well-formed datagrams dropped because the consumer's mailbox was full or closed.
    pub overruns: u64,
    /// System calls that failed to receive.
    pub failures: u64,
    pub sent: u64,
    /// Packets dropped because they could not be encoded.
    pub unencodable: u64,
    /// Datagrams dropped because the system call to send them failed.
    pub unsent: u64,
    /// Datagrams rejected by the decoder, by kind of defect.
    defects: [u64; Defect::COUNT],
}

impl Counts {
    /// Counts a datagram that was dropped because of this defect.
    pub fn add_defect(&mut self, defect: Defect) {
        self.defects[defect as usize] += 1;
    }

    /// Returns the number of datagrams dropped because of this defect.
    pub fn defect(&self, defect: Defect) -> u64 {
        self.defects[defect as usize]
    }

    /// Returns every kind of defect with its count.
    pub fn defects(&self) -> impl Iterator<Item = (Defect, u64)> {
        Defect::iter().zip(self.defects)
    }

    /// Combines the counts of a socket's receiver with those of its sender.
    pub fn with_sender(self, sender: &Counts) -> Counts {
        Counts {
            sent: sender.sent,
            unencodable: sender.unencodable,
            unsent: sender.unsent,
            ..self
        }
    }
}
