//! Validates the changes of a record and collects the rows to write.

use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::config::{
    BackendServer,
    Change,
    Configuration,
    Pool,
    ServerState,
    Service,
    Zone,
    ZoneState, //
};
use crate::config_check as check;
use crate::config_error::{
    ConfigError,
    Field,
    Kind, //
};
use crate::config_overlay::{
    Overlay,
    Rows, //
};
use crate::ids::{
    BackendServerId,
    PoolId,
    ServiceId,
    ZoneId, //
};

/// The rows that a record writes.
pub(crate) struct Writes {
    pub(crate) next_id: u32,
    pub(crate) zones: Rows<ZoneId, Zone>,
    pub(crate) services: Rows<ServiceId, Service>,
    pub(crate) pools: Rows<PoolId, Pool>,
    pub(crate) servers: Rows<BackendServerId, BackendServer>,
}

#[derive(Clone, Copy, Eq, Hash, PartialEq)]
enum Parent {
    Zone(ZoneId),
    Service(ServiceId),
    Pool(PoolId),
}

/// The configuration as it would be after the changes added so far. The base is not modified, so
/// that a rejected record leaves no trace.
pub(crate) struct Plan<'a> {
    base: &'a Configuration,
    next_id: u32,
    zones: Overlay<'a, ZoneId, Zone>,
    services: Overlay<'a, ServiceId, Service>,
    pools: Overlay<'a, PoolId, Pool>,
    servers: Overlay<'a, BackendServerId, BackendServer>,
    /// Addresses that the changes assigned to a service or, with `None`, removed.
    addresses: FxHashMap<SocketAddr, Option<ServiceId>>,
    /// By how much the changes raised or lowered the number of children of each parent.
    child_changes: FxHashMap<Parent, isize>,
}

