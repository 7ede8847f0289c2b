//! Tests the diff between a configuration and a desired state.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    MAX_CHANGES,
    Record,
    ServerState,
    ZoneState, //
};
use lovagespindle_decisions::config_error::Kind;
use lovagespindle_decisions::ids::{
    OperationId,
    Revision, //
};
use lovagespindle_operators::plan::{
    Desired,
    DesiredPool,
    DesiredServer,
    DesiredService,
    DesiredZone,
    PlanError,
    diff, //
};
use quickcheck::{
    Arbitrary,
    Gen,
    quickcheck, //
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

/// A consistent desired state. Names contain the container of an object, so that no object moves.
#[derive(Clone, Debug)]
struct AnyDesired(Desired);

fn address(n: u8, variant: bool) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n + 1], 80 + u16::from(variant)))
}

fn random_state<T: Copy>(g: &mut Gen, states: [T; 2]) -> Option<T> {
    let state = *g.choose(&states).unwrap();
    bool::arbitrary(g).then_some(state)
}

fn random_indices(g: &mut Gen) -> Vec<u8> {
    (0..4).filter(|_| bool::arbitrary(g)).collect()
}

fn random_servers(g: &mut Gen, pool: &str) -> Vec<DesiredServer> {
    let indices = random_indices(g).into_iter();
    let servers = indices.map(|n| DesiredServer {
        name: format!("{pool}-{n}"),
        address: address(n, bool::arbitrary(g)),
        health: address(n, bool::arbitrary(g)),
        weight: 1 + u32::from(bool::arbitrary(g)),
        slots: 1 + u32::from(bool::arbitrary(g)),
        connections: 1 + u32::from(bool::arbitrary(g)),
        state: random_state(g, [ServerState::Active, ServerState::Draining]),
    });
    servers.collect()
}

impl Arbitrary for AnyDesired {
    fn arbitrary(g: &mut Gen) -> AnyDesired {
        let (zones, services) = (random_indices(g), random_indices(g));
        let mut desired = Desired::default();
        for s in &services {
            desired.services.push(DesiredService {
                name: format!("s{s}"),
                address: address(*s, bool::arbitrary(g)),
                idle: Duration::from_secs(1 + u64::from(bool::arbitrary(g))),
            });
            for z in zones
                .iter()
                .filter(|_| bool::arbitrary(g))
                .collect::<Vec<_>>()
            {
                let name = format!("s{s}-z{z}");
                desired.pools.push(DesiredPool {
                    servers: random_servers(g, &name),
                    name,
                    service: format!("s{s}"),
                    zone: format!("z{z}"),
                });
            }
        }
        desired.zones = zones
            .into_iter()
            .map(|z| DesiredZone {
                name: format!("z{z}"),
                region: "r".to_owned(),
                state: random_state(g, [ZoneState::In, ZoneState::Out]),
            })
            .collect();
        AnyDesired(desired)
    }
}

/// Applies changes in batches, as the command-line tool does.
fn apply(configuration: &mut Configuration, changes: &[Change]) {
    for batch in changes.chunks(MAX_CHANGES) {
        let revision = Revision(configuration.revision.0 + 1);
        let record = Record {
            revision,
            operation: OperationId(revision.0.into()),
            changes: batch.to_vec(),
        };
        configuration.apply(&record).unwrap();
    }
}

/// Returns a configuration as a desired state, sorted by name.
fn to_desired(c: &Configuration) -> Desired {
    let mut desired = Desired::default();
    desired.zones.extend(c.zones.values().map(|z| DesiredZone {
        name: z.name.clone(),
        region: z.region.clone(),
        state: Some(z.state),
    }));
    desired
        .services
        .extend(c.services.values().map(|s| DesiredService {
            name: s.name.clone(),
            address: s.address,
            idle: s.idle,
        }));
    for pool in c.pools.values() {
        let servers = c.pool_servers(pool.id).iter().map(|s| &c.servers[s]);
        desired.pools.push(DesiredPool {
            name: pool.name.clone(),
            service: c.services[&pool.service].name.clone(),
            zone: c.zones[&pool.zone].name.clone(),
            servers: servers
                .map(|s| DesiredServer {
                    name: s.name.clone(),
                    address: s.address,
                    health: s.health,
                    weight: s.weight,
                    slots: s.slots,
                    connections: s.connections,
                    state: Some(s.state),
                })
                .collect(),
        });
    }
    sort(&mut desired);
    desired
}

