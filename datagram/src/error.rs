//! What can be wrong with a datagram.

use std::net::SocketAddr;

use lovagespindle_decisions::packet::{
    MAX_HOPS,
    MAX_PAYLOAD,
    PacketKind, //
};

use crate::field::{
    Field,
    MAX_DATAGRAM, //
};

/// Why a datagram was not accepted. [`Defect`] is the same set without the details, for counting.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(Defect),
    doc = "The kind of a [`DecodeError`]. The names are also the names of the metrics.",
    derive(
        Hash,
        strum::Display,
        strum::EnumCount,
        strum::EnumIter,
        strum::IntoStaticStr
    ),
    strum(serialize_all = "snake_case")
)]
pub enum DecodeError {
    /// The datagram is longer than [`MAX_DATAGRAM`].
    #[error("the datagram has {0} bytes, more than {MAX_DATAGRAM}")]
    Oversized(usize),
    /// The datagram ends within its header.
    #[error("the datagram ends within its header")]
    Truncated,
    /// The header is not a PROXY protocol version 2 header.
    #[error("the header is not a PROXY protocol version 2 header")]
    Header,
    /// The header names no addresses or addresses other than IPv4 or IPv6.
    #[error("the header names no internet addresses")]
    NoAddress,
    /// The header is that of a stream.
    #[error("the header is that of a stream, not of a datagram")]
    Stream,
    /// The TLVs do not fill the header exactly, or one of a standard type is malformed.
    #[error("a TLV is malformed")]
    Tlv,
    /// A TLV has the wrong length.
    #[error("the {field} TLV has {length} bytes")]
    Length {
        /// The TLV.
        field: Field,
        /// Its length.
        length: usize,
    },
    /// A TLV occurs twice.
    #[error("the {0} TLV occurs twice")]
    Duplicate(Field),
    /// A TLV that the packet kind needs is missing.
    #[error("the {0} TLV is missing")]
    Missing(Field),
    /// A TLV of the custom range is unknown.
    #[error("unknown TLV type {0:#x}")]
    UnknownTlv(u8),
    /// The packet kind is unknown.
    #[error("unknown packet kind {0}")]
    UnknownKind(u8),
    /// The reason is unknown.
    #[error("unknown reason {0}")]
    UnknownReason(u8),
    /// The purpose of a relayed packet is unknown.
    #[error("unknown relay purpose {0}")]
    UnknownPurpose(u8),
    /// A flag is neither 0 nor 1.
    #[error("the flag in the {field} TLV is {value}")]
    Flag {
        /// The TLV.
        field: Field,
        /// The flag.
        value: u8,
    },
    /// The packet passed more instances than it may.
    #[error("the packet passed {0} instances, more than {MAX_HOPS}")]
    Hops(u8),
    /// The payload is longer than [`MAX_PAYLOAD`].
    #[error("the payload has {0} bytes, more than {MAX_PAYLOAD}")]
    Payload(usize),
    /// No service has the address.
    #[error("no service has the address {0}")]
    UnknownService(SocketAddr),
    /// The peer may not send this kind of packet.
    #[error("the peer may not send {0} packets")]
    Direction(PacketKind),
    /// Only an instance may send the relay TLV.
    #[error("the peer may not send the relay TLV")]
    Relayed,
    /// No backend server has the source address of the datagram.
    #[error("no backend server has the source address {0}")]
    UnknownSource(SocketAddr),
}

/// Why a packet cannot be encoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EncodeError {
    /// The payload is longer than [`MAX_PAYLOAD`].
    #[error("the payload has {0} bytes, more than {MAX_PAYLOAD}")]
    Payload(usize),
    /// Caller and service address are of different families, which the header cannot express.
    #[error("the caller's address and the service's address are of different families")]
    Families,
    /// The header is longer than its length field can say.
    #[error("the header is too long")]
    Header,
}
