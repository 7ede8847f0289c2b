//! Monotonic time of the decisions.

use std::num::NonZeroU64;
use std::ops::{
    Add,
    Sub, //
};
use std::time::Duration;

/// Monotonic time since the start of the process in nanoseconds. Saturates after 584 years.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(
    /// Nanoseconds plus one, so that `Option<Time>` is as small as `Time`. Flow records contain
    /// such options by the hundred thousand.
    NonZeroU64,
);

/// Converts to nanoseconds, saturating at `u64::MAX`.
const fn nanos(duration: Duration) -> u64 {
    let nanos = duration.as_nanos();
    if nanos > u64::MAX as u128 {
        u64::MAX
    } else {
        nanos as u64
    }
}

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(NonZeroU64::MIN);

    const fn from_nanos(nanos: u64) -> Time {
        match NonZeroU64::new(nanos.saturating_add(1)) {
            Some(nanos) => Time(nanos),
            None => Time::ZERO,
        }
    }

    const fn nanos(self) -> u64 {
        self.0.get() - 1
    }

    /// Returns the time `elapsed` after the start of the process.
    pub const fn from_start(elapsed: Duration) -> Time {
        Time::from_nanos(nanos(elapsed))
    }

    /// Returns the time `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Time {
        Time::from_nanos(millis * 1_000_000)
    }

    /// Returns the duration from the start of the process to this time.
    pub const fn since_start(self) -> Duration {
        Duration::from_nanos(self.nanos())
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.nanos().saturating_sub(earlier.nanos()))
    }
}

impl Default for Time {
    fn default() -> Time {
        Time::ZERO
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time::from_nanos(self.nanos().saturating_add(nanos(duration)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time::from_nanos(self.nanos().saturating_sub(nanos(duration)))
    }
}
