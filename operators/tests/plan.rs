//! The difference between a configuration and a desired state.

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

/// A consistent desired state whose names say where an object belongs, so that none moves.
#[derive(Clone, Debug)]
struct AnyDesired(Desired);

fn address(n: u8, variant: bool) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n + 1], 80 + u16::from(variant)))
}

fn any_state<T: Copy>(g: &mut Gen, states: [T; 2]) -> Option<T> {
    let state = *g.choose(&states).unwrap();
    bool::arbitrary(g).then_some(state)
}

fn some(g: &mut Gen) -> Vec<u8> {
    (0..4).filter(|_| bool::arbitrary(g)).collect()
}

fn any_servers(g: &mut Gen, pool: &str) -> Vec<DesiredServer> {
    let indices = some(g).into_iter();
    let servers = indices.map(|n| DesiredServer {
        name: format!("{pool}-{n}"),
        address: address(n, bool::arbitrary(g)),
        health: address(n, bool::arbitrary(g)),
        weight: 1 + u32::from(bool::arbitrary(g)),
        slots: 1 + u32::from(bool::arbitrary(g)),
        connections: 1 + u32::from(bool::arbitrary(g)),
        state: any_state(g, [ServerState::Active, ServerState::Draining]),
    });
    servers.collect()
}

impl Arbitrary for AnyDesired {
    fn arbitrary(g: &mut Gen) -> AnyDesired {
        let (zones, services) = (some(g), some(g));
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
                    servers: any_servers(g, &name),
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
                state: any_state(g, [ZoneState::In, ZoneState::Out]),
            })
            .collect();
        AnyDesired(desired)
    }
}

/// Applies the changes as the command line does.
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

/// Returns a configuration as a desired state in order of name.
fn render(c: &Configuration) -> Desired {
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

/// Fills states that are not given with those before, or else the default.
fn resolve(mut desired: Desired, before: &Desired) -> Desired {
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
    /// Guards against a difference that cannot be applied in its order, misses or adds something,
    /// or is not empty the second time.
    fn difference_leads_to_the_wanted_state(first: AnyDesired, second: AnyDesired) -> bool {
        let mut configuration = Configuration::default();
        [first.0, second.0].into_iter().all(|desired| {
            let before = render(&configuration);
            let changes = diff(&configuration, &desired).unwrap();
            apply(&mut configuration, &changes);
            let again = diff(&configuration, &desired).unwrap();
            again.is_empty() && render(&configuration) == resolve(desired, &before)
        })
    }

    /// Guards against a deletion that comes before a creation, and objects deleted before what
    /// they contain.
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

    /// Guards against a file form that cannot express a state.
    fn file_form_survives_the_way(any: AnyDesired) -> bool {
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

/// Returns why a file cannot follow `FILE`.
fn refusal(from: &str, to: &str) -> PlanError {
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
    /// Guards against a misspelled key that is ignored.
    unknown_key_is_refused => {
        for key in ["name = \"z\"", "idle = \"5m\"", "zone = \"z\"", "slots = 4"] {
            let error = parse(key, &format!("{key}\nwieght = 1")).unwrap_err();
            assert!(matches!(error, PlanError::Syntax(e) if e.to_string().contains("wieght")));
        }
    };
    /// Guards against a misspelled state that is taken for none.
    unknown_state_is_refused => {
        let error = parse("region = \"r\"", "region = \"r\"\nstate = \"off\"").unwrap_err();
        assert!(matches!(error, PlanError::Syntax(e) if e.to_string().contains("off")));
    };
    /// Guards against one of two objects of the same name that is dropped.
    repeated_name_is_refused => {
        let error = Desired::parse(&format!("{FILE}\n[[zone]]\nname = \"z\"\nregion = \"q\"")).unwrap_err();
        assert_eq!(error, PlanError::Duplicate { kind: Kind::Zone, name: "z".to_owned() });
    };
    /// Guards against two services at one address.
    repeated_address_is_refused => {
        let other = "\n[[service]]\nname = \"t\"\naddress = \"127.0.0.1:80\"\nidle = \"1s\"";
        let error = Desired::parse(&format!("{FILE}{other}")).unwrap_err();
        assert!(matches!(error, PlanError::SameAddress { .. }));
    };
    /// Guards against a pool of nothing.
    pool_of_a_missing_service_is_refused => {
        let error = parse("service = \"s\"", "service = \"t\"").unwrap_err();
        assert!(matches!(error, PlanError::Missing { kind: Kind::Service, .. }));
    };
    /// Guards against a zone that is silently deleted and created in another region.
    moved_zone_is_refused => {
        let error = refusal("region = \"r\"", "region = \"q\"");
        assert!(matches!(error, PlanError::Moved { kind: Kind::Zone, .. }));
    };
    /// Guards against a pool whose flows are silently broken by deleting and creating it.
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
    /// Guards against a backend server that is silently deleted and created in another pool.
    moved_server_is_refused => {
        let error = refusal("name = \"p\"", "name = \"q\"");
        assert!(matches!(error, PlanError::Moved { kind: Kind::Server, .. }));
    };
    /// Guards against changes that the store refuses because the address is still held.
    held_address_is_refused => {
        let error = refusal("\"s\"", "\"s2\"");
        assert!(matches!(error, PlanError::AddressInUse { holder, .. } if holder == "s"));
    };
}
