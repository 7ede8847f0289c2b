//! Experiments: two policies on the same days, with a confidence interval of their difference.

use super::day::Day;
use super::site::Site;
use super::world::{
    Policy,
    World, //
};

/// Standard errors on each side of the mean in which the true mean lies with 95 %.
const Z: f64 = 1.96;

/// The difference of two policies in the share served.
#[derive(Clone, Copy, Debug)]
pub struct Comparison {
    /// The mean share served of each policy.
    pub means: (f64, f64),
    /// The mean of the second less the first, over the same seeds.
    pub gain: f64,
    /// Half of the width of the 95 % confidence interval of the gain.
    pub margin: f64,
    /// Rules broken under each policy.
    pub breaches: (usize, usize),
}

/// Plays the same day with the same seeds under two policies.
pub fn compare(
    site: &Site,
    day: &Day,
    policies: (&Policy, &Policy),
    seeds: impl Iterator<Item = u64>,
) -> Comparison {
    let mut pairs = Vec::new();
    let mut breaches = (0, 0);
    for seed in seeds {
        let first = World::play(site, day, policies.0.clone(), seed);
        let second = World::play(site, day, policies.1.clone(), seed);
        breaches.0 += first.breaches().len();
        breaches.1 += second.breaches().len();
        pairs.push((first.report().served, second.report().served));
    }
    let count = pairs.len().max(1) as f64;
    let mean = |values: &[f64]| values.iter().sum::<f64>() / count;
    let gains: Vec<f64> = pairs.iter().map(|(first, second)| second - first).collect();
    let gain = mean(&gains);
    let squares: f64 = gains.iter().map(|value| (value - gain).powi(2)).sum();
    let deviation = (squares / (count - 1.0).max(1.0)).sqrt();
    let firsts: Vec<f64> = pairs.iter().map(|pair| pair.0).collect();
    let seconds: Vec<f64> = pairs.iter().map(|pair| pair.1).collect();
    Comparison {
        means: (mean(&firsts), mean(&seconds)),
        gain,
        margin: Z * deviation / count.sqrt(),
        breaches,
    }
}
