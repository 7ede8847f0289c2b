//! Looks up objects in the configuration.

use std::net::SocketAddr;

use crate::config::{
    BackendServer,
    Configuration,
    Pool,
    Service,
    Zone, //
};
use crate::config_index::children;
use crate::ids::{
    BackendServerId,
    OperationId,
    PoolId,
    Revision,
    ServiceId,
    ZoneId, //
};

impl Configuration {
    /// Returns the revision that an operation led to. Only the latest
    /// [`REMEMBERED_OPERATIONS`](crate::config::REMEMBERED_OPERATIONS) are known.
    pub fn operation(&self, operation: OperationId) -> Option<Revision> {
        self.index.operations.get(&operation).copied()
    }

    pub fn zone_named(&self, name: &str) -> Option<&Zone> {
        self.zones.get(self.index.zone_names.get(name)?)
    }

    pub fn service_named(&self, name: &str) -> Option<&Service> {
        self.services.get(self.index.service_names.get(name)?)
    }

    pub fn pool_named(&self, name: &str) -> Option<&Pool> {
        self.pools.get(self.index.pool_names.get(name)?)
    }

    pub fn server_named(&self, name: &str) -> Option<&BackendServer> {
        self.servers.get(self.index.server_names.get(name)?)
    }

    /// Returns the service with that public address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.services
            .get(self.index.service_addresses.get(&address)?)
    }

    /// Returns the pools of a service in order of identifier.
    pub fn service_pools(&self, service: ServiceId) -> &[PoolId] {
        children(&self.index.service_pools, service)
    }

    /// Returns the pools in an availability zone in order of identifier.
    pub fn zone_pools(&self, zone: ZoneId) -> &[PoolId] {
        children(&self.index.zone_pools, zone)
    }

    /// Returns the backend servers of a pool in order of identifier.
    pub fn pool_servers(&self, pool: PoolId) -> &[BackendServerId] {
        children(&self.index.pool_servers, pool)
    }

    /// Returns the backend servers of a service with their availability zones, grouped by pool.
    pub fn service_servers(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (&BackendServer, ZoneId)> {
        let pools = self.service_pools(service).iter();
        pools
            .filter_map(|p| self.pools.get(p))
            .flat_map(|p| self.servers_of(p.id).map(move |s| (s, p.zone)))
    }

    /// Returns the backend servers in an availability zone, grouped by pool.
    pub fn zone_servers(&self, zone: ZoneId) -> impl Iterator<Item = &BackendServer> {
        let pools = self.zone_pools(zone).iter();
        pools.flat_map(|p| self.servers_of(*p))
    }

    pub fn server_zone(&self, server: BackendServerId) -> Option<ZoneId> {
        self.server_pool(server).map(|p| p.zone)
    }

    pub fn server_service(&self, server: BackendServerId) -> Option<ServiceId> {
        self.server_pool(server).map(|p| p.service)
    }

    fn server_pool(&self, server: BackendServerId) -> Option<&Pool> {
        self.pools.get(&self.servers.get(&server)?.pool)
    }

    fn servers_of(&self, pool: PoolId) -> impl Iterator<Item = &BackendServer> {
        let servers = self.pool_servers(pool).iter();
        servers.filter_map(|s| self.servers.get(s))
    }
}
