//! The configuration that operators set: services, pools, availability zones and backend servers.

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
    /// In service.
    #[default]
    In = 1,
    /// Out of service: its backend servers receive no packets.
    Out = 2,
}

/// Whether a backend server receives new flows and requests.
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
    /// Receives new flows and requests.
    #[default]
    Active = 1,
    /// Finishes its requests and receives no new ones.
    Draining = 2,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Zone {
    pub id: ZoneId,
    /// Unique among availability zones.
    pub name: String,
    pub region: String,
    pub state: ZoneState,
}

/// A service: one public address and the pools behind it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    pub id: ServiceId,
    /// Unique among services.
    pub name: String,
    /// The public address that callers use; unique among services.
    pub address: SocketAddr,
    /// Time after which a flow without packets is removed; at least 1 ms.
    pub idle: Duration,
}

/// A group of backend servers of one service in one availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    pub id: PoolId,
    /// Unique among pools.
    pub name: String,
    /// The service cannot be deleted while it has pools.
    pub service: ServiceId,
    /// The zone cannot be deleted while it has pools.
    pub zone: ZoneId,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    pub id: BackendServerId,
    /// Unique among backend servers.
    pub name: String,
    /// Fixed at creation. The pool cannot be deleted while it has backend servers.
    pub pool: PoolId,
    /// Address that receives packets.
    pub address: SocketAddr,
    /// Address of the health and load endpoint.
    pub health: SocketAddr,
    /// Share of new flows relative to the other backend servers of the service; 1 to 1000.
    pub weight: u32,
    /// Maximum number of concurrent requests; at least 1.
    pub slots: u32,
    /// Maximum number of concurrent flows; at least 1.
    pub connections: u32,
    pub state: ServerState,
}

/// A change of the configuration.
///
/// A change refers to objects by name. Identifiers are assigned when the change is applied, in the
/// same order on every instance.
#[derive(Clone, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// Creates an availability zone in service.
    CreateZone {
        name: String,
        region: String,
    },
    /// Takes an availability zone out of service or returns it to service.
    SetZone {
        name: String,
        state: ZoneState,
    },
    /// Deletes an availability zone without pools.
    DeleteZone {
        name: String,
    },
    /// Creates a service or updates the existing one with that name.
    PutService {
        name: String,
        address: SocketAddr,
        /// Time after which a flow without packets is removed.
        idle: Duration,
    },
    /// Deletes a service without pools.
    DeleteService {
        name: String,
    },
    CreatePool {
        name: String,
        service: String,
        zone: String,
    },
    /// Deletes a pool without backend servers.
    DeletePool {
        name: String,
    },
    /// Creates a backend server or updates the existing one with that name, whose pool and state
    /// do not change.
    PutServer {
        name: String,
        pool: String,
        /// Address that receives packets.
        address: SocketAddr,
        /// Address of the health and load endpoint.
        health: SocketAddr,
        /// Share of new flows relative to the other backend servers of the service.
        weight: u32,
        /// Maximum number of concurrent requests.
        slots: u32,
        /// Maximum number of concurrent flows.
        connections: u32,
    },
    /// Starts draining a backend server or makes it active again.
    SetServer {
        name: String,
        state: ServerState,
    },
    DeleteServer {
        name: String,
    },
}

/// An entry of the configuration log: the changes that lead to one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The revision after the changes; one above the previous record's.
    pub revision: Revision,
    /// Identifies the operator's call, so that a repeated call is detected.
    pub operation: OperationId,
    /// Applied in order, either all of them or none; at most [`MAX_CHANGES`].
    pub changes: Vec<Change>,
}

/// Maximum number of changes in a record. An encoded change takes at most 230 bytes, so a record
/// fits into one 64 KiB frame between instances.
pub const MAX_CHANGES: usize = 256;

/// Number of recent operations that a configuration keeps to detect repeated calls.
pub const REMEMBERED_OPERATIONS: usize = 1024;

/// The whole configuration at one revision.
///
/// Only [`Configuration::apply`] changes it, because that also updates the lookup index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Configuration {
    /// Increases by 1 with each record.
    pub revision: Revision,
    /// The identifier for the next service, pool or backend server. It is above all that were ever
    /// assigned, so no identifier is reused.
    pub next_id: u32,
    pub zones: BTreeMap<ZoneId, Zone>,
    pub services: BTreeMap<ServiceId, Service>,
    pub pools: BTreeMap<PoolId, Pool>,
    pub servers: BTreeMap<BackendServerId, BackendServer>,
    /// The latest operations in order of revision; at most [`REMEMBERED_OPERATIONS`].
    pub operations: VecDeque<(OperationId, Revision)>,
    /// Lookups derived from the other fields.
    pub(crate) index: Index,
}
