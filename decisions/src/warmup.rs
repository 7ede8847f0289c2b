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
    /// How long the backend server has to work between two rises of the limit. Time without a
    /// request does not warm it up.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// The backend server counts as slow while its recent latency is more than this many times the
    /// usual one.
    pub slowness: u32,
}

impl Default for WarmupSettings {
    fn default() -> WarmupSettings {
        WarmupSettings {
            step: Duration::from_millis(1250),
            slowness: 3,
        }
    }
}

/// The limit of a backend server of which nothing is known.
pub const COLD_LIMIT: u32 = 1;

/// The recent latency takes one part in this many from each new sample. Single slow requests are
/// no sign of overload, because work differs.
const RECENT_WEIGHT: u32 = 8;

/// The usual latency takes one part in this many from each new sample.
const USUAL_WEIGHT: u32 = 64;

/// The warm-up limit of one backend server.
#[derive(Clone, Debug)]
pub struct Warmup {
    /// How many requests may run at once; from [`COLD_LIMIT`] to the server's slots.
    limit: u32,
    /// Clean results since the limit last changed.
    successes: u32,
    /// How long the backend server has worked since the limit last changed.
    busy_time: Duration,
    /// The time up to which `busy_time` counts.
    advanced: Time,
    /// Moving averages of the time to the first answer part: the recent and the usual one.
    latency: Option<(Duration, Duration)>,
}

impl Warmup {
    /// Starts cold at `now`.
    pub fn cold(now: Time) -> Warmup {
        Warmup {
            limit: COLD_LIMIT,
            successes: 0,
            busy_time: Duration::ZERO,
            advanced: now,
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

    /// Counts the time since the last call as work if the backend server was working.
    pub fn advance(&mut self, now: Time, busy: bool) {
        if busy {
            self.busy_time += now.since(self.advanced);
        }
        self.advanced = now;
    }

    /// Takes over a limit that another owner or a load report has shown to be borne.
    pub fn raise_to(&mut self, limit: u32, slots: u32) {
        let limit = limit.clamp(COLD_LIMIT, slots.max(COLD_LIMIT));
        if limit > self.limit {
            self.set_limit(limit);
        }
    }

    /// Notes that a request ended with an answer whose first part took `latency`.
    pub fn record_success(&mut self, latency: Duration, slots: u32, settings: &WarmupSettings) {
        self.record_latency(latency);
        if self.is_slow(settings) {
            self.lower();
        } else {
            self.successes += 1;
            self.raise(slots, settings);
        }
    }

    /// Notes that the backend server refused a request.
    pub fn record_refusal(&mut self) {
        self.lower();
    }

    fn is_slow(&self, settings: &WarmupSettings) -> bool {
        let slow = |(recent, usual): (Duration, Duration)| recent > usual * settings.slowness;
        self.latency.is_some_and(slow)
    }

    fn record_latency(&mut self, latency: Duration) {
        let (recent, usual) = self.latency.unwrap_or((latency, latency));
        self.latency = Some((
            ewma(recent, latency, RECENT_WEIGHT),
            ewma(usual, latency, USUAL_WEIGHT),
        ));
    }

    fn raise(&mut self, slots: u32, settings: &WarmupSettings) {
        let ready = self.successes >= self.limit && self.busy_time >= settings.step;
        if ready && self.limit < slots {
            self.set_limit((self.limit * 2).min(slots));
        }
    }

    fn lower(&mut self) {
        self.set_limit((self.limit / 2).max(COLD_LIMIT));
        // The next samples tell whether the lower limit has helped.
        self.latency = self.latency.map(|(_, usual)| (usual, usual));
    }

    fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.successes = 0;
        self.busy_time = Duration::ZERO;
    }
}

fn ewma(average: Duration, sample: Duration, weight: u32) -> Duration {
    (average * (weight - 1) + sample) / weight
}
