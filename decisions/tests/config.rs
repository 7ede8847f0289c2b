//! Tests of records that are applied to the configuration.

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

fn service(n: u8, host: u8) -> Change {
    Change::PutService {
        name: name(n),
        address: address(host),
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

/// An arbitrary change with one of few names, so that changes often concern the same objects.
#[derive(Clone, Debug)]
struct AnyChange(Change);

impl Arbitrary for AnyChange {
    fn arbitrary(g: &mut Gen) -> AnyChange {
        let mut pick = |n: u8| u8::arbitrary(g) % n;
        let (a, b, c) = (pick(4), pick(4), pick(4));
        let states = [ServerState::Active, ServerState::Draining];
        let zones = [ZoneState::In, ZoneState::Out];
        AnyChange(match pick(14) {
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

fn next_record(c: &Configuration, changes: Vec<Change>) -> Record {
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
fn minimal() -> Configuration {
    let mut c = Configuration::default();
    let changes = vec![zone(0), service(0, 1), pool(0, 0, 0), server(0, 0, 1)];
    c.apply(&record(1, changes)).unwrap();
    c
}

fn rejection(changes: Vec<Change>) -> ConfigError {
    let mut c = minimal();
    let before = c.clone();
    let error = c.apply(&next_record(&c, changes)).unwrap_err();
    assert_eq!(c, before, "a rejected record changed the configuration");
    error
}

fn check_lookups(c: &Configuration) {
    for s in c.services.values() {
        assert_eq!(c.service_at(s.address), Some(s));
        assert_eq!(c.service_named(&s.name), Some(s));
        let found: BTreeSet<_> = c.service_servers(s.id).map(|(b, z)| (b.id, z)).collect();
        let expected = c.servers.values().filter_map(|b| {
            let pool = &c.pools[&b.pool];
            (pool.service == s.id).then_some((b.id, pool.zone))
        });
        assert_eq!(found, expected.collect());
    }
    for b in c.servers.values() {
        assert_eq!(c.server_named(&b.name), Some(b));
        assert_eq!(c.server_zone(b.id), Some(c.pools[&b.pool].zone));
        assert!(b.id.0 < c.next_id);
    }
}

quickcheck! {
    /// Guards against an index that no longer matches the rows, and against dangling references.
    fn random_records_keep_the_invariants(records: Vec<Vec<AnyChange>>) -> bool {
        let mut c = minimal();
        for changes in records {
            // Records with more random changes are almost always invalid.
            let changes: Vec<_> = changes.into_iter().take(3).map(|a| a.0).collect();
            let before = c.clone();
            let new_record = next_record(&c, changes);
            let checked = c.check(&new_record);
            assert_eq!(checked, c.apply(&new_record));
            match checked {
                Ok(()) => assert_eq!(c.revision.0, before.revision.0 + 1),
                Err(_) => assert_eq!(c, before),
            }
            check_lookups(&c);
        }
        Configuration::restore(parts(&c)) == Ok(c)
    }

    /// Guards against identifiers that depend on more than the log, and against reused ones.
    fn instances_assign_the_same_identifiers(log: Vec<AnyChange>, split: usize) -> bool {
        let mut first = Configuration::default();
        let mut accepted = Vec::new();
        for AnyChange(change) in log {
            let new_record = next_record(&first, vec![change]);
            let known: BTreeSet<_> = first.servers.keys().copied().collect();
            if first.apply(&new_record).is_ok() {
                let added = first.servers.keys().filter(|id| !known.contains(id));
                assert!(added.map(|id| id.0 + 1).all(|n| n == first.next_id));
                accepted.push(new_record);
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
    /// Guards against a partially applied record.
    invalid_change_rejects_the_whole_record => {
        let error = rejection(vec![server(1, 0, 1), server(2, 3, 1)]);
        assert_eq!(error, ConfigError::Missing { kind: Kind::Pool, name: name(3) });
    };
    /// Guards against deleted parents whose children remain.
    parents_with_children_cannot_be_deleted => {
        for change in [
            Change::DeleteZone { name: name(0) },
            Change::DeleteService { name: name(0) },
            Change::DeletePool { name: name(0) },
        ] {
            assert!(matches!(rejection(vec![change]), ConfigError::InUse { count: 1, .. }));
        }
    };
    /// Guards against counting a child that the same record has deleted.
    parents_emptied_by_the_record_can_be_deleted => {
        let mut c = minimal();
        let changes = vec![
            Change::DeleteServer { name: name(0) },
            Change::DeletePool { name: name(0) },
            Change::DeleteService { name: name(0) },
            Change::DeleteZone { name: name(0) },
        ];
        c.apply(&next_record(&c, changes)).unwrap();
        assert!(c.zones.is_empty() && c.services.is_empty() && c.pools.is_empty());
        // Zones take no identifier from the sequence: theirs are hashes of their names.
        assert_eq!(c.next_id, 3);
    };
    /// Guards against two services with the same public address.
    service_addresses_are_unique => {
        let taken = ConfigError::AddressTaken { address: address(1), service: name(0) };
        assert_eq!(rejection(vec![service(1, 1)]), taken);
    };
    /// Guards against an index that loses an address when two services swap theirs.
    services_can_swap_addresses => {
        let mut c = minimal();
        c.apply(&next_record(&c, vec![service(1, 2)])).unwrap();
        c.apply(&next_record(&c, vec![service(0, 3), service(1, 1), service(0, 2)])).unwrap();
        check_lookups(&c);
        assert_eq!(c.service_at(address(1)).unwrap().name, name(1));
    };
    /// Guards against names and numbers outside the permitted ranges.
    invalid_values_are_rejected => {
        assert!(matches!(rejection(vec![server(1, 0, 0)]), ConfigError::OutOfRange { .. }));
        assert!(matches!(rejection(vec![server(1, 0, 1001)]), ConfigError::OutOfRange { .. }));
        let named = |name: &str| Change::CreateZone { name: name.into(), region: "r".into() };
        for invalid in ["", "Upper", "a b", "a/b", &"x".repeat(64)] {
            assert!(matches!(rejection(vec![named(invalid)]), ConfigError::InvalidName { .. }));
        }
        let mut c = minimal();
        c.apply(&next_record(&c, vec![named(&"x".repeat(63))])).unwrap();
    };
    /// Guards against a backend server that moves to another service while it has flows.
    pool_of_a_server_is_fixed => {
        let error = rejection(vec![pool(1, 0, 0), server(0, 1, 1)]);
        assert_eq!(error, ConfigError::PoolFixed { name: name(0), pool: name(0) });
    };
    /// Guards against an update that silently ends the draining of a backend server.
    update_keeps_the_state_of_a_server => {
        let mut c = minimal();
        let drain = Change::SetServer { name: name(0), state: ServerState::Draining };
        c.apply(&next_record(&c, vec![drain, server(0, 0, 9)])).unwrap();
        let server = c.server_named(&name(0)).unwrap();
        assert_eq!((server.state, server.weight), (ServerState::Draining, 9));
    };
    /// Guards against gaps in the log.
    revisions_are_consecutive => {
        for revision in [0, 1, 3, u64::MAX] {
            let mut new_record = record(revision, vec![]);
            new_record.operation = OperationId(77);
            let rejected = minimal().check(&new_record);
            assert!(matches!(rejected, Err(ConfigError::RevisionMismatch { .. })));
        }
    };
    /// Guards against a repeated call that is applied twice, and against a list of operations that
    /// grows without limit.
    repeated_operations_are_rejected_and_the_list_is_bounded => {
        let mut c = minimal();
        let mut repeated_record = next_record(&c, vec![]);
        repeated_record.operation = OperationId(1);
        let repeated = ConfigError::Repeated { operation: OperationId(1), revision: Revision(1) };
        assert_eq!(c.check(&repeated_record), Err(repeated));
        for _ in 0..REMEMBERED_OPERATIONS {
            c.apply(&next_record(&c, vec![])).unwrap();
        }
        assert_eq!(c.operations.len(), REMEMBERED_OPERATIONS);
        assert_eq!(c.operation(OperationId(1)), None);
        assert_eq!(c.operation(OperationId(2)), Some(Revision(2)));
    };
    /// Guards against records that do not fit into a frame between instances.
    records_with_too_many_changes_are_rejected => {
        let changes = vec![server(0, 0, 1); MAX_CHANGES + 1];
        assert!(matches!(rejection(changes), ConfigError::TooManyChanges { .. }));
    };
    /// Guards against a corrupt snapshot that is accepted as a configuration.
    restore_rejects_contradictions => {
        let good = parts(&minimal());
        let broken: [fn(&mut ConfigParts); 5] = [
            |p| p.zones.clear(),
            |p| p.services.push(p.services[0].clone()),
            |p| p.servers[0].id.0 = p.next_id,
            |p| p.pools[0].name.clear(),
            |p| p.servers[0].slots = 0,
        ];
        for corrupt in broken {
            let mut parts = good.clone();
            corrupt(&mut parts);
            Configuration::restore(parts).unwrap_err();
        }
    };
}
