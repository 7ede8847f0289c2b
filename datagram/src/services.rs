//! Lookup of services by their public addresses.

use std::net::SocketAddr;

use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::ids::ServiceId;
use rustc_hash::FxHashMap;

/// Index of the services by public address.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Services(FxHashMap<SocketAddr, ServiceId>);

impl Services {
    /// Returns the service with this public address.
    pub fn find(&self, address: SocketAddr) -> Option<ServiceId> {
        self.0.get(&address).copied()
    }
}

impl FromIterator<(SocketAddr, ServiceId)> for Services {
    fn from_iter<I: IntoIterator<Item = (SocketAddr, ServiceId)>>(services: I) -> Services {
        Services(services.into_iter().collect())
    }
}

impl From<&Configuration> for Services {
    fn from(configuration: &Configuration) -> Services {
        let services = configuration.services.values();
        services.map(|s| (s.address, s.id)).collect()
    }
}
