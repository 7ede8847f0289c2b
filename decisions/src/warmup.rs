//! The warm-up limit of one backend server: how many requests it may run at once.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::time::Time;

/// Settings of the warm-up limit.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WarmupSettings {
    /// The least time between two rises of the limit.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// A result that takes longer than this many times the usual latency counts as slow.
    pub slowness: u32,
}

impl Default for WarmupSettings {
    fn default() -> WarmupSettings {
        WarmupSettings {
            step: Duration::from_secs(1),
            slowness: 4,
        }
    }
}

/// The limit of a backend server of which nothing is known.
pub const COLD_LIMIT: u32 = 1;

/// The latency average takes one part in this many from each new sample.
const LATENCY_WEIGHT: u32 = 8;

/// The warm-up limit of one backend server.
#[derive(Clone, Debug)]
pub struct Warmup {
    /// How many requests may run at once; from [`COLD_LIMIT`] to the server's slots.
    limit: u32,
    /// Clean results since the limit last changed.
    clean: u32,
    /// When the limit last changed.
    changed: Time,
    /// A moving average of the time to the first answer part.
    latency: Option<Duration>,
}

impl Warmup {
    /// Starts cold at `now`.
    pub fn cold(now: Time) -> Warmup {
        Warmup {
            limit: COLD_LIMIT,
            clean: 0,
            changed: now,
            latency: None,
        }
    }

    /// Returns how many requests may run at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Goes back to the start, because the backend server started again.
    pub fn restart(&mut self, now: Time) {
        *self = Warmup::cold(now);
    }

    /// Takes over a limit that another owner or a load report has shown to be borne.
    pub fn resume(&mut self, limit: u32, slots: u32, now: Time) {
        let limit = limit.clamp(COLD_LIMIT, slots.max(COLD_LIMIT));
        if limit > self.limit {
            self.set(limit, now);
        }
    }

    /// Notes that a request ended with an answer whose first part took `latency`.
    pub fn succeed(&mut self, latency: Duration, slots: u32, settings: &WarmupSettings, now: Time) {
        if self.is_slow(latency, settings) {
            self.lower(now);
        } else {
            self.clean += 1;
            self.rise(slots, settings, now);
        }
        self.average(latency);
    }

    /// Notes that the backend server refused a request.
    pub fn shed(&mut self, now: Time) {
        self.lower(now);
    }

    fn is_slow(&self, latency: Duration, settings: &WarmupSettings) -> bool {
        self.latency
            .is_some_and(|usual| latency > usual * settings.slowness)
    }

    fn average(&mut self, latency: Duration) {
        let old = self.latency.unwrap_or(latency);
        self.latency = Some((old * (LATENCY_WEIGHT - 1) + latency) / LATENCY_WEIGHT);
    }

    fn rise(&mut self, slots: u32, settings: &WarmupSettings, now: Time) {
        let ready = self.clean >= self.limit && now.since(self.changed) >= settings.step;
        if ready && self.limit < slots {
            self.set((self.limit * 2).min(slots), now);
        }
    }

    fn lower(&mut self, now: Time) {
        self.set((self.limit / 2).max(COLD_LIMIT), now);
    }

    fn set(&mut self, limit: u32, now: Time) {
        self.limit = limit;
        self.clean = 0;
        self.changed = now;
    }
}
