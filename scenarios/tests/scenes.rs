//! Plays the scenarios; each file under `scenes` says which failure it guards against.

use std::path::Path;

use lovagespindle_scenarios::{
    Policy,
    Scene,
    World, //
};

macro_rules! cases {
    ($($group:ident: $($name:ident),+;)+) => {
        $(mod $group {
            $(#[test]
            fn $name() {
                super::play(concat!(stringify!($group), "/", stringify!($name), ".scene"));
            })+
        })+
    };
}

fn play(name: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenes");
    let scene = Scene::load(&root.join(name)).expect("the scene can be read");
    let world = World::play(&scene, Policy::Decisions).expect("the scene can be played");
    let failures = world.failures();
    assert!(failures.is_empty(), "{name}: {}", failures.join("; "));
}

cases! {
    alone: cold, drain, freeze, hushed, join, lost_answers, mislead, operators, shed, short_freeze,
        silent, slow_platform;
    outage: cold, drain, hushed, lost_answers, mislead, operators, shed, short_freeze, silent,
        slow_platform;
    p1: many_changes, start_instance, steady, zone_back;
    p10: cut_from_platform, hushed_links, lost_answers, operators, platform_long_down, watchers_die;
    p2: churn;
    p3: cold_start, owner_dies_while_cold;
    p4: zone_out_cut, zone_out_owner_dies, zone_out_platform_down, zone_out_platform_slow,
        zone_out_twice;
    p5: late;
    p7: graceful, owner_dies, owner_freezes;
    p8: drain_owner_dies, drain_owner_joins, drain_platform_down;
}
