//! Why a change of the configuration was not applied.

use std::net::SocketAddr;

use crate::ids::{
    OperationId,
    Revision, //
};

/// What a configuration consists of.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
pub enum Kind {
    /// An availability zone.
    #[strum(serialize = "availability zone")]
    Zone,
    /// A region of availability zones.
    #[strum(serialize = "region")]
    Region,
    /// A service.
    #[strum(serialize = "service")]
    Service,
    /// A pool.
    #[strum(serialize = "pool")]
    Pool,
    /// A backend server.
    #[strum(serialize = "backend server")]
    Server,
}

/// A field with a range.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Field {
    /// The weight of a backend server.
    Weight,
    /// The slots of a backend server.
    Slots,
    /// The connections of a backend server.
    Connections,
    /// The idle time of a service in milliseconds.
    Idle,
}

/// Why a change of the configuration was not applied. Nothing of its record was applied.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The record does not follow the present revision.
    #[error(
        "the change leads to revision {requested}, but the configuration is at revision {current}: \
         read the configuration again and repeat the change"
    )]
    RevisionMismatch {
        /// The revision of the record.
        requested: Revision,
        /// The revision of the configuration.
        current: Revision,
    },
    /// The identifier of an availability zone is a hash of its name, and another one has it.
    #[error("the name of availability zone {name:?} collides with {other:?}: choose another name")]
    ZoneHash {
        /// The name of the new zone.
        name: String,
        /// The name of the zone that has the identifier.
        other: String,
    },
    /// The operation was applied before.
    #[error(
        "operation {operation} was applied at revision {revision}: \
         use a new operation id for a new change"
    )]
    Repeated {
        /// The operation.
        operation: OperationId,
        /// The revision that it led to.
        revision: Revision,
    },
    /// The record has too many changes.
    #[error("{count} changes are more than the {max} that fit into one call: split the call")]
    TooManyChanges {
        /// How many there are.
        count: usize,
        /// How many there may be.
        max: usize,
    },
    /// A name has the wrong form.
    #[error(
        "{name:?} is not a name of a {kind}: use 1 to 63 lower-case letters, digits, '-' and '.'"
    )]
    InvalidName {
        /// What is named.
        kind: Kind,
        /// The name.
        name: String,
    },
    /// A name is taken.
    #[error("{kind} {name} exists already: choose another name")]
    Exists {
        /// What is named.
        kind: Kind,
        /// The name.
        name: String,
    },
    /// A name is unknown.
    #[error("{kind} {name} does not exist: correct the name or create it first")]
    Missing {
        /// What is named.
        kind: Kind,
        /// The name.
        name: String,
    },
    /// A service address is taken.
    #[error("address {address} belongs to service {service}: choose another address")]
    AddressTaken {
        /// The address.
        address: SocketAddr,
        /// The service that has it.
        service: String,
    },
    /// An address cannot be used by all instances.
    #[error(
        "address {address} of {kind} {name} cannot be used: \
         give an IP address without scope and a port, neither of them zero"
    )]
    InvalidAddress {
        /// What has the address.
        kind: Kind,
        /// Its name.
        name: String,
        /// The address.
        address: SocketAddr,
    },
    /// A number is out of range.
    #[error("{field} of {name} is {value}: give a value from {min} to {max}")]
    OutOfRange {
        /// The field.
        field: Field,
        /// The name of the object.
        name: String,
        /// The value.
        value: u64,
        /// The lowest value.
        min: u64,
        /// The highest value.
        max: u64,
    },
    /// An object that is to be deleted contains others.
    #[error("{kind} {name} has {count} {content}s: delete them first")]
    InUse {
        /// What is to be deleted.
        kind: Kind,
        /// Its name.
        name: String,
        /// What it contains.
        content: Kind,
        /// How many of them.
        count: usize,
    },
    /// A backend server cannot change its pool.
    #[error(
        "backend server {name} belongs to pool {pool} and cannot move: \
         delete it and create it in the other pool"
    )]
    PoolFixed {
        /// The backend server.
        name: String,
        /// Its pool.
        pool: String,
    },
    /// All identifiers are used up.
    #[error("all identifiers are used up: move the services to a new installation")]
    NoMoreIds,
    /// A stored configuration contradicts itself.
    #[error(
        "{kind} {id} of the stored configuration refers to something that is not in it, \
         or its identifier is not below the next one: write a new snapshot from a running instance"
    )]
    Inconsistent {
        /// What is wrong.
        kind: Kind,
        /// Its identifier.
        id: u32,
    },
}
