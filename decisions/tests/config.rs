//! Records applied to the configuration.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    MAX_CHANGES,
    REMEMBERED_OPERATIONS,
    Record,
    ServerState,
    ZoneState, //
};
use lovagespindle_decisions::config_error::{
    ConfigError,
    Kind, //
};
use lovagespindle_decisions::config_restore::ConfigParts;
use lovagespindle_decisions::ids::{
    OperationId,
    Revision, //
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

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

fn name(n: u8) -> String {
    format!("n-{n}")
}

fn zone(n: u8) -> Change {
    let region = "south".to_owned();
    Change::CreateZone {
        name: name(n),
        region,
    }
}

fn service(n: u8, at: u8) -> Change {
    Change::PutService {
        name: name(n),
        address: address(at),
        idle: Duration::from_secs(60),
    }
}

fn pool(n: u8, service: u8, zone: u8) -> Change {
    Change::CreatePool {
        name: name(n),
        service: name(service),
        zone: name(zone),
    }
}

fn server(n: u8, pool: u8, weight: u32) -> Change {
    Change::PutServer {
        name: name(n),
        pool: name(pool),
        address: address(n),
        health: address(n),
        weight,
        slots: 4,
        connections: 2000,
    }
}

/// A change over few names, so that sequences collide often.
#[derive(Clone, Debug)]
struct Any(Change);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Any {
        let mut pick = |n: u8| u8::arbitrary(g) % n;
        let (a, b, c) = (pick(4), pick(4), pick(4));
        let states = [ServerState::Active, ServerState::Draining];
        let zones = [ZoneState::In, ZoneState::Out];
        Any(match pick(14) {
            0 => zone(a),
            1 => Change::SetZone {
                name: name(a),
                state: zones[usize::from(b % 2)],
            },
            2 => Change::DeleteZone { name: name(a) },
            3 | 4 => service(a, b + 1),
            5 => Change::DeleteService { name: name(a) },
            6 | 7 => pool(a, b, c),
            8 => Change::DeletePool { name: name(a) },
            9..=11 => server(a, b, u32::from(c) + 1),
            12 => Change::SetServer {
                name: name(a),
                state: states[usize::from(b % 2)],
            },
            _ => Change::DeleteServer { name: name(a) },
        })
    }
}

fn record(revision: u64, changes: Vec<Change>) -> Record {
    Record {
        revision: Revision(revision),
        operation: OperationId(u128::from(revision)),
        changes,
    }
}

fn next(c: &Configuration, changes: Vec<Change>) -> Record {
    record(c.revision.0 + 1, changes)
}

fn parts(c: &Configuration) -> ConfigParts {
    ConfigParts {
        revision: c.revision,
        next_id: c.next_id,
        zones: c.zones.values().cloned().collect(),
        services: c.services.values().cloned().collect(),
        pools: c.pools.values().cloned().collect(),
        servers: c.servers.values().cloned().collect(),
        operations: c.operations.iter().copied().collect(),
    }
}

/// Builds a configuration with one object of each kind.
fn small() -> Configuration {
    let mut c = Configuration::default();
    let changes = vec![zone(0), service(0, 1), pool(0, 0, 0), server(0, 0, 1)];
    c.apply(&record(1, changes)).unwrap();
    c
}

fn refusal(changes: Vec<Change>) -> ConfigError {
    let mut c = small();
    let before = c.clone();
    let refused = c.apply(&next(&c, changes)).unwrap_err();
    assert_eq!(c, before, "a refused record changed something");
    refused
}

fn lookups_agree(c: &Configuration) {
    for s in c.services.values() {
        assert_eq!(c.service_at(s.address), Some(s));
        assert_eq!(c.service_named(&s.name), Some(s));
        let found: BTreeSet<_> = c.service_servers(s.id).map(|(b, z)| (b.id, z)).collect();
        let wanted = c.servers.values().filter_map(|b| {
            let pool = &c.pools[&b.pool];
            (pool.service == s.id).then_some((b.id, pool.zone))
        });
        assert_eq!(found, wanted.collect());
    }
    for b in c.servers.values() {
        assert_eq!(c.server_named(&b.name), Some(b));
        assert_eq!(c.server_zone(b.id), Some(c.pools[&b.pool].zone));
        assert!(b.id.0 < c.next_id);
    }
}

quickcheck! {
    /// Guards against indexes that drift from the tables, and against dangling references.
    fn random_records_keep_the_invariants(records: Vec<Vec<Any>>) -> bool {
        let mut c = small();
        for changes in records {
            // Longer records hardly ever apply.
            let changes: Vec<_> = changes.into_iter().take(3).map(|a| a.0).collect();
            let before = c.clone();
            let step = next(&c, changes);
            let checked = c.check(&step);
            assert_eq!(checked, c.apply(&step));
            match checked {
                Ok(()) => assert_eq!(c.revision.0, before.revision.0 + 1),
                Err(_) => assert_eq!(c, before),
            }
            lookups_agree(&c);
        }
        Configuration::restore(parts(&c)) == Ok(c)
    }

    /// Guards against identifiers that depend on anything but the log, or that are reused.
    fn instances_assign_the_same_identifiers(log: Vec<Any>, split: usize) -> bool {
        let mut first = Configuration::default();
        let mut accepted = Vec::new();
        for Any(change) in log {
            let step = next(&first, vec![change]);
            let known: BTreeSet<_> = first.servers.keys().copied().collect();
            if first.apply(&step).is_ok() {
                let added = first.servers.keys().filter(|id| !known.contains(id));
                assert!(added.map(|id| id.0 + 1).all(|n| n == first.next_id));
                accepted.push(step);
            }
        }
        let split = split % (accepted.len() + 1);
        let mut second = Configuration::default();
        accepted[..split].iter().for_each(|r| second.apply(r).unwrap());
        let mut second = Configuration::restore(parts(&second)).unwrap();
        accepted[split..].iter().for_each(|r| second.apply(r).unwrap());
        first == second
    }
}

