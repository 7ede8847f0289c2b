//! What the decisions know of a packet.

use std::fmt;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher13;

/// The two ends of a flow as clients see them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FlowTuple {
    /// The client's end.
    pub client: SocketAddrV4,
    /// The address that the client opened the flow to.
    pub service: SocketAddrV4,
}

impl fmt::Display for FlowTuple {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.service)
    }
}

/// Names a backend server in the packets of a flow. Zero names none.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Tag(pub u32);

impl Tag {
    /// Returns the tag of the backend server with that identity. It is the same at every instance.
    ///
    /// An identity of up to 32 bits is its own tag, which rules collisions out; larger ones are
    /// hashed.
    pub fn of(identity: u64) -> Tag {
        if let Ok(small) = u32::try_from(identity) {
            return Tag(small);
        }
        let hash = SipHasher13::new().hash(&identity.to_be_bytes());
        Tag((hash ^ (hash >> 32)) as u32)
    }
}

/// The contents of an opening packet, so that it can be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Syn {
    /// The client's first sequence number.
    pub sequence: u32,
    /// How many copies the client sent before this one.
    pub retransmits: u32,
    /// The client's checksum.
    pub checksum: u32,
}

/// What a packet does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// Opens a flow.
    Syn(Syn),
    /// Carries data or an acknowledgement.
    Data,
    /// Ends the client's half of the flow.
    Fin,
    /// Breaks the flow off.
    Rst,
}

/// A packet of a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The flow it belongs to.
    pub flow: FlowTuple,
    /// What it does.
    pub kind: SegmentKind,
    /// The tag that the client saw last; zero before it saw one.
    pub tag: Tag,
}

/// Where a packet is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// The address of the backend server. Another one may have taken it over.
    pub address: SocketAddrV4,
    /// Tells the receiver whether the packet is meant for it.
    pub identity: u64,
    /// The tag of the backend server.
    pub tag: Tag,
}

impl FlowTuple {
    /// Returns a number from 0 up to 1 that depends on the flow alone.
    pub fn fraction(&self) -> f64 {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.client.ip().octets());
        bytes[4..6].copy_from_slice(&self.client.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..].copy_from_slice(&self.service.port().to_be_bytes());
        let hash = SipHasher13::new().hash(&bytes);
        // The upper 32 bits fit a float without rounding.
        f64::from((hash >> 32) as u32) / (f64::from(u32::MAX) + 1.0)
    }
}
