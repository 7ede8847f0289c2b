//! Rebuilds a configuration from its stored rows.

use crate::config::{
    BackendServer,
    Configuration,
    Pool,
    REMEMBERED_OPERATIONS,
    Service,
    Zone, //
};
use crate::config_check as check;
use crate::config_error::{
    ConfigError,
    Field,
    Kind, //
};
use crate::ids::{
    OperationId,
    Revision,
    ZoneId, //
};

/// The rows of a stored configuration. Only the order of the operations matters.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigParts {
    pub revision: Revision,
    /// The identifier for the next service, pool or backend server.
    pub next_id: u32,
    pub zones: Vec<Zone>,
    pub services: Vec<Service>,
    pub pools: Vec<Pool>,
    pub servers: Vec<BackendServer>,
    /// The latest operations in order of revision.
    pub operations: Vec<(OperationId, Revision)>,
}

impl Configuration {
    /// Rebuilds a configuration from its stored rows.
    ///
    /// Returns an error if a value would be rejected in a change, if a name, identifier or service
    /// address occurs twice, if a row refers to one that does not exist, or if an identifier was
    /// not assigned by the configuration.
    pub fn restore(parts: ConfigParts) -> Result<Configuration, ConfigError> {
        let mut restored = Configuration {
            revision: parts.revision,
            next_id: parts.next_id,
            ..Configuration::default()
        };
        for zone in parts.zones {
            restored.restore_zone(zone)?;
        }
        for service in parts.services {
            restored.restore_service(service)?;
        }
        for pool in parts.pools {
            restored.restore_pool(pool)?;
        }
        for server in parts.servers {
            restored.restore_server(server)?;
        }
        let skipped = parts.operations.len().saturating_sub(REMEMBERED_OPERATIONS);
        for (operation, revision) in parts.operations.into_iter().skip(skipped) {
            restored.record_operation(operation, revision);
        }
        Ok(restored)
    }

    fn restore_zone(&mut self, zone: Zone) -> Result<(), ConfigError> {
        check::name(Kind::Zone, &zone.name)?;
        check::name(Kind::Region, &zone.region)?;
        let matches_name = zone.id == ZoneId::of(&zone.name);
        if !matches_name || self.zones.contains_key(&zone.id) {
            return Err(ConfigError::Inconsistent {
                kind: Kind::Zone,
                id: zone.id.0,
            });
        }
        require_new(Kind::Zone, &zone.name, self.zone_named(&zone.name))?;
        self.index.add_zone(&zone);
        self.zones.insert(zone.id, zone);
        Ok(())
    }

    fn restore_service(&mut self, service: Service) -> Result<(), ConfigError> {
        check::name(Kind::Service, &service.name)?;
        check::address(Kind::Service, &service.name, service.address)?;
        check::idle(&service.name, service.idle)?;
        let valid = !self.services.contains_key(&service.id);
        self.require_consistent(Kind::Service, service.id.0, valid)?;
        require_new(
            Kind::Service,
            &service.name,
            self.service_named(&service.name),
        )?;
        if let Some(owner) = self.service_at(service.address) {
            return Err(ConfigError::AddressTaken {
                address: service.address,
                service: owner.name.clone(),
            });
        }
        self.index.add_service(&service);
        self.services.insert(service.id, service);
        Ok(())
    }

    fn restore_pool(&mut self, pool: Pool) -> Result<(), ConfigError> {
        check::name(Kind::Pool, &pool.name)?;
        let valid = self.services.contains_key(&pool.service)
            && self.zones.contains_key(&pool.zone)
            && !self.pools.contains_key(&pool.id);
        self.require_consistent(Kind::Pool, pool.id.0, valid)?;
        require_new(Kind::Pool, &pool.name, self.pool_named(&pool.name))?;
        self.index.add_pool(&pool);
        self.pools.insert(pool.id, pool);
        Ok(())
    }

    fn restore_server(&mut self, server: BackendServer) -> Result<(), ConfigError> {
        check::name(Kind::Server, &server.name)?;
        check::address(Kind::Server, &server.name, server.address)?;
        check::address(Kind::Server, &server.name, server.health)?;
        check::weight(&server.name, server.weight)?;
        check::capacity(Field::Slots, &server.name, server.slots)?;
        check::capacity(Field::Connections, &server.name, server.connections)?;
        let valid = self.pools.contains_key(&server.pool) && !self.servers.contains_key(&server.id);
        self.require_consistent(Kind::Server, server.id.0, valid)?;
        require_new(Kind::Server, &server.name, self.server_named(&server.name))?;
        self.index.add_server(&server);
        self.servers.insert(server.id, server);
        Ok(())
    }

    fn require_consistent(&self, kind: Kind, id: u32, valid: bool) -> Result<(), ConfigError> {
        if valid && id < self.next_id {
            return Ok(());
        }
        Err(ConfigError::Inconsistent { kind, id })
    }
}

fn require_new<V>(kind: Kind, name: &str, other: Option<&V>) -> Result<(), ConfigError> {
    match other {
        None => Ok(()),
        Some(_) => Err(ConfigError::Exists {
            kind,
            name: name.to_owned(),
        }),
    }
}
