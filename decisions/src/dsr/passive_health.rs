//! What passing packets tell about a backend server: whether its handshakes complete.

use std::time::Duration;

use crate::time::Time;

use super::settings::Settings;

/// Unanswered openings in a row that make a backend server suspect. One may be a lost packet.
const SUSPECT_AFTER: u32 = 2;

/// Whether a backend server takes flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum HealthState {
    /// Its handshakes complete.
    #[strum(serialize = "good")]
    Healthy,
    /// It does not answer. One flow may try it at that time.
    Suspect {
        /// When it may be tried again.
        retry: Time,
        /// The pause after the next failure.
        backoff: Duration,
        /// When the flow that tries it was opened.
        trial: Option<Time>,
    },
    /// It answers again, and takes one flow at a time until then.
    Recovering {
        /// When it is good.
        until: Time,
    },
}

/// The evidence about one backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PassiveHealth {
    state: HealthState,
    /// Unanswered openings since the last answered one.
    failures: u32,
    /// The opening time of the latest answered flow. Failures of earlier ones tell nothing new.
    last_success: Option<Time>,
}

impl PassiveHealth {
    /// Nothing is known.
    pub(super) fn new() -> PassiveHealth {
        PassiveHealth {
            state: HealthState::Healthy,
            failures: 0,
            last_success: None,
        }
    }

    /// Returns the standing at `now`.
    pub(super) fn state(&self, now: Time) -> HealthState {
        match self.state {
            HealthState::Recovering { until } if now >= until => HealthState::Healthy,
            state => state,
        }
    }

    /// Notes that a flow opened at `opened` completed its handshake. Returns whether the standing
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

    /// Notes that an opening sent at `opened` was not answered in time. Returns whether the standing
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

    fn mark_suspect(&mut self, now: Time, backoff: Duration, settings: &Settings) {
        self.state = HealthState::Suspect {
            retry: now + backoff,
            backoff: (backoff * 2).min(settings.longest_retry),
            trial: None,
        };
    }

    /// Lets the next flow try a suspect backend server, as the path to it has changed.
    pub(super) fn allow_retry(&mut self, now: Time) {
        if let HealthState::Suspect { retry, .. } = &mut self.state {
            *retry = now.min(*retry);
        }
    }

    /// Notes that a flow tries a suspect backend server. The next one waits for the outcome.
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