impl<'a> Plan<'a> {
    pub(crate) fn new(base: &'a Configuration) -> Plan<'a> {
        let index = &base.index;
        Plan {
            base,
            next_id: base.next_id,
            zones: Overlay::new(&base.zones, &index.zone_names),
            services: Overlay::new(&base.services, &index.service_names),
            pools: Overlay::new(&base.pools, &index.pool_names),
            servers: Overlay::new(&base.servers, &index.server_names),
            addresses: FxHashMap::default(),
            child_changes: FxHashMap::default(),
        }
    }

    pub(crate) fn into_writes(self) -> Writes {
        Writes {
            next_id: self.next_id,
            zones: self.zones.into_rows(),
            services: self.services.into_rows(),
            pools: self.pools.into_rows(),
            servers: self.servers.into_rows(),
        }
    }

    pub(crate) fn add(&mut self, change: &Change) -> Result<(), ConfigError> {
        match change {
            Change::CreateZone { name, region } => self.create_zone(name, region),
            Change::SetZone { name, state } => self.set_zone(name, *state),
            Change::DeleteZone { name } => self.delete_zone(name),
            Change::PutService {
                name,
                address,
                idle,
            } => self.put_service(name, *address, *idle),
            Change::DeleteService { name } => self.delete_service(name),
            Change::CreatePool {
                name,
                service,
                zone,
            } => self.create_pool(name, service, zone),
            Change::DeletePool { name } => self.delete_pool(name),
            Change::PutServer { .. } => self.put_server(change),
            Change::SetServer { name, state } => self.set_server(name, *state),
            Change::DeleteServer { name } => self.delete_server(name),
        }
    }

    fn create_zone(&mut self, name: &str, region: &str) -> Result<(), ConfigError> {
        check::name(Kind::Zone, name)?;
        check::name(Kind::Region, region)?;
        if self.zones.find(name).is_some() {
            return Err(already_exists(Kind::Zone, name));
        }
        let id = ZoneId::of(name);
        if let Some(other) = self.zones.get(id) {
            return Err(ConfigError::ZoneHash {
                name: name.to_owned(),
                other: other.name.clone(),
            });
        }
        let zone = Zone {
            id,
            name: name.to_owned(),
            region: region.to_owned(),
            state: ZoneState::In,
        };
        self.zones.put(id, name, zone);
        Ok(())
    }

    fn set_zone(&mut self, name: &str, state: ZoneState) -> Result<(), ConfigError> {
        let mut zone = require_found(Kind::Zone, name, self.zones.find(name))?.clone();
        zone.state = state;
        self.zones.put(zone.id, name, zone);
        Ok(())
    }

    fn delete_zone(&mut self, name: &str) -> Result<(), ConfigError> {
        let id = require_found(Kind::Zone, name, self.zones.find(name))?.id;
        self.require_empty(Kind::Zone, name, Parent::Zone(id))?;
        self.zones.remove(id, name);
        Ok(())
    }

    fn put_service(
        &mut self,
        name: &str,
        address: SocketAddr,
        idle: Duration,
    ) -> Result<(), ConfigError> {
        check::name(Kind::Service, name)?;
        check::address(Kind::Service, name, address)?;
        check::idle(name, idle)?;
        if let Some(owner) = self.service_at(address)
            && owner.name != name
        {
            return Err(ConfigError::AddressTaken {
                address,
                service: owner.name.clone(),
            });
        }
        let old = self.services.find(name).map(|s| (s.id, s.address));
        let id = match old {
            Some((id, address)) => {
                self.addresses.insert(address, None);
                id
            }
            None => ServiceId(self.assign_id()?),
        };
        let service = Service {
            id,
            name: name.to_owned(),
            address,
            idle,
        };
        self.addresses.insert(address, Some(id));
        self.services.put(id, name, service);
        Ok(())
    }

    fn delete_service(&mut self, name: &str) -> Result<(), ConfigError> {
        let service = require_found(Kind::Service, name, self.services.find(name))?;
        let (id, address) = (service.id, service.address);
        self.require_empty(Kind::Service, name, Parent::Service(id))?;
        self.addresses.insert(address, None);
        self.services.remove(id, name);
        Ok(())
    }

    fn create_pool(&mut self, name: &str, service: &str, zone: &str) -> Result<(), ConfigError> {
        check::name(Kind::Pool, name)?;
        let service = require_found(Kind::Service, service, self.services.find(service))?.id;
        let zone = require_found(Kind::Zone, zone, self.zones.find(zone))?.id;
        if self.pools.find(name).is_some() {
            return Err(already_exists(Kind::Pool, name));
        }
        let id = PoolId(self.assign_id()?);
        let pool = Pool {
            id,
            name: name.to_owned(),
            service,
            zone,
        };
        self.pools.put(id, name, pool);
        self.adjust_children(Parent::Service(service), 1);
        self.adjust_children(Parent::Zone(zone), 1);
        Ok(())
    }

    fn delete_pool(&mut self, name: &str) -> Result<(), ConfigError> {
        let pool = require_found(Kind::Pool, name, self.pools.find(name))?;
        let (id, service, zone) = (pool.id, pool.service, pool.zone);
        self.require_empty(Kind::Pool, name, Parent::Pool(id))?;
        self.adjust_children(Parent::Service(service), -1);
        self.adjust_children(Parent::Zone(zone), -1);
        self.pools.remove(id, name);
        Ok(())
    }

    fn put_server(&mut self, change: &Change) -> Result<(), ConfigError> {
        let Change::PutServer {
            name,
            pool,
            address,
            health,
            weight,
            slots,
            connections,
        } = change
        else {
            return Ok(());
        };
        check::name(Kind::Server, name)?;
        check::address(Kind::Server, name, *address)?;
        check::address(Kind::Server, name, *health)?;
        check::weight(name, *weight)?;
        check::capacity(Field::Slots, name, *slots)?;
        check::capacity(Field::Connections, name, *connections)?;
        let pool = require_found(Kind::Pool, pool, self.pools.find(pool))?.id;
        let (id, state) = self.resolve_server(name, pool)?;
        let server = BackendServer {
            id,
            name: name.clone(),
            pool,
            address: *address,
            health: *health,
            weight: *weight,
            slots: *slots,
            connections: *connections,
            state,
        };
        self.servers.put(id, name, server);
        Ok(())
    }

    /// Returns the identifier and state of the backend server with that name. If there is none,
    /// assigns a new identifier.
    fn resolve_server(
        &mut self,
        name: &str,
        pool: PoolId,
    ) -> Result<(BackendServerId, ServerState), ConfigError> {
        match self.servers.find(name) {
            Some(old) if old.pool == pool => Ok((old.id, old.state)),
            Some(old) => Err(ConfigError::PoolFixed {
                name: name.to_owned(),
                pool: self
                    .pools
                    .get(old.pool)
                    .map_or_else(String::new, |p| p.name.clone()),
            }),
            None => {
                self.adjust_children(Parent::Pool(pool), 1);
                Ok((BackendServerId(self.assign_id()?), ServerState::Active))
            }
        }
    }

    fn set_server(&mut self, name: &str, state: ServerState) -> Result<(), ConfigError> {
        let mut server = require_found(Kind::Server, name, self.servers.find(name))?.clone();
        server.state = state;
        self.servers.put(server.id, name, server);
        Ok(())
    }

    fn delete_server(&mut self, name: &str) -> Result<(), ConfigError> {
        let server = require_found(Kind::Server, name, self.servers.find(name))?;
        let (id, pool) = (server.id, server.pool);
        self.adjust_children(Parent::Pool(pool), -1);
        self.servers.remove(id, name);
        Ok(())
    }

    fn assign_id(&mut self) -> Result<u32, ConfigError> {
        let id = self.next_id;
        // Identifiers in the upper half are hashes of the names of availability zones.
        self.next_id = id
            .checked_add(1)
            .filter(|next| *next < ZoneId::ZONE_BIT)
            .ok_or(ConfigError::NoMoreIds)?;
        Ok(id)
    }

    fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        match self.addresses.get(&address) {
            Some(id) => self.services.get((*id)?),
            None => self.base.service_at(address),
        }
    }

    fn adjust_children(&mut self, parent: Parent, by: isize) {
        *self.child_changes.entry(parent).or_default() += by;
    }

    fn require_empty(&self, kind: Kind, name: &str, parent: Parent) -> Result<(), ConfigError> {
        let (before, content) = match parent {
            Parent::Zone(id) => (self.base.zone_pools(id).len(), Kind::Pool),
            Parent::Service(id) => (self.base.service_pools(id).len(), Kind::Pool),
            Parent::Pool(id) => (self.base.pool_servers(id).len(), Kind::Server),
        };
        let change = self.child_changes.get(&parent).copied().unwrap_or(0);
        match before.saturating_add_signed(change) {
            0 => Ok(()),
            count => Err(ConfigError::InUse {
                kind,
                name: name.to_owned(),
                content,
                count,
            }),
        }
    }
}

fn already_exists(kind: Kind, name: &str) -> ConfigError {
    ConfigError::Exists {
        kind,
        name: name.to_owned(),
    }
}

fn require_found<'v, V>(kind: Kind, name: &str, row: Option<&'v V>) -> Result<&'v V, ConfigError> {
    row.ok_or_else(|| ConfigError::Missing {
        kind,
        name: name.to_owned(),
    })
}
