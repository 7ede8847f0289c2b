//! Decides when an instance that was told to stop may end its process.
//!
//! The routers leave an instance out after some failed readiness checks, but send packets to all
//! instances of a zone while fewer than half of them are ready. An instance therefore goes on
//! forwarding for as long as packets arrive, and ends soon after they stop, so that its successor
//! is ready before the next instance of the zone is told to stop.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::time::Time;

/// Number of failed readiness checks after which the routers leave an instance out.
const FAILED_CHECKS: u32 = 2;

/// Time before the end of the grace period at which the process ends at the latest.
const MARGIN: Duration = Duration::from_secs(1);

/// Settings of the shutdown.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownSettings {
    /// Time after SIGTERM at which the platform kills the process.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Time without packets after which the routers count as having left the instance out.
    #[serde(with = "humantime_serde")]
    pub quiet: Duration,
}

impl Default for ShutdownSettings {
    fn default() -> ShutdownSettings {
        ShutdownSettings {
            grace: Duration::from_secs(6),
            quiet: Duration::from_millis(300),
        }
    }
}

/// The progress of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    started_at: Time,
    failed_checks: u32,
    last_packet: Time,
}

impl Shutdown {
    pub fn new(now: Time) -> Shutdown {
        Shutdown {
            started_at: now,
            failed_checks: 0,
            last_packet: now,
        }
    }

    /// Records a readiness check that was answered with "not ready".
    pub fn record_failed_check(&mut self) {
        self.failed_checks += 1;
    }

    /// Records a packet from the routers.
    pub fn record_packet(&mut self, now: Time) {
        self.last_packet = now;
    }

    /// Returns the time at which the process ends if nothing more is recorded.
    pub fn deadline(&self, settings: &ShutdownSettings) -> Time {
        let latest = self.started_at + settings.grace.saturating_sub(MARGIN);
        if self.failed_checks < FAILED_CHECKS {
            return latest;
        }
        latest.min(self.last_packet + settings.quiet)
    }

    /// Returns whether the process may end.
    pub fn is_complete(&self, now: Time, settings: &ShutdownSettings) -> bool {
        now >= self.deadline(settings)
    }
}
