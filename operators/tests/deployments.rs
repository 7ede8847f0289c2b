//! Tests the example files of the two deployments.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::collections::BTreeSet;

use lovagespindle_decisions::config::{
    Configuration,
    Record, //
};
use lovagespindle_decisions::ids::{
    OperationId,
    Revision, //
};
use lovagespindle_operators::plan::{
    Desired,
    diff, //
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

/// Applies a file to an empty configuration in one call and returns the result.
fn load(text: &str) -> Configuration {
    let mut configuration = Configuration::default();
    let desired = Desired::parse(text).unwrap();
    let record = Record {
        revision: Revision(1),
        operation: OperationId(1),
        changes: diff(&configuration, &desired).unwrap(),
    };
    configuration.apply(&record).unwrap();
    assert_eq!(diff(&configuration, &desired), Ok(Vec::new()));
    configuration
}

/// Checks the zones, the number of backend servers of each service, and that each service has
/// backend servers in each zone.
fn check(text: &str, zones: [&str; 3], services: [(&str, usize); 2], slots: u32) {
    let configuration = load(text);
    // The order of zones is arbitrary.
    let names: BTreeSet<_> = configuration
        .zones
        .values()
        .map(|z| z.name.as_str())
        .collect();
    assert_eq!(names, zones.into());
    assert_eq!(configuration.services.len(), services.len());
    for (name, count) in services {
        let service = configuration.service_named(name).unwrap();
        let servers: Vec<_> = configuration.service_servers(service.id).collect();
        assert_eq!(servers.len(), count);
        let covered: BTreeSet<_> = servers.iter().map(|(_, zone)| *zone).collect();
        assert_eq!(covered.len(), zones.len());
        let sized = |s: u32, c: u32| (s, c) == (slots, 2000);
        assert!(servers.iter().all(|(s, _)| sized(s.slots, s.connections)));
    }
    let servers = configuration.servers.values();
    let addresses: BTreeSet<_> = servers.flat_map(|s| [s.address, s.health]).collect();
    assert_eq!(addresses.len(), 2 * configuration.servers.len());
}

cases! {
    /// Guards against an example that cannot be applied or whose sizes differ from the design page.
    waipuna_has_its_sizes => check(
        include_str!("../../examples/waipuna.toml"),
        ["nz-north-a", "nz-north-b", "nz-north-c"],
        [("ticket-desk", 15), ("ledger-store", 4)],
        4,
    );
    /// Guards against an example that cannot be applied or whose sizes differ from the design page.
    thrissur_has_its_sizes => check(
        include_str!("../../examples/thrissur.toml"),
        ["thrissur", "kochi", "kottayam"],
        [("order-desk", 15), ("proof-room", 4)],
        3,
    );
}
