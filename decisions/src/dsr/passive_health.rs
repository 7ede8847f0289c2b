//! Passive health checks: whether the handshakes with a backend server complete.

use std::time::Duration;

use crate::time::Time;

use super::settings::Settings;

/// Consecutive handshake timeouts after which a backend server becomes suspect. A single one may be
/// a lost packet.
const SUSPECT_AFTER: u32 = 2;

/// The health state of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum HealthState {
    /// Its handshakes complete.
    #[strum(serialize = "good")]
    Healthy,
    /// Its handshakes time out. One trial flow may test it at `retry`.
    Suspect {
        retry: Time,
        /// The retry delay after the next failure.
        backoff: Duration,
        /// The time at which the trial flow was opened.
        trial: Option<Time>,
    },
    /// A handshake completed again. The backend server gets one flow at a time before `until`.
    Recovering { until: Time },
}

/// The passive health check of one backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PassiveHealth {
    state: HealthState,
    /// Handshake timeouts since the last success.
    failures: u32,
    /// The time at which the latest successful flow was opened. Failures of earlier flows are
    /// ignored.
    last_success: Option<Time>,
}

impl PassiveHealth {
    pub(super) fn new() -> PassiveHealth {
        PassiveHealth {
            state: HealthState::Healthy,
            failures: 0,
            last_success: None,
        }
    }

    /// Returns the health state at `now`.
    pub(super) fn state(&self, now: Time) -> HealthState {
        match self.state {
            HealthState::Recovering { until } if now >= until => HealthState::Healthy,
            state => state,
        }
    }

    /// Records that a flow opened at `opened` completed its handshake. Returns whether the state
    /// changed.
    pub(super) fn record_success(&mut self, now: Time, opened: Time, settings: &Settings) -> bool {
        self.failures = 0;
        self.last_success = self.last_success.max(Some(opened));
        let suspect = matches!(self.state, HealthState::Suspect { .. });
        if suspect {
            let until = now + settings.recovery;
            self.state = HealthState::Recovering { until };
        }
        suspect
    }

    /// Records that the handshake of a SYN sent at `opened` timed out. Returns whether the state
    /// changed.
    pub(super) fn record_failure(&mut self, now: Time, opened: Time, settings: &Settings) -> bool {
        if self
            .last_success
            .is_some_and(|last_success| opened <= last_success)
        {
            return false;
        }
        self.failures += 1;
        match self.state(now) {
            HealthState::Healthy if self.failures < SUSPECT_AFTER => false,
            HealthState::Healthy | HealthState::Recovering { .. } => {
                self.mark_suspect(now, settings.first_retry, settings);
                true
            }
            HealthState::Suspect { backoff, trial, .. } => {
                if trial == Some(opened) {
                    self.mark_suspect(now, backoff, settings);
                }
                false
            }
        }
    }

    /// Records that a backend server is gone. Returns whether the state changed.
    pub(super) fn mark_lost(&mut self, now: Time, settings: &Settings) -> bool {
        let suspect = matches!(self.state(now), HealthState::Suspect { .. });
        if !suspect {
            self.failures = SUSPECT_AFTER;
            self.mark_suspect(now, settings.first_retry, settings);
        }
        !suspect
    }

    fn mark_suspect(&mut self, now: Time, backoff: Duration, settings: &Settings) {
        self.state = HealthState::Suspect {
            retry: now + backoff,
            backoff: (backoff * 2).min(settings.longest_retry),
            trial: None,
        };
    }

    /// Allows the next flow to test a suspect backend server, because the path to it has changed.
    pub(super) fn allow_retry(&mut self, now: Time) {
        if let HealthState::Suspect { retry, .. } = &mut self.state {
            *retry = now.min(*retry);
        }
    }

    /// Records that a flow tests a suspect backend server. The next trial waits for its outcome.
    pub(super) fn record_trial(&mut self, now: Time) {
        if let HealthState::Suspect { backoff, .. } = self.state {
            self.state = HealthState::Suspect {
                retry: now + backoff,
                backoff,
                trial: Some(now),
            };
        }
    }
}
