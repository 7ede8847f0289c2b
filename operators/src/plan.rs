//! Reads the desired state from a TOML file and computes the changes that reach it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_decisions::config::{
    BackendServer,
    Change,
    Configuration,
    ServerState,
    ZoneState, //
};
use lovagespindle_decisions::config_error::Kind;
use serde::{
    Deserialize,
    Serialize, //
};

/// The complete desired state; objects that it does not name are deleted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Desired {
    /// Availability zones with unique names.
    #[serde(default, rename = "zone")]
    pub zones: Vec<DesiredZone>,
    /// Services with unique names and addresses.
    #[serde(default, rename = "service")]
    pub services: Vec<DesiredService>,
    /// Pools with unique names.
    #[serde(default, rename = "pool")]
    pub pools: Vec<DesiredPool>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredZone {
    pub name: String,
    pub region: String,
    /// Whether the zone is in service. If omitted, the current state is kept, so that applying a
    /// file does not return a zone to service that operators took out.
    #[serde(default, with = "crate::state_text")]
    pub state: Option<ZoneState>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredService {
    pub name: String,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Time after which a flow without packets is closed.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredPool {
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Backend servers; their names are unique across all pools.
    #[serde(default, rename = "server")]
    pub servers: Vec<DesiredServer>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredServer {
    pub name: String,
    /// Address for packets.
    pub address: SocketAddr,
    /// Address for health and load calls.
    pub health: SocketAddr,
    /// Relative share of the flows that choose this backend server first.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of flows.
    pub connections: u32,
    /// Whether the backend server gets new work. If omitted, the current state is kept.
    #[serde(default, with = "crate::state_text")]
    pub state: Option<ServerState>,
}

/// Weight of a backend server whose entry omits it.
pub const DEFAULT_WEIGHT: u32 = 100;

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

/// Reason why a desired state is invalid or cannot be reached.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The file does not follow the format described on the operators' page.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// Two objects have the same name.
    #[error("{kind} {name} is given twice: rename or remove one")]
    Duplicate { kind: Kind, name: String },
    /// Two services have the same address.
    #[error("services {first} and {second} have the same address {address}: change one")]
    SameAddress {
        first: String,
        second: String,
        address: SocketAddr,
    },
    /// A pool refers to a service or zone that the file does not define.
    #[error("pool {pool} refers to {kind} {name}, which the file does not define: add it")]
    Missing {
        pool: String,
        kind: Kind,
        name: String,
    },
    /// An object would have to be deleted and recreated, which breaks its flows.
    #[error(
        "{kind} {name} cannot move from {from} to {to}: \
         give the object in its new location another name"
    )]
    Moved {
        kind: Kind,
        name: String,
        /// Current region, service, zone or pool.
        from: String,
        /// Region, service, zone or pool in the file.
        to: String,
    },
    /// A desired address still belongs to another service when the change would be applied.
    #[error(
        "service {service} cannot take address {address} while service {holder} has it: \
         first apply a file in which {holder} has another address or is removed"
    )]
    AddressInUse {
        /// Service that the file assigns the address to.
        service: String,
        address: SocketAddr,
        /// Service that currently has the address.
        holder: String,
    },
}

impl Desired {
    /// Parses the text of a file. Returns an error if the syntax is invalid or [`check`] fails.
    ///
    /// [`check`]: Desired::check
    pub fn parse(text: &str) -> Result<Desired, PlanError> {
        let desired: Desired = toml::from_str(text)?;
        desired.check()?;
        Ok(desired)
    }

