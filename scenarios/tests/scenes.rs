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

/// Scenes that fail because of known faults, as KNOWN-RED.txt tells.
macro_rules! known_red {
    ($($group:ident: $($name:ident),+;)+) => {
        mod known_red {
            $(mod $group {
                $(#[test]
                #[ignore = "known red, see KNOWN-RED.txt"]
                fn $name() {
                    crate::play(concat!(stringify!($group), "/", stringify!($name), ".scene"));
                })+
            })+
        }
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
    alone: cold, drain, freeze, hushed, join, kill_owner, kill_pair, lost_answers, mislead,
        operators, shed, short_freeze, silent, slow_platform, uneven;
    outage: cold, drain, freeze, hushed, kill_owner, kill_pair, lost_answers, mislead, operators,
        shed, short_freeze, silent, slow_platform, uneven;
    p1: drain, drain_thrissur, grow, many_changes, start_instance, steady, steady_thrissur,
        zone_back;
    p10: cut_from_platform, hushed_links, lost_answers, operators, platform_long_down,
        watchers_die;
    p2: churn;
    p3: cold_start, cold_start_unnoticed, first_start, grow_cold, misled_cold,
        owner_dies_while_cold, zone_back_cold;
    p4: zone_out, zone_out_cut, zone_out_owner_dies, zone_out_platform_down,
        zone_out_platform_slow, zone_out_twice;
    p5: jitter, late, loss;
    p6: overload, shed;
    p7: graceful, lossy, owner_dies, owner_freezes;
    p8: drain_owner_dies, drain_owner_joins, drain_platform_down;
    p9: rolling, stop_last, stop_owner, stop_two;
    zone_move: cold, drain, freeze, freeze_handover, freeze_late_opening, hushed, join, kill_owner,
        kill_pair, lost_answers, mislead, operators, shed, short_freeze, silent, slow_platform,
        uneven;
}

known_red! {
    alone: partition;
    outage: join, partition;
    p10: fresh_instance, list_lag;
    zone_move: kill_owner_queued, partition;
}
