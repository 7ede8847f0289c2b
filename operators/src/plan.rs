//! The whole desired state as a TOML file, and the changes that lead to it.

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

/// The whole desired state. What it does not name is deleted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Desired {
    /// The availability zones; names are unique.
    #[serde(default, rename = "zone")]
    pub zones: Vec<DesiredZone>,
    /// The services; names and addresses are unique.
    #[serde(default, rename = "service")]
    pub services: Vec<DesiredService>,
    /// The pools; names are unique.
    #[serde(default, rename = "pool")]
    pub pools: Vec<DesiredPool>,
}

/// A desired availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredZone {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Whether it is in service. If not given, the state stays as it is, so that applying a file
    /// does not bring back a zone that operators took out.
    #[serde(default, with = "crate::state_text")]
    pub state: Option<ZoneState>,
}

/// A desired service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredService {
    /// Its name.
    pub name: String,
    /// The address that callers use.
    pub address: SocketAddr,
    /// How long a flow without packets is kept.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
}

/// A desired pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredPool {
    /// Its name.
    pub name: String,
    /// The name of its service.
    pub service: String,
    /// The name of its zone.
    pub zone: String,
    /// Its backend servers; names are unique among those of all pools.
    #[serde(default, rename = "server")]
    pub servers: Vec<DesiredServer>,
}

/// A desired backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredServer {
    /// Its name.
    pub name: String,
    /// Where it takes packets.
    pub address: SocketAddr,
    /// Where it answers health and load calls.
    pub health: SocketAddr,
    /// Its share of first choices.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many flows it bears.
    pub connections: u32,
    /// Whether it gets new work. If not given, the state stays as it is.
    #[serde(default, with = "crate::state_text")]
    pub state: Option<ServerState>,
}

/// The weight of a backend server that gives none.
pub const DEFAULT_WEIGHT: u32 = 100;

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

/// Why no changes lead to a desired state.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The file is not of the form described in the operators' page.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// Two objects have the same name.
    #[error("{kind} {name} is given twice: rename or remove one")]
    Duplicate {
        /// What is named.
        kind: Kind,
        /// The name.
        name: String,
    },
    /// Two services have the same address.
    #[error("services {first} and {second} have the same address {address}: change one")]
    SameAddress {
        /// One service.
        first: String,
        /// The other service.
        second: String,
        /// The address.
        address: SocketAddr,
    },
    /// A pool names something that the file does not have.
    #[error("pool {pool} names {kind} {name}, which the file does not have: add it")]
    Missing {
        /// The pool.
        pool: String,
        /// What is missing.
        kind: Kind,
        /// Its name.
        name: String,
    },
    /// An object would have to be deleted and created again, which breaks its flows.
    #[error(
        "{kind} {name} cannot move from {from} to {to}: \
         give the object in the new place another name"
    )]
    Moved {
        /// What would move.
        kind: Kind,
        /// Its name.
        name: String,
        /// Where it is.
        from: String,
        /// Where the file has it.
        to: String,
    },
    /// A desired address belongs to another service until the changes are applied.
    #[error(
        "service {service} cannot take address {address} while service {holder} has it: \
         first apply a file in which {holder} has another address or is gone"
    )]
    AddressInUse {
        /// The service that wants the address.
        service: String,
        /// The address.
        address: SocketAddr,
        /// The service that has it.
        holder: String,
    },
}

impl Desired {
    /// Reads a file's text.
    pub fn parse(text: &str) -> Result<Desired, PlanError> {
        let desired: Desired = toml::from_str(text)?;
        desired.check()?;
        Ok(desired)
    }

