//! Counts of a datagram socket.

use strum::{
    EnumCount,
    IntoEnumIterator, //
};

use crate::error::Defect;

/// What a datagram socket received, sent and dropped since it was opened.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, kameo::Reply)]
pub struct Counts {
    /// Datagrams received, malformed ones included.
    pub received: u64,
    /// Well-formed datagrams dropped because the consumer's mailbox was full or closed.
    pub overruns: u64,
    /// Errors of the operating system while receiving.
    pub failures: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Packets that could not be encoded.
    pub unencodable: u64,
    /// Errors of the operating system while sending.
    pub unsent: u64,
    /// Datagrams dropped because of a defect, by its kind.
    defects: [u64; Defect::COUNT],
}

impl Counts {
    /// Counts a datagram that was dropped because of a defect.
    pub fn add_defect(&mut self, defect: Defect) {
        self.defects[defect as usize] += 1;
    }

    /// Returns how many datagrams were dropped because of a defect.
    pub fn defect(&self, defect: Defect) -> u64 {
        self.defects[defect as usize]
    }

    /// Returns all kinds of defect with their counts.
    pub fn defects(&self) -> impl Iterator<Item = (Defect, u64)> {
        Defect::iter().zip(self.defects)
    }

    /// Returns the counts of a socket whose receiver and sender counted apart.
    pub fn with_sender(self, sender: &Counts) -> Counts {
        Counts {
            sent: sender.sent,
            unencodable: sender.unencodable,
            unsent: sender.unsent,
            ..self
        }
    }
}