fn sort(desired: &mut Desired) {
    desired.zones.sort_by(|a, b| a.name.cmp(&b.name));
    desired.services.sort_by(|a, b| a.name.cmp(&b.name));
    desired.pools.sort_by(|a, b| a.name.cmp(&b.name));
    for pool in &mut desired.pools {
        pool.servers.sort_by(|a, b| a.name.cmp(&b.name));
    }
}

/// Replaces omitted states by those in `before`, or by the default.
fn fill_states(mut desired: Desired, before: &Desired) -> Desired {
    let zones = before.zones.iter().map(|z| (z.name.clone(), z.state));
    let zones: BTreeMap<_, _> = zones.collect();
    let servers = before.pools.iter().flat_map(|p| &p.servers);
    let servers: BTreeMap<_, _> = servers.map(|s| (s.name.clone(), s.state)).collect();
    for zone in &mut desired.zones {
        let old = zones.get(&zone.name).copied().flatten();
        zone.state = zone.state.or(old).or(Some(ZoneState::In));
    }
    for server in desired.pools.iter_mut().flat_map(|p| &mut p.servers) {
        let old = servers.get(&server.name).copied().flatten();
        server.state = server.state.or(old).or(Some(ServerState::Active));
    }
    sort(&mut desired);
    desired
}

quickcheck! {
    /// Guards against a diff that cannot be applied in order, misses or adds a change, or is not
    /// empty after it was applied.
    fn diff_leads_to_desired_state(first: AnyDesired, second: AnyDesired) -> bool {
        let mut configuration = Configuration::default();
        [first.0, second.0].into_iter().all(|desired| {
            let before = to_desired(&configuration);
            let changes = diff(&configuration, &desired).unwrap();
            apply(&mut configuration, &changes);
            let again = diff(&configuration, &desired).unwrap();
            again.is_empty() && to_desired(&configuration) == fill_states(desired, &before)
        })
    }

    /// Guards against a deletion before a creation, and against a container deleted before its
    /// contents.
    fn deletions_come_last_in_reverse_order(first: AnyDesired, second: AnyDesired) -> bool {
        let mut configuration = Configuration::default();
        let creates = diff(&configuration, &first.0).unwrap();
        apply(&mut configuration, &creates);
        let changes = diff(&configuration, &second.0).unwrap();
        changes.is_sorted_by_key(|change| match change {
            Change::CreateZone { .. } | Change::SetZone { .. } => 0,
            Change::PutService { .. } => 1,
            Change::CreatePool { .. } => 2,
            Change::PutServer { .. } | Change::SetServer { .. } => 3,
            Change::DeleteServer { .. } => 4,
            Change::DeletePool { .. } => 5,
            Change::DeleteService { .. } => 6,
            Change::DeleteZone { .. } => 7,
        })
    }

    /// Guards against a file format that cannot express some desired state.
    fn desired_state_round_trips_through_toml(any: AnyDesired) -> bool {
        let text = toml::to_string(&any.0).unwrap();
        Desired::parse(&text) == Ok(any.0)
    }
}

const FILE: &str = r#"
[[zone]]
name = "z"
region = "r"

[[service]]
name = "s"
address = "127.0.0.1:80"
idle = "5m"

[[pool]]
name = "p"
service = "s"
zone = "z"

[[pool.server]]
name = "b"
address = "127.0.0.2:81"
health = "127.0.0.2:82"
slots = 4
connections = 2000
"#;

fn parse(from: &str, to: &str) -> Result<Desired, PlanError> {
    assert!(FILE.contains(from));
    Desired::parse(&FILE.replace(from, to))
}

