//! A soak of real processes under random faults. `SOAK_SEEDS=FIRST..LAST cargo test -p
//! lovagespindle-daemon --test soak by_hand -- --ignored --nocapture` plays other seeds.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

mod dsr_fleet;
mod dsr_soak;

use dsr_soak::Soak;

/// The first network of the soak; other tests use those below.
const NETWORK: u8 = 100;

/// How many seeds run at once by hand.
const PARALLEL: u64 = 4;

macro_rules! seeds {
    ($($(#[$doc:meta])* $name:ident($slot:literal) => $seed:literal;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                assert!(play($slot, $seed).await, "seed {}", $seed);
            }
        )*
    };
}

seeds! {
    /// Guards against promises that are broken under faults in series and at once.
    seed_1(0) => 1;
    /// As above, with other faults.
    seed_2(1) => 2;
}

/// Plays the seeds that the environment names, some at a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "takes minutes; SOAK_SEEDS names the seeds"]
async fn by_hand() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..50".to_owned());
    let (first, last) = seeds.split_once("..").expect("FIRST..LAST");
    let seeds: Vec<u64> = (first.parse().unwrap()..=last.parse().unwrap()).collect();
    let mut failed = Vec::new();
    for group in seeds.chunks(PARALLEL as usize) {
        let runs = group.iter().enumerate();
        let runs = runs.map(|(slot, seed)| tokio::spawn(play(10 + slot as u8, *seed)));
        for (run, seed) in runs.collect::<Vec<_>>().into_iter().zip(group) {
            if !run.await.unwrap() {
                failed.push(*seed);
            }
        }
    }
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

/// Returns whether a seed broke nothing; prints what it did if it did.
async fn play(slot: u8, seed: u64) -> bool {
    let outcome = Soak::start(NETWORK + slot, seed).await.run().await;
    println!(
        "seed {seed}: {} of {} flows served",
        outcome.served, outcome.flows
    );
    if !outcome.failures.is_empty() {
        println!(
            "{}\n-- faults\n{}",
            outcome.failures.join("\n"),
            outcome.history.join("\n")
        );
    }
    outcome.failures.is_empty()
}
