//! Delays between calls to the platform's key-value service.

use std::time::Duration;

use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;

use crate::settings::Settings;

/// Exponential backoff with jitter, so that the instances do not retry at the same time.
pub(crate) struct Backoff {
    rng: Pcg32,
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) fn new(settings: &Settings, seed: u64) -> Backoff {
        Backoff {
            rng: Pcg32::seed_from_u64(seed),
            first: settings.first_pause,
            longest: settings.longest_pause,
            next: settings.first_pause,
        }
    }

    /// Resets the delay to the shortest one. To be called after a success.
    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }

    /// Waits for a random time between half of the current delay and the delay. Doubles the delay
    /// for the next failure, up to the longest one.
    pub(crate) async fn wait(&mut self) {
        let delay = self.next;
        self.next = delay.saturating_mul(2).min(self.longest);
        self.wait_about(delay).await;
    }

    /// Waits for a random time between half of `delay` and `delay`.
    pub(crate) async fn wait_about(&mut self, delay: Duration) {
        let fraction = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        tokio::time::sleep(delay.mul_f64(0.5 + fraction / 2.0)).await;
    }
}
