//! Index for lookups in the configuration by name, address, parent and operation.

use std::hash::Hash;
use std::net::SocketAddr;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::config::{
    BackendServer,
    Pool,
    Service,
    Zone, //
};
use crate::ids::{
    BackendServerId,
    OperationId,
    PoolId,
    Revision,
    ServiceId,
    ZoneId, //
};

/// The children of a parent in order of identifier. A pool has about 4 backend servers.
pub(crate) type Children<T> = SmallVec<[T; 4]>;

/// Lookups derived from the rows of a configuration. Parents without children have no entry, so
/// equal configurations have equal indexes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Index {
    pub(crate) zone_names: FxHashMap<String, ZoneId>,
    pub(crate) service_names: FxHashMap<String, ServiceId>,
    pub(crate) pool_names: FxHashMap<String, PoolId>,
    pub(crate) server_names: FxHashMap<String, BackendServerId>,
    pub(crate) service_addresses: FxHashMap<SocketAddr, ServiceId>,
    pub(crate) service_pools: FxHashMap<ServiceId, Children<PoolId>>,
    pub(crate) zone_pools: FxHashMap<ZoneId, Children<PoolId>>,
    pub(crate) pool_servers: FxHashMap<PoolId, Children<BackendServerId>>,
    pub(crate) operations: FxHashMap<OperationId, Revision>,
}

impl Index {
    pub(crate) fn add_zone(&mut self, zone: &Zone) {
        self.zone_names.insert(zone.name.clone(), zone.id);
    }

    pub(crate) fn remove_zone(&mut self, zone: &Zone) {
        self.zone_names.remove(&zone.name);
    }

    pub(crate) fn add_service(&mut self, service: &Service) {
        self.service_names.insert(service.name.clone(), service.id);
        self.service_addresses.insert(service.address, service.id);
    }

    pub(crate) fn remove_service(&mut self, service: &Service) {
        self.service_names.remove(&service.name);
        self.service_addresses.remove(&service.address);
    }

    pub(crate) fn add_pool(&mut self, pool: &Pool) {
        self.pool_names.insert(pool.name.clone(), pool.id);
        attach(&mut self.service_pools, pool.service, pool.id);
        attach(&mut self.zone_pools, pool.zone, pool.id);
    }

    pub(crate) fn remove_pool(&mut self, pool: &Pool) {
        self.pool_names.remove(&pool.name);
        detach(&mut self.service_pools, pool.service, pool.id);
        detach(&mut self.zone_pools, pool.zone, pool.id);
    }

    pub(crate) fn add_server(&mut self, server: &BackendServer) {
        self.server_names.insert(server.name.clone(), server.id);
        attach(&mut self.pool_servers, server.pool, server.id);
    }

    pub(crate) fn remove_server(&mut self, server: &BackendServer) {
        self.server_names.remove(&server.name);
        detach(&mut self.pool_servers, server.pool, server.id);
    }
}

/// Returns the children of a parent in order of identifier.
pub(crate) fn children<P: Eq + Hash, C>(map: &FxHashMap<P, Children<C>>, parent: P) -> &[C] {
    map.get(&parent).map_or(&[], |c| c.as_slice())
}

fn attach<P: Eq + Hash, C: Copy + Ord>(map: &mut FxHashMap<P, Children<C>>, parent: P, child: C) {
    let siblings = map.entry(parent).or_default();
    if let Err(position) = siblings.binary_search(&child) {
        siblings.insert(position, child);
    }
}

fn detach<P: Copy + Eq + Hash, C: Copy + Ord>(
    map: &mut FxHashMap<P, Children<C>>,
    parent: P,
    child: C,
) {
    let Some(siblings) = map.get_mut(&parent) else {
        return;
    };
    if let Ok(position) = siblings.binary_search(&child) {
        siblings.remove(position);
    }
    if siblings.is_empty() {
        map.remove(&parent);
    }
}
