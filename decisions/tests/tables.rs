//! Tests of candidate tables that are updated only for the services that a record affects.

use std::time::Duration;

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    Record,
    ServerState,
    ZoneState, //
};
use lovagespindle_decisions::ids::{
    FlowId,
    OperationId,
    Revision, //
};
use lovagespindle_decisions::tables::Tables;

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )*
    };
}

fn zone(name: &str) -> Change {
    let (name, region) = (name.to_owned(), "north".to_owned());
    Change::CreateZone { name, region }
}

fn service(name: &str, host: u8) -> Change {
    Change::PutService {
        name: name.to_owned(),
        address: ([172, 16, 0, host], 7000).into(),
        idle: Duration::from_secs(60),
    }
}

fn pool(name: &str, service: &str, zone: &str) -> Change {
    Change::CreatePool {
        name: name.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
    }
}

fn server(name: &str, pool: &str, host: u8, weight: u32) -> Change {
    Change::PutServer {
        name: name.to_owned(),
        pool: pool.to_owned(),
        address: ([10, 0, 0, host], 9000).into(),
        health: ([10, 0, 0, host], 9001).into(),
        weight,
        slots: 4,
        connections: 100,
    }
}

fn set_zone(state: ZoneState) -> Change {
    let name = "a".to_owned();
    Change::SetZone { name, state }
}

fn delete_server(name: &str) -> Change {
    let name = name.to_owned();
    Change::DeleteServer { name }
}

fn delete_pool(name: &str) -> Change {
    let name = name.to_owned();
    Change::DeletePool { name }
}

fn initial_changes() -> Vec<Change> {
    vec![
        zone("a"),
        zone("b"),
        service("desk", 1),
        service("store", 2),
        pool("desk-a", "desk", "a"),
        pool("desk-b", "desk", "b"),
        pool("store-a", "store", "a"),
        server("desk-1", "desk-a", 1, 100),
        server("desk-2", "desk-b", 2, 100),
        server("store-1", "store-a", 3, 100),
        server("store-2", "store-a", 4, 100),
    ]
}

fn apply(configuration: &mut Configuration, tables: &mut Tables, changes: Vec<Change>) {
    let revision = Revision(configuration.revision.0 + 1);
    let operation = OperationId(u128::from(revision.0));
    let record = Record {
        revision,
        operation,
        changes,
    };
    let mut affected = Vec::new();
    configuration.affected_services(&record, &mut affected);
    assert_eq!(configuration.apply(&record), Ok(()));
    configuration.affected_services(&record, &mut affected);
    tables.update_services(configuration, affected);
}

/// Checks that the tables after `changes` equal tables that are built from the whole configuration.
/// Guards against a table that misses a change, so that an instance sends flows to other backend
/// servers than the other instances choose.
fn check_update(changes: Vec<Change>) {
    let (mut configuration, mut tables) = (Configuration::default(), Tables::default());
    apply(&mut configuration, &mut tables, initial_changes());
    apply(&mut configuration, &mut tables, changes);
    let mut rebuilt = Tables::default();
    rebuilt.update(&configuration);
    let ids: Vec<_> = (1..configuration.next_id).collect();
    for service in ids.into_iter().map(lovagespindle_decisions::ids::ServiceId) {
        for flow in 0..32 {
            let flow = FlowId((flow << 64) | (flow * 77));
            assert_eq!(tables.rank(service, flow), rebuilt.rank(service, flow));
        }
    }
    assert!(tables.update(&configuration).is_empty());
}

cases! {
    added_server => check_update(vec![server("desk-3", "desk-a", 9, 100)]);
    changed_weight => check_update(vec![server("desk-1", "desk-a", 1, 300)]);
    deleted_server => check_update(vec![delete_server("store-1")]);
    drained_server => check_update(vec![Change::SetServer {
        name: "desk-1".to_owned(),
        state: ServerState::Draining,
    }]);
    zone_out_of_service => check_update(vec![set_zone(ZoneState::Out)]);
    zone_back_in_service => check_update(vec![set_zone(ZoneState::Out), set_zone(ZoneState::In)]);
    new_service => check_update(vec![
        service("proof", 3),
        pool("proof-b", "proof", "b"),
        server("proof-1", "proof-b", 8, 100),
    ]);
    deleted_service => check_update(vec![
        delete_server("store-1"),
        delete_server("store-2"),
        delete_pool("store-a"),
        Change::DeleteService { name: "store".to_owned() },
    ]);
    pool_moved_to_another_service => check_update(vec![
        delete_server("desk-1"),
        delete_pool("desk-a"),
        pool("desk-a", "store", "a"),
        server("desk-1", "desk-a", 1, 100),
    ]);
}
