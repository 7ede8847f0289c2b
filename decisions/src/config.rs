//! The operators' configuration: services, pools, availability zones and backend servers.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::net::SocketAddr;
use std::time::Duration;

use crate::config_index::Index;
use crate::ids::{
    BackendServerId,
    OperationId,
    PoolId,
    Revision,
    ServiceId,
    ZoneId, //
};

/// Whether an availability zone is in service.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    PartialEq,
    strum::Display,
    strum::EnumString,
    strum::FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum ZoneState {
    /// Its backend servers get packets.
    #[default]
    In = 1,
    /// Its backend servers get no packets.
    Out = 2,
}

/// Whether a backend server gets new work.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    PartialEq,
    strum::Display,
    strum::EnumString,
    strum::FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum ServerState {
    /// It gets new work.
    #[default]
    Active = 1,
    /// It finishes its requests and gets no new work.
    Draining = 2,
}

/// An availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Zone {
    /// Its identifier.
    pub id: ZoneId,
    /// Unique among zones.
    pub name: String,
    /// The region that it belongs to.
    pub region: String,
    /// Whether it is in service.
    pub state: ZoneState,
}

/// A service: one public address and the pools behind it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Its identifier.
    pub id: ServiceId,
    /// Unique among services.
    pub name: String,
    /// The address that callers use. Unique among services.
    pub address: SocketAddr,
    /// How long a flow without packets is kept; above zero.
    pub idle: Duration,
}

/// The backend servers of one service in one availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Its identifier.
    pub id: PoolId,
    /// Unique among pools.
    pub name: String,
    /// The service that it belongs to; exists as long as the pool.
    pub service: ServiceId,
    /// The zone that it lives in; exists as long as the pool.
    pub zone: ZoneId,
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Its identifier.
    pub id: BackendServerId,
    /// Unique among backend servers.
    pub name: String,
    /// The pool that it belongs to; exists as long as the backend server.
    pub pool: PoolId,
    /// Where it takes packets.
    pub address: SocketAddr,
    /// Where it answers health and load calls.
    pub health: SocketAddr,
    /// Its share of first choices relative to others of the service; 1 to 1000.
    pub weight: u32,
    /// How many requests it runs at once; at least 1.
    pub slots: u32,
    /// How many flows it bears; at least 1.
    pub connections: u32,
    /// Whether it gets new work.
    pub state: ServerState,
}

/// One change of the configuration. Objects are named; identifiers are assigned when the change
/// is applied, in the same order at every instance.
#[derive(Clone, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// Creates an availability zone in service.
    CreateZone {
        /// Its name.
        name: String,
        /// Its region.
        region: String,
    },
    /// Takes an availability zone out of service or brings it back.
    SetZone {
        /// Its name.
        name: String,
        /// The wanted state.
        state: ZoneState,
    },
    /// Deletes an availability zone without pools.
    DeleteZone {
        /// Its name.
        name: String,
    },
    /// Creates a service or changes the one of that name.
    PutService {
        /// Its name.
        name: String,
        /// The address that callers use.
        address: SocketAddr,
        /// How long a flow without packets is kept.
        idle: Duration,
    },
    /// Deletes a service without pools.
    DeleteService {
        /// Its name.
        name: String,
    },
    /// Creates a pool.
    CreatePool {
        /// Its name.
        name: String,
        /// The name of its service.
        service: String,
        /// The name of its zone.
        zone: String,
    },
    /// Deletes a pool without backend servers.
    DeletePool {
        /// Its name.
        name: String,
    },
    /// Creates a backend server or changes the one of that name. The pool cannot change.
    PutServer {
        /// Its name.
        name: String,
        /// The name of its pool.
        pool: String,
        /// Where it takes packets.
        address: SocketAddr,
        /// Where it answers health and load calls.
        health: SocketAddr,
        /// Its share of first choices.
        weight: u32,
        /// How many requests it runs at once.
        slots: u32,
        /// How many flows it bears.
        connections: u32,
    },
    /// Drains a backend server or puts it back to work.
    SetServer {
        /// Its name.
        name: String,
        /// The wanted state.
        state: ServerState,
    },
    /// Deletes a backend server.
    DeleteServer {
        /// Its name.
        name: String,
    },
}

/// One entry of the configuration log: the changes that lead to a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The revision that the changes lead to.
    pub revision: Revision,
    /// The operator's call, for idempotence.
    pub operation: OperationId,
    /// Applied in order, all or none; at most [`MAX_CHANGES`].
    pub changes: Vec<Change>,
}

/// The most changes in one record. A change takes at most 230 bytes when encoded, so that a record
/// fits into one 64 KiB frame between instances.
pub const MAX_CHANGES: usize = 256;

/// How many operations a configuration remembers for idempotent calls.
pub const REMEMBERED_OPERATIONS: usize = 1024;

/// The whole configuration at one revision.
///
/// It is changed by [`Configuration::apply`] only, which keeps the lookups in step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Configuration {
    /// Only rises.
    pub revision: Revision,
    /// The next identifier of any kind; above all identifiers in use, so none is reused.
    pub next_id: u32,
    /// The availability zones.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// The services.
    pub services: BTreeMap<ServiceId, Service>,
    /// The pools.
    pub pools: BTreeMap<PoolId, Pool>,
    /// The backend servers.
    pub servers: BTreeMap<BackendServerId, BackendServer>,
    /// The latest operations in order of revision; at most [`REMEMBERED_OPERATIONS`].
    pub operations: VecDeque<(OperationId, Revision)>,
    /// Derived from the fields above.
    pub(crate) index: Index,
}
