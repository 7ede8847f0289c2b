//! The parts of a packet that decisions depend on.

use std::fmt;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher13;

/// The addresses of the two ends of a flow as clients see them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FlowTuple {
    pub client: SocketAddrV4,
    /// The address to which the client opened the flow.
    pub service: SocketAddrV4,
}

impl fmt::Display for FlowTuple {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.service)
    }
}

/// Identifies a backend server in the packets of a flow. Zero stands for none.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Tag(pub u32);

impl Tag {
    /// Returns the tag for the identity of a backend server, which is the same on every instance.
    ///
    /// Identities of up to 32 bits are their own tags, so that these never collide. Larger ones are
    /// hashed.
    pub fn of(identity: u64) -> Tag {
        if let Ok(small) = u32::try_from(identity) {
            return Tag(small);
        }
        let hash = SipHasher13::new().hash(&identity.to_be_bytes());
        Tag((hash ^ (hash >> 32)) as u32)
    }
}

/// The contents of a SYN that are needed to send it again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Syn {
    /// The client's initial sequence number.
    pub sequence: u32,
    /// The number of times that the client had sent this SYN before.
    pub retransmits: u32,
    /// The client's checksum.
    pub checksum: u32,
}

/// The kind of a packet, after its TCP flags.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// Opens a flow.
    Syn(Syn),
    /// Carries data or an acknowledgement.
    Data,
    /// Ends the client's half of the flow.
    Fin,
    /// Aborts the flow.
    Rst,
}

/// The position of a packet in the two byte streams of its flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Position {
    /// The sequence number after the last byte of the packet.
    pub end: u32,
    /// The number of data bytes in the packet.
    pub length: u16,
    /// The sequence number up to which the client received the backend server's bytes.
    pub acked: u32,
}

/// Returns whether sequence number `a` is after `b`. Sequence numbers wrap around.
pub(super) fn is_after(a: u32, b: u32) -> bool {
    // The signed difference is positive for the half of the number space that follows `b`.
    a.wrapping_sub(b).cast_signed() > 0
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    pub flow: FlowTuple,
    pub kind: SegmentKind,
    /// The latest tag that the client received, or zero before the first one.
    pub tag: Tag,
    pub position: Position,
}

/// The destination of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// The address of the backend server. After a restart, another server may use it.
    pub address: SocketAddrV4,
    /// Lets the receiver check that the packet is meant for it.
    pub identity: u64,
    pub tag: Tag,
}

impl FlowTuple {
    /// Returns a number in [0, 1) that depends on the flow only.
    pub fn fraction(&self) -> f64 {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.client.ip().octets());
        bytes[4..6].copy_from_slice(&self.client.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..].copy_from_slice(&self.service.port().to_be_bytes());
        let hash = SipHasher13::new().hash(&bytes);
        // The upper 32 bits convert to a float without rounding.
        f64::from((hash >> 32) as u32) / (f64::from(u32::MAX) + 1.0)
    }
}
