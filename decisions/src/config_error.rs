//! Errors of changes to the configuration and of its restoration.

use std::net::SocketAddr;

use crate::ids::{
    OperationId,
    Revision, //
};

/// Kind of an object, as error messages name it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
pub enum Kind {
    #[strum(serialize = "availability zone")]
    Zone,
    #[strum(serialize = "region")]
    Region,
    #[strum(serialize = "service")]
    Service,
    #[strum(serialize = "pool")]
    Pool,
    #[strum(serialize = "backend server")]
    Server,
}

/// A numeric field with a permitted range.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Field {
    Weight,
    Slots,
    Connections,
    /// The idle timeout of a service in milliseconds.
    Idle,
}

/// Why a record was not applied or a stored configuration was not restored. None of the record's
/// changes were applied.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The record's revision is not the one after the current revision.
    #[error(
        "the change leads to revision {requested}, but the configuration is at revision {current}: \
         read the configuration again and repeat the change"
    )]
    RevisionMismatch {
        requested: Revision,
        current: Revision,
    },
    /// Another availability zone has the same identifier, which is a hash of the zone's name.
    #[error("the name of availability zone {name:?} collides with {other:?}: choose another name")]
    ZoneHash {
        name: String,
        /// The existing zone.
        other: String,
    },
    /// The operation was already applied.
    #[error(
        "operation {operation} was applied at revision {revision}: \
         use a new operation id for a new change"
    )]
    Repeated {
        operation: OperationId,
        /// The revision that the operation led to.
        revision: Revision,
    },
    /// The record has more changes than a record may have.
    #[error("the call has {count} changes, but at most {max} are allowed: split the call")]
    TooManyChanges { count: usize, max: usize },
    /// A name is empty, too long or contains a character that is not permitted.
    #[error("invalid {kind} name {name:?}: use 1 to 63 lower-case letters, digits, '-' and '.'")]
    InvalidName { kind: Kind, name: String },
    /// Another object of this kind has the name.
    #[error("{kind} {name} already exists: choose another name")]
    Exists { kind: Kind, name: String },
    /// No object of this kind has the name.
    #[error("{kind} {name} does not exist: correct the name or create it first")]
    Missing { kind: Kind, name: String },
    /// Another service has the address.
    #[error("address {address} belongs to service {service}: choose another address")]
    AddressTaken {
        address: SocketAddr,
        /// The service with this address.
        service: String,
    },
    /// Not every instance can use the address.
    #[error(
        "invalid address {address} of {kind} {name}: \
         use an IP address and a port that are not zero, without a scope or flow label"
    )]
    InvalidAddress {
        kind: Kind,
        name: String,
        address: SocketAddr,
    },
    /// A number is outside its permitted range.
    #[error("{field} of {name} is {value}: give a value from {min} to {max}")]
    OutOfRange {
        field: Field,
        /// Name of the object that has the field.
        name: String,
        value: u64,
        min: u64,
        max: u64,
    },
    /// The object to delete still contains others.
    #[error("{kind} {name} has {count} {content}s: delete them first")]
    InUse {
        kind: Kind,
        name: String,
        /// Kind of the objects in it.
        content: Kind,
        count: usize,
    },
    /// The change names another pool than the backend server's.
    #[error(
        "backend server {name} belongs to pool {pool} and cannot move: \
         delete it and create it in the other pool"
    )]
    PoolFixed {
        name: String,
        /// The pool that the backend server belongs to.
        pool: String,
    },
    /// All identifiers have been assigned.
    #[error("all identifiers have been assigned: move the services to a new installation")]
    NoMoreIds,
    /// The stored configuration contradicts itself.
    #[error(
        "{kind} {id} of the stored configuration is a duplicate, refers to an object that does not \
         exist or has an identifier that was not assigned: \
         write a new snapshot from a running instance"
    )]
    Inconsistent { kind: Kind, id: u32 },
}