cases! {
    /// Guards against a partly applied record.
    failure_undoes_the_whole_record => {
        let error = refusal(vec![server(1, 0, 1), server(2, 3, 1)]);
        assert_eq!(error, ConfigError::Missing { kind: Kind::Pool, name: name(3) });
    };
    /// Guards against parents that leave children behind.
    parents_with_children_stay => {
        for change in [
            Change::DeleteZone { name: name(0) },
            Change::DeleteService { name: name(0) },
            Change::DeletePool { name: name(0) },
        ] {
            assert!(matches!(refusal(vec![change]), ConfigError::InUse { count: 1, .. }));
        }
    };
    /// Guards against counting a child that the same record deletes.
    parents_emptied_by_the_record_go => {
        let mut c = small();
        let changes = vec![
            Change::DeleteServer { name: name(0) },
            Change::DeletePool { name: name(0) },
            Change::DeleteService { name: name(0) },
            Change::DeleteZone { name: name(0) },
        ];
        c.apply(&next(&c, changes)).unwrap();
        assert!(c.zones.is_empty() && c.services.is_empty() && c.pools.is_empty());
        // Zones take no number: their identifiers are hashes of their names.
        assert_eq!(c.next_id, 3);
    };
    /// Guards against two services that answer at one address.
    service_addresses_are_unique => {
        let taken = ConfigError::AddressTaken { address: address(1), service: name(0) };
        assert_eq!(refusal(vec![service(1, 1)]), taken);
    };
    /// Guards against an index that loses an address when two services swap theirs.
    service_addresses_swap => {
        let mut c = small();
        c.apply(&next(&c, vec![service(1, 2)])).unwrap();
        c.apply(&next(&c, vec![service(0, 3), service(1, 1), service(0, 2)])).unwrap();
        lookups_agree(&c);
        assert_eq!(c.service_at(address(1)).unwrap().name, name(1));
    };
    /// Guards against ranges and names that other instances cannot hold.
    values_are_checked => {
        assert!(matches!(refusal(vec![server(1, 0, 0)]), ConfigError::OutOfRange { .. }));
        assert!(matches!(refusal(vec![server(1, 0, 1001)]), ConfigError::OutOfRange { .. }));
        let named = |name: &str| Change::CreateZone { name: name.into(), region: "r".into() };
        for wrong in ["", "Upper", "a b", "a/b", &"x".repeat(64)] {
            assert!(matches!(refusal(vec![named(wrong)]), ConfigError::InvalidName { .. }));
        }
        let mut c = small();
        c.apply(&next(&c, vec![named(&"x".repeat(63))])).unwrap();
    };
    /// Guards against a backend server that changes its service under its flows.
    pool_of_a_server_is_fixed => {
        let error = refusal(vec![pool(1, 0, 0), server(0, 1, 1)]);
        assert_eq!(error, ConfigError::PoolFixed { name: name(0), pool: name(0) });
    };
    /// Guards against a put that silently ends a drain.
    put_keeps_the_state_of_a_server => {
        let mut c = small();
        let drain = Change::SetServer { name: name(0), state: ServerState::Draining };
        c.apply(&next(&c, vec![drain, server(0, 0, 9)])).unwrap();
        let server = c.server_named(&name(0)).unwrap();
        assert_eq!((server.state, server.weight), (ServerState::Draining, 9));
    };
    /// Guards against gaps in the log.
    revisions_are_consecutive => {
        for revision in [0, 1, 3, u64::MAX] {
            let mut step = record(revision, vec![]);
            step.operation = OperationId(77);
            let refused = small().check(&step);
            assert!(matches!(refused, Err(ConfigError::RevisionMismatch { .. })));
        }
    };
    /// Guards against a repeated call that is applied twice, and against unbounded memory.
    operations_are_remembered_and_bounded => {
        let mut c = small();
        let mut again = next(&c, vec![]);
        again.operation = OperationId(1);
        let repeated = ConfigError::Repeated { operation: OperationId(1), revision: Revision(1) };
        assert_eq!(c.check(&again), Err(repeated));
        for _ in 0..REMEMBERED_OPERATIONS {
            c.apply(&next(&c, vec![])).unwrap();
        }
        assert_eq!(c.operations.len(), REMEMBERED_OPERATIONS);
        assert_eq!(c.operation(OperationId(1)), None);
        assert_eq!(c.operation(OperationId(2)), Some(Revision(2)));
    };
    /// Guards against records that do not fit into a frame between instances.
    records_are_bounded => {
        let changes = vec![server(0, 0, 1); MAX_CHANGES + 1];
        assert!(matches!(refusal(changes), ConfigError::TooManyChanges { .. }));
    };
    /// Guards against a damaged snapshot that is taken for a configuration.
    restore_refuses_contradictions => {
        let good = parts(&small());
        let broken: [fn(&mut ConfigParts); 5] = [
            |p| p.zones.clear(),
            |p| p.services.push(p.services[0].clone()),
            |p| p.servers[0].id.0 = p.next_id,
            |p| p.pools[0].name.clear(),
            |p| p.servers[0].slots = 0,
        ];
        for spoil in broken {
            let mut parts = good.clone();
            spoil(&mut parts);
            Configuration::restore(parts).unwrap_err();
        }
    };
}
