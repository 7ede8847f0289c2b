//! Identifiers that are the same at every instance.

use siphasher::sip::SipHasher13;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

id! {
    /// Identifier of a service; assigned by the configuration and never reused.
    ServiceId(u32)
}

id! {
    /// Identifier of an availability zone: a hash of its name, so that an instance knows its own
    /// zone's identifier before it has a configuration.
    ZoneId(u32)
}

impl ZoneId {
    /// Bit that is set in all zone identifiers and in no assigned identifier, so that identifiers
    /// are unique across kinds.
    pub(crate) const ZONE_BIT: u32 = 1 << 31;

    /// Returns the identifier of the zone with the given name.
    pub fn of(name: &str) -> ZoneId {
        let hash = SipHasher13::new().hash(name.as_bytes());
        ZoneId((hash ^ (hash >> 32)) as u32 | ZoneId::ZONE_BIT)
    }
}

id! {
    /// Identifier of a pool; assigned by the configuration and never reused.
    PoolId(u32)
}

id! {
    /// Identifier of a backend server; assigned by the configuration and never reused.
    BackendServerId(u32)
}

id! {
    /// Identifier of one process of an instance; chosen at random when the process starts, so that
    /// a restarted instance is a new member.
    InstanceId(u64)
}

id! {
    /// Identifier of a flow: a hash of caller address, service address and the unique id that the
    /// fabric assigns.
    FlowId(u128)
}

id! {
    /// Identifier of a request within its flow; chosen by the caller.
    RequestId(u64)
}

id! {
    /// Revision of a configuration, starting at 0 for the empty one.
    Revision(u64)
}

id! {
    /// Identifier of an operator's change, so that a repeated call is applied once.
    OperationId(u128)
}
