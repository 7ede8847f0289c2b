//! Types of the TLVs in a datagram.

/// Type of a TLV, with its value on the wire. Numbers are encoded in big-endian order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Field {
    /// Unique id that the fabric gave the flow, 16 bytes (`PP2_TYPE_UNIQUE_ID`).
    UniqueId = 0x05,
    /// Packet kind, 1 byte.
    Kind = 0xe0,
    /// Request id, 8 bytes.
    Request = 0xe1,
    /// Number of the attempt, 1 byte.
    Attempt = 0xe2,
    /// Whether the request is idempotent, 1 byte: 0 or 1.
    Idempotent = 0xe3,
    /// Remaining time until the deadline in milliseconds, 4 bytes.
    Deadline = 0xe4,
    /// Index of the answer part, 4 bytes, and whether it is the last part, 1 byte: 0 or 1.
    Part = 0xe5,
    /// Purpose, hops, candidate and table, 1 byte each, and the backend server, 4 bytes. The
    /// purpose byte also holds the bit [`POSSIBLY_EXECUTED`].
    Relay = 0xe6,
    /// Reason, 1 byte.
    Reason = 0xe7,
}

/// Bit of the purpose byte that says that an earlier attempt may have been executed.
pub(crate) const POSSIBLY_EXECUTED: u8 = 0x80;

/// Types that the PROXY protocol reserves for applications.
///
/// A type in this range that is not a [`Field`] is an error, because ignoring it could change the
/// meaning of the packet. Unknown types outside the range are ignored, as the protocol requires.
pub const APP_TYPES: std::ops::RangeInclusive<u8> = 0xe0..=0xef;

/// Largest datagram in bytes: the IPv6 minimum MTU less the IPv6 and UDP headers.
pub const MAX_DATAGRAM: usize = 1280 - 40 - 8;