/// Returns the error of a diff between `FILE` and an edited copy of it.
fn diff_error(from: &str, to: &str) -> PlanError {
    let mut configuration = Configuration::default();
    let changes = diff(&configuration, &parse("", "").unwrap()).unwrap();
    apply(&mut configuration, &changes);
    diff(&configuration, &parse(from, to).unwrap()).unwrap_err()
}

cases! {
    /// Guards against a default weight or state that differs from the documented one.
    omitted_values_have_defaults => {
        let desired = parse("", "").unwrap();
        assert_eq!(desired.zones[0].state, None);
        assert_eq!(desired.services[0].idle, Duration::from_secs(300));
        assert_eq!(desired.pools[0].servers[0].weight, 100);
        assert_eq!(desired.pools[0].servers[0].state, None);
    };
    /// Guards against a misspelled key being ignored.
    unknown_key_is_refused => {
        for key in ["name = \"z\"", "idle = \"5m\"", "zone = \"z\"", "slots = 4"] {
            let error = parse(key, &format!("{key}\nwieght = 1")).unwrap_err();
            assert!(matches!(error, PlanError::Syntax(e) if e.to_string().contains("wieght")));
        }
    };
    /// Guards against a misspelled state being treated as omitted.
    unknown_state_is_refused => {
        let error = parse("region = \"r\"", "region = \"r\"\nstate = \"off\"").unwrap_err();
        assert!(matches!(error, PlanError::Syntax(e) if e.to_string().contains("off")));
    };
    /// Guards against silently dropping one of two objects with the same name.
    repeated_name_is_refused => {
        let error = Desired::parse(&format!("{FILE}\n[[zone]]\nname = \"z\"\nregion = \"q\"")).unwrap_err();
        assert_eq!(error, PlanError::Duplicate { kind: Kind::Zone, name: "z".to_owned() });
    };
    /// Guards against accepting two services with the same address.
    repeated_address_is_refused => {
        let other = "\n[[service]]\nname = \"t\"\naddress = \"127.0.0.1:80\"\nidle = \"1s\"";
        let error = Desired::parse(&format!("{FILE}{other}")).unwrap_err();
        assert!(matches!(error, PlanError::SameAddress { .. }));
    };
    /// Guards against accepting a pool whose service is not defined.
    pool_of_a_missing_service_is_refused => {
        let error = parse("service = \"s\"", "service = \"t\"").unwrap_err();
        assert!(matches!(error, PlanError::Missing { kind: Kind::Service, .. }));
    };
    /// Guards against silently deleting a zone and recreating it in another region.
    moved_zone_is_refused => {
        let error = diff_error("region = \"r\"", "region = \"q\"");
        assert!(matches!(error, PlanError::Moved { kind: Kind::Zone, .. }));
    };
    /// Guards against silently breaking the flows of a pool by deleting and recreating it.
    moved_pool_is_refused => {
        let zone = "[[zone]]\nname = \"y\"\nregion = \"r\"\n[[pool]]\nname = \"p\"";
        let with = FILE.replace("[[pool]]\nname = \"p\"", zone);
        let with = with.replace("zone = \"z\"", "zone = \"y\"");
        let mut configuration = Configuration::default();
        let changes = diff(&configuration, &parse("", "").unwrap()).unwrap();
        apply(&mut configuration, &changes);
        let error = diff(&configuration, &Desired::parse(&with).unwrap()).unwrap_err();
        assert!(matches!(error, PlanError::Moved { kind: Kind::Pool, .. }));
    };
    /// Guards against silently deleting a backend server and recreating it in another pool.
    moved_server_is_refused => {
        let error = diff_error("name = \"p\"", "name = \"q\"");
        assert!(matches!(error, PlanError::Moved { kind: Kind::Server, .. }));
    };
    /// Guards against a diff that cannot be applied because the address still belongs to another
    /// service.
    address_in_use_is_refused => {
        let error = diff_error("\"s\"", "\"s2\"");
        assert!(matches!(error, PlanError::AddressInUse { holder, .. } if holder == "s"));
    };
}
