//! Pauses between attempts.

use std::time::Duration;

use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;

use crate::settings::Settings;

/// Doubles the pause after each failure, with jitter so that instances spread out.
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

    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }

    pub(crate) async fn pause(&mut self) {
        let pause = self.next;
        self.next = pause.saturating_mul(2).min(self.longest);
        self.pause_about(pause).await;
    }

    /// Pauses for half to all of a duration.
    pub(crate) async fn pause_about(&mut self, pause: Duration) {
        let share = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        tokio::time::sleep(pause.mul_f64(0.5 + share / 2.0)).await;
    }
}
