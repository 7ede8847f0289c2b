//! Zones, services and backend servers of the scenario.

use crate::prelude::*;
use crate::servers::Server;

/// The platform's place among the zones when paths are cut.
pub(crate) const PLATFORM: usize = usize::MAX;

impl World {
    pub(crate) fn add_zone(&mut self, name: &str, instances: u32) {
        let region = String::from("region");
        self.accept(vec![Change::CreateZone {
            name: name.into(),
            region,
        }]);
        self.zones.push(name.into());
        (0..instances).for_each(|_| self.start(self.zones.len() - 1));
    }

    /// Adds a service with a pool in each zone and backend servers spread over them, or adds cold
    /// backend servers to the service until there are as many.
    pub(crate) fn add_service(
        &mut self,
        service: &str,
        count: usize,
        slots: u32,
        connections: u32,
    ) {
        let first = self.servers.len();
        let host = |port: usize| SocketAddr::from(([198, 51, 100, 0], port as u16));
        let (idle, name) = (Duration::from_secs(300), String::from(service));
        let pool = |zone: &str| format!("{service}.{zone}");
        let named = |s: &&Server| {
            s.name
                .rsplit_once('-')
                .is_some_and(|(name, _)| name == service)
        };
        let old = self.servers.iter().filter(named).count();
        let mut changes = Vec::new();
        if old == 0 {
            let address = host(400 + first);
            changes.push(Change::PutService {
                name,
                address,
                idle,
            });
            changes.extend(self.zones.iter().map(|zone| {
                let (name, service, zone) = (pool(zone), service.into(), zone.clone());
                Change::CreatePool {
                    name,
                    service,
                    zone,
                }
            }));
        }
        for n in old..count {
            let zone = n % self.zones.len();
            let (pool, port) = (pool(&self.zones[zone]), 1000 + 2 * self.servers.len());
            let name = format!("{service}-{n}");
            let mut server = Server::new(&name, zone, slots, connections);
            (server.cold, server.touched) = (old > 0, old > 0);
            self.servers.push(server);
            changes.push(Change::PutServer {
                name,
                pool,
                address: host(port),
                health: host(port + 1),
                weight: 100,
                slots,
                connections,
            });
        }
        self.accept(changes);
        let configuration = &self.platform.configuration;
        for server in &mut self.servers[first..] {
            let mut servers = configuration.servers.values();
            let found = servers
                .find(|s| s.name == server.name)
                .expect("it was just created");
            (server.id, server.service) = (found.id, configuration.pools[&found.pool].service);
        }
    }

    pub(crate) fn zone_named(&self, name: &str) -> Option<usize> {
        let zone = self.zones.iter().position(|z| z == name);
        zone.or((name == "platform").then_some(PLATFORM))
    }

    pub(crate) fn server_named(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|s| s.name == name)
    }

    pub(crate) fn node_index(&self, id: InstanceId) -> Option<usize> {
        self.nodes.iter().position(|n| n.member.id == id)
    }

    pub(crate) fn server_index(&self, id: BackendServerId) -> Option<usize> {
        self.servers.iter().position(|s| s.id == id)
    }

    /// Returns whether two zones, or a zone and the platform, cannot talk.
    pub(crate) fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a, b))
    }

    /// Returns whether a zone is cut off from the platform and all other zones.
    pub(crate) fn isolated(&self, zone: usize) -> bool {
        let mut others = (0..self.zones.len()).filter(|z| *z != zone);
        self.is_cut(zone, PLATFORM) && others.all(|other| self.is_cut(zone, other))
    }
}