    /// Returns an error unless names and addresses are unique and all pools refer to defined
    /// services and zones.
    pub fn check(&self) -> Result<(), PlanError> {
        let zones = unique_names(Kind::Zone, self.zones.iter().map(|z| &z.name))?;
        let services = unique_names(Kind::Service, self.services.iter().map(|s| &s.name))?;
        unique_names(Kind::Pool, self.pools.iter().map(|p| &p.name))?;
        unique_names(Kind::Server, self.servers().map(|(_, s)| &s.name))?;
        self.check_addresses()?;
        for pool in &self.pools {
            require_defined(pool, Kind::Service, &pool.service, &services)?;
            require_defined(pool, Kind::Zone, &pool.zone, &zones)?;
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), PlanError> {
        let mut sorted: Vec<&DesiredService> = self.services.iter().collect();
        sorted.sort_by_key(|s| s.address);
        for pair in sorted.windows(2) {
            if let [first, second] = pair
                && first.address == second.address
            {
                return Err(PlanError::SameAddress {
                    first: first.name.clone(),
                    second: second.name.clone(),
                    address: first.address,
                });
            }
        }
        Ok(())
    }

    /// Returns each backend server together with its pool.
    fn servers(&self) -> impl Iterator<Item = (&DesiredPool, &DesiredServer)> {
        let pools = self.pools.iter();
        pools.flat_map(|p| p.servers.iter().map(move |s| (p, s)))
    }
}

fn unique_names<'a>(
    kind: Kind,
    names: impl Iterator<Item = &'a String>,
) -> Result<BTreeSet<&'a str>, PlanError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name.as_str()) {
            return Err(PlanError::Duplicate {
                kind,
                name: name.clone(),
            });
        }
    }
    Ok(seen)
}

fn require_defined(
    pool: &DesiredPool,
    kind: Kind,
    name: &str,
    defined: &BTreeSet<&str>,
) -> Result<(), PlanError> {
    if defined.contains(name) {
        return Ok(());
    }
    Err(PlanError::Missing {
        pool: pool.name.clone(),
        kind,
        name: name.to_owned(),
    })
}

/// Returns the changes that lead from `current` to `desired`, in an order in which each can be
/// applied: containers are created before their contents, and deletions come last in reverse
/// order. The result is empty if nothing differs.
///
/// Returns an error if `desired` is invalid, an object would have to move, or a desired address is
/// in use by another service.
pub fn diff(current: &Configuration, desired: &Desired) -> Result<Vec<Change>, PlanError> {
    desired.check()?;
    let mut changes = Vec::new();
    for zone in &desired.zones {
        put_zone(current, zone, &mut changes)?;
    }
    for service in &desired.services {
        put_service(current, service, &mut changes)?;
    }
    for pool in &desired.pools {
        put_pool(current, pool, &mut changes)?;
    }
    for (pool, server) in desired.servers() {
        put_server(current, pool, server, &mut changes)?;
    }
    delete_unnamed(current, desired, &mut changes);
    Ok(changes)
}

fn moved_error(kind: Kind, name: &str, from: &str, to: &str) -> PlanError {
    PlanError::Moved {
        kind,
        name: name.to_owned(),
        from: from.to_owned(),
        to: to.to_owned(),
    }
}

fn put_zone(
    current: &Configuration,
    desired: &DesiredZone,
    changes: &mut Vec<Change>,
) -> Result<(), PlanError> {
    let state = match current.zone_named(&desired.name) {
        Some(zone) if zone.region == desired.region => zone.state,
        Some(zone) => {
            return Err(moved_error(
                Kind::Zone,
                &desired.name,
                &zone.region,
                &desired.region,
            ));
        }
        None => {
            changes.push(Change::CreateZone {
                name: desired.name.clone(),
                region: desired.region.clone(),
            });
            ZoneState::default()
        }
    };
    if let Some(other) = desired.state
        && other != state
    {
        changes.push(Change::SetZone {
            name: desired.name.clone(),
            state: other,
        });
    }
    Ok(())
}

fn put_service(
    current: &Configuration,
    desired: &DesiredService,
    changes: &mut Vec<Change>,
) -> Result<(), PlanError> {
    if let Some(holder) = current.service_at(desired.address)
        && holder.name != desired.name
    {
        return Err(PlanError::AddressInUse {
            service: desired.name.clone(),
            address: desired.address,
            holder: holder.name.clone(),
        });
    }
    let same = current
        .service_named(&desired.name)
        .is_some_and(|s| s.address == desired.address && s.idle == desired.idle);
    if !same {
        changes.push(Change::PutService {
            name: desired.name.clone(),
            address: desired.address,
            idle: desired.idle,
        });
    }
    Ok(())
}

