//! Monotonic time as the decisions see it.

use std::ops::{
    Add,
    Sub, //
};
use std::time::Duration;

/// Monotonic time since the process started, in nanoseconds, which last for 584 years.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

const fn nanos(duration: Duration) -> u64 {
    duration.as_nanos() as u64
}

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);

    /// Returns the time that lies `since` after the start of the process.
    pub const fn from_start(since: Duration) -> Time {
        Time(nanos(since))
    }

    /// Returns the time that lies `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000_000)
    }

    /// Returns how long after the start of the process this time is.
    pub const fn since_start(self) -> Duration {
        Duration::from_nanos(self.0)
    }

    /// Returns the time elapsed from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(nanos(duration)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(nanos(duration)))
    }
}
