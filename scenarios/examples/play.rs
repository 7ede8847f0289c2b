//! Plays the scenes named on the command line under the decisions and prints what does not hold.
//! `SCENE_SEED` sets the seed; `SCENE_TRACE` names a metric whose faults are traced.

use std::path::Path;

use lovagespindle_scenarios::{
    Policy,
    Scene,
    World, //
};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    for name in std::env::args().skip(1) {
        let scene = Scene::load(Path::new(&name))?;
        let failures = World::play(&scene, Policy::Decisions)?.failures();
        println!("{name}: {}", failures.join("; "));
    }
    Ok(())
}
