//! Lookup of backend servers by their addresses.

use std::net::SocketAddr;

use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::ids::BackendServerId;
use rustc_hash::FxHashMap;

/// Index of the backend servers by the address from which they send and receive packets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Servers(FxHashMap<SocketAddr, BackendServerId>);

impl Servers {
    /// Returns the backend server with this address.
    pub fn find(&self, address: SocketAddr) -> Option<BackendServerId> {
        self.0.get(&address).copied()
    }
}

impl FromIterator<(SocketAddr, BackendServerId)> for Servers {
    fn from_iter<I: IntoIterator<Item = (SocketAddr, BackendServerId)>>(servers: I) -> Servers {
        Servers(servers.into_iter().collect())
    }
}

impl From<&Configuration> for Servers {
    fn from(configuration: &Configuration) -> Servers {
        let servers = configuration.servers.values();
        servers.map(|s| (s.address, s.id)).collect()
    }
}
