//! The TLVs of a datagram.

/// The type of a TLV. The values are those on the wire.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Field {
    /// The fabric's unique id of the flow, 16 bytes (`PP2_TYPE_UNIQUE_ID`).
    UniqueId = 0x05,
    /// The packet kind, 1 byte.
    Kind = 0xe0,
    /// The request id, 8 bytes.
    Request = 0xe1,
    /// The attempt, 1 byte.
    Attempt = 0xe2,
    /// Whether the request is idempotent, 1 byte: 0 or 1.
    Idempotent = 0xe3,
    /// The remaining time until the deadline in milliseconds, 4 bytes.
    Deadline = 0xe4,
    /// The index of the answer part, 4 bytes, and whether it is the last, 1 byte.
    Part = 0xe5,
    /// The purpose, with [`DOUBT`] set where an earlier attempt may have run, hops, candidate and
    /// table, 1 byte each, and the backend server, 4 bytes.
    Relay = 0xe6,
    /// The reason, 1 byte.
    Reason = 0xe7,
}

/// The bit of the purpose that tells that an earlier attempt may have run.
pub(crate) const DOUBT: u8 = 0x80;

/// The types that the PROXY protocol leaves to applications. One of them that is not a [`Field`]
/// is an error, because ignoring it could change what the packet means; types outside this range
/// are ignored, as the protocol demands.
pub const CUSTOM: std::ops::RangeInclusive<u8> = 0xe0..=0xef;

/// The largest datagram in bytes: the IPv6 minimum MTU less the IPv6 and UDP headers.
pub const MAX_DATAGRAM: usize = 1280 - 40 - 8;
