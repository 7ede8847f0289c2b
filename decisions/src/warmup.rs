//! Warm-up limit of one backend server: how many requests it may run concurrently.

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
    /// Busy time between two increases of the limit. Time without a running request does not warm a
    /// backend server up.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// A backend server counts as slow while its recent latency exceeds its usual latency by more
    /// than this factor.
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

/// Limit of a backend server whose capacity is unknown.
pub const COLD_LIMIT: u32 = 1;

/// A new sample counts for one part in this many of the recent latency. Work differs between
/// requests, so single slow requests are no sign of overload.
const RECENT_WEIGHT: u32 = 8;

/// A new sample counts for one part in this many of the usual latency.
const USUAL_WEIGHT: u32 = 64;

/// Warm-up limit of one backend server. It doubles after enough successes and busy time, and is
/// halved after a refusal or while the backend server is slow.
#[derive(Clone, Debug)]
pub struct Warmup {
    /// Maximum number of concurrent requests; from [`COLD_LIMIT`] to the slots of the backend
    /// server.
    limit: u32,
    /// Successes since the limit last changed.
    successes: u32,
    /// Time with a running request since the limit last changed.
    busy_time: Duration,
    /// Time up to which `busy_time` is counted.
    advanced: Time,
    /// Moving averages of the time to the first answer part: the recent and the usual latency.
    latency: Option<(Duration, Duration)>,
}

impl Warmup {
    /// Creates the state of a backend server that starts cold at `now`.
    pub fn cold(now: Time) -> Warmup {
        Warmup {
            limit: COLD_LIMIT,
            successes: 0,
            busy_time: Duration::ZERO,
            advanced: now,
            latency: None,
        }
    }

    /// Returns the maximum number of concurrent requests.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Resets the limit after a restart of the backend server.
    pub fn restart(&mut self, now: Time) {
        *self = Warmup::cold(now);
    }

    /// Adds the time since the last call to the busy time if a request was running.
    pub fn advance(&mut self, now: Time, busy: bool) {
        if busy {
            self.busy_time += now.since(self.advanced);
        }
        self.advanced = now;
    }

    /// Raises the limit to one that another owner or a load report has shown to be within the
    /// capacity. Never lowers it.
    pub fn raise_to(&mut self, limit: u32, slots: u32) {
        let limit = limit.clamp(COLD_LIMIT, slots.max(COLD_LIMIT));
        if limit > self.limit {
            self.set_limit(limit);
        }
    }

    /// Records an answered request; `latency` is the time to its first answer part.
    pub fn record_success(&mut self, latency: Duration, slots: u32, settings: &WarmupSettings) {
        self.record_latency(latency);
        if self.is_slow(settings) {
            self.lower();
        } else {
            self.successes += 1;
            self.raise(slots, settings);
        }
    }

    /// Records that the backend server refused a request.
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
        // Forgets the slow samples, so that the next ones show whether the lower limit helps.
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
