//! Determines the services whose candidates a record may change.

use crate::config::{
    Change,
    Configuration,
    Record, //
};
use crate::ids::{
    PoolId,
    ServiceId, //
};

impl Configuration {
    /// Adds the services whose candidates a record may change, as far as this configuration has
    /// them.
    ///
    /// A record may create or delete names, so call this both before and after it is applied.
    pub fn affected_services(&self, record: &Record, services: &mut Vec<ServiceId>) {
        for change in &record.changes {
            self.change_services(change, services);
        }
    }

    fn change_services(&self, change: &Change, services: &mut Vec<ServiceId>) {
        match change {
            Change::PutService { name, .. } | Change::DeleteService { name } => {
                services.extend(self.service_named(name).map(|service| service.id));
            }
            Change::CreatePool { name, .. } | Change::DeletePool { name } => {
                services.extend(self.pool_named(name).map(|pool| pool.service));
            }
            Change::PutServer { name, .. }
            | Change::SetServer { name, .. }
            | Change::DeleteServer { name } => {
                let server = self.server_named(name);
                services.extend(server.and_then(|server| self.service_of(server.pool)));
            }
            Change::CreateZone { name, .. }
            | Change::SetZone { name, .. }
            | Change::DeleteZone { name } => {
                let Some(zone) = self.zone_named(name) else {
                    return;
                };
                let pools = self.zone_pools(zone.id).iter();
                services.extend(pools.filter_map(|pool| self.service_of(*pool)));
            }
        }
    }

    fn service_of(&self, pool: PoolId) -> Option<ServiceId> {
        self.pools.get(&pool).map(|pool| pool.service)
    }
}
