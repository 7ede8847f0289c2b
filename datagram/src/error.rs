//! Errors of the datagram codec.

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

/// Reason for rejecting a datagram. [`Defect`] has the same variants without details, for counting.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(Defect),
    doc = "Kind of a [`DecodeError`]. The names are also metric names.",
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
    #[error("the datagram has {0} bytes, more than {MAX_DATAGRAM}")]
    Oversized(usize),
    #[error("the datagram ends within its header")]
    Truncated,
    #[error("the header is not a PROXY protocol version 2 header")]
    Header,
    /// The header has no addresses, or addresses other than IPv4 or IPv6.
    #[error("the header has no IPv4 or IPv6 addresses")]
    NoAddress,
    #[error("the header describes a stream instead of a datagram")]
    Stream,
    /// The TLVs do not fill the header exactly, or one of a standard type is malformed.
    #[error("a TLV is malformed")]
    Tlv,
    #[error("the {field} TLV has a wrong length of {length} bytes")]
    Length {
        field: Field,
        /// Actual length of the value in bytes.
        length: usize,
    },
    #[error("the {0} TLV occurs twice")]
    Duplicate(Field),
    /// A TLV is missing that packets of this kind require.
    #[error("the {0} TLV is missing")]
    Missing(Field),
    /// The type is in the range for applications, but no [`Field`] has it.
    #[error("unknown TLV type {0:#x}")]
    UnknownTlv(u8),
    #[error("unknown packet kind {0}")]
    UnknownKind(u8),
    #[error("unknown reason {0}")]
    UnknownReason(u8),
    #[error("unknown relay purpose {0}")]
    UnknownPurpose(u8),
    #[error("the flag in the {field} TLV is {value}, expected 0 or 1")]
    Flag {
        field: Field,
        /// Value of the flag.
        value: u8,
    },
    /// More instances forwarded the packet than are allowed.
    #[error("the packet was forwarded {0} times, more than {MAX_HOPS}")]
    Hops(u8),
    #[error("the payload has {0} bytes, more than {MAX_PAYLOAD}")]
    Payload(usize),
    #[error("no service has the address {0}")]
    UnknownService(SocketAddr),
    /// The sender is a caller or backend server that may not send packets of this kind.
    #[error("the sender may not send {0} packets")]
    Direction(PacketKind),
    /// The sender is not an instance, but only instances may send the relay TLV.
    #[error("the sender may not send the relay TLV")]
    Relayed,
    #[error("no backend server has the source address {0}")]
    UnknownSource(SocketAddr),
}

/// Reason why a packet cannot be encoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EncodeError {
    #[error("the payload has {0} bytes, more than {MAX_PAYLOAD}")]
    Payload(usize),
    /// The header has only one address family for both addresses.
    #[error("the addresses of caller and service are of different families")]
    Families,
    /// The length of the header exceeds its 16-bit length field.
    #[error("the header is too long")]
    Header,
}
