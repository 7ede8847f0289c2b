//! Prints what each policy does with the same scenes and seeds, as a markdown table.

use std::path::{
    Path,
    PathBuf, //
};

use lovagespindle_scenarios::{
    Metric,
    Policy,
    Scene,
    World, //
};
use strum::IntoEnumIterator;

/// The scenes of the table, when the command line names none.
const SCENES: [&str; 10] = [
    "p1/steady.scene",
    "p1/steady_thrissur.scene",
    "p1/drain.scene",
    "p1/grow.scene",
    "p1/zone_back.scene",
    "p3/cold_start.scene",
    "p4/zone_out.scene",
    "p7/owner_dies.scene",
    "p9/rolling.scene",
    "alone/kill_owner.scene",
];

/// The columns of the table.
const METRICS: [Metric; 11] = [
    Metric::Broken,
    Metric::Imbalance,
    Metric::Answered,
    Metric::P50,
    Metric::P99,
    Metric::Overruns,
    Metric::Doubled,
    Metric::Lost,
    Metric::ControlBytes,
    Metric::StoreCalls,
    Metric::InForce,
];

/// Each scene is played with the seeds from 1 to this; the table shows the means.
const SEEDS: u64 = 5;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenes");
    let mut paths: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    if paths.is_empty() {
        paths = SCENES.iter().map(|scene| root.join(scene)).collect();
    }
    print!("| scene | policy |");
    METRICS.iter().for_each(|metric| print!(" {metric} |"));
    println!("\n|---|---|{}", "---:|".repeat(METRICS.len()));
    for path in paths {
        let mut scene = Scene::load(&path)?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        for policy in Policy::iter() {
            let mut means = [0.0; METRICS.len()];
            for seed in 1..=SEEDS {
                scene.seed = seed;
                let world = World::play(&scene, policy)?;
                for (mean, metric) in means.iter_mut().zip(METRICS) {
                    *mean += world.value(metric) / SEEDS as f64;
                }
            }
            print!("| {name} | {policy} |");
            means.iter().for_each(|mean| print!(" {mean:.3} |"));
            println!();
        }
    }
    Ok(())
}