fn put_pool(
    current: &Configuration,
    desired: &DesiredPool,
    changes: &mut Vec<Change>,
) -> Result<(), PlanError> {
    let Some(pool) = current.pool_named(&desired.name) else {
        changes.push(Change::CreatePool {
            name: desired.name.clone(),
            service: desired.service.clone(),
            zone: desired.zone.clone(),
        });
        return Ok(());
    };
    let service = current.services.get(&pool.service);
    let service = service.map_or("", |s| s.name.as_str());
    if service != desired.service {
        return Err(moved_error(
            Kind::Pool,
            &desired.name,
            service,
            &desired.service,
        ));
    }
    let zone = current.zones.get(&pool.zone);
    let zone = zone.map_or("", |z| z.name.as_str());
    if zone != desired.zone {
        return Err(moved_error(Kind::Pool, &desired.name, zone, &desired.zone));
    }
    Ok(())
}

fn put_server(
    current: &Configuration,
    pool: &DesiredPool,
    desired: &DesiredServer,
    changes: &mut Vec<Change>,
) -> Result<(), PlanError> {
    let server = current.server_named(&desired.name);
    if let Some(server) = server {
        let current_pool = current.pools.get(&server.pool);
        let current_pool = current_pool.map_or("", |p| p.name.as_str());
        if current_pool != pool.name {
            return Err(moved_error(
                Kind::Server,
                &desired.name,
                current_pool,
                &pool.name,
            ));
        }
    }
    if !server.is_some_and(|s| matches(s, desired)) {
        changes.push(Change::PutServer {
            name: desired.name.clone(),
            pool: pool.name.clone(),
            address: desired.address,
            health: desired.health,
            weight: desired.weight,
            slots: desired.slots,
            connections: desired.connections,
        });
    }
    let state = server.map_or(ServerState::default(), |s| s.state);
    if let Some(other) = desired.state
        && other != state
    {
        changes.push(Change::SetServer {
            name: desired.name.clone(),
            state: other,
        });
    }
    Ok(())
}

/// Returns whether a backend server has all desired values, apart from its state.
fn matches(server: &BackendServer, desired: &DesiredServer) -> bool {
    server.address == desired.address
        && server.health == desired.health
        && server.weight == desired.weight
        && server.slots == desired.slots
        && server.connections == desired.connections
}

/// Appends deletions of all objects that the desired state does not name.
fn delete_unnamed(current: &Configuration, desired: &Desired, changes: &mut Vec<Change>) {
    let servers: BTreeSet<&str> = desired.servers().map(|(_, s)| s.name.as_str()).collect();
    let pools: BTreeSet<&str> = desired.pools.iter().map(|p| p.name.as_str()).collect();
    let services: BTreeSet<&str> = desired.services.iter().map(|s| s.name.as_str()).collect();
    let zones: BTreeSet<&str> = desired.zones.iter().map(|z| z.name.as_str()).collect();
    let names = current.servers.values().map(|s| &s.name);
    let unnamed = names.filter(|n| !servers.contains(n.as_str())).cloned();
    changes.extend(unnamed.map(|name| Change::DeleteServer { name }));
    let names = current.pools.values().map(|p| &p.name);
    let unnamed = names.filter(|n| !pools.contains(n.as_str())).cloned();
    changes.extend(unnamed.map(|name| Change::DeletePool { name }));
    let names = current.services.values().map(|s| &s.name);
    let unnamed = names.filter(|n| !services.contains(n.as_str())).cloned();
    changes.extend(unnamed.map(|name| Change::DeleteService { name }));
    let names = current.zones.values().map(|z| &z.name);
    let unnamed = names.filter(|n| !zones.contains(n.as_str())).cloned();
    changes.extend(unnamed.map(|name| Change::DeleteZone { name }));
}