    /// Checks that names and addresses are unique and that pools name what exists.
    pub fn check(&self) -> Result<(), PlanError> {
        let zones = unique(Kind::Zone, self.zones.iter().map(|z| &z.name))?;
        let services = unique(Kind::Service, self.services.iter().map(|s| &s.name))?;
        unique(Kind::Pool, self.pools.iter().map(|p| &p.name))?;
        unique(Kind::Server, self.servers().map(|(_, s)| &s.name))?;
        self.check_addresses()?;
        for pool in &self.pools {
            require(pool, Kind::Service, &pool.service, &services)?;
            require(pool, Kind::Zone, &pool.zone, &zones)?;
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

    /// Returns the backend servers with their pools.
    fn servers(&self) -> impl Iterator<Item = (&DesiredPool, &DesiredServer)> {
        let pools = self.pools.iter();
        pools.flat_map(|p| p.servers.iter().map(move |s| (p, s)))
    }
}

fn unique<'a>(
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

fn require(
    pool: &DesiredPool,
    kind: Kind,
    name: &str,
    present: &BTreeSet<&str>,
) -> Result<(), PlanError> {
    if present.contains(name) {
        return Ok(());
    }
    Err(PlanError::Missing {
        pool: pool.name.clone(),
        kind,
        name: name.to_owned(),
    })
}

/// Returns the changes that lead from `present` to `desired`, in an order in which each can be
/// applied: what contains others is created first, and deletions come last in reverse order. The
/// result is empty if nothing differs.
pub fn diff(present: &Configuration, desired: &Desired) -> Result<Vec<Change>, PlanError> {
    desired.check()?;
    let mut changes = Vec::new();
    for zone in &desired.zones {
        put_zone(present, zone, &mut changes)?;
    }
    for service in &desired.services {
        put_service(present, service, &mut changes)?;
    }
    for pool in &desired.pools {
        put_pool(present, pool, &mut changes)?;
    }
    for (pool, server) in desired.servers() {
        put_server(present, pool, server, &mut changes)?;
    }
    delete(present, desired, &mut changes);
    Ok(changes)
}

fn moved(kind: Kind, name: &str, from: &str, to: &str) -> PlanError {
    PlanError::Moved {
        kind,
        name: name.to_owned(),
        from: from.to_owned(),
        to: to.to_owned(),
    }
}

fn put_zone(
    present: &Configuration,
    desired: &DesiredZone,
    changes: &mut Vec<Change>,
) -> Result<(), PlanError> {
    let state = match present.zone_named(&desired.name) {
        Some(zone) if zone.region == desired.region => zone.state,
        Some(zone) => {
            return Err(moved(
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
    present: &Configuration,
    desired: &DesiredService,
    changes: &mut Vec<Change>,
) -> Result<(), PlanError> {
    if let Some(holder) = present.service_at(desired.address)
        && holder.name != desired.name
    {
        return Err(PlanError::AddressInUse {
            service: desired.name.clone(),
            address: desired.address,
            holder: holder.name.clone(),
        });
    }
    let same = present
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
    present: &Configuration,
    desired: &DesiredPool,
    changes: &mut Vec<Change>,
) -> Result<(), PlanError> {
    let Some(pool) = present.pool_named(&desired.name) else {
        changes.push(Change::CreatePool {
            name: desired.name.clone(),
            service: desired.service.clone(),
            zone: desired.zone.clone(),
        });
        return Ok(());
    };
    let service = present.services.get(&pool.service);
    let service = service.map_or("", |s| s.name.as_str());
    if service != desired.service {
        return Err(moved(Kind::Pool, &desired.name, service, &desired.service));
    }
    let zone = present.zones.get(&pool.zone);
    let zone = zone.map_or("", |z| z.name.as_str());
    if zone != desired.zone {
        return Err(moved(Kind::Pool, &desired.name, zone, &desired.zone));
    }
    Ok(())
}

fn put_server(
    present: &Configuration,
    pool: &DesiredPool,
    desired: &DesiredServer,
    changes: &mut Vec<Change>,
) -> Result<(), PlanError> {
    let server = present.server_named(&desired.name);
    if let Some(server) = server {
        let home = present.pools.get(&server.pool);
        let home = home.map_or("", |p| p.name.as_str());
        if home != pool.name {
            return Err(moved(Kind::Server, &desired.name, home, &pool.name));
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

/// Returns whether a backend server has all desired values but for its state.
fn matches(server: &BackendServer, desired: &DesiredServer) -> bool {
    server.address == desired.address
        && server.health == desired.health
        && server.weight == desired.weight
        && server.slots == desired.slots
        && server.connections == desired.connections
}

/// Adds the deletions of all that is not desired.
fn delete(present: &Configuration, desired: &Desired, changes: &mut Vec<Change>) {
    let servers: BTreeSet<&str> = desired.servers().map(|(_, s)| s.name.as_str()).collect();
    let pools: BTreeSet<&str> = desired.pools.iter().map(|p| p.name.as_str()).collect();
    let services: BTreeSet<&str> = desired.services.iter().map(|s| s.name.as_str()).collect();
    let zones: BTreeSet<&str> = desired.zones.iter().map(|z| z.name.as_str()).collect();
    let names = present.servers.values().map(|s| &s.name);
    let gone = names.filter(|n| !servers.contains(n.as_str())).cloned();
    changes.extend(gone.map(|name| Change::DeleteServer { name }));
    let names = present.pools.values().map(|p| &p.name);
    let gone = names.filter(|n| !pools.contains(n.as_str())).cloned();
    changes.extend(gone.map(|name| Change::DeletePool { name }));
    let names = present.services.values().map(|s| &s.name);
    let gone = names.filter(|n| !services.contains(n.as_str())).cloned();
    changes.extend(gone.map(|name| Change::DeleteService { name }));
    let names = present.zones.values().map(|z| &z.name);
    let gone = names.filter(|n| !zones.contains(n.as_str())).cloned();
    changes.extend(gone.map(|name| Change::DeleteZone { name }));
}
